// Package dialect holds the header names and rules of the HTTP contracts with
// callers and upstreams, so that the same ingress and gate serve the product's
// own contracts and those of a platform.
//
// Usage:
//
//	in := ingress.New(ingress.Options{Dialect: dialect.DefaultCaller(), ...})
//	ga := gate.New(gate.Options{Dialect: dialect.DefaultUpstream(), ...})
//
// An empty name means that the other side does not know the header.
package dialect

import "cactusstream.example/core/outcome"

// Caller is the contract between callers and the ingress.
type Caller struct {
	// Deadline is the header with the milliseconds that the caller waits.
	Deadline string
	// Key is the header with the key that a caller may send again. Without it
	// every request is a new one, and no key is claimed for it.
	Key string
	// Request is the header with the id of the request, for logs and for
	// matching answers.
	Request string
	// Origin is the header that tells upstreams which service asks, and
	// OriginService what it holds for callers of this VM.
	Origin        string
	OriginService string
	// IsPlain leaves out the headers that explain the fleet's own answers.
	IsPlain bool
	// StrictRefusals answers every refusal that is proved with 503, and nothing
	// unproved with a status that promises a refusal.
	StrictRefusals bool
}

// Upstream is the contract between the gate and upstreams.
type Upstream struct {
	// Attempt is the header that an upstream repeats in its answer.
	Attempt string
	// KeepsAttempt says that the caller's own Attempt header is passed on.
	KeepsAttempt bool
	// Deadline is the header with the milliseconds that are left.
	Deadline string
	// Target is the header with the id of the upstream that must answer.
	Target string
	// NotRun is the header, with any value, of an answer of an upstream that did
	// not run the request.
	NotRun string
	// EndsByClose accepts answers without a length that end with their connection.
	EndsByClose bool
}

// DefaultCaller returns the product's own contract with callers.
func DefaultCaller() Caller {
	return Caller{Deadline: outcome.HeaderDeadline, Key: outcome.HeaderKey}
}

// DefaultUpstream returns the product's own contract with upstreams.
func DefaultUpstream() Upstream {
	return Upstream{Attempt: HeaderAttempt, Deadline: outcome.HeaderDeadline}
}

// HeaderAttempt carries the id of an attempt to an upstream. An upstream that
// repeats it in its answers lets its gate tell them apart, and so reuse
// connections.
const HeaderAttempt = "Cactus-Attempt"
