// Package gate controls admission to the upstreams on the daemon's VM. Every
// request to an upstream passes its gate. The gate enforces the upstream's
// concurrency limit (its slots), queues requests by rank (their priority
// class), detects unhealthy upstreams from the results of real requests, and
// states in a rejection that the request did not run.
//
// Usage:
//
//	ga := gate.New(options)
//	err := ga.Announce(gate.Announcement{...})
//	answer := ga.Run(ctx, request)
//	inFlight, err := ga.Leave("cutter1")
//
// Lock order: Gate.mu, then guard.mu.
package gate

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/health"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/rankqueue"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/stream"
	"cactusstream.example/core/workcost"
)

// Lease is how long an upstream stays registered after its last announcement or
// report.
const Lease = 15 * time.Second

// Announcement describes an upstream. Upstreams send it to register.
type Announcement struct {
	ID          string
	Service     string
	Address     string
	Slots       int
	Connections int
	WarmUp      time.Duration
	// StartedAt is when the upstream started, and Sequence increases with each of
	// its announcements. They order announcements; with zero values, any order
	// is accepted.
	StartedAt time.Time
	Sequence  uint64
}

// Options configures a Gate.
type Options struct {
	// Bodies holds the bodies of responses until Run has returned them.
	Bodies  *bodybuffer.Buffer
	Clock   clock.Clock
	Dialect dialect.Upstream
	Log     *events.Logger
	Metrics *metrics.Registry
	// Streams passes on large bodies. It is nil if bodies are only passed on whole.
	Streams *stream.Registry
	// Policy returns the settings that apply to the upstreams of a service.
	Policy func(service string) *settings.Policy
	// LastCallFailure returns when a caller on this VM last got a failed
	// response. It is nil if that is unknown.
	LastCallFailure func() time.Time
	// UpstreamCount returns the number of upstreams of a service in the fleet.
	// If it is nil, one is assumed.
	UpstreamCount func(service string) int
	// OnChange is called after a change of the upstreams' records or of the departures.
	OnChange func()
	// Inherited returns the departures from earlier starts of the daemon. It may wait
	// for them, and returns an error if they are not known yet. If it is nil, there are
	// none.
	Inherited func() ([]member.Departure, error)
}

// Gate controls admission to the upstreams of one VM. It is safe for concurrent
// use.
type Gate struct {
	opts     Options
	departed *departures
	// costNodes bounds what all guards learn about the costs of requests.
	costNodes *workcost.NodeBudget

	mu       sync.Mutex
	stopping bool
	guards   map[string]*guard
}

// The errors that announcements, leaves and reports return.
var (
	ErrInvalid         = errors.New("gate: invalid announcement")
	ErrDeparted        = errors.New("gate: this start of the upstream has left")
	ErrRecentlyLeft    = errors.New("gate: the upstream left recently; announce it again in a few seconds")
	ErrSuperseded      = errors.New("gate: superseded by a later announcement of the upstream")
	ErrNotReady        = errors.New("gate: it is not known yet whether the upstream has left")
	ErrConflict        = errors.New("gate: the upstream is registered with a different service, address or number of slots")
	ErrStopping        = errors.New("gate: the daemon is shutting down")
	ErrUnknownUpstream = errors.New("gate: unknown upstream; announce it first")
)

// New returns a Gate without upstreams.
func New(opts Options) *Gate {
	return &Gate{opts: opts, departed: &departures{}, costNodes: workcost.NewNodeBudget(workcost.NodesPerDaemon), guards: make(map[string]*guard)}
}

// concurrency returns the maximum number of concurrent requests to the
// upstream. Each needs its own slot and its own connection.
func (an Announcement) concurrency() int {
	return min(an.Slots, an.Connections)
}

// The limits of what an announcement may say. A larger value is an error of its writer,
// and would be taken over by the whole fleet.
const (
	maxSlots    = 1 << 16
	maxWarmUp   = time.Hour
	maxSequence = 1 << 53 // What JSON numbers hold exactly.
	// maxClockSkew is how far the clock of an upstream may be ahead.
	maxClockSkew = time.Hour
)

// validate returns an error that wraps ErrInvalid if an announcement can't be true. The
// start time of a registered start is valid: it may be in the future by now, if the clock
// went back.
func (an Announcement) validate(now time.Time, isRegistered bool) error {
	address, err := netip.ParseAddrPort(an.Address)
	switch {
	case err != nil:
		return fmt.Errorf("%w: address: %w", ErrInvalid, err)
	case address.Port() == 0:
		return fmt.Errorf("%w: address %s has port 0", ErrInvalid, an.Address)
	case an.ID == "" || an.Service == "":
		return fmt.Errorf("%w: upstream %q of service %q: both names are required", ErrInvalid, an.ID, an.Service)
	case an.Slots < 1 || an.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots, want 1 to %d", ErrInvalid, an.Slots, maxSlots)
	case an.Connections < 1:
		return fmt.Errorf("%w: %d connections, want at least 1", ErrInvalid, an.Connections)
	case an.WarmUp < 0 || an.WarmUp > maxWarmUp:
		return fmt.Errorf("%w: warm-up of %s, want 0 to %s", ErrInvalid, an.WarmUp, maxWarmUp)
	case an.Sequence > maxSequence:
		return fmt.Errorf("%w: sequence %d, want at most %d", ErrInvalid, an.Sequence, uint64(maxSequence))
	case !isRegistered && an.StartedAt.After(now.Add(maxClockSkew)):
		return fmt.Errorf("%w: start at %s is in the future", ErrInvalid, an.StartedAt)
	}
	return nil
}

// Announce registers an upstream or renews its lease.
func (ga *Gate) Announce(ann Announcement) error {
	isRegistered := ga.isRegistered(ann)
	if err := ann.validate(ga.opts.Clock.Now(), isRegistered); err != nil {
		return err
	}
	if ga.opts.Inherited != nil && !ann.StartedAt.IsZero() && !isRegistered {
		inherited, err := ga.opts.Inherited()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotReady, err)
		}
		ga.Inherit(inherited)
	}
	isNew, err := ga.register(ann)
	if err != nil || !isNew {
		return err
	}
	ga.opts.Log.Write(events.UpstreamAnnounced, logrus.Fields{"upstream": ann.ID, "service": ann.Service, "address": ann.Address, "slots": ann.Slots})
	ga.opts.OnChange()
	return nil
}

// Inherit adds departures from earlier starts of the daemon, and stops admission to
// the upstreams among them.
func (ga *Gate) Inherit(list []member.Departure) {
	if len(list) == 0 {
		return
	}
	ga.departed.inherit(list)
	for _, gu := range ga.sortedGuards() {
		if ga.departed.has(gu.ann.ID, gu.ann.StartedAt) && !gu.isLeaving() {
			gu.leave("left before the daemon started")
			ga.opts.OnChange()
		}
	}
}

// Departed returns the starts of upstreams that have left for good, the oldest first.
// The caller must not change them.
func (ga *Gate) Departed() []member.Departure { return ga.departed.all() }

// Dump returns the state of every upstream.
func (ga *Gate) Dump() []map[string]any {
	var list []map[string]any
	for _, gu := range ga.sortedGuards() {
		list = append(list, gu.dumpState())
	}
	return list
}

// Leave stops admission to an upstream and returns its number of requests in
// flight. It is idempotent.
func (ga *Gate) Leave(id string) (int, error) {
	return ga.LeaveInstance(id, time.Time{})
}

// LeaveInstance is like Leave, but ignores an upstream that started after startedAt, unless
// the start at startedAt has announced itself since. The zero time matches every upstream.
// The start is remembered, also that of an unknown upstream, so that a delayed announcement
// of it has no effect.
func (ga *Gate) LeaveInstance(id string, startedAt time.Time) (int, error) {
	ga.departed.add(id, startedAt)
	defer ga.opts.OnChange() // It is called after the lock is released.
	ga.mu.Lock()
	defer ga.mu.Unlock()
	gu, ok := ga.guards[id]
	switch {
	case !ok:
		return 0, ErrUnknownUpstream
	case gu.otherStarts.hasRepeated(ga.opts.Clock.Now(), startedAt):
		// The process at the address leaves. The registered start is not remembered as
		// departed: it is used again if it still announces itself.
		return gu.leave("leave announced by another start"), nil
	case startedAt.IsZero() || startedAt.Equal(gu.ann.StartedAt) || gu.isLaterStart(startedAt):
		ga.departDisplaced(gu, func(other otherStart) bool { return other.since.IsZero() })
		return gu.depart("leave announced"), nil
	}
	return 0, nil
}

// Records returns the records of all upstreams, ordered by id.
func (ga *Gate) Records() []member.Upstream {
	var records []member.Upstream
	for _, gu := range ga.sortedGuards() {
		records = append(records, gu.record())
	}
	return records
}

// Report renews an upstream's lease. The reported load only appears in the
// dump; admission uses the gate's own counts.
func (ga *Gate) Report(id string, busy int) error {
	gu, ok := ga.find(id)
	if !ok || gu.isLeaving() {
		return ErrUnknownUpstream
	}
	gu.report(busy)
	return nil
}

// Run sends one attempt to an upstream. The outcome of a rejected attempt is
// NotRun.
func (ga *Gate) Run(ctx context.Context, req wire.RunRequest) wire.RunAnswer {
	gu, ok := ga.find(req.Upstream)
	if !ok {
		return wire.NotRun(outcome.NoUpstream, "the upstream has left")
	}
	answer := gu.run(ctx, req)
	ga.opts.Bodies.Release(answer.Body)
	return answer
}

// Stop rejects new requests. It returns when no request is in flight, or with
// an error when the context ends.
func (ga *Gate) Stop(ctx context.Context) error {
	ga.mu.Lock()
	ga.stopping = true
	ga.mu.Unlock()
	for _, gu := range ga.sortedGuards() {
		gu.leave("daemon shutting down")
	}
	ga.opts.OnChange()
	for _, gu := range ga.sortedGuards() {
		if err := gu.waitIdle(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Tick expires leases, applies state changes that are due and removes upstreams
// that left. It reports whether any record changed.
func (ga *Gate) Tick() bool {
	changed := false
	for _, gu := range ga.sortedGuards() {
		if gu.tick() {
			changed = true
		}
		if ga.departSuperseded(gu) {
			changed = true
		}
		if gu.isLeaving() && gu.isRemovable() {
			ga.remove(gu)
			changed = true
		}
	}
	return changed
}

// isRegistered reports whether this start of an upstream is registered.
func (ga *Gate) isRegistered(ann Announcement) bool {
	gu, ok := ga.find(ann.ID)
	return ok && gu.ann.StartedAt.Equal(ann.StartedAt)
}

// register adds an announced upstream or renews its lease, and reports whether
// the upstream is new. It rejects announcements of a start that has left, those from
// before the upstream's last start, and those that arrive after a later one of the
// same start.
//
// A start with a later start time replaces the registered one at once. The start time
// alone doesn't decide once the clock went back: see guard.isReplacedBy.
func (ga *Gate) register(ann Announcement) (bool, error) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.stopping {
		return false, ErrStopping
	}
	gu := ga.guards[ann.ID]
	if ga.departed.has(ann.ID, ann.StartedAt) && (gu == nil || !ann.StartedAt.Equal(gu.ann.StartedAt)) {
		ga.opts.Log.Write(events.UpstreamLate, logrus.Fields{"upstream": ann.ID, "sequence": ann.Sequence})
		if gu != nil && ann.StartedAt.Before(gu.ann.StartedAt) {
			return false, ErrSuperseded
		}
		return false, ErrDeparted
	}
	if gu == nil {
		ga.guards[ann.ID] = newGuard(ann, ga.opts, ga.departed, ga.costNodes)
		return true, nil
	}
	if !gu.ann.StartedAt.IsZero() && !ann.StartedAt.Equal(gu.ann.StartedAt) {
		return ga.registerOtherStart(gu, ann)
	}
	if gu.isLeaving() {
		return false, ErrRecentlyLeft
	}
	if !gu.matches(ann) {
		return false, ErrConflict
	}
	isLater, err := gu.renew(ann.Sequence)
	if isLater {
		gu.otherStarts.renew(ga.opts.Clock.Now())
	}
	return false, err
}

// registerOtherStart registers the start of an announcement in place of the registered one,
// if it is a later one. The caller holds the lock.
func (ga *Gate) registerOtherStart(gu *guard, ann Announcement) (bool, error) {
	if ann.StartedAt.IsZero() || !gu.isLaterStart(ann.StartedAt) && !gu.isReplacedBy(ann) {
		return false, ErrSuperseded
	}
	known := gu.displace(ann)
	next := newGuard(ann, ga.opts, ga.departed, ga.costNodes)
	next.otherStarts.inherit(known)
	ga.guards[ann.ID] = next
	return true, nil
}

func (ga *Gate) find(id string) (*guard, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	gu, ok := ga.guards[id]
	return gu, ok
}

// remove closes an upstream's idle connections and unregisters it, unless a new
// instance has taken its id.
func (ga *Gate) remove(gu *guard) {
	gu.client.pool.close()
	gu.forgetWork()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.guards[gu.ann.ID] == gu {
		delete(ga.guards, gu.ann.ID)
	}
}

// sortedGuards returns the guards ordered by id.
func (ga *Gate) sortedGuards() []*guard {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	list := make([]*guard, 0, len(ga.guards))
	for _, gu := range ga.guards {
		list = append(list, gu)
	}
	slices.SortFunc(list, func(a, b *guard) int { return strings.Compare(a.ann.ID, b.ann.ID) })
	return list
}

func healthPolicy(po *settings.Policy) health.Policy {
	return health.Policy{Threshold: po.EjectThreshold, SlowFactor: po.SlowFactor, EjectBase: po.EjectBase, EjectMax: po.EjectMax, TrialSuccesses: po.TrialSuccesses}
}

func queuePolicy(po *settings.Policy) rankqueue.Policy {
	return rankqueue.Policy{Limit: po.QueueLimit, Share: po.Share}
}
