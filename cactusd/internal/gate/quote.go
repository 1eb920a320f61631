package gate

import (
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/rankqueue"
)

// Quote says how long a request would wait at an upstream, or why it is refused
// there. It promises nothing.
func (ga *Gate) Quote(req wire.QuoteRequest) wire.QuoteAnswer {
	gu, ok := ga.find(req.Upstream)
	if !ok {
		return wire.QuoteAnswer{Refused: outcome.NoUpstream}
	}
	return gu.quote(req)
}

func (gu *guard) quote(req wire.QuoteRequest) wire.QuoteAnswer {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	need := gu.need(req.Kind)
	item := &rankqueue.Item{Rank: req.Rank, Target: targetOf(now, req.TargetIn), Need: need}
	ans := wire.QuoteAnswer{Wait: gu.queue.Wait(now, item), Need: need, Load: gu.load(now)}
	switch {
	case gu.leaving:
		ans.Refused = outcome.Stopping
	case ans.Load.Doubtful && (!req.Idempotent || !gu.filter.IsTrialDue(now)):
		ans.Refused = outcome.Doubtful
	case req.Repeat && !gu.ledger.May(now, gu.budgetPolicy(), repeatOf(req.Rank, req.AfterTrial)):
		ans.Refused = outcome.NoRepeats
	}
	return ans
}

// Withdraw takes back an attempt that still waits for a slot.
func (ga *Gate) Withdraw(wit wire.Withdrawal) {
	gu, ok := ga.find(wit.Upstream)
	if !ok {
		return
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.queue.RefuseIf(rankqueue.RefuseWithdrawn, func(item *rankqueue.Item) bool { return item.Attempt == wit.Attempt })
}
