package gate

import (
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/events"
	"cactusstream.example/core/gray"
	"cactusstream.example/core/rankqueue"
	"cactusstream.example/core/settings"
)

const (
	// fastShare is the part of its kind's median time within which a failure
	// counts as fast, and fastBound the time that always does.
	fastShare = 0.1
	fastBound = 20 * time.Millisecond
	// blameWindow is how long after a failed answer to the own VM a failure of
	// the upstream is put down to that answer: an upstream passes the failure of
	// a call that it needs on at once.
	blameWindow = 10 * time.Millisecond
)

// observe tells the filter how work ended; the caller holds the lock.
func (gu *guard) observe(now, started time.Time, req wire.RunRequest, sent sendResult) {
	took := now.Sub(started)
	evidence := gray.Done
	switch {
	case sent.shed:
		return // It proves that nothing ran, so nothing is lost.
	case sent.failed && gu.opts.CallFailed != nil && now.Sub(gu.opts.CallFailed()) < blameWindow:
		return
	case sent.failed && took <= max(fastBound, time.Duration(fastShare*float64(gu.kind(req.Kind).Median()))):
		evidence = gray.FailedFast
	case sent.failed:
		evidence = gray.FailedLate
	}
	gu.filter.Observe(now, started, evidence)
}

// noteDoubt logs a change of the doubt and sends the work that waits elsewhere:
// in a bout it would fail as fast as slots come free. It says whether the change
// is news for the fleet. The caller holds the lock.
func (gu *guard) noteDoubt(now time.Time) bool {
	doubtful := gu.filter.IsDoubtful(now)
	if doubtful == gu.doubtful {
		return false
	}
	gu.doubtful = doubtful
	event := events.UpstreamTrusted
	if doubtful {
		event = events.UpstreamDoubtful
		gu.queue.RefuseIf(rankqueue.RefuseDoubtful, func(item *rankqueue.Item) bool { return !item.Forced })
	}
	gu.opts.Log.Write(event, logrus.Fields{"upstream": gu.ann.ID, "service": gu.ann.Service, "estimate": gu.filter.Estimate(now), "evidence": gu.filter.LastEvidence().String()})
	return gu.opts.Policy(gu.ann.Service).Quotes == 0
}

func grayPolicy(po *settings.Policy) gray.Policy {
	return gray.Policy{DoubtPercent: po.DoubtPercent, Bout: po.BoutLength, Calm: po.CalmLength}
}
