package link_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/link"
)

// TestDrainDeliversResponses closes a server while responses of several sizes are on
// their way, in both directions of a connection. After a drain, every call whose handler
// has run must have its response.
func TestDrainDeliversResponses(t *testing.T) {
	const calls = 16
	for round := range 5 {
		for _, size := range []int{10, 30_000, 1 << 20, 4 << 20} {
			t.Run(fmt.Sprint(round, "/", size), func(t *testing.T) {
				is := is.New(t)
				tokens := newTokens(t)
				mux := link.NewMux()
				mux.Await("echo")
				var handled sync.WaitGroup
				handled.Add(calls)
				link.Handle(mux, "echo", func(_ context.Context, _ string, req echo) (echo, error) {
					defer handled.Done()
					req.Body = bytes.Repeat([]byte("x"), size)
					return req, nil
				})
				server := link.NewServer(mux, tokens, func(*http.Request) {})
				srv := httptest.NewServer(server)
				defer srv.Close()
				pool := link.NewPool("test", tokens, link.NewMux())
				defer pool.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				errs := make(chan error, calls)
				for number := range calls {
					go func() {
						resp, err := link.Call[echo, echo](ctx, pool, strings.TrimPrefix(srv.URL, "http://"), "echo", echo{Tag: fmt.Sprint(number)})
						if err == nil && len(resp.Body) != size {
							err = errors.New("the response is incomplete")
						}
						errs <- err
					}()
				}
				handled.Wait()
				server.Drain(ctx)
				server.Close()
				for range calls {
					is.NoErr(<-errs)
				}
			})
		}
	}
}

// TestDrainEndsWithItsContext drains a server whose handler doesn't return, and one whose
// peer has called only methods that no drain waits for.
func TestDrainEndsWithItsContext(t *testing.T) {
	for _, isAwaited := range []bool{true, false} {
		is := is.New(t)
		tokens := newTokens(t)
		mux := link.NewMux()
		if isAwaited {
			mux.Await("wait")
		}
		started := make(chan struct{})
		link.Handle(mux, "wait", func(ctx context.Context, _ string, req echo) (echo, error) {
			close(started)
			<-ctx.Done()
			return req, nil
		})
		server := link.NewServer(mux, tokens, func(*http.Request) {})
		srv := httptest.NewServer(server)
		pool := link.NewPool("test", tokens, link.NewMux())
		go func() {
			_, _ = link.Call[echo, echo](context.Background(), pool, strings.TrimPrefix(srv.URL, "http://"), "wait", echo{})
		}()
		<-started
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		server.Drain(ctx)
		is.Equal(ctx.Err() != nil, isAwaited)
		cancel()
		server.Close()
		pool.Close()
		srv.Close()
	}
}

// TestForgottenPeerAnswersPendingCalls forgets a peer that has calls in flight, as when
// it leaves or another process considers it dead. The calls must get their responses,
// and the connection must end with the last one.
func TestForgottenPeerAnswersPendingCalls(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t)
	const calls = 8
	errs := make(chan error, calls)
	for number := range calls {
		go func() {
			_, err := fi.call(context.Background(), echo{Tag: fmt.Sprint(number), Sleep: 100 + 20*number})
			errs <- err
		}()
	}
	for fi.received.Load() < calls {
		runtime.Gosched()
	}
	fi.pool.Forget(fi.address)
	for range calls {
		is.NoErr(<-errs)
	}
	is.Equal(len(fi.pool.Statuses()), 0)
	_, err := fi.call(context.Background(), echo{}) // A new connection.
	is.NoErr(err)
	is.Equal(fi.cancelled.Load(), int64(0))
}
