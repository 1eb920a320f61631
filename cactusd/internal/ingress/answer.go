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

// write sends the answer to the caller.
func (in *Ingress) write(wr http.ResponseWriter, req *request, answer wire.RunAnswer) {
	in.recordOutcome(req, answer)
	if !isSuccess(answer) && !req.callerAtFault {
		in.lastFailureAt.Store(in.opts.Clock.Now().UnixNano())
	}
	header := wr.Header()
	if !in.opts.Dialect.OmitsDetails {
		header.Set(outcome.HeaderAttempts, strconv.Itoa(req.attempts))
		header.Set(outcome.HeaderOutcome, string(answer.Outcome))
	}
	if req.body != nil && !req.body.isRead() {
		header.Set("Connection", "close") // The caller would take the rest of its body for read.
	}
	if answer.Outcome == outcome.Ran {
		in.writeUpstreamAnswer(wr, req, answer)
		return
	}
	text := fmt.Sprintf("%s: %s: %s\n", answer.Outcome, answer.Reason, answer.Detail)
	if !in.opts.Dialect.OmitsDetails {
		header.Set(outcome.HeaderReason, string(answer.Reason))
	}
	if in.opts.Dialect.Request != "" && req.id != "" {
		header.Set(in.opts.Dialect.Request, req.id)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	if wait := in.retryAfter(answer); wait != "" {
		header.Set("Retry-After", wait)
	}
	wr.WriteHeader(in.status(answer))
	_, _ = io.WriteString(wr, text)
}

// writeUpstreamAnswer forwards the response of an upstream.
func (in *Ingress) writeUpstreamAnswer(wr http.ResponseWriter, req *request, answer wire.RunAnswer) {
	header := wr.Header()
	for name, values := range answer.Header {
		if !strings.HasPrefix(name, outcome.HeaderOutcome) {
			header[name] = values
		}
	}
	if answer.BodyStream != nil {
		in.writeStream(wr, req, answer)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	wr.WriteHeader(answer.Status)
	in.opts.Bodies.Hold(answer.Body)
	defer in.opts.Bodies.Release(answer.Body)
	_, _ = wr.Write(answer.Body)
}

// recordOutcome counts and logs the outcome of a request.
func (in *Ingress) recordOutcome(req *request, answer wire.RunAnswer) {
	in.opts.Metrics.Counter("ingress.outcome." + string(answer.Outcome)).Inc(1)
	fields := logrus.Fields{
		"request": req.id, "service": req.path.Service, "kind": req.path.Kind, "outcome": answer.Outcome, "attempts": req.attempts,
		"endpoints": req.triedEndpoints, "heldMillis": in.opts.Clock.Now().Sub(req.receivedAt).Milliseconds(), "settings": in.opts.Replica.Current().Version,
	}
	if req.organisation != nil {
		fields["organisation"] = req.organisation.Name
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

// status returns the HTTP status of an answer that does not come from an
// upstream.
func (in *Ingress) status(answer wire.RunAnswer) int {
	status := answer.Reason.Status()
	if !in.opts.Dialect.StrictRejections || answer.Reason == outcome.OverQuota {
		return status
	}
	isRejection := status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
	switch {
	case !isRejection:
		return status
	case answer.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	case answer.Reason == outcome.Deadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// retryAfter returns the Retry-After value in seconds, or "" for none. Callers
// of the product's own protocol get whole seconds; dialects with StrictRejections
// get milliseconds after the decimal point.
func (in *Ingress) retryAfter(answer wire.RunAnswer) string {
	if in.opts.Dialect.StrictRejections && answer.Outcome != outcome.NotRun {
		return "" // Retry-After invites a retry, which is safe only if the request is proven not to have run.
	}
	wait := answer.RetryAfter
	if wait <= 0 && isTransient(answer.Reason) {
		wait = defaultRetryAfter
	}
	if wait <= 0 {
		return ""
	}
	if in.opts.Dialect.StrictRejections {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}

// defaultRetryAfter applies to rejections without an estimate of when a retry
// may succeed.
const defaultRetryAfter = time.Second

// isTransient reports whether the cause of a rejection may be gone soon.
func isTransient(reason outcome.Reason) bool {
	switch reason {
	case outcome.NoSettings, outcome.NoUpstream, outcome.Stopping, outcome.Overloaded, outcome.UpstreamRejected, outcome.OverQuota, outcome.QuotaUnavailable, outcome.ClaimFailed, outcome.Running, outcome.KeyClosed:
		return true
	}
	return false
}
