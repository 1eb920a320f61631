package gate

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resetTimeout is how long to wait for the reset of a connection that the upstream
	// has closed. It runs on the same VM and answers within microseconds.
	resetTimeout = 20 * time.Millisecond
	// resetPollInterval is how often the connection is looked at meanwhile.
	resetPollInterval = time.Millisecond
	// The states of a connection in the kernel: tcpEstablished and tcpCloseWait before a
	// reset, tcpClose after it.
	tcpEstablished = 1
	tcpCloseWait   = 8
	tcpClose       = 7
)

// tcpInfo returns what the kernel knows about the connection, or nil if that can't be told.
func (co *connection) tcpInfo() *unix.TCPInfo {
	raw, isRaw := co.Conn.(syscall.Conn)
	if !isRaw {
		return nil
	}
	sys, err := raw.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	err = sys.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = got
		}
	})
	if err != nil {
		return nil
	}
	return info
}

// endsWrites reports whether the connection is closed in both directions, so that no write
// waits for the upstream. Writes end as well if that can't be told.
func (co *connection) endsWrites() bool {
	info := co.tcpInfo()
	if info == nil {
		_ = co.SetWriteDeadline(time.Unix(1, 0))
		return true
	}
	return info.State == tcpClose
}

// ackedBytes returns how many bytes the upstream's side has acknowledged, and whether the
// connection was reset. It returns false if that can't be told. Every connection that has
// served a request has acknowledged bytes; where the counter is 0 the system doesn't keep it.
func (co *connection) ackedBytes() (acked uint64, isReset, ok bool) {
	info := co.tcpInfo()
	if info == nil {
		return 0, false, false
	}
	acked, isReset = info.Bytes_acked, info.State == tcpClose
	return acked, isReset, acked > 0 && (isReset || info.State == tcpEstablished || info.State == tcpCloseWait)
}

// ackedBeforeWrite returns how many bytes were acknowledged before a request is written, or
// 0 if that can't be told.
func (co *connection) ackedBeforeWrite() uint64 {
	acked, isReset, ok := co.ackedBytes()
	if !ok || isReset {
		return 0
	}
	return acked
}

// isUnread reports whether the upstream had closed the connection before it received a
// byte of the request, which was written after ackedBefore bytes were acknowledged. The
// caller has read the end of the connection instead of a response.
//
// The segment that ends a connection acknowledges what arrived before it, so the request
// arrived later. If the upstream has only ended its own direction, its side accepts the
// request and may read it; otherwise it answers with a reset.
func (co *connection) isUnread(ackedBefore uint64) bool {
	if ackedBefore == 0 {
		return false
	}
	for waited := time.Duration(0); waited < resetTimeout; waited += resetPollInterval {
		acked, isReset, ok := co.ackedBytes()
		if !ok || acked != ackedBefore {
			return false
		}
		if isReset {
			return true
		}
		time.Sleep(resetPollInterval)
	}
	return false
}
