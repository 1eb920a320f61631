// Package follower keeps a daemon's settings up to date: from a keeper that it
// watches, and from other daemons when they are ahead.
//
// Usage:
//
//	fo := follower.New(options)
//	fo.Start(ctx)   // asks every keeper and seed once, and takes the newest
//	go fo.Run(ctx)
package follower

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/spread"
)

const (
	firstAskTimeout = time.Second
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 5 * time.Second
	peerEvery       = 300 * time.Millisecond
	pullTimeout     = 5 * time.Second
	// watchTime is how long one request waits at a keeper. A keeper that is cut
	// off from the others sends the next one away, so this bounds how long a
	// daemon misses changes at it: well under the 2 s that a platform allows.
	watchTime   = 800 * time.Millisecond
	watchMargin = 700 * time.Millisecond
)

// Options are what a Follower is made of.
type Options struct {
	Holder *spread.Holder
	// Keepers returns the peer addresses of the keepers that are known.
	Keepers func() []string
	Seeds   func() []string
	Log     *events.Logger
	Pool    *link.Pool
	// Ahead returns the address of a daemon with newer settings, or "".
	Ahead func(version uint64) string
}

// Follower keeps a Holder up to date.
type Follower struct {
	opts Options
}

// New returns a Follower.
func New(opts Options) *Follower {
	return &Follower{opts: opts}
}

// Start asks every keeper and seed at once and takes the newest settings that
// any of them holds, so that a restart does not go back while a peer is ahead.
func (fo *Follower) Start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstAskTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range append(fo.opts.Keepers(), fo.opts.Seeds()...) {
		group.Go(func() { _ = fo.pull(ctx, address, 0) })
	}
	group.Wait()
}

// Run watches a keeper and looks for daemons that are ahead, until the context ends.
func (fo *Follower) Run(ctx context.Context) {
	go fo.watchKeepers(ctx)
	for ctx.Err() == nil && fo.opts.Holder.Current().Version == 0 {
		fo.Start(ctx)
		fo.pause(ctx, minBackoff)
	}
	for ctx.Err() == nil {
		fo.pause(ctx, peerEvery)
		if address := fo.opts.Ahead(fo.opts.Holder.Current().Version); address != "" {
			_ = fo.pull(ctx, address, 0)
		}
	}
}

// watchKeepers keeps one long request at a keeper chosen at random, so that
// the daemons spread over the keepers and hear of a change at once.
func (fo *Follower) watchKeepers(ctx context.Context) {
	at := rand.IntN(math.MaxInt32)
	backoff := minBackoff
	for ctx.Err() == nil {
		if keepers := fo.opts.Keepers(); len(keepers) > 0 {
			if err := fo.pull(ctx, keepers[at%len(keepers)], watchTime); err == nil {
				backoff = minBackoff
				continue
			}
		}
		at++
		fo.pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (fo *Follower) pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// pull asks one process for what is newer, waiting for it at most a while.
func (fo *Follower) pull(ctx context.Context, address string, wait time.Duration) error {
	timeout := pullTimeout
	if wait > 0 {
		timeout = wait + watchMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	have := fo.opts.Holder.Current().Version
	upd, err := fo.ask(ctx, address, have, wait)
	if err != nil {
		return err
	}
	if err = fo.apply(upd, address); !errors.Is(err, spread.ErrDrift) && !errors.Is(err, spread.ErrGap) {
		return err
	}
	fo.opts.Log.Write(events.SettingsDrift, logrus.Fields{"version": upd.Version, "from": address})
	if upd, err = fo.ask(ctx, address, 0, 0); err != nil {
		return err
	}
	return fo.apply(upd, address)
}

func (fo *Follower) ask(ctx context.Context, address string, have uint64, wait time.Duration) (spread.Update, error) {
	packed, err := link.Call[spread.Request, spread.Packed](ctx, fo.opts.Pool, address, spread.MethodGet, spread.Request{Have: have, WaitMS: wait.Milliseconds()})
	if err != nil {
		return spread.Update{}, fmt.Errorf("ask for settings: %w", err)
	}
	return packed.Unpack()
}

func (fo *Follower) apply(upd spread.Update, from string) error {
	applied, err := fo.opts.Holder.Apply(upd)
	if err != nil {
		fo.opts.Log.Write(events.SettingsRefused, logrus.Fields{"version": upd.Version, "from": from, "error": err.Error()})
		return err
	}
	if applied {
		fo.opts.Log.Write(events.SettingsInForce, logrus.Fields{"version": upd.Version, "from": from})
	}
	return nil
}
