package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/recovery"
)

const (
	// responseMargin is subtracted from the deadline sent to the gate, to leave
	// time for the response to travel back.
	responseMargin = 5 * time.Millisecond
	// attemptTimeoutFactor times the target latency is how long an idempotent
	// attempt may take before another upstream is tried.
	attemptTimeoutFactor = 4
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer wire.RunAnswer
	// retryApproved means that the next attempt needs no further check of the
	// retry budget.
	retryApproved bool
}

// runIdempotent sends the request to one upstream after another until one
// succeeds, within the attempt limit of its kind and the retry budget of its
// service.
func (in *Ingress) runIdempotent(ctx context.Context, req *request) wire.RunAnswer {
	if rejection, rejected := in.throttled(req); rejected {
		return rejection
	}
	in.deposit(req)
	se := in.newSearch(req)
	mayHaveRun := false
	var ran *wire.RunAnswer
	for {
		chosen, ok := se.next(ctx)
		if !ok {
			break
		}
		result := in.attempt(ctx, req, chosen)
		se.recordAnswer(result.answer)
		mayHaveRun = mayHaveRun || result.answer.Outcome != outcome.NotRun
		if result.answer.Outcome == outcome.Ran {
			ran = &result.answer
		}
		if isSuccess(result.answer) || req.body.isConsumed() || !result.retryApproved && !in.mayRetry(req, chosen, result.answer) {
			break
		}
	}
	last := se.lastAnswer
	if last.Outcome != outcome.Ran && ran != nil {
		last = *ran // An upstream's response tells the caller more than the failure to find another upstream.
	}
	if last.Outcome == outcome.NotRun && mayHaveRun {
		last.Outcome = outcome.Unknown
	}
	in.throttle(req).Record(!isOverload(last))
	return last
}

// mayRetry reports whether another upstream may be tried. It takes a retry from
// the budget, except after a trial request to an ejected upstream and after a
// rejection that cost no upstream anything.
func (in *Ingress) mayRetry(req *request, chosen choice, last wire.RunAnswer) bool {
	if chosen.trial && chosen.endpoint.State == fleet.StateTrial {
		return true
	}
	if last.Outcome == outcome.NotRun && (!isOverload(last) || req.poolPolicy.Quotes > 0 && last.Reason == outcome.Overloaded) {
		return true // The gate rejected it before it reached the upstream.
	}
	return in.takeRetry(req)
}

// attempt runs one attempt. An idempotent attempt that exceeds its timeout is
// abandoned for another upstream if the retry budget allows it.
func (in *Ingress) attempt(ctx context.Context, req *request, chosen choice) attemptResult {
	req.attempts++
	req.triedEndpoints = append(req.triedEndpoints, chosen.endpoint.Key)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan wire.RunAnswer, 1)
	go func() { done <- in.sendSafely(ctx, req, chosen) }()
	if !req.policy.Idempotent || req.possibleRuns+1 >= req.policy.RetryAttempts {
		return in.finishAttempt(req, chosen, <-done)
	}
	timer := time.NewTimer(attemptTimeoutFactor * req.policy.Target)
	defer timer.Stop()
	select {
	case answer := <-done:
		return in.finishAttempt(req, chosen, answer)
	case <-timer.C:
	}
	if !req.body.isConsumed() && in.hasAlternative(req, chosen) && (chosen.trial || in.hasRetries(req, 1) && in.takeRetry(req)) {
		result := in.finishAttempt(req, chosen, wire.Unknown(outcome.Deadline, "the upstream did not respond in time"))
		result.retryApproved = true
		return result
	}
	return in.finishAttempt(req, chosen, <-done)
}

// finishAttempt updates the request's state with the answer of an attempt.
func (in *Ingress) finishAttempt(req *request, chosen choice, answer wire.RunAnswer) attemptResult {
	if answer.Outcome != outcome.NotRun {
		req.possibleRuns++
	}
	if answer.Outcome != outcome.NotRun || answer.Reason == outcome.UpstreamRejected {
		req.reachedUpstream = true
		req.afterTrial = chosen.trial
	}
	return attemptResult{answer: answer}
}

func (in *Ingress) hasAlternative(req *request, chosen choice) bool {
	_, ok := in.choose(req, map[string]bool{chosen.endpoint.Key: true}, false)
	return ok
}

// sendSafely is like sendToGate. If the code panics, the request may have run.
func (in *Ingress) sendSafely(ctx context.Context, req *request, chosen choice) (answer wire.RunAnswer) {
	if err := in.protect(req, func() { answer = in.sendToGate(ctx, req, chosen) }); err != nil {
		return wire.Unknown(outcome.LinkLost, err.Error())
	}
	return answer
}

// protect runs code for a request outside of the goroutine of its HTTP handler. It returns
// an error if the code panics.
func (in *Ingress) protect(req *request, fn func()) error {
	return recovery.Run(in.opts.Log, in.opts.Metrics, logrus.Fields{"request": req.id, "service": req.path.Service}, fn)
}

// sendToGate runs an attempt through the gate of the chosen endpoint.
func (in *Ingress) sendToGate(ctx context.Context, req *request, chosen choice) wire.RunAnswer {
	now := in.opts.Clock.Now()
	run := req.runRequest
	run.Attempt = newAttemptID()
	run.Upstream = chosen.endpoint.Upstream.ID
	run.Trial, run.LastResort, run.Retry, run.AfterTrial = chosen.trial, chosen.lastResort, req.isRetry(), req.afterTrial
	run.Remaining, run.TargetRemaining = req.deadline.Sub(now)-responseMargin, req.remainingTarget(now)
	run.KnownLimit = in.tracker.limit(chosen.endpoint.Key)
	run.Baseline = in.tracker.baseline(now, in.siblings(req.path.Service, chosen.endpoint.Key), run.Kind)
	if run.Remaining <= 0 {
		return wire.NotRun(outcome.Deadline, "the deadline has passed")
	}
	run.AcceptsStream = run.AcceptsStream && chosen.endpoint.Streams
	if req.body != nil {
		offer, rejection := in.attachBody(req, chosen, &run)
		if rejection != nil {
			return *rejection
		}
		defer req.body.withdraw(offer)
	}
	in.attempts.Store(run.Attempt, chosen.endpoint)
	defer in.attempts.Delete(run.Attempt)
	in.tracker.begin(chosen.endpoint.Key)
	var answer wire.RunAnswer
	var err error
	if panicked := in.protect(req, func() { answer, err = in.opts.Runner.Run(ctx, chosen.endpoint, run) }); panicked != nil {
		answer, err = wire.RunAnswer{}, panicked
	}
	answer = answer.Checked()
	now = in.opts.Clock.Now()
	in.tracker.finish(now, chosen.endpoint.Key, run.Kind, answer, err == nil)
	if err != nil {
		answer = in.linkFailure(ctx, now, chosen, err)
	} else {
		in.tracker.recordPath(now, chosen.endpoint.Daemon, true)
		in.recordSize(req, chosen.endpoint, answer)
	}
	if answer.BodyStream != nil {
		answer = in.openAnswer(ctx, req, chosen, answer)
	}
	if answer.Outcome == outcome.Ran && !in.opts.Dialect.OmitsDetails {
		if answer.Header == nil {
			answer.Header = wire.Header{}
		}
		answer.Header[outcome.HeaderUpstream] = []string{chosen.endpoint.Key}
	}
	return answer
}

// linkFailure returns the answer for an attempt whose gate did not respond. The
// path is at fault and not the upstream, so no upstream is ejected for it.
func (in *Ingress) linkFailure(ctx context.Context, now time.Time, chosen choice, err error) wire.RunAnswer {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == "overloaded" {
		return wire.NotRun(outcome.Overloaded, remote.Error())
	}
	if remote != nil && (remote.Code == "noMethod" || remote.Code == "badMessage") {
		return wire.NotRun(outcome.LinkLost, remote.Error()) // No gate got the request.
	}
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	if !cancelled {
		in.tracker.recordPath(now, chosen.endpoint.Daemon, false)
	}
	if errors.Is(err, link.ErrNotSent) {
		return wire.NotRun(outcome.LinkLost, err.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return wire.Unknown(outcome.Deadline, err.Error())
	}
	return wire.Unknown(outcome.LinkLost, err.Error())
}

func isSuccess(answer wire.RunAnswer) bool {
	return answer.Outcome == outcome.Ran && answer.Status < http.StatusInternalServerError
}

func isOverload(answer wire.RunAnswer) bool {
	return answer.Outcome == outcome.NotRun && (answer.Reason == outcome.Overloaded || answer.Reason == outcome.UpstreamRejected)
}
