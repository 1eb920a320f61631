// Package placement decides at which upstream a request is queued, from wait estimates
// that the gates of a few upstreams give on demand.
//
// It is made for many daemons that each send a few requests per second to a service
// whose upstreams have few slots and whose requests differ much in duration. What a
// daemon knows from the last response of an upstream is then about a second old, so
// requests queue behind long ones while slots are idle elsewhere. Before the body is
// sent, a few gates are therefore asked how long a request of its rank would wait.
// The request goes to the upstream with the shortest wait, and is not sent at all
// when it could not complete in time at any of them.
//
// This follows "Sparrow: Distributed, Low Latency Scheduling" (Ousterhout and others,
// 2013), without its late binding, which needs one more message per request.
//
// Usage:
//
//	for _, round := range placement.Rounds(rng, candidates, policy) {
//		if placement.IsSettled(estimates, remaining, policy) { break }
//		estimates = append(estimates, ask(round)...)
//	}
//	dec := placement.Best(estimates, remaining, policy)
package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is an upstream that may be asked for a wait estimate.
type Candidate struct {
	ID   string
	Zone string
	// Cost is added to the estimated wait as a penalty, such as that of an upstream
	// that is still cold.
	Cost time.Duration
}

// Estimate is the wait estimate that the gate of a candidate returned.
type Estimate struct {
	Candidate
	// Wait is how long a request of the rank that was asked about would be queued.
	Wait time.Duration
	// ExpectedDuration is the usual duration of this kind of request there; 0 means
	// unknown.
	ExpectedDuration time.Duration
}

// Policy holds the parameters of the placement.
type Policy struct {
	// Zone is the own availability zone.
	Zone string
	// OwnZoneCount and OtherZoneCount are the numbers of candidates to ask in the own
	// availability zone and in others.
	OwnZoneCount   int
	OtherZoneCount int
	// Margin is the share of the remaining time that the wait and the request may
	// take. Below 1 it leaves room for the error of the estimates: a request that
	// completes too late has wasted its slot.
	Margin float64
	// CrossZoneCost is added to the wait of candidates in other zones: traffic
	// between zones costs money and adds latency.
	CrossZoneCost time.Duration
	// ByteCost is the part of the cost of a crossing that grows with the bytes of the
	// request (see ByteCost). A candidate in another zone must have as much time to
	// spare, up to half of what Margin leaves: when all zones are overloaded, a
	// crossing only takes the place of a request of the other zone.
	ByteCost time.Duration
	// OwnZoneRounds is the number of times that OwnZoneCount candidates of the own
	// zone are asked before those of other zones; 0 counts as 1. More rounds pay off
	// if CrossZoneCost is high.
	OwnZoneRounds int
}

// Decision is the choice for a request.
type Decision struct {
	// At is the index of the chosen estimate, or -1 if there are none.
	At int
	// InTime says that the request can complete in time there.
	InTime bool
}

// Best returns the estimate with the lowest wait plus cost among those with which
// the request can complete in time, or among all if it can't with any of them.
func Best(estimates []Estimate, remaining time.Duration, policy Policy) Decision {
	dec := Decision{At: -1}
	for at, est := range estimates {
		inTime := est.Wait+est.ExpectedDuration <= policy.available(est, remaining)
		switch {
		case dec.At < 0, inTime && !dec.InTime:
		case inTime != dec.InTime, policy.Cost(est) >= policy.Cost(estimates[dec.At]):
			continue
		}
		dec = Decision{At: at, InTime: inTime}
	}
	return dec
}

// IsSettled reports whether candidates in other zones need not be asked because none
// can beat the best estimate of the own zone: even without any wait they cost
// CrossZoneCost and ByteCost.
func IsSettled(estimates []Estimate, remaining time.Duration, policy Policy) bool {
	dec := Best(estimates, remaining, policy)
	return dec.InTime && policy.Cost(estimates[dec.At]) <= policy.CrossZoneCost+policy.ByteCost
}

// Sample returns the indexes of random candidates to ask: those in the own zone, and
// those in others. If the own zone has fewer than OwnZoneCount, candidates in other
// zones make up the difference.
func Sample(rng *rand.Rand, candidates []Candidate, policy Policy) (near, far []int) {
	for _, at := range rng.Perm(len(candidates)) {
		if candidates[at].Zone != policy.Zone {
			far = append(far, at)
		} else if len(near) < policy.OwnZoneCount*max(policy.OwnZoneRounds, 1) {
			near = append(near, at)
		}
	}
	maxFar := policy.OtherZoneCount + max(policy.OwnZoneCount-len(near), 0)
	return near, far[:min(maxFar, len(far))]
}

// Rounds returns a Sample in the order in which it is asked: OwnZoneCount candidates of
// the own zone at a time, then the candidates of other zones. Once the estimates are
// settled (IsSettled), the other rounds are not asked.
func Rounds(rng *rand.Rand, candidates []Candidate, policy Policy) [][]int {
	near, far := Sample(rng, candidates, policy)
	var rounds [][]int
	for round := range slices.Chunk(near, max(policy.OwnZoneCount, 1)) {
		rounds = append(rounds, round)
	}
	if len(far) > 0 {
		rounds = append(rounds, far)
	}
	return rounds
}

// Cost returns the wait plus the penalties of the candidate and of its zone.
func (po Policy) Cost(est Estimate) time.Duration {
	cost := est.Wait + est.Cost
	if est.Zone != po.Zone {
		cost += po.CrossZoneCost + po.ByteCost
	}
	return cost
}

// available returns the time that the wait and the request may take at a candidate.
func (po Policy) available(est Estimate, remaining time.Duration) time.Duration {
	available := time.Duration(po.Margin * float64(remaining))
	if est.Zone != po.Zone {
		available -= min(po.ByteCost, available/2)
	}
	return available
}
