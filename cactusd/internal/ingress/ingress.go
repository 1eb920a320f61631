// Package ingress accepts callers' requests and forwards each one to an upstream
// through the gate of the daemon on its VM. Every caller gets either the complete
// response to its own request, or an error that says whether the request ran.
//
// Usage:
//
//	in := ingress.New(options)
//	http.Handle("/", in)
//
// docs/callers.md is the contract with callers.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/budget"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/placement"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
	"cactusstream.example/core/stream"
	"cactusstream.example/core/throttle"
)

// Runner runs attempts through the gate of an endpoint's daemon, and asks it for
// wait estimates.
type Runner interface {
	Run(ctx context.Context, endpoint fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error)
	EstimateWait(ctx context.Context, endpoint fleet.Endpoint, req wire.WaitEstimateRequest) (wire.WaitEstimate, error)
	Withdraw(ctx context.Context, endpoint fleet.Endpoint, withdrawal wire.Withdrawal)
}

// Claims acquires and releases claims on the idempotency keys of non-idempotent
// requests.
type Claims interface {
	Acquire(ctx context.Context, key, attempt string) claim.Grant
	Record(grant claim.Grant, rec *claim.Record)
	Release(grant claim.Grant) bool
}

// Options configures an Ingress.
type Options struct {
	// Bodies holds the bodies of requests until the requests have ended.
	Bodies *bodybuffer.Buffer
	// Claims is nil where callers never send a request twice.
	Claims   Claims
	Clock    clock.Clock
	Dialect  dialect.Caller
	Firm     string
	Replica  *settingsync.Replica
	Log      *events.Logger
	Metrics  *metrics.Registry
	Place    string
	Runner   Runner
	Services *auth.Tokens
	// Quota admits requests of organisations. It is nil if there is none.
	Quota Quota
	// SettingsConfirmed reports whether a keeper has confirmed lately that the settings
	// are the newest. It is nil if that is always the case.
	SettingsConfirmed func() bool
	// Streams passes on large bodies. It is nil if bodies are only passed on whole.
	Streams *stream.Registry
	View    func() *fleet.View
	Zone    string
}

// Ingress is the HTTP handler for callers' requests. It is safe for concurrent
// use.
type Ingress struct {
	opts          Options
	started       time.Time
	tracker       *tracker
	withdrawn     atomic.Bool
	shutdown      atomic.Pointer[shutdown]
	attempts      sync.Map     // fleet.Endpoint of each running attempt, by attempt ID.
	lastFailureAt atomic.Int64 // Unix nanoseconds of the last failure response.
	budgets       sync.Map     // *budget.Budget by service.
	throttles     sync.Map     // *throttle.Throttle by throttleKey.
	usage         usage
	sizes         placement.Sizes
	// aheadSlots bounds the bodies that are read ahead. See callerBody.
	aheadSlots chan struct{}
}

// shutdown is the time span in which the daemon shuts down. Requests that still run at
// its end are aborted.
type shutdown struct {
	start, end time.Time
}

type throttleKey struct {
	service          string
	organisationRank int
	rank             int
}

// request is the state of one caller's request.
type request struct {
	id         string
	path       settings.Path
	policy     *settings.Policy
	poolPolicy *settings.Policy
	runRequest wire.RunRequest
	deadline   time.Time
	receivedAt time.Time
	key        string
	// hasCallerKey means that the caller supplied the idempotency key, and so may
	// send the request again.
	hasCallerKey bool
	// organisation is the one that sends the request, or nil. hasQuota means that the
	// request has taken from its quota.
	organisation *settings.Organisation
	hasQuota     bool
	// callerAtFault means that the request is rejected for its credentials or its quota,
	// which says nothing about the services that this VM depends on.
	callerAtFault bool
	bodyBytes     int
	attempts      int
	// possibleRuns counts the attempts that may have run at an upstream.
	possibleRuns int
	// reachedUpstream means that an attempt reached an upstream, even if the
	// upstream rejected it. afterTrial means that the last such attempt was a
	// trial request.
	reachedUpstream bool
	afterTrial      bool
	// triedEndpoints lists the endpoints of all attempts, for the log.
	triedEndpoints []string
	// body is the body of the request if it is too large to be held in runRequest, and
	// answers holds the bodies of answers that are passed on as streams.
	body    *callerBody
	answers answerBodies
	// endsWithConnection means that the caller speaks HTTP/1.0, so that an answer without
	// a length ends with its connection.
	endsWithConnection bool
}

// isRetry reports whether the next attempt takes a retry from a gate's budget.
// Gates that give no wait estimates keep no retry budget.
func (req *request) isRetry() bool { return req.reachedUpstream && req.poolPolicy.Quotes > 0 }

// remainingTarget returns the time left until the target latency of the
// request's kind has passed.
func (req *request) remainingTarget(now time.Time) time.Duration {
	return req.receivedAt.Add(req.policy.Target).Sub(now)
}

// startupTimeout limits how long a request waits for the first settings of a
// daemon that has just started.
const startupTimeout = time.Second

// acceptWhileStopping is how long after the start of a shutdown all requests are still
// accepted. Callers have been told to use another daemon by then.
const acceptWhileStopping = 2500 * time.Millisecond

// defaultName is the firm or place of a request where none is given.
const defaultName = settings.AnyName

// New returns an Ingress.
func New(opts Options) *Ingress {
	return &Ingress{opts: opts, started: opts.Clock.Now(), tracker: newTracker(), aheadSlots: make(chan struct{}, maxAheadBodies)}
}

// Stop tells the ingress that the daemon shuts down and aborts the requests that still
// run at end. Requests are accepted for another acceptWhileStopping, and after that only
// if they end before.
func (in *Ingress) Stop(end time.Time) {
	in.shutdown.Store(&shutdown{start: in.opts.Clock.Now(), end: end})
}

// outlastsShutdown reports whether a request that has just arrived may be aborted by the
// end of the shutdown in progress, and should not be accepted any more.
func (in *Ingress) outlastsShutdown(req *request) bool {
	stop := in.shutdown.Load()
	return stop != nil && req.receivedAt.Sub(stop.start) > acceptWhileStopping && req.deadline.After(stop.end)
}

// rejectOutlasting rejects a request for which outlastsShutdown holds.
func (req *request) rejectOutlasting() *wire.RunAnswer {
	return req.reject(outcome.Stopping, "the daemon shuts down before the request's deadline")
}

// CancelQueued rejects every request that has no slot yet: those still looking for
// an endpoint, and attempts queued at a gate.
func (in *Ingress) CancelQueued() {
	in.withdrawn.Store(true)
	in.attempts.Range(func(attempt, value any) bool {
		endpoint := value.(fleet.Endpoint)
		ctx, cancel := context.WithTimeout(context.Background(), estimateTimeout)
		defer cancel()
		in.opts.Runner.Withdraw(ctx, endpoint, wire.Withdrawal{Upstream: endpoint.Upstream.ID, Attempt: attempt.(string)})
		return true
	})
}

// LastFailure returns the time of the last failure response to a caller.
func (in *Ingress) LastFailure() time.Time {
	return time.Unix(0, in.lastFailureAt.Load())
}

// Dump returns the tracked state of endpoints and paths, and the counters of the
// organisations, for debugging.
func (in *Ingress) Dump() map[string]any {
	dump := in.tracker.dump()
	if counts := in.usage.dump(); counts != nil {
		dump["organisations"] = counts
	}
	return dump
}

// ServeHTTP handles one request of a caller.
func (in *Ingress) ServeHTTP(wr http.ResponseWriter, httpReq *http.Request) {
	started := in.opts.Clock.Now()
	req, rejection := in.newRequest(wr, httpReq, started)
	defer func() { in.opts.Bodies.Release(req.runRequest.Body) }()
	defer req.closeStreams()
	if rejection != nil {
		in.returnQuota(req)
		in.write(wr, req, *rejection)
		return
	}
	req.answers.caller = httpReq.Context()
	ctx, cancel := context.WithDeadline(httpReq.Context(), req.deadline)
	defer cancel()
	if req.body != nil {
		go req.body.watchCaller(ctx, cancel)
	}
	var answer wire.RunAnswer
	if req.policy.Idempotent {
		answer = in.runIdempotent(ctx, req)
	} else {
		answer = in.runOnce(ctx, req)
	}
	answer = req.body.explain(answer)
	if answer.Outcome == outcome.NotRun {
		in.returnQuota(req)
	}
	in.write(wr, req, answer)
	in.opts.Metrics.Observe(fmt.Sprintf("ingress.rank%d.micros", req.policy.Rank), in.opts.Clock.Now().Sub(started))
}

// newRequest reads a request and resolves its policy. It returns an answer for a
// request that cannot be run.
func (in *Ingress) newRequest(wr http.ResponseWriter, httpReq *http.Request, now time.Time) (*request, *wire.RunAnswer) {
	req := &request{receivedAt: now, endsWithConnection: !httpReq.ProtoAtLeast(1, 1)}
	if in.opts.Dialect.Key != "" {
		req.key = httpReq.Header.Get(in.opts.Dialect.Key)
	}
	req.hasCallerKey = req.key != ""
	if in.opts.Dialect.Request != "" {
		req.id = httpReq.Header.Get(in.opts.Dialect.Request)
	}
	current := in.awaitSettings(httpReq.Context())
	if current.Version == 0 {
		return req, req.reject(outcome.NoSettings, "this daemon has not received its settings yet")
	}
	caller := in.identify(current.Organisations, in.credentialOf(httpReq.Header))
	firm := in.firmOf(caller, httpReq.Header)
	place := headerOr(httpReq.Header, outcome.HeaderPlace, in.opts.Place)
	path, found := current.Resolver.Routes().Find(settings.Request{Firm: firm, Place: place, Host: httpReq.Host, Method: httpReq.Method, Path: settings.RoutePath(httpReq.URL)})
	if !found && in.opts.SettingsConfirmed != nil && !in.opts.SettingsConfirmed() {
		return req, req.reject(outcome.NoSettings, "no kind of request matches this method and path, but the settings may be outdated")
	}
	if !found {
		return req, req.reject(outcome.NoRoute, "no configured kind of request matches this method and path")
	}
	in.applyRoute(req, current, path)
	path = req.path
	if req.policy.Idempotent {
		req.hasCallerKey = false
	}
	if req.policy.Internal && !in.opts.Services.Accepts(httpReq) {
		return req, req.reject(outcome.Credentials, "this request requires the credentials of an internal service")
	}
	if rejection := in.checkCaller(req, caller); rejection != nil {
		return req, rejection
	}
	limit, err := in.requestTimeout(httpReq.Header, req.policy.Deadline)
	if err != nil {
		return req, req.reject(outcome.BadRequest, err.Error())
	}
	req.deadline = now.Add(limit)
	if in.outlastsShutdown(req) {
		return req, req.rejectOutlasting()
	}
	if rejection := in.takeQuota(httpReq.Context(), req); rejection != nil {
		return req, rejection
	}
	body, err := in.readBody(wr, req, httpReq)
	if err != nil {
		wr.Header().Set("Connection", "close") // Keeps the server from reading the rest, which may have no end.
	}
	switch {
	case errors.Is(err, bodybuffer.ErrTooLarge):
		return req, req.reject(outcome.BodyTooLarge, err.Error())
	case errors.Is(err, bodybuffer.ErrFull):
		return req, req.reject(outcome.Overloaded, err.Error())
	case err != nil:
		return req, req.reject(outcome.BadRequest, "the body could not be read")
	}
	req.bodyBytes = req.body.size(len(body))
	req.runRequest = wire.RunRequest{
		Request: req.id, Service: path.Service, Kind: path.Kind, Firm: firm, Rank: req.policy.Rank, OrganisationRank: req.organisationRank(), Idempotent: req.policy.Idempotent,
		Method: httpReq.Method, Host: httpReq.Host, URI: httpReq.URL.RequestURI(), Header: in.forwardHeader(httpReq.Header, req, caller), Body: body,
		BodyLimit: req.policy.BodyLimit, Target: req.policy.Target, CostClass: req.costClass(httpReq.URL.Path, req.bodyBytes),
		AcceptsStream: in.opts.Streams != nil && req.policy.BodyLimit > wire.MaxWholeAnswer,
	}
	return req, nil
}

// applyRoute resolves the policies of a request from the route that it matches.
func (in *Ingress) applyRoute(req *request, current *settingsync.Active, path settings.Path) {
	req.policy = current.Resolver.Policy(path)
	if service := req.policy.Split.Choose(rand.Float64()); service != "" {
		path.Service = service
	}
	req.path = path
	req.poolPolicy = current.Resolver.Policy(settings.Path{Firm: in.opts.Firm, Place: in.opts.Place, Service: path.Service})
}

// awaitSettings returns the settings in force. If there are none yet, it waits
// up to startupTimeout for them.
func (in *Ingress) awaitSettings(ctx context.Context) *settingsync.Active {
	if current := in.opts.Replica.Current(); current.Version > 0 {
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	in.opts.Replica.Wait(ctx, 0)
	return in.opts.Replica.Current()
}

// reject returns an answer for a request that did not run here. If the caller
// supplied its own key, an earlier attempt with that key may have run, so the
// outcome is unknown.
func (req *request) reject(reason outcome.Reason, detail string) *wire.RunAnswer {
	answer := wire.NotRun(reason, detail)
	if req.hasCallerKey {
		answer.Outcome = outcome.Unknown
	}
	return &answer
}

// throttled reports whether the request is rejected at once because of overload,
// and with which answer.
func (in *Ingress) throttled(req *request) (wire.RunAnswer, bool) {
	if req.poolPolicy.Quotes > 0 {
		return wire.RunAnswer{}, false // Wait estimates predict more exactly which requests cannot be served.
	}
	if !in.throttle(req).Rejects(in.opts.Clock.Now(), rand.New(globalSource{})) {
		return wire.RunAnswer{}, false
	}
	in.opts.Metrics.Counter(fmt.Sprintf("ingress.rank%d.throttled", req.policy.Rank)).Inc(1)
	answer := wire.NotRun(outcome.Overloaded, "the service is overloaded for requests of this rank")
	answer.RetryAfter = time.Second
	return answer, true
}

func (in *Ingress) throttle(req *request) *throttle.Throttle {
	th, _ := in.throttles.LoadOrStore(throttleKey{req.path.Service, req.organisationRank(), req.policy.Rank}, &throttle.Throttle{})
	return th.(*throttle.Throttle)
}

func (in *Ingress) budget(req *request) *budget.Budget {
	retryBudget, _ := in.budgets.LoadOrStore(req.path.Service, &budget.Budget{})
	return retryBudget.(*budget.Budget)
}

// hasRetries reports whether the retry budget holds at least count retries for a
// request, as far as this daemon knows. Gates that give wait estimates keep the
// budget themselves; their last report of it counts for retriesTTL.
func (in *Ingress) hasRetries(req *request, count int) bool {
	if req.poolPolicy.Quotes == 0 {
		return in.budget(req).Left() >= float64(count)
	}
	pool := in.opts.View().Pools[req.path.Service]
	if pool == nil {
		return false
	}
	return in.tracker.retriesLeft(in.opts.Clock.Now(), pool) >= count
}

// takeRetry takes a retry from the budget that this daemon keeps, and reports
// whether there was one. Gates that give wait estimates keep the budget
// themselves.
func (in *Ingress) takeRetry(req *request) bool {
	return req.poolPolicy.Quotes > 0 || in.budget(req).Withdraw()
}

// deposit adds a request's contribution to the retry budget of its service, and
// this daemon's share of the service's retry slack.
func (in *Ingress) deposit(req *request) {
	retryBudget := in.budget(req)
	retryBudget.Deposit(req.poolPolicy.RetryPercent)
	if daemons := in.opts.View().Daemons; req.poolPolicy.RetrySlack > 0 && daemons > 0 {
		retryBudget.Refill(in.opts.Clock.Now(), float64(req.poolPolicy.RetrySlack)/float64(daemons))
	}
}

// globalSource is the global random source of the process, which is safe for
// concurrent use.
type globalSource struct{}

// Uint64 returns a random number.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

func (in *Ingress) requestTimeout(header http.Header, limit time.Duration) (time.Duration, error) {
	name := in.opts.Dialect.Deadline
	text := header.Get(name)
	if text == "" {
		return limit, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > int64(24*time.Hour/time.Millisecond) {
		return 0, fmt.Errorf("%s: must be an integer number of milliseconds from 1 to 86400000", name)
	}
	return min(limit, time.Duration(millis)*time.Millisecond), nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", dialect.HeaderAttempt}

func (in *Ingress) forwardHeader(header http.Header, req *request, from caller) wire.Header {
	forward := wire.Header(header.Clone())
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(forward, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(forward, name)
	}
	delete(forward, in.opts.Dialect.Deadline)
	if in.opts.Dialect.Origin != "" {
		forward[in.opts.Dialect.Origin] = []string{in.opts.Dialect.OriginService}
	}
	if req.policy.Internal {
		delete(forward, "Authorization")
	}
	if from.keysRequired {
		delete(forward, outcome.HeaderFirm)
	}
	in.setOrganisation(forward, req.organisation)
	return forward
}

func headerOr(header http.Header, name, fallback string) string {
	if value := header.Get(name); value != "" {
		return value
	}
	if fallback == "" {
		return defaultName
	}
	return fallback
}

func newAttemptID() string {
	return uuid.NewString()
}
