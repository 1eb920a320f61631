package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/outcome"
)

const (
	// safeIdle is how long a connection may have been idle for a request that
	// must not run twice: a reset of it would leave its outcome unknown.
	safeIdle = 2 * time.Second
	// maxStrayAnswers bounds the answers to other requests that are skipped.
	maxStrayAnswers = 4
	// inlineWrite is the largest request, in bytes, that is written before its
	// answer is read; the upstream may answer a larger one before it has read it.
	inlineWrite = 32 << 10
)

// upstreamClient sends requests to one upstream.
type upstreamClient struct {
	id      string
	dialect dialect.Upstream
	conns   *connections
}

// sendResult is what an attempt says about the upstream's health.
type sendResult struct {
	failed bool
	// shed says that the upstream refused for load.
	shed bool
	// abandoned says that the caller went away first.
	abandoned bool
	// unreachable says that the upstream accepted no connection.
	unreachable bool
	// misdirected says that another upstream has the address.
	misdirected bool
}

var (
	errOtherAnswer = errors.New("the answer belongs to another attempt")
	errNoEnd       = errors.New("the answer has neither a length nor chunks; a cut one could not be told from a whole one")
)

func newUpstreamClient(ann Announcement, dia dialect.Upstream) *upstreamClient {
	return &upstreamClient{id: ann.ID, dialect: dia, conns: &connections{address: ann.Address, most: ann.concurrency()}}
}

// send runs one attempt on the upstream. The slot is held by the caller.
func (up *upstreamClient) send(ctx context.Context, req wire.RunRequest) (wire.RunAnswer, sendResult) {
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	hreq, err := up.request(req)
	if err != nil {
		return wire.NotRun(outcome.BadRequest, err.Error()), sendResult{abandoned: true}
	}
	maxIdle := defaultKeepAlive
	if !req.Idempotent {
		maxIdle = safeIdle
	}
	con, err := up.conns.take(ctx, maxIdle)
	if err != nil {
		abandoned := errors.Is(ctx.Err(), context.Canceled)
		return wire.NotRun(outcome.UpstreamFailed, err.Error()), sendResult{failed: !abandoned, abandoned: abandoned, unreachable: !abandoned}
	}
	exc := &exchange{client: up, con: con, req: req, hreq: hreq, attempt: hreq.Header.Get(up.dialect.Attempt)}
	return exc.run(ctx)
}

// request makes the HTTP request, with its target as it came.
func (up *upstreamClient) request(req wire.RunRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(req.URI)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	host := req.Host
	if host == "" {
		host = up.conns.address
	}
	hreq := &http.Request{
		Method: req.Method, URL: target, Host: host, Header: make(http.Header, len(req.Header)+3),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(req.Body)),
	}
	if req.URI[0] == '/' && (len(req.URI) == 1 || req.URI[1] != '/') {
		hreq.URL = &url.URL{Opaque: req.URI} // Written byte for byte.
	}
	if len(req.Body) > 0 {
		hreq.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	for name, values := range req.Header {
		hreq.Header[name] = values
	}
	if hreq.Header["User-Agent"] == nil {
		hreq.Header["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	if !up.dialect.KeepsAttempt {
		hreq.Header.Set(up.dialect.Attempt, req.Attempt)
	}
	hreq.Header.Set(up.dialect.Deadline, strconv.FormatInt(req.Remaining.Milliseconds(), 10))
	if up.dialect.Target != "" {
		hreq.Header.Set(up.dialect.Target, up.id)
	}
	return hreq, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	client  *upstreamClient
	con     *connection
	req     wire.RunRequest
	hreq    *http.Request
	attempt string
	// reuse says that the connection may serve another request.
	reuse bool
	// strayed says that an answer to another request came first.
	strayed bool
}

func (ex *exchange) run(ctx context.Context) (wire.RunAnswer, sendResult) {
	_ = ex.con.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = ex.con.SetDeadline(time.Unix(1, 0)) })
	answer, res := ex.converse(ctx)
	if stop() && ex.reuse {
		ex.client.conns.put(ex.con)
	} else {
		_ = ex.con.Close()
	}
	return answer, res
}

func (ex *exchange) converse(ctx context.Context) (wire.RunAnswer, sendResult) {
	var buf bytes.Buffer
	if err := ex.hreq.Write(&buf); err != nil {
		return wire.NotRun(outcome.BadRequest, err.Error()), sendResult{abandoned: true}
	}
	wrote := make(chan error, 1)
	if buf.Len() <= inlineWrite {
		if sent, err := ex.con.Write(buf.Bytes()); err != nil && sent == 0 {
			return ex.notSent(ctx, err)
		}
		// A write that failed midway shows in the answer, or in its absence.
		wrote <- nil
	} else {
		go func() {
			_, err := ex.con.Write(buf.Bytes())
			wrote <- err
		}()
	}
	resp, body, err := ex.read() //nolint:bodyclose // It read the body and closed it.
	if err != nil {
		return ex.failure(ctx, err)
	}
	select {
	case err := <-wrote:
		ex.reuse = ex.reuse && err == nil
	default:
		ex.reuse = false // The rest of the body would be taken for another request.
	}
	return ex.client.answerOf(resp, body)
}

// read returns the whole answer to this attempt; answers that were late for
// others on the connection are skipped.
func (ex *exchange) read() (*http.Response, []byte, error) {
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(ex.con.reader, ex.hreq)
		if err != nil {
			return nil, nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := ex.readBody(resp)
		_ = resp.Body.Close()
		repeated := resp.Header.Get(ex.client.dialect.Attempt)
		if repeated != "" && repeated != ex.attempt {
			ex.strayed = true
			if err != nil {
				return nil, nil, fmt.Errorf("%w: %w", errOtherAnswer, err)
			}
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		ex.con.noteKeepAlive(resp.Header.Get("Keep-Alive"))
		ex.reuse = !resp.Close && repeated != "" && !ex.strayed && ex.con.reader.Buffered() == 0
		return resp, body, nil
	}
	return nil, nil, errOtherAnswer
}

// readBody reads the whole body. An answer whose end can't be told from a cut
// one is an error.
func (ex *exchange) readBody(resp *http.Response) ([]byte, error) {
	hasEnd := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !hasEnd && !ex.client.dialect.EndsByClose {
		return nil, errNoEnd
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(ex.req.BodyLimit)+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > ex.req.BodyLimit {
		return nil, fmt.Errorf("the answer is larger than %d bytes", ex.req.BodyLimit)
	}
	return body, nil
}

// failure tells what is known of an attempt without a whole answer, of which
// bytes may have reached the upstream.
func (ex *exchange) failure(ctx context.Context, err error) (wire.RunAnswer, sendResult) {
	abandoned := errors.Is(ctx.Err(), context.Canceled)
	reason := outcome.UpstreamFailed
	if ctx.Err() != nil {
		reason = outcome.Deadline
	}
	return wire.Unknown(reason, err.Error()), sendResult{failed: !abandoned, abandoned: abandoned}
}

// notSent answers an attempt of which the kernel took no byte.
func (ex *exchange) notSent(ctx context.Context, err error) (wire.RunAnswer, sendResult) {
	abandoned := errors.Is(ctx.Err(), context.Canceled)
	return wire.NotRun(outcome.UpstreamFailed, err.Error()), sendResult{failed: !abandoned, abandoned: abandoned}
}

func (up *upstreamClient) answerOf(resp *http.Response, body []byte) (wire.RunAnswer, sendResult) {
	header := wire.Header(resp.Header)
	for _, name := range hopHeaders {
		delete(header, name)
	}
	if up.saysNotRun(resp) {
		misdirected := resp.StatusCode == http.StatusMisdirectedRequest
		return wire.NotRun(outcome.Shed, "the upstream refused the request"), sendResult{shed: !misdirected, misdirected: misdirected}
	}
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	shed := busy && resp.Header.Get("Retry-After") != ""
	failed := resp.StatusCode >= http.StatusInternalServerError && !shed
	answer := wire.RunAnswer{Outcome: outcome.Ran, Status: resp.StatusCode, Header: header, Body: body}
	return answer, sendResult{failed: failed, shed: shed}
}

// saysNotRun says whether the upstream itself says that it did not run the request.
func (up *upstreamClient) saysNotRun(resp *http.Response) bool {
	if up.dialect.NotRun != "" {
		misdirected := up.dialect.Target != "" && resp.StatusCode == http.StatusMisdirectedRequest
		return misdirected || resp.Header.Get(up.dialect.NotRun) != ""
	}
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return busy && resp.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun)
}
