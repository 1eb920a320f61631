// Package outcome defines the outcomes and error reasons that answers report to
// callers, and the HTTP headers that carry them.
//
// Usage: with the contract of the product, every answer has the header
// Cactus-Outcome, and an error that the fleet itself generates also has
// Cactus-Reason. NotRun guarantees that the request was not executed; Unknown
// guarantees nothing.
package outcome

import "net/http"

// Outcome is what is known about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	// NotRun guarantees that no upstream ran the request.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run, may have run in part, or may still
	// be running.
	Unknown Outcome = "unknown"
	// Ran means that the answer is that of an upstream.
	Ran Outcome = "ran"
)

// Names of the HTTP headers that callers and the fleet exchange. HeaderFirm and
// HeaderPlace tell whose settings apply to a request. HeaderReplayed marks the recorded
// answer to an earlier attempt with the same key.
const (
	HeaderAttempts = "Cactus-Attempts"
	HeaderDeadline = "Cactus-Deadline-Ms"
	HeaderFirm     = "Cactus-Firm"
	HeaderKey      = "Idempotency-Key"
	HeaderOutcome  = "Cactus-Outcome"
	HeaderPlace    = "Cactus-Place"
	HeaderReason   = "Cactus-Reason"
	HeaderReplayed = "Cactus-Replayed"
	HeaderUpstream = "Cactus-Upstream"
)

// Reason is the cause of an error that the fleet generates instead of an upstream.
type Reason string

// Reasons, as sent in Cactus-Reason.
const (
	// BadKey means that the idempotency key is not a valid UUID of version 7.
	BadKey Reason = "badKey"
	// BadRequest means that the request is malformed or its body can't be read.
	BadRequest Reason = "badRequest"
	// BodyTooLarge means that the body exceeds the limit for this kind of request.
	BodyTooLarge Reason = "bodyTooLarge"
	// ClaimFailed means that too few claim holders granted the key in time.
	ClaimFailed Reason = "claimFailed"
	// Credentials means that the caller is not authorized.
	Credentials Reason = "credentials"
	// Deadline means that the deadline of the request has passed.
	Deadline Reason = "deadline"
	// Suspected means that the upstream is suspected to be in a failure burst.
	Suspected Reason = "doubtful"
	// KeyClosed means that an attempt with the same key was rejected shortly before.
	KeyClosed Reason = "keyClosed"
	// KeyTooOld means that the claims of the key may have expired.
	KeyTooOld Reason = "keyTooOld"
	// LinkLost means that the connection to the daemon of the upstream failed.
	LinkLost Reason = "linkLost"
	// RetryBudgetExhausted means that the retry budget allows no further attempt.
	RetryBudgetExhausted Reason = "noRepeats"
	// NoRoute means that no kind of request matches the method and path.
	NoRoute Reason = "noRoute"
	// NoSettings means that the daemon has not received its settings yet, or doesn't know
	// the route and can't tell whether newer settings have it.
	NoSettings Reason = "noSettings"
	// NoUpstream means that no upstream of the service is available.
	NoUpstream Reason = "noUpstream"
	// Overloaded means that a throttle, a queue limit or the expected wait time
	// excludes the request.
	Overloaded Reason = "overloaded"
	// Running means that another attempt with the same key is running or may have
	// run, or that it ran and its answer was not kept.
	Running Reason = "running"
	// OverQuota means that the organisation has used up its quota for the moment.
	OverQuota Reason = "overQuota"
	// QuotaUnavailable means that the organisation's quota can't be asked for.
	QuotaUnavailable Reason = "quotaUnavailable"
	// UpstreamRejected means that the upstream itself rejected the request.
	UpstreamRejected Reason = "shed"
	// Stopping means that the daemon or the upstream is shutting down.
	Stopping Reason = "stopping"
	// UpstreamFailed means that the connection to the upstream or its answer failed.
	UpstreamFailed Reason = "upstreamFailed"
)

// Status returns the HTTP status code for a reason.
func (re Reason) Status() int {
	switch re {
	case BadKey, BadRequest:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case Credentials:
		return http.StatusUnauthorized
	case NoRoute:
		return http.StatusNotFound
	case Deadline:
		return http.StatusGatewayTimeout
	case KeyClosed, KeyTooOld, Running:
		return http.StatusConflict
	case Overloaded, OverQuota, UpstreamRejected:
		return http.StatusTooManyRequests
	case LinkLost, UpstreamFailed:
		return http.StatusBadGateway
	case ClaimFailed, Suspected, RetryBudgetExhausted, NoSettings, NoUpstream, QuotaUnavailable, Stopping:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
