package process

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"cactusstream.example/core/bodybuffer"
)

const (
	// lineCost and headByteCost are the memory in bytes that net/http and the handler use
	// for each line and each byte of a head.
	lineCost     = 128
	headByteCost = 4
	// maxHeadLines limits the lines of a head. One of 16,384 bytes, the most that callers
	// may send, has at most 4,096.
	maxHeadLines = 4096
	// smallWrite is the largest write that is not charged, in bytes: net/http's own buffer
	// holds it.
	smallWrite = 4 << 10
	// writePiece is the size of the pieces in which a large answer is written, in bytes.
	writePiece = 64 << 10
	// sendBuffer is the size of the send buffer of a connection that gets a large answer, in
	// bytes. By default a kernel lets it grow to 4 MB, and takes more only once a third of it
	// is free, so that a slow reader's progress is hidden for longer than a stall may take.
	// It is enough for 37 MB/s at a round trip of 3.5 ms.
	sendBuffer = 128 << 10
	// maxAhead is the number of requests that a peer may send in a row without waiting for
	// an answer. The answer to the last one ends the connection.
	maxAhead = 100
)

var (
	errHeadTooLong = errors.New("process: the head of the request has too many lines")
	errNoMemory    = errors.New("process: no memory for the connection")
	errRefusedHead = errors.New("process: the head of the request was refused")
)

// headCounter counts the lines of a head. Bytes after its end don't count.
type headCounter struct {
	lines   int
	isEmpty bool
	ended   bool
}

// add returns the number of lines that end in data.
func (he *headCounter) add(data []byte) int {
	before := he.lines
	for _, char := range data {
		switch {
		case he.ended:
			return he.lines - before
		case char == '\n':
			he.ended = he.isEmpty && he.lines > 0
			he.lines++
			he.isEmpty = true
		case char != '\r':
			he.isEmpty = false
		}
	}
	return he.lines - before
}

// guardedConn is a connection whose reads and writes are charged to an account.
type guardedConn struct {
	net.Conn
	// socket is the accepted connection, which is under Conn if that uses TLS.
	socket  net.Conn
	guard   *Guard
	account *bodybuffer.Account
	// released is set once the connection is closed or has become a link.
	released atomic.Bool
	// inHead is set until the head of the next request has been read.
	inHead atomic.Bool
	head   headCounter
	// ahead counts the requests since a read of a head last found less than it asked for. A
	// peer that waits for answers makes it 1 at most, or a few if its heads are large. Only
	// the goroutine of net/http that serves the connection uses it.
	ahead int
	// closing is set by the first call of Close. cut is that of the server.
	closing atomic.Bool
	cut     *atomic.Bool
	// peerEnded is set once a read has found the end of the connection, broken once a write
	// has failed, refused once a head was refused, and hasWritten with the first write.
	peerEnded  atomic.Bool
	broken     atomic.Bool
	refused    atomic.Bool
	hasWritten atomic.Bool
	// written counts the bytes that were written until the send buffer was limited. Writes
	// don't run concurrently.
	written int
	writing atomic.Bool
	unsent  int // Used by the sweep only.
}

// Read reads from the peer. A read of one byte is the one by which net/http notices that
// the peer goes away while a request runs, and doesn't wait for the peer.
func (co *guardedConn) Read(data []byte) (int, error) {
	if co.closing.Load() {
		return 0, net.ErrClosed
	}
	if len(data) <= 1 || co.released.Load() {
		return co.readNext(data)
	}
	co.account.Await()
	count, err := co.readNext(data)
	co.account.Moved(count)
	if co.inHead.Load() && count < len(data) {
		co.ahead = 0 // Nothing else was queued in the socket.
	}
	if count > 0 && co.inHead.Load() {
		if refusal := co.chargeHead(data[:count]); refusal != nil {
			co.refused.Store(true)
			if unsentBytes(co.socket) == 0 {
				reset(co.socket)
			}
			return 0, refusal
		}
	}
	return count, err
}

// readNext reads from the peer and notes its end.
func (co *guardedConn) readNext(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		co.peerEnded.Store(true)
	}
	return count, err //nolint:wrapcheck // net/http looks at the error.
}

// chargeHead charges a part of a head before net/http parses it. A part that exceeds the
// limits has not run.
func (co *guardedConn) chargeHead(data []byte) error {
	if co.head.ended {
		return nil
	}
	lines := co.head.add(data)
	if co.head.lines > maxHeadLines {
		co.guard.count("refused.headLines")
		return errHeadTooLong
	}
	if !co.account.Reserve(headByteCost*len(data) + lineCost*lines) {
		co.guard.count("refused." + string(bodybuffer.ReasonMemory))
		return errNoMemory
	}
	return nil
}

// Write writes to the peer. A large answer counts as held until the socket has taken it.
func (co *guardedConn) Write(data []byte) (int, error) {
	if co.released.Load() {
		return co.Conn.Write(data) //nolint:wrapcheck // net/http looks at the error.
	}
	if co.refused.Load() {
		return 0, errRefusedHead // net/http would answer a request that has not been read.
	}
	co.hasWritten.Store(true)
	if len(data) > smallWrite {
		held := cap(data) // The answer's array, of which data may be a part.
		if !co.account.Reserve(held) {
			co.guard.count("closed." + string(bodybuffer.ReasonMemory))
			reset(co.socket)
			return 0, errNoMemory
		}
		defer co.account.Return(held)
	}
	co.limitSendBuffer(len(data))
	written := 0
	for {
		piece := data[written:min(len(data), written+writePiece)]
		co.account.Await()
		co.writing.Store(true)
		count, err := co.Conn.Write(piece)
		co.writing.Store(false)
		co.account.Moved(count)
		written += count
		if err != nil {
			co.broken.Store(true)
		}
		if err != nil || written == len(data) {
			return written, err //nolint:wrapcheck // net/http looks at the error.
		}
	}
}

// limitSendBuffer limits the send buffer once more is written than it holds, so that
// ordinary connections, and those that become links, keep the kernel's.
func (co *guardedConn) limitSendBuffer(count int) {
	if co.written > sendBuffer {
		return
	}
	co.written += count
	if co.written <= sendBuffer {
		return
	}
	if sized, ok := co.socket.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = sized.SetWriteBuffer(sendBuffer) // Without it, the reader only has to be faster.
	}
}

// begin marks the start of a request.
func (co *guardedConn) begin() {
	co.inHead.Store(false)
	co.ahead++
	co.account.Begin()
}

// end marks the end of an answer.
func (co *guardedConn) end() {
	co.head = headCounter{}
	co.inHead.Store(true)
	co.account.End()
}

// CloseWrite closes the writing side, which net/http does before it closes a connection
// whose request has not been read to its end.
func (co *guardedConn) CloseWrite() error {
	half, ok := co.Conn.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	if err := half.CloseWrite(); err != nil {
		return fmt.Errorf("close write: %w", err)
	}
	return nil
}

// SetLinger sets what Close does with data that the peer has not acknowledged, as that of
// net.TCPConn does. Handlers that take a connection over end it with a reset by it.
func (co *guardedConn) SetLinger(seconds int) error {
	tcp, ok := co.socket.(interface{ SetLinger(seconds int) error })
	if !ok {
		return net.ErrClosed
	}
	if err := tcp.SetLinger(seconds); err != nil {
		return fmt.Errorf("set linger: %w", err)
	}
	return nil
}

// SyscallConn returns the raw connection.
func (co *guardedConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := co.socket.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return raw.SyscallConn() //nolint:wrapcheck // The wrapper adds nothing.
}

// observeWrite counts what the peer has acknowledged since the last call of a write that
// waits. The socket accepts more only once a third of its buffer is free, so the write
// itself doesn't show the progress of a slow reader.
func (co *guardedConn) observeWrite() {
	if !co.writing.Load() {
		co.unsent = 0
		return
	}
	unsent := unsentBytes(co.socket)
	if unsent < co.unsent {
		co.account.Progress(co.unsent - unsent)
	}
	co.unsent = unsent
}
