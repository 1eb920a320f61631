package process

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// noInterface is the index of a network interface that does not exist.
const noInterface = 0x7fffffff

// refuseNew makes the kernel refuse new connections to a listener. It binds the
// listener to an interface that no packet comes from; connections that were
// begun before no longer need to find the listener by address, so they become
// whole and wait to be accepted.
func refuseNew(lis *net.TCPListener) error {
	raw, err := lis.SyscallConn()
	if err != nil {
		return fmt.Errorf("refuse new connections: %w", err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	if err != nil {
		return fmt.Errorf("refuse new connections: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("refuse new connections: %w", setErr)
	}
	return nil
}
