// Package bodybuffer reads the bodies of requests and responses into memory, within a
// limit for each body and one for all bodies that a process holds at once.
//
// The second limit keeps a process alive when many peers send large bodies at the same
// time, or bodies without end: the bodies that exceed it fail, and the process and its
// other requests go on. A part of the memory is reserved for small bodies, so that a
// peer that sends endless ones doesn't make those of others fail.
//
// Usage:
//
//	buf := bodybuffer.New(16 << 20)
//	body, err := buf.Read(reader, limit)
//	defer buf.Release(body)
//
// A Buffer is also the budget of a process for what it holds for its peers. Each
// connection has an account, to which its heads, bodies and answers are charged. When
// the budget runs short, the accounts that hold most and have made no progress for
// longest are closed first. docs/design/overload-of-clients.md says why.
//
//	buf := bodybuffer.NewBudget(limits, clock.Real{})
//	account := buf.Open(closeConnection)
//	body, err := buf.ReadFor(account, reader, limit)
package bodybuffer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"cactusstream.example/core/clock"
)

const (
	// minCapacity is the first capacity of a body, in bytes. It doubles when it is used
	// up.
	minCapacity = 4 << 10
	// maxSmall is the largest capacity, in bytes, of a body that may use the reserved
	// memory, and reservedFraction the divisor that gives that part of the limit.
	maxSmall         = 64 << 10
	reservedFraction = 4
)

var (
	// ErrTooLarge is returned for a body that is larger than its limit.
	ErrTooLarge = errors.New("bodybuffer: the body is larger than its limit")
	// ErrFull is returned when the bodies that the process holds leave no memory for
	// another one.
	ErrFull = errors.New("bodybuffer: the memory for bodies is used up")
)

// Buffer counts the memory of the bodies that a process holds. It is safe for
// concurrent use.
type Buffer struct {
	limit  int
	limits Limits
	clock  clock.Clock

	mu       sync.Mutex
	used     int
	accounts map[*Account]struct{}
	// total is the sum of what the accounts hold.
	total int
	// lastPass is the time of the last search for memory, and lastRefusal that of the last
	// search for a connection in vain.
	lastPass    time.Time
	lastRefusal time.Time
}

// New returns a Buffer that holds up to limit bytes.
func New(limit int) *Buffer {
	return NewBudget(Limits{Bodies: limit}, clock.Real{})
}

// Used returns the number of bytes held.
func (bu *Buffer) Used() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.used
}

// Read reads a body until EOF. It stops as soon as the body exceeds limit bytes, or
// the bodies held exceed the limit of the Buffer, and does not read the rest. The
// caller passes the body to Release once the body is not needed any more.
func (bu *Buffer) Read(reader io.Reader, limit int) ([]byte, error) {
	return bu.ReadFor(nil, reader, limit)
}

// ReadFor is Read for a body that is charged to an account, which may be nil. If there is
// no memory for the body, accounts that have made no progress give way.
func (bu *Buffer) ReadFor(ac *Account, reader io.Reader, limit int) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := bu.growFor(ac, body)
			if err != nil {
				bu.Release(body)
				return nil, err
			}
			body = grown
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if len(body) > limit {
			bu.Release(body)
			return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			bu.Release(body)
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// ReadStart reads a body of up to limit bytes that is charged to an account, which may be
// nil. If the body is larger, or the bodies held
// leave no memory for it, it returns what it has read and a reader of the rest. Otherwise
// rest is nil. The caller passes start to Release.
func (bu *Buffer) ReadStart(ac *Account, reader io.Reader, limit int) (start []byte, rest io.Reader, err error) {
	for len(start) < limit {
		if len(start) == cap(start) {
			grown, err := bu.growFor(ac, start)
			if err != nil {
				return start, reader, nil //nolint:nilerr // The rest shows that not all was read.
			}
			start = grown
		}
		count, err := reader.Read(start[len(start):min(cap(start), limit)])
		start = start[:len(start)+count]
		if errors.Is(err, io.EOF) {
			return start, nil, nil
		}
		if err != nil {
			bu.Release(start)
			return nil, nil, fmt.Errorf("read body: %w", err)
		}
	}
	return bu.checkEnd(reader, start)
}

// checkEnd returns a body that has as many bytes as may be read, and a reader of the rest
// if there is one.
func (bu *Buffer) checkEnd(reader io.Reader, start []byte) ([]byte, io.Reader, error) {
	for {
		next := make([]byte, 1)
		count, err := reader.Read(next)
		switch {
		case count > 0:
			return start, io.MultiReader(bytes.NewReader(next), &failedReader{reader, err}), nil
		case errors.Is(err, io.EOF):
			return start, nil, nil
		case err != nil:
			bu.Release(start)
			return nil, nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// failedReader returns an error that came with the last bytes, or reads on if there was
// none.
type failedReader struct {
	io.Reader
	err error
}

func (fa *failedReader) Read(data []byte) (int, error) {
	if fa.err != nil {
		return 0, fa.err
	}
	return fa.Reader.Read(data)
}

// Hold counts a body that is in memory already, such as one that came in a message. It
// does not fail, since the memory is in use in any case; other bodies find less.
func (bu *Buffer) Hold(body []byte) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used += cap(body)
}

// Release returns the memory of a body that Read, ReadStart or Hold counted. Call it once for each body.
func (bu *Buffer) Release(body []byte) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used -= cap(body)
}

// growFor is grow for a body of an account.
func (bu *Buffer) growFor(ac *Account, body []byte) ([]byte, error) {
	grown, err := bu.grow(body)
	if err != nil && bu.freeBodies(ac, max(minCapacity, cap(body))) {
		for waited := time.Duration(0); err != nil && waited < freeWait; waited += passInterval {
			time.Sleep(passInterval)
			grown, err = bu.grow(body)
		}
	}
	if err != nil || ac == nil {
		return grown, err
	}
	if !ac.Reserve(cap(grown) - cap(body)) {
		bu.Release(grown)
		bu.mu.Lock()
		bu.used += cap(body) // The caller releases the body as it was.
		bu.mu.Unlock()
		return nil, fmt.Errorf("%w: no memory for the connection", ErrFull)
	}
	return grown, nil
}

// grow returns a copy of a body with a larger capacity.
func (bu *Buffer) grow(body []byte) ([]byte, error) {
	capacity := max(minCapacity, 2*cap(body))
	limit := bu.limit
	if capacity > maxSmall {
		limit -= bu.limit / reservedFraction
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.used-cap(body)+capacity > limit {
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrFull, bu.used, bu.limit)
	}
	bu.used += capacity - cap(body)
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	return grown, nil
}
