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
	// loadHalfLife is how fast what an answer said of an upstream's load fades.
	loadHalfLife = time.Second
	// statsLife is how long what an answer said of latencies counts.
	statsLife = time.Minute
	maxStats  = 64
	// trialLife is how long an endpoint that was doubtful is offered trials.
	trialLife = 5 * time.Second
	// goneLife is how long a gate's word that an endpoint leaves counts here.
	goneLife = time.Second
	// doubtLife is how long a gate's word on doubt counts here; the next quote
	// renews it.
	doubtLife = 200 * time.Millisecond
	// repeatsLife is how long a gate's word on its retry budget counts here.
	repeatsLife  = 2 * time.Second
	minPathPause = 500 * time.Millisecond
	maxPathPause = 8 * time.Second
)

// tracker is what an ingress knows first-hand of endpoints and of the paths to
// the daemons beside them.
//
// Lock order: tracker.mu is a leaf.
type tracker struct {
	mu    sync.Mutex
	ends  map[string]*endpointTrack
	paths map[string]*pathTrack
}

type endpointTrack struct {
	own int
	// others is what the upstream had to do besides this ingress's requests,
	// as carried on the last answer.
	others float64
	at     time.Time
	// doubtful is what the gate said last of its upstream, and trialAt when it
	// may get a trial.
	doubtful bool
	trialAt  time.Time
	goneAt   time.Time
	// repeats is what the gate's retry budget had left.
	repeats int
	stats   map[string]carriedStats
}

func (en *endpointTrack) noteLoad(now time.Time, load wire.Load) {
	en.others = math.Max(0, float64(load.Running+load.Waiting-en.own))
	en.at = now
	en.doubtful = load.Doubtful
	en.trialAt = now.Add(load.TrialIn)
	en.repeats = load.Repeats
}

type carriedStats struct {
	wire.Stats
	at time.Time
}

type pathTrack struct {
	failures int
	until    time.Time
}

func newTracker() *tracker {
	return &tracker{ends: make(map[string]*endpointTrack), paths: make(map[string]*pathTrack)}
}

// baseline returns what the siblings of an endpoint do with a kind of work.
func (tr *tracker) baseline(now time.Time, siblings []string, kind string) health.Baseline {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var medians []time.Duration
	var rates []float64
	for _, key := range siblings {
		end := tr.ends[key]
		if end == nil {
			continue
		}
		stats, ok := end.stats[kind]
		if !ok || now.Sub(stats.at) > statsLife || stats.Median == 0 {
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

// begin notes that a request goes to an endpoint.
func (tr *tracker) begin(key string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.end(key).own++
}

// finish notes the end of a request and what its answer carried.
func (tr *tracker) finish(now time.Time, key, kind string, answer wire.RunAnswer, answered bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	end := tr.end(key)
	end.own--
	if !answered {
		return
	}
	end.noteLoad(now, answer.Load)
	if len(end.stats) >= maxStats {
		clear(end.stats)
	}
	end.stats[kind] = carriedStats{Stats: answer.Stats, at: now}
}

// noteQuote notes what a quote said of an endpoint.
func (tr *tracker) noteQuote(now time.Time, key string, quote wire.QuoteAnswer) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.end(key).noteLoad(now, quote.Load)
}

// noteGone notes that an endpoint's gate takes no work for it any more.
func (tr *tracker) noteGone(now time.Time, key string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.end(key).goneAt = now
}

// isGone says whether an endpoint's gate refused all work for it a moment ago.
func (tr *tracker) isGone(now time.Time, key string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	end := tr.ends[key]
	return end != nil && !end.goneAt.IsZero() && now.Sub(end.goneAt) < goneLife
}

// forget drops endpoints that are not in use.
func (tr *tracker) forget(keep func(key string) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for key, end := range tr.ends {
		if end.own == 0 && !keep(key) {
			delete(tr.ends, key)
		}
	}
}

// load estimates the requests that an endpoint has.
func (tr *tracker) load(now time.Time, key string) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	end := tr.ends[key]
	if end == nil {
		return 0
	}
	fade := math.Exp2(-float64(now.Sub(end.at)) / float64(loadHalfLife))
	return float64(end.own) + end.others*fade
}

// isDoubtful says whether an endpoint's own gate called it doubtful a moment ago.
func (tr *tracker) isDoubtful(now time.Time, key string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	end := tr.ends[key]
	return end != nil && end.doubtful && now.Sub(end.at) < doubtLife
}

// wantsTrial says whether an endpoint is doubtful and may get a trial, as far as
// this ingress knows; told says that the fleet calls it doubtful.
func (tr *tracker) wantsTrial(now time.Time, key string, told bool) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	end := tr.ends[key]
	if end == nil {
		return told
	}
	knows := end.doubtful && now.Sub(end.at) < trialLife
	return (told || knows) && !now.Before(end.trialAt)
}

// repeats returns the most repeats that a gate of a pool had left when it was last
// heard, of those whose upstream takes work. Before any was heard there are taken
// to be enough for a trial.
func (tr *tracker) repeats(now time.Time, pool *fleet.Pool) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	most, known := 0, false
	for _, end := range pool.Endpoints {
		track := tr.ends[end.Key]
		if track == nil || track.doubtful || now.Sub(track.at) > repeatsLife {
			continue
		}
		most, known = max(most, track.repeats), true
	}
	if !known {
		return budget.TrialReserve
	}
	return most
}

// isPathGood says whether a daemon could be reached lately.
func (tr *tracker) isPathGood(now time.Time, daemon string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	path := tr.paths[daemon]
	return path == nil || !now.Before(path.until)
}

// notePath notes whether a daemon could be reached; one that could not is left
// out for a pause that doubles.
func (tr *tracker) notePath(now time.Time, daemon string, good bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if good {
		delete(tr.paths, daemon)
		return
	}
	path := tr.paths[daemon]
	if path == nil {
		path = &pathTrack{}
		tr.paths[daemon] = path
	}
	if now.Before(path.until) {
		return
	}
	pause := min(minPathPause<<min(path.failures, 8), maxPathPause)
	path.failures++
	path.until = now.Add(pause)
}

func (tr *tracker) dump() map[string]any {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ends := make(map[string]any, len(tr.ends))
	for key, end := range tr.ends {
		ends[key] = map[string]any{"own": end.own, "others": end.others}
	}
	paths := make(map[string]any, len(tr.paths))
	for daemon, path := range tr.paths {
		paths[daemon] = map[string]any{"failures": path.failures, "until": path.until}
	}
	return map[string]any{"endpoints": ends, "badPaths": paths}
}

// end returns the track of an endpoint; the caller holds the lock.
func (tr *tracker) end(key string) *endpointTrack {
	end := tr.ends[key]
	if end == nil {
		end = &endpointTrack{stats: make(map[string]carriedStats)}
		tr.ends[key] = end
	}
	return end
}
