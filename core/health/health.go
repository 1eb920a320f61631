// Package health detects unhealthy upstreams by the requests that they serve, in
// comparison with the other upstreams of the service, their siblings.
//
// Two sequential tests (CUSUM; Page, "Continuous Inspection Schemes", 1954) run
// side by side, one on failures and one on latency. For each request they add the
// log-likelihood ratio of an unhealthy over a healthy upstream to a score that
// never falls below zero, and mark the upstream unhealthy when the score reaches a
// threshold. A request in flight counts as slow once it has exceeded the limit, so
// a stalled upstream is detected without any response. Requests that an overloaded
// upstream rejects are not observed.
//
// Usage, with the caller's lock held:
//
//	ju := health.NewJudge(policy)
//	limit := ju.SlowBound(baseline, target)
//	ju.ObserveSlow(now, baseline)                    // in flight beyond the limit
//	ju.ObserveEnd(now, baseline, health.Result{...}) // the request has ended
//	state := ju.State(now)
package health

import (
	"fmt"
	"math"
	"time"
)

// State is the health of an upstream.
type State uint8

// The states of an upstream.
const (
	Healthy State = iota
	Unhealthy
	// OnTrial is an unhealthy upstream that gets a few idempotent requests, to see
	// whether it works again.
	OnTrial
)

// Policy holds the thresholds of the detector and the durations of ejections.
type Policy struct {
	// Threshold is the score, a sum of log-likelihood ratios, from which an
	// upstream is unhealthy.
	Threshold float64
	// SlowFactor, times the siblings' median latency, is the limit for slow
	// requests.
	SlowFactor float64
	// EjectBase is the first ejection duration, Max the longest.
	EjectBase time.Duration
	EjectMax  time.Duration
	// TrialSuccesses is the number of consecutive successes that end a trial.
	TrialSuccesses int
}

// Baseline summarizes how the siblings of an upstream serve the same kind of
// request.
type Baseline struct {
	Median    time.Duration
	ErrorRate float64
	Siblings  int
}

// Result is the outcome of a request.
type Result struct {
	Failed bool
	// Slow says that the request exceeded the limit for slow requests;
	// ObserveSlow was called for it already.
	Slow bool
	// Idempotent says that a success counts towards the end of a trial.
	Idempotent bool
}

// Detector is the health detector of one upstream. It is not safe for concurrent use.
type Detector struct {
	policy Policy

	errorScore float64
	slowScore  float64
	errorRate  float64

	state       State
	since       time.Time
	retryAt     time.Time
	recoveredAt time.Time
	// stay is the duration of the last ejection.
	stay        time.Duration
	successes   int
	lastTrialAt time.Time
	severity    int
	reason      string
}

const (
	// minSlowMargin keeps scheduling delays from counting as slow requests.
	minSlowMargin = 10 * time.Millisecond
	minSiblings   = 2

	healthyErrorRate      = 0.02
	maxErrorRate          = 0.9
	unhealthyErrorFactor  = 5
	maxUnhealthyErrorRate = 0.99

	wellSlowRate = 0.15
	sickSlowRate = 0.6

	errorRateWeight = 0.05
	// stableFactor, times the last ejection duration, is how long an upstream must
	// be healthy before its next ejection starts from the base again.
	stableFactor = 10
	// trialTimeoutFactor, times the base ejection duration, is how long a trial
	// waits for idempotent requests.
	trialTimeoutFactor = 1
	// failureSeverity ranks any upstream that fails above all that are only slow.
	failureSeverity = 1000
)

// NewDetector returns a detector for an upstream that is healthy so far.
func NewDetector(policy Policy) *Detector {
	return &Detector{policy: policy}
}

// ErrorRate returns the moving average of the share of failed requests.
func (ju *Detector) ErrorRate() float64 { return ju.errorRate }

// Reason returns why the upstream is unhealthy, for logs and reports.
func (ju *Detector) Reason() string { return ju.reason }

// RetryAt returns when an unhealthy upstream goes on trial.
func (ju *Detector) RetryAt() time.Time { return ju.retryAt }

// SetPolicy replaces the policy; scores and state are kept.
func (ju *Detector) SetPolicy(policy Policy) { ju.policy = policy }

// Severity orders unhealthy upstreams; failing is worse than being slow.
func (ju *Detector) Severity() int { return ju.severity }

// Since returns when the upstream entered its state.
func (ju *Detector) Since() time.Time { return ju.since }

// SlowThreshold returns the latency from which a request counts as slow: a multiple of
// the siblings' median, or the target where too few siblings are known.
func (ju *Detector) SlowThreshold(base Baseline, target time.Duration) time.Duration {
	if base.Siblings < minSiblings || base.Median <= 0 {
		return target
	}
	return max(time.Duration(ju.policy.SlowFactor*float64(base.Median)), base.Median+minSlowMargin)
}

// ObserveEnd records the outcome of a request.
func (ju *Detector) ObserveEnd(now time.Time, base Baseline, res Result) {
	ju.State(now)
	ju.updateErrorScore(base, res.Failed)
	if !res.Slow {
		ju.slowScore = max(0, ju.slowScore+math.Log((1-sickSlowRate)/(1-wellSlowRate)))
	}
	if ju.state == OnTrial {
		ju.observeTrial(now, res)
		return
	}
	ju.checkScores(now, base)
}

// ObserveSlow records a request in flight that has exceeded the limit for slow
// requests. Call it again when the same request has lasted several times as long.
func (ju *Detector) ObserveSlow(now time.Time, base Baseline) {
	ju.State(now)
	ju.slowScore += math.Log(sickSlowRate / wellSlowRate)
	if ju.state == OnTrial {
		ju.markUnhealthy(now, "slow trial request")
		return
	}
	ju.checkScores(now, base)
}

// ObserveTrialArrival records that an idempotent request arrived for a trial.
func (ju *Detector) ObserveTrialArrival(now time.Time) {
	ju.lastTrialAt = now
}

// State returns the state at the given time. It puts an unhealthy upstream on trial
// once its ejection has expired, and ends a trial for which no idempotent request
// arrived: the upstream is healthy then, with half the threshold as its scores.
func (ju *Detector) State(now time.Time) State {
	if ju.state == Unhealthy && !now.Before(ju.retryAt) {
		ju.state = OnTrial
		ju.since = now
		ju.lastTrialAt = now
		ju.successes = 0
	}
	if ju.state == OnTrial && now.Sub(ju.lastTrialAt) >= trialTimeoutFactor*ju.policy.EjectBase {
		ju.recover(now, ju.policy.Threshold/2)
	}
	return ju.state
}

// describe returns what the latency was compared with, for the reason.
func (ba Baseline) describe() string {
	if ba.Siblings < minSiblings {
		return "compared with the target latency because of too few siblings"
	}
	return fmt.Sprintf("compared with %d siblings of median latency %s", ba.Siblings, ba.Median.Round(time.Microsecond))
}

// checkScores marks a healthy upstream unhealthy when a score reaches the threshold.
func (ju *Detector) checkScores(now time.Time, base Baseline) {
	if ju.state != Healthy {
		return
	}
	switch {
	case ju.errorScore >= ju.policy.Threshold:
		ju.markUnhealthy(now, fmt.Sprintf("failed requests: score %.1f of threshold %.1f, error rate %.0f%%, siblings %.0f%%", ju.errorScore, ju.policy.Threshold, 100*ju.errorRate, 100*base.ErrorRate))
	case ju.slowScore >= ju.policy.Threshold:
		ju.markUnhealthy(now, fmt.Sprintf("slow requests: score %.1f of threshold %.1f, %s", ju.slowScore, ju.policy.Threshold, base.describe()))
	}
}

// updateErrorScore adds the log-likelihood ratio of a request. The error rate of a
// healthy upstream is taken to be up to twice that of the siblings.
func (ju *Detector) updateErrorScore(base Baseline, failed bool) {
	well := healthyErrorRate
	if base.Siblings >= minSiblings {
		well = min(max(well, 2*base.ErrorRate), maxErrorRate)
	}
	unhealthyRate := min(unhealthyErrorFactor*well, maxUnhealthyErrorRate)
	if failed {
		ju.errorScore += math.Log(unhealthyRate / well)
		ju.errorRate += errorRateWeight * (1 - ju.errorRate)
		return
	}
	ju.errorScore = max(0, ju.errorScore+math.Log((1-unhealthyRate)/(1-well)))
	ju.errorRate -= errorRateWeight * ju.errorRate
}

func (ju *Detector) observeTrial(now time.Time, res Result) {
	if res.Failed || res.Slow {
		ju.markUnhealthy(now, "failed or slow trial request")
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

func (ju *Detector) recover(now time.Time, score float64) {
	ju.state = Healthy
	ju.since = now
	ju.recoveredAt = now
	ju.errorScore = score
	ju.slowScore = score
	ju.errorRate = 0
	ju.reason = ""
	ju.severity = 0
}

// markUnhealthy sets the state and the time of the next trial. The ejection duration
// doubles each time the upstream flaps: when its trial fails, or when it was healthy
// only shortly since the last ejection.
func (ju *Detector) markUnhealthy(now time.Time, reason string) {
	flapped := ju.stay > 0 && (ju.state == OnTrial || now.Sub(ju.recoveredAt) < stableFactor*ju.stay)
	if flapped {
		ju.stay = min(2*ju.stay, ju.policy.EjectMax)
	} else {
		ju.stay = ju.policy.EjectBase
	}
	ju.severity = int(100 * ju.slowScore / ju.policy.Threshold)
	if ju.errorScore >= ju.policy.Threshold {
		ju.severity = failureSeverity + int(100*ju.errorRate)
	}
	ju.state = Unhealthy
	ju.since = now
	ju.retryAt = now.Add(ju.stay)
	ju.reason = reason
}
