package settingsync

import (
	"context"
	"errors"
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

// ErrNotCurrent reports a keeper that has lost contact with the leader: its
// settings may be outdated, and a request that waits there would not receive newer
// ones.
var ErrNotCurrent = errors.New("settingsync: no contact with the leader; ask another keeper")

// Serve registers the handler of MethodGet, which returns updates from a Replica.
// While isCurrent returns false, requests that would wait for a newer version are
// rejected with ErrNotCurrent. A nil isCurrent means that the Replica is always
// current.
func Serve(mux *link.Mux, rep *Replica, isCurrent func() bool) {
	cache := &encodedCache{}
	link.Handle(mux, MethodGet, func(ctx context.Context, _ string, req Request) (EncodedUpdate, error) {
		wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxWait)
		if wait > 0 && rep.Current().Version <= req.Have {
			if isCurrent != nil && !isCurrent() {
				return EncodedUpdate{}, ErrNotCurrent
			}
			waitCtx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			rep.Wait(waitCtx, req.Have)
		}
		return cache.since(rep, req.Have)
	})
}
