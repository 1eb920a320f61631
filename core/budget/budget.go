// Package budget bounds the further attempts of a service, so that retries
// can't multiply the load of an outage.
//
// Usage:
//
//	bud.Deposit(percent)      // for each request
//	if bud.Withdraw() { ... } // for each further attempt
//
// A Budget is kept by a process that sends requests, a Ledger by one that takes
// them for an upstream:
//
//	led.First(now, policy)                                  // a first attempt goes to the upstream
//	if led.Take(now, policy, budget.Repeat{Rank: 1}) { ... } // a repeat may go there
//	led.GiveBack(taken, policy)                             // it did not go
package budget

import (
	"sync"
	"time"
)

const maxTokens = 10

// Budget holds the attempts that a service may still repeat. The zero value is
// empty, so that further attempts never exceed their share of the requests. It
// is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// Deposit adds a share of one attempt, in percent.
func (bu *Budget) Deposit(percent int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = min(bu.tokens+float64(percent)/100, maxTokens)
}

// DepositTime adds what a rate, in attempts a minute, has brought since the
// last call; the first call adds nothing.
func (bu *Budget) DepositTime(now time.Time, perMinute float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !bu.filled.IsZero() && now.After(bu.filled) {
		bu.tokens = min(bu.tokens+perMinute*now.Sub(bu.filled).Minutes(), maxTokens)
	}
	bu.filled = now
}

// Left returns the attempts that may still be repeated.
func (bu *Budget) Left() float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.tokens
}

// Withdraw takes one attempt out and says whether there was one.
func (bu *Budget) Withdraw() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}
