package ingress

import (
	"context"
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
	// maxTries bounds the endpoints that refuse a request with proof.
	maxTries = 16
)

// search goes from endpoint to endpoint until one has taken the request.
type search struct {
	in   *Ingress
	jo   *job
	seen map[string]bool
	// until is when a doubtful endpoint becomes the last resort.
	until time.Time
	last  wire.RunAnswer
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
// has. It gives up when nobody is left.
func (se *search) next(ctx context.Context) (choice, bool) {
	for ctx.Err() == nil && se.jo.sent < se.jo.policy.RetryAttempts && se.jo.attempts < maxTries {
		isLate := !se.in.opts.Clock.Now().Before(se.until)
		if cho, ok := se.in.choose(se.jo, se.seen, isLate); ok {
			se.seen[cho.end.Key] = true
			return cho, true
		}
		if isLate || !se.in.hasDoubtful(se.jo) {
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

// hasDoubtful says whether an endpoint of the service is doubtful, so that one
// may be had soon.
func (in *Ingress) hasDoubtful(jo *job) bool {
	if jo.pool.DoubtPercent == 0 {
		return false
	}
	pool := in.opts.View().Pools[jo.path.Service]
	return pool != nil && len(pool.Endpoints) > 0
}
