// Package throttle implements adaptive throttling: during overload it rejects
// requests at the ingress that upstreams would reject later.
//
// A Throttle adjusts the share of requests that it admits: it raises the share
// for each admitted request that upstreams accept, and lowers it for each one that
// they reject, so that upstreams accept about half of the admitted requests during
// an overload. Up to one request in each probeInterval is always admitted as a probe,
// to detect the end of the overload.
//
// Requests that the Throttle itself rejects don't change the share, so callers that
// retry at once despite Retry-After can't keep it closed. The accept and request
// counts in Beyer et al., "Site Reliability Engineering", 2016, "Handling
// Overload", lack that property.
//
// Usage:
//
//	if th.Rejects(now, rng) { /* answer notRun */ }
//	th.Record(accepted)
package throttle

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// The admitted share is multiplied by acceptFactor for each accepted request and
	// by rejectFactor for each rejected one. The share is stable where upstreams
	// accept a little less than half of the admitted requests, so that they don't
	// run idle between two rejections.
	acceptFactor = 1.15
	rejectFactor = 0.9
	// minAdmittedShare is the lower limit of the admitted share. From this share,
	// the probes alone reopen the throttle within the goal of two seconds.
	minAdmittedShare = 0.01
	// probeInterval is the time between requests that are admitted in any case.
	probeInterval = 50 * time.Millisecond
	// countWindow is the time over which requests are counted. No request is
	// rejected while the current and the previous window hold fewer than
	// minRequests.
	countWindow = 2 * time.Second
	minRequests = 10
)

// Throttle limits the requests of one service and rank. It is safe for concurrent use.
//
// Lock order: no other lock is acquired while Throttle.mu is held.
type Throttle struct {
	mu sync.Mutex
	// rejectedShare is the share of requests to reject, from 0 to 1. Probes are
	// admitted regardless of it.
	rejectedShare float64
	lastProbe     time.Time
	windowStart   time.Time
	// currentCount and previousCount are the requests of the current and the
	// previous window.
	currentCount  int
	previousCount int
}

// Record records whether upstreams accepted a request that the Throttle admitted.
func (th *Throttle) Record(accepted bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	factor := rejectFactor
	if accepted {
		factor = acceptFactor
	}
	th.rejectedShare = 1 - min(max((1-th.rejectedShare)*factor, minAdmittedShare), 1)
}

// Rejects counts a request and reports whether the Throttle rejects it.
func (th *Throttle) Rejects(now time.Time, rng *rand.Rand) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	th.rotate(now)
	th.currentCount++
	if th.currentCount+th.previousCount < minRequests || rng.Float64() >= th.rejectedShare {
		return false
	}
	if now.Sub(th.lastProbe) >= probeInterval {
		th.lastProbe = now
		return false
	}
	return true
}

// rotate starts a new window if the current one is over. After a whole window
// without a request it admits everything again.
func (th *Throttle) rotate(now time.Time) {
	elapsed := now.Sub(th.windowStart)
	if elapsed < countWindow {
		return
	}
	th.previousCount = th.currentCount
	if elapsed >= 2*countWindow {
		th.previousCount, th.rejectedShare = 0, 0
	}
	th.currentCount = 0
	th.windowStart = now
}
