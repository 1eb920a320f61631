package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// asyncWriterCapacity is the maximum number of lines queued for a slow reader.
const asyncWriterCapacity = 512

// AsyncWriter is an io.Writer that never blocks. It writes lines in the background, and
// drops and counts those that arrive while its queue is full.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	once    sync.Once
}

// NewAsyncWriter returns an AsyncWriter that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	aw := &AsyncWriter{out: out, lines: make(chan []byte, asyncWriterCapacity), done: make(chan struct{})}
	go aw.run()
	return aw
}

// Close writes the queued lines, but returns after the timeout at the latest.
func (aw *AsyncWriter) Close(timeout time.Duration) {
	aw.once.Do(func() { close(aw.lines) })
	select {
	case <-aw.done:
	case <-time.After(timeout):
	}
}

// Dropped returns the number of lines that were dropped or could not be written.
func (aw *AsyncWriter) Dropped() int64 { return aw.dropped.Load() }

// Write queues or drops one line, and always succeeds. It must not be called after
// Close.
func (aw *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case aw.lines <- append([]byte(nil), line...):
	default:
		aw.dropped.Add(1)
	}
	return len(line), nil
}

func (aw *AsyncWriter) run() {
	defer close(aw.done)
	for line := range aw.lines {
		if _, err := aw.out.Write(line); err != nil {
			aw.dropped.Add(1)
		}
	}
}

// rateLimiter limits the number of log lines per second. Warnings and failed
// requests may use the whole limit, other events only routineShare of it.
//
// Lock order: no other lock is taken while rateLimiter.mu is held.
type rateLimiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time
	written     int
	dropped     int
}

// routineShare is the fraction of the limit that routine events may use. The rest is
// reserved for warnings and failed requests.
const routineShare = 0.7

// allow reports whether a line may be written. If the line is the first one of a new
// window of a second, dropped is the number of lines dropped in the last window.
func (ra *rateLimiter) allow(now time.Time, isImportant bool) (ok bool, dropped int) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if now.Sub(ra.windowStart) >= time.Second {
		dropped = ra.dropped
		ra.windowStart, ra.written, ra.dropped = now, 0, 0
	}
	limit := ra.perSecond
	if !isImportant {
		limit = int(routineShare * float64(ra.perSecond))
	}
	if ra.written >= limit {
		ra.dropped++
		return false, dropped
	}
	ra.written++
	return true, dropped
}

// WithRateLimit returns a Logger that writes at most perSecond lines per second.
func (lo *Logger) WithRateLimit(perSecond int) *Logger {
	return &Logger{entry: lo.entry, limit: &rateLimiter{perSecond: perSecond}}
}

// isImportant reports whether an event may use the whole rate limit: warnings, errors
// and failed requests.
func isImportant(event Event) bool {
	return event.Level <= logrus.WarnLevel || event.Number == RequestFailed.Number
}
