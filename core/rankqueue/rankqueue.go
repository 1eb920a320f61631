// Package rankqueue is the queue in front of an upstream: it shares the upstream's
// slots among ranks (priority classes) and firms (organisations).
//
// A request has two ranks, that of its organisation and that of its kind. The first
// one takes precedence: requests are served in the order of their class, which is the
// pair of both ranks. Without organisations, all requests have organisation rank 0,
// and a class is the rank of a kind.
//
// More urgent classes are served first, but each rank with queued requests gets at
// least its share of the slots: it earns credit with each slot that is assigned, and
// a rank with at least one full credit is served before more urgent ones. This is
// done among the ranks of organisations, with shares that follow their demand, and,
// within the chosen one, among the ranks of kinds, with the shares of the policy. Within a class, slots
// go to the firms in round-robin order. A request that can't meet its deadline is
// rejected at once.
//
// The queue is made for two kinds of overload. A flood of one rank must neither delay
// more urgent requests nor take the shares of the other ranks. And when more requests
// arrive than the slots can serve for longer than the latency target, FIFO order would
// make every response late; here, requests that can still meet their target are served
// first, and the others of their rank get the remaining slots.
//
// Usage, with the caller's lock held:
//
//	dec := que.Add(now, item)          // run, wait or a rejection
//	que.Release(now, item.Class(), took) // releases the slot and starts queued items
//	que.SetLimit(now, 2.5)             // the upstream takes 2.5 requests per second
//	wait, ok := que.NextStart(now)     // when to call Start, if a limit holds items back
package rankqueue

import (
	"slices"
	"time"

	"cactusstream.example/core/pace"
)

// RankCount is the number of ranks; rank 0 is the most urgent.
const RankCount = 4

// Decision is the outcome of admission for an item.
type Decision uint8

// The decisions: the item runs, is queued, or is rejected because the queue is full,
// because it can't meet its deadline, because the upstream is suspected of a failure
// burst, or because it was withdrawn.
const (
	Run Decision = iota
	Wait
	RejectFull
	RejectDeadline
	RejectSuspected
	RejectWithdrawn
)

// Policy holds the limits of a queue.
type Policy struct {
	// Limit is the maximum number of queued items.
	Limit int
	// Share is the percentage of the slots, and of the places in the queue, that
	// each rank of kinds is guaranteed: of all of them with organisation rank 0, and
	// of the share of the organisation rank with the others.
	Share [RankCount]int
}

// Item is a request that needs a slot.
type Item struct {
	// Rank is the rank of the kind, and OrganisationRank that of the organisation.
	Rank             int
	OrganisationRank int

	Firm     string
	Deadline time.Time
	// Target is when the response should be there, or zero for no target. A later
	// response is worth less to the caller.
	Target time.Time
	// ExpectedDuration is the expected duration of the request, or 0 if it is
	// unknown. With less time than that before its deadline, the request is
	// rejected, as it would only waste its slot.
	ExpectedDuration time.Duration
	// Work is how long the item is expected to hold its slot, for the wait estimates of
	// others, or 0 for the average of its rank.
	Work time.Duration
	// LastResort says that there is no better upstream left for the request.
	LastResort bool
	// AttemptID is the ID by which the request can be withdrawn.
	AttemptID string
	// OnDecision is called exactly once for an item that was queued, unless it is
	// cancelled. The methods of Queue call it, so the caller's lock is held.
	OnDecision func(Decision)
}

// Queue assigns the slots of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots   int
	policy  Policy
	running int
	waiting int
	// limit is the upstream's own limit on its requests per second.
	limit pace.Limiter
	// ranks holds the state of each class.
	ranks [ClassCount]rankState
	// organisationCredit is the credit of each organisation rank, and offered the number
	// of its requests per second, rejected ones included.
	organisationCredit [RankCount]float64
	offered            [RankCount]demand
	// serviceTime is the moving average of the time that a request holds a slot.
	serviceTime time.Duration
	// rests is set by SetRests.
	rests func(now time.Time) []time.Duration
}

// rankState is the queue of a class, with the state of its scheduling.
type rankState struct {
	credit  float64
	waiting int
	// firms holds the queued items that are not late, by firm.
	firms map[string][]*Item
	// turns is the round-robin order of the firms with items on time.
	turns []string
	// late holds the queued items that are expected to miss their target.
	late []*Item
	// serviceTime is the moving average for requests of this rank; 0 is unknown.
	serviceTime time.Duration
	// totalDemand and onTimeDemand are the slots that admitted requests ask for:
	// all of them, and those that were on time when they were admitted.
	totalDemand  demand
	onTimeDemand demand
	// starts is the number of admitted requests per second.
	starts   demand
	lateLoss lossRate
}

// maxCredit limits the burst, in slots, that a rank can claim after it had nothing
// queued.
const maxCredit = 4

// New returns a Queue for an upstream with the given number of slots.
func New(slots int, policy Policy) *Queue {
	que := &Queue{slots: slots, policy: policy}
	for i := range que.ranks {
		que.ranks[i].firms = make(map[string][]*Item)
	}
	return que
}

// Add requests a slot. If it returns Wait, the item's OnDecision is called later.
func (qu *Queue) Add(now time.Time, item *Item) Decision {
	if item.missesDeadline(now) {
		return RejectDeadline
	}
	qu.offered[item.Class()/RankCount].add(now, time.Second)
	if qu.isFree(now) {
		qu.start(now)
		qu.recordDemand(now, item, true)
		return Run
	}
	wait, isOnTime := qu.estimateWait(now, item, qu.serviceTime)
	if now.Add(wait + item.ExpectedDuration).After(item.Deadline) {
		return RejectDeadline
	}
	if qu.waiting >= qu.policy.Limit && !qu.evictFor(item.Class()) {
		return RejectFull
	}
	qu.recordDemand(now, item, isOnTime)
	qu.push(item, isOnTime)
	return Wait
}

// Cancel removes a queued item; it returns false if the item is not queued.
func (qu *Queue) Cancel(now time.Time, item *Item) bool {
	rank := &qu.ranks[item.Class()]
	if at := slices.Index(rank.firms[item.Firm], item); at >= 0 {
		qu.removeOnTime(item.Class(), item.Firm, at)
		return true
	}
	if at := slices.Index(rank.late, item); at >= 0 {
		qu.removeLate(item.Class(), at)
		rank.lateLoss.record(now, true)
		return true
	}
	return false
}

// Release releases a slot that a request of the given class held, and starts queued
// items. held updates the averages behind the wait estimates unless it is 0, which
// callers pass for failed requests.
func (qu *Queue) Release(now time.Time, class int, held time.Duration) {
	qu.running--
	if held > 0 {
		updateAverage(&qu.serviceTime, held)
		updateAverage(&qu.ranks[class].serviceTime, held)
	}
	qu.Start(now)
}

// Start starts queued items while there are free slots and the limit allows it.
func (qu *Queue) Start(now time.Time) {
	qu.rejectExpired(now)
	for qu.running < qu.slots && qu.waiting > 0 && qu.limit.Allows(now) {
		item := qu.pop(now)
		missesDeadline := item.missesDeadline(now)
		if item.missesTarget(now) {
			qu.ranks[item.Class()].lateLoss.record(now, missesDeadline)
		}
		if missesDeadline {
			item.OnDecision(RejectDeadline)
			continue
		}
		qu.start(now)
		item.OnDecision(Run)
	}
}

// NextStart returns the time until Start is to be called, and whether it has to be: there
// is a free slot, and only the limit holds queued items back.
func (qu *Queue) NextStart(now time.Time) (time.Duration, bool) {
	if !qu.limit.IsSet() || qu.running >= qu.slots || qu.waiting == 0 {
		return 0, false
	}
	return qu.limit.Wait(now, 1), true
}

// Limit returns the limit in requests per second that is in effect, or 0 if there is none.
func (qu *Queue) Limit() float64 { return qu.limit.PerSecond() }

// SetLimit limits the requests per second. It rejects the queued items that can't start in
// time any more.
func (qu *Queue) SetLimit(now time.Time, perSecond float64) {
	qu.limit.Set(now, perSecond)
	qu.rejectUnreachable(now)
}

// ClearLimit removes the limit and starts queued items.
func (qu *Queue) ClearLimit(now time.Time) {
	qu.limit.Clear()
	qu.Start(now)
}

// RejectIf rejects the queued items that match, such as those that the upstream must
// not get any more.
func (qu *Queue) RejectIf(dec Decision, matches func(*Item) bool) {
	for rank := range qu.ranks {
		for firm, items := range qu.ranks[rank].firms {
			for at := len(items) - 1; at >= 0; at-- {
				if item := items[at]; matches(item) {
					qu.removeOnTime(rank, firm, at)
					items = qu.ranks[rank].firms[firm]
					item.OnDecision(dec)
				}
			}
		}
		for at := len(qu.ranks[rank].late) - 1; at >= 0; at-- {
			if item := qu.ranks[rank].late[at]; matches(item) {
				qu.removeLate(rank, at)
				item.OnDecision(dec)
			}
		}
	}
}

// RejectAll rejects all queued items, as when the upstream leaves.
func (qu *Queue) RejectAll(dec Decision) {
	qu.RejectIf(dec, func(*Item) bool { return true })
}

// Running returns the number of slots in use.
func (qu *Queue) Running() int { return qu.running }

// SetPolicy replaces the limits; items that are queued stay.
func (qu *Queue) SetPolicy(policy Policy) { qu.policy = policy }

// Waiting returns the number of queued items by the rank of their kind.
func (qu *Queue) Waiting() [RankCount]int {
	var counts [RankCount]int
	for class := range qu.ranks {
		counts[class%RankCount] += qu.ranks[class].waiting
	}
	return counts
}

// evictFor makes a place in a full queue for an item of the given rank: it rejects an
// item of the rank that exceeds its guaranteed places the most, and returns false if
// there is none. A rank below its guarantee may evict from any other rank, one at or
// above it only from less urgent ranks.
func (qu *Queue) evictFor(rank int) bool {
	isGuaranteed := qu.ranks[rank].waiting < qu.guaranteedPlaces(rank)
	evictRank, mostExcess := -1, 0
	for i := range qu.ranks {
		excess := qu.ranks[i].waiting - qu.guaranteedPlaces(i)
		if i != rank && excess > mostExcess && (isGuaranteed || i > rank) {
			evictRank, mostExcess = i, excess
		}
	}
	if evictRank < 0 {
		return false
	}
	qu.evictNewest(evictRank)
	return true
}

// evictNewest rejects the newest late item of a rank or, if none is late, the newest
// item of the firm with the most items.
func (qu *Queue) evictNewest(rank int) {
	state := &qu.ranks[rank]
	if at := len(state.late) - 1; at >= 0 {
		item := state.late[at]
		qu.removeLate(rank, at)
		item.OnDecision(RejectFull)
		return
	}
	largestFirm := ""
	for _, firm := range state.turns {
		if largestFirm == "" || len(state.firms[firm]) > len(state.firms[largestFirm]) {
			largestFirm = firm
		}
	}
	items := state.firms[largestFirm]
	item := items[len(items)-1]
	qu.removeOnTime(rank, largestFirm, len(items)-1)
	item.OnDecision(RejectFull)
}

// isFree reports whether an item can start without waiting.
func (qu *Queue) isFree(now time.Time) bool {
	return qu.running < qu.slots && qu.waiting == 0 && qu.limit.Allows(now)
}

// start takes a slot and counts against the limit.
func (qu *Queue) start(now time.Time) {
	qu.running++
	qu.limit.Take(now)
}

// push queues an item: by firm, or in the list of late items.
func (qu *Queue) push(item *Item, isOnTime bool) {
	rank := &qu.ranks[item.Class()]
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

// pop removes the next item to run. Items that have become late since they were
// queued move to the list of late items, which is served last.
func (qu *Queue) pop(now time.Time) *Item {
	rank := qu.nextRank()
	qu.addCredits(now, rank)
	state := &qu.ranks[rank]
	for len(state.turns) > 0 {
		firm := state.turns[0]
		item := state.firms[firm][0]
		qu.removeOnTime(rank, firm, 0)
		if len(state.turns) > 0 && state.turns[0] == firm {
			state.turns = append(state.turns[1:], firm)
		}
		if !item.missesTarget(now) {
			return item
		}
		qu.push(item, false)
	}
	item := state.late[0]
	qu.removeLate(rank, 0)
	return item
}

// nextRank returns the class to serve next. In the organisation rank to serve, it is the
// one with the most credit, if that is at least one, else the most urgent one with queued
// items.
func (qu *Queue) nextRank() int {
	next, first := -1, -1
	start := qu.nextOrganisationRank() * RankCount
	for i := start; i < start+RankCount; i++ {
		rank := &qu.ranks[i]
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

// rejectExpired rejects late items that can no longer meet their deadline, at the head
// of each list. More urgent requests may have taken every slot since they were queued.
func (qu *Queue) rejectExpired(now time.Time) {
	for rank := range qu.ranks {
		state := &qu.ranks[rank]
		for len(state.late) > 0 && state.late[0].missesDeadline(now) {
			item := state.late[0]
			qu.removeLate(rank, 0)
			state.lateLoss.record(now, true)
			item.OnDecision(RejectDeadline)
		}
	}
}

// rejectUnreachable rejects the queued items that the limit lets start only after their
// deadline, with the places in the queue that the items before them leave.
func (qu *Queue) rejectUnreachable(now time.Time) {
	ahead := 0.0
	for rank := range qu.ranks {
		state := &qu.ranks[rank]
		var items []*Item
		for _, firm := range state.turns {
			items = append(items, state.firms[firm]...)
		}
		unreachable := make(map[*Item]bool)
		for _, item := range slices.Concat(items, state.late) {
			if item.missesDeadline(now.Add(qu.limit.Wait(now, ahead+1))) {
				unreachable[item] = true
				continue
			}
			ahead++
		}
		qu.RejectIf(RejectDeadline, func(item *Item) bool { return unreachable[item] })
	}
}

// addCredits adds to each rank of the organisation rank that is served its share of the
// slot that the served class gets. Ranks without queued items save credit up to
// maxCredit, so that a burst gets its share.
func (qu *Queue) addCredits(now time.Time, served int) {
	qu.addOrganisationCredits(now, served/RankCount)
	start := served / RankCount * RankCount
	for i := start; i < start+RankCount; i++ {
		rank := &qu.ranks[i]
		rank.credit = min(rank.credit+float64(qu.policy.Share[i-start])/100, maxCredit)
	}
	qu.ranks[served].credit = max(0, qu.ranks[served].credit-1)
}

func (qu *Queue) removeLate(rank, at int) {
	state := &qu.ranks[rank]
	state.late = slices.Delete(state.late, at, at+1)
	state.waiting--
	qu.waiting--
}

func (qu *Queue) removeOnTime(rank int, firm string, at int) {
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
