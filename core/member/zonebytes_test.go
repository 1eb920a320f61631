package member_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/member"
)

const (
	// zoneFleetSize and zoneCount are the size of the fleet whose bytes between zones
	// were measured, and zoneUpstreams its upstreams for each daemon.
	zoneFleetSize = 87
	zoneCount     = 4
	zoneUpstreams = 2
)

// kindName returns what a message counts as.
func kindName(msg member.Message) string {
	name := map[member.MessageKind]string{member.Ping: "ping", member.Ack: "ack", member.PingRequest: "pingRequest", member.Update: "update"}[msg.Kind]
	if len(msg.Records) > 0 && msg.Kind != member.Update {
		name += "WithRecords"
	}
	return name
}

// countCrossing counts the encoded bytes of a message between two zones.
func (sim *simulation) countCrossing(from, to, kind string, message any) {
	if sim.crossed == nil || sim.nodes[from] == nil || sim.nodes[to] == nil || sim.nodes[from].table.Self().Zone == sim.nodes[to].table.Self().Zone {
		return
	}
	data, err := codec.Marshal(message)
	if err != nil {
		panic(err)
	}
	sim.crossed[kind] += len(data) + datagramOverhead
}

// transfer returns the response to a request as the other daemon decodes it.
func (sim *simulation) transfer(from, to string, req member.SyncRequest, resp member.SyncResponse) member.SyncResponse {
	if sim.crossed == nil {
		return resp
	}
	packed, err := resp.Pack(req)
	if err != nil {
		panic(err)
	}
	sim.countCrossing(to, from, "sync", packed)
	unpacked, err := packed.Unpack()
	if err != nil {
		panic(err)
	}
	return unpacked
}

// zoneSyncTargets returns the daemons of one round of synchronization as package fleet
// selects them.
func (sim *simulation) zoneSyncTargets(node *simNode) []string {
	node.round++
	switch peer := node.table.PickPeer(); {
	case peer == "":
		return []string{sim.order[0]}
	case node.round%3 == 1:
		return []string{peer, node.table.PickDead(), sim.order[0]}
	}
	return []string{node.table.PickPeerInZone(), node.table.PickDead()}
}

// startInZones starts a fleet at once, all daemons with empty tables.
func startInZones(seed uint64) *simulation {
	sim := newSimulation(seed)
	sim.crossed = make(map[string]int)
	for i := range zoneFleetSize {
		id := fmt.Sprintf("10.0.0.%03d:9000", i)
		opts := member.DefaultOptions()
		opts.Seed = sim.rng.Uint64()
		rec := member.Record{ID: id, Zone: fmt.Sprintf("zone-%d", i%zoneCount), PeerAddress: id, OperatorAddress: id, Version: member.Version{Incarnation: uint64(sim.now.UnixNano())}}
		for j := range zoneUpstreams {
			rec.Upstreams = append(rec.Upstreams, member.Upstream{ID: fmt.Sprintf("upstream-%d-%d", i, j), Service: fmt.Sprintf("service-%02d", i%20), Address: "127.0.0.1:9000", Slots: 5, State: member.StateCold, SinceMS: sim.now.UnixMilli()})
		}
		sim.order = append(sim.order, id)
		sim.nodes[id] = &simNode{table: member.NewTable(rec, opts, sim.now), address: id, syncAt: sim.now.Add(time.Duration(i) * time.Millisecond)}
	}
	return sim
}

// takeCrossed returns the bytes between zones for each process since the last call.
func (sim *simulation) takeCrossed(t *testing.T, label string) int {
	t.Helper()
	sum := 0
	for _, kind := range slices.Sorted(maps.Keys(sim.crossed)) {
		t.Logf("%s: %s: %d bytes for each process", label, kind, sim.crossed[kind]/zoneFleetSize)
		sum += sim.crossed[kind]
	}
	clear(sim.crossed)
	t.Logf("%s: %d bytes for each process", label, sum/zoneFleetSize)
	return sum / zoneFleetSize
}

// TestBytesBetweenZones guards against records that cross zones more often than needed
// when a fleet starts at once.
func TestBytesBetweenZones(t *testing.T) {
	const maxStartBytes, maxMinuteBytes = 50_000, 30_000
	is := is.New(t)
	sim := startInZones(21)
	started := sim.now
	sim.run(3 * time.Second)
	for _, id := range sim.order { // The upstreams become ready.
		ups := slices.Clone(sim.nodes[id].table.Self().Upstreams)
		for i := range ups {
			ups[i].State = member.StateReady
		}
		sim.send(id, sim.nodes[id].table.SetUpstreams(sim.now, ups, nil))
		sim.run(simTick)
	}
	sim.run(10*time.Second - sim.now.Sub(started))
	start := sim.takeCrossed(t, "start")
	sim.run(time.Minute)
	sim.requireAllAlive(t)
	minute := sim.takeCrossed(t, "first minute")
	sim.run(2 * time.Minute)
	sim.takeCrossed(t, "next two minutes")
	is.True(start <= maxStartBytes)
	is.True(minute <= maxMinuteBytes)
}

// spread changes the upstreams of a daemon and returns the time after which all others
// know it.
func (sim *simulation) spread(id string) time.Duration {
	started := sim.now
	ups := slices.Clone(sim.nodes[id].table.Self().Upstreams)
	ups[0].SinceMS = sim.now.UnixMilli()
	sim.send(id, sim.nodes[id].table.SetUpstreams(sim.now, ups, nil))
	version := sim.nodes[id].table.Self().Version
	isKnown := func(observer string) bool {
		return slices.ContainsFunc(sim.nodes[observer].table.Records(), func(rec member.Record) bool { return rec.ID == id && !rec.Version.IsOlder(version) })
	}
	lacking := slices.Clone(sim.order)
	for sim.now.Sub(started) < time.Minute && len(lacking) > 0 {
		sim.run(simTick)
		lacking = slices.DeleteFunc(lacking, isKnown)
	}
	return sim.now.Sub(started)
}

// TestChangeIsKnownInAllZones guards against a change that reaches other zones late
// because few messages cross zones, also while datagrams are lost.
func TestChangeIsKnownInAllZones(t *testing.T) {
	is := is.New(t)
	const changes = 60
	for _, lossRate := range []float64{0, 0.2} {
		sim := startInZones(22)
		sim.run(time.Minute)
		sim.crossed, sim.lossRate = nil, lossRate
		var sum, slowest time.Duration
		for i := range changes {
			took := sim.spread(sim.order[i%zoneFleetSize])
			sum, slowest = sum+took, max(slowest, took)
			sim.run(time.Second)
		}
		t.Logf("loss %.1f: average %s, slowest %s", lossRate, sum/changes, slowest)
		is.True(sum/changes <= 3*time.Second)
		is.True(lossRate > 0 || slowest <= 2*time.Second) // As for a leave.
	}
}

// TestDigestsOfOldPrograms guards against updates that don't reach daemons of an older
// program, which sends no digest, and against records for a daemon that has them all.
func TestDigestsOfOldPrograms(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000, 0)
	version := member.Version{Incarnation: 1}
	newTable := func(self string) *member.Table {
		table := member.NewTable(member.Record{ID: self, PeerAddress: self, Version: version}, member.DefaultOptions(), now)
		for _, id := range []string{"a", "b", "c"} {
			table.Merge(now, []member.Record{{ID: id, PeerAddress: id, Version: version}})
		}
		return table
	}
	one, two := newTable("a"), newTable("b")
	ping := func(table *member.Table, to string) member.Message {
		for range 10 {
			now = now.Add(500 * time.Millisecond)
			for _, out := range table.Tick(now) {
				if out.Address == to && out.Message.Kind == member.Ping {
					return out.Message
				}
			}
		}
		t.Fatal("no ping")
		return member.Message{}
	}
	answer := func(table *member.Table, msg member.Message) []member.Outgoing {
		out := table.Handle(now, msg)
		is.True(len(out) > 0)
		return out
	}
	first := ping(one, "b")
	is.True(len(first.Records) > 0) // It isn't known yet that b sends digests.
	old := first
	old.Digest = 0
	is.True(len(answer(two, old)[0].Message.Records) > 0)
	ack := answer(two, first)[0].Message
	is.Equal(len(ack.Records), 0)
	is.Equal(len(one.Handle(now, ack)), 0)
	ack.Digest++ // b lacks something.
	is.True(len(answer(one, ack)[0].Message.Records) > 0)
}

// TestLargeSyncResponsesAreCompressed guards against tables that cross zones uncompressed,
// against a compressed answer to an older program, and against damaged ones.
func TestLargeSyncResponsesAreCompressed(t *testing.T) {
	const maxPacked = 40 // Percent of the plain size.
	is := is.New(t)
	size := func(resp member.SyncResponse) int {
		data, err := codec.Marshal(resp)
		is.NoErr(err)
		return len(data)
	}
	sim := startInZones(23)
	sim.run(10 * time.Second)
	table := sim.nodes[sim.order[0]].table
	started := member.NewTable(member.Record{ID: "started", Zone: "zone-1", PeerAddress: "started"}, member.DefaultOptions(), sim.now)
	req := started.BeginSync()
	plain := table.AnswerSync(sim.now, req)
	packed, err := plain.Pack(req)
	is.NoErr(err)
	t.Logf("%d bytes, %d compressed", size(plain), size(packed))
	is.True(size(packed)*100 <= size(plain)*maxPacked)
	unpacked, err := packed.Unpack()
	is.NoErr(err)
	is.Equal(len(unpacked.Records), len(plain.Records))
	req.AcceptsDeflate = false
	old, err := plain.Pack(req)
	is.NoErr(err)
	is.Equal(len(old.Deflated), 0)
	packed.Deflated = packed.Deflated[:len(packed.Deflated)/2]
	_, err = packed.Unpack()
	is.True(err != nil)
}
