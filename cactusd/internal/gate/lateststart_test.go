package gate_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/outcome"
)

// TestQueuedRequestIsRejectedBeforeItsDeadline queues a request behind one that doesn't
// end. It guards against a rejection that the ingress gets only after its own deadline, so
// that it answers that the request may have run, and against a request that is kept
// queued when it can't complete any more and could be served elsewhere.
func TestQueuedRequestIsRejectedBeforeItsDeadline(t *testing.T) {
	const remaining = 800 * time.Millisecond
	for _, tc := range []struct {
		name  string
		usual time.Duration
		// latest is when the request must have been rejected, after it was queued.
		latest time.Duration
	}{
		{"usual duration unknown", 0, remaining - 20*time.Millisecond},
		{"usual duration known", 200 * time.Millisecond, remaining - 150*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var blocks atomic.Bool
			release := make(chan struct{})
			ga := newCostAwareGate(clock.Real{}, false)
			announce(t, ga, serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
				wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
				if blocks.Load() {
					<-release
				}
				time.Sleep(tc.usual)
			}), 1)
			send := func(remaining time.Duration) wire.RunAnswer {
				req := request("a", false)
				req.Remaining = remaining
				return ga.Run(context.Background(), req)
			}
			if tc.usual > 0 {
				is.Equal(send(time.Minute).Outcome, outcome.Ran)
			}
			blocks.Store(true)
			done := make(chan struct{})
			go func() { defer close(done); send(time.Minute) }()
			for ga.Dump()[0]["running"] != 1 {
				time.Sleep(time.Millisecond)
			}
			started := time.Now()
			answer := send(remaining)
			took := time.Since(started)
			close(release)
			<-done
			is.Equal(answer.Outcome, outcome.NotRun)
			is.True(took < tc.latest)
		})
	}
}
