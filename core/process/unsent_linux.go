package process

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unsentBytes returns the number of bytes that the peer has not acknowledged yet.
func unsentBytes(con net.Conn) int {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return 0
	}
	unsent := 0
	control(sys, func(fd int) { unsent, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return unsent
}
