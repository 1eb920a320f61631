package fleet

import (
	"time"

	"cactusstream.example/core/floor"
	"cactusstream.example/core/member"
	"cactusstream.example/core/settings"
)

// State is the state of an endpoint from the point of view of a daemon that sends
// requests to it.
type State string

// The states of an endpoint.
const (
	StateCold State = "cold"
	// StateSuspected endpoints are suspected of a failure burst: most requests fail
	// while the health check passes.
	StateSuspected State = "doubtful"
	StateDraining  State = "draining"
	StateEjected   State = "ejected"
	// StateHeldByFloor endpoints are unhealthy but not ejected, because ejecting
	// them would leave less capacity in use than the floor requires.
	StateHeldByFloor State = "heldByFloor"
	StateReady       State = "ready"
	// StateTrial endpoints are ejected and being checked with a trial request.
	StateTrial State = "trial"
	// StateUnreachable endpoints belong to a dead daemon.
	StateUnreachable State = "unreachable"
)

// Endpoint is one upstream and the daemon that forwards requests to it.
type Endpoint struct {
	// Key identifies the endpoint in the fleet, as DAEMON/UPSTREAM.
	Key         string
	Daemon      string
	Zone        string
	PeerAddress string
	Upstream    member.Upstream
	State       State
	// Suspect is set when the daemon is suspect: it did not answer a probe.
	Suspect bool
	// Streams is set when the daemon fetches large bodies as streams.
	Streams bool
}

// Pool holds the endpoints of one service, among which routing chooses.
type Pool struct {
	Name      string
	Endpoints []Endpoint
	// Floor is the decision which unhealthy endpoints may be ejected.
	Floor floor.Decision
}

// View is an immutable snapshot of the fleet as one daemon knows it, prepared for
// routing.
type View struct {
	Pools           map[string]*Pool
	Members         map[string]member.Record
	SettingsVersion uint64
	// Keepers holds the records of the keepers that are neither dead nor left, and
	// DeadKeepers those of the dead ones.
	Keepers     []member.Record
	DeadKeepers []member.Record
	// Daemons is the number of daemons that are neither dead nor left.
	Daemons int
	// revision is the revision of the member table that the view was built from.
	revision uint64
}

// newView builds a view with the pools of all services.
func newView(records []member.Record, revision uint64, policy func(service string) *settings.Policy, version uint64) *View {
	vi := &View{Pools: make(map[string]*Pool), Members: make(map[string]member.Record, len(records)), SettingsVersion: version, revision: revision}
	for _, rec := range records {
		vi.Members[rec.ID] = rec
		if rec.Status == member.Left {
			continue
		}
		switch {
		case !rec.Keeper:
		case rec.Status < member.Dead:
			vi.Keepers = append(vi.Keepers, rec)
		default:
			vi.DeadKeepers = append(vi.DeadKeepers, rec)
		}
		if !rec.Keeper && rec.Status < member.Dead {
			vi.Daemons++
		}
		for _, up := range rec.Upstreams {
			vi.addUpstream(rec, up)
		}
	}
	for name, pool := range vi.Pools {
		pool.applyFloor(policy(name))
	}
	return vi
}

// KeeperAddresses returns the peer addresses of the keepers.
func (vi *View) KeeperAddresses() []string {
	addresses := make([]string, 0, len(vi.Keepers))
	for _, rec := range vi.Keepers {
		addresses = append(addresses, rec.PeerAddress)
	}
	return addresses
}

func (vi *View) addUpstream(rec member.Record, up member.Upstream) {
	pool := vi.Pools[up.Service]
	if pool == nil {
		pool = &Pool{Name: up.Service}
		vi.Pools[up.Service] = pool
	}
	pool.Endpoints = append(pool.Endpoints, Endpoint{
		Key: rec.ID + "/" + up.ID, Daemon: rec.ID, Zone: rec.Zone, PeerAddress: rec.PeerAddress, Upstream: up,
		State: endpointState(rec, up), Suspect: rec.Status == member.Suspect, Streams: rec.Streams,
	})
}

// applyFloor decides which of the endpoints that their gates announced as unhealthy
// are ejected and which stay in use because of the floor. The gate is the part of a
// daemon that forwards requests to an upstream.
func (po *Pool) applyFloor(policy *settings.Policy) {
	endpoints := make([]floor.Endpoint, 0, len(po.Endpoints))
	for _, end := range po.Endpoints {
		unhealthy := end.State == StateEjected || end.State == StateTrial
		endpoints = append(endpoints, floor.Endpoint{
			ID: end.Key, Slots: end.Upstream.Slots, Unhealthy: unhealthy, Severity: end.Upstream.Severity,
			Available: !end.Suspect && (unhealthy || end.State == StateReady || end.State == StateSuspected),
		})
	}
	po.Floor = floor.Decide(endpoints, floor.Policy{Percent: policy.FloorPercent, Endpoints: policy.FloorEndpoints})
	for i := range po.Endpoints {
		end := &po.Endpoints[i]
		if (end.State == StateEjected || end.State == StateTrial) && !po.Floor.Ejected[end.Key] {
			end.State = StateHeldByFloor
		}
	}
}

// Weight returns the fraction of its slots that an endpoint should use during slow
// start.
func (en Endpoint) Weight(now time.Time, slowStart time.Duration) float64 {
	const minWeight = 0.1 // An endpoint that just became ready still gets some requests.
	if slowStart <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(en.Upstream.Since()))/float64(slowStart), minWeight), 1)
}

// endpointState returns the state of an endpoint before the floor is applied.
func endpointState(rec member.Record, up member.Upstream) State {
	if rec.Status == member.Dead {
		return StateUnreachable
	}
	switch up.State {
	case member.StateCold:
		return StateCold
	case member.StateDraining:
		return StateDraining
	case member.StateUnhealthy:
		return StateEjected
	case member.StateTrial:
		return StateTrial
	case member.StateSuspected:
		return StateSuspected
	}
	return StateReady
}
