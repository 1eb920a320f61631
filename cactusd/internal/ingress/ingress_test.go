package ingress_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// fakeRunner returns the answers in order, the last one repeatedly, and records
// the endpoints that attempts were sent to.
type fakeRunner struct {
	mu      sync.Mutex
	answers []func() (wire.RunAnswer, error)
	sentTo  []string
}

func (fa *fakeRunner) Run(_ context.Context, endpoint fleet.Endpoint, _ wire.RunRequest) (wire.RunAnswer, error) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	index := min(len(fa.sentTo), len(fa.answers)-1)
	fa.sentTo = append(fa.sentTo, endpoint.Key)
	return fa.answers[index]()
}

func (fa *fakeRunner) EstimateWait(context.Context, fleet.Endpoint, wire.WaitEstimateRequest) (wire.WaitEstimate, error) {
	return wire.WaitEstimate{}, nil
}

func (fa *fakeRunner) Withdraw(context.Context, fleet.Endpoint, wire.Withdrawal) {}

// fakeClaims returns the same grant for every claim.
type fakeClaims struct {
	grant      claim.Grant
	releasable bool
	mu         sync.Mutex
	recorded   int
	released   int
}

func (fa *fakeClaims) Acquire(context.Context, string, string) claim.Grant { return fa.grant }

func (fa *fakeClaims) Record(claim.Grant, *claim.Record) { fa.recorded++ }

func (fa *fakeClaims) Release(claim.Grant) bool {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.released++
	return fa.releasable
}

func ran(status int) func() (wire.RunAnswer, error) {
	return func() (wire.RunAnswer, error) {
		return wire.RunAnswer{Outcome: outcome.Ran, Status: status, Header: wire.Header{}, Body: []byte("whole")}, nil
	}
}

func rejected(reason outcome.Reason) func() (wire.RunAnswer, error) {
	return func() (wire.RunAnswer, error) { return wire.NotRun(reason, "rejected"), nil }
}

func unknown() (wire.RunAnswer, error) {
	return wire.Unknown(outcome.UpstreamFailed, "connection cut"), nil
}

func linkError(err error) func() (wire.RunAnswer, error) {
	return func() (wire.RunAnswer, error) { return wire.RunAnswer{}, err }
}

type fixture struct {
	runner *fakeRunner
	claims *fakeClaims
	in     *ingress.Ingress
}

// signingKey signs the settings in these tests.
var signingKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func newEmptyReplica() *settingsync.Replica {
	return settingsync.NewReplica(func() []ed25519.PublicKey { return []ed25519.PublicKey{signingKey.Public().(ed25519.PublicKey)} })
}

func applySettings(t testing.TB, replica *settingsync.Replica, tree *settings.Tree) {
	t.Helper()
	if _, err := replica.Apply(settingsync.Update{Version: 1, Digest: tree.Digest(), Signature: settingsync.Sign(signingKey, 1, tree.Digest()), Tree: tree.Nodes}); err != nil {
		t.Error(err)
	}
}

func newReplica(t testing.TB, tree *settings.Tree) *settingsync.Replica {
	t.Helper()
	replica := newEmptyReplica()
	applySettings(t, replica, tree)
	return replica
}

func newFixture(t testing.TB, answers ...func() (wire.RunAnswer, error)) *fixture {
	t.Helper()
	tree := settings.NewTree().Apply([]settings.Edit{
		{Path: "*/*/s/look", Key: "path", Value: "/look"},
		{Path: "*/*/s/look", Key: "idempotent", Value: "true"},
		{Path: "*/*/s/price", Key: "path", Value: "/price"},
		{Path: "*/*/s/price", Key: "internal", Value: "true"},
		{Path: "*/*/s/price", Key: "idempotent", Value: "true"},
		{Path: "*/*/s/stock", Key: "path", Value: "/stock/"},
		{Path: "*/*/s/cut", Key: "path", Value: "/cut"},
		{Path: "*/*/s/cut", Key: "method", Value: "POST"},
		{Path: "*/*/s/cut", Key: "bodyLimit", Value: "100"},
	})
	replica := newReplica(t, tree)
	tokenFile := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(tokenFile, []byte("a-token-of-our-services"), 0o600); err != nil {
		t.Fatal(err)
	}
	tokens, err := auth.OpenTokens(tokenFile)
	if err != nil {
		t.Fatal(err)
	}
	pool := &fleet.Pool{Name: "s"}
	for number := range 4 {
		pool.Endpoints = append(pool.Endpoints, fleet.Endpoint{
			Key: fmt.Sprintf("d%d/u", number), Daemon: fmt.Sprintf("d%d", number), State: fleet.StateReady,
			Upstream: member.Upstream{ID: "u", Service: "s", Slots: 5},
		})
	}
	view := &fleet.View{Pools: map[string]*fleet.Pool{"s": pool}}
	fi := &fixture{runner: &fakeRunner{answers: answers}, claims: &fakeClaims{grant: claim.Grant{Result: claim.Won}, releasable: true}}
	fi.in = ingress.New(ingress.Options{
		Bodies:  bodybuffer.New(16 << 20),
		Dialect: dialect.DefaultCaller(),
		Claims:  fi.claims, Clock: clock.Real{}, Firm: "f", Place: "p", Replica: replica, Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Runner: fi.runner, Services: tokens, View: func() *fleet.View { return view }, Zone: "z",
	})
	return fi
}

func (fi *fixture) send(method, path, key, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		req.Header.Set(outcome.HeaderKey, key)
	}
	rec := httptest.NewRecorder()
	fi.in.ServeHTTP(rec, req)
	return rec
}

// fillRetryBudget sends successful requests to fill the retry budget.
func (fi *fixture) fillRetryBudget(t *testing.T) {
	t.Helper()
	answers := fi.runner.answers
	fi.runner.answers = []func() (wire.RunAnswer, error){ran(200)}
	for range 50 {
		fi.send("GET", "/look", "", "")
	}
	fi.runner.answers, fi.runner.sentTo = answers, nil
}

// TestRetriesByResultOfFirstAttempt checks, for every result of a first attempt,
// whether a second attempt follows and which outcome the caller gets.
func TestRetriesByResultOfFirstAttempt(t *testing.T) {
	notSent := fmt.Errorf("dial: %w", link.ErrNotSent)
	linkLost := fmt.Errorf("read: %w", link.ErrLost)
	cases := []struct {
		name               string
		first              func() (wire.RunAnswer, error)
		idempotentAttempts int // All attempts, if the second one succeeds.
		onceAttempts       int
		onceOutcome        outcome.Outcome
	}{
		{"complete response", ran(200), 1, 1, outcome.Ran},
		{"client error is a response", ran(404), 1, 1, outcome.Ran},
		{"server error", ran(500), 2, 1, outcome.Ran},
		{"gate rejects: stopping", rejected(outcome.Stopping), 2, 2, outcome.Ran},
		{"gate rejects: overloaded", rejected(outcome.Overloaded), 2, 2, outcome.Ran},
		{"upstream rejects without running it", rejected(outcome.UpstreamRejected), 2, 2, outcome.Ran},
		{"upstream connection cut", unknown, 2, 1, outcome.Unknown},
		{"link not sent", linkError(notSent), 2, 2, outcome.Ran},
		{"link lost after sending", linkError(linkLost), 2, 1, outcome.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fi := newFixture(t, tc.first, ran(200))
			fi.fillRetryBudget(t)
			is.Equal(fi.send("GET", "/look", "", "").Header().Get(outcome.HeaderOutcome), "ran")
			is.Equal(len(fi.runner.sentTo), tc.idempotentAttempts)
			fi = newFixture(t, tc.first, ran(200))
			fi.fillRetryBudget(t)
			rec := fi.send("POST", "/cut", uuid.Must(uuid.NewV7()).String(), "x")
			is.Equal(rec.Header().Get(outcome.HeaderOutcome), string(tc.onceOutcome))
			is.Equal(len(fi.runner.sentTo), tc.onceAttempts)
			if len(fi.runner.sentTo) == 2 {
				is.True(fi.runner.sentTo[0] != fi.runner.sentTo[1]) // The retry goes to another upstream.
			}
		})
	}
}

func TestPossibleRunIsNeverReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t, unknown, rejected(outcome.Stopping))
	fi.fillRetryBudget(t)
	rec := fi.send("GET", "/look", "", "")
	is.Equal(rec.Header().Get(outcome.HeaderOutcome), "unknown")
}

// TestClaims checks which outcome the caller gets for every result of a claim.
func TestClaims(t *testing.T) {
	cases := []struct {
		name       string
		grant      claim.Grant
		withKey    outcome.Outcome
		withoutKey outcome.Outcome
		runs       int
	}{
		{"won", claim.Grant{Result: claim.Won}, outcome.Ran, outcome.Ran, 1},
		{"another attempt is running", claim.Grant{Result: claim.LostRunning}, outcome.Unknown, outcome.Unknown, 0},
		{"another attempt has run", claim.Grant{Result: claim.LostFinished, Record: &claim.Record{Status: 201, Whole: true, Body: []byte("first")}}, outcome.Ran, outcome.Ran, 0},
		{"another attempt has run, response not stored", claim.Grant{Result: claim.LostFinished, Record: &claim.Record{Status: 201}}, outcome.Unknown, outcome.Unknown, 0},
		{"key closed", claim.Grant{Result: claim.LostClosed}, outcome.NotRun, outcome.NotRun, 0},
		{"key too old", claim.Grant{Result: claim.LostTooOld}, outcome.Unknown, outcome.Unknown, 0},
		{"no quorum", claim.Grant{Result: claim.LostNoQuorum}, outcome.Unknown, outcome.NotRun, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fi := newFixture(t, ran(200))
			fi.claims.grant = tc.grant
			rec := fi.send("POST", "/cut", uuid.Must(uuid.NewV7()).String(), "x")
			is.Equal(rec.Header().Get(outcome.HeaderOutcome), string(tc.withKey))
			is.Equal(len(fi.runner.sentTo), tc.runs)
			is.Equal(fi.claims.recorded, tc.runs)
			rec = fi.send("POST", "/cut", "", "x")
			is.Equal(rec.Header().Get(outcome.HeaderOutcome), string(tc.withoutKey))
		})
	}
}

func TestNotRunRequiresReleaseOfKey(t *testing.T) {
	is := is.New(t)
	key := uuid.Must(uuid.NewV7()).String()
	fi := newFixture(t, rejected(outcome.Stopping))
	is.Equal(fi.send("POST", "/cut", key, "x").Header().Get(outcome.HeaderOutcome), "notRun")
	is.Equal(fi.claims.released, 1)
	fi.claims.releasable = false
	is.Equal(fi.send("POST", "/cut", key, "x").Header().Get(outcome.HeaderOutcome), "unknown")
}

// TestInvalidRequests sends requests with errors that callers may make.
func TestInvalidRequests(t *testing.T) {
	validKey := uuid.Must(uuid.NewV7()).String()
	cases := []struct {
		name, method, path, key, body string
		status                        int
		wantOutcome                   outcome.Outcome
	}{
		{"no route", "GET", "/nowhere", "", "", http.StatusNotFound, outcome.NotRun},
		{"no route, own key", "POST", "/nowhere", validKey, "", http.StatusNotFound, outcome.Unknown},
		{"escaped slash isn't the end of a segment", "GET", "/stock%2Fitem", "", "", http.StatusNotFound, outcome.NotRun},
		{"wrong method", "POST", "/look", "", "", http.StatusNotFound, outcome.NotRun},
		{"bad key", "POST", "/cut", "order-7", "", http.StatusBadRequest, outcome.NotRun},
		{"body too large", "POST", "/cut", "", strings.Repeat("x", 101), http.StatusRequestEntityTooLarge, outcome.NotRun},
		{"body too large, own key", "POST", "/cut", validKey, strings.Repeat("x", 101), http.StatusRequestEntityTooLarge, outcome.Unknown},
		{"internal without credential", "GET", "/price", "", "", http.StatusUnauthorized, outcome.NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fi := newFixture(t, ran(200))
			rec := fi.send(tc.method, tc.path, tc.key, tc.body)
			is.Equal(rec.Code, tc.status)
			is.Equal(rec.Header().Get(outcome.HeaderOutcome), string(tc.wantOutcome))
			is.Equal(len(fi.runner.sentTo), 0)
		})
	}
}

func TestRetryBudgetLimitsAmplification(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t, ran(500))
	const requests = 2000
	for range requests {
		fi.send("GET", "/look", "", "")
	}
	amplification := float64(len(fi.runner.sentTo)) / requests
	t.Logf("%.3f attempts a request", amplification)
	is.True(amplification <= 1.1)
}

func TestOverloadIsThrottledAtIngress(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t, rejected(outcome.Overloaded))
	const requests = 2000
	for range requests {
		fi.send("GET", "/look", "", "")
	}
	is.True(len(fi.runner.sentTo) < requests/4) // Most requests never reach a gate.
}

func TestUnreachableDaemonIsAvoided(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t, linkError(fmt.Errorf("dial: %w", link.ErrNotSent)), ran(200))
	fi.send("GET", "/look", "", "")
	unreachable := fi.runner.sentTo[0]
	for range 100 {
		fi.send("GET", "/look", "", "")
	}
	for _, key := range fi.runner.sentTo[1:] {
		is.True(key != unreachable)
	}
}

func BenchmarkServe(b *testing.B) {
	fi := newFixture(b, ran(200))
	b.ReportAllocs()
	for b.Loop() {
		fi.send("GET", "/look", "", "")
	}
}

// TestInvalidStatusOfAGateIsNoAnswer lets the gate of a daemon of an earlier version return
// the response of an upstream with a status that no response can have. net/http panics when
// it is to write 000, and 600 is no status either.
func TestInvalidStatusOfAGateIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101, 600, 999, 1000, -1} {
		is := is.New(t)
		fi := newFixture(t, ran(status))
		rec := fi.send("POST", "/cut", "", "{}")
		is.Equal(rec.Code, http.StatusBadGateway)
		is.Equal(rec.Header().Get(outcome.HeaderOutcome), string(outcome.Unknown))

		fi = newFixture(t, ran(status), ran(200))
		fi.fillRetryBudget(t)
		is.Equal(fi.send("GET", "/look", "", "").Code, http.StatusOK) // It is retried like a failure.

		fi = newFixture(t, ran(200))
		fi.claims.grant = claim.Grant{Result: claim.LostFinished, Record: &claim.Record{Status: status, Whole: true}}
		is.Equal(fi.send("POST", "/cut", "0198c5a0-0000-7000-8000-000000000000", "{}").Code, http.StatusBadGateway)
	}
}

// TestInvalidFieldNameOfAGateIsNoAnswer lets the gate of a daemon of an earlier version return
// a response with a field name that holds a blank. The field may have been meant to frame
// the body.
func TestInvalidFieldNameOfAGateIsNoAnswer(t *testing.T) {
	for _, name := range []string{"Content-Length ", "Transfer Encoding", " X-Note", "X\tNote", "X-\x01Note", "X-\x7fNote", ""} {
		is := is.New(t)
		broken := func() (wire.RunAnswer, error) {
			return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{name: {"5"}}}, nil
		}
		fi := newFixture(t, broken)
		rec := fi.send("POST", "/cut", "", "{}")
		is.Equal(rec.Code, http.StatusBadGateway)
		is.Equal(rec.Header().Get(outcome.HeaderOutcome), string(outcome.Unknown))

		fi = newFixture(t, broken, ran(200))
		fi.fillRetryBudget(t)
		is.Equal(fi.send("GET", "/look", "", "").Code, http.StatusOK) // It is retried like a failure.
	}
}
