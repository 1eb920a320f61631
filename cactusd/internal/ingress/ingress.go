// Package ingress takes callers' requests, chooses upstreams for them, and
// answers each caller with the whole answer to its own request or with an
// error that says what is known about the run.
//
// Usage:
//
//	in := ingress.New(options)
//	http.Handle("/", in)
//	in.Drain()   // callers are told to use another daemon from now on
//
// docs/callers.md is the contract with callers.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"cactusstream.example/core/budget"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/spread"
	"cactusstream.example/core/throttle"
)

// Runner runs attempts at the daemon beside an endpoint, and asks it for quotes.
type Runner interface {
	Run(ctx context.Context, end fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error)
	Quote(ctx context.Context, end fleet.Endpoint, req wire.QuoteRequest) (wire.QuoteAnswer, error)
	Withdraw(ctx context.Context, end fleet.Endpoint, wit wire.Withdrawal)
}

// Claims claims keys of non-idempotent requests.
type Claims interface {
	Acquire(ctx context.Context, key, attempt string) claim.Grant
	Record(grant claim.Grant, rec *claim.Record)
	Release(grant claim.Grant) bool
}

// Options are what an Ingress is made of.
type Options struct {
	// Claims is nil where no request comes twice.
	Claims   Claims
	Clock    clock.Clock
	Dialect  dialect.Caller
	Firm     string
	Holder   *spread.Holder
	Log      *events.Logger
	Metrics  *metrics.Registry
	Place    string
	Runner   Runner
	Services *auth.Tokens
	View     func() *fleet.View
	Zone     string
}

// Ingress answers callers. It is safe for concurrent use.
type Ingress struct {
	opts      Options
	started   time.Time
	tracker   *tracker
	draining  atomic.Bool
	withdrawn atomic.Bool
	attempts  sync.Map     // Of fleet.Endpoint, by attempt; those under way.
	failedAt  atomic.Int64 // Unix nanoseconds of the last answer that was a failure.
	budgets   sync.Map     // Of *budget.Budget, by service.
	throttles sync.Map     // Of *throttle.Throttle, by limitKey.
}

type limitKey struct {
	service string
	rank    int
}

// job is one request of a caller.
type job struct {
	id       string
	path     settings.Path
	policy   *settings.Policy
	pool     *settings.Policy
	run      wire.RunRequest
	deadline time.Time
	began    time.Time
	key      string
	// keyed says that the caller chose the key, and so may send it again.
	keyed    bool
	attempts int
	// sent counts the attempts that may have run at an upstream.
	sent int
	// arrived says that an attempt has reached one, also if it refused it, and
	// afterTrial that the last of these was a trial.
	arrived    bool
	afterTrial bool
	// tried are the endpoints that attempts went to, for the log.
	tried []string
}

// isRepeat says whether the next attempt needs a repeat from a gate's budget; gates
// that don't quote keep none.
func (jo *job) isRepeat() bool { return jo.arrived && jo.pool.Quotes > 0 }

// targetIn returns what is left of the target of the request's kind.
func (jo *job) targetIn(now time.Time) time.Duration {
	return jo.began.Add(jo.policy.Target).Sub(now)
}

// startPatience is how long a request waits for a daemon that has just started
// to know the settings and the fleet.
const startPatience = time.Second

const defaultFirm = settings.AnyName

// New returns an Ingress.
func New(opts Options) *Ingress {
	return &Ingress{opts: opts, started: opts.Clock.Now(), tracker: newTracker()}
}

// Drain tells callers from now on to close their connections.
func (in *Ingress) Drain() {
	in.draining.Store(true)
}

// Withdraw makes the ingress refuse what has no slot yet: requests that look for
// an endpoint, and attempts that wait at a gate.
func (in *Ingress) Withdraw() {
	in.withdrawn.Store(true)
	in.attempts.Range(func(attempt, end any) bool {
		to := end.(fleet.Endpoint)
		ctx, cancel := context.WithTimeout(context.Background(), quoteTimeout)
		defer cancel()
		in.opts.Runner.Withdraw(ctx, to, wire.Withdrawal{Upstream: to.Upstream.ID, Attempt: attempt.(string)})
		return true
	})
}

// FailedAt returns when a caller was last answered with a failure.
func (in *Ingress) FailedAt() time.Time {
	return time.Unix(0, in.failedAt.Load())
}

// Dump returns what the ingress knows of the endpoints that it uses.
func (in *Ingress) Dump() map[string]any {
	return in.tracker.dump()
}

// ServeHTTP answers one request.
func (in *Ingress) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	started := in.opts.Clock.Now()
	if in.draining.Load() {
		wr.Header().Set("Connection", "close")
	}
	jo, refusal := in.newJob(wr, req, started)
	if refusal != nil {
		in.write(wr, jo, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), jo.deadline)
	defer cancel()
	var answer wire.RunAnswer
	if jo.policy.Idempotent {
		answer = in.runIdempotent(ctx, jo)
	} else {
		answer = in.runOnce(ctx, jo)
	}
	in.write(wr, jo, answer)
	in.opts.Metrics.Observe(fmt.Sprintf("ingress.rank%d.micros", jo.policy.Rank), in.opts.Clock.Now().Sub(started))
}

// newJob reads a request, and refuses what can't be run.
func (in *Ingress) newJob(wr http.ResponseWriter, req *http.Request, now time.Time) (*job, *wire.RunAnswer) {
	jo := &job{began: now}
	if in.opts.Dialect.Key != "" {
		jo.key = req.Header.Get(in.opts.Dialect.Key)
	}
	jo.keyed = jo.key != ""
	if in.opts.Dialect.Request != "" {
		jo.id = req.Header.Get(in.opts.Dialect.Request)
	}
	current := in.awaitSettings(req.Context())
	if current.Version == 0 {
		return jo, jo.refuse(outcome.NoSettings, "this daemon has no settings yet")
	}
	firm := headerOr(req.Header, outcome.HeaderFirm, in.opts.Firm)
	place := headerOr(req.Header, outcome.HeaderPlace, in.opts.Place)
	path, found := current.Resolver.Routes().Find(settings.Request{Firm: firm, Place: place, Host: req.Host, Method: req.Method, Path: req.URL.Path})
	if !found {
		return jo, jo.refuse(outcome.NoRoute, "no kind of request has this method and path")
	}
	jo.policy = current.Resolver.Policy(path)
	if service := jo.policy.Split.Choose(rand.Float64()); service != "" {
		path.Service = service
	}
	jo.path = path
	jo.pool = current.Resolver.Policy(settings.Path{Firm: in.opts.Firm, Place: in.opts.Place, Service: path.Service})
	if jo.policy.Idempotent {
		jo.keyed = false
	}
	if jo.policy.Internal && !in.opts.Services.Accepts(req) {
		return jo, jo.refuse(outcome.Credentials, "only our own services may ask for this")
	}
	limit, err := in.deadlineOf(req.Header, jo.policy.Deadline)
	if err != nil {
		return jo, jo.refuse(outcome.BadRequest, err.Error())
	}
	jo.deadline = now.Add(limit)
	body, err := io.ReadAll(http.MaxBytesReader(wr, req.Body, int64(jo.policy.BodyLimit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return jo, jo.refuse(outcome.BodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", jo.policy.BodyLimit))
	}
	if err != nil {
		return jo, jo.refuse(outcome.BadRequest, "the body could not be read")
	}
	jo.run = wire.RunRequest{
		Request: jo.id, Service: path.Service, Kind: path.Kind, Firm: firm, Rank: jo.policy.Rank, Idempotent: jo.policy.Idempotent,
		Method: req.Method, Host: req.Host, URI: req.URL.RequestURI(), Header: in.forwardHeader(req.Header, jo.policy.Internal), Body: body,
		BodyLimit: jo.policy.BodyLimit, Target: jo.policy.Target,
	}
	return jo, nil
}

// awaitSettings returns the settings in force; a daemon that has just started
// waits a little for them.
func (in *Ingress) awaitSettings(ctx context.Context) *spread.InForce {
	if current := in.opts.Holder.Current(); current.Version > 0 {
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	in.opts.Holder.Wait(ctx, 0)
	return in.opts.Holder.Current()
}

// refuse returns an answer without a run. A caller that sent its own key may
// have sent it before, so nothing is promised about the key.
func (jo *job) refuse(reason outcome.Reason, detail string) *wire.RunAnswer {
	answer := wire.NotRun(reason, detail)
	if jo.keyed {
		answer.Outcome = outcome.Unknown
	}
	return &answer
}

// throttled says whether the request is refused at once for load.
func (in *Ingress) throttled(jo *job) (wire.RunAnswer, bool) {
	if jo.pool.Quotes > 0 {
		return wire.RunAnswer{}, false // Quotes tell more exactly what can't be served.
	}
	if !in.throttle(jo).Refuses(in.opts.Clock.Now(), rand.New(globalSource{})) {
		return wire.RunAnswer{}, false
	}
	in.opts.Metrics.Counter(fmt.Sprintf("ingress.rank%d.throttled", jo.policy.Rank)).Inc(1)
	answer := wire.NotRun(outcome.Overloaded, "the service is overloaded for this rank")
	answer.RetryAfter = time.Second
	return answer, true
}

func (in *Ingress) throttle(jo *job) *throttle.Throttle {
	th, _ := in.throttles.LoadOrStore(limitKey{jo.path.Service, jo.policy.Rank}, &throttle.Throttle{})
	return th.(*throttle.Throttle)
}

func (in *Ingress) budget(jo *job) *budget.Budget {
	bud, _ := in.budgets.LoadOrStore(jo.path.Service, &budget.Budget{})
	return bud.(*budget.Budget)
}

// hasRepeats says whether the retry budget has a number of repeats for a request,
// as far as this daemon knows. Where gates quote they keep the budget, and their
// last word on it is some seconds old at most.
func (in *Ingress) hasRepeats(jo *job, count int) bool {
	if jo.pool.Quotes == 0 {
		return in.budget(jo).Left() >= float64(count)
	}
	pool := in.opts.View().Pools[jo.path.Service]
	if pool == nil {
		return false
	}
	return in.tracker.repeats(in.opts.Clock.Now(), pool) >= count
}

// payRepeat takes a repeat out of the budget that this daemon keeps itself.
func (in *Ingress) payRepeat(jo *job) bool {
	return jo.pool.Quotes > 0 || in.budget(jo).Withdraw()
}

// deposit adds what a request brings to the budget of its service, and this
// daemon's part of the service's slack.
func (in *Ingress) deposit(jo *job) {
	bud := in.budget(jo)
	bud.Deposit(jo.pool.RetryPercent)
	if daemons := in.opts.View().Daemons; jo.pool.RetrySlack > 0 && daemons > 0 {
		bud.DepositTime(in.opts.Clock.Now(), float64(jo.pool.RetrySlack)/float64(daemons))
	}
}

// globalSource is the process's own random source, which is safe for concurrent use.
type globalSource struct{}

// Uint64 returns a random number.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

func (in *Ingress) deadlineOf(header http.Header, limit time.Duration) (time.Duration, error) {
	name := in.opts.Dialect.Deadline
	text := header.Get(name)
	if text == "" {
		return limit, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > int64(24*time.Hour/time.Millisecond) {
		return 0, fmt.Errorf("%s: want milliseconds from 1 up", name)
	}
	return min(limit, time.Duration(millis)*time.Millisecond), nil
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", dialect.HeaderAttempt}

func (in *Ingress) forwardHeader(header http.Header, internal bool) wire.Header {
	forward := wire.Header(header.Clone())
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(forward, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(forward, name)
	}
	delete(forward, in.opts.Dialect.Deadline)
	if in.opts.Dialect.Origin != "" {
		forward[in.opts.Dialect.Origin] = []string{in.opts.Dialect.OriginService}
	}
	if internal {
		delete(forward, "Authorization")
	}
	return forward
}

func headerOr(header http.Header, name, otherwise string) string {
	if value := header.Get(name); value != "" {
		return value
	}
	if otherwise == "" {
		return defaultFirm
	}
	return otherwise
}

func newAttempt() string {
	return uuid.NewString()
}
