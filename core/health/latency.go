package health

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of latencies that a median is taken from.
	latencySamples = 31
	// maxSampleAge is how long a sample counts as evidence of how long a request takes
	// now.
	maxSampleAge = 5 * time.Second
)

// Latency holds the median of the most recent latencies. It is not safe for
// concurrent use.
type Latency struct {
	samples [latencySamples]time.Duration
	count   int
	median  time.Duration
	// recentCount is the number of samples without a gap of maxSampleAge before one of
	// them, recentMedian their median, and lastAt the time of the last one.
	recentCount  int
	recentMedian time.Duration
	lastAt       time.Time
}

// Add adds a sample.
func (la *Latency) Add(now time.Time, took time.Duration) {
	if now.Sub(la.lastAt) > maxSampleAge {
		la.recentCount = 0
	}
	la.lastAt = now
	la.samples[la.count%latencySamples] = took
	la.count++
	la.recentCount++
	la.median = la.medianOfLast(la.count)
	la.recentMedian = la.median
	if la.recentCount < min(la.count, latencySamples) {
		la.recentMedian = la.medianOfLast(la.recentCount)
	}
}

// Median returns the median, or zero before the first sample.
func (la *Latency) Median() time.Duration {
	return la.median
}

// Expected returns how long a request is expected to take, or zero if that isn't known:
// there has been no sample for maxSampleAge. Requests that are rejected because of an
// estimate give no samples, so that the estimate would never be corrected.
func (la *Latency) Expected(now time.Time) time.Duration {
	if now.Sub(la.lastAt) > maxSampleAge {
		return 0
	}
	return la.recentMedian
}

// medianOfLast returns the median of the last samples, at most latencySamples.
func (la *Latency) medianOfLast(count int) time.Duration {
	var sorted [latencySamples]time.Duration
	used := sorted[:min(count, latencySamples)]
	for i := range used {
		used[i] = la.samples[(la.count-1-i)%latencySamples]
	}
	slices.Sort(used)
	return used[len(used)/2]
}
