package rankqueue

import (
	"math"
	"time"

	"cactusstream.example/core/workcost"
)

const (
	// serviceTimeWeight is the weight of a sample in the averages of service times.
	serviceTimeWeight = 0.1
	// defaultServiceTime is used until the first request has completed. It is about
	// the average in both deployments.
	defaultServiceTime = 300 * time.Millisecond
	// demandWindow is the time constant of the demand averages: short compared with
	// a burst of 3 s or more, long compared with requests of 80 ms to 1 s.
	demandWindow = 2 * time.Second
	// minSlotShare is the least share of the slots that more urgent demand is
	// assumed to leave, so that a short burst of urgent requests does not cause all
	// others to be rejected.
	minSlotShare = 0.15
	// minLateSlotShare is the same for late requests as long as late requests get
	// slots: bursts last seconds, and a request rejected because of a burst that
	// then ends is lost without need.
	// docs/design/ranks.md has the trade-off.
	minLateSlotShare = 0.7
	// lossWindow is the time constant of the loss rate: a few deadlines, since each
	// loss is known only after a deadline. lossWeight is the weight of a sample.
	lossWindow = 15 * time.Second
	lossWeight = 0.3
)

// decayingValue is a value that decays exponentially from the time it was set.
type decayingValue struct {
	level float64
	at    time.Time
}

func (va *decayingValue) set(now time.Time, level float64) { va.level, va.at = level, now }

// value returns the decayed value; it falls to 1/e within a window.
func (va *decayingValue) value(now time.Time, window time.Duration) float64 {
	if va.at.IsZero() {
		return 0
	}
	return va.level * math.Exp(-float64(max(now.Sub(va.at), 0))/float64(window))
}

// lossRate is the moving average of the share of late items that got no slot.
type lossRate struct{ share decayingValue }

func (lo *lossRate) record(now time.Time, isLoss bool) {
	share := lo.value(now) * (1 - lossWeight)
	if isLoss {
		share += lossWeight
	}
	lo.share.set(now, share)
}

func (lo *lossRate) value(now time.Time) float64 { return lo.share.value(now, lossWindow) }

// demand is the moving average of the slots that admitted requests ask for. With a need of
// one second each, it is that of their number per second.
type demand struct{ slots decayingValue }

func (de *demand) add(now time.Time, need time.Duration) {
	de.slots.set(now, de.value(now)+float64(need)/float64(demandWindow))
}

func (de *demand) value(now time.Time) float64 { return de.slots.value(now, demandWindow) }

// EstimateWait estimates how long an item would be queued. Until a request has
// completed, it assumes defaultServiceTime, which is good enough to choose between
// queues; Add does not use that default, so it never causes a rejection.
func (qu *Queue) EstimateWait(now time.Time, item *Item) time.Duration {
	serviceTime := qu.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	wait, _ := qu.estimateWait(now, item, serviceTime)
	return wait
}

// missesDeadline reports whether an item that started now would miss its deadline.
func (it *Item) missesDeadline(now time.Time) bool {
	return !it.Deadline.After(now.Add(it.ExpectedDuration))
}

// missesTarget reports whether an item that started now would miss its target.
func (it *Item) missesTarget(now time.Time) bool {
	return !it.Target.IsZero() && now.Add(it.ExpectedDuration).After(it.Target)
}

// estimateWait returns how long an item would be queued, given the average service
// time, and whether it would still meet its target.
func (qu *Queue) estimateWait(now time.Time, item *Item, serviceTime time.Duration) (wait time.Duration, isOnTime bool) {
	if qu.isFree(now) {
		return 0, true
	}
	wait = qu.waitOnTime(now, item.Class(), serviceTime)
	if !item.missesTarget(now.Add(wait)) {
		return wait, true
	}
	return max(wait, qu.waitLate(now, item.Class(), serviceTime)), false
}

// waitOnTime estimates the wait of an item that is served before the late items of its
// rank: the work ahead of it on the slots that more urgent ranks leave (after Cobham,
// "Priority Assignment in Waiting Line Problems", 1954) or, if that is shorter, the
// time until the guaranteed share of its rank gives it a slot.
func (qu *Queue) waitOnTime(now time.Time, rank int, serviceTime time.Duration) time.Duration {
	ahead, urgent := qu.urgentLoad(now, rank, serviceTime)
	own := &qu.ranks[rank]
	onTime := own.waiting - len(own.late)
	work, typical := own.onTimeWork(serviceTime), own.averageServiceTime(serviceTime)
	wait := qu.drainTime(now, ahead+work, typical, urgent, minSlotShare)
	if share := qu.guaranteedSlots(now, rank); share > 0 {
		wait = min(wait, time.Duration(float64(work+typical)/share))
	}
	return max(wait, qu.limitWait(now, rank, onTime))
}

// waitLate estimates the wait of an item that is served after all others of its rank.
// With a higher rate of losses it assumes fewer slots for late items.
func (qu *Queue) waitLate(now time.Time, rank int, serviceTime time.Duration) time.Duration {
	ahead, urgent := qu.urgentLoad(now, rank, serviceTime)
	own := &qu.ranks[rank]
	ahead += own.onTimeWork(serviceTime) + own.lateWork(serviceTime)
	minShare := minLateSlotShare - (minLateSlotShare-minSlotShare)*own.lateLoss.value(now)
	wait := qu.drainTime(now, ahead, own.averageServiceTime(serviceTime), urgent+own.onTimeDemand.value(now), minShare)
	return max(wait, qu.limitWait(now, rank, own.waiting))
}

// limitWait estimates how long the limit makes an item of a rank wait that has the given
// number of queued items of its rank ahead: until the starts that more urgent requests
// leave reach it or, if that is shorter, until the guaranteed share of its rank does.
func (qu *Queue) limitWait(now time.Time, rank, ahead int) time.Duration {
	if !qu.limit.IsSet() {
		return 0
	}
	before, urgentStarts := float64(ahead), 0.0
	for i := range rank {
		state := &qu.ranks[i]
		before += float64(state.waiting)
		urgentStarts += state.starts.value(now)
	}
	perSecond := qu.limit.PerSecond()
	left := max(perSecond-urgentStarts, minSlotShare*perSecond)
	wait := qu.limit.Wait(now, 1) + time.Duration(before/left*float64(time.Second))
	if share := qu.guaranteedStarts(now, rank, perSecond); share > 0 {
		wait = min(wait, qu.limit.Wait(now, 1)+time.Duration(float64(ahead+1)/share*float64(time.Second)))
	}
	return wait
}

// urgentLoad returns the slot time that queued items of more urgent ranks need, and
// the number of slots that further requests of these ranks will ask for.
func (qu *Queue) urgentLoad(now time.Time, rank int, serviceTime time.Duration) (ahead time.Duration, urgent float64) {
	for i := range rank {
		state := &qu.ranks[i]
		ahead += state.onTimeWork(serviceTime) + state.lateWork(serviceTime)
		urgent += state.totalDemand.value(now)
	}
	return ahead, urgent
}

// drainTime returns how long a request of typical slot time waits for the slot time ahead
// on the slots that urgent demand leaves, which are taken to be at least minShare of all.
func (qu *Queue) drainTime(now time.Time, ahead, typical time.Duration, urgent, minShare float64) time.Duration {
	slots := float64(max(qu.slots, 1))
	left := max(slots-urgent, minShare*slots)
	if qu.rests != nil && qu.running >= qu.slots {
		rests := qu.rests(now)
		for len(rests) < qu.slots {
			rests = append(rests, typical) // Of an item that has just got its slot.
		}
		return time.Duration(float64(workcost.Wait(rests, ahead, typical)) * slots / left)
	}
	return time.Duration(float64(ahead+typical) / left)
}

// recordDemand adds an admitted item to the demand of its rank.
func (qu *Queue) recordDemand(now time.Time, item *Item, isOnTime bool) {
	rank := &qu.ranks[item.Class()]
	need := item.slotTime(rank.averageServiceTime(qu.serviceTime))
	rank.totalDemand.add(now, need)
	rank.starts.add(now, time.Second)
	if isOnTime {
		rank.onTimeDemand.add(now, need)
	}
}

// averageServiceTime returns the average of the rank, or the given average of all ranks
// if no request of the rank has completed yet.
func (ra *rankState) averageServiceTime(serviceTime time.Duration) time.Duration {
	if ra.serviceTime > 0 {
		return ra.serviceTime
	}
	return serviceTime
}

// updateAverage adds a sample to an exponential moving average.
func updateAverage(average *time.Duration, sample time.Duration) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += time.Duration(serviceTimeWeight * float64(sample-*average))
}
