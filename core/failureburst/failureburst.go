// Package failureburst detects failure bursts of an upstream: spans of some seconds in
// which it fails most requests at once while its health check passes.
//
// An upstream that fails fast is idle, so a load balancer that looks for free
// slots sends it more and more requests, and those that are not idempotent can't be
// retried and are lost. A detector that counts failures reacts only after about five
// of them, and then ejects the upstream for far longer than a burst lasts.
//
// The estimate is the forward filter of a hidden Markov model with two states,
// burst and calm (Rabiner, "A Tutorial on Hidden Markov Models", 1989). Both have
// a given mean length, and each request changes the estimate by how likely its
// outcome is in either state. One fast failure is enough to suspect the upstream;
// a few successful idempotent requests, or time, end the suspicion.
//
// Usage, with the caller's lock held:
//
//	fil := failureburst.NewFilter(policy)
//	fil.Observe(now, started, failureburst.FailedFast)
//	if fil.IsSuspected(now) && fil.IsTrialDue(now) { fil.BeginTrial(now) ... }
package failureburst

import (
	"math"
	"time"
)

// Evidence is the outcome of a request so far.
type Evidence uint8

// The kinds of evidence, each with its own likelihood.
const (
	// Succeeded is a request that succeeded.
	Succeeded Evidence = iota
	// FailedFast is a request that failed within a small part of its usual duration.
	FailedFast
	// FailedLate is a request that failed after its usual duration.
	FailedLate
	// Overdue is a request in flight that has exceeded its usual duration by far.
	Overdue
	evidenceCount
)

// String returns the name of the evidence that logs and reports use.
func (ev Evidence) String() string {
	return [...]string{"done", "failedFast", "failedLate", "overdue"}[min(ev, Overdue)]
}

// Policy holds the model parameters.
type Policy struct {
	// SuspicionPercent is the probability of a burst, in percent, from which an
	// upstream is suspected; 0 disables the detection.
	SuspicionPercent int
	// BurstLength is the mean length of a failure burst, CalmLength that of the time
	// between two bursts.
	BurstLength time.Duration
	CalmLength  time.Duration
}

// Filter holds the estimate for one upstream. It is not safe for concurrent use.
type Filter struct {
	policy Policy
	// estimate is the probability of a burst at updatedAt.
	estimate  float64
	updatedAt time.Time
	suspected bool
	// lastFailureAt is when the last evidence of a burst was observed.
	lastFailureAt time.Time
	nextTrialAt   time.Time
	trialInterval time.Duration
	lastEvidence  Evidence
	// lastSucceeded says that the last evidence was a success of a request that
	// started after the last failure.
	lastSucceeded bool
}

// likelihood is the probability of an outcome in each state.
type likelihood struct {
	burst, calm float64
}

// likelihoods follow docs/design/failure-bursts.md: a calm upstream fails 1 to
// 2 % of its requests, and late; in a burst it fails most requests at once.
var likelihoods = [evidenceCount]likelihood{
	Succeeded:  {0.15, 0.98},
	FailedFast: {0.80, 0.005},
	FailedLate: {0.03, 0.015},
	Overdue:    {0.30, 0.10},
}

const (
	// trustRatio, times the threshold of suspicion, is the estimate below which
	// the upstream is trusted again. The hysteresis keeps a single request from
	// toggling the state.
	trustRatio = 0.55
	// minTrialInterval and maxTrialInterval limit the time between two trial
	// requests: a burst lasts seconds, and every trial that fails costs a retry.
	minTrialInterval    = 150 * time.Millisecond
	maxTrialInterval    = 800 * time.Millisecond
	trialIntervalGrowth = 1.5
	// maxSuspectedBursts is how long after its last failure an upstream stays
	// suspected without a successful request, in mean burst lengths. The first
	// request after that is lost if the burst still goes on.
	maxSuspectedBursts = 2
	// minEstimate and maxEstimate keep old evidence from outweighing new.
	minEstimate = 0.005
	maxEstimate = 0.995
)

// NewFilter returns a Filter for an upstream without any evidence yet.
func NewFilter(policy Policy) *Filter {
	return &Filter{policy: policy, estimate: minEstimate, trialInterval: minTrialInterval}
}

// BeginTrial records that a trial request was sent to a suspected upstream.
func (fi *Filter) BeginTrial(now time.Time) {
	fi.nextTrialAt = now.Add(fi.trialInterval)
}

// LastEvidence returns the evidence that was applied last.
func (fi *Filter) LastEvidence() Evidence { return fi.lastEvidence }

// Estimate returns the probability that the upstream is in a burst.
func (fi *Filter) Estimate(now time.Time) float64 {
	fi.advance(now)
	return fi.estimate
}

// IsSuspected reports whether the upstream is suspected of being in a burst and
// should get no requests that are not idempotent.
func (fi *Filter) IsSuspected(now time.Time) bool {
	fi.advance(now)
	fi.updateSuspected(now)
	return fi.suspected
}

// IsTrialDue reports whether a suspected upstream may get a trial request.
func (fi *Filter) IsTrialDue(now time.Time) bool {
	return !now.Before(fi.nextTrialAt)
}

// Observe applies evidence from a request that started at the given time. A
// success of a request that started before the last failure is ignored: it can
// also end well in the middle of a burst.
func (fi *Filter) Observe(now, started time.Time, evidence Evidence) {
	fi.advance(now)
	if evidence == Succeeded && started.Before(fi.lastFailureAt) {
		return
	}
	fi.lastEvidence = evidence
	like := likelihoods[evidence]
	burst := fi.estimate * like.burst
	fi.estimate = clampEstimate(burst / (burst + (1-fi.estimate)*like.calm))
	fi.lastSucceeded = evidence == Succeeded
	if like.burst > like.calm {
		fi.lastFailureAt = now
		fi.nextTrialAt = now.Add(fi.trialInterval)
		fi.trialInterval = min(time.Duration(trialIntervalGrowth*float64(fi.trialInterval)), maxTrialInterval)
	}
	fi.updateSuspected(now)
}

// SetPolicy replaces the parameters; the estimate is kept.
func (fi *Filter) SetPolicy(policy Policy) { fi.policy = policy }

// TrialIn returns the time until a trial request is due, or 0 if one is due now.
func (fi *Filter) TrialIn(now time.Time) time.Duration {
	return max(fi.nextTrialAt.Sub(now), 0)
}

// updateSuspected sets or clears the suspicion according to the estimate.
func (fi *Filter) updateSuspected(now time.Time) {
	threshold := float64(fi.policy.SuspicionPercent) / 100
	isTrusted := fi.lastSucceeded && fi.estimate < trustRatio*threshold
	isExpired := now.Sub(fi.lastFailureAt) >= maxSuspectedBursts*fi.policy.BurstLength
	switch {
	case fi.policy.SuspicionPercent == 0:
		fi.suspected = false
	case fi.estimate >= threshold:
		fi.suspected = true
	case isTrusted, isExpired:
		fi.suspected = false
		fi.trialInterval = minTrialInterval
	}
}

// advance applies the state transitions of the model since the last update: the
// estimate approaches the stationary probability of a burst exponentially.
func (fi *Filter) advance(now time.Time) {
	elapsed := now.Sub(fi.updatedAt)
	fi.updatedAt = now
	if elapsed <= 0 || fi.policy.BurstLength <= 0 || fi.policy.CalmLength <= 0 {
		return
	}
	endRate, beginRate := 1/fi.policy.BurstLength.Seconds(), 1/fi.policy.CalmLength.Seconds()
	stationary := beginRate / (beginRate + endRate)
	decay := math.Exp(-(beginRate + endRate) * elapsed.Seconds())
	fi.estimate = clampEstimate(stationary + (fi.estimate-stationary)*decay)
}

func clampEstimate(estimate float64) float64 {
	return min(max(estimate, minEstimate), maxEstimate)
}
