package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
)

const (
	// searchPause is how long a request waits before it looks again for an
	// endpoint that can take it; news of endpoints travels in milliseconds.
	searchPause = 20 * time.Millisecond
	// searchShare is the part of a request's time in which it looks for an
	// endpoint without doubt; the rest is left for the work itself.
	searchShare = 0.5
	// maxTries bounds the endpoints that a request is sent to and that refuse it
	// with proof.
	maxTries = 16
	// maxUnpaid is how many gates without a repeat end a request that needs one: the
	// budget of its service is used up.
	maxUnpaid = 4
	// quoteRounds is how often a request that can't end in time at any endpoint
	// that was asked asks others.
	quoteRounds = 2
	// returnShare is the part of a caller's time after which it is asked to come
	// back at the latest; the platform's callers wait no longer than a third.
	returnShare = 1.0 / 3
)

// search goes from endpoint to endpoint until one has taken the request.
type search struct {
	in   *Ingress
	jo   *job
	seen map[string]bool
	// until is when a doubtful endpoint becomes the last resort.
	until time.Time
	// lateRounds counts the rounds of quotes none of which was in time.
	lateRounds int
	// unpaid counts the gates that had no repeat for the request.
	unpaid int
	last   wire.RunAnswer
}

func (in *Ingress) newSearch(jo *job) *search {
	now := in.opts.Clock.Now()
	return &search{
		in: in, jo: jo, seen: make(map[string]bool),
		until: now.Add(time.Duration(searchShare * float64(jo.deadline.Sub(now)))),
		last:  wire.NotRun(outcome.NoUpstream, "no upstream of the service can be reached"),
	}
}

// next returns the endpoint for the next attempt. While all that are left are
// doubtful it waits: a bout of one may end, or a request on trial show that it
// has. It gives up at once when the request can't end in time.
func (se *search) next(ctx context.Context) (choice, bool) {
	for ctx.Err() == nil && se.jo.sent < se.jo.policy.RetryAttempts && se.jo.attempts < maxTries {
		if se.unpaid >= maxUnpaid {
			return choice{}, false
		}
		if se.in.withdrawn.Load() {
			if se.last.Outcome == outcome.NotRun {
				se.last = wire.NotRun(outcome.Stopping, "the daemon stops")
			}
			return choice{}, false
		}
		isLate := !se.in.opts.Clock.Now().Before(se.until)
		cho, ok := se.choose(ctx, isLate)
		if ok {
			se.seen[cho.end.Key] = true
			return cho, true
		}
		if isLate || se.lateRounds >= quoteRounds || !se.in.mayImprove(se.jo) {
			return choice{}, false
		}
		select {
		case <-time.After(searchPause):
		case <-ctx.Done():
		}
		clear(se.seen)
	}
	return choice{}, false
}

// note takes the answer of an attempt. A gate without a repeat says nothing of how
// the request ended before.
func (se *search) note(answer wire.RunAnswer) {
	if answer.Reason == outcome.NoRepeats {
		se.unpaid++
		return
	}
	se.last = answer
}

// choose returns an endpoint by quotes where the service asks for them.
func (se *search) choose(ctx context.Context, isLate bool) (choice, bool) {
	in, jo := se.in, se.jo
	pool := in.opts.View().Pools[jo.path.Service]
	if pool == nil || jo.pool.Quotes == 0 {
		return in.choose(jo, se.seen, isLate)
	}
	now := in.opts.Clock.Now()
	if end, ok := in.chooseTrial(now, jo, pool, se.seen); ok {
		return choice{end: end, trial: true}, true
	}
	for se.lateRounds < quoteRounds {
		sta := in.stand(jo, in.opts.Clock.Now(), pool, se.seen)
		if len(sta.good) == 0 {
			break
		}
		off := in.chooseByQuote(ctx, jo, sta.good)
		if off.end.Key == "" && off.isUnpaid {
			se.unpaid = maxUnpaid
			return choice{}, false
		}
		if off.end.Key == "" {
			break // None of those that were asked takes work now.
		}
		if off.inTime {
			return off.choice, true
		}
		se.lateRounds++
		se.seen[off.end.Key] = true
		se.refuse(off.took)
	}
	if se.lateRounds > 0 {
		return choice{}, false
	}
	return in.choose(jo, se.seen, isLate)
}

// refuse notes that the request can't end in time, and when its caller may come
// back: spread, so that callers that were refused together don't return together.
func (se *search) refuse(wait time.Duration) {
	left := se.jo.deadline.Sub(se.in.opts.Clock.Now())
	se.last = wire.NotRun(outcome.Overloaded, fmt.Sprintf("the work could not end before the deadline: the best quote was %d ms, of %d ms that are left", wait.Milliseconds(), left.Milliseconds()))
	latest := max(min(time.Duration(returnShare*float64(left)), wait), 0)
	se.last.RetryAfter = latest/2 + rand.N(latest/2+1)
}

// mayImprove says whether an endpoint may be had soon that can't be had now: a
// bout may end, and a daemon that has just started may not know the fleet yet.
func (in *Ingress) mayImprove(jo *job) bool {
	pool := in.opts.View().Pools[jo.path.Service]
	if pool == nil || len(pool.Endpoints) == 0 {
		return jo.pool.Quotes > 0 && in.opts.Clock.Now().Sub(in.started) < startPatience*startRounds
	}
	return jo.pool.DoubtPercent > 0
}

// startRounds is how many times startPatience a daemon may take to know the fleet.
const startRounds = 3
