package keeper

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/wal"
)

// BenchmarkStart measures how long a keeper takes to open a data folder with a
// given number of changes, and the size of the folder.
func BenchmarkStart(b *testing.B) {
	for _, changes := range []int{500, 5000, 50000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			dir := b.TempDir()
			opts := benchOptions(b, dir)
			fillDataFolder(b, opts.Disk, changes)
			for b.Loop() {
				opts.Mux = link.NewMux()
				ctx, cancel := context.WithCancel(context.Background())
				ke, err := Open(ctx, opts)
				if err != nil {
					b.Fatal(err)
				}
				cancel()
				_ = ke.log.Close()
			}
			b.ReportMetric(float64(folderSize(b, dir))/(1<<20), "MB")
		})
	}
}

func benchOptions(b *testing.B, dir string) Options {
	b.Helper()
	disk, err := wal.OpenFolder(filepath.Join(dir, "data"))
	if err != nil {
		b.Fatal(err)
	}
	tokenFile := filepath.Join(dir, "token")
	if err := os.WriteFile(tokenFile, []byte("a-token-for-the-tests"), 0o600); err != nil {
		b.Fatal(err)
	}
	tokens, err := auth.OpenTokens(tokenFile)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := Initialise(disk, "k1", consensus.Config{Members: []consensus.Member{{ID: "k1", Voter: true}}}); err != nil {
		b.Fatal(err)
	}
	return Options{
		Clock: clock.Real{}, Consensus: consensus.DefaultOptions(), Disk: disk, Log: events.Discard(), Metrics: metrics.NewRegistry(),
		PeerAddress: "127.0.0.1:1", Pool: link.NewPool("k1", tokens, link.NewMux()), SigningKey: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
	}
}

// fillDataFolder writes the data folder of a keeper after a number of changes: a
// snapshot of the older ones, and the rest in the log.
func fillDataFolder(b *testing.B, disk wal.Disk, changes int) {
	b.Helper()
	store := settings.NewStore()
	apply := func(pro settings.Proposal) {
		if _, _, err := store.Apply(pro); err != nil {
			b.Fatal(err)
		}
	}
	apply(settings.Proposal{ID: initialChangeID, Edits: settings.Diff(&settings.Tree{}, settings.NewTree())})
	inLog := min(changes/2, compactThreshold-1)
	for store.Version() < uint64(changes-inLog) {
		apply(proposal(store.Version()))
	}
	log, _, err := wal.Open(disk)
	if err != nil {
		b.Fatal(err)
	}
	data, err := codec.Marshal(store.State())
	if err != nil {
		b.Fatal(err)
	}
	index := store.Version()
	config := consensus.Config{Members: []consensus.Member{{ID: "k1", Voter: true}}}
	if err := log.SaveSnapshot(consensus.Snapshot{Index: index, Term: 1, Config: config, Data: data}, consensus.HardState{Term: 1}, nil); err != nil {
		b.Fatal(err)
	}
	var entries []consensus.Entry
	for number := range uint64(inLog) {
		data, err := codec.Marshal(proposal(index + number))
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, consensus.Entry{Index: index + number + 1, Term: 1, Kind: consensus.EntryCommand, Data: data})
	}
	if err := log.Append(nil, entries); err != nil {
		b.Fatal(err)
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
}

func proposal(expect uint64) settings.Proposal {
	return settings.Proposal{
		ID: fmt.Sprintf("0193a0b0-0000-7000-8000-%012d", expect), Author: "operator", Reason: "a reason of usual length", Time: time.Unix(1_700_000_000, 0), Expect: expect,
		Edits: []settings.Edit{{Path: fmt.Sprintf("firm-%d", expect%500), Key: "deadline", Value: fmt.Sprintf("%dms", 1000+expect%9)}},
	}
}

func folderSize(b *testing.B, dir string) int64 {
	b.Helper()
	var size int64
	err := filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			size += info.Size()
		}
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	return size
}
