package ingress_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// newOrganisationSettings returns settings with two organisations, and an anonymous kind
// at /open/.
func newOrganisationSettings() *settings.Tree {
	return newPlatformSettings().Apply([]settings.Edit{
		{Path: "*/*/s/open", Key: "path", Value: "/open/"},
		{Path: "*/*/s/open", Key: "host", Value: "shop.example"},
		{Path: "*/*/s/open", Key: "method", Value: settings.AnyMethod},
		{Path: "*/*/s/open", Key: settings.KeyAnonymous, Value: "true"},
		{Path: "acme", Key: settings.KeyKeyDigests, Value: settings.NewKeyDigest("acme-key").String() + " " + settings.NewKeyDigest(strings.Repeat("k", 256)).String()},
		{Path: "acme", Key: settings.KeyTitle, Value: "Acme & Sons"},
		{Path: "acme", Key: settings.KeyOrganisationRank, Value: "1"},
		{Path: "acme", Key: settings.KeyQuotaRate, Value: "10"},
		{Path: "other", Key: settings.KeyKeyDigests, Value: settings.NewKeyDigest("other-key").String()},
	})
}

// capturingRunner is an estimatingRunner that keeps the last request.
type capturingRunner struct {
	estimatingRunner
	last atomic.Pointer[wire.RunRequest]
}

func newCapturingRunner() *capturingRunner {
	cr := &capturingRunner{}
	cr.estimate = noWait
	cr.answer = func(endpoint fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		cr.last.Store(&req)
		return succeed(endpoint, req)
	}
	return cr
}

func withOrganisationHeaders(opts *ingress.Options) {
	opts.Dialect.Credential, opts.Dialect.Organisation = "X-Key", "X-Org"
}

// callerRequest is a request with the given values of the credential header.
func callerRequest(path string, keys ...string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, "http://shop.example"+path, strings.NewReader("body"))
	req.Header.Set("X-Org", "forged")
	req.Header.Set(outcome.HeaderFirm, "forged")
	for _, key := range keys {
		req.Header.Add("X-Key", key)
	}
	return req
}

// TestRequestsNeedAKnownKey checks the status for each kind of credential, and what the
// upstream gets about the caller. It guards against a key, or a name that the caller
// forged, reaching an upstream.
func TestRequestsNeedAKnownKey(t *testing.T) {
	cases := []struct {
		name   string
		keys   []string
		look   int
		open   int
		title  string
		firm   string
		orgRnk int
	}{
		{name: "no key", look: 401, open: 200, firm: "*"},
		{name: "known", keys: []string{"acme-key"}, look: 200, open: 200, title: "Acme & Sons", firm: "acme", orgRnk: 1},
		{name: "longest", keys: []string{strings.Repeat("k", 256)}, look: 200, open: 200, title: "Acme & Sons", firm: "acme", orgRnk: 1},
		{name: "of an organisation without a title", keys: []string{"other-key"}, look: 200, open: 200, title: "other", firm: "other", orgRnk: 2},
		{name: "unknown", keys: []string{"acme-kez"}, look: 401, open: 401},
		{name: "other case", keys: []string{"Acme-Key"}, look: 401, open: 401},
		{name: "empty", keys: []string{""}, look: 401, open: 401},
		{name: "sent twice", keys: []string{"acme-key", "acme-key"}, look: 401, open: 401},
		{name: "in a list", keys: []string{"acme-key, acme-key"}, look: 401, open: 401},
		{name: "too long", keys: []string{strings.Repeat("k", 257)}, look: 401, open: 401},
		{name: "a digest", keys: []string{settings.NewKeyDigest("acme-key").String()}, look: 401, open: 401},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			runner := newCapturingRunner()
			in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), withOrganisationHeaders)
			for path, status := range map[string]int{"/look/1": tc.look, "/open/1": tc.open} {
				runner.last.Store(nil)
				rec := httptest.NewRecorder()
				in.ServeHTTP(rec, callerRequest(path, tc.keys...))
				is.Equal(rec.Code, status)
				sent := runner.last.Load()
				is.Equal(sent != nil, status == 200)
				if sent == nil {
					is.True(strings.HasPrefix(rec.Body.String(), "notRun: credentials: "))
					is.Equal(rec.Header().Get("Retry-After"), "")
					continue
				}
				is.Equal(sent.Firm, tc.firm) // Gates serve firms in turn.
				is.Equal(sent.OrganisationRank, tc.orgRnk)
				is.Equal(http.Header(sent.Header).Get("X-Org"), tc.title)
				is.Equal(len(http.Header(sent.Header).Values("X-Org")), min(len(tc.title), 1))
				is.Equal(sent.Header["X-Key"], nil)
				is.Equal(sent.Header[outcome.HeaderFirm], nil)
			}
		})
	}
}

// TestWithoutOrganisationsNothingVouchesForCallers guards against a change for deployments
// whose settings have no organisation, which need no key, and against a key, or a name that
// the caller forged, reaching an upstream after the last organisation was removed.
func TestWithoutOrganisationsNothingVouchesForCallers(t *testing.T) {
	is := is.New(t)
	runner := newCapturingRunner()
	in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newPlatformSettings()), withOrganisationHeaders)
	rec := httptest.NewRecorder()
	in.ServeHTTP(rec, callerRequest("/look/1", "any", "thing"))
	is.Equal(rec.Code, 200)
	sent := runner.last.Load()
	is.Equal(sent.Header["X-Key"], nil)
	is.Equal(sent.Header["X-Org"], nil)
	is.Equal(sent.Header[outcome.HeaderFirm], []string{"forged"})
	is.Equal(sent.Firm, "forged")
	is.Equal(sent.OrganisationRank, 0)
}

// TestNoKeyLeftServesAnonymousKindsOnly guards against requests of everybody that run, and
// a key that reaches an upstream, once no organisation has a key or there is no
// organisation left, and where callers have no header for a key.
func TestNoKeyLeftServesAnonymousKindsOnly(t *testing.T) {
	unset := func(path, key string) settings.Edit { return settings.Edit{Path: path, Key: key, Unset: true} }
	withoutKeys := newOrganisationSettings().Apply([]settings.Edit{unset("acme", settings.KeyKeyDigests), unset("other", settings.KeyKeyDigests)})
	withoutOrganisations := withoutKeys.Apply([]settings.Edit{
		unset("acme", settings.KeyTitle), unset("acme", settings.KeyOrganisationRank), unset("acme", settings.KeyQuotaRate),
		{Path: settings.RootSection, Key: settings.KeyRequireKeys, Value: "true"},
	})
	withoutHeader := func(opts *ingress.Options) { opts.Dialect.Credential, opts.Dialect.Organisation = "", "X-Org" }
	cases := []struct {
		name    string
		tree    *settings.Tree
		headers func(*ingress.Options)
		// openWithKey is the status of an anonymous kind for a request with a key.
		openWithKey int
	}{
		{"no keys", withoutKeys, withOrganisationHeaders, 401},
		{"no organisations", withoutOrganisations, withOrganisationHeaders, 401},
		{"no header", newOrganisationSettings(), withoutHeader, 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			runner := newCapturingRunner()
			in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, tc.tree), tc.headers)
			status := func(path string, keys ...string) int {
				rec := httptest.NewRecorder()
				in.ServeHTTP(rec, callerRequest(path, keys...))
				return rec.Code
			}
			for _, keys := range [][]string{nil, {""}, {"acme-key"}, {"other-key"}, {"unknown"}} {
				is.Equal(status("/look/1", keys...), 401)
				is.Equal(status("/cut/1", keys...), 401)
			}
			is.Equal(len(runner.endpointsSentTo()), 0)
			query := whereQuery("/look/1")
			where, err := in.Where(context.Background(), query)
			is.NoErr(err)
			is.Equal(where.Admission.Status, 401)
			if tc.tree.Nodes["acme"] != nil {
				query.Organisation = "acme"
				where, err = in.Where(context.Background(), query)
				is.NoErr(err)
				is.Equal(where.Admission.Status, 401)
			}
			is.Equal(status("/open/1", "acme-key"), tc.openWithKey)
			is.Equal(status("/open/1"), 200)
			is.Equal(runner.last.Load().Header["X-Org"], nil)
		})
	}
}

// TestUnknownKeyWithOldSettings guards against a caller being told that its key is wrong
// while the daemon may only not know it yet.
func TestUnknownKeyWithOldSettings(t *testing.T) {
	is := is.New(t)
	runner := newCapturingRunner()
	var confirmed atomic.Bool
	in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), withOrganisationHeaders, func(opts *ingress.Options) { opts.SettingsConfirmed = confirmed.Load })
	status := func(path string, keys ...string) int {
		rec := httptest.NewRecorder()
		in.ServeHTTP(rec, callerRequest(path, keys...))
		return rec.Code
	}
	is.Equal(status("/look/1"), 503)
	is.Equal(status("/open/1", "new-key"), 503)
	is.Equal(status("/look/1", "acme-key"), 200) // The settings in force stay.
	is.Equal(status("/open/1"), 200)
	confirmed.Store(true)
	is.Equal(status("/look/1"), 401)
	is.Equal(status("/open/1", "new-key"), 401)
	empty := newPlatformIngress(t, &runner.estimatingRunner, newEmptyReplica(), withOrganisationHeaders)
	rec := httptest.NewRecorder()
	empty.ServeHTTP(rec, callerRequest("/look/1", "acme-key"))
	is.Equal(rec.Code, 503)
}

// unreadableBody fails the test when it is read.
type unreadableBody struct{ t *testing.T }

func (un unreadableBody) Read([]byte) (int, error) {
	un.t.Error("the body is read")
	return 0, http.ErrBodyReadAfterClose
}

// fakeQuota returns the same verdict for each request and counts what is taken.
type fakeQuota struct {
	verdict   quota.Verdict
	uncertain bool
	// slowness is how long Levels takes.
	slowness time.Duration
	taken    int
	names    []string
}

func (fa *fakeQuota) Preview(ctx context.Context, _ *settings.Organisation) quota.Preview {
	if ctx.Err() != nil {
		return quota.Preview{Verdict: quota.Verdict{Outcome: quota.Unavailable}}
	}
	return quota.Preview{Verdict: fa.verdict, Uncertain: fa.uncertain}
}

func (fa *fakeQuota) Levels(_ context.Context, orgs []*settings.Organisation) []quota.Level {
	time.Sleep(fa.slowness)
	levels := make([]quota.Level, 0, len(orgs))
	for _, org := range orgs {
		levels = append(levels, quota.Level{Organisation: org.Name, PerSecond: 5, Depth: 9, Holders: []quota.HolderLevel{
			{Daemon: "d0", Zone: "z", Answered: true, Left: 2.5}, {Daemon: "d1", Zone: "y", Note: "no answer in time"},
		}})
	}
	return levels
}

func (fa *fakeQuota) Take(_ context.Context, org *settings.Organisation) quota.Verdict {
	if fa.verdict.Outcome == quota.Admitted {
		fa.taken++
	}
	fa.names = append(fa.names, org.Name)
	return fa.verdict
}

func (fa *fakeQuota) Return(*settings.Organisation) { fa.taken-- }

// TestRejectionsPrecedeTheBody guards against the memory and the time that the bodies of
// rejected requests would take.
func TestRejectionsPrecedeTheBody(t *testing.T) {
	is := is.New(t)
	runner := newCapturingRunner()
	over := &fakeQuota{verdict: quota.Verdict{Outcome: quota.OverLimit, RetryAfter: 1250 * time.Millisecond}}
	in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), withOrganisationHeaders, func(opts *ingress.Options) { opts.Quota = over })
	for _, keys := range [][]string{nil, {"unknown"}, {"acme-key"}} {
		req := httptest.NewRequest(http.MethodPost, "http://shop.example/look/1", unreadableBody{t})
		for _, key := range keys {
			req.Header.Add("X-Key", key)
		}
		rec := httptest.NewRecorder()
		in.ServeHTTP(rec, req)
		is.True(rec.Code == 401 || rec.Code == 429)
	}
	is.Equal(over.names, []string{"acme"}) // Only requests with a known key ask for quota.
	is.True(in.LastFailure().Unix() == 0)  // Says nothing about the services that upstreams of this VM depend on.
}

// TestAnswersOfTheQuota checks the answers to requests that the quota refuses, with the
// strict dialect and with the product's own.
func TestAnswersOfTheQuota(t *testing.T) {
	cases := []struct {
		verdict    quota.Verdict
		status     int
		text       string
		strict     string
		retryAfter string
	}{
		{quota.Verdict{Outcome: quota.OverLimit, RetryAfter: 1250 * time.Millisecond}, 429, "notRun: overQuota: ", "1.250", "2"},
		{quota.Verdict{Outcome: quota.OverLimit}, 429, "notRun: overQuota: ", "1.000", "1"},
		{quota.Verdict{Outcome: quota.Unavailable, RetryAfter: 200 * time.Millisecond}, 503, "notRun: quotaUnavailable: ", "0.200", "1"},
	}
	for _, tc := range cases {
		is := is.New(t)
		runner := newCapturingRunner()
		send := func(caller dialect.Caller) *httptest.ResponseRecorder {
			in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), func(opts *ingress.Options) {
				opts.Dialect, opts.Quota = caller, &fakeQuota{verdict: tc.verdict}
			})
			req := callerRequest("/cut/1")
			req.Header.Set(caller.Credential, "acme-key")
			rec := httptest.NewRecorder()
			in.ServeHTTP(rec, req)
			return rec
		}
		rec := send(dialect.Caller{Credential: "X-Key", Organisation: "X-Org", OmitsDetails: true, StrictRejections: true})
		is.Equal(rec.Code, tc.status)
		is.True(strings.HasPrefix(rec.Body.String(), tc.text))
		is.Equal(rec.Header().Get("Retry-After"), tc.strict)
		rec = send(dialect.DefaultCaller())
		is.Equal(rec.Code, tc.status)
		is.Equal(rec.Header().Get(outcome.HeaderOutcome), "notRun")
		is.Equal(rec.Header().Get("Retry-After"), tc.retryAfter)
		is.Equal(len(runner.endpointsSentTo()), 0)
	}
}

// TestQuotaOfRequestsThatDidNotRunIsReturned guards against a quota that shrinks by
// requests that no upstream ran, and against one that is returned for requests that ran.
func TestQuotaOfRequestsThatDidNotRunIsReturned(t *testing.T) {
	cases := []struct {
		name   string
		answer wire.RunAnswer
		body   string
		taken  int
	}{
		{"ran", wire.RunAnswer{Outcome: outcome.Ran, Status: 200}, "", 1},
		{"failed at the upstream", wire.RunAnswer{Outcome: outcome.Ran, Status: 500}, "", 1},
		{"may have run", wire.Unknown(outcome.UpstreamFailed, ""), "", 1},
		{"not run", wire.NotRun(outcome.Overloaded, ""), "", 0},
		{"body too large", wire.RunAnswer{Outcome: outcome.Ran, Status: 200}, strings.Repeat("x", 1<<20), 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			runner := newCapturingRunner()
			runner.answer = func(fleet.Endpoint, wire.RunRequest) (wire.RunAnswer, error) { return tc.answer, nil }
			taken := &fakeQuota{}
			in := newPlatformIngress(t, &runner.estimatingRunner, newReplica(t, newOrganisationSettings()), withOrganisationHeaders, func(opts *ingress.Options) { opts.Quota = taken })
			req := httptest.NewRequest(http.MethodPost, "http://shop.example/cut/1", bytes.NewReader([]byte(tc.body)))
			req.Header.Set("X-Key", "acme-key")
			req.Header.Set("X-Left", "300")
			in.ServeHTTP(httptest.NewRecorder(), req)
			is.Equal(taken.taken, tc.taken)
			is.Equal(len(taken.names), 1)
			req = callerRequest("/open/1", "other-key") // Has no limit.
			in.ServeHTTP(httptest.NewRecorder(), req)
			in.ServeHTTP(httptest.NewRecorder(), callerRequest("/open/1"))
			is.Equal(len(taken.names), 1)
		})
	}
}

// TestRemovedKeyIsRefusedWithTheNextRequest guards against a key that outlives the version
// that removes it, and against a request that its removal breaks off.
func TestRemovedKeyIsRefusedWithTheNextRequest(t *testing.T) {
	is := is.New(t)
	runner := newCapturingRunner()
	tree := newOrganisationSettings()
	replica := newReplica(t, tree)
	remove := func() {
		next := tree.Apply([]settings.Edit{{Path: "acme", Key: settings.KeyKeyDigests, Unset: true}})
		change := settings.Change{Version: 2, From: 1, Edits: []settings.AppliedEdit{{Edit: settings.Edit{Path: "acme", Key: settings.KeyKeyDigests, Unset: true}}}}
		_, err := replica.Apply(settingsync.Update{Version: 2, Digest: next.Digest(), Signature: settingsync.Sign(signingKey, 2, next.Digest()), Changes: []settings.Change{change}})
		is.NoErr(err)
	}
	runner.answer = func(endpoint fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		remove()
		return succeed(endpoint, req)
	}
	in := newPlatformIngress(t, &runner.estimatingRunner, replica, withOrganisationHeaders)
	rec := httptest.NewRecorder()
	in.ServeHTTP(rec, callerRequest("/look/1", "acme-key"))
	is.Equal(rec.Code, 200)
	rec = httptest.NewRecorder()
	in.ServeHTTP(rec, callerRequest("/look/1", "acme-key"))
	is.Equal(rec.Code, 401)
}
