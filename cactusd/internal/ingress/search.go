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
	// searchInterval is the time between two searches for an available endpoint.
	// Endpoint updates arrive within milliseconds.
	searchInterval = 20 * time.Millisecond
	// searchTimeShare is the fraction of a request's remaining time that is spent
	// searching for a trusted endpoint. The rest is reserved for running the
	// request.
	searchTimeShare = 0.5
	// maxTotalAttempts limits the attempts of a request, including those that
	// endpoints reject without running it.
	maxTotalAttempts = 16
	// maxBudgetRejections is the number of gates without a retry left after which a
	// retry is given up: the retry budget of the service is then used up.
	maxBudgetRejections = 4
	// maxLateRounds is the number of estimate rounds after which a request is
	// rejected if no endpoint can finish it before its deadline.
	maxLateRounds = 2
	// maxRetryAfterShare limits Retry-After to a fraction of the request's
	// remaining time. The platform's callers wait at most a third.
	maxRetryAfterShare = 1.0 / 3
)

// search selects one endpoint after another until one accepts the request.
type search struct {
	in       *Ingress
	req      *request
	excluded map[string]bool
	// lastResortAt is the time from which a suspected endpoint is used as a last
	// resort.
	lastResortAt time.Time
	// lateRounds counts the estimate rounds in which no endpoint could finish the
	// request in time.
	lateRounds int
	// budgetRejections counts the gates that had no retry left for the request.
	budgetRejections int
	lastAnswer       wire.RunAnswer
}

func (in *Ingress) newSearch(req *request) *search {
	now := in.opts.Clock.Now()
	return &search{
		in: in, req: req, excluded: make(map[string]bool),
		lastResortAt: now.Add(time.Duration(searchTimeShare * float64(req.deadline.Sub(now)))),
		lastAnswer:   wire.NotRun(outcome.NoUpstream, "no upstream of the service can be reached"),
	}
}

// next returns the endpoint for the next attempt. While only suspected endpoints
// are left it keeps searching, since a failure burst may end or a trial request
// may succeed. It gives up at once when the request cannot finish before its
// deadline.
func (se *search) next(ctx context.Context) (choice, bool) {
	for ctx.Err() == nil && se.req.possibleRuns < se.req.policy.RetryAttempts && se.req.attempts < maxTotalAttempts {
		if se.budgetRejections >= maxBudgetRejections {
			return choice{}, false
		}
		if se.in.withdrawn.Load() {
			if se.lastAnswer.Outcome == outcome.NotRun {
				se.lastAnswer = wire.NotRun(outcome.Stopping, "the daemon is shutting down")
			}
			return choice{}, false
		}
		isLastResort := !se.in.opts.Clock.Now().Before(se.lastResortAt)
		chosen, ok := se.choose(ctx, isLastResort)
		if ok {
			se.excluded[chosen.endpoint.Key] = true
			return chosen, true
		}
		if isLastResort || se.lateRounds >= maxLateRounds || !se.in.mayBecomeAvailable(se.req) {
			return choice{}, false
		}
		select {
		case <-time.After(searchInterval):
		case <-ctx.Done():
		}
		clear(se.excluded)
	}
	return choice{}, false
}

// recordAnswer stores the answer of an attempt. An answer that only reports an
// empty retry budget is counted instead, and does not replace the answer of the
// attempt before.
func (se *search) recordAnswer(answer wire.RunAnswer) {
	if answer.Reason == outcome.RetryBudgetExhausted {
		se.budgetRejections++
		return
	}
	se.lastAnswer = answer
}

// choose selects an endpoint by wait estimates if the service uses them, and
// otherwise by the state known to this daemon.
func (se *search) choose(ctx context.Context, isLastResort bool) (choice, bool) {
	in, req := se.in, se.req
	pool := in.opts.View().Pools[req.path.Service]
	if pool == nil || req.poolPolicy.Quotes == 0 {
		return in.choose(req, se.excluded, isLastResort)
	}
	now := in.opts.Clock.Now()
	if endpoint, ok := in.chooseTrial(now, req, pool, se.excluded); ok {
		return choice{endpoint: endpoint, trial: true}, true
	}
	for se.lateRounds < maxLateRounds {
		groups := in.groupEndpoints(req, in.opts.Clock.Now(), pool, se.excluded)
		if len(groups.preferred) == 0 {
			break
		}
		selected := in.chooseByEstimate(ctx, req, groups.preferred)
		if selected.endpoint.Key == "" && selected.noRetriesLeft {
			se.budgetRejections = maxBudgetRejections
			return choice{}, false
		}
		if selected.endpoint.Key == "" {
			break // None of the endpoints that were asked accepts the request now.
		}
		if selected.inTime {
			return selected.choice, true
		}
		se.lateRounds++
		se.excluded[selected.endpoint.Key] = true
		se.rejectLate(selected.estimated)
	}
	if se.lateRounds > 0 {
		return choice{}, false
	}
	return in.choose(req, se.excluded, isLastResort)
}

// rejectLate records that the request cannot finish before its deadline, and
// when the caller may retry. The delay is randomized, so that callers that were
// rejected together do not retry together.
func (se *search) rejectLate(wait time.Duration) {
	remaining := se.req.deadline.Sub(se.in.opts.Clock.Now())
	se.lastAnswer = wire.NotRun(outcome.Overloaded, fmt.Sprintf("the request cannot finish before its deadline: the best estimate is %d ms, and %d ms are left", wait.Milliseconds(), remaining.Milliseconds()))
	latest := max(min(time.Duration(maxRetryAfterShare*float64(remaining)), wait), 0)
	se.lastAnswer.RetryAfter = latest/2 + rand.N(latest/2+1)
}

// mayBecomeAvailable reports whether an endpoint may become available soon: a
// failure burst may end, and a daemon that has just started may not know the
// fleet yet.
func (in *Ingress) mayBecomeAvailable(req *request) bool {
	pool := in.opts.View().Pools[req.path.Service]
	if pool == nil || len(pool.Endpoints) == 0 {
		return req.poolPolicy.Quotes > 0 && in.opts.Clock.Now().Sub(in.started) < startupTimeout*fleetStartupFactor
	}
	return req.poolPolicy.DoubtPercent > 0
}

// fleetStartupFactor times startupTimeout is how long a daemon may take after
// its start to learn the fleet.
const fleetStartupFactor = 3
