package ingress

import (
	"math/rand/v2"
	"time"

	"cactusstream.example/core/budget"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/pick"
)

const (
	// trialShare is the share of idempotent requests that go as trial requests to
	// an ejected upstream whose trial is due. topRankTrialShare applies to rank 0,
	// the most urgent.
	trialShare        = 0.05
	topRankTrialShare = 0.01
	// suspectedTrialShare is the share of idempotent requests that go to a
	// suspected upstream whose trial is due. It is high because failure bursts end
	// after seconds, and recovered capacity should be used soon.
	suspectedTrialShare = 0.5
	// floorHeldWeight reduces the share of requests for unhealthy upstreams that
	// the floor keeps in use, compared with healthy ones.
	floorHeldWeight = 0.3
)

// choice is the endpoint selected for an attempt.
type choice struct {
	endpoint fleet.Endpoint
	trial    bool
	// lastResort means that the endpoint is suspected and no trusted one is available.
	lastResort bool
}

// endpointGroups holds the endpoints of a service that are not excluded, by how
// suitable they are for a request.
type endpointGroups struct {
	preferred, suspected, unreachable []fleet.Endpoint
}

// groupEndpoints groups the endpoints of a service. Endpoints behind a path that
// failed recently, or on a daemon that membership suspects to be down, are
// unreachable: they are used only when no others are left.
func (in *Ingress) groupEndpoints(req *request, now time.Time, pool *fleet.Pool, excluded map[string]bool) endpointGroups {
	var groups endpointGroups
	for _, endpoint := range pool.Endpoints {
		switch {
		case excluded[endpoint.Key] || !in.isUsable(req, endpoint) || in.tracker.isLeaving(now, endpoint.Key):
		case endpoint.Suspect || !in.tracker.isPathHealthy(now, endpoint.Daemon):
			groups.unreachable = append(groups.unreachable, endpoint)
		case endpoint.State == fleet.StateSuspected || in.tracker.isSuspected(now, endpoint.Key):
			groups.suspected = append(groups.suspected, endpoint)
		default:
			groups.preferred = append(groups.preferred, endpoint)
		}
	}
	return groups
}

// choose selects an endpoint that is not excluded, from the state known to this
// daemon. Suspected endpoints get trial requests, and other requests only as a
// last resort.
func (in *Ingress) choose(req *request, excluded map[string]bool, lastResort bool) (choice, bool) {
	pool := in.opts.View().Pools[req.path.Service]
	if pool == nil {
		return choice{}, false
	}
	now := in.opts.Clock.Now()
	if endpoint, ok := in.chooseTrial(now, req, pool, excluded); ok {
		return choice{endpoint: endpoint, trial: true}, true
	}
	groups := in.groupEndpoints(req, now, pool, excluded)
	eligible, usesSuspected := groups.preferred, false
	if len(eligible) == 0 && lastResort {
		eligible, usesSuspected = groups.suspected, true
	}
	if len(eligible) == 0 && len(groups.suspected) == 0 {
		eligible = groups.unreachable
	}
	index := pick.Choose(rand.New(globalSource{}), in.candidates(now, req, eligible), pick.Policy{Zone: in.opts.Zone, SpillPercent: req.poolPolicy.ZoneSpillPercent})
	if index < 0 {
		return choice{}, false
	}
	return choice{endpoint: eligible[index], lastResort: usesSuspected}, true
}

// isUsable reports whether the state of an endpoint allows requests of this
// pool.
func (in *Ingress) isUsable(req *request, endpoint fleet.Endpoint) bool {
	switch endpoint.State {
	case fleet.StateReady, fleet.StateHeldByFloor, fleet.StateSuspected:
		return true
	case fleet.StateCold:
		return req.poolPolicy.ColdPercent > 0
	}
	return false
}

func (in *Ingress) chooseTrial(now time.Time, req *request, pool *fleet.Pool, excluded map[string]bool) (fleet.Endpoint, bool) {
	if len(excluded) > 0 || !req.policy.Idempotent || req.policy.RetryAttempts < 2 {
		return fleet.Endpoint{}, false
	}
	share := trialShare
	if req.policy.Rank == 0 {
		share = topRankTrialShare
	}
	maySendToSuspected := in.maySendTrial(req)
	skipsOtherZones := in.zoneByteCost(req, pool.Endpoints) > 0 && rand.Float64() >= costlyTrialShare
	first := rand.IntN(max(len(pool.Endpoints), 1))
	for i := range pool.Endpoints {
		endpoint := pool.Endpoints[(first+i)%len(pool.Endpoints)]
		switch {
		case endpoint.Suspect || !in.tracker.isPathHealthy(now, endpoint.Daemon):
			// Its daemon may not answer, and a trial request isn't preceded by an estimate.
		case skipsOtherZones && endpoint.Zone != in.opts.Zone:
		case endpoint.State == fleet.StateTrial && rand.Float64() < share:
			return endpoint, true
		case !maySendToSuspected || !in.isUsable(req, endpoint):
		case in.tracker.isTrialDue(now, endpoint.Key, endpoint.State == fleet.StateSuspected) && rand.Float64() < suspectedTrialShare:
			return endpoint, true
		}
	}
	return fleet.Endpoint{}, false
}

// maySendTrial reports whether a request may be sent to a suspected endpoint as
// a trial request: it may be retried, and the retry budget covers the retry.
func (in *Ingress) maySendTrial(req *request) bool {
	return req.policy.Idempotent && req.possibleRuns == 0 && req.policy.RetryAttempts >= 2 && in.hasRetries(req, budget.TrialReserve)
}

func (in *Ingress) candidates(now time.Time, req *request, endpoints []fleet.Endpoint) []pick.Candidate {
	list := make([]pick.Candidate, 0, len(endpoints))
	for _, endpoint := range endpoints {
		weight := endpoint.Weight(now, req.poolPolicy.SlowStart)
		if endpoint.State == fleet.StateHeldByFloor {
			weight *= floorHeldWeight
		}
		if endpoint.State == fleet.StateCold {
			weight = float64(req.poolPolicy.ColdPercent) / 100
		}
		list = append(list, pick.Candidate{
			ID: endpoint.Key, Zone: endpoint.Zone, Slots: endpoint.Upstream.Slots,
			Load: in.tracker.load(now, endpoint.Key), Weight: weight,
		})
	}
	return list
}

// siblings returns the keys of the other endpoints of a service.
func (in *Ingress) siblings(service, key string) []string {
	pool := in.opts.View().Pools[service]
	if pool == nil {
		return nil
	}
	keys := make([]string, 0, len(pool.Endpoints))
	for _, endpoint := range pool.Endpoints {
		if endpoint.Key != key {
			keys = append(keys, endpoint.Key)
		}
	}
	return keys
}

// RemoveDeparted deletes the tracked state of endpoints that have left the fleet, and of
// organisations that the settings don't have any more.
func (in *Ingress) RemoveDeparted() {
	known := make(map[string]bool)
	for _, pool := range in.opts.View().Pools {
		for _, endpoint := range pool.Endpoints {
			known[endpoint.Key] = true
		}
	}
	in.tracker.forget(func(key string) bool { return known[key] })
	in.usage.removeUnknown(in.opts.Replica.Current().Organisations)
}
