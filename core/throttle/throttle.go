// Package throttle refuses work early that the fleet would refuse late.
//
// A Throttle counts the requests for one service and rank, and how many of
// them upstreams took; when many are refused it refuses a share on its own, at
// random, and keeps a few going to see when the flood is over (Beyer and
// others, "Site Reliability Engineering", 2016, "Handling Overload").
//
// Usage:
//
//	if th.Refuses(now, rng) { /* answer notRun */ }
//	th.Note(now, accepted)
package throttle

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// headroom is how many requests may come for one that is taken.
	headroom  = 1.5
	windowLen = 2 * time.Second
	minCount  = 10
)

// Throttle limits one service and rank. It is safe for concurrent use.
//
// Lock order: Throttle.mu is a leaf.
type Throttle struct {
	mu      sync.Mutex
	began   time.Time
	current counts
	last    counts
}

type counts struct {
	requests float64
	accepted float64
}

// Note tells whether upstreams took a request that was not refused here.
func (th *Throttle) Note(now time.Time, accepted bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	th.turn(now)
	th.current.requests++
	if accepted {
		th.current.accepted++
	}
}

// Refuses says whether a request is refused here; it counts then.
func (th *Throttle) Refuses(now time.Time, rng *rand.Rand) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	th.turn(now)
	requests := th.current.requests + th.last.requests
	accepted := th.current.accepted + th.last.accepted
	if requests < minCount {
		return false
	}
	if rng.Float64() >= (requests-headroom*accepted)/(requests+1) {
		return false
	}
	th.current.requests++
	return true
}

func (th *Throttle) turn(now time.Time) {
	passed := now.Sub(th.began)
	if passed < windowLen {
		return
	}
	th.last = th.current
	if passed >= 2*windowLen {
		th.last = counts{}
	}
	th.current = counts{}
	th.began = now
}
