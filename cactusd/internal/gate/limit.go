package gate

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/events"
)

// minStartInterval keeps the timer of queued requests from running without a pause.
const minStartInterval = time.Millisecond

// noLimit is the limit of an upstream that has named none.
const noLimit = wire.NoLimit

// limitReport is what an answer of an upstream says about a limit on its requests.
type limitReport struct {
	// known is false if there is no complete answer, or none that tells.
	known bool
	// perSecond is the limit in requests per second, or noLimit.
	perSecond float64
}

// readLimit returns what a complete answer says about a limit. An answer that names none
// withdraws the limit, unless it is a rejection, which may come from in front of the
// upstream. A value that is no decimal number tells nothing.
func (up *upstreamClient) readLimit(header http.Header, isRejection bool) limitReport {
	text := header.Get(up.dialect.Limit)
	if up.dialect.Limit == "" || text == "" {
		return limitReport{known: !isRejection, perSecond: noLimit}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return limitReport{}
	}
	return limitReport{known: true, perSecond: perSecond}
}

// updateLimit applies the limit that an answer named, and logs a change. The caller holds
// the lock.
func (gu *guard) updateLimit(now time.Time, report limitReport) {
	if !report.known {
		return
	}
	gu.limitLearned = true
	if report.perSecond != gu.limit {
		gu.applyLimit(now, report.perSecond)
	}
}

// adoptLimit applies a limit that another daemon knows from earlier answers, or 0 for none.
// This daemon may have restarted since then: until its upstream has answered once, it knows
// nothing itself. The caller holds the lock.
func (gu *guard) adoptLimit(now time.Time, known float64) {
	if known > 0 && !gu.limitLearned && known != gu.limit {
		gu.applyLimit(now, known)
	}
}

// reportedLimit returns the limit for wire.Load. The caller holds the lock.
func (gu *guard) reportedLimit() float64 {
	switch {
	case gu.limit != noLimit:
		return gu.queue.Limit()
	case gu.limitLearned:
		return noLimit
	}
	return 0
}

func (gu *guard) applyLimit(now time.Time, perSecond float64) {
	gu.limit = perSecond
	if perSecond == noLimit {
		gu.queue.ClearLimit(now)
	} else {
		gu.queue.SetLimit(now, perSecond)
	}
	gu.scheduleStart(now)
	gu.opts.Log.Write(events.UpstreamLimit, logrus.Fields{"upstream": gu.ann.ID, "service": gu.ann.Service, "perSecond": perSecond, "learned": gu.limitLearned})
}

// scheduleStart sets the timer for the next queued request that only the limit holds back.
// The caller holds the lock.
func (gu *guard) scheduleStart(now time.Time) {
	wait, ok := gu.queue.NextStart(now)
	if !ok {
		return
	}
	wait = max(wait, minStartInterval)
	if gu.startTimer == nil {
		gu.startTimer = time.AfterFunc(wait, gu.startQueued)
		return
	}
	gu.startTimer.Reset(wait)
}

func (gu *guard) startQueued() {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	now := gu.opts.Clock.Now()
	gu.queue.Start(now)
	gu.scheduleStart(now)
}
