//go:build !linux

package process

import "net"

// acceptWaiting does nothing where it is not built for.
func acceptWaiting(*net.TCPListener) []net.Conn { return nil }
