// Package link implements typed remote procedure calls and one-way notices between
// the fleet's processes. A link is a WebSocket connection that carries CBOR frames,
// with many calls in flight at once.
//
// Usage on the serving side:
//
//	mux := link.NewMux()
//	link.Handle(mux, "sum", func(ctx context.Context, peer string, req Sum) (Total, error) { ... })
//	http.Handle("/link", link.NewServer(mux, tokens, ...))
//
// and on the calling side:
//
//	pool := link.NewPool("d1", tokens, mux)
//	total, err := link.Call[Sum, Total](ctx, pool, address, "sum", Sum{...})
//
// The error of a failed call tells whether the call may have run: ErrNotSent
// guarantees that the peer never received it, ErrLost means that it may or may not
// have run, and a *RemoteError was returned by the peer.
package link

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

const (
	// MaxFrameSize limits the size of a frame, in bytes. The largest frames carry a
	// whole settings tree.
	MaxFrameSize = 8 << 20
	// DefaultTimeout is the timeout of a call whose context has no deadline.
	DefaultTimeout = 10 * time.Second

	// frameOverhead is the typical size of a frame without its body, in bytes.
	frameOverhead    = 128
	idlePingInterval = 30 * time.Second
	// maxCallsInFlight limits the calls that one connection serves concurrently.
	maxCallsInFlight = 4096
	// maxRetainedBuffer is the largest read buffer that a connection reuses, in
	// bytes.
	maxRetainedBuffer = 64 << 10
	pingInterval      = 1 * time.Second
	pingTimeout       = 2 * time.Second
	// quietTime is how long a call waits at least before the lack of any frame is a
	// reason to check the connection, and silenceTimeout how long that check takes.
	quietTime      = 100 * time.Millisecond
	silenceTimeout = 400 * time.Millisecond
	// drainInterval is how often a drain checks for responses that are not written yet.
	drainInterval = 2 * time.Millisecond
	// sendQueueLength is the capacity of a connection's send queue, in frames.
	sendQueueLength = 128
)

// ErrClosed reports that the whole connection was lost, not just one call.
var ErrClosed = errors.New("link: closed")

// ErrLost reports that a call was sent but no response was received, so that it may
// have run.
var ErrLost = errors.New("link: no response; the call may have run")

// ErrNotSent guarantees that a call never reached the peer.
var ErrNotSent = errors.New("link: the call was not sent")

// CodePanicked is the code of a RemoteError if the handler of the call panicked. The call
// may have run.
const CodePanicked = "panicked"

// RemoteError is an error returned by the peer.
type RemoteError struct {
	Code    string `codec:"code"`
	Message string `codec:"message"`
}

type frameKind uint8

const (
	kindCall frameKind = iota + 1
	kindResponse
	kindCancel
	kindNotice
)

// frame is the unit of transmission. Which fields are set depends on its kind.
type frame struct {
	Kind      frameKind    `codec:"k"`
	ID        uint64       `codec:"i"`
	Method    string       `codec:"m,omitempty"`
	TimeoutMS int64        `codec:"t,omitempty"`
	Body      []byte       `codec:"b,omitempty"`
	Error     *RemoteError `codec:"e,omitempty"`
}

// handler handles the calls of one method.
type handler func(ctx context.Context, peer string, body []byte) ([]byte, error)

// Mux maps methods to the handlers of a process. Register all handlers before use.
type Mux struct {
	mu      sync.RWMutex
	calls   map[string]handler
	notices map[string]func(peer string, body []byte)
	awaited map[string]bool
	// log and metrics record panics of handlers. They are nil unless LogPanics was called.
	log     *events.Logger
	metrics *metrics.Registry
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{calls: make(map[string]handler), notices: make(map[string]func(string, []byte)), awaited: make(map[string]bool)}
}

// Error returns the code and the message.
func (re *RemoteError) Error() string {
	return re.Code + ": " + re.Message
}

// Handle registers the handler for the calls of a method. Handlers run concurrently.
func Handle[Req, Resp any](mux *Mux, method string, fn func(context.Context, string, Req) (Resp, error)) {
	mux.mu.Lock()
	defer mux.mu.Unlock()
	mux.calls[method] = func(ctx context.Context, peer string, body []byte) ([]byte, error) {
		req, err := codec.Unmarshal[Req](body)
		if err != nil {
			return nil, &RemoteError{Code: "badMessage", Message: err.Error()}
		}
		resp, err := fn(ctx, peer, req)
		if err != nil {
			return nil, fmt.Errorf("handle %s: %w", method, err)
		}
		return codec.Marshal(resp)
	}
}

// LogPanics makes a panic of a handler end only its call, which gets a RemoteError with
// CodePanicked, and logs and counts it. Without LogPanics, a panic ends the process.
// LogPanics must be called before the Mux is used.
func (mu *Mux) LogPanics(log *events.Logger, reg *metrics.Registry) {
	mu.log, mu.metrics = log, reg
}

// Await makes Drain wait for the responses of a method.
func (mu *Mux) Await(method string) {
	mu.mu.Lock()
	defer mu.mu.Unlock()
	mu.awaited[method] = true
}

// HandleNotice registers the handler for the notices of a method. The notices of one
// connection are handled in order, so the handler must not block.
func HandleNotice[Msg any](mux *Mux, method string, fn func(peer string, msg Msg)) {
	mux.mu.Lock()
	defer mux.mu.Unlock()
	mux.notices[method] = func(peer string, body []byte) {
		if msg, err := codec.Unmarshal[Msg](body); err == nil {
			fn(peer, msg)
		}
	}
}

// Call calls a method of the peer at an address and waits for the response.
func Call[Req, Resp any](ctx context.Context, pool *Pool, address, method string, req Req) (Resp, error) {
	return call[Req, Resp](ctx, pool, address, method, req, nil)
}

// CallWithLate is like Call. If the call is given up and the peer responds nevertheless, it
// calls onLate with the response, so that what the response holds at the peer can be freed.
func CallWithLate[Req, Resp any](ctx context.Context, pool *Pool, address, method string, req Req, onLate func(Resp)) (Resp, error) {
	return call[Req, Resp](ctx, pool, address, method, req, func(body []byte) {
		if resp, err := codec.Unmarshal[Resp](body); err == nil {
			onLate(resp)
		}
	})
}

func call[Req, Resp any](ctx context.Context, pool *Pool, address, method string, req Req, onLate func([]byte)) (Resp, error) {
	var none Resp
	body, err := codec.Marshal(req)
	if err != nil {
		return none, fmt.Errorf("call %s: %w: %w", method, ErrNotSent, err)
	}
	con, err := pool.get(ctx, address)
	if err != nil {
		return none, fmt.Errorf("call %s: %w: %w", method, ErrNotSent, err)
	}
	respBody, err := con.call(ctx, method, body, onLate)
	if err != nil {
		return none, fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	resp, err := codec.Unmarshal[Resp](respBody)
	if err != nil {
		return none, fmt.Errorf("call %s at %s: %w: %w", method, address, ErrLost, err)
	}
	return resp, nil
}

// Notify queues a notice to the peer at an address and does not wait for its delivery.
func Notify[Msg any](ctx context.Context, pool *Pool, address, method string, msg Msg) error {
	body, err := codec.Marshal(msg)
	if err != nil {
		return fmt.Errorf("notify %s: %w", method, err)
	}
	con, err := pool.get(ctx, address)
	if err != nil {
		return fmt.Errorf("notify %s: %w", method, err)
	}
	return con.notify(method, body)
}

func (mu *Mux) callHandler(method string) (fn handler, isAwaited, known bool) {
	mu.mu.RLock()
	defer mu.mu.RUnlock()
	fn, known = mu.calls[method]
	return fn, mu.awaited[method], known
}

func (mu *Mux) noticeHandler(method string) (func(string, []byte), bool) {
	mu.mu.RLock()
	defer mu.mu.RUnlock()
	fn, ok := mu.notices[method]
	return fn, ok
}
