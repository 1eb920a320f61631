package gate

import (
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/events"
	"cactusstream.example/core/failureburst"
	"cactusstream.example/core/rankqueue"
	"cactusstream.example/core/settings"
)

const (
	// A failure is fast if it takes at most fastFailureFraction of the median
	// latency of its kind, or at most fastFailureTime.
	fastFailureFraction = 0.1
	fastFailureTime     = 20 * time.Millisecond
	// dependencyFailureWindow is how long after a failed response to a caller
	// on this VM a failure of the upstream is attributed to that call: an
	// upstream that depends on a failed call fails immediately after it.
	dependencyFailureWindow = 10 * time.Millisecond
)

// observeResult updates the failure burst filter with the result of a request.
// The caller holds the lock.
func (gu *guard) observeResult(now, started time.Time, req wire.RunRequest, sent sendResult) {
	took := now.Sub(started)
	evidence := failureburst.Succeeded
	switch {
	case sent.rejected:
		return // A rejection is no evidence: nothing ran, so nothing is lost.
	case sent.failed && gu.opts.LastCallFailure != nil && now.Sub(gu.opts.LastCallFailure()) < dependencyFailureWindow:
		return
	case sent.failed && took <= max(fastFailureTime, time.Duration(fastFailureFraction*float64(gu.latency(req.Kind).Median()))):
		evidence = failureburst.FailedFast
	case sent.failed:
		evidence = failureburst.FailedLate
	}
	gu.burstFilter.Observe(now, started, evidence)
}

// updateSuspicion logs when the upstream becomes suspected or trusted. When it
// becomes suspected, queued requests are rejected so that they run elsewhere;
// in a failure burst they would fail as fast as slots become free. It reports
// whether the announced record changed. The caller holds the lock.
func (gu *guard) updateSuspicion(now time.Time) bool {
	suspected := gu.burstFilter.IsSuspected(now)
	if suspected == gu.suspected {
		return false
	}
	gu.suspected = suspected
	event := events.UpstreamTrusted
	if suspected {
		event = events.UpstreamSuspected
		gu.queue.RejectIf(rankqueue.RejectSuspected, func(item *rankqueue.Item) bool { return !item.LastResort })
	}
	gu.opts.Log.Write(event, logrus.Fields{"upstream": gu.ann.ID, "service": gu.ann.Service, "estimate": gu.burstFilter.Estimate(now), "evidence": gu.burstFilter.LastEvidence().String()})
	return gu.opts.Policy(gu.ann.Service).Quotes == 0
}

func burstPolicy(po *settings.Policy) failureburst.Policy {
	return failureburst.Policy{SuspicionPercent: po.DoubtPercent, BurstLength: po.BoutLength, CalmLength: po.CalmLength}
}
