package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/process"
	"cactusstream.example/core/stream"
)

// lingerTimeout limits the reading of a body whose request has been answered. The server
// reads a part of the rest, because a connection that is closed with unread bytes is reset,
// and the caller may lose the answer. It also ends a Read that is still in progress.
const lingerTimeout = 500 * time.Millisecond

// drainTimeout limits the reading of the rest of a body before its connection is reset.
const drainTimeout = 30 * time.Second

// callerBody is the body of a request that is too large to be held. A gate fetches it from
// the caller's connection once the request has a slot. A nil callerBody stands for a body
// that is held.
//
// Lock order: no other lock is taken while callerBody.state is held. callerBody.mu is held
// during calls of the stream.Registry, and while a body is read into memory.
type callerBody struct {
	reader io.Reader
	// source is the body without what reader has in memory.
	source  io.Reader
	length  int64
	bodies  *bodybuffer.Buffer
	control *http.ResponseController
	// probe tells whether the caller is still there, and is nil if that isn't known.
	probe   *process.Probe
	account *bodybuffer.Account
	// held is the memory of what was read before the body turned out to be large.
	held []byte
	// aheadSlots holds an element for each body that is read ahead.
	aheadSlots chan struct{}

	mu sync.Mutex
	// offer is the last offer of the body to a gate, or nil.
	offer *stream.Offer
	// consumed is set once a byte may have been fetched. The body can't be sent to another
	// upstream from then on.
	consumed bool
	// whole is the body, once it was read into memory for a gate that doesn't fetch
	// streams.
	whole   []byte
	isWhole bool

	state sync.Mutex
	// closed is set once the request has ended.
	closed bool
	// ahead is the memory of what was read ahead, while hasAhead is set.
	ahead    []byte
	hasAhead bool
	// read is set when the last byte was read, and err is the error that reading ended
	// with otherwise.
	read bool
	err  error
}

// readBody reads the body of a request, or prepares a large one to be passed on as a
// stream, in req.body. A body whose length is over the limit isn't read.
func (in *Ingress) readBody(wr http.ResponseWriter, req *request, httpReq *http.Request) ([]byte, error) {
	limit := req.policy.BodyLimit
	length := httpReq.ContentLength
	if in.opts.Streams == nil || limit <= wire.MaxWholeRequest || length >= 0 && length <= wire.MaxWholeRequest {
		return in.opts.Bodies.ReadFor(bodybuffer.AccountOf(httpReq.Context()), httpReq.Body, min(limit, wire.MaxBody))
	}
	if length > int64(limit) {
		return nil, fmt.Errorf("%w of %d bytes", bodybuffer.ErrTooLarge, limit)
	}
	var held []byte
	var rest io.Reader = httpReq.Body
	if length < 0 {
		start, more, err := in.opts.Bodies.ReadStart(bodybuffer.AccountOf(httpReq.Context()), httpReq.Body, wire.MaxWholeRequest)
		if err != nil || more == nil {
			return start, err
		}
		if len(start) < wire.MaxWholeRequest {
			in.opts.Bodies.Release(start)
			return nil, bodybuffer.ErrFull
		}
		held, rest = start, more
	}
	control := http.NewResponseController(wr)
	_ = control.EnableFullDuplex() // An answer may begin before the body is read.
	req.body = &callerBody{
		reader: &bodyReader{start: held, rest: rest, limit: int64(limit)}, source: httpReq.Body, length: length, bodies: in.opts.Bodies, control: control,
		probe: process.ProbeOf(httpReq.Context()), account: bodybuffer.AccountOf(httpReq.Context()), held: held, aheadSlots: in.aheadSlots,
	}
	return nil, nil
}

// bodyReader reads the start of a body and then the rest, up to a limit.
type bodyReader struct {
	start []byte
	rest  io.Reader
	limit int64
	count int64
}

// Read returns bodybuffer.ErrTooLarge when the body exceeds the limit.
func (bo *bodyReader) Read(data []byte) (int, error) {
	var count int
	var err error
	if len(bo.start) > 0 {
		count = copy(data, bo.start)
		bo.start = bo.start[count:]
	} else {
		count, err = bo.rest.Read(data)
	}
	bo.count += int64(count)
	if bo.count > bo.limit {
		return 0, fmt.Errorf("%w of %d bytes", bodybuffer.ErrTooLarge, bo.limit)
	}
	return count, err
}

// Read reads from the caller's connection, for the stream.
func (ca *callerBody) Read(data []byte) (int, error) {
	count, err := ca.reader.Read(data)
	if err != nil {
		ca.state.Lock()
		defer ca.state.Unlock()
		if errors.Is(err, io.EOF) {
			ca.read = true
		} else if ca.err == nil {
			ca.err = err
		}
	}
	return count, err
}

// isRead reports whether the last byte of the body was read.
func (ca *callerBody) isRead() bool {
	ca.state.Lock()
	defer ca.state.Unlock()
	return ca.read
}

// size returns the number of bytes of a body of which held ones are in memory. A body without
// a length has at least those that were read to find out that it is large.
func (ca *callerBody) size(held int) int {
	if ca == nil {
		return held
	}
	return max(int(ca.length), wire.MaxWholeRequest)
}

// explain returns the answer to the caller if reading its body failed, and else the answer
// as it is. What is known about the execution stays.
func (ca *callerBody) explain(answer wire.RunAnswer) wire.RunAnswer {
	if ca == nil || answer.Outcome == outcome.Ran {
		return answer
	}
	ca.state.Lock()
	defer ca.state.Unlock()
	switch {
	case errors.Is(ca.err, bodybuffer.ErrTooLarge):
		answer.Reason, answer.Detail, answer.RetryAfter = outcome.BodyTooLarge, ca.err.Error(), 0
	case ca.err != nil:
		answer.Reason, answer.Detail, answer.RetryAfter = outcome.BadRequest, "the body could not be read", 0
	}
	return answer
}

// isConsumed reports whether a byte of the body may have been fetched, so that it can't be
// sent to another upstream.
func (ca *callerBody) isConsumed() bool {
	if ca == nil {
		return false
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.consumed || ca.offer != nil && ca.offer.IsTaken()
}

// withdraw ends an offer of the body. It has no effect on a later one, since an attempt that
// was abandoned may end after the next has begun.
func (ca *callerBody) withdraw(offer *stream.Offer) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.withdrawLocked(offer)
}

// withdrawLocked is like withdraw. The caller holds the lock.
func (ca *callerBody) withdrawLocked(offer *stream.Offer) {
	if offer == nil {
		return
	}
	if offer.Withdraw() {
		ca.consumed = true
	}
	if ca.offer == offer {
		ca.offer = nil
	}
}

// attachBody adds the body of a request to an attempt. It returns the offer to withdraw
// after the attempt, or nil if there is none, and the answer to an attempt that is rejected
// instead.
func (in *Ingress) attachBody(req *request, chosen choice, run *wire.RunRequest) (*stream.Offer, *wire.RunAnswer) {
	ca := req.body
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.withdrawLocked(ca.offer)
	switch {
	case ca.isWhole:
		run.Body = ca.whole
		return nil, nil
	case ca.consumed:
		return nil, &wire.RunAnswer{Outcome: outcome.NotRun, Reason: outcome.NoUpstream, Detail: "the body was fetched for an earlier attempt"}
	case !chosen.endpoint.Streams:
		return nil, ca.readWhole(run)
	}
	offeredAt := time.Now()
	ca.offer = in.opts.Streams.Offer(stream.Body{Reader: ca, Length: ca.length, Direction: stream.Request, Prepare: func() error {
		if time.Since(offeredAt) < waitedTime {
			return nil
		}
		return ca.readAhead()
	}})
	run.BodyStream = &wire.Stream{Token: ca.offer.Token, Address: in.opts.Streams.Address(), Length: ca.length}
	return ca.offer, nil
}

// readWhole reads the body into memory, for a gate that doesn't fetch streams. A body that
// is known to be too large for that is left for other gates.
func (ca *callerBody) readWhole(run *wire.RunRequest) *wire.RunAnswer {
	if ca.length > wire.MaxBody {
		return &wire.RunAnswer{Outcome: outcome.NotRun, Reason: outcome.BodyTooLarge, Detail: "the daemon of the upstream doesn't fetch streams"}
	}
	body, err := ca.bodies.Read(ca, wire.MaxBody)
	if err != nil {
		ca.consumed = true
		reason := outcome.BodyTooLarge
		if errors.Is(err, bodybuffer.ErrFull) {
			reason = outcome.Overloaded
		}
		return &wire.RunAnswer{Outcome: outcome.NotRun, Reason: reason, Detail: err.Error()}
	}
	ca.whole, ca.isWhole = body, true
	run.Body = body
	return nil
}

// consume ends the use of the body by attempts that were abandoned. It returns the body if
// it was read into memory.
func (ca *callerBody) consume() []byte {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.withdrawLocked(ca.offer)
	whole := ca.whole
	ca.consumed, ca.isWhole, ca.whole = true, false, nil
	return whole
}

// drain reads the rest of a body that isn't needed, until the caller pauses. A caller that
// writes when its connection is reset may not see the reset when it reads, but a regular
// end, which would complete an answer without a length.
func (ca *callerBody) drain() {
	if ca == nil || ca.isRead() {
		return
	}
	buf := make([]byte, stream.BufferSize)
	for end := time.Now().Add(drainTimeout); time.Now().Before(end); {
		_ = ca.control.SetReadDeadline(time.Now().Add(lingerTimeout))
		if _, err := ca.source.Read(buf); err != nil {
			return
		}
	}
}

// close ends the use of the caller's connection. The response must have been written.
func (ca *callerBody) close() {
	whole := ca.consume()
	ca.bodies.Release(ca.held)
	ca.bodies.Release(whole)
	ca.state.Lock()
	ca.closed = true
	ca.state.Unlock()
	ca.releaseAhead()
	if !ca.isRead() {
		_ = ca.control.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
}

// closeStreams frees what the request holds for streams.
func (req *request) closeStreams() {
	req.answers.close()
	if req.body != nil {
		req.body.close()
	}
}
