package gate_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
)

// brokenHead is an entry of testdata/brokenHeads.json: a status, 200 if it is nil, and lines
// in the head of a response, and a response that comes before it.
type brokenHead struct {
	Name   string   `json:"name"`
	Before string   `json:"before"`
	Status *string  `json:"status"`
	Lines  []string `json:"lines"`
}

// framings are the ways in which the body "whole" ends: a line of the head, and the bytes.
var framings = map[string]struct{ version, field, body string }{
	"with a length":             {"HTTP/1.1", "Content-Length: 5\r\n", "whole"},
	"in chunks":                 {"HTTP/1.1", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
	"without a length":          {"HTTP/1.1", "", "whole"},
	"with Connection: close":    {"HTTP/1.1", "Connection: close\r\n", "whole"},
	"as HTTP/1.0":               {"HTTP/1.0", "", "whole"},
	"as HTTP/1.0 with a length": {"HTTP/1.0", "Content-Length: 5\r\n", "whole"},
	"with chunks that no valid field announces": {"HTTP/1.1", "", "5\r\nwhole\r\n0\r\n\r\n"},
}

// moments are the ways in which an upstream sends a response and when: before it has read
// the request, afterwards, or in pieces.
var moments = map[string]func(con net.Conn, req *http.Request, response string){
	"early": func(con net.Conn, _ *http.Request, response string) {
		_, _ = io.WriteString(con, response)
	},
	"late": func(con net.Conn, req *http.Request, response string) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(con, response)
	},
	"late, in pieces": func(con net.Conn, req *http.Request, response string) {
		_, _ = io.Copy(io.Discard, req.Body)
		buf := make([]byte, 32)
		_, _ = io.CopyBuffer(struct{ io.Writer }{con}, iotest.HalfReader(iotest.OneByteReader(strings.NewReader(response))), buf)
	},
}

// respond returns the answer of a gate to a request whose upstream sends a response.
func respond(t *testing.T, sg *streamGate, req wire.RunRequest) wire.RunAnswer {
	t.Helper()
	answer := sg.Run(context.Background(), req)
	if answer.Outcome == outcome.Ran && answer.BodyStream == nil {
		t.Logf("status %d, header %q, body %q", answer.Status, answer.Header, answer.Body)
	}
	return answer
}

// serveRaw serves requests with what response returns for the id of the request, and then
// ends its direction of the connection.
func serveRaw(t *testing.T, send func(con net.Conn, req *http.Request, response string), response func(id string) string) string {
	t.Helper()
	return rawUpstream(t, func(con net.Conn) {
		defer func() { _ = con.Close() }()
		reader := bufio.NewReader(con)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		send(con, req, response(req.Header.Get("X-Id")))
		_ = con.(*net.TCPConn).CloseWrite()
		_ = con.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, reader)
	})
}

// TestBrokenHeadIsNoAnswer lets an upstream send responses in whose head the status is invalid
// or a field has no valid name, in several framings and moments. None may be an answer, since
// a line may have been meant to frame the body, and none proves that the request has not run.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	data, err := os.ReadFile("testdata/brokenHeads.json")
	if err != nil {
		t.Fatal(err)
	}
	var heads []brokenHead
	if err := json.Unmarshal(data, &heads); err != nil {
		t.Fatal(err)
	}
	for _, head := range heads {
		for framing, frame := range framings {
			for moment, send := range moments {
				for _, isLast := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/%t", head.Name, framing, moment, isLast), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						status := "200 OK"
						if head.Status != nil {
							status = *head.Status
						}
						lines := strings.Join(append(head.Lines, ""), "\r\n")
						sg := newStreamGate(t, serveRaw(t, send, func(id string) string {
							fields := "X-Id: " + id + "\r\n" + lines + frame.field
							if isLast {
								fields = "X-Id: " + id + "\r\n" + frame.field + lines
							}
							return head.Before + frame.version + " " + status + "\r\n" + fields + "\r\n" + frame.body
						}))
						req := streamRequest("a")
						uploads["short stream"](sg, &req)
						answer := respond(t, sg, req)
						is.Equal(answer.Outcome, outcome.Unknown)
						is.Equal(answer.Reason, outcome.UpstreamFailed)
					})
				}
			}
		}
	}
}

// TestErrorShowsTheStartOfAnInvalidName lets an upstream send an invalid name of 60,000 bytes.
func TestErrorShowsTheStartOfAnInvalidName(t *testing.T) {
	is := is.New(t)
	sg := newStreamGate(t, serveRaw(t, moments["late"], func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX " + strings.Repeat("n", 60_000) + ": a\r\nContent-Length: 0\r\n\r\n"
	}))
	answer := respond(t, sg, streamRequest("a"))
	is.Equal(answer.Outcome, outcome.Unknown)
	is.True(strings.Contains(answer.Detail, `"X nnn`))
	is.True(len(answer.Detail) < 200)
}

// TestChunksOfHTTP10AreNoAnswer lets an upstream send chunks with HTTP/1.0, which has none.
// Their sizes must not reach the caller as a part of the body.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) {
	for _, fields := range []string{"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\nConnection: keep-alive\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"} {
		for moment, send := range moments {
			t.Run(fields+"/"+moment, func(t *testing.T) {
				is := is.New(t)
				sg := newStreamGate(t, serveRaw(t, send, func(id string) string {
					return "HTTP/1.0 200 OK\r\nX-Id: " + id + "\r\n" + fields + "\r\n5\r\nwhole\r\n0\r\n\r\n"
				}))
				req := streamRequest("a")
				uploads["short stream"](sg, &req)
				is.Equal(respond(t, sg, req).Outcome, outcome.Unknown)
			})
		}
	}
}

// TestSoundHeadIsAnAnswer covers heads that are unusual and valid: all characters of names,
// values with blanks and colons, no values, and folded values.
func TestSoundHeadIsAnAnswer(t *testing.T) {
	const lines = "!#$%&'*+-.^_`|~09azAZ: a\r\nX-Empty:\r\nX-Blank: \t \r\nX-Value:  a b: c\t\r\nX-Bare: line\nX-Long: one\r\n two\r\n\tthree, four\r\n  \r\nX-Obs: \xff\r\n"
	for framing, frame := range framings {
		for moment, send := range moments {
			t.Run(framing+"/"+moment, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sg := newStreamGate(t, serveRaw(t, send, func(id string) string {
					return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + frame.version + " 200 OK\r\nX-Id: " + id + "\r\n" + lines + frame.field + "\r\n" + frame.body
				}))
				req := streamRequest("a")
				uploads["short stream"](sg, &req)
				answer := respond(t, sg, req)
				is.Equal(answer.Outcome, outcome.Ran)
				is.Equal(answer.Header["X-Long"], []string{"one two three, four "})
				is.True(strings.Contains(string(answer.Body), "whole"))
			})
		}
	}
}
