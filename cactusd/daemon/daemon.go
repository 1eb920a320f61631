// Package daemon wires the components of cactusd together: the gate, which
// controls admission to the upstreams on the daemon's VM, the ingress, which
// accepts callers' requests, the fleet membership, the claims of non-idempotent
// requests and the settings follower.
//
// Usage:
//
//	da, err := daemon.New(options)
//	err = da.Start(ctx)
//	err = da.Stop(ctx)   // graceful; an error reports aborted requests
package daemon

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	announceserver "cactusstream.example/core/gen/http/announce/server"
	fleetserver "cactusstream.example/core/gen/http/fleet/server"
	placementserver "cactusstream.example/core/gen/http/placement/server"

	genannounce "cactusstream.example/core/gen/announce"
	genfleet "cactusstream.example/core/gen/fleet"
	genplacement "cactusstream.example/core/gen/placement"
	genprocess "cactusstream.example/core/gen/process"

	goahttp "goa.design/goa/v3/http"

	"cactusstream.example/cactusd/internal/claims"
	"cactusstream.example/cactusd/internal/follower"
	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/quota"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settingsync"
	"cactusstream.example/core/stream"
)

const (
	// drainDelay is how long callers with open connections have to switch to
	// another daemon before the callers' listener shuts down.
	drainDelay = 500 * time.Millisecond
	// gateTickInterval is the interval of gate.Gate.Tick, and removeDepartedInterval
	// that of ingress.Ingress.RemoveDeparted.
	gateTickInterval       = 100 * time.Millisecond
	removeDepartedInterval = 30 * time.Second
	// answerMargin is the part of a shutdown that is left for writing answers.
	answerMargin = 200 * time.Millisecond
	// maxInheritWait is how long an announcement waits for the departures from earlier
	// starts of the daemon. Upstreams wait for a second.
	maxInheritWait = 800 * time.Millisecond
	// maxInheritAge is how long after its start a daemon that gets no response from
	// the fleet rejects the announcements of upstreams that it doesn't know.
	maxInheritAge = 5 * time.Second
	// loneStart is how long after its start a daemon that reaches a keeper, but no seed,
	// takes the fleet for known. All its seeds may have stopped for good; if it is cut
	// off together with a keeper, it holds too much of the quotas.
	loneStart = time.Minute
)

// withdrawMargins are the times before the deadline of a shutdown at which
// requests that are still queued are withdrawn and answered as not run. The
// rest of the time is for requests that have a slot. The second withdrawal
// covers attempts that had not reached their gate at the first.
var withdrawMargins = []time.Duration{1500 * time.Millisecond, 1200 * time.Millisecond}

// Options configures a Daemon.
type Options struct {
	Config        process.Config
	CallerAddress string
	// Claims limits the claims of non-idempotent requests. It is nil if the
	// callers' platform never sends a request twice, so no claims are needed.
	Claims *claim.Options
	// Callers and Upstreams are the HTTP dialects of callers and upstreams.
	Callers   dialect.Caller
	Upstreams dialect.Upstream
	Clock     clock.Clock
	Firm      string
	// Keepers are peer addresses of keepers, in addition to those that the
	// fleet reports.
	Keepers []string
	Log     *events.Logger
	Place   string
	// Seeds returns peer addresses of possible members of the fleet.
	Seeds          func() []string
	FleetTokens    *auth.Tokens
	OperatorTokens *auth.Tokens
	ServiceTokens  *auth.Tokens
	UpstreamTokens *auth.Tokens
	SettingsKeys   func() []ed25519.PublicKey
	TLS            *auth.TLS
	// OmitStreams makes the daemon pass on bodies only whole, in one message, as versions
	// before streams do.
	OmitStreams bool
}

// Daemon is a cactusd instance.
type Daemon struct {
	opts     Options
	started  time.Time
	stopping atomic.Bool
	cancel   context.CancelFunc

	metrics *metrics.Registry
	replica *settingsync.Replica
	pool    *link.Pool
	links   *link.Server
	// streams is nil if the daemon passes on bodies only whole.
	streams  *stream.Registry
	fleet    *fleet.Fleet
	gate     *gate.Gate
	claims   *claims.Claims
	ingress  *ingress.Ingress
	follower *follower.Follower
	quota    *quota.Quota

	guard     *process.Guard
	callers   *process.Server
	peers     *process.Server
	operators *process.Server
}

// New returns a Daemon that is not serving yet.
func New(opts Options) (*Daemon, error) {
	da := &Daemon{opts: opts, started: opts.Clock.Now(), metrics: metrics.NewRegistry()}
	mux := link.NewMux()
	mux.LogPanics(opts.Log, da.metrics)
	da.replica = settingsync.NewReplica(opts.SettingsKeys)
	da.pool = link.NewPool(opts.Config.ID, opts.FleetTokens, mux, link.WithTLS(opts.TLS.Client()))
	da.links = link.NewServer(mux, opts.FleetTokens, da.logRefusedCredentials)
	if !opts.OmitStreams {
		da.streams = stream.New(stream.Options{Address: opts.Config.PeerAddress, Log: opts.Log, Metrics: da.metrics, Tokens: opts.FleetTokens, OnUnauthorized: da.logRefusedCredentials, TLS: opts.TLS.Client(), ReaderTimeout: opts.Config.Limits.Stall})
	}
	var err error
	da.fleet, err = fleet.New(fleet.Options{
		Clock: opts.Clock, Replica: da.replica, Log: opts.Log, Metrics: da.metrics, Mux: mux, Pool: da.pool,
		Self: member.Record{
			ID: opts.Config.ID, Zone: opts.Config.Zone, PeerAddress: opts.Config.PeerAddress,
			OperatorAddress: opts.Config.OperatorAddress, Version: member.Version{Incarnation: uint64(da.started.UnixNano())},
			Streams: !opts.OmitStreams,
		},
		Listen: opts.Config.PeerListenAddress(), Seeds: opts.Seeds, Tokens: opts.FleetTokens, Firm: opts.Firm, Place: opts.Place, RandomSeed: uint64(da.started.UnixNano()),
	})
	if err != nil {
		return nil, fmt.Errorf("daemon: %w", err)
	}
	da.guard = process.NewGuard(opts.Config.Limits, opts.Log, da.metrics)
	bodies := da.guard.Bodies()
	da.gate = gate.New(gate.Options{Bodies: bodies, Streams: da.streams, Dialect: opts.Upstreams, Clock: opts.Clock, Log: opts.Log, Metrics: da.metrics, Policy: da.fleet.PoolPolicy, OnChange: da.publishUpstreams, Inherited: da.inheritedDepartures, UpstreamCount: da.upstreamCount, LastCallFailure: func() time.Time { return da.ingress.LastFailure() }})
	da.quota = quota.New(quota.Options{
		Clock: opts.Clock, Log: opts.Log, Metrics: da.metrics, Mux: mux, Pool: da.pool, Self: opts.Config.ID, Zone: opts.Config.Zone,
		View: da.fleet.View, HasJoined: da.knowsFleet, SettingsVersion: func() uint64 { return da.replica.Current().Version },
		RandomSeed: uint64(da.started.UnixNano()),
	})
	ingressOpts := ingress.Options{
		Bodies: bodies, Streams: da.streams,
		Clock: opts.Clock, Dialect: opts.Callers, Firm: opts.Firm, Replica: da.replica, Log: opts.Log, Metrics: da.metrics, Place: opts.Place,
		Runner:   da.newRunner(),
		Services: opts.ServiceTokens, Quota: da.quota, View: da.fleet.View, Zone: opts.Config.Zone,
		SettingsConfirmed: func() bool { return da.follower.IsConfirmed() },
	}
	if opts.Claims != nil {
		da.claims = claims.New(claims.Options{
			Clock: opts.Clock, Replica: da.replica, Keepers: opts.Keepers, Log: opts.Log, Metrics: da.metrics, Mux: mux, Pool: da.pool, Self: opts.Config.ID,
			Limits: *opts.Claims, Address: da.peerAddressOf,
		})
		ingressOpts.Claims = da.claims
	}
	da.ingress = ingress.New(ingressOpts)
	da.follower = follower.New(follower.Options{Replica: da.replica, Keepers: da.keepers, Seeds: opts.Seeds, Log: opts.Log, Pool: da.pool, PeerWithNewerSettings: da.fleet.PeerWithNewerSettings})
	settingsync.Serve(mux, da.replica, nil)
	link.Handle(mux, wire.MethodRun, func(ctx context.Context, _ string, req wire.RunRequest) (wire.RunAnswer, error) {
		return da.gate.Run(ctx, req), nil
	})
	mux.Await(wire.MethodRun)
	if da.streams != nil {
		link.Handle(mux, wire.MethodRunStream, func(ctx context.Context, _ string, req wire.StreamRunRequest) (wire.StreamRunAnswer, error) {
			req.Run.BodyStream, req.Run.AcceptsStream = req.Body, req.Accepts
			answer := da.gate.Run(ctx, req.Run)
			return wire.StreamRunAnswer{Run: answer, Body: answer.BodyStream}, nil
		})
		mux.Await(wire.MethodRunStream)
	}
	link.Handle(mux, wire.MethodEstimateWait, func(_ context.Context, _ string, req wire.WaitEstimateRequest) (wire.WaitEstimate, error) {
		return da.gate.EstimateWait(req), nil
	})
	link.HandleNotice(mux, wire.MethodWithdraw, func(_ string, wit wire.Withdrawal) { da.gate.Withdraw(wit) })
	da.callers = process.NewServer(opts.CallerAddress, da.ingress, nil).Guard(da.guard, true)
	da.peers = process.NewServer(opts.Config.PeerListenAddress(), da.peersHandler(), opts.TLS.Server(true)).Guard(da.guard, false)
	da.operators = process.NewServer(opts.Config.OperatorAddress, da.operatorsHandler(), opts.TLS.Server(false)).Guard(da.guard, false)
	return da, nil
}

// Guard returns what keeps the servers of the process within its limits, for further
// servers.
func (da *Daemon) Guard() *process.Guard { return da.guard }

// Start starts to listen and serve. The ingress briefly holds callers' requests
// until the settings and the fleet are known. If claims are used, the callers'
// listener itself starts only after both were requested, because a request
// whose claim holders are not known ends with an unknown outcome.
func (da *Daemon) Start(ctx context.Context) error {
	ctx, da.cancel = context.WithCancel(ctx)
	if err := startAll(da.peers, da.operators); err != nil {
		return err
	}
	if da.claims != nil {
		da.follower.Start(ctx)
		da.fleet.Join(ctx)
	}
	if err := startAll(da.callers); err != nil {
		return err
	}
	go da.fleet.Run(ctx)
	go da.follower.Run(ctx)
	if da.claims != nil {
		go da.claims.Run(ctx)
	}
	go da.tick(ctx)
	da.opts.Log.Write(events.ProcessStarted, logrus.Fields{"callers": da.opts.CallerAddress, "operators": da.opts.Config.OperatorAddress, "peers": da.opts.Config.PeerAddress, "settings": da.replica.Current().Version})
	return nil
}

// startAll starts servers in order and returns the first error.
func startAll(servers ...*process.Server) error {
	for _, srv := range servers {
		if err := srv.Start(); err != nil {
			return fmt.Errorf("daemon: %w", err)
		}
	}
	return nil
}

// Stop shuts down gracefully. The gate rejects new requests, callers are asked
// to use another daemon, and requests in flight complete. If the context ends
// first, they are aborted and Stop returns an error. Slow callers may still read their
// answers: the process calls the Wait method of the Guard before it exits.
func (da *Daemon) Stop(ctx context.Context) error {
	da.stopping.Store(true)
	da.opts.Log.Write(events.ProcessStopping, nil)
	da.callers.Drain()
	if deadline, ok := ctx.Deadline(); ok {
		da.ingress.Stop(deadline.Add(-answerMargin))
		for _, margin := range withdrawMargins {
			withdraw := time.AfterFunc(time.Until(deadline)-margin, da.ingress.CancelQueued)
			defer withdraw.Stop()
		}
	}
	gateDone := make(chan error, 1)
	go func() { gateDone <- da.gate.Stop(ctx) }()
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	err := errors.Join(da.callers.Shutdown(ctx), <-gateDone)
	if da.claims != nil {
		da.claims.Wait()
	}
	da.drainLinks(ctx) // Before the others close their links to a daemon that has left.
	if da.streams != nil {
		da.streams.Drain(ctx.Done()) // Answers that the gate has read may not be written yet.
	}
	da.fleet.Leave()
	err = errors.Join(err, process.ShutdownAll(ctx, da.operators, da.peers))
	da.cancel()
	if da.streams != nil {
		da.streams.Close()
	}
	da.links.Close()
	da.pool.Close()
	da.peers.Close()
	da.fleet.Close()
	return err
}

// drainLinks waits until the other daemons have received the answers of all attempts
// that they sent to the gate. An answer that the upstream has given frees its slot
// before it is written.
func (da *Daemon) drainLinks(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { da.links.Drain(ctx) })
	all.Go(func() { da.pool.Drain(ctx) })
	all.Wait()
}

// peerAddressOf returns the peer address of a daemon, or "" if it is unknown.
func (da *Daemon) peerAddressOf(id string) string {
	return da.fleet.View().Members[id].PeerAddress
}

// upstreamCount returns the number of known upstreams of a service in the
// fleet, or 1 if the service is unknown.
func (da *Daemon) upstreamCount(service string) int {
	pool := da.fleet.View().Pools[service]
	if pool == nil {
		return 1
	}
	return len(pool.Endpoints)
}

// IsReady reports whether the daemon has settings and accepts new requests.
func (da *Daemon) IsReady() bool {
	return !da.stopping.Load() && da.replica.Current().Version > 0
}

// keepers returns the addresses of the keepers in the order in which to ask them.
func (da *Daemon) keepers() []string {
	return keeperAddresses(da.fleet.View(), da.opts.Config.Zone, append(slices.Clone(da.opts.Keepers), da.opts.Seeds()...), da.started.UnixNano())
}

// knowsFleet reports whether other processes have told this daemon about the fleet.
func (da *Daemon) knowsFleet() bool {
	return da.fleet.HasJoined() || da.opts.Clock.Now().Sub(da.started) > loneStart && da.follower.IsConfirmed()
}

// publishUpstreams updates this daemon's upstreams in the member table.
func (da *Daemon) publishUpstreams() {
	da.fleet.SetUpstreams(da.gate.Records(), da.gate.Departed())
}

// inheritedDepartures returns the departures from earlier starts of this daemon, which
// has no disk. Other daemons and the keepers know them.
func (da *Daemon) inheritedDepartures() ([]member.Departure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxInheritWait)
	defer cancel()
	inherited, err := da.fleet.Inherited(ctx)
	if err != nil && da.opts.Clock.Now().Sub(da.started) > maxInheritAge {
		da.opts.Log.Write(events.DeparturesUnknown, logrus.Fields{"error": err.Error()})
		return nil, nil
	}
	return inherited, err
}

// logRefusedCredentials logs and counts a request with invalid credentials.
func (da *Daemon) logRefusedCredentials(req *http.Request) {
	da.opts.Log.Write(events.CredentialsRefused, logrus.Fields{"from": req.RemoteAddr, "path": req.URL.Path})
	da.metrics.Counter("credentials.refused").Inc(1)
}

// tick runs the periodic work of the gate and the ingress until the context
// ends.
func (da *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(gateTickInterval)
	defer ticker.Stop()
	lastRemoval := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		da.gate.Inherit(da.fleet.KnownInherited())
		if da.gate.Tick() {
			da.publishUpstreams()
		}
		da.quota.Tick()
		if time.Since(lastRemoval) > removeDepartedInterval {
			lastRemoval = time.Now()
			da.ingress.RemoveDeparted()
		}
	}
}

// peersHandler returns the handler for the links and the streams of other daemons.
func (da *Daemon) peersHandler() http.Handler {
	if da.streams == nil {
		return da.links
	}
	mux := http.NewServeMux()
	mux.Handle(stream.Path, da.streams)
	mux.Handle("/", da.links)
	return mux
}

func (da *Daemon) operatorsHandler() http.Handler {
	ops := process.NewOperatorAPI(da.opts.OperatorTokens, da.status, da.Dump, da.metrics)
	process.Mount(ops.Mux(), fleetserver.New, fleetserver.Mount, genfleet.NewEndpoints(fleet.NewService(da.fleet)))
	process.Mount(ops.Mux(), placementserver.New, placementserver.Mount, genplacement.NewEndpoints(ingress.NewPlacementService(da.ingress)))
	upstreams := goahttp.NewMuxer()
	process.Mount(upstreams, announceserver.New, announceserver.Mount, genannounce.NewEndpoints(gate.NewAnnounceService(da.gate)))
	mux := http.NewServeMux()
	mux.Handle("/v1/upstreams", auth.Require(da.opts.UpstreamTokens, da.logRefusedCredentials, process.LimitRequestBody(upstreams)))
	mux.Handle("/v1/upstreams/", auth.Require(da.opts.UpstreamTokens, da.logRefusedCredentials, process.LimitRequestBody(upstreams)))
	mux.Handle("/", ops.Handler(da.logRefusedCredentials))
	return mux
}

func (da *Daemon) status() *genprocess.StatusResult {
	current := da.replica.Current()
	state := "serving"
	if da.stopping.Load() {
		state = "stopping"
	}
	return &genprocess.StatusResult{
		Program: "cactusd", ID: da.opts.Config.ID, Zone: da.opts.Config.Zone, State: state, SettingsVersion: current.Version,
		SettingsDigest: current.Digest, UptimeSeconds: int64(da.opts.Clock.Now().Sub(da.started).Seconds()),
	}
}

// Dump returns the state of the daemon.
func (da *Daemon) Dump() map[string]any {
	current := da.replica.Current()
	records, _ := da.fleet.Members()
	dump := map[string]any{
		"settings":  map[string]any{"version": current.Version, "digest": current.Digest},
		"members":   records,
		"gate":      da.gate.Dump(),
		"ingress":   da.ingress.Dump(),
		"links":     da.pool.Statuses(),
		"quota":     da.quota.Dump(),
		"upstreams": da.fleet.View().Pools,
	}
	if da.streams != nil {
		dump["streams"] = da.streams.Dump()
	}
	if da.claims != nil {
		dump["claims"] = da.claims.Dump()
	}
	return dump
}
