package quota

import (
	"slices"
	"time"
)

const (
	// joinDelay is how long after it has joined the fleet a daemon begins to hold quotas
	// at the latest: its member set is complete by then.
	joinDelay = 1500 * time.Millisecond
	// settleDelay is how long the member set of a started daemon must not have grown by
	// more than settleGrowth before it holds quotas. After a start of the whole fleet,
	// all daemons know few others, and would take a too large share. It exceeds the
	// interval at which the member table is followed.
	settleDelay  = 500 * time.Millisecond
	settleGrowth = 0.1
)

// Node makes the decisions of one daemon about quotas. It is not safe for concurrent
// use.
type Node struct {
	roster *roster
	holder *holder
	asker  *asker
}

// NewNode returns the Node of a daemon that has not joined the fleet.
func NewNode(id, zone string, seed uint64) *Node {
	ro := newRoster(id, zone)
	ho := newHolder(ro)
	return &Node{roster: ro, holder: ho, asker: newAsker(ro, ho, seed)}
}

// SetMembers merges the daemons of the member table. A daemon that has left itself
// holds nothing any more.
func (no *Node) SetMembers(now time.Time, members []Member) {
	no.roster.update(now, members)
	no.holder.settle(now)
	for _, mem := range members {
		no.holder.left = no.holder.left || mem.Left && mem.ID == no.roster.self
	}
}

// IsIdle reports whether the daemon knows no organisation with a limit.
func (no *Node) IsIdle() bool { return len(no.asker.orgs) == 0 && len(no.holder.buckets) == 0 }

// Past returns the member set, for Merge on a daemon that has just started.
func (no *Node) Past(now time.Time) []Past { return no.roster.past(now) }

// Merge adds what another daemon knows about the member set.
func (no *Node) Merge(now time.Time, past []Past) {
	no.roster.merge(now, past)
	no.holder.settle(now)
}

// Silent returns the daemons that may have stopped. Call MarkStopped for those at
// whose address nothing listens.
func (no *Node) Silent(now time.Time) []Member {
	no.roster.expire(now)
	return no.roster.silent(now)
}

// MarkStopped notes that nothing listens at the address of a daemon.
func (no *Node) MarkStopped(now time.Time, id string) {
	if pe := no.roster.byID[id]; pe != nil && !pe.Alive {
		pe.stopped = true
		no.roster.expire(now)
	}
}

// Start notes when the process started. Its buckets fill from then, as the process
// before it had ended. Without it, they fill from when the daemon holds quotas.
func (no *Node) Start(now time.Time) { no.holder.startedAt = now }

// Join notes that the daemon knows the fleet. It holds quotas settleDelay later, or up
// to joinDelay later while its member set grows or has no other daemon.
func (no *Node) Join(now time.Time) {
	if no.holder.joinedAt.IsZero() {
		no.holder.joinedAt = now
		no.holder.holdsFrom = now.Add(joinDelay)
		no.holder.settledSize = 1
		no.holder.settle(now)
	}
}

// IsSettled reports whether the daemon knows the fleet, and so the holders of quotas.
func (no *Node) IsSettled(now time.Time) bool { return no.holder.holds(now) }

// Take starts a request for one token and returns its ID. The request is decided in
// the result, or in that of a later Finish.
func (no *Node) Take(now time.Time, ask Ask) (uint64, Result) {
	var res Result
	id := no.asker.take(now, ask, &res)
	return id, res
}

// Finish processes the answer to a call; ok is false if there is none.
func (no *Node) Finish(now time.Time, id uint64, ans Answer, ok bool) Result {
	var res Result
	no.asker.finish(now, id, ans, ok, &res)
	return res
}

// Cancel forgets a request that nobody waits for.
func (no *Node) Cancel(id uint64) { no.asker.cancel(id) }

// Serve answers the call of another daemon. If this daemon has newer settings, their
// limit holds: by the older one, it might be a holder that nobody else asks.
func (no *Node) Serve(now time.Time, ask Ask) Answer {
	if org := no.asker.orgs[ask.Organisation]; org != nil && org.version > ask.Version {
		ask.PerSecond, ask.Burst, ask.Version = org.limit.PerSecond, org.limit.Burst, org.version
	}
	ans, _ := no.holder.serve(now, ask)
	return ans
}

// Return returns the token of a request that has not run.
func (no *Node) Return(now time.Time, organisation string) {
	if org := no.asker.orgs[organisation]; org != nil {
		no.asker.giveBack(now, org)
	}
}

// Use is the use of an organisation's quota on one daemon, for the debug dump.
type Use struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"perSecond"`
	Burst        float64 `json:"burst"`
	// Holders are the daemons that hold the quota, as this daemon sees it.
	Holders []string `json:"holders,omitempty"`
	// Admitted, OverLimit and Unavailable count the verdicts on this daemon's own
	// requests.
	Admitted    uint64 `json:"admitted"`
	OverLimit   uint64 `json:"overLimit"`
	Unavailable uint64 `json:"unavailable"`
	// Held is the level of this daemon's bucket, HeldPerSecond and Depth its size, and
	// Granted and Refused count what it was asked for. Depth is 0 if it has none.
	Held          float64 `json:"held"`
	HeldPerSecond float64 `json:"heldPerSecond"`
	Depth         float64 `json:"depth"`
	Granted       uint64  `json:"granted"`
	Refused       uint64  `json:"refused"`
}

// Members returns the number of daemons among which quotas are divided, how many of
// them are alive, and the version of the set.
func (no *Node) Members() (all, alive int, version uint64) {
	for _, pe := range no.roster.peers {
		if pe.Alive {
			alive++
		}
	}
	return len(no.roster.peers), alive, no.roster.version
}

// Uses returns the use of the organisations that this daemon knows, sorted by name,
// up to a number of them.
func (no *Node) Uses(now time.Time, limit int) []Use {
	names := make([]string, 0, len(no.asker.orgs)+len(no.holder.buckets))
	for name := range no.asker.orgs {
		names = append(names, name)
	}
	for name := range no.holder.buckets {
		names = append(names, name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	uses := make([]Use, 0, min(len(names), limit))
	for _, name := range names[:min(len(names), limit)] {
		uses = append(uses, no.use(now, name))
	}
	return uses
}

func (no *Node) use(now time.Time, name string) Use {
	use := Use{Organisation: name}
	if org := no.asker.orgs[name]; org != nil {
		use.PerSecond, use.Burst = org.limit.PerSecond, org.limit.Burst
		use.Admitted, use.OverLimit, use.Unavailable = org.counts[Admitted], org.counts[OverLimit], org.counts[Unavailable]
		for _, pe := range org.holders {
			use.Holders = append(use.Holders, pe.ID)
		}
	}
	if bu := no.holder.buckets[name]; bu != nil {
		bu.fill(now)
		use.PerSecond, use.Burst = bu.limit.PerSecond, bu.limit.Burst
		use.Held, use.HeldPerSecond, use.Depth = bu.levels.lowest(), bu.share.rate, bu.share.depth
		use.Granted, use.Refused = bu.granted, bu.refused
	}
	return use
}
