package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/recovery"
)

// sendState tells whether the writer has taken a queued call.
type sendState int32

const (
	stateQueued sendState = iota
	stateSent
	stateAbandoned
)

// conn is one WebSocket connection with the calls in flight in both directions.
//
// Lock order: conn.mu is taken last and never held while a frame is written.
type conn struct {
	peer string
	ws   *websocket.Conn
	mux  *Mux

	sendQueue chan *outgoing
	closed    chan struct{}
	started   time.Time
	// lastFrameAt is when the last frame of the peer was read, as a duration since
	// started.
	lastFrameAt atomic.Int64
	// readBytes counts the bytes of frames that were read, also of those that have not
	// arrived whole.
	readBytes atomic.Int64
	// checking is set while checkSilence runs, and silent once it has found that nothing
	// arrives from the peer. A silent connection gets no new calls.
	checking atomic.Bool
	silent   atomic.Bool
	// noticeSent is set when a notice was sent since the last ping.
	noticeSent atomic.Bool
	nextID     atomic.Uint64
	// callSlots limits the number of the peer's calls that run concurrently.
	callSlots chan struct{}
	// awaitedCalls counts the peer's calls of the methods that Mux.Await names, and
	// owedResponses those of them whose responses have not been written.
	awaitedCalls  atomic.Int64
	owedResponses atomic.Int64

	mu    sync.Mutex
	ended bool
	// retired is set once the connection is to be closed when no call is pending.
	retired bool
	// pendingCalls holds the calls to the peer, and cancelFuncs those from the peer
	// that run.
	pendingCalls map[uint64]*pendingCall
	cancelFuncs  map[uint64]context.CancelFunc
	// lateCalls holds the functions that get the late responses to calls that were given
	// up. The peer responds to every call that it gets, so an entry stays until then or
	// until the connection ends.
	lateCalls map[uint64]func(body []byte)
}

// outgoing is a queued frame. The state is nil unless the frame is a call. isOwed is
// set for the response to an awaited call.
type outgoing struct {
	frame  frame
	state  *atomic.Int32
	isOwed bool
}

// pendingCall is a call that waits for its response. Its state is a sendState.
type pendingCall struct {
	state    atomic.Int32
	response chan frame
}

func newConn(peer string, ws *websocket.Conn, mux *Mux) *conn {
	ws.SetReadLimit(MaxFrameSize)
	return &conn{
		peer:         peer,
		ws:           ws,
		mux:          mux,
		sendQueue:    make(chan *outgoing, sendQueueLength),
		closed:       make(chan struct{}),
		started:      time.Now(),
		callSlots:    make(chan struct{}, maxCallsInFlight),
		pendingCalls: make(map[uint64]*pendingCall),
		cancelFuncs:  make(map[uint64]context.CancelFunc),
		lateCalls:    make(map[uint64]func([]byte)),
	}
}

// run serves the connection until close is called or the peer ends it. The contexts of
// the calls that it serves end with it, and not before: a handler whose context ends
// while the connection is open would report an error for a call that may have run.
func (co *conn) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go co.writeFrames()
	go co.keepAlive(ctx)
	co.readFrames(ctx)
	co.close()
}

// call calls a method of the peer. onLate may be nil; otherwise it gets the body of a
// response that arrives after the call was given up.
func (co *conn) call(ctx context.Context, method string, body []byte, onLate func([]byte)) ([]byte, error) {
	timeout := DefaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if timeout <= 0 {
		return nil, fmt.Errorf("%w: the deadline has passed", ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	id := co.nextID.Add(1)
	pending := &pendingCall{response: make(chan frame, 1)}
	if !co.addPending(id, pending) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	defer co.removePending(id)
	sentAt := time.Since(co.started)
	out := &outgoing{frame: frame{Kind: kindCall, ID: id, Method: method, TimeoutMS: max(timeout.Milliseconds(), 1), Body: body}, state: &pending.state}
	select {
	case co.sendQueue <- out:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: the send queue is full: %w", ErrNotSent, ctx.Err())
	case <-co.closed:
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	resp, err := co.awaitResponse(ctx, id, pending)
	if onLate != nil && errors.Is(err, ErrLost) {
		co.expectLate(id, pending, onLate)
	}
	if errors.Is(err, context.DeadlineExceeded) && co.isQuietSince(sentAt) {
		go co.checkSilence()
	}
	return resp, err
}

// isQuietSince reports whether no frame has been read since a call was sent, which is
// long enough ago for a response.
func (co *conn) isQuietSince(sentAt time.Duration) bool {
	return time.Since(co.started)-sentAt >= quietTime && time.Duration(co.lastFrameAt.Load()) < sentAt
}

// checkSilence pings the peer. If there is no pong soon, the pool opens another
// connection for new calls: a connection may go silent for good while new ones work. The
// pending calls keep this one, since the peer may only be slow; keepAlive closes it.
func (co *conn) checkSilence() {
	if co.checking.Swap(true) {
		return
	}
	defer co.checking.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
	defer cancel()
	if err := co.ws.Ping(ctx); err != nil {
		co.silent.Store(true)
	}
}

// isUsable reports whether the connection takes new calls.
func (co *conn) isUsable() bool { return !co.isClosed() && !co.silent.Load() }

// awaitResponse waits for the response. If it gives up before the writer has taken the
// call, the call is abandoned, which proves that it was not sent. Otherwise the peer
// is asked to cancel the call, which may already have run.
func (co *conn) awaitResponse(ctx context.Context, id uint64, pending *pendingCall) ([]byte, error) {
	var cause error
	select {
	case resp := <-pending.response:
		return responseBody(resp)
	case <-ctx.Done():
		cause = ctx.Err()
	case <-co.closed:
		cause = ErrClosed
	}
	select {
	case resp := <-pending.response:
		return responseBody(resp)
	default:
	}
	if pending.state.CompareAndSwap(int32(stateQueued), int32(stateAbandoned)) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, cause)
	}
	co.sendCancel(id)
	return nil, fmt.Errorf("%w: %w", ErrLost, cause)
}

func (co *conn) addPending(id uint64, pending *pendingCall) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.ended {
		return false
	}
	co.pendingCalls[id] = pending
	return true
}

// close closes the connection and then cancels the calls that it serves. Nothing that
// their handlers return is sent any more, so the peer knows that they may have run.
func (co *conn) close() {
	co.mu.Lock()
	alreadyEnded := co.ended
	co.ended = true
	cancels := make([]context.CancelFunc, 0, len(co.cancelFuncs))
	for _, cancel := range co.cancelFuncs {
		cancels = append(cancels, cancel)
	}
	co.mu.Unlock()
	if alreadyEnded {
		return
	}
	close(co.closed)
	for _, cancel := range cancels {
		cancel()
	}
	_ = co.ws.CloseNow()
}

// drain returns once the peer has received the responses to all its awaited calls. A pong
// of the peer follows every call that it sent before, and is sent only after it has read
// all frames before the ping, which takes long if they are large and the peer is busy.
// keepAlive closes the connection to a peer that is silent.
func (co *conn) drain(ctx context.Context) {
	for ctx.Err() == nil && !co.isClosed() {
		calls := co.awaitedCalls.Load()
		if calls == 0 {
			return
		}
		if co.owedResponses.Load() > 0 {
			time.Sleep(drainInterval)
			continue
		}
		err := co.ws.Ping(ctx)
		if err != nil || co.owedResponses.Load() == 0 && co.awaitedCalls.Load() == calls {
			return
		}
	}
}

// drainAll drains several connections at a time.
func drainAll(ctx context.Context, conns []*conn) {
	var all sync.WaitGroup
	for _, con := range conns {
		all.Go(func() { con.drain(ctx) })
	}
	all.Wait()
}

func (co *conn) isClosed() bool {
	select {
	case <-co.closed:
		return true
	default:
		return false
	}
}

// keepAlive pings the peer and closes the connection when the ping cannot be written
// or no pong arrives within pingTimeout, so that a connection that is stuck in either
// direction is detected. A pong arrives only behind the frames that the peer wrote before,
// so that the connection stays open while their bytes arrive. Idle connections are pinged
// only every idlePingInterval, to keep the cost of a daemon's many idle links low.
func (co *conn) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	lastPing := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-co.closed:
			return
		}
		if co.isIdle() && time.Since(lastPing) < idlePingInterval {
			continue
		}
		lastPing = time.Now()
		co.noticeSent.Store(false)
		readBefore := co.readBytes.Load()
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := co.ws.Ping(pingCtx)
		cancel()
		if err != nil && co.readBytes.Load() == readBefore {
			co.close()
			return
		}
	}
}

// isIdle reports whether no call to the peer is pending and no notice was sent since
// the last ping.
func (co *conn) isIdle() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.pendingCalls) == 0 && !co.noticeSent.Load()
}

func (co *conn) notify(method string, body []byte) error {
	select {
	case <-co.closed:
		return ErrNotSent
	default:
	}
	select {
	case co.sendQueue <- &outgoing{frame: frame{Kind: kindNotice, Method: method, Body: body}}:
		co.noticeSent.Store(true)
		return nil
	default:
		return fmt.Errorf("%w: the send queue is full", ErrNotSent)
	}
}

// readFrames reads frames until the connection ends. It reuses one buffer, since
// decoding copies. Reads and writes get no context with a deadline, which would cost
// a timer each; close interrupts them instead.
func (co *conn) readFrames(ctx context.Context) {
	var buf bytes.Buffer
	for {
		_, reader, err := co.ws.Reader(context.Background())
		if err != nil {
			return
		}
		buf.Reset()
		if _, err := buf.ReadFrom(&countingReader{reader: reader, count: &co.readBytes}); err != nil {
			return
		}
		fra, err := co.decodeFrame(buf.Bytes())
		if err != nil {
			return
		}
		co.lastFrameAt.Store(int64(time.Since(co.started)))
		co.silent.Store(false)
		co.handleFrame(ctx, fra)
		if buf.Cap() > maxRetainedBuffer {
			buf = bytes.Buffer{}
		}
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	reader io.Reader
	count  *atomic.Int64
}

// Read reads from the reader and counts what it got.
func (co *countingReader) Read(data []byte) (int, error) {
	count, err := co.reader.Read(data)
	co.count.Add(int64(count))
	return count, err //nolint:wrapcheck // The caller looks at the error.
}

// decodeFrame decodes a frame. A frame that can't be decoded ends the connection, since it
// is not known which call it belongs to.
func (co *conn) decodeFrame(data []byte) (fra frame, err error) {
	if co.protect("frame", func() { fra, err = codec.Unmarshal[frame](data) }) {
		return frame{}, recovery.ErrPanicked
	}
	return fra, err
}

func (co *conn) handleFrame(ctx context.Context, fra frame) {
	switch fra.Kind {
	case kindCall:
		co.serveCall(ctx, fra)
	case kindResponse:
		co.deliverResponse(fra)
	case kindCancel:
		co.cancelCall(fra.ID)
	case kindNotice:
		if fn, ok := co.mux.noticeHandler(fra.Method); ok {
			co.protect(fra.Method, func() { fn(co.peer, fra.Body) })
		}
	}
}

func (co *conn) cancelCall(id uint64) {
	co.mu.Lock()
	cancel := co.cancelFuncs[id]
	co.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (co *conn) removePending(id uint64) {
	co.mu.Lock()
	delete(co.pendingCalls, id)
	isDone := co.retired && len(co.pendingCalls) == 0
	co.mu.Unlock()
	if isDone {
		co.close()
	}
}

// retire closes the connection once no call to the peer is pending.
func (co *conn) retire() {
	co.mu.Lock()
	co.retired = true
	isDone := len(co.pendingCalls) == 0
	co.mu.Unlock()
	if isDone {
		co.close()
	}
}

// expectLate passes the response to a call that was given up to onLate, once it arrives.
func (co *conn) expectLate(id uint64, pending *pendingCall, onLate func([]byte)) {
	co.mu.Lock()
	_, isPending := co.pendingCalls[id]
	if isPending && !co.ended {
		co.lateCalls[id] = onLate
	}
	co.mu.Unlock()
	if isPending {
		return
	}
	select {
	case resp := <-pending.response: // It arrived just after the call was given up.
		co.deliverLate(resp, onLate)
	case <-co.closed:
	}
}

// deliverLate passes on a response to a call that was given up. Errors hold nothing.
func (co *conn) deliverLate(resp frame, onLate func([]byte)) {
	if resp.Error == nil {
		go onLate(resp.Body)
	}
}

// deliverResponse passes a response to its call. Duplicate responses are dropped, and so
// are late ones that nobody expects.
func (co *conn) deliverResponse(fra frame) {
	co.mu.Lock()
	pending, onLate := co.pendingCalls[fra.ID], co.lateCalls[fra.ID]
	delete(co.pendingCalls, fra.ID)
	delete(co.lateCalls, fra.ID)
	co.mu.Unlock()
	switch {
	case onLate != nil:
		co.deliverLate(fra, onLate)
	case pending != nil:
		pending.response <- fra
	}
}

func (co *conn) sendCancel(id uint64) {
	select {
	case co.sendQueue <- &outgoing{frame: frame{Kind: kindCancel, ID: id}}:
	default:
	}
}

// serveCall runs the handler of a call in its own goroutine and sends the response.
func (co *conn) serveCall(ctx context.Context, fra frame) {
	fn, isOwed, known := co.mux.callHandler(fra.Method)
	if !known {
		co.sendResponse(fra.ID, nil, &RemoteError{Code: "noMethod", Message: fra.Method}, false)
		return
	}
	select {
	case co.callSlots <- struct{}{}:
	default:
		co.sendResponse(fra.ID, nil, &RemoteError{Code: "overloaded", Message: "too many calls in flight on the link"}, false)
		return
	}
	if isOwed {
		co.owedResponses.Add(1)
		co.awaitedCalls.Add(1)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(fra.TimeoutMS)*time.Millisecond)
	co.mu.Lock()
	co.cancelFuncs[fra.ID] = cancel
	co.mu.Unlock()
	go func() {
		defer co.endCall(fra.ID, cancel)
		body, err := co.runHandler(ctx, fn, fra)
		co.sendResponse(fra.ID, body, err, isOwed)
	}()
}

// endCall releases what a call of the peer holds.
func (co *conn) endCall(id uint64, cancel context.CancelFunc) {
	defer func() { <-co.callSlots }()
	cancel()
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.cancelFuncs, id)
}

// runHandler runs the handler of a call. If it panics, the call has a response like any
// other, so that what the connection counts for it is released.
func (co *conn) runHandler(ctx context.Context, fn handler, fra frame) (body []byte, err error) {
	if co.protect(fra.Method, func() { body, err = fn(ctx, co.peer, fra.Body) }) {
		return nil, &RemoteError{Code: CodePanicked, Message: recovery.ErrPanicked.Error()}
	}
	return body, err
}

// protect runs code that depends on a frame of the peer, and reports whether it panicked.
func (co *conn) protect(method string, fn func()) bool {
	if co.mux.log == nil {
		fn()
		return false
	}
	return recovery.Run(co.mux.log, co.mux.metrics, logrus.Fields{"method": method, "peer": co.peer}, fn) != nil
}

func (co *conn) sendResponse(id uint64, body []byte, err error, isOwed bool) {
	resp := frame{Kind: kindResponse, ID: id, Body: body}
	if err != nil {
		resp.Error = newRemoteError(err)
	}
	select {
	case co.sendQueue <- &outgoing{frame: resp, isOwed: isOwed}:
	case <-co.closed:
	}
}

func (co *conn) writeFrames() {
	for {
		select {
		case out := <-co.sendQueue:
			if co.isClosed() {
				return
			}
			if out.state != nil && !out.state.CompareAndSwap(int32(stateQueued), int32(stateSent)) {
				continue
			}
			if err := co.write(out.frame); err != nil {
				co.close()
				return
			}
			if out.isOwed {
				co.owedResponses.Add(-1)
			}
		case <-co.closed:
			return
		}
	}
}

func (co *conn) write(fra frame) error {
	data, err := codec.MarshalSized(fra, len(fra.Body)+frameOverhead)
	if err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	if err := co.ws.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

func responseBody(resp frame) ([]byte, error) {
	if resp.Error != nil {
		return nil, resp.Error
	}
	return resp.Body, nil
}

func newRemoteError(err error) *RemoteError {
	var rem *RemoteError
	if errors.As(err, &rem) {
		return rem
	}
	return &RemoteError{Code: "failed", Message: err.Error()}
}
