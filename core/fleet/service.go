package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	genfleet "cactusstream.example/core/gen/fleet"

	"cactusstream.example/core/member"
)

// Service implements the operators' API of the fleet.
type Service struct {
	fleet *Fleet
}

// NewService returns the service of a fleet.
func NewService(fl *Fleet) *Service {
	return &Service{fleet: fl}
}

// Members returns the members of the fleet as this daemon knows them.
func (se *Service) Members(context.Context) ([]*genfleet.Member, error) {
	records, versions := se.fleet.Members()
	list := make([]*genfleet.Member, 0, len(records))
	for _, rec := range records {
		list = append(list, &genfleet.Member{
			ID: rec.ID, Zone: rec.Zone, PeerAddress: rec.PeerAddress, OperatorAddress: rec.OperatorAddress,
			Status: rec.Status.String(), Incarnation: rec.Version.Incarnation, SettingsVersion: versions[rec.ID],
		})
	}
	return list, nil
}

// Upstreams returns the endpoints of all services as this daemon knows them.
func (se *Service) Upstreams(context.Context) ([]*genfleet.Upstream, error) {
	list := []*genfleet.Upstream{}
	for _, pool := range se.fleet.View().Pools {
		for _, end := range pool.Endpoints {
			list = append(list, newUpstream(pool, end))
		}
	}
	slices.SortFunc(list, func(a, b *genfleet.Upstream) int {
		return strings.Compare(a.Service+" "+a.ID, b.Service+" "+b.ID)
	})
	return list, nil
}

func newUpstream(pool *Pool, end Endpoint) *genfleet.Upstream {
	up := &genfleet.Upstream{
		ID: end.Upstream.ID, Service: pool.Name, Daemon: end.Daemon, Zone: end.Zone, Address: end.Upstream.Address,
		Slots: end.Upstream.Slots, State: string(end.State), Reason: end.Upstream.Reason,
		FloorSlots: pool.Floor.FloorSlots, SpareSlots: pool.Floor.SpareSlots,
	}
	if end.Upstream.SinceMS > 0 {
		up.Since = end.Upstream.Since().UTC().Format(time.RFC3339)
	}
	if end.Upstream.State == member.StateUnhealthy {
		up.RetryAt = end.Upstream.Retry().UTC().Format(time.RFC3339)
	}
	return up
}
