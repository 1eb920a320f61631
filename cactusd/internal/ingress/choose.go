package ingress

import (
	"math/rand/v2"
	"time"

	"cactusstream.example/core/budget"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/pick"
)

const (
	// trialShare is the share of idempotent requests that go to an upstream on
	// trial; of the most urgent rank it is less.
	trialShare       = 0.05
	urgentTrialShare = 0.01
	// doubtTrialShare is the share of idempotent requests that try a doubtful
	// upstream whose trial is due: bouts end after seconds, and capacity that is
	// back should be known soon.
	doubtTrialShare = 0.5
	// heldWeight makes sick upstreams that the floor keeps in use get less work
	// than well ones.
	heldWeight = 0.3
)

// choice is the endpoint that an attempt goes to.
type choice struct {
	end   fleet.Endpoint
	trial bool
	// forced says that the endpoint is doubtful and no other is left.
	forced bool
}

// standing is the endpoints of a service that were not tried yet, by how well
// they suit a request.
type standing struct {
	good, doubtful, unreached []fleet.Endpoint
}

// stand sorts the endpoints of a service. Endpoints behind a path that failed
// lately, or a daemon that may be gone, come last.
func (in *Ingress) stand(jo *job, now time.Time, pool *fleet.Pool, tried map[string]bool) standing {
	var sta standing
	for _, end := range pool.Endpoints {
		switch {
		case tried[end.Key] || !in.isUsable(jo, end) || in.tracker.isGone(now, end.Key):
		case end.Suspect || !in.tracker.isPathGood(now, end.Daemon):
			sta.unreached = append(sta.unreached, end)
		case end.State == fleet.StateDoubtful || in.tracker.isDoubtful(now, end.Key):
			sta.doubtful = append(sta.doubtful, end)
		default:
			sta.good = append(sta.good, end)
		}
	}
	return sta
}

// choose returns an endpoint that was not tried yet, by what this daemon knows.
// Doubtful ones get trials, and other work only when it is a last resort.
func (in *Ingress) choose(jo *job, tried map[string]bool, lastResort bool) (choice, bool) {
	pool := in.opts.View().Pools[jo.path.Service]
	if pool == nil {
		return choice{}, false
	}
	now := in.opts.Clock.Now()
	if end, ok := in.chooseTrial(now, jo, pool, tried); ok {
		return choice{end: end, trial: true}, true
	}
	sta := in.stand(jo, now, pool, tried)
	good, forced := sta.good, false
	if len(good) == 0 && lastResort {
		good, forced = sta.doubtful, true
	}
	if len(good) == 0 && len(sta.doubtful) == 0 {
		good = sta.unreached
	}
	at := pick.Choose(rand.New(globalSource{}), in.candidates(now, jo, good), pick.Policy{Zone: in.opts.Zone, SpillPercent: jo.pool.ZoneSpillPercent})
	if at < 0 {
		return choice{}, false
	}
	return choice{end: good[at], forced: forced}, true
}

// isUsable says whether an endpoint may get work of a request at all.
func (in *Ingress) isUsable(jo *job, end fleet.Endpoint) bool {
	switch end.State {
	case fleet.StateReady, fleet.StateHeldByFloor, fleet.StateDoubtful:
		return true
	case fleet.StateCold:
		return jo.pool.ColdPercent > 0
	}
	return false
}

func (in *Ingress) chooseTrial(now time.Time, jo *job, pool *fleet.Pool, tried map[string]bool) (fleet.Endpoint, bool) {
	if len(tried) > 0 || !jo.policy.Idempotent || jo.policy.RetryAttempts < 2 {
		return fleet.Endpoint{}, false
	}
	share := trialShare
	if jo.policy.Rank == 0 {
		share = urgentTrialShare
	}
	mayDoubt := in.mayTry(jo)
	first := rand.IntN(max(len(pool.Endpoints), 1))
	for i := range pool.Endpoints {
		end := pool.Endpoints[(first+i)%len(pool.Endpoints)]
		switch {
		case end.State == fleet.StateTrial && rand.Float64() < share:
			return end, true
		case !mayDoubt || end.Suspect || !in.isUsable(jo, end):
		case in.tracker.wantsTrial(now, end.Key, end.State == fleet.StateDoubtful) && rand.Float64() < doubtTrialShare:
			return end, true
		}
	}
	return fleet.Endpoint{}, false
}

// mayTry says whether a request may try a doubtful endpoint: it may be repeated,
// and the budget has a repeat for it.
func (in *Ingress) mayTry(jo *job) bool {
	return jo.policy.Idempotent && jo.sent == 0 && jo.policy.RetryAttempts >= 2 && in.hasRepeats(jo, budget.TrialReserve)
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
