package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// estimatingRunner simulates the gates of a pool. Their estimates and answers
// are functions set by the test.
type estimatingRunner struct {
	mu        sync.Mutex
	estimate  func(endpoint fleet.Endpoint) (wire.WaitEstimate, error)
	answer    func(endpoint fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error)
	sentTo    []string
	withdrawn []string
	bodyBytes int
}

func (er *estimatingRunner) Run(_ context.Context, endpoint fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
	er.mu.Lock()
	er.sentTo = append(er.sentTo, endpoint.Key)
	er.bodyBytes += len(req.Body)
	er.mu.Unlock()
	return er.answer(endpoint, req)
}

func (er *estimatingRunner) EstimateWait(_ context.Context, endpoint fleet.Endpoint, _ wire.WaitEstimateRequest) (wire.WaitEstimate, error) {
	return er.estimate(endpoint)
}

func (er *estimatingRunner) Withdraw(_ context.Context, _ fleet.Endpoint, withdrawal wire.Withdrawal) {
	er.mu.Lock()
	defer er.mu.Unlock()
	er.withdrawn = append(er.withdrawn, withdrawal.Attempt)
}

func (er *estimatingRunner) endpointsSentTo() []string {
	er.mu.Lock()
	defer er.mu.Unlock()
	return append([]string(nil), er.sentTo...)
}

func noWait(fleet.Endpoint) (wire.WaitEstimate, error) { return wire.WaitEstimate{}, nil }

func succeed(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
	return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}}, nil
}

// newPlatformIngress returns an ingress with the strict dialect of a platform
// and a pool of four upstreams, of which the first two are in its own
// availability zone.
func newPlatformIngress(t testing.TB, runner *estimatingRunner, replica *settingsync.Replica, edits ...func(*ingress.Options)) *ingress.Ingress {
	t.Helper()
	pool := &fleet.Pool{Name: "s"}
	for number, zone := range []string{"z", "z", "y", "y"} {
		pool.Endpoints = append(pool.Endpoints, fleet.Endpoint{
			Key: fmt.Sprintf("d%d/u", number), Daemon: fmt.Sprintf("d%d", number), Zone: zone, State: fleet.StateReady,
			Upstream: member.Upstream{ID: "u", Service: "s", Slots: 5},
		})
	}
	view := &fleet.View{Pools: map[string]*fleet.Pool{"s": pool}, Daemons: 1}
	opts := ingress.Options{
		Bodies:  bodybuffer.New(16 << 20),
		Dialect: dialect.Caller{Deadline: "X-Left", Request: "X-Id", Origin: "X-From", OriginService: "own", OmitsDetails: true, StrictRejections: true},
		Clock:   clock.Real{}, Firm: "*", Place: "*", Replica: replica, Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Runner: runner, View: func() *fleet.View { return view }, Zone: "z",
	}
	for _, edit := range edits {
		edit(&opts)
	}
	return ingress.New(opts)
}

func newPlatformSettings() *settings.Tree {
	return settings.NewTree().Apply([]settings.Edit{
		{Path: settings.RootSection, Key: "quotes", Value: "2"},
		{Path: settings.RootSection, Key: "doubtPercent", Value: "35"},
		{Path: settings.RootSection, Key: "retryPercent", Value: "100"},
		{Path: "*/*/s/look", Key: "path", Value: "/look/"},
		{Path: "*/*/s/look", Key: "host", Value: "shop.example"},
		{Path: "*/*/s/look", Key: "method", Value: settings.AnyMethod},
		{Path: "*/*/s/look", Key: "idempotent", Value: "true"},
		{Path: "*/*/s/cut", Key: "path", Value: "/cut/"},
		{Path: "*/*/s/cut", Key: "host", Value: "shop.example"},
		{Path: "*/*/s/cut", Key: "method", Value: settings.AnyMethod},
	})
}

func sendRequest(in *ingress.Ingress, path, timeoutMillis, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "http://shop.example"+path, strings.NewReader(body))
	req.Header.Set("X-Id", "id-1")
	req.Header.Set("X-Left", timeoutMillis)
	req.Header.Set("X-From", "forged")
	rec := httptest.NewRecorder()
	in.ServeHTTP(rec, req)
	return rec
}

// TestStatusMatchesWhatIsProvenAboutRun checks the status that the caller of a
// non-idempotent request gets for each result. Only a request that is proven not
// to have run may get 503 and Retry-After, since a caller may retry it after
// that.
func TestStatusMatchesWhatIsProvenAboutRun(t *testing.T) {
	answers := func(answer wire.RunAnswer) func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
		return func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) { return answer, nil }
	}
	cases := []struct {
		name   string
		answer wire.RunAnswer
		status int
	}{
		{"ran", wire.RunAnswer{Outcome: outcome.Ran, Status: 201}, 201},
		{"ran and failed", wire.RunAnswer{Outcome: outcome.Ran, Status: 500}, 500},
		{"unknown, upstream failed", wire.Unknown(outcome.UpstreamFailed, ""), 502},
		{"unknown, deadline passed", wire.Unknown(outcome.Deadline, ""), 504},
		{"unknown, overloaded", wire.Unknown(outcome.Overloaded, ""), 502},
		{"unknown, stopping", wire.Unknown(outcome.Stopping, ""), 502},
		{"not run, deadline passed", wire.NotRun(outcome.Deadline, ""), 503},
		{"not run, overloaded", wire.NotRun(outcome.UpstreamRejected, ""), 503},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			in := newPlatformIngress(t, &estimatingRunner{estimate: noWait, answer: answers(tc.answer)}, newReplica(t, newPlatformSettings()))
			rec := sendRequest(in, "/cut/7", "300", "x")
			is.Equal(rec.Code, tc.status)
			if tc.answer.Outcome != outcome.Ran {
				is.Equal(rec.Header().Get("X-Id"), "id-1")
				is.Equal(rec.Header().Get("Retry-After") != "", tc.answer.Outcome == outcome.NotRun && tc.answer.Reason != outcome.Deadline)
			}
		})
	}
}

func TestOriginHeaderIsOverwritten(t *testing.T) {
	is := is.New(t)
	var got wire.RunRequest
	runner := &estimatingRunner{estimate: noWait, answer: func(_ fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		got = req
		return wire.RunAnswer{Outcome: outcome.Ran, Status: 200}, nil
	}}
	is.Equal(sendRequest(newPlatformIngress(t, runner, newReplica(t, newPlatformSettings())), "/cut/7", "1000", "x").Code, 200)
	is.Equal(got.Header["X-From"], []string{"own"})
	is.Equal(got.Header["X-Id"], []string{"id-1"})
	is.Equal(got.Header["X-Left"], nil)
	is.Equal(got.Host, "shop.example")
	is.True(got.Remaining <= time.Second)
}

func TestUnknownRouteIs404(t *testing.T) {
	is := is.New(t)
	is.Equal(sendRequest(newPlatformIngress(t, &estimatingRunner{}, newReplica(t, newPlatformSettings())), "/nowhere/", "1000", "").Code, 404)
}

// TestUnknownRouteInUnconfirmedSettingsIs503 checks that a daemon that may have missed
// newer settings doesn't deny a route that they may have: callers don't retry after a 404.
func TestUnknownRouteInUnconfirmedSettingsIs503(t *testing.T) {
	is := is.New(t)
	confirmed := false
	in := newPlatformIngress(t, &estimatingRunner{estimate: noWait, answer: succeed}, newReplica(t, newPlatformSettings()), func(opts *ingress.Options) {
		opts.SettingsConfirmed = func() bool { return confirmed }
	})
	rec := sendRequest(in, "/nowhere/", "1000", "")
	is.Equal(rec.Code, 503)
	is.True(rec.Header().Get("Retry-After") != "")
	is.Equal(sendRequest(in, "/look/", "1000", "").Code, 200) // A known route is served all the same.
	confirmed = true
	is.Equal(sendRequest(in, "/nowhere/", "1000", "").Code, 404)
}

// TestUpstreamThatLeavesIsAvoided checks that an ingress which passed on an answer of an
// upstream that leaves sends it nothing more, even if its gate would accept that.
func TestUpstreamThatLeavesIsAvoided(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{estimate: noWait, answer: func(endpoint fleet.Endpoint, _ wire.RunRequest) (wire.RunAnswer, error) {
		return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}, Load: wire.Load{Leaving: endpoint.Key == "d0/u"}}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
	for range 60 {
		is.Equal(sendRequest(in, "/cut/7", "2000", "x").Code, 200)
	}
	leavingGot := 0
	for _, key := range runner.endpointsSentTo() {
		if key == "d0/u" {
			leavingGot++
		}
	}
	is.Equal(leavingGot, 1)
}

// TestLimitOfUpstreamIsPassedOn checks that a gate learns the limit of its upstream from the
// ingresses that know it: it may have restarted since the upstream named it.
func TestLimitOfUpstreamIsPassedOn(t *testing.T) {
	is := is.New(t)
	var reported float64
	var passedOn []float64
	runner := &estimatingRunner{estimate: noWait, answer: func(_ fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		passedOn = append(passedOn, req.KnownLimit)
		return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}, Load: wire.Load{Limit: reported}}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()), func(opts *ingress.Options) {
		pool := &fleet.Pool{Name: "s", Endpoints: []fleet.Endpoint{{Key: "d0/u", Daemon: "d0", Zone: "z", State: fleet.StateReady, Upstream: member.Upstream{ID: "u", Service: "s", Slots: 5}}}}
		opts.View = func() *fleet.View {
			return &fleet.View{Pools: map[string]*fleet.Pool{"s": pool}, Daemons: 1}
		}
	})
	for _, reported = range []float64{2.5, 0, wire.NoLimit, 0} { // 0 is that of a gate that knows nothing.
		is.Equal(sendRequest(in, "/cut/7", "2000", "x").Code, 200)
	}
	is.Equal(passedOn, []float64{0, 2.5, 2.5, wire.NoLimit})
}

func TestShortestWaitEstimateIsChosen(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{answer: succeed, estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
		if endpoint.Key == "d1/u" {
			return wire.WaitEstimate{}, nil
		}
		return wire.WaitEstimate{Wait: time.Second}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
	for range 20 {
		is.Equal(sendRequest(in, "/cut/7", "5000", "x").Code, 200)
	}
	for _, key := range runner.endpointsSentTo() {
		is.Equal(key, "d1/u")
	}
}

// TestOtherZonesAreAskedOnlyIfWaitExceedsZoneCost guards against asking other
// availability zones while slots are free in the own one, since traffic between
// zones is expensive.
func TestOtherZonesAreAskedOnlyIfWaitExceedsZoneCost(t *testing.T) {
	cases := []struct {
		name           string
		wait           time.Duration
		wantOtherZones bool
	}{
		{"a slot is free in the own zone", 0, false},
		{"the wait in the own zone is shorter than the zone cost", 200 * time.Millisecond, false},
		{"the wait in the own zone is longer than the zone cost", 400 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var asked atomic.Int64
			runner := &estimatingRunner{answer: succeed, estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
				if endpoint.Zone != "z" {
					asked.Add(1)
					return wire.WaitEstimate{}, nil
				}
				return wire.WaitEstimate{Wait: tc.wait}, nil
			}}
			tree := newPlatformSettings().Apply([]settings.Edit{{Path: settings.RootSection, Key: "zoneCost", Value: "250ms"}})
			is.Equal(sendRequest(newPlatformIngress(t, runner, newReplica(t, tree)), "/cut/7", "5000", "x").Code, 200)
			is.Equal(asked.Load() > 0, tc.wantOtherZones)
		})
	}
}

// TestRequestThatCannotMeetDeadlineIsRejectedAtOnce simulates an overload in
// which every gate's wait estimate exceeds the request's remaining time.
func TestRequestThatCannotMeetDeadlineIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{answer: succeed, estimate: func(fleet.Endpoint) (wire.WaitEstimate, error) {
		return wire.WaitEstimate{Wait: 6 * time.Second, ExpectedDuration: time.Second}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
	started := time.Now()
	rec := sendRequest(in, "/cut/7", "3000", "x")
	is.Equal(rec.Code, 503)
	is.True(rec.Header().Get("Retry-After") != "")
	is.True(time.Since(started) < time.Second) // 125 ms is usual; a busy machine may take longer.
	is.Equal(len(runner.endpointsSentTo()), 0) // No body was sent.
}

// TestBodiesAreNotSentToSuspectedUpstreams simulates failure bursts: three of
// four gates reject non-idempotent requests, and the fleet view does not show it
// yet.
func TestBodiesAreNotSentToSuspectedUpstreams(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{answer: succeed, estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
		if endpoint.Key == "d2/u" {
			return wire.WaitEstimate{}, nil
		}
		return wire.WaitEstimate{Rejected: outcome.Suspected, Load: wire.Load{Suspected: true, TrialIn: time.Second}}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
	for range 20 {
		is.Equal(sendRequest(in, "/cut/7", "2000", "body").Code, 200)
	}
	is.Equal(runner.bodyBytes, 20*len("body"))
	for _, key := range runner.endpointsSentTo() {
		is.Equal(key, "d2/u")
	}
}

// TestFailedTrialRequestIsRetriedElsewhere sends idempotent requests while one
// upstream is suspected and fails its trial requests.
func TestFailedTrialRequestIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{
		estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
			return wire.WaitEstimate{Load: wire.Load{Suspected: endpoint.Key == "d0/u", RetriesLeft: 5}}, nil
		},
		answer: func(endpoint fleet.Endpoint, _ wire.RunRequest) (wire.RunAnswer, error) {
			status := 200
			if endpoint.Key == "d0/u" {
				status = 500
			}
			return wire.RunAnswer{Outcome: outcome.Ran, Status: status, Load: wire.Load{Suspected: status == 500, RetriesLeft: 5}}, nil
		},
	}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
	for range 100 {
		is.Equal(sendRequest(in, "/look/7", "2000", "").Code, 200)
	}
	is.True(strings.Contains(fmt.Sprint(runner.endpointsSentTo()), "d0/u")) // It received trial requests.
}

func TestRequestWaitsForFirstSettings(t *testing.T) {
	is := is.New(t)
	replica := newEmptyReplica()
	in := newPlatformIngress(t, &estimatingRunner{estimate: noWait, answer: succeed}, replica)
	go func() {
		time.Sleep(50 * time.Millisecond)
		applySettings(t, replica, newPlatformSettings())
	}()
	is.Equal(sendRequest(in, "/cut/7", "2000", "x").Code, 200)
}

func TestRequestWithoutSettingsGets503(t *testing.T) {
	is := is.New(t)
	in := newPlatformIngress(t, &estimatingRunner{}, newEmptyReplica())
	rec := sendRequest(in, "/cut/7", "1500", "x")
	is.Equal(rec.Code, 503)
}

// TestWithdrawCancelsQueuedRequests calls CancelQueued while one request is queued
// at a gate, and then sends another one. Both must be answered as not run, and the
// second must not reach a gate.
func TestWithdrawCancelsQueuedRequests(t *testing.T) {
	is := is.New(t)
	queued, release := make(chan struct{}), make(chan struct{})
	runner := &estimatingRunner{estimate: noWait, answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
		close(queued)
		<-release
		return wire.NotRun(outcome.Stopping, "withdrawn"), nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
	first := make(chan int, 1)
	go func() { first <- sendRequest(in, "/cut/7", "5000", "x").Code }()
	<-queued
	in.CancelQueued()
	is.Equal(len(runner.withdrawn), 1)
	close(release)
	is.Equal(<-first, 503)
	is.Equal(sendRequest(in, "/cut/8", "5000", "x").Code, 503)
	is.Equal(len(runner.endpointsSentTo()), 1) // The second request was not sent to any gate.
}

// TestLateRequestsOfAShutdown sends requests at several times after the start of a
// shutdown. One that may not end before the shutdown does must be answered as not run at
// once, and must not reach a gate; the others must be served.
func TestLateRequestsOfAShutdown(t *testing.T) {
	const grace = 6 * time.Second
	cases := []struct {
		after         time.Duration
		timeoutMillis string
		code          int
	}{
		{0, "6000", 200},
		{2 * time.Second, "6000", 200},
		{2600 * time.Millisecond, "6000", 503},
		{2600 * time.Millisecond, "3000", 200},
		{4 * time.Second, "2100", 503},
		{4 * time.Second, "1900", 200},
		{5900 * time.Millisecond, "500", 503},
	}
	for _, path := range []string{"/cut/7", "/look/7"} {
		for _, tc := range cases {
			t.Run(fmt.Sprint(path, tc.after, tc.timeoutMillis), func(t *testing.T) {
				is := is.New(t)
				runner := &estimatingRunner{estimate: noWait, answer: succeed}
				clo := clock.NewFake(time.Now())
				in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()), func(opts *ingress.Options) { opts.Clock = clo })
				in.Stop(clo.Now().Add(grace))
				clo.Advance(tc.after)
				rec := sendRequest(in, path, tc.timeoutMillis, "x")
				is.Equal(rec.Code, tc.code)
				is.Equal(len(runner.endpointsSentTo()) > 0, tc.code == 200)
			})
		}
	}
}

// TestEstimatesThatArriveAfterDeadline sends requests whose deadline passes
// while the ingress waits for further estimates.
func TestEstimatesThatArriveAfterDeadline(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{answer: succeed, estimate: func(endpoint fleet.Endpoint) (wire.WaitEstimate, error) {
		if endpoint.Key != "d0/u" {
			time.Sleep(20 * time.Millisecond)
		}
		return wire.WaitEstimate{Wait: 6 * time.Second}, nil
	}}
	in := newPlatformIngress(t, runner, newReplica(t, newPlatformSettings()))
	for range 20 {
		is.Equal(sendRequest(in, "/cut/7", "2", "x").Code, 503)
	}
}

// TestFirstAnswerIsKeptWhenRetryBudgetIsEmpty simulates a service whose retry
// budget is used up, so that its gates reject every retry.
func TestFirstAnswerIsKeptWhenRetryBudgetIsEmpty(t *testing.T) {
	is := is.New(t)
	runner := &estimatingRunner{estimate: noWait, answer: func(_ fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		if req.Retry {
			return wire.NotRun(outcome.RetryBudgetExhausted, "retry budget used up"), nil
		}
		return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusInternalServerError, Header: wire.Header{"X-Seal": {"own"}}}, nil
	}}
	rec := sendRequest(newPlatformIngress(t, runner, newReplica(t, newPlatformSettings())), "/look/7", "2000", "")
	is.Equal(rec.Code, 500)
	is.Equal(rec.Header().Get("X-Seal"), "own")
	is.True(len(runner.endpointsSentTo()) <= 6) // It gives up before it has tried all gates in vain.
}

// TestNoBodyIsSentWhenEstimatesReportEmptyRetryBudget covers the same case when
// the wait estimates already report the empty retry budget: no gate is sent a
// body that it would reject, and the caller gets the upstream's first answer.
func TestNoBodyIsSentWhenEstimatesReportEmptyRetryBudget(t *testing.T) {
	is := is.New(t)
	var failed atomic.Bool
	runner := &estimatingRunner{
		estimate: func(fleet.Endpoint) (wire.WaitEstimate, error) {
			if failed.Load() {
				return wire.WaitEstimate{Rejected: outcome.RetryBudgetExhausted}, nil
			}
			return wire.WaitEstimate{}, nil
		},
		answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
			failed.Store(true)
			return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusInternalServerError, Header: wire.Header{"X-Seal": {"own"}}}, nil
		},
	}
	rec := sendRequest(newPlatformIngress(t, runner, newReplica(t, newPlatformSettings())), "/look/7", "2000", "body")
	is.Equal(rec.Code, 500)
	is.Equal(rec.Header().Get("X-Seal"), "own")
	is.Equal(len(runner.endpointsSentTo()), 1)
}
