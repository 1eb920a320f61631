//go:build !linux

package process

import "net"

// unsentBytes returns 0, since the system call exists only on Linux.
func unsentBytes(net.Conn) int { return 0 }
