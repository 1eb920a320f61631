// Package pick chooses the upstream for a request by load and availability zone.
//
// Usage:
//
//	at := pick.Choose(rng, candidates, pick.Policy{Zone: "centro-a", SpillPercent: 80})
//	if at < 0 { /* no candidates */ }
//
// It draws two candidates at random and takes the less loaded one (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001). Candidates of the
// daemon's own availability zone are preferred until their utilization reaches the
// spill threshold.
package pick

import "math/rand/v2"

// Candidate is one upstream that may take the request.
type Candidate struct {
	ID    string
	Zone  string
	Slots int
	// Load is the number of requests that run or are queued at the upstream, as
	// far as this daemon knows.
	Load float64
	// Weight is the share of its slots that an upstream should use while it warms
	// up, above 0 and up to 1.
	Weight float64
}

// Policy is the own availability zone, and the utilization in percent from which
// requests spill to other zones.
type Policy struct {
	Zone         string
	SpillPercent int
}

// Choose returns the index of the chosen candidate, or -1 if there are none. Beyond
// the spill threshold, a candidate of any zone is taken if it is less utilized than
// the one of the own zone.
func Choose(rng *rand.Rand, candidates []Candidate, policy Policy) int {
	var local []int
	all := make([]int, 0, len(candidates))
	for i, can := range candidates {
		all = append(all, i)
		if can.Zone == policy.Zone {
			local = append(local, i)
		}
	}
	if len(all) == 0 {
		return -1
	}
	if len(local) == 0 || len(local) == len(all) {
		return lessLoadedOfTwo(rng, candidates, all)
	}
	localChoice := lessLoadedOfTwo(rng, candidates, local)
	if candidates[localChoice].utilization() < float64(policy.SpillPercent)/100 {
		return localChoice
	}
	anyZoneChoice := lessLoadedOfTwo(rng, candidates, all)
	if candidates[anyZoneChoice].utilization() < candidates[localChoice].utilization() {
		return anyZoneChoice
	}
	return localChoice
}

// utilization returns the share of the weighted slots that would be in use with one
// more request.
func (ca Candidate) utilization() float64 {
	return (ca.Load + 1) / (float64(max(ca.Slots, 1)) * max(ca.Weight, 0.01))
}

// lessLoadedOfTwo returns the less loaded of two random candidates among indexes.
func lessLoadedOfTwo(rng *rand.Rand, candidates []Candidate, indexes []int) int {
	first := rng.IntN(len(indexes))
	if len(indexes) == 1 {
		return indexes[first]
	}
	second := rng.IntN(len(indexes) - 1)
	if second >= first {
		second++
	}
	if candidates[indexes[second]].utilization() < candidates[indexes[first]].utilization() {
		return indexes[second]
	}
	return indexes[first]
}
