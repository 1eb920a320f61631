package fleet

import (
	"time"

	"cactusstream.example/core/floor"
	"cactusstream.example/core/member"
	"cactusstream.example/core/settings"
)

// State is what an endpoint is to a daemon that sends work.
type State string

// The states of an endpoint.
const (
	StateCold        State = "cold"
	StateDoubtful    State = "doubtful"
	StateDraining    State = "draining"
	StateEjected     State = "ejected"
	StateHeldByFloor State = "heldByFloor"
	StateReady       State = "ready"
	StateTrial       State = "trial"
	StateUnreachable State = "unreachable"
)

// Endpoint is one upstream with the daemon beside it.
type Endpoint struct {
	// Key names the endpoint in the fleet: daemon and upstream.
	Key         string
	Daemon      string
	Zone        string
	PeerAddress string
	Upstream    member.Upstream
	State       State
	// Suspect says that the daemon may be gone.
	Suspect bool
}

// Pool is the endpoints of one service.
type Pool struct {
	Name      string
	Endpoints []Endpoint
	Floor     floor.Verdict
}

// View is what one daemon knows of the fleet, ready for routing. It does not change.
type View struct {
	Pools    map[string]*Pool
	Members  map[string]member.Record
	Settings uint64
	// Keepers are the peer addresses of the keepers that are not gone.
	Keepers []string
	// Daemons counts the daemons that are not gone.
	Daemons  int
	revision uint64
}

// newView works out the pools of all services.
func newView(records []member.Record, revision uint64, policy func(service string) *settings.Policy, version uint64) *View {
	vi := &View{Pools: make(map[string]*Pool), Members: make(map[string]member.Record, len(records)), Settings: version, revision: revision}
	for _, rec := range records {
		vi.Members[rec.ID] = rec
		if rec.Status == member.Left {
			continue
		}
		if rec.Keeper && rec.Status < member.Dead {
			vi.Keepers = append(vi.Keepers, rec.PeerAddress)
		}
		if !rec.Keeper && rec.Status < member.Dead {
			vi.Daemons++
		}
		for _, up := range rec.Upstreams {
			vi.add(rec, up)
		}
	}
	for name, pool := range vi.Pools {
		pool.decide(policy(name))
	}
	return vi
}

func (vi *View) add(rec member.Record, up member.Upstream) {
	pool := vi.Pools[up.Service]
	if pool == nil {
		pool = &Pool{Name: up.Service}
		vi.Pools[up.Service] = pool
	}
	pool.Endpoints = append(pool.Endpoints, Endpoint{
		Key: rec.ID + "/" + up.ID, Daemon: rec.ID, Zone: rec.Zone, PeerAddress: rec.PeerAddress, Upstream: up,
		State: announcedState(rec, up), Suspect: rec.Status == member.Suspect,
	})
}

// decide applies the floor to what the gates announced.
func (po *Pool) decide(policy *settings.Policy) {
	ends := make([]floor.Endpoint, 0, len(po.Endpoints))
	for _, end := range po.Endpoints {
		sick := end.State == StateEjected || end.State == StateTrial
		ends = append(ends, floor.Endpoint{
			ID: end.Key, Slots: end.Upstream.Slots, Sick: sick, Severity: end.Upstream.Severity,
			Available: !end.Suspect && (sick || end.State == StateReady || end.State == StateDoubtful),
		})
	}
	po.Floor = floor.Decide(ends, floor.Policy{Percent: policy.FloorPercent, Endpoints: policy.FloorEndpoints})
	for i := range po.Endpoints {
		end := &po.Endpoints[i]
		if (end.State == StateEjected || end.State == StateTrial) && !po.Floor.Ejected[end.Key] {
			end.State = StateHeldByFloor
		}
	}
}

// Weight returns the share of its slots that a warming endpoint should use.
func (en Endpoint) Weight(now time.Time, slowStart time.Duration) float64 {
	const least = 0.1
	if slowStart <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(en.Upstream.Since()))/float64(slowStart), least), 1)
}

func announcedState(rec member.Record, up member.Upstream) State {
	if rec.Status == member.Dead {
		return StateUnreachable
	}
	switch up.State {
	case member.Cold:
		return StateCold
	case member.Draining:
		return StateDraining
	case member.Sick:
		return StateEjected
	case member.Trial:
		return StateTrial
	case member.Doubtful:
		return StateDoubtful
	}
	return StateReady
}
