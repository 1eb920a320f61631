package gate

import (
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/budget"
	"cactusstream.example/core/rankqueue"
)

// retryOf describes a retry to the retry budget.
func retryOf(rank int, afterTrial bool) budget.Retry {
	return budget.Retry{Rank: rank, AfterTrial: afterTrial}
}

// budgetPolicy returns the retry budget settings of the service.
func (gu *guard) budgetPolicy() budget.Policy {
	po := gu.opts.Policy(gu.ann.Service)
	policy := budget.Policy{Window: po.RetryWindow, Percent: po.RetryPercent, Slack: float64(po.RetrySlack) * po.RetryWindow.Minutes()}
	if gu.opts.UpstreamCount != nil {
		policy.Upstreams = gu.opts.UpstreamCount(gu.ann.Service)
	}
	return policy
}

// settleRetryBudget credits the retry budget for a first attempt that is sent,
// and refunds it for a retry that is not sent. arrived is when the retry was
// charged.
func (gu *guard) settleRetryBudget(req wire.RunRequest, arrived time.Time, dec rankqueue.Decision) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	switch {
	case dec == rankqueue.Run && !req.Retry:
		gu.retryBudget.CountFirst(gu.opts.Clock.Now(), gu.budgetPolicy())
	case dec != rankqueue.Run && req.Retry:
		gu.retryBudget.Release(arrived, gu.budgetPolicy())
	}
}
