package server_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactuskeeper/keeper"
	"cactusstream.example/cactuskeeper/server"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

const (
	groupSize = 5
	// patience is longer than any step here takes on a busy machine.
	patience = 60 * time.Second
)

var groups atomic.Int64

// group is keepers that find each other by three seeds.
type group struct {
	t   *testing.T
	dir string
	// number tells the groups of this process apart.
	number int
	seeds  []string
	nodes  []*node
}

// node is one keeper; it can be stopped, lose its disk and start again.
type node struct {
	at     int
	server *server.Server
	cancel context.CancelFunc
}

func newGroup(t *testing.T, size int) *group {
	t.Helper()
	gr := &group{t: t, dir: t.TempDir(), nodes: make([]*node, size), number: int(groups.Add(1))}
	for at := range 3 {
		gr.seeds = append(gr.seeds, gr.address(2*at))
	}
	t.Cleanup(func() {
		for at := range gr.nodes {
			gr.kill(at)
		}
	})
	return gr
}

// address returns one of the group's own addresses: connections that others make
// come from 127.0.0.1, and can't take its port before a keeper listens on it.
func (gr *group) address(number int) string {
	return fmt.Sprintf("127.%d.%d.%d:7000", 100+os.Getpid()%100, gr.number, number+1)
}

func (gr *group) folder(at int) string {
	return filepath.Join(gr.dir, fmt.Sprint("keeper-", at))
}

func (gr *group) start(at int, first bool) {
	gr.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	srv, err := server.New(ctx, server.Options{
		Config:     process.Config{ID: fmt.Sprint("k", at), Zone: "z", PeerAddress: gr.address(2 * at), OperatorAddress: gr.address(2*at + 1)},
		DataFolder: gr.folder(at), FleetTokens: auth.NewTokens("a-token-for-the-tests"), OperatorTokens: auth.NewTokens("a-token-for-the-tests"),
		Log: events.Discard(), SigningKey: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		Group: &server.Group{IsFirstStart: first, PublicAddress: gr.address(2*at + 1), Seeds: func() []string { return gr.seeds }, Size: groupSize},
	})
	if err != nil {
		gr.t.Fatal(err)
	}
	if err := srv.Start(ctx); err != nil {
		gr.t.Fatal(err)
	}
	gr.nodes[at] = &node{at: at, server: srv, cancel: cancel}
}

// kill ends a keeper as abruptly as one process can.
func (gr *group) kill(at int) {
	no := gr.nodes[at]
	if no == nil {
		return
	}
	gr.nodes[at] = nil
	no.cancel()
	no.server.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = no.server.Stop(ctx)
}

// change makes a labelled change at whichever keeper can decide it.
func (gr *group) change(label, base uint64) {
	gr.t.Helper()
	rep := keeper.Replacement{ID: fmt.Sprint("change-", label), Label: label, Base: base, Build: func(tree *settings.Tree) *settings.Tree {
		return tree.Apply([]settings.Edit{{Path: "acme", Key: "deadline", Value: fmt.Sprintf("%ds", label)}})
	}}
	var last error
	defer func() {
		if gr.t.Failed() {
			gr.t.Logf("the last error: %v", last)
			gr.dump()
		}
	}()
	gr.until("change accepted", func() bool {
		for _, no := range gr.nodes {
			if no == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := no.server.Keeper().Replace(ctx, rep)
			cancel()
			if err == nil {
				return true
			}
			last = err
		}
		return false
	})
}

// dump logs what every keeper knows of the group.
func (gr *group) dump() {
	for at, no := range gr.nodes {
		if no != nil {
			gr.t.Logf("keeper %d: %v", at, no.server.Keeper().Dump()["consensus"])
		}
	}
}

// newest returns what a keeper that is sure of it calls the newest label.
func (gr *group) newest() uint64 {
	gr.t.Helper()
	var label uint64
	gr.until("a read that a quorum confirms", func() bool {
		for _, no := range gr.nodes {
			if no == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := no.server.Keeper().Newest(ctx, func(store *settings.Store) { label = store.Label() })
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
	return label
}

// voters returns how many of the running keepers the leader counts as voters,
// each with the disk that it has now, or 0 without a leader.
func (gr *group) voters() int {
	for _, no := range gr.nodes {
		if no == nil {
			continue
		}
		part, _ := no.server.Keeper().Dump()["consensus"].(map[string]any)
		if part["role"] != "leader" {
			continue
		}
		members, _ := part["members"].([]consensus.Member)
		voters := 0
		for _, other := range gr.nodes {
			if other != nil && (consensus.Config{Members: members}).IsVoter(other.server.Keeper().ID()) {
				voters++
			}
		}
		return voters
	}
	return 0
}

func (gr *group) until(what string, holds func() bool) {
	gr.t.Helper()
	end := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(end) {
			gr.t.Fatalf("no %s within %s", what, patience)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestGroupFormsInAnyOrderAndRepairsItself starts keepers in several orders, then
// takes disks away one after the other, and changes the settings all the while.
func TestGroupFormsInAnyOrderAndRepairsItself(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 4, 0, 3, 1}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			is := is.New(t)
			gr := newGroup(t, groupSize)
			for _, at := range order {
				gr.start(at, true)
			}
			gr.until("whole group", func() bool { return gr.voters() == groupSize })
			gr.change(1, 0)
			label := uint64(1)
			for _, at := range order[:3] { // More disks than may be lost at once, one after the other.
				gr.kill(at)
				is.NoErr(os.RemoveAll(gr.folder(at)))
				gr.change(label+1, label)
				label++
				gr.start(at, false)
				began := time.Now()
				gr.until("repaired group", func() bool { return gr.voters() == groupSize && gr.newest() == label })
				t.Logf("repaired after %s", time.Since(began).Round(time.Millisecond))
			}
			is.Equal(gr.newest(), label)
		})
	}
}

// TestTwoDisksLostRightAfterAConfirmation loses as many disks as may be lost,
// with every other process killed at the same moment.
func TestTwoDisksLostRightAfterAConfirmation(t *testing.T) {
	is := is.New(t)
	gr := newGroup(t, groupSize)
	for at := range groupSize {
		gr.start(at, true)
	}
	gr.until("whole group", func() bool { return gr.voters() == groupSize })
	gr.change(1, 0)
	gr.change(5, 1)
	var all sync.WaitGroup
	for at := range groupSize {
		all.Go(func() { gr.kill(at) })
	}
	all.Wait()
	for _, at := range []int{0, 3} {
		is.NoErr(os.RemoveAll(gr.folder(at)))
	}
	for at := range groupSize {
		gr.start(at, false)
	}
	is.Equal(gr.newest(), uint64(5))
	gr.until("repaired group", func() bool { return gr.voters() == groupSize })
	gr.change(5, 1) // The writer sends it again: it is confirmed, not made anew.
	is.Equal(gr.newest(), uint64(5))
}

// TestNoGroupForms checks that nothing founds a group that must not.
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
			for _, at := range tc.starts {
				gr.start(at, tc.first)
			}
			time.Sleep(2 * time.Second) // Several times what a group takes to form.
			is.Equal(gr.voters(), 0)
		})
	}
}
