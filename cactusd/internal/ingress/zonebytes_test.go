package ingress_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

// newByteCostSettings returns settings in which a kilobyte between zones costs 25 ms.
func newByteCostSettings() *settings.Tree {
	return newPlatformSettings().Apply([]settings.Edit{
		{Path: settings.RootSection, Key: "zoneCost", Value: "250ms"},
		{Path: settings.RootSection, Key: "zoneByteCost", Value: "25ms"},
	})
}

// TestLargeBodyLeavesItsZoneOnlyIfNeeded sends requests with answers of 80 KB after one
// that has taught the ingress their size. It guards against large answers that cross zones
// to save a short wait, and against requests that are rejected because their crossing is
// expensive.
func TestLargeBodyLeavesItsZoneOnlyIfNeeded(t *testing.T) {
	cases := []struct {
		name, body string
		answer     int
		tree       *settings.Tree
		wait       time.Duration
		rejected   outcome.Reason
		wantZone   string
	}{
		{"small answer, short wait", "", 4096, newByteCostSettings(), 400 * time.Millisecond, "", "y"},
		{"large answer, short wait", "", 80_000, newByteCostSettings(), 400 * time.Millisecond, "", "z"},
		{"large answer, no cost of bytes", "", 80_000, newPlatformSettings(), 400 * time.Millisecond, "", "y"},
		{"large request, short wait", strings.Repeat("x", 80_000), 0, newByteCostSettings(), 400 * time.Millisecond, "", "z"},
		{"large answer, own zone is too slow", "", 80_000, newByteCostSettings(), 4 * time.Second, "", "y"},
		{"very large answer, own zone is too slow", "", 260_000, newByteCostSettings(), 4 * time.Second, "", "y"},
		{"large answer, own zone rejects", "", 80_000, newByteCostSettings(), 0, outcome.Stopping, "y"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var learned atomic.Bool
			runner := &estimatingRunner{
				estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
					if endpoint.Zone == "z" && learned.Load() {
						return wire.WaitEstimate{Wait: tc.wait, Rejected: tc.rejected}, nil
					}
					return wire.WaitEstimate{}, nil
				},
				answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
					return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}, Body: make([]byte, tc.answer)}, nil
				},
			}
			in := newPlatformIngress(t, runner, newReplica(t, tc.tree))
			is.Equal(sendRequest(in, "/cut/7", "5000", tc.body).Code, 200)
			learned.Store(true)
			is.Equal(sendRequest(in, "/cut/7", "5000", tc.body).Code, 200)
			is.Equal(zoneOf(runner.endpointsSentTo()[1]), tc.wantZone)
		})
	}
}

// zoneOf returns the zone of an endpoint of newPlatformIngress.
func zoneOf(key string) string {
	if key == "d0/u" || key == "d1/u" {
		return "z"
	}
	return "y"
}

// TestLargeBodyOfAKindWithoutUpstreamsInTheZone guards against a cost of bytes that
// rejects requests whose upstreams are all in other zones.
func TestLargeBodyOfAKindWithoutUpstreamsInTheZone(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{answer: succeed, estimate: func(fleet.Endpoint) (wire.WaitEstimate, error) {
		return wire.WaitEstimate{Wait: 1200 * time.Millisecond, ExpectedDuration: 300 * time.Millisecond}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newByteCostSettings()), func(opts *ingress.Options) { opts.Zone = "x" })
	for range 3 {
		is.Equal(sendRequest(in, "/cut/7", "2500", strings.Repeat("x", 200_000)).Code, 200)
	}
}

// TestTrialOfALargeBodyStaysInItsZone guards against idempotent requests with large
// answers that cross zones as trial requests, of which any ejected upstream gets one in 20.
func TestTrialOfALargeBodyStaysInItsZone(t *testing.T) {
	is := is.New(t)
	trialsIn := func(tree *settings.Tree) (trials int) {
		runner := &estimatingRunner{estimate: noWait, answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
			return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}, Body: make([]byte, 80_000)}, nil
		}}
		in := newPlatformIngress(t, runner, newReplica(t, tree), func(opts *ingress.Options) {
			view := opts.View()
			view.Pools["s"].Endpoints[2].State = fleet.StateTrial // In another zone.
		})
		for range 2000 {
			is.Equal(sendRequest(in, "/look/7", "2000", "").Code, 200)
		}
		for _, key := range runner.endpointsSentTo() {
			if key == "d2/u" {
				trials++
			}
		}
		return trials
	}
	without, with := trialsIn(newPlatformSettings()), trialsIn(newByteCostSettings()) // 100 and 10 are expected.
	is.True(without > 60)
	is.True(with > 0 && with < 30)
}

// TestCrossingsAreCounted guards against bytes between zones that no metric shows.
func TestCrossingsAreCounted(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	runner := &estimatingRunner{
		estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
			if endpoint.Zone == "z" {
				return wire.WaitEstimate{Wait: time.Second}, nil
			}
			return wire.WaitEstimate{}, nil
		},
		answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
			return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}, Body: make([]byte, 70)}, nil
		},
	}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()), func(opts *ingress.Options) { opts.Metrics = registry })
	is.Equal(sendRequest(in, "/cut/7", "5000", "body").Code, 200)
	for name, want := range map[string]int64{"attempts": 1, "requestBytes": 4, "answerBytes": 70, "estimates": 2} {
		is.Equal(registry.Counter("ingress.crossed."+name).Count(), want)
	}
}
