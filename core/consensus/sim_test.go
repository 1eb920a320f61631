package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactusstream.example/core/consensus"
)

// sim simulates a keeper group in virtual time. A seeded generator injects message
// loss, delay, duplication and reordering, crashes, pauses, one-way partitions and
// membership changes. Every committed entry is compared with a single reference
// log.
type sim struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	nodes    map[string]*simNode
	ids      []string
	inFlight []simMessage
	cutLinks map[[2]string]bool
	loss     float64
	nextID   int

	// committed is the reference log: the entry first committed at each index.
	committed map[uint64]consensus.Entry
	// acked holds the index of each acknowledged command.
	acked map[string]uint64
	// ackedAt lists the indexes of acknowledged commands in the order of their
	// acknowledgement.
	ackedAt  []simAck
	proposed int
}

type simAck struct {
	index uint64
	at    time.Time
}

type simNode struct {
	id          string
	node        *consensus.Node
	disk        consensus.State
	up          bool
	isRetired   bool
	frozenUntil time.Time
	log         map[uint64]consensus.Entry
}

type simMessage struct {
	at  time.Time
	msg consensus.Message
}

const (
	// simTick is the virtual time that passes in one step.
	simTick = 20 * time.Millisecond
	// longDelayMillis limits the additional delay of a delayed message, and maxSimDelay
	// the whole delay of any.
	longDelayMillis = 1500
	maxSimDelay     = longDelayMillis*time.Millisecond + 20*time.Millisecond
)

// newSim returns a simulation of a group with size voters.
func newSim(t *testing.T, seed uint64, size int) *sim {
	si := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_000_000, 0), nodes: make(map[string]*simNode),
		cutLinks: make(map[[2]string]bool), committed: make(map[uint64]consensus.Entry), acked: make(map[string]uint64),
	}
	var config consensus.Config
	for i := range size {
		config.Members = append(config.Members, consensus.Member{ID: fmt.Sprintf("k%d", i+1), Voter: true})
	}
	for _, mem := range config.Members {
		si.add(mem.ID, consensus.State{Snapshot: consensus.Snapshot{Config: config}})
	}
	si.nextID = size + 1
	return si
}

func (si *sim) add(id string, disk consensus.State) {
	si.nodes[id] = &simNode{id: id, disk: disk, log: make(map[uint64]consensus.Entry)}
	si.ids = append(si.ids, id)
	si.start(si.nodes[id])
}

func (si *sim) start(sn *simNode) {
	opts := consensus.DefaultOptions()
	opts.Seed = si.rng.Uint64()
	opts.SnapshotChunk = 16
	node, err := consensus.NewNode(sn.id, cloneState(sn.disk), opts, si.now)
	if err != nil {
		si.t.Fatalf("NewNode %s: %v", sn.id, err)
	}
	sn.node, sn.up = node, true
}

func cloneState(state consensus.State) consensus.State {
	state.Entries = slices.Clone(state.Entries)
	return state
}

// flush persists, sends and applies the node's pending state, as a keeper does. With
// probability crashRate the node crashes first: either before or after the state is
// persisted, and always before messages are sent.
func (si *sim) flush(sn *simNode, crashRate float64) {
	for sn.up {
		rdy := sn.node.Ready()
		if crashRate > 0 && si.rng.Float64() < crashRate {
			if si.rng.IntN(2) == 0 {
				sn.store(rdy)
			}
			sn.up = false
			return
		}
		sn.store(rdy)
		sn.node.Persisted(rdy)
		for _, msg := range rdy.Messages {
			si.send(msg)
		}
		entries := sn.node.TakeCommitted()
		for _, entry := range entries {
			si.apply(sn, entry)
		}
		if len(rdy.Messages)+len(rdy.Entries)+len(entries) == 0 {
			return
		}
	}
}

// store persists the state of a Ready on the simulated disk.
func (sn *simNode) store(rdy consensus.Ready) {
	if rdy.Snapshot != nil {
		sn.disk.Snapshot = *rdy.Snapshot
		sn.disk.Entries = nil
	}
	if rdy.HardState != nil {
		sn.disk.HardState = *rdy.HardState
	}
	if len(rdy.Entries) > 0 {
		keep := rdy.Entries[0].Index - sn.disk.Snapshot.Index - 1
		sn.disk.Entries = append(slices.Clone(sn.disk.Entries[:keep]), rdy.Entries...)
	}
}

// apply compares a committed entry with the reference log. A command that the
// leader applies counts as acknowledged.
func (si *sim) apply(sn *simNode, entry consensus.Entry) {
	known, ok := si.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		si.t.Fatalf("%s committed %q at index %d, but %q was committed there before", sn.id, entry.Data, entry.Index, known.Data)
	}
	si.committed[entry.Index] = entry
	if sn.node.Role() == consensus.RoleLeader && entry.Kind == consensus.EntryCommand {
		si.acked[string(entry.Data)] = entry.Index
		si.ackedAt = append(si.ackedAt, simAck{index: entry.Index, at: si.now})
	}
}

// send puts a message in flight, unless it is lost. It may be duplicated or delayed.
func (si *sim) send(msg consensus.Message) {
	if si.cutLinks[[2]string{msg.From, msg.To}] || si.rng.Float64() < si.loss {
		return
	}
	copies := 1
	if si.rng.Float64() < 0.03 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+si.rng.IntN(15)) * time.Millisecond
		if si.rng.Float64() < 0.02 {
			delay += time.Duration(si.rng.IntN(longDelayMillis)) * time.Millisecond
		}
		si.inFlight = append(si.inFlight, simMessage{at: si.now.Add(delay), msg: msg})
	}
}

// step advances the simulation by one tick and delivers the messages that are due
// in random order.
func (si *sim) step(crashRate float64) {
	si.now = si.now.Add(simTick)
	var due []simMessage
	si.inFlight = slices.DeleteFunc(si.inFlight, func(sm simMessage) bool {
		if sm.at.After(si.now) {
			return false
		}
		due = append(due, sm)
		return true
	})
	si.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, sm := range due {
		if sn := si.nodes[sm.msg.To]; sn != nil && sn.up && !si.isFrozen(sn) {
			sn.node.Step(si.now, sm.msg)
			si.flush(sn, crashRate)
		}
	}
	for _, id := range si.ids {
		if sn := si.nodes[id]; sn.up && !si.isFrozen(sn) {
			sn.node.Tick(si.now)
			si.flush(sn, crashRate)
		}
	}
}

// checkCurrent checks that no running node counts as current at a time without the
// commands that were acknowledged before, apart from the delay of messages.
func (si *sim) checkCurrent(seed uint64) {
	for _, id := range si.ids {
		sn := si.nodes[id]
		if !sn.up || si.isFrozen(sn) {
			continue
		}
		currentAt := sn.node.CurrentAt(si.now)
		for _, ack := range slices.Backward(si.ackedAt) {
			if ack.at.Before(currentAt.Add(-maxSimDelay)) {
				if sn.node.Applied() < ack.index {
					si.t.Fatalf("seed %d: %s counts as current at %s and has applied %d, but %d was acknowledged %s before", seed, id, currentAt, sn.node.Applied(), ack.index, currentAt.Sub(ack.at))
				}
				break
			}
		}
	}
}

func (si *sim) isFrozen(sn *simNode) bool { return si.now.Before(sn.frozenUntil) }

// leader returns a random running node in the leader role. During a partition there
// may be several.
func (si *sim) leader() *simNode {
	for _, i := range si.rng.Perm(len(si.ids)) {
		if sn := si.nodes[si.ids[i]]; sn.up && !si.isFrozen(sn) && sn.node.Role() == consensus.RoleLeader {
			return sn
		}
	}
	return nil
}

func (si *sim) propose() {
	if sn := si.leader(); sn != nil {
		si.proposed++
		_, _, _ = sn.node.Propose(si.now, fmt.Appendf(nil, "v%d", si.proposed))
		si.flush(sn, 0)
	}
}

// injectFault injects one random fault or membership change, or ends a fault. There
// is no limit on how many nodes are down or frozen at a time.
func (si *sim) injectFault(t *testing.T) {
	one, two := si.randomNode(), si.randomNode()
	switch si.rng.IntN(10) {
	case 0:
		one.up = false
	case 1, 2:
		if !one.up && !one.isRetired {
			si.start(one)
		}
	case 3:
		one.frozenUntil = si.now.Add(time.Duration(si.rng.IntN(3000)) * time.Millisecond)
	case 4, 5:
		si.cutLinks[[2]string{one.id, two.id}] = true
	case 6:
		clear(si.cutLinks)
	case 7:
		si.loss = si.rng.Float64() * 0.3
	case 8:
		if one.up && one.node.LogLength() > 4 {
			si.compact(one)
		}
	case 9:
		si.changeMembers(t)
	}
}

func (si *sim) compact(sn *simNode) {
	snap := sn.node.Compact(fmt.Appendf(nil, "state up to index %d, in several chunks", sn.node.Applied()))
	sn.disk = consensus.State{HardState: sn.node.HardState(), Snapshot: snap, Entries: slices.Clone(sn.node.Entries())}
}

// changeMembers adds, promotes or removes one member. A new member starts with an
// empty disk and a new ID.
func (si *sim) changeMembers(t *testing.T) {
	sn := si.leader()
	if sn == nil {
		return
	}
	config := sn.node.Config()
	var learners, voters []string
	for _, mem := range config.Members {
		if mem.Voter {
			voters = append(voters, mem.ID)
		} else {
			learners = append(learners, mem.ID)
		}
	}
	switch {
	case len(learners) > 0:
		_, _ = sn.node.Promote(si.now, learners[0])
	case len(voters) <= 3:
		id := fmt.Sprintf("k%d", si.nextID)
		if _, err := sn.node.AddLearner(si.now, consensus.Member{ID: id}); err == nil {
			si.nextID++
			si.add(id, consensus.State{})
		}
	default:
		victim := voters[si.rng.IntN(len(voters))]
		if _, err := sn.node.Remove(si.now, victim); err != nil {
			t.Logf("remove %s: %v", victim, err)
		}
	}
	si.flush(sn, 0)
}

func (si *sim) randomNode() *simNode { return si.nodes[si.ids[si.rng.IntN(len(si.ids))]] }

// stopFaults ends all faults, restarts the crashed nodes and runs the simulation
// for eight seconds.
func (si *sim) stopFaults() {
	clear(si.cutLinks)
	si.loss = 0
	for _, id := range si.ids {
		si.nodes[id].frozenUntil = time.Time{}
		if sn := si.nodes[id]; !sn.up && !sn.isRetired {
			si.start(sn)
		}
	}
	for range 400 {
		si.step(0)
	}
}

// checkConverged checks that there is a leader that can commit, that every
// acknowledged command is in the reference log, and that all running voters have
// applied the log.
func (si *sim) checkConverged(seed uint64) {
	leader := si.leader()
	if leader == nil {
		si.t.Fatalf("seed %d: no leader after the faults ended", seed)
	}
	before := leader.node.Commit()
	si.propose()
	for range 50 {
		si.step(0)
	}
	if leader.node.Commit() <= before {
		si.t.Fatalf("seed %d: the leader did not commit a new entry", seed)
	}
	for data, index := range si.acked {
		if entry := si.committed[index]; string(entry.Data) != data {
			si.t.Fatalf("seed %d: %s was acknowledged at index %d but is not in the log", seed, data, index)
		}
	}
	for _, id := range si.ids {
		sn := si.nodes[id]
		if leader.node.Config().IsVoter(id) && sn.up && sn.node.Applied() < before {
			si.t.Fatalf("seed %d: %s has applied up to index %d, want %d", seed, id, sn.node.Applied(), before)
		}
	}
}
