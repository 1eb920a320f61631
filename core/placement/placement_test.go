package placement_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactusstream.example/core/loadfile"
	"cactusstream.example/core/placement"
)

func estimate(zone string, wait, duration time.Duration) placement.Estimate {
	return placement.Estimate{Candidate: placement.Candidate{Zone: zone}, Wait: wait, ExpectedDuration: duration}
}

func TestBest(t *testing.T) {
	const ms = time.Millisecond
	policy := placement.Policy{Zone: "a", CrossZoneCost: 100 * ms, Margin: 1}
	cases := []struct {
		name      string
		estimates []placement.Estimate
		want      placement.Decision
	}{
		{"no estimates", nil, placement.Decision{At: -1}},
		{"shorter wait", []placement.Estimate{estimate("a", 90*ms, 0), estimate("a", 20*ms, 0)}, placement.Decision{At: 1, InTime: true}},
		{"own zone despite a slightly longer wait", []placement.Estimate{estimate("b", 0, 0), estimate("a", 90*ms, 0)}, placement.Decision{At: 1, InTime: true}},
		{"other zone when it saves more than CrossZoneCost", []placement.Estimate{estimate("b", 0, 0), estimate("a", 190*ms, 0)}, placement.Decision{At: 0, InTime: true}},
		{"in time before own zone", []placement.Estimate{estimate("a", 950*ms, 100*ms), estimate("b", 890*ms, 100*ms)}, placement.Decision{At: 1, InTime: true}},
		{"none in time", []placement.Estimate{estimate("a", 2000*ms, 0), estimate("a", 1500*ms, 0)}, placement.Decision{At: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(placement.Best(tc.estimates, time.Second, policy), tc.want)
		})
	}
}

// bestByTwoPasses is the reference implementation: it searches for the lowest cost
// among the estimates in time, then among the others.
func bestByTwoPasses(estimates []placement.Estimate, remaining time.Duration, policy placement.Policy) placement.Decision {
	for _, mustBeInTime := range []bool{true, false} {
		best, lowest := -1, time.Duration(math.MaxInt64)
		for at, est := range estimates {
			cost := est.Wait + est.Cost
			if est.Zone != policy.Zone {
				cost += policy.CrossZoneCost + policy.ByteCost
			}
			available := time.Duration(policy.Margin * float64(remaining))
			if est.Zone != policy.Zone {
				available = max(available-policy.ByteCost, available-available/2)
			}
			inTime := est.Wait+est.ExpectedDuration <= available
			if inTime == mustBeInTime && cost < lowest {
				best, lowest = at, cost
			}
		}
		if best >= 0 {
			return placement.Decision{At: best, InTime: mustBeInTime}
		}
	}
	return placement.Decision{At: -1}
}

func TestBestMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var estimates []placement.Estimate
		for range rapid.IntRange(0, 8).Draw(rt, "count") {
			est := estimate(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"), time.Duration(rapid.IntRange(0, 50).Draw(rt, "wait")), time.Duration(rapid.IntRange(0, 50).Draw(rt, "duration")))
			est.Cost = time.Duration(rapid.IntRange(0, 20).Draw(rt, "cost"))
			estimates = append(estimates, est)
		}
		policy := placement.Policy{Zone: "a", CrossZoneCost: 10, ByteCost: time.Duration(rapid.IntRange(0, 60).Draw(rt, "byteCost")), Margin: 0.5}
		remaining := time.Duration(rapid.IntRange(0, 150).Draw(rt, "remaining"))
		if got, want := placement.Best(estimates, remaining, policy), bestByTwoPasses(estimates, remaining, policy); got != want {
			rt.Fatalf("Best = %v, the reference implementation %v, of %v", got, want, estimates)
		}
	})
}

func TestSample(t *testing.T) {
	is := is.New(t)
	var candidates []placement.Candidate
	for _, zone := range []string{"a", "a", "a", "b", "b", "b"} {
		candidates = append(candidates, placement.Candidate{Zone: zone})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		near, far := placement.Sample(rng, candidates, placement.Policy{Zone: "a", OwnZoneCount: 2, OtherZoneCount: 1})
		is.Equal(len(near), 2)
		is.Equal(len(far), 1)
		for _, at := range near {
			is.Equal(candidates[at].Zone, "a")
		}
		is.Equal(candidates[far[0]].Zone, "b")
		near, far = placement.Sample(rng, candidates[3:], placement.Policy{Zone: "a", OwnZoneCount: 2, OtherZoneCount: 1})
		is.Equal(len(near), 0)
		is.Equal(len(far), 3) // Other zones make up for the own zone.
	}
}

// TestSettledEstimateIsNeverBeaten checks IsSettled against random waits: when it
// skips the other zones, no estimate of theirs would have changed the choice.
func TestSettledEstimateIsNeverBeaten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := placement.Policy{Zone: "a", CrossZoneCost: 10, ByteCost: time.Duration(rapid.IntRange(0, 20).Draw(rt, "byteCost")), Margin: 0.75}
		remaining := time.Duration(rapid.IntRange(1, 100).Draw(rt, "remaining"))
		draw := func(zone string) []placement.Estimate {
			var estimates []placement.Estimate
			for range rapid.IntRange(0, 3).Draw(rt, "count") {
				est := estimate(zone, time.Duration(rapid.IntRange(0, 30).Draw(rt, "wait")), time.Duration(rapid.IntRange(0, 30).Draw(rt, "duration")))
				est.Cost = time.Duration(rapid.IntRange(0, 5).Draw(rt, "cost"))
				estimates = append(estimates, est)
			}
			return estimates
		}
		near := draw("a")
		if !placement.IsSettled(near, remaining, policy) {
			return
		}
		both := append(append([]placement.Estimate(nil), near...), draw("b")...)
		if got, want := placement.Best(both, remaining, policy), placement.Best(near, remaining, policy); got != want {
			rt.Fatalf("Best = %v with estimates of the other zone, %v without, of %v", got, want, both)
		}
	})
}

// load is an entry of testdata/manyDaemons.json: the upstreams of a service, and the
// daemons and requests that use them.
type load struct {
	Upstreams int `json:"upstreams"`
	// Slots is the number of slots of each upstream.
	Slots   int `json:"slots"`
	Daemons int `json:"daemons"`
	// PerSecond is the request rate of all daemons together.
	PerSecond float64 `json:"perSecond"`
	// MeanMillis is the mean of the request durations, which are log-normal, and
	// Spread the standard deviation of their logarithm.
	MeanMillis float64 `json:"meanMillis"`
	Spread     float64 `json:"spread"`
	// LimitMillis is the time from its arrival in which a request must complete.
	LimitMillis float64 `json:"limitMillis"`
	Seconds     float64 `json:"seconds"`
}

// server simulates an upstream; free holds when each of its slots becomes free, in
// seconds.
type server struct{ free []float64 }

func (se *server) wait(now float64) float64 {
	return max(se.earliest()-now, 0)
}

func (se *server) earliest() float64 {
	lowest := se.free[0]
	for _, when := range se.free {
		lowest = min(lowest, when)
	}
	return lowest
}

func (se *server) serve(now, duration float64) (completedAt float64) {
	at := 0
	for i, when := range se.free {
		if when < se.free[at] {
			at = i
		}
	}
	se.free[at] = max(se.free[at], now) + duration
	return se.free[at]
}

type completion struct {
	at     float64
	daemon int
	server int
}

type completions []completion

func (co completions) Len() int           { return len(co) }
func (co completions) Less(i, j int) bool { return co[i].at < co[j].at }
func (co completions) Swap(i, j int)      { co[i], co[j] = co[j], co[i] }
func (co *completions) Push(item any)     { *co = append(*co, item.(completion)) }
func (co *completions) Pop() any {
	last := (*co)[len(*co)-1]
	*co = (*co)[:len(*co)-1]
	return last
}

// replay returns the share of the requests that completed in time, and the share of
// the slot time that was spent on requests that did not. choose gets the number of
// requests that its daemon has in flight at each server.
func replay(loa load, choose func(rng *rand.Rand, daemonInFlight []int, servers []*server, now float64) (at int, accepts bool)) (inTimeShare, wastedShare float64) {
	rng := rand.New(rand.NewPCG(3, 5))
	servers := make([]*server, loa.Upstreams)
	for i := range servers {
		servers[i] = &server{free: make([]float64, loa.Slots)}
	}
	daemonInFlight := make([][]int, loa.Daemons)
	for i := range daemonInFlight {
		daemonInFlight[i] = make([]int, loa.Upstreams)
	}
	var inFlight completions
	now, total, completedInTime, wastedTime, usedTime := 0.0, 0, 0, 0.0, 0.0
	for now < loa.Seconds {
		now += rng.ExpFloat64() / loa.PerSecond
		for len(inFlight) > 0 && inFlight[0].at <= now {
			end := heap.Pop(&inFlight).(completion)
			daemonInFlight[end.daemon][end.server]--
		}
		total++
		duration := loa.MeanMillis / 1000 * math.Exp(loa.Spread*rng.NormFloat64()-loa.Spread*loa.Spread/2)
		daemon := rng.IntN(loa.Daemons)
		at, accepts := choose(rng, daemonInFlight[daemon], servers, now)
		if !accepts {
			continue
		}
		completedAt := servers[at].serve(now, duration)
		daemonInFlight[daemon][at]++
		heap.Push(&inFlight, completion{completedAt, daemon, at})
		usedTime += duration
		if completedAt-now <= loa.LimitMillis/1000 {
			completedInTime++
		} else {
			wastedTime += duration
		}
	}
	return float64(completedInTime) / float64(total), wastedTime / usedTime
}

// TestManyDaemonsWithFewRequests replays testdata/manyDaemons.json. It guards against
// requests that queue behind long ones while slots are idle elsewhere, as happens when
// a daemon knows only of its own requests. It compares wait estimates with the power
// of two choices by a daemon's own requests, and with an oracle that knows all waits.
// Wait estimates must serve at least as many requests in time as the former and 95 %
// as many as the latter, and waste at most 5 % of the slot time.
func TestManyDaemonsWithFewRequests(t *testing.T) {
	is := is.New(t)
	loads, err := loadfile.Read[map[string]load]("testdata/manyDaemons.json")
	is.NoErr(err)
	for name, loa := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limit := time.Duration(loa.LimitMillis * float64(time.Millisecond))
			expected := time.Duration(loa.MeanMillis * float64(time.Millisecond))
			candidates := make([]placement.Candidate, loa.Upstreams)
			policy := placement.Policy{OwnZoneCount: 2, OtherZoneCount: 2, Margin: 0.75}
			estimated, estimatedWasted := replay(loa, func(rng *rand.Rand, _ []int, servers []*server, now float64) (int, bool) {
				var estimates []placement.Estimate
				sample, _ := placement.Sample(rng, candidates, placement.Policy{OwnZoneCount: 4})
				for _, at := range sample {
					estimates = append(estimates, placement.Estimate{Wait: time.Duration(servers[at].wait(now) * float64(time.Second)), ExpectedDuration: expected})
				}
				dec := placement.Best(estimates, limit, policy)
				return sample[dec.At], dec.InTime
			})
			twoChoices, twoChoicesWasted := replay(loa, func(rng *rand.Rand, daemonInFlight []int, servers []*server, _ float64) (int, bool) {
				one, two := rng.IntN(len(servers)), rng.IntN(len(servers))
				if daemonInFlight[two] < daemonInFlight[one] {
					one = two
				}
				return one, true
			})
			oracle, _ := replay(loa, func(_ *rand.Rand, _ []int, servers []*server, now float64) (int, bool) {
				best := 0
				for at := range servers {
					if servers[at].wait(now) < servers[best].wait(now) {
						best = at
					}
				}
				return best, servers[best].wait(now)+expected.Seconds() <= 0.75*limit.Seconds()
			})
			t.Logf("completed in time: wait estimates %.3f, own requests %.3f, oracle %.3f; slot time wasted: wait estimates %.3f, own requests %.3f", estimated, twoChoices, oracle, estimatedWasted, twoChoicesWasted)
			is.True(estimated >= twoChoices)
			is.True(estimated >= 0.95*oracle) // The goal of issue 11 at 1.5 times the capacity.
			is.True(estimatedWasted <= 0.05)
		})
	}
}
