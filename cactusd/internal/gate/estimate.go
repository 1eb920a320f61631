package gate

import (
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/rankqueue"
	"cactusstream.example/core/workcost"
)

// EstimateWait estimates how long a request would be queued at an upstream, or
// returns why it would be rejected. It reserves nothing.
func (ga *Gate) EstimateWait(req wire.WaitEstimateRequest) wire.WaitEstimate {
	gu, ok := ga.find(req.Upstream)
	if !ok {
		return wire.WaitEstimate{Rejected: outcome.NoUpstream}
	}
	return gu.estimateWait(req)
}

func (gu *guard) estimateWait(req wire.WaitEstimateRequest) wire.WaitEstimate {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	gu.adoptLimit(now, req.KnownLimit)
	expected, work := gu.expectedCost(now, workcost.Class{Kind: req.Kind, Organisation: req.Firm, Size: req.SizeClass, Shape: req.PathShape})
	item := &rankqueue.Item{Rank: req.Rank, OrganisationRank: req.OrganisationRank, Target: targetTime(now, req.TargetRemaining), ExpectedDuration: expected, Work: work}
	ans := wire.WaitEstimate{Wait: gu.queue.EstimateWait(now, item), ExpectedDuration: expected, Load: gu.load(now)}
	switch {
	case gu.leaving:
		ans.Rejected = outcome.Stopping
	case ans.Load.Suspected && (!req.Idempotent || !gu.burstFilter.IsTrialDue(now)):
		ans.Rejected = outcome.Suspected
	case req.Retry && !gu.retryBudget.Allows(now, gu.budgetPolicy(), retryOf(req.Rank, req.AfterTrial)):
		ans.Rejected = outcome.RetryBudgetExhausted
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
