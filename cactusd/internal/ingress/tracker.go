package ingress

import (
	"math"
	"slices"
	"sync"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/budget"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/health"
)

const (
	// loadHalfLife is the half-life of an upstream's reported load.
	loadHalfLife = time.Second
	// statsTTL is how long reported latencies and error rates are used.
	statsTTL = time.Minute
	// maxStats is the number of request kinds whose statistics are kept per
	// endpoint. When it is reached, all of them are discarded.
	maxStats = 64
	// trialOfferTTL is how long after a report of suspicion an endpoint is offered
	// trial requests.
	trialOfferTTL = 5 * time.Second
	// leavingTTL is how long a gate's report that an endpoint is leaving is used.
	leavingTTL = time.Second
	// leftTTL is how long an endpoint is avoided that its gate reported as leaving in an
	// answer. It is longer than an announcement can be late: a gate that has restarted may
	// take an old one for that of an upstream that stays.
	leftTTL = 10 * time.Second
	// suspicionTTL is how long a gate's report of suspicion excludes its endpoint.
	// The next wait estimate renews it.
	suspicionTTL = 200 * time.Millisecond
	// retriesTTL is how long a gate's report of its retry budget is used.
	retriesTTL     = 2 * time.Second
	minPathBackoff = 500 * time.Millisecond
	maxPathBackoff = 8 * time.Second
)

// tracker holds what this ingress learns directly from gates about endpoints, and
// about the paths to their daemons.
//
// Lock order: no other lock is acquired while tracker.mu is held.
type tracker struct {
	mu        sync.Mutex
	endpoints map[string]*endpointState
	paths     map[string]*pathState
}

type endpointState struct {
	inFlight int
	// otherLoad is the number of the upstream's requests that other ingresses
	// sent, from its last report.
	otherLoad float64
	updatedAt time.Time
	// suspected is the gate's last report on its upstream, and trialAt the
	// earliest time of the next trial request.
	suspected bool
	trialAt   time.Time
	leavingAt time.Time
	// leftAt is when the gate last reported in an answer that the upstream leaves.
	leftAt time.Time
	// retriesLeft is the number of retries left in the gate's budget at its last
	// report.
	retriesLeft int
	// limit is the last Load.Limit that wasn't 0.
	limit float64
	stats map[string]timedStats
}

func (en *endpointState) updateLoad(now time.Time, load wire.Load) {
	en.otherLoad = math.Max(0, float64(load.Running+load.Queued-en.inFlight))
	en.updatedAt = now
	en.suspected = load.Suspected
	en.trialAt = now.Add(load.TrialIn)
	en.retriesLeft = load.RetriesLeft
	if load.Leaving {
		en.leftAt = now
	}
	if load.Limit != 0 {
		en.limit = load.Limit
	}
}

type timedStats struct {
	wire.Stats
	updatedAt time.Time
}

type pathState struct {
	failures int
	retryAt  time.Time
}

func newTracker() *tracker {
	return &tracker{endpoints: make(map[string]*endpointState), paths: make(map[string]*pathState)}
}

// baseline returns the median of the siblings' median latencies and of their
// error rates for a kind of request.
func (tr *tracker) baseline(now time.Time, siblings []string, kind string) health.Baseline {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var medians []time.Duration
	var rates []float64
	for _, key := range siblings {
		state := tr.endpoints[key]
		if state == nil {
			continue
		}
		stats, ok := state.stats[kind]
		if !ok || now.Sub(stats.updatedAt) > statsTTL || stats.Median == 0 {
			continue
		}
		medians = append(medians, stats.Median)
		rates = append(rates, stats.ErrorRate)
	}
	if len(medians) == 0 {
		return health.Baseline{}
	}
	slices.Sort(medians)
	slices.Sort(rates)
	return health.Baseline{Median: medians[len(medians)/2], ErrorRate: rates[len(rates)/2], Siblings: len(medians)}
}

// begin records the start of an attempt at an endpoint.
func (tr *tracker) begin(key string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.state(key).inFlight++
}

// finish records the end of an attempt and the load and statistics in its
// answer.
func (tr *tracker) finish(now time.Time, key, kind string, answer wire.RunAnswer, answered bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	state := tr.state(key)
	state.inFlight--
	if !answered {
		return
	}
	state.updateLoad(now, answer.Load)
	if len(state.stats) >= maxStats {
		clear(state.stats)
	}
	state.stats[kind] = timedStats{Stats: answer.Stats, updatedAt: now}
}

// recordEstimate records the load that came with a wait estimate.
func (tr *tracker) recordEstimate(now time.Time, key string, estimate wire.WaitEstimate) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.state(key).updateLoad(now, estimate.Load)
}

// recordLeaving records that an endpoint's gate accepts no more requests for it.
func (tr *tracker) recordLeaving(now time.Time, key string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.state(key).leavingAt = now
}

// isLeaving reports whether an endpoint's gate rejected all requests for it within
// leavingTTL, or reported within leftTTL that the upstream leaves.
func (tr *tracker) isLeaving(now time.Time, key string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	state := tr.endpoints[key]
	return state != nil && (now.Sub(state.leavingAt) < leavingTTL || now.Sub(state.leftAt) < leftTTL)
}

// forget deletes the endpoints for which keep returns false and which have no
// attempt in flight.
func (tr *tracker) forget(keep func(key string) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for key, state := range tr.endpoints {
		if state.inFlight == 0 && !keep(key) {
			delete(tr.endpoints, key)
		}
	}
}

// limit returns the last known wire.Load.Limit of an endpoint. It doesn't expire: only an
// answer of the upstream can tell that it has ended.
func (tr *tracker) limit(key string) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if state := tr.endpoints[key]; state != nil {
		return state.limit
	}
	return 0
}

// load estimates the number of requests that an endpoint has.
func (tr *tracker) load(now time.Time, key string) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	state := tr.endpoints[key]
	if state == nil {
		return 0
	}
	decay := math.Exp2(-float64(now.Sub(state.updatedAt)) / float64(loadHalfLife))
	return float64(state.inFlight) + state.otherLoad*decay
}

// isSuspected reports whether an endpoint's own gate reported it as suspected
// within suspicionTTL.
func (tr *tracker) isSuspected(now time.Time, key string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	state := tr.endpoints[key]
	return state != nil && state.suspected && now.Sub(state.updatedAt) < suspicionTTL
}

// isTrialDue reports whether an endpoint is suspected and may get a trial
// request, as far as this ingress knows. The parameter reported tells whether
// the fleet view marks it as suspected.
func (tr *tracker) isTrialDue(now time.Time, key string, reported bool) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	state := tr.endpoints[key]
	if state == nil {
		return reported
	}
	recentlySuspected := state.suspected && now.Sub(state.updatedAt) < trialOfferTTL
	return (reported || recentlySuspected) && !now.Before(state.trialAt)
}

// retriesLeft returns the largest retry budget that a gate of the pool reported
// within retriesTTL; suspected endpoints are not counted. Without any such
// report it assumes enough for a trial request.
func (tr *tracker) retriesLeft(now time.Time, pool *fleet.Pool) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	most, known := 0, false
	for _, endpoint := range pool.Endpoints {
		state := tr.endpoints[endpoint.Key]
		if state == nil || state.suspected || now.Sub(state.updatedAt) > retriesTTL {
			continue
		}
		most, known = max(most, state.retriesLeft), true
	}
	if !known {
		return budget.TrialReserve
	}
	return most
}

// isPathHealthy reports whether a daemon may be contacted, which is not the case
// during the backoff after a failure.
func (tr *tracker) isPathHealthy(now time.Time, daemon string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	path := tr.paths[daemon]
	return path == nil || !now.Before(path.retryAt)
}

// recordPath records whether a daemon was reachable. An unreachable one is
// avoided for a backoff that doubles with each failure.
func (tr *tracker) recordPath(now time.Time, daemon string, reachable bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if reachable {
		delete(tr.paths, daemon)
		return
	}
	path := tr.paths[daemon]
	if path == nil {
		path = &pathState{}
		tr.paths[daemon] = path
	}
	if now.Before(path.retryAt) {
		return
	}
	backoff := min(minPathBackoff<<min(path.failures, 8), maxPathBackoff)
	path.failures++
	path.retryAt = now.Add(backoff)
}

func (tr *tracker) dump() map[string]any {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	endpoints := make(map[string]any, len(tr.endpoints))
	for key, state := range tr.endpoints {
		endpoints[key] = map[string]any{"own": state.inFlight, "others": state.otherLoad}
	}
	paths := make(map[string]any, len(tr.paths))
	for daemon, path := range tr.paths {
		paths[daemon] = map[string]any{"failures": path.failures, "until": path.retryAt}
	}
	return map[string]any{"endpoints": endpoints, "badPaths": paths}
}

// state returns the state of an endpoint, creating it if needed. The caller must
// hold tr.mu.
func (tr *tracker) state(key string) *endpointState {
	state := tr.endpoints[key]
	if state == nil {
		state = &endpointState{stats: make(map[string]timedStats)}
		tr.endpoints[key] = state
	}
	return state
}
