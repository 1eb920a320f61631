// Package dialect defines the header names and rules of the HTTP contracts with
// callers and upstreams, so that one ingress and one gate implement the contracts
// of the product and those of a platform.
//
// Usage:
//
//	in := ingress.New(ingress.Options{Dialect: dialect.DefaultCaller(), ...})
//	ga := gate.New(gate.Options{Dialect: dialect.DefaultUpstream(), ...})
//
// An empty name means that the contract has no such header.
package dialect

import "cactusstream.example/core/outcome"

// Caller is the contract between callers and the ingress.
type Caller struct {
	// Deadline is the header with the timeout of the caller in milliseconds.
	Deadline string
	// Key is the header with the idempotency key, which a caller sends again in a
	// retry. If the contract has no such header, every request is a new one and no
	// key is claimed for it.
	Key string
	// Request is the header with the id of the request, for logs and for
	// correlating answers with requests.
	Request string
	// Origin is the header with the service that sends the request, for upstreams.
	// OriginService is its value for callers of this VM.
	Origin        string
	OriginService string
	// Credential is the header with the key of the organisation that sends the request,
	// and Organisation the one that tells upstreams the organisation's title. Credential is
	// never forwarded, and Organisation is only what the daemon sets.
	Credential   string
	Organisation string
	// OmitsDetails omits the headers with the outcome, the reason, the upstream and
	// the number of attempts.
	OmitsDetails bool
	// StrictRejections sends 503 and Retry-After only if it is certain that the
	// request did not run. Otherwise a status of 429 or 5xx becomes 504 after a
	// deadline and 502 in other cases. Other statuses stay. Retry-After is in seconds
	// with three decimals. A request over its organisation's quota gets 429 in any case.
	StrictRejections bool
}

// Upstream is the contract between the gate and upstreams.
type Upstream struct {
	// Attempt is the header with the id of the attempt, which an upstream returns in
	// its answer.
	Attempt string
	// KeepsAttempt forwards the Attempt header of the caller unchanged.
	KeepsAttempt bool
	// Deadline is the header with the time left until the deadline, in milliseconds.
	Deadline string
	// Target is the header with the id of the upstream that the request is for.
	Target string
	// NotRun is the header by which an upstream reports, with any value, that it did
	// not run the request. If it is empty, the header Cactus-Outcome is used.
	NotRun string
	// Limit is the header by which an upstream names in each answer, for as long as it
	// is in need, the requests per second that it takes from all callers together, as a
	// decimal number.
	Limit string
	// Leaving is the header by which an upstream says with the value 1, in all its answers,
	// that it leaves.
	Leaving string
	// AllowsCloseDelimited accepts answers without a length, which end when the
	// connection is closed.
	AllowsCloseDelimited bool
}

// DefaultCaller returns the contract of the product with callers.
func DefaultCaller() Caller {
	return Caller{Deadline: outcome.HeaderDeadline, Key: outcome.HeaderKey, Credential: HeaderCredential, Organisation: HeaderOrganisation}
}

// DefaultUpstream returns the contract of the product with upstreams.
func DefaultUpstream() Upstream {
	return Upstream{Attempt: HeaderAttempt, Deadline: outcome.HeaderDeadline, Limit: HeaderLimit, Leaving: HeaderLeaving}
}

// HeaderAttempt is the header with the id of an attempt. If an upstream returns it in
// its answers, the gate can match answers to attempts and reuse connections.
const HeaderAttempt = "Cactus-Attempt"

// Headers of the product for the key of an organisation and for its title.
const (
	HeaderCredential   = "Cactus-Credential"
	HeaderOrganisation = "Cactus-Organisation"
)

// Headers of the product by which upstreams limit their requests, and say that they leave.
const (
	HeaderLimit   = "Cactus-Limit"
	HeaderLeaving = "Cactus-Leaving"
)
