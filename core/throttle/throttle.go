// Package throttle refuses work early that the fleet would refuse late.
//
// A Throttle learns from the requests that it lets through: it lets through more
// while upstreams take them, and less while they refuse, so that about half are
// taken in a flood. A few a second always go through, to see when the
// flood is over. Requests that it refuses itself teach it nothing: callers that
// send again at once, whatever they are told, must not keep it shut (the counts of
// Beyer and others, "Site Reliability Engineering", 2016, "Handling Overload", let
// them).
//
// Usage:
//
//	if th.Refuses(now, rng) { /* answer notRun */ }
//	th.Note(accepted)
package throttle

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// raise and lower are the steps of the share that is let through, for a request
	// that is taken and one that is refused. They balance where little less than half
	// is taken: upstreams must not run dry between two refusals.
	raise = 1.15
	lower = 0.9
	// leastShare is the lowest share: from there a service at its least probes is
	// open again within two seconds, which is the goal.
	leastShare = 0.01
	// probeEvery is the time between requests that go through in any case.
	probeEvery = 50 * time.Millisecond
	// windowLen is the time over which requests are counted, and minCount how many of
	// them there must be before any is refused.
	windowLen = 2 * time.Second
	minCount  = 10
)

// Throttle limits one service and rank. It is safe for concurrent use.
//
// Lock order: Throttle.mu is a leaf.
type Throttle struct {
	mu sync.Mutex
	// closed is the part of the requests that is not let through.
	closed  float64
	probed  time.Time
	began   time.Time
	current int
	last    int
}

// Note tells whether upstreams took a request that was not refused here.
func (th *Throttle) Note(accepted bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	step := lower
	if accepted {
		step = raise
	}
	th.closed = 1 - min(max((1-th.closed)*step, leastShare), 1)
}

// Refuses says whether a request is refused here.
func (th *Throttle) Refuses(now time.Time, rng *rand.Rand) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	th.turn(now)
	th.current++
	if th.current+th.last < minCount || rng.Float64() >= th.closed {
		return false
	}
	if now.Sub(th.probed) >= probeEvery {
		th.probed = now
		return false
	}
	return true
}

// turn begins a new window; after a quiet one nothing is refused any more.
func (th *Throttle) turn(now time.Time) {
	passed := now.Sub(th.began)
	if passed < windowLen {
		return
	}
	th.last = th.current
	if passed >= 2*windowLen {
		th.last, th.closed = 0, 0
	}
	th.current = 0
	th.began = now
}
