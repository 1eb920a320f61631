package gate

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds how long an upstream on the own VM may take to accept.
	dialTimeout = time.Second
	// defaultKeepAlive is how long a connection is used whose upstream names no
	// time; common servers close idle ones after 5 s or more.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is left of the time that an upstream names, so that a
	// request does not cross its close.
	keepAliveMargin = time.Second
	readBufferSize  = 4 << 10
)

// connection is one connection to an upstream; it serves one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is when its last answer ended, and keepFor how long it may be idle.
	usedAt  time.Time
	keepFor time.Duration
}

// connections are the idle connections to one upstream.
//
// Lock order: connections.mu is a leaf.
type connections struct {
	address string
	most    int

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

// take returns an idle connection that was used less than maxIdle ago and shows
// no sign of its end, or a new one.
func (co *connections) take(ctx context.Context, maxIdle time.Duration) (*connection, error) {
	for {
		con := co.pop()
		if con == nil {
			return co.dial(ctx)
		}
		if time.Since(con.usedAt) < min(con.keepFor, maxIdle) && con.isQuiet() {
			return con, nil
		}
		_ = con.Close()
	}
}

// put keeps a connection whose last answer was whole.
func (co *connections) put(con *connection) {
	con.usedAt = time.Now()
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.closed || len(co.idle) >= co.most {
		_ = con.Close()
		return
	}
	co.idle = append(co.idle, con)
}

// close closes the idle connections and keeps none from now on.
func (co *connections) close() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.closed = true
	for _, con := range co.idle {
		_ = con.Close()
	}
	co.idle = nil
}

func (co *connections) pop() *connection {
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(co.idle) == 0 {
		return nil
	}
	con := co.idle[len(co.idle)-1]
	co.idle = co.idle[:len(co.idle)-1]
	return con
}

func (co *connections) dial(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", co.address)
	if err != nil {
		return nil, fmt.Errorf("dial upstream: %w", err)
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize), keepFor: defaultKeepAlive}, nil
}

// isQuiet says whether an idle connection is open and holds no bytes: what came
// between two requests belongs to none.
func (co *connection) isQuiet() bool {
	if co.reader.Buffered() > 0 {
		return false
	}
	raw, ok := co.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	sys, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = sys.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive reads how long the upstream keeps idle connections.
func (co *connection) noteKeepAlive(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			co.keepFor = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
}
