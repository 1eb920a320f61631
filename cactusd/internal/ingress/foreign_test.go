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
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/spread"
)

// quotingRunner is the gates of a pool: each quotes and answers as the test says.
type quotingRunner struct {
	mu        sync.Mutex
	quote     func(end fleet.Endpoint) (wire.QuoteAnswer, error)
	answer    func(end fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error)
	went      []string
	withdrawn []string
	bodies    int
}

func (qu *quotingRunner) Run(_ context.Context, end fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
	qu.mu.Lock()
	qu.went = append(qu.went, end.Key)
	qu.bodies += len(req.Body)
	qu.mu.Unlock()
	return qu.answer(end, req)
}

func (qu *quotingRunner) Quote(_ context.Context, end fleet.Endpoint, _ wire.QuoteRequest) (wire.QuoteAnswer, error) {
	return qu.quote(end)
}

func (qu *quotingRunner) Withdraw(_ context.Context, _ fleet.Endpoint, wit wire.Withdrawal) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.withdrawn = append(qu.withdrawn, wit.Attempt)
}

func (qu *quotingRunner) places() []string {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return append([]string(nil), qu.went...)
}

func free(fleet.Endpoint) (wire.QuoteAnswer, error) { return wire.QuoteAnswer{}, nil }

func runs(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
	return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}}, nil
}

// newForeign returns an ingress that speaks like a platform's, in front of a
// pool of four upstreams, the first two in its own availability zone.
func newForeign(t testing.TB, runner *quotingRunner, holder *spread.Holder) *ingress.Ingress {
	t.Helper()
	pool := &fleet.Pool{Name: "s"}
	for number, zone := range []string{"z", "z", "y", "y"} {
		pool.Endpoints = append(pool.Endpoints, fleet.Endpoint{
			Key: fmt.Sprintf("d%d/u", number), Daemon: fmt.Sprintf("d%d", number), Zone: zone, State: fleet.StateReady,
			Upstream: member.Upstream{ID: "u", Service: "s", Slots: 5},
		})
	}
	view := &fleet.View{Pools: map[string]*fleet.Pool{"s": pool}, Daemons: 1}
	return ingress.New(ingress.Options{
		Dialect: dialect.Caller{Deadline: "X-Left", Request: "X-Id", Origin: "X-From", OriginService: "own", IsPlain: true, StrictRefusals: true},
		Clock:   clock.Real{}, Firm: "*", Place: "*", Holder: holder, Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Runner: runner, View: func() *fleet.View { return view }, Zone: "z",
	})
}

func foreignTree() *settings.Tree {
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

func call(in *ingress.Ingress, path, left, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "http://shop.example"+path, strings.NewReader(body))
	req.Header.Set("X-Id", "id-1")
	req.Header.Set("X-Left", left)
	req.Header.Set("X-From", "forged")
	rec := httptest.NewRecorder()
	in.ServeHTTP(rec, req)
	return rec
}

// TestStatusesPromiseOnlyWhatIsProved says for each end of a request that may run
// once only which status its caller gets.
func TestStatusesPromiseOnlyWhatIsProved(t *testing.T) {
	answers := func(answer wire.RunAnswer) func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
		return func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) { return answer, nil }
	}
	cases := []struct {
		name   string
		answer wire.RunAnswer
		status int
	}{
		{"it ran", wire.RunAnswer{Outcome: outcome.Ran, Status: 201}, 201},
		{"it ran and failed", wire.RunAnswer{Outcome: outcome.Ran, Status: 500}, 500},
		{"nobody knows", wire.Unknown(outcome.UpstreamFailed, ""), 502},
		{"nobody knows at the deadline", wire.Unknown(outcome.Deadline, ""), 504},
		{"nobody knows, of an overload", wire.Unknown(outcome.Overloaded, ""), 502},
		{"nobody knows, of a stop", wire.Unknown(outcome.Stopping, ""), 502},
		{"proved, at the deadline", wire.NotRun(outcome.Deadline, ""), 503},
		{"proved, of an overload", wire.NotRun(outcome.Shed, ""), 503},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			in := newForeign(t, &quotingRunner{quote: free, answer: answers(tc.answer)}, holderOf(t, foreignTree()))
			rec := call(in, "/cut/7", "300", "x")
			is.Equal(rec.Code, tc.status)
			if tc.answer.Outcome != outcome.Ran {
				is.Equal(rec.Header().Get("X-Id"), "id-1")
				is.Equal(rec.Header().Get("Retry-After") != "", tc.answer.Outcome == outcome.NotRun && tc.answer.Reason != outcome.Deadline)
			}
		})
	}
}

func TestOriginIsSetWhateverWasSent(t *testing.T) {
	is := is.New(t)
	var got wire.RunRequest
	runner := &quotingRunner{quote: free, answer: func(_ fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		got = req
		return wire.RunAnswer{Outcome: outcome.Ran, Status: 200}, nil
	}}
	is.Equal(call(newForeign(t, runner, holderOf(t, foreignTree())), "/cut/7", "1000", "x").Code, 200)
	is.Equal(got.Header["X-From"], []string{"own"})
	is.Equal(got.Header["X-Id"], []string{"id-1"})
	is.Equal(got.Header["X-Left"], nil)
	is.Equal(got.Host, "shop.example")
	is.True(got.Remaining <= time.Second)
}

func TestUnknownRouteIs404(t *testing.T) {
	is := is.New(t)
	is.Equal(call(newForeign(t, &quotingRunner{}, holderOf(t, foreignTree())), "/nowhere/", "1000", "").Code, 404)
}

func TestShortestWaitIsChosen(t *testing.T) {
	is := is.New(t)
	runner := &quotingRunner{answer: runs, quote: func(end fleet.Endpoint) (wire.QuoteAnswer, error) {
		if end.Key == "d1/u" {
			return wire.QuoteAnswer{}, nil
		}
		return wire.QuoteAnswer{Wait: time.Second}, nil
	}}
	in := newForeign(t, runner, holderOf(t, foreignTree()))
	for range 20 {
		is.Equal(call(in, "/cut/7", "5000", "x").Code, 200)
	}
	for _, key := range runner.places() {
		is.Equal(key, "d1/u")
	}
}

// TestOtherZonesAreAskedOnlyWhenTheyCouldWin is the pattern of an ordinary hour:
// slots are free in the own availability zone, and bytes between zones are dear.
func TestOtherZonesAreAskedOnlyWhenTheyCouldWin(t *testing.T) {
	cases := []struct {
		name string
		wait time.Duration
		far  bool
	}{
		{"a slot is free in the own zone", 0, false},
		{"the wait there is shorter than crossing costs", 200 * time.Millisecond, false},
		{"the wait there is longer", 400 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var asked atomic.Int64
			runner := &quotingRunner{answer: runs, quote: func(end fleet.Endpoint) (wire.QuoteAnswer, error) {
				if end.Zone != "z" {
					asked.Add(1)
					return wire.QuoteAnswer{}, nil
				}
				return wire.QuoteAnswer{Wait: tc.wait}, nil
			}}
			tree := foreignTree().Apply([]settings.Edit{{Path: settings.RootSection, Key: "zoneCost", Value: "250ms"}})
			is.Equal(call(newForeign(t, runner, holderOf(t, tree)), "/cut/7", "5000", "x").Code, 200)
			is.Equal(asked.Load() > 0, tc.far)
		})
	}
}

// TestWhatCannotEndInTimeIsRefusedAtOnce is the pattern of a flood: every gate
// quotes more than a request has left.
func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	runner := &quotingRunner{answer: runs, quote: func(fleet.Endpoint) (wire.QuoteAnswer, error) {
		return wire.QuoteAnswer{Wait: 6 * time.Second, Need: time.Second}, nil
	}}
	in := newForeign(t, runner, holderOf(t, foreignTree()))
	started := time.Now()
	rec := call(in, "/cut/7", "3000", "x")
	is.Equal(rec.Code, 503)
	is.True(rec.Header().Get("Retry-After") != "")
	is.True(time.Since(started) < time.Second) // An eighth of a second is usual; a busy machine may take longer.
	is.Equal(len(runner.places()), 0)          // No body travelled.
}

// TestBodiesDoNotTravelToDoubtfulUpstreams is the pattern of bouts: three of four
// gates refuse work that may run once only, and the fleet has not heard of it.
func TestBodiesDoNotTravelToDoubtfulUpstreams(t *testing.T) {
	is := is.New(t)
	runner := &quotingRunner{answer: runs, quote: func(end fleet.Endpoint) (wire.QuoteAnswer, error) {
		if end.Key == "d2/u" {
			return wire.QuoteAnswer{}, nil
		}
		return wire.QuoteAnswer{Refused: outcome.Doubtful, Load: wire.Load{Doubtful: true, TrialIn: time.Second}}, nil
	}}
	in := newForeign(t, runner, holderOf(t, foreignTree()))
	for range 20 {
		is.Equal(call(in, "/cut/7", "2000", "body").Code, 200)
	}
	is.Equal(runner.bodies, 20*len("body"))
	for _, key := range runner.places() {
		is.Equal(key, "d2/u")
	}
}

// TestFailedTrialIsRepeatedElsewhere lets idempotent work try a doubtful
// upstream, which fails it.
func TestFailedTrialIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	runner := &quotingRunner{
		quote: func(end fleet.Endpoint) (wire.QuoteAnswer, error) {
			return wire.QuoteAnswer{Load: wire.Load{Doubtful: end.Key == "d0/u", Repeats: 5}}, nil
		},
		answer: func(end fleet.Endpoint, _ wire.RunRequest) (wire.RunAnswer, error) {
			status := 200
			if end.Key == "d0/u" {
				status = 500
			}
			return wire.RunAnswer{Outcome: outcome.Ran, Status: status, Load: wire.Load{Doubtful: status == 500, Repeats: 5}}, nil
		},
	}
	in := newForeign(t, runner, holderOf(t, foreignTree()))
	for range 100 {
		is.Equal(call(in, "/look/7", "2000", "").Code, 200)
	}
	is.True(strings.Contains(fmt.Sprint(runner.places()), "d0/u")) // It got trials.
}

func TestFirstSettingsAreWaitedFor(t *testing.T) {
	is := is.New(t)
	holder := emptyHolder()
	in := newForeign(t, &quotingRunner{quote: free, answer: runs}, holder)
	go func() {
		time.Sleep(50 * time.Millisecond)
		applyTree(t, holder, foreignTree())
	}()
	is.Equal(call(in, "/cut/7", "2000", "x").Code, 200)
}

func TestWithoutSettingsItIs503(t *testing.T) {
	is := is.New(t)
	in := newForeign(t, &quotingRunner{}, emptyHolder())
	rec := call(in, "/cut/7", "1500", "x")
	is.Equal(rec.Code, 503)
}

// TestStopWithdrawsWhatWaits stops an ingress while a request waits at a gate and
// another one comes.
func TestStopWithdrawsWhatWaits(t *testing.T) {
	is := is.New(t)
	waiting, release := make(chan struct{}), make(chan struct{})
	runner := &quotingRunner{quote: free, answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
		close(waiting)
		<-release
		return wire.NotRun(outcome.Stopping, "withdrawn"), nil
	}}
	in := newForeign(t, runner, holderOf(t, foreignTree()))
	first := make(chan int, 1)
	go func() { first <- call(in, "/cut/7", "5000", "x").Code }()
	<-waiting
	in.Drain()
	in.Withdraw()
	is.Equal(len(runner.withdrawn), 1)
	close(release)
	is.Equal(<-first, 503)
	is.Equal(call(in, "/cut/8", "5000", "x").Code, 503)
	is.Equal(len(runner.places()), 1) // The second was sent nowhere.
}

// TestQuotesThatEndAfterTheDeadline gives a request so little time that it is
// over while the other quotes are waited for.
func TestQuotesThatEndAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	runner := &quotingRunner{answer: runs, quote: func(end fleet.Endpoint) (wire.QuoteAnswer, error) {
		if end.Key != "d0/u" {
			time.Sleep(20 * time.Millisecond)
		}
		return wire.QuoteAnswer{Wait: 6 * time.Second}, nil
	}}
	in := newForeign(t, runner, holderOf(t, foreignTree()))
	for range 20 {
		is.Equal(call(in, "/cut/7", "2", "x").Code, 503)
	}
}

// TestWithoutRepeatsTheFirstAnswerStands is the pattern of a service whose retry
// budget is used up: its gates refuse every repeat.
func TestWithoutRepeatsTheFirstAnswerStands(t *testing.T) {
	is := is.New(t)
	runner := &quotingRunner{quote: free, answer: func(_ fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		if req.Repeat {
			return wire.NotRun(outcome.NoRepeats, "used up"), nil
		}
		return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusInternalServerError, Header: wire.Header{"X-Seal": {"own"}}}, nil
	}}
	rec := call(newForeign(t, runner, holderOf(t, foreignTree())), "/look/7", "2000", "")
	is.Equal(rec.Code, 500)
	is.Equal(rec.Header().Get("X-Seal"), "own")
	is.True(len(runner.places()) <= 6) // It does not go round all gates in vain.
}

// TestNoBodyTravelsWithoutARepeat is the same where the quotes say so already: no
// gate is sent a body that it would refuse, and the upstream's answer stands.
func TestNoBodyTravelsWithoutARepeat(t *testing.T) {
	is := is.New(t)
	var failed atomic.Bool
	runner := &quotingRunner{
		quote: func(fleet.Endpoint) (wire.QuoteAnswer, error) {
			if failed.Load() {
				return wire.QuoteAnswer{Refused: outcome.NoRepeats}, nil
			}
			return wire.QuoteAnswer{}, nil
		},
		answer: func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) {
			failed.Store(true)
			return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusInternalServerError, Header: wire.Header{"X-Seal": {"own"}}}, nil
		},
	}
	rec := call(newForeign(t, runner, holderOf(t, foreignTree())), "/look/7", "2000", "body")
	is.Equal(rec.Code, 500)
	is.Equal(rec.Header().Get("X-Seal"), "own")
	is.Equal(len(runner.places()), 1)
}
