package link

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"cactusstream.example/core/auth"
)

// Server accepts connections from peers. Mount it at Path.
type Server struct {
	mux            *Mux
	tokens         *auth.Tokens
	onUnauthorized func(*http.Request)
	baseCtx        context.Context
	cancel         context.CancelFunc

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a Server. It calls onUnauthorized for each request without valid
// credentials.
func NewServer(mux *Mux, tokens *auth.Tokens, onUnauthorized func(*http.Request)) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{mux: mux, tokens: tokens, onUnauthorized: onUnauthorized, baseCtx: ctx, cancel: cancel, conns: make(map[*conn]struct{})}
}

// Close closes every accepted connection.
func (se *Server) Close() {
	se.cancel()
	se.mu.Lock()
	defer se.mu.Unlock()
	for con := range se.conns {
		con.close()
	}
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
	se.mu.Lock()
	se.conns[con] = struct{}{}
	se.mu.Unlock()
	defer func() {
		se.mu.Lock()
		delete(se.conns, con)
		se.mu.Unlock()
	}()
	con.run(se.baseCtx)
}
