// Package pick chooses the upstream that a request goes to.
//
// Usage:
//
//	at := pick.Choose(rng, candidates, pick.Policy{Zone: "centro-a", SpillPercent: 80})
//	if at < 0 { /* nobody there */ }
//
// Two candidates are drawn at random and the less loaded one is taken
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001), from the own availability zone until its load reaches the spill.
package pick

import "math/rand/v2"

// Candidate is one upstream that may take the request.
type Candidate struct {
	ID    string
	Zone  string
	Slots int
	// Load is the requests that the upstream has, running or waiting, as far
	// as this daemon knows.
	Load float64
	// Weight is the share of its slots that a warming upstream should use,
	// from above 0 to 1.
	Weight float64
}

// Policy is how a choice is made.
type Policy struct {
	Zone         string
	SpillPercent int
}

// Choose returns the place of the chosen candidate, or -1 when there is none.
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
	near := lessLoadedOfTwo(rng, candidates, local)
	if candidates[near].use() < float64(policy.SpillPercent)/100 {
		return near
	}
	far := lessLoadedOfTwo(rng, candidates, all)
	if candidates[far].use() < candidates[near].use() {
		return far
	}
	return near
}

// use returns the share of the slots that would be in use with one more request.
func (ca Candidate) use() float64 {
	return (ca.Load + 1) / (float64(max(ca.Slots, 1)) * max(ca.Weight, 0.01))
}

func lessLoadedOfTwo(rng *rand.Rand, candidates []Candidate, among []int) int {
	one := rng.IntN(len(among))
	if len(among) == 1 {
		return among[one]
	}
	two := rng.IntN(len(among) - 1)
	if two >= one {
		two++
	}
	if candidates[among[two]].use() < candidates[among[one]].use() {
		return among[two]
	}
	return among[one]
}
