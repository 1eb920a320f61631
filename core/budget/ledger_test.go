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

// afterTrial is a repeat for which nothing is kept back.
var afterTrial = budget.Repeat{AfterTrial: true}

// arrival is one attempt that reached an upstream.
type arrival struct {
	at     time.Time
	repeat bool
}

// naiveLeft counts all arrivals of the last window.
func naiveLeft(arrivals []arrival, now time.Time, policy budget.Policy, peers int) int {
	firsts, repeats := 0, 0
	for _, arr := range arrivals {
		if now.Sub(arr.at) >= policy.Window {
			continue
		}
		if arr.repeat {
			repeats++
		} else {
			firsts++
		}
	}
	return int(float64(policy.Percent*firsts)/100+policy.Slack/float64(peers)) - repeats
}

// TestLedgerGivesNoMoreThanTheNaiveCount draws arrivals: whatever the Ledger
// gives, a count of every arrival would give too.
func TestLedgerGivesNoMoreThanTheNaiveCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := budget.Policy{Window: 10 * time.Second, Percent: 20, Slack: float64(rapid.IntRange(0, 20).Draw(rt, "slack")), Peers: 3}
		led := &budget.Ledger{}
		now := time.Unix(1000, 0)
		var arrivals []arrival
		for range rapid.IntRange(0, 200).Draw(rt, "count") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "repeat") {
				if !led.Take(now, policy, afterTrial) {
					continue
				}
				if naiveLeft(arrivals, now, policy, 3) < 1 {
					rt.Fatalf("a repeat at %v is over the budget", now)
				}
				arrivals = append(arrivals, arrival{now, true})
				continue
			}
			led.First(now, policy)
			arrivals = append(arrivals, arrival{now, false})
		}
	})
}

func TestLedgerForgetsAfterItsWindow(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 2}
	led := &budget.Ledger{}
	now := time.Unix(1000, 0)
	is.True(led.Take(now, policy, afterTrial))
	is.True(led.Take(now, policy, afterTrial))
	is.True(!led.Take(now.Add(9*time.Second), policy, afterTrial))
	is.Equal(led.Left(now.Add(11*time.Second), policy), 2)
	is.True(led.Take(now.Add(11*time.Second), policy, afterTrial))
	led.GiveBack(now.Add(11*time.Second), policy)
	is.Equal(led.Left(now.Add(12*time.Second), policy), 2)
}

// TestLedgerKeepsItsPartWhilePeersComeBack cuts a fleet in two and joins it: a
// part that was worked out with few peers must not be spent on top of others.
func TestLedgerKeepsItsPartWhilePeersComeBack(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 12}
	led := &budget.Ledger{}
	now := time.Unix(1000, 0)
	left := func(after time.Duration, peers int) int {
		policy.Peers = peers
		return led.Left(now.Add(after), policy)
	}
	is.Equal(left(0, 6), 2)
	is.Equal(left(time.Second, 3), 2) // The others were seen within the window.
	is.Equal(left(20*time.Second, 3), 4)
}

// boutLoad is testdata/bouts.json: upstreams that fail for a while, and work that
// may be repeated from many daemons.
type boutLoad struct {
	Upstreams     int     `json:"upstreams"`
	Daemons       int     `json:"daemons"`
	PerSecond     float64 `json:"perSecond"`
	Seconds       float64 `json:"seconds"`
	FailPercent   int     `json:"failPercent"`
	RatioPercent  int     `json:"ratioPercent"`
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"windowSeconds"`
}

// replayBouts sends requests of which a share fails at first, and returns the
// share that was repeated and the most repeats over the budget in any window.
func replayBouts(loa boutLoad, repeat func(now time.Time, daemon, upstream int) bool, first func(now time.Time, daemon, upstream int)) (repeated float64, over float64) {
	rng := rand.New(rand.NewPCG(7, 11))
	window := time.Duration(loa.WindowSeconds * float64(time.Second))
	now, end := time.Unix(1000, 0), time.Unix(1000, 0).Add(time.Duration(loa.Seconds*float64(time.Second)))
	var arrivals []arrival
	failed, saved := 0, 0
	for now.Before(end) {
		now = now.Add(time.Duration(rng.ExpFloat64() / loa.PerSecond * float64(time.Second)))
		daemon, upstream := rng.IntN(loa.Daemons), rng.IntN(loa.Upstreams)
		first(now, daemon, upstream)
		arrivals = append(arrivals, arrival{now, false})
		if rng.IntN(100) >= loa.FailPercent {
			continue
		}
		failed++
		if repeat(now, daemon, (upstream+1)%loa.Upstreams) {
			saved++
			arrivals = append(arrivals, arrival{now, true})
		}
		policy := budget.Policy{Window: window, Percent: loa.RatioPercent, Slack: loa.Slack}
		over = max(over, -float64(naiveLeft(arrivals, now, policy, 1)))
	}
	return float64(saved) / float64(failed), over
}

// TestRepeatsDuringBouts replays testdata/bouts.json with budgets that daemons
// keep each for themselves and with ledgers at the upstreams.
func TestRepeatsDuringBouts(t *testing.T) {
	is := is.New(t)
	loads, err := loadfile.Read[map[string]boutLoad]("testdata/bouts.json")
	is.NoErr(err)
	for name, loa := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			buckets := make([]budget.Budget, loa.Daemons)
			perMinute := loa.Slack * 60 / loa.WindowSeconds / float64(loa.Daemons)
			naive, naiveOver := replayBouts(loa,
				func(_ time.Time, daemon, _ int) bool { return buckets[daemon].Withdraw() },
				func(now time.Time, daemon, _ int) {
					buckets[daemon].Deposit(loa.RatioPercent)
					buckets[daemon].DepositTime(now, perMinute)
				})
			policy := budget.Policy{Window: time.Duration(loa.WindowSeconds * float64(time.Second)), Percent: loa.RatioPercent, Slack: loa.Slack, Peers: loa.Upstreams}
			ledgers := make([]budget.Ledger, loa.Upstreams)
			ours, oursOver := replayBouts(loa,
				func(now time.Time, _, upstream int) bool {
					return ledgers[upstream].Take(now, policy, afterTrial)
				},
				func(now time.Time, _, upstream int) { ledgers[upstream].First(now, policy) })
			t.Logf("failed work that was repeated: ledgers %.3f, budgets of daemons %.3f; over the budget in the worst window: %.0f and %.0f", ours, naive, oursOver, naiveOver)
			is.True(ours >= naive)
			is.Equal(oursOver, 0.0)
		})
	}
}

// TestReserveIsLeftForTrials is the pattern of upstreams that all refuse a part of
// their work: what was refused must not use up the repeats of trials, or the end
// of a bout is found out by nobody.
func TestReserveIsLeftForTrials(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 6}
	led := &budget.Ledger{}
	now := time.Unix(1000, 0)
	for range 4 {
		is.True(led.Take(now, policy, budget.Repeat{}))
	}
	is.True(!led.Take(now, policy, budget.Repeat{}))
	is.True(led.Take(now, policy, afterTrial)) // After a trial.
}

// TestUrgentWorkKeepsItsRepeats is the pattern of upstreams that refuse part of
// all work: calls and lookups come often, and must not use up what urgent orders
// need; where no order needs any, they get them all.
func TestUrgentWorkKeepsItsRepeats(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Percent: 20, Slack: 2}
	now := time.Unix(1000, 0)
	repeats := func(urgentEvery int) (urgent, other int) {
		led := &budget.Ledger{}
		for range 100 {
			led.First(now, policy)
		}
		for number := range 100 {
			if number%urgentEvery == 0 && led.Take(now, policy, budget.Repeat{Rank: 0}) {
				urgent++
			}
			if led.Take(now, policy, budget.Repeat{Rank: 1}) {
				other++
			}
		}
		return urgent, other
	}
	urgent, other := repeats(1000)
	is.Equal(urgent, 1)
	is.Equal(other, 18) // Of 22, but for one that is kept for urgent work and two for trials.
	urgent, other = repeats(2)
	is.True(urgent >= other) // Though it asks half as often.
}

// TestRepeatThatIsGivenBackLateGivesNoOtherTwice gives a repeat back after most of
// a window, as one that waited in vain: once the window has passed over its
// taking, it must not count for another one.
func TestRepeatThatIsGivenBackLateGivesNoOtherTwice(t *testing.T) {
	is := is.New(t)
	policy := budget.Policy{Window: 10 * time.Second, Slack: 2}
	led := &budget.Ledger{}
	taken := time.Unix(1000, 0)
	is.True(led.Take(taken, policy, afterTrial))
	is.Equal(led.Left(taken.Add(8*time.Second), policy), 1)
	led.GiveBack(taken, policy)
	is.Equal(led.Left(taken.Add(8*time.Second), policy), 2)
	is.Equal(led.Left(taken.Add(12*time.Second), policy), 2)
	later := taken.Add(10500 * time.Millisecond) // The same cell, a window later.
	is.True(led.Take(later, policy, afterTrial))
	led.GiveBack(taken, policy) // Its cell is gone: nothing to give back.
	is.Equal(led.Left(later, policy), 1)
}
