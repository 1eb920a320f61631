package ingress

import (
	"context"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/outcome"
)

// claimTimeout is how long after its arrival a request may still start. It is
// shorter than the time for which a released key stays closed, so that a notRun
// answer also holds for other attempts with the key that are still on their way.
const claimTimeout = time.Second

// runOnce runs a non-idempotent request at most once: its key is claimed first,
// and another attempt follows only if the one before is proven not to have run.
func (in *Ingress) runOnce(ctx context.Context, req *request) wire.RunAnswer {
	if in.opts.Claims == nil {
		if rejection, rejected := in.throttled(req); rejected {
			return rejection
		}
		answer := in.tryUntilRun(ctx, req)
		in.throttle(req).Record(!isOverload(answer))
		return answer
	}
	if !req.hasCallerKey {
		if rejection, rejected := in.throttled(req); rejected {
			return rejection
		}
		key, err := claim.NewKey()
		if err != nil {
			return wire.NotRun(outcome.ClaimFailed, err.Error())
		}
		req.key = key
		req.runRequest.Header[outcome.HeaderKey] = []string{key}
	} else if _, err := claim.KeyTime(req.key); err != nil {
		// A request with an invalid key is never run, in this attempt or in another
		// one, so notRun is certain.
		return wire.NotRun(outcome.BadKey, outcome.HeaderKey+": must be a UUID of version 7 in lower case")
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	grant := in.opts.Claims.Acquire(claimCtx, req.key, newAttemptID())
	cancel()
	if grant.Result != claim.Won {
		return lostClaimAnswer(req, grant)
	}
	return in.runClaimed(ctx, req, grant)
}

// runClaimed runs the request whose key this attempt has claimed.
func (in *Ingress) runClaimed(ctx context.Context, req *request, grant claim.Grant) wire.RunAnswer {
	if in.opts.Clock.Now().Sub(req.receivedAt) > claimTimeout {
		return in.release(req, grant, wire.NotRun(outcome.ClaimFailed, "claiming the idempotency key took too long"))
	}
	if req.hasCallerKey {
		if rejection, rejected := in.throttled(req); rejected {
			return in.release(req, grant, rejection)
		}
	}
	answer := in.tryUntilRun(ctx, req)
	in.throttle(req).Record(!isOverload(answer))
	switch answer.Outcome {
	case outcome.NotRun:
		return in.release(req, grant, answer)
	case outcome.Ran:
		in.opts.Claims.Record(grant, newClaimRecord(answer))
	}
	return answer
}

// tryUntilRun sends the request to one upstream after another as long as each
// attempt is proven not to have run.
func (in *Ingress) tryUntilRun(ctx context.Context, req *request) wire.RunAnswer {
	in.deposit(req)
	se := in.newSearch(req)
	for {
		chosen, ok := se.next(ctx)
		if !ok {
			return se.lastAnswer
		}
		answer := in.attempt(ctx, req, chosen).answer
		se.recordAnswer(answer)
		if answer.Outcome != outcome.NotRun || req.body.isConsumed() || !in.mayRetry(req, chosen, answer) {
			return se.lastAnswer
		}
	}
}

// release releases the key of a request that was not run. Unless a majority of
// claim holders confirms it, the outcome for a caller that sent its own key is
// unknown.
func (in *Ingress) release(req *request, grant claim.Grant, answer wire.RunAnswer) wire.RunAnswer {
	if !req.hasCallerKey {
		go in.opts.Claims.Release(grant) // No caller knows the generated key.
		return answer
	}
	if !in.opts.Claims.Release(grant) {
		answer.Outcome = outcome.Unknown
		answer.Detail += "; the idempotency key could not be released"
	}
	return answer
}

// lostClaimAnswer returns the answer for a request whose claim was not granted.
func lostClaimAnswer(req *request, grant claim.Grant) wire.RunAnswer {
	switch grant.Result {
	case claim.LostFinished:
		return replay(grant.Record)
	case claim.LostRunning:
		return wire.Unknown(outcome.Running, "another attempt with this key is running or may have run")
	case claim.LostClosed:
		return wire.NotRun(outcome.KeyClosed, "an attempt with this key was rejected a moment ago; retry later")
	case claim.LostTooOld:
		return wire.Unknown(outcome.KeyTooOld, "the key is too old to tell whether its request ran")
	}
	answer := wire.NotRun(outcome.ClaimFailed, "too few claim holders responded to decide on this key")
	if req.hasCallerKey {
		answer.Outcome = outcome.Unknown
	}
	return answer
}

// replay returns the stored response of the first attempt with the key.
func replay(rec *claim.Record) wire.RunAnswer {
	if rec == nil || !rec.Whole {
		return wire.Unknown(outcome.Running, "a request with this key has run, but its response was not stored")
	}
	header := wire.Header{outcome.HeaderReplayed: {"true"}}
	for name, value := range rec.Header {
		header[name] = []string{value}
	}
	return wire.RunAnswer{Outcome: outcome.Ran, Status: rec.Status, Header: header, Body: rec.Body}.Checked()
}

func newClaimRecord(answer wire.RunAnswer) *claim.Record {
	rec := &claim.Record{Status: answer.Status, Header: make(map[string]string), Body: answer.Body, Whole: answer.BodyStream == nil}
	for name, values := range answer.Header {
		if len(values) == 1 {
			rec.Header[name] = values[0]
		}
	}
	return rec
}
