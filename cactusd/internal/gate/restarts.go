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

// otherStart is another start of a registered upstream that has announced itself, and whose
// start time doesn't tell whether it is a later one: clocks go back.
type otherStart struct {
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

// otherStarts holds what is known of the other starts of a registered upstream. Gate.mu
// protects it.
type otherStarts struct {
	list []otherStart
	// renewedAt is when the registered start announced itself last.
	renewedAt time.Time
	// latestPast is the latest start time, among those of the registered start and the
	// others that were registered, that wasn't in the future when it was announced first.
	latestPast time.Time
}

// begin records the first announcement of the registered start.
func (os *otherStarts) begin(now, startedAt time.Time) {
	os.renewedAt = now
	if !startedAt.After(now) {
		os.latestPast = startedAt
	}
}

// inherit adds what is known from the start that was registered before.
func (os *otherStarts) inherit(earlier otherStarts) {
	os.list = earlier.list
	os.renew(os.renewedAt)
	if earlier.latestPast.After(os.latestPast) {
		os.latestPast = earlier.latestPast
	}
}

// find returns the other start with a start time, or nil.
func (os *otherStarts) find(startedAt time.Time) *otherStart {
	index := slices.IndexFunc(os.list, func(other otherStart) bool { return other.startedAt.Equal(startedAt) })
	if index < 0 {
		return nil
	}
	return &os.list[index]
}

// renew records that the registered start has announced itself again.
func (os *otherStarts) renew(now time.Time) {
	os.renewedAt = now
	for i := range os.list {
		os.list[i].since = time.Time{}
	}
}

// observe records an announcement of another start. It returns false for one that isn't later
// than another of the same start.
func (os *otherStarts) observe(now time.Time, ann Announcement) (*otherStart, bool) {
	other := os.find(ann.StartedAt)
	if other == nil {
		os.add(otherStart{startedAt: ann.StartedAt, sequence: ann.Sequence, since: now})
		return &os.list[len(os.list)-1], true
	}
	if ann.Sequence <= other.sequence {
		return other, false
	}
	other.sequence = ann.Sequence
	if other.since.IsZero() {
		other.since = now
	}
	return other, true
}

// add adds a start and forgets the oldest one if there are too many.
func (os *otherStarts) add(other otherStart) {
	os.list = append(os.list, other)
	if len(os.list) > member.MaxDepartures {
		os.list = slices.Delete(os.list, 0, 1)
	}
}

// hasRepeated reports whether a start has announced itself for some time since the
// registered one did.
func (os *otherStarts) hasRepeated(now, startedAt time.Time) bool {
	other := os.find(startedAt)
	switch {
	case other == nil || other.since.IsZero():
		return false
	case other.displacedAt.IsZero():
		return now.Sub(other.since) >= minRepeatInterval
	}
	return now.Sub(other.since) >= displacedRepeatTime
}

// latest returns the latest start time among the registered start and those that it has
// displaced.
func (os *otherStarts) latest(registered time.Time) time.Time {
	for _, other := range os.list {
		if !other.displacedAt.IsZero() && other.startedAt.After(registered) {
			registered = other.startedAt
		}
	}
	return registered
}

// isLaterStart reports whether a start time alone shows that it is of a later start than
// the registered one. The caller holds Gate.mu.
func (gu *guard) isLaterStart(startedAt time.Time) bool {
	return startedAt.After(gu.otherStarts.latest(gu.ann.StartedAt))
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
	other, isProgress := gu.otherStarts.observe(now, ann)
	if !isProgress {
		return false
	}
	if gu.otherStarts.hasRepeated(now, ann.StartedAt) {
		return true
	}
	age := now.Sub(ann.StartedAt)
	isFresh := gu.otherStarts.latestPast.After(now) && age >= 0 && age <= maxFreshAge
	return other.displacedAt.IsZero() && (isFresh || gu.refusedSinceRenewal())
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
// may be a late one. It returns what is known for the other start. The caller holds Gate.mu.
func (gu *guard) displace(ann Announcement) otherStarts {
	now := gu.opts.Clock.Now()
	gu.leave("restarted")
	gu.forgetWork()
	next := otherStarts{latestPast: gu.otherStarts.latestPast}
	for _, other := range gu.otherStarts.list {
		if !other.startedAt.Equal(ann.StartedAt) {
			next.add(other)
		}
	}
	next.add(otherStart{startedAt: gu.ann.StartedAt, sequence: gu.lastSequence(), displacedAt: now})
	return next
}

func (gu *guard) lastSequence() uint64 {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.sequence
}

// departDisplaced remembers starts that the registered one has displaced as departed, if
// isOver says so. It reports whether there are new ones. The caller holds the lock.
func (ga *Gate) departDisplaced(gu *guard, isOver func(other otherStart) bool) bool {
	changed := false
	for _, other := range gu.otherStarts.list {
		if other.displacedAt.IsZero() || !isOver(other) || ga.departed.has(gu.ann.ID, other.startedAt) {
			continue
		}
		ga.departed.add(gu.ann.ID, other.startedAt)
		changed = true
	}
	return changed
}

// departSuperseded remembers displaced starts as departed once the registered one has
// announced itself for longer than their leases, so that the next start of the daemon
// knows of them. It reports whether there are new ones.
func (ga *Gate) departSuperseded(gu *guard) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.departDisplaced(gu, func(other otherStart) bool { return gu.otherStarts.renewedAt.Sub(other.displacedAt) > Lease })
}
