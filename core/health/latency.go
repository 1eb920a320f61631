package health

import (
	"slices"
	"time"
)

const latencySamples = 31

// Latency keeps the median of recent latencies. It is not safe for concurrent use.
type Latency struct {
	samples [latencySamples]time.Duration
	count   int
	median  time.Duration
}

// Add takes a latency.
func (la *Latency) Add(took time.Duration) {
	la.samples[la.count%latencySamples] = took
	la.count++
	sorted := la.samples
	used := sorted[:min(la.count, latencySamples)]
	slices.Sort(used)
	la.median = used[len(used)/2]
}

// Median returns the median, zero when nothing was added.
func (la *Latency) Median() time.Duration {
	return la.median
}
