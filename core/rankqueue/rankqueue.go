// Package rankqueue shares the slots of one upstream among ranks and firms.
//
// The most urgent rank goes first, but every rank that waits is served at
// least its share: it earns credit with each slot given out, and one with a
// whole credit goes before more urgent ones. Within a rank the firms take
// turns. Work whose deadline can't be met is refused at once.
//
// The load patterns that it answers: a flood of one rank, which must neither hold
// up more urgent work nor take the shares of the others; and work in excess of the
// slots for longer than a target lasts, where a queue in order of arrival makes
// every answer late. Work that can still meet its target goes first, and other
// work of its rank gets the slots that are left.
//
// Usage, under the caller's lock:
//
//	dec := que.Add(now, item)       // run, wait or refuse
//	que.Done(now, item.Rank, took)  // gives its slot to what waits
package rankqueue

import (
	"slices"
	"time"
)

// RankCount is the number of ranks; rank 0 is the most urgent.
const RankCount = 4

// Decision is what becomes of an item.
type Decision uint8

// The decisions.
const (
	Run Decision = iota
	Wait
	RefuseFull
	RefuseDeadline
	RefuseDoubtful
	RefuseWithdrawn
)

// Policy is the limits of a queue.
type Policy struct {
	// Limit is how many items may wait.
	Limit int
	// Share is the percentage of the slots that each rank keeps.
	Share [RankCount]int
}

// Item is one request that wants a slot.
type Item struct {
	Rank     int
	Firm     string
	Deadline time.Time
	// Target is when its answer is due; the zero time is never. Later answers are
	// worth less to the caller.
	Target time.Time
	// Need is how long the work usually takes; less than that before its deadline
	// it is refused, as its slot would be lost. 0 means that it is not known.
	Need time.Duration
	// Forced says that no better upstream is left for the work.
	Forced bool
	// Attempt is the id by which the work can be withdrawn.
	Attempt string
	// Decided is told once what became of an item that waited.
	Decided func(Decision)
}

// Queue shares slots. It is not safe for concurrent use.
type Queue struct {
	slots   int
	policy  Policy
	running int
	waiting int
	ranks   [RankCount]rankState
	// service is the moving average of the time that a slot is held.
	service time.Duration
}

type rankState struct {
	credit  float64
	waiting int
	firms   map[string][]*Item
	turns   []string
	// late are the waiting items that can't meet their target any more.
	late []*Item
	// service is the moving average of the rank's own work; 0 is unknown.
	service time.Duration
	// all and onTime are the slots that its admitted work asks for.
	all    demand
	onTime demand
	lost   losses
}

const maxCredit = 4

// New returns a Queue of an upstream with a number of slots.
func New(slots int, policy Policy) *Queue {
	que := &Queue{slots: slots, policy: policy}
	for i := range que.ranks {
		que.ranks[i].firms = make(map[string][]*Item)
	}
	return que
}

// Add asks for a slot. With Wait, the item's Decided is called later.
func (qu *Queue) Add(now time.Time, item *Item) Decision {
	if item.isLost(now) {
		return RefuseDeadline
	}
	if qu.running < qu.slots && qu.waiting == 0 {
		qu.running++
		qu.note(now, item, true)
		return Run
	}
	wait, isOnTime := qu.estimate(now, item, qu.service)
	if now.Add(wait + item.Need).After(item.Deadline) {
		return RefuseDeadline
	}
	if qu.waiting >= qu.policy.Limit && !qu.makeRoom(item.Rank) {
		return RefuseFull
	}
	qu.note(now, item, isOnTime)
	qu.push(item, isOnTime)
	return Wait
}

// Cancel takes back an item that waits; it returns false when it does not.
func (qu *Queue) Cancel(now time.Time, item *Item) bool {
	rank := &qu.ranks[item.Rank]
	if at := slices.Index(rank.firms[item.Firm], item); at >= 0 {
		qu.removeAt(item.Rank, item.Firm, at)
		return true
	}
	if at := slices.Index(rank.late, item); at >= 0 {
		qu.removeLate(item.Rank, at)
		rank.lost.note(now, true)
		return true
	}
	return false
}

// Done gives back a slot that work of a rank had, and starts waiting items. The
// time that it was held counts for the estimate of waits unless it is 0, as for
// work that failed.
func (qu *Queue) Done(now time.Time, rank int, held time.Duration) {
	qu.running--
	if held > 0 {
		average(&qu.service, held)
		average(&qu.ranks[rank].service, held)
	}
	qu.refuseLost(now)
	for qu.running < qu.slots && qu.waiting > 0 {
		item := qu.pop(now)
		isLost := item.isLost(now)
		if item.isLate(now) {
			qu.ranks[item.Rank].lost.note(now, isLost)
		}
		if isLost {
			item.Decided(RefuseDeadline)
			continue
		}
		qu.running++
		item.Decided(Run)
	}
}

// RefuseIf refuses the waiting items that match, as when the upstream must not
// get such work any more.
func (qu *Queue) RefuseIf(dec Decision, matches func(*Item) bool) {
	for rank := range qu.ranks {
		for firm, items := range qu.ranks[rank].firms {
			for at := len(items) - 1; at >= 0; at-- {
				if item := items[at]; matches(item) {
					qu.removeAt(rank, firm, at)
					items = qu.ranks[rank].firms[firm]
					item.Decided(dec)
				}
			}
		}
		for at := len(qu.ranks[rank].late) - 1; at >= 0; at-- {
			if item := qu.ranks[rank].late[at]; matches(item) {
				qu.removeLate(rank, at)
				item.Decided(dec)
			}
		}
	}
}

// RefuseAll refuses everything that waits, as when the upstream leaves.
func (qu *Queue) RefuseAll(dec Decision) {
	qu.RefuseIf(dec, func(*Item) bool { return true })
}

// Running returns the slots in use.
func (qu *Queue) Running() int { return qu.running }

// SetPolicy changes the limits from now on.
func (qu *Queue) SetPolicy(policy Policy) { qu.policy = policy }

// Waiting returns the items that wait, by rank.
func (qu *Queue) Waiting() [RankCount]int {
	var counts [RankCount]int
	for i, rank := range qu.ranks {
		counts[i] = rank.waiting
	}
	return counts
}

// makeRoom refuses a waiting item of the rank that is furthest above its share
// of the queue. A rank that holds less than its share always gets room; one
// that holds more gets it only from less urgent ranks.
func (qu *Queue) makeRoom(rank int) bool {
	owed := qu.ranks[rank].waiting < qu.owed(rank)
	victim, most := -1, 0
	for i := range qu.ranks {
		above := qu.ranks[i].waiting - qu.owed(i)
		if i != rank && above > most && (owed || i > rank) {
			victim, most = i, above
		}
	}
	if victim < 0 {
		return false
	}
	qu.refuseNewest(victim)
	return true
}

// owed returns the places in the queue that a rank may always have.
func (qu *Queue) owed(rank int) int {
	return qu.policy.Limit * qu.policy.Share[rank] / 100
}

// refuseNewest refuses an item of a rank: the newest that is late, or the newest
// of the firm that has most.
func (qu *Queue) refuseNewest(rank int) {
	state := &qu.ranks[rank]
	if at := len(state.late) - 1; at >= 0 {
		item := state.late[at]
		qu.removeLate(rank, at)
		item.Decided(RefuseFull)
		return
	}
	longest := ""
	for _, firm := range state.turns {
		if longest == "" || len(state.firms[firm]) > len(state.firms[longest]) {
			longest = firm
		}
	}
	items := state.firms[longest]
	item := items[len(items)-1]
	qu.removeAt(rank, longest, len(items)-1)
	item.Decided(RefuseFull)
}

func (qu *Queue) push(item *Item, isOnTime bool) {
	rank := &qu.ranks[item.Rank]
	rank.waiting++
	qu.waiting++
	if !isOnTime {
		rank.late = append(rank.late, item)
		return
	}
	if len(rank.firms[item.Firm]) == 0 {
		rank.turns = append(rank.turns, item.Firm)
	}
	rank.firms[item.Firm] = append(rank.firms[item.Firm], item)
}

func (qu *Queue) pop(now time.Time) *Item {
	rank := qu.nextRank()
	qu.earn(rank)
	state := &qu.ranks[rank]
	for len(state.turns) > 0 {
		firm := state.turns[0]
		item := state.firms[firm][0]
		qu.removeAt(rank, firm, 0)
		if len(state.turns) > 0 && state.turns[0] == firm {
			state.turns = append(state.turns[1:], firm)
		}
		if !item.isLate(now) {
			return item
		}
		qu.push(item, false)
	}
	item := state.late[0]
	qu.removeLate(rank, 0)
	return item
}

// nextRank returns the rank with most credit that has a whole one, else the
// most urgent that waits.
func (qu *Queue) nextRank() int {
	next, first := -1, -1
	for i, rank := range qu.ranks {
		if rank.waiting == 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		if rank.credit >= 1 && (next < 0 || rank.credit > qu.ranks[next].credit) {
			next = i
		}
	}
	if next >= 0 {
		return next
	}
	return first
}

// refuseLost refuses the late work that can't end any more; more urgent work may
// have had every slot since it came.
func (qu *Queue) refuseLost(now time.Time) {
	for rank := range qu.ranks {
		state := &qu.ranks[rank]
		for len(state.late) > 0 && state.late[0].isLost(now) {
			item := state.late[0]
			qu.removeLate(rank, 0)
			state.lost.note(now, true)
			item.Decided(RefuseDeadline)
		}
	}
}

// earn gives every rank its share of the slot that goes to one of them. A rank
// that has nothing waiting saves a little, so that a burst gets its share too.
func (qu *Queue) earn(served int) {
	for i := range qu.ranks {
		rank := &qu.ranks[i]
		rank.credit = min(rank.credit+float64(qu.policy.Share[i])/100, maxCredit)
	}
	qu.ranks[served].credit = max(0, qu.ranks[served].credit-1)
}

func (qu *Queue) removeLate(rank, at int) {
	state := &qu.ranks[rank]
	state.late = slices.Delete(state.late, at, at+1)
	state.waiting--
	qu.waiting--
}

func (qu *Queue) removeAt(rank int, firm string, at int) {
	state := &qu.ranks[rank]
	items := state.firms[firm]
	items = append(items[:at:at], items[at+1:]...)
	state.waiting--
	qu.waiting--
	if len(items) > 0 {
		state.firms[firm] = items
		return
	}
	delete(state.firms, firm)
	for i, name := range state.turns {
		if name == firm {
			state.turns = append(state.turns[:i:i], state.turns[i+1:]...)
			return
		}
	}
}
