package settingsync_test

import (
	"context"
	"crypto/ed25519"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/link"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// TestOutdatedKeeperRejectsWaitingRequests covers a keeper that learns of no change while
// daemons still reach it: it is partitioned from the others, or its disk stalls. A daemon
// whose request waits there for a newer version would miss every change, so the keeper
// must reject it, also when it is waiting already.
func TestOutdatedKeeperRejectsWaitingRequests(t *testing.T) {
	is := is.New(t)
	tokens := auth.NewTokens("a-token-for-the-tests")
	const limit = time.Second
	fresh := settingsync.NewFreshness(limit)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	rep := settingsync.NewReplica(func() []ed25519.PublicKey { return []ed25519.PublicKey{key.Public().(ed25519.PublicKey)} })
	tree := settings.NewTree()
	_, err := rep.Apply(settingsync.Update{Version: 1, Digest: tree.Digest(), Signature: settingsync.Sign(key, 1, tree.Digest()), Tree: tree.Nodes})
	is.NoErr(err)
	mux := link.NewMux()
	settingsync.Serve(mux, rep, fresh)
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
	is.True(request(1, 20*time.Second) != nil) // Rejected at once, before the wait of 20 s ends.
	is.NoErr(request(0, 20*time.Second))       // An update that is already available is still returned.
	is.NoErr(request(1, 0))
	fresh.Confirm(time.Now().Add(-limit)) // Too old to count.
	is.True(request(1, 20*time.Second) != nil)
	confirmed := time.Now()
	fresh.Confirm(confirmed)
	is.NoErr(request(1, 50*time.Millisecond))
	is.True(request(1, 20*time.Second) != nil) // Rejected when the confirmation expires.
	took := time.Since(confirmed)
	is.True(took >= limit && took < 5*time.Second)
	for range 5 { // A request may wait for longer than one confirmation counts.
		time.AfterFunc(limit/4, func() { fresh.Confirm(time.Now()) })
		fresh.Confirm(time.Now())
		is.NoErr(request(1, limit/2))
	}
}
