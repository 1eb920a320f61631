// Package health judges one upstream by its real work, against its siblings.
//
// Two sequential tests run side by side, one on failures and one on slowness.
// Each adds the log-likelihood ratio of a sick over a well upstream for every
// piece of work, never falls below zero (Page, "Continuous Inspection
// Schemes", 1954), and convicts at a threshold. Work that is still in flight
// counts as slow once it has lasted too long, so a stall needs no answer.
// Refusals of an upstream that sheds load are no evidence.
//
// Usage, under the caller's lock:
//
//	ju := health.NewJudge(policy)
//	bound := ju.SlowBound(baseline, target)
//	ju.ObserveSlow(now, baseline)                  // in flight beyond the bound
//	ju.ObserveEnd(now, baseline, health.Result{...}) // the work ended
//	state := ju.State(now)
package health

import (
	"fmt"
	"math"
	"time"
)

// State is the judgement of an upstream.
type State uint8

// The states.
const (
	Well State = iota
	Sick
	// OnTrial is sick, but a little idempotent work may show otherwise.
	OnTrial
)

// Policy is how sensitive a Judge is.
type Policy struct {
	// Threshold is the evidence that convicts, as a log-likelihood ratio.
	Threshold float64
	// SlowFactor is how many times the siblings' median counts as slow.
	SlowFactor float64
	// Base and Max are the first and the longest stay away.
	Base time.Duration
	Max  time.Duration
	// TrialSuccesses is how many successes in a row end a trial.
	TrialSuccesses int
}

// Baseline is what the siblings of an upstream do with the same kind of work.
type Baseline struct {
	Median    time.Duration
	ErrorRate float64
	Siblings  int
}

// Result is how one piece of work ended.
type Result struct {
	Failed bool
	// Slow says that the work lasted beyond the slow bound; ObserveSlow was
	// called for it already.
	Slow bool
	// Idempotent says that the work counts in a trial.
	Idempotent bool
}

// Judge judges one upstream. It is not safe for concurrent use.
type Judge struct {
	policy Policy

	errorScore float64
	slowScore  float64
	errorRate  float64

	state     State
	since     time.Time
	retryAt   time.Time
	returned  time.Time
	stay      time.Duration
	successes int
	tried     time.Time
	severity  int
	reason    string
}

const (
	// minSlowMargin keeps scheduling noise from counting as slowness.
	minSlowMargin = 10 * time.Millisecond
	minSiblings   = 2

	wellErrorRate   = 0.02
	maxErrorRate    = 0.9
	sickErrorFactor = 5
	sickErrorCap    = 0.99

	wellSlowRate = 0.15
	sickSlowRate = 0.6

	errorRateWeight = 0.05
	// calmFactor is how many stays an upstream is well before its next stay
	// starts from the base again.
	calmFactor = 10
	// trialPatience is how many first stays a trial waits for idempotent work.
	trialPatience = 1
	failureWeight = 1000
)

// NewJudge returns a Judge of a well upstream.
func NewJudge(policy Policy) *Judge {
	return &Judge{policy: policy}
}

// ErrorRate returns the recent share of failed work.
func (ju *Judge) ErrorRate() float64 { return ju.errorRate }

// Reason says why the upstream is sick.
func (ju *Judge) Reason() string { return ju.reason }

// RetryAt returns when a sick upstream is tried again.
func (ju *Judge) RetryAt() time.Time { return ju.retryAt }

// SetPolicy changes the sensitivity from now on.
func (ju *Judge) SetPolicy(policy Policy) { ju.policy = policy }

// Severity orders sick upstreams; failing is worse than being slow.
func (ju *Judge) Severity() int { return ju.severity }

// Since returns since when the upstream is in its state.
func (ju *Judge) Since() time.Time { return ju.since }

// SlowBound returns how long work may last before it counts as slow.
func (ju *Judge) SlowBound(base Baseline, target time.Duration) time.Duration {
	if base.Siblings < minSiblings || base.Median <= 0 {
		return target
	}
	return max(time.Duration(ju.policy.SlowFactor*float64(base.Median)), base.Median+minSlowMargin)
}

// ObserveEnd takes the end of one piece of work.
func (ju *Judge) ObserveEnd(now time.Time, base Baseline, res Result) {
	ju.State(now)
	ju.noteError(base, res.Failed)
	if !res.Slow {
		ju.slowScore = max(0, ju.slowScore+math.Log((1-sickSlowRate)/(1-wellSlowRate)))
	}
	if ju.state == OnTrial {
		ju.observeTrial(now, res)
		return
	}
	ju.convict(now, base)
}

// ObserveSlow takes work in flight that has lasted beyond the slow bound. Call
// it again when the same work has lasted several times as long.
func (ju *Judge) ObserveSlow(now time.Time, base Baseline) {
	ju.State(now)
	ju.slowScore += math.Log(sickSlowRate / wellSlowRate)
	if ju.state == OnTrial {
		ju.sicken(now, "slow on trial")
		return
	}
	ju.convict(now, base)
}

// ObserveTrialArrival notes that idempotent work came for a trial.
func (ju *Judge) ObserveTrialArrival(now time.Time) {
	ju.tried = now
}

// State returns the judgement at a time; it moves a sick upstream to trial,
// and ends a trial that no idempotent work came for.
func (ju *Judge) State(now time.Time) State {
	if ju.state == Sick && !now.Before(ju.retryAt) {
		ju.state = OnTrial
		ju.since = now
		ju.tried = now
		ju.successes = 0
	}
	if ju.state == OnTrial && now.Sub(ju.tried) >= trialPatience*ju.policy.Base {
		ju.recover(now, ju.policy.Threshold/2)
	}
	return ju.state
}

// describe says in a few words what slow work was measured against.
func (ba Baseline) describe() string {
	if ba.Siblings < minSiblings {
		return "against the kind's target, for want of siblings"
	}
	return fmt.Sprintf("%d siblings' median %s", ba.Siblings, ba.Median.Round(time.Microsecond))
}

func (ju *Judge) convict(now time.Time, base Baseline) {
	if ju.state != Well {
		return
	}
	switch {
	case ju.errorScore >= ju.policy.Threshold:
		ju.sicken(now, fmt.Sprintf("failed work: evidence %.1f of %.1f, error rate %.0f%%, siblings %.0f%%", ju.errorScore, ju.policy.Threshold, 100*ju.errorRate, 100*base.ErrorRate))
	case ju.slowScore >= ju.policy.Threshold:
		ju.sicken(now, fmt.Sprintf("slow work: evidence %.1f of %.1f, %s", ju.slowScore, ju.policy.Threshold, base.describe()))
	}
}

func (ju *Judge) noteError(base Baseline, failed bool) {
	well := wellErrorRate
	if base.Siblings >= minSiblings {
		well = min(max(well, 2*base.ErrorRate), maxErrorRate)
	}
	sick := min(sickErrorFactor*well, sickErrorCap)
	if failed {
		ju.errorScore += math.Log(sick / well)
		ju.errorRate += errorRateWeight * (1 - ju.errorRate)
		return
	}
	ju.errorScore = max(0, ju.errorScore+math.Log((1-sick)/(1-well)))
	ju.errorRate -= errorRateWeight * ju.errorRate
}

func (ju *Judge) observeTrial(now time.Time, res Result) {
	if res.Failed || res.Slow {
		ju.sicken(now, "failed on trial")
		return
	}
	if !res.Idempotent {
		return
	}
	ju.successes++
	if ju.successes >= ju.policy.TrialSuccesses {
		ju.recover(now, 0)
	}
}

func (ju *Judge) recover(now time.Time, score float64) {
	ju.state = Well
	ju.since = now
	ju.returned = now
	ju.errorScore = score
	ju.slowScore = score
	ju.errorRate = 0
	ju.reason = ""
	ju.severity = 0
}

// sicken sends the upstream away, longer each time it flaps.
func (ju *Judge) sicken(now time.Time, reason string) {
	flapped := ju.stay > 0 && (ju.state == OnTrial || now.Sub(ju.returned) < calmFactor*ju.stay)
	if flapped {
		ju.stay = min(2*ju.stay, ju.policy.Max)
	} else {
		ju.stay = ju.policy.Base
	}
	ju.severity = int(100 * ju.slowScore / ju.policy.Threshold)
	if ju.errorScore >= ju.policy.Threshold {
		ju.severity = failureWeight + int(100*ju.errorRate)
	}
	ju.state = Sick
	ju.since = now
	ju.retryAt = now.Add(ju.stay)
	ju.reason = reason
}
