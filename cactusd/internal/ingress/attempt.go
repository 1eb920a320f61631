package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/outcome"
)

const (
	// answerMargin is what the gate leaves of the deadline for its answer's way back.
	answerMargin = 5 * time.Millisecond
	// patienceFactor is how many targets an idempotent attempt may last before
	// another upstream is tried.
	patienceFactor = 4
)

// tried is how one attempt ended.
type tried struct {
	answer wire.RunAnswer
	// paid says that the budget already gave the next attempt.
	paid bool
}

// runIdempotent tries upstreams until one answers well, within the attempts of
// the kind and the budget of the service.
func (in *Ingress) runIdempotent(ctx context.Context, jo *job) wire.RunAnswer {
	if refusal, refused := in.throttled(jo); refused {
		return refusal
	}
	in.deposit(jo)
	sea := in.newSearch(jo)
	mayHaveRun := false
	var ran *wire.RunAnswer
	for {
		cho, ok := sea.next(ctx)
		if !ok {
			break
		}
		try := in.try(ctx, jo, cho)
		sea.note(try.answer)
		mayHaveRun = mayHaveRun || try.answer.Outcome != outcome.NotRun
		if try.answer.Outcome == outcome.Ran {
			ran = &try.answer
		}
		if isGood(try.answer) || !try.paid && !in.mayRepeat(jo, cho, try.answer) {
			break
		}
	}
	last := sea.last
	if last.Outcome != outcome.Ran && ran != nil {
		last = *ran // What an upstream answered tells more than that no other would.
	}
	if last.Outcome == outcome.NotRun && mayHaveRun {
		last.Outcome = outcome.Unknown
	}
	in.throttle(jo).Note(!isOverload(last))
	return last
}

// mayRepeat says whether another upstream may be tried. Refusals that cost no
// upstream anything need no budget.
func (in *Ingress) mayRepeat(jo *job, cho choice, last wire.RunAnswer) bool {
	if cho.trial && cho.end.State == fleet.StateTrial {
		return true
	}
	if last.Outcome == outcome.NotRun && (!isOverload(last) || jo.pool.Quotes > 0 && last.Reason == outcome.Overloaded) {
		return true // Its gate refused it: no upstream had to.
	}
	return in.payRepeat(jo)
}

// try sends one attempt. An idempotent one that lasts too long is given up for
// another upstream when the budget allows it.
func (in *Ingress) try(ctx context.Context, jo *job, cho choice) tried {
	jo.attempts++
	jo.tried = append(jo.tried, cho.end.Key)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan wire.RunAnswer, 1)
	go func() { done <- in.send(ctx, jo, cho) }()
	if !jo.policy.Idempotent || jo.sent+1 >= jo.policy.RetryAttempts {
		return in.ended(jo, cho, <-done)
	}
	patience := time.NewTimer(patienceFactor * jo.policy.Target)
	defer patience.Stop()
	select {
	case answer := <-done:
		return in.ended(jo, cho, answer)
	case <-patience.C:
	}
	if in.hasOther(jo, cho) && (cho.trial || in.hasRepeats(jo, 1) && in.payRepeat(jo)) {
		end := in.ended(jo, cho, wire.Unknown(outcome.Deadline, "the upstream took too long"))
		end.paid = true
		return end
	}
	return in.ended(jo, cho, <-done)
}

// ended counts an attempt that may have reached an upstream.
func (in *Ingress) ended(jo *job, cho choice, answer wire.RunAnswer) tried {
	if answer.Outcome != outcome.NotRun {
		jo.sent++
	}
	if answer.Outcome != outcome.NotRun || answer.Reason == outcome.Shed {
		jo.arrived = true
		jo.afterTrial = cho.trial
	}
	return tried{answer: answer}
}

func (in *Ingress) hasOther(jo *job, cho choice) bool {
	_, ok := in.choose(jo, map[string]bool{cho.end.Key: true}, false)
	return ok
}

// send runs an attempt at the gate of an endpoint.
func (in *Ingress) send(ctx context.Context, jo *job, cho choice) wire.RunAnswer {
	now := in.opts.Clock.Now()
	req := jo.run
	req.Attempt = newAttempt()
	req.Upstream = cho.end.Upstream.ID
	req.Trial, req.Forced, req.Repeat, req.AfterTrial = cho.trial, cho.forced, jo.isRepeat(), jo.afterTrial
	req.Remaining, req.TargetIn = jo.deadline.Sub(now)-answerMargin, jo.targetIn(now)
	req.Baseline = in.tracker.baseline(now, in.siblings(jo.path.Service, cho.end.Key), req.Kind)
	if req.Remaining <= 0 {
		return wire.NotRun(outcome.Deadline, "the deadline has passed")
	}
	in.attempts.Store(req.Attempt, cho.end)
	defer in.attempts.Delete(req.Attempt)
	in.tracker.begin(cho.end.Key)
	answer, err := in.opts.Runner.Run(ctx, cho.end, req)
	now = in.opts.Clock.Now()
	in.tracker.finish(now, cho.end.Key, req.Kind, answer, err == nil)
	if err != nil {
		answer = in.linkFailure(ctx, now, cho, err)
	} else {
		in.tracker.notePath(now, cho.end.Daemon, true)
	}
	if answer.Outcome == outcome.Ran && !in.opts.Dialect.IsPlain {
		if answer.Header == nil {
			answer.Header = wire.Header{}
		}
		answer.Header[outcome.HeaderUpstream] = []string{cho.end.Key}
	}
	return answer
}

// linkFailure tells what is known when the gate did not answer. It is the
// path's fault, not the upstream's: nobody is ejected for it.
func (in *Ingress) linkFailure(ctx context.Context, now time.Time, cho choice, err error) wire.RunAnswer {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == "overloaded" {
		return wire.NotRun(outcome.Overloaded, remote.Error())
	}
	gaveUp := errors.Is(ctx.Err(), context.Canceled)
	if !gaveUp {
		in.tracker.notePath(now, cho.end.Daemon, false)
	}
	if errors.Is(err, link.ErrNotSent) {
		return wire.NotRun(outcome.LinkLost, err.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return wire.Unknown(outcome.Deadline, err.Error())
	}
	return wire.Unknown(outcome.LinkLost, err.Error())
}

func isGood(answer wire.RunAnswer) bool {
	return answer.Outcome == outcome.Ran && answer.Status < http.StatusInternalServerError
}

func isOverload(answer wire.RunAnswer) bool {
	return answer.Outcome == outcome.NotRun && (answer.Reason == outcome.Overloaded || answer.Reason == outcome.Shed)
}
