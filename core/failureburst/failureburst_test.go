package failureburst_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/failureburst"
)

func policy() failureburst.Policy {
	return failureburst.Policy{SuspicionPercent: 35, BurstLength: 8 * time.Second, CalmLength: 20 * time.Second}
}

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestOneFastFailureCausesSuspicion(t *testing.T) {
	is := is.New(t)
	fil := failureburst.NewFilter(policy())
	for i := range 20 {
		fil.Observe(at(float64(i)*0.2), at(float64(i)*0.2-0.1), failureburst.Succeeded)
	}
	is.True(!fil.IsSuspected(at(4)))
	fil.Observe(at(4.1), at(4.1), failureburst.FailedFast)
	is.True(fil.IsSuspected(at(4.1)))
}

func TestLateFailuresOfCalmUpstreamCauseNoSuspicion(t *testing.T) {
	is := is.New(t)
	fil := failureburst.NewFilter(policy())
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		now := at(float64(i) * 0.2)
		evidence := failureburst.Succeeded
		if rng.Float64() < 0.012 {
			evidence = failureburst.FailedLate
		}
		fil.Observe(now, now.Add(-100*time.Millisecond), evidence)
		is.True(!fil.IsSuspected(now))
	}
}

func TestSuccessOfRequestStartedBeforeFailureIsIgnored(t *testing.T) {
	is := is.New(t)
	fil := failureburst.NewFilter(policy())
	fil.Observe(at(1), at(1), failureburst.FailedFast)
	for i := range 10 {
		fil.Observe(at(1.1+float64(i)/100), at(0.5), failureburst.Succeeded)
	}
	is.True(fil.IsSuspected(at(1.3)))
}

func TestSuspicionEndsBySuccessNotByLowEstimate(t *testing.T) {
	is := is.New(t)
	fil := failureburst.NewFilter(policy())
	fil.Observe(at(1), at(1), failureburst.FailedFast)
	is.True(fil.IsSuspected(at(10))) // The estimate has decayed, but no request has succeeded.
	fil.Observe(at(10.2), at(10), failureburst.Succeeded)
	is.True(!fil.IsSuspected(at(10.2)))
}

func TestSuspicionWithoutRequestsExpires(t *testing.T) {
	is := is.New(t)
	fil := failureburst.NewFilter(policy())
	fil.Observe(at(1), at(1), failureburst.FailedFast)
	is.True(fil.IsSuspected(at(16)))
	is.True(!fil.IsSuspected(at(60)))
}

func TestTrialRequestsAreRateLimited(t *testing.T) {
	is := is.New(t)
	fil := failureburst.NewFilter(policy())
	trials := 0
	for i := range 800 { // A burst of 8 s, checked every 10 ms.
		now := at(float64(i) / 100)
		if i == 0 {
			fil.Observe(now, now, failureburst.FailedFast)
		}
		if fil.IsSuspected(now) && fil.IsTrialDue(now) {
			fil.BeginTrial(now)
			fil.Observe(now, now, failureburst.FailedFast)
			trials++
		}
	}
	is.True(trials >= 8)  // At least one per second.
	is.True(trials <= 20) // Each costs a retry.
}

func TestZeroPercentDisablesDetection(t *testing.T) {
	is := is.New(t)
	fil := failureburst.NewFilter(failureburst.Policy{BurstLength: 8 * time.Second, CalmLength: 20 * time.Second})
	for range 50 {
		fil.Observe(at(1), at(1), failureburst.FailedFast)
	}
	is.True(!fil.IsSuspected(at(1)))
}

// consecutiveFailures is the baseline detector: it ejects the upstream for a fixed
// time after five failures in a row.
type consecutiveFailures struct {
	failures     int
	ejectedUntil time.Time
}

func (co *consecutiveFailures) observe(now time.Time, failed bool) {
	if !failed {
		co.failures = 0
		return
	}
	if co.failures++; co.failures >= 5 {
		co.ejectedUntil = now.Add(10 * time.Second)
		co.failures = 0
	}
}

// TestDetectionOfFailureBursts replays the load of docs/design/failure-bursts.md:
// bursts of 8 s, in which nine of ten requests fail at once, with 20 s of calm
// between them. Half of the requests are not idempotent. It guards against losing
// more than half as many of those as a detector that counts consecutive failures, and
// against keeping more than half as many away from the upstream while it is calm.
func TestDetectionOfFailureBursts(t *testing.T) {
	is := is.New(t)
	type result struct{ lost, rejectedInCalm int }
	replay := func(allows func(now time.Time, nonIdempotent bool) bool, observe func(now time.Time, failed bool)) result {
		var res result
		rng := rand.New(rand.NewPCG(7, 7))
		for i := range 20_000 { // Ten requests per second.
			now := at(float64(i) / 10)
			inBurst := i%280 >= 200
			nonIdempotent := i%2 == 0
			if !allows(now, nonIdempotent) {
				if nonIdempotent && !inBurst {
					res.rejectedInCalm++
				}
				continue
			}
			failed := inBurst && rng.Float64() < 0.9
			if failed && nonIdempotent {
				res.lost++
			}
			observe(now, failed)
		}
		return res
	}
	fil := failureburst.NewFilter(policy())
	filterResult := replay(func(now time.Time, nonIdempotent bool) bool {
		if !fil.IsSuspected(now) {
			return true
		}
		if nonIdempotent || !fil.IsTrialDue(now) {
			return false
		}
		fil.BeginTrial(now)
		return true
	}, func(now time.Time, failed bool) {
		evidence := failureburst.Succeeded
		if failed {
			evidence = failureburst.FailedFast
		}
		fil.Observe(now, now, evidence)
	})
	baseline := &consecutiveFailures{}
	baselineResult := replay(func(now time.Time, _ bool) bool { return now.After(baseline.ejectedUntil) }, baseline.observe)
	t.Logf("non-idempotent requests lost: filter %d, failure counter %d; rejected while calm: filter %d, failure counter %d", filterResult.lost, baselineResult.lost, filterResult.rejectedInCalm, baselineResult.rejectedInCalm)
	is.True(filterResult.lost*2 <= baselineResult.lost)                     // At most half of the losses.
	is.True(filterResult.rejectedInCalm*2 <= baselineResult.rejectedInCalm) // At most half of the rejections while calm.
}
