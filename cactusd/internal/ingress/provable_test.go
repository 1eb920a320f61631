package ingress_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
)

// TestErrorOfAPeerTellsWhetherTheRequestRan guards against a request that no gate has seen
// and that is answered as if it may have run: an error that the peer returns before it
// calls the gate proves that the request did not run.
func TestErrorOfAPeerTellsWhetherTheRequestRan(t *testing.T) {
	for code, status := range map[string]int{"overloaded": 503, "noMethod": 503, "badMessage": 503, "failed": 502} {
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
