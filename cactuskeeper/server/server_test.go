package server_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactuskeeper/keeper"
	"cactusstream.example/cactuskeeper/server"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/wal"
)

const (
	groupSize = 5
	// catchUpTime is how long after its start the platform counts a machine as lost.
	catchUpTime = 4 * time.Second
	// waitTimeout is longer than any step takes on a loaded machine.
	waitTimeout = 60 * time.Second
)

var groupCount atomic.Int64

// group is a set of keepers that discover each other by three seeds.
type group struct {
	t   *testing.T
	dir string
	// number distinguishes the groups of this process.
	number int
	seeds  []string
	nodes  []*node
	// disks holds the disk of each data folder, if the test fills them.
	disks map[string]*fullDisk
}

// node is a running keeper.
type node struct {
	index  int
	server *server.Server
	cancel context.CancelFunc
}

func newGroup(t *testing.T, size int) *group {
	t.Helper()
	gr := &group{t: t, dir: t.TempDir(), nodes: make([]*node, size), number: int(groupCount.Add(1))}
	for index := range 3 {
		gr.seeds = append(gr.seeds, gr.address(2*index))
	}
	t.Cleanup(func() {
		for index := range gr.nodes {
			gr.kill(index)
		}
	})
	return gr
}

// newCompleteGroup returns a group of groupSize running keepers that has accepted its
// first change, with room for size keepers.
func newCompleteGroup(t *testing.T, size int) *group {
	t.Helper()
	gr := newGroup(t, size)
	for index := range groupSize {
		gr.start(index, true)
	}
	gr.until("complete group", func() bool { return gr.voters() == groupSize })
	gr.change(1, 0)
	return gr
}

// address returns a loopback address that is unique to the group and the process.
// Outgoing connections use 127.0.0.1 as their source, so they can't occupy the
// port before a keeper listens on it.
func (gr *group) address(number int) string {
	return fmt.Sprintf("127.%d.%d.%d:7000", 100+os.Getpid()%100, gr.number, number+1)
}

func (gr *group) folder(index int) string {
	return filepath.Join(gr.dir, fmt.Sprint("keeper-", index))
}

func (gr *group) start(index int, first bool) {
	gr.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	srv, err := server.New(ctx, server.Options{
		Config:     process.Config{ID: fmt.Sprint("k", index), Zone: "z", PeerAddress: gr.address(2 * index), OperatorAddress: gr.address(2*index + 1)},
		DataFolder: gr.folder(index), FleetTokens: auth.NewTokens("a-token-for-the-tests"), OperatorTokens: auth.NewTokens("a-token-for-the-tests"),
		Log: events.Discard(), SigningKey: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		OpenDisk: gr.openDisk,
		Group:    &server.Group{IsFirstStart: first, PublicAddress: gr.address(2*index + 1), Seeds: func() []string { return gr.seeds }, Size: groupSize},
	})
	if err != nil {
		gr.t.Fatal(err)
	}
	if err := srv.Start(ctx); err != nil {
		gr.t.Fatal(err)
	}
	gr.nodes[index] = &node{index: index, server: srv, cancel: cancel}
}

// openDisk opens a data folder, on a disk that may be full.
func (gr *group) openDisk(path string) (wal.Disk, error) {
	folder, err := wal.OpenFolder(path)
	if err != nil || gr.disks == nil {
		return folder, err
	}
	gr.disks[path] = &fullDisk{Folder: folder}
	return gr.disks[path], nil
}

// kill cancels the context of a keeper before Stop, the most abrupt end that is
// possible inside one process.
func (gr *group) kill(index int) {
	nd := gr.nodes[index]
	if nd == nil {
		return
	}
	gr.nodes[index] = nil
	nd.cancel()
	nd.server.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = nd.server.Stop(ctx)
}

// stop shuts a keeper down as a signal to its process does.
func (gr *group) stop(index int) {
	gr.t.Helper()
	nd := gr.nodes[index]
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := nd.server.Stop(ctx); err != nil {
		gr.t.Error(err)
	}
	nd.cancel()
	nd.server.Wait()
	gr.nodes[index] = nil
}

// leader returns the index of the leader, or -1 if there is none.
func (gr *group) leader() int {
	for index, nd := range gr.nodes {
		if nd == nil {
			continue
		}
		if part, _ := nd.server.Keeper().Dump()["consensus"].(map[string]any); part["role"] == "leader" {
			return index
		}
	}
	return -1
}

// change makes a labelled change through the first keeper that accepts it.
func (gr *group) change(label, base uint64) {
	gr.t.Helper()
	rep := keeper.Replacement{ID: fmt.Sprint("change-", label), Label: label, Base: base, Build: func(tree *settings.Tree) *settings.Tree {
		return tree.Apply([]settings.Edit{{Path: "acme", Key: "deadline", Value: fmt.Sprintf("%ds", label)}})
	}}
	var lastErr error
	defer func() {
		if gr.t.Failed() {
			gr.t.Logf("last error: %v", lastErr)
			gr.dump()
		}
	}()
	gr.until("change accepted", func() bool {
		for _, nd := range gr.nodes {
			if nd == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := nd.server.Keeper().Replace(ctx, rep)
			cancel()
			if err == nil {
				return true
			}
			lastErr = err
		}
		return false
	})
}

// dump logs the consensus state of every keeper.
func (gr *group) dump() {
	for index, nd := range gr.nodes {
		if nd != nil {
			gr.t.Logf("keeper %d: %v", index, nd.server.Keeper().Dump()["consensus"])
		}
	}
}

// newest returns the newest label that a quorum confirms.
func (gr *group) newest() uint64 {
	gr.t.Helper()
	var label uint64
	gr.until("read confirmed by a quorum", func() bool {
		for _, nd := range gr.nodes {
			if nd == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := nd.server.Keeper().LinearizableView(ctx, func(store *settings.Store) { label = store.Label() })
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
	return label
}

// voters returns how many running keepers are voters in the leader's
// configuration under their current identity, or 0 without a leader.
func (gr *group) voters() int {
	members := gr.members()
	voters := 0
	for _, peer := range gr.nodes {
		if peer != nil && members.IsVoter(peer.server.Keeper().ID()) {
			voters++
		}
	}
	return voters
}

// members returns the configuration of the leader, which is empty without one.
func (gr *group) members() consensus.Config {
	for _, nd := range gr.nodes {
		if nd == nil {
			continue
		}
		if part, _ := nd.server.Keeper().Dump()["consensus"].(map[string]any); part["role"] == "leader" {
			members, _ := part["members"].([]consensus.Member)
			return consensus.Config{Members: members}
		}
	}
	return consensus.Config{}
}

// until waits for a condition and fails the test after waitTimeout.
func (gr *group) until(what string, condition func() bool) {
	gr.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(end) {
			gr.t.Fatalf("no %s within %s", what, waitTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestGroupFormsInAnyOrderAndRepairsItself starts the keepers in several orders,
// then removes one data folder after the other while settings change. Each
// replaced keeper must become a voter again, and no accepted change may be lost.
func TestGroupFormsInAnyOrderAndRepairsItself(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 4, 0, 3, 1}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			is := is.New(t)
			gr := newGroup(t, groupSize)
			for _, index := range order {
				gr.start(index, true)
			}
			gr.until("complete group", func() bool { return gr.voters() == groupSize })
			gr.change(1, 0)
			label := uint64(1)
			for _, index := range order[:3] { // Three losses in total; two may happen at the same time.
				gr.kill(index)
				is.NoErr(os.RemoveAll(gr.folder(index)))
				gr.change(label+1, label)
				label++
				gr.start(index, false)
				start := time.Now()
				gr.until("repaired group", func() bool { return gr.voters() == groupSize && gr.newest() == label })
				t.Logf("repaired after %s", time.Since(start).Round(time.Millisecond))
			}
			is.Equal(gr.newest(), label)
		})
	}
}

// TestTwoDisksLostRightAfterCommit kills all keepers right after a change
// was accepted and removes two data folders, the most that a group of five
// tolerates. The change must survive, and a retry of it must not apply it twice.
func TestTwoDisksLostRightAfterCommit(t *testing.T) {
	is := is.New(t)
	gr := newGroup(t, groupSize)
	for index := range groupSize {
		gr.start(index, true)
	}
	gr.until("complete group", func() bool { return gr.voters() == groupSize })
	gr.change(1, 0)
	gr.change(5, 1)
	var all sync.WaitGroup
	for index := range groupSize {
		all.Go(func() { gr.kill(index) })
	}
	all.Wait()
	for _, index := range []int{0, 3} {
		is.NoErr(os.RemoveAll(gr.folder(index)))
	}
	for index := range groupSize {
		gr.start(index, false)
	}
	is.Equal(gr.newest(), uint64(5))
	gr.until("repaired group", func() bool { return gr.voters() == groupSize })
	gr.change(5, 1) // A retry returns the recorded change and does not apply it again.
	is.Equal(gr.newest(), uint64(5))
}

// TestKeeperThatRestartsDuringTheFirstStart kills keepers while the whole system starts
// for the first time, and starts them again as the platform does: it isn't their first
// start then. The group must form all the same.
func TestKeeperThatRestartsDuringTheFirstStart(t *testing.T) {
	cases := []struct {
		name   string
		killed []int
		wiped  bool
	}{
		{"the first seed", []int{0}, false},
		{"another seed", []int{1}, false},
		{"no seed", []int{4}, false},
		{"all", []int{0, 1, 2, 3, 4}, false},
		{"two without their disks", []int{2, 3}, true},
		{"the first seed without its disk", []int{0}, true},
		{"the first seed and another one without their disks", []int{0, 1}, true},
		{"the first seed and no seed without their disks", []int{0, 4}, true},
	}
	for _, tc := range cases {
		for _, after := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(tc.name, " after ", after), func(t *testing.T) {
				is := is.New(t)
				gr := newGroup(t, groupSize)
				for index := range groupSize {
					gr.start(index, true)
				}
				time.Sleep(after)
				for _, index := range tc.killed {
					gr.kill(index)
					if tc.wiped {
						is.NoErr(os.RemoveAll(gr.folder(index)))
					}
				}
				for _, index := range tc.killed {
					gr.start(index, false)
				}
				gr.until("complete group", func() bool { return gr.voters() == groupSize })
				gr.change(1, 0)
			})
		}
	}
}

// TestGroupFormsWithoutIdentitiesOfTheFirstStart starts some keepers as the platform does if
// they ended during the first start before they had written their identities. If it was the
// first seed, another one must bootstrap the group.
func TestGroupFormsWithoutIdentitiesOfTheFirstStart(t *testing.T) {
	for _, without := range [][]int{{0}, {0, 1}, {0, 3}, {1, 2}} {
		t.Run(fmt.Sprint(without), func(t *testing.T) {
			gr := newGroup(t, groupSize)
			for index := range groupSize {
				gr.start(index, !slices.Contains(without, index))
			}
			gr.until("complete group", func() bool { return gr.voters() == groupSize })
			gr.change(1, 0)
		})
	}
}

// oldIdentity is the identity that the version before the agreement stores.
type oldIdentity struct {
	ID         string           `codec:"id"`
	Nonce      string           `codec:"nonce"`
	Initial    consensus.Config `codec:"initial"`
	FirstSeeds []string         `codec:"firstSeeds,omitempty"`
}

// storeOldIdentity writes the data folder of a keeper that an older version started for the
// first time.
func (gr *group) storeOldIdentity(index int) {
	gr.t.Helper()
	disk, err := wal.OpenFolder(gr.folder(index))
	if err != nil {
		gr.t.Fatal(err)
	}
	data, err := codec.Marshal(oldIdentity{ID: fmt.Sprint("old-", index), Nonce: auth.NewToken(), FirstSeeds: gr.seeds})
	if err != nil {
		gr.t.Fatal(err)
	}
	if err := disk.Replace("identity", data); err != nil {
		gr.t.Fatal(err)
	}
}

// TestGroupFormsWithOlderVersions starts keepers with data folders of the version before the
// agreement. They take no part in it and behave as that version does, and the group must form
// all the same.
func TestGroupFormsWithOlderVersions(t *testing.T) {
	for _, old := range [][]int{{0}, {1}, {4}, {1, 3}, {0, 1, 2, 3, 4}} {
		t.Run(fmt.Sprint(old), func(t *testing.T) {
			is := is.New(t)
			gr := newGroup(t, groupSize)
			for _, index := range old {
				gr.storeOldIdentity(index)
			}
			for index := range groupSize {
				gr.start(index, true)
			}
			gr.until("complete group", func() bool { return gr.voters() == groupSize })
			gr.change(1, 0)
			for _, index := range old {
				is.Equal(gr.nodes[index].server.Keeper().ID(), fmt.Sprint("old-", index))
			}
		})
	}
}

// TestNoGroupForms checks that no group is bootstrapped with fewer keepers than
// the group size, or when this is not the first start of the deployment.
func TestNoGroupForms(t *testing.T) {
	cases := []struct {
		name   string
		starts []int
		first  bool
	}{
		{"too few", []int{0, 1, 2, 3}, true},
		{"not the first start", []int{0, 1, 2, 3, 4}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			gr := newGroup(t, groupSize)
			for _, index := range tc.starts {
				gr.start(index, tc.first)
			}
			time.Sleep(2 * time.Second) // Several times as long as a group takes to form.
			is.Equal(gr.voters(), 0)
		})
	}
}

// TestStoppedKeeperDoesNotCountForTheQuorum replaces keepers as planned and then loses
// as many data folders as the group tolerates. A keeper that has been stopped for good
// must not count as a voter, or a third of six is missing and no change can be read.
func TestStoppedKeeperDoesNotCountForTheQuorum(t *testing.T) {
	cases := []struct {
		name string
		// successors is the number of keepers that are started, and of those that are
		// stopped after them.
		successors int
		// isLeaderStopped selects the leader as the first keeper to stop, and
		// isSuccessorReady whether the successors vote by then.
		isLeaderStopped, isSuccessorReady bool
	}{
		{"the leader", 1, true, true},
		{"a follower", 1, false, true},
		{"the leader before its successor votes", 1, true, false},
		{"a follower before its successor votes", 1, false, false},
		{"two in a row", 2, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			gr := newCompleteGroup(t, groupSize+tc.successors)
			for index := range tc.successors {
				gr.start(groupSize+index, false)
			}
			started := time.Now()
			if tc.isSuccessorReady {
				gr.until("successors that vote", func() bool { return gr.voters() == groupSize+tc.successors })
			}
			var stopped []int
			for range tc.successors {
				gr.until("leader", func() bool { return gr.leader() >= 0 })
				index := gr.leader()
				if !tc.isLeaderStopped {
					index = (index + 1) % groupSize
				}
				gr.stop(index)
				stopped = append(stopped, index)
			}
			if !tc.isSuccessorReady {
				time.Sleep(time.Until(started.Add(catchUpTime)))
			}
			gr.change(2, 1)
			var lost []int
			for index := range gr.nodes {
				if !slices.Contains(stopped, index) && len(lost) < 2 {
					gr.kill(index)
					is.NoErr(os.RemoveAll(gr.folder(index)))
					lost = append(lost, index)
				}
			}
			for _, index := range lost {
				gr.start(index, false)
			}
			is.Equal(gr.newest(), uint64(2))
			gr.until("repaired group", func() bool { return gr.voters() == groupSize })
		})
	}
}

// TestKeeperWithNewDiskJoinsWithoutSeeds replaces one of the three seeds and wipes the
// other two, so that a keeper with a new disk learns of the group only from the keepers
// that still send messages to its address.
func TestKeeperWithNewDiskJoinsWithoutSeeds(t *testing.T) {
	is := is.New(t)
	gr := newCompleteGroup(t, groupSize+1)
	gr.start(groupSize, false)
	gr.until("successor that votes", func() bool { return gr.voters() == groupSize+1 })
	gr.stop(0)
	for _, index := range []int{1, 2} {
		gr.kill(index)
		is.NoErr(os.RemoveAll(gr.folder(index)))
	}
	start := time.Now()
	for _, index := range []int{1, 2} {
		gr.start(index, false)
	}
	gr.until("repaired group", func() bool { return gr.voters() == groupSize })
	if took := time.Since(start); took > catchUpTime {
		t.Errorf("repaired after %s, want %s at most", took, catchUpTime)
	}
}

// TestRestartDoesNotShrinkTheGroup stops keepers one after the other and starts each
// again. Without a successor they must stay voters.
func TestRestartDoesNotShrinkTheGroup(t *testing.T) {
	is := is.New(t)
	gr := newCompleteGroup(t, groupSize)
	for index := range groupSize {
		id := gr.nodes[index].server.Keeper().ID()
		gr.stop(index)
		gr.until("leader", func() bool { return gr.leader() >= 0 })
		is.True(gr.members().IsVoter(id)) // It comes back as the voter that it was.
		gr.start(index, false)
		gr.until("complete group", func() bool { return gr.voters() == groupSize })
	}
	is.Equal(gr.newest(), uint64(1))
}
