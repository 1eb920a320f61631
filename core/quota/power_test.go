package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// powerOff is how long all daemons are dead after a loss of power.
const powerOff = 1600 * time.Millisecond

// losePower lets all daemons die after 10 s, and start at the same moment powerOff later.
func losePower(limit Limit) func(*fakeFleet) {
	return func(fl *fakeFleet) {
		fl.after(10*time.Second, func() {
			for _, da := range fl.daemons {
				da.up = false
			}
		})
		fl.after(10*time.Second+powerOff, func() { fl.powerUp(limit) })
	}
}

// anyOfAll lets requests arrive at all daemons alike, also while they are dead.
func anyOfAll(fl *fakeFleet) func() *fakeDaemon {
	return func() *fakeDaemon { return fl.daemons[fl.rng.IntN(len(fl.daemons))] }
}

// TestFleetStartsWithQuota guards against a fleet that refuses all requests of its
// organisations for seconds after all daemons have started at once, and against started
// daemons that hold the quota of the daemons that they don't know yet.
func TestFleetStartsWithQuota(t *testing.T) {
	const minShare = 0.9
	for _, re := range []replay{
		{"lost power", 5, 2.5, 0, anyOfAll, nil, false},
		{"lost power", 24, 12, 0, anyOfAll, nil, false},
		{"lost power", 163, 81, 0, anyOfAll, nil, false},
	} {
		admitted, arrived := 0, 0
		for seed := range uint64(5) {
			re.faults = losePower(Limit{re.rate, re.rate})
			fl, _ := re.run(t, seed)
			// One second after the last daemon has settings.
			from := fl.now.Add(-replayTime - time.Second + 10*time.Second + powerOff + maxSettingsTime + time.Second)
			admitted += countBetween(fl.starts, from, from.Add(2*time.Second))
			arrived += countBetween(fl.arrivals, from, from.Add(2*time.Second))
		}
		if share := float64(admitted) / float64(arrived); share < minShare {
			t.Errorf("%g/s of %g/s: share %.3f, want %.3f", re.demand, re.rate, share, minShare)
		}
	}
}

// TestLostPowerKeepsTheBound guards against started daemons that spend what their earlier
// processes have spent, at nine times the demand, also if all start twice in a window.
func TestLostPowerKeepsTheBound(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(replaySeeds) {
		for _, limit := range []Limit{{5, 5}, {24, 24}, {163, 163}} {
			re := replay{"lost power", limit.PerSecond, 6 * limit.PerSecond, 0, anyOfAll, losePower(limit), false}
			re.run(t, seed)
			re.name, re.faults = "started twice", func(fl *fakeFleet) {
				fl.after(10*time.Second, func() { fl.powerUp(limit) })
				fl.after(13*time.Second, func() { fl.powerUp(limit) })
			}
			fl, _ := re.run(t, seed)
			is.True(len(fl.starts) > 0)
		}
	}
}

// TestLostCallsRefuseLittle guards against requests of a small organisation far below its
// limit that are refused because a call or its answer is lost.
func TestLostCallsRefuseLittle(t *testing.T) {
	const seeds, minShare = 10, 0.995
	re := replay{"lost calls", 5, 1, 0, everywhere, func(fl *fakeFleet) { fl.lost = 0.02 }, false}
	admitted, arrived, overLimit := 0, 0, 0
	for seed := range uint64(seeds) {
		fl, _ := re.run(t, seed)
		admitted += fl.decided[Admitted]
		arrived += len(fl.arrivals)
		overLimit += fl.decided[OverLimit]
	}
	t.Logf("%d of %d admitted, %d over the limit", admitted, arrived, overLimit)
	if share := float64(admitted) / float64(arrived); share < minShare {
		t.Errorf("share %.4f, want %.4f", share, minShare)
	}
}

// countBetween returns how many of the times are in a period.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
