package gate_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

// newCostAwareGate returns a gate that gives wait estimates, with costAware as given.
func newCostAwareGate(clo clock.Clock, costAware bool) *gate.Gate {
	policy := defaultPolicy()
	policy.Quotes, policy.CostAware = 2, costAware
	return gate.New(gate.Options{
		Bodies: bodybuffer.New(testBodyMemory), Clock: clo, Dialect: dialect.Upstream{Attempt: gate.HeaderAttempt, Deadline: "X-Left"}, Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Policy: func(string) *settings.Policy { return policy }, OnChange: func() {},
	})
}

// TestCostIsEstimatedByClass guards against one expected duration for all requests of a
// kind, where large ones take ten times as long, and against a change for gates whose
// settings don't ask for it.
func TestCostIsEstimatedByClass(t *testing.T) {
	for _, costAware := range []bool{false, true} {
		is := is.New(t)
		clo := clock.NewFake(time.Unix(1000, 0))
		ga := newCostAwareGate(clo, costAware)
		announce(t, ga, serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
			took := 100 * time.Millisecond
			if req.Header.Get("X-Large") != "" {
				took = time.Second
			}
			clo.Advance(took)
			wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
		}), 2)
		send := func(class wire.CostClass, header wire.Header) {
			req := request(clo.Now().String(), true)
			req.Remaining, req.Kind, req.CostClass, req.Header = time.Minute, "k", class, header
			is.Equal(ga.Run(context.Background(), req).Outcome, outcome.Ran)
		}
		small, large := wire.CostClass{SizeClass: 1}, wire.CostClass{SizeClass: 5}
		for range 20 {
			for range 4 {
				send(small, wire.Header{})
			}
			send(large, wire.Header{"X-Large": {"1"}})
		}
		expected := func(class wire.CostClass) time.Duration {
			return ga.EstimateWait(wire.WaitEstimateRequest{Upstream: "u", Kind: "k", CostClass: class}).ExpectedDuration
		}
		if !costAware {
			is.Equal(expected(small), 120*time.Millisecond)
			is.Equal(expected(large), 120*time.Millisecond)
			continue
		}
		is.True(expected(small) < 200*time.Millisecond)
		is.True(expected(large) > 800*time.Millisecond)
	}
}

// TestWaitEstimateUsesRemainingWork guards against a wait estimate that doesn't tell an
// upstream whose requests have just started from one whose requests are nearly done.
func TestWaitEstimateUsesRemainingWork(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(1000, 0))
	ga := newCostAwareGate(clo, true)
	var blocks atomic.Bool
	release := make(chan struct{})
	announce(t, ga, serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
		wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
		if blocks.Load() {
			<-release
			return
		}
		clo.Advance(time.Second)
	}), 1)
	send := func() wire.RunAnswer {
		req := request(clo.Now().String(), true)
		req.Remaining, req.Kind = time.Minute, "k"
		return ga.Run(context.Background(), req)
	}
	for range 60 {
		is.Equal(send().Outcome, outcome.Ran)
	}
	blocks.Store(true)
	done := make(chan wire.RunAnswer, 1)
	go func() { done <- send() }()
	for ga.Dump()[0]["running"] != 1 {
		time.Sleep(time.Millisecond)
	}
	wait := func() time.Duration {
		return ga.EstimateWait(wire.WaitEstimateRequest{Upstream: "u", Kind: "k"}).Wait
	}
	fresh := wait()
	clo.Advance(800 * time.Millisecond)
	ending := wait()
	clo.Advance(4 * time.Second)
	stuck := wait()
	close(release)
	is.Equal((<-done).Outcome, outcome.Ran)
	t.Logf("wait after 0, 0.8 and 4.8 s: %s, %s, %s", fresh, ending, stuck)
	is.True(ending < fresh/2)
	is.True(stuck > ending)
}

// TestStallIsForgottenWithCosts is TestEstimateOfAStallIsForgotten for gates that estimate
// costs: requests that are rejected because of a stall must not be rejected for ever.
func TestStallIsForgottenWithCosts(t *testing.T) {
	checkStallIsForgotten(t, func(clo clock.Clock) *gate.Gate { return newCostAwareGate(clo, true) })
}

// TestCostClassIsOptionalInMessages checks that daemons with and without the cost class
// understand each other: it must be absent from a message that has none.
func TestCostClassIsOptionalInMessages(t *testing.T) {
	is := is.New(t)
	with, err := codec.Marshal(wire.WaitEstimateRequest{Upstream: "u", Kind: "k", CostClass: wire.CostClass{SizeClass: 3, PathShape: 7}})
	is.NoErr(err)
	without, err := codec.Marshal(wire.WaitEstimateRequest{Upstream: "u", Kind: "k"})
	is.NoErr(err)
	decoded, err := codec.Unmarshal[wire.WaitEstimateRequest](with)
	is.NoErr(err)
	is.Equal(decoded.SizeClass, uint8(3))
	is.Equal(decoded.PathShape, uint32(7))
	fields, err := codec.Unmarshal[map[string]any](without)
	is.NoErr(err)
	is.Equal(len(fields), 2)
}
