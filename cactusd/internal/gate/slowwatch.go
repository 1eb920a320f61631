package gate

import (
	"sync"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/gray"
)

const (
	// slowSteps is how often one piece of work counts as slow while it lasts,
	// each time after slowStepFactor times as long.
	slowSteps      = 3
	slowStepFactor = 3
)

// slowWatch tells the judge of work in flight that has lasted too long.
type slowWatch struct {
	mu      sync.Mutex
	timer   *time.Timer
	slow    bool
	stopped bool
}

func (gu *guard) watchSlow(req wire.RunRequest) *slowWatch {
	gu.mu.Lock()
	bound := gu.judge.SlowBound(req.Baseline, req.Target)
	gu.mu.Unlock()
	sw := &slowWatch{}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.arm(gu, req, bound, bound, slowSteps)
	return sw
}

// arm sets the timer of the next step; the caller holds the watch's lock.
func (sw *slowWatch) arm(gu *guard, req wire.RunRequest, after, lasted time.Duration, steps int) {
	if steps == 0 {
		return
	}
	sw.timer = time.AfterFunc(after, func() {
		sw.mu.Lock()
		defer sw.mu.Unlock()
		if sw.stopped {
			return
		}
		gu.observeSlow(req, !sw.slow)
		sw.slow = true
		sw.arm(gu, req, lasted*(slowStepFactor-1), lasted*slowStepFactor, steps-1)
	})
}

// stop ends the watch and says whether the work was slow.
func (sw *slowWatch) stop() bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.stopped = true
	sw.timer.Stop()
	return sw.slow
}

// observeSlow takes work that has lasted too long; isFirst says that it was not
// taken before.
func (gu *guard) observeSlow(req wire.RunRequest, isFirst bool) {
	gu.mu.Lock()
	now := gu.opts.Clock.Now()
	gu.judge.ObserveSlow(now, req.Baseline)
	if isFirst {
		gu.filter.Observe(now, now, gray.Overdue)
	}
	changed := gu.noteState(now)
	gu.mu.Unlock()
	if changed {
		gu.opts.Changed()
	}
}
