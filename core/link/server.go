package link

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/coder/websocket"

	"cactusstream.example/core/auth"
)

// Server accepts connections from peers. Mount it at Path.
type Server struct {
	mux            *Mux
	tokens         *auth.Tokens
	onUnauthorized func(*http.Request)

	mu     sync.Mutex
	closed bool
	conns  map[*conn]struct{}
}

// NewServer returns a Server. It calls onUnauthorized for each request without valid
// credentials.
func NewServer(mux *Mux, tokens *auth.Tokens, onUnauthorized func(*http.Request)) *Server {
	return &Server{mux: mux, tokens: tokens, onUnauthorized: onUnauthorized, conns: make(map[*conn]struct{})}
}

// Close closes every accepted connection. Those that are accepted later are closed at
// once.
func (se *Server) Close() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.closed = true
	for con := range se.conns {
		con.close()
	}
}

// Drain returns once the peers have received the responses to their calls of the methods
// that Mux.Await names, or when the context ends. Handlers go on.
func (se *Server) Drain(ctx context.Context) {
	se.mu.Lock()
	conns := slices.Collect(maps.Keys(se.conns))
	se.mu.Unlock()
	drainAll(ctx, conns)
}

// ServeHTTP accepts one connection and serves it until it ends.
func (se *Server) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if !se.tokens.Accepts(req) {
		se.onUnauthorized(req)
		http.Error(wr, "missing or invalid credentials", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(wr, req, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	con := newConn(req.Header.Get(peerHeader), ws, se.mux)
	if !se.add(con) {
		con.close()
		return
	}
	defer se.remove(con)
	con.run()
}

// add registers a connection and returns false if the server is closed.
func (se *Server) add(con *conn) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.closed {
		return false
	}
	se.conns[con] = struct{}{}
	return true
}

func (se *Server) remove(con *conn) {
	se.mu.Lock()
	defer se.mu.Unlock()
	delete(se.conns, con)
}
