package throttle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/throttle"
)

// overload simulates callers that retry at once and ignore Retry-After.
type overload struct {
	th        *throttle.Throttle
	rng       *rand.Rand
	now       time.Time
	perSecond int
	// accepted is the number of requests accepted in the current interval of 100 ms,
	// which ends at intervalEnd.
	accepted    int
	intervalEnd time.Time
}

// run sends requests for a duration to upstreams that accept up to capacity requests
// a second. It returns the shares of all requests that were admitted by the
// throttle and accepted by upstreams.
func (ov *overload) run(duration time.Duration, capacity int) (admitted, accepted float64) {
	end := ov.now.Add(duration)
	sent := 0.0
	for ; ov.now.Before(end); ov.now = ov.now.Add(time.Second / time.Duration(ov.perSecond)) {
		if !ov.now.Before(ov.intervalEnd) {
			ov.accepted, ov.intervalEnd = 0, ov.now.Add(100*time.Millisecond)
		}
		sent++
		if ov.th.Rejects(ov.now, ov.rng) {
			continue
		}
		admitted++
		isAccepted := ov.accepted < capacity/10
		if isAccepted {
			ov.accepted++
			accepted++
		}
		ov.th.Record(isAccepted)
	}
	return admitted / sent, accepted / sent
}

func newOverload(perSecond int) *overload {
	return &overload{th: &throttle.Throttle{}, rng: rand.New(rand.NewPCG(2, 4)), now: time.Unix(1000, 0), perSecond: perSecond}
}

// TestRecoversWithinTwoSecondsDespiteRetries guards against callers that ignore
// Retry-After keeping the throttle closed after an outage. Two seconds after
// upstreams accept all requests again, the throttle must admit nearly all of them.
func TestRecoversWithinTwoSecondsDespiteRetries(t *testing.T) {
	for _, perSecond := range []int{30, 300, 3000} {
		is := is.New(t)
		ov := newOverload(perSecond)
		ov.run(10*time.Second, 0)
		ov.run(2*time.Second, 1_000_000)
		_, acceptedShare := ov.run(time.Second, 1_000_000)
		t.Logf("%d requests a second: share accepted two seconds after the outage: %.3f", perSecond, acceptedShare)
		is.True(acceptedShare >= 0.95)
	}
}

// TestOverloadIsThrottledToCapacity sends ten times the capacity of the upstreams. The
// throttle must reject most requests and still use nearly the whole capacity.
func TestOverloadIsThrottledToCapacity(t *testing.T) {
	is := is.New(t)
	ov := newOverload(3000)
	ov.run(5*time.Second, 300)
	admittedShare, acceptedShare := ov.run(20*time.Second, 300)
	t.Logf("admitted share %.3f, accepted share %.3f; the capacity is a share of 0.1", admittedShare, acceptedShare)
	is.True(acceptedShare >= 0.09)
	is.True(admittedShare <= 0.25)
}

// TestOccasionalRejectionsDoNotThrottle lets upstreams reject one request in twenty.
// The throttle must admit nearly all requests.
func TestOccasionalRejectionsDoNotThrottle(t *testing.T) {
	is := is.New(t)
	ov := newOverload(300)
	sent, rejected := 0, 0
	for range 6000 {
		ov.now = ov.now.Add(3 * time.Millisecond)
		sent++
		if ov.th.Rejects(ov.now, ov.rng) {
			rejected++
			continue
		}
		ov.th.Record(ov.rng.IntN(20) != 0)
	}
	is.True(float64(rejected) <= 0.02*float64(sent))
}
