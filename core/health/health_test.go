package health_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/health"
	"cactusstream.example/core/loadfile"
)

// scenario is one line of testdata/scenarios.json: how an upstream behaves
// while the siblings behave as the baseline says.
type scenario struct {
	Name string `json:"name"`
	// Rate is requests a second, and Slots how many run at once.
	Rate  float64 `json:"rate"`
	Slots int     `json:"slots"`
	// ErrorShare, SlowFactor and Stall are the fault; SiblingErrors and
	// SiblingSlow are what the siblings have as well.
	ErrorShare    float64 `json:"errorShare"`
	SlowFactor    float64 `json:"slowFactor"`
	Stall         bool    `json:"stall"`
	SiblingErrors float64 `json:"siblingErrors"`
	SiblingSlow   float64 `json:"siblingSlow"`
	// MaxSeconds is how soon each preset must convict; 0 means never, within
	// an hour.
	MaxSeconds map[string]float64 `json:"maxSeconds"`
}

var presets = map[string]health.Policy{
	"quillota":   {Threshold: 8, SlowFactor: 3, Base: 10 * time.Second, Max: 5 * time.Minute, TrialSuccesses: 5},
	"lavavalgus": {Threshold: 5, SlowFactor: 3, Base: 5 * time.Second, Max: 5 * time.Minute, TrialSuccesses: 5},
}

const meanLatency = 20 * time.Millisecond

// work is one request in flight in virtual time.
type work struct {
	began, ends time.Time
	slowAt      time.Time
	fails, slow bool
}

// run lets an upstream work and returns when it was convicted, if it was.
func run(sc scenario, policy health.Policy, seed uint64, limit time.Duration) (time.Duration, bool) {
	rng := rand.New(rand.NewPCG(seed, 5))
	ju := health.NewJudge(policy)
	start := time.Unix(1_000, 0)
	base := health.Baseline{Median: time.Duration(float64(meanLatency) * max(sc.SiblingSlow, 1) * 0.85), ErrorRate: sc.SiblingErrors, Siblings: 5}
	bound := ju.SlowBound(base, 200*time.Millisecond)
	var flight []work
	next := start
	for now := start; now.Sub(start) < limit; now = now.Add(time.Millisecond) {
		kept := flight[:0]
		for _, wo := range flight {
			if !wo.slowAt.After(now) {
				ju.ObserveSlow(now, base)
				wo.slow = true
				wo.slowAt = now.Add(wo.slowAt.Sub(wo.began) * 2)
			}
			if !wo.ends.After(now) {
				ju.ObserveEnd(now, base, health.Result{Failed: wo.fails, Slow: wo.slow, Idempotent: true})
				continue
			}
			kept = append(kept, wo)
		}
		flight = kept
		if ju.State(now) != health.Well {
			return now.Sub(start), true
		}
		for !next.After(now) {
			next = next.Add(time.Duration(rng.ExpFloat64() / sc.Rate * float64(time.Second)))
			if len(flight) < sc.Slots {
				flight = append(flight, newWork(sc, rng, now, bound))
			}
		}
	}
	return 0, false
}

func newWork(sc scenario, rng *rand.Rand, now time.Time, bound time.Duration) work {
	took := time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(meanLatency) * max(sc.SlowFactor, 1) * max(sc.SiblingSlow, 1))
	if sc.Stall {
		took = 30 * time.Second
	}
	return work{began: now, ends: now.Add(took), slowAt: now.Add(bound), fails: rng.Float64() < sc.ErrorShare}
}

// TestScenarios checks detection times, and that healthy, noisy and
// overloaded upstreams are never convicted in an hour of work.
func TestScenarios(t *testing.T) {
	scenarios, err := loadfile.Read[[]scenario]("testdata/scenarios.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, sc := range scenarios {
		for name, limit := range sc.MaxSeconds {
			t.Run(sc.Name+"/"+name, func(t *testing.T) {
				if limit == 0 {
					checkNever(t, sc, presets[name])
					return
				}
				checkWithin(t, sc, presets[name], time.Duration(limit*float64(time.Second)))
			})
		}
	}
}

func checkNever(t *testing.T, sc scenario, policy health.Policy) {
	t.Helper()
	for seed := range uint64(3) {
		if took, convicted := run(sc, policy, seed, time.Hour); convicted {
			t.Fatalf("seed %d: convicted after %s", seed, took)
		}
	}
}

func checkWithin(t *testing.T, sc scenario, policy health.Policy, limit time.Duration) {
	t.Helper()
	const seeds = 50
	late, total := 0, time.Duration(0)
	for seed := range uint64(seeds) {
		took, convicted := run(sc, policy, seed, 10*limit)
		if !convicted || took > limit {
			late++
		}
		total += took
	}
	t.Logf("mean %s", (total / seeds).Round(time.Millisecond))
	if late > seeds/20 { // 95 of 100 must be in time.
		t.Fatalf("%d of %d were convicted later than %s", late, seeds, limit)
	}
}

func TestShedLoadAndProbesAreNoEvidence(t *testing.T) {
	// The judge has no input for probes and refusals; a sick upstream that gets
	// no work stays sick until its time has come.
	is := is.New(t)
	ju := health.NewJudge(presets["quillota"])
	now := time.Unix(1, 0)
	for range 20 {
		ju.ObserveEnd(now, health.Baseline{}, health.Result{Failed: true})
	}
	is.Equal(ju.State(now), health.Sick)
	is.Equal(ju.State(now.Add(9*time.Second)), health.Sick)
	is.Equal(ju.State(now.Add(10*time.Second)), health.OnTrial)
}

func sicken(ju *health.Judge, now time.Time) {
	for ju.State(now) != health.Sick {
		ju.ObserveEnd(now, health.Baseline{}, health.Result{Failed: true})
	}
}

func TestReturnTakesRealWorkInARow(t *testing.T) {
	is := is.New(t)
	ju := health.NewJudge(presets["quillota"])
	now := time.Unix(1, 0)
	sicken(ju, now)
	now = now.Add(10 * time.Second)
	is.Equal(ju.State(now), health.OnTrial)
	for range 4 {
		ju.ObserveTrialArrival(now)
		ju.ObserveEnd(now, health.Baseline{}, health.Result{Idempotent: true})
	}
	is.Equal(ju.State(now), health.OnTrial) // Four of five.
	ju.ObserveEnd(now, health.Baseline{}, health.Result{Idempotent: true})
	is.Equal(ju.State(now), health.Well)
}

func TestFlappingLengthensTheStay(t *testing.T) {
	is := is.New(t)
	ju := health.NewJudge(presets["quillota"])
	now := time.Unix(1, 0)
	var stays []time.Duration
	for range 4 {
		sicken(ju, now)
		stays = append(stays, ju.RetryAt().Sub(now))
		now = ju.RetryAt()
		ju.State(now)
		for range 5 {
			ju.ObserveTrialArrival(now)
			ju.ObserveEnd(now, health.Baseline{}, health.Result{Idempotent: true})
		}
		is.Equal(ju.State(now), health.Well)
	}
	is.Equal(stays, []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second})
	now = now.Add(time.Hour) // Calm for long: it starts from the base again.
	sicken(ju, now)
	is.Equal(ju.RetryAt().Sub(now), 10*time.Second)
}

func TestServiceWithoutIdempotentWorkReturnsOnProbation(t *testing.T) {
	is := is.New(t)
	ju := health.NewJudge(presets["quillota"])
	now := time.Unix(1, 0)
	sicken(ju, now)
	now = now.Add(10 * time.Second)
	is.Equal(ju.State(now), health.OnTrial)
	is.Equal(ju.State(now.Add(10*time.Second)), health.Well)
	now = now.Add(10 * time.Second)
	failures := 0
	for ju.State(now) == health.Well {
		failures++
		ju.ObserveEnd(now, health.Baseline{}, health.Result{Failed: true})
	}
	is.True(failures <= 3) // Half the evidence stands against it already.
}
