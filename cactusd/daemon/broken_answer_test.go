package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusstream.example/core/dialect"
)

// brokenUpload is the size in bytes of an upload that takes longer than the broken answer to
// it.
const brokenUpload = 24 << 20

// exchange is a request on a connection of its own and what the caller reads.
type exchange struct {
	status int
	body   string
	// err is set unless the answer looks complete.
	err error
}

// upload sends a request with a body and reads the answer, also while the body is still
// being sent.
func (pa *pair) upload(t *testing.T, version, query, framing string, body io.Reader) exchange {
	t.Helper()
	con, err := net.Dial("tcp", pa.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	_ = con.SetDeadline(time.Now().Add(streamTimeout))
	go func() {
		_, _ = fmt.Fprintf(con, "POST /order?%s %s\r\nHost: x\r\n%s\r\n\r\n", query, version, framing)
		_, _ = io.Copy(con, body)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(con), nil) //nolint:bodyclose // readAll closes it.
	if err != nil {
		return exchange{err: err}
	}
	text, err := readAll(resp)
	return exchange{status: resp.StatusCode, body: text, err: err}
}

// checkBroken fails the test if an answer looks like one of the upstream.
func checkBroken(t *testing.T, got exchange) {
	t.Helper()
	if got.err == nil && got.status != http.StatusBadGateway {
		t.Fatalf("the caller got status %d and %d bytes as a complete answer: %.60q", got.status, len(got.body), got.body)
	}
	if got.err == nil && strings.HasPrefix(got.body, "notRun") {
		t.Fatalf("the upstream had got the request: %q", got.body)
	}
}

// respondRaw takes the connection of a request, sends the head of a response with the id of
// the request and what follows, and returns the connection.
func respondRaw(wr http.ResponseWriter, req *http.Request, statusLine, fields, body string) *net.TCPConn {
	con, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(con, "%s\r\n%s: %s\r\n%s\r\n%s", statusLine, dialect.HeaderAttempt, req.Header.Get(dialect.HeaderAttempt), fields, body)
	return con.(*net.TCPConn)
}

// resetConnection ends a connection with a reset.
func resetConnection(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}

// TestAnswerThatIsResetLooksBroken lets an upstream send a part of an answer without a
// length and reset the connection, early, while the upload is still being written, and late.
// The caller must get 502 or an answer that breaks off.
func TestAnswerThatIsResetLooksBroken(t *testing.T) {
	const rounds = 3
	parts := map[string]string{"head": "", "short": "part", "held": strings.Repeat("p", 300_000), "streamed": strings.Repeat("p", 3_000_000)}
	statusLines := map[string]string{"close": "HTTP/1.1 200 OK\r\nConnection: close", "none": "HTTP/1.1 200 OK", "old": "HTTP/1.0 200 OK"}
	pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if isProbe(wr, req) {
			return
		}
		query := req.URL.Query()
		if query.Get("moment") == "late" {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		con := respondRaw(wr, req, statusLines[query.Get("framing")], "", parts[query.Get("part")])
		time.Sleep(5 * time.Millisecond) // The gate waits for the rest.
		resetConnection(con)
	}, allowCloseDelimited)
	defer pa.stop(t)
	for framing := range statusLines {
		for part := range parts {
			t.Run(framing+"/"+part, func(t *testing.T) {
				for range rounds {
					for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
						for moment, size := range map[string]int64{"early": brokenUpload, "late": 4} {
							query := fmt.Sprintf("framing=%s&part=%s&moment=%s", framing, part, moment)
							checkBroken(t, pa.upload(t, version, query, fmt.Sprint("Content-Length: ", size), &pattern{size: size}))
						}
					}
				}
			})
		}
	}
}

// pausedBody is a body whose rest never comes.
type pausedBody struct {
	io.Reader
	paused <-chan struct{}
}

func (pa pausedBody) Read(data []byte) (int, error) {
	count, err := pa.Reader.Read(data)
	if err != nil {
		<-pa.paused
	}
	return count, err
}

// TestPausedUploadDelaysNoReset lets a caller with HTTP/1.0 pause its upload while its answer
// breaks off. It must learn that soon, although the daemon waits for the rest of an upload.
func TestPausedUploadDelaysNoReset(t *testing.T) {
	const maxDelay = 3 * time.Second
	pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if isProbe(wr, req) {
			return
		}
		con := respondRaw(wr, req, "HTTP/1.1 200 OK", "", strings.Repeat("p", 3_000_000))
		time.Sleep(5 * time.Millisecond)
		resetConnection(con)
	}, allowCloseDelimited)
	defer pa.stop(t)
	paused := make(chan struct{})
	defer close(paused)
	began := time.Now()
	checkBroken(t, pa.upload(t, "HTTP/1.0", "paused", fmt.Sprint("Content-Length: ", brokenUpload), pausedBody{&pattern{size: 400_000}, paused}))
	if delay := time.Since(began); delay > maxDelay {
		t.Errorf("the answer broke off after %s", delay)
	}
}

// TestEarlyAnswerReachesTheCaller lets an upstream end an answer without a length while the
// upload is still being written.
func TestEarlyAnswerReachesTheCaller(t *testing.T) {
	sizes := []int64{0, 5, 300_000, 3_000_000}
	pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if isProbe(wr, req) {
			return
		}
		var size int64
		_, _ = fmt.Sscan(req.URL.RawQuery, &size)
		con := respondRaw(wr, req, "HTTP/1.1 200 OK", "", "")
		defer func() { _ = con.Close() }()
		_, _ = io.Copy(con, &pattern{size: size})
		_ = con.CloseWrite()
		_, _ = io.Copy(io.Discard, con)
	}, allowCloseDelimited)
	defer pa.stop(t)
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			got := pa.upload(t, "HTTP/1.1", fmt.Sprint(size), fmt.Sprint("Content-Length: ", brokenUpload), &pattern{size: brokenUpload})
			if got.err != nil || got.status != http.StatusOK || digestOf(strings.NewReader(got.body)) != digest(size) {
				t.Fatalf("status %d, %d bytes: %v", got.status, len(got.body), got.err)
			}
		})
	}
}

// TestBrokenHeadLooksBroken lets an upstream send answers whose head has an invalid status or
// field name, in several framings, before and after it has read the upload. The caller must
// get 502. One that claims that the request has not run proves nothing.
func TestBrokenHeadLooksBroken(t *testing.T) {
	heads := [][2]string{
		{"000 Odd", ""},
		{"000", ""},
		{"000 Odd", "Cactus-Outcome: notRun\r\nRetry-After: 1\r\n"},
		{"200 OK", "Content-Length : 5\r\n"},
		{"200 OK", "Transfer-Encoding : chunked\r\n"},
		{"200 OK", "X Note: a\r\n"},
		{"200 OK", "X\tNote: a\r\n"},
		{"200 OK", "X-\x01Note: a\r\n"},
		{"200 OK", "X-First: a\r\n X-Note: a\r\n"},
		{"404 Not Found", "X Note: a\r\n"},
		{"503 Busy", "Cactus-Outcome : notRun\r\nRetry-After: 1\r\n"},
		{"503 Busy", "Cactus-Outcome: notRun\r\nX Note: a\r\nRetry-After: 1\r\n"},
	}
	framings := [][3]string{
		{"HTTP/1.1 ", "Content-Length: 5\r\n", "whole"},
		{"HTTP/1.1 ", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
		{"HTTP/1.1 ", "", "whole"},
		{"HTTP/1.1 ", "Connection: close\r\n", "whole"},
		{"HTTP/1.0 ", "", "whole"},
		{"HTTP/1.1 ", "", strings.Repeat("w", 3_000_000)},
	}
	pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if isProbe(wr, req) {
			return
		}
		var number, framing int
		var moment string
		_, _ = fmt.Sscanf(req.URL.RawQuery, "%d/%d/%s", &number, &framing, &moment)
		if moment == "late" {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		head, frame := heads[number], framings[framing]
		con := respondRaw(wr, req, frame[0]+head[0], head[1]+frame[1], frame[2])
		_ = con.CloseWrite()
		_, _ = io.Copy(io.Discard, con)
		_ = con.Close()
	}, allowCloseDelimited)
	defer pa.stop(t)
	for number, head := range heads {
		for framing := range framings {
			for _, moment := range []string{"early", "late"} {
				t.Run(fmt.Sprintf("%s/%q/%d/%s", head[0], head[1], framing, moment), func(t *testing.T) {
					size := int64(brokenUpload)
					if moment == "late" {
						size = 300_000
					}
					got := pa.upload(t, "HTTP/1.1", fmt.Sprintf("%d/%d/%s", number, framing, moment), fmt.Sprint("Content-Length: ", size), &pattern{size: size})
					checkBroken(t, got)
				})
			}
		}
	}
}
