// Package gate guards the upstreams beside a daemon. Every request to an
// upstream passes its gate, which counts slots exactly, queues by rank, judges
// the upstream by its real work, and refuses with proof that nothing ran.
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
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/health"
	"cactusstream.example/core/member"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/rankqueue"
	"cactusstream.example/core/settings"
)

// Lease is how long an announcement holds.
const Lease = 15 * time.Second

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID          string
	Service     string
	Address     string
	Slots       int
	Connections int
	Cold        time.Duration
	// Born is when the upstream started, and Sequence grows with each of its
	// announcements; zero values order nothing.
	Born     time.Time
	Sequence uint64
}

// Options are what a Gate is made of.
type Options struct {
	Clock   clock.Clock
	Dialect dialect.Upstream
	Log     *events.Logger
	Metrics *metrics.Registry
	// Policy returns the settings of a service's pool.
	Policy func(service string) *settings.Policy
	// CallFailed returns when a caller on the own VM was last answered with a
	// failure; nil where that is not known.
	CallFailed func() time.Time
	// Peers returns how many upstreams a service has in the fleet; nil stands for one.
	Peers func(service string) int
	// Changed is told when what stands beside the daemon has changed.
	Changed func()
}

// Gate guards the upstreams of one VM. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu       sync.Mutex
	stopping bool
	guards   map[string]*guard
}

// The errors of announcements.
var (
	ErrLeft         = errors.New("gate: the upstream left a moment ago; announce it again in a few seconds")
	ErrOvertaken    = errors.New("gate: a later announcement of the upstream came first")
	ErrOtherService = errors.New("gate: the upstream is announced with another service or address")
	ErrStopping     = errors.New("gate: the daemon stops")
	ErrUnknown      = errors.New("gate: no such upstream; announce it first")
)

// New returns a Gate without upstreams.
func New(opts Options) *Gate {
	return &Gate{opts: opts, guards: make(map[string]*guard)}
}

// concurrency returns how many requests the upstream may have at once: each
// needs a slot and a connection of its own.
func (an Announcement) concurrency() int {
	return min(an.Slots, an.Connections)
}

// Announce takes or renews an announcement.
func (ga *Gate) Announce(ann Announcement) error {
	isNew, err := ga.take(ann)
	if err != nil || !isNew {
		return err
	}
	ga.opts.Log.Write(events.UpstreamAnnounced, logrus.Fields{"upstream": ann.ID, "service": ann.Service, "address": ann.Address, "slots": ann.Slots})
	ga.opts.Changed()
	return nil
}

// Dump returns the state of every upstream.
func (ga *Gate) Dump() []map[string]any {
	var list []map[string]any
	for _, gu := range ga.list() {
		list = append(list, gu.dump())
	}
	return list
}

// Leave makes an upstream take no new work, and returns what it still runs.
// Repeating it is harmless.
func (ga *Gate) Leave(id string) (int, error) {
	return ga.LeaveStart(id, time.Time{})
}

// LeaveStart is Leave for one start of an upstream: a start after born stays.
// The zero time stands for any start.
func (ga *Gate) LeaveStart(id string, born time.Time) (int, error) {
	gu, ok := ga.find(id)
	if !ok {
		return 0, ErrUnknown
	}
	if !born.IsZero() && gu.ann.Born.After(born) {
		return 0, nil
	}
	inFlight := gu.leave("announced that it leaves")
	ga.opts.Changed()
	return inFlight, nil
}

// Records returns what stands beside the daemon, in order of id.
func (ga *Gate) Records() []member.Upstream {
	var records []member.Upstream
	for _, gu := range ga.list() {
		records = append(records, gu.record())
	}
	return records
}

// Report renews an announcement. The load that an upstream reports is kept for
// the dump; decisions use what its gate counts itself.
func (ga *Gate) Report(id string, busy int) error {
	gu, ok := ga.find(id)
	if !ok || gu.isGone() {
		return ErrUnknown
	}
	gu.report(busy)
	return nil
}

// Run runs one attempt, or refuses it with proof.
func (ga *Gate) Run(ctx context.Context, req wire.RunRequest) wire.RunAnswer {
	gu, ok := ga.find(req.Upstream)
	if !ok {
		return wire.NotRun(outcome.NoUpstream, "the upstream has left")
	}
	return gu.run(ctx, req)
}

// Stop refuses new work and returns when nothing is in flight, or the context ends.
func (ga *Gate) Stop(ctx context.Context) error {
	ga.mu.Lock()
	ga.stopping = true
	ga.mu.Unlock()
	for _, gu := range ga.list() {
		gu.leave("the daemon stops")
	}
	ga.opts.Changed()
	for _, gu := range ga.list() {
		if err := gu.waitIdle(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Tick ends leases and moves upstreams on whose time has come; it says whether
// anything changed.
func (ga *Gate) Tick() bool {
	changed := false
	for _, gu := range ga.list() {
		if gu.tick() {
			changed = true
		}
		if gu.isGone() && gu.isIdle() {
			ga.forget(gu)
			changed = true
		}
	}
	return changed
}

// take adds an announced upstream, or renews it; it says whether it is new. An
// announcement of an earlier start of the upstream, or one that a later one of
// the same start has overtaken, changes nothing.
func (ga *Gate) take(ann Announcement) (bool, error) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.stopping {
		return false, ErrStopping
	}
	gu := ga.guards[ann.ID]
	if gu != nil && ann.Born.After(gu.ann.Born) && !gu.ann.Born.IsZero() {
		gu.leave("it started anew")
		gu = nil
	}
	if gu == nil {
		ga.guards[ann.ID] = newGuard(ann, ga.opts)
		return true, nil
	}
	if ann.Born.Before(gu.ann.Born) {
		return false, ErrOvertaken
	}
	if gu.isGone() {
		return false, ErrLeft
	}
	if !gu.matches(ann) {
		return false, ErrOtherService
	}
	if !gu.renew(ann.Sequence) {
		return false, ErrOvertaken
	}
	return false, nil
}

func (ga *Gate) find(id string) (*guard, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	gu, ok := ga.guards[id]
	return gu, ok
}

func (ga *Gate) forget(gu *guard) {
	gu.client.conns.close()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.guards[gu.ann.ID] == gu {
		delete(ga.guards, gu.ann.ID)
	}
}

func (ga *Gate) list() []*guard {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	list := make([]*guard, 0, len(ga.guards))
	for _, gu := range ga.guards {
		list = append(list, gu)
	}
	slices.SortFunc(list, func(one, two *guard) int { return strings.Compare(one.ann.ID, two.ann.ID) })
	return list
}

func healthPolicy(po *settings.Policy) health.Policy {
	return health.Policy{Threshold: po.EjectThreshold, SlowFactor: po.SlowFactor, Base: po.EjectBase, Max: po.EjectMax, TrialSuccesses: po.TrialSuccesses}
}

func queuePolicy(po *settings.Policy) rankqueue.Policy {
	return rankqueue.Policy{Limit: po.QueueLimit, Share: po.Share}
}
