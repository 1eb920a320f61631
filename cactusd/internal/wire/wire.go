// Package wire holds the messages that daemons exchange about requests.
//
// Usage: an ingress calls MethodRun with a RunRequest at the daemon beside the
// chosen upstream, whose gate answers with a RunAnswer. A body travels whole in
// one message, so an answer that was cut never passes for a whole one.
package wire

import (
	"time"

	"cactusstream.example/core/health"
	"cactusstream.example/core/outcome"
)

// MethodRun is the link method that asks a gate to run a request.
const MethodRun = "gate.run"

// MethodQuote is the link method that asks a gate how long a request would wait.
const MethodQuote = "gate.quote"

// MethodWithdraw is the link notice that takes back an attempt that still waits
// for a slot; its gate then answers that it did not run.
const MethodWithdraw = "gate.withdraw"

// Withdrawal names an attempt.
type Withdrawal struct {
	Upstream string `codec:"u"`
	Attempt  string `codec:"a"`
}

// QuoteRequest is what a gate must know of a request to quote its wait.
type QuoteRequest struct {
	Upstream   string `codec:"u"`
	Kind       string `codec:"k"`
	Rank       int    `codec:"r,omitempty"`
	Idempotent bool   `codec:"i,omitempty"`
	// TargetIn is what is left of the target of its kind.
	TargetIn   time.Duration `codec:"c,omitempty"`
	Repeat     bool          `codec:"e,omitempty"`
	AfterTrial bool          `codec:"g,omitempty"`
}

// QuoteAnswer is the wait for a slot and the usual time of the work itself.
type QuoteAnswer struct {
	Refused outcome.Reason `codec:"x,omitempty"`
	Wait    time.Duration  `codec:"w,omitempty"`
	Need    time.Duration  `codec:"n,omitempty"`
	Load    Load           `codec:"l"`
}

// Header is the part of an HTTP header that travels.
type Header map[string][]string

// RunRequest asks the gate of an upstream to run one attempt.
type RunRequest struct {
	Attempt string `codec:"a"`
	// Request is the caller's id of the request, for logs.
	Request    string `codec:"q,omitempty"`
	Upstream   string `codec:"u"`
	Service    string `codec:"s"`
	Kind       string `codec:"k"`
	Firm       string `codec:"f"`
	Rank       int    `codec:"r"`
	Idempotent bool   `codec:"i"`
	// Trial says that the request is one of the few that show whether a sick
	// upstream is well again.
	Trial bool `codec:"y"`
	// Forced says that no better upstream is left, so that a doubtful one must do.
	Forced bool `codec:"z,omitempty"`
	// Repeat says that an earlier attempt of the request reached an upstream.
	Repeat bool `codec:"j,omitempty"`
	// AfterTrial says that it was a trial that failed, for whose repeat a part of
	// the retry budget is kept.
	AfterTrial bool   `codec:"g,omitempty"`
	Method     string `codec:"m"`
	Host       string `codec:"o,omitempty"`
	URI        string `codec:"p"`
	Header     Header `codec:"h"`
	Body       []byte `codec:"b"`
	BodyLimit  int    `codec:"l"`
	// Remaining, TargetIn and Target are durations, so that clocks need not agree.
	// Target is that of the kind, and TargetIn what is left of it.
	Remaining time.Duration   `codec:"d"`
	TargetIn  time.Duration   `codec:"c,omitempty"`
	Target    time.Duration   `codec:"t"`
	Baseline  health.Baseline `codec:"e"`
}

// Load is what an upstream has to do, first-hand from its gate.
type Load struct {
	Running int `codec:"r,omitempty"`
	Waiting int `codec:"w,omitempty"`
	// Doubtful says that the upstream gets only trials, the next one in TrialIn.
	Doubtful bool          `codec:"d,omitempty"`
	TrialIn  time.Duration `codec:"t,omitempty"`
	// Repeats is how many repeats the retry budget leaves for the upstream now.
	Repeats int `codec:"b,omitempty"`
}

// Stats is how an upstream does one kind of work.
type Stats struct {
	Median    time.Duration `codec:"m"`
	ErrorRate float64       `codec:"e"`
}

// RunAnswer is how an attempt ended.
type RunAnswer struct {
	Outcome outcome.Outcome `codec:"o"`
	Reason  outcome.Reason  `codec:"r"`
	Detail  string          `codec:"x"`
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration `codec:"y"`
	Status     int           `codec:"s"`
	Header     Header        `codec:"h"`
	Body       []byte        `codec:"b"`
	Load       Load          `codec:"l"`
	Stats      Stats         `codec:"t"`
}

// NotRun returns the answer of an attempt that proved not to run.
func NotRun(reason outcome.Reason, detail string) RunAnswer {
	return RunAnswer{Outcome: outcome.NotRun, Reason: reason, Detail: detail}
}

// Unknown returns the answer of an attempt that may have run.
func Unknown(reason outcome.Reason, detail string) RunAnswer {
	return RunAnswer{Outcome: outcome.Unknown, Reason: reason, Detail: detail}
}
