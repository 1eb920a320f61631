package process

import (
	"net"
	"time"
)

// acceptGrace is the time allowed for queued connections to be accepted.
const acceptGrace = 50 * time.Millisecond

// closeListener closes a listener without resetting connections: it refuses new
// connections, lets those that are established or in their handshake be
// accepted, and then closes.
func closeListener(lis *net.TCPListener) {
	_ = refuseNewConnections(lis) // If this fails, Close resets the connections in the accept queue.
	time.Sleep(acceptGrace)
	_ = lis.Close()
}
