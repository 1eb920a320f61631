// Package budget bounds the further attempts of a service, so that retries
// can't multiply the load of an outage.
//
// Usage:
//
//	bud.Deposit(percent)      // for each request
//	if bud.Withdraw() { ... } // for each further attempt
package budget

import "sync"

const maxTokens = 10

// Budget holds the attempts that a service may still repeat. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a full Budget.
func New() *Budget {
	return &Budget{tokens: maxTokens}
}

// Deposit adds a share of one attempt, in percent.
func (bu *Budget) Deposit(percent int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = min(bu.tokens+float64(percent)/100, maxTokens)
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
