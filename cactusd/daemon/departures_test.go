package daemon_test

import (
	"context"
	"crypto/ed25519"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/daemon"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/process"
)

// testToken is the token of all processes in these tests.
const testToken = "a-token-for-the-tests"

// startDaemon starts a daemon with one seed, or with none if seed is empty. The edits
// change its options before.
func startDaemon(t testing.TB, id, peerAddress, seed string, edits ...func(*daemon.Options)) *daemon.Daemon {
	t.Helper()
	tokens := auth.NewTokens(testToken)
	opts := daemon.Options{
		Config:        process.Config{ID: id, Zone: "z", PeerAddress: peerAddress, OperatorAddress: freeAddress(t)},
		CallerAddress: freeAddress(t), Callers: dialect.DefaultCaller(), Upstreams: dialect.DefaultUpstream(), Clock: clock.Real{},
		Firm: "*", Place: "*", Log: events.Discard(), Seeds: func() []string {
			return slices.DeleteFunc([]string{seed}, func(address string) bool { return address == "" })
		},
		FleetTokens: tokens, OperatorTokens: tokens, ServiceTokens: tokens, UpstreamTokens: tokens,
		SettingsKeys: func() []ed25519.PublicKey { return nil },
	}
	for _, edit := range edits {
		edit(&opts)
	}
	da, err := daemon.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := da.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return da
}

func stopDaemon(t testing.TB, da *daemon.Daemon) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := da.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// TestRestartedDaemonIgnoresUpstreamThatLeft restarts a daemon after an upstream beside
// it has left. A delayed announcement must not bring the upstream back into use, and its
// next start must be used at once.
func TestRestartedDaemonIgnoresUpstreamThatLeft(t *testing.T) {
	is := is.New(t)
	seed, address := freeAddress(t), freeAddress(t)
	other := startDaemon(t, "d1", seed, "")
	defer stopDaemon(t, other)
	startedAt := time.UnixMilli(1_700_000_000_000)
	ann := daemon.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, StartedAt: startedAt, Sequence: 4}

	da := startDaemon(t, "d2", address, seed)
	is.NoErr(da.Announce(ann))
	is.Equal(upstreams(da), 1)
	is.NoErr(da.Leave("u", startedAt))
	for range 2 { // What a daemon inherits it must pass on.
		stopDaemon(t, da)
		da = startDaemon(t, "d2", address, seed)
		is.NoErr(da.Announce(ann))
		is.Equal(upstreams(da), 0)
	}
	ann.StartedAt = startedAt.Add(time.Millisecond)
	is.NoErr(da.Announce(ann))
	is.Equal(upstreams(da), 1)
	stopDaemon(t, da)
}

// upstreams returns the number of registered upstreams of a daemon.
func upstreams(da *daemon.Daemon) int {
	list, _ := da.Dump()["gate"].([]map[string]any)
	return len(list)
}
