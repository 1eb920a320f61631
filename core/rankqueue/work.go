package rankqueue

import "time"

// SetRests sets the source of the expected remaining times of the running items, one for
// each slot in use. Wait estimates then use them; without it, running items are taken to
// have the average service time left. The caller's lock is held during the call.
func (qu *Queue) SetRests(rests func(now time.Time) []time.Duration) { qu.rests = rests }

// slotTime returns how long the item is expected to hold a slot: its own expectation, or
// the given average if it has none.
func (it *Item) slotTime(average time.Duration) time.Duration {
	if it.Work > 0 {
		return it.Work
	}
	return average
}

// onTimeWork returns the slot time that the queued items that are on time need.
func (ra *rankState) onTimeWork(serviceTime time.Duration) (work time.Duration) {
	average := ra.averageServiceTime(serviceTime)
	for _, items := range ra.firms {
		for _, item := range items {
			work += item.slotTime(average)
		}
	}
	return work
}

// lateWork returns the slot time that the queued late items need.
func (ra *rankState) lateWork(serviceTime time.Duration) (work time.Duration) {
	average := ra.averageServiceTime(serviceTime)
	for _, item := range ra.late {
		work += item.slotTime(average)
	}
	return work
}
