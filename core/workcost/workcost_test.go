package workcost_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/workcost"
)

const ms = time.Millisecond

func newEstimator() *workcost.Estimator {
	return workcost.New(workcost.NewNodeBudget(workcost.NodesPerDaemon))
}

// observe lets requests of a class end, one in 100 ms, and returns the time after.
func observe(est *workcost.Estimator, now time.Time, class workcost.Class, took time.Duration, count int) time.Time {
	for range count {
		exp := est.Expect(now, class)
		est.Begin(now, class)
		now = now.Add(100 * ms)
		est.Observe(now, class, exp, took)
	}
	return now
}

func isNear(got, want time.Duration) bool {
	return float64(got) > 0.8*float64(want) && float64(got) < 1.25*float64(want)
}

// TestExpectationFallsBackToTheGeneral guards against classes that have no estimate, or
// one from a single sample, until they have had many requests.
func TestExpectationFallsBackToTheGeneral(t *testing.T) {
	is := is.New(t)
	est, now := newEstimator(), epoch
	is.Equal(est.Expect(now, workcost.Class{Kind: "k"}).Mean, time.Duration(0))
	small, large := workcost.Class{Kind: "k", Size: 1, Organisation: "a"}, workcost.Class{Kind: "k", Size: 5, Organisation: "a"}
	for range 40 {
		now = observe(est, now, small, 200*ms, 4)
		now = observe(est, now, large, 1000*ms, 1)
	}
	is.True(isNear(est.Expect(now, small).Mean, 200*ms))
	is.True(isNear(est.Expect(now, large).Mean, 1000*ms))
	large.Organisation = "b" // Unknown: the size class decides.
	is.True(isNear(est.Expect(now, large).Mean, 1000*ms))
	is.True(isNear(est.Expect(now, workcost.Class{Kind: "k", Size: 7}).Mean, 360*ms)) // The kind decides.
	is.True(est.Expect(now, workcost.Class{Kind: "other"}).Mean > 0)
}

// TestSlowdownAppliesToAllClasses guards against classes that are still taken to be fast
// after their upstream has turned slow, because they have had no request since.
func TestSlowdownAppliesToAllClasses(t *testing.T) {
	is := is.New(t)
	est, now := newEstimator(), epoch
	one, two := workcost.Class{Kind: "one"}, workcost.Class{Kind: "two"}
	for range 40 {
		now = observe(est, now, one, 200*ms, 1)
		now = observe(est, now, two, 600*ms, 1)
	}
	now = observe(est, now, one, 600*ms, 20)
	is.True(est.Expect(now, two).Mean > 1200*ms)
}

// TestSilenceMakesTheSlowdownUnknown: requests that are rejected because of an estimate
// don't correct it, so that it must not count after a silence, and the first sample after
// it must count in full.
func TestSilenceMakesTheSlowdownUnknown(t *testing.T) {
	is := is.New(t)
	est, now := newEstimator(), epoch
	class := workcost.Class{Kind: "k"}
	now = observe(est, now, class, 2800*ms, 40)
	is.True(est.Expect(now, class).Fresh)
	now = now.Add(6 * time.Second)
	is.True(!est.Expect(now, class).Fresh)
	now = observe(est, now, class, 20*ms, 1)
	is.True(est.Expect(now, class).Fresh)
	is.True(est.Expect(now, class).Mean < 100*ms)
}

// TestChangedClassIsLearnedAnew guards against a release that makes one class slower and
// is then averaged with a hundred samples from before.
func TestChangedClassIsLearnedAnew(t *testing.T) {
	is := is.New(t)
	est, now := newEstimator(), epoch
	changed, same := workcost.Class{Kind: "k", Size: 1}, workcost.Class{Kind: "k", Size: 5}
	for range 100 {
		now = observe(est, now, same, 300*ms, 3)
		now = observe(est, now, changed, 300*ms, 1)
	}
	for range 40 {
		now = observe(est, now, same, 300*ms, 3)
		now = observe(est, now, changed, 1200*ms, 1)
	}
	is.True(isNear(est.Expect(now, changed).Mean, 1200*ms))
	is.True(isNear(est.Expect(now, same).Mean, 300*ms))
}

// TestRejectedClassIsTriedAgain guards against a class that gets no slots for ever
// because it was slow before a release, while other classes keep the estimator fresh.
func TestRejectedClassIsTriedAgain(t *testing.T) {
	is := is.New(t)
	est, now := newEstimator(), epoch
	small, large := workcost.Class{Kind: "k", Size: 1}, workcost.Class{Kind: "k", Size: 5}
	for range 40 {
		now = observe(est, now, small, 200*ms, 4)
		now = observe(est, now, large, 3000*ms, 1)
	}
	started, lastHit := now, time.Time{}
	for est.Expect(now, large).Mean > 1500*ms || now.Sub(lastHit) < time.Second {
		exp := est.Expect(now, large)
		if exp.Mean < 1500*ms { // It is admitted, and takes 200 ms now.
			est.Begin(now, large)
			est.Observe(now.Add(200*ms), large, exp, 200*ms)
			lastHit = now
		}
		now = observe(est, now, small, 200*ms, 1)
		is.True(now.Sub(started) < time.Minute)
	}
	is.True(now.Sub(started) > 5*time.Second) // It was not doubted at once.
}

// TestRestGrowsWithAgeForHeavyTails checks the remaining time of a request that has run
// for longer than most: it belongs to the tail, and must not count as nearly finished.
func TestRestGrowsWithAgeForHeavyTails(t *testing.T) {
	is := is.New(t)
	est, now := newEstimator(), epoch
	class := workcost.Class{Kind: "k"}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		took := time.Duration((0.8 + 0.4*rng.Float64()) * float64(300*ms))
		if rng.Float64() < 0.05 {
			took *= 5
		}
		now = observe(est, now, class, took, 1)
	}
	exp := est.Expect(now, class)
	fresh, half, late := est.Rest(exp, 0), est.Rest(exp, 200*ms), est.Rest(exp, 600*ms)
	t.Logf("rest at 0, 200 and 600 ms: %s, %s, %s", fresh, half, late)
	is.True(isNear(fresh, exp.Mean))
	is.True(half < fresh)
	is.True(late > 2*fresh && late < 4*fresh) // About 900 ms of the 1500 ms are left.
	is.True(est.Rest(exp, time.Minute) >= 10*time.Second)
}

// TestMemoryIsBounded guards against an estimator that grows with the organisations, the
// routes and the shapes of paths.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	const maxBytes = 2 << 20
	measure := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := measure()
	budget := workcost.NewNodeBudget(workcost.NodesPerDaemon)
	estimators := []*workcost.Estimator{workcost.New(budget), workcost.New(budget)}
	now := epoch
	for i := range 60_000 {
		class := workcost.Class{Kind: fmt.Sprint("kind", i%3900), Organisation: fmt.Sprint("organisation", i%20_000), Size: uint8(i % 8), Shape: uint32(i)}
		observe(estimators[i%2], now, class, 100*ms, 1)
		now = now.Add(ms)
	}
	used := measure() - before
	t.Logf("%d bytes", used)
	is.True(used < maxBytes)
	is.True(estimators[0].Expect(now, workcost.Class{Kind: "unknown"}).Mean > 0)
	is.True(estimators[1].Expect(now, workcost.Class{Kind: "unknown"}).Mean > 0)
}

// TestLateEstimatorLearns guards against an upstream that is announced when others have
// used the budget up, and of which nothing can be learned then.
func TestLateEstimatorLearns(t *testing.T) {
	is := is.New(t)
	budget := workcost.NewNodeBudget(100)
	first, second := workcost.New(budget), workcost.New(budget)
	now := epoch
	for i := range 1000 {
		now = observe(first, now, workcost.Class{Kind: fmt.Sprint("kind", i)}, 100*ms, 1)
	}
	for range 20 {
		now = observe(second, now, workcost.Class{Kind: "short"}, 100*ms, 2)
		now = observe(second, now, workcost.Class{Kind: "long"}, 900*ms, 2)
	}
	is.True(isNear(second.Expect(now, workcost.Class{Kind: "short"}).Mean, 100*ms))
	is.True(isNear(second.Expect(now, workcost.Class{Kind: "long"}).Mean, 900*ms))
	first.Close() // Its part of the budget is free again.
	third := workcost.New(budget)
	for i := range 30 {
		now = observe(third, now, workcost.Class{Kind: fmt.Sprint("kind", i)}, 100*ms, 1)
	}
	is.True(third.Expect(now, workcost.Class{Kind: "kind0"}).Mean > 0)
}

func TestSizeClass(t *testing.T) {
	is := is.New(t)
	for bytes, want := range map[int]uint8{0: 0, 1: 1, 1024: 1, 1025: 2, 4096: 2, 4097: 3, 16384: 3, 64 << 20: 9} {
		is.Equal(workcost.SizeClass(bytes), want)
	}
}

// TestPathShapeIgnoresIdentifiers guards against one class for each object.
func TestPathShapeIgnoresIdentifiers(t *testing.T) {
	is := is.New(t)
	shape := func(path string) uint32 { return workcost.PathShape(path, "/orders/") }
	is.Equal(shape("/orders/17"), shape("/orders/3c0a-11"))
	is.Equal(shape("/orders/17/lines"), shape("/orders/18/lines"))
	is.True(shape("/orders/17") != shape("/orders/17/lines"))
	is.True(shape("/orders/report") != shape("/orders/17"))
	is.True(shape("/orders/") != 0)
}

// TestWaitCountsLongRequestsOnce compares Wait with its value for equal requests, and
// with the case that one slot is taken for long: the others still become free.
func TestWaitCountsLongRequestsOnce(t *testing.T) {
	is := is.New(t)
	const typical = 300 * ms
	equal := []time.Duration{typical, typical, typical, typical, typical}
	is.True(isNear(workcost.Wait(equal, 0, typical), typical/5))
	is.True(isNear(workcost.Wait(equal, 10*typical, typical), 11*typical/5))
	stuck := []time.Duration{typical, typical, typical, typical, time.Minute}
	is.True(isNear(workcost.Wait(stuck, 0, typical), typical/4))
	is.True(isNear(workcost.Wait(stuck, 10*typical, typical), 11*typical/4))
	ending := []time.Duration{10 * ms, typical, typical, typical, typical}
	is.True(workcost.Wait(ending, 0, typical) < 30*ms)
	is.Equal(workcost.Wait(nil, 0, typical), time.Duration(0))
}
