package settingsync

import (
	"sync"
	"time"
)

// Freshness tells whether the settings of a process are known to be the newest. Each
// confirmation is valid for a limited time, so a process that gets no further ones stops
// reporting its settings as the newest, whatever the reason. It is safe for concurrent use.
//
// Lock order: no other lock is taken while Freshness.mu is held.
type Freshness struct {
	limit time.Duration

	mu          sync.Mutex
	confirmedAt time.Time
	expired     chan struct{} // Closed unless a confirmation is valid.
	timer       *time.Timer
}

// NewFreshness returns a Freshness without a confirmation. Each one is valid for limit.
func NewFreshness(limit time.Duration) *Freshness {
	fr := &Freshness{limit: limit, expired: make(chan struct{})}
	close(fr.expired)
	return fr
}

// Confirm records that the settings were the newest at a time. An older time than that of
// the last call has no effect.
func (fr *Freshness) Confirm(at time.Time) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	left := fr.limit - time.Since(at)
	if left <= 0 || !at.After(fr.confirmedAt) {
		return
	}
	fr.confirmedAt = at
	if fr.isExpired() {
		fr.expired = make(chan struct{})
		fr.timer = time.AfterFunc(left, fr.expire)
		return
	}
	fr.timer.Reset(left)
}

// Expired returns a channel that is closed while, or as soon as, the settings are not known
// to be the newest.
func (fr *Freshness) Expired() <-chan struct{} {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.expired
}

func (fr *Freshness) isConfirmed() bool {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return !fr.isExpired()
}

// expire ends the last confirmation. If another one arrived while expire waited for the
// lock, it restarts the timer instead.
func (fr *Freshness) expire() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if left := fr.limit - time.Since(fr.confirmedAt); left > 0 {
		fr.timer.Reset(left)
		return
	}
	if !fr.isExpired() {
		close(fr.expired)
	}
}

// isExpired reports whether the channel is closed. The caller holds the lock.
func (fr *Freshness) isExpired() bool {
	select {
	case <-fr.expired:
		return true
	default:
		return false
	}
}
