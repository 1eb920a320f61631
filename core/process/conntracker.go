package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnGrace is how long a shutdown waits for the first request on an accepted
	// connection. Callers of the platform give up an attempt that has not been read
	// after one second.
	newConnGrace = time.Second
	// connPollInterval is how often a shutdown checks for busy connections.
	connPollInterval = 5 * time.Millisecond
)

// connTracker holds the connections of a server that are not idle: those whose first
// request has not been read, and those with a request in progress.
//
// Lock order: no other lock is taken while connTracker.mu is held.
type connTracker struct {
	mu sync.Mutex
	// busy holds the time at which the connection was accepted if its first request
	// has not been read, and else the zero time.
	busy map[net.Conn]time.Time
}

func newConnTracker() *connTracker {
	return &connTracker{busy: make(map[net.Conn]time.Time)}
}

// setState is the ConnState callback of an http.Server.
func (co *connTracker) setState(con net.Conn, state http.ConnState) {
	co.mu.Lock()
	defer co.mu.Unlock()
	switch state {
	case http.StateNew:
		co.busy[con] = time.Now()
	case http.StateActive:
		co.busy[con] = time.Time{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(co.busy, con)
	}
}

// waitIdle returns when no connection is busy, or when the context ends. It does not wait
// longer than newConnGrace for the first request on a connection.
func (co *connTracker) waitIdle(ctx context.Context) {
	waitUntil(ctx, func() bool { return !co.hasBusy(time.Now()) })
}

// waitUntil polls until a condition holds, or the context ends. It reports whether it holds.
func waitUntil(ctx context.Context, holds func() bool) bool {
	for !holds() {
		select {
		case <-time.After(connPollInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (co *connTracker) hasBusy(now time.Time) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, acceptedAt := range co.busy {
		if acceptedAt.IsZero() || now.Sub(acceptedAt) < newConnGrace {
			return true
		}
	}
	return false
}

// closeSilent closes the connections whose first request has not been read. http.Server
// would wait for it for up to 5 s.
func (co *connTracker) closeSilent() {
	co.mu.Lock()
	var silent []net.Conn
	for con, acceptedAt := range co.busy {
		if !acceptedAt.IsZero() {
			silent = append(silent, con)
		}
	}
	co.mu.Unlock()
	for _, con := range silent {
		_ = con.Close()
	}
}
