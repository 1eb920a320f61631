package gate

import (
	"time"

	"cactusstream.example/core/rankqueue"
)

const (
	// answerMargin is how long before its deadline a queued request is rejected at the
	// latest, so that the rejection reaches the ingress of a busy VM before the deadline.
	// Otherwise the ingress can't tell that the request did not run.
	answerMargin = 50 * time.Millisecond
	// answerMarginDivisor limits answerMargin for short deadlines, as a part of the time
	// that the request had when it was queued.
	answerMarginDivisor = 10
)

// latestStart returns the time from which a queued item gets no slot any more. Gates that
// give wait estimates reject it then; it would not complete, and may still be served
// elsewhere. Others keep it until its deadline.
func (gu *guard) latestStart(item *rankqueue.Item) time.Time {
	if gu.opts.Policy(gu.ann.Service).Quotes == 0 {
		return item.Deadline
	}
	margin := min(answerMargin, item.Deadline.Sub(gu.opts.Clock.Now())/answerMarginDivisor)
	return item.Deadline.Add(-max(item.ExpectedDuration, margin))
}
