// Package place decides at which upstream a request waits.
//
// The load pattern that it answers: many daemons, each with a few requests a
// second for a service, whose upstreams have a handful of slots and work of very
// uneven length. What a daemon knows of an upstream from its own last answer is
// then a second old, so requests queue behind long work while slots stand idle
// elsewhere. A few gates are asked for the wait that a request of its rank would
// have, before its body travels; the request goes to the shortest wait, and to
// none when it could not end in time anywhere (after Ousterhout and others,
// "Sparrow: Distributed, Low Latency Scheduling", 2013, whose late binding needs
// a message more for each request).
//
// Usage:
//
//	near, far := place.Sample(rng, places, policy)
//	quotes := ask(near)
//	if !place.IsSettled(quotes, remaining, policy) { quotes = append(quotes, ask(far)...) }
//	verdict := place.Best(quotes, remaining, policy)
package place

import (
	"math/rand/v2"
	"time"
)

// Place is an upstream that may be asked.
type Place struct {
	ID   string
	Zone string
	// Cost is added to its wait, as for one that is still cold.
	Cost time.Duration
}

// Quote is what the gate of a place answered.
type Quote struct {
	Place
	// Wait is how long a request of the asker's rank would wait for a slot.
	Wait time.Duration
	// Need is how long its kind of work usually takes there; 0 is unknown.
	Need time.Duration
}

// Policy is how places are chosen.
type Policy struct {
	Zone string
	// Near and Far are how many places of the own availability zone and of others
	// are asked.
	Near int
	Far  int
	// Margin is the part of the remaining time that the wait and the work may
	// take: quotes are estimates, and work that ends late has wasted its slot.
	Margin float64
	// FarCost is the wait that a place in another zone must save: bytes between
	// zones are dear, and slow.
	FarCost time.Duration
}

// Verdict is where a request goes.
type Verdict struct {
	// At is the place of the chosen quote, or -1 when there is none.
	At int
	// InTime says that the request can end in time there.
	InTime bool
}

// Best returns the quote with the least wait and cost among those that can end
// in time; if none can, the one that comes closest.
func Best(quotes []Quote, remaining time.Duration, policy Policy) Verdict {
	ver := Verdict{At: -1}
	for at, quo := range quotes {
		inTime := quo.Wait+quo.Need <= time.Duration(policy.Margin*float64(remaining))
		switch {
		case ver.At < 0, inTime && !ver.InTime:
		case inTime != ver.InTime, policy.cost(quo) >= policy.cost(quotes[ver.At]):
			continue
		}
		ver = Verdict{At: at, InTime: inTime}
	}
	return ver
}

// IsSettled says whether the best of the quotes of the own zone stands whatever
// other zones would quote, so that they need not be asked: no wait there is
// shorter than none, and crossing zones has its cost.
func IsSettled(quotes []Quote, remaining time.Duration, policy Policy) bool {
	ver := Best(quotes, remaining, policy)
	return ver.InTime && policy.cost(quotes[ver.At]) <= policy.FarCost
}

// Sample returns the indexes of the places to ask, at random: those of the own
// zone, and those of others. Where the own zone has fewer than Near, others take
// their part.
func Sample(rng *rand.Rand, places []Place, policy Policy) (near, far []int) {
	for _, at := range rng.Perm(len(places)) {
		if places[at].Zone != policy.Zone {
			far = append(far, at)
		} else if len(near) < policy.Near {
			near = append(near, at)
		}
	}
	most := policy.Far + policy.Near - len(near)
	return near, far[:min(most, len(far))]
}

func (po Policy) cost(quo Quote) time.Duration {
	cost := quo.Wait + quo.Cost
	if quo.Zone != po.Zone {
		cost += po.FarCost
	}
	return cost
}
