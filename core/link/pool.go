package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"cactusstream.example/core/auth"
)

const (
	// Path is where a Server is mounted.
	Path = "/link"

	dialTimeout = 400 * time.Millisecond
	redialAfter = 100 * time.Millisecond
	headerPeer  = "Cactus-Peer"
)

// Pool holds one connection to each peer that this process asks.
//
// Lock order: Pool.mu, then peerConn.mu, then conn.mu.
type Pool struct {
	self   string
	tokens *auth.Tokens
	mux    *Mux
	client *http.Client
	scheme string
	stop   context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peerConn
}

// PoolOption changes a Pool.
type PoolOption func(*Pool)

// Status is one connection of a Pool, for dumps.
type Status struct {
	Address  string `json:"address"`
	Open     bool   `json:"open"`
	InFlight int    `json:"inFlight"`
}

type peerConn struct {
	mu  sync.Mutex
	con *conn
	// dialing is closed when the dial under way ends; nil when there is none.
	dialing chan struct{}
	failed  time.Time
	lastErr error
}

// NewPool returns a Pool. The mux answers calls that peers make back on the
// pool's connections; it may be empty.
func NewPool(self string, tokens *auth.Tokens, mux *Mux, opts ...PoolOption) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	po := &Pool{
		self:   self,
		tokens: tokens,
		mux:    mux,
		client: &http.Client{Transport: &http.Transport{}},
		scheme: "ws",
		stop:   ctx,
		cancel: cancel,
		peers:  make(map[string]*peerConn),
	}
	for _, opt := range opts {
		opt(po)
	}
	return po
}

// WithTLS makes the Pool dial with TLS.
func WithTLS(cfg *tls.Config) PoolOption {
	return func(po *Pool) {
		if cfg != nil {
			po.client = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
			po.scheme = "wss"
		}
	}
}

// Close closes every connection.
func (po *Pool) Close() {
	po.cancel()
	po.mu.Lock()
	peers := po.peers
	po.peers = make(map[string]*peerConn)
	po.mu.Unlock()
	for _, pc := range peers {
		pc.mu.Lock()
		if pc.con != nil {
			pc.con.close()
		}
		pc.mu.Unlock()
	}
}

// Forget closes the connection to an address, as when its member left.
func (po *Pool) Forget(address string) {
	po.mu.Lock()
	pc := po.peers[address]
	delete(po.peers, address)
	po.mu.Unlock()
	if pc == nil {
		return
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.con != nil {
		pc.con.close()
	}
}

// Statuses returns the connections, for dumps.
func (po *Pool) Statuses() []Status {
	po.mu.Lock()
	peers := maps.Clone(po.peers)
	po.mu.Unlock()
	list := make([]Status, 0, len(peers))
	for address, pc := range peers {
		list = append(list, pc.status(address))
	}
	return list
}

// get returns the connection to an address and dials when there is none. A
// dial that failed a moment ago is not repeated.
func (po *Pool) get(ctx context.Context, address string) (*conn, error) {
	po.mu.Lock()
	pc := po.peers[address]
	if pc == nil {
		pc = &peerConn{}
		po.peers[address] = pc
	}
	po.mu.Unlock()

	con, dialing, err := po.connOrDial(pc, address)
	if con != nil || err != nil {
		return con, err
	}
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.con != nil && !pc.con.isClosed() {
		return pc.con, nil
	}
	return nil, fmt.Errorf("dial %s: %w", address, errors.Join(pc.lastErr, ErrClosed))
}

// connOrDial returns the connection, or the end of the dial under way, which it
// begins when there is none. The dial belongs to all who wait for it: the short
// deadline of one must not make it fail for the others.
func (po *Pool) connOrDial(pc *peerConn, address string) (*conn, <-chan struct{}, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.con != nil && !pc.con.isClosed() {
		return pc.con, nil, nil
	}
	if time.Since(pc.failed) < redialAfter {
		return nil, nil, fmt.Errorf("dial %s: a moment ago: %w", address, pc.lastErr)
	}
	if pc.dialing == nil {
		pc.dialing = make(chan struct{})
		go po.dialFor(pc, address)
	}
	return nil, pc.dialing, nil
}

// dialFor dials a peer and tells all who wait.
func (po *Pool) dialFor(pc *peerConn, address string) {
	con, err := po.dial(address)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.con, pc.lastErr = con, err
	if err != nil {
		pc.failed = time.Now()
	}
	close(pc.dialing)
	pc.dialing = nil
}

func (po *Pool) dial(address string) (*conn, error) {
	if po.stop.Err() != nil {
		return nil, errors.New("dial: the pool is closed")
	}
	ctx, cancel := context.WithTimeout(po.stop, dialTimeout)
	defer cancel()
	header := make(http.Header)
	po.tokens.Sign(header)
	header.Set(headerPeer, po.self)
	ws, _, err := websocket.Dial(ctx, po.scheme+"://"+address+Path, &websocket.DialOptions{HTTPClient: po.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // The library says that the body of a handshake need not be closed.
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	con := newConn(address, ws, po.mux)
	go con.run(po.stop)
	return con, nil
}

func (pc *peerConn) status(address string) Status {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.con == nil || pc.con.isClosed() {
		return Status{Address: address}
	}
	pc.con.mu.Lock()
	defer pc.con.mu.Unlock()
	return Status{Address: address, Open: true, InFlight: len(pc.con.pending)}
}
