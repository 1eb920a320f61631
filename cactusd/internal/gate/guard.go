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
	"cactusstream.example/core/gray"
	"cactusstream.example/core/health"
	"cactusstream.example/core/member"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/rankqueue"
)

const (
	idlePoll = 5 * time.Millisecond
	// gonePatience is how long an upstream stays known after it left. Until then
	// announcements that were late or repeated can't bring it back.
	gonePatience = 5 * time.Second
	maxKinds     = 256
	// needShare of a kind's median is what its work must have left to begin: most
	// of it ends within that, and a slot is not spent on what ends too late.
	needShare = 1.2
)

// guard is one upstream with its slots, its queue and its judge.
type guard struct {
	ann    Announcement
	opts   Options
	client *upstreamClient

	mu       sync.Mutex
	queue    *rankqueue.Queue
	judge    *health.Judge
	filter   *gray.Filter
	ledger   budget.Ledger
	kinds    map[string]*health.Latency
	warmAt   time.Time
	readyAt  time.Time
	renewed  time.Time
	sequence uint64
	reported int
	leaving  bool
	leftAt   time.Time
	trying   bool
	doubtful bool
	last     health.State
}

func newGuard(ann Announcement, opts Options) *guard {
	policy := opts.Policy(ann.Service)
	now := opts.Clock.Now()
	return &guard{
		ann:      ann,
		opts:     opts,
		client:   newUpstreamClient(ann, opts.Dialect),
		queue:    rankqueue.New(ann.concurrency(), queuePolicy(policy)),
		judge:    health.NewJudge(healthPolicy(policy)),
		filter:   gray.NewFilter(grayPolicy(policy)),
		kinds:    make(map[string]*health.Latency),
		warmAt:   now.Add(ann.Cold),
		readyAt:  now.Add(ann.Cold),
		renewed:  now,
		sequence: ann.Sequence,
	}
}

func (gu *guard) matches(ann Announcement) bool {
	return gu.ann.Service == ann.Service && gu.ann.Address == ann.Address && gu.ann.Slots == ann.Slots
}

// renew takes an announcement of the same start; it returns false when a later
// one came first.
func (gu *guard) renew(sequence uint64) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if sequence < gu.sequence {
		return false
	}
	gu.sequence = sequence
	gu.renewed = gu.opts.Clock.Now()
	return true
}

func (gu *guard) report(busy int) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.renewed = gu.opts.Clock.Now()
	gu.reported = busy
}

func (gu *guard) isGone() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.leaving
}

func (gu *guard) isIdle() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.queue.Running() == 0 && gu.opts.Clock.Now().Sub(gu.leftAt) > gonePatience
}

func (gu *guard) leave(why string) int {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if !gu.leaving {
		gu.leaving = true
		gu.leftAt = gu.opts.Clock.Now()
		gu.queue.RefuseAll(rankqueue.RefuseFull)
		gu.opts.Log.Write(events.UpstreamLeft, logrus.Fields{"upstream": gu.ann.ID, "reason": why})
	}
	return gu.queue.Running()
}

// tick ends the lease and notes changes of the judge's state that come with time.
func (gu *guard) tick() bool {
	gu.mu.Lock()
	now := gu.opts.Clock.Now()
	expired := !gu.leaving && now.Sub(gu.renewed) > Lease
	policy := gu.opts.Policy(gu.ann.Service)
	gu.judge.SetPolicy(healthPolicy(policy))
	gu.filter.SetPolicy(grayPolicy(policy))
	gu.queue.SetPolicy(queuePolicy(policy))
	warmed := !gu.warmAt.IsZero() && !now.Before(gu.warmAt)
	if warmed {
		gu.warmAt = time.Time{}
	}
	changed := gu.noteState(now)
	gu.mu.Unlock()
	if expired {
		gu.leave("its announcement expired")
	}
	return expired || warmed || changed
}

// noteState logs a change of the judge's state; the caller holds the lock.
func (gu *guard) noteState(now time.Time) bool {
	changed := gu.noteDoubt(now)
	state := gu.judge.State(now)
	if state == gu.last {
		return changed
	}
	event := events.UpstreamRecovered
	switch state {
	case health.Sick:
		event = events.UpstreamSick
		gu.opts.Metrics.Counter("gate.sick").Inc(1)
	case health.OnTrial:
		event = events.UpstreamTrial
	}
	gu.opts.Log.Write(event, logrus.Fields{"upstream": gu.ann.ID, "service": gu.ann.Service, "reason": gu.judge.Reason()})
	gu.last = state
	return true
}

// record returns what is announced of the upstream.
func (gu *guard) record() member.Upstream {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	rec := member.Upstream{ID: gu.ann.ID, Service: gu.ann.Service, Address: gu.ann.Address, Slots: gu.ann.Slots, State: member.Ready}
	switch state := gu.judge.State(now); {
	case gu.leaving:
		rec.State = member.Draining
		rec.Reason = "leaving"
		rec.SinceMS = gu.leftAt.UnixMilli()
	case now.Before(gu.warmAt):
		rec.State = member.Cold
		rec.Reason = "cold start"
		rec.SinceMS = gu.renewed.UnixMilli()
	case state == health.Well && gu.doubtful && gu.opts.Policy(gu.ann.Service).Quotes == 0:
		// Where gates quote, they tell of doubt themselves: it changes too often
		// for news to the whole fleet.
		rec.State = member.Doubtful
		rec.Reason = "in a bout of failures"
	case state == health.Well:
		rec.SinceMS = gu.readyAt.UnixMilli()
		if since := gu.judge.Since(); since.After(gu.readyAt) {
			rec.SinceMS = since.UnixMilli()
		}
	default:
		rec.State = member.Sick
		if state == health.OnTrial {
			rec.State = member.Trial
		}
		rec.Severity = gu.judge.Severity()
		rec.Reason = gu.judge.Reason()
		rec.SinceMS = gu.judge.Since().UnixMilli()
		rec.RetryMS = gu.judge.RetryAt().UnixMilli()
	}
	return rec
}

// run takes a slot, sends the request and judges the answer.
func (gu *guard) run(ctx context.Context, req wire.RunRequest) wire.RunAnswer {
	arrived := gu.opts.Clock.Now()
	if refusal, refused := gu.admit(ctx, req); refused {
		refusal = gu.withLoad(req.Kind, refusal)
		gu.note(req, refusal, arrived, gu.opts.Clock.Now())
		return refusal
	}
	started := gu.opts.Clock.Now()
	watch := gu.watchSlow(req)
	answer, res := gu.client.send(ctx, req)
	slow := watch.stop()
	gu.finish(req, started, health.Result{Failed: res.failed, Slow: slow, Idempotent: req.Idempotent}, res)
	answer = gu.withLoad(req.Kind, answer)
	gu.note(req, answer, arrived, started)
	return answer
}

// note logs how an attempt ended and what it met.
func (gu *guard) note(req wire.RunRequest, answer wire.RunAnswer, arrived, started time.Time) {
	now := gu.opts.Clock.Now()
	gu.opts.Log.Write(events.AttemptEnded, logrus.Fields{
		"request": req.Request, "upstream": gu.ann.ID, "service": req.Service, "kind": req.Kind, "rank": req.Rank, "idempotent": req.Idempotent,
		"trial": req.Trial, "outcome": answer.Outcome, "reason": answer.Reason, "status": answer.Status, "detail": answer.Detail,
		"waitedMillis": started.Sub(arrived).Milliseconds(), "tookMillis": now.Sub(started).Milliseconds(),
		"remainingMillis": req.Remaining.Milliseconds(), "running": answer.Load.Running, "waiting": answer.Load.Waiting,
	})
}

// admit waits for a slot. A refusal proves that nothing was sent.
func (gu *guard) admit(ctx context.Context, req wire.RunRequest) (wire.RunAnswer, bool) {
	decided := make(chan rankqueue.Decision, 1)
	now := gu.opts.Clock.Now()
	item := &rankqueue.Item{Rank: req.Rank, Firm: req.Firm, Deadline: now.Add(req.Remaining), Target: targetOf(now, req.TargetIn), Forced: req.Forced, Attempt: req.Attempt, Decided: func(dec rankqueue.Decision) { decided <- dec }}
	gu.mu.Lock()
	refusal, refused := gu.refusal(now, req)
	if !refused && req.Repeat && !gu.ledger.Take(now, gu.budgetPolicy(), repeatOf(req.Rank, req.AfterTrial)) {
		refusal, refused = wire.NotRun(outcome.NoRepeats, "the retry budget of the service is used up"), true
		gu.trying = gu.trying && !req.Trial // The trial that was let through does not run.
	}
	if refused {
		gu.mu.Unlock()
		return refusal, true
	}
	item.Need = gu.need(req.Kind)
	dec := gu.queue.Add(now, item)
	gu.mu.Unlock()
	if dec == rankqueue.Wait {
		dec = gu.await(ctx, item, decided)
	}
	gu.noteArrival(req, now, dec)
	if dec == rankqueue.Run {
		return wire.RunAnswer{}, false
	}
	gu.endTrial(req)
	return gu.refusalOf(dec), true
}

// refusal says whether the upstream takes the request; the caller holds the lock.
func (gu *guard) refusal(now time.Time, req wire.RunRequest) (wire.RunAnswer, bool) {
	if gu.leaving {
		return wire.NotRun(outcome.Stopping, "the upstream is leaving"), true
	}
	if now.Before(gu.warmAt) && gu.opts.Policy(gu.ann.Service).ColdPercent == 0 {
		return wire.NotRun(outcome.NoUpstream, "the upstream is cold"), true
	}
	if gu.filter.IsDoubtful(now) && !req.Forced {
		return gu.tryDoubtful(now, req)
	}
	if !req.Trial || gu.judge.State(now) == health.Well {
		return wire.RunAnswer{}, false
	}
	if gu.trying {
		return wire.NotRun(outcome.NoUpstream, "the upstream is on trial with another request"), true
	}
	gu.trying = true
	gu.judge.ObserveTrialArrival(now)
	return wire.RunAnswer{}, false
}

// tryDoubtful lets a little work that may be repeated through to a doubtful
// upstream; the caller holds the lock.
func (gu *guard) tryDoubtful(now time.Time, req wire.RunRequest) (wire.RunAnswer, bool) {
	if !req.Idempotent || !gu.filter.IsTrialDue(now) {
		answer := wire.NotRun(outcome.Doubtful, "the upstream is in a bout of failures")
		answer.RetryAfter = gu.filter.TrialIn(now)
		return answer, true
	}
	gu.filter.BeginTrial(now)
	return wire.RunAnswer{}, false
}

func (gu *guard) await(ctx context.Context, item *rankqueue.Item, decided <-chan rankqueue.Decision) rankqueue.Decision {
	timer := time.NewTimer(item.Deadline.Sub(gu.opts.Clock.Now()))
	defer timer.Stop()
	select {
	case dec := <-decided:
		return dec
	case <-ctx.Done():
	case <-timer.C:
	}
	gu.mu.Lock()
	cancelled := gu.queue.Cancel(gu.opts.Clock.Now(), item)
	gu.mu.Unlock()
	if cancelled {
		return rankqueue.RefuseDeadline
	}
	return <-decided
}

func (gu *guard) refusalOf(dec rankqueue.Decision) wire.RunAnswer {
	gu.mu.Lock()
	leaving := gu.leaving
	gu.mu.Unlock()
	if leaving {
		return wire.NotRun(outcome.Stopping, "the upstream is leaving")
	}
	if dec == rankqueue.RefuseWithdrawn {
		return wire.NotRun(outcome.Stopping, "the daemon that took the request stops")
	}
	if dec == rankqueue.RefuseDoubtful {
		return wire.NotRun(outcome.Doubtful, "a bout of failures began while the request waited")
	}
	gu.opts.Metrics.Counter("gate.refused").Inc(1)
	answer := wire.NotRun(outcome.Overloaded, "the queue of the upstream is full")
	if dec == rankqueue.RefuseDeadline {
		answer = wire.NotRun(outcome.Overloaded, "the deadline would pass in the queue")
	}
	answer.RetryAfter = time.Second
	return answer
}

// targetOf returns when a request's target passes; 0 left stands for no target.
func targetOf(now time.Time, left time.Duration) time.Time {
	if left == 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// need returns how long a kind of work must be expected to take here; the
// caller holds the lock.
func (gu *guard) need(kind string) time.Duration {
	return time.Duration(needShare * float64(gu.kind(kind).Median()))
}

// finish gives the slot back and tells the judge.
func (gu *guard) finish(req wire.RunRequest, started time.Time, res health.Result, sent sendResult) {
	gu.mu.Lock()
	now := gu.opts.Clock.Now()
	took := now.Sub(started)
	changed := false
	if !sent.abandoned {
		gu.observe(now, started, req, sent)
		changed = gu.noteDoubt(now) // Before the slot goes to work that waits.
	}
	held := took
	if sent.failed || sent.shed || sent.abandoned {
		held = 0
	}
	gu.queue.Done(now, req.Rank, held)
	if !sent.shed && !sent.abandoned {
		gu.judge.ObserveEnd(now, req.Baseline, res)
		if !res.Failed {
			gu.kind(req.Kind).Add(took)
		}
	}
	if req.Trial {
		gu.trying = false
	}
	changed = gu.noteState(now) || changed
	gu.mu.Unlock()
	gu.opts.Metrics.Observe("gate.runMicros", took)
	if changed {
		gu.opts.Changed()
	}
}

func (gu *guard) endTrial(req wire.RunRequest) {
	if !req.Trial {
		return
	}
	gu.mu.Lock()
	gu.trying = false
	gu.mu.Unlock()
}

// kind returns the latencies of a kind of work; the caller holds the lock.
func (gu *guard) kind(name string) *health.Latency {
	lat := gu.kinds[name]
	if lat == nil {
		if len(gu.kinds) >= maxKinds {
			clear(gu.kinds)
		}
		lat = &health.Latency{}
		gu.kinds[name] = lat
	}
	return lat
}

func (gu *guard) withLoad(kind string, answer wire.RunAnswer) wire.RunAnswer {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	answer.Load = gu.load(gu.opts.Clock.Now())
	answer.Stats = wire.Stats{Median: gu.kind(kind).Median(), ErrorRate: gu.judge.ErrorRate()}
	return answer
}

// load returns what the upstream has to do; the caller holds the lock.
func (gu *guard) load(now time.Time) wire.Load {
	load := wire.Load{Running: gu.queue.Running(), Doubtful: gu.filter.IsDoubtful(now), Repeats: gu.ledger.Left(now, gu.budgetPolicy())}
	for _, count := range gu.queue.Waiting() {
		load.Waiting += count
	}
	if load.Doubtful {
		load.TrialIn = gu.filter.TrialIn(now)
	}
	return load
}

func (gu *guard) waitIdle(ctx context.Context) error {
	for {
		gu.mu.Lock()
		running := gu.queue.Running()
		gu.mu.Unlock()
		if running == 0 {
			return nil
		}
		select {
		case <-time.After(idlePoll):
		case <-ctx.Done():
			return fmt.Errorf("gate: %d requests of %s were cut: %w", running, gu.ann.ID, ctx.Err())
		}
	}
}

func (gu *guard) dump() map[string]any {
	rec := gu.record()
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return map[string]any{
		"id": gu.ann.ID, "service": gu.ann.Service, "address": gu.ann.Address, "slots": gu.ann.Slots,
		"state": rec.State.String(), "reason": rec.Reason, "running": gu.queue.Running(),
		"waitingByRank": gu.queue.Waiting(), "errorRate": gu.judge.ErrorRate(), "boutEstimate": gu.filter.Estimate(gu.opts.Clock.Now()), "reportedBusy": gu.reported, "repeatsLeft": gu.load(gu.opts.Clock.Now()).Repeats,
	}
}
