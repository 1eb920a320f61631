package stream

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/recovery"
)

// shownTokenBytes is the length of the part of a token that dumps and logs show. The whole
// token gives access to the body.
const shownTokenBytes = 6

// Body is a body that a process offers to a peer.
type Body struct {
	Reader io.Reader
	// Length is the number of bytes, or -1 if it is not known.
	Length    int64
	Direction Direction
	// Prepare is called when a peer has begun to fetch the body, before it is told that it
	// gets it. If it returns an error, the peer gets nothing. It may be nil.
	Prepare func() error
	// OnEnd is called once, with nil when the last byte was read from Reader, and else
	// with the reason why the rest will not be read. A Read that is in progress may go
	// on after an error.
	OnEnd func(err error)
}

// Offer is a body that a process offers to a peer.
type Offer struct {
	// Token is the name of the body in messages.
	Token string

	registry  *Registry
	body      Body
	offeredAt time.Time
	moved     atomic.Int64
	// reading is set while the source is read.
	reading  atomic.Bool
	progress progressTimer

	// mu is locked before the mutex of progress.
	mu    sync.Mutex
	taken bool
	ended bool
	err   error
	// interrupt ends a write to the peer that is in progress.
	interrupt func()
}

// IsTaken reports whether a peer has begun to fetch the body.
func (of *Offer) IsTaken() bool {
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.taken
}

// Withdraw ends the stream, and reports whether a peer had begun to fetch it. If not, no
// byte was read from its Reader, and none will be.
func (of *Offer) Withdraw() bool {
	of.end(ErrWithdrawn)
	return of.IsTaken()
}

// take marks the body as fetched. It returns false if it was fetched before or has ended.
func (of *Offer) take() bool {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.taken || of.ended {
		return false
	}
	of.taken = true
	of.progress.awaitReader()
	return true
}

// prepare prepares a body that was taken. After an error the stream has ended.
func (of *Offer) prepare() error {
	if of.body.Prepare == nil {
		return nil
	}
	if err := of.body.Prepare(); err != nil {
		err = fmt.Errorf("%w: %w", ErrSource, err)
		of.end(err)
		return err
	}
	return nil
}

// onInterrupt sets the function that ends a write in progress.
func (of *Offer) onInterrupt(interrupt func()) {
	of.mu.Lock()
	of.interrupt = interrupt
	ended, err := of.ended, of.err
	of.mu.Unlock()
	if ended && err != nil {
		interrupt()
	}
}

// expire ends a stream that made no progress.
func (of *Offer) expire() {
	switch {
	case !of.IsTaken():
		of.end(ErrNotFetched)
	case of.reading.Load():
		of.end(ErrSourceStalled)
	default:
		of.end(ErrStalled)
	}
}

// end ends the stream, with nil if the whole body was read.
func (of *Offer) end(err error) {
	interrupt, isFirst := of.markEnded(err)
	if !isFirst {
		return
	}
	if err != nil && interrupt != nil {
		defer interrupt()
	}
	of.registry.remove(of, err)
	if of.body.OnEnd != nil { // A timer may be what ended the stream.
		_ = recovery.Run(of.registry.opts.Log, of.registry.opts.Metrics, logrus.Fields{"token": of.Token[:shownTokenBytes]}, func() { of.body.OnEnd(err) })
	}
}

// markEnded ends the stream for further reads. It returns false if it had ended before.
func (of *Offer) markEnded(err error) (interrupt func(), isFirst bool) {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.ended {
		return nil, false
	}
	of.ended, of.err = true, err
	of.progress.stop()
	return of.interrupt, true
}

// Read reads from the source of a body that was taken, and ends the stream at its end.
func (of *Offer) Read(data []byte) (int, error) {
	if err := of.finalError(); err != nil {
		return 0, err
	}
	of.progress.awaitSource()
	count, err := of.readSource(data)
	if count > 0 {
		of.moved.Add(int64(count))
		of.progress.awaitReader()
	}
	// A peer that has all bytes of a known length may close the connection before the
	// source has told its end.
	if errors.Is(err, io.EOF) && of.moved.Load() < of.body.Length {
		err = io.ErrUnexpectedEOF
	}
	isWhole := err == nil && of.body.Length >= 0 && of.moved.Load() == of.body.Length
	switch {
	case errors.Is(err, io.EOF), isWhole:
		of.end(nil)
		return count, of.finalError()
	case err != nil:
		of.end(fmt.Errorf("%w: %w", ErrSource, err))
		return count, of.finalError()
	}
	return count, nil
}

// readSource reads from the source. If that panics, the stream ends at once instead of at
// the stall timeout, and what its body holds is freed.
func (of *Offer) readSource(data []byte) (count int, err error) {
	of.reading.Store(true)
	returned := false
	defer func() {
		of.reading.Store(false)
		if !returned {
			of.end(ErrPanicked)
		}
	}()
	count, err = of.body.Reader.Read(data)
	returned = true
	return count, err
}

// finalError returns what a Read after the end returns, or nil if the stream is open.
func (of *Offer) finalError() error {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.ended && of.err == nil {
		return io.EOF
	}
	return of.err
}

func (of *Offer) dump() map[string]any {
	return map[string]any{
		"token": of.Token[:shownTokenBytes], "role": "offered", "direction": of.body.Direction, "length": of.body.Length,
		"bytes": of.moved.Load(), "taken": of.IsTaken(), "ageMillis": time.Since(of.offeredAt).Milliseconds(),
	}
}

func (of *Offer) logFields(err error) logrus.Fields {
	return logrus.Fields{
		"token": of.Token[:shownTokenBytes], "direction": of.body.Direction, "length": of.body.Length, "bytes": of.moved.Load(),
		"reason": reasonOf(err), "detail": err.Error(), "tookMillis": time.Since(of.offeredAt).Milliseconds(),
	}
}
