package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
)

// HeaderAttempt carries the id of an attempt to an upstream. An upstream that
// repeats it in its answers lets its gate tell them apart, and so reuse
// connections.
const HeaderAttempt = "Cactus-Attempt"

// spareConnections is how many connections beyond its slots a gate may open,
// for those that close.
const spareConnections = 2

// upstreamClient sends requests to one upstream.
type upstreamClient struct {
	address string
	reusing *http.Transport
	single  *http.Transport
	// repeats says that the upstream repeats HeaderAttempt.
	repeats atomic.Bool
}

// sendResult is what an attempt says about the upstream's health.
type sendResult struct {
	failed bool
	// shed says that the upstream refused for load.
	shed bool
	// abandoned says that the caller went away first.
	abandoned bool
}

var errOtherAnswer = errors.New("the answer belongs to another attempt")

func newUpstreamClient(ann Announcement) *upstreamClient {
	limit := min(ann.Connections, ann.Slots+spareConnections)
	return &upstreamClient{
		address: ann.Address,
		reusing: &http.Transport{MaxConnsPerHost: limit, MaxIdleConnsPerHost: limit, DisableCompression: true},
		single:  &http.Transport{MaxConnsPerHost: limit, DisableKeepAlives: true, DisableCompression: true},
	}
}

// send runs one attempt on the upstream. The slot is held by the caller.
func (up *upstreamClient) send(ctx context.Context, req wire.RunRequest) (wire.RunAnswer, sendResult) {
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	hreq, wrote, err := up.request(ctx, req)
	if err != nil {
		return wire.NotRun(outcome.BadRequest, err.Error()), sendResult{abandoned: true}
	}
	resp, err := up.transport(req).RoundTrip(hreq)
	if err != nil {
		return up.failure(ctx, wrote.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := up.readAnswer(req, resp)
	if err != nil {
		return up.failure(ctx, true, err)
	}
	return answerOf(resp, body)
}

// transport returns the one to send a request with. On a reused connection the
// HTTP library may repeat a GET whose connection the upstream closed, so
// non-idempotent ones get a connection of their own.
func (up *upstreamClient) transport(req wire.RunRequest) *http.Transport {
	canBeRepeated := req.Method == http.MethodGet || req.Method == http.MethodHead
	if up.repeats.Load() && (req.Idempotent || !canBeRepeated) {
		return up.reusing
	}
	return up.single
}

// request makes the HTTP request. Its body can't be sent twice, and the key
// travels under a name that the HTTP library does not take for a permission to
// repeat the request.
func (up *upstreamClient) request(ctx context.Context, req wire.RunRequest) (*http.Request, *atomic.Bool, error) {
	wrote := &atomic.Bool{}
	body := io.NopCloser(bytes.NewReader(req.Body))
	hreq, err := http.NewRequestWithContext(traceWrites(ctx, wrote), req.Method, "http://"+up.address+req.URI, body)
	if err != nil {
		return nil, wrote, fmt.Errorf("make request: %w", err)
	}
	hreq.ContentLength = int64(len(req.Body))
	hreq.GetBody = nil
	if len(req.Body) == 0 {
		hreq.Body = http.NoBody
	}
	for name, values := range req.Header {
		if name == outcome.HeaderKey {
			name = lowerKeyHeader
		}
		hreq.Header[name] = values
	}
	hreq.Header.Set(HeaderAttempt, req.Attempt)
	hreq.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(req.Remaining.Milliseconds(), 10))
	return hreq, wrote, nil
}

// readAnswer reads the whole body. An answer whose end can't be told from a
// cut one is an error.
func (up *upstreamClient) readAnswer(req wire.RunRequest, resp *http.Response) ([]byte, error) {
	repeated := resp.Header.Get(HeaderAttempt)
	if repeated != "" && repeated != req.Attempt {
		return nil, errOtherAnswer
	}
	up.repeats.Store(repeated != "")
	hasEnd := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed
	if !hasEnd {
		return nil, errors.New("the answer has neither a length nor chunks; a cut one could not be told from a whole one")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(req.BodyLimit)+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > req.BodyLimit {
		return nil, fmt.Errorf("the answer is larger than %d bytes", req.BodyLimit)
	}
	return body, nil
}

// failure tells what is known of an attempt without a whole answer. Only a
// request of which no byte was written is proved not to have run.
func (up *upstreamClient) failure(ctx context.Context, wrote bool, err error) (wire.RunAnswer, sendResult) {
	if errors.Is(err, errOtherAnswer) {
		up.reusing.CloseIdleConnections()
	}
	abandoned := errors.Is(ctx.Err(), context.Canceled)
	if !wrote {
		return wire.NotRun(outcome.UpstreamFailed, err.Error()), sendResult{failed: !abandoned, abandoned: abandoned}
	}
	reason := outcome.UpstreamFailed
	if ctx.Err() != nil {
		reason = outcome.Deadline
	}
	return wire.Unknown(reason, err.Error()), sendResult{failed: !abandoned, abandoned: abandoned}
}

func answerOf(resp *http.Response, body []byte) (wire.RunAnswer, sendResult) {
	header := wire.Header(resp.Header.Clone())
	for _, name := range hopHeaders {
		delete(header, name)
	}
	notRun := resp.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun)
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	shed := busy && (notRun || resp.Header.Get("Retry-After") != "")
	if shed && notRun {
		return wire.NotRun(outcome.Shed, "the upstream sheds load"), sendResult{shed: true}
	}
	failed := resp.StatusCode >= http.StatusInternalServerError && !shed
	answer := wire.RunAnswer{Outcome: outcome.Ran, Status: resp.StatusCode, Header: header, Body: body}
	return answer, sendResult{failed: failed, shed: shed}
}
