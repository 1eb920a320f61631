package spread_test

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
	"cactusstream.example/core/spread"
)

// TestKeeperOutOfTouchKeepsNobodyWaiting is a keeper that was cut off from the
// others while daemons still reach it: those who wait there for news would miss
// every change.
func TestKeeperOutOfTouchKeepsNobodyWaiting(t *testing.T) {
	is := is.New(t)
	tokens := auth.NewTokens("a-token-for-the-tests")
	var current atomic.Bool
	current.Store(true)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	hol := spread.NewHolder(func() []ed25519.PublicKey { return []ed25519.PublicKey{key.Public().(ed25519.PublicKey)} })
	tree := settings.NewTree()
	_, err := hol.Apply(spread.Update{Version: 1, Digest: tree.Digest(), Signature: spread.Sign(key, 1, tree.Digest()), Tree: tree.Nodes})
	is.NoErr(err)
	mux := link.NewMux()
	spread.Serve(mux, hol, current.Load)
	srv := httptest.NewServer(link.NewServer(mux, tokens, func(*http.Request) {}))
	defer srv.Close()
	pool := link.NewPool("d", tokens, link.NewMux())
	defer pool.Close()
	ask := func(have uint64, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_, err := link.Call[spread.Request, spread.Packed](ctx, pool, strings.TrimPrefix(srv.URL, "http://"), spread.MethodGet, spread.Request{Have: have, WaitMS: wait.Milliseconds()})
		return err
	}
	is.NoErr(ask(1, 50*time.Millisecond))
	current.Store(false)
	is.True(ask(1, 20*time.Second) != nil) // Sent away at once, or the call would time out.
	is.NoErr(ask(0, 20*time.Second))       // What it has is of use all the same.
	is.NoErr(ask(1, 0))
}
