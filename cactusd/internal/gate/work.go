package gate

import (
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/workcost"
)

// expectedTimeFactor times the median latency of its kind is the time that
// a request must have left to get a slot. Most requests finish within it,
// so few slots are spent on requests that miss their deadline.
const expectedTimeFactor = 1.2

// workload estimates the work of the requests to an upstream. It is used if the settings
// say so (costAware) and the gate gives wait estimates. The guard's lock protects it.
type workload struct {
	active    bool
	estimator *workcost.Estimator
	running   map[*runningWork]struct{}
}

// runningWork is the work of a request that holds a slot.
type runningWork struct {
	class     workcost.Class
	startedAt time.Time
	expected  workcost.Expectation
}

func newWorkload(budget *workcost.NodeBudget) *workload {
	return &workload{estimator: workcost.New(budget), running: make(map[*runningWork]struct{})}
}

// configureWork applies the settings. What was learned is dropped when they switch the
// estimates off. The caller holds the lock.
func (gu *guard) configureWork(policy *settings.Policy) {
	active := policy.CostAware && policy.Quotes > 0
	if active == gu.work.active {
		return
	}
	gu.work.active = active
	if active {
		gu.queue.SetRests(gu.work.rests)
		return
	}
	gu.queue.SetRests(nil)
	gu.work.estimator.Close()
}

// forgetWork drops what was learned, for an upstream that is removed.
func (gu *guard) forgetWork() {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.work.active = false // Requests that still run teach it nothing.
	gu.work.estimator.Close()
}

// rests returns the expected remaining times of the requests that hold slots.
func (wo *workload) rests(now time.Time) []time.Duration {
	rests := make([]time.Duration, 0, len(wo.running)+1)
	for run := range wo.running {
		rests = append(rests, wo.estimator.Rest(run.expected, now.Sub(run.startedAt)))
	}
	return rests
}

// expectedTime returns how long a request of a kind is expected to take at the
// upstream. The caller holds the lock.
func (gu *guard) expectedTime(now time.Time, kind string) time.Duration {
	return time.Duration(expectedTimeFactor * float64(gu.latency(kind).Expected(now)))
}

// expectedCost returns the time that a request must have left to get a slot, and the time
// that it is expected to hold the slot, or 0 if that is not estimated. The caller holds
// the lock.
func (gu *guard) expectedCost(now time.Time, class workcost.Class) (expected, work time.Duration) {
	if !gu.work.active {
		return gu.expectedTime(now, class.Kind), 0
	}
	exp := gu.work.estimator.Expect(now, class)
	if exp.Fresh {
		expected = exp.Likely()
	}
	return expected, exp.Mean
}

// beginWork records that a request has got a slot. It returns nil if costs are not
// estimated.
func (gu *guard) beginWork(now time.Time, req wire.RunRequest) *runningWork {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if !gu.work.active {
		return nil
	}
	run := &runningWork{class: classOf(req), startedAt: now}
	run.expected = gu.work.estimator.Expect(now, run.class)
	gu.work.estimator.Begin(now, run.class)
	gu.work.running[run] = struct{}{}
	return run
}

// endWork learns from a request that has released its slot, unless its duration says
// nothing about the work. The caller holds the lock.
func (gu *guard) endWork(now time.Time, run *runningWork, isSample bool) {
	if run == nil {
		return
	}
	delete(gu.work.running, run)
	if !isSample || !gu.work.active {
		return
	}
	took := now.Sub(run.startedAt)
	gu.work.estimator.Observe(now, run.class, run.expected, took)
	if run.expected.Mean > 0 {
		gu.opts.Metrics.Observe("gate.expectedMicros", run.expected.Mean)
		gu.opts.Metrics.Observe("gate.expectationErrorMicros", (took - run.expected.Mean).Abs())
	}
}

// addFields adds the estimate to the log fields of an attempt. The actual duration is
// among them already.
func (ru *runningWork) addFields(fields logrus.Fields, took time.Duration) {
	if ru == nil {
		return
	}
	fields["expectedMillis"], fields["spreadMillis"] = ru.expected.Mean.Milliseconds(), ru.expected.Spread.Milliseconds()
	fields["errorMillis"] = (took - ru.expected.Mean).Milliseconds()
}

// classOf returns the class of a request by which its cost is estimated.
func classOf(req wire.RunRequest) workcost.Class {
	return workcost.Class{Kind: req.Kind, Organisation: req.Firm, Size: req.SizeClass, Shape: req.PathShape}
}
