// Package follower keeps a daemon's settings up to date. It long-polls one of
// the keepers, which store the settings, and fetches from another daemon if
// that one has newer settings.
//
// Usage:
//
//	fo := follower.New(options)
//	fo.Start(ctx)   // asks every keeper and seed once and applies the newest
//	go fo.Run(ctx)
package follower

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/settingsync"
)

const (
	startTimeout     = time.Second
	startInterval    = 200 * time.Millisecond
	peerPollInterval = 300 * time.Millisecond
	pullTimeout      = 5 * time.Second
	// A peer that does not respond for hedgeDelay is not waited for: another one is
	// asked as well, up to maxPeerPulls at a time. Settings have to be in force
	// everywhere within 2 s, but large ones take longer than hedgeDelay on a slow link.
	hedgeDelay   = 400 * time.Millisecond
	maxPeerPulls = 3
	// confirmedFor is how long the settings count as confirmed: the time between two
	// polls, and that of a search for another keeper.
	confirmedFor = 1500 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	Replica *settingsync.Replica
	// Keepers returns the peer addresses of the known keepers, those to prefer first,
	// and Seeds those of daemons to ask at the start.
	Keepers func() []string
	Seeds   func() []string
	Log     *events.Logger
	Pool    *link.Pool
	// PeerWithNewerSettings returns the address of a daemon with settings newer
	// than version, or "" if there is none.
	PeerWithNewerSettings func(version uint64) string
}

// The ways by which settings reach a daemon, in the field way of settingsInForce.
const (
	wayPoll  = "poll"
	wayPeer  = "peer"
	wayStart = "start"
)

// Follower keeps the settings in a settingsync.Replica up to date.
type Follower struct {
	opts Options
	// confirmedAt is when a keeper that knew that its settings are the newest last
	// answered. It is the zero time until then.
	confirmedAt atomic.Pointer[time.Time]
	// preferInterval is the time after which a daemon that waits at another keeper asks
	// its preferred one again.
	preferInterval time.Duration
}

// New returns a Follower.
func New(opts Options) *Follower {
	fo := &Follower{opts: opts, preferInterval: defaultPreferInterval}
	fo.confirmedAt.Store(&time.Time{})
	return fo
}

// Start asks every keeper and seed concurrently and applies the newest
// settings, so that a restarted daemon doesn't use older settings than its
// peers.
func (fo *Follower) Start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	addresses := append(slices.Clone(fo.opts.Keepers()), fo.opts.Seeds()...)
	slices.Sort(addresses)
	var group sync.WaitGroup
	for _, address := range slices.Compact(addresses) {
		group.Go(func() { _ = fo.pull(ctx, address, 0, startTimeout, wayStart) })
	}
	group.Wait()
}

// IsConfirmed reports whether a keeper has confirmed lately that the settings are the
// newest.
func (fo *Follower) IsConfirmed() bool {
	return time.Since(*fo.confirmedAt.Load()) < confirmedFor
}

// Run polls a keeper and fetches from daemons with newer settings, until the
// context ends.
func (fo *Follower) Run(ctx context.Context) {
	go fo.watchKeepers(ctx)
	for ctx.Err() == nil && fo.opts.Replica.Current().Version == 0 {
		fo.Start(ctx)
		fo.sleep(ctx, startInterval)
	}
	fo.watchPeers(ctx)
}

// watchPeers fetches from peers with newer settings until the context ends.
func (fo *Follower) watchPeers(ctx context.Context) {
	pulls := make(chan struct{}, maxPeerPulls)
	for ctx.Err() == nil {
		fo.sleep(ctx, peerPollInterval)
		address := fo.opts.PeerWithNewerSettings(fo.opts.Replica.Current().Version)
		if address == "" {
			continue
		}
		select {
		case pulls <- struct{}{}:
		default:
			continue
		}
		done := make(chan struct{})
		go func() {
			defer func() { close(done); <-pulls }()
			_ = fo.pull(ctx, address, 0, pullTimeout, wayPeer) // Logged there; another peer is asked next.
		}()
		select {
		case <-done:
		case <-time.After(hedgeDelay):
		case <-ctx.Done():
		}
	}
}

// sleep waits for a duration or until the context ends.
func (fo *Follower) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// errUnconfirmed reports a process that doesn't know whether its settings are the newest.
var errUnconfirmed = errors.New("the settings are not known to be the newest")

// pull fetches newer settings from one process and applies them. If there are
// none, the process holds the request for up to wait. If the update doesn't
// match the current settings, pull fetches all settings instead. A poll also fails, after
// the update has been applied, if the process may have outdated settings.
func (fo *Follower) pull(ctx context.Context, address string, wait, timeout time.Duration, way string) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	have := fo.opts.Replica.Current().Version
	asked := time.Now()
	upd, confirmed, err := fo.fetch(ctx, address, have, wait)
	if err != nil {
		return err
	}
	err = fo.apply(upd, address, way, asked)
	if errors.Is(err, settingsync.ErrDigestMismatch) || errors.Is(err, settingsync.ErrMissingChanges) {
		fo.opts.Log.Write(events.SettingsDrift, logrus.Fields{"version": upd.Version, "from": address})
		if upd, confirmed, err = fo.fetch(ctx, address, 0, 0); err != nil {
			return err
		}
		err = fo.apply(upd, address, way, asked)
	}
	switch {
	case err != nil:
		return err
	case confirmed:
		now := time.Now()
		fo.confirmedAt.Store(&now)
	case way == wayPoll:
		return errUnconfirmed
	}
	return nil
}

// fetch requests what changed since a version; version 0 requests all settings. It also
// returns whether the process knows that its settings are the newest.
func (fo *Follower) fetch(ctx context.Context, address string, have uint64, wait time.Duration) (settingsync.Update, bool, error) {
	packed, err := link.Call[settingsync.Request, settingsync.EncodedUpdate](ctx, fo.opts.Pool, address, settingsync.MethodGet, settingsync.Request{Have: have, WaitMS: wait.Milliseconds()})
	if err != nil {
		return settingsync.Update{}, false, fmt.Errorf("fetch settings: %w", err)
	}
	upd, err := packed.Unpack()
	return upd, packed.Confirmed, err
}

// apply applies an update and logs the result, with the way by which the update came,
// the time since it was requested, and the time since a keeper last confirmed the settings.
func (fo *Follower) apply(upd settingsync.Update, from, way string, asked time.Time) error {
	applied, err := fo.opts.Replica.Apply(upd)
	if err != nil {
		fo.opts.Log.Write(events.SettingsRefused, logrus.Fields{"version": upd.Version, "from": from, "error": err.Error()})
		return err
	}
	if applied {
		fields := logrus.Fields{"version": upd.Version, "from": from, "way": way, "askedAgoMillis": time.Since(asked).Milliseconds()}
		if confirmedAt := *fo.confirmedAt.Load(); !confirmedAt.IsZero() {
			fields["confirmedAgoMillis"] = time.Since(confirmedAt).Milliseconds()
		}
		fo.opts.Log.Write(events.SettingsInForce, fields)
	}
	return nil
}
