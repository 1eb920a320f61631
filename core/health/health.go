// Package health detects unhealthy upstreams by the requests that they serve, in
// comparison with the other upstreams of the service, their siblings.
//
// Two sequential tests (CUSUM; Page, "Continuous Inspection Schemes", 1954) run
// side by side, one on failures and one on latency. For each request they add the
// log-likelihood ratio of an unhealthy over a healthy upstream to a score that
// never falls below zero, and mark the upstream unhealthy when the score reaches a
// threshold. A request in flight counts as slow once it has exceeded the limit, so
// a stalled upstream is detected without any response. Requests that an overloaded
// upstream rejects say nothing about its health, so callers must not report them.
//
// Usage, with the caller's lock held:
//
//	de := health.NewDetector(policy)
//	limit := de.SlowThreshold(baseline, target)
//	de.ObserveSlow(now, baseline)                    // in flight beyond the limit
//	de.ObserveEnd(now, baseline, health.Result{...}) // the request has ended
//	state := de.State(now)
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
	// EjectBase is the first ejection duration, EjectMax the longest.
	EjectBase time.Duration
	EjectMax  time.Duration
	// TrialSuccesses is the number of consecutive successes that end a trial.
	TrialSuccesses int
}

// Baseline summarizes how the siblings of an upstream serve the same kind of
// request.
type Baseline struct {
	// Median is the median of the siblings' median latencies, or 0 if it is unknown.
	Median time.Duration
	// ErrorRate is the median of the siblings' shares of failed requests, from 0 to 1.
	ErrorRate float64
	// Siblings is the number of siblings with known latencies.
	Siblings int
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
	// ejection is the duration of the last ejection.
	ejection time.Duration
	// successes counts the consecutive successes of the current trial.
	successes int
	// lastTrialAt is when the trial began, or when the last idempotent request
	// arrived for it.
	lastTrialAt time.Time
	severity    int
	reason      string
}

const (
	// minSlowMargin keeps scheduling delays from counting as slow requests.
	minSlowMargin = 10 * time.Millisecond
	// minSiblings is the number of siblings from which a baseline is used. With
	// fewer, the target latency and healthyErrorRate take its place.
	minSiblings = 2

	// healthyErrorRate is the least error rate assumed of a healthy upstream, and
	// unhealthyErrorFactor times the assumed rate that of an unhealthy one. The
	// maxima keep the unhealthy rate above the healthy one and below 1, so that
	// the log-likelihood ratios stay finite. With a maxHealthyErrorRate of 0.5,
	// upstreams of a service that failed half of its requests were marked unhealthy.
	healthyErrorRate      = 0.02
	maxHealthyErrorRate   = 0.9
	unhealthyErrorFactor  = 5
	maxUnhealthyErrorRate = 0.99

	// healthySlowRate and unhealthySlowRate are the assumed shares of slow requests
	// at a healthy and at an unhealthy upstream.
	healthySlowRate   = 0.15
	unhealthySlowRate = 0.6

	// errorRateWeight is the weight of a request in the moving average of failures.
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

// ErrorRate returns the moving average of the share of failed requests, from 0 to 1.
func (de *Detector) ErrorRate() float64 { return de.errorRate }

// Reason returns why the upstream is unhealthy, for logs and reports.
func (de *Detector) Reason() string { return de.reason }

// RetryAt returns when an unhealthy upstream goes on trial.
func (de *Detector) RetryAt() time.Time { return de.retryAt }

// SetPolicy replaces the policy; scores and state are kept.
func (de *Detector) SetPolicy(policy Policy) { de.policy = policy }

// Severity orders unhealthy upstreams; failing is worse than being slow.
func (de *Detector) Severity() int { return de.severity }

// Since returns when the upstream entered its state.
func (de *Detector) Since() time.Time { return de.since }

// SlowThreshold returns the latency from which a request counts as slow: a multiple of
// the siblings' median, or the target where too few siblings are known.
func (de *Detector) SlowThreshold(base Baseline, target time.Duration) time.Duration {
	if base.Siblings < minSiblings || base.Median <= 0 {
		return target
	}
	return max(time.Duration(de.policy.SlowFactor*float64(base.Median)), base.Median+minSlowMargin)
}

// ObserveEnd records the outcome of a request.
func (de *Detector) ObserveEnd(now time.Time, base Baseline, res Result) {
	de.State(now)
	de.updateErrorScore(base, res.Failed)
	if !res.Slow {
		de.slowScore = max(0, de.slowScore+math.Log((1-unhealthySlowRate)/(1-healthySlowRate)))
	}
	if de.state == OnTrial {
		de.observeTrial(now, res)
		return
	}
	de.checkScores(now, base)
}

// ObserveSlow records a request in flight that has exceeded the limit for slow
// requests. Call it again when the same request has lasted several times as long.
func (de *Detector) ObserveSlow(now time.Time, base Baseline) {
	de.State(now)
	de.slowScore += math.Log(unhealthySlowRate / healthySlowRate)
	if de.state == OnTrial {
		de.markUnhealthy(now, "slow trial request")
		return
	}
	de.checkScores(now, base)
}

// ObserveTrialArrival records that an idempotent request arrived for a trial.
func (de *Detector) ObserveTrialArrival(now time.Time) {
	de.lastTrialAt = now
}

// State returns the state at the given time. It puts an unhealthy upstream on trial
// once its ejection has expired, and ends a trial for which no idempotent request
// arrived: the upstream is healthy then, with half the threshold as its scores.
func (de *Detector) State(now time.Time) State {
	if de.state == Unhealthy && !now.Before(de.retryAt) {
		de.state = OnTrial
		de.since = now
		de.lastTrialAt = now
		de.successes = 0
	}
	if de.state == OnTrial && now.Sub(de.lastTrialAt) >= trialTimeoutFactor*de.policy.EjectBase {
		de.recover(now, de.policy.Threshold/2)
	}
	return de.state
}

// describe returns what the latency was compared with, for the reason.
func (ba Baseline) describe() string {
	if ba.Siblings < minSiblings {
		return "compared with the target latency because of too few siblings"
	}
	return fmt.Sprintf("compared with %d siblings of median latency %s", ba.Siblings, ba.Median.Round(time.Microsecond))
}

// checkScores marks a healthy upstream unhealthy when a score reaches the threshold.
func (de *Detector) checkScores(now time.Time, base Baseline) {
	if de.state != Healthy {
		return
	}
	switch {
	case de.errorScore >= de.policy.Threshold:
		de.markUnhealthy(now, fmt.Sprintf("failed requests: score %.1f of threshold %.1f, error rate %.0f%%, siblings %.0f%%", de.errorScore, de.policy.Threshold, 100*de.errorRate, 100*base.ErrorRate))
	case de.slowScore >= de.policy.Threshold:
		de.markUnhealthy(now, fmt.Sprintf("slow requests: score %.1f of threshold %.1f, %s", de.slowScore, de.policy.Threshold, base.describe()))
	}
}

// updateErrorScore adds the log-likelihood ratio of a request. The error rate of a
// healthy upstream is taken to be up to twice that of the siblings, so that failures
// of the whole service don't mark every upstream unhealthy.
func (de *Detector) updateErrorScore(base Baseline, failed bool) {
	healthyRate := healthyErrorRate
	if base.Siblings >= minSiblings {
		healthyRate = min(max(healthyRate, 2*base.ErrorRate), maxHealthyErrorRate)
	}
	unhealthyRate := min(unhealthyErrorFactor*healthyRate, maxUnhealthyErrorRate)
	if failed {
		de.errorScore += math.Log(unhealthyRate / healthyRate)
		de.errorRate += errorRateWeight * (1 - de.errorRate)
		return
	}
	de.errorScore = max(0, de.errorScore+math.Log((1-unhealthyRate)/(1-healthyRate)))
	de.errorRate -= errorRateWeight * de.errorRate
}

func (de *Detector) observeTrial(now time.Time, res Result) {
	if res.Failed || res.Slow {
		de.markUnhealthy(now, "failed or slow trial request")
		return
	}
	if !res.Idempotent {
		return
	}
	de.successes++
	if de.successes >= de.policy.TrialSuccesses {
		de.recover(now, 0)
	}
}

func (de *Detector) recover(now time.Time, score float64) {
	de.state = Healthy
	de.since = now
	de.recoveredAt = now
	de.errorScore = score
	de.slowScore = score
	de.errorRate = 0
	de.reason = ""
	de.severity = 0
}

// markUnhealthy sets the state and the time of the next trial. The ejection duration
// doubles, up to EjectMax, each time the upstream flaps: when its trial fails, or when
// it was healthy for less than stableFactor times the last ejection duration.
func (de *Detector) markUnhealthy(now time.Time, reason string) {
	flapped := de.ejection > 0 && (de.state == OnTrial || now.Sub(de.recoveredAt) < stableFactor*de.ejection)
	if flapped {
		de.ejection = min(2*de.ejection, de.policy.EjectMax)
	} else {
		de.ejection = de.policy.EjectBase
	}
	de.severity = int(100 * de.slowScore / de.policy.Threshold)
	if de.errorScore >= de.policy.Threshold {
		de.severity = failureSeverity + int(100*de.errorRate)
	}
	de.state = Unhealthy
	de.since = now
	de.retryAt = now.Add(de.ejection)
	de.reason = reason
}
