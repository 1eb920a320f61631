package gate_test

import (
	"context"
	"net/http"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/member"
	"cactusstream.example/core/outcome"
)

// TestUpstreamThatSaysItLeavesGetsNoNewRequests checks that an answer which says that the
// upstream leaves counts like an announced leave, which may come later or be lost.
func TestUpstreamThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	requests := 0
	leaving := "0"
	ga := newGate(clock.Real{})
	announce(t, ga, serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
		requests++
		wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
		wr.Header().Set(dialect.HeaderLeaving, leaving)
	}), 2)
	is.True(!ga.Run(context.Background(), request("1", true)).Load.Leaving)
	leaving = "1"
	answer := ga.Run(context.Background(), request("2", true))
	is.Equal(answer.Outcome, outcome.Ran)
	is.True(answer.Load.Leaving)
	is.Equal(ga.Records()[0].State, member.StateDraining)
	answer = ga.Run(context.Background(), request("3", true))
	is.Equal(answer.Outcome, outcome.NotRun)
	is.Equal(answer.Reason, outcome.Stopping)
	is.Equal(requests, 2)
}

// TestStoppingDaemonDoesNotSayThatItsUpstreamLeaves checks that the end of a daemon isn't
// reported as that of its upstream, which the next daemon serves.
func TestStoppingDaemonDoesNotSayThatItsUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}), make(chan struct{})
	ga := newGate(clock.Real{})
	announce(t, ga, serveUpstream(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-finish
	}), 2)
	done := make(chan bool)
	go func() { done <- ga.Run(context.Background(), request("1", true)).Load.Leaving }()
	<-started
	stopped := make(chan error)
	go func() { stopped <- ga.Stop(context.Background()) }()
	for ga.Records()[0].State != member.StateDraining {
		runtime.Gosched()
	}
	close(finish)
	is.True(!<-done)
	is.NoErr(<-stopped)
}
