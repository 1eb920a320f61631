package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/place"
)

const (
	// quoteTimeout bounds how long a gate may take to quote; a path that is this
	// slow is no good for the request either.
	quoteTimeout = 150 * time.Millisecond
	// quoteSpread is how long the other quotes are waited for after the first.
	quoteSpread = 10 * time.Millisecond
	// timeMargin is the part of a request's time that a quote may fill.
	timeMargin = 0.75
	// coldCost is what a cold endpoint's wait must be shorter.
	coldCost = 300 * time.Millisecond
)

// quoted is the quote of one endpoint.
type quoted struct {
	at     int
	answer wire.QuoteAnswer
	err    error
}

// offer is what came of asking a few endpoints.
type offer struct {
	// choice is the best of them; without an endpoint none takes work now.
	choice
	// inTime says that the request can end in time there.
	inTime bool
	// took is the wait and the work that it quoted.
	took time.Duration
	// isUnpaid says that some had no repeat for the request, and the others no room.
	isUnpaid bool
}

// chooseByQuote asks a few endpoints for their wait and returns the best.
func (in *Ingress) chooseByQuote(ctx context.Context, jo *job, ends []fleet.Endpoint) offer {
	policy := place.Policy{Zone: in.opts.Zone, Near: jo.pool.Quotes, Far: jo.pool.Quotes, FarCost: jo.pool.ZoneCost, Margin: timeMargin}
	places := make([]place.Place, 0, len(ends))
	for _, end := range ends {
		pla := place.Place{ID: end.Key, Zone: end.Zone}
		if end.State == fleet.StateCold || end.State == fleet.StateHeldByFloor {
			pla.Cost = coldCost
		}
		places = append(places, pla)
	}
	near, far := place.Sample(rand.New(globalSource{}), places, policy)
	if len(near)+len(far) == 1 {
		return offer{choice: choice{end: ends[append(near, far...)[0]]}, inTime: true}
	}
	remaining := jo.deadline.Sub(in.opts.Clock.Now())
	asked := round{places: places}
	asked.add(in.askQuotes(ctx, jo, ends, near))
	if !place.IsSettled(asked.quotes, remaining, policy) {
		asked.add(in.askQuotes(ctx, jo, ends, far))
	}
	if len(asked.doubtful) > 0 && in.mayTry(jo) && rand.Float64() < doubtTrialShare {
		return offer{choice: choice{end: ends[asked.doubtful[0]], trial: true}, inTime: true}
	}
	ver := place.Best(asked.quotes, remaining, policy)
	if ver.At < 0 {
		return offer{isUnpaid: asked.isUnpaid}
	}
	best := asked.quotes[ver.At]
	return offer{choice: choice{end: ends[asked.from[ver.At]]}, inTime: ver.InTime, took: best.Wait + best.Need}
}

// round is what the endpoints that were asked for one choice have quoted.
type round struct {
	places []place.Place
	quotes []place.Quote
	// from is the index of each quote's endpoint.
	from []int
	// doubtful are the endpoints that would take a trial.
	doubtful []int
	// isUnpaid says that some had no repeat for the request.
	isUnpaid bool
}

func (ro *round) add(quotes []quoted) {
	for _, quo := range quotes {
		switch {
		case quo.answer.Refused == outcome.NoRepeats:
			ro.isUnpaid = true
		case quo.answer.Refused != "":
		case quo.answer.Load.Doubtful:
			ro.doubtful = append(ro.doubtful, quo.at)
		default:
			ro.quotes = append(ro.quotes, place.Quote{Place: ro.places[quo.at], Wait: quo.answer.Wait, Need: quo.answer.Need})
			ro.from = append(ro.from, quo.at)
		}
	}
}

// askQuotes returns the answers of endpoints that came in time.
func (in *Ingress) askQuotes(ctx context.Context, jo *job, ends []fleet.Endpoint, sample []int) []quoted {
	if len(sample) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, quoteTimeout)
	defer cancel()
	answers := make(chan quoted, len(sample))
	for _, at := range sample {
		go func() {
			req := wire.QuoteRequest{Upstream: ends[at].Upstream.ID, Kind: jo.path.Kind, Rank: jo.policy.Rank, Idempotent: jo.policy.Idempotent, TargetIn: jo.targetIn(in.opts.Clock.Now()), Repeat: jo.isRepeat(), AfterTrial: jo.afterTrial}
			answer, err := in.opts.Runner.Quote(ctx, ends[at], req)
			in.noteQuote(ends[at], answer, err)
			answers <- quoted{at: at, answer: answer, err: err}
		}()
	}
	var quotes []quoted
	var late <-chan time.Time
	for range sample {
		select {
		case quo := <-answers:
			if quo.err != nil {
				continue
			}
			quotes = append(quotes, quo)
			if late == nil && quo.answer.Refused == "" {
				late = time.After(quoteSpread)
			}
		case <-late:
			return quotes
		case <-ctx.Done():
			return quotes
		}
	}
	return quotes
}

// noteQuote notes what a quote showed of an endpoint and of the path to it. A
// quote that was given up is no sign of a bad path.
func (in *Ingress) noteQuote(end fleet.Endpoint, answer wire.QuoteAnswer, err error) {
	now := in.opts.Clock.Now()
	if err == nil {
		in.tracker.noteQuote(now, end.Key, answer)
		if answer.Refused == outcome.NoUpstream || answer.Refused == outcome.Stopping {
			in.tracker.noteGone(now, end.Key)
		}
	}
}
