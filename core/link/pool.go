package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"cactusstream.example/core/auth"
)

const (
	// Path is the HTTP path that a Server is mounted at.
	Path = "/link"

	dialTimeout = 400 * time.Millisecond
	// redialDelay is the minimum time between a failed dial and the next one.
	redialDelay = 100 * time.Millisecond
	peerHeader  = "Cactus-Peer"
	// maxHandshakeBytes limits the header of the response to a handshake, in bytes.
	maxHandshakeBytes = 16 << 10
)

// Pool holds one connection to each peer that this process calls.
//
// Lock order: Pool.mu, then peerConn.mu, then conn.mu.
type Pool struct {
	self    string
	tokens  *auth.Tokens
	mux     *Mux
	client  *http.Client
	scheme  string
	baseCtx context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peerConn
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// Status describes one connection of a Pool in the debug dump.
type Status struct {
	Address  string `json:"address"`
	Open     bool   `json:"open"`
	InFlight int    `json:"inFlight"`
}

// peerConn is the connection to one peer, or the dial that establishes it.
type peerConn struct {
	mu  sync.Mutex
	con *conn
	// dialing is closed when the dial in progress ends. It is nil when there is none.
	dialing     chan struct{}
	lastFailure time.Time
	lastErr     error
	// closed is set when the pool no longer holds the peer, so that a dial in progress
	// closes its connection instead of leaving it open with no owner.
	closed bool
}

// NewPool returns a Pool that identifies itself to peers as self. The mux handles
// calls that peers make over the pool's connections, and may be empty.
func NewPool(self string, tokens *auth.Tokens, mux *Mux, opts ...PoolOption) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	po := &Pool{
		self:    self,
		tokens:  tokens,
		mux:     mux,
		client:  newHTTPClient(nil),
		scheme:  "ws",
		baseCtx: ctx,
		cancel:  cancel,
		peers:   make(map[string]*peerConn),
	}
	for _, opt := range opts {
		opt(po)
	}
	return po
}

// newHTTPClient returns the client that performs the handshakes. cfg may be nil.
func newHTTPClient(cfg *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, MaxResponseHeaderBytes: maxHandshakeBytes}}
}

// WithTLS makes the Pool dial with TLS, unless cfg is nil.
func WithTLS(cfg *tls.Config) PoolOption {
	return func(po *Pool) {
		if cfg != nil {
			po.client = newHTTPClient(cfg)
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
		pc.close()
	}
}

// Drain is like Server.Drain, for the calls of peers over the connections of the pool.
func (po *Pool) Drain(ctx context.Context) {
	po.mu.Lock()
	peers := slices.Collect(maps.Values(po.peers))
	po.mu.Unlock()
	var conns []*conn
	for _, pc := range peers {
		if con := pc.current(); con != nil {
			conns = append(conns, con)
		}
	}
	drainAll(ctx, conns)
}

// Forget removes the connection to an address, for example when its member has left,
// and closes it once no call waits for a response: the peer may still send those.
func (po *Pool) Forget(address string) {
	po.mu.Lock()
	pc := po.peers[address]
	delete(po.peers, address)
	po.mu.Unlock()
	if pc != nil {
		pc.retire()
	}
}

// Statuses returns the status of each connection for the debug dump.
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

// get returns the connection to an address and dials if there is none. After a failed
// dial it returns an error until redialDelay has passed.
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
	if pc.con != nil && pc.con.isUsable() {
		return pc.con, nil
	}
	return nil, fmt.Errorf("dial %s: %w", address, errors.Join(pc.lastErr, ErrClosed))
}

// connOrDial returns the connection, or a channel that is closed when the dial in
// progress ends. It starts a dial if there is none. The dial is shared by all callers
// and does not use their contexts, so that the short deadline of one caller does not
// make it fail for the others.
func (po *Pool) connOrDial(pc *peerConn, address string) (*conn, <-chan struct{}, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.con != nil && pc.con.isUsable() {
		return pc.con, nil, nil
	}
	if time.Since(pc.lastFailure) < redialDelay {
		return nil, nil, fmt.Errorf("dial %s: not retried so soon after a failure: %w", address, pc.lastErr)
	}
	if pc.dialing == nil {
		pc.dialing = make(chan struct{})
		go po.dialPeer(pc, address)
	}
	return nil, pc.dialing, nil
}

// dialPeer dials a peer and wakes all callers that wait for the result.
func (po *Pool) dialPeer(pc *peerConn, address string) {
	con, err := po.dial(address)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if con != nil && pc.closed {
		con.close()
		con, err = nil, ErrClosed
	}
	pc.lastErr = err
	if err != nil {
		pc.lastFailure = time.Now()
	} else {
		if pc.con != nil {
			pc.con.retire()
		}
		pc.con = con
	}
	close(pc.dialing)
	pc.dialing = nil
}

// dial opens one connection and starts serving it.
func (po *Pool) dial(address string) (*conn, error) {
	if po.baseCtx.Err() != nil {
		return nil, errors.New("dial: the pool is closed")
	}
	ctx, cancel := context.WithTimeout(po.baseCtx, dialTimeout)
	defer cancel()
	header := make(http.Header)
	po.tokens.SetAuthorization(header)
	header.Set(peerHeader, po.self)
	ws, _, err := websocket.Dial(ctx, po.scheme+"://"+address+Path, &websocket.DialOptions{HTTPClient: po.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // The library says that the body of a handshake need not be closed.
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	con := newConn(address, ws, po.mux)
	go con.run()
	return con, nil
}

// current returns the connection, or nil.
func (pc *peerConn) current() *conn {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.con
}

func (pc *peerConn) close() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.closed = true
	if pc.con != nil {
		pc.con.close()
	}
}

// retire is like close, but lets the pending calls end first.
func (pc *peerConn) retire() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.closed = true
	if pc.con != nil {
		pc.con.retire()
	}
}

func (pc *peerConn) status(address string) Status {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.con == nil || pc.con.isClosed() {
		return Status{Address: address}
	}
	pc.con.mu.Lock()
	defer pc.con.mu.Unlock()
	return Status{Address: address, Open: true, InFlight: len(pc.con.pendingCalls)}
}
