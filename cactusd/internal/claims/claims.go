// Package claims connects a daemon to the claims of non-idempotent requests:
// it holds claims when the settings name the daemon as a holder, and carries
// claims to the holders of a key.
//
// Usage:
//
//	cl := claims.New(options)
//	go cl.Run(ctx)                       // follows the table of holders
//	grant := cl.Claim(ctx, key, attempt)
//	cl.Finish(grant, record)
//
// Lock order: Claims.mu is a leaf; nothing is sent while it is held.
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
	"cactusstream.example/core/settings"
	"cactusstream.example/core/spread"
)

const (
	methodClaim   = "claim.ask"
	methodFinish  = "claim.finish"
	methodEntries = "claim.entries"

	followEvery    = 100 * time.Millisecond
	confirmTimeout = time.Second
	// learnShare is the part of the clocks' skew that learning may take; see
	// claim.Holder.Confirm.
	learnShare = 2
)

// Options are what Claims are made of.
type Options struct {
	Clock   clock.Clock
	Holder  *spread.Holder
	Keepers []string
	Log     *events.Logger
	Mux     *link.Mux
	Pool    *link.Pool
	Self    string
	Limits  claim.Options
	// Address returns the peer address of a daemon, or "".
	Address func(id string) string
}

// Claims holds and asks for claims. It is safe for concurrent use.
type Claims struct {
	opts     Options
	claimant *claim.Claimant
	open     sync.WaitGroup

	mu     sync.Mutex
	holder *claim.Holder
	table  claim.Table
	// formers are the groups that the holder must learn from while it is pending.
	formers [][]string
	ready   bool
}

type entriesRequest struct {
	Epoch uint64 `codec:"e"`
}

type entriesAnswer struct {
	// Moved says that the holder has left the tables before the epoch and knows
	// the claims that it should.
	Moved bool   `codec:"m"`
	Epoch uint64 `codec:"p"`
	// Since is the time up to which the holder may have forgotten claims.
	Since   time.Time     `codec:"s"`
	Entries []claim.Entry `codec:"e"`
}

type empty struct{}

var errNoAddress = errors.New("claims: the holder is not in the member table")

// New returns Claims that hold nothing yet.
func New(opts Options) *Claims {
	cl := &Claims{opts: opts, holder: claim.NewHolder(opts.Limits, opts.Clock.Now())}
	cl.claimant = claim.NewClaimant(cl)
	link.Handle(opts.Mux, methodClaim, func(_ context.Context, _ string, req claim.Request) (claim.Answer, error) {
		return cl.hold(req), nil
	})
	link.Handle(opts.Mux, methodFinish, func(_ context.Context, _ string, fin claim.Finish) (empty, error) {
		cl.finish(fin)
		return empty{}, nil
	})
	link.Handle(opts.Mux, methodEntries, func(_ context.Context, _ string, req entriesRequest) (entriesAnswer, error) {
		return cl.entries(req), nil
	})
	return cl
}

// Acquire claims a key for an attempt.
func (cl *Claims) Acquire(ctx context.Context, key, attempt string) claim.Grant {
	return cl.claimant.Claim(ctx, tableOf(cl.opts.Holder.Current()), key, attempt)
}

// Record notes in the background that the attempt of a grant ran.
func (cl *Claims) Record(grant claim.Grant, rec *claim.Record) {
	cl.open.Go(func() { cl.claimant.Finish(context.Background(), grant, rec) })
}

// Release gives back a key that was not run, and says whether a majority knows it.
func (cl *Claims) Release(grant claim.Grant) bool {
	return cl.claimant.Release(grant)
}

// Wait returns when everything recorded in the background is with the holders.
func (cl *Claims) Wait() {
	cl.open.Wait()
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

// Run follows the table of holders until the context ends.
func (cl *Claims) Run(ctx context.Context) {
	ticker := time.NewTicker(followEvery)
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

// Claim asks one holder; claim.Claimant calls it.
func (cl *Claims) Claim(ctx context.Context, holder string, req claim.Request) (claim.Answer, error) {
	if holder == cl.opts.Self {
		return cl.hold(req), nil
	}
	address := cl.opts.Address(holder)
	if address == "" {
		return claim.Answer{}, errNoAddress
	}
	return link.Call[claim.Request, claim.Answer](ctx, cl.opts.Pool, address, methodClaim, req)
}

// Finish tells one holder how an attempt ended; claim.Claimant calls it.
func (cl *Claims) Finish(ctx context.Context, holder string, fin claim.Finish) error {
	if holder == cl.opts.Self {
		cl.finish(fin)
		return nil
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

func (cl *Claims) entries(req entriesRequest) entriesAnswer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.holder.Epoch() < req.Epoch || cl.holder.IsPending() {
		return entriesAnswer{}
	}
	return entriesAnswer{Moved: true, Epoch: cl.holder.Epoch(), Since: cl.holder.Since(), Entries: cl.holder.Entries()}
}

func (cl *Claims) finish(fin claim.Finish) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.holder.Finish(cl.opts.Clock.Now(), fin)
}

func (cl *Claims) hold(req claim.Request) claim.Answer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.table.Holds(cl.opts.Self) {
		return claim.Answer{Verdict: claim.WrongTable}
	}
	return cl.holder.Claim(cl.opts.Clock.Now(), req)
}

func tableOf(current *spread.InForce) claim.Table {
	return current.Resolver.Policy(settings.Path{}).ClaimHolders
}

// follow moves to a new table of holders and, where it must, learns the claims
// of the former holders.
func (cl *Claims) follow(ctx context.Context) {
	current := cl.opts.Holder.Current()
	if current.Version == 0 {
		return
	}
	table := tableOf(current)
	cl.mu.Lock()
	if table.Epoch > cl.table.Epoch {
		cl.holder.SetEpoch(table.Epoch, table.MustLearn(cl.opts.Self))
		cl.formers = append(cl.formers, table.Former...)
		cl.table = table
	}
	learning, confirmed, formers := cl.holder.IsLearning(), cl.holder.IsConfirmed(), cl.formers
	if !learning {
		cl.formers = nil
	}
	cl.noteReady()
	cl.mu.Unlock()
	if !confirmed {
		cl.confirm(ctx, table, current.Version)
	}
	if learning && table.Holds(cl.opts.Self) {
		cl.learn(ctx, formers, table.Epoch)
	}
}

// confirm finds out whether a newer table than this daemon's is in use: from
// the keepers, or else from all the other holders of its group. The version is
// that of the settings which the table was read from.
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

func (cl *Claims) confirmedByKeepers(ctx context.Context, version uint64) bool {
	for _, address := range cl.opts.Keepers {
		newest, err := link.Call[struct{}, spread.Newest](ctx, cl.opts.Pool, address, spread.MethodNewest, struct{}{})
		if err == nil {
			return version >= newest.Version
		}
	}
	return false
}

func (cl *Claims) confirmedByHolders(ctx context.Context, table claim.Table) bool {
	cl.mu.Lock()
	since := cl.holder.Since()
	cl.mu.Unlock()
	if cl.opts.Clock.Now().Before(since) {
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
			answer, err := cl.askEntries(ctx, id, table.Epoch)
			if err != nil || !answer.Moved || answer.Epoch != table.Epoch {
				return false
			}
		}
		return true
	}
	return false
}

func (cl *Claims) noteReady() {
	ready := cl.table.Holds(cl.opts.Self) && cl.holder.IsVoting(cl.opts.Clock.Now())
	if ready && !cl.ready {
		cl.opts.Log.Write(events.HolderReady, logrus.Fields{"table": cl.table.String()})
	}
	cl.ready = ready
}

// learn takes the claims of a majority of each former group. Those that answer
// have left the former table, so it can't decide anything any more.
func (cl *Claims) learn(ctx context.Context, formers [][]string, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, cl.opts.Limits.Skew/learnShare)
	defer cancel()
	var learned []claim.Entry
	var since time.Time
	for _, group := range formers {
		moved := 0
		for _, id := range group {
			answer, err := cl.askEntries(ctx, id, epoch)
			if err != nil || !answer.Moved {
				continue
			}
			moved++
			if answer.Since.After(since) {
				since = answer.Since
			}
			learned = append(learned, answer.Entries...)
		}
		if moved <= len(group)/2 {
			return
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.holder.Restore(cl.opts.Clock.Now(), epoch, since, learned)
}

func (cl *Claims) askEntries(ctx context.Context, id string, epoch uint64) (entriesAnswer, error) {
	req := entriesRequest{Epoch: epoch}
	if id == cl.opts.Self {
		return cl.entries(req), nil
	}
	address := cl.opts.Address(id)
	if address == "" {
		return entriesAnswer{}, errNoAddress
	}
	answer, err := link.Call[entriesRequest, entriesAnswer](ctx, cl.opts.Pool, address, methodEntries, req)
	if err != nil {
		return answer, fmt.Errorf("learn claims: %w", err)
	}
	return answer, nil
}
