package gray_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/gray"
)

func policy() gray.Policy {
	return gray.Policy{DoubtPercent: 35, Bout: 8 * time.Second, Calm: 20 * time.Second}
}

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestOneFastFailureIsEnoughForDoubt(t *testing.T) {
	is := is.New(t)
	fil := gray.NewFilter(policy())
	for i := range 20 {
		fil.Observe(at(float64(i)*0.2), at(float64(i)*0.2-0.1), gray.Done)
	}
	is.True(!fil.IsDoubtful(at(4)))
	fil.Observe(at(4.1), at(4.1), gray.FailedFast)
	is.True(fil.IsDoubtful(at(4.1)))
}

func TestLateFailuresOfCalmUpstreamsCauseNoDoubt(t *testing.T) {
	is := is.New(t)
	fil := gray.NewFilter(policy())
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		now := at(float64(i) * 0.2)
		evidence := gray.Done
		if rng.Float64() < 0.012 {
			evidence = gray.FailedLate
		}
		fil.Observe(now, now.Add(-100*time.Millisecond), evidence)
		is.True(!fil.IsDoubtful(now))
	}
}

func TestWorkFromBeforeTheFailureProvesNothing(t *testing.T) {
	is := is.New(t)
	fil := gray.NewFilter(policy())
	fil.Observe(at(1), at(1), gray.FailedFast)
	for i := range 10 {
		fil.Observe(at(1.1+float64(i)/100), at(0.5), gray.Done)
	}
	is.True(fil.IsDoubtful(at(1.3)))
}

func TestDoubtEndsByProofAndNotByTimeAlone(t *testing.T) {
	is := is.New(t)
	fil := gray.NewFilter(policy())
	fil.Observe(at(1), at(1), gray.FailedFast)
	is.True(fil.IsDoubtful(at(10))) // The estimate has faded, but nothing ended well.
	fil.Observe(at(10.2), at(10), gray.Done)
	is.True(!fil.IsDoubtful(at(10.2)))
}

func TestDoubtWithoutAnyWorkEndsAfterSomeBouts(t *testing.T) {
	is := is.New(t)
	fil := gray.NewFilter(policy())
	fil.Observe(at(1), at(1), gray.FailedFast)
	is.True(fil.IsDoubtful(at(16)))
	is.True(!fil.IsDoubtful(at(60)))
}

func TestTrialsAreSpaced(t *testing.T) {
	is := is.New(t)
	fil := gray.NewFilter(policy())
	trials := 0
	for i := range 800 { // Eight seconds of a bout, looked at every 10 ms.
		now := at(float64(i) / 100)
		if i == 0 {
			fil.Observe(now, now, gray.FailedFast)
		}
		if fil.IsDoubtful(now) && fil.IsTrialDue(now) {
			fil.BeginTrial(now)
			fil.Observe(now, now, gray.FailedFast)
			trials++
		}
	}
	is.True(trials >= 8)  // At least one a second.
	is.True(trials <= 20) // Each costs a repeat.
}

func TestSwitchedOffItNeverDoubts(t *testing.T) {
	is := is.New(t)
	fil := gray.NewFilter(gray.Policy{Bout: 8 * time.Second, Calm: 20 * time.Second})
	for range 50 {
		fil.Observe(at(1), at(1), gray.FailedFast)
	}
	is.True(!fil.IsDoubtful(at(1)))
}

// countingJudge is the naive rule: it convicts after some failures in a row and
// holds the upstream off for a fixed time.
type countingJudge struct {
	failures int
	until    time.Time
}

func (co *countingJudge) observe(now time.Time, failed bool) {
	if !failed {
		co.failures = 0
		return
	}
	if co.failures++; co.failures >= 5 {
		co.until = now.Add(10 * time.Second)
		co.failures = 0
	}
}

// TestBoutsOfFastFailures replays the load of docs/design/gray.md: an upstream
// with bouts of 8 s in which it fails nine of ten requests at once, and between
// them calm of 20 s. Half of the work may run once only. Lost is work of that
// kind that failed; idle is calm time in which it was kept away.
func TestBoutsOfFastFailures(t *testing.T) {
	is := is.New(t)
	type result struct{ lost, keptAway int }
	replay := func(allows func(now time.Time, once bool) bool, observe func(now time.Time, failed bool)) result {
		var res result
		rng := rand.New(rand.NewPCG(7, 7))
		for i := range 20_000 { // Ten requests a second.
			now := at(float64(i) / 10)
			inBout := i%280 >= 200
			once := i%2 == 0
			if !allows(now, once) {
				if once && !inBout {
					res.keptAway++
				}
				continue
			}
			failed := inBout && rng.Float64() < 0.9
			if failed && once {
				res.lost++
			}
			observe(now, failed)
		}
		return res
	}
	fil := gray.NewFilter(policy())
	ours := replay(func(now time.Time, once bool) bool {
		if !fil.IsDoubtful(now) {
			return true
		}
		if once || !fil.IsTrialDue(now) {
			return false
		}
		fil.BeginTrial(now)
		return true
	}, func(now time.Time, failed bool) {
		evidence := gray.Done
		if failed {
			evidence = gray.FailedFast
		}
		fil.Observe(now, now, evidence)
	})
	counting := &countingJudge{}
	naive := replay(func(now time.Time, _ bool) bool { return now.After(counting.until) }, counting.observe)
	t.Logf("lost: ours %d, counting %d; kept away while calm: ours %d, counting %d", ours.lost, naive.lost, ours.keptAway, naive.keptAway)
	is.True(ours.lost*2 <= naive.lost)         // Half at most.
	is.True(ours.keptAway*2 <= naive.keptAway) // And half of the capacity wasted.
}
