package settingsync_test

import (
	"crypto/ed25519"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

var organisationsKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func newOrganisationsReplica() *settingsync.Replica {
	return settingsync.NewReplica(func() []ed25519.PublicKey {
		return []ed25519.PublicKey{organisationsKey.Public().(ed25519.PublicKey)}
	})
}

// sign returns an update to a version whose tree is given.
func sign(version uint64, tree *settings.Tree) settingsync.Update {
	return settingsync.Update{Version: version, Digest: tree.Digest(), Signature: settingsync.Sign(organisationsKey, version, tree.Digest())}
}

// TestReplicaHoldsNoKeys guards against keys that reach daemons: a keeper applies its own
// changes, secret keys included, to the Replica that daemons follow. Daemons that follow
// it must reach the same digest.
func TestReplicaHoldsNoKeys(t *testing.T) {
	is := is.New(t)
	text, digests, err := settings.FormatKeys([]string{"hidden"})
	is.NoErr(err)
	edits := []settings.Edit{{Path: "acme", Key: settings.KeyKeys, Value: text}, {Path: "acme", Key: settings.KeyKeyDigests, Value: digests}}
	store := settings.NewStore()
	keeper, daemon := newOrganisationsReplica(), newOrganisationsReplica()
	publish := func(pro settings.Proposal) {
		_, _, err := store.Apply(pro)
		is.NoErr(err)
		upd := sign(store.Version(), store.Tree())
		upd.Changes = store.Since(keeper.Current().Version)
		if keeper.Current().Version == 0 {
			upd.Tree = store.Tree().Nodes
		}
		_, err = keeper.Apply(upd)
		is.NoErr(err)
	}
	follow := func() {
		upd := keeper.Since(daemon.Current().Version)
		data, err := codec.Marshal(upd)
		is.NoErr(err)
		is.True(!strings.Contains(string(data), "hidden"))
		_, err = daemon.Apply(upd)
		is.NoErr(err)
	}
	publish(settings.Proposal{ID: "a", Edits: append(settings.Diff(&settings.Tree{}, settings.NewTree()), edits...)})
	follow()
	is.True(daemon.Current().Organisations.ByKey("hidden") != nil)
	publish(settings.Proposal{ID: "b", Expect: 1, Edits: []settings.Edit{{Path: "acme", Key: settings.KeyKeys, Unset: true}, {Path: "acme", Key: settings.KeyKeyDigests, Unset: true}}})
	follow()
	is.True(daemon.Current().Organisations.ByKey("hidden") == nil) // With the version that removes it.
	publish(settings.Proposal{ID: "c", Expect: 2, Edits: edits})
	follow()
	is.True(daemon.Current().Organisations.ByKey("hidden") != nil)
	before := daemon.Current().Organisations
	publish(settings.Proposal{ID: "d", Expect: 3, Edits: []settings.Edit{{Path: "*/*/s", Key: "rank", Value: "1"}}})
	follow()
	is.True(daemon.Current().Organisations == before) // No organisation was edited.
	is.Equal(daemon.Current().Digest, store.Digest())
	is.True(strings.Contains(string(store.Tree().INI()), "hidden")) // The keepers keep it.
	fresh := newOrganisationsReplica()
	_, err = fresh.Apply(keeper.Since(0))
	is.NoErr(err)
	is.Equal(fresh.Current().Digest, store.Digest())
}

// organisationTree returns a tree with 3,900 routes and a number of organisations.
func organisationTree(count int) *settings.Tree {
	nodes := settings.NewTree().Nodes
	for number := range 3900 {
		nodes[fmt.Sprintf("*/*/service%d/r-%d", number%210, number)] = settings.Node{"path": fmt.Sprintf("/r/%d", number), "rank": "1", "target": "1s", "deadline": "3s", "idempotent": "true", "method": "ANY", "host": "h.example", "retryAttempts": "3", "annotations": ""}
	}
	for number := range count {
		nodes[fmt.Sprintf("org-%d", number)] = settings.Node{
			settings.KeyKeyDigests: settings.NewKeyDigest(fmt.Sprint(number)).String(), settings.KeyOrganisationRank: "1",
			settings.KeyQuotaRate: "5", settings.KeyQuotaBurst: "5",
		}
	}
	return &settings.Tree{Nodes: nodes}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkDaemonWithOrganisations measures what organisations cost a daemon: the live
// heap of its settings with all routes, and the time to apply a change.
func BenchmarkDaemonWithOrganisations(bench *testing.B) {
	for _, count := range []int{0, 80, 20000} {
		data := encodeUpdate(bench, count)
		bench.Run(fmt.Sprintf("%d/settings", count), func(bench *testing.B) {
			before := heapBytes()
			var replica *settingsync.Replica
			for bench.Loop() {
				replica = newOrganisationsReplica()
				upd, err := codec.Unmarshal[settingsync.Update](data)
				if err != nil {
					bench.Fatal(err)
				}
				if _, err := replica.Apply(upd); err != nil {
					bench.Fatal(err)
				}
			}
			bench.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
			bench.ReportMetric(float64(len(data))/1e6, "MB-encoded")
			runtime.KeepAlive(replica)
		})
		for name, edit := range map[string]settings.Edit{"route": {Path: "*/*/service1/r-1", Key: "rank", Value: "0"}, "limit": {Path: "org-7", Key: settings.KeyQuotaRate, Value: "6"}} {
			bench.Run(fmt.Sprintf("%d/change of a %s", count, name), func(bench *testing.B) { benchmarkChange(bench, data, edit) })
		}
	}
}

func encodeUpdate(bench *testing.B, count int) []byte {
	bench.Helper()
	tree := organisationTree(count)
	upd := sign(1, tree)
	upd.Tree = tree.Nodes
	data, err := codec.Marshal(upd)
	if err != nil {
		bench.Fatal(err)
	}
	return data
}

// benchmarkChange applies changes of one edit.
func benchmarkChange(bench *testing.B, data []byte, edit settings.Edit) {
	upd, err := codec.Unmarshal[settingsync.Update](data)
	if err != nil {
		bench.Fatal(err)
	}
	replica := newOrganisationsReplica()
	if _, err := replica.Apply(upd); err != nil {
		bench.Fatal(err)
	}
	for bench.Loop() {
		bench.StopTimer()
		now := replica.Current()
		next := sign(now.Version+1, now.Tree.Apply([]settings.Edit{edit}))
		next.Changes = []settings.Change{{Version: now.Version + 1, Edits: []settings.AppliedEdit{{Edit: edit}}}}
		bench.StartTimer()
		if _, err := replica.Apply(next); err != nil {
			bench.Fatal(err)
		}
	}
}
