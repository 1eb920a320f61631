package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"cactusstream.example/core/codec"
)

type sendState int32

const (
	stateQueued sendState = iota
	stateSent
	stateAbandoned
)

// conn is one WebSocket connection with its calls in flight.
//
// Lock order: conn.mu is taken last and never held while a frame is written.
type conn struct {
	peer string
	ws   *websocket.Conn
	mux  *Mux

	send   chan *outgoing
	closed chan struct{}
	// noticed says that a notice was sent since the last ping.
	noticed atomic.Bool
	nextID  atomic.Uint64
	slots   chan struct{}

	mu      sync.Mutex
	ended   bool
	pending map[uint64]*pendingCall
	serving map[uint64]context.CancelFunc
}

type outgoing struct {
	frame frame
	state *atomic.Int32
}

type pendingCall struct {
	state  atomic.Int32
	answer chan frame
}

func newConn(peer string, ws *websocket.Conn, mux *Mux) *conn {
	ws.SetReadLimit(MaxFrameSize)
	return &conn{
		peer:    peer,
		ws:      ws,
		mux:     mux,
		send:    make(chan *outgoing, sendQueueLength),
		closed:  make(chan struct{}),
		slots:   make(chan struct{}, maxCallsInFlight),
		pending: make(map[uint64]*pendingCall),
		serving: make(map[uint64]context.CancelFunc),
	}
}

// run serves the connection until it ends.
func (co *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go co.writeFrames()
	go co.keepAlive(ctx)
	co.readFrames(ctx)
	co.close()
}

func (co *conn) call(ctx context.Context, method string, body []byte) ([]byte, error) {
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
	pen := &pendingCall{answer: make(chan frame, 1)}
	if !co.addPending(id, pen) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	defer co.removePending(id)
	out := &outgoing{frame: frame{Kind: kindCall, ID: id, Method: method, TimeoutMS: max(timeout.Milliseconds(), 1), Body: body}, state: &pen.state}
	select {
	case co.send <- out:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: the link's queue is full: %w", ErrNotSent, ctx.Err())
	case <-co.closed:
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	return co.await(ctx, id, pen)
}

// await waits for the answer. A call that the writer has not begun to send is
// abandoned, which proves that it was not sent.
func (co *conn) await(ctx context.Context, id uint64, pen *pendingCall) ([]byte, error) {
	var cause error
	select {
	case ans := <-pen.answer:
		return answerOf(ans)
	case <-ctx.Done():
		cause = ctx.Err()
	case <-co.closed:
		cause = ErrClosed
	}
	select {
	case ans := <-pen.answer:
		return answerOf(ans)
	default:
	}
	if pen.state.CompareAndSwap(int32(stateQueued), int32(stateAbandoned)) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, cause)
	}
	co.sendCancel(id)
	return nil, fmt.Errorf("%w: %w", ErrLost, cause)
}

func (co *conn) addPending(id uint64, pen *pendingCall) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.ended {
		return false
	}
	co.pending[id] = pen
	return true
}

func (co *conn) close() {
	co.mu.Lock()
	ended := co.ended
	co.ended = true
	cancels := make([]context.CancelFunc, 0, len(co.serving))
	for _, cancel := range co.serving {
		cancels = append(cancels, cancel)
	}
	co.mu.Unlock()
	if ended {
		return
	}
	close(co.closed)
	for _, cancel := range cancels {
		cancel()
	}
	_ = co.ws.CloseNow()
}

func (co *conn) isClosed() bool {
	select {
	case <-co.closed:
		return true
	default:
		return false
	}
}

// keepAlive closes a connection that is silent in either direction. While
// nobody waits for an answer it looks only now and then, so that a daemon with
// many idle links spends little on them.
func (co *conn) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	pinged := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-co.closed:
			return
		}
		if co.isIdle() && time.Since(pinged) < idlePingEvery {
			continue
		}
		pinged = time.Now()
		co.noticed.Store(false)
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := co.ws.Ping(pingCtx)
		cancel()
		if err != nil {
			co.close()
			return
		}
	}
}

func (co *conn) isIdle() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.pending) == 0 && !co.noticed.Load()
}

func (co *conn) notify(method string, body []byte) error {
	select {
	case <-co.closed:
		return ErrNotSent
	default:
	}
	select {
	case co.send <- &outgoing{frame: frame{Kind: kindNotice, Method: method, Body: body}}:
		co.noticed.Store(true)
		return nil
	default:
		return fmt.Errorf("%w: the link's queue is full", ErrNotSent)
	}
}

// readFrames reads into one buffer; decoding copies what it keeps. Reads and
// writes take no context of their own, which would cost a timer each: close
// ends them.
func (co *conn) readFrames(ctx context.Context) {
	var buf bytes.Buffer
	for {
		_, reader, err := co.ws.Reader(context.Background())
		if err != nil {
			return
		}
		buf.Reset()
		if _, err := buf.ReadFrom(reader); err != nil {
			return
		}
		fra, err := codec.Unmarshal[frame](buf.Bytes())
		if err != nil {
			return
		}
		co.receive(ctx, fra)
		if buf.Cap() > maxKeptBuffer {
			buf = bytes.Buffer{}
		}
	}
}

func (co *conn) receive(ctx context.Context, fra frame) {
	switch fra.Kind {
	case kindCall:
		co.serve(ctx, fra)
	case kindAnswer:
		co.resolve(fra)
	case kindCancel:
		co.cancelServing(fra.ID)
	case kindNotice:
		if fn, ok := co.mux.notice(fra.Method); ok {
			fn(co.peer, fra.Body)
		}
	}
}

func (co *conn) cancelServing(id uint64) {
	co.mu.Lock()
	cancel := co.serving[id]
	co.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (co *conn) removePending(id uint64) {
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.pending, id)
}

// resolve hands an answer to its call; late and repeated answers are dropped.
func (co *conn) resolve(fra frame) {
	co.mu.Lock()
	pen := co.pending[fra.ID]
	delete(co.pending, fra.ID)
	co.mu.Unlock()
	if pen != nil {
		pen.answer <- fra
	}
}

func (co *conn) sendCancel(id uint64) {
	select {
	case co.send <- &outgoing{frame: frame{Kind: kindCancel, ID: id}}:
	default:
	}
}

func (co *conn) serve(ctx context.Context, fra frame) {
	fn, known := co.mux.call(fra.Method)
	if !known {
		co.answer(fra.ID, nil, &RemoteError{Code: "noMethod", Message: fra.Method})
		return
	}
	select {
	case co.slots <- struct{}{}:
	default:
		co.answer(fra.ID, nil, &RemoteError{Code: "overloaded", Message: "too many calls in flight on the link"})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(fra.TimeoutMS)*time.Millisecond)
	co.mu.Lock()
	co.serving[fra.ID] = cancel
	co.mu.Unlock()
	go func() {
		defer func() {
			cancel()
			co.mu.Lock()
			delete(co.serving, fra.ID)
			co.mu.Unlock()
			<-co.slots
		}()
		body, err := fn(ctx, co.peer, fra.Body)
		co.answer(fra.ID, body, err)
	}()
}

func (co *conn) answer(id uint64, body []byte, err error) {
	ans := frame{Kind: kindAnswer, ID: id, Body: body}
	if err != nil {
		ans.Error = remoteErrorOf(err)
	}
	select {
	case co.send <- &outgoing{frame: ans}:
	case <-co.closed:
	}
}

func (co *conn) writeFrames() {
	for {
		select {
		case out := <-co.send:
			if out.state != nil && !out.state.CompareAndSwap(int32(stateQueued), int32(stateSent)) {
				continue
			}
			if err := co.write(out.frame); err != nil {
				co.close()
				return
			}
		case <-co.closed:
			return
		}
	}
}

func (co *conn) write(fra frame) error {
	data, err := codec.MarshalSized(fra, len(fra.Body)+frameHeadSize)
	if err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	if err := co.ws.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

func answerOf(ans frame) ([]byte, error) {
	if ans.Error != nil {
		return nil, ans.Error
	}
	return ans.Body, nil
}

func remoteErrorOf(err error) *RemoteError {
	var rem *RemoteError
	if errors.As(err, &rem) {
		return rem
	}
	return &RemoteError{Code: "failed", Message: err.Error()}
}
