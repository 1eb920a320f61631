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
package bodybuffer

import (
	"errors"
	"fmt"
	"io"
	"sync"
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
	limit int

	mu   sync.Mutex
	used int
}

// New returns a Buffer that holds up to limit bytes.
func New(limit int) *Buffer {
	return &Buffer{limit: limit}
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
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := bu.grow(body)
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

// Release returns the memory of a body that Read returned. Call it once for each body.
func (bu *Buffer) Release(body []byte) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used -= cap(body)
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
