package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/pace"
)

// window is the time over which the platform counts, and allowed what it lets pass in it.
const window = 4 * time.Second

func allowed(perSecond float64) float64 { return 1.5*perSecond*window.Seconds() + 5 }

// most returns the largest number of times in any window.
func most(times []time.Time) int {
	largest, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// TestNoWindowExceedsTheLimit lets requests arrive in bursts with pauses, far more than a
// limit takes, in virtual time. No window may hold more starts than the platform allows,
// and over all, a limiter under load must let the limit be used.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.05, 0.3, 1, 2.9, 4.6, 37, 400} {
		for seed := range uint64(20) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			now := time.Unix(1000, 0)
			var lim pace.Limiter
			lim.Set(now, perSecond)
			var starts []time.Time
			var busy time.Duration
			for range 20_000 {
				step := time.Duration(rng.IntN(4)) * time.Millisecond
				if rng.IntN(2000) == 0 {
					step = time.Duration(rng.IntN(8000)) * time.Millisecond // No request arrives.
				} else {
					busy += step
				}
				now = now.Add(step)
				if lim.Allows(now) {
					lim.Take(now)
					starts = append(starts, now)
				}
			}
			is.True(float64(most(starts)) <= allowed(perSecond))
			is.True(float64(len(starts)) >= 0.9*perSecond*busy.Seconds()-1)
			is.True(len(starts) > 0) // A limit of 0 is probed.
		}
	}
}

// TestWait checks that a request may start exactly after the time that Wait returns.
func TestWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var lim pace.Limiter
	is.True(lim.Allows(now))
	is.Equal(lim.Wait(now, 100), time.Duration(0))
	lim.Set(now, 2.5)
	is.Equal(lim.Wait(now, 1), 400*time.Millisecond)
	is.Equal(lim.Wait(now, 3), 1200*time.Millisecond)
	for range 100 {
		wait := lim.Wait(now, 1)
		is.True(!lim.Allows(now.Add(wait - time.Millisecond)))
		now = now.Add(wait)
		is.True(lim.Allows(now))
		lim.Take(now)
	}
	lim.Clear()
	is.True(lim.Allows(now))
}

// TestChangedLimit checks a limit that falls and rises: tokens of the higher limit must not
// be used after it has fallen.
func TestChangedLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var lim pace.Limiter
	lim.Set(now, 100)
	now = now.Add(time.Second)
	lim.Set(now, 1)
	started := 0
	for lim.Allows(now) {
		lim.Take(now)
		started++
	}
	is.Equal(started, 1)
	lim.Set(now, 10)
	is.Equal(lim.Wait(now, 1), 100*time.Millisecond)
}
