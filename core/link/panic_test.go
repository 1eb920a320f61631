package link_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
)

// TestPanicOfAHandlerEndsOnlyItsCall guards against a panic that ends the process, or that
// leaves what its call held: the handler panics more often than a connection serves calls
// concurrently, and a drain must not wait for the calls.
func TestPanicOfAHandlerEndsOnlyItsCall(t *testing.T) {
	const calls = 5000 // More than the call slots of a connection.
	is := is.New(t)
	var out bytes.Buffer
	log, err := events.NewLogger("json", "info", &out)
	is.NoErr(err)
	reg := metrics.NewRegistry()
	tokens := newTokens(t)
	mux := link.NewMux()
	mux.LogPanics(log.WithRateLimit(10), reg)
	mux.Await("panic")
	contexts := make(chan context.Context, calls)
	link.Handle(mux, "panic", func(ctx context.Context, _ string, req echo) (echo, error) {
		contexts <- ctx
		counts := map[string]map[string]int{}
		counts[req.Tag]["x"]++
		return req, nil
	})
	link.Handle(mux, "echo", func(_ context.Context, _ string, req echo) (echo, error) { return req, nil })
	notices := make(chan string, 2)
	link.HandleNotice(mux, "notice", func(_ string, tag string) {
		notices <- tag
		if tag == "panic" {
			panic("a notice")
		}
	})
	server := link.NewServer(mux, tokens, func(*http.Request) {})
	srv := httptest.NewServer(server)
	defer srv.Close()
	defer server.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	pool := link.NewPool("test", tokens, link.NewMux())
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for number := range calls {
		_, err := link.Call[echo, echo](ctx, pool, address, "panic", echo{Tag: fmt.Sprint(number)})
		var remote *link.RemoteError
		if !errors.As(err, &remote) || remote.Code != link.CodePanicked || errors.Is(err, link.ErrNotSent) {
			t.Fatalf("call %d: %v", number, err)
		}
	}
	is.NoErr(link.Notify(ctx, pool, address, "notice", "panic"))
	is.NoErr(link.Notify(ctx, pool, address, "notice", "last"))
	is.Equal(<-notices, "panic")
	is.Equal(<-notices, "last") // On the same connection.
	resp, err := link.Call[echo, echo](ctx, pool, address, "echo", echo{Tag: "x"})
	is.NoErr(err)
	is.Equal(resp.Tag, "x")
	for range calls {
		is.True((<-contexts).Err() != nil) // The cancel function was called.
	}
	drained, cancelDrain := context.WithTimeout(ctx, 10*time.Second)
	defer cancelDrain()
	server.Drain(drained)
	is.NoErr(drained.Err())
	is.Equal(reg.Counter("process.panics").Count(), int64(calls+1))
	for _, want := range []string{`"event":603`, `"method":"panic"`, "assignment to entry in nil map", "panic_test.go", `"peer":"test"`} {
		is.True(strings.Contains(out.String(), want))
	}
}

// TestMalformedFramesEndOnlyTheirConnection sends frames that no peer sends. Each may end
// its connection and must not end the process.
func TestMalformedFramesEndOnlyTheirConnection(t *testing.T) {
	is := is.New(t)
	tokens := newTokens(t)
	mux := link.NewMux()
	mux.LogPanics(events.Discard(), metrics.NewRegistry())
	link.Handle(mux, "echo", func(_ context.Context, _ string, req echo) (echo, error) { return req, nil })
	server := link.NewServer(mux, tokens, func(*http.Request) {})
	srv := httptest.NewServer(server)
	defer srv.Close()
	defer server.Close()
	for _, data := range [][]byte{nil, {0xff}, {0xa1}, {0xbf, 0xff}, bytes.Repeat([]byte{0x81}, 100_000), bytes.Repeat([]byte{0x9f}, 100_000), {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		sendRaw(t, srv.URL, tokens, data)
	}
	pool := link.NewPool("test", tokens, link.NewMux())
	defer pool.Close()
	_, err := link.Call[echo, echo](context.Background(), pool, strings.TrimPrefix(srv.URL, "http://"), "echo", echo{Tag: "x"})
	is.NoErr(err)
}

// sendRaw sends one message on a connection of its own and waits until the peer has read it.
func sendRaw(t *testing.T, url string, tokens *auth.Tokens, data []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	header := make(http.Header)
	tokens.SetAuthorization(header)
	ws, _, err := websocket.Dial(ctx, strings.Replace(url, "http", "ws", 1)+link.Path, &websocket.DialOptions{HTTPHeader: header}) //nolint:bodyclose // The library says that the body of a handshake need not be closed.
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ws.CloseNow() }()
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
	ws.CloseRead(ctx)
	_ = ws.Ping(ctx) // An error says that the peer has closed the connection.
}
