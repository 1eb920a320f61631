package spread

import (
	"context"
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

// Serve answers the fleet's requests for settings out of a Holder.
func Serve(mux *link.Mux, hol *Holder) {
	pac := &packer{}
	link.Handle(mux, MethodGet, func(ctx context.Context, _ string, req Request) (Packed, error) {
		wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxWait)
		if wait > 0 {
			waitCtx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			hol.Wait(waitCtx, req.Have)
		}
		return pac.since(hol, req.Have)
	})
}
