package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// stoppedRetention is how long a daemon that stopped without leaving stays in the
	// member set, if its VM confirms that nothing listens at its address.
	stoppedRetention = 60 * time.Second
	// silentRetention is how long a daemon that is silent stays in the member set. It
	// may be cut off and serve callers from its buckets.
	silentRetention = 10 * time.Minute
	// removalMemory is how long the removal of a daemon matters for the daemons that
	// took over from it. Buckets are full by then.
	removalMemory = 2 * time.Minute
	// failureBackoff is how long a daemon is not asked after a failed call. It doubles
	// with each further failure, up to maxFailureBackoff.
	failureBackoff    = time.Second
	maxFailureBackoff = 8 * time.Second
)

// Member is what a daemon knows about another one, or itself.
type Member struct {
	ID      string
	Zone    string
	Address string
	// Alive means that the daemon answers probes, and Left that it left on purpose.
	Alive bool
	Left  bool
}

// Past is a daemon of a member set that was last alive some time ago. Daemons tell
// it to one that has just started, whose own table has no dead daemons.
type Past struct {
	ID   string        `codec:"i"`
	Zone string        `codec:"z,omitempty"`
	Ago  time.Duration `codec:"a,omitempty"`
}

// peer is one daemon of the member set.
type peer struct {
	Member
	hash      uint64
	lastAlive time.Time
	// stopped is set when nothing listens at the address of the daemon.
	stopped      bool
	failures     int
	blockedUntil time.Time
}

// removal is a daemon that is no longer in the member set.
type removal struct {
	hash uint64
	at   time.Time
}

// roster is the member set of one daemon: the daemons among which quotas are divided.
type roster struct {
	self string
	// version increases with each change of the set.
	version uint64
	byID    map[string]*peer
	peers   []*peer // Sorted by ID.
	removed []removal
}

func newRoster(self, zone string) *roster {
	ro := &roster{self: self, byID: make(map[string]*peer)}
	ro.add(Member{ID: self, Zone: zone, Alive: true}, time.Time{})
	return ro
}

// update merges the daemons of a member table.
func (ro *roster) update(now time.Time, members []Member) {
	for _, mem := range members {
		pe := ro.byID[mem.ID]
		switch {
		case mem.ID == ro.self:
		case mem.Left:
			if pe != nil {
				ro.remove(now, pe)
			}
		case pe == nil && mem.Alive:
			ro.add(mem, now)
		case pe != nil:
			if mem.Alive && !pe.Alive || mem.Address != pe.Address {
				pe.failures, pe.blockedUntil, pe.stopped = 0, time.Time{}, false
			}
			if pe.Alive || mem.Alive {
				pe.lastAlive = now
			}
			pe.Member = mem
		}
	}
	ro.expire(now)
}

// merge adds daemons that another daemon has in its set.
func (ro *roster) merge(now time.Time, past []Past) {
	for _, pa := range past {
		if ro.byID[pa.ID] == nil && pa.Ago < silentRetention {
			ro.add(Member{ID: pa.ID, Zone: pa.Zone}, now.Add(-pa.Ago))
		}
	}
}

// past returns the daemons of the set, for merge.
func (ro *roster) past(now time.Time) []Past {
	list := make([]Past, 0, len(ro.peers))
	for _, pe := range ro.peers {
		pa := Past{ID: pe.ID, Zone: pe.Zone}
		if !pe.Alive {
			pa.Ago = now.Sub(pe.lastAlive)
		}
		list = append(list, pa)
	}
	return list
}

// expire removes the daemons that are silent for too long.
func (ro *roster) expire(now time.Time) {
	for _, pe := range slices.Clone(ro.peers) {
		silent := now.Sub(pe.lastAlive)
		if pe.Alive || silent < stoppedRetention {
			continue
		}
		if silent >= silentRetention || pe.stopped || ro.isReplaced(pe) {
			ro.remove(now, pe)
		}
	}
	ro.removed = slices.DeleteFunc(ro.removed, func(re removal) bool { return now.Sub(re.at) > removalMemory })
}

// isReplaced reports whether another daemon has the address of one that is silent, so
// that this one has stopped.
func (ro *roster) isReplaced(silent *peer) bool {
	return silent.Address != "" && slices.ContainsFunc(ro.peers, func(pe *peer) bool { return pe.Alive && pe.Address == silent.Address })
}

func (ro *roster) add(mem Member, lastAlive time.Time) {
	pe := &peer{Member: mem, hash: hashOf(mem.ID), lastAlive: lastAlive}
	ro.removed = slices.DeleteFunc(ro.removed, func(re removal) bool { return re.hash == pe.hash })
	ro.byID[mem.ID] = pe
	ro.peers = append(ro.peers, pe)
	slices.SortFunc(ro.peers, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
	ro.version++
}

func (ro *roster) remove(now time.Time, pe *peer) {
	delete(ro.byID, pe.ID)
	ro.peers = slices.DeleteFunc(ro.peers, func(other *peer) bool { return other == pe })
	ro.removed = append(ro.removed, removal{hash: pe.hash, at: now})
	ro.version++
}

// silent returns the daemons that have been silent for stoppedRetention and may be
// cut off or stopped.
func (ro *roster) silent(now time.Time) []Member {
	var list []Member
	for _, pe := range ro.peers {
		if !pe.Alive && !pe.stopped && pe.Address != "" && now.Sub(pe.lastAlive) >= stoppedRetention {
			list = append(list, pe.Member)
		}
	}
	return list
}

// canAsk reports whether a call to the daemon is likely to be answered.
func (pe *peer) canAsk(now time.Time) bool {
	return pe.Alive && pe.Address != "" && !now.Before(pe.blockedUntil)
}

// recordCall notes whether a call to the daemon was answered.
func (pe *peer) recordCall(now time.Time, ok bool) {
	if ok {
		pe.failures, pe.blockedUntil = 0, time.Time{}
		return
	}
	pe.blockedUntil = now.Add(min(failureBackoff<<min(pe.failures, 10), maxFailureBackoff))
	pe.failures++
}

// score returns the weight of a daemon in the order of an organisation. All daemons
// of the fleet compute the same, so the functions must never change.
func score(organisation, daemon uint64) uint64 {
	return mix(organisation ^ mix(daemon))
}

// mix is the finalizer of MurmurHash3. FNV alone distributes IDs that differ only in
// their last byte badly.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

func hashOf(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}

// rank returns how many daemons of the set precede this daemon in the order of an
// organisation.
func (ro *roster) rank(organisation uint64) int {
	own, above := ro.ownScore(organisation), 0
	for _, pe := range ro.peers {
		if score(organisation, pe.hash) > own {
			above++
		}
	}
	return above
}

func (ro *roster) ownScore(organisation uint64) uint64 {
	return score(organisation, hashOf(ro.self))
}

// heldSince returns when this daemon became one of an organisation's first count
// daemons, or the zero time if it was one during all of removalMemory. Daemons that
// were added in between are ignored, so the time may be later than the true one.
func (ro *roster) heldSince(organisation uint64, count int) time.Time {
	own, above := ro.ownScore(organisation), ro.rank(organisation)
	for _, re := range slices.Backward(ro.removed) {
		if score(organisation, re.hash) <= own {
			continue
		}
		if above++; above >= count {
			return re.at
		}
	}
	return time.Time{}
}

// first returns an organisation's first count daemons. It sorts only those whose
// score is above what count daemons are expected to reach.
func (ro *roster) first(organisation uint64, count int) []*peer {
	if count >= len(ro.peers) {
		return slices.Clone(ro.peers)
	}
	type scored struct {
		score uint64
		peer  *peer
	}
	const spare = 1.5
	fraction := min(spare*float64(count+minHolders)/float64(len(ro.peers)), 1)
	for {
		var list []scored
		for _, pe := range ro.peers {
			sc := score(organisation, pe.hash)
			if fraction >= 1 || float64(sc) >= (1-fraction)*(1<<64) {
				list = append(list, scored{sc, pe})
			}
		}
		if len(list) < count {
			fraction = 1
			continue
		}
		slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		peers := make([]*peer, count)
		for i := range peers {
			peers[i] = list[i].peer
		}
		return peers
	}
}
