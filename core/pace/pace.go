// Package pace limits the rate at which requests start at an upstream that has named a
// limit.
//
// It is made for limits from a fraction of a request to hundreds of requests per second,
// under a load far above them: requests start evenly, and a pause allows no burst of more
// than burstTime at the limit.
//
// Usage, with the caller's lock held:
//
//	lim.Set(now, 2.5)          // requests per second
//	if lim.Allows(now) { lim.Take(now) }
//	wait := lim.Wait(now, 3)   // until the third request from now may start
package pace

import "time"

const (
	// burstTime is the time at the limit whose requests may start at once after a pause,
	// at least one.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the rate that is used for lower limits, also for 0: only an answer
	// tells that a limit has ended, so a request has to be sent now and then.
	minPerSecond = 0.2
)

// Limiter is a token bucket. Its zero value limits nothing. It is not safe for concurrent
// use.
type Limiter struct {
	perSecond float64
	tokens    float64
	at        time.Time
}

// Set sets the limit in requests per second. The first limit starts without any token.
func (li *Limiter) Set(now time.Time, perSecond float64) {
	if li.perSecond > 0 {
		li.refill(now)
	} else {
		li.tokens, li.at = 0, now
	}
	li.perSecond = max(perSecond, minPerSecond)
	li.tokens = min(li.tokens, li.burst())
}

// Clear removes the limit.
func (li *Limiter) Clear() { *li = Limiter{} }

// IsSet reports whether there is a limit.
func (li *Limiter) IsSet() bool { return li.perSecond > 0 }

// PerSecond returns the limit in requests per second, or 0 if there is none.
func (li *Limiter) PerSecond() float64 { return li.perSecond }

// Allows reports whether a request may start now.
func (li *Limiter) Allows(now time.Time) bool {
	return li.Wait(now, 1) == 0
}

// Take counts a request that starts now.
func (li *Limiter) Take(now time.Time) {
	if li.IsSet() {
		li.refill(now)
		li.tokens--
	}
}

// Wait returns the time until the given number of further requests may have started.
func (li *Limiter) Wait(now time.Time, requests float64) time.Duration {
	if !li.IsSet() {
		return 0
	}
	li.refill(now)
	missing := requests - li.tokens
	if missing < tokenError {
		return 0
	}
	return time.Duration(missing / li.perSecond * float64(time.Second))
}

// tokenError is more than the rounding errors of tokens, so that a request may start after
// the time that Wait returned.
const tokenError = 1e-6

// refill adds the tokens since the last call.
func (li *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(li.at); elapsed > 0 {
		li.tokens = min(li.tokens+elapsed.Seconds()*li.perSecond, li.burst())
		li.at = now
	}
}

func (li *Limiter) burst() float64 {
	return max(burstTime.Seconds()*li.perSecond, 1)
}
