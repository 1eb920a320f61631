package ingress

import (
	"context"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/outcome"
)

// claimBound is how long after its arrival a request may still begin. It is
// shorter than the time that a released key stays closed, so that a refusal as
// notRun also holds for attempts that are still on their way.
const claimBound = time.Second

// runOnce runs a non-idempotent request at most once: its key is claimed
// first, and only proof that nothing ran permits another attempt.
func (in *Ingress) runOnce(ctx context.Context, jo *job) wire.RunAnswer {
	if in.opts.Claims == nil {
		if refusal, refused := in.throttled(jo); refused {
			return refusal
		}
		answer := in.tryUntilRun(ctx, jo)
		in.throttle(jo).Note(!isOverload(answer))
		return answer
	}
	if !jo.keyed {
		if refusal, refused := in.throttled(jo); refused {
			return refusal
		}
		key, err := claim.NewKey()
		if err != nil {
			return wire.NotRun(outcome.ClaimFailed, err.Error())
		}
		jo.key = key
		jo.run.Header[outcome.HeaderKey] = []string{key}
	} else if _, err := claim.KeyTime(jo.key); err != nil {
		// Such a key never runs, in this attempt or another one.
		return wire.NotRun(outcome.BadKey, outcome.HeaderKey+": want a UUID of version 7 in lower case")
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimBound)
	grant := in.opts.Claims.Acquire(claimCtx, jo.key, newAttempt())
	cancel()
	if grant.Result != claim.Won {
		return lostClaim(jo, grant)
	}
	return in.runClaimed(ctx, jo, grant)
}

// runClaimed runs the request of a key that this attempt holds.
func (in *Ingress) runClaimed(ctx context.Context, jo *job, grant claim.Grant) wire.RunAnswer {
	if in.opts.Clock.Now().Sub(jo.began) > claimBound {
		return in.release(jo, grant, wire.NotRun(outcome.ClaimFailed, "the claim took too long"))
	}
	if jo.keyed {
		if refusal, refused := in.throttled(jo); refused {
			return in.release(jo, grant, refusal)
		}
	}
	answer := in.tryUntilRun(ctx, jo)
	in.throttle(jo).Note(!isOverload(answer))
	switch answer.Outcome {
	case outcome.NotRun:
		return in.release(jo, grant, answer)
	case outcome.Ran:
		in.opts.Claims.Record(grant, recordOf(answer))
	}
	return answer
}

// tryUntilRun tries upstreams as long as each one proves that it ran nothing.
func (in *Ingress) tryUntilRun(ctx context.Context, jo *job) wire.RunAnswer {
	in.deposit(jo)
	sea := in.newSearch(jo)
	for {
		cho, ok := sea.next(ctx)
		if !ok {
			return sea.last
		}
		answer := in.try(ctx, jo, cho).answer
		sea.note(answer)
		if answer.Outcome != outcome.NotRun || !in.mayRepeat(jo, cho, answer) {
			return sea.last
		}
	}
}

// release gives back the key of a request that was not run. Without a majority
// that knows it, a caller that sends its key again is told `unknown`.
func (in *Ingress) release(jo *job, grant claim.Grant, answer wire.RunAnswer) wire.RunAnswer {
	if !jo.keyed {
		go in.opts.Claims.Release(grant) // Nobody else knows the key.
		return answer
	}
	if !in.opts.Claims.Release(grant) {
		answer.Outcome = outcome.Unknown
		answer.Detail += "; the key could not be given back"
	}
	return answer
}

// lostClaim answers a request whose key was not won.
func lostClaim(jo *job, grant claim.Grant) wire.RunAnswer {
	switch grant.Result {
	case claim.LostFinished:
		return replay(grant.Record)
	case claim.LostRunning:
		return wire.Unknown(outcome.Running, "another attempt with this key runs or may have run")
	case claim.LostClosed:
		return wire.NotRun(outcome.KeyClosed, "an attempt with this key was refused a moment ago; come back")
	case claim.LostTooOld:
		return wire.Unknown(outcome.KeyTooOld, "the key is too old to tell whether it ran")
	}
	answer := wire.NotRun(outcome.ClaimFailed, "too few claim holders could vote on this key")
	if jo.keyed {
		answer.Outcome = outcome.Unknown
	}
	return answer
}

// replay answers with what the first attempt of a key got.
func replay(rec *claim.Record) wire.RunAnswer {
	if rec == nil || !rec.Whole {
		return wire.Unknown(outcome.Running, "a request with this key ran; its answer was not kept")
	}
	header := wire.Header{outcome.HeaderReplayed: {"true"}}
	for name, value := range rec.Header {
		header[name] = []string{value}
	}
	return wire.RunAnswer{Outcome: outcome.Ran, Status: rec.Status, Header: header, Body: rec.Body}
}

func recordOf(answer wire.RunAnswer) *claim.Record {
	rec := &claim.Record{Status: answer.Status, Header: make(map[string]string), Body: answer.Body, Whole: true}
	for name, values := range answer.Header {
		if len(values) == 1 {
			rec.Header[name] = values[0]
		}
	}
	return rec
}
