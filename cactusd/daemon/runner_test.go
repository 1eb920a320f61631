package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/stream"
)

// TestOlderGateGetsOnlyWholeBodies calls a gate that doesn't know streams although its
// record said so. It must run a request whose body is in the message, and must never run
// one whose body is a stream, because it would run it without the body.
func TestOlderGateGetsOnlyWholeBodies(t *testing.T) {
	is := is.New(t)
	mux, tokens := link.NewMux(), auth.NewTokens("a-token-for-the-tests")
	runs := 0
	link.Handle(mux, wire.MethodRun, func(_ context.Context, _ string, req wire.RunRequest) (wire.RunAnswer, error) {
		runs++
		return wire.RunAnswer{Outcome: outcome.Ran, Body: req.Body}, nil
	})
	srv := httptest.NewServer(link.NewServer(mux, tokens, func(*http.Request) {}))
	defer srv.CloseClientConnections()
	pool := link.NewPool("test", tokens, link.NewMux())
	defer pool.Close()
	ru := &runner{self: "d1", pool: pool}
	endpoint := fleet.Endpoint{Daemon: "d2", PeerAddress: strings.TrimPrefix(srv.URL, "http://"), Streams: true}
	answer, err := ru.Run(context.Background(), endpoint, wire.RunRequest{Body: []byte("body"), AcceptsStream: true})
	is.NoErr(err)
	is.Equal(string(answer.Body), "body")
	is.Equal(runs, 1)
	_, err = ru.Run(context.Background(), endpoint, wire.RunRequest{BodyStream: &wire.Stream{Token: "t"}, AcceptsStream: true})
	var remote *link.RemoteError
	is.True(errors.As(err, &remote) && remote.Code == "noMethod")
	is.Equal(runs, 1)
}

// TestMessagesOfSmallRequestsAreUnchanged checks that the messages of a request whose kind
// has only small bodies say nothing about streams.
func TestMessagesOfSmallRequestsAreUnchanged(t *testing.T) {
	is := is.New(t)
	req, answer := wire.RunRequest{Method: "GET"}, wire.RunAnswer{Status: 200}
	want, err := codec.Marshal(req)
	is.NoErr(err)
	req.AcceptsStream, req.BodyStream = true, &wire.Stream{Token: "t"}
	got, err := codec.Marshal(req)
	is.NoErr(err)
	is.Equal(got, want)
	want, err = codec.Marshal(answer)
	is.NoErr(err)
	answer.BodyStream = &wire.Stream{Token: "t"}
	got, err = codec.Marshal(answer)
	is.NoErr(err)
	is.Equal(got, want)
}

// TestLateResponseFreesItsStream cancels a call whose gate responds nevertheless, with a body
// that it offers. The offer keeps the upstream's slot, which must be free within 0.5 s and
// not only after the fetch time-out.
func TestLateResponseFreesItsStream(t *testing.T) {
	const (
		maxHeld = 500 * time.Millisecond
		giveUp  = 20 * time.Second
	)
	for _, cause := range []string{"cancelled", "deadline"} {
		t.Run(cause, func(t *testing.T) {
			is := is.New(t)
			tokens := auth.NewTokens("a-token-for-the-tests")
			registry := func(address string) *stream.Registry {
				return stream.New(stream.Options{Address: address, Log: events.Discard(), Metrics: metrics.NewRegistry(), Tokens: tokens, OnUnauthorized: func(*http.Request) {}})
			}
			offering, fetching := registry("gate"), registry("ingress")
			defer offering.Close()
			defer fetching.Close()
			called, ended := make(chan struct{}), make(chan time.Time, 1)
			var offeredAt time.Time
			mux := link.NewMux()
			link.Handle(mux, wire.MethodRunStream, func(ctx context.Context, _ string, _ wire.StreamRunRequest) (wire.StreamRunAnswer, error) {
				close(called)
				<-ctx.Done()
				time.Sleep(50 * time.Millisecond) // The caller has given up, whatever ended first.
				offeredAt = time.Now()
				of := offering.Offer(stream.Body{Reader: strings.NewReader("body"), Length: 4, Direction: stream.Answer, OnEnd: func(error) { ended <- time.Now() }})
				return wire.StreamRunAnswer{Run: wire.RunAnswer{Outcome: outcome.Ran}, Body: &wire.Stream{Token: of.Token, Length: 4}}, nil
			})
			served := http.NewServeMux()
			served.Handle(link.Path, link.NewServer(mux, tokens, func(*http.Request) {}))
			served.Handle(stream.Path, offering)
			srv := httptest.NewServer(served)
			defer srv.CloseClientConnections()
			pool := link.NewPool("test", tokens, link.NewMux())
			defer pool.Close()
			ru := &runner{self: "d1", pool: pool, discard: fetching.Discard}
			ctx, cancel := context.WithCancel(context.Background())
			if cause == "deadline" {
				ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
			}
			defer cancel()
			if cause == "cancelled" {
				go func() {
					<-called
					cancel()
				}()
			}
			endpoint := fleet.Endpoint{Daemon: "d2", PeerAddress: strings.TrimPrefix(srv.URL, "http://"), Streams: true}
			_, err := ru.Run(ctx, endpoint, wire.RunRequest{AcceptsStream: true})
			is.True(errors.Is(err, link.ErrLost))
			select {
			case at := <-ended:
				if held := at.Sub(offeredAt); held > maxHeld {
					t.Errorf("the slot was held for %s", held)
				}
			case <-time.After(giveUp):
				t.Fatal("the slot is still held")
			}
		})
	}
}
