package process

import "context"

// Probe tells about the peer of a request whose body isn't read, so that net/http doesn't
// notice that the peer goes away.
type Probe struct{ conn *guardedConn }

// ProbeOf returns the Probe of the connection that a request came on, or nil if the server
// has no Guard.
func ProbeOf(ctx context.Context) *Probe {
	if co, ok := ctx.Value(connKey{}).(*guardedConn); ok {
		return &Probe{conn: co}
	}
	return nil
}

// HasEnded reports whether the peer has closed its side of the connection or reset it. The
// end of a peer that has sent more than the socket takes arrives only once that is read.
func (pr *Probe) HasEnded() bool { return hasEnded(pr.conn) }

// Unread returns the number of bytes that the socket holds.
func (pr *Probe) Unread() int { return unreadBytes(pr.conn) }
