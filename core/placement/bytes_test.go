package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/loadfile"
	"cactusstream.example/core/placement"
)

// TestByteCostCountsLargeBodiesOnly guards deployments with small bodies: zoneCost alone
// decides there.
func TestByteCostCountsLargeBodiesOnly(t *testing.T) {
	is := is.New(t)
	const perKilobyte = 25 * time.Millisecond
	is.Equal(placement.ByteCost(perKilobyte, 4096), time.Duration(0))
	is.Equal(placement.ByteCost(perKilobyte, 90_000), 2050*time.Millisecond)
	is.Equal(placement.ByteCost(0, 90_000), time.Duration(0))
}

// TestSizesFallBackToTheService checks the expected size before a kind has had an answer:
// a first download must not count as one without a body.
func TestSizesFallBackToTheService(t *testing.T) {
	is := is.New(t)
	var sizes placement.Sizes
	one, two := placement.Kind{Service: "s", Name: "one"}, placement.Kind{Service: "s", Name: "two"}
	is.Equal(sizes.Expected(one), 0.0)
	sizes.Observe(one, 80_000)
	sizes.Observe(one, 100_000)
	is.Equal(sizes.Expected(one), 90_000.0)
	is.Equal(sizes.Expected(two), 90_000.0)
	is.Equal(sizes.Expected(placement.Kind{Service: "other", Name: "one"}), 0.0)
	sizes.Observe(two, 0)
	is.Equal(sizes.Expected(two), 0.0)
	for range 200 {
		sizes.Observe(one, 1000) // A release that makes the answers smaller.
	}
	is.True(sizes.Expected(one) < 1100)
}

// TestSizesAreBounded guards against a table that grows with every name that a request
// can carry.
func TestSizesAreBounded(t *testing.T) {
	is := is.New(t)
	var sizes placement.Sizes
	const names, limit = 10_000, 4096
	for i := range names {
		sizes.Observe(placement.Kind{Service: fmt.Sprint("s", i), Name: "k"}, 1)
	}
	knownServices, knownKinds := 0, 0
	for i := range names {
		if sizes.Expected(placement.Kind{Service: fmt.Sprint("s", i), Name: "other"}) > 0 {
			knownServices++
		}
	}
	is.Equal(knownServices, limit)
	sizes = placement.Sizes{}
	for i := range names {
		sizes.Observe(placement.Kind{Service: "s", Name: fmt.Sprint("k", i)}, 2*(i%2)*1_000_000)
	}
	for i := range names { // An unknown kind gets the average of the service, between 0 and 2.
		if expected := sizes.Expected(placement.Kind{Service: "s", Name: fmt.Sprint("k", i)}); expected == 0 || expected == 2_000_000 {
			knownKinds++
		}
	}
	is.Equal(knownKinds, limit)
}

// TestRoundsAskOwnZoneFirst checks the order of the rounds, and that the own zone is asked
// twice if OwnZoneRounds says so.
func TestRoundsAskOwnZoneFirst(t *testing.T) {
	is := is.New(t)
	var candidates []placement.Candidate
	for _, zone := range []string{"a", "a", "a", "b", "b", "b"} {
		candidates = append(candidates, placement.Candidate{Zone: zone})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, tc := range []struct {
		ownZoneRounds int
		zone          string
		zones         string
	}{
		{0, "a", "[[a a] [b b]]"},
		{2, "a", "[[a a] [a] [b b]]"},
		{2, "c", "[[a a a b]]"},
	} {
		rounds := placement.Rounds(rng, candidates, placement.Policy{Zone: tc.zone, OwnZoneCount: 2, OtherZoneCount: 2, OwnZoneRounds: tc.ownZoneRounds})
		var zones [][]string
		for _, round := range rounds {
			var names []string
			for _, at := range round {
				names = append(names, candidates[at].Zone)
			}
			zones = append(zones, names)
		}
		if tc.zone == "c" {
			is.Equal(len(zones), 1)
			is.Equal(len(zones[0]), 4) // Two that make up for the own zone, and two of other zones.
			continue
		}
		is.Equal(fmt.Sprint(zones), tc.zones)
	}
}

// zoneLoad is an entry of testdata/zones.json.
type zoneLoad struct {
	Upstreams int `json:"upstreams"`
	Slots     int `json:"slots"`
	// Demand is the request rate of each zone, as a share of the capacity of all zones.
	Demand  []float64  `json:"demand"`
	Kinds   []zoneKind `json:"kinds"`
	Seconds float64    `json:"seconds"`
}

type zoneKind struct {
	Name           string  `json:"name"`
	Share          float64 `json:"share"`
	MeanMillis     float64 `json:"meanMillis"`
	TargetMillis   float64 `json:"targetMillis"`
	DeadlineMillis float64 `json:"deadlineMillis"`
	MeanBytes      float64 `json:"meanBytes"`
	MaxBytes       float64 `json:"maxBytes"`
}

type zoneResult struct {
	// crossedMB is the sum of the bodies of each kind that crossed zones, and
	// crossedEstimates the number of estimates that were asked across zones.
	crossedMB        []float64
	crossedEstimates int
	// served and onTarget are the shares of each kind's requests that completed before
	// their deadline and their target.
	served, onTarget []float64
}

// zoneSpread is the standard deviation of the logarithm of durations and sizes.
const zoneSpread = 0.6

func logNormal(rng *rand.Rand, mean float64) float64 {
	return mean * math.Exp(zoneSpread*rng.NormFloat64()-zoneSpread*zoneSpread/2)
}

// replayZones returns what crossed zones and what was served at a cost per kilobyte.
func replayZones(loa zoneLoad, perKilobyte time.Duration) zoneResult {
	rng, choices := rand.New(rand.NewPCG(3, 5)), rand.New(rand.NewPCG(7, 3))
	servers, candidates := make([]*server, loa.Upstreams), make([]placement.Candidate, loa.Upstreams)
	for i := range servers {
		servers[i] = &server{free: make([]float64, loa.Slots)}
		candidates[i].Zone = fmt.Sprint(i % len(loa.Demand))
	}
	meanSeconds, demand := 0.0, 0.0
	for _, kind := range loa.Kinds {
		meanSeconds += kind.Share * kind.MeanMillis / 1000
	}
	for _, share := range loa.Demand {
		demand += share
	}
	perSecond := demand * float64(loa.Upstreams*loa.Slots) / meanSeconds
	sizes := make([]placement.Sizes, len(loa.Demand))
	res := zoneResult{crossedMB: make([]float64, len(loa.Kinds)), served: make([]float64, len(loa.Kinds)), onTarget: make([]float64, len(loa.Kinds))}
	counts := make([]float64, len(loa.Kinds))
	for now := 0.0; now < loa.Seconds; now += rng.ExpFloat64() / perSecond {
		zone, draw := 0, rng.Float64()*demand
		for ; draw > loa.Demand[zone]; zone++ {
			draw -= loa.Demand[zone]
		}
		at, draw := 0, rng.Float64()
		for ; draw > loa.Kinds[at].Share; at++ {
			draw -= loa.Kinds[at].Share
		}
		kind := loa.Kinds[at]
		duration, bytes := logNormal(rng, kind.MeanMillis)/1000, min(logNormal(rng, kind.MeanBytes), kind.MaxBytes)
		counts[at]++
		sizeKind := placement.Kind{Service: "s", Name: kind.Name}
		policy := placement.Policy{Zone: fmt.Sprint(zone), OwnZoneCount: 2, OtherZoneCount: 2, Margin: 0.75, CrossZoneCost: 250 * time.Millisecond}
		if cost := placement.ByteCost(perKilobyte, sizes[zone].Expected(sizeKind)); cost > 0 {
			policy.ByteCost, policy.OwnZoneRounds = cost, 2
		}
		remaining := time.Duration(kind.DeadlineMillis * float64(time.Millisecond))
		var estimates []placement.Estimate
		var asked []int
		for _, round := range placement.Rounds(choices, candidates, policy) {
			if placement.IsSettled(estimates, remaining, policy) {
				break
			}
			for _, index := range round {
				wait := time.Duration(servers[index].wait(now) * float64(time.Second))
				estimates = append(estimates, placement.Estimate{Candidate: candidates[index], Wait: wait, ExpectedDuration: time.Duration(1.2 * kind.MeanMillis * float64(time.Millisecond))})
				asked = append(asked, index)
				if candidates[index].Zone != policy.Zone {
					res.crossedEstimates++
				}
			}
		}
		dec := placement.Best(estimates, remaining, policy)
		if !dec.InTime {
			continue
		}
		chosen := asked[dec.At]
		took := servers[chosen].serve(now, duration) - now
		sizes[zone].Observe(sizeKind, int(bytes))
		if candidates[chosen].Zone != policy.Zone {
			res.crossedMB[at] += bytes / 1e6
		}
		if took <= kind.DeadlineMillis/1000 {
			res.served[at]++
		}
		if took <= kind.TargetMillis/1000 {
			res.onTarget[at]++
		}
	}
	for at := range counts {
		res.served[at] /= counts[at]
		res.onTarget[at] /= counts[at]
	}
	return res
}

// TestLargeAnswersStayInTheirZone replays testdata/zones.json, services whose zones have
// unequal demand. It guards against large answers that cross zones to save a wait that is
// worth less than their bytes, and against kinds that are served less for it.
func TestLargeAnswersStayInTheirZone(t *testing.T) {
	is := is.New(t)
	loads, err := loadfile.Read[map[string]zoneLoad]("testdata/zones.json")
	is.NoErr(err)
	for name, loa := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			without, with := replayZones(loa, 0), replayZones(loa, 25*time.Millisecond)
			t.Logf("MB between zones %.1f, without a cost of bytes %.1f; estimates %d, %d; served %.3f, %.3f; on target %.3f, %.3f", with.crossedMB, without.crossedMB, with.crossedEstimates, without.crossedEstimates, with.served, without.served, with.onTarget, without.onTarget)
			download := len(loa.Kinds) - 1
			is.True(with.crossedMB[download] <= without.crossedMB[download]/3) // The goal of the design.
			workWith, workWithout := 0.0, 0.0
			for at, kind := range loa.Kinds {
				is.True(with.served[at] >= without.served[at]-0.02) // In a flood the kinds compete for the same slots.
				workWith += with.served[at] * kind.Share * kind.MeanMillis
				workWithout += without.served[at] * kind.Share * kind.MeanMillis
			}
			is.True(workWith >= 0.99*workWithout)
		})
	}
}
