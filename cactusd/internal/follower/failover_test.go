package follower_test

import (
	"context"
	"crypto/ed25519"
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

// maxSettingsDelay is the time after its confirmation in which a version has to be in
// force everywhere.
const maxSettingsDelay = 2 * time.Second

// preferInterval is shorter in these tests than in a daemon.
const preferInterval = 1500 * time.Millisecond

// keeperGroup is a group of keepers that share their settings. Single ones can be made
// silent: their links stay open, and no response comes.
type keeperGroup struct {
	key       ed25519.PrivateKey
	replica   *settingsync.Replica
	addresses []string
	silent    []*atomic.Bool
	// polled counts the requests to each keeper, and longPolled those that wait.
	polled     []*atomic.Int64
	longPolled []*atomic.Int64
}

func startKeepers(t *testing.T, tokens *auth.Tokens, size int) *keeperGroup {
	t.Helper()
	gr := &keeperGroup{key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
	gr.replica = settingsync.NewReplica(gr.keys)
	fresh := settingsync.NewFreshness(time.Hour)
	fresh.Confirm(time.Now())
	for range size {
		silent, polled, longPolled := &atomic.Bool{}, &atomic.Int64{}, &atomic.Int64{}
		inner := startPeer(t, tokens, func(mux *link.Mux) { settingsync.Serve(mux, gr.replica, fresh) })
		pool := link.NewPool("keeper", tokens, link.NewMux())
		t.Cleanup(pool.Close)
		gr.addresses = append(gr.addresses, startPeer(t, tokens, func(mux *link.Mux) {
			link.Handle(mux, settingsync.MethodGet, func(ctx context.Context, _ string, req settingsync.Request) (settingsync.EncodedUpdate, error) {
				polled.Add(1)
				if req.WaitMS > 1 {
					longPolled.Add(1)
				}
				if !silent.Load() {
					upd, err := link.Call[settingsync.Request, settingsync.EncodedUpdate](ctx, pool, inner, settingsync.MethodGet, req)
					if !silent.Load() {
						return upd, err
					}
				}
				<-ctx.Done()
				return settingsync.EncodedUpdate{}, ctx.Err()
			})
		}))
		gr.silent, gr.polled, gr.longPolled = append(gr.silent, silent), append(gr.polled, polled), append(gr.longPolled, longPolled)
	}
	return gr
}

func (gr *keeperGroup) keys() []ed25519.PublicKey {
	return []ed25519.PublicKey{gr.key.Public().(ed25519.PublicKey)}
}

// publish makes the group accept a version.
func (gr *keeperGroup) publish(t *testing.T, version uint64) {
	t.Helper()
	tree := settings.NewTree()
	_, err := gr.replica.Apply(settingsync.Update{Version: version, Digest: tree.Digest(), Signature: settingsync.Sign(gr.key, version, tree.Digest()), Tree: tree.Nodes})
	is.New(t).NoErr(err)
}

// follow starts a Follower without peers and returns its Replica once that has version 1.
func (gr *keeperGroup) follow(t *testing.T, tokens *auth.Tokens, keepers func() []string) *settingsync.Replica {
	t.Helper()
	_, replica := gr.newFollower(t, tokens, keepers)
	awaitVersion(t, replica, 1, 30*time.Second)
	return replica
}

// newFollower starts a Follower without peers.
func (gr *keeperGroup) newFollower(t *testing.T, tokens *auth.Tokens, keepers func() []string) (*follower.Follower, *settingsync.Replica) {
	t.Helper()
	replica := settingsync.NewReplica(gr.keys)
	pool := link.NewPool("daemon", tokens, link.NewMux())
	t.Cleanup(pool.Close)
	fo := follower.New(follower.Options{
		Replica: replica, Keepers: keepers, Seeds: func() []string { return nil }, Log: events.Discard(), Pool: pool,
		PeerWithNewerSettings: func(uint64) string { return "" },
	})
	fo.SetPreferInterval(preferInterval)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go fo.Run(ctx)
	return fo, replica
}

// awaitVersion fails the test if a version isn't in force within limit.
func awaitVersion(t *testing.T, replica *settingsync.Replica, version uint64, limit time.Duration) {
	t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	replica.Wait(ctx, version-1)
	if current := replica.Current().Version; current < version {
		t.Fatalf("version %d is in force %s after version %d was confirmed", current, time.Since(start).Round(time.Millisecond), version)
	}
	t.Logf("version %d in force after %s", version, time.Since(start).Round(time.Millisecond))
}

// TestSilentKeepersDoNotDelaySettings makes two keepers of five silent while the daemon
// waits at the first of them, as many as the fleet tolerates. The next version must be in
// force in time, although no peer has it.
func TestSilentKeepersDoNotDelaySettings(t *testing.T) {
	tokens := auth.NewTokens("a-token-for-the-tests")
	gr := startKeepers(t, tokens, 5)
	gr.publish(t, 1)
	replica := gr.follow(t, tokens, func() []string { return gr.addresses })
	time.Sleep(100 * time.Millisecond) // The daemon has begun to wait.
	gr.silent[0].Store(true)
	gr.silent[1].Store(true)
	gr.publish(t, 2)
	awaitVersion(t, replica, 2, maxSettingsDelay)
}

// TestNewKeepersDoNotDelaySettings puts two keepers in front of the one at which a daemon
// waits, as when restarted keepers of its zone come back to the member table. They don't
// respond yet. The daemon must not leave the keeper that does before they have.
func TestNewKeepersDoNotDelaySettings(t *testing.T) {
	tokens := auth.NewTokens("a-token-for-the-tests")
	gr := startKeepers(t, tokens, 3)
	gr.silent[0].Store(true)
	gr.silent[1].Store(true)
	gr.publish(t, 1)
	var first atomic.Int64
	first.Store(2)
	replica := gr.follow(t, tokens, func() []string { return gr.addresses[first.Load():] })
	for version := uint64(2); version <= 5; version++ {
		first.Store(0)
		time.Sleep(time.Second) // Longer than one wait at a keeper.
		gr.publish(t, version)
		awaitVersion(t, replica, version, maxSettingsDelay)
	}
	is := is.New(t)
	is.True(gr.polled[0].Load() > 0)            // The preferred one is asked now and then.
	is.Equal(gr.longPolled[0].Load(), int64(0)) // No wait began there.
	is.Equal(gr.longPolled[1].Load(), int64(0))

	gr.silent[0].Store(false)
	waiting := gr.polled[2].Load()
	time.Sleep(3 * preferInterval)
	is.True(gr.polled[2].Load()-waiting < 5) // The daemon has moved to the preferred one, which responds now.
	is.True(gr.longPolled[0].Load() > 0)
	gr.publish(t, 6)
	awaitVersion(t, replica, 6, maxSettingsDelay)
}

// TestFailedKeeperIsLeftAtOnce checks the order in which keepers are asked: a failure must
// lead to another one, and each must get its turn.
func TestFailedKeeperIsLeftAtOnce(t *testing.T) {
	tokens := auth.NewTokens("a-token-for-the-tests")
	gr := startKeepers(t, tokens, 3)
	gr.publish(t, 1)
	replica := gr.follow(t, tokens, func() []string { return gr.addresses })
	for index := range gr.silent { // One after the other fails, and works again when the next one does.
		gr.silent[index].Store(true)
		version := uint64(index + 2)
		gr.publish(t, version)
		awaitVersion(t, replica, version, maxSettingsDelay)
		gr.silent[index].Store(false)
		is.New(t).True(gr.polled[(index+1)%len(gr.polled)].Load() > 0)
	}
}

// TestOutdatedKeeperConfirmsNothing lets a daemon reach only a keeper that doesn't know
// whether its settings are the newest. Its settings must be used, but not count as
// confirmed, until another keeper confirms them.
func TestOutdatedKeeperConfirmsNothing(t *testing.T) {
	is := is.New(t)
	tokens := auth.NewTokens("a-token-for-the-tests")
	gr := startKeepers(t, tokens, 1)
	gr.publish(t, 1)
	outdated := startPeer(t, tokens, func(mux *link.Mux) { settingsync.Serve(mux, gr.replica, settingsync.NewFreshness(time.Second)) })
	var keepers atomic.Pointer[[]string]
	keepers.Store(&[]string{outdated})
	fo, replica := gr.newFollower(t, tokens, func() []string { return *keepers.Load() })
	awaitVersion(t, replica, 1, 30*time.Second)
	time.Sleep(time.Second)
	is.True(!fo.IsConfirmed())
	gr.publish(t, 2)
	awaitVersion(t, replica, 2, maxSettingsDelay)
	is.True(!fo.IsConfirmed())
	keepers.Store(&[]string{outdated, gr.addresses[0]})
	time.Sleep(time.Second)
	is.True(fo.IsConfirmed())
}
