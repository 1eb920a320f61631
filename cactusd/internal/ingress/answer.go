package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/events"
	"cactusstream.example/core/outcome"
)

// write sends an answer to the caller.
func (in *Ingress) write(wr http.ResponseWriter, jo *job, answer wire.RunAnswer) {
	in.note(jo, answer)
	if !isGood(answer) {
		in.failedAt.Store(in.opts.Clock.Now().UnixNano())
	}
	header := wr.Header()
	if !in.opts.Dialect.IsPlain {
		header.Set(outcome.HeaderAttempts, strconv.Itoa(jo.attempts))
		header.Set(outcome.HeaderOutcome, string(answer.Outcome))
	}
	if answer.Outcome == outcome.Ran {
		in.writeRan(wr, answer)
		return
	}
	text := fmt.Sprintf("%s: %s: %s\n", answer.Outcome, answer.Reason, answer.Detail)
	if !in.opts.Dialect.IsPlain {
		header.Set(outcome.HeaderReason, string(answer.Reason))
	}
	if in.opts.Dialect.Request != "" && jo.id != "" {
		header.Set(in.opts.Dialect.Request, jo.id)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	if wait := in.retryAfter(answer); wait != "" {
		header.Set("Retry-After", wait)
	}
	wr.WriteHeader(in.status(answer))
	_, _ = io.WriteString(wr, text)
}

// writeRan passes on the answer of an upstream.
func (in *Ingress) writeRan(wr http.ResponseWriter, answer wire.RunAnswer) {
	header := wr.Header()
	for name, values := range answer.Header {
		if !strings.HasPrefix(name, outcome.HeaderOutcome) {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	wr.WriteHeader(answer.Status)
	_, _ = wr.Write(answer.Body)
}

// note counts an answer and logs one that the fleet gave itself.
func (in *Ingress) note(jo *job, answer wire.RunAnswer) {
	in.opts.Metrics.Counter("ingress.outcome." + string(answer.Outcome)).Inc(1)
	fields := logrus.Fields{
		"request": jo.id, "service": jo.path.Service, "kind": jo.path.Kind, "outcome": answer.Outcome, "attempts": jo.attempts,
		"endpoints": jo.tried, "heldMillis": in.opts.Clock.Now().Sub(jo.began).Milliseconds(), "settings": in.opts.Holder.Current().Version,
	}
	if answer.Outcome == outcome.Ran {
		fields["status"] = answer.Status
		in.opts.Log.Write(events.RequestEnded, fields)
		return
	}
	fields["reason"], fields["detail"], fields["retryAfterMillis"] = answer.Reason, answer.Detail, answer.RetryAfter.Milliseconds()
	in.opts.Log.Write(events.RequestFailed, fields)
	in.opts.Metrics.Counter("ingress.reason." + string(answer.Reason)).Inc(1)
}

// status returns the HTTP status of an answer of the fleet itself.
func (in *Ingress) status(answer wire.RunAnswer) int {
	status := answer.Reason.Status()
	if !in.opts.Dialect.StrictRefusals {
		return status
	}
	isRefusal := status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
	switch {
	case !isRefusal:
		return status
	case answer.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	case answer.Reason == outcome.Deadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// retryAfter returns when the caller may come back, in seconds, or "". Callers
// of the product's own contract get whole seconds.
func (in *Ingress) retryAfter(answer wire.RunAnswer) string {
	if in.opts.Dialect.StrictRefusals && answer.Outcome != outcome.NotRun {
		return "" // It invites a repeat, which only a proved refusal does.
	}
	wait := answer.RetryAfter
	if wait <= 0 && isPassing(answer.Reason) {
		wait = defaultRetryAfter
	}
	if wait <= 0 {
		return ""
	}
	if in.opts.Dialect.StrictRefusals {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}

// defaultRetryAfter is when callers may come back whose refusal has no estimate.
const defaultRetryAfter = time.Second

// isPassing says whether a reason may have passed soon.
func isPassing(reason outcome.Reason) bool {
	switch reason {
	case outcome.NoSettings, outcome.NoUpstream, outcome.Stopping, outcome.Overloaded, outcome.Shed, outcome.ClaimFailed, outcome.Running, outcome.KeyClosed:
		return true
	}
	return false
}
