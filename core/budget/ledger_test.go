package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactusstream.example/core/budget"
	"cactusstream.example/core/loadfile"
)

// afterTrial is a retry to which no reserve for trial requests or urgent ranks applies.
var afterTrial = budget.Retry{AfterTrial: true}

// arrival is an attempt that reached an upstream.
type arrival struct {
	at    time.Time
	retry bool
}

// referenceLeft computes the retries left from a list of all arrivals, as the
// reference for Ledger.
func referenceLeft(arrivals []arrival, now time.Time, policy budget.Policy, upstreams int) int {
	firstAttempts, retries := 0, 0
	for _, arr := range arrivals {
		if now.Sub(arr.at) >= policy.Window {
			continue
		}
		if arr.retry {
			retries++
		} else {
			firstAttempts++
		}
	}
	return int(float64(policy.Percent*firstAttempts)/100+policy.Slack/float64(upstreams)) - retries
}

// TestLedgerNeverExceedsReferenceCount checks with random arrivals that Ledger
// admits no retry that an exact count of all arrivals would reject.
func TestLedgerNeverExceedsReferenceCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := budget.Policy{Window: 10 * time.Second, Percent: 20, Slack: float64(rapid.IntRange(0, 20).Draw(rt, "slack")), Upstreams: 3}
		led := &budget.Ledger{}
		now := time.Unix(1000, 0)
		var arrivals []arrival
		for range rapid.IntRange(0, 200).Draw(rt, "count") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "retry") {
				if !led.Admit(now, policy, afterTrial) {
					continue
				}
				if referenceLeft(arrivals, now, policy, 3) < 1 {
					rt.Fatalf("retry at %v exceeds the budget", now)
				}
				arrivals = append(arrivals, arrival{now, true})
				continue
			}
			led.CountFirst(now, policy)
			arrivals = append(arrivals, arrival{now, false})
		}
	})
}

// TestLedgerDropsExpiredRetries checks that a retry counts for one window, and that
// a released one doesn't count.
func TestLedgerDropsExpiredRetries(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 2}
	led := &budget.Ledger{}
	now := time.Unix(1000, 0)
	is.True(led.Admit(now, policy, afterTrial))
	is.True(led.Admit(now, policy, afterTrial))
	is.True(!led.Admit(now.Add(9*time.Second), policy, afterTrial))
	is.Equal(led.Left(now.Add(11*time.Second), policy), 2)
	is.True(led.Admit(now.Add(11*time.Second), policy, afterTrial))
	led.Release(now.Add(11*time.Second), policy)
	is.Equal(led.Left(now.Add(12*time.Second), policy), 2)
}

// TestLedgerSlackAfterPartition guards against exceeding the budget after a network
// partition. While the fleet is partitioned, an upstream sees fewer upstreams; its part
// of the slack must grow only after a full window without the others, so that it is not
// used on top of theirs.
func TestLedgerSlackAfterPartition(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 12}
	led := &budget.Ledger{}
	now := time.Unix(1000, 0)
	left := func(after time.Duration, upstreams int) int {
		policy.Upstreams = upstreams
		return led.Left(now.Add(after), policy)
	}
	is.Equal(left(0, 6), 2)
	is.Equal(left(time.Second, 3), 2) // The others were seen within the window.
	is.Equal(left(20*time.Second, 3), 4)
}

// burstLoad is a load pattern of testdata/failureBursts.json: many daemons send
// retryable requests to upstreams that are in a failure burst.
type burstLoad struct {
	Upstreams     int     `json:"upstreams"`
	Daemons       int     `json:"daemons"`
	PerSecond     float64 `json:"perSecond"`
	Seconds       float64 `json:"seconds"`
	FailPercent   int     `json:"failPercent"`
	RatioPercent  int     `json:"ratioPercent"`
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"windowSeconds"`
}

// replayBursts sends requests whose first attempts partly fail. It returns the share
// of failed requests that were retried, and by how many retries the worst window
// exceeded the budget.
func replayBursts(load burstLoad, retry func(now time.Time, daemon, upstream int) bool, firstAttempt func(now time.Time, daemon, upstream int)) (retried float64, over float64) {
	rng := rand.New(rand.NewPCG(7, 11))
	window := time.Duration(load.WindowSeconds * float64(time.Second))
	now, end := time.Unix(1000, 0), time.Unix(1000, 0).Add(time.Duration(load.Seconds*float64(time.Second)))
	var arrivals []arrival
	failed, retries := 0, 0
	for now.Before(end) {
		now = now.Add(time.Duration(rng.ExpFloat64() / load.PerSecond * float64(time.Second)))
		daemon, upstream := rng.IntN(load.Daemons), rng.IntN(load.Upstreams)
		firstAttempt(now, daemon, upstream)
		arrivals = append(arrivals, arrival{now, false})
		if rng.IntN(100) >= load.FailPercent {
			continue
		}
		failed++
		if retry(now, daemon, (upstream+1)%load.Upstreams) {
			retries++
			arrivals = append(arrivals, arrival{now, true})
		}
		policy := budget.Policy{Window: window, Percent: load.RatioPercent, Slack: load.Slack}
		over = max(over, -float64(referenceLeft(arrivals, now, policy, 1)))
	}
	return float64(retries) / float64(failed), over
}

// TestRetriesDuringFailureBursts replays testdata/failureBursts.json with a Budget
// for each daemon and with a Ledger for each upstream. The ledgers must retry at
// least as many failed requests and never exceed the budget.
func TestRetriesDuringFailureBursts(t *testing.T) {
	is := is.New(t)
	loads, err := loadfile.Read[map[string]burstLoad]("testdata/failureBursts.json")
	is.NoErr(err)
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			buckets := make([]budget.Budget, load.Daemons)
			perMinute := load.Slack * 60 / load.WindowSeconds / float64(load.Daemons)
			byDaemon, byDaemonOver := replayBursts(load,
				func(_ time.Time, daemon, _ int) bool { return buckets[daemon].Withdraw() },
				func(now time.Time, daemon, _ int) {
					buckets[daemon].Deposit(load.RatioPercent)
					buckets[daemon].Refill(now, perMinute)
				})
			policy := budget.Policy{Window: time.Duration(load.WindowSeconds * float64(time.Second)), Percent: load.RatioPercent, Slack: load.Slack, Upstreams: load.Upstreams}
			ledgers := make([]budget.Ledger, load.Upstreams)
			byUpstream, byUpstreamOver := replayBursts(load,
				func(now time.Time, _, upstream int) bool {
					return ledgers[upstream].Admit(now, policy, afterTrial)
				},
				func(now time.Time, _, upstream int) { ledgers[upstream].CountFirst(now, policy) })
			t.Logf("share of failed requests retried: upstream ledgers %.3f, daemon budgets %.3f; retries over the budget in the worst window: %.0f and %.0f", byUpstream, byDaemon, byUpstreamOver, byDaemonOver)
			is.True(byUpstream >= byDaemon)
			is.Equal(byUpstreamOver, 0.0)
		})
	}
}

// TestTrialRetriesAreReserved guards against retries of ordinary requests using up
// the budget while all upstreams reject a part of their requests. Without a reserve
// no trial requests are sent, and the end of a failure burst goes undetected.
func TestTrialRetriesAreReserved(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 6}
	led := &budget.Ledger{}
	now := time.Unix(1000, 0)
	for range 4 {
		is.True(led.Admit(now, policy, budget.Retry{}))
	}
	is.True(!led.Admit(now, policy, budget.Retry{}))
	is.True(led.Admit(now, policy, afterTrial)) // After a trial request.
}

// TestUrgentRetriesAreReserved guards against frequent requests of a less urgent rank
// using up the retries of a more urgent one while upstreams reject a part of all
// requests. If urgent requests need no retries, the others get all of them.
func TestUrgentRetriesAreReserved(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Percent: 20, Slack: 2}
	now := time.Unix(1000, 0)
	retries := func(urgentEvery int) (urgent, other int) {
		led := &budget.Ledger{}
		for range 100 {
			led.CountFirst(now, policy)
		}
		for i := range 100 {
			if i%urgentEvery == 0 && led.Admit(now, policy, budget.Retry{Rank: 0}) {
				urgent++
			}
			if led.Admit(now, policy, budget.Retry{Rank: 1}) {
				other++
			}
		}
		return urgent, other
	}
	urgent, other := retries(1000)
	is.Equal(urgent, 1)
	is.Equal(other, 18) // Of 22, the urgent rank used one; one more is reserved for it and two for trial requests.
	urgent, other = retries(2)
	is.True(urgent >= other) // Although the urgent rank requests half as many.
}

// TestLateReleaseDoesNotReleaseAnotherRetry releases a retry after most of a window,
// as after a long wait in a queue. Once its bucket is reused for a later time, the
// release must not remove a retry counted there.
func TestLateReleaseDoesNotReleaseAnotherRetry(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 2}
	led := &budget.Ledger{}
	admittedAt := time.Unix(1000, 0)
	is.True(led.Admit(admittedAt, policy, afterTrial))
	is.Equal(led.Left(admittedAt.Add(8*time.Second), policy), 1)
	led.Release(admittedAt, policy)
	is.Equal(led.Left(admittedAt.Add(8*time.Second), policy), 2)
	is.Equal(led.Left(admittedAt.Add(12*time.Second), policy), 2)
	later := admittedAt.Add(10500 * time.Millisecond) // The same bucket, one window later.
	is.True(led.Admit(later, policy, afterTrial))
	led.Release(admittedAt, policy) // The bucket was reset, so nothing is released.
	is.Equal(led.Left(later, policy), 1)
}
