package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

// platformDialect is a dialect like that of an external platform: upstreams
// echo the caller's request id, state when a request did not run, and reject
// requests that are addressed to a different upstream.
func platformDialect() dialect.Upstream {
	return dialect.Upstream{Attempt: "X-Id", KeepsAttempt: true, Deadline: "X-Left", Target: "X-Target", NotRun: "X-Not-Run", AllowsCloseDelimited: true}
}

func newPlatformGate(policy *settings.Policy, lastCallFailure func() time.Time) *gate.Gate {
	return gate.New(gate.Options{
		Bodies: bodybuffer.New(testBodyMemory),
		Clock:  clock.Real{}, Dialect: platformDialect(), Log: events.Discard(), Metrics: metrics.NewRegistry(), LastCallFailure: lastCallFailure,
		Policy: func(string) *settings.Policy { return policy }, OnChange: func() {},
	})
}

func defaultPolicy() *settings.Policy {
	policy := *settings.NewResolver(settings.NewTree()).Policy(settings.Path{})
	return &policy
}

func platformRequest(id string, idempotent bool) wire.RunRequest {
	req := request(id, idempotent)
	req.Header = wire.Header{"X-Id": {id}}
	return req
}

// serveScript calls answer for each request on each connection. The connection
// is closed when answer returns false.
func serveScript(t *testing.T, answer func(con net.Conn, number int64, req *http.Request) bool) (address string, dials *atomic.Int64) {
	t.Helper()
	var requests atomic.Int64
	dials = &atomic.Int64{}
	address = rawUpstream(t, func(con net.Conn) {
		defer func() { _ = con.Close() }()
		dials.Add(1)
		reader := bufio.NewReader(con)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if !answer(con, requests.Add(1), req) {
				return
			}
		}
	})
	return address, dials
}

// writeResponse writes a 200 response with the given request id and extra
// header lines.
func writeResponse(con net.Conn, id, body, extraHeaders string) {
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extraHeaders, len(body), body)
}

// TestResponses covers the valid and invalid responses of an upstream: which
// outcome each has, and whether its connection is reused.
func TestResponses(t *testing.T) {
	cases := []struct {
		name    string
		answer  func(con net.Conn, number int64, req *http.Request) bool
		outcome outcome.Outcome
		body    string
		// dials is the expected number of connections for two requests.
		dials int64
	}{
		{"complete", func(con net.Conn, _ int64, req *http.Request) bool {
			writeResponse(con, req.Header.Get("X-Id"), "whole", "")
			return true
		}, outcome.Ran, "whole", 1},
		{"late response to another request first", func(con net.Conn, _ int64, req *http.Request) bool {
			writeResponse(con, "another", "other", "")
			writeResponse(con, req.Header.Get("X-Id"), "own", "")
			return true
		}, outcome.Ran, "own", 2},
		{"trailing bytes", func(con net.Conn, _ int64, req *http.Request) bool {
			writeResponse(con, req.Header.Get("X-Id"), "whole", "")
			_, _ = io.WriteString(con, "surplus")
			return true
		}, outcome.Ran, "whole", 2},
		{"without a request id", func(con net.Conn, _ int64, _ *http.Request) bool {
			_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			return true
		}, outcome.Ran, "whole", 2},
		{"Connection: close", func(con net.Conn, _ int64, req *http.Request) bool {
			writeResponse(con, req.Header.Get("X-Id"), "whole", "Connection: close\r\n")
			return false
		}, outcome.Ran, "whole", 2},
		{"Keep-Alive timeout within the margin", func(con net.Conn, _ int64, req *http.Request) bool {
			writeResponse(con, req.Header.Get("X-Id"), "whole", "Keep-Alive: timeout=1\r\n")
			return true
		}, outcome.Ran, "whole", 2},
		{"informational response first", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = io.WriteString(con, "HTTP/1.1 103 Early Hints\r\n\r\n")
			writeResponse(con, req.Header.Get("X-Id"), "whole", "")
			return true
		}, outcome.Ran, "whole", 1},
		{"body ends when the connection closes", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\nunframed", req.Header.Get("X-Id"))
			return false
		}, outcome.Ran, "unframed", 2},
		{"unframed body and connection reset", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\nunfra", req.Header.Get("X-Id"))
			time.Sleep(20 * time.Millisecond)
			_ = con.(*net.TCPConn).SetLinger(0)
			return false
		}, outcome.Unknown, "", 2},
		{"truncated body", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 50\r\n\r\ncut", req.Header.Get("X-Id"))
			return false
		}, outcome.Unknown, "", 2},
		{"no response", func(net.Conn, int64, *http.Request) bool { return false }, outcome.Unknown, "", 2},
		{"not HTTP", func(con net.Conn, _ int64, _ *http.Request) bool {
			_, _ = io.WriteString(con, "what is this\r\n\r\n")
			return false
		}, outcome.Unknown, "", 2},
		{"did not run", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
			return true
		}, outcome.NotRun, "", 1},
		{"another upstream has the address", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 421 Misdirected\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
			return true
		}, outcome.NotRun, "", 1},
		{"503 without a not-run header", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
			return true
		}, outcome.Ran, "", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			address, dials := serveScript(t, tc.answer)
			ga := newPlatformGate(defaultPolicy(), nil)
			announce(t, ga, address, 1)
			for number := range 2 {
				answer := ga.Run(context.Background(), platformRequest(fmt.Sprint("id-", number), false))
				is.Equal(answer.Outcome, tc.outcome)
				is.Equal(string(answer.Body), tc.body)
				time.Sleep(5 * time.Millisecond) // Lets bytes after the response arrive.
			}
			is.Equal(dials.Load(), tc.dials)
		})
	}
}

// TestEarlyResponseClosesConnection: the upstream responds to a large request
// before it has read it. The connection must not be reused, or the upstream
// would read the next request as the rest of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	address := rawUpstream(t, func(con net.Conn) {
		dials.Add(1)
		req, err := http.ReadRequest(bufio.NewReader(con))
		if err != nil {
			return
		}
		writeResponse(con, req.Header.Get("X-Id"), "early", "")
		time.Sleep(100 * time.Millisecond)
		_ = con.Close()
	})
	ga := newPlatformGate(defaultPolicy(), nil)
	announce(t, ga, address, 1)
	for number := range 2 {
		req := platformRequest(fmt.Sprint(number), true)
		req.Body = []byte(strings.Repeat("x", 16<<20))
		is.Equal(string(ga.Run(context.Background(), req).Body), "early")
	}
	is.Equal(dials.Load(), int64(2))
}

// TestRequestIsForwardedUnchanged checks the request target, the host and the
// headers that an upstream receives.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	received := make(chan *http.Request, 1)
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		writeResponse(con, req.Header.Get("X-Id"), "", "")
		received <- req
		return true
	})
	ga := newPlatformGate(defaultPolicy(), nil)
	announce(t, ga, address, 1)
	req := platformRequest("id", false)
	req.URI, req.Host = "/a%2Fb/../c?x=%20;y", "shop.example"
	is.Equal(ga.Run(context.Background(), req).Outcome, outcome.Ran)
	got := <-received
	is.Equal(got.RequestURI, req.URI)
	is.Equal(got.Host, "shop.example")
	is.Equal(got.Header.Get("X-Target"), "u")
	is.Equal(got.Header["X-Id"], []string{"id"})
	is.Equal(got.Header["User-Agent"], nil)
}

// TestConnectionsStayWithinAnnouncedLimit uses an upstream that accepts fewer
// connections than it has slots.
func TestConnectionsStayWithinAnnouncedLimit(t *testing.T) {
	is := is.New(t)
	var open peak
	address := rawUpstream(t, func(con net.Conn) {
		defer func() { _ = con.Close() }()
		open.begin()
		defer open.end()
		reader := bufio.NewReader(con)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
			writeResponse(con, req.Header.Get("X-Id"), "whole", "")
		}
	})
	ga := newPlatformGate(defaultPolicy(), nil)
	is.NoErr(ga.Announce(gate.Announcement{ID: "u", Service: "s", Address: address, Slots: 4, Connections: 2}))
	var group sync.WaitGroup
	for number := range 20 {
		group.Go(func() { ga.Run(context.Background(), platformRequest(fmt.Sprint(number), true)) })
	}
	group.Wait()
	is.Equal(open.most.Load(), int64(2))
}
