package member_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/member"
)

const (
	// quickRestartSeeds and slowRestartSeeds are the numbers of seeds for each case of
	// TestDeparturesSurviveTheirDaemon. Only a quick restart can overtake the gossip of
	// the start before; some of its seeds fail with tables that accept only records of
	// the latest start.
	quickRestartSeeds, slowRestartSeeds = 60, 5
	// maxSeedContact limits the time in which a restarted seed learns of a peer: every
	// daemon synchronizes with the seed at least that often.
	maxSeedContact = 15 * time.Second
)

// TestDeparturesSurviveTheirDaemon ends a daemon shortly after an upstream on its VM has
// left and starts it again, with and without loss of packets. The other daemons must
// hold the departure all the while, and the daemon must not lose those of earlier starts
// when it reports new ones. Daemon d000 is the seed of the others and has none itself.
func TestDeparturesSurviveTheirDaemon(t *testing.T) {
	seeds := map[time.Duration]uint64{50 * time.Millisecond: quickRestartSeeds, 2 * time.Second: slowRestartSeeds, 30 * time.Second: slowRestartSeeds}
	for _, lossRate := range []float64{0, 0.2} {
		for _, downtime := range slices.Sorted(maps.Keys(seeds)) {
			for _, id := range []string{"d000", "d001"} {
				t.Run(fmt.Sprintf("loss=%g/downtime=%s/%s", lossRate, downtime, id), func(t *testing.T) {
					for seed := range seeds[downtime] {
						requireDeparturesSurvive(t, seed, lossRate, downtime, id)
					}
				})
			}
		}
	}
}

func requireDeparturesSurvive(t *testing.T, seed uint64, lossRate float64, downtime time.Duration, restarted string) {
	t.Helper()
	sim := newSimulation(seed)
	sim.lossRate = lossRate
	for number := range 20 {
		sim.start(fmt.Sprintf("d%03d", number), 1)
	}
	sim.run(10 * time.Second)
	var want []member.Departure
	for number := range 3 {
		want = append(want, member.Departure{ID: "u", StartedMS: int64(number)})
		sim.runUntilPeerKnown(t, restarted)
		node := sim.nodes[restarted]
		sim.send(restarted, node.table.SetUpstreams(sim.now, nil, want[number:]))
		sim.run(300 * time.Millisecond)
		delete(sim.nodes, restarted)
		sim.run(downtime)
		sim.nodes[restarted] = node // So that start doesn't add it to the order again.
		sim.start(restarted, 1)
		sim.run(2 * time.Second)
		for _, id := range sim.order {
			if got := sim.nodes[id].table.DepartedFrom(restarted); id != restarted && !slices.Equal(got, want) {
				t.Errorf("seed %d: %s holds the departures %v of %s, want %v", seed, id, got, restarted, want)
			}
		}
	}
}

// runUntilPeerKnown runs until a daemon knows a peer, because it can't tell anyone of a
// departure before that. A daemon that has a seed knows one at once; the only seed of a
// fleet waits for the others.
func (sim *simulation) runUntilPeerKnown(t *testing.T, id string) {
	t.Helper()
	for deadline := sim.now.Add(maxSeedContact); len(sim.nodes[id].table.Records()) == 1; sim.run(simTick) {
		if sim.now.After(deadline) {
			t.Fatalf("%s knows no peer %s after its start", id, maxSeedContact)
		}
	}
}

// TestRecordOfEarlierStartArrivesLate gives a table the record of a daemon's next start
// before that of the start in which an upstream left. The departure must be kept, passed
// on, and reach the daemon itself, in either order of arrival.
func TestRecordOfEarlierStartArrivesLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000, 0)
	newTable := func(id string) *member.Table {
		return member.NewTable(member.Record{ID: id, PeerAddress: id, Version: member.Version{Incarnation: 1}}, member.DefaultOptions(), now)
	}
	departed := []member.Departure{{ID: "u", StartedMS: 1}}
	earlier := member.Record{ID: "d", PeerAddress: "d", Version: member.Version{Incarnation: 1, Sequence: 1}, Departed: departed}
	next := member.Record{ID: "d", PeerAddress: "d", Version: member.Version{Incarnation: 2}}

	late, early := newTable("late"), newTable("early")
	late.Merge(now, []member.Record{next})
	is.Equal(len(late.Merge(now, []member.Record{earlier})), 1)
	is.Equal(len(late.Merge(now, []member.Record{earlier})), 0) // It is no news a second time.
	early.Merge(now, []member.Record{earlier, next})
	is.Equal(late.DepartedFrom("d"), departed)
	is.Equal(early.DepartedFrom("d"), departed)

	third, self := newTable("third"), member.NewTable(next, member.DefaultOptions(), now)
	third.Merge(now, []member.Record{next})
	passedOn := early.Records()[:1]
	is.Equal(passedOn[0].Version, next.Version)
	third.Merge(now, passedOn)
	is.Equal(third.DepartedFrom("d"), departed)
	self.Merge(now, passedOn)
	is.Equal(self.Inherited(), departed)
}

// TestOutdatedDeparturesDisplaceNoNewerOnes exchanges full lists of which one is outdated.
// Both tables must end with the newest departures, and then have nothing to pass on.
func TestOutdatedDeparturesDisplaceNoNewerOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000, 0)
	var all []member.Departure
	for number := range member.MaxDepartures + 2 {
		all = append(all, member.Departure{ID: fmt.Sprint(number), StartedMS: int64(member.MaxDepartures - number)})
	}
	outdated := member.Record{ID: "d", Version: member.Version{Incarnation: 1}, Departed: all[:member.MaxDepartures]}
	current := outdated
	current.Departed = all[2:]
	for _, records := range [][]member.Record{{outdated, current}, {current, outdated}} {
		table := member.NewTable(member.Record{ID: "self"}, member.DefaultOptions(), now)
		table.Merge(now, records)
		is.Equal(table.DepartedFrom("d"), current.Departed)
		is.Equal(len(table.Merge(now, []member.Record{outdated, current})), 0)
	}
}

func TestMergeDeparturesKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	dep := func(number int) member.Departure { return member.Departure{ID: fmt.Sprint(number), StartedMS: 1} }
	var merged []member.Departure
	for number := range 2 * member.MaxDepartures {
		merged = member.MergeDepartures(merged, []member.Departure{dep(number), dep(number)})
		merged = member.MergeDepartures(merged, merged)
		is.Equal(merged[len(merged)-1], dep(number))
	}
	is.Equal(len(merged), member.MaxDepartures)
	is.Equal(merged[0], dep(member.MaxDepartures))
}
