package ingress

import (
	"math/rand/v2"
	"time"

	"cactusstream.example/core/fleet"
	"cactusstream.example/core/pick"
)

const (
	// trialShare is the share of idempotent requests that go to an upstream on
	// trial; of the most urgent rank it is less.
	trialShare       = 0.05
	urgentTrialShare = 0.01
	// heldWeight makes sick upstreams that the floor keeps in use get less work
	// than well ones.
	heldWeight = 0.3
)

// choice is the endpoint that an attempt goes to.
type choice struct {
	end   fleet.Endpoint
	trial bool
}

// choose returns an endpoint that was not tried yet. Endpoints behind a path
// that failed lately, or a daemon that may be gone, come last.
func (in *Ingress) choose(jo *job, tried map[string]bool) (choice, bool) {
	pool := in.opts.View().Pools[jo.path.Service]
	if pool == nil {
		return choice{}, false
	}
	now := in.opts.Clock.Now()
	if end, ok := in.chooseTrial(jo, pool, tried); ok {
		return choice{end: end, trial: true}, true
	}
	var good, doubtful []fleet.Endpoint
	for _, end := range pool.Endpoints {
		cold := end.State == fleet.StateCold && jo.pool.ColdPercent > 0
		if tried[end.Key] || end.State != fleet.StateReady && end.State != fleet.StateHeldByFloor && !cold {
			continue
		}
		if end.Suspect || !in.tracker.isPathGood(now, end.Daemon) {
			doubtful = append(doubtful, end)
		} else {
			good = append(good, end)
		}
	}
	if len(good) == 0 {
		good = doubtful
	}
	at := pick.Choose(rand.New(globalSource{}), in.candidates(now, jo, good), pick.Policy{Zone: in.opts.Zone, SpillPercent: jo.pool.ZoneSpillPercent})
	if at < 0 {
		return choice{}, false
	}
	return choice{end: good[at]}, true
}

func (in *Ingress) chooseTrial(jo *job, pool *fleet.Pool, tried map[string]bool) (fleet.Endpoint, bool) {
	if !jo.policy.Idempotent || len(tried) > 0 {
		return fleet.Endpoint{}, false
	}
	share := trialShare
	if jo.policy.Rank == 0 {
		share = urgentTrialShare
	}
	for _, end := range pool.Endpoints {
		if end.State == fleet.StateTrial && rand.Float64() < share {
			return end, true
		}
	}
	return fleet.Endpoint{}, false
}

func (in *Ingress) candidates(now time.Time, jo *job, ends []fleet.Endpoint) []pick.Candidate {
	list := make([]pick.Candidate, 0, len(ends))
	for _, end := range ends {
		weight := end.Weight(now, jo.pool.SlowStart)
		if end.State == fleet.StateHeldByFloor {
			weight *= heldWeight
		}
		if end.State == fleet.StateCold {
			weight = float64(jo.pool.ColdPercent) / 100
		}
		list = append(list, pick.Candidate{
			ID: end.Key, Zone: end.Zone, Slots: end.Upstream.Slots,
			Load: in.tracker.load(now, end.Key), Weight: weight,
		})
	}
	return list
}

// siblings returns the other endpoints of a service that take work.
func (in *Ingress) siblings(service, key string) []string {
	pool := in.opts.View().Pools[service]
	if pool == nil {
		return nil
	}
	keys := make([]string, 0, len(pool.Endpoints))
	for _, end := range pool.Endpoints {
		if end.Key != key {
			keys = append(keys, end.Key)
		}
	}
	return keys
}

// Forget drops what is known of endpoints that have left the fleet.
func (in *Ingress) Forget() {
	known := make(map[string]bool)
	for _, pool := range in.opts.View().Pools {
		for _, end := range pool.Endpoints {
			known[end.Key] = true
		}
	}
	in.tracker.forget(func(key string) bool { return known[key] })
}
