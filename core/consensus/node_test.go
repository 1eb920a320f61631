package consensus_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/consensus"
)

// TestSchedules runs seeded schedules; each one checks log matching, that
// nothing acknowledged is lost, and that the keepers recover.
func TestSchedules(t *testing.T) {
	const schedules = 1500
	if testing.Short() {
		t.Skip("long")
	}
	started := time.Now()
	for seed := range uint64(schedules) {
		sizes := []int{3, 5, 7}
		si := newSim(t, seed, sizes[seed%3])
		for range 250 {
			if si.rng.IntN(6) == 0 {
				si.disturb(t)
			}
			if si.rng.IntN(3) == 0 {
				si.propose()
			}
			si.step(0.002)
		}
		si.heal()
		si.checkSettled(seed)
	}
	t.Logf("seeds 0 to %d, %.0f schedules a second", schedules-1, schedules/time.Since(started).Seconds())
}

func settle(si *sim, d time.Duration) {
	for end := si.now.Add(d); si.now.Before(end); {
		si.step(0)
	}
}

func settledLeader(t *testing.T, si *sim) *simNode {
	t.Helper()
	settle(si, 3*time.Second)
	leader := si.leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	return leader
}

func TestOneWayCutDeposesNobody(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 1, 3)
	leader := settledLeader(t, si)
	term := leader.node.Term()
	deaf := si.ids[0]
	if deaf == leader.id {
		deaf = si.ids[1]
	}
	// The follower no longer hears the leader, but is heard by all.
	si.cut[[2]string{leader.id, deaf}] = true
	settle(si, 20*time.Second)
	is.Equal(si.leader().id, leader.id)
	is.Equal(leader.node.Term(), term) // The good leader keeps its term.
}

func TestLeaderWithoutAnswersStepsDown(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 2, 3)
	leader := settledLeader(t, si)
	for _, id := range si.ids {
		si.cut[[2]string{id, leader.id}] = true // It is heard, but hears nobody.
	}
	settle(si, 2*time.Second)
	is.True(leader.node.Role() != consensus.RoleLeader)
	settle(si, 5*time.Second)
	is.True(si.leader() != nil && si.leader().id != leader.id)
}

func TestFrozenLeaderReadsNothingStale(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 3, 3)
	old := settledLeader(t, si)
	old.froze = si.now.Add(10 * time.Second)
	settle(si, 5*time.Second)
	fresh := si.leader()
	is.True(fresh != nil && fresh.id != old.id)
	si.propose()
	settle(si, 5500*time.Millisecond)
	if old.node.Role() == consensus.RoleLeader {
		is.NoErr(old.node.Read(si.now, 7))
		si.flush(old, 0)
		settle(si, 2*time.Second)
		for _, read := range old.node.TakeReads() {
			is.True(!read.OK) // A deposed leader confirms no read.
		}
	}
	is.True(old.node.Role() != consensus.RoleLeader)
}

func TestReadIsConfirmed(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 4, 5)
	leader := settledLeader(t, si)
	is.NoErr(leader.node.Read(si.now, 11))
	si.flush(leader, 0)
	settle(si, time.Second)
	reads := leader.node.TakeReads()
	is.Equal(len(reads), 1)
	is.True(reads[0].OK)
}

func TestMembersChangeOneAtATime(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 5, 3)
	leader := settledLeader(t, si)
	_, err := leader.node.AddLearner(si.now, consensus.Member{ID: "k4"})
	is.NoErr(err)
	_, err = leader.node.AddLearner(si.now, consensus.Member{ID: "k5"})
	is.True(errors.Is(err, consensus.ErrBusy))
	si.flush(leader, 0)
	_, err = leader.node.Promote(si.now, "k4")
	is.True(errors.Is(err, consensus.ErrNotCaughtUp)) // It runs nowhere yet.
	si.add("k4", consensus.State{})
	settle(si, time.Second)
	_, err = leader.node.Promote(si.now, "k4")
	is.NoErr(err)
	si.flush(leader, 0)
	settle(si, time.Second)
	is.True(leader.node.Config().IsVoter("k4"))
}

func TestRemovalThatLosesTheQuorumIsRefused(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 6, 3)
	leader := settledLeader(t, si)
	var others []string
	for _, id := range si.ids {
		if id != leader.id {
			others = append(others, id)
		}
	}
	si.nodes[others[0]].up = false
	settle(si, time.Second)
	_, err := leader.node.Remove(si.now, others[1])
	is.True(errors.Is(err, consensus.ErrQuorumAtRisk))
}

func TestSnapshotInPiecesReachesALearner(t *testing.T) {
	is := is.New(t)
	si := newSim(t, 7, 3)
	leader := settledLeader(t, si)
	for range 30 {
		si.propose()
		si.step(0)
	}
	settle(si, time.Second)
	si.compact(leader)
	_, err := leader.node.AddLearner(si.now, consensus.Member{ID: "k4"})
	is.NoErr(err)
	si.flush(leader, 0)
	si.add("k4", consensus.State{})
	settle(si, 2*time.Second)
	is.Equal(si.nodes["k4"].node.Applied(), leader.node.Applied())
	is.True(len(si.nodes["k4"].disk.Snapshot.Data) > 16) // It came in several pieces.
}

// TestEntryOfAnOlderTermIsNotCommittedByCounting is the case of figure 8 of the
// Raft paper: an entry of an older term that a majority stores may still be
// replaced, so it is committed only together with one of the leader's own term.
func TestEntryOfAnOlderTermIsNotCommittedByCounting(t *testing.T) {
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
	node.Step(now, consensus.Message{Kind: consensus.MessagePreVoteAnswer, From: "b", To: "a", Term: 3})
	flush()
	node.Step(now, consensus.Message{Kind: consensus.MessageVoteAnswer, From: "b", To: "a", Term: 3})
	flush()
	is.Equal(node.Role(), consensus.RoleLeader)
	node.Step(now, consensus.Message{Kind: consensus.MessageAppendAnswer, From: "b", To: "a", Term: 3, Match: 1})
	is.Equal(node.Commit(), uint64(0))
	node.Step(now, consensus.Message{Kind: consensus.MessageAppendAnswer, From: "b", To: "a", Term: 3, Match: 2})
	is.Equal(node.Commit(), uint64(2))
}
