package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSteadySenderGetsItsBurst guards against an organisation that sends steadily above its
// rate and is admitted its rate in each window, without the burst.
func TestSteadySenderGetsItsBurst(t *testing.T) {
	const minShare = 0.9 // At the plain rate, it is 0.83.
	for _, limit := range []Limit{{5, 5}, {30, 30}, {163, 163}} {
		re := replay{"steady", limit.PerSecond, limit.PerSecond * 44 / 30, 1.1, everywhere, calm, false}
		for seed := range uint64(replaySeeds) {
			fl, _ := re.run(t, seed)
			allowed := limit.perWindow() * float64(replayTime/window)
			if share := float64(len(fl.starts)) / allowed; share < minShare {
				t.Errorf("%g/s of %g/s, seed %d: %.3f of what is allowed, want %.3f", re.demand, re.rate, seed, share, minShare)
			}
		}
	}
}

// TestWindowsOfAHolder guards against a holder that grants more than its part of a window in
// any interval of a window, and against one that gives tokens back to a holder that has
// just started.
func TestWindowsOfAHolder(t *testing.T) {
	is := is.New(t)
	const step = 10 * time.Millisecond
	limit := Limit{30, 30}
	sh := shareOf(limit, 1)
	node := NewNode("d0", "z0", 1)
	node.Join(startTime)
	now := startTime.Add(joinDelay)
	var granted []time.Time
	for i := range 3000 {
		count := 5
		if i/400%2 == 1 {
			count = 0 // Pauses of four seconds.
		}
		for range node.Serve(now, askFor(limit, count)).Granted {
			granted = append(granted, now)
		}
		if i == int(window/step) {
			is.True(float64(len(granted)) <= sh.rate*window.Seconds()+1)
		}
		now = now.Add(step)
	}
	for first, from := range granted {
		for last := first; last < len(granted) && granted[last].Sub(from) <= window; last++ {
			is.True(float64(last-first+1) <= sh.depth+sh.rate*granted[last].Sub(from).Seconds()+1)
		}
	}
}
