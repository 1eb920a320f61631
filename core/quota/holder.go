package quota

import (
	"math"
	"time"
)

const (
	// maxPromise limits how far ahead of its next token a holder tells callers to come
	// back. Each refused caller is told a later time, so that not all come at once.
	maxPromise = time.Second
	// bucketRetention is how long a bucket that is not used is kept. It exceeds
	// removalMemory, so that a bucket that is created again can't have been emptied
	// after the time from which its level is derived.
	bucketRetention = 5 * time.Minute
	// retryElsewhere is the delay that a daemon names that is not a holder.
	retryElsewhere = time.Second
	// retryStarted is the delay that a daemon names that has started and holds nothing
	// yet. After a start of the whole fleet, a longer one would leave quota unused.
	retryStarted = 100 * time.Millisecond
)

// Ask asks a holder for tokens of an organisation.
type Ask struct {
	Organisation string  `codec:"o"`
	PerSecond    float64 `codec:"l"`
	Burst        float64 `codec:"b,omitempty"`
	// Version is the version of the settings that hold the limit.
	Version uint64 `codec:"v"`
	Count   int    `codec:"c,omitempty"`
	// Returned is the number of tokens that the asking daemon took for requests that
	// have not run.
	Returned int `codec:"r,omitempty"`
}

// Answer is the answer of a holder.
type Answer struct {
	Granted int `codec:"g,omitempty"`
	// RetryAfter is when the holder expects to have a token, if it has none left or
	// granted less than asked. Left is what its bucket holds.
	RetryAfter time.Duration `codec:"r,omitempty"`
	Left       float64       `codec:"l,omitempty"`
	// NotHolder means that the daemon holds no quota of the organisation, so that the
	// answer says nothing about the limit.
	NotHolder bool `codec:"n,omitempty"`
}

// bucket is a holder's part of the quota of one organisation.
type bucket struct {
	limit   Limit
	version uint64
	share   share
	// rosterVersion is the version of the member set that share was computed for.
	rosterVersion uint64
	levels        levels
	returnable    float64
	at            time.Time
	// promised is the latest time that a refused caller was told to come back at.
	promised time.Time
	granted  uint64
	refused  uint64
}

// holder has the buckets of the organisations of which a daemon is a holder.
type holder struct {
	roster  *roster
	buckets map[string]*bucket
	// startedAt is when the process started, or zero if that isn't known.
	startedAt time.Time
	// joinedAt is when the daemon joined the fleet, and holdsFrom when it began to hold
	// quotas. They are zero until it has joined.
	joinedAt  time.Time
	holdsFrom time.Time
	// settledSize is the size of the member set from which settleDelay runs.
	settledSize int
	left        bool
	sweptAt     time.Time
}

func newHolder(ro *roster) *holder {
	return &holder{roster: ro, buckets: make(map[string]*bucket)}
}

// serve takes tokens from the bucket of an organisation. It returns false if this
// daemon is not a holder.
func (ho *holder) serve(now time.Time, ask Ask) (Answer, bool) {
	bu := ho.bucket(now, ask)
	if bu == nil {
		return Answer{RetryAfter: ho.retryLater(now), NotHolder: true}, false
	}
	bu.fill(now)
	bu.giveBack(ask.Returned)
	granted := max(min(ask.Count, int(bu.levels.lowest())), 0)
	bu.levels.add(-float64(granted), bu.share.depth)
	bu.granted += uint64(granted)
	ans := Answer{Granted: granted, Left: bu.levels.lowest()}
	if granted > 0 && ans.Left < 1 {
		ans.RetryAfter = bu.levels.nextToken(now, bu.share.rate)
	}
	for range max(ask.Count, 0) - granted {
		bu.refused++
		ans.RetryAfter = bu.promise(now)
	}
	return ans, true
}

// holds reports whether the daemon holds quotas: it has joined the fleet, and not left.
func (ho *holder) holds(now time.Time) bool {
	return !ho.left && !ho.holdsFrom.IsZero() && !now.Before(ho.holdsFrom)
}

// retryLater returns when a daemon that holds no quota of an organisation should be
// asked again.
func (ho *holder) retryLater(now time.Time) time.Duration {
	if ho.left || ho.holds(now) {
		return retryElsewhere
	}
	return retryStarted
}

// settle delays the time from which a started daemon holds quotas if its member set has
// grown.
func (ho *holder) settle(now time.Time) {
	size := len(ho.roster.peers)
	if ho.joinedAt.IsZero() || ho.holds(now) || float64(size) <= float64(ho.settledSize)*(1+settleGrowth) {
		return
	}
	ho.settledSize = size
	ho.holdsFrom = now.Add(settleDelay)
	if latest := ho.joinedAt.Add(joinDelay); ho.holdsFrom.After(latest) {
		ho.holdsFrom = latest
	}
}

// heldSince returns when this daemon began to hold the quota of an organisation, and
// whether that is when its process started.
func (ho *holder) heldSince(key uint64, wanted int) (time.Time, bool) {
	since := ho.roster.heldSince(key, wanted)
	switch {
	case ho.startedAt.IsZero():
		if since.Before(ho.holdsFrom) {
			since = ho.holdsFrom
		}
	case since.Before(ho.startedAt):
		return ho.startedAt, true
	}
	return since, false
}

// bucket returns the bucket of an organisation with its present limit and share, or
// nil if this daemon is not a holder. The limit of the newest settings wins,
// whichever daemon knows them.
func (ho *holder) bucket(now time.Time, ask Ask) *bucket {
	if !ho.holds(now) {
		return nil
	}
	ho.sweep(now)
	limit := Limit{PerSecond: ask.PerSecond, Burst: ask.Burst}
	bu := ho.buckets[ask.Organisation]
	if bu != nil {
		if ask.Version < bu.version {
			limit = bu.limit
		}
		bu.version = max(bu.version, ask.Version)
		if bu.rosterVersion == ho.roster.version && bu.limit == limit {
			return bu
		}
	}
	key, sh := hashOf(ask.Organisation), shareOf(limit, len(ho.roster.peers))
	if !(limit.PerSecond > 0) || ho.roster.rank(key) >= sh.wanted {
		delete(ho.buckets, ask.Organisation)
		return nil
	}
	since, started := ho.heldSince(key, sh.wanted)
	if bu == nil {
		bu = &bucket{limit: limit, version: ask.Version, share: sh, at: since}
		if started {
			bu.levels.add(sh.start, sh.depth)
		}
		ho.buckets[ask.Organisation] = bu
	}
	bu.change(now, since, limit, sh)
	bu.rosterVersion = ho.roster.version
	return bu
}

// change gives a bucket another limit or share. A bucket that was not held before
// since starts empty then. With another limit, the level keeps its proportion to the
// depth.
func (bu *bucket) change(now, since time.Time, limit Limit, sh share) {
	if bu.at.Before(since) {
		bu.levels, bu.returnable, bu.at = levels{}, 0, since
	}
	bu.fill(now)
	if limit != bu.limit {
		bu.levels.scale(sh.depth / bu.share.depth)
		bu.promised = time.Time{}
	}
	bu.limit, bu.share = limit, sh
	bu.levels.add(0, sh.depth)
}

// fill adds the tokens of the time since the last call. A clock that goes back adds
// none.
func (bu *bucket) fill(now time.Time) {
	passed := now.Sub(bu.at).Seconds()
	if passed <= 0 {
		return
	}
	bu.levels.fill(bu.at, now, bu.share)
	bu.at = now
	bu.returnable = math.Min(bu.returnable+passed*bu.share.returnRate, bu.share.returnDepth)
}

// giveBack accepts returned tokens. A request may wait for long before it turns out
// not to run, so returned tokens are limited like others: otherwise those of a long
// time could be spent in one window.
func (bu *bucket) giveBack(count int) {
	accepted := math.Min(math.Max(float64(count), 0), bu.returnable)
	bu.returnable -= accepted
	bu.levels.add(accepted, bu.share.depth)
}

// promise returns when a refused caller should come back.
func (bu *bucket) promise(now time.Time) time.Duration {
	interval := seconds(1 / bu.share.rate)
	next := now.Add(bu.levels.nextToken(now, bu.share.rate))
	promised := bu.promised.Add(interval)
	if promised.Before(next) {
		promised = next
	}
	// Later, tokens would be lost because the bucket is full.
	spare := seconds(math.Max(bu.share.depth-1, 0) / bu.share.rate)
	if latest := next.Add(min(spare/2, maxPromise)); promised.After(latest) {
		promised = latest
	}
	bu.promised = promised
	return promised.Sub(now)
}

// sweep removes buckets that have not been used for bucketRetention.
func (ho *holder) sweep(now time.Time) {
	if now.Sub(ho.sweptAt) < bucketRetention/10 {
		return
	}
	ho.sweptAt = now
	for name, bu := range ho.buckets {
		if now.Sub(bu.at) > bucketRetention {
			delete(ho.buckets, name)
		}
	}
}
