package member_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/member"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204") // CI generates the same inputs on each run.
}

// simulation runs the tables of a fleet in virtual time over a simulated network.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	nodes    map[string]*simNode
	order    []string
	inFlight []simMessage
	blocked  map[[2]string]bool
	lossRate float64
	paused   map[string]bool
	// noSeeds keeps daemons from synchronizing with the seed.
	noSeeds bool
	sent    int
	// bytes is the encoded size of all messages sent, if countBytes is set.
	bytes      int
	countBytes bool
	// crossed counts the bytes between zones by the kind of message, if it is not nil.
	crossed map[string]int
}

type simNode struct {
	table   *member.Table
	address string
	syncAt  time.Time
	// round is the number of synchronizations so far.
	round int
}

// simMessage is a datagram on its way.
type simMessage struct {
	deliverAt time.Time
	from, to  string
	msg       member.Message
}

const (
	simTick = 50 * time.Millisecond
	// datagramOverhead is the size of the MAC and of the UDP and IP headers, in
	// bytes.
	datagramOverhead = 16 + 28
)

func newSimulation(seed uint64) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(2_000_000, 0), nodes: make(map[string]*simNode), blocked: make(map[[2]string]bool), paused: make(map[string]bool)}
}

// start adds a daemon, or restarts it with an empty table.
func (sim *simulation) start(id string, upstreams int) {
	opts := member.DefaultOptions()
	opts.Seed = sim.rng.Uint64()
	rec := member.Record{ID: id, Zone: "zone-" + id[len(id)-1:], PeerAddress: id, Version: member.Version{Incarnation: uint64(sim.now.UnixNano())}}
	for i := range upstreams {
		rec.Upstreams = append(rec.Upstreams, member.Upstream{ID: fmt.Sprintf("%s-upstream%d", id, i), Service: fmt.Sprintf("service%d", i), Address: "127.0.0.1:9000", Slots: 5, State: member.StateReady, SinceMS: sim.now.UnixMilli()})
	}
	if sim.nodes[id] == nil {
		sim.order = append(sim.order, id)
	}
	sim.nodes[id] = &simNode{table: member.NewTable(rec, opts, sim.now), address: id, syncAt: sim.now}
}

// send queues messages for delivery, subject to blocked paths and packet loss.
func (sim *simulation) send(from string, list []member.Outgoing) {
	for _, out := range list {
		sim.sent++
		if sim.countBytes {
			data, err := codec.Marshal(out.Message)
			if err != nil {
				panic(err)
			}
			sim.bytes += len(data) + datagramOverhead
		}
		sim.countCrossing(from, out.Address, kindName(out.Message), out.Message)
		if sim.blocked[[2]string{from, out.Address}] || sim.rng.Float64() < sim.lossRate {
			continue
		}
		delay := time.Duration(1+sim.rng.IntN(10)) * time.Millisecond
		sim.inFlight = append(sim.inFlight, simMessage{deliverAt: sim.now.Add(delay), from: from, to: out.Address, msg: out.Message})
	}
}

// run advances virtual time by d: it delivers messages and ticks all tables.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simTick)
		inFlight := sim.inFlight
		sim.inFlight = nil
		for _, queued := range inFlight {
			if queued.deliverAt.After(sim.now) {
				sim.inFlight = append(sim.inFlight, queued)
				continue
			}
			if node := sim.nodes[queued.to]; node != nil && !sim.paused[queued.to] {
				sim.send(queued.to, node.table.Handle(sim.now, queued.msg))
			}
		}
		for _, id := range sim.order {
			if node := sim.nodes[id]; node != nil && !sim.paused[id] {
				sim.send(id, node.table.Tick(sim.now))
				sim.sync(id, node)
			}
		}
	}
}

// sync periodically synchronizes a table with others, as daemons do over a link.
// A link works only if neither direction is blocked.
func (sim *simulation) sync(id string, node *simNode) {
	if sim.now.Before(node.syncAt) {
		return
	}
	node.syncAt = sim.now.Add(5*time.Second + time.Duration(sim.rng.Int64N(int64(10*time.Second))))
	targets := []string{node.table.PickPeer(), node.table.PickDead()}
	if sim.crossed != nil {
		targets = sim.zoneSyncTargets(node)
	} else if !sim.noSeeds {
		targets = append(targets, sim.order[0])
	}
	for _, to := range targets {
		peer := sim.nodes[to]
		if peer == nil || to == id || sim.paused[to] || sim.blocked[[2]string{id, to}] || sim.blocked[[2]string{to, id}] {
			continue
		}
		for req, ok := node.table.BeginSync(), true; ok; {
			resp := peer.table.AnswerSync(sim.now, req)
			sim.countCrossing(id, to, "sync", req)
			resp = sim.transfer(id, to, req, resp)
			req, ok = node.table.ContinueSync(sim.now, resp)
		}
	}
}

// statusSeenBy returns the status of a member in an observer's table.
func (sim *simulation) statusSeenBy(observer, id string) member.Status {
	for _, rec := range sim.nodes[observer].table.Records() {
		if rec.ID == id {
			return rec.Status
		}
	}
	return member.Dead
}

// newFleet returns a fleet that has run long enough to converge.
func newFleet(seed uint64, size, upstreams int) *simulation {
	sim := newSimulation(seed)
	for i := range size {
		sim.start(fmt.Sprintf("d%03d", i), upstreams)
	}
	sim.run(40 * time.Second)
	return sim
}

func (sim *simulation) requireAllAlive(t *testing.T) {
	t.Helper()
	for _, observer := range sim.order {
		for _, id := range sim.order {
			if status := sim.statusSeenBy(observer, id); status != member.Alive {
				t.Fatalf("status of %s at %s: %s, want alive", id, observer, status)
			}
		}
	}
}

func TestFleetConvergesFromOneSeed(t *testing.T) {
	newFleet(1, 40, 2).requireAllAlive(t)
}

func TestCrashedDaemonIsDetectedAndRejoins(t *testing.T) {
	is := is.New(t)
	sim := newFleet(2, 30, 1)
	delete(sim.nodes, "d007")
	sim.order = slices.DeleteFunc(sim.order, func(id string) bool { return id == "d007" })
	sim.run(30 * time.Second)
	for _, observer := range sim.order {
		is.Equal(sim.statusSeenBy(observer, "d007"), member.Dead)
	}
	sim.start("d007", 1)
	sim.run(40 * time.Second)
	sim.requireAllAlive(t)
}

// TestOneWayPartitionDoesNotFlap blocks one direction between two daemons. Indirect
// probes still reach both, so no daemon may see any change of status.
func TestOneWayPartitionDoesNotFlap(t *testing.T) {
	is := is.New(t)
	sim := newFleet(3, 12, 1)
	for _, node := range sim.nodes {
		node.table.TakeChanges()
	}
	sim.blocked[[2]string{"d003", "d005"}] = true
	sim.run(2 * time.Minute)
	for _, node := range sim.nodes {
		is.Equal(len(node.table.TakeChanges()), 0)
	}
}

// TestPacketLossMarksNoDaemonDead drops 30 % of all datagrams. Daemons may become
// suspect, but each must refute in time.
func TestPacketLossMarksNoDaemonDead(t *testing.T) {
	is := is.New(t)
	sim := newFleet(4, 30, 1)
	for _, node := range sim.nodes {
		node.table.TakeChanges()
	}
	sim.lossRate = 0.3
	sim.run(2 * time.Minute)
	for _, node := range sim.nodes {
		for _, change := range node.table.TakeChanges() {
			is.True(change.To != member.Dead)
		}
	}
}

// TestPausedDaemonIsDetectedAndRejoins pauses a daemon while it waits for the answer
// to a probe. After it resumes it must not treat the missing answers as failures of
// the others.
func TestPausedDaemonIsDetectedAndRejoins(t *testing.T) {
	is := is.New(t)
	sim := newFleet(5, 15, 1)
	pinged := func(queued simMessage) bool { return queued.from == "d004" && queued.msg.Kind == member.Ping }
	for !slices.ContainsFunc(sim.inFlight, pinged) {
		sim.run(simTick) // Until it waits for an answer.
	}
	sim.paused["d004"] = true
	sim.run(15 * time.Second)
	is.Equal(sim.statusSeenBy("d001", "d004"), member.Dead)
	sim.paused["d004"] = false
	sim.nodes["d004"].table.TakeChanges()
	sim.run(30 * time.Second)
	is.Equal(len(sim.nodes["d004"].table.TakeChanges()), 0)
	sim.requireAllAlive(t)
}

// TestPartitionHeals separates two halves of a fleet until they consider each other
// dead. Without a seed they can only reconnect by synchronizing with dead members.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	sim := newFleet(6, 16, 1)
	for i, from := range sim.order {
		for j, to := range sim.order {
			if (i < 8) != (j < 8) {
				sim.blocked[[2]string{from, to}] = true
			}
		}
	}
	sim.run(time.Minute)
	is.Equal(sim.statusSeenBy("d001", "d012"), member.Dead)
	clear(sim.blocked)
	sim.noSeeds = true
	sim.run(90 * time.Second)
	sim.requireAllAlive(t)
	for _, id := range sim.order {
		is.Equal(sim.nodes[id].table.BeginSync(), sim.nodes["d000"].table.BeginSync())
	}
}

func TestLeaveReachesAllWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	sim := newFleet(7, 150, 1)
	leaver := sim.nodes["d011"]
	sim.send("d011", leaver.table.Leave(sim.now))
	sim.run(2 * time.Second)
	for _, observer := range sim.order {
		is.Equal(sim.statusSeenBy(observer, "d011"), member.Left)
	}
}

// TestOutdatedTableDoesNotReplaceNewerRecords restarts a daemon with the table that
// it held before two others restarted.
func TestOutdatedTableDoesNotReplaceNewerRecords(t *testing.T) {
	sim := newFleet(8, 20, 1)
	old := sim.nodes["d009"].table.Records()
	for _, id := range []string{"d001", "d002"} {
		sim.start(id, 2) // They restart, so the copied records are outdated.
	}
	sim.paused["d009"] = true
	sim.run(30 * time.Second)
	sim.start("d009", 1)
	sim.paused["d009"] = false
	sim.nodes["d009"].table.Merge(sim.now, old)
	sim.run(time.Minute)
	sim.requireAllAlive(t)
	for _, rec := range sim.nodes["d015"].table.Records() {
		if rec.ID == "d001" && len(rec.Upstreams) != 2 {
			t.Fatal("the outdated record of d001 replaced the newer one")
		}
	}
}

// mergeByVersion is a reference implementation of merging: it keeps the newest
// record of each daemon.
func mergeByVersion(records []member.Record) map[string]member.Record {
	newest := make(map[string]member.Record)
	for _, rec := range records {
		current, ok := newest[rec.ID]
		order := cmp.Or(
			cmp.Compare(rec.Version.Incarnation, current.Version.Incarnation),
			cmp.Compare(rec.Version.Sequence, current.Version.Sequence),
			cmp.Compare(rec.Status, current.Status))
		if !ok || order > 0 {
			newest[rec.ID] = rec
		}
	}
	return newest
}

// TestMergeIsIndependentOfOrder merges the same records in two random orders and
// compares the results with the reference implementation.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	now := time.Unix(1, 0)
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) member.Record {
			return member.Record{
				ID:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				Version: member.Version{Incarnation: rapid.Uint64Range(1, 3).Draw(t, "inc"), Sequence: rapid.Uint64Range(0, 3).Draw(t, "seq")},
				Status:  member.Status(rapid.IntRange(0, 1).Draw(t, "status")),
			}
		}), 1, 20).Draw(t, "records")
		want := mergeByVersion(records)
		for range 2 {
			table := member.NewTable(member.Record{ID: "self"}, member.DefaultOptions(), now)
			for _, rec := range rapid.Permutation(records).Draw(t, "order") {
				table.Merge(now, []member.Record{rec})
			}
			for _, rec := range table.Records() {
				if rec.ID != "self" && (rec.Version != want[rec.ID].Version || rec.Status != want[rec.ID].Status) {
					t.Fatalf("%s: merged to %v %s, want %v %s", rec.ID, rec.Version, rec.Status, want[rec.ID].Version, want[rec.ID].Status)
				}
			}
		}
	})
}

// BenchmarkFleet reports the cost of membership per daemon and second for several
// fleet sizes, both idle and with one record changing per second in the whole
// fleet. Each record has 9 upstreams, which is the average of 6,300 endpoints on
// 730 daemons.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{50, 100, 200, 400, 730} {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("daemons=%d/changing=%v", size, changing), func(b *testing.B) {
				sim := newSimulation(9)
				for i := range size {
					sim.start(fmt.Sprintf("d%03d", i), 9)
				}
				for _, to := range sim.order { // All tables start complete.
					for _, from := range sim.order {
						sim.nodes[to].table.Merge(sim.now, []member.Record{sim.nodes[from].table.Self()})
					}
				}
				sim.run(15 * time.Second) // Until the initial gossip has ended.
				sim.countBytes, sim.sent, sim.bytes = true, 0, 0
				started, seconds := time.Now(), 0
				for b.Loop() {
					if changing {
						id := sim.order[sim.rng.IntN(size)]
						ups := slices.Clone(sim.nodes[id].table.Self().Upstreams)
						ups[0].SinceMS = sim.now.UnixMilli()
						sim.send(id, sim.nodes[id].table.SetUpstreams(sim.now, ups, nil))
					}
					sim.run(time.Second)
					seconds++
				}
				perDaemon := float64(size * seconds)
				b.ReportMetric(float64(sim.sent)/perDaemon, "msgs/s")
				b.ReportMetric(float64(sim.bytes)/perDaemon, "B/s")
				b.ReportMetric(float64(time.Since(started).Microseconds())/perDaemon, "cpuUs/s")
			})
		}
	}
}

// syncBytes synchronizes two tables and returns the encoded size of all messages.
func syncBytes(t *testing.T, now time.Time, one, two *member.Table) int {
	t.Helper()
	size := 0
	count := func(message any) {
		data, err := codec.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		size += len(data)
	}
	for req, ok := one.BeginSync(), true; ok; {
		count(req)
		resp := two.AnswerSync(now, req)
		count(resp)
		req, ok = one.ContinueSync(now, resp)
	}
	return size
}

// TestSyncCostDoesNotGrowWithFleet synchronizes two tables that differ in five records,
// in fleets of different sizes. docs/CAPACITY.md allows a daemon 5 KB of control traffic
// a second; a synchronization takes place every ten.
func TestSyncCostDoesNotGrowWithFleet(t *testing.T) {
	const maxBytes = 5_000
	for _, size := range []int{30, 100, 354, 730} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(2_000_000, 0)
			newTable := func(self, changed int) *member.Table {
				records := make([]member.Record, size)
				for i := range records {
					id := fmt.Sprintf("sidecar-%03d", i)
					records[i] = member.Record{ID: id, Zone: "z", PeerAddress: id, OperatorAddress: id, Version: member.Version{Incarnation: uint64(now.UnixNano()), Sequence: 1}, Upstreams: []member.Upstream{{ID: id, Service: "service", Address: id, Slots: 13, State: member.StateReady}}}
					if i >= size-changed {
						records[i].Version.Sequence++
					}
				}
				table := member.NewTable(records[self], member.DefaultOptions(), now)
				table.Merge(now, records)
				return table
			}
			one, two := newTable(0, 0), newTable(1, 5)
			bytes := syncBytes(t, now, one, two)
			t.Logf("%d bytes", bytes)
			is.True(bytes <= maxBytes)
			is.Equal(one.Records(), two.Records())
			is.True(syncBytes(t, now, one, two) < maxBytes/5) // Nothing differs.
		})
	}
}

// TestSyncWithWrongSummaries answers a request whose summaries claim newer records than
// there are, and one whose buckets do not exist. Neither may change the table or return
// records of other buckets.
func TestSyncWithWrongSummaries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000, 0)
	table := member.NewTable(member.Record{ID: "self", Version: member.Version{Incarnation: 1}}, member.DefaultOptions(), now)
	table.Merge(now, []member.Record{{ID: "other", Version: member.Version{Incarnation: 1}}})
	before := table.Records()
	newest := member.Summary{Version: member.Version{Incarnation: 9}}
	all := table.BeginSync().Buckets
	resp := table.AnswerSync(now, member.SyncRequest{Buckets: all, Summaries: map[string]member.Summary{"self": newest, "other": newest, "unknown": newest}})
	is.Equal(len(resp.Records), 0)
	resp = table.AnswerSync(now, member.SyncRequest{Buckets: []int{-1, member.BucketCount}})
	is.Equal(len(resp.Records), 0)
	resp = table.AnswerSync(now, member.SyncRequest{Digests: []uint32{1}})
	is.Equal(len(resp.Summaries), 2)
	is.Equal(table.Records(), before)
}

// TestPeerWithNewerSettings asks for a peer with newer settings while the first members
// by ID are suspect, as keepers that were just killed are. The peer must be a reachable
// one of the own zone, and not the same one each time.
func TestPeerWithNewerSettings(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000, 0)
	version := member.Version{Incarnation: 1}
	table := member.NewTable(member.Record{ID: "self", Zone: "a", PeerAddress: "self", Version: version}, member.DefaultOptions(), now)
	add := func(id, zone string, status member.Status, settingsVersion uint64) {
		table.Merge(now, []member.Record{{ID: id, Zone: zone, PeerAddress: id, Version: version, Status: status}})
		table.Handle(now, member.Message{Kind: member.Update, From: id, Address: id, SettingsVersion: settingsVersion})
	}
	is.Equal(table.PickPeerWithNewerSettings(1), "")
	add("core-1", "a", member.Suspect, 2)
	add("dead", "a", member.Dead, 2)
	is.Equal(table.PickPeerWithNewerSettings(1), "core-1") // There is no other.
	add("other-zone", "b", member.Alive, 2)
	is.Equal(table.PickPeerWithNewerSettings(1), "other-zone")
	add("outdated", "a", member.Alive, 1)
	add("near-1", "a", member.Alive, 2)
	add("near-2", "a", member.Alive, 3)
	picked := make(map[string]int)
	for range 100 {
		picked[table.PickPeerWithNewerSettings(1)]++
	}
	is.Equal(len(picked), 2)
	is.True(picked["near-1"] > 10 && picked["near-2"] > 10)
	is.Equal(table.PickPeerWithNewerSettings(3), "")
}
