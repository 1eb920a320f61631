package follower_test

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

	"cactusstream.example/cactusd/internal/follower"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// startPeer serves a process whose links call register for their handlers.
func startPeer(t *testing.T, tokens *auth.Tokens, register func(*link.Mux)) string {
	t.Helper()
	mux := link.NewMux()
	register(mux)
	server := link.NewServer(mux, tokens, func(*http.Request) {})
	srv := httptest.NewServer(server)
	t.Cleanup(srv.Close)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// TestSilentPeerDoesNotDelaySettings lets the settings be fetched from a peer whose link
// is open but silent, as after a one-way partition, while no keeper responds. Another
// peer has the same settings, which must be in force within the 2 s that the platform
// allows.
func TestSilentPeerDoesNotDelaySettings(t *testing.T) {
	const maxDelay = 2 * time.Second
	is := is.New(t)
	tokens := auth.NewTokens("a-token-for-the-tests")
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	keys := func() []ed25519.PublicKey { return []ed25519.PublicKey{key.Public().(ed25519.PublicKey)} }
	tree := settings.NewTree()
	source, replica := settingsync.NewReplica(keys), settingsync.NewReplica(keys)
	_, err := source.Apply(settingsync.Update{Version: 1, Digest: tree.Digest(), Signature: settingsync.Sign(key, 1, tree.Digest()), Tree: tree.Nodes})
	is.NoErr(err)
	_, err = replica.Apply(source.Since(0))
	is.NoErr(err)
	_, err = source.Apply(settingsync.Update{Version: 2, Digest: tree.Digest(), Signature: settingsync.Sign(key, 2, tree.Digest()), Tree: tree.Nodes})
	is.NoErr(err)

	silent := startPeer(t, tokens, func(mux *link.Mux) {
		link.Handle(mux, settingsync.MethodGet, func(ctx context.Context, _ string, _ settingsync.Request) (settingsync.EncodedUpdate, error) {
			<-ctx.Done()
			return settingsync.EncodedUpdate{}, ctx.Err()
		})
	})
	other := startPeer(t, tokens, func(mux *link.Mux) { settingsync.Serve(mux, source, nil) })
	pool := link.NewPool("test", tokens, link.NewMux())
	defer pool.Close()
	var asked atomic.Int64
	fo := follower.New(follower.Options{
		Replica: replica, Keepers: func() []string { return nil }, Seeds: func() []string { return nil }, Log: events.Discard(), Pool: pool,
		PeerWithNewerSettings: func(version uint64) string {
			switch {
			case version >= 2:
				return ""
			case asked.Add(1) == 1:
				return silent
			}
			return other
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go fo.Run(ctx)
	waitCtx, stopWaiting := context.WithTimeout(ctx, maxDelay)
	defer stopWaiting()
	replica.Wait(waitCtx, 1)
	is.Equal(replica.Current().Version, uint64(2))
}
