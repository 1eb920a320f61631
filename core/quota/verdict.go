// Package quota divides the quota of an organisation among the daemons of the fleet.
package quota

import "time"

// Outcome is the result of asking for a request of an organisation.
type Outcome int

// The outcomes: the request is admitted, the organisation is over its limit, or nobody
// who could admit it can be reached.
const (
	Admitted Outcome = iota
	OverLimit
	Unavailable
)

// Verdict is the answer to the question whether a request of an organisation may run.
type Verdict struct {
	Outcome Outcome
	// RetryAfter is the time after which a request is likely to be admitted, or 0 if
	// that is unknown.
	RetryAfter time.Duration
}
