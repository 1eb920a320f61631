package consensus_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/consensus"
)

// TestRandomFaults injects random faults in seeded runs. Each run checks that all
// keepers commit the same log, that no acknowledged command is lost, that no keeper
// counts as current without the acknowledged commands, and that the group recovers once
// the faults end.
func TestRandomFaults(t *testing.T) {
	const seeds = 1500
	if testing.Short() {
		t.Skip("runs 1500 simulations")
	}
	started := time.Now()
	for seed := range uint64(seeds) {
		sizes := []int{3, 5, 7}
		si := newSim(t, seed, sizes[seed%3])
		for range 250 {
			if si.rng.IntN(6) == 0 {
				si.injectFault(t)
			}
			if si.rng.IntN(3) == 0 {
				si.propose()
			}
			si.step(0.002)
			si.checkCurrent(seed)
		}
		si.stopFaults()
		si.checkConverged(seed)
	}
	t.Logf("seeds 0 to %d, %.0f runs per second", seeds-1, seeds/time.Since(started).Seconds())
}

// runFor advances the simulation by d without crashes.
func runFor(si *sim, d time.Duration) {
	for end := si.now.Add(d); si.now.Before(end); {
		si.step(0)
	}
}

// waitForLeader runs the simulation for three seconds and returns the leader.
func waitForLeader(t *testing.T, si *sim) *simNode {
	t.Helper()
	runFor(si, 3*time.Second)
	leader := si.leader()
	if leader == nil {
		t.Fatal("no leader was elected within 3s")
	}
	return leader
}

// A follower that receives nothing from the leader but can still send must not
// disrupt it: its vote requests would otherwise start election after election.
func TestOneWayPartitionKeepsLeader(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 1, 3)
	leader := waitForLeader(t, si)
	term := leader.node.Term()
	isolated := si.ids[0]
	if isolated == leader.id {
		isolated = si.ids[1]
	}
	// The follower receives nothing from the leader, but can send to everyone.
	si.cutLinks[[2]string{leader.id, isolated}] = true
	runFor(si, 20*time.Second)
	is.Equal(si.leader().id, leader.id)
	is.Equal(leader.node.Term(), term) // No election took place.
}

// A leader that can send but receives no responses must step down, or its
// heartbeats would keep the followers from electing another one.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 2, 3)
	leader := waitForLeader(t, si)
	for _, id := range si.ids {
		si.cutLinks[[2]string{id, leader.id}] = true // It can send, but receives nothing.
	}
	runFor(si, 2*time.Second)
	is.True(leader.node.Role() != consensus.RoleLeader)
	runFor(si, 5*time.Second)
	is.True(si.leader() != nil && si.leader().id != leader.id)
}

// A leader that was paused while another one was elected, and resumes without
// knowing, must not confirm a read of its stale state.
func TestFrozenLeaderServesNoStaleRead(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 3, 3)
	old := waitForLeader(t, si)
	old.frozenUntil = si.now.Add(10 * time.Second)
	runFor(si, 5*time.Second)
	successor := si.leader()
	is.True(successor != nil && successor.id != old.id)
	si.propose()
	runFor(si, 5500*time.Millisecond)
	if old.node.Role() == consensus.RoleLeader {
		is.NoErr(old.node.Read(si.now, 7))
		si.flush(old, 0)
		runFor(si, 2*time.Second)
		for _, read := range old.node.TakeReads() {
			is.True(!read.OK) // A superseded leader confirms no read.
		}
	}
	is.True(old.node.Role() != consensus.RoleLeader)
}

// A node that hears nothing more from the leader must not count as current any longer:
// neither a voter nor a learner, which starts no election and so never forgets its leader.
// The leader must not either once it hears nothing from a quorum.
func TestPartitionedNodeIsNotCurrent(t *testing.T) {
	for _, what := range []string{"voter", "learner", "leader"} {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			si := newSim(t, 8, 3)
			leader := waitForLeader(t, si)
			subject := leader
			switch what {
			case "voter":
				subject = si.nodes[si.ids[0]]
				if subject == leader {
					subject = si.nodes[si.ids[1]]
				}
			case "learner":
				si.add("k4", consensus.State{})
				_, err := leader.node.AddLearner(si.now, consensus.Member{ID: "k4"})
				is.NoErr(err)
				si.flush(leader, 0)
				subject = si.nodes["k4"]
			}
			runFor(si, time.Second)
			is.True(si.now.Sub(subject.node.CurrentAt(si.now)) < 300*time.Millisecond)
			for _, id := range si.ids {
				si.cutLinks[[2]string{id, subject.id}] = true
				si.cutLinks[[2]string{subject.id, id}] = true
			}
			cutAt := si.now
			runFor(si, 5*time.Second)
			is.True(!subject.node.CurrentAt(si.now).After(cutAt.Add(maxSimDelay + simTick))) // Messages in flight still arrive.
			is.Equal(subject.node.Leader(), "")                                              // Operators are not sent there.
			clear(si.cutLinks)
			runFor(si, 3*time.Second)
			is.True(si.now.Sub(subject.node.CurrentAt(si.now)) < 300*time.Millisecond)
		})
	}
}

// A follower that hears from the leader but doesn't have all committed entries yet must
// not count as current.
func TestFollowerThatCatchesUpIsNotCurrent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	members := consensus.Config{Members: []consensus.Member{{ID: "k1", Voter: true}, {ID: "k2", Voter: true}}}
	node, err := consensus.NewNode("k2", consensus.State{Snapshot: consensus.Snapshot{Config: members}}, consensus.DefaultOptions(), now)
	is.NoErr(err)
	flush := func() {
		rdy := node.Ready()
		node.Persisted(rdy)
		node.TakeCommitted()
	}
	appendEntry := func(index uint64) consensus.Message {
		return consensus.Message{
			Kind: consensus.MessageAppend, From: "k1", To: "k2", Term: 1, Index: index - 1, LogTerm: min(index-1, 1), Commit: 2,
			Entries: []consensus.Entry{{Index: index, Term: 1, Kind: consensus.EntryNoop}},
		}
	}
	is.True(node.CurrentAt(now).IsZero())
	node.Step(now, appendEntry(1)) // Entry 2 is committed too.
	flush()
	is.True(node.CurrentAt(now).IsZero())
	now = now.Add(time.Second)
	node.Step(now, appendEntry(2))
	is.True(node.CurrentAt(now).IsZero()) // Not applied yet.
	flush()
	is.Equal(node.CurrentAt(now.Add(time.Second)), now)
}

func TestReadIsConfirmed(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 4, 5)
	leader := waitForLeader(t, si)
	is.NoErr(leader.node.Read(si.now, 11))
	si.flush(leader, 0)
	runFor(si, time.Second)
	reads := leader.node.TakeReads()
	is.Equal(len(reads), 1)
	is.True(reads[0].OK)
}

func TestConcurrentMemberChangeIsRejected(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 5, 3)
	leader := waitForLeader(t, si)
	_, err := leader.node.AddLearner(si.now, consensus.Member{ID: "k4"})
	is.NoErr(err)
	_, err = leader.node.AddLearner(si.now, consensus.Member{ID: "k5"})
	is.True(errors.Is(err, consensus.ErrChangeInProgress))
	si.flush(leader, 0)
	_, err = leader.node.Promote(si.now, "k4")
	is.True(errors.Is(err, consensus.ErrNotCaughtUp)) // No keeper runs under this ID yet.
	si.add("k4", consensus.State{})
	runFor(si, time.Second)
	_, err = leader.node.Promote(si.now, "k4")
	is.NoErr(err)
	si.flush(leader, 0)
	runFor(si, time.Second)
	is.True(leader.node.Config().IsVoter("k4"))
}

func TestRemovalThatLosesQuorumIsRejected(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 6, 3)
	leader := waitForLeader(t, si)
	var others []string
	for _, id := range si.ids {
		if id != leader.id {
			others = append(others, id)
		}
	}
	si.nodes[others[0]].up = false
	runFor(si, time.Second)
	_, err := leader.node.Remove(si.now, others[1])
	is.True(errors.Is(err, consensus.ErrQuorumAtRisk))
}

func TestChunkedSnapshotReachesLearner(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 7, 3)
	leader := waitForLeader(t, si)
	for range 30 {
		si.propose()
		si.step(0)
	}
	runFor(si, time.Second)
	si.compact(leader)
	_, err := leader.node.AddLearner(si.now, consensus.Member{ID: "k4"})
	is.NoErr(err)
	si.flush(leader, 0)
	si.add("k4", consensus.State{})
	runFor(si, 2*time.Second)
	is.Equal(si.nodes["k4"].node.Applied(), leader.node.Applied())
	is.True(len(si.nodes["k4"].disk.Snapshot.Data) > 16) // The chunk size is 16 bytes, so it took several chunks.
}

// TestEntryOfOlderTermIsNotCommittedByCounting covers figure 8 of the Raft paper:
// an entry of an older term may still be overwritten although a majority stores
// it, so it is committed only together with an entry of the leader's own term.
func TestEntryOfOlderTermIsNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	config := consensus.Config{Members: []consensus.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}}
	old := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryCommand, Data: []byte("old")}
	node, err := consensus.NewNode("a", consensus.State{
		HardState: consensus.HardState{Term: 2}, Snapshot: consensus.Snapshot{Config: config}, Entries: []consensus.Entry{old},
	}, consensus.DefaultOptions(), now)
	is.NoErr(err)
	flush := func() { node.Persisted(node.Ready()) }
	now = now.Add(2 * time.Second)
	node.Tick(now)
	flush()
	node.Step(now, consensus.Message{Kind: consensus.MessagePreVoteResponse, From: "b", To: "a", Term: 3})
	flush()
	node.Step(now, consensus.Message{Kind: consensus.MessageVoteResponse, From: "b", To: "a", Term: 3})
	flush()
	is.Equal(node.Role(), consensus.RoleLeader)
	node.Step(now, consensus.Message{Kind: consensus.MessageAppendResponse, From: "b", To: "a", Term: 3, Match: 1})
	is.Equal(node.Commit(), uint64(0))
	node.Step(now, consensus.Message{Kind: consensus.MessageAppendResponse, From: "b", To: "a", Term: 3, Match: 2})
	is.Equal(node.Commit(), uint64(2))
}
