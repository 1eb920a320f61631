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

func doubtPolicy() *settings.Policy {
	policy := defaultPolicy()
	policy.DoubtPercent, policy.Quotes = 35, 2
	policy.EjectThreshold = 50
	return policy
}

// serveStatus answers with a status that can be changed.
func serveStatus(t *testing.T, status *atomic.Int64) string {
	t.Helper()
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 %d Status\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", status.Load(), req.Header.Get("X-Id"))
		return true
	})
	return address
}

func TestWorkThatMayRunOnceOnlyAvoidsABout(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(500)
	ga := newForeignGate(doubtPolicy(), nil)
	announce(t, ga, serveStatus(t, &status), 4)
	is.Equal(ga.Run(context.Background(), foreignRequest("lost", false)).Outcome, outcome.Ran)
	refused := ga.Run(context.Background(), foreignRequest("saved", false))
	is.Equal(refused.Outcome, outcome.NotRun)
	is.Equal(refused.Reason, outcome.Doubtful)
	is.True(refused.Load.Doubtful)
	is.Equal(ga.Quote(wire.QuoteRequest{Upstream: "u"}).Refused, outcome.Doubtful)
	forced := foreignRequest("forced", false)
	forced.Forced = true
	is.Equal(ga.Run(context.Background(), forced).Outcome, outcome.Ran) // No better one is left.

	status.Store(200)
	for number := 0; ga.Run(context.Background(), foreignRequest(fmt.Sprint("once-", number), false)).Outcome != outcome.Ran; number++ {
		if number > 1000 {
			t.Fatal("work that may be repeated does not end the doubt")
		}
		ga.Run(context.Background(), foreignRequest(fmt.Sprint("trial-", number), true))
		time.Sleep(10 * time.Millisecond)
	}
}

func TestFailureOfACallIsNotTheUpstreams(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(500)
	ga := newForeignGate(doubtPolicy(), time.Now) // A caller on the own VM was just told of a failure.
	announce(t, ga, serveStatus(t, &status), 4)
	for number := range 10 {
		is.Equal(ga.Run(context.Background(), foreignRequest(fmt.Sprint(number), false)).Outcome, outcome.Ran)
	}
}

func TestWithdrawnAttemptIsProvedNotToRun(t *testing.T) {
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
	go func() { answer <- ga.Run(context.Background(), request("waiting", false)) }()
	for fmt.Sprint(ga.Dump()[0]["waitingByRank"]) != "[0 1 0 0]" {
		time.Sleep(time.Millisecond)
	}
	ga.Withdraw(wire.Withdrawal{Upstream: "u", Attempt: "running"}) // It has a slot: it goes on.
	ga.Withdraw(wire.Withdrawal{Upstream: "u", Attempt: "waiting"})
	got := <-answer
	is.Equal(got.Outcome, outcome.NotRun)
	is.Equal(got.Reason, outcome.Stopping)
	is.Equal(ga.Dump()[0]["running"], 1)
}

// TestStartsAndLateAnnouncements orders the announcements of several starts of
// an upstream.
func TestStartsAndLateAnnouncements(t *testing.T) {
	born := time.Unix(5000, 0)
	ann := func(start time.Duration, sequence uint64) gate.Announcement {
		return gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, Born: born.Add(start), Sequence: sequence}
	}
	is := is.New(t)
	ga := newGate(clock.NewFake(time.Unix(1000, 0)))
	is.NoErr(ga.Announce(ann(0, 7)))
	is.Equal(ga.Announce(ann(0, 3)), gate.ErrOvertaken) // Delayed on its way.
	is.NoErr(ga.Announce(ann(time.Second, 0)))          // Started anew under its id, counting anew.
	is.Equal(ga.Announce(ann(0, 9)), gate.ErrOvertaken) // From before it ended.
	_, err := ga.LeaveStart("u", born)
	is.NoErr(err)
	is.Equal(ga.Records()[0].State.String(), "ready") // The leave of the earlier start.
	_, err = ga.LeaveStart("u", born.Add(time.Second))
	is.NoErr(err)
	is.Equal(ga.Records()[0].State.String(), "draining")
	is.Equal(ga.Announce(ann(time.Second, 4)), gate.ErrLeft)
}

// TestBoutSendsAwayWhatWaits is the pattern of a burst that meets the beginning
// of a bout: work that may be repeated waits for a slot, and all of it would
// fail within milliseconds of each other and use up the repeats of its service.
func TestBoutSendsAwayWhatWaits(t *testing.T) {
	is := is.New(t)
	const waiting = 10
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
	ga := newForeignGate(doubtPolicy(), nil)
	announce(t, ga, address, 1)
	answers := make(chan wire.RunAnswer, waiting+1)
	run := func(attempt string) { answers <- ga.Run(context.Background(), foreignRequest(attempt, true)) }
	go run("first")
	for arrivals.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for number := range waiting {
		go run(fmt.Sprint("waits-", number))
	}
	for fmt.Sprint(ga.Dump()[0]["waitingByRank"]) != fmt.Sprintf("[0 %d 0 0]", waiting) {
		time.Sleep(time.Millisecond)
	}
	close(release)
	refused := 0
	for range waiting + 1 {
		if answer := <-answers; answer.Outcome == outcome.NotRun {
			is.Equal(answer.Reason, outcome.Doubtful)
			refused++
		}
	}
	is.Equal(refused, waiting-1) // One showed that the bout had begun.
	is.Equal(arrivals.Load(), int64(2))
}

// TestRepeatsAreBoundedAtTheGate sends first attempts and twice as many repeats.
func TestRepeatsAreBoundedAtTheGate(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(200)
	policy := doubtPolicy()
	policy.RetryPercent, policy.RetryWindow = 20, time.Hour
	ga := newForeignGate(policy, nil)
	announce(t, ga, serveStatus(t, &status), 4)
	const firsts = 50
	for number := range firsts {
		is.Equal(ga.Run(context.Background(), foreignRequest(fmt.Sprint("first-", number), true)).Outcome, outcome.Ran)
	}
	ran := 0
	for number := range 2 * firsts {
		req := foreignRequest(fmt.Sprint("repeat-", number), true)
		req.Repeat = true
		answer := ga.Run(context.Background(), req)
		if answer.Outcome == outcome.Ran {
			ran++
			continue
		}
		is.Equal(answer.Reason, outcome.NoRepeats)
		is.Equal(ga.Quote(wire.QuoteRequest{Upstream: "u", Repeat: true}).Refused, outcome.NoRepeats)
	}
	is.Equal(ran, firsts*policy.RetryPercent/100-2) // Two are kept for trials.
}

// TestTrialWithoutARepeatBlocksNoOther refuses a trial of a sick upstream because
// the budget has no repeat for it; the next trial must go through.
func TestTrialWithoutARepeatBlocksNoOther(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(500)
	policy := defaultPolicy()
	policy.EjectThreshold, policy.EjectBase, policy.RetryPercent, policy.RetrySlack = 1, 100*time.Millisecond, 0, 0
	ga := newForeignGate(policy, nil)
	announce(t, ga, serveStatus(t, &status), 4)
	for number := 0; ga.Dump()[0]["state"] == "ready" && number < 1000; number++ {
		ga.Run(context.Background(), foreignRequest(fmt.Sprint(number), true))
	}
	is.True(ga.Dump()[0]["state"] != "ready")
	for ga.Dump()[0]["state"] != "trial" {
		time.Sleep(time.Millisecond)
	}
	trial := foreignRequest("repeat", true)
	trial.Trial, trial.Repeat = true, true
	is.Equal(ga.Run(context.Background(), trial).Reason, outcome.NoRepeats)
	trial.Repeat = false
	is.Equal(ga.Run(context.Background(), trial).Outcome, outcome.Ran)
}
