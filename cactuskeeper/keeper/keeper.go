// Package keeper runs one keeper: the agreement on the settings, its disk and
// its peers.
//
// Usage:
//
//	ke, err := keeper.Open(options)
//	go ke.Run(ctx)
//	change, duplicate, err := ke.Propose(ctx, proposal)
//
// One goroutine, Run, owns the consensus node and the log on disk; others hand
// it work through a queue. The settings are read under a lock.
package keeper

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/clock"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/regroup"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/spread"
	"cactusstream.example/core/wal"
)

const (
	compactAfter  = 2000
	firstChangeID = "cactusstream-first-tree"
	greetEvery    = 500 * time.Millisecond
	reopenAfter   = 500 * time.Millisecond
	tickEvery     = 20 * time.Millisecond
	workQueue     = 1024
)

// The errors of a keeper.
var (
	// ErrDisk reports that the disk failed and nothing more is acknowledged.
	ErrDisk = errors.New("keeper: the disk failed")
	// ErrStopping reports that the keeper stops; nothing was begun.
	ErrStopping = errors.New("keeper: stopping")
	// ErrUnknown reports that the fate of a change is not known; resend it.
	ErrUnknown = errors.New("keeper: it is not known whether the change was accepted; resend it with the same id")
)

// Options are what a Keeper is made of.
type Options struct {
	Clock     clock.Clock
	Consensus consensus.Options
	Disk      wal.Disk
	Log       *events.Logger
	Metrics   *metrics.Registry
	Group     GroupOptions
	Mux       *link.Mux
	// PeerAddress and OperatorAddress are where others reach this keeper.
	PeerAddress     string
	OperatorAddress string
	Pool            *link.Pool
	SigningKey      ed25519.PrivateKey
}

// Keeper is one keeper.
//
// Lock order: Keeper.mu is a leaf.
type Keeper struct {
	opts     Options
	ident    Identity
	holder   *spread.Holder
	work     chan func(now time.Time)
	stopped  chan struct{}
	stopping atomic.Bool
	// hasLeader says that this keeper leads or is in contact with the leader.
	hasLeader atomic.Bool

	// Owned by Run.
	node      *consensus.Node
	log       *wal.Log
	transport *transport
	waiting   map[uint64]waiter
	reads     map[uint64]chan error
	nextRead  uint64
	lastRole  consensus.Role
	greeted   time.Time
	group     group
	failed    error
	failedAt  time.Time

	mu    sync.RWMutex
	store *settings.Store
}

type result struct {
	change    settings.Change
	duplicate bool
	err       error
}

type waiter struct {
	term uint64
	done chan result
}

// Open reads the data folder and returns a Keeper that does not run yet.
func Open(ctx context.Context, opts Options) (*Keeper, error) {
	ident, err := ReadIdentity(opts.Disk)
	if err != nil {
		return nil, fmt.Errorf("open keeper: %w", err)
	}
	log, state, err := wal.Open(opts.Disk)
	if err != nil {
		return nil, fmt.Errorf("open keeper: %w", err)
	}
	if state.Snapshot.Index == 0 {
		state.Snapshot.Config = ident.Initial
	}
	node, err := consensus.NewNode(ident.ID, state, opts.Consensus, opts.Clock.Now())
	if err != nil {
		return nil, fmt.Errorf("open keeper: %w", err)
	}
	tra, err := newTransport(ctx, ident, opts.PeerAddress, opts.Disk, opts.Pool, opts.Log)
	if err != nil {
		return nil, fmt.Errorf("open keeper: %w", err)
	}
	public := opts.SigningKey.Public().(ed25519.PublicKey)
	ke := &Keeper{
		opts:      opts,
		ident:     ident,
		holder:    spread.NewHolder(func() []ed25519.PublicKey { return []ed25519.PublicKey{public} }),
		work:      make(chan func(time.Time), workQueue),
		stopped:   make(chan struct{}),
		node:      node,
		log:       log,
		transport: tra,
		waiting:   make(map[uint64]waiter),
		reads:     make(map[uint64]chan error),
		store:     settings.NewStore(),
		group:     group{opts: opts.Group, callers: make(map[string]regroup.Caller)},
	}
	if err := ke.restore(state.Snapshot); err != nil {
		return nil, fmt.Errorf("open keeper: %w", err)
	}
	tra.setAddresses(node.Config())
	link.HandleNotice(opts.Mux, methodMessage, ke.receive)
	link.HandleNotice(opts.Mux, methodCall, ke.heardCall)
	spread.Serve(opts.Mux, ke.holder, ke.hasLeader.Load)
	link.Handle(opts.Mux, spread.MethodNewest, ke.newest)
	return ke, nil
}

// Holder returns what spreads the settings that this keeper knows to be accepted.
func (ke *Keeper) Holder() *spread.Holder { return ke.holder }

// ID returns the identity of the keeper.
func (ke *Keeper) ID() string { return ke.ident.ID }

// InForce returns the newest settings that this keeper knows to be accepted.
func (ke *Keeper) InForce() *spread.InForce { return ke.holder.Current() }

// Propose asks for a change and waits for the answer.
func (ke *Keeper) Propose(ctx context.Context, pro settings.Proposal) (settings.Change, bool, error) {
	if ke.stopping.Load() {
		return settings.Change{}, false, ErrStopping
	}
	data, err := codec.Marshal(pro)
	if err != nil {
		return settings.Change{}, false, fmt.Errorf("propose: %w", err)
	}
	done := make(chan result, 1)
	err = ke.do(ctx, func(now time.Time) {
		if ke.isForming() {
			done <- result{err: ErrForming}
			return
		}
		index, term, err := ke.node.Propose(now, data)
		if err != nil {
			done <- result{err: err}
			return
		}
		ke.waiting[index] = waiter{term: term, done: done}
	})
	if err != nil {
		return settings.Change{}, false, err
	}
	select {
	case res := <-done:
		return res.change, res.duplicate, res.err
	case <-ctx.Done():
		return settings.Change{}, false, ErrUnknown
	case <-ke.stopped:
		return settings.Change{}, false, ErrUnknown
	}
}

// ReadFresh returns when a quorum confirmed that what View shows is not stale.
func (ke *Keeper) ReadFresh(ctx context.Context) error {
	done := make(chan error, 1)
	err := ke.do(ctx, func(now time.Time) {
		ke.nextRead++
		if err := ke.node.Read(now, ke.nextRead); err != nil {
			done <- err
			return
		}
		ke.reads[ke.nextRead] = done
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("read: %w", ctx.Err())
	case <-ke.stopped:
		return ErrStopping
	}
}

// Run owns the consensus node until the context ends.
func (ke *Keeper) Run(ctx context.Context) {
	defer close(ke.stopped)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case fn := <-ke.work:
			fn(ke.opts.Clock.Now())
			ke.drain()
		case <-ticker.C:
		case <-ctx.Done():
			_ = ke.log.Close()
			return
		}
		if ke.failed != nil && !ke.reopen() {
			continue
		}
		ke.greet()
		ke.regroup(ke.opts.Clock.Now())
		ke.node.Tick(ke.opts.Clock.Now())
		if err := ke.flush(); err != nil {
			ke.fail(err)
		}
	}
}

// Stop makes the keeper refuse new changes and waits for those under way.
func (ke *Keeper) Stop(ctx context.Context) {
	ke.stopping.Store(true)
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		if ke.do(ctx, func(time.Time) { idle <- len(ke.waiting) == 0 }) != nil || <-idle {
			return
		}
		time.Sleep(tickEvery)
	}
}

// View reads the settings under the keeper's lock.
func (ke *Keeper) View(read func(store *settings.Store)) {
	ke.mu.RLock()
	defer ke.mu.RUnlock()
	read(ke.store)
}

// do runs a function on the goroutine that owns the node.
func (ke *Keeper) do(ctx context.Context, fn func(now time.Time)) error {
	ran := make(chan error, 1)
	work := func(now time.Time) {
		if ke.failed != nil {
			ran <- ErrDisk
			return
		}
		fn(now)
		ran <- nil
	}
	select {
	case ke.work <- work:
	case <-ctx.Done():
		return fmt.Errorf("keeper is busy: %w", ctx.Err())
	case <-ke.stopped:
		return ErrStopping
	}
	select {
	case err := <-ran:
		return err
	case <-ke.stopped:
		return ErrStopping
	}
}

// drain runs what waits in the queue, so that one sync serves all of it.
func (ke *Keeper) drain() {
	for range workQueue {
		select {
		case fn := <-ke.work:
			fn(ke.opts.Clock.Now())
		default:
			return
		}
	}
}

func (ke *Keeper) fail(err error) {
	ke.failed = err
	ke.hasLeader.Store(false)
	ke.failedAt = ke.opts.Clock.Now()
	ke.opts.Log.Write(events.KeeperDiskFailed, logrus.Fields{"error": err.Error()})
	for index, wai := range ke.waiting {
		wai.done <- result{err: ErrUnknown}
		delete(ke.waiting, index)
	}
	for id, done := range ke.reads {
		done <- ErrDisk
		delete(ke.reads, id)
	}
}

// reopen reads the disk again a while after it failed, and goes on from what it
// holds, as after a restart: what was not stored was never sent.
func (ke *Keeper) reopen() bool {
	now := ke.opts.Clock.Now()
	if now.Sub(ke.failedAt) < reopenAfter {
		return false
	}
	ke.failedAt = now
	_ = ke.log.Close() // It failed already.
	log, state, err := wal.Open(ke.opts.Disk)
	if err != nil {
		ke.opts.Log.Write(events.KeeperDiskFailed, logrus.Fields{"error": err.Error()})
		return false
	}
	ke.log = log
	if state.Snapshot.Index == 0 {
		state.Snapshot.Config = ke.ident.Initial
	}
	node, err := consensus.NewNode(ke.ident.ID, state, ke.opts.Consensus, now)
	if err != nil {
		ke.opts.Log.Write(events.KeeperDiskFailed, logrus.Fields{"error": err.Error()})
		return false
	}
	ke.node = node
	ke.mu.Lock()
	ke.store = settings.NewStore()
	ke.mu.Unlock()
	if err := ke.restore(state.Snapshot); err != nil {
		ke.opts.Log.Write(events.KeeperDiskFailed, logrus.Fields{"error": err.Error()})
		return false
	}
	ke.failed = nil
	ke.opts.Log.Write(events.KeeperReopened, logrus.Fields{"term": node.Term()})
	return true
}

// flush stores, sends and applies until nothing is left to do.
func (ke *Keeper) flush() error {
	for {
		rdy := ke.node.Ready()
		if err := ke.persist(rdy); err != nil {
			return err
		}
		ke.node.Persisted(rdy)
		if rdy.Snapshot != nil {
			if err := ke.restore(*rdy.Snapshot); err != nil {
				return err
			}
		}
		ke.noteRole()
		for _, msg := range rdy.Messages {
			ke.transport.send(msg)
		}
		entries := ke.node.TakeCommitted()
		if err := ke.apply(entries); err != nil {
			return err
		}
		ke.answerReads()
		if len(rdy.Messages) == 0 && len(rdy.Entries) == 0 && len(entries) == 0 {
			return ke.compact()
		}
	}
}

func (ke *Keeper) persist(rdy consensus.Ready) error {
	if rdy.Snapshot != nil {
		ke.opts.Log.Write(events.KeeperSnapshot, logrus.Fields{"index": rdy.Snapshot.Index, "installed": true})
		return ke.log.SaveSnapshot(*rdy.Snapshot, ke.node.HardState(), ke.node.Entries())
	}
	start := time.Now()
	if err := ke.log.Append(rdy.HardState, rdy.Entries); err != nil {
		return err
	}
	if len(rdy.Entries) > 0 {
		ke.opts.Metrics.Observe("keeper.syncMicros", time.Since(start))
	}
	return nil
}

// newest returns the newest version once a quorum confirmed it.
func (ke *Keeper) newest(ctx context.Context, _ string, _ struct{}) (spread.Newest, error) {
	if err := ke.ReadFresh(ctx); err != nil {
		return spread.Newest{}, err
	}
	return spread.Newest{Version: ke.InForce().Version}, nil
}

// greet tells the other keepers now and then who this one is, so that all of
// them know its nonce, also those that the agreement had nothing to tell.
func (ke *Keeper) greet() {
	now := ke.opts.Clock.Now()
	if now.Sub(ke.greeted) < greetEvery {
		return
	}
	ke.greeted = now
	for _, mem := range ke.node.Config().Members {
		if mem.ID != ke.ident.ID {
			ke.transport.send(consensus.Message{From: ke.ident.ID, To: mem.ID})
		}
	}
}

func (ke *Keeper) noteRole() {
	ke.hasLeader.Store(ke.node.Leader() != "")
	role := ke.node.Role()
	if role == ke.lastRole {
		return
	}
	if role == consensus.RoleLeader {
		ke.opts.Log.Write(events.KeeperLeader, logrus.Fields{"term": ke.node.Term()})
	}
	if ke.lastRole == consensus.RoleLeader {
		ke.opts.Log.Write(events.KeeperFollower, logrus.Fields{"term": ke.node.Term()})
	}
	ke.lastRole = role
}

func (ke *Keeper) receive(_ string, env envelope) {
	if !ke.transport.accept(env) {
		return
	}
	select {
	case ke.work <- func(now time.Time) {
		if ke.failed == nil && env.Message.Kind != 0 {
			ke.node.Step(now, env.Message)
		}
	}:
	default:
	}
}
