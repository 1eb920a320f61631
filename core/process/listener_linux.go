package process

import (
	"errors"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// acceptWaiting accepts every connection that waits at a listener and stops
// listening in the next system call, so that almost none can come between; the
// kernel resets those that are not accepted.
func acceptWaiting(lis *net.TCPListener) []net.Conn {
	raw, err := lis.SyscallConn()
	if err != nil {
		return nil
	}
	var fds []int
	err = raw.Control(func(fd uintptr) {
		for {
			con, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			if err != nil {
				break
			}
			fds = append(fds, con)
		}
		_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
	})
	if err != nil {
		return nil
	}
	conns := make([]net.Conn, 0, len(fds))
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "accepted")
		if con, err := net.FileConn(file); err == nil {
			conns = append(conns, con)
		}
		_ = file.Close()
	}
	return conns
}
