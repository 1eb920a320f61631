package settingsync_test

import (
	"context"
	"crypto/ed25519"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/link"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// TestKeeperWithoutLeaderRejectsWaitingRequests covers a keeper that is partitioned
// from the other keepers while daemons still reach it. A daemon whose request waits
// there for a newer version would miss every change, so the keeper must reject it.
func TestKeeperWithoutLeaderRejectsWaitingRequests(t *testing.T) {
	is := is.New(t)
	tokens := auth.NewTokens("a-token-for-the-tests")
	var current atomic.Bool
	current.Store(true)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	rep := settingsync.NewReplica(func() []ed25519.PublicKey { return []ed25519.PublicKey{key.Public().(ed25519.PublicKey)} })
	tree := settings.NewTree()
	_, err := rep.Apply(settingsync.Update{Version: 1, Digest: tree.Digest(), Signature: settingsync.Sign(key, 1, tree.Digest()), Tree: tree.Nodes})
	is.NoErr(err)
	mux := link.NewMux()
	settingsync.Serve(mux, rep, current.Load)
	srv := httptest.NewServer(link.NewServer(mux, tokens, func(*http.Request) {}))
	defer srv.Close()
	pool := link.NewPool("d", tokens, link.NewMux())
	defer pool.Close()
	request := func(have uint64, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_, err := link.Call[settingsync.Request, settingsync.EncodedUpdate](ctx, pool, strings.TrimPrefix(srv.URL, "http://"), settingsync.MethodGet, settingsync.Request{Have: have, WaitMS: wait.Milliseconds()})
		return err
	}
	is.NoErr(request(1, 50*time.Millisecond))
	current.Store(false)
	is.True(request(1, 20*time.Second) != nil) // Rejected at once, before the wait of 20 s ends.
	is.NoErr(request(0, 20*time.Second))       // An update that is already available is still returned.
	is.NoErr(request(1, 0))
}
