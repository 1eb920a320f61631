package follower

import (
	"math/rand/v2"
	"time"
)

// pauses are the waits between attempts to watch a keeper: they double, and are
// spread so that daemons don't come back together. The zero value begins anew.
type pauses struct {
	backoff time.Duration
	// failed counts the attempts in a row that failed.
	failed int
}

func (pa *pauses) next() time.Duration {
	pa.failed++
	pa.backoff = min(max(2*pa.backoff, minBackoff), maxBackoff)
	return pa.backoff/2 + rand.N(pa.backoff)
}

func (pa *pauses) reset() { *pa = pauses{} }
