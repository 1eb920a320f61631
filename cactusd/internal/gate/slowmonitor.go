package gate

import (
	"sync"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/failureburst"
)

const (
	// maxSlowReports is how many times a single request in flight counts as slow.
	// Each report is sent when the request has lasted slowReportFactor times as
	// long as at the report before.
	maxSlowReports   = 3
	slowReportFactor = 3
)

// slowMonitor reports a request in flight to the health detector once it is
// slow.
type slowMonitor struct {
	mu      sync.Mutex
	timer   *time.Timer
	slow    bool
	stopped bool
}

// monitorSlow starts the slowMonitor of a request.
func (gu *guard) monitorSlow(req wire.RunRequest) *slowMonitor {
	threshold := gu.slowThreshold(req)
	sm := &slowMonitor{}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.arm(gu, req, threshold, threshold, maxSlowReports)
	return sm
}

func (gu *guard) slowThreshold(req wire.RunRequest) time.Duration {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.detector.SlowThreshold(req.Baseline, req.Target)
}

// arm starts the timer for the next report, which is due after delay. elapsed is
// how long the request will have lasted by then. The caller holds the monitor's
// lock.
func (sm *slowMonitor) arm(gu *guard, req wire.RunRequest, delay, elapsed time.Duration, reportsLeft int) {
	if reportsLeft == 0 {
		return
	}
	sm.timer = time.AfterFunc(delay, func() {
		sm.mu.Lock()
		defer sm.mu.Unlock()
		if sm.stopped {
			return
		}
		gu.observeSlow(req, !sm.slow)
		sm.slow = true
		sm.arm(gu, req, elapsed*(slowReportFactor-1), elapsed*slowReportFactor, reportsLeft-1)
	})
}

// stop ends the monitoring and reports whether the request was slow.
func (sm *slowMonitor) stop() bool {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.stopped = true
	sm.timer.Stop()
	return sm.slow
}

// observeSlow reports a slow request in flight to the health detector, and to
// the failure burst filter if it is the first report of the request.
func (gu *guard) observeSlow(req wire.RunRequest, isFirst bool) {
	if gu.recordSlow(req, isFirst) {
		gu.opts.OnChange()
	}
}

// recordSlow is the part of observeSlow that holds the lock. It reports whether the
// announced record changed.
func (gu *guard) recordSlow(req wire.RunRequest, isFirst bool) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	gu.detector.ObserveSlow(now, req.Baseline)
	if isFirst {
		gu.burstFilter.Observe(now, now, failureburst.Overdue)
	}
	return gu.updateState(now)
}
