package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactusstream.example/core/consensus"
)

// sim runs keepers in virtual time under a seeded schedule of loss, delay,
// duplication, reordering, crashes, lost disks, one-way cuts and changes of
// members. Every commit is checked against one naive copy of the log.
type sim struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Time
	nodes map[string]*simNode
	ids   []string
	mail  []simMail
	cut   map[[2]string]bool
	loss  float64
	next  int

	// model is the single copy: what was committed at each index.
	model    map[uint64]consensus.Entry
	acked    map[string]uint64
	proposed int
}

type simNode struct {
	id    string
	node  *consensus.Node
	disk  consensus.State
	up    bool
	gone  bool
	froze time.Time
	log   map[uint64]consensus.Entry
}

type simMail struct {
	at  time.Time
	msg consensus.Message
}

const simTick = 20 * time.Millisecond

func newSim(t *testing.T, seed uint64, size int) *sim {
	si := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_000_000, 0), nodes: make(map[string]*simNode),
		cut: make(map[[2]string]bool), model: make(map[uint64]consensus.Entry), acked: make(map[string]uint64),
	}
	var config consensus.Config
	for i := range size {
		config.Members = append(config.Members, consensus.Member{ID: fmt.Sprintf("k%d", i+1), Voter: true})
	}
	for _, mem := range config.Members {
		si.add(mem.ID, consensus.State{Snapshot: consensus.Snapshot{Config: config}})
	}
	si.next = size + 1
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
		si.t.Fatalf("start %s: %v", sn.id, err)
	}
	sn.node, sn.up = node, true
}

func cloneState(state consensus.State) consensus.State {
	state.Entries = slices.Clone(state.Entries)
	return state
}

// flush stores, sends and applies what a node has ready, as a keeper does. A
// crash may come between storing and sending.
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
			si.post(msg)
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

// apply checks a commit against the single copy.
func (si *sim) apply(sn *simNode, entry consensus.Entry) {
	known, ok := si.model[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		si.t.Fatalf("%s committed %q at %d, where %q was committed", sn.id, entry.Data, entry.Index, known.Data)
	}
	si.model[entry.Index] = entry
	if sn.node.Role() == consensus.RoleLeader && entry.Kind == consensus.EntryCommand {
		si.acked[string(entry.Data)] = entry.Index
	}
}

func (si *sim) post(msg consensus.Message) {
	if si.cut[[2]string{msg.From, msg.To}] || si.rng.Float64() < si.loss {
		return
	}
	copies := 1
	if si.rng.Float64() < 0.03 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+si.rng.IntN(15)) * time.Millisecond
		if si.rng.Float64() < 0.02 {
			delay += time.Duration(si.rng.IntN(1500)) * time.Millisecond
		}
		si.mail = append(si.mail, simMail{at: si.now.Add(delay), msg: msg})
	}
}

// step lets one tick pass: mail that is due is delivered in a random order.
func (si *sim) step(crashRate float64) {
	si.now = si.now.Add(simTick)
	var due []simMail
	si.mail = slices.DeleteFunc(si.mail, func(ma simMail) bool {
		if ma.at.After(si.now) {
			return false
		}
		due = append(due, ma)
		return true
	})
	si.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, ma := range due {
		if sn := si.nodes[ma.msg.To]; sn != nil && sn.up && !si.isFrozen(sn) {
			sn.node.Step(si.now, ma.msg)
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

func (si *sim) isFrozen(sn *simNode) bool { return si.now.Before(sn.froze) }

// leader returns a node that believes to lead, at random.
func (si *sim) leader() *simNode {
	for _, at := range si.rng.Perm(len(si.ids)) {
		if sn := si.nodes[si.ids[at]]; sn.up && !si.isFrozen(sn) && sn.node.Role() == consensus.RoleLeader {
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

// disturb makes one random thing happen. At most a minority of the group is
// down, frozen or without its disk at a time.
func (si *sim) disturb(t *testing.T) {
	one, two := si.pick(), si.pick()
	switch si.rng.IntN(10) {
	case 0:
		one.up = false
	case 1, 2:
		if !one.up && !one.gone {
			si.start(one)
		}
	case 3:
		one.froze = si.now.Add(time.Duration(si.rng.IntN(3000)) * time.Millisecond)
	case 4, 5:
		si.cut[[2]string{one.id, two.id}] = true
	case 6:
		clear(si.cut)
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
	snap := sn.node.Compact(fmt.Appendf(nil, "state up to index %d, in several pieces", sn.node.Applied()))
	sn.disk = consensus.State{HardState: sn.node.HardState(), Snapshot: snap, Entries: slices.Clone(sn.node.Entries())}
}

// changeMembers adds, promotes or removes one member; a disk that was lost
// comes back as a new member under a new identity.
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
		id := fmt.Sprintf("k%d", si.next)
		if _, err := sn.node.AddLearner(si.now, consensus.Member{ID: id}); err == nil {
			si.next++
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

func (si *sim) pick() *simNode { return si.nodes[si.ids[si.rng.IntN(len(si.ids))]] }

// heal ends every disturbance and lets the keepers settle.
func (si *sim) heal() {
	clear(si.cut)
	si.loss = 0
	for _, id := range si.ids {
		si.nodes[id].froze = time.Time{}
		if sn := si.nodes[id]; !sn.up && !sn.gone {
			si.start(sn)
		}
	}
	for range 400 {
		si.step(0)
	}
}

// checkSettled checks that there is one leader, that it can still commit, and
// that everything that was acknowledged is in its log.
func (si *sim) checkSettled(seed uint64) {
	leader := si.leader()
	if leader == nil {
		si.t.Fatalf("seed %d: no leader after the disturbances ended", seed)
	}
	before := leader.node.Commit()
	si.propose()
	for range 50 {
		si.step(0)
	}
	if leader.node.Commit() <= before {
		si.t.Fatalf("seed %d: the leader can't commit", seed)
	}
	for data, index := range si.acked {
		if entry := si.model[index]; string(entry.Data) != data {
			si.t.Fatalf("seed %d: %s was acknowledged at %d and lost", seed, data, index)
		}
	}
	for _, id := range si.ids {
		sn := si.nodes[id]
		if leader.node.Config().IsVoter(id) && sn.up && sn.node.Applied() < before {
			si.t.Fatalf("seed %d: %s has applied %d of %d", seed, id, sn.node.Applied(), before)
		}
	}
}
