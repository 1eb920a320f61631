package process

import (
	"net"
	"sync"
	"time"
)

// acceptedGrace is how long after its acceptance a connection may not be known
// to net/http yet.
const acceptedGrace = 50 * time.Millisecond

// drainingListener is a listener that can be closed without resetting the
// connections that wait to be accepted.
type drainingListener struct {
	*net.TCPListener

	mu      sync.Mutex
	drained []net.Conn
}

// Accept returns the next connection; after drain, those that were waiting.
func (dr *drainingListener) Accept() (net.Conn, error) {
	con, err := dr.TCPListener.Accept()
	if err == nil {
		return con, nil
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if len(dr.drained) == 0 {
		return nil, err //nolint:wrapcheck // net/http compares it.
	}
	con = dr.drained[0]
	dr.drained = dr.drained[1:]
	return con, nil
}

// drain accepts what waits, stops listening at once after it, and gives
// net/http the time to take up what was accepted.
func (dr *drainingListener) drain() {
	dr.mu.Lock()
	dr.drained = append(dr.drained, acceptWaiting(dr.TCPListener)...)
	dr.mu.Unlock()
	_ = dr.Close()
	time.Sleep(acceptedGrace)
}
