package ingress_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
)

// TestErrorOfAPeerTellsWhetherTheRequestRan guards against a request that no gate has seen
// and that is answered as if it may have run: an error that the peer returns before it
// calls the gate proves that the request did not run.
func TestErrorOfAPeerTellsWhetherTheRequestRan(t *testing.T) {
	for code, status := range map[string]int{"overloaded": 503, "noMethod": 503, "badMessage": 503, "failed": 502, link.CodePanicked: 502} {
		t.Run(code, func(t *testing.T) {
			is := is.New(t)
			runner := &estimatingRunner{estimate: noWait, answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
				return wire.RunAnswer{}, fmt.Errorf("call: %w", &link.RemoteError{Code: code})
			}}
			in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
			is.Equal(sendRequest(in, "/cut/7", "300", "x").Code, status)
		})
	}
}

// TestPanicOfAnAttemptFailsOneRequest guards against a panic in the gate of the same daemon,
// or during a wait estimate, that ends the process, and against a request that may have run
// and is answered as if it had not. The next requests must be served.
func TestPanicOfAnAttemptFailsOneRequest(t *testing.T) {
	is := is.New(t)
	var runs, estimates atomic.Int64
	runner := &estimatingRunner{
		estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
			if estimates.Add(1) == 2 {
				panic("a wait estimate")
			}
			return noWait(endpoint)
		},
		answer: func(endpoint fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
			if runs.Add(1) == 1 {
				panic("a gate")
			}
			return succeed(endpoint, req)
		},
	}
	reg := metrics.NewRegistry()
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()), func(opts *ingress.Options) { opts.Metrics = reg })
	is.Equal(sendRequest(in, "/cut/7", "300", "x").Code, 502)
	is.Equal(runs.Load(), int64(1)) // It isn't idempotent.
	for range 10 {
		is.Equal(sendRequest(in, "/cut/7", "300", "x").Code, 200)
	}
	is.Equal(reg.Counter("process.panics").Count(), int64(2))
}

// TestTrialsAvoidDaemonsThatMayBeDown guards against requests that are lost as trial
// requests to an upstream whose daemon doesn't answer its peers: no estimate precedes
// them, and they wait for an answer until their deadline.
func TestTrialsAvoidDaemonsThatMayBeDown(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{estimate: noWait, answer: succeed}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()), func(opts *ingress.Options) {
		endpoint := &opts.View().Pools["s"].Endpoints[1]
		endpoint.State, endpoint.Suspect = fleet.StateTrial, true
	})
	for range 500 {
		is.Equal(sendRequest(in, "/look/7", "2000", "").Code, 200)
	}
	for _, key := range runner.endpointsSentTo() {
		is.True(key != "d1/u") // It would get 25 of them.
	}
}
