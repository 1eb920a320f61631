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
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

// foreign is a dialect like that of a platform: callers' ids are repeated, the
// upstream says when it did not run, and its identity is checked.
func foreign() dialect.Upstream {
	return dialect.Upstream{Attempt: "X-Id", KeepsAttempt: true, Deadline: "X-Left", Target: "X-Target", NotRun: "X-Not-Run", EndsByClose: true}
}

func newForeignGate(policy *settings.Policy, callFailed func() time.Time) *gate.Gate {
	return gate.New(gate.Options{
		Clock: clock.Real{}, Dialect: foreign(), Log: events.Discard(), Metrics: metrics.NewRegistry(), CallFailed: callFailed,
		Policy: func(string) *settings.Policy { return policy }, Changed: func() {},
	})
}

func defaultPolicy() *settings.Policy {
	policy := *settings.NewResolver(settings.NewTree()).Policy(settings.Path{})
	return &policy
}

func foreignRequest(id string, idempotent bool) wire.RunRequest {
	req := request(id, idempotent)
	req.Header = wire.Header{"X-Id": {id}}
	return req
}

// serveScript answers each request of each connection by a function, which says
// whether the connection goes on.
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

func write(con net.Conn, id, body, more string) {
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

// TestAnswers goes through what an upstream may send in place of an answer.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name    string
		answer  func(con net.Conn, number int64, req *http.Request) bool
		outcome outcome.Outcome
		body    string
		// dials is how many connections two requests need.
		dials int64
	}{
		{"whole", func(con net.Conn, _ int64, req *http.Request) bool {
			write(con, req.Header.Get("X-Id"), "whole", "")
			return true
		}, outcome.Ran, "whole", 1},
		{"late answer to another request first", func(con net.Conn, _ int64, req *http.Request) bool {
			write(con, "another", "other", "")
			write(con, req.Header.Get("X-Id"), "own", "")
			return true
		}, outcome.Ran, "own", 2},
		{"surplus bytes after it", func(con net.Conn, _ int64, req *http.Request) bool {
			write(con, req.Header.Get("X-Id"), "whole", "")
			_, _ = io.WriteString(con, "surplus")
			return true
		}, outcome.Ran, "whole", 2},
		{"without an id", func(con net.Conn, _ int64, _ *http.Request) bool {
			_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			return true
		}, outcome.Ran, "whole", 2},
		{"asks to close", func(con net.Conn, _ int64, req *http.Request) bool {
			write(con, req.Header.Get("X-Id"), "whole", "Connection: close\r\n")
			return false
		}, outcome.Ran, "whole", 2},
		{"keeps connections for no time", func(con net.Conn, _ int64, req *http.Request) bool {
			write(con, req.Header.Get("X-Id"), "whole", "Keep-Alive: timeout=1\r\n")
			return true
		}, outcome.Ran, "whole", 2},
		{"informs first", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = io.WriteString(con, "HTTP/1.1 103 Early Hints\r\n\r\n")
			write(con, req.Header.Get("X-Id"), "whole", "")
			return true
		}, outcome.Ran, "whole", 1},
		{"ends with its connection", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\nunframed", req.Header.Get("X-Id"))
			return false
		}, outcome.Ran, "unframed", 2},
		{"unframed and reset", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\nunfra", req.Header.Get("X-Id"))
			time.Sleep(20 * time.Millisecond)
			_ = con.(*net.TCPConn).SetLinger(0)
			return false
		}, outcome.Unknown, "", 2},
		{"cut", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 50\r\n\r\ncut", req.Header.Get("X-Id"))
			return false
		}, outcome.Unknown, "", 2},
		{"no answer at all", func(net.Conn, int64, *http.Request) bool { return false }, outcome.Unknown, "", 2},
		{"bytes that are no answer", func(con net.Conn, _ int64, _ *http.Request) bool {
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
		{"a 503 that says nothing may have run", func(con net.Conn, _ int64, req *http.Request) bool {
			_, _ = fmt.Fprintf(con, "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
			return true
		}, outcome.Ran, "", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			address, dials := serveScript(t, tc.answer)
			ga := newForeignGate(defaultPolicy(), nil)
			announce(t, ga, address, 1)
			for number := range 2 {
				answer := ga.Run(context.Background(), foreignRequest(fmt.Sprint("id-", number), false))
				is.Equal(answer.Outcome, tc.outcome)
				is.Equal(string(answer.Body), tc.body)
				time.Sleep(5 * time.Millisecond) // What comes after the answer has come.
			}
			is.Equal(dials.Load(), tc.dials)
		})
	}
}

// TestEarlyAnswerEndsTheConnection answers a long request before it was read:
// the next one must not be taken for the rest of it.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	address := rawUpstream(t, func(con net.Conn) {
		dials.Add(1)
		req, err := http.ReadRequest(bufio.NewReader(con))
		if err != nil {
			return
		}
		write(con, req.Header.Get("X-Id"), "early", "")
		time.Sleep(100 * time.Millisecond)
		_ = con.Close()
	})
	ga := newForeignGate(defaultPolicy(), nil)
	announce(t, ga, address, 1)
	for number := range 2 {
		req := foreignRequest(fmt.Sprint(number), true)
		req.Body = []byte(strings.Repeat("x", 16<<20))
		is.Equal(string(ga.Run(context.Background(), req).Body), "early")
	}
	is.Equal(dials.Load(), int64(2))
}

// TestRequestTravelsUnchanged looks at what an upstream gets.
func TestRequestTravelsUnchanged(t *testing.T) {
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		write(con, req.Header.Get("X-Id"), "", "")
		seen <- req
		return true
	})
	ga := newForeignGate(defaultPolicy(), nil)
	announce(t, ga, address, 1)
	req := foreignRequest("id", false)
	req.URI, req.Host = "/a%2Fb/../c?x=%20;y", "shop.example"
	is.Equal(ga.Run(context.Background(), req).Outcome, outcome.Ran)
	got := <-seen
	is.Equal(got.RequestURI, req.URI)
	is.Equal(got.Host, "shop.example")
	is.Equal(got.Header.Get("X-Target"), "u")
	is.Equal(got.Header["X-Id"], []string{"id"})
	is.Equal(got.Header["User-Agent"], nil)
}

// TestConnectionsStayWithinTheAnnouncedBound has an upstream that takes fewer
// connections than it has slots.
func TestConnectionsStayWithinTheAnnouncedBound(t *testing.T) {
	is := is.New(t)
	var open, most atomic.Int64
	address := rawUpstream(t, func(con net.Conn) {
		defer func() { _ = con.Close() }()
		now := open.Add(1)
		defer open.Add(-1)
		for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
		}
		reader := bufio.NewReader(con)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
			write(con, req.Header.Get("X-Id"), "whole", "")
		}
	})
	ga := newForeignGate(defaultPolicy(), nil)
	is.NoErr(ga.Announce(gate.Announcement{ID: "u", Service: "s", Address: address, Slots: 4, Connections: 2}))
	var group sync.WaitGroup
	for number := range 20 {
		group.Go(func() { ga.Run(context.Background(), foreignRequest(fmt.Sprint(number), true)) })
	}
	group.Wait()
	is.Equal(most.Load(), int64(2))
}
