// Package claims implements a daemon's part in the claims of non-idempotent
// requests. A claim is a lock on a request's idempotency key; an attempt needs
// the votes of a majority of the key's claim holders before it may run. The
// package stores claims if the settings name the daemon as a holder, and sends
// the daemon's own claims to the holders of their keys.
//
// Usage:
//
//	cl := claims.New(options)
//	go cl.Run(ctx) // applies new holder tables
//	grant := cl.Acquire(ctx, key, attempt)
//	cl.Record(grant, record)
//
// Lock order: no other lock is taken and no message is sent while Claims.mu is
// held.
package claims

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/claim"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/recovery"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

const (
	methodClaim   = "claim.ask"
	methodFinish  = "claim.finish"
	methodEntries = "claim.entries"

	// followInterval is how often Run checks for a new holder table.
	followInterval = 100 * time.Millisecond
	confirmTimeout = time.Second
	// copyTimeoutDivisor divides the maximum clock skew to get the timeout for
	// copying claims from former holders. A restarted holder accepts
	// confirmations only after the whole skew, when copies that began before
	// its restart have ended; see claim.Holder.Confirm.
	copyTimeoutDivisor = 2
)

// Options configures Claims.
type Options struct {
	Clock   clock.Clock
	Replica *settingsync.Replica
	Keepers []string
	Log     *events.Logger
	Metrics *metrics.Registry
	Mux     *link.Mux
	Pool    *link.Pool
	Self    string
	Limits  claim.Options
	// Address returns the peer address of a daemon, or "" if it is unknown.
	Address func(id string) string
}

// Claims stores claims and acquires them from holders. It is safe for
// concurrent use.
type Claims struct {
	opts     Options
	claimant *claim.Claimant
	// background counts the Record calls that still run.
	background sync.WaitGroup

	mu     sync.Mutex
	holder *claim.Holder
	table  claim.Table
	// formerGroups are the groups from which the holder must copy claims before
	// it may vote.
	formerGroups [][]string
	// ready reports whether this daemon was a voting holder at the last check.
	ready bool
}

type entriesRequest struct {
	Epoch uint64 `codec:"e"`
}

type entriesAnswer struct {
	// Moved reports that the holder has switched to the requested epoch or a
	// later one and that its claims are complete.
	Moved bool   `codec:"m"`
	Epoch uint64 `codec:"p"`
	// VotesAfter is the time up to which the holder may have forgotten claims.
	VotesAfter time.Time     `codec:"s"`
	Entries    []claim.Entry `codec:"e"`
}

type empty struct{}

var errNoAddress = errors.New("claims: the holder is not in the member table")

// New returns Claims without entries and registers its handlers.
func New(opts Options) *Claims {
	cl := &Claims{opts: opts, holder: claim.NewHolder(opts.Limits, opts.Clock.Now())}
	cl.claimant = claim.NewClaimant(cl)
	link.Handle(opts.Mux, methodClaim, func(_ context.Context, _ string, req claim.Request) (claim.Answer, error) {
		return cl.claimLocally(req), nil
	})
	link.Handle(opts.Mux, methodFinish, func(_ context.Context, _ string, fin claim.Finish) (empty, error) {
		cl.finishLocally(fin)
		return empty{}, nil
	})
	link.Handle(opts.Mux, methodEntries, func(_ context.Context, _ string, req entriesRequest) (entriesAnswer, error) {
		return cl.localEntries(req), nil
	})
	return cl
}

// Acquire claims a key for an attempt at the key's holders.
func (cl *Claims) Acquire(ctx context.Context, key, attempt string) claim.Grant {
	return cl.claimant.Claim(ctx, holderTable(cl.opts.Replica.Current()), key, attempt)
}

// Record reports to the holders, in the background, that the attempt of a grant
// ran.
func (cl *Claims) Record(grant claim.Grant, rec *claim.Record) {
	cl.background.Go(func() { cl.claimant.Finish(context.Background(), grant, rec) })
}

// Release releases the key of an attempt that did not run. It reports whether a
// majority of the holders confirmed it.
func (cl *Claims) Release(grant claim.Grant) bool {
	return cl.claimant.Release(grant)
}

// Wait returns when all background calls of Record have finished.
func (cl *Claims) Wait() {
	cl.background.Wait()
}

// Dump returns the state of the claims that this daemon holds.
func (cl *Claims) Dump() map[string]any {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	count, bytes := cl.holder.Count()
	return map[string]any{
		"table": cl.table.String(), "holds": cl.table.Holds(cl.opts.Self), "claims": count, "bytes": bytes,
		"voting": cl.holder.IsVoting(cl.opts.Clock.Now()), "epoch": cl.holder.Epoch(), "confirmed": cl.holder.IsConfirmed(),
	}
}

// Run applies new holder tables until the context ends.
func (cl *Claims) Run(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		cl.follow(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Claim sends a claim to one holder. It implements claim.Holders.
func (cl *Claims) Claim(ctx context.Context, holder string, req claim.Request) (claim.Answer, error) {
	if holder == cl.opts.Self {
		var answer claim.Answer
		err := cl.protect(methodClaim, func() { answer = cl.claimLocally(req) })
		return answer, err
	}
	address := cl.opts.Address(holder)
	if address == "" {
		return claim.Answer{}, errNoAddress
	}
	return link.Call[claim.Request, claim.Answer](ctx, cl.opts.Pool, address, methodClaim, req)
}

// Finish reports the result of an attempt to one holder. It implements
// claim.Holders.
func (cl *Claims) Finish(ctx context.Context, holder string, fin claim.Finish) error {
	if holder == cl.opts.Self {
		return cl.protect(methodFinish, func() { cl.finishLocally(fin) })
	}
	address := cl.opts.Address(holder)
	if address == "" {
		return errNoAddress
	}
	_, err := link.Call[claim.Finish, empty](ctx, cl.opts.Pool, address, methodFinish, fin)
	if err != nil {
		return fmt.Errorf("finish claim: %w", err)
	}
	return nil
}

// protect runs a method of the local holder, and returns an error if its code panics.
func (cl *Claims) protect(method string, fn func()) error {
	return recovery.Run(cl.opts.Log, cl.opts.Metrics, logrus.Fields{"method": method}, fn)
}

func (cl *Claims) localEntries(req entriesRequest) entriesAnswer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.holder.Epoch() < req.Epoch || cl.holder.IsPending() {
		return entriesAnswer{}
	}
	return entriesAnswer{Moved: true, Epoch: cl.holder.Epoch(), VotesAfter: cl.holder.VotesAfter(), Entries: cl.holder.Entries()}
}

func (cl *Claims) finishLocally(fin claim.Finish) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.holder.Finish(cl.opts.Clock.Now(), fin)
}

func (cl *Claims) claimLocally(req claim.Request) claim.Answer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.table.Holds(cl.opts.Self) {
		return claim.Answer{Decision: claim.WrongTable}
	}
	return cl.holder.Claim(cl.opts.Clock.Now(), req)
}

func holderTable(current *settingsync.Active) claim.Table {
	return current.Resolver.Policy(settings.Path{}).ClaimHolders
}

// follow switches to a new holder table and copies the claims of the former
// holders if the new table requires it.
func (cl *Claims) follow(ctx context.Context) {
	current := cl.opts.Replica.Current()
	if current.Version == 0 {
		return
	}
	table := holderTable(current)
	cl.mu.Lock()
	if table.Epoch > cl.table.Epoch {
		cl.holder.SetEpoch(table.Epoch, table.MustCopy(cl.opts.Self))
		cl.formerGroups = append(cl.formerGroups, table.Former...)
		cl.table = table
	}
	copying, confirmed, groups := cl.holder.IsCopying(), cl.holder.IsConfirmed(), cl.formerGroups
	if !copying {
		cl.formerGroups = nil
	}
	cl.updateReady()
	cl.mu.Unlock()
	if !confirmed {
		cl.confirm(ctx, table, current.Version)
	}
	if copying && table.Holds(cl.opts.Self) {
		cl.copyClaims(ctx, groups, table.Epoch)
	}
}

// confirm checks that no newer table than this daemon's is in use. It asks the
// keepers, or all other holders of the daemon's group if no keeper confirms it.
// version is the version of the settings that contain the table.
func (cl *Claims) confirm(ctx context.Context, table claim.Table, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !cl.confirmedByKeepers(ctx, version) && !cl.confirmedByHolders(ctx, table) {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.holder.Confirm(table.Epoch)
}

// confirmedByKeepers reports whether the first keeper that responds has no
// newer settings.
func (cl *Claims) confirmedByKeepers(ctx context.Context, version uint64) bool {
	for _, address := range cl.opts.Keepers {
		newest, err := link.Call[struct{}, settingsync.NewestVersion](ctx, cl.opts.Pool, address, settingsync.MethodNewest, struct{}{})
		if err == nil {
			return version >= newest.Version
		}
	}
	return false
}

// confirmedByHolders reports whether all other holders of the group use the
// same table.
func (cl *Claims) confirmedByHolders(ctx context.Context, table claim.Table) bool {
	cl.mu.Lock()
	votesAfter := cl.holder.VotesAfter()
	cl.mu.Unlock()
	if cl.opts.Clock.Now().Before(votesAfter) {
		return false
	}
	for _, group := range table.Groups {
		if !slices.Contains(group, cl.opts.Self) {
			continue
		}
		for _, id := range group {
			if id == cl.opts.Self {
				continue
			}
			answer, err := cl.fetchEntries(ctx, id, table.Epoch)
			if err != nil || !answer.Moved || answer.Epoch != table.Epoch {
				return false
			}
		}
		return true
	}
	return false
}

// updateReady logs when the holder starts to vote. The caller holds the lock.
func (cl *Claims) updateReady() {
	ready := cl.table.Holds(cl.opts.Self) && cl.holder.IsVoting(cl.opts.Clock.Now())
	if ready && !cl.ready {
		cl.opts.Log.Write(events.HolderReady, logrus.Fields{"table": cl.table.String()})
	}
	cl.ready = ready
}

// copyClaims copies the claims from a majority of each former group. A holder
// that responds no longer votes under the former table, so no claim can be
// decided under it afterwards.
func (cl *Claims) copyClaims(ctx context.Context, groups [][]string, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, cl.opts.Limits.Skew/copyTimeoutDivisor)
	defer cancel()
	var copied []claim.Entry
	var votesAfter time.Time
	for _, group := range groups {
		moved := 0
		for _, id := range group {
			answer, err := cl.fetchEntries(ctx, id, epoch)
			if err != nil || !answer.Moved {
				continue
			}
			moved++
			if answer.VotesAfter.After(votesAfter) {
				votesAfter = answer.VotesAfter
			}
			copied = append(copied, answer.Entries...)
		}
		if moved <= len(group)/2 {
			return
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.holder.Restore(cl.opts.Clock.Now(), epoch, votesAfter, copied)
}

// fetchEntries requests the claims of a holder that has switched to an epoch.
func (cl *Claims) fetchEntries(ctx context.Context, id string, epoch uint64) (entriesAnswer, error) {
	req := entriesRequest{Epoch: epoch}
	if id == cl.opts.Self {
		return cl.localEntries(req), nil
	}
	address := cl.opts.Address(id)
	if address == "" {
		return entriesAnswer{}, errNoAddress
	}
	answer, err := link.Call[entriesRequest, entriesAnswer](ctx, cl.opts.Pool, address, methodEntries, req)
	if err != nil {
		return answer, fmt.Errorf("fetch claim entries: %w", err)
	}
	return answer, nil
}
