package gate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/budget"
	"cactusstream.example/core/events"
	"cactusstream.example/core/failureburst"
	"cactusstream.example/core/health"
	"cactusstream.example/core/member"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/rankqueue"
	"cactusstream.example/core/workcost"
)

const (
	// idlePollInterval is how often a shutdown checks for requests in flight.
	idlePollInterval = 5 * time.Millisecond
	// leftRetention is how long the guard of an upstream that left is kept. Without a
	// start time, delayed announcements can't be recognised after that.
	leftRetention = 5 * time.Second
	// maxTrackedKinds is the number of request kinds whose latencies are kept.
	// When it is reached, all latencies are discarded.
	maxTrackedKinds = 256
	// minRemaining is the smallest remaining time that an upstream gets. A request may get
	// its slot just before its deadline.
	minRemaining = time.Millisecond
)

// guard controls the requests to one upstream. It holds the upstream's slots
// and queue, its health detector, its failure burst filter and its retry
// budget.
type guard struct {
	ann    Announcement
	opts   Options
	client *upstreamClient
	// departed is shared by all guards of the gate.
	departed *departures
	// otherStarts is protected by Gate.mu.
	otherStarts otherStarts

	mu          sync.Mutex
	queue       *rankqueue.Queue
	detector    *health.Detector
	burstFilter *failureburst.Filter
	retryBudget budget.Ledger
	latencies   map[string]*health.Latency
	// warmAt is the end of the warm-up, or zero once tick has reported it. readyAt
	// keeps that time for the record.
	warmAt    time.Time
	readyAt   time.Time
	renewedAt time.Time
	// refusedAt is when a connection to the upstream was refused last.
	refusedAt    time.Time
	sequence     uint64
	reportedBusy int // Only for the dump.
	leaving      bool
	leftAt       time.Time
	// saidLeaving is set when an answer of the upstream said that it leaves. It isn't set
	// when the daemon stops: the upstream then stays.
	saidLeaving   bool
	trialInFlight bool
	// limit is the number of requests per second that the upstream takes, or noLimit.
	limit float64
	// limitLearned is set once an answer of the upstream has told whether there is one.
	limitLearned bool
	// startTimer runs startQueued when the limit allows the next request.
	startTimer *time.Timer
	// suspected and lastState are the values that were logged last.
	suspected bool
	lastState health.State
	work      *workload
}

func newGuard(ann Announcement, opts Options, departed *departures, costNodes *workcost.NodeBudget) *guard {
	policy := opts.Policy(ann.Service)
	now := opts.Clock.Now()
	gu := &guard{
		ann:         ann,
		opts:        opts,
		departed:    departed,
		client:      newUpstreamClient(ann, opts),
		queue:       rankqueue.New(ann.concurrency(), queuePolicy(policy)),
		detector:    health.NewDetector(healthPolicy(policy)),
		burstFilter: failureburst.NewFilter(burstPolicy(policy)),
		latencies:   make(map[string]*health.Latency),
		warmAt:      now.Add(ann.WarmUp),
		readyAt:     now.Add(ann.WarmUp),
		renewedAt:   now,
		sequence:    ann.Sequence,
		limit:       noLimit,
		work:        newWorkload(costNodes),
	}
	gu.configureWork(policy)
	gu.otherStarts.begin(now, ann.StartedAt)
	return gu
}

// matches reports whether an announcement describes the registered upstream.
func (gu *guard) matches(ann Announcement) bool {
	return gu.ann.Service == ann.Service && gu.ann.Address == ann.Address && gu.ann.Slots == ann.Slots
}

// renew renews the lease and reports whether the sequence number is higher than those
// before. It returns ErrSuperseded if an announcement with a higher one arrived before.
func (gu *guard) renew(sequence uint64) (isLater bool, err error) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if sequence < gu.sequence {
		return false, ErrSuperseded
	}
	isLater = sequence > gu.sequence
	gu.sequence = sequence
	gu.renewedAt = gu.opts.Clock.Now()
	return isLater, nil
}

// report renews the lease and stores the load that the upstream reports.
func (gu *guard) report(busy int) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.renewedAt = gu.opts.Clock.Now()
	gu.reportedBusy = busy
}

func (gu *guard) isLeaving() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.leaving
}

// isRemovable reports whether an upstream that left has no requests in flight
// and its retention time is over.
func (gu *guard) isRemovable() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.queue.Running() == 0 && gu.opts.Clock.Now().Sub(gu.leftAt) > leftRetention
}

// tick applies the current settings and every state change that depends on
// time: an expired lease, the end of the warm-up, and timeouts of the health
// detector. It reports whether the announced record changed.
func (gu *guard) tick() bool {
	expired, changed := gu.update()
	if expired {
		gu.leave("announcement expired")
	}
	return expired || changed
}

// update applies everything of a tick except the end of an expired lease.
func (gu *guard) update() (expired, changed bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	expired = !gu.leaving && now.Sub(gu.renewedAt) > Lease
	policy := gu.opts.Policy(gu.ann.Service)
	gu.detector.SetPolicy(healthPolicy(policy))
	gu.burstFilter.SetPolicy(burstPolicy(policy))
	gu.queue.SetPolicy(queuePolicy(policy))
	gu.configureWork(policy)
	warmed := !gu.warmAt.IsZero() && !now.Before(gu.warmAt)
	if warmed {
		gu.warmAt = time.Time{}
	}
	return expired, gu.updateState(now) || warmed
}

// updateState logs a change of the health state and reports whether the
// announced record changed. The caller holds the lock.
func (gu *guard) updateState(now time.Time) bool {
	changed := gu.updateSuspicion(now)
	state := gu.detector.State(now)
	if state == gu.lastState {
		return changed
	}
	event := events.UpstreamRecovered
	switch state {
	case health.Unhealthy:
		event = events.UpstreamSick
		gu.opts.Metrics.Counter("gate.sick").Inc(1)
	case health.OnTrial:
		event = events.UpstreamTrial
	}
	gu.opts.Log.Write(event, logrus.Fields{"upstream": gu.ann.ID, "service": gu.ann.Service, "reason": gu.detector.Reason()})
	gu.lastState = state
	return true
}

// record returns the upstream's record for the member table.
func (gu *guard) record() member.Upstream {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	rec := member.Upstream{ID: gu.ann.ID, Service: gu.ann.Service, Address: gu.ann.Address, Slots: gu.ann.Slots, State: member.StateReady}
	switch state := gu.detector.State(now); {
	case gu.leaving:
		rec.State = member.StateDraining
		rec.Reason = "leaving"
		rec.SinceMS = gu.leftAt.UnixMilli()
	case now.Before(gu.warmAt):
		rec.State = member.StateCold
		rec.Reason = "cold start"
		rec.SinceMS = gu.renewedAt.UnixMilli()
	case state == health.Healthy && gu.suspected && gu.opts.Policy(gu.ann.Service).Quotes == 0:
		// Suspicion changes too often for updates to the whole fleet. If
		// ingresses ask gates for wait estimates, the estimates report it, and
		// the record doesn't.
		rec.State = member.StateSuspected
		rec.Reason = "in a failure burst"
	case state == health.Healthy:
		rec.SinceMS = gu.readyAt.UnixMilli()
		if since := gu.detector.Since(); since.After(gu.readyAt) {
			rec.SinceMS = since.UnixMilli()
		}
	default:
		rec.State = member.StateUnhealthy
		if state == health.OnTrial {
			rec.State = member.StateTrial
		}
		rec.Severity = gu.detector.Severity()
		rec.Reason = gu.detector.Reason()
		rec.SinceMS = gu.detector.Since().UnixMilli()
		rec.RetryMS = gu.detector.RetryAt().UnixMilli()
	}
	return rec
}

// run waits for a slot, sends the request and records the result.
func (gu *guard) run(ctx context.Context, req wire.RunRequest) wire.RunAnswer {
	arrived := gu.opts.Clock.Now()
	if rejection, rejected := gu.admit(ctx, req); rejected {
		rejection = gu.withLoad(req.Kind, rejection)
		gu.logAttempt(req, rejection, arrived, gu.opts.Clock.Now(), nil)
		return rejection
	}
	slot := &heldSlot{req: req, arrived: arrived}
	defer gu.endSlot(slot)
	slot.started = gu.opts.Clock.Now()
	req.Remaining = max(req.Remaining-slot.started.Sub(arrived), minRemaining)
	slot.work = gu.beginWork(slot.started, req)
	slot.monitor = gu.monitorSlow(req)
	answer, res := gu.client.send(ctx, req)
	slot.body, slot.pending = answer.Body, res.pending
	slow := slot.monitor.stop()
	if res.pending != nil {
		answer = gu.passOn(slot, answer, res, slow)
	} else {
		gu.complete(slot, slow, res)
		answer = gu.withLoad(req.Kind, answer)
		gu.logAttempt(req, answer, arrived, slot.started, slot.work)
	}
	slot.isDone = true
	return answer
}

// logAttempt logs the result of an attempt and the load of the upstream.
func (gu *guard) logAttempt(req wire.RunRequest, answer wire.RunAnswer, arrived, started time.Time, work *runningWork) {
	now := gu.opts.Clock.Now()
	fields := logrus.Fields{
		"request": req.Request, "upstream": gu.ann.ID, "service": req.Service, "kind": req.Kind, "rank": req.Rank, "idempotent": req.Idempotent,
		"trial": req.Trial, "outcome": answer.Outcome, "reason": answer.Reason, "status": answer.Status, "detail": answer.Detail,
		"waitedMillis": started.Sub(arrived).Milliseconds(), "tookMillis": now.Sub(started).Milliseconds(),
		"remainingMillis": req.Remaining.Milliseconds(), "running": answer.Load.Running, "waiting": answer.Load.Queued,
	}
	work.addFields(fields, now.Sub(started))
	gu.opts.Log.Write(events.AttemptEnded, fields)
}

// admit waits for a slot and reports whether the request was rejected instead.
// Nothing of a rejected request was sent.
func (gu *guard) admit(ctx context.Context, req wire.RunRequest) (wire.RunAnswer, bool) {
	decided := make(chan rankqueue.Decision, 1)
	now := gu.opts.Clock.Now()
	item := &rankqueue.Item{Rank: req.Rank, OrganisationRank: req.OrganisationRank, Firm: req.Firm, Deadline: now.Add(req.Remaining), Target: targetTime(now, req.TargetRemaining), LastResort: req.LastResort, AttemptID: req.Attempt, OnDecision: func(dec rankqueue.Decision) { decided <- dec }}
	dec := rankqueue.Wait
	ended := false
	defer func() {
		if !ended {
			gu.abandon(req, item, dec, decided)
		}
	}()
	rejection, rejected := gu.enqueue(now, req, item, &dec)
	if rejected {
		ended = true
		return rejection, true
	}
	if dec == rankqueue.Wait {
		dec = gu.awaitSlot(ctx, item, decided)
	}
	gu.settleRetryBudget(req, now, dec)
	if dec != rankqueue.Run {
		gu.endTrial(req)
		rejection, rejected = gu.rejection(dec, item), true
	}
	ended = true
	return rejection, rejected
}

// enqueue adds a request to the queue, unless it is rejected before, and sets the decision
// of the queue.
func (gu *guard) enqueue(now time.Time, req wire.RunRequest, item *rankqueue.Item, dec *rankqueue.Decision) (wire.RunAnswer, bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.adoptLimit(now, req.KnownLimit)
	rejection, rejected := gu.checkAdmission(now, req)
	if !rejected && req.Retry && !gu.retryBudget.Admit(now, gu.budgetPolicy(), retryOf(req.Rank, req.AfterTrial)) {
		rejection, rejected = wire.NotRun(outcome.RetryBudgetExhausted, "the retry budget of the service is exhausted"), true
		gu.trialInFlight = gu.trialInFlight && !req.Trial // A trial request admitted by checkAdmission isn't sent.
	}
	if rejected {
		return rejection, true
	}
	item.ExpectedDuration, item.Work = gu.expectedCost(now, classOf(req))
	*dec = gu.queue.Add(now, item)
	gu.scheduleStart(now)
	return wire.RunAnswer{}, false
}

// checkAdmission reports whether the request is rejected before it is queued.
// The caller holds the lock.
func (gu *guard) checkAdmission(now time.Time, req wire.RunRequest) (wire.RunAnswer, bool) {
	if gu.leaving {
		return wire.NotRun(outcome.Stopping, "the upstream is leaving"), true
	}
	if now.Before(gu.warmAt) && gu.opts.Policy(gu.ann.Service).ColdPercent == 0 {
		return wire.NotRun(outcome.NoUpstream, "the upstream is still warming up"), true
	}
	if gu.burstFilter.IsSuspected(now) && !req.LastResort {
		return gu.admitTrial(now, req)
	}
	if !req.Trial || gu.detector.State(now) == health.Healthy {
		return wire.RunAnswer{}, false
	}
	if gu.trialInFlight {
		return wire.NotRun(outcome.NoUpstream, "another trial request to the upstream is in flight"), true
	}
	gu.trialInFlight = true
	gu.detector.ObserveTrialArrival(now)
	return wire.RunAnswer{}, false
}

// admitTrial admits an idempotent request to a suspected upstream if a trial
// request is due, and rejects any other. The caller holds the lock.
func (gu *guard) admitTrial(now time.Time, req wire.RunRequest) (wire.RunAnswer, bool) {
	if !req.Idempotent || !gu.burstFilter.IsTrialDue(now) {
		answer := wire.NotRun(outcome.Suspected, "the upstream is suspected of a failure burst")
		answer.RetryAfter = gu.burstFilter.TrialIn(now)
		return answer, true
	}
	gu.burstFilter.BeginTrial(now)
	return wire.RunAnswer{}, false
}

// awaitSlot waits until the queue has decided on the item, it can't meet its deadline
// any more, or the context ends.
func (gu *guard) awaitSlot(ctx context.Context, item *rankqueue.Item, decided <-chan rankqueue.Decision) rankqueue.Decision {
	timer := time.NewTimer(gu.latestStart(item).Sub(gu.opts.Clock.Now()))
	defer timer.Stop()
	select {
	case dec := <-decided:
		return dec
	case <-ctx.Done():
	case <-timer.C:
	}
	if gu.cancel(item) {
		return rankqueue.RejectDeadline
	}
	return <-decided
}

// cancel removes an item from the queue. It returns false if the queue has decided on it.
func (gu *guard) cancel(item *rankqueue.Item) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.queue.Cancel(gu.opts.Clock.Now(), item)
}

// rejection returns the answer to a request that the queue rejected.
func (gu *guard) rejection(dec rankqueue.Decision, item *rankqueue.Item) wire.RunAnswer {
	leaving, retryAfter := gu.retryAfter(item)
	if leaving {
		return wire.NotRun(outcome.Stopping, "the upstream is leaving")
	}
	if dec == rankqueue.RejectWithdrawn {
		return wire.NotRun(outcome.Stopping, "the daemon that received the request is shutting down")
	}
	if dec == rankqueue.RejectSuspected {
		return wire.NotRun(outcome.Suspected, "the upstream became suspected of a failure burst while the request was queued")
	}
	gu.opts.Metrics.Counter("gate.refused").Inc(1)
	answer := wire.NotRun(outcome.Overloaded, "the queue of the upstream is full")
	if dec == rankqueue.RejectDeadline {
		answer = wire.NotRun(outcome.Overloaded, "the deadline would expire in the queue")
	}
	answer.RetryAfter = retryAfter
	return answer
}

// retryAfter reports whether the upstream is leaving, and when a rejected request may be
// tried again.
func (gu *guard) retryAfter(item *rankqueue.Item) (leaving bool, wait time.Duration) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	wait = time.Second
	if gu.queue.Limit() > 0 {
		wait = gu.queue.EstimateWait(gu.opts.Clock.Now(), item)
	}
	return gu.leaving, wait
}

// targetTime returns the time by which a request should be answered, or the
// zero time if left is 0, which means that the request has no target.
func targetTime(now time.Time, left time.Duration) time.Time {
	if left == 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// complete records the result of a request and frees its slot.
func (gu *guard) complete(slot *heldSlot, slow bool, sent sendResult) {
	changed, took := gu.recordResult(slot, slow, sent)
	if sent.leaving {
		gu.depart("leaving named in an answer")
		changed = true
	}
	gu.opts.Metrics.Observe("gate.runMicros", took)
	if changed {
		gu.opts.OnChange()
	}
}

// recordResult is the part of complete that holds the lock. It reports whether the
// announced record changed, and how long the upstream took.
func (gu *guard) recordResult(slot *heldSlot, slow bool, sent sendResult) (changed bool, took time.Duration) {
	req, started, work := slot.req, slot.started, slot.work
	res := health.Result{Failed: sent.failed, Slow: slow, Idempotent: req.Idempotent}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	held := now.Sub(started)
	took = held
	if !sent.answeredAt.IsZero() { // The rest of the time depends on the caller.
		took = sent.answeredAt.Sub(started)
	}
	gu.updateLimit(now, sent.limit)
	gu.saidLeaving = gu.saidLeaving || sent.leaving
	if sent.refused {
		gu.refusedAt = now
	}
	if !sent.cancelled {
		gu.observeResult(now, started, req, sent)
		changed = gu.updateSuspicion(now) // Before the slot goes to a queued request.
	}
	if sent.failed || sent.rejected || sent.cancelled {
		held = 0 // Not counted in the averages behind the wait estimates.
	}
	gu.endWork(now, work, held > 0) // Before the slot goes to a queued request.
	if !slot.isReleased {
		slot.isReleased = true
		gu.queue.Release(now, rankqueue.Class(req.OrganisationRank, req.Rank), held)
	}
	gu.scheduleStart(now)
	if !sent.rejected && !sent.cancelled {
		gu.detector.ObserveEnd(now, req.Baseline, res)
		if !res.Failed {
			gu.latency(req.Kind).Add(now, took)
		}
	}
	if req.Trial {
		gu.trialInFlight = false
	}
	return gu.updateState(now) || changed, took
}

// endTrial permits the next trial request if req was one.
func (gu *guard) endTrial(req wire.RunRequest) {
	if !req.Trial {
		return
	}
	gu.mu.Lock()
	gu.trialInFlight = false
	gu.mu.Unlock()
}

// latency returns the latencies of a kind of request. The caller holds the
// lock.
func (gu *guard) latency(kind string) *health.Latency {
	lat := gu.latencies[kind]
	if lat == nil {
		if len(gu.latencies) >= maxTrackedKinds {
			clear(gu.latencies)
		}
		lat = &health.Latency{}
		gu.latencies[kind] = lat
	}
	return lat
}

// withLoad adds the upstream's load and its statistics for a kind of request.
func (gu *guard) withLoad(kind string, answer wire.RunAnswer) wire.RunAnswer {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	answer.Load = gu.load(gu.opts.Clock.Now())
	answer.Stats = wire.Stats{Median: gu.latency(kind).Median(), ErrorRate: gu.detector.ErrorRate()}
	return answer
}

// load returns the upstream's current load. The caller holds the lock.
func (gu *guard) load(now time.Time) wire.Load {
	load := wire.Load{Running: gu.queue.Running(), Limit: gu.reportedLimit(), Leaving: gu.saidLeaving, Suspected: gu.burstFilter.IsSuspected(now), RetriesLeft: gu.retryBudget.Left(now, gu.budgetPolicy())}
	for _, count := range gu.queue.Waiting() {
		load.Queued += count
	}
	if load.Suspected {
		load.TrialIn = gu.burstFilter.TrialIn(now)
	}
	return load
}

// waitIdle returns when no request is in flight, or with an error when the
// context ends.
func (gu *guard) waitIdle(ctx context.Context) error {
	for {
		running := gu.running()
		if running == 0 {
			return nil
		}
		select {
		case <-time.After(idlePollInterval):
		case <-ctx.Done():
			return fmt.Errorf("gate: %d requests to %s aborted: %w", running, gu.ann.ID, ctx.Err())
		}
	}
}

func (gu *guard) running() int {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.queue.Running()
}

func (gu *guard) dumpState() map[string]any {
	rec := gu.record()
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return map[string]any{
		"id": gu.ann.ID, "service": gu.ann.Service, "address": gu.ann.Address, "slots": gu.ann.Slots,
		"state": rec.State.String(), "reason": rec.Reason, "running": gu.queue.Running(),
		"waitingByRank": gu.queue.Waiting(), "errorRate": gu.detector.ErrorRate(), "boutEstimate": gu.burstFilter.Estimate(gu.opts.Clock.Now()), "reportedBusy": gu.reportedBusy, "limit": gu.limit, "repeatsLeft": gu.load(gu.opts.Clock.Now()).RetriesLeft,
	}
}
