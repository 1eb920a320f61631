// Package gray estimates whether an upstream is in a bout: some seconds in which
// it fails most of its work at once while its health check says that all is well.
//
// The load pattern that it answers: an upstream that fails fast is idle, so every
// rule that looks for free slots sends it more and more work, and work that may
// run once only is lost there. A test that counts failures convicts after five or
// so, and holds the upstream off for far longer than a bout lasts.
//
// The estimate is the filter of a hidden Markov model with two states (Rabiner,
// "A Tutorial on Hidden Markov Models", 1989): bouts and calm follow each other
// with given mean lengths, and every piece of work is evidence by how likely it
// is in each. One fast failure is enough for doubt; a few pieces of idempotent
// work, or time, end it.
//
// Usage, under the caller's lock:
//
//	fil := gray.NewFilter(policy)
//	fil.Observe(now, started, gray.FailedFast)
//	if fil.IsDoubtful(now) && fil.IsTrialDue(now) { fil.BeginTrial(now) ... }
package gray

import (
	"math"
	"time"
)

// Evidence is how one piece of work went.
type Evidence uint8

// The kinds of evidence.
const (
	// Done is work that ended well.
	Done Evidence = iota
	// FailedFast is work that failed in a small part of its usual time.
	FailedFast
	// FailedLate is work that failed after its usual time.
	FailedLate
	// Overdue is work in flight that has lasted far beyond its usual time.
	Overdue
	evidenceCount
)

// String names the evidence.
func (ev Evidence) String() string {
	return [...]string{"done", "failedFast", "failedLate", "overdue"}[min(ev, Overdue)]
}

// Policy is what is assumed of bouts.
type Policy struct {
	// DoubtPercent is the estimate from which an upstream is doubtful; 0 means
	// that it never is.
	DoubtPercent int
	// Bout and Calm are the mean lengths of bouts and of the time between them.
	Bout time.Duration
	Calm time.Duration
}

// Filter is the estimate for one upstream. It is not safe for concurrent use.
type Filter struct {
	policy   Policy
	estimate float64
	at       time.Time
	doubtful bool
	// failedAt is when work failed last.
	failedAt time.Time
	trialAt  time.Time
	pause    time.Duration
	last     Evidence
	// proved says that work which began after the last failure ended well.
	proved bool
}

// likelihood is how probable evidence is in a bout and in calm.
type likelihood struct {
	bout, calm float64
}

// likelihoods follow docs/design/gray.md: upstreams fail one or two in a hundred
// pieces of work late when they are calm, and most of it at once in a bout.
var likelihoods = [evidenceCount]likelihood{
	Done:       {0.15, 0.98},
	FailedFast: {0.80, 0.005},
	FailedLate: {0.03, 0.015},
	Overdue:    {0.30, 0.10},
}

const (
	// trustShare of the doubt is the estimate below which doubt ends; the gap
	// keeps one piece of work from switching it.
	trustShare = 0.55
	// minTrialPause and maxTrialPause bound the time between two trials: a bout
	// lasts seconds, and every trial that fails costs a repeat.
	minTrialPause = 150 * time.Millisecond
	maxTrialPause = 800 * time.Millisecond
	pauseGrowth   = 1.5
	// patience is how many mean bouts doubt lasts without any work that proves
	// its end; the first work after it may be lost.
	patience = 2
	// leastEstimate and mostEstimate keep old evidence from outweighing new.
	leastEstimate = 0.005
	mostEstimate  = 0.995
)

// NewFilter returns the Filter of an upstream of which nothing is known.
func NewFilter(policy Policy) *Filter {
	return &Filter{policy: policy, estimate: leastEstimate, pause: minTrialPause}
}

// BeginTrial notes that work was sent to a doubtful upstream.
func (fi *Filter) BeginTrial(now time.Time) {
	fi.trialAt = now.Add(fi.pause)
}

// LastEvidence returns what was observed last.
func (fi *Filter) LastEvidence() Evidence { return fi.last }

// Estimate returns the probability of a bout at a time.
func (fi *Filter) Estimate(now time.Time) float64 {
	fi.pass(now)
	return fi.estimate
}

// IsDoubtful says whether the upstream should get no work that may run once only.
func (fi *Filter) IsDoubtful(now time.Time) bool {
	fi.pass(now)
	fi.decide(now)
	return fi.doubtful
}

// IsTrialDue says whether a doubtful upstream may get one piece of work.
func (fi *Filter) IsTrialDue(now time.Time) bool {
	return !now.Before(fi.trialAt)
}

// Observe takes evidence of work that began at a time. Work that began before
// the last failure may end well in the middle of a bout, and proves nothing.
func (fi *Filter) Observe(now, started time.Time, evidence Evidence) {
	fi.pass(now)
	if evidence == Done && started.Before(fi.failedAt) {
		return
	}
	fi.last = evidence
	like := likelihoods[evidence]
	bout := fi.estimate * like.bout
	fi.estimate = bound(bout / (bout + (1-fi.estimate)*like.calm))
	fi.proved = evidence == Done
	if like.bout > like.calm {
		fi.failedAt = now
		fi.trialAt = now.Add(fi.pause)
		fi.pause = min(time.Duration(pauseGrowth*float64(fi.pause)), maxTrialPause)
	}
	fi.decide(now)
}

// SetPolicy changes what is assumed from now on.
func (fi *Filter) SetPolicy(policy Policy) { fi.policy = policy }

// TrialIn returns how long it takes until a trial is due.
func (fi *Filter) TrialIn(now time.Time) time.Duration {
	return max(fi.trialAt.Sub(now), 0)
}

// decide begins or ends the doubt by the estimate.
func (fi *Filter) decide(now time.Time) {
	doubt := float64(fi.policy.DoubtPercent) / 100
	isProved := fi.proved && fi.estimate < trustShare*doubt
	isOld := now.Sub(fi.failedAt) >= patience*fi.policy.Bout
	switch {
	case fi.policy.DoubtPercent == 0:
		fi.doubtful = false
	case fi.estimate >= doubt:
		fi.doubtful = true
	case isProved, isOld:
		fi.doubtful = false
		fi.pause = minTrialPause
	}
}

// pass lets the estimate drift to the share of time that bouts take.
func (fi *Filter) pass(now time.Time) {
	passed := now.Sub(fi.at)
	fi.at = now
	if passed <= 0 || fi.policy.Bout <= 0 || fi.policy.Calm <= 0 {
		return
	}
	ends, begins := 1/fi.policy.Bout.Seconds(), 1/fi.policy.Calm.Seconds()
	usual := begins / (begins + ends)
	kept := math.Exp(-(begins + ends) * passed.Seconds())
	fi.estimate = bound(usual + (fi.estimate-usual)*kept)
}

func bound(estimate float64) float64 {
	return min(max(estimate, leastEstimate), mostEstimate)
}
