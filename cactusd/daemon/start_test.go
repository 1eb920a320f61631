package daemon_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/daemon"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/process"
)

// freeAddress returns a loopback address with a port that was free. Each has an IP address
// of its own: the port of 127.0.0.1 may be taken by an outgoing connection of any process
// before a daemon listens on it.
func freeAddress(t testing.TB) string {
	t.Helper()
	lis, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(250), rand.N(250), 1+rand.N(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// TestClaimsDelayCallerListener starts a daemon with claims and a slow seed.
// The daemon must not listen for callers before it has asked the seed: until
// then it does not know the claim holders, and requests would end with an
// unknown outcome.
func TestClaimsDelayCallerListener(t *testing.T) {
	is := is.New(t)
	var answered atomic.Bool
	seed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = seed.Close() }()
	go func() {
		_ = http.Serve(seed, http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			time.Sleep(300 * time.Millisecond)
			answered.Store(true)
			wr.WriteHeader(http.StatusServiceUnavailable) // The seed responds, but has no settings.
		}))
	}()
	tokens, limits, callers := auth.NewTokens("a-token-for-the-tests"), claim.DefaultOptions(), freeAddress(t)
	da, err := daemon.New(daemon.Options{
		Config:        process.Config{ID: "d", Zone: "z", PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t)},
		CallerAddress: callers, Callers: dialect.DefaultCaller(), Upstreams: dialect.DefaultUpstream(), Claims: &limits, Clock: clock.Real{},
		Firm: "*", Place: "*", Log: events.Discard(), Seeds: func() []string { return []string{seed.Addr().String()} },
		FleetTokens: tokens, OperatorTokens: tokens, ServiceTokens: tokens, UpstreamTokens: tokens,
		SettingsKeys: func() []ed25519.PublicKey { return nil },
	})
	is.NoErr(err)
	started := make(chan error, 1)
	go func() { started <- da.Start(context.Background()) }()
	for {
		con, err := net.DialTimeout("tcp", callers, time.Second)
		if err == nil {
			_ = con.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	is.True(answered.Load())
	is.NoErr(<-started)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(da.Stop(ctx))
}
