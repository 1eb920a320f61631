package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/events"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/stream"
)

// answerBodies holds the bodies of the answers to one request that are passed on as
// streams. An attempt that was abandoned may still add one when the request has ended.
type answerBodies struct {
	// caller is the context of the caller's request, without its deadline.
	caller context.Context

	mu     sync.Mutex
	closed bool
	bodies map[string]*answerBody
}

// answerBody is the body of an answer whose first bytes have arrived.
type answerBody struct {
	reader *stream.Reader
	first  []byte
	// err is what came with the first bytes.
	err error
}

// add keeps a body until close.
func (an *answerBodies) add(token string, body *answerBody) {
	an.mu.Lock()
	defer an.mu.Unlock()
	if an.closed {
		_ = body.reader.Close()
		return
	}
	if an.bodies == nil {
		an.bodies = make(map[string]*answerBody, 1)
	}
	an.bodies[token] = body
}

func (an *answerBodies) get(token string) *answerBody {
	an.mu.Lock()
	defer an.mu.Unlock()
	return an.bodies[token]
}

// close ends the streams that were not read to their end.
func (an *answerBodies) close() {
	an.mu.Lock()
	defer an.mu.Unlock()
	an.closed = true
	for _, body := range an.bodies {
		_ = body.reader.Close()
	}
}

// openAnswer begins to fetch the body of an answer, and waits for its first bytes: an
// idempotent request may be retried until the caller has got one. From then on the stream
// ends with the caller's connection, and not with the deadline of the request.
func (in *Ingress) openAnswer(ctx context.Context, req *request, chosen choice, answer wire.RunAnswer) wire.RunAnswer {
	reader, err := in.opts.Streams.Open(ctx, chosen.endpoint.PeerAddress, answer.BodyStream.Token)
	if err != nil {
		go in.opts.Streams.Discard(chosen.endpoint.PeerAddress, answer.BodyStream.Token) // Frees the slot if it was the context that ended.
		return in.brokenAnswer(ctx, outcome.LinkLost, answer, err)
	}
	first := make([]byte, stream.BufferSize)
	count, err := reader.Read(first)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = reader.Close()
		return in.brokenAnswer(ctx, outcome.UpstreamFailed, answer, err)
	}
	reader.Follow(req.answers.caller)
	req.answers.add(answer.BodyStream.Token, &answerBody{reader: reader, first: first[:count], err: err})
	return answer
}

// brokenAnswer returns the answer to an attempt whose answer broke off before the caller
// got a part of it.
func (in *Ingress) brokenAnswer(ctx context.Context, reason outcome.Reason, answer wire.RunAnswer, err error) wire.RunAnswer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.Deadline
	}
	broken := wire.Unknown(reason, "the answer broke off: "+err.Error())
	broken.Load, broken.Stats = answer.Load, answer.Stats
	return broken
}

// writeStream copies the body of an answer to the caller as it arrives. If it breaks off,
// the caller's connection is aborted, so that the answer doesn't look complete.
func (in *Ingress) writeStream(wr http.ResponseWriter, req *request, answer wire.RunAnswer) {
	body := req.answers.get(answer.BodyStream.Token)
	header := wr.Header()
	header.Del("Content-Length")
	if answer.BodyStream.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.BodyStream.Length, 10))
	}
	wr.WriteHeader(answer.Status)
	count, err := in.copyAnswer(wr, body)
	if err == nil && (answer.BodyStream.Length < 0 || count == answer.BodyStream.Length) {
		return
	}
	in.opts.Metrics.Counter("ingress.answersBroken").Inc(1)
	in.opts.Log.Write(events.StreamAborted, logrus.Fields{
		"request": req.id, "direction": stream.Answer, "reason": "caller", "length": answer.BodyStream.Length, "bytes": count, "detail": fmt.Sprint(err),
	})
	if req.endsWithConnection && answer.BodyStream.Length < 0 {
		req.body.drain()
		resetConnection(wr)
	}
	panic(http.ErrAbortHandler)
}

// copyAnswer copies a body to the caller and returns the number of bytes written.
func (in *Ingress) copyAnswer(wr http.ResponseWriter, body *answerBody) (int64, error) {
	control := http.NewResponseController(wr)
	timeout := in.opts.Streams.ReaderTimeout()
	buf, data, err := body.first[:cap(body.first)], body.first, body.err
	var copied int64
	for {
		if len(data) > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(timeout))
			count, writeErr := wr.Write(data)
			copied += int64(count)
			if writeErr == nil {
				writeErr = control.Flush()
			}
			if writeErr != nil {
				return copied, fmt.Errorf("write answer: %w", writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			_ = control.SetWriteDeadline(time.Time{})
			return copied, nil
		}
		if err != nil {
			return copied, fmt.Errorf("read answer: %w", err)
		}
		var count int
		count, err = body.reader.Read(buf)
		data = buf[:count]
	}
}

// resetConnection makes the end of the caller's connection a reset.
func resetConnection(wr http.ResponseWriter) {
	con, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := con.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}
