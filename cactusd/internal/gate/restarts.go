package gate

import (
	"slices"
	"time"

	"cactusstream.example/core/member"
)

const (
	// minRepeatInterval is the least time between two announcements that show that a
	// start lives. Announcements that waited together, such as for a paused daemon,
	// arrive within milliseconds.
	minRepeatInterval = 500 * time.Millisecond
	// maxFreshAge is how long ago an upstream that announces itself for the first time
	// has started at most, by the clock of the VM.
	maxFreshAge = 5 * time.Second
	// displacedRepeatTime is minRepeatInterval for a start that another one has displaced.
	// The one that lives announces itself several times in it.
	displacedRepeatTime = Lease / 3
)

// rival is another start of a registered upstream that has announced itself, and whose
// start time doesn't tell whether it is a later one: clocks go back.
type rival struct {
	startedAt time.Time
	// sequence is that of its last announcement.
	sequence uint64
	// since is when it announced itself first after the last announcement of the
	// registered start, or zero.
	since time.Time
	// displacedAt is when the registered start took its place, or zero if it was never
	// registered.
	displacedAt time.Time
}

// rivals holds what is known of the other starts of a registered upstream. Gate.mu
// protects it.
type rivals struct {
	list []rival
	// renewedAt is when the registered start announced itself last.
	renewedAt time.Time
	// latestPast is the latest start time, among those of the registered start and its
	// rivals that were registered, that wasn't in the future when it was announced first.
	latestPast time.Time
}

// begin records the first announcement of the registered start.
func (ri *rivals) begin(now, startedAt time.Time) {
	ri.renewedAt = now
	if !startedAt.After(now) {
		ri.latestPast = startedAt
	}
}

// inherit adds what is known from the start that was registered before.
func (ri *rivals) inherit(earlier rivals) {
	ri.list = earlier.list
	ri.renew(ri.renewedAt)
	if earlier.latestPast.After(ri.latestPast) {
		ri.latestPast = earlier.latestPast
	}
}

// find returns the rival with a start time, or nil.
func (ri *rivals) find(startedAt time.Time) *rival {
	index := slices.IndexFunc(ri.list, func(riv rival) bool { return riv.startedAt.Equal(startedAt) })
	if index < 0 {
		return nil
	}
	return &ri.list[index]
}

// renew records that the registered start has announced itself again.
func (ri *rivals) renew(now time.Time) {
	ri.renewedAt = now
	for i := range ri.list {
		ri.list[i].since = time.Time{}
	}
}

// observe records an announcement of a rival. It returns false for one that isn't later
// than another of the same start.
func (ri *rivals) observe(now time.Time, ann Announcement) (*rival, bool) {
	riv := ri.find(ann.StartedAt)
	if riv == nil {
		ri.add(rival{startedAt: ann.StartedAt, sequence: ann.Sequence, since: now})
		return &ri.list[len(ri.list)-1], true
	}
	if ann.Sequence <= riv.sequence {
		return riv, false
	}
	riv.sequence = ann.Sequence
	if riv.since.IsZero() {
		riv.since = now
	}
	return riv, true
}

// add adds a rival and forgets the oldest one if there are too many.
func (ri *rivals) add(riv rival) {
	ri.list = append(ri.list, riv)
	if len(ri.list) > member.MaxDepartures {
		ri.list = slices.Delete(ri.list, 0, 1)
	}
}

// isContender reports whether a start has announced itself for some time since the
// registered one did.
func (ri *rivals) isContender(now, startedAt time.Time) bool {
	riv := ri.find(startedAt)
	switch {
	case riv == nil || riv.since.IsZero():
		return false
	case riv.displacedAt.IsZero():
		return now.Sub(riv.since) >= minRepeatInterval
	}
	return now.Sub(riv.since) >= displacedRepeatTime
}

// latest returns the latest start time among the registered start and those that it has
// displaced.
func (ri *rivals) latest(registered time.Time) time.Time {
	for _, riv := range ri.list {
		if !riv.displacedAt.IsZero() && riv.startedAt.After(registered) {
			registered = riv.startedAt
		}
	}
	return registered
}

// isLaterStart reports whether a start time alone shows that it is of a later start than
// the registered one. The caller holds Gate.mu.
func (gu *guard) isLaterStart(startedAt time.Time) bool {
	return startedAt.After(gu.rivals.latest(gu.ann.StartedAt))
}

// isReplacedBy reports whether an announcement is of the start that lives, although its
// start time isn't later than that of the registered one. One of these shows it:
//
//   - A registered start was in the past by the daemon's clock, and is in the future now,
//     and the other one has just begun: the clock of the VM went back in between.
//   - Nothing has listened at the address of the registered start since its last
//     announcement.
//   - The other start announces itself repeatedly, and the registered one doesn't.
//
// Only the last of these brings back a start that was displaced before.
//
// The caller holds Gate.mu.
func (gu *guard) isReplacedBy(ann Announcement) bool {
	now := gu.opts.Clock.Now()
	riv, isProgress := gu.rivals.observe(now, ann)
	if !isProgress {
		return false
	}
	if gu.rivals.isContender(now, ann.StartedAt) {
		return true
	}
	age := now.Sub(ann.StartedAt)
	isFresh := gu.rivals.latestPast.After(now) && age >= 0 && age <= maxFreshAge
	return riv.displacedAt.IsZero() && (isFresh || gu.refusedSinceRenewal())
}

// refusedSinceRenewal reports whether a connection was refused since the upstream announced
// itself last.
func (gu *guard) refusedSinceRenewal() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.refusedAt.After(gu.renewedAt)
}

// displace stops admission to a start in favour of another one. Unlike a start that has
// left, it may be used again if it turns out to live: the announcement that replaced it
// may be a late one. It returns the rivals of the other start. The caller holds Gate.mu.
func (gu *guard) displace(ann Announcement) rivals {
	now := gu.opts.Clock.Now()
	gu.leave("restarted")
	gu.forgetWork()
	next := rivals{latestPast: gu.rivals.latestPast}
	for _, riv := range gu.rivals.list {
		if !riv.startedAt.Equal(ann.StartedAt) {
			next.add(riv)
		}
	}
	next.add(rival{startedAt: gu.ann.StartedAt, sequence: gu.lastSequence(), displacedAt: now})
	return next
}

func (gu *guard) lastSequence() uint64 {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.sequence
}

// departRivals remembers, when the registered start leaves, those that it has displaced as
// departed too, unless they have announced themselves since. The caller holds the lock.
func (ga *Gate) departRivals(gu *guard) {
	for _, riv := range gu.rivals.list {
		if !riv.displacedAt.IsZero() && riv.since.IsZero() && !ga.departed.has(gu.ann.ID, riv.startedAt) {
			ga.departed.add(gu.ann.ID, riv.startedAt)
		}
	}
}

// departDisplaced does the same once the registered start has announced itself for longer
// than their leases, so that the next start of the daemon knows of them. It reports
// whether there are new ones.
func (ga *Gate) departDisplaced(gu *guard) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	changed := false
	for _, riv := range gu.rivals.list {
		if riv.displacedAt.IsZero() || gu.rivals.renewedAt.Sub(riv.displacedAt) <= Lease || ga.departed.has(gu.ann.ID, riv.startedAt) {
			continue
		}
		ga.departed.add(gu.ann.ID, riv.startedAt)
		changed = true
	}
	return changed
}
