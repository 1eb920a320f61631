package daemon

import (
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/fleet"
	"cactusstream.example/core/member"
)

// TestDeadKeepersAreAskedLast checks that a keeper is asked whatever the member table says
// about it: a table without live keepers must not end the search for newer settings.
func TestDeadKeepersAreAskedLast(t *testing.T) {
	is := is.New(t)
	rec := func(zone, address string) member.Record {
		return member.Record{ID: address, Zone: zone, PeerAddress: address, Keeper: true}
	}
	vi := &fleet.View{
		Keepers:     []member.Record{rec("b", "b1"), rec("a", "a1"), rec("b", "b2"), rec("c", "c1")},
		DeadKeepers: []member.Record{rec("a", "a2"), rec("c", "c2")},
	}
	configured := []string{"a1", "s1"}
	is.Equal(keeperAddresses(vi, "a", configured, 0), []string{"a1", "b1", "b2", "c1", "s1", "a2", "c2"})
	is.Equal(keeperAddresses(vi, "b", configured, 1), []string{"b2", "b1", "c1", "a1", "s1", "c2", "a2"})
	vi.DeadKeepers, vi.Keepers = vi.Keepers, nil
	is.Equal(keeperAddresses(vi, "a", nil, 0), []string{"b1", "a1", "b2", "c1"})
	is.Equal(len(keeperAddresses(&fleet.View{}, "a", nil, 0)), 0)
}
