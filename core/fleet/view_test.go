package fleet

import (
	"crypto/ed25519"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/member"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// records returns the records of a fleet in which each daemon has 9 upstreams of 210
// services.
func records(daemons int) []member.Record {
	var list []member.Record
	for number := range daemons {
		rec := member.Record{ID: fmt.Sprintf("daemon-%04d", number), Zone: fmt.Sprintf("zone-%d", number%8), PeerAddress: fmt.Sprintf("10.0.%d.%d:7100", number/250, number%250), OperatorAddress: fmt.Sprintf("10.0.%d.%d:7101", number/250, number%250), Version: member.Version{Incarnation: 1}}
		for index := range 9 {
			rec.Upstreams = append(rec.Upstreams, member.Upstream{ID: fmt.Sprintf("upstream-%d", index), Service: fmt.Sprintf("service-%d", (number*9+index)%210), Address: "10.0.0.1:9000", Slots: 5, State: member.StateReady, SinceMS: 1})
		}
		list = append(list, rec)
	}
	return list
}

// largeTree returns a settings tree with routes in 210 services and one setting per
// firm.
func largeTree(routes, firms int) *settings.Tree {
	tree := settings.NewTree()
	for number := range routes {
		path := fmt.Sprintf("*/*/service-%d/kind-%d", number%210, number)
		tree.Nodes[path] = settings.Node{"path": fmt.Sprintf("/service-%d/kind-%d", number%210, number), "rank": "1"}
	}
	for number := range firms {
		tree.Nodes[fmt.Sprintf("firm-%d", number)] = settings.Node{"deadline": "4s"}
	}
	return tree
}

// heapMB returns the size of the live heap in MiB.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// BenchmarkDaemonState reports the memory used by a daemon's settings, member table
// and view, and the time to build the view, for several fleet sizes.
func BenchmarkDaemonState(b *testing.B) {
	for _, size := range []struct{ daemons, routes, firms int }{{100, 500, 2500}, {365, 1950, 10000}, {730, 3900, 20000}} {
		b.Run(fmt.Sprintf("daemons=%d/firms=%d", size.daemons, size.firms), func(b *testing.B) {
			baseline := heapMB()
			key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
			rep := settingsync.NewReplica(func() []ed25519.PublicKey { return []ed25519.PublicKey{key.Public().(ed25519.PublicKey)} })
			tree := largeTree(size.routes, size.firms)
			digest := tree.Digest()
			if _, err := rep.Apply(settingsync.Update{Version: 1, Digest: digest, Signature: settingsync.Sign(key, 1, digest), Tree: tree.Nodes}); err != nil {
				b.Fatal(err)
			}
			rep.Current().Resolver.Routes()
			withSettings := heapMB()
			table := member.NewTable(member.Record{ID: "self"}, member.DefaultOptions(), time.Unix(1, 0))
			table.Merge(time.Unix(1, 0), records(size.daemons))
			policy := func(service string) *settings.Policy {
				return rep.Current().Resolver.Policy(settings.Path{Firm: "firm-1", Place: "p", Service: service})
			}
			view := newView(table.Records(), 1, policy, 1)
			withMembers := heapMB()
			for b.Loop() {
				view = newView(table.Records(), 1, policy, 1)
			}
			b.ReportMetric(withSettings-baseline, "settingsMB")
			b.ReportMetric(withMembers-withSettings, "membersMB")
			runtime.KeepAlive(view)
			runtime.KeepAlive(rep)
		})
	}
}

func TestViewAppliesTheFloor(t *testing.T) {
	is := is.New(t)
	list := records(4)
	for i := range list {
		list[i].Upstreams = []member.Upstream{{ID: "u", Service: "s", Slots: 5, State: member.StateUnhealthy, Severity: i}}
	}
	list[0].Upstreams[0].State = member.StateReady
	list[1].Status = member.Suspect
	policy := settings.NewResolver(settings.NewTree()).Policy(settings.Path{})
	policy.FloorPercent = 50
	view := newView(list, 1, func(string) *settings.Policy { return policy }, 1)
	states := map[string]State{}
	for _, end := range view.Pools["s"].Endpoints {
		states[end.Daemon] = end.State
	}
	// 15 of 20 slots are available and the floor keeps 10, so only the endpoint with
	// the highest severity may be ejected.
	is.Equal(states["daemon-0003"], StateEjected)
	is.Equal(states["daemon-0002"], StateHeldByFloor)
	is.Equal(states["daemon-0000"], StateReady)
}

// TestViewKeepsDeadKeepers checks that dead keepers are kept apart from live ones, and
// that keepers that have left aren't kept.
func TestViewKeepsDeadKeepers(t *testing.T) {
	is := is.New(t)
	var list []member.Record
	for _, status := range []member.Status{member.Alive, member.Suspect, member.Dead, member.Left} {
		list = append(list, member.Record{ID: status.String(), Keeper: true, Status: status}, member.Record{ID: "daemon-" + status.String(), Status: status})
	}
	vi := newView(list, 1, func(string) *settings.Policy { return &settings.Policy{} }, 1)
	ids := func(records []member.Record) []string {
		var names []string
		for _, rec := range records {
			names = append(names, rec.ID)
		}
		return names
	}
	is.Equal(ids(vi.Keepers), []string{"alive", "suspect"})
	is.Equal(ids(vi.DeadKeepers), []string{"dead"})
}
