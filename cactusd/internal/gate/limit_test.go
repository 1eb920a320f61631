package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/outcome"
)

// limitedUpstream names a limit in its answers, and records when requests arrive.
type limitedUpstream struct {
	limit atomic.Pointer[string]
	took  time.Duration

	mu       sync.Mutex
	arrivals []time.Time
}

func (li *limitedUpstream) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	li.mu.Lock()
	li.arrivals = append(li.arrivals, time.Now())
	li.mu.Unlock()
	time.Sleep(li.took)
	wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
	if limit := li.limit.Load(); limit != nil {
		wr.Header().Set(dialect.HeaderLimit, *limit)
	}
}

func (li *limitedUpstream) setLimit(text string) { li.limit.Store(&text) }

// mostIn returns the largest number of arrivals in any window of a length after start.
func (li *limitedUpstream) mostIn(window time.Duration, start time.Time) int {
	li.mu.Lock()
	defer li.mu.Unlock()
	largest := 0
	for first, from := range li.arrivals {
		count := 0
		for _, at := range li.arrivals[first:] {
			if !from.Before(start) && at.Sub(from) <= window {
				count++
			}
		}
		largest = max(largest, count)
	}
	return largest
}

// load sends requests to a gate from several callers for a time.
func load(ga *gate.Gate, duration time.Duration, knownLimit float64) {
	var group sync.WaitGroup
	end := time.Now().Add(duration)
	for caller := range 24 {
		group.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				req := request(fmt.Sprint(caller, "-", number), true)
				req.Remaining, req.KnownLimit = 2*time.Second, knownLimit
				answer := ga.Run(context.Background(), req)
				if answer.Outcome != outcome.Ran {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
}

// TestUpstreamGetsNoMoreThanTheLimitThatItNames sends far more requests than an upstream
// says that it takes. No 4 s may hold more than one and a half times the limit and 5 more,
// also when the daemon beside the upstream is replaced by one that has just started, as
// long as the daemons that send know the limit.
func TestUpstreamGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	const (
		perSecond = 2.5
		window    = 4 * time.Second
		allowed   = int(1.5*perSecond*4) + 5
	)
	is := is.New(t)
	up := limitedUpstream{took: 150 * time.Millisecond}
	address := serveUpstream(t, up.ServeHTTP)
	ga := newGate(clock.Real{})
	announce(t, ga, address, 16)
	up.setLimit("2.5")
	is.Equal(ga.Run(context.Background(), request("first", true)).Load.Limit, perSecond)
	named := time.Now()
	load(ga, 5*time.Second, 0)
	restarted := newGate(clock.Real{})
	is.Equal(restarted.Run(context.Background(), request("unknown", true)).Load.Limit, 0.0) // No upstream is registered yet.
	announce(t, restarted, address, 16)
	load(restarted, 5*time.Second, perSecond)
	got := up.mostIn(window, named)
	t.Logf("%d requests in 4 s, %d allowed", got, allowed)
	is.True(got <= allowed)
	is.True(got >= 8) // The upstream gets the requests that it takes.
}

// TestLimitEndsWithTheAnswersThatNameIt checks that a limit rises, falls and ends with what
// the answers say, and that requests wait for it only as long as their deadline allows.
func TestLimitEndsWithTheAnswersThatNameIt(t *testing.T) {
	is := is.New(t)
	var up limitedUpstream
	ga := newGate(clock.Real{})
	announce(t, ga, serveUpstream(t, up.ServeHTTP), 4)
	run := func() wire.RunAnswer { return ga.Run(context.Background(), request("r", true)) }
	is.Equal(run().Load.Limit, float64(wire.NoLimit))
	up.setLimit("0.3")
	is.Equal(run().Load.Limit, 0.3)
	start := time.Now()
	rejected := request("impatient", true)
	rejected.Remaining = 2 * time.Second
	answer := ga.Run(context.Background(), rejected)
	is.Equal(answer.Outcome, outcome.NotRun)
	is.Equal(answer.Reason, outcome.Overloaded)
	is.True(time.Since(start) < time.Second)           // At once, not at its deadline.
	is.True(answer.RetryAfter > 2*time.Second)         // The next one may start after 3.3 s.
	is.True(answer.RetryAfter < 3500*time.Millisecond) // And not later.
	estimate := ga.EstimateWait(wire.WaitEstimateRequest{Upstream: "u", Kind: "k", Rank: 1})
	is.True(estimate.Wait > 2*time.Second && estimate.Wait < 3500*time.Millisecond)
	is.Equal(estimate.Load.Limit, 0.3)
	up.setLimit("many") // Tells nothing.
	answer = run()      // Waits for its turn.
	is.Equal(answer.Outcome, outcome.Ran)
	is.Equal(answer.Load.Limit, 0.3)
	is.True(time.Since(start) > 2*time.Second)
	up.limit.Store(nil)
	is.Equal(run().Load.Limit, float64(wire.NoLimit))
	start = time.Now()
	for range 20 {
		is.Equal(run().Outcome, outcome.Ran)
	}
	is.True(time.Since(start) < time.Second)
}
