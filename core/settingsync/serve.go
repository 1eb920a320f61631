package settingsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusstream.example/core/link"
)

const (
	// MethodNewest is the link method that requests the newest version from a
	// keeper, confirmed by a quorum.
	MethodNewest = "settings.newest"

	// maxWait limits Request.WaitMS; a longer wait is shortened to it.
	maxWait = 30 * time.Second
)

// NewestVersion is the response to MethodNewest.
type NewestVersion struct {
	Version uint64 `codec:"version"`
}

// ErrNotCurrent reports a process whose settings may be outdated: a request that waits
// there might not receive newer ones.
var ErrNotCurrent = errors.New("settingsync: the settings are not known to be the newest; ask another keeper")

// Serve registers the handler of MethodGet, which returns updates from a Replica. The
// answer that there is nothing newer to a request that waits is given only while fresh
// confirms it; otherwise, and as soon as that ends, the request is rejected with
// ErrNotCurrent. A nil fresh never confirms it.
func Serve(mux *link.Mux, rep *Replica, fresh *Freshness) {
	if fresh == nil {
		fresh = NewFreshness(0)
	}
	cache := &encodedCache{}
	link.Handle(mux, MethodGet, func(ctx context.Context, _ string, req Request) (EncodedUpdate, error) {
		if wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxWait); wait > 0 {
			if err := awaitNewer(ctx, rep, fresh, req.Have, wait); err != nil {
				return EncodedUpdate{}, err
			}
		}
		packed, err := cache.since(rep, req.Have)
		packed.Confirmed = fresh.isConfirmed()
		return packed, err
	})
}

// awaitNewer returns when the Replica has a newer version than have, or after wait if
// there is none. It returns ErrNotCurrent once it isn't known whether there is one.
func awaitNewer(ctx context.Context, rep *Replica, fresh *Freshness, have uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for rep.Current().Version <= have {
		select {
		case <-rep.changed(have):
		case <-fresh.Expired():
			return ErrNotCurrent
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("wait for settings: %w", ctx.Err())
		}
	}
	return nil
}
