package workcost

import (
	"hash/maphash"
	"math"
	"sync/atomic"
	"time"
)

const (
	// NodesPerDaemon is the number of classes that the estimators of a daemon keep
	// together: about 1 MB.
	NodesPerDaemon = 8192
	// ownNodes is the number of classes that an estimator keeps outside of its budget,
	// so that it can learn kinds when others have used the budget up.
	ownNodes = 64
	// maxProfiles is the number of kinds whose distributions an estimator keeps.
	maxProfiles = 256
	// evictionSample is the number of classes among which the one without a sample for
	// longest is evicted.
	evictionSample = 5
	// minAsked is the number of requests of a class without a slot after which the class
	// may be doubted. Several gates are asked for each request.
	minAsked = 20
)

// NodeBudget is the number of classes that estimators may still keep. It bounds the memory
// of all estimators of a daemon, and is safe for concurrent use.
type NodeBudget struct{ left atomic.Int64 }

// NewNodeBudget returns a budget of the given number of classes.
func NewNodeBudget(nodes int) *NodeBudget {
	nb := &NodeBudget{}
	nb.left.Store(int64(nodes))
	return nb
}

func (nb *NodeBudget) take() bool {
	if nb.left.Add(-1) >= 0 {
		return true
	}
	nb.left.Add(1)
	return false
}

// Close returns what the estimator has taken from its budget. The estimator may be
// used further; it has learned nothing.
func (es *Estimator) Close() {
	es.budget.left.Add(int64(max(len(es.nodes)-ownNodes, 0)))
	clear(es.nodes)
	clear(es.profiles)
	es.slowdown = slowdown{factor: 1}
}

// nodeKey identifies a class on one level, by a hash of what the level distinguishes.
type nodeKey uint64

// levels is the number of levels: all requests, the kind, the size class, the shape of
// the path, and the organisation.
const levels = 5

var hashSeed = maphash.MakeSeed()

// keysOf returns the nodes of a class, from the general to the specific.
func keysOf(class Class) [levels]nodeKey {
	kind := maphash.String(hashSeed, class.Kind)
	organisation := maphash.String(hashSeed, class.Organisation)
	parts := [levels]uint64{0, kind, uint64(class.Size) + 1, uint64(class.Shape) + 1, organisation}
	var keys [levels]nodeKey
	for level, part := range parts {
		previous := uint64(0)
		if level > 0 {
			previous = uint64(keys[level-1])
		}
		keys[level] = nodeKey(maphash.Comparable(hashSeed, [3]uint64{previous, part, uint64(level)}))
	}
	return keys
}

// trialSamples is the number of samples that a class counts when it was doubted.
const trialSamples = 1

// node is what is known about a class on one level.
type node struct {
	// work is the mean work in seconds, and samples how many count in it.
	work    float64
	samples float64
	// drift is the moving average of the logarithm of the ratio of actual to expected,
	// and sinceChange the number of samples in it.
	drift       float64
	sinceChange int
	// lastAt is the time of the last sample, and begunAt the last time that a request of
	// the class got a slot. asked counts the requests that asked for one since.
	lastAt  time.Time
	begunAt time.Time
	asked   int
	// onTrial means that the last request that got a slot did so while the class was
	// doubted.
	onTrial bool
}

// isDoubted reports whether the requests of the class may be rejected because of an
// estimate that isn't true any more.
func (no *node) isDoubted(now time.Time) bool {
	return no.asked >= minAsked && now.Sub(no.lastAt) > maxSilence && now.Sub(no.begunAt) > maxSilence
}

// begin records that a request of the class has got a slot.
func (no *node) begin(now time.Time) {
	no.onTrial = no.onTrial || no.isDoubted(now)
	no.begunAt, no.asked = now, 0
}

// blend moves the estimate of the more general class by what the samples justify.
func (no *node) blend(general float64) float64 {
	if general == 0 {
		return no.work
	}
	return (no.samples*no.work + priorSamples*general) / (no.samples + priorSamples)
}

// add adds a sample. A class whose requests have long taken longer or shorter than
// expected starts anew from its last samples.
func (no *node) add(now time.Time, work, expected, actual float64, isFresh bool) {
	no.lastAt = now
	if no.onTrial {
		no.samples, no.onTrial = min(no.samples, trialSamples), false
	}
	no.samples = min(no.samples+1, 1/minWorkWeight)
	no.work += (work - no.work) / no.samples
	if expected == 0 || !isFresh {
		return
	}
	surprise := math.Log(min(max(actual/expected, 1.0/maxSurprise), maxSurprise))
	no.drift += driftWeight * (surprise - no.drift)
	no.sinceChange++
	if no.sinceChange >= minDriftSamples && math.Abs(no.drift) > maxDrift {
		no.work *= math.Exp(no.drift)
		no.samples, no.drift, no.sinceChange = min(no.samples, changedSamples), 0, 0
	}
}

// node returns the node with a key. It creates it, in the place of another one if the
// budget is used up.
func (es *Estimator) node(now time.Time, key nodeKey) *node {
	if no := es.nodes[key]; no != nil {
		return no
	}
	if len(es.nodes) >= ownNodes && !es.budget.take() {
		es.evict()
	}
	no := &node{lastAt: now}
	es.nodes[key] = no
	return no
}

// evict makes room for a node, by the longest silence among a few. General nodes get
// samples most often and so stay.
func (es *Estimator) evict() {
	seen, oldest := 0, nodeKey(0)
	for key, no := range es.nodes {
		if seen == 0 || no.lastAt.Before(es.nodes[oldest].lastAt) {
			oldest = key
		}
		seen++
		if seen == evictionSample {
			break
		}
	}
	delete(es.nodes, oldest)
}
