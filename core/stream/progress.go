package stream

import (
	"sync"
	"time"
)

// progressTimer calls a function when a stream makes no progress: when its source is silent
// for the stall timeout, or its reader takes nothing for the reader timeout.
type progressTimer struct {
	mu    sync.Mutex
	opts  *Options
	timer *time.Timer
	// awaitsReader is set while the timer runs for the reader.
	awaitsReader bool
	stopped      bool
}

// start starts the timer with its first timeout.
func (pt *progressTimer) start(opts *Options, timeout time.Duration, expire func()) {
	pt.mu.Lock() // The timer must be set before it expires.
	defer pt.mu.Unlock()
	pt.opts = opts
	pt.timer = time.AfterFunc(timeout, expire)
}

// awaitSource starts the timer for the source, unless it runs since the last progress.
func (pt *progressTimer) awaitSource() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	if !pt.stopped && pt.awaitsReader {
		pt.awaitsReader = false
		pt.timer.Reset(pt.opts.StallTimeout)
	}
}

// awaitReader starts the timer for the reader after progress.
func (pt *progressTimer) awaitReader() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	if !pt.stopped {
		pt.awaitsReader = true
		pt.timer.Reset(pt.opts.ReaderTimeout)
	}
}

// stop stops the timer for good.
func (pt *progressTimer) stop() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.stopped = true
	pt.timer.Stop()
}
