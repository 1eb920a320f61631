package gate

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout is the limit for connecting to an upstream, which runs on the
	// same VM.
	dialTimeout = time.Second
	// defaultKeepAlive is the idle timeout of a connection whose upstream sends
	// no Keep-Alive timeout. Common servers close idle connections after 5 s or
	// more.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the Keep-Alive timeout of an upstream,
	// so that no request is sent while the upstream closes the connection.
	keepAliveMargin = time.Second
	readBufferSize  = 4 << 10
	// maxRefused is the number of refusals after which a connection is closed.
	maxRefused = 64
)

// connection is a connection to an upstream. It serves one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	head   *headReader
	// isReused is set once the connection has served a request.
	isReused bool
	// refused holds the ids of the requests that were refused on the connection.
	refused map[string]bool
	// idleSince is when the last response was complete, and idleTimeout how
	// long the connection may stay idle after it.
	idleSince   time.Time
	idleTimeout time.Duration

	// writing is held during each write. lossErr is the error of the first write that
	// found the connection lost.
	writing sync.Mutex
	lossErr error
}

func newConnection(raw net.Conn) *connection {
	con := &connection{Conn: raw, idleTimeout: defaultKeepAlive}
	con.head = &headReader{source: con}
	con.reader = bufio.NewReaderSize(con.head, readBufferSize)
	return con
}

// Write writes to the connection and keeps the error if the connection is lost.
func (co *connection) Write(data []byte) (int, error) {
	co.writing.Lock()
	defer co.writing.Unlock()
	count, err := co.Conn.Write(data)
	if co.lossErr == nil && isLoss(err) {
		co.lossErr = err
	}
	return count, err
}

// isLoss reports whether the error of a write means that the connection is lost. EPIPE
// alone doesn't: it follows a reset that came after the upstream had ended its direction.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read reads from the connection. It returns io.EOF only if the upstream has ended its
// direction of the connection.
//
// The kernel reports a reset to one system call only. If that is a write, the next read
// returns no data and no error, as at the regular end. The result of a write in progress is
// therefore awaited.
func (co *connection) Read(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	if !errors.Is(err, io.EOF) || !co.endsWrites() {
		return count, err
	}
	co.writing.Lock()
	defer co.writing.Unlock()
	if co.lossErr != nil {
		return count, fmt.Errorf("connection lost during a write: %w", co.lossErr)
	}
	return count, err
}

// connPool holds the idle connections to one upstream.
//
// Lock order: no other lock is taken while connPool.mu is held.
type connPool struct {
	address      string
	maxIdleConns int

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

// get returns a reusable connection that was used less than maxIdleTime ago, or
// dials a new one. A request that was refused on a connection doesn't get it again: a
// second copy of the refusal could not be told from the response.
func (co *connPool) get(ctx context.Context, id string, maxIdleTime time.Duration) (*connection, error) {
	for {
		con := co.pop(id)
		if con == nil {
			return co.dial(ctx)
		}
		if time.Since(con.idleSince) < min(con.idleTimeout, maxIdleTime) && con.isReusable() {
			return con, nil
		}
		_ = con.Close()
	}
}

// put returns a connection to the pool after a complete response.
func (co *connPool) put(con *connection) {
	con.idleSince, con.isReused = time.Now(), true
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(con.refused) >= maxRefused || co.closed || len(co.idle) >= co.maxIdleConns {
		_ = con.Close()
		return
	}
	co.idle = append(co.idle, con)
}

// close closes the idle connections. Connections that are returned later are
// closed too.
func (co *connPool) close() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.closed = true
	co.dropIdle()
}

// closeIdle closes the idle connections.
func (co *connPool) closeIdle() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.dropIdle()
}

// dropIdle closes the idle connections. The caller holds the lock.
func (co *connPool) dropIdle() {
	for _, con := range co.idle {
		_ = con.Close()
	}
	co.idle = nil
}

// pop removes the idle connection that was used last and that hasn't refused the request
// with the given id. It returns nil if there is none.
func (co *connPool) pop(id string) *connection {
	co.mu.Lock()
	defer co.mu.Unlock()
	for index, con := range slices.Backward(co.idle) {
		if !con.refused[id] {
			co.idle = slices.Delete(co.idle, index, index+1)
			return con
		}
	}
	return nil
}

// recordRefusal records that the request with the given id was refused.
func (co *connection) recordRefusal(id string) {
	if co.refused == nil {
		co.refused = make(map[string]bool)
	}
	co.refused[id] = true
}

func (co *connPool) dial(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", co.address)
	if err != nil {
		return nil, fmt.Errorf("dial upstream: %w", err)
	}
	return newConnection(raw), nil
}

// isReusable reports whether an idle connection is open and has no unread
// bytes. Bytes that arrive between two requests belong to neither of them.
func (co *connection) isReusable() bool {
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
	reusable := false
	err = sys.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// setKeepAlive sets the idle timeout from the upstream's Keep-Alive header.
func (co *connection) setKeepAlive(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			co.idleTimeout = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
}
