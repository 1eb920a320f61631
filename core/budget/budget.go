// Package budget implements retry budgets: it limits the retries of a service to
// a share of its first attempts, so that retries can't multiply the load during
// an outage.
//
// Usage:
//
//	bud.Deposit(percent)      // for each request
//	if bud.Withdraw() { ... } // before each retry
//
// A Budget is a token bucket on the side that sends requests. A Ledger is a
// sliding window on the side that receives them for an upstream:
//
//	led.CountFirst(now, policy)                              // a first attempt is sent to the upstream
//	if led.Admit(now, policy, budget.Retry{Rank: 1}) { ... } // a retry is admitted
//	led.Release(admittedAt, policy)                          // an admitted retry was not sent
package budget

import (
	"sync"
	"time"
)

// maxTokens limits the retries that a service can save up in a Budget.
const maxTokens = 10

// Budget is a token bucket that holds one token for each retry that a service may
// still send. The zero value is empty, so that retries never exceed their share
// of the requests. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

// Deposit adds the given percentage of one token.
func (bu *Budget) Deposit(percent int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = min(bu.tokens+float64(percent)/100, maxTokens)
}

// Refill adds the tokens that have accrued since the last call at a rate of
// perMinute tokens a minute. The first call adds nothing.
func (bu *Budget) Refill(now time.Time, perMinute float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !bu.refilled.IsZero() && now.After(bu.refilled) {
		bu.tokens = min(bu.tokens+perMinute*now.Sub(bu.refilled).Minutes(), maxTokens)
	}
	bu.refilled = now
}

// Left returns the number of tokens left, which may be fractional.
func (bu *Budget) Left() float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.tokens
}

// Withdraw removes one token. It reports false if less than one token is left.
func (bu *Budget) Withdraw() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}
