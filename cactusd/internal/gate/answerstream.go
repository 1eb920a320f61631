package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/stream"
)

// answerStream is a response whose body is passed on while it is read. It owns the
// connection to the upstream.
type answerStream struct {
	ex   *exchange
	resp *http.Response
	// held is the start of the body, and start the part of it that is not read yet.
	held  []byte
	start []byte
	rest  io.Reader

	releaseOnce sync.Once
}

// mayStream reports whether the body of a response may be passed on as a stream. Responses
// without a body are not, whatever length they state.
func (ex *exchange) mayStream(resp *http.Response) bool {
	return ex.client.streams != nil && ex.req.AcceptsStream && resp.Body != http.NoBody && !ex.client.reportsNotRun(resp)
}

// isFramed reports whether the end of a body can be told from its truncation.
func (ex *exchange) isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || ex.client.dialect.AllowsCloseDelimited
}

// readStart reads a body that is small enough to be held, or the start of a larger one.
func (ex *exchange) readStart(resp *http.Response) (start []byte, rest io.Reader, err error) {
	if !ex.isFramed(resp) {
		return nil, nil, errUnframedResponse
	}
	limit := int64(ex.req.BodyLimit)
	if resp.ContentLength > limit {
		return nil, nil, fmt.Errorf("read response: %w of %d bytes", bodybuffer.ErrTooLarge, limit)
	}
	var body io.Reader = resp.Body
	if resp.ContentLength < 0 {
		body = &limitedReader{reader: resp.Body, left: limit}
	}
	if resp.ContentLength > wire.MaxWholeAnswer {
		return nil, body, nil
	}
	start, rest, err = ex.client.bodies.ReadStart(nil, body, wire.MaxWholeAnswer)
	if err != nil {
		return nil, nil, fmt.Errorf("read response: %w", err)
	}
	return start, rest, nil
}

// passOn offers the body of an answer as a stream, which holds the slot until it ends.
func (gu *guard) passOn(slot *heldSlot, answer wire.RunAnswer, res sendResult, slow bool) wire.RunAnswer {
	res.answeredAt = gu.opts.Clock.Now()
	req := slot.req
	answer.BodyStream = res.pending.offer(res, func(final sendResult) {
		defer gu.releaseSlot(slot) // Only a panic has left it to that.
		gu.complete(slot, slow, final)
		gu.logAttempt(req, gu.withLoad(req.Kind, answer), slot.arrived, slot.started, slot.work)
	})
	return gu.withLoad(req.Kind, answer)
}

// offer offers the body to the ingress, and calls onEnd when the attempt has ended. The
// result is what the head of the response implies.
func (an *answerStream) offer(res sendResult, onEnd func(sendResult)) *wire.Stream {
	ex := an.ex
	res.pending = nil
	stream.LimitReceiveBuffer(ex.con.Conn)
	offer := ex.client.streams.Offer(stream.Body{
		Reader: an, Length: an.resp.ContentLength, Direction: stream.Answer,
		OnEnd: func(err error) {
			an.release()
			if err == nil && ex.reusable && ex.con.reader.Buffered() == 0 {
				ex.client.pool.put(ex.con)
			} else {
				_ = ex.con.Close()
			}
			onEnd(res.withStreamError(err))
		},
	})
	return &wire.Stream{Token: offer.Token, Length: an.resp.ContentLength}
}

// withStreamError returns the result of an attempt whose answer ended with an error, or
// with nil if it is complete. Only errors of the source are failures of the upstream.
func (se sendResult) withStreamError(err error) sendResult {
	switch {
	case err == nil:
	case errors.Is(err, stream.ErrSource), errors.Is(err, stream.ErrSourceStalled):
		se.failed = true
	default:
		se.cancelled = true
	}
	return se
}

// drop closes the connection of an answer that nobody waits for.
func (an *answerStream) drop() {
	an.release()
	_ = an.ex.con.Close()
}

// Read reads the start of the body, and then the rest from the connection.
func (an *answerStream) Read(data []byte) (int, error) {
	if len(an.start) > 0 {
		count := copy(data, an.start)
		an.start = an.start[count:]
		return count, nil
	}
	an.start = nil
	an.release()
	return an.rest.Read(data)
}

// release frees the memory of the start of the body.
func (an *answerStream) release() {
	an.releaseOnce.Do(func() {
		an.ex.client.bodies.Release(an.held)
		an.held = nil
	})
}

// limitedReader fails when a body is larger than its limit.
type limitedReader struct {
	reader io.Reader
	left   int64
}

// Read returns bodybuffer.ErrTooLarge for the first byte over the limit.
func (li *limitedReader) Read(data []byte) (int, error) {
	count, err := li.reader.Read(data)
	li.left -= int64(count)
	if li.left < 0 {
		return 0, bodybuffer.ErrTooLarge
	}
	return count, err
}
