package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"cactusstream.example/core/bodybuffer"
)

const (
	// lingerTime is how long a connection is read after its peer has acknowledged all of the
	// answer. Some kernels drop what a peer has not read yet when a reset arrives.
	lingerTime = 500 * time.Millisecond
	// lingerPoll is how often a lingering connection is checked.
	lingerPoll = 50 * time.Millisecond
	// lingerBuffer is the size of the pieces in which a lingering connection is read, in
	// bytes, and lingerPause the time between two of them.
	lingerBuffer = 8 << 10
	lingerPause  = time.Millisecond
	// lingerFraction is the divisor that gives the part of the connections that may linger
	// after they had to give way to others.
	lingerFraction = 8
)

// lingerProgress decides how long a connection lingers.
type lingerProgress struct {
	// stall is how long the peer may acknowledge nothing.
	stall time.Duration
	// rest is how long the connection lingers once the peer has acknowledged everything.
	rest    time.Duration
	unsent  int
	movedAt time.Time
}

// isOver reports whether the connection may be closed, given the number of bytes that the
// peer has not acknowledged.
func (pr *lingerProgress) isOver(now time.Time, unsent int) bool {
	if unsent != pr.unsent {
		pr.unsent, pr.movedAt = unsent, now
	}
	if unsent == 0 {
		return now.Sub(pr.movedAt) >= pr.rest
	}
	return now.Sub(pr.movedAt) >= pr.stall
}

// Close closes the connection. If its peer may not have all of its last answer yet, the
// connection lingers: the writing side is closed, and the rest only once the peer has
// acknowledged the answer or stops reading it (RFC 9112, section 9.6). A socket that is
// closed with unread data, or on which more arrives after that, resets its connection, and
// drops what it has not sent yet. Close doesn't wait for that; see Guard.Wait.
func (co *guardedConn) Close() error {
	if co.released.Load() {
		return co.Conn.Close() //nolint:wrapcheck // net/http looks at the error.
	}
	if !co.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	if co.cut.Load() || !co.owesAnswer() {
		return co.Conn.Close() //nolint:wrapcheck // net/http looks at the error.
	}
	co.guard.addLingering(co)
	_ = co.socket.SetReadDeadline(time.Unix(1, 0)) // Ends a read that waits for the next request.
	go co.linger()
	return nil
}

// owesAnswer reports whether a close could drop a part of an answer. Nothing more arrives
// from a peer that has closed its own side.
func (co *guardedConn) owesAnswer() bool {
	switch {
	case co.peerEnded.Load() || co.broken.Load():
		return false
	case co.isBetweenRequests():
		return unsentBytes(co.socket) > 0
	}
	return co.hasWritten.Load()
}

// isBetweenRequests reports whether no answer has ended the connection. What the peer has
// sent stays unread then, so that it is known that no request of it has run.
func (co *guardedConn) isBetweenRequests() bool { return co.inHead.Load() || co.refused.Load() }

// linger closes the connection in steps.
func (co *guardedConn) linger() {
	defer co.guard.removeLingering(co)
	defer func() { _ = co.Conn.Close() }()
	co.account.End()
	co.account.Await()
	_ = co.CloseWrite()
	if half, ok := co.socket.(interface{ CloseWrite() error }); ok && co.socket != co.Conn {
		_ = half.CloseWrite() // TLS leaves the socket open.
	}
	progress := &lingerProgress{stall: co.guard.limits.Stall, unsent: unsentBytes(co.socket), movedAt: time.Now()}
	if progress.stall == 0 {
		progress.stall = defaultStall
	}
	await := func() error {
		time.Sleep(lingerPoll)
		return nil
	}
	if !co.isBetweenRequests() {
		progress.rest = lingerTime
		buf := make([]byte, lingerBuffer)
		await = func() error { return co.discard(buf) }
	}
	for !co.isRead(progress) {
		if await() != nil {
			return // The peer has closed its side as well.
		}
	}
	if progress.unsent > 0 {
		co.guard.count("closed.unread")
	}
}

// discard reads what the peer goes on to send, for lingerPoll at most.
func (co *guardedConn) discard(buf []byte) error {
	_ = co.socket.SetReadDeadline(time.Now().Add(lingerPoll))
	count, err := co.socket.Read(buf)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("discard: %w", err)
	}
	if count > 0 {
		time.Sleep(lingerPause) // Limits what a peer that never stops sending costs.
	}
	return nil
}

// isRead reports whether the connection has lingered for long enough, and counts what the
// peer has acknowledged since the last call as progress.
func (co *guardedConn) isRead(pr *lingerProgress) bool {
	unsent := unsentBytes(co.socket)
	if unsent < pr.unsent {
		co.account.Progress(pr.unsent - unsent)
	}
	return pr.isOver(time.Now(), unsent)
}

// giveWay closes the connection because others need what it holds.
func (co *guardedConn) giveWay(reason bodybuffer.Reason) {
	co.guard.count("closed." + string(reason))
	isIdle := co.inHead.Load() && !co.closing.Load()
	switch {
	case isIdle && !co.owesAnswer():
		_ = co.socket.Close()
	case isIdle && co.guard.hasRoomToLinger():
		_ = co.Close()
	default:
		reset(co.socket)
	}
}

func (gu *Guard) addLingering(co *guardedConn) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.lingering[co] = struct{}{}
}

func (gu *Guard) removeLingering(co *guardedConn) {
	gu.forget(co)
	gu.mu.Lock()
	defer gu.mu.Unlock()
	delete(gu.lingering, co)
}

// hasRoomToLinger limits the descriptors of connections that linger without an account.
func (gu *Guard) hasRoomToLinger() bool {
	return gu.lingeringCount() < max(gu.limits.Connections/lingerFraction, 1)
}

// Wait returns once no connection lingers any more. A process that exits earlier may cut
// answers that are still being read. If the context ends first, it returns an error.
func (gu *Guard) Wait(ctx context.Context) error {
	if waitUntil(ctx, func() bool { return gu.lingeringCount() == 0 }) {
		return nil
	}
	return fmt.Errorf("%d peers have not read their answers: %w", gu.lingeringCount(), ctx.Err())
}

func (gu *Guard) lingeringCount() int {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return len(gu.lingering)
}
