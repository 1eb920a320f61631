package daemon

import (
	"errors"
	"time"

	"cactusstream.example/cactusd/internal/gate"
)

// Announcement is what an upstream beside the daemon says of itself.
type Announcement = gate.Announcement

// Announce takes an announcement. One that a later one has overtaken changes
// nothing and is no error.
func (da *Daemon) Announce(ann Announcement) error {
	if err := da.gate.Announce(ann); err != nil && !errors.Is(err, gate.ErrSuperseded) {
		return err
	}
	return nil
}

// AnnounceLeaving makes an upstream take no new work, whether it was known or
// not: a later announcement of the same start does not bring it back.
func (da *Daemon) AnnounceLeaving(ann Announcement) error {
	if err := da.Announce(ann); err != nil && !errors.Is(err, gate.ErrRecentlyLeft) {
		return err
	}
	return da.Leave(ann.ID, ann.Born)
}

// Leave makes an upstream take no new work. One that started after born stays.
func (da *Daemon) Leave(id string, born time.Time) error {
	_, err := da.gate.LeaveInstance(id, born)
	if errors.Is(err, gate.ErrUnknownUpstream) {
		return nil
	}
	return err
}
