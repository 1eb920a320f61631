package workcost_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/health"
	"cactusstream.example/core/loadfile"
	"cactusstream.example/core/placement"
	"cactusstream.example/core/rankqueue"
	"cactusstream.example/core/workcost"
)

// load is an entry of testdata/loads.json: one kind of request to one service.
type load struct {
	Upstreams int `json:"upstreams"`
	Slots     int `json:"slots"`
	// Load is the offered work as a share of the capacity of upstreams at full speed.
	Load    float64 `json:"load"`
	Seconds float64 `json:"seconds"`
	// MeanMillis is the mean of the durations, which are log-normal with Spread as the
	// standard deviation of the logarithm. A share of them takes TailFactor times as
	// long, which nothing tells before, or LargeFactor times as long, which the size of
	// the body tells.
	MeanMillis  float64 `json:"meanMillis"`
	Spread      float64 `json:"spread"`
	TailShare   float64 `json:"tailShare"`
	TailFactor  float64 `json:"tailFactor"`
	LargeShare  float64 `json:"largeShare"`
	LargeFactor float64 `json:"largeFactor"`
	// LargeIsKind means that large requests are a kind of their own.
	LargeIsKind bool `json:"largeIsKind"`
	// One upstream is SlowFactor times as slow between SlowFrom and SlowUntil.
	SlowFactor float64 `json:"slowFactor"`
	SlowFrom   float64 `json:"slowFrom"`
	SlowUntil  float64 `json:"slowUntil"`
	// From ReleaseAt the factors of large and small requests are different.
	ReleaseAt        float64 `json:"releaseAt"`
	LargeFactorAfter float64 `json:"largeFactorAfter"`
	SmallFactorAfter float64 `json:"smallFactorAfter"`
	TargetMillis     float64 `json:"targetMillis"`
	DeadlineMillis   float64 `json:"deadlineMillis"`
}

// job is a request in the replay.
type job struct {
	class    workcost.Class
	arrived  time.Time
	deadline time.Time
	// base is the duration at an upstream of normal speed, and took the actual one.
	base, took time.Duration
	started    time.Time
	expected   workcost.Expectation
	upstream   *upstream
	item       *rankqueue.Item
}

// upstream simulates an upstream and its gate.
type upstream struct {
	queue   *rankqueue.Queue
	medians map[string]*health.Latency
	work    *workcost.Estimator
	running map[*job]bool
	queued  []*job
	speed   func(now time.Time) float64
}

// method is a way to estimate and to choose.
type method uint8

const (
	today method = iota
	shortestQueue
	ours
	oracle
)

// result is what a replay measured: the shares of the requests that ended before their
// target and before their deadline, that of the large ones before their deadline, that of
// the slot time that was spent on others, and the 99th percentile of the wait in seconds.
type result struct{ onTarget, inTime, large, wasted, wait99 float64 }

type ends []*job

func (en ends) end(i int) time.Time { return en[i].started.Add(en[i].took) }
func (en ends) Len() int            { return len(en) }
func (en ends) Less(i, j int) bool  { return en.end(i).Before(en.end(j)) }
func (en ends) Swap(i, j int)       { en[i], en[j] = en[j], en[i] }
func (en *ends) Push(item any)      { *en = append(*en, item.(*job)) }
func (en *ends) Pop() any {
	last := (*en)[len(*en)-1]
	*en = (*en)[:len(*en)-1]
	return last
}

// simulation is the state of a replay.
type simulation struct {
	loa       load
	method    method
	now       time.Time
	upstreams []*upstream
	ends      ends
	choices   *rand.Rand
	total     int
	onTarget  int
	inTime    int
	large     int
	largeEnds int
	used      time.Duration
	wasted    time.Duration
	waits     []float64
}

var epoch = time.Unix(1_000_000, 0)

func newSimulation(loa load, met method, seed uint64) *simulation {
	sim := &simulation{loa: loa, method: met, now: epoch, choices: rand.New(rand.NewPCG(seed, 2))}
	for i := range loa.Upstreams {
		up := &upstream{
			queue:   rankqueue.New(loa.Slots, rankqueue.Policy{Limit: 64, Share: [rankqueue.RankCount]int{40, 20, 10, 5}}),
			work:    workcost.New(workcost.NewNodeBudget(workcost.NodesPerDaemon)),
			running: make(map[*job]bool),
			medians: map[string]*health.Latency{"k": {}, "l": {}},
			speed:   func(time.Time) float64 { return 1 },
		}
		if i == 0 && loa.SlowFactor > 0 {
			up.speed = func(now time.Time) float64 {
				if at := now.Sub(epoch).Seconds(); at >= loa.SlowFrom && at < loa.SlowUntil {
					return loa.SlowFactor
				}
				return 1
			}
		}
		if met == ours {
			up.queue.SetRests(func(now time.Time) []time.Duration { return up.rests(now) })
		}
		sim.upstreams = append(sim.upstreams, up)
	}
	return sim
}

// rests returns the expected remaining times of the running requests.
func (up *upstream) rests(now time.Time) []time.Duration {
	var rests []time.Duration
	for jo := range up.running {
		rests = append(rests, up.work.Rest(jo.expected, now.Sub(jo.started)))
	}
	slices.Sort(rests) // For a fixed order of the sums.
	return rests
}

// expect fills in what a method expects of a request at an upstream.
func (sim *simulation) expect(up *upstream, jo *job) (item *rankqueue.Item, expected workcost.Expectation) {
	item = &rankqueue.Item{Rank: 2, Deadline: jo.deadline, Target: jo.arrived.Add(millis(sim.loa.TargetMillis))}
	switch sim.method {
	case today, shortestQueue:
		item.ExpectedDuration = time.Duration(1.2 * float64(up.medians[jo.class.Kind].Expected(sim.now)))
	case ours:
		expected = up.work.Expect(sim.now, jo.class)
		item.Work = expected.Mean
		if expected.Fresh {
			item.ExpectedDuration = expected.Likely()
		}
	case oracle:
		item.ExpectedDuration = time.Duration(float64(jo.base) * up.speed(sim.now))
	}
	return item, expected
}

// wait returns the wait that a method expects at an upstream.
func (sim *simulation) wait(up *upstream, item *rankqueue.Item) time.Duration {
	switch sim.method {
	case shortestQueue:
		return time.Duration(up.queue.Running()+len(up.queued)) * time.Millisecond
	case oracle:
		return up.exactWait(sim.now, sim.loa.Slots)
	}
	return up.queue.EstimateWait(sim.now, item)
}

// exactWait returns how long a request will be queued, from the actual durations.
func (up *upstream) exactWait(now time.Time, slots int) time.Duration {
	free := make([]time.Duration, slots)
	at := 0
	for jo := range up.running {
		free[at] = jo.started.Add(jo.took).Sub(now)
		at++
	}
	for _, jo := range up.queued {
		slices.Sort(free)
		free[0] += time.Duration(float64(jo.base) * up.speed(now))
	}
	return slices.Min(free)
}

// place sends a request to an upstream or rejects it.
func (sim *simulation) place(jo *job) {
	sim.total++
	if jo.class.Size > 1 {
		sim.large++
	}
	candidates := make([]placement.Candidate, len(sim.upstreams))
	policy := placement.Policy{OwnZoneCount: 4, Margin: 0.75}
	if sim.method == oracle {
		policy.Margin = 1
	}
	near, _ := placement.Sample(sim.choices, candidates, policy)
	estimates := make([]placement.Estimate, len(near))
	for i, index := range near {
		item, _ := sim.expect(sim.upstreams[index], jo)
		estimates[i] = placement.Estimate{Wait: sim.wait(sim.upstreams[index], item), ExpectedDuration: item.ExpectedDuration}
	}
	dec := placement.Best(estimates, jo.deadline.Sub(sim.now), policy)
	if !dec.InTime {
		return
	}
	up := sim.upstreams[near[dec.At]]
	jo.upstream = up
	jo.item, jo.expected = sim.expect(up, jo)
	jo.item.OnDecision = func(decision rankqueue.Decision) {
		up.queued = slices.DeleteFunc(up.queued, func(other *job) bool { return other == jo })
		if decision == rankqueue.Run {
			sim.start(jo)
		}
	}
	switch up.queue.Add(sim.now, jo.item) {
	case rankqueue.Run:
		sim.start(jo)
	case rankqueue.Wait:
		up.queued = append(up.queued, jo)
	}
}

func (sim *simulation) start(jo *job) {
	jo.started = sim.now
	jo.took = time.Duration(float64(jo.base) * jo.upstream.speed(sim.now))
	jo.upstream.running[jo] = true
	jo.upstream.work.Begin(sim.now, jo.class)
	sim.waits = append(sim.waits, sim.now.Sub(jo.arrived).Seconds())
	heap.Push(&sim.ends, jo)
}

func (sim *simulation) end(jo *job) {
	up := jo.upstream
	delete(up.running, jo)
	took := sim.now.Sub(jo.started)
	up.medians[jo.class.Kind].Add(sim.now, took)
	if sim.method == ours {
		up.work.Observe(sim.now, jo.class, jo.expected, took)
	}
	sim.used += took
	total := sim.now.Sub(jo.arrived)
	if total <= millis(sim.loa.TargetMillis) {
		sim.onTarget++
	}
	if sim.now.After(jo.deadline) {
		sim.wasted += took
	} else {
		sim.inTime++
		if jo.class.Size > 1 {
			sim.largeEnds++
		}
	}
	up.queue.Release(sim.now, 2, took)
}

func millis(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }

// newJob draws a request.
func (loa load) newJob(rng *rand.Rand, now time.Time) *job {
	jo := &job{class: workcost.Class{Kind: "k", Organisation: "o", Size: 1}, arrived: now, deadline: now.Add(millis(loa.DeadlineMillis))}
	duration := loa.MeanMillis * math.Exp(loa.Spread*rng.NormFloat64()-loa.Spread*loa.Spread/2)
	isReleased := loa.ReleaseAt > 0 && now.Sub(epoch).Seconds() >= loa.ReleaseAt
	isTail, isLarge := rng.Float64() < loa.TailShare, rng.Float64() < loa.LargeShare
	switch {
	case isLarge && isReleased:
		duration *= loa.LargeFactorAfter
	case isLarge:
		duration *= loa.LargeFactor
	case isReleased:
		duration *= loa.SmallFactorAfter
	}
	if isLarge {
		jo.class.Size = 4
	}
	if isLarge && loa.LargeIsKind {
		jo.class.Kind = "l"
	}
	if isTail {
		duration *= loa.TailFactor
	}
	jo.base = millis(duration)
	return jo
}

func (loa load) meanSeconds() float64 {
	return loa.MeanMillis / 1000 * (1 + loa.LargeShare*(loa.LargeFactor-1)) * (1 + loa.TailShare*(loa.TailFactor-1))
}

// replay runs a load with a method.
func replay(loa load, met method, seed uint64) result {
	sim := newSimulation(loa, met, seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	perSecond := loa.Load * float64(loa.Upstreams*loa.Slots) / loa.meanSeconds()
	next := epoch
	for next.Sub(epoch).Seconds() < loa.Seconds {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		for len(sim.ends) > 0 && !sim.ends.end(0).After(next) {
			jo := heap.Pop(&sim.ends).(*job)
			sim.now = jo.started.Add(jo.took)
			sim.end(jo)
		}
		sim.now = next
		sim.place(loa.newJob(rng, next))
	}
	slices.Sort(sim.waits)
	total := float64(sim.total)
	return result{float64(sim.onTarget) / total, float64(sim.inTime) / total, float64(sim.largeEnds) / max(float64(sim.large), 1), sim.wasted.Seconds() / sim.used.Seconds(), sim.waits[len(sim.waits)*99/100]}
}

// replaySeeds is the number of seeds over which the results are averaged.
const replaySeeds = 3

func meanResult(loa load, met method) result {
	var sum result
	for seed := range uint64(replaySeeds) {
		res := replay(loa, met, seed+1)
		sum.onTarget += res.onTarget / replaySeeds
		sum.inTime += res.inTime / replaySeeds
		sum.large += res.large / replaySeeds
		sum.wasted += res.wasted / replaySeeds
		sum.wait99 += res.wait99 / replaySeeds
	}
	return sum
}

// maxLoss is the share of the requests that may be lost while a change is learned.
const maxLoss = 0.01

// TestReplays replays testdata/loads.json with today's median for each kind, shortest
// queue, the estimator, and an oracle that knows each duration. It guards against an
// estimator that serves fewer requests than the median does, and, where the duration can
// be known from the class, against one that gains less than 0.9 of what the oracle gains.
func TestReplays(t *testing.T) {
	is := is.New(t)
	loads, err := loadfile.Read[map[string]load]("testdata/loads.json")
	is.NoErr(err)
	for name, loa := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var results [4]result
			for met := range results {
				results[met] = meanResult(loa, method(met))
				t.Logf("%-14s before target %.3f, before deadline %.3f (large %.3f), slot time wasted %.3f, p99 wait %.2f s",
					[]string{"today", "shortest queue", "ours", "oracle"}[met], results[met].onTarget, results[met].inTime, results[met].large, results[met].wasted, results[met].wait99)
			}
			is.True(results[ours].inTime >= results[today].inTime-maxLoss)
			is.True(results[ours].onTarget >= results[today].onTarget-maxLoss)
			if loa.LargeShare > 0 && loa.ReleaseAt == 0 && !loa.LargeIsKind {
				is.True(results[ours].onTarget-results[today].onTarget >= 0.9*(results[oracle].onTarget-results[today].onTarget))
			}
		})
	}
}
