package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/placement"
)

const (
	// estimateTimeout limits how long a gate may take to return a wait estimate. A
	// path slower than this is too slow for the request as well. It also limits a
	// withdrawal.
	estimateTimeout = 150 * time.Millisecond
	// estimateGracePeriod is how long to wait for further estimates after the
	// first usable one.
	estimateGracePeriod = 10 * time.Millisecond
	// maxTimeShare is the fraction of a request's remaining time that its
	// estimated queueing and run time may take.
	maxTimeShare = 0.75
	// coldPenalty is added to the wait estimate of a cold endpoint, and of one
	// that is only kept in use by the floor.
	coldPenalty = 300 * time.Millisecond
)

// estimate is the wait estimate of one endpoint.
type estimate struct {
	index  int
	answer wire.WaitEstimate
	err    error
}

// selection is the result of asking several endpoints for wait estimates.
type selection struct {
	// choice is the best endpoint. It is empty if none accepts the request now.
	choice
	// inTime means that the endpoint is expected to finish the request before its
	// deadline.
	inTime bool
	// estimated is the sum of its estimated wait and run time.
	estimated time.Duration
	// noRetriesLeft means that at least one gate had no retry left for the request
	// and no other accepted it.
	noRetriesLeft bool
}

// evaluation is the result of asking a sample of endpoints for wait estimates.
type evaluation struct {
	policy placement.Policy
	asked  estimateRound
	// only is the index of the only endpoint, which isn't asked, or -1.
	only     int
	decision placement.Decision
}

// evaluate asks a sample of endpoints for wait estimates and decides between them.
func (in *Ingress) evaluate(ctx context.Context, req *request, endpoints []fleet.Endpoint) evaluation {
	ev := evaluation{policy: in.placementPolicy(req, endpoints), only: -1, decision: placement.Decision{At: -1}}
	candidates := make([]placement.Candidate, 0, len(endpoints))
	for _, endpoint := range endpoints {
		candidate := placement.Candidate{ID: endpoint.Key, Zone: endpoint.Zone}
		if endpoint.State == fleet.StateCold || endpoint.State == fleet.StateHeldByFloor {
			candidate.Cost = coldPenalty
		}
		candidates = append(candidates, candidate)
	}
	rounds := placement.Rounds(rand.New(globalSource{}), candidates, ev.policy)
	if len(rounds) == 1 && len(rounds[0]) == 1 {
		ev.only = rounds[0][0]
		return ev
	}
	remaining := req.deadline.Sub(in.opts.Clock.Now())
	ev.asked = estimateRound{candidates: candidates}
	for _, round := range rounds {
		if placement.IsSettled(ev.asked.estimates, remaining, ev.policy) {
			break
		}
		ev.asked.add(in.requestEstimates(ctx, req, endpoints, round))
	}
	ev.decision = placement.Best(ev.asked.estimates, remaining, ev.policy)
	return ev
}

// chooseByEstimate asks a sample of endpoints for wait estimates and selects the
// best one.
func (in *Ingress) chooseByEstimate(ctx context.Context, req *request, endpoints []fleet.Endpoint) selection {
	ev := in.evaluate(ctx, req, endpoints)
	if ev.only >= 0 {
		return selection{choice: choice{endpoint: endpoints[ev.only]}, inTime: true}
	}
	asked, decision := ev.asked, ev.decision
	if len(asked.suspected) > 0 && in.maySendTrial(req) && rand.Float64() < suspectedTrialShare {
		return selection{choice: choice{endpoint: endpoints[asked.suspected[0]], trial: true}, inTime: true}
	}
	if decision.At < 0 {
		return selection{noRetriesLeft: asked.noRetriesLeft}
	}
	best := asked.estimates[decision.At]
	return selection{choice: choice{endpoint: endpoints[asked.indexes[decision.At]]}, inTime: decision.InTime, estimated: best.Wait + best.ExpectedDuration}
}

// estimateRound collects the estimates for one selection.
type estimateRound struct {
	candidates []placement.Candidate
	estimates  []placement.Estimate
	// indexes holds the endpoint index of each estimate.
	indexes []int
	// suspected holds the indexes of the endpoints that would accept a trial
	// request.
	suspected []int
	// noRetriesLeft means that at least one gate had no retry left for the
	// request.
	noRetriesLeft bool
	// answers holds all estimates that arrived, also those that reject the request.
	answers []estimate
}

func (ro *estimateRound) add(estimates []estimate) {
	ro.answers = append(ro.answers, estimates...)
	for _, est := range estimates {
		switch {
		case est.answer.Rejected == outcome.RetryBudgetExhausted:
			ro.noRetriesLeft = true
		case est.answer.Rejected != "":
		case est.answer.Load.Suspected:
			ro.suspected = append(ro.suspected, est.index)
		default:
			ro.estimates = append(ro.estimates, placement.Estimate{Candidate: ro.candidates[est.index], Wait: est.answer.Wait, ExpectedDuration: est.answer.ExpectedDuration})
			ro.indexes = append(ro.indexes, est.index)
		}
	}
}

// requestEstimates asks the sampled endpoints concurrently and returns the
// estimates that arrive in time.
func (in *Ingress) requestEstimates(ctx context.Context, req *request, endpoints []fleet.Endpoint, sample []int) []estimate {
	if len(sample) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, estimateTimeout)
	defer cancel()
	in.countEstimates(endpoints, sample)
	answers := make(chan estimate, len(sample))
	for _, index := range sample {
		go func() {
			estimateReq := wire.WaitEstimateRequest{Upstream: endpoints[index].Upstream.ID, Kind: req.path.Kind, Rank: req.policy.Rank, OrganisationRank: req.organisationRank(), Idempotent: req.policy.Idempotent, TargetRemaining: req.remainingTarget(in.opts.Clock.Now()), Retry: req.isRetry(), AfterTrial: req.afterTrial, KnownLimit: in.tracker.limit(endpoints[index].Key)}
			if req.poolPolicy.CostAware {
				estimateReq.Firm, estimateReq.CostClass = req.runRequest.Firm, req.runRequest.CostClass
			}
			est := estimate{index: index}
			if err := in.protect(req, func() {
				est.answer, est.err = in.opts.Runner.EstimateWait(ctx, endpoints[index], estimateReq)
				in.recordEstimate(endpoints[index], est.answer, est.err)
			}); err != nil {
				est.err = err
			}
			answers <- est
		}()
	}
	var estimates []estimate
	var graceExpired <-chan time.Time
	for range sample {
		select {
		case est := <-answers:
			if est.err != nil {
				continue
			}
			estimates = append(estimates, est)
			if graceExpired == nil && est.answer.Rejected == "" {
				graceExpired = time.After(estimateGracePeriod)
			}
		case <-graceExpired:
			return estimates
		case <-ctx.Done():
			return estimates
		}
	}
	return estimates
}

// recordEstimate updates the tracked state of an endpoint from its estimate.
// Errors are ignored: a cancelled estimate request is no sign of a broken path.
func (in *Ingress) recordEstimate(endpoint fleet.Endpoint, answer wire.WaitEstimate, err error) {
	now := in.opts.Clock.Now()
	if err == nil {
		in.tracker.recordEstimate(now, endpoint.Key, answer)
		if answer.Rejected == outcome.NoUpstream || answer.Rejected == outcome.Stopping {
			in.tracker.recordLeaving(now, endpoint.Key)
		}
	}
}
