package stream

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout limits the connecting to a peer, as for links.
	dialTimeout = 400 * time.Millisecond
	// receiveBuffer is the size of the receive buffer of a connection that a body comes
	// from, in bytes. By default a kernel lets it grow to 6 MB, which a reader that stops
	// keeps filled, and which hides the progress of a slow reader from the sender. It is
	// enough for 70 MB/s at a round trip of 3.5 ms.
	receiveBuffer = 256 << 10
	// maxHeaderBytes limits the head of the response to a fetch, in bytes.
	maxHeaderBytes = 16 << 10
	// discardTimeout limits the attempt to end a body of a peer. After the fetch timeout
	// it ends in any case.
	discardTimeout = time.Second
	// contentType is that of all bodies in transfer. Their own headers travel in the
	// message that names the token.
	contentType = "application/octet-stream"
)

// buffers holds copy buffers.
var buffers = sync.Pool{New: func() any { return new([BufferSize]byte) }}

// newClient returns the client that fetches bodies. Each gets a connection of its own,
// which is closed after it: a reused one may have been closed by the peer, and a body
// can't be fetched a second time.
func newClient(cfg *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			LimitReceiveBuffer(con)
		}
		return con, err
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, TLSClientConfig: cfg, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// LimitReceiveBuffer keeps the kernel from growing the receive buffer of a connection that a
// body comes from.
func LimitReceiveBuffer(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
}

// ServeHTTP sends one body to a peer. If the body breaks off, so does the response.
func (re *Registry) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if !re.opts.Tokens.Accepts(req) {
		re.opts.OnUnauthorized(req)
		http.Error(wr, "missing or invalid credentials", http.StatusUnauthorized)
		return
	}
	if req.Method != http.MethodGet {
		http.Error(wr, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	of, err := re.take(strings.TrimPrefix(req.URL.Path, Path))
	if err != nil {
		http.Error(wr, err.Error(), http.StatusNotFound)
		return
	}
	re.addServing(1)
	defer re.addServing(-1)
	defer of.end(ErrPanicked) // It has ended before in any other case.
	if err := of.writeTo(wr, req); err != nil {
		panic(http.ErrAbortHandler) // The peer must see that the body is not complete.
	}
}

func (re *Registry) addServing(count int) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.serving += count
}

// writeTo copies the body to a peer.
func (of *Offer) writeTo(wr http.ResponseWriter, req *http.Request) error {
	control := http.NewResponseController(wr)
	of.onInterrupt(func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) })
	stop := context.AfterFunc(req.Context(), func() { of.end(ErrPeer) })
	defer stop()
	wr.Header().Set("Content-Type", contentType)
	wr.Header().Set("Connection", "close")
	if of.body.Length >= 0 {
		wr.Header().Set("Content-Length", strconv.FormatInt(of.body.Length, 10))
	}
	wr.WriteHeader(http.StatusOK)
	if of.body.Length != 0 { // The head of an empty body is all of it, and the peer may leave then.
		_ = control.Flush()
	}
	buf := buffers.Get().(*[BufferSize]byte)
	defer buffers.Put(buf)
	for {
		count, err := of.Read(buf[:])
		if errors.Is(err, io.EOF) { // The stall timer has ended with the source.
			_ = control.SetWriteDeadline(time.Now().Add(of.registry.opts.ReaderTimeout))
		}
		if count > 0 {
			if err := writeAndFlush(wr, control, buf[:count]); err != nil {
				of.end(fmt.Errorf("%w: %w", ErrPeer, err))
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func writeAndFlush(wr io.Writer, control *http.ResponseController, data []byte) error {
	if _, err := wr.Write(data); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	return nil
}

// Reader reads a body that a peer offers. Read and Close may be called concurrently.
type Reader struct {
	registry *Registry
	source   io.Reader
	openedAt time.Time
	moved    atomic.Int64
	reading  atomic.Bool
	ctx      context.Context
	cancel   context.CancelCauseFunc

	progress progressTimer

	// mu is locked before the mutex of progress.
	mu    sync.Mutex
	ended bool
	// release frees the source.
	release func()
	// unfollow detaches the Reader from the context that it follows.
	unfollow func() bool
}

// Open begins to fetch the body that the process at an address offers under a token. The
// Reader ends with an error if the context ends before the last byte was read, if the source
// makes no progress within the stall timeout, or if Read isn't called within the reader
// timeout. If the context has ended before, the body is not fetched.
func (re *Registry) Open(ctx context.Context, address, token string) (*Reader, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("fetch body: %w", err)
	}
	rd := &Reader{registry: re, openedAt: time.Now()}
	rd.ctx, rd.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	rd.progress.start(&re.opts, re.opts.StallTimeout, rd.expire)
	re.mu.Lock()
	closed := re.closed
	if !closed {
		re.readers[rd] = struct{}{}
	}
	re.mu.Unlock()
	rd.Follow(ctx)
	if closed {
		rd.abort(ErrStopped)
		return nil, fmt.Errorf("fetch body: %w", ErrStopped)
	}
	source, release, err := re.open(rd.ctx, address, token)
	if err != nil {
		rd.abort(err)
		return nil, fmt.Errorf("fetch body: %w", err)
	}
	rd.mu.Lock()
	rd.source, rd.release = source, release
	rd.mu.Unlock()
	if err := context.Cause(rd.ctx); err != nil { // It ended before it could release the source.
		release()
		return nil, fmt.Errorf("fetch body: %w", err)
	}
	return rd, nil
}

// Discard ends a body that the process at an address offers and that isn't needed.
func (re *Registry) Discard(address, token string) {
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	if rd, err := re.Open(ctx, address, token); err == nil {
		_ = rd.Close()
	}
}

// open returns the source of a body and a function that frees it.
func (re *Registry) open(ctx context.Context, address, token string) (source io.Reader, release func(), err error) {
	if address == re.opts.Address {
		of, err := re.take(token)
		if err != nil {
			return nil, nil, err
		}
		return of, func() { of.end(ErrPeer) }, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, re.scheme+"://"+address+Path+token, http.NoBody)
	if err != nil {
		return nil, nil, fmt.Errorf("open stream: %w", err)
	}
	re.opts.Tokens.SetAuthorization(req.Header)
	resp, err := re.client.Do(req) //nolint:bodyclose // release closes the body.
	var inURL *url.Error
	if errors.As(err, &inURL) {
		err = inURL.Err // The URL has the token, which must not get into logs.
	}
	if err != nil {
		return nil, nil, fmt.Errorf("open stream at %s: %w", address, errors.Join(context.Cause(ctx), err))
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, nil, fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		_ = resp.Body.Close()
		return nil, nil, fmt.Errorf("%w: at %s", ErrUnframed, address)
	}
	return resp.Body, func() { _ = resp.Body.Close() }, nil
}

// Follow makes the Reader end with an error when the context ends, instead of that of Open
// or of an earlier call.
func (rd *Reader) Follow(ctx context.Context) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.unfollow != nil {
		rd.unfollow()
	}
	if !rd.ended {
		rd.unfollow = context.AfterFunc(ctx, func() { rd.abort(context.Cause(ctx)) })
	}
}

// Context returns a context that ends when the Reader is closed or fails.
func (rd *Reader) Context() context.Context { return rd.ctx }

// Read reads from the body. It returns io.EOF only after the last byte.
func (rd *Reader) Read(data []byte) (int, error) {
	if err := context.Cause(rd.ctx); err != nil {
		return 0, err
	}
	rd.progress.awaitSource()
	rd.reading.Store(true)
	count, err := rd.source.Read(data)
	rd.reading.Store(false)
	rd.moved.Add(int64(count))
	if count > 0 {
		rd.progress.awaitReader()
	}
	switch {
	case errors.Is(err, io.EOF):
		rd.finish()
		return count, io.EOF
	case err != nil:
		rd.abort(fmt.Errorf("%w: %w", ErrSource, err))
		return count, context.Cause(rd.ctx)
	}
	return count, nil
}

// Close ends the stream. If the body was not read to its end, its source ends as well.
func (rd *Reader) Close() error {
	rd.abort(ErrWithdrawn)
	return nil
}

func (rd *Reader) expire() {
	if rd.reading.Load() {
		rd.abort(ErrSourceStalled)
	} else {
		rd.abort(ErrStalled)
	}
}

// finish ends the timers of a body that was read to its end.
func (rd *Reader) finish() {
	rd.markEnded()
	rd.registry.mu.Lock()
	defer rd.registry.mu.Unlock()
	delete(rd.registry.readers, rd)
}

func (rd *Reader) markEnded() {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.ended = true
	rd.progress.stop()
	if rd.unfollow != nil {
		rd.unfollow()
	}
}

// abort ends the stream with an error.
func (rd *Reader) abort(err error) {
	rd.finish()
	rd.cancel(err)
	rd.mu.Lock()
	release := rd.release
	rd.mu.Unlock()
	if release != nil {
		release()
	}
}

func (rd *Reader) dump() map[string]any {
	return map[string]any{"role": "fetching", "bytes": rd.moved.Load(), "ageMillis": time.Since(rd.openedAt).Milliseconds()}
}
