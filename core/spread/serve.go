package spread

import (
	"context"
	"errors"
	"time"

	"cactusstream.example/core/link"
)

const (
	// MethodNewest is the link method that asks a keeper for the newest version,
	// confirmed by a quorum.
	MethodNewest = "settings.newest"

	maxWait = 30 * time.Second
)

// Newest is the answer to MethodNewest.
type Newest struct {
	Version uint64 `codec:"version"`
}

// ErrNotCurrent reports a keeper that is out of touch with the others: what it
// holds may be old, and news would not reach those who wait at it.
var ErrNotCurrent = errors.New("spread: out of touch with the leader; ask another keeper")

// Serve answers the fleet's requests for settings out of a Holder. A process
// whose isCurrent is false sends those away who want to wait for news; nil
// stands for always.
func Serve(mux *link.Mux, hol *Holder, isCurrent func() bool) {
	pac := &packer{}
	link.Handle(mux, MethodGet, func(ctx context.Context, _ string, req Request) (Packed, error) {
		wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxWait)
		if wait > 0 && hol.Current().Version <= req.Have {
			if isCurrent != nil && !isCurrent() {
				return Packed{}, ErrNotCurrent
			}
			waitCtx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			hol.Wait(waitCtx, req.Have)
		}
		return pac.since(hol, req.Have)
	})
}
