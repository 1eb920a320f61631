package gate

import (
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/budget"
	"cactusstream.example/core/rankqueue"
)

func repeatOf(rank int, afterTrial bool) budget.Repeat {
	return budget.Repeat{Rank: rank, AfterTrial: afterTrial}
}

// budgetPolicy returns the retry budget of the service.
func (gu *guard) budgetPolicy() budget.Policy {
	po := gu.opts.Policy(gu.ann.Service)
	policy := budget.Policy{Window: po.RetryWindow, Percent: po.RetryPercent, Slack: float64(po.RetrySlack) * po.RetryWindow.Minutes()}
	if gu.opts.Peers != nil {
		policy.Peers = gu.opts.Peers(gu.ann.Service)
	}
	return policy
}

// noteArrival counts an attempt that goes to the upstream, and gives back the
// repeat, taken when it came, of one that does not.
func (gu *guard) noteArrival(req wire.RunRequest, came time.Time, dec rankqueue.Decision) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	switch {
	case dec == rankqueue.Run && !req.Repeat:
		gu.ledger.First(gu.opts.Clock.Now(), gu.budgetPolicy())
	case dec != rankqueue.Run && req.Repeat:
		gu.ledger.GiveBack(came, gu.budgetPolicy())
	}
}
