package process

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

const (
	// defaultBodyMemory limits the bodies that a process holds, in bytes, if the memory of
	// the VM isn't known. Three quarters of it, 16.5 MiB, are for bodies over 64 KiB, which
	// holds two of the largest or four of 4 MB at a time.
	defaultBodyMemory = 22 << 20
	// Divisors that give parts of the VM's memory: the bodies, and all that connections
	// hold.
	bodyFraction  = 8
	totalFraction = 4
	// runtimePercent is the limit of the Go runtime in percent of the VM's memory. Pages of
	// the program, and what the runtime needs beyond its limit at the height of a crowd,
	// add 20 MB: 1,500 connections on a VM of 184 MB reached 97 MB with 50 percent.
	runtimePercent = 40
	// sweepInterval is how often stalled connections are looked for and closed ones logged.
	sweepInterval = time.Second
	// bodyCost is the memory in bytes that a handler needs for each byte of a body that it
	// reads into a growing slice.
	bodyCost = 2
	percent  = 100
)

// Guard keeps what the peers of a process make it hold within limits: connections,
// memory, and requests without progress. All servers of a process share one.
type Guard struct {
	limits  Limits
	budget  *bodybuffer.Buffer
	log     *events.Logger
	metrics *metrics.Registry

	mu    sync.Mutex
	conns map[*guardedConn]struct{}
	// lingering holds the closed connections whose peers may still read an answer.
	lingering map[*guardedConn]struct{}
	sweeping  bool
	// closed counts connections by reason since the last log line.
	closed map[string]int
}

// NewGuard returns a Guard. If the memory of the VM is known, it also limits the memory
// of the Go runtime, unless GOMEMLIMIT does.
func NewGuard(lim Limits, log *events.Logger, reg *metrics.Registry) *Guard {
	budget := bodybuffer.Limits{Bodies: defaultBodyMemory, Accounts: lim.Connections}
	if lim.Memory > 0 {
		budget.Bodies, budget.Total = lim.Memory/bodyFraction, lim.Memory/totalFraction
		if os.Getenv("GOMEMLIMIT") == "" {
			debug.SetMemoryLimit(int64(lim.Memory) * runtimePercent / percent)
		}
	}
	return &Guard{
		limits: lim, budget: bodybuffer.NewBudget(budget, clock.Real{}), log: log, metrics: reg,
		conns: make(map[*guardedConn]struct{}), lingering: make(map[*guardedConn]struct{}), closed: make(map[string]int),
	}
}

// Bodies returns the memory budget.
func (gu *Guard) Bodies() *bodybuffer.Buffer { return gu.budget }

// listener returns a listener whose connections have accounts, and use TLS unless cfg is nil.
// A nil Guard opens no accounts. Once cut is set, connections that are closed don't linger.
func (gu *Guard) listener(lis net.Listener, cfg *tls.Config, cut *atomic.Bool) net.Listener {
	switch {
	case gu != nil:
		return &guardedListener{Listener: lis, guard: gu, tls: cfg, cut: cut}
	case cfg != nil:
		return tls.NewListener(lis, cfg)
	}
	return lis
}

type guardedListener struct {
	net.Listener
	guard *Guard
	tls   *tls.Config
	cut   *atomic.Bool
}

// Accept returns the next connection that the limits admit.
func (gl *guardedListener) Accept() (net.Conn, error) {
	for {
		con, err := gl.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http looks at the error of the listener.
		}
		if guarded := gl.guard.admit(con, gl.tls, gl.cut); guarded != nil {
			return guarded, nil
		}
		gl.guard.count("refused." + string(bodybuffer.ReasonConnections))
		reset(con)
	}
}

// admit opens the account of a connection. It returns nil if there is none left. What is
// charged is what net/http gets, behind TLS. The handshake is a part of the first read, and
// so has to end within the time for a head.
func (gu *Guard) admit(con net.Conn, cfg *tls.Config, cut *atomic.Bool) *guardedConn {
	co := &guardedConn{Conn: con, socket: con, guard: gu, cut: cut}
	if cfg != nil {
		co.Conn = tls.Server(con, cfg)
	}
	co.account = gu.budget.Open(co.giveWay)
	if co.account == nil {
		return nil
	}
	co.inHead.Store(true)
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.conns[co] = struct{}{}
	if !gu.sweeping {
		gu.sweeping = true
		go gu.sweep()
	}
	return co
}

// forget ends the account of a connection that is closed, or that has become a link.
func (gu *Guard) forget(co *guardedConn) {
	co.account.Close()
	gu.mu.Lock()
	defer gu.mu.Unlock()
	delete(gu.conns, co)
}

// release forgets a connection, unless it lingers.
func (gu *Guard) release(co *guardedConn) {
	gu.mu.Lock()
	_, lingers := gu.lingering[co]
	gu.mu.Unlock()
	if !lingers {
		gu.forget(co)
	}
}

// count counts a connection that was closed or refused.
func (gu *Guard) count(reason string) {
	gu.metrics.Counter("connections." + reason).Inc(1)
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.closed[reason]++
}

// sweep closes stalled connections and writes the log, as long as there are connections.
func (gu *Guard) sweep() {
	for {
		time.Sleep(sweepInterval)
		gu.mu.Lock()
		all := make([]*guardedConn, 0, len(gu.conns))
		for co := range gu.conns {
			all = append(all, co)
		}
		closed := gu.closed
		gu.closed = make(map[string]int)
		gu.sweeping = len(all) > 0
		gu.mu.Unlock()
		gu.report(closed)
		if len(all) == 0 {
			return
		}
		for _, co := range all {
			co.observeWrite()
		}
		if gu.limits.Stall > 0 {
			gu.budget.CloseStalled(gu.limits.Stall)
		}
	}
}

// report writes the log line and the gauges.
func (gu *Guard) report(closed map[string]int) {
	count, held := gu.budget.Accounts()
	gu.metrics.Gauge("connections.open").Update(int64(count))
	gu.metrics.Gauge("connections.heldBytes").Update(int64(held))
	if len(closed) == 0 {
		return
	}
	fields := logrus.Fields{"open": count, "heldBytes": held}
	for reason, times := range closed {
		fields[reason] = times
	}
	gu.log.Write(events.ConnectionsClosed, fields)
}

// reset closes a connection and drops what is queued in its socket.
func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}

// setGuardState is the ConnState callback of a guarded server.
func setGuardState(con net.Conn, state http.ConnState) {
	co, ok := con.(*guardedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
	case http.StateActive:
		co.begin()
	case http.StateIdle:
		co.end()
	case http.StateHijacked, http.StateClosed:
		co.released.Store(true)
		co.guard.release(co)
	}
}

type connKey struct{}

// withAccount is the ConnContext callback of a guarded server.
func withAccount(ctx context.Context, con net.Conn) context.Context {
	if co, ok := con.(*guardedConn); ok {
		return bodybuffer.WithAccount(context.WithValue(ctx, connKey{}, co), co.account)
	}
	return ctx
}

// limitAhead ends connections whose peers send many requests without waiting for answers.
// The requests behind the last one that is answered have not run.
func limitAhead(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if co, ok := req.Context().Value(connKey{}).(*guardedConn); ok && co.ahead >= maxAhead {
			co.guard.count("closed.pipelined")
			wr.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(wr, req)
	})
}

// chargeBodies charges what a handler reads of a body to the connection.
func chargeBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if co, ok := req.Context().Value(connKey{}).(*guardedConn); ok && req.Body != nil && req.Body != http.NoBody {
			req.Body = &chargedBody{ReadCloser: req.Body, conn: co}
		}
		handler.ServeHTTP(wr, req)
	})
}

type chargedBody struct {
	io.ReadCloser
	conn *guardedConn
}

// Read reads a part of the body and charges it. If there is no memory left it aborts the
// request without an answer: a status would say that the request was invalid.
func (ch *chargedBody) Read(data []byte) (int, error) {
	count, err := ch.ReadCloser.Read(data)
	if count > 0 && !ch.conn.account.Reserve(bodyCost*count) {
		ch.conn.guard.count("closed." + string(bodybuffer.ReasonMemory))
		panic(http.ErrAbortHandler)
	}
	return count, err //nolint:wrapcheck // Handlers look at the error of the body.
}
