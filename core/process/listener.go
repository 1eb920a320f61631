package process

import (
	"context"
	"net"
	"time"
)

const (
	// acceptGrace is the time allowed for handshakes that have begun to complete.
	acceptGrace = 50 * time.Millisecond
	// acceptPollInterval is how often the length of the accept queue is checked.
	acceptPollInterval = 5 * time.Millisecond
)

// closeListener closes a listener without resetting connections: it refuses new
// connections, waits until those that are established or in their handshake have been
// accepted, and then closes. On a busy machine the goroutine that accepts may not run for
// longer than acceptGrace, so the length of the accept queue decides. The wait ends early
// if the context ends or served is closed, after which nothing is accepted.
func closeListener(ctx context.Context, lis *net.TCPListener, served <-chan struct{}) {
	_ = refuseNewConnections(lis) // If this fails, Close resets the connections in the accept queue.
	waitAccepted(ctx, lis, served)
	_ = lis.Close()
}

// waitAccepted waits for acceptGrace, and then until the accept queue is empty.
func waitAccepted(ctx context.Context, lis *net.TCPListener, served <-chan struct{}) {
	timer := time.NewTimer(acceptGrace)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-served:
			return
		case <-ctx.Done():
			return
		}
		if length, err := acceptQueueLength(lis); err != nil || length == 0 {
			return // Without the length, acceptGrace is all that can be waited for.
		}
		timer.Reset(acceptPollInterval)
	}
}
