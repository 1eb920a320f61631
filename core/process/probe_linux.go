package process

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasEnded reports whether the peer has ended the connection, also behind unread bytes.
func hasEnded(con syscall.Conn) bool {
	ended := false
	control(con, func(fd int) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(state, 0)
		ended = err == nil && count > 0
	})
	return ended
}

// unreadBytes returns the number of bytes that have arrived and were not read.
func unreadBytes(con syscall.Conn) int {
	unread := 0
	control(con, func(fd int) { unread, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return unread
}

// control calls a function with the descriptor of a connection, unless it is closed.
func control(con syscall.Conn, fn func(fd int)) {
	raw, err := con.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { fn(int(fd)) })
}
