package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/codec"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/outcome"
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
