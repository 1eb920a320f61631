package gate_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/outcome"
)

// TestEstimateOfAStallIsForgotten lets an upstream stall for several requests. From then on
// the gate expects requests to take longer than they have, and rejects them; none of
// them corrects the estimate. It must admit requests again some seconds later, and all of
// them once one has shown that the stall is over, however many were slow.
func TestEstimateOfAStallIsForgotten(t *testing.T) {
	checkStallIsForgotten(t, newGate)
}

func checkStallIsForgotten(t *testing.T, newGate func(clock.Clock) *gate.Gate) {
	t.Helper()
	const (
		stall     = 2800 * time.Millisecond
		remaining = 3 * time.Second
		// maxOutage is a fraction of the time that a fleet may take to recover.
		maxOutage = 6 * time.Second
	)
	for _, slow := range []int{1, 2, 7, 40} {
		is := is.New(t)
		clo := clock.NewFake(time.Unix(1000, 0))
		takes := stall
		ga := newGate(clo)
		announce(t, ga, serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
			clo.Advance(takes)
			wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
		}), 2)
		send := func(remaining time.Duration) wire.RunAnswer {
			req := request(clo.Now().String(), true)
			req.Remaining = remaining
			return ga.Run(context.Background(), req)
		}
		for range slow {
			is.Equal(send(10*remaining).Outcome, outcome.Ran)
		}
		takes = 20 * time.Millisecond
		is.Equal(send(remaining).Reason, outcome.Overloaded) // The evidence is fresh.
		stalledUntil := clo.Now()
		for send(remaining).Outcome != outcome.Ran {
			clo.Advance(100 * time.Millisecond)
			if outage := clo.Now().Sub(stalledUntil); outage > maxOutage {
				t.Fatalf("after %d slow requests, all are rejected for %s", slow, outage)
			}
		}
		for range 20 {
			is.Equal(send(remaining).Outcome, outcome.Ran)
			clo.Advance(50 * time.Millisecond)
		}
	}
}
