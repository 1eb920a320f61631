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

// server is one endpoint in virtual time: first come, first served.
type server struct {
	slots []float64 // When each slot is free.
	speed float64
	// Known is what choosers know of its load, refreshed with a delay.
	known   float64
	pending []float64 // When each of its requests ends.
}

type strategy func(rng *rand.Rand, servers []*server, turn int) int

func roundRobin(_ *rand.Rand, servers []*server, turn int) int { return turn % len(servers) }

func leastLoaded(_ *rand.Rand, servers []*server, _ int) int {
	best := 0
	for i, se := range servers {
		if se.known < servers[best].known {
			best = i
		}
	}
	return best
}

func twoChoices(rng *rand.Rand, servers []*server, _ int) int {
	candidates := make([]pick.Candidate, 0, len(servers))
	for _, se := range servers {
		candidates = append(candidates, pick.Candidate{Slots: len(se.slots), Load: se.known, Weight: 1})
	}
	return pick.Choose(rng, candidates, pick.Policy{})
}

// simulate returns the waits of requests at a load; stale is the age of what
// choosers know, in seconds.
func simulate(choose strategy, load, stale float64, skew bool) (p50, p99 float64) {
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
	const service = 0.02
	rate := load * capacity / service
	now, refreshed := 0.0, 0.0
	var waits []float64
	for turn := range 60000 {
		now += rng.ExpFloat64() / rate
		if now-refreshed >= stale {
			refreshed = now
			for _, se := range servers {
				se.pending = slices.DeleteFunc(se.pending, func(end float64) bool { return end <= now })
				se.known = float64(len(se.pending))
			}
		}
		se := servers[choose(rng, servers, turn)]
		at := slices.Index(se.slots, slices.Min(se.slots))
		begin := math.Max(now, se.slots[at])
		se.slots[at] = begin + rng.ExpFloat64()*service/se.speed
		se.pending = append(se.pending, se.slots[at])
		se.known++ // A chooser knows its own requests at once.
		waits = append(waits, se.slots[at]-now)
	}
	slices.Sort(waits)
	return waits[len(waits)/2] * 1000, waits[len(waits)*99/100] * 1000
}

// TestTwoChoicesBeatRoundRobin compares in one run; the table is in
// docs/design/routing.md.
func TestTwoChoicesBeatRoundRobin(t *testing.T) {
	is := is.New(t)
	for _, skew := range []bool{false, true} {
		for _, stale := range []float64{0.001, 0.2} {
			_, robin := simulate(roundRobin, 0.8, stale, skew)
			_, least := simulate(leastLoaded, 0.8, stale, skew)
			half, two := simulate(twoChoices, 0.8, stale, skew)
			t.Logf("skew %v, stale %gs: p99 round robin %.0f ms, least loaded %.0f ms, two choices %.0f ms (p50 %.0f ms)", skew, stale, robin, least, two, half)
			is.True(two < robin)
		}
	}
}

func TestOwnZoneFirstThenSpill(t *testing.T) {
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

func TestWarmingUpstreamGetsLess(t *testing.T) {
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
