package rankqueue

import (
	"math"
	"time"
)

const (
	serviceWeight = 0.1
	// usualService stands for the time that a slot is held until some work has
	// ended: about what the kinds of both deployments take.
	usualService = 300 * time.Millisecond
	// demandWindow is the time over which demand is averaged: short beside a burst
	// of 3 s or more, long beside work of 80 ms to a second.
	demandWindow = 2 * time.Second
	// leastLeft bounds what more urgent demand is taken to leave of the slots, so
	// that a clump of it does not turn all other work away.
	leastLeft = 0.15
	// leastLate is the same for work that is late while such work gets its slots:
	// bursts last seconds, and what is refused for one that ends is lost.
	// docs/design/ranks.md has the trade.
	leastLate = 0.7
	// lossWindow is how long losses of late work count: a few deadlines, as each is
	// known only when a deadline has passed. lossWeight is the weight of one more.
	lossWindow = 15 * time.Second
	lossWeight = 0.3
)

// fading is a value that decays exponentially from when it was set.
type fading struct {
	level float64
	at    time.Time
}

func (fa *fading) set(now time.Time, level float64) { fa.level, fa.at = level, now }

// value returns what is left, when a window lowers it to 1/e.
func (fa *fading) value(now time.Time, window time.Duration) float64 {
	if fa.at.IsZero() {
		return 0
	}
	return fa.level * math.Exp(-float64(max(now.Sub(fa.at), 0))/float64(window))
}

// losses is the share of late work that got no slot lately.
type losses struct{ share fading }

func (lo *losses) note(now time.Time, isLost bool) {
	share := lo.value(now) * (1 - lossWeight)
	if isLost {
		share += lossWeight
	}
	lo.share.set(now, share)
}

func (lo *losses) value(now time.Time) float64 { return lo.share.value(now, lossWindow) }

// demand is a moving average of the slots that admitted work asks for.
type demand struct{ slots fading }

func (de *demand) add(now time.Time, need time.Duration) {
	de.slots.set(now, de.value(now)+float64(need)/float64(demandWindow))
}

func (de *demand) value(now time.Time) float64 { return de.slots.value(now, demandWindow) }

// Wait estimates how long an item would wait for a slot. Until some work has ended
// it goes by what is usual: enough to choose another queue by, and not to refuse
// anybody.
func (qu *Queue) Wait(now time.Time, item *Item) time.Duration {
	service := qu.service
	if service == 0 {
		service = usualService
	}
	wait, _ := qu.estimate(now, item, service)
	return wait
}

// isLost says whether an item can't end before its deadline any more.
func (it *Item) isLost(now time.Time) bool { return !it.Deadline.After(now.Add(it.Need)) }

// isLate says whether an item can't meet its target any more.
func (it *Item) isLate(now time.Time) bool {
	return !it.Target.IsZero() && now.Add(it.Need).After(it.Target)
}

// estimate returns how long an item would wait when a slot is held for a time on
// average, and whether it would meet its target then.
func (qu *Queue) estimate(now time.Time, item *Item, service time.Duration) (wait time.Duration, isOnTime bool) {
	if qu.running < qu.slots && qu.waiting == 0 {
		return 0, true
	}
	wait = qu.waitOnTime(now, item.Rank, service)
	if !item.isLate(now.Add(wait)) {
		return wait, true
	}
	return max(wait, qu.waitLate(now, item.Rank, service)), false
}

// waitOnTime is the wait of work that goes before the late work of its rank: what
// is ahead of it, by the slots that more urgent work will leave (after Cobham,
// "Priority Assignment in Waiting Line Problems", 1954), or, if that is sooner,
// until the rank's share brings it a slot.
func (qu *Queue) waitOnTime(now time.Time, rank int, service time.Duration) time.Duration {
	ahead, urgent := qu.aheadOf(now, rank, service)
	own := &qu.ranks[rank]
	onTime := own.waiting - len(own.late)
	ahead += time.Duration(onTime+1) * own.usual(service)
	wait := qu.drain(ahead, urgent, leastLeft)
	if share := float64(qu.policy.Share[rank]*qu.slots) / 100; share > 0 {
		wait = min(wait, time.Duration(float64(onTime+1)/share*float64(own.usual(service))))
	}
	return wait
}

// waitLate is the wait of work that goes after the rest of its rank.
func (qu *Queue) waitLate(now time.Time, rank int, service time.Duration) time.Duration {
	ahead, urgent := qu.aheadOf(now, rank, service)
	own := &qu.ranks[rank]
	ahead += time.Duration(own.waiting+1) * own.usual(service)
	least := leastLate - (leastLate-leastLeft)*own.lost.value(now)
	return qu.drain(ahead, urgent+own.onTime.value(now), least)
}

// aheadOf returns the work of more urgent ranks that waits, and the slots that
// more of it will ask for.
func (qu *Queue) aheadOf(now time.Time, rank int, service time.Duration) (ahead time.Duration, urgent float64) {
	for i := range rank {
		state := &qu.ranks[i]
		ahead += time.Duration(state.waiting) * state.usual(service)
		urgent += state.all.value(now)
	}
	return ahead, urgent
}

// drain returns how long work takes on the slots that more urgent work leaves, and
// on a least share of them.
func (qu *Queue) drain(ahead time.Duration, urgent, least float64) time.Duration {
	slots := float64(max(qu.slots, 1))
	return time.Duration(float64(ahead) / max(slots-urgent, least*slots))
}

// note counts what an admitted item asks for.
func (qu *Queue) note(now time.Time, item *Item, isOnTime bool) {
	rank := &qu.ranks[item.Rank]
	need := rank.usual(qu.service)
	rank.all.add(now, need)
	if isOnTime {
		rank.onTime.add(now, need)
	}
}

// usual returns the time that the rank's work holds a slot, or that of all work
// where nothing of the rank has ended yet.
func (ra *rankState) usual(service time.Duration) time.Duration {
	if ra.service > 0 {
		return ra.service
	}
	return service
}

func average(of *time.Duration, sample time.Duration) {
	if *of == 0 {
		*of = sample
		return
	}
	*of += time.Duration(serviceWeight * float64(sample-*of))
}
