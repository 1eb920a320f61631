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
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	_ = raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return unsent
}
