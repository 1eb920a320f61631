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
// arrives after a later one, or after the upstream has left, is ignored without an
// error.
func (da *Daemon) Announce(ann Announcement) error {
	err := da.gate.Announce(ann)
	if errors.Is(err, gate.ErrSuperseded) || errors.Is(err, gate.ErrDeparted) {
		return nil
	}
	return err
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
// upstream is unknown, Leave only remembers the start and returns no error.
func (da *Daemon) Leave(id string, startedAt time.Time) error {
	// A daemon that has just started can tell nobody before it knows the fleet, and
	// would lose the departure with its process. The leave holds in any case.
	_, _ = da.inheritedDepartures()
	_, err := da.gate.LeaveInstance(id, startedAt)
	if errors.Is(err, gate.ErrUnknownUpstream) {
		return nil
	}
	return err
}
