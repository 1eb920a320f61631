//go:build !linux

package process

import "net"

// refuseNewConnections does nothing, since the socket option that it needs
// exists only on Linux.
func refuseNewConnections(*net.TCPListener) error { return nil }

// acceptQueueLength returns 0, since the socket option that it needs exists only on Linux.
func acceptQueueLength(*net.TCPListener) (int, error) { return 0, nil }
