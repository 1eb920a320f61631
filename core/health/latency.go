package health

import (
	"slices"
	"time"
)

// latencySamples is the number of latencies that the median is taken from.
const latencySamples = 31

// Latency holds the median of the most recent latencies. It is not safe for
// concurrent use.
type Latency struct {
	samples [latencySamples]time.Duration
	count   int
	median  time.Duration
}

// Add adds a sample.
func (la *Latency) Add(took time.Duration) {
	la.samples[la.count%latencySamples] = took
	la.count++
	sorted := la.samples
	used := sorted[:min(la.count, latencySamples)]
	slices.Sort(used)
	la.median = used[len(used)/2]
}

// Median returns the median, or zero before the first sample.
func (la *Latency) Median() time.Duration {
	return la.median
}
