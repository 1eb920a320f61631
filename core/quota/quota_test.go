package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	replayDaemons = 91
	replayZones   = 3
	replayTime    = 90 * time.Second
	replaySeeds   = 2
)

// maxMessages and maxCrossing limit the calls and answers of a replay in calm, in all and
// between zones, as parts of the requests. Far above the limit, most requests must be
// refused without a call.
const (
	maxMessages = 3
	maxCrossing = 1.2
)

// replay is a load of one organisation under faults, and the part of what a single
// token bucket admits that the fleet must admit at least.
type replay struct {
	name         string
	rate, demand float64
	share        float64
	pick         func(*fakeFleet) func() *fakeDaemon
	faults       func(*fakeFleet)
	// calm means that maxMessages and maxCrossing hold.
	calm bool
}

// everywhere lets requests arrive at all daemons alike.
func everywhere(fl *fakeFleet) func() *fakeDaemon { return fl.any }

// gathered lets requests arrive at three daemons, which change every two seconds.
func gathered(fl *fakeFleet) func() *fakeDaemon {
	return func() *fakeDaemon {
		slot := uint64(fl.now.UnixNano() / int64(2*time.Second))
		return fl.daemons[mix(slot*3+fl.rng.Uint64N(3))%uint64(len(fl.daemons))]
	}
}

func calm(*fakeFleet) {}

// cut separates a third of the daemons, which still reach each other.
func cut(from, to time.Duration) func(*fakeFleet) {
	return separate(from, to, func(int) int { return 1 })
}

// cutEach separates each of a third of the daemons from all others.
func cutEach(from, to time.Duration) func(*fakeFleet) {
	return separate(from, to, func(i int) int { return i + 1 })
}

func separate(from, to time.Duration, group func(int) int) func(*fakeFleet) {
	return func(fl *fakeFleet) {
		order := fl.rng.Perm(len(fl.daemons))
		fl.after(from, func() {
			for i := range len(fl.daemons) / 3 {
				fl.daemons[order[i]].group = group(i)
			}
		})
		fl.after(to, func() {
			for _, da := range fl.daemons {
				da.group = 0
			}
		})
	}
}

// killHalf kills half of the daemons at once. They start again after a period.
func killHalf(period time.Duration) func(*fakeFleet) {
	return func(fl *fakeFleet) {
		for _, i := range fl.rng.Perm(len(fl.daemons))[:len(fl.daemons)/2] {
			da := fl.daemons[i]
			fl.after(10*time.Second, func() { da.up = false })
			fl.after(10*time.Second+period, func() { fl.boot(da) })
		}
	}
}

// restartAll restarts the daemons in turn. Each leaves, and is away for two seconds.
func restartAll(fl *fakeFleet) {
	for i, da := range fl.daemons {
		fl.after(5*time.Second+time.Duration(i)*800*time.Millisecond, func() {
			da.up, da.left = false, true
			fl.after(2*time.Second, func() { fl.boot(da) })
		})
	}
}

// freezeSome freezes a daemon for twelve seconds every five seconds, with its clock or
// without.
func freezeSome(fl *fakeFleet) {
	for i := range 10 {
		fl.after(time.Duration(5+5*i)*time.Second, func() { fl.freeze(fl.any(), 12*time.Second, i%2 == 0) })
	}
}

// restartAtOnce restarts all daemons at the same time.
func restartAtOnce(fl *fakeFleet) {
	fl.after(10*time.Second, func() {
		for _, da := range fl.daemons {
			fl.boot(da)
		}
	})
}

// restartCutOff restarts daemons that are cut off. They start with the member tables of
// those that are cut off with them.
func restartCutOff(fl *fakeFleet) {
	cut(time.Second, replayTime)(fl)
	for i, da := range fl.daemons {
		fl.after(10*time.Second+time.Duration(i)*500*time.Millisecond, func() {
			if da.group > 0 {
				fl.boot(da)
			}
		})
	}
}

// runOldPrograms lets a third of the daemons run a program without quotas.
func runOldPrograms(fl *fakeFleet) {
	for i := range len(fl.daemons) / 3 {
		fl.daemons[3*i].old = true
	}
}

// run replays a load. It fails if any window holds more than the bound, or a request
// waits for too long.
func (re replay) run(t *testing.T, seed uint64) (*fakeFleet, float64) {
	t.Helper()
	fl := newFakeFleet(seed, replayDaemons, replayZones)
	limit := Limit{re.rate, re.rate}
	fl.setLimit(limit, 0)
	fl.run(10 * time.Second)
	fl.messages, fl.crossing = 0, 0
	fl.load(re.demand, replayTime, re.pick(fl))
	re.faults(fl)
	fl.run(replayTime + time.Second)
	share := float64(len(fl.starts)) / float64(ideal(fl.arrivals, limit))
	highest := float64(most(fl.starts)) / bound(limit)
	t.Logf("%s, %g/s of %g/s, seed %d: share %.3f, highest window %.2f of the bound, %.0f messages/s, %.2f between zones, slowest %v, verdicts %v",
		re.name, re.demand, re.rate, seed, share, highest, float64(fl.messages)/replayTime.Seconds(), float64(fl.crossing)/float64(max(fl.messages, 1)), fl.slowest.Round(time.Millisecond), fl.decided)
	is := is.New(t)
	is.True(highest <= 1)
	is.True(fl.slowest <= maxAskTime+CallTimeout)
	return fl, share
}

func runReplays(t *testing.T, replays []replay) {
	t.Helper()
	for _, re := range replays {
		for seed := range uint64(replaySeeds) {
			fl, share := re.run(t, seed)
			if share < re.share {
				t.Errorf("%s, %g/s of %g/s, seed %d: share %.3f, want %.3f", re.name, re.demand, re.rate, seed, share, re.share)
			}
			requests := float64(len(fl.arrivals))
			if re.calm && (float64(fl.messages) > maxMessages*requests || float64(fl.crossing) > maxCrossing*requests) {
				t.Errorf("%s, %g/s of %g/s, seed %d: %d messages, %d of them between zones, for %g requests", re.name, re.demand, re.rate, seed, fl.messages, fl.crossing, requests)
			}
		}
	}
}

// TestCalmFleetAdmitsTheQuota guards against requests below the limit that are refused
// because the quota is divided, wherever they arrive, and against a quota that is not
// used up or exceeded far above the limit.
func TestCalmFleetAdmitsTheQuota(t *testing.T) {
	runReplays(t, []replay{
		{"calm", 5, 1, 0.98, everywhere, calm, true},
		{"calm", 5, 3, 0.98, everywhere, calm, true},
		{"calm", 5, 45, 0.98, everywhere, calm, true},
		{"calm", 24, 15, 0.98, everywhere, calm, true},
		{"calm", 71, 44, 0.98, everywhere, calm, true},
		{"calm", 163, 102, 0.98, everywhere, calm, true},
		{"calm", 163, 928, 0.98, everywhere, calm, true},
		{"gathered", 5, 3, 0.98, gathered, calm, true},
		{"gathered", 24, 135, 0.98, gathered, calm, true},
		{"gathered", 163, 102, 0.98, gathered, calm, true},
	})
}

// TestDaemonsCutOff guards against a daemon that takes over what the other side of a
// partition holds, also after minutes, and against a small organisation that a side
// without holders serves nothing of.
func TestDaemonsCutOff(t *testing.T) {
	runReplays(t, []replay{
		{"cut", 5, 1, 0.93, everywhere, cut(15*time.Second, 55*time.Second), false},
		{"cut", 24, 15, 0.94, everywhere, cut(15*time.Second, 55*time.Second), false},
		{"cut", 163, 102, 0.98, everywhere, cut(15*time.Second, 55*time.Second), false},
		{"cut for long", 24, 135, 0.9, everywhere, cut(time.Second, replayTime), false},
		{"cut for long", 5, 45, 0.9, everywhere, cut(time.Second, replayTime), false},
		{"cut off and restarted", 24, 135, 0.9, everywhere, restartCutOff, false},
		{"cut off and restarted", 163, 928, 0.9, everywhere, restartCutOff, false},
		{"cut each", 5, 1, 0.7, everywhere, cutEach(15*time.Second, 55*time.Second), false},
		{"cut each", 5, 45, 0.9, everywhere, cutEach(15*time.Second, 55*time.Second), false},
		{"cut each", 163, 102, 0.9, everywhere, cutEach(15*time.Second, 55*time.Second), false},
	})
}

// TestDaemonsRestart guards against quota that is lost or spent twice when daemons are
// killed, restarted or frozen, or don't know the method.
func TestDaemonsRestart(t *testing.T) {
	runReplays(t, []replay{
		{"half killed", 5, 1, 0.9, everywhere, killHalf(10 * time.Second), false},
		{"half killed", 24, 135, 0.85, everywhere, killHalf(10 * time.Second), false},
		{"half killed", 163, 102, 0.9, everywhere, killHalf(10 * time.Second), false},
		// For a minute, the holders that live have half of the quota.
		{"half killed for long", 24, 15, 0.8, everywhere, killHalf(75 * time.Second), false},
		{"all restarted", 5, 1, 0.93, everywhere, restartAll, false},
		{"all restarted", 24, 135, 0.9, everywhere, restartAll, false},
		{"all restarted", 163, 102, 0.95, everywhere, restartAll, false},
		{"restarted at once", 24, 135, 0.9, everywhere, restartAtOnce, false},
		{"restarted at once", 163, 928, 0.9, everywhere, restartAtOnce, false},
		{"some frozen", 24, 15, 0.93, everywhere, freezeSome, false},
		{"some frozen", 24, 135, 0.93, everywhere, freezeSome, false},
		{"old programs", 24, 15, 0.9, everywhere, runOldPrograms, false},
	})
}

// TestReturnedTokensKeepTheBound guards against tokens that are returned after a long
// time and spent in a window together with those of the window.
func TestReturnedTokensKeepTheBound(t *testing.T) {
	for _, re := range []replay{
		{"returned", 24, 135, 0, everywhere, func(fl *fakeFleet) { fl.returns = 0.5 }, false},
		{"returned at times", 24, 135, 0, gathered, func(fl *fakeFleet) {
			for i := range 9 {
				fl.after(time.Duration(10*i)*time.Second, func() { fl.returns = 1 })
				fl.after(time.Duration(10*i+3)*time.Second, func() { fl.returns = 0 })
			}
		}, false},
	} {
		for seed := range uint64(replaySeeds) {
			re.run(t, seed)
		}
	}
}

// TestChangedLimit guards against a lowered limit that takes effect late, and a raised
// one that is not used, while settings reach the daemons within two seconds.
func TestChangedLimit(t *testing.T) {
	const spread = 2 * time.Second
	for seed := range uint64(replaySeeds) {
		is := is.New(t)
		fl := newFakeFleet(seed, replayDaemons, replayZones)
		high, low := Limit{163, 163}, Limit{5, 5}
		fl.setLimit(high, 0)
		fl.run(10 * time.Second)
		fl.load(928, 45*time.Second, fl.any)
		fl.run(10 * time.Second)
		fl.setLimit(low, spread)
		fl.run(2 * spread)
		lowered := len(fl.starts)
		fl.run(15 * time.Second)
		is.True(float64(most(fl.starts[lowered:])) <= bound(low))
		is.True(len(fl.starts[lowered:]) >= 70) // 15 s of 5 requests a second.
		fl.setLimit(high, spread)
		fl.run(spread)
		raised := len(fl.starts)
		fl.run(10 * time.Second)
		is.True(float64(len(fl.starts[raised:])) >= 0.98*high.PerSecond*10)
		is.True(float64(most(fl.starts)) <= bound(high))
	}
}

// TestReturnedTokenIsUsedAgain guards against quota that is lost with requests that
// don't run.
func TestReturnedTokenIsUsedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	node := NewNode("d0", "z0", 1)
	node.Join(now)
	now = now.Add(time.Hour)
	take := func() Outcome {
		_, res := node.Take(now, Ask{Organisation: organisationName, PerSecond: 5, Burst: 5})
		return res.Decisions[0].Verdict.Outcome
	}
	for take() == Admitted {
		continue
	}
	node.Return(now, organisationName)
	is.Equal(take(), Admitted)
	is.Equal(take(), OverLimit)
}

// TestNewestLimitHolds guards against a daemon without a lowered limit, because it reaches
// no keeper, that gets tokens by the limit that it has.
func TestNewestLimitHolds(t *testing.T) {
	is := is.New(t)
	fl := newFakeFleet(1, replayDaemons, replayZones)
	high, low := Limit{71, 71}, Limit{5, 5}
	fl.setLimit(high, 0)
	fl.run(10 * time.Second)
	fl.load(200, 40*time.Second, fl.any)
	fl.load(50, 40*time.Second, func() *fakeDaemon { return fl.daemons[0] })
	fl.run(10 * time.Second)
	for _, da := range fl.daemons[1:] {
		da.limit = low
		da.version++
	}
	fl.run(4 * time.Second)
	lowered := len(fl.starts)
	fl.run(20 * time.Second)
	is.True(float64(most(fl.starts[lowered:])) <= bound(low))
	is.True(len(fl.starts[lowered:]) >= 95) // 20 s of 5 requests a second.
}
