package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// spoolLines is how many lines may wait for a reader that is slow.
const spoolLines = 512

// Spool is an io.Writer that never blocks: lines are written in the background,
// and those that come while too many wait are left out and counted.
type Spool struct {
	out     io.Writer
	lines   chan []byte
	ended   chan struct{}
	leftOut atomic.Int64
	once    sync.Once
}

// NewSpool returns a Spool that writes to out until it is closed.
func NewSpool(out io.Writer) *Spool {
	sp := &Spool{out: out, lines: make(chan []byte, spoolLines), ended: make(chan struct{})}
	go sp.run()
	return sp
}

// Close writes what waits, for at most a while.
func (sp *Spool) Close(patience time.Duration) {
	sp.once.Do(func() { close(sp.lines) })
	select {
	case <-sp.ended:
	case <-time.After(patience):
	}
}

// LeftOut returns how many lines were left out.
func (sp *Spool) LeftOut() int64 { return sp.leftOut.Load() }

// Write takes one line; it always succeeds. It must not be called after Close.
func (sp *Spool) Write(line []byte) (int, error) {
	select {
	case sp.lines <- append([]byte(nil), line...):
	default:
		sp.leftOut.Add(1)
	}
	return len(line), nil
}

func (sp *Spool) run() {
	defer close(sp.ended)
	for line := range sp.lines {
		if _, err := sp.out.Write(line); err != nil {
			sp.leftOut.Add(1)
		}
	}
}

// allowance bounds the lines of a process in each second. Warnings and failed
// requests may use all of it, the rest only a part.
//
// Lock order: allowance.mu is a leaf.
type allowance struct {
	perSecond int

	mu      sync.Mutex
	began   time.Time
	used    int
	leftOut int
}

// commonShare is the part of the allowance that is open to common lines.
const commonShare = 0.7

// take says whether a line may be written, and how many were left out in the
// second before.
func (al *allowance) take(now time.Time, isImportant bool) (ok bool, leftOut int) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if now.Sub(al.began) >= time.Second {
		leftOut = al.leftOut
		al.began, al.used, al.leftOut = now, 0, 0
	}
	most := al.perSecond
	if !isImportant {
		most = int(commonShare * float64(al.perSecond))
	}
	if al.used >= most {
		al.leftOut++
		return false, leftOut
	}
	al.used++
	return true, leftOut
}

// WithLimit returns a Logger that writes at most so many lines a second.
func (lo *Logger) WithLimit(perSecond int) *Logger {
	return &Logger{entry: lo.entry, limit: &allowance{perSecond: perSecond}}
}

// isImportant says whether an event is kept when lines must be left out.
func isImportant(event Event) bool {
	return event.Level <= logrus.WarnLevel || event.Number == RequestFailed.Number
}
