package health_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/health"
	"cactusstream.example/core/loadfile"
)

// scenario is an entry of testdata/scenarios.json: the behaviour of an upstream and
// of its siblings.
type scenario struct {
	Name string `json:"name"`
	// Rate is in requests per second; Slots is the limit of concurrent requests.
	Rate  float64 `json:"rate"`
	Slots int     `json:"slots"`
	// ErrorShare, SlowFactor and Stall are the fault of the upstream;
	// SiblingErrors and SiblingSlow are the error rate and the slowdown of the
	// siblings.
	ErrorShare    float64 `json:"errorShare"`
	SlowFactor    float64 `json:"slowFactor"`
	Stall         bool    `json:"stall"`
	SiblingErrors float64 `json:"siblingErrors"`
	SiblingSlow   float64 `json:"siblingSlow"`
	// MaxSeconds is the limit for the detection time by preset; 0 means that the
	// upstream must stay healthy for an hour.
	MaxSeconds map[string]float64 `json:"maxSeconds"`
}

var presets = map[string]health.Policy{
	"quillota":   {Threshold: 8, SlowFactor: 3, EjectBase: 10 * time.Second, EjectMax: 5 * time.Minute, TrialSuccesses: 5},
	"lavavalgus": {Threshold: 5, SlowFactor: 3, EjectBase: 5 * time.Second, EjectMax: 5 * time.Minute, TrialSuccesses: 5},
}

const meanLatency = 20 * time.Millisecond

// request is a request in flight in virtual time.
type request struct {
	started, ends time.Time
	slowAt        time.Time
	fails, slow   bool
}

// run simulates an upstream and returns when it left the healthy state, if it did. The
// median latency of the siblings is 0.85 times the mean, as in the distribution that
// newRequest draws from.
func run(sc scenario, policy health.Policy, seed uint64, limit time.Duration) (time.Duration, bool) {
	rng := rand.New(rand.NewPCG(seed, 5))
	de := health.NewDetector(policy)
	start := time.Unix(1_000, 0)
	base := health.Baseline{Median: time.Duration(float64(meanLatency) * max(sc.SiblingSlow, 1) * 0.85), ErrorRate: sc.SiblingErrors, Siblings: 5}
	slowLimit := de.SlowThreshold(base, 200*time.Millisecond)
	var inFlight []request
	next := start
	for now := start; now.Sub(start) < limit; now = now.Add(time.Millisecond) {
		remaining := inFlight[:0]
		for _, re := range inFlight {
			if !re.slowAt.After(now) {
				de.ObserveSlow(now, base)
				re.slow = true
				re.slowAt = now.Add(re.slowAt.Sub(re.started) * 2) // Again at three times the age, as in the gate.
			}
			if !re.ends.After(now) {
				de.ObserveEnd(now, base, health.Result{Failed: re.fails, Slow: re.slow, Idempotent: true})
				continue
			}
			remaining = append(remaining, re)
		}
		inFlight = remaining
		if de.State(now) != health.Healthy {
			return now.Sub(start), true
		}
		for !next.After(now) {
			next = next.Add(time.Duration(rng.ExpFloat64() / sc.Rate * float64(time.Second)))
			if len(inFlight) < sc.Slots {
				inFlight = append(inFlight, newRequest(sc, rng, now, slowLimit))
			}
		}
	}
	return 0, false
}

func newRequest(sc scenario, rng *rand.Rand, now time.Time, slowLimit time.Duration) request {
	took := time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(meanLatency) * max(sc.SlowFactor, 1) * max(sc.SiblingSlow, 1))
	if sc.Stall {
		took = 30 * time.Second
	}
	return request{started: now, ends: now.Add(took), slowAt: now.Add(slowLimit), fails: rng.Float64() < sc.ErrorShare}
}

// TestScenarios checks the detection times, and that an upstream that is healthy, or
// as noisy, slow or faulty as its siblings, stays healthy for an hour of requests.
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
		if took, detected := run(sc, policy, seed, time.Hour); detected {
			t.Fatalf("seed %d: marked unhealthy after %s", seed, took)
		}
	}
}

func checkWithin(t *testing.T, sc scenario, policy health.Policy, limit time.Duration) {
	t.Helper()
	const seeds = 50
	late, total := 0, time.Duration(0)
	for seed := range uint64(seeds) {
		took, detected := run(sc, policy, seed, 10*limit)
		if !detected || took > limit {
			late++
		}
		total += took
	}
	t.Logf("mean detection time %s", (total / seeds).Round(time.Millisecond))
	if late > seeds/20 { // 95 % must be detected in time.
		t.Fatalf("%d of %d seeds were detected late or not at all, limit %s", late, seeds, limit)
	}
}

func TestUnhealthyWithoutRequestsUntilRetry(t *testing.T) {
	// The detector observes neither probes nor rejected requests, so an unhealthy
	// upstream without requests stays unhealthy until its ejection expires.
	is := is.New(t)
	de := health.NewDetector(presets["quillota"])
	now := time.Unix(1, 0)
	for range 20 {
		de.ObserveEnd(now, health.Baseline{}, health.Result{Failed: true})
	}
	is.Equal(de.State(now), health.Unhealthy)
	is.Equal(de.State(now.Add(9*time.Second)), health.Unhealthy)
	is.Equal(de.State(now.Add(10*time.Second)), health.OnTrial)
}

func makeUnhealthy(de *health.Detector, now time.Time) {
	for de.State(now) != health.Unhealthy {
		de.ObserveEnd(now, health.Baseline{}, health.Result{Failed: true})
	}
}

func TestRecoveryTakesConsecutiveSuccesses(t *testing.T) {
	is := is.New(t)
	de := health.NewDetector(presets["quillota"])
	now := time.Unix(1, 0)
	makeUnhealthy(de, now)
	now = now.Add(10 * time.Second)
	is.Equal(de.State(now), health.OnTrial)
	for range 4 {
		de.ObserveTrialArrival(now)
		de.ObserveEnd(now, health.Baseline{}, health.Result{Idempotent: true})
	}
	is.Equal(de.State(now), health.OnTrial) // Four of five.
	de.ObserveEnd(now, health.Baseline{}, health.Result{Idempotent: true})
	is.Equal(de.State(now), health.Healthy)
}

func TestFlappingLengthensEjection(t *testing.T) {
	is := is.New(t)
	de := health.NewDetector(presets["quillota"])
	now := time.Unix(1, 0)
	var ejections []time.Duration
	for range 4 {
		makeUnhealthy(de, now)
		ejections = append(ejections, de.RetryAt().Sub(now))
		now = de.RetryAt()
		de.State(now)
		for range 5 {
			de.ObserveTrialArrival(now)
			de.ObserveEnd(now, health.Baseline{}, health.Result{Idempotent: true})
		}
		is.Equal(de.State(now), health.Healthy)
	}
	is.Equal(ejections, []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second})
	now = now.Add(time.Hour) // Healthy for long: the ejection starts from the base again.
	makeUnhealthy(de, now)
	is.Equal(de.RetryAt().Sub(now), 10*time.Second)
}

func TestTrialWithoutIdempotentRequestsEndsAtHalfThreshold(t *testing.T) {
	is := is.New(t)
	de := health.NewDetector(presets["quillota"])
	now := time.Unix(1, 0)
	makeUnhealthy(de, now)
	now = now.Add(10 * time.Second)
	is.Equal(de.State(now), health.OnTrial)
	is.Equal(de.State(now.Add(10*time.Second)), health.Healthy)
	now = now.Add(10 * time.Second)
	failures := 0
	for de.State(now) == health.Healthy {
		failures++
		de.ObserveEnd(now, health.Baseline{}, health.Result{Failed: true})
	}
	is.True(failures <= 3) // The error score starts at half the threshold.
}
