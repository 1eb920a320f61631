// Package wire defines the messages that daemons exchange to run callers' requests.
//
// Usage: an ingress, the part of a daemon that accepts callers' requests, sends a
// RunRequest with MethodRun to the daemon on the VM of the chosen upstream. The gate
// in that daemon, which controls admission to the upstream, responds with a
// RunAnswer. A body is sent whole in one message, so a truncated response is never
// mistaken for a complete one. A large body is passed on beside the messages, as a stream
// (package core/stream), which the message names.
package wire

import (
	"fmt"
	"time"

	"golang.org/x/net/http/httpguts"

	"cactusstream.example/core/health"
	"cactusstream.example/core/link"
	"cactusstream.example/core/outcome"
)

// MaxBody limits the body of a request or a response, in bytes: it travels in one frame,
// with the headers.
const MaxBody = link.MaxFrameSize - maxFrameHeaders

// maxFrameHeaders is the part of a frame that is left for the headers, in bytes.
const maxFrameHeaders = 256 << 10

const (
	// MaxWholeRequest is the largest body of a request that is sent in its message, in
	// bytes, if the gate fetches streams. A request whose body is held can be sent again.
	MaxWholeRequest = 256 << 10
	// MaxWholeAnswer is the same for the body of a response, if the ingress fetches
	// streams. It is larger, because a response that is held frees the upstream's slot.
	MaxWholeAnswer = 1 << 20
)

// Stream names a body that is passed on as a stream. The process at Address, or the sender
// of the message if it is empty, offers it under Token.
type Stream struct {
	Token   string `codec:"t"`
	Address string `codec:"a,omitempty"`
	// Length is the number of bytes, or -1 if it is not known.
	Length int64 `codec:"l"`
}

// MethodRunStream is like MethodRun, for a request whose body is a stream or whose answer
// may be one. A gate that does not know streams rejects the method; with MethodRun it would
// run the request without its body. Requests of kinds with small bodies use MethodRun, whose
// messages say nothing about streams.
const MethodRunStream = "gate.runStream"

// StreamRunRequest is the message of MethodRunStream.
type StreamRunRequest struct {
	Run     RunRequest `codec:"r"`
	Body    *Stream    `codec:"b,omitempty"`
	Accepts bool       `codec:"a,omitempty"`
}

// StreamRunAnswer is the answer to a StreamRunRequest.
type StreamRunAnswer struct {
	Run  RunAnswer `codec:"r"`
	Body *Stream   `codec:"b,omitempty"`
}

// MethodRun is the link method that asks a gate to run a request.
const MethodRun = "gate.run"

// MethodEstimateWait is the link method that asks a gate for a wait estimate: how long
// a request would be queued and run.
const MethodEstimateWait = "gate.quote"

// MethodWithdraw is the link notification that cancels an attempt that is still
// queued for a slot; its gate then reports that the attempt did not run.
const MethodWithdraw = "gate.withdraw"

// Withdrawal identifies the attempt to cancel.
type Withdrawal struct {
	Upstream string `codec:"u"`
	Attempt  string `codec:"a"`
}

// WaitEstimateRequest holds what a gate needs to know about a request to estimate its
// wait.
type WaitEstimateRequest struct {
	Upstream string `codec:"u"`
	Kind     string `codec:"k"`
	Rank     int    `codec:"r,omitempty"`
	// OrganisationRank is as in RunRequest.
	OrganisationRank int  `codec:"n,omitempty"`
	Idempotent       bool `codec:"i,omitempty"`
	// TargetRemaining is the time left until the target latency of the request's kind
	// has passed. 0 means that there is no target.
	TargetRemaining time.Duration `codec:"c,omitempty"`
	Retry           bool          `codec:"e,omitempty"`
	AfterTrial      bool          `codec:"g,omitempty"`
	// KnownLimit is as in RunRequest.
	KnownLimit float64 `codec:"v,omitempty"`
	// Firm and the fields of CostClass are as in RunRequest. They are set only if the
	// settings of the service say that its gates use them.
	Firm string `codec:"f,omitempty"`
	CostClass
}

// CostClass holds what an ingress knows about the cost of a request, in addition to its
// kind and firm: the size class of its body and the shape of its path, as package
// workcost defines them.
type CostClass struct {
	SizeClass uint8  `codec:"ws,omitempty"`
	PathShape uint32 `codec:"wp,omitempty"`
}

// WaitEstimate is the expected time in the queue for a slot (Wait) and the usual
// duration of the request itself (ExpectedDuration).
type WaitEstimate struct {
	// Rejected is the reason for which the gate would reject the request, or "".
	Rejected         outcome.Reason `codec:"x,omitempty"`
	Wait             time.Duration  `codec:"w,omitempty"`
	ExpectedDuration time.Duration  `codec:"n,omitempty"`
	Load             Load           `codec:"l"`
}

// Header holds the HTTP header fields that are forwarded.
type Header map[string][]string

// RunRequest asks the gate of an upstream to run one attempt.
type RunRequest struct {
	Attempt string `codec:"a"`
	// Request is the request id that the caller sent, for logs.
	Request  string `codec:"q,omitempty"`
	Upstream string `codec:"u"`
	Service  string `codec:"s"`
	Kind     string `codec:"k"`
	Firm     string `codec:"f"`
	Rank     int    `codec:"r"`
	// OrganisationRank is the rank of the organisation, Firm, that sends the request. It
	// is 0 for a request without an organisation.
	OrganisationRank int  `codec:"n,omitempty"`
	Idempotent       bool `codec:"i"`
	// Trial marks a trial request, which shows whether an ejected or suspected
	// upstream works again.
	Trial bool `codec:"y"`
	// LastResort marks a request that is sent to a suspected upstream because no
	// trusted one is available.
	LastResort bool `codec:"z,omitempty"`
	// Retry marks a retry: an earlier attempt of the request reached an upstream.
	Retry bool `codec:"j,omitempty"`
	// AfterTrial means that the attempt before this retry was a failed trial
	// request. Part of the retry budget is reserved for such retries.
	AfterTrial bool `codec:"g,omitempty"`
	// KnownLimit is the last known Load.Limit of the upstream. A gate that has restarted
	// learns it so.
	KnownLimit float64 `codec:"v,omitempty"`
	Method     string  `codec:"m"`
	Host       string  `codec:"o,omitempty"`
	URI        string  `codec:"p"`
	Header     Header  `codec:"h"`
	Body       []byte  `codec:"b"`
	BodyLimit  int     `codec:"l"`
	// BodyStream is the body, if it isn't in Body, and AcceptsStream means that the answer
	// may have a BodyStream. A StreamRunRequest carries them.
	BodyStream    *Stream `codec:"-"`
	AcceptsStream bool    `codec:"-"`
	// Remaining, TargetRemaining and Target are durations rather than times, so the
	// daemons' clocks need not be synchronized. Target is the target latency of
	// the request's kind, and TargetRemaining the part of it that is left.
	Remaining       time.Duration   `codec:"d"`
	TargetRemaining time.Duration   `codec:"c,omitempty"`
	Target          time.Duration   `codec:"t"`
	Baseline        health.Baseline `codec:"e"`
	CostClass
}

// Load is the current load of an upstream, as reported by its own gate.
type Load struct {
	Running int `codec:"r,omitempty"`
	Queued  int `codec:"w,omitempty"`
	// Suspected means that the upstream is suspected and receives only trial
	// requests, the next one after TrialIn.
	Suspected bool          `codec:"d,omitempty"`
	TrialIn   time.Duration `codec:"t,omitempty"`
	// RetriesLeft is the number of retries that the retry budget currently allows for
	// the upstream.
	RetriesLeft int `codec:"b,omitempty"`
	// Limit is the number of requests per second that the upstream takes, NoLimit if it
	// has named none, or 0 if that is unknown.
	Limit float64 `codec:"m,omitempty"`
	// Leaving means that the upstream gets no new requests because it leaves.
	Leaving bool `codec:"l,omitempty"`
}

// NoLimit is the value of Load.Limit for an upstream that has named no limit.
const NoLimit = -1

// Stats holds the latency and the error rate of an upstream for one kind of
// request.
type Stats struct {
	Median    time.Duration `codec:"m"`
	ErrorRate float64       `codec:"e"`
}

// RunAnswer is the result of an attempt.
type RunAnswer struct {
	Outcome outcome.Outcome `codec:"o"`
	Reason  outcome.Reason  `codec:"r"`
	Detail  string          `codec:"x"`
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration `codec:"y"`
	Status     int           `codec:"s"`
	Header     Header        `codec:"h"`
	Body       []byte        `codec:"b"`
	// BodyStream is the body, if it isn't in Body. A StreamRunAnswer carries it.
	BodyStream *Stream `codec:"-"`
	Load       Load    `codec:"l"`
	Stats      Stats   `codec:"t"`
}

// BodySize returns the number of bytes of the body. A stream without a length has more than
// MaxWholeAnswer, or it would have been held.
func (ru RunAnswer) BodySize() int {
	if ru.BodyStream == nil {
		return len(ru.Body)
	}
	return max(int(ru.BodyStream.Length), MaxWholeAnswer)
}

// NotRun returns the result of an attempt that is proven not to have run.
func NotRun(reason outcome.Reason, detail string) RunAnswer {
	return RunAnswer{Outcome: outcome.NotRun, Reason: reason, Detail: detail}
}

// Unknown returns the result of an attempt that may have run.
func Unknown(reason outcome.Reason, detail string) RunAnswer {
	return RunAnswer{Outcome: outcome.Unknown, Reason: reason, Detail: detail}
}

// The range of the statuses of final responses. RFC 9110, section 15, calls statuses outside
// 100 to 599 invalid. net/http parses any three digits, so that 000 reads like an
// informational response, and panics when it is to write such a status.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// MaxShownName is the part of an invalid field name that errors show, in characters.
const MaxShownName = 64

// IsFinalStatus reports whether a response with the status can be the answer to a request.
func IsFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxFinalStatus
}

// Checked returns the answer, or one that may have run if the answer has a status or a field
// name that no response of an upstream can have. Daemons of earlier versions pass such
// responses on.
func (ru RunAnswer) Checked() RunAnswer {
	if ru.Outcome != outcome.Ran {
		return ru
	}
	err := ru.checkHead()
	if err == nil {
		return ru
	}
	checked := Unknown(outcome.UpstreamFailed, err.Error())
	checked.Load, checked.Stats = ru.Load, ru.Stats
	return checked
}

// checkHead returns an error if no response can have the status or a field name of the answer.
func (ru RunAnswer) checkHead() error {
	if !IsFinalStatus(ru.Status) {
		return fmt.Errorf("the response of the upstream has the invalid status %d", ru.Status)
	}
	for name := range ru.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("the response of the upstream has the invalid field name %.*q", MaxShownName, name)
		}
	}
	return nil
}
