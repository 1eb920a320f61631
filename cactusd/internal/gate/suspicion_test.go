package gate_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

// suspicionPolicy turns suspicion on and sets the highest ejection threshold,
// so that suspected upstreams are not ejected during a test.
func suspicionPolicy() *settings.Policy {
	policy := defaultPolicy()
	policy.DoubtPercent, policy.Quotes = 35, 2
	policy.EjectThreshold = 50
	return policy
}

// serveStatus serves an upstream that responds with the current value of
// status.
func serveStatus(t *testing.T, status *atomic.Int64) string {
	t.Helper()
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 %d Status\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", status.Load(), req.Header.Get("X-Id"))
		return true
	})
	return address
}

// TestSuspectedUpstreamGetsOnlyTrialRequests: after one failure an upstream
// gets no non-idempotent requests, unless no trusted upstream is left, until
// idempotent trial requests succeed.
func TestSuspectedUpstreamGetsOnlyTrialRequests(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(500)
	ga := newPlatformGate(suspicionPolicy(), nil)
	announce(t, ga, serveStatus(t, &status), 4)
	is.Equal(ga.Run(context.Background(), platformRequest("failed", false)).Outcome, outcome.Ran)
	rejected := ga.Run(context.Background(), platformRequest("rejected", false))
	is.Equal(rejected.Outcome, outcome.NotRun)
	is.Equal(rejected.Reason, outcome.Suspected)
	is.True(rejected.Load.Suspected)
	is.Equal(ga.EstimateWait(wire.WaitEstimateRequest{Upstream: "u"}).Rejected, outcome.Suspected)
	lastResort := platformRequest("last-resort", false)
	lastResort.LastResort = true
	is.Equal(ga.Run(context.Background(), lastResort).Outcome, outcome.Ran) // No trusted upstream is left.

	status.Store(200)
	for number := 0; ga.Run(context.Background(), platformRequest(fmt.Sprint("non-idempotent-", number), false)).Outcome != outcome.Ran; number++ {
		if number > 1000 {
			t.Fatal("the upstream is still suspected after 1000 trial requests")
		}
		ga.Run(context.Background(), platformRequest(fmt.Sprint("trial-", number), true))
		time.Sleep(10 * time.Millisecond)
	}
}

// TestDependencyFailureIsNotAttributedToUpstream: failures of an upstream right
// after a failed response to a caller on the same VM don't make it suspected.
func TestDependencyFailureIsNotAttributedToUpstream(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(500)
	ga := newPlatformGate(suspicionPolicy(), time.Now) // A caller on this VM always just got a failed response.
	announce(t, ga, serveStatus(t, &status), 4)
	for number := range 10 {
		is.Equal(ga.Run(context.Background(), platformRequest(fmt.Sprint(number), false)).Outcome, outcome.Ran)
	}
}

// TestWithdrawRejectsOnlyQueuedAttempts: a queued attempt that is withdrawn did
// not run; an attempt that has a slot continues.
func TestWithdrawRejectsOnlyQueuedAttempts(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address := serveUpstream(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	ga := newGate(clock.Real{})
	announce(t, ga, address, 1)
	go ga.Run(context.Background(), request("running", false))
	for ga.Dump()[0]["running"] != 1 {
		time.Sleep(time.Millisecond)
	}
	answer := make(chan wire.RunAnswer, 1)
	go func() { answer <- ga.Run(context.Background(), request("queued", false)) }()
	for fmt.Sprint(ga.Dump()[0]["waitingByRank"]) != "[0 1 0 0]" {
		time.Sleep(time.Millisecond)
	}
	ga.Withdraw(wire.Withdrawal{Upstream: "u", Attempt: "running"}) // It has a slot, so it continues.
	ga.Withdraw(wire.Withdrawal{Upstream: "u", Attempt: "queued"})
	got := <-answer
	is.Equal(got.Outcome, outcome.NotRun)
	is.Equal(got.Reason, outcome.Stopping)
	is.Equal(ga.Dump()[0]["running"], 1)
}

// TestOutOfOrderAnnouncements covers delayed announcements and leaves of an
// upstream, from its current and from earlier starts.
func TestOutOfOrderAnnouncements(t *testing.T) {
	startedAt := time.Unix(5000, 0)
	ann := func(start time.Duration, sequence uint64) gate.Announcement {
		return gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, StartedAt: startedAt.Add(start), Sequence: sequence}
	}
	is := is.New(t)
	ga := newGate(clock.NewFake(startedAt.Add(time.Minute)))
	is.NoErr(ga.Announce(ann(0, 7)))
	is.Equal(ga.Announce(ann(0, 3)), gate.ErrSuperseded) // Delayed in the network.
	is.NoErr(ga.Announce(ann(time.Second, 0)))           // Restarted, with a new sequence.
	is.Equal(ga.Announce(ann(0, 9)), gate.ErrSuperseded) // From before the restart.
	_, err := ga.LeaveInstance("u", startedAt)
	is.NoErr(err)
	is.Equal(ga.Records()[0].State.String(), "ready") // The leave was of the earlier start.
	_, err = ga.LeaveInstance("u", startedAt.Add(time.Second))
	is.NoErr(err)
	is.Equal(ga.Records()[0].State.String(), "draining")
	is.Equal(ga.Announce(ann(time.Second, 4)), gate.ErrRecentlyLeft)
}

// TestFailureBurstRejectsQueuedRequests: a failure burst begins while
// idempotent requests are queued. They must be rejected; otherwise all of them
// would fail within milliseconds and use up the retry budget of the service.
func TestFailureBurstRejectsQueuedRequests(t *testing.T) {
	is := is.New(t)
	const queued = 10
	var arrivals atomic.Int64
	release := make(chan struct{})
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		status := 500
		if arrivals.Add(1) == 1 {
			<-release
			status = 200
		}
		_, _ = fmt.Fprintf(con, "HTTP/1.1 %d Status\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", status, req.Header.Get("X-Id"))
		return true
	})
	ga := newPlatformGate(suspicionPolicy(), nil)
	announce(t, ga, address, 1)
	answers := make(chan wire.RunAnswer, queued+1)
	run := func(attempt string) { answers <- ga.Run(context.Background(), platformRequest(attempt, true)) }
	go run("first")
	for arrivals.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for number := range queued {
		go run(fmt.Sprint("queued-", number))
	}
	for fmt.Sprint(ga.Dump()[0]["waitingByRank"]) != fmt.Sprintf("[0 %d 0 0]", queued) {
		time.Sleep(time.Millisecond)
	}
	close(release)
	rejected := 0
	for range queued + 1 {
		if answer := <-answers; answer.Outcome == outcome.NotRun {
			is.Equal(answer.Reason, outcome.Suspected)
			rejected++
		}
	}
	is.Equal(rejected, queued-1) // One ran and failed.
	is.Equal(arrivals.Load(), int64(2))
}

// TestGateLimitsRetries sends first attempts and then twice as many retries.
// Only the retries within the budget may run.
func TestGateLimitsRetries(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(200)
	policy := suspicionPolicy()
	policy.RetryPercent, policy.RetryWindow = 20, time.Hour
	ga := newPlatformGate(policy, nil)
	announce(t, ga, serveStatus(t, &status), 4)
	const firstAttempts = 50
	for number := range firstAttempts {
		is.Equal(ga.Run(context.Background(), platformRequest(fmt.Sprint("first-", number), true)).Outcome, outcome.Ran)
	}
	ran := 0
	for number := range 2 * firstAttempts {
		req := platformRequest(fmt.Sprint("retry-", number), true)
		req.Retry = true
		answer := ga.Run(context.Background(), req)
		if answer.Outcome == outcome.Ran {
			ran++
			continue
		}
		is.Equal(answer.Reason, outcome.RetryBudgetExhausted)
		is.Equal(ga.EstimateWait(wire.WaitEstimateRequest{Upstream: "u", Retry: true}).Rejected, outcome.RetryBudgetExhausted)
	}
	is.Equal(ran, firstAttempts*policy.RetryPercent/100-2) // Two are reserved for failed trials.
}

// TestTrialWithoutBudgetDoesNotBlockTheNext: the gate rejects a trial request
// to an unhealthy upstream because the retry budget is exhausted. The next
// trial request must be admitted.
func TestTrialWithoutBudgetDoesNotBlockTheNext(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(500)
	policy := defaultPolicy()
	policy.EjectThreshold, policy.EjectBase, policy.RetryPercent, policy.RetrySlack = 1, 100*time.Millisecond, 0, 0
	ga := newPlatformGate(policy, nil)
	announce(t, ga, serveStatus(t, &status), 4)
	for number := 0; ga.Dump()[0]["state"] == "ready" && number < 1000; number++ {
		ga.Run(context.Background(), platformRequest(fmt.Sprint(number), true))
	}
	is.True(ga.Dump()[0]["state"] != "ready")
	for ga.Dump()[0]["state"] != "trial" {
		time.Sleep(time.Millisecond)
	}
	trial := platformRequest("retry", true)
	trial.Trial, trial.Retry = true, true
	is.Equal(ga.Run(context.Background(), trial).Reason, outcome.RetryBudgetExhausted)
	trial.Retry = false
	is.Equal(ga.Run(context.Background(), trial).Outcome, outcome.Ran)
}
