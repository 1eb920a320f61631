package rankqueue

import "time"

// ClassCount is the number of classes.
const ClassCount = RankCount * RankCount

const (
	// organisationFairness is the share of the slots that a rank of organisations besides
	// the most urgent one is guaranteed, in relation to its part of the offered requests.
	// No organisation may be served less than a quarter as often as all requests; the
	// rest is a margin for requests that miss their deadlines in the queue.
	organisationFairness = 0.35
	// minOrganisationPlaces is the number of places in the queue that each class of such
	// a rank keeps. Without any, its requests would be evicted before their turn.
	minOrganisationPlaces = 1
)

// organisationPlaces is the percentage of the guaranteed places in the queue that the
// classes of each rank of organisations keep.
var organisationPlaces = [RankCount]int{100, 15, 10, 5}

// Class returns the class of requests with the given ranks. Classes are numbered from 0,
// the most urgent one.
func Class(organisationRank, rank int) int {
	return min(max(organisationRank, 0), RankCount-1)*RankCount + rank
}

// Class returns the class of the item.
func (it *Item) Class() int { return Class(it.OrganisationRank, it.Rank) }

// guaranteedSlots returns the number of slots that a class is guaranteed.
func (qu *Queue) guaranteedSlots(now time.Time, class int) float64 {
	slots := float64(qu.policy.Share[class%RankCount]*qu.slots) / 100
	if organisationRank := class / RankCount; organisationRank > 0 {
		slots *= qu.organisationShare(now, organisationRank)
	}
	return slots
}

// guaranteedStarts returns the part of the limit, in requests per second, that a class is
// guaranteed.
func (qu *Queue) guaranteedStarts(now time.Time, class int, perSecond float64) float64 {
	starts := float64(qu.policy.Share[class%RankCount]) / 100 * perSecond
	if organisationRank := class / RankCount; organisationRank > 0 {
		starts *= qu.organisationShare(now, organisationRank)
	}
	return starts
}

// organisationShare returns the part of the slots that a rank of organisations is
// guaranteed. It follows the demand: a fixed part would serve a rank with few requests
// better than a more urgent one.
func (qu *Queue) organisationShare(now time.Time, organisationRank int) float64 {
	own := qu.offered[organisationRank].value(now)
	if organisationRank == 0 || own == 0 {
		return 0
	}
	all := 0.0
	for rank := range qu.offered {
		all += qu.offered[rank].value(now)
	}
	return organisationFairness * own / all
}

// guaranteedPlaces returns the number of places in the queue that a class can always have.
func (qu *Queue) guaranteedPlaces(class int) int {
	places := qu.policy.Limit * qu.policy.Share[class%RankCount] / 100
	if organisationRank := class / RankCount; organisationRank > 0 {
		places = max(places*organisationPlaces[organisationRank]/100, minOrganisationPlaces)
	}
	return places
}

// nextOrganisationRank returns the rank of organisations with the most credit, if that is
// at least one, else the most urgent one with queued items.
func (qu *Queue) nextOrganisationRank() int {
	next, first := -1, 0
	for rank := RankCount - 1; rank >= 0; rank-- {
		if !qu.hasQueued(rank) {
			continue
		}
		first = rank
		if credit := qu.organisationCredit[rank]; credit >= 1 && (next < 0 || credit >= qu.organisationCredit[next]) {
			next = rank
		}
	}
	if next >= 0 {
		return next
	}
	return first
}

// hasQueued reports whether items of a rank of organisations are queued.
func (qu *Queue) hasQueued(organisationRank int) bool {
	start := organisationRank * RankCount
	for class := start; class < start+RankCount; class++ {
		if qu.ranks[class].waiting > 0 {
			return true
		}
	}
	return false
}

// addOrganisationCredits adds to each rank of organisations its share of the slot that the
// served one gets.
func (qu *Queue) addOrganisationCredits(now time.Time, served int) {
	for rank := range qu.organisationCredit {
		qu.organisationCredit[rank] = min(qu.organisationCredit[rank]+qu.organisationShare(now, rank), maxCredit)
	}
	qu.organisationCredit[served] = max(0, qu.organisationCredit[served]-1)
}
