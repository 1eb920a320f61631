package quota

import "time"

// Outcome is the result of asking for one request of an organisation.
type Outcome int

// The outcomes of a request for quota.
const (
	// Admitted means that the request may run.
	Admitted Outcome = iota
	// OverLimit means that the organisation has used up its quota.
	OverLimit
	// Unavailable means that no holder of the quota can be reached.
	Unavailable
)

// Verdict is the answer to one request for quota.
type Verdict struct {
	Outcome Outcome
	// RetryAfter is when a refused request is likely to be admitted.
	RetryAfter time.Duration
}

// String returns the name of the outcome.
func (ou Outcome) String() string {
	switch ou {
	case Admitted:
		return "admitted"
	case OverLimit:
		return "overLimit"
	}
	return "unavailable"
}
