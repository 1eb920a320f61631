// Package stream passes large bodies between processes, so that no process holds them.
//
// The process that reads a body from its source offers it under a random token, and names
// the token in a message. The other process fetches the body over a connection of its own,
// with GET /stream/TOKEN. TCP provides flow control: a reader that stops reading stops the
// source. A body is fetched once. A body that breaks off ends with an error on the other
// side, and never looks complete.
//
// Usage: each process has one Registry, mounted at Path of its server for peers.
//
//	reg := stream.New(options)
//	mux.Handle(stream.Path, reg)
//	offer := reg.Offer(stream.Body{Reader: reader, Length: -1, Direction: stream.Request})
//	// ... offer.Token travels to the peer ...
//	wasTaken := offer.Withdraw()
//
//	reader, err := reg.Open(ctx, address, token)
//	defer reader.Close()
//
// Lock order: Registry.mu and Offer.mu are never held together, and no callback runs while
// one of them is held.
package stream

import (
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

const (
	// Path is the HTTP path that a Registry is mounted at.
	Path = "/stream/"
	// DefaultFetchTimeout is how long an offered body waits to be fetched. The peer
	// fetches it as soon as it has the token.
	DefaultFetchTimeout = 5 * time.Second
	// DefaultStallTimeout is how long the source of a body may make no progress.
	DefaultStallTimeout = 10 * time.Second
	// BufferSize is the size of a copy buffer, in bytes.
	BufferSize = 32 << 10
)

// Errors with which a stream ends.
var (
	// ErrNotFetched means that no peer fetched the body within the fetch timeout.
	ErrNotFetched = errors.New("stream: the body was not fetched")
	// ErrStalled means that the reader of the body made no progress within the reader
	// timeout, and ErrSourceStalled that its source made none within the stall timeout.
	ErrStalled       = errors.New("stream: the reader of the body made no progress")
	ErrSourceStalled = errors.New("stream: the source of the body made no progress")
	// ErrSource means that reading the source of the body failed.
	ErrSource = errors.New("stream: the source of the body failed")
	// ErrPeer means that the reader of the body closed it or was lost.
	ErrPeer = errors.New("stream: the reader of the body has gone")
	// ErrWithdrawn means that the body is not needed any more.
	ErrWithdrawn = errors.New("stream: the body was withdrawn")
	// ErrStopped means that the process stops.
	ErrStopped = errors.New("stream: the process stops")
	// ErrPanicked means that the code that reads or sends the body panicked.
	ErrPanicked = errors.New("stream: the code that passes on the body panicked")
	// ErrUnknown means that no body is offered under a token, or that it was fetched
	// before.
	ErrUnknown = errors.New("stream: no body is offered under this token")
	// ErrUnframed means that the response to a fetch has neither a length nor chunks, so that
	// its end can't be told from a truncation. Peers always frame a body.
	ErrUnframed = errors.New("stream: the body has no framing")
)

// Direction tells what a body belongs to.
type Direction string

// The directions of bodies.
const (
	Request Direction = "request"
	Answer  Direction = "answer"
)

// Options configures a Registry.
type Options struct {
	// Address is the address under which peers fetch the bodies of this process. Open
	// reads a body at this address without a connection.
	Address string
	Log     *events.Logger
	Metrics *metrics.Registry
	Tokens  *auth.Tokens
	// OnUnauthorized is called for each request without valid credentials.
	OnUnauthorized func(*http.Request)
	// TLS is the configuration for fetching. If it is nil, plain HTTP is used.
	TLS *tls.Config
	// FetchTimeout and StallTimeout default to DefaultFetchTimeout and
	// DefaultStallTimeout.
	FetchTimeout time.Duration
	StallTimeout time.Duration
	// ReaderTimeout is how long the reader of a body may take no byte. It defaults to
	// StallTimeout.
	ReaderTimeout time.Duration
}

// Registry holds the bodies that a process offers, and fetches those of its peers. It is
// safe for concurrent use.
type Registry struct {
	opts   Options
	client *http.Client
	scheme string

	mu     sync.Mutex
	closed bool
	offers map[string]*Offer
	// readers holds the bodies that are being fetched, and serving counts the transfers
	// whose last bytes are not written yet.
	readers map[*Reader]struct{}
	serving int
}

// New returns a Registry without bodies.
func New(opts Options) *Registry {
	if opts.FetchTimeout == 0 {
		opts.FetchTimeout = DefaultFetchTimeout
	}
	if opts.StallTimeout == 0 {
		opts.StallTimeout = DefaultStallTimeout
	}
	if opts.ReaderTimeout == 0 {
		opts.ReaderTimeout = opts.StallTimeout
	}
	re := &Registry{opts: opts, offers: make(map[string]*Offer), readers: make(map[*Reader]struct{}), scheme: "http"}
	if opts.TLS != nil {
		re.scheme = "https"
	}
	re.client = newClient(opts.TLS)
	return re
}

// Address returns the address under which peers fetch the bodies of this process.
func (re *Registry) Address() string { return re.opts.Address }

// ReaderTimeout returns how long the reader of a body may take no byte.
func (re *Registry) ReaderTimeout() time.Duration { return re.opts.ReaderTimeout }

// Offer registers a body for one fetch.
func (re *Registry) Offer(body Body) *Offer {
	of := &Offer{Token: rand.Text(), registry: re, body: body, offeredAt: time.Now()}
	of.progress.start(&re.opts, re.opts.FetchTimeout, of.expire)
	re.mu.Lock()
	closed := re.closed
	if !closed {
		re.offers[of.Token] = of
	}
	count := len(re.offers)
	re.mu.Unlock()
	re.opts.Metrics.Gauge("stream.open").Update(int64(count))
	if closed {
		of.end(ErrStopped)
	}
	return of
}

// Close ends all streams. Bodies that are offered later end at once.
func (re *Registry) Close() {
	re.mu.Lock()
	re.closed = true
	offers, readers := make([]*Offer, 0, len(re.offers)), make([]*Reader, 0, len(re.readers))
	for _, of := range re.offers {
		offers = append(offers, of)
	}
	for rd := range re.readers {
		readers = append(readers, rd)
	}
	re.mu.Unlock()
	for _, of := range offers {
		of.end(ErrStopped)
	}
	for _, rd := range readers {
		rd.abort(ErrStopped)
	}
}

// Drain returns once all offered bodies have been written, or when the context ends.
func (re *Registry) Drain(done <-chan struct{}) {
	for !re.isIdle() {
		select {
		case <-time.After(drainInterval):
		case <-done:
			return
		}
	}
}

// drainInterval is how often Drain checks for open streams.
const drainInterval = 5 * time.Millisecond

func (re *Registry) isIdle() bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return len(re.offers) == 0 && re.serving == 0
}

// Dump returns the state of the open streams, for debugging. It holds no whole token.
func (re *Registry) Dump() []map[string]any {
	re.mu.Lock()
	offers, readers := make([]*Offer, 0, len(re.offers)), make([]*Reader, 0, len(re.readers))
	for _, of := range re.offers {
		offers = append(offers, of)
	}
	for rd := range re.readers {
		readers = append(readers, rd)
	}
	re.mu.Unlock()
	list := make([]map[string]any, 0, len(offers)+len(readers))
	for _, of := range offers {
		list = append(list, of.dump())
	}
	for _, rd := range readers {
		list = append(list, rd.dump())
	}
	return list
}

// take marks the body under a token as fetched, prepares it and returns it.
func (re *Registry) take(token string) (*Offer, error) {
	re.mu.Lock()
	of := re.offers[token]
	re.mu.Unlock()
	if of == nil || !of.take() {
		return nil, ErrUnknown
	}
	if err := of.prepare(); err != nil {
		return nil, err
	}
	return of, nil
}

// remove forgets an offer that has ended, counts it, and logs it if it was aborted.
func (re *Registry) remove(of *Offer, err error) {
	re.mu.Lock()
	delete(re.offers, of.Token)
	count := len(re.offers)
	re.mu.Unlock()
	re.opts.Metrics.Gauge("stream.open").Update(int64(count))
	re.opts.Metrics.Counter(fmt.Sprintf("stream.bytes.%s", of.body.Direction)).Inc(of.moved.Load())
	if err == nil {
		re.opts.Metrics.Counter("stream.complete").Inc(1)
		return
	}
	if errors.Is(err, ErrWithdrawn) && of.moved.Load() == 0 {
		return // The request ended before a gate needed its body.
	}
	re.opts.Metrics.Counter("stream.aborted." + reasonOf(err)).Inc(1)
	re.opts.Log.Write(events.StreamAborted, of.logFields(err))
}

// reasonOf returns the name of a cause in metrics and logs.
func reasonOf(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{ErrNotFetched, "notFetched"},
		{ErrStalled, "stalled"},
		{ErrSourceStalled, "sourceStalled"},
		{ErrSource, "source"},
		{ErrPeer, "peer"},
		{ErrWithdrawn, "withdrawn"},
		{ErrStopped, "stopped"},
		{ErrPanicked, "panicked"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "other"
}
