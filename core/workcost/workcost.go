// Package workcost estimates what requests cost an upstream: how long a request of a
// class will take, with its uncertainty, and how much work the upstream still has to do.
//
// Requests of one kind differ in cost: by the organisation that sends them, by the size
// of their body, and by what their path names. An estimator learns the work of each class
// of requests from the ends of earlier ones. A class is looked up from the general to the
// specific: all requests, the kind, the size class, the shape of the path, the
// organisation. Each step moves the estimate by as much as its own samples justify.
//
// Work changes slowly and is kept for long. How fast the upstream works changes within
// seconds, for all classes alike; this factor, the slowdown, is learned from the last
// few requests and is unknown after a silence of maxSilence. A class that is asked about
// but gets no slot for as long is doubted: one of its requests is admitted by the estimate
// for the more general class, and shows whether the class has changed.
//
// Usage, with the caller's lock held:
//
//	est := workcost.New(budget)
//	exp := est.Expect(now, class)            // mean, median and spread
//	est.Begin(now, class)                    // it has got a slot
//	rest := est.Rest(exp, now.Sub(started))  // of a request that runs
//	est.Observe(now, class, exp, took)
package workcost

import (
	"math"
	"time"
)

const (
	// maxSilence is how long after the last sample the slowdown counts as known. Requests
	// that are rejected because of an estimate give no samples, so that a high estimate
	// would never be corrected.
	maxSilence = 5 * time.Second
	// maxNodeSilence is how long what is known about a class is kept without a sample.
	maxNodeSilence = 15 * time.Minute
	// priorSamples is the weight of the estimate of the more general class, in samples.
	priorSamples = 4
	// minWorkWeight is the least weight of a sample in the work of a class: an average
	// over about a hundred samples, since heavy tails need many.
	minWorkWeight = 0.01
	// minSlowdownWeight is the least weight of a sample in the slowdown: an average over
	// about ten requests, as many as two rounds of the slots of an upstream.
	minSlowdownWeight = 0.1
	// maxSurprise limits a sample in the slowdown to this multiple of what was expected
	// and to its inverse, so that a request from a heavy tail doesn't count for many.
	maxSurprise = 3
	// driftWeight is the weight of a sample in the drift of a class, the logarithm of the
	// ratio of actual to expected. At maxDrift, after minDriftSamples, the work of the
	// class counts as changed, as by a release.
	driftWeight     = 0.1
	maxDrift        = 0.4
	minDriftSamples = 12
	// likelyShare is the share of requests that end within Likely. With 0.9, requests are
	// rejected for tails that most of them don't have; docs/design/workcost.md compares.
	likelyShare = 0.75
	// changedSamples is the number of samples that a class counts after a change.
	changedSamples = 3
)

// Class holds what is known about the cost of a request before it runs.
type Class struct {
	Kind         string
	Organisation string
	// Size is the size class of the body (SizeClass).
	Size uint8
	// Shape is the shape of the path (PathShape), or 0.
	Shape uint32
}

// Expectation is the expected duration of a request. The zero value is unknown.
type Expectation struct {
	// Mean is what counts for sums of work, and Median what most requests stay near.
	Mean, Median time.Duration
	// Spread is the standard deviation.
	Spread time.Duration
	// Fresh means that a request ended at the upstream within maxSilence. Otherwise the
	// upstream may be faster or slower now.
	Fresh bool

	work    float64 // Seconds without the slowdown.
	profile *profile
}

// Estimator learns the costs of the requests to one upstream. It is not safe for
// concurrent use.
type Estimator struct {
	budget *NodeBudget
	nodes  map[nodeKey]*node
	// profiles holds the distribution of the durations of each kind, relative to what
	// was expected.
	profiles map[string]*profile
	slowdown slowdown
}

// slowdown is the factor by which requests take longer than their work.
type slowdown struct {
	factor  float64
	samples int
	lastAt  time.Time
}

// New returns an Estimator that has learned nothing.
func New(budget *NodeBudget) *Estimator {
	return &Estimator{budget: budget, nodes: make(map[nodeKey]*node), profiles: make(map[string]*profile), slowdown: slowdown{factor: 1}}
}

// Expect returns the expected duration of a request that asks for a slot.
func (es *Estimator) Expect(now time.Time, class Class) Expectation {
	for _, key := range keysOf(class) {
		if no := es.nodes[key]; no != nil {
			no.asked++
		}
	}
	return es.expect(now, class)
}

func (es *Estimator) expect(now time.Time, class Class) Expectation {
	work := 0.0
	for _, key := range keysOf(class) {
		if no := es.nodes[key]; no != nil && now.Sub(no.lastAt) < maxNodeSilence && !no.isDoubted(now) {
			work = no.blend(work)
		}
	}
	prof := es.profiles[class.Kind]
	if prof == nil {
		prof = &defaultProfile
	}
	mean := work * es.slowdown.factor
	return Expectation{
		Mean: seconds(mean), Median: seconds(mean * prof.quantile(0.5)), Spread: seconds(mean * prof.spread()),
		Fresh: !es.slowdown.lastAt.IsZero() && now.Sub(es.slowdown.lastAt) <= maxSilence, work: work, profile: prof,
	}
}

// Likely returns the duration within which a share of likelyShare of such requests ends.
func (ex Expectation) Likely() time.Duration {
	if ex.profile == nil {
		return 0
	}
	return seconds(ex.Mean.Seconds() * ex.profile.quantile(likelyShare))
}

// Begin records that a request has got a slot.
func (es *Estimator) Begin(now time.Time, class Class) {
	for _, key := range keysOf(class) {
		if no := es.nodes[key]; no != nil {
			no.begin(now)
		}
	}
}

// Rest returns the expected remaining time of a request that has run for age. It grows
// with the age once the request has taken longer than most.
func (es *Estimator) Rest(exp Expectation, age time.Duration) time.Duration {
	mean := exp.work * es.slowdown.factor
	if mean == 0 {
		return age
	}
	return seconds(mean * exp.profile.rest(age.Seconds()/mean))
}

// Observe learns from a request that has ended. exp is what was expected at its start.
func (es *Estimator) Observe(now time.Time, class Class, exp Expectation, took time.Duration) {
	actual := max(took.Seconds(), minWork)
	isFresh := es.observeSlowdown(now, exp.work, actual)
	expected := es.expect(now, class).Mean.Seconds()
	work := actual / es.slowdown.factor
	for _, key := range keysOf(class) {
		es.node(now, key).add(now, work, expected, actual, isFresh)
	}
	if exp.Mean > 0 && exp.Fresh {
		es.profileOf(class.Kind).add(actual / exp.Mean.Seconds())
	}
}

// minWork is the least duration, in seconds, that is told apart from none.
const minWork = 1e-4

// observeSlowdown updates the slowdown with a request that was expected to need work. It
// reports whether the slowdown was known before.
func (es *Estimator) observeSlowdown(now time.Time, work, actual float64) bool {
	slow := &es.slowdown
	isFresh := !slow.lastAt.IsZero() && now.Sub(slow.lastAt) <= maxSilence
	slow.lastAt = now
	if work == 0 {
		return isFresh
	}
	if !isFresh {
		slow.samples = 0
	}
	slow.samples++
	factor := actual / work
	if slow.samples > 1 {
		factor = min(max(factor, slow.factor/maxSurprise), slow.factor*maxSurprise)
	}
	slow.factor += max(1/float64(slow.samples), minSlowdownWeight) * (factor - slow.factor)
	return isFresh
}

func (es *Estimator) profileOf(kind string) *profile {
	prof := es.profiles[kind]
	if prof == nil {
		if len(es.profiles) >= maxProfiles {
			clear(es.profiles)
		}
		copied := defaultProfile
		prof = &copied
		es.profiles[kind] = prof
	}
	return prof
}

func seconds(value float64) time.Duration {
	return time.Duration(min(value, math.MaxInt32) * float64(time.Second))
}
