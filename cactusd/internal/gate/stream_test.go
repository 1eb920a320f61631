package gate_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/stream"
)

// streamGate is a gate whose registry is also that of the ingress.
type streamGate struct {
	*gate.Gate
	bodies  *bodybuffer.Buffer
	streams *stream.Registry
}

func newStreamGate(t *testing.T, address string) *streamGate {
	t.Helper()
	reg := metrics.NewRegistry()
	sg := &streamGate{bodies: bodybuffer.New(testBodyMemory), streams: stream.New(stream.Options{
		Address: "here", Log: events.Discard(), Metrics: reg, Tokens: auth.NewTokens("a-token-for-the-tests"),
		OnUnauthorized: func(*http.Request) {}, FetchTimeout: 500 * time.Millisecond, StallTimeout: 500 * time.Millisecond,
	})}
	policy := defaultPolicy()
	sg.Gate = gate.New(gate.Options{
		Bodies: sg.bodies, Streams: sg.streams, Clock: clock.Real{}, Dialect: platformDialect(), Log: events.Discard(), Metrics: reg,
		Policy: func(string) *settings.Policy { return policy }, OnChange: func() {},
	})
	t.Cleanup(sg.streams.Close)
	announce(t, sg.Gate, address, 1)
	return sg
}

// streamRequest returns a request that allows bodies of 64 MiB and streams.
func streamRequest(id string) wire.RunRequest {
	req := platformRequest(id, true)
	req.BodyLimit, req.AcceptsStream = 64<<20, true
	return req
}

// offer offers a request body, of unknown length if length is -1.
func (sg *streamGate) offer(body io.Reader, length int64) (*stream.Offer, *wire.Stream) {
	of := sg.streams.Offer(stream.Body{Reader: body, Length: length, Direction: stream.Request})
	return of, &wire.Stream{Token: of.Token, Address: "here", Length: length}
}

// read returns the body of an answer.
func (sg *streamGate) read(t *testing.T, answer wire.RunAnswer) string {
	t.Helper()
	body, err := sg.readEnd(answer)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// readEnd returns the body of an answer and the error that it ends with.
func (sg *streamGate) readEnd(answer wire.RunAnswer) (string, error) {
	if answer.BodyStream == nil {
		return string(answer.Body), nil
	}
	rd, err := sg.streams.Open(context.Background(), "here", answer.BodyStream.Token)
	if err != nil {
		return "", err
	}
	defer func() { _ = rd.Close() }()
	body, err := io.ReadAll(rd)
	return string(body), err
}

// TestLateLargeResponseIsNotPassedOn lets the upstream send a large response to another
// attempt before the one that is due. It must never reach the caller, whose response
// follows.
func TestLateLargeResponseIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	other := strings.Repeat("o", 2<<20)
	own := strings.Repeat("w", 2<<20)
	address, dials := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		writeResponse(con, "another", other, "")
		writeResponse(con, req.Header.Get("X-Id"), own, "")
		return true
	})
	sg := newStreamGate(t, address)
	for number := range 2 {
		answer := sg.Run(context.Background(), streamRequest(fmt.Sprint("a", number)))
		is.Equal(answer.Outcome, outcome.Ran)
		is.True(answer.BodyStream != nil)
		is.True(sg.read(t, answer) == own)
	}
	is.Equal(dials.Load(), int64(2)) // A connection with a late response isn't reused.
	is.Equal(sg.bodies.Used(), 0)
}

// TestLargeResponseWithoutIDOnReusedConnection lets an upstream leave out the id in a large
// response on a connection that has served another request. It may be the response to that
// one, and must not be passed on.
func TestLargeResponseWithoutIDOnReusedConnection(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t, func(con net.Conn, number int64, req *http.Request) bool {
		id := req.Header.Get("X-Id")
		if number == 2 {
			id = ""
		}
		writeResponse(con, id, strings.Repeat("x", 2<<20), "")
		return true
	})
	sg := newStreamGate(t, address)
	is.Equal(len(sg.read(t, sg.Run(context.Background(), streamRequest("a")))), 2<<20)
	answer := sg.Run(context.Background(), streamRequest("b"))
	is.Equal(answer.Outcome, outcome.Unknown)
	is.True(answer.BodyStream == nil)
}

// TestSlotIsKeptUntilTheResponseIsRead checks that an upstream with one slot gets no second
// request while its response to the first is still read, and that its connection is reused
// afterwards. A response that nobody fetches frees the slot as well.
func TestSlotIsKeptUntilTheResponseIsRead(t *testing.T) {
	is := is.New(t)
	address, dials := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		writeResponse(con, req.Header.Get("X-Id"), strings.Repeat("x", 2<<20), "")
		return true
	})
	sg := newStreamGate(t, address)
	first := sg.Run(context.Background(), streamRequest("a"))
	second := make(chan wire.RunAnswer, 1)
	go func() { second <- sg.Run(context.Background(), streamRequest("b")) }()
	select {
	case <-second:
		t.Fatal("the second request ran beside the first")
	case <-time.After(100 * time.Millisecond):
	}
	is.Equal(len(sg.read(t, first)), 2<<20)
	answer := <-second
	is.Equal(answer.Outcome, outcome.Ran)
	is.Equal(dials.Load(), int64(1))
	is.Equal(sg.Run(context.Background(), streamRequest("c")).Outcome, outcome.Ran) // After the fetch timeout.
	is.Equal(dials.Load(), int64(2))
}

// TestUnreachableUpstreamFetchesNoBody checks that the body of a request stays unread, and
// may be sent elsewhere, if no connection to the upstream can be opened.
func TestUnreachableUpstreamFetchesNoBody(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = lis.Close()
	sg := newStreamGate(t, lis.Addr().String())
	of, body := sg.offer(strings.NewReader("body"), 4)
	req := streamRequest("a")
	req.Body, req.BodyStream = nil, body
	is.Equal(sg.Run(context.Background(), req).Outcome, outcome.NotRun)
	is.True(!of.Withdraw())
}

// TestBodyThatIsGoneIsNotRun checks that an upstream sees nothing of a request whose body
// can't be fetched, and that the answer says so.
func TestBodyThatIsGoneIsNotRun(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t, func(net.Conn, int64, *http.Request) bool {
		t.Error("the upstream got a request")
		return false
	})
	sg := newStreamGate(t, address)
	of, body := sg.offer(strings.NewReader("body"), 4)
	of.Withdraw()
	req := streamRequest("a")
	req.Body, req.BodyStream = nil, body
	answer := sg.Run(context.Background(), req)
	is.Equal(answer.Outcome, outcome.NotRun)
	is.Equal(answer.Reason, outcome.LinkLost)
}

// TestStreamedBodyIsFramed checks how bodies of known and unknown length reach the
// upstream, and that one that breaks off never looks complete to it.
func TestStreamedBodyIsFramed(t *testing.T) {
	whole := bytes.Repeat([]byte("0123456789"), 100_000)
	for _, isBroken := range []bool{false, true} {
		for _, length := range []int64{int64(len(whole)), -1} {
			t.Run(fmt.Sprint(isBroken, length), func(t *testing.T) {
				is := is.New(t)
				type result struct {
					length int64
					body   []byte
					err    error
				}
				results := make(chan result, 1)
				sg := newStreamGate(t, serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
					body, err := io.ReadAll(req.Body)
					results <- result{req.ContentLength, body, err}
					wr.Header().Set("X-Id", req.Header.Get("X-Id"))
				}))
				source := iotest.HalfReader(bytes.NewReader(whole))
				if isBroken {
					source = io.MultiReader(bytes.NewReader(whole[:300_000]), iotest.ErrReader(io.ErrUnexpectedEOF))
				}
				of, body := sg.offer(source, length)
				req := streamRequest("a")
				req.Body, req.BodyStream = nil, body
				answer := sg.Run(context.Background(), req)
				got := <-results
				is.Equal(got.length, length)
				is.True(of.Withdraw()) // It was taken.
				if isBroken {
					is.Equal(answer.Outcome, outcome.Unknown)
					is.True(got.err != nil)
					return
				}
				is.Equal(answer.Outcome, outcome.Ran)
				is.NoErr(got.err)
				is.True(bytes.Equal(got.body, whole))
			})
		}
	}
}

// TestResponsesWithoutBodyAreNotStreamed checks the responses whose head states a length
// but that have no body: a stream of them would wait for bytes that never come.
func TestResponsesWithoutBodyAreNotStreamed(t *testing.T) {
	for _, tc := range []struct {
		method, status string
	}{{http.MethodHead, "200 OK"}, {http.MethodGet, "304 Not Modified"}, {http.MethodPost, "204 No Content"}} {
		t.Run(tc.method+tc.status, func(t *testing.T) {
			is := is.New(t)
			address, dials := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
				length := "Content-Length: 9000000\r\n"
				if tc.method == http.MethodPost {
					length = ""
				}
				_, _ = fmt.Fprintf(con, "HTTP/1.1 %s\r\nX-Id: %s\r\n%s\r\n", tc.status, req.Header.Get("X-Id"), length)
				return true
			})
			sg := newStreamGate(t, address)
			for number := range 2 {
				req := streamRequest(fmt.Sprint("a", number))
				req.Method, req.Body = tc.method, nil
				answer := sg.Run(context.Background(), req)
				is.Equal(answer.Outcome, outcome.Ran)
				is.True(answer.BodyStream == nil)
			}
			is.Equal(dials.Load(), int64(1))
		})
	}
}

// TestResponseOverItsLimit checks that a response over the limit of its kind fails, whether
// its length says so or it shows only while it is passed on.
func TestResponseOverItsLimit(t *testing.T) {
	const limit = 3 << 20
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", limit+1), "\r\n"} {
		is := is.New(t)
		address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s%s", req.Header.Get("X-Id"), framing, strings.Repeat("x", limit+1))
			return false
		})
		sg := newStreamGate(t, address)
		req := streamRequest("a")
		req.BodyLimit = limit
		answer := sg.Run(context.Background(), req)
		if answer.BodyStream == nil {
			is.Equal(answer.Outcome, outcome.Unknown)
			continue
		}
		rd, err := sg.streams.Open(context.Background(), "here", answer.BodyStream.Token)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, rd)
		is.True(err != nil)
	}
}

// TestResponseThatDoesNotFitInMemoryIsStreamed fills the memory for bodies. A response
// that would fit otherwise must be passed on as a stream instead of being lost.
func TestResponseThatDoesNotFitInMemoryIsStreamed(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 500_000)
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		writeResponse(con, req.Header.Get("X-Id"), body, "")
		return true
	})
	sg := newStreamGate(t, address)
	sg.bodies.Hold(make([]byte, testBodyMemory))
	answer := sg.Run(context.Background(), streamRequest("a"))
	is.Equal(answer.Outcome, outcome.Ran)
	is.True(sg.read(t, answer) == body)
	is.Equal(sg.bodies.Used(), testBodyMemory)
}
