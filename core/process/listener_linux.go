package process

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// unusedInterfaceIndex is an interface index that no network interface has.
const unusedInterfaceIndex = 0x7fffffff

// refuseNewConnections makes the kernel refuse new connections to a listener by
// binding the listening socket to an interface that does not exist. Handshakes
// that have already begun no longer look up the listener by address, so they
// complete and remain in the accept queue.
func refuseNewConnections(lis *net.TCPListener) error {
	raw, err := lis.SyscallConn()
	if err != nil {
		return fmt.Errorf("refuse new connections: %w", err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, unusedInterfaceIndex)
	})
	if err != nil {
		return fmt.Errorf("refuse new connections: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("refuse new connections: %w", setErr)
	}
	return nil
}

// acceptQueueLength returns the number of established connections that wait to be
// accepted. For a listening socket, the kernel returns it in place of the number of
// unacknowledged segments.
func acceptQueueLength(lis *net.TCPListener) (int, error) {
	raw, err := lis.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("length of the accept queue: %w", err)
	}
	var info *unix.TCPInfo
	var getErr error
	err = raw.Control(func(fd uintptr) { info, getErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		return 0, fmt.Errorf("length of the accept queue: %w", err)
	}
	if getErr != nil {
		return 0, fmt.Errorf("length of the accept queue: %w", getErr)
	}
	return int(info.Unacked), nil
}
