// Package rankqueue shares the slots of one upstream among ranks and firms.
//
// The most urgent rank goes first, but every rank that waits is served at
// least its share: it earns credit with each slot given out, and one with a
// whole credit goes before more urgent ones. Within a rank the firms take
// turns. Work whose deadline can't be met is refused at once.
//
// Usage, under the caller's lock:
//
//	dec := que.Add(now, item)       // run, wait or refuse
//	for _, started := range que.Done(now, took) { ... }
package rankqueue

import (
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
}

const (
	maxCredit     = 4
	serviceWeight = 0.1
	// usualService stands for the time that a slot is held until some work has
	// ended: about what the kinds of both deployments take.
	usualService = 300 * time.Millisecond
)

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
	if !item.Deadline.After(now.Add(item.Need)) {
		return RefuseDeadline
	}
	if qu.running < qu.slots && qu.waiting == 0 {
		qu.running++
		return Run
	}
	if now.Add(qu.wait(item.Rank, qu.service) + item.Need).After(item.Deadline) {
		return RefuseDeadline
	}
	if qu.waiting >= qu.policy.Limit && !qu.makeRoom(item.Rank) {
		return RefuseFull
	}
	qu.push(item)
	return Wait
}

// Cancel takes back an item that waits; it returns false when it does not.
func (qu *Queue) Cancel(item *Item) bool {
	rank := &qu.ranks[item.Rank]
	for i, other := range rank.firms[item.Firm] {
		if other == item {
			qu.removeAt(item.Rank, item.Firm, i)
			return true
		}
	}
	return false
}

// Done gives back a slot, and starts waiting items. The time that it was held
// counts for the estimate of waits unless it is 0, as for work that failed.
func (qu *Queue) Done(now time.Time, held time.Duration) {
	qu.running--
	switch {
	case held <= 0:
	case qu.service == 0:
		qu.service = held
	default:
		qu.service += time.Duration(serviceWeight * float64(held-qu.service))
	}
	for qu.running < qu.slots && qu.waiting > 0 {
		item := qu.pop()
		if !item.Deadline.After(now.Add(item.Need)) {
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
	}
}

// RefuseAll refuses everything that waits, as when the upstream leaves.
func (qu *Queue) RefuseAll(dec Decision) {
	for qu.waiting > 0 {
		qu.pop().Decided(dec)
	}
}

// Running returns the slots in use.
func (qu *Queue) Running() int { return qu.running }

// SetPolicy changes the limits from now on.
func (qu *Queue) SetPolicy(policy Policy) { qu.policy = policy }

// Wait estimates how long an item of a rank would wait for a slot. Until some
// work has ended it goes by what is usual: enough to choose another queue by,
// and not to refuse anybody.
func (qu *Queue) Wait(rank int) time.Duration {
	if qu.service == 0 {
		return qu.wait(rank, usualService)
	}
	return qu.wait(rank, qu.service)
}

// Waiting returns the items that wait, by rank.
func (qu *Queue) Waiting() [RankCount]int {
	var counts [RankCount]int
	for i, rank := range qu.ranks {
		counts[i] = rank.waiting
	}
	return counts
}

// wait estimates the wait of a rank when a slot is held for a time on average:
// until those ahead have one, or, if that is sooner, until the rank's share
// brings it one.
func (qu *Queue) wait(rank int, service time.Duration) time.Duration {
	if qu.running < qu.slots && qu.waiting == 0 {
		return 0
	}
	ahead := 0
	for i := 0; i <= rank; i++ {
		ahead += qu.ranks[i].waiting
	}
	rounds := float64(ahead) / float64(max(qu.slots, 1))
	if share := float64(qu.policy.Share[rank]*qu.slots) / 100; share > 0 {
		rounds = min(rounds, float64(qu.ranks[rank].waiting+1)/share)
	}
	return time.Duration(rounds * float64(service))
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

// refuseNewest refuses the newest item of the firm that has most of a rank.
func (qu *Queue) refuseNewest(rank int) {
	longest := ""
	for _, firm := range qu.ranks[rank].turns {
		if longest == "" || len(qu.ranks[rank].firms[firm]) > len(qu.ranks[rank].firms[longest]) {
			longest = firm
		}
	}
	items := qu.ranks[rank].firms[longest]
	item := items[len(items)-1]
	qu.removeAt(rank, longest, len(items)-1)
	item.Decided(RefuseFull)
}

func (qu *Queue) push(item *Item) {
	rank := &qu.ranks[item.Rank]
	if len(rank.firms[item.Firm]) == 0 {
		rank.turns = append(rank.turns, item.Firm)
	}
	rank.firms[item.Firm] = append(rank.firms[item.Firm], item)
	rank.waiting++
	qu.waiting++
}

func (qu *Queue) pop() *Item {
	rank := qu.nextRank()
	qu.earn(rank)
	state := &qu.ranks[rank]
	firm := state.turns[0]
	item := state.firms[firm][0]
	qu.removeAt(rank, firm, 0)
	if len(state.turns) > 0 && state.turns[0] == firm {
		state.turns = append(state.turns[1:], firm)
	}
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

// earn gives every rank its share of the slot that goes to one of them. A rank
// that has nothing waiting saves a little, so that a burst gets its share too.
func (qu *Queue) earn(served int) {
	for i := range qu.ranks {
		rank := &qu.ranks[i]
		rank.credit = min(rank.credit+float64(qu.policy.Share[i])/100, maxCredit)
	}
	qu.ranks[served].credit = max(0, qu.ranks[served].credit-1)
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
