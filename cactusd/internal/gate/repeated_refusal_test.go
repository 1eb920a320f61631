package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/outcome"
)

// writeRefusal writes a response that says that a request was not run. An empty id is left
// out.
func writeRefusal(con net.Conn, id, status string) {
	if id != "" {
		id = "X-Id: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(con, "HTTP/1.1 %s\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, id)
}

// TestRepeatedRefusalIsNotOneOfTheNextRequest lets an upstream write an earlier refusal once
// more on a kept connection, in place of the response to a request that it has run. That
// request must not be reported as not run: it may then be sent again.
func TestRepeatedRefusalIsNotOneOfTheNextRequest(t *testing.T) {
	const busy, misdirected = "503 Busy", "421 Misdirected"
	for _, status := range []string{busy, misdirected} {
		for _, tc := range []struct {
			name string
			// first is the id of the first request, and repeated the one in the refusal that
			// takes the place of the response to the second, which has the id own.
			first, repeated string
		}{
			{"with the id of the earlier request", "earlier", "earlier"},
			{"without an id", "earlier", ""},
			{"after a retry of the refused request on its connection", "own", "own"},
		} {
			t.Run(status+" "+tc.name, func(t *testing.T) {
				is := is.New(t)
				var refused net.Conn
				ran := 0
				address, _ := serveScript(t, func(con net.Conn, number int64, req *http.Request) bool {
					if number == 1 {
						refused = con
						writeRefusal(con, tc.first, status)
						return true
					}
					ran++
					if con == refused {
						writeRefusal(con, tc.repeated, status)
					}
					writeResponse(con, req.Header.Get("X-Id"), "whole", "")
					return true
				})
				ga := newPlatformGate(defaultPolicy(), nil)
				announce(t, ga, address, 1)
				is.Equal(ga.Run(context.Background(), platformRequest(tc.first, false)).Outcome, outcome.NotRun)
				answer := ga.Run(context.Background(), platformRequest("own", false))
				is.Equal(ran, 1)
				is.True(answer.Outcome != outcome.NotRun)
				is.True(answer.Outcome == outcome.Unknown || string(answer.Body) == "whole")
			})
		}
	}
}

// TestRefusalsWithoutIDHoldNoSlots covers an upstream that returns the id in its responses
// but not in its refusals, as when those come from a layer in front of it. Its refusals must
// be passed on at once: the first on a kept connection as unknown, those on connections of
// their own as what they are.
func TestRefusalsWithoutIDHoldNoSlots(t *testing.T) {
	is := is.New(t)
	address, dials := serveScript(t, func(con net.Conn, number int64, req *http.Request) bool {
		if number <= 2 {
			writeResponse(con, req.Header.Get("X-Id"), "whole", "")
			return true
		}
		writeRefusal(con, "", "503 Busy")
		return true
	})
	ga := newPlatformGate(defaultPolicy(), nil)
	announce(t, ga, address, 1)
	start := time.Now()
	want := []outcome.Outcome{outcome.Ran, outcome.Ran, outcome.Unknown, outcome.NotRun, outcome.NotRun, outcome.NotRun}
	for number, wanted := range want {
		is.Equal(ga.Run(context.Background(), platformRequest(fmt.Sprint("id-", number), false)).Outcome, wanted)
	}
	is.True(time.Since(start) < time.Second) // Each has 5 s.
	is.Equal(dials.Load(), int64(4))         // One for the first three, and one for each other.
}

// TestMissingIDsKeepToTheAnnouncedConnections checks that kept connections are closed when
// each request gets one of its own: together they may be more than the upstream accepts.
func TestMissingIDsKeepToTheAnnouncedConnections(t *testing.T) {
	is := is.New(t)
	const slots = 4
	var open openConns
	var requests atomic.Int64
	address := rawUpstream(t, func(con net.Conn) {
		defer func() { _ = con.Close() }()
		open.add(con)
		defer open.remove(con)
		reader := bufio.NewReader(con)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(20 * time.Millisecond)
			if requests.Add(1) <= slots {
				writeResponse(con, req.Header.Get("X-Id"), "whole", "")
			} else {
				writeRefusal(con, "", "503 Busy")
			}
		}
	})
	ga := newPlatformGate(defaultPolicy(), nil)
	announce(t, ga, address, slots)
	for round, parallel := range []int{slots, 1, slots, slots} {
		var group sync.WaitGroup
		for number := range parallel {
			group.Go(func() {
				ga.Run(context.Background(), platformRequest(fmt.Sprint(round, "-", number), false))
			})
		}
		group.Wait()
	}
	is.True(open.most <= slots)
}

// openConns counts the connections of an upstream that the gate has not closed.
type openConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	most  int
}

// add adds a connection that the gate has opened. What it closed before has ended by now,
// whether or not the goroutine that serves it has noticed.
func (op *openConns) add(con net.Conn) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if op.conns == nil {
		op.conns = make(map[net.Conn]bool)
	}
	op.conns[con] = true
	open := 0
	for other := range op.conns {
		if !isClosedByPeer(other) {
			open++
		}
	}
	op.most = max(op.most, open)
}

func (op *openConns) remove(con net.Conn) {
	op.mu.Lock()
	defer op.mu.Unlock()
	delete(op.conns, con)
}

// isClosedByPeer reports whether the peer has closed or reset a connection.
func isClosedByPeer(con net.Conn) bool {
	raw, err := con.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		count, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && count == 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || closed
}
