package gate

import (
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/rankqueue"
)

// EstimateWait estimates how long a request would be queued at an upstream, or
// returns why it would be rejected. It reserves nothing.
func (ga *Gate) EstimateWait(req wire.QuoteRequest) wire.QuoteAnswer {
	gu, ok := ga.find(req.Upstream)
	if !ok {
		return wire.QuoteAnswer{Refused: outcome.NoUpstream}
	}
	return gu.estimateWait(req)
}

func (gu *guard) estimateWait(req wire.QuoteRequest) wire.QuoteAnswer {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	expected := gu.expectedTime(req.Kind)
	item := &rankqueue.Item{Rank: req.Rank, Target: targetTime(now, req.TargetIn), ExpectedDuration: expected}
	ans := wire.QuoteAnswer{Wait: gu.queue.EstimateWait(now, item), Need: expected, Load: gu.load(now)}
	switch {
	case gu.leaving:
		ans.Refused = outcome.Stopping
	case ans.Load.Doubtful && (!req.Idempotent || !gu.burstFilter.IsTrialDue(now)):
		ans.Refused = outcome.Suspected
	case req.Repeat && !gu.retryBudget.Allows(now, gu.budgetPolicy(), retryOf(req.Rank, req.AfterTrial)):
		ans.Refused = outcome.RetryBudgetExhausted
	}
	return ans
}

// Withdraw rejects an attempt that is still queued for a slot.
func (ga *Gate) Withdraw(wit wire.Withdrawal) {
	gu, ok := ga.find(wit.Upstream)
	if !ok {
		return
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.queue.RejectIf(rankqueue.RejectWithdrawn, func(item *rankqueue.Item) bool { return item.AttemptID == wit.Attempt })
}
