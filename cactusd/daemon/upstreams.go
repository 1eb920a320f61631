package daemon

import (
	"errors"
	"time"

	"cactusstream.example/cactusd/internal/gate"
)

// Announcement describes an upstream on the daemon's VM.
type Announcement = gate.Announcement

// ErrInvalidAnnouncement reports an announcement that can't be true.
var ErrInvalidAnnouncement = gate.ErrInvalid

// Announce registers an upstream or renews its lease. An announcement that
// arrives after a later one is ignored without an error.
func (da *Daemon) Announce(ann Announcement) error {
	if err := da.gate.Announce(ann); err != nil && !errors.Is(err, gate.ErrSuperseded) {
		return err
	}
	return nil
}

// RegisterLeaving stops admission to an upstream. If the upstream is unknown,
// it is registered first, so that a delayed announcement of the same start
// doesn't register it as ready.
func (da *Daemon) RegisterLeaving(ann Announcement) error {
	if err := da.Announce(ann); err != nil && !errors.Is(err, gate.ErrRecentlyLeft) {
		return err
	}
	return da.Leave(ann.ID, ann.StartedAt)
}

// Leave stops admission to an upstream, unless it started after startedAt. If the
// upstream is unknown, Leave does nothing and returns no error.
func (da *Daemon) Leave(id string, startedAt time.Time) error {
	_, err := da.gate.LeaveInstance(id, startedAt)
	if errors.Is(err, gate.ErrUnknownUpstream) {
		return nil
	}
	return err
}
