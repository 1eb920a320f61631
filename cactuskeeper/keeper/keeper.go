// Package keeper implements a keeper: a node that stores the settings of the
// fleet, replicates changes to the other keepers by consensus and distributes
// accepted versions to the daemons.
//
// Usage:
//
//	ke, err := keeper.Open(options)
//	go ke.Run(ctx)
//	change, duplicate, err := ke.Propose(ctx, proposal)
//
// The goroutine of Run owns the consensus node and the log on disk. Others queue
// tasks for it. The settings are read under a lock.
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
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
	"cactusstream.example/core/wal"
)

const (
	compactThreshold = 2000 // log entries
	initialChangeID  = "cactusstream-first-tree"
	identityInterval = 500 * time.Millisecond
	reopenDelay      = 500 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	// maxFlushTime is the duration of a flush from which an event is logged.
	maxFlushTime    = 300 * time.Millisecond
	taskQueueLength = 1024 // tasks
)

// Errors that calls to a keeper return.
var (
	// ErrDisk reports that the disk failed. No change is accepted until it works
	// again.
	ErrDisk = errors.New("keeper: disk failure")
	// ErrStopping reports that the keeper is shutting down and did not start the
	// operation.
	ErrStopping = errors.New("keeper: shutting down")
	// ErrOutcomeUnknown reports that a change may or may not have been accepted.
	// It is safe to send it again with the same ID.
	ErrOutcomeUnknown = errors.New("keeper: unknown whether the change was accepted; send it again with the same ID")
)

// Options configures a Keeper.
type Options struct {
	Clock     clock.Clock
	Consensus consensus.Options
	Disk      wal.Disk
	Log       *events.Logger
	Metrics   *metrics.Registry
	Group     GroupOptions
	Mux       *link.Mux
	// PeerAddress and OperatorAddress are the addresses at which other keepers
	// and operators reach this one.
	PeerAddress     string
	OperatorAddress string
	Pool            *link.Pool
	SigningKey      ed25519.PrivateKey
}

// Keeper is a member of the keeper group, or one that waits to join it.
//
// Lock order: no other lock of this package is taken while Keeper.mu is held.
type Keeper struct {
	opts     Options
	ident    Identity
	replica  *settingsync.Replica
	tasks    chan func(now time.Time)
	stopped  chan struct{}
	stopping atomic.Bool
	// leaving is set once this keeper has asked to be removed because it shuts down.
	leaving atomic.Bool
	// fresh tells whether this keeper is known to have all accepted changes.
	fresh *settingsync.Freshness

	// Owned by Run.
	node           *consensus.Node
	log            *wal.Log
	transport      *transport
	pending        map[uint64]pendingProposal
	pendingReads   map[uint64]chan error
	lastReadID     uint64
	lastRole       consensus.Role
	identitySentAt time.Time
	group          group
	agreement      agreement
	diskErr        error
	diskFailedAt   time.Time

	mu    sync.RWMutex
	store *settings.Store
}

// result is the outcome of a proposal.
type result struct {
	change    settings.Change
	duplicate bool
	err       error
}

// pendingProposal is a proposal that has not been committed yet.
type pendingProposal struct {
	term uint64
	done chan result
}

// Open reads the data folder and returns a Keeper. Run must be called to start it.
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
	agr, err := newAgreement(ident, opts.Group, opts.Disk)
	if err != nil {
		return nil, fmt.Errorf("open keeper: %w", err)
	}
	ke := &Keeper{
		agreement:    agr,
		opts:         opts,
		ident:        ident,
		replica:      settingsync.NewReplica(func() []ed25519.PublicKey { return []ed25519.PublicKey{public} }),
		tasks:        make(chan func(time.Time), taskQueueLength),
		stopped:      make(chan struct{}),
		node:         node,
		log:          log,
		transport:    tra,
		pending:      make(map[uint64]pendingProposal),
		pendingReads: make(map[uint64]chan error),
		store:        settings.NewStore(),
		fresh:        settingsync.NewFreshness(opts.Consensus.ElectionTimeout),
		group:        newGroup(opts.Group),
	}
	if err := ke.restore(state.Snapshot); err != nil {
		return nil, fmt.Errorf("open keeper: %w", err)
	}
	tra.setAddresses(node.Config())
	link.HandleNotice(opts.Mux, methodMessage, ke.receive)
	link.HandleNotice(opts.Mux, methodJoinRequest, ke.receiveJoinRequest)
	link.Handle(opts.Mux, methodMayStop, ke.handleMayStop)
	link.Handle(opts.Mux, methodPrepare, ke.handlePrepare)
	link.Handle(opts.Mux, methodAccept, ke.handleAccept)
	link.HandleNotice(opts.Mux, methodGroup, ke.receiveGroup)
	settingsync.Serve(opts.Mux, ke.replica, ke.fresh)
	link.Handle(opts.Mux, settingsync.MethodNewest, ke.newestVersion)
	return ke, nil
}

// Replica returns the replica that distributes the accepted settings to daemons.
func (ke *Keeper) Replica() *settingsync.Replica { return ke.replica }

// ID returns the identity of the keeper.
func (ke *Keeper) ID() string { return ke.ident.ID }

// CurrentSettings returns the newest settings that this keeper knows to be
// accepted.
func (ke *Keeper) CurrentSettings() *settingsync.Active { return ke.replica.Current() }

// Propose proposes a change and waits until it is accepted or rejected. The bool
// reports whether the change was a duplicate of one accepted before.
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
		if ke.isBootstrapping() {
			done <- result{err: ErrBootstrapping}
			return
		}
		index, term, err := ke.node.Propose(now, data)
		if err != nil {
			done <- result{err: err}
			return
		}
		ke.pending[index] = pendingProposal{term: term, done: done}
	})
	if err != nil {
		return settings.Change{}, false, err
	}
	select {
	case res := <-done:
		return res.change, res.duplicate, res.err
	case <-ctx.Done():
		return settings.Change{}, false, ErrOutcomeUnknown
	case <-ke.stopped:
		return settings.Change{}, false, ErrOutcomeUnknown
	}
}

// ReadBarrier returns once a quorum has confirmed that a following View reads no
// stale settings.
func (ke *Keeper) ReadBarrier(ctx context.Context) error {
	done := make(chan error, 1)
	err := ke.do(ctx, func(now time.Time) {
		ke.lastReadID++
		if err := ke.node.Read(now, ke.lastReadID); err != nil {
			done <- err
			return
		}
		ke.pendingReads[ke.lastReadID] = done
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

// Run drives the consensus node until the context is cancelled.
func (ke *Keeper) Run(ctx context.Context) {
	defer close(ke.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case fn := <-ke.tasks:
			fn(ke.opts.Clock.Now())
			ke.runQueuedTasks()
		case <-ticker.C:
		case <-ctx.Done():
			_ = ke.log.Close()
			return
		}
		if ke.diskErr != nil && !ke.reopen() {
			continue
		}
		ke.sendIdentity()
		ke.reconfigure(ke.opts.Clock.Now())
		ke.node.Tick(ke.opts.Clock.Now())
		ke.flushOrFail()
	}
}

// flushOrFail flushes the consensus node, and logs an event if that took long. After a
// flush, the settings are as new as the newest evidence of the node.
func (ke *Keeper) flushOrFail() {
	start := ke.opts.Clock.Now()
	if err := ke.flush(); err != nil {
		ke.fail(err)
	} else {
		ke.fresh.Confirm(ke.node.CurrentAt(start))
	}
	if took := ke.opts.Clock.Now().Sub(start); took > maxFlushTime {
		ke.opts.Log.Write(events.KeeperBlocked, logrus.Fields{"blockedMillis": took.Milliseconds()})
	}
}

// Stop rejects new changes and waits for the pending ones until the context ends.
func (ke *Keeper) Stop(ctx context.Context) {
	ke.stopping.Store(true)
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		if ke.do(ctx, func(time.Time) { idle <- len(ke.pending) == 0 }) != nil || <-idle {
			return
		}
		time.Sleep(tickInterval)
	}
}

// View calls read with the settings under the keeper's read lock. They may be
// stale.
func (ke *Keeper) View(read func(store *settings.Store)) {
	ke.mu.RLock()
	defer ke.mu.RUnlock()
	read(ke.store)
}

// do runs a function on the goroutine of Run and waits until it returns.
func (ke *Keeper) do(ctx context.Context, fn func(now time.Time)) error {
	done := make(chan error, 1)
	task := func(now time.Time) {
		if ke.diskErr != nil {
			done <- ErrDisk
			return
		}
		fn(now)
		done <- nil
	}
	select {
	case ke.tasks <- task:
	case <-ctx.Done():
		return fmt.Errorf("keeper: task queue is full: %w", ctx.Err())
	case <-ke.stopped:
		return ErrStopping
	}
	select {
	case err := <-done:
		return err
	case <-ke.stopped:
		return ErrStopping
	}
}

// runQueuedTasks runs all queued tasks, so that their log entries share one disk
// sync.
func (ke *Keeper) runQueuedTasks() {
	for range taskQueueLength {
		select {
		case fn := <-ke.tasks:
			fn(ke.opts.Clock.Now())
		default:
			return
		}
	}
}

// fail marks the disk as failed and fails all pending proposals and reads.
func (ke *Keeper) fail(err error) {
	ke.diskErr = err
	ke.diskFailedAt = ke.opts.Clock.Now()
	ke.opts.Log.Write(events.KeeperDiskFailed, logrus.Fields{"error": err.Error()})
	for index, prop := range ke.pending {
		prop.done <- result{err: ErrOutcomeUnknown}
		delete(ke.pending, index)
	}
	for id, done := range ke.pendingReads {
		done <- ErrDisk
		delete(ke.pendingReads, id)
	}
}

// reopen tries to reload the state from disk, at most once per reopenDelay. The
// keeper continues as after a restart. This is safe because messages are sent
// only after the state behind them is stored.
func (ke *Keeper) reopen() bool {
	now := ke.opts.Clock.Now()
	if now.Sub(ke.diskFailedAt) < reopenDelay {
		return false
	}
	ke.diskFailedAt = now
	_ = ke.log.Close() // The log has failed already.
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
	ke.diskErr = nil
	ke.opts.Log.Write(events.KeeperReopened, logrus.Fields{"term": node.Term()})
	return true
}

// flush stores the entries, sends the messages and applies the commits that the
// node has produced, until there are none left.
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
		ke.updateRole()
		for _, msg := range rdy.Messages {
			ke.transport.send(msg)
		}
		entries := ke.node.TakeCommitted()
		if err := ke.apply(entries); err != nil {
			return err
		}
		ke.completeReads()
		if len(rdy.Messages) == 0 && len(rdy.Entries) == 0 && len(entries) == 0 {
			return ke.compact()
		}
	}
}

// persist stores a received snapshot, or the new entries and the hard state.
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

// newestVersion returns the newest version once a quorum has confirmed it.
func (ke *Keeper) newestVersion(ctx context.Context, _ string, _ struct{}) (settingsync.NewestVersion, error) {
	if err := ke.ReadBarrier(ctx); err != nil {
		return settingsync.NewestVersion{}, err
	}
	return settingsync.NewestVersion{Version: ke.CurrentSettings().Version}, nil
}

// sendIdentity sends an empty message to the other keepers at intervals, so that
// all of them learn this keeper's nonce and address, even those that consensus
// sends no messages to.
func (ke *Keeper) sendIdentity() {
	now := ke.opts.Clock.Now()
	if now.Sub(ke.identitySentAt) < identityInterval {
		return
	}
	ke.identitySentAt = now
	for _, mem := range ke.node.Config().Members {
		if mem.ID != ke.ident.ID {
			ke.transport.send(consensus.Message{From: ke.ident.ID, To: mem.ID})
		}
	}
}

// updateRole logs when this keeper becomes the leader or stops being it.
func (ke *Keeper) updateRole() {
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

// receive queues a consensus message from a verified peer. It drops the message
// when the queue is full; the sender sends it again. A message of kind 0 only
// carries the identity of its sender.
func (ke *Keeper) receive(_ string, env envelope) {
	if !ke.transport.verifySender(env) {
		return
	}
	select {
	case ke.tasks <- func(now time.Time) {
		if ke.diskErr == nil && env.Message.Kind != 0 {
			ke.node.Step(now, env.Message)
		}
	}:
	default:
	}
}
