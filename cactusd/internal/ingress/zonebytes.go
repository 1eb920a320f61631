package ingress

import (
	"slices"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/placement"
)

const (
	// costlyZoneRounds is the number of rounds in which the own zone is asked for wait
	// estimates for a request whose bytes make a crossing of zones costly.
	costlyZoneRounds = 2
	// costlyTrialShare is the share of the trial requests to other zones that are sent
	// although the bytes of the request make the crossing costly. It is above 0 since an
	// upstream may get requests from other zones only.
	costlyTrialShare = 0.1
)

// sizeKind returns the kind under which the sizes of the answers to a request are kept.
func sizeKind(req *request) placement.Kind {
	return placement.Kind{Service: req.path.Service, Name: req.path.Kind}
}

// zoneByteCost returns the wait that a crossing of zones must save because of the
// expected bytes of the request and its answer. It is 0 if none of the endpoints is in
// the own zone: then the bytes cross in any case.
func (in *Ingress) zoneByteCost(req *request, endpoints []fleet.Endpoint) time.Duration {
	isInOwnZone := func(endpoint fleet.Endpoint) bool { return endpoint.Zone == in.opts.Zone }
	if req.poolPolicy.ZoneByteCost == 0 || !slices.ContainsFunc(endpoints, isInOwnZone) {
		return 0
	}
	return placement.ByteCost(req.poolPolicy.ZoneByteCost, in.expectedBytes(req))
}

// expectedBytes returns the expected size of a request and its answer.
func (in *Ingress) expectedBytes(req *request) float64 {
	return float64(req.bodyBytes) + in.sizes.Expected(sizeKind(req))
}

// countEstimates counts the wait estimates that are asked across zones.
func (in *Ingress) countEstimates(endpoints []fleet.Endpoint, sample []int) {
	for _, index := range sample {
		if endpoints[index].Zone != in.opts.Zone {
			in.opts.Metrics.Counter("ingress.crossed.estimates").Inc(1)
		}
	}
}

// placementPolicy returns the policy by which a request is placed at one of the endpoints.
func (in *Ingress) placementPolicy(req *request, endpoints []fleet.Endpoint) placement.Policy {
	policy := placement.Policy{Zone: in.opts.Zone, OwnZoneCount: req.poolPolicy.Quotes, OtherZoneCount: req.poolPolicy.Quotes, CrossZoneCost: req.poolPolicy.ZoneCost, Margin: maxTimeShare}
	if byteCost := in.zoneByteCost(req, endpoints); byteCost > 0 {
		policy.ByteCost, policy.OwnZoneRounds = byteCost, costlyZoneRounds
	}
	return policy
}

// recordSize learns the size of the answer to a request from an upstream's response, and
// counts what crossed zones.
func (in *Ingress) recordSize(req *request, endpoint fleet.Endpoint, answer wire.RunAnswer) {
	if endpoint.Zone != in.opts.Zone {
		in.opts.Metrics.Counter("ingress.crossed.attempts").Inc(1)
		in.opts.Metrics.Counter("ingress.crossed.requestBytes").Inc(int64(req.bodyBytes))
		in.opts.Metrics.Counter("ingress.crossed.answerBytes").Inc(int64(answer.BodySize()))
	}
	if answer.Outcome == outcome.Ran && req.poolPolicy.ZoneByteCost > 0 {
		in.sizes.Observe(sizeKind(req), answer.BodySize())
	}
}
