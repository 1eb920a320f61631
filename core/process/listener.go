package process

import (
	"net"
	"time"
)

// acceptGrace is how long connections that were made have to be accepted, and
// then how long net/http may take to know of one that was accepted.
const acceptGrace = 50 * time.Millisecond

// drain closes a listener without resetting connections: new ones are refused,
// those that were made or are being made are accepted, then it closes.
func drain(lis *net.TCPListener) {
	_ = refuseNew(lis) // Without it, closing resets those that wait.
	time.Sleep(acceptGrace)
	_ = lis.Close()
	time.Sleep(acceptGrace)
}
