// Package outcome names what a caller may conclude from an answer.
//
// Usage: an error that the fleet itself answers carries the header
// Cactus-Outcome. NotRun is a promise; Unknown promises nothing.
package outcome

import "net/http"

// Outcome is what is known about the run of a request.
type Outcome string

// The outcomes.
const (
	// NotRun promises that the request was not run.
	NotRun Outcome = "notRun"
	// Unknown says that the request may have run, run in part, or still run.
	Unknown Outcome = "unknown"
	// Ran says that an upstream answered.
	Ran Outcome = "ran"
)

// Headers that callers and the fleet exchange.
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

// Reason says why the fleet answered in place of an upstream.
type Reason string

// The reasons, as sent in Cactus-Reason.
const (
	BadKey         Reason = "badKey"
	BadRequest     Reason = "badRequest"
	BodyTooLarge   Reason = "bodyTooLarge"
	ClaimFailed    Reason = "claimFailed"
	Credentials    Reason = "credentials"
	Deadline       Reason = "deadline"
	Doubtful       Reason = "doubtful"
	KeyClosed      Reason = "keyClosed"
	KeyTooOld      Reason = "keyTooOld"
	LinkLost       Reason = "linkLost"
	NoRepeats      Reason = "noRepeats"
	NoRoute        Reason = "noRoute"
	NoSettings     Reason = "noSettings"
	NoUpstream     Reason = "noUpstream"
	Overloaded     Reason = "overloaded"
	Running        Reason = "running"
	Shed           Reason = "shed"
	Stopping       Reason = "stopping"
	UpstreamFailed Reason = "upstreamFailed"
)

// Status returns the HTTP status that goes with a reason.
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
	case Overloaded, Shed:
		return http.StatusTooManyRequests
	case LinkLost, UpstreamFailed:
		return http.StatusBadGateway
	case ClaimFailed, Doubtful, NoRepeats, NoSettings, NoUpstream, Stopping:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
