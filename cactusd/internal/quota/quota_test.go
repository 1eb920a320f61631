package quota_test

import (
	"context"
	"maps"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/quota"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	corequota "cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// startTime is the time after which a started daemon holds quotas, with a margin.
const startTime = 2 * time.Second

// testFleet is a number of daemons that are linked over loopback.
type testFleet struct {
	quotas  []*quota.Quota
	metrics []*metrics.Registry
	servers []*httptest.Server
	links   []*link.Server
	view    atomic.Pointer[fleet.View]
}

// startFleet starts daemons, the last old of which don't know the methods.
func startFleet(t *testing.T, count, old int) *testFleet {
	t.Helper()
	fl := &testFleet{}
	fl.view.Store(&fleet.View{})
	members := make(map[string]member.Record)
	tokens := auth.NewTokens("a-token-for-the-tests")
	for i := range count {
		id := "d" + strconv.Itoa(i)
		mux := link.NewMux()
		pool := link.NewPool(id, tokens, mux)
		t.Cleanup(pool.Close)
		links := link.NewServer(mux, tokens, nil)
		server := httptest.NewServer(links)
		t.Cleanup(server.Close)
		t.Cleanup(links.Close)
		fl.servers, fl.links = append(fl.servers, server), append(fl.links, links)
		members[id] = member.Record{ID: id, Zone: "z", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
		if i >= count-old {
			continue
		}
		fl.metrics = append(fl.metrics, metrics.NewRegistry())
		fl.quotas = append(fl.quotas, quota.New(quota.Options{
			Clock: clock.Real{}, Log: events.Discard(), Metrics: fl.metrics[i], Mux: mux, Pool: pool, Self: id, Zone: "z",
			View: fl.view.Load, HasJoined: func() bool { return true }, SettingsVersion: func() uint64 { return 1 }, RandomSeed: uint64(i),
		}))
	}
	fl.view.Store(&fleet.View{Members: members})
	deadline := time.Now().Add(startTime)
	for time.Now().Before(deadline) {
		for _, qu := range fl.quotas {
			qu.Tick()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fl
}

// takeAll sends requests at once and returns the number of those that were admitted, and
// the longest time that one took.
func takeAll(fl *testFleet, org *settings.Organisation, count int) (admitted int64, slowest time.Duration) {
	var group sync.WaitGroup
	var sum, longest atomic.Int64
	for i := range count {
		group.Go(func() {
			started := time.Now()
			if fl.quotas[i%len(fl.quotas)].Take(context.Background(), org).Outcome == corequota.Admitted {
				sum.Add(1)
			}
			for {
				took, known := time.Since(started).Nanoseconds(), longest.Load()
				if took <= known || longest.CompareAndSwap(known, took) {
					return
				}
			}
		})
	}
	group.Wait()
	return sum.Load(), time.Duration(longest.Load())
}

// TestRequestWaitsForTheStartOfTheDaemon guards against requests that are refused while a
// daemon that has just started doesn't know the holders of quotas: after a loss of power of
// all VMs, every request of the first second was.
func TestRequestWaitsForTheStartOfTheDaemon(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1_000_000, 0))
	view := &fleet.View{Members: map[string]member.Record{"d": {ID: "d", Zone: "z"}}}
	tokens := auth.NewTokens("a-token-for-the-tests")
	mux := link.NewMux()
	pool := link.NewPool("d", tokens, mux)
	defer pool.Close()
	qu := quota.New(quota.Options{
		Clock: clk, Log: events.Discard(), Metrics: metrics.NewRegistry(), Mux: mux, Pool: pool, Self: "d", Zone: "z",
		View: func() *fleet.View { return view }, HasJoined: func() bool { return true }, SettingsVersion: func() uint64 { return 1 },
	})
	org := &settings.Organisation{Name: "acme", Rate: 60, Burst: 10}
	verdict := make(chan corequota.Verdict, 1)
	go func() { verdict <- qu.Take(context.Background(), org) }()
	for range 10 { // Five seconds of the daemon's clock pass in a tenth of a second.
		qu.Tick()
		select {
		case early := <-verdict:
			is.Equal(early.Outcome, corequota.Admitted)
			return
		case <-time.After(10 * time.Millisecond):
		}
		clk.Advance(500 * time.Millisecond)
	}
	is.Equal((<-verdict).Outcome, corequota.Admitted)
}

// TestDaemonsShareAQuota guards against daemons that each admit the whole quota, and
// against a quota of which only the part of the daemon that callers use is available.
func TestDaemonsShareAQuota(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 3, 0)
	org := &settings.Organisation{Name: "acme", Rate: 60, Burst: 10}
	time.Sleep(time.Second) // The buckets fill from the start.
	started := time.Now()
	admitted, slowest := takeAll(fl, org, 600)
	const depth = 38 // Requests that the three buckets hold.
	is.True(admitted >= depth-3)
	is.True(float64(admitted) <= depth+org.Rate*time.Since(started).Seconds())
	is.True(slowest < 2*time.Second)
	dump := fl.quotas[0].Dump()
	is.Equal(dump["members"], 3)
	uses := dump["organisations"].([]corequota.Use)
	is.Equal(len(uses), 1)
	is.Equal(uses[0].Holders, []string{"d0", "d1", "d2"})
}

// TestOldProgramsCountAsUnreachable guards against requests that fail, or quota that is
// taken over, because some daemons don't know the methods.
func TestOldProgramsCountAsUnreachable(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 3, 1)
	org := &settings.Organisation{Name: "acme", Rate: 60, Burst: 10}
	time.Sleep(time.Second)
	admitted, _ := takeAll(fl, org, 600)
	is.True(admitted >= 20) // Two thirds of what the buckets hold are 25.
	is.True(admitted < 38)
	is.Equal(fl.quotas[0].Dump()["members"], 3)
}

// TestStoppedHolder guards against requests that wait for a holder that has stopped.
func TestStoppedHolder(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 3, 0)
	org := &settings.Organisation{Name: "acme", Rate: 60, Burst: 10}
	time.Sleep(time.Second)
	fl.servers[2].Close()
	fl.links[2].Close() // The server doesn't close the links, which took over their connections.
	fl.quotas = fl.quotas[:2]
	admitted, slowest := takeAll(fl, org, 100)
	is.True(admitted >= 20)
	is.True(slowest < 2*time.Second)
}

// TestOrganisationWithoutLimit guards against messages and state for organisations that
// have no limit.
func TestOrganisationWithoutLimit(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 1, 0)
	admitted, _ := takeAll(fl, &settings.Organisation{Name: "free", Burst: 3}, 50)
	is.Equal(admitted, int64(50))
	is.Equal(len(fl.quotas[0].Dump()["organisations"].([]corequota.Use)), 0)
}

// TestAbandonedRequest guards against a request that is never answered, and a token
// that is lost, when its caller has gone.
func TestAbandonedRequest(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 2, 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	org := &settings.Organisation{Name: "acme", Rate: 60, Burst: 10}
	for range 200 {
		started := time.Now()
		_ = fl.quotas[0].Take(ctx, org)
		is.True(time.Since(started) < time.Second)
	}
	time.Sleep(time.Second)
	is.Equal(fl.quotas[0].Take(context.Background(), org).Outcome, corequota.Admitted)
	is.Equal(fl.quotas[0].Dump()["waiting"], 0)
}

// TestStartedDaemonLearnsSilentOnes guards against a daemon that starts while others are
// cut off, and takes over what they hold because its member table lacks them.
func TestStartedDaemonLearnsSilentOnes(t *testing.T) {
	is := is.New(t)
	fl := startFleet(t, 2, 0)
	members := maps.Clone(fl.view.Load().Members)
	members["d8"] = member.Record{ID: "d8", PeerAddress: "127.0.0.1:1"}
	fl.view.Store(&fleet.View{Members: members})
	fl.quotas[0].Tick()
	members = maps.Clone(members)
	members["d8"] = member.Record{ID: "d8", PeerAddress: "127.0.0.1:1", Status: member.Dead}
	fl.view.Store(&fleet.View{Members: members})
	fl.quotas[0].Tick()
	is.Equal(fl.quotas[0].Dump()["members"], 3)
	delete(members, "d8")
	delete(members, "d1")
	mux, tokens := link.NewMux(), auth.NewTokens("a-token-for-the-tests")
	pool := link.NewPool("d9", tokens, mux)
	defer pool.Close()
	started := quota.New(quota.Options{
		Clock: clock.Real{}, Log: events.Discard(), Metrics: metrics.NewRegistry(), Mux: mux, Pool: pool, Self: "d9", Zone: "z",
		View: fl.view.Load, HasJoined: func() bool { return true }, SettingsVersion: func() uint64 { return 1 },
	})
	deadline := time.Now().Add(10 * time.Second)
	for started.Dump()["joined"] != true {
		is.True(time.Now().Before(deadline))
		started.Tick()
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(started.Dump()["members"], 4) // Those that d0 knows, and itself.
}

// TestStoppedDaemonIsReplaced guards against quota that is lost for minutes with a daemon
// that has stopped, and against one that is frozen and counts as stopped.
func TestStoppedDaemonIsReplaced(t *testing.T) {
	is := is.New(t)
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = frozen.Close() }()
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(stopped.Close())
	now := clock.NewFake(time.Unix(1000, 0))
	var view atomic.Pointer[fleet.View]
	setStatus := func(status member.Status) {
		view.Store(&fleet.View{Members: map[string]member.Record{
			"d0": {ID: "d0"},
			"d1": {ID: "d1", PeerAddress: frozen.Addr().String(), Status: status},
			"d2": {ID: "d2", PeerAddress: stopped.Addr().String(), Status: status},
		}})
	}
	mux, tokens := link.NewMux(), auth.NewTokens("a-token-for-the-tests")
	pool := link.NewPool("d0", tokens, mux)
	defer pool.Close()
	qu := quota.New(quota.Options{
		Clock: now, Log: events.Discard(), Metrics: metrics.NewRegistry(), Mux: mux, Pool: pool, Self: "d0",
		View: view.Load, HasJoined: func() bool { return false }, SettingsVersion: func() uint64 { return 1 },
	})
	setStatus(member.Alive)
	qu.Tick()
	setStatus(member.Dead)
	qu.Tick()
	is.Equal(qu.Take(context.Background(), &settings.Organisation{Name: "acme", Rate: 5}).Outcome, corequota.Unavailable)
	now.Advance(50 * time.Second)
	qu.Tick()
	time.Sleep(100 * time.Millisecond)
	is.Equal(qu.Dump()["members"], 3)
	deadline := time.Now().Add(10 * time.Second)
	for now.Advance(11 * time.Second); qu.Dump()["members"] != 2; now.Advance(6 * time.Second) {
		is.True(time.Now().Before(deadline))
		qu.Tick()
		time.Sleep(100 * time.Millisecond)
	}
	now.Advance(time.Minute)
	qu.Tick()
	time.Sleep(100 * time.Millisecond)
	is.Equal(qu.Dump()["members"], 2)
}
