package keeper

import (
	"context"
	"crypto/ed25519"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
	"cactusstream.example/core/wal"
)

// stallingDisk is a Disk whose syncs wait while it is locked.
type stallingDisk struct {
	wal.Folder
	stall sync.Mutex
}

type stallingFile struct {
	wal.File
	disk *stallingDisk
}

func (sd *stallingDisk) Append(name string) (wal.File, error) {
	file, err := sd.Folder.Append(name)
	return &stallingFile{File: file, disk: sd}, err
}

func (sf *stallingFile) Sync() error {
	sf.disk.stall.Lock()
	defer sf.disk.stall.Unlock()
	return sf.File.Sync()
}

// startKeeper runs the only keeper of a group until the end of the test. It has its first
// settings when startKeeper returns.
func startKeeper(t *testing.T, disk wal.Disk, mux *link.Mux) *Keeper {
	t.Helper()
	is := is.New(t)
	_, err := Initialise(disk, "k1", consensus.Config{Members: []consensus.Member{{ID: "k1", Voter: true}}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ke, err := Open(ctx, Options{
		Clock: clock.Real{}, Consensus: consensus.DefaultOptions(), Disk: disk, Log: events.Discard(), Metrics: metrics.NewRegistry(), Mux: mux,
		PeerAddress: "127.0.0.1:1", Pool: link.NewPool("k1", auth.NewTokens("a-token-for-the-tests"), link.NewMux()), SigningKey: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
	})
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ke.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	firstCtx, stopWaiting := context.WithTimeout(ctx, 30*time.Second)
	defer stopWaiting()
	ke.Replica().Wait(firstCtx, 0)
	return ke
}

// TestStalledKeeperSendsDaemonsAway stalls the disk of a keeper while it stores a change.
// It learns of no change until the sync ends, so a daemon that waits there for newer
// settings must be told to ask another keeper within a second.
func TestStalledKeeperSendsDaemonsAway(t *testing.T) {
	is := is.New(t)
	folder, err := wal.OpenFolder(t.TempDir())
	is.NoErr(err)
	disk := &stallingDisk{Folder: folder}
	tokens := auth.NewTokens("a-token-for-the-tests")
	mux := link.NewMux()
	links := link.NewServer(mux, tokens, func(*http.Request) {})
	srv := httptest.NewServer(links)
	defer srv.Close()
	defer links.Close()
	ke := startKeeper(t, disk, mux)
	ctx := context.Background()
	version := ke.CurrentSettings().Version
	is.Equal(version, uint64(1))

	pool := link.NewPool("d", tokens, link.NewMux())
	defer pool.Close()
	poll := func(wait time.Duration) error {
		_, err := link.Call[settingsync.Request, settingsync.EncodedUpdate](ctx, pool, strings.TrimPrefix(srv.URL, "http://"), settingsync.MethodGet, settingsync.Request{Have: version, WaitMS: wait.Milliseconds()})
		return err
	}
	is.NoErr(poll(50 * time.Millisecond)) // There is nothing newer, and the keeper knows it.

	disk.stall.Lock()
	proposed := make(chan error, 1)
	go func() {
		_, _, err := ke.Propose(ctx, settings.Proposal{ID: "change", Expect: version, Edits: []settings.Edit{{Path: "*", Key: "deadline", Value: "7s"}}})
		proposed <- err
	}()
	start := time.Now()
	err = poll(5 * time.Second)
	took := time.Since(start)
	disk.stall.Unlock()
	is.True(err != nil)         // The keeper can't know whether there is anything newer.
	is.True(took < time.Second) // The daemon has 2 s in all.
	is.NoErr(<-proposed)        // Accepted once the sync has ended.
	recovered := time.Now()
	for poll(50*time.Millisecond) != nil { // The keeper confirms its settings right after it has applied the change.
		is.True(time.Since(recovered) < time.Second)
	}
}
