package ingress_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

func whereQuery(path string) ingress.WhereQuery {
	return ingress.WhereQuery{Request: settings.Request{Host: "shop.example", Method: "POST", Path: path}, Deadline: 2 * time.Second}
}

// TestWhereAgreesWithRequests compares the explanation with what a request does. It guards
// against an explanation by code of its own that differs from the decision.
func TestWhereAgreesWithRequests(t *testing.T) {
	cases := []struct {
		name     string
		estimate func(endpoint fleet.Endpoint) (wire.WaitEstimate, error)
		want     string // The endpoint, or "" if the request is rejected.
	}{
		{"shortest wait", func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
			return wire.WaitEstimate{Wait: map[string]time.Duration{"d0/u": 90 * time.Millisecond, "d1/u": 30 * time.Millisecond}[endpoint.Key]}, nil
		}, "d1/u"},
		{"another zone", func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
			if endpoint.Key == "d2/u" {
				return wire.WaitEstimate{}, nil
			}
			return wire.WaitEstimate{Wait: 900 * time.Millisecond}, nil
		}, "d2/u"},
		{"one accepts", func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
			if endpoint.Key == "d3/u" {
				return wire.WaitEstimate{}, nil
			}
			return wire.WaitEstimate{Rejected: outcome.Stopping}, nil
		}, "d3/u"},
		{"none in time", func(fleet.Endpoint) (wire.WaitEstimate, error) {
			return wire.WaitEstimate{Wait: 9 * time.Second}, nil
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			runner := &estimatingRunner{estimate: tc.estimate, answer: succeed}
			in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
			where, err := in.Where(context.Background(), whereQuery("/cut/7"))
			is.NoErr(err)
			is.Equal(len(runner.endpointsSentTo()), 0) // Nothing is sent.
			is.Equal(where.Path.Kind, "cut")
			is.Equal(len(where.Candidates), 4)
			chosen := ""
			for _, candidate := range where.Candidates {
				is.True(candidate.Reason != "")
				if candidate.Chosen {
					chosen = candidate.Endpoint.Key
				}
			}
			is.Equal(chosen, tc.want)
			is.Equal(strings.HasPrefix(where.Verdict, "goes to"), tc.want != "")
			sendRequest(in, "/cut/7", "2000", "")
			is.Equal(strings.Join(runner.endpointsSentTo(), " "), tc.want)
		})
	}
}

// TestWhereShowsCostsOfAZone checks that the cost of the bytes between zones is shown.
func TestWhereShowsCostsOfAZone(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{answer: succeed, estimate: func(fleet.Endpoint) (wire.WaitEstimate, error) {
		return wire.WaitEstimate{Wait: 1800 * time.Millisecond}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newByteCostSettings()))
	query := whereQuery("/cut/7")
	query.BodyBytes, query.Deadline = 48_000, 2*time.Second
	where, err := in.Where(context.Background(), query)
	is.NoErr(err)
	is.Equal(where.ExpectedBytes, 48_000.0)
	for _, candidate := range where.Candidates {
		want := time.Duration(0)
		if candidate.Endpoint.Zone != "z" {
			want = 1250 * time.Millisecond // zoneCost, and 25 ms for each of 40 KB.
		}
		is.True(candidate.Asked)
		is.Equal(candidate.Cost, want)
	}
}

// TestWhereNamesWhatIsMissing checks the errors and the verdicts for requests that can't
// be placed.
func TestWhereNamesWhatIsMissing(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{estimate: noWait, answer: succeed}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()), func(opts *ingress.Options) {
		opts.View = func() *fleet.View { return &fleet.View{} }
	})
	_, err := in.Where(context.Background(), whereQuery("/nowhere/"))
	is.True(errors.Is(err, ingress.ErrNoRoute))
	where, err := in.Where(context.Background(), whereQuery("/cut/7"))
	is.NoErr(err)
	is.True(strings.Contains(where.Verdict, "no upstream"))
}
