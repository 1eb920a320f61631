package pick_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/pick"
)

// server simulates an upstream with a FIFO queue in virtual time.
type server struct {
	slots []float64 // When each slot becomes free, in seconds.
	speed float64
	// knownLoad is the load that the balancer sees; it is refreshed at intervals.
	knownLoad float64
	pending   []float64 // When each of its requests ends, in seconds.
}

type strategy func(rng *rand.Rand, servers []*server, number int) int

func roundRobin(_ *rand.Rand, servers []*server, number int) int { return number % len(servers) }

func leastLoaded(_ *rand.Rand, servers []*server, _ int) int {
	best := 0
	for i, se := range servers {
		if se.knownLoad < servers[best].knownLoad {
			best = i
		}
	}
	return best
}

func twoChoices(rng *rand.Rand, servers []*server, _ int) int {
	candidates := make([]pick.Candidate, 0, len(servers))
	for _, se := range servers {
		candidates = append(candidates, pick.Candidate{Slots: len(se.slots), Load: se.knownLoad, Weight: 1})
	}
	return pick.Choose(rng, candidates, pick.Policy{})
}

// simulate returns percentiles of the latency in milliseconds at a share of the
// capacity. The balancer refreshes the known loads every refreshInterval seconds.
// With skew, a third of the servers are slow.
func simulate(choose strategy, load, refreshInterval float64, skew bool) (p50, p99 float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	var servers []*server
	capacity := 0.0
	for i := range 12 {
		se := &server{slots: make([]float64, 5), speed: 1}
		if skew && i%3 == 0 {
			se.speed = 0.4
		}
		capacity += 5 * se.speed
		servers = append(servers, se)
	}
	const serviceTime = 0.02 // Mean, in seconds.
	arrivalRate := load * capacity / serviceTime
	now, refreshed := 0.0, 0.0
	var latencies []float64
	for number := range 60000 {
		now += rng.ExpFloat64() / arrivalRate
		if now-refreshed >= refreshInterval {
			refreshed = now
			for _, se := range servers {
				se.pending = slices.DeleteFunc(se.pending, func(end float64) bool { return end <= now })
				se.knownLoad = float64(len(se.pending))
			}
		}
		se := servers[choose(rng, servers, number)]
		at := slices.Index(se.slots, slices.Min(se.slots))
		begin := math.Max(now, se.slots[at])
		se.slots[at] = begin + rng.ExpFloat64()*serviceTime/se.speed
		se.pending = append(se.pending, se.slots[at])
		se.knownLoad++ // The balancer knows of its own requests at once.
		latencies = append(latencies, se.slots[at]-now)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2] * 1000, latencies[len(latencies)*99/100] * 1000
}

// TestTwoChoicesBeatRoundRobin compares the 99th percentile of the latency with that
// of round robin and of least loaded, at uniform and skewed speeds, and with fresh
// and stale loads. Only round robin must be beaten. docs/design/routing.md has the
// table.
func TestTwoChoicesBeatRoundRobin(t *testing.T) {
	is := is.New(t)
	for _, skew := range []bool{false, true} {
		for _, refreshInterval := range []float64{0.001, 0.2} {
			_, robinP99 := simulate(roundRobin, 0.8, refreshInterval, skew)
			_, leastP99 := simulate(leastLoaded, 0.8, refreshInterval, skew)
			twoP50, twoP99 := simulate(twoChoices, 0.8, refreshInterval, skew)
			t.Logf("skew %v, loads refreshed every %g s: p99 round robin %.0f ms, least loaded %.0f ms, two choices %.0f ms (p50 %.0f ms)", skew, refreshInterval, robinP99, leastP99, twoP99, twoP50)
			is.True(twoP99 < robinP99)
		}
	}
}

func TestOwnZoneIsPreferredUntilSpill(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	local := pick.Candidate{ID: "near", Zone: "a", Slots: 5, Weight: 1}
	far := pick.Candidate{ID: "far", Zone: "b", Slots: 5, Weight: 1}
	policy := pick.Policy{Zone: "a", SpillPercent: 80}
	for range 100 {
		is.Equal(pick.Choose(rng, []pick.Candidate{local, far}, policy), 0)
	}
	local.Load = 5
	spilled := 0
	for range 100 {
		spilled += pick.Choose(rng, []pick.Candidate{local, far}, policy)
	}
	is.True(spilled > 0)
	is.Equal(pick.Choose(rng, nil, policy), -1)
}

func TestWarmingUpstreamGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	counts := map[int]int{}
	loads := []float64{0, 0}
	for range 1000 {
		at := pick.Choose(rng, []pick.Candidate{{Slots: 5, Weight: 0.2, Load: loads[0]}, {Slots: 5, Weight: 1, Load: loads[1]}}, pick.Policy{})
		counts[at]++
		loads[at]++
		for i := range loads {
			loads[i] *= 0.9
		}
	}
	is.True(counts[0]*3 < counts[1])
}

func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{6, 30} {
		candidates := make([]pick.Candidate, count)
		for i := range candidates {
			candidates[i] = pick.Candidate{Slots: 5, Weight: 1, Zone: fmt.Sprint(i % 4)}
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				pick.Choose(rng, candidates, pick.Policy{Zone: "1", SpillPercent: 80})
			}
		})
	}
}
