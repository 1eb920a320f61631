package throttle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/throttle"
)

// flood is callers that send again at once, whatever they are told.
type flood struct {
	th        *throttle.Throttle
	rng       *rand.Rand
	now       time.Time
	perSecond int
	// taken is what upstreams take in the second that goes on.
	taken int
	until time.Time
}

// run sends for a time to upstreams that take a number a second, and returns the
// shares that were sent on and that were taken.
func (fl *flood) run(lasts time.Duration, capacity int) (sentOn, taken float64) {
	end := fl.now.Add(lasts)
	sent := 0.0
	for ; fl.now.Before(end); fl.now = fl.now.Add(time.Second / time.Duration(fl.perSecond)) {
		if !fl.now.Before(fl.until) {
			fl.taken, fl.until = 0, fl.now.Add(100*time.Millisecond)
		}
		sent++
		if fl.th.Refuses(fl.now, fl.rng) {
			continue
		}
		sentOn++
		accepted := fl.taken < capacity/10
		if accepted {
			fl.taken++
			taken++
		}
		fl.th.Note(accepted)
	}
	return sentOn / sent, taken / sent
}

func newFlood(perSecond int) *flood {
	return &flood{th: &throttle.Throttle{}, rng: rand.New(rand.NewPCG(2, 4)), now: time.Unix(1000, 0), perSecond: perSecond}
}

// TestImpatientCallersAreServedAgainInTwoSeconds is the pattern of an outage in
// which nothing is taken, while callers don't wait as they are told to: once
// upstreams take everything again, so must the throttle.
func TestImpatientCallersAreServedAgainInTwoSeconds(t *testing.T) {
	for _, perSecond := range []int{30, 300, 3000} {
		is := is.New(t)
		fl := newFlood(perSecond)
		fl.run(10*time.Second, 0)
		fl.run(2*time.Second, 1_000_000)
		_, taken := fl.run(time.Second, 1_000_000)
		t.Logf("%d a second: %.3f are served two seconds after the outage", perSecond, taken)
		is.True(taken >= 0.95)
	}
}

// TestFloodIsSentOnInPart floods upstreams with ten times what they take: most is
// refused here, and what they take is used.
func TestFloodIsSentOnInPart(t *testing.T) {
	is := is.New(t)
	fl := newFlood(3000)
	fl.run(5*time.Second, 300)
	sentOn, taken := fl.run(20*time.Second, 300)
	t.Logf("sent on %.3f, taken %.3f of what came; a tenth can be taken", sentOn, taken)
	is.True(taken >= 0.09)
	is.True(sentOn <= 0.25)
}

// TestOrdinaryRefusalsThrottleNobody has a refusal among twenty.
func TestOrdinaryRefusalsThrottleNobody(t *testing.T) {
	is := is.New(t)
	fl := newFlood(300)
	sent, refused := 0, 0
	for range 6000 {
		fl.now = fl.now.Add(3 * time.Millisecond)
		sent++
		if fl.th.Refuses(fl.now, fl.rng) {
			refused++
			continue
		}
		fl.th.Note(fl.rng.IntN(20) != 0)
	}
	is.True(float64(refused) <= 0.02*float64(sent))
}
