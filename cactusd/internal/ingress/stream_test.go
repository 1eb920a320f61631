package ingress_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/ingress"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/claim"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/stream"
)

// streamFixture is an ingress whose registry is also that of the gates.
type streamFixture struct {
	runner  *estimatingRunner
	streams *stream.Registry
	bodies  *bodybuffer.Buffer
	address string
}

func newStreamFixture(t *testing.T, answer func(sf *streamFixture, attempt int64, req wire.RunRequest) wire.RunAnswer, edits ...func(*ingress.Options)) *streamFixture {
	t.Helper()
	var attempts atomic.Int64
	sf := &streamFixture{bodies: bodybuffer.New(16 << 20)}
	sf.streams = stream.New(stream.Options{
		Address: "here", Log: events.Discard(), Metrics: metrics.NewRegistry(), Tokens: auth.NewTokens("a-token-for-the-tests"), OnUnauthorized: func(*http.Request) {},
	})
	t.Cleanup(sf.streams.Close)
	sf.runner = &estimatingRunner{estimate: noWait, answer: func(_ fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
		return answer(sf, attempts.Add(1), req), nil
	}}
	tree := newPlatformSettings().Apply([]settings.Edit{{Path: settings.RootSection, Key: "bodyLimit", Value: "4000000"}})
	in := newPlatformIngress(t, sf.runner, newReplica(t, tree), append(edits, func(opts *ingress.Options) {
		opts.Bodies, opts.Streams = sf.bodies, sf.streams
		pools := opts.View().Pools
		for index := range pools["s"].Endpoints {
			pools["s"].Endpoints[index].Streams, pools["s"].Endpoints[index].PeerAddress = true, "here"
		}
	})...)
	srv := httptest.NewServer(in)
	t.Cleanup(srv.Close)
	sf.address = strings.TrimPrefix(srv.URL, "http://")
	return sf
}

// send sends a request with a body of a size, and returns the status and the body of the
// answer.
func (sf *streamFixture) send(t *testing.T, path string, size int, timeoutMillis string) (status int, body string, err error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+sf.address+path, strings.NewReader(strings.Repeat("b", size)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("X-Left", timeoutMillis)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// fetch reads a number of bytes of the body of a request, or all of it if there are fewer.
func (sf *streamFixture) fetch(req wire.RunRequest, count int64) (int64, error) {
	rd, err := sf.streams.Open(context.Background(), req.BodyStream.Address, req.BodyStream.Token)
	if err != nil {
		return 0, err
	}
	defer func() { _ = rd.Close() }()
	return io.Copy(io.Discard, io.LimitReader(rd, count))
}

// answerWith returns an answer whose body is a stream.
func (sf *streamFixture) answerWith(body io.Reader) wire.RunAnswer {
	of := sf.streams.Offer(stream.Body{Reader: body, Length: -1, Direction: stream.Answer})
	return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Header: wire.Header{}, BodyStream: &wire.Stream{Token: of.Token, Length: -1}}
}

// TestBodyIsSentAgainOnlyIfUnfetched lets the first attempt end in several ways. Only if no
// byte of the body was fetched may the request be sent to another upstream, also if it is
// idempotent or proved not to have run.
func TestBodyIsSentAgainOnlyIfUnfetched(t *testing.T) {
	const size = 1_000_000
	cases := []struct {
		name     string
		first    wire.RunAnswer
		fetched  int64
		attempts int
		status   int
	}{
		{"rejected before it was fetched", wire.NotRun(outcome.NoUpstream, "rejected"), 0, 2, http.StatusOK},
		{"rejected after a byte", wire.NotRun(outcome.UpstreamRejected, "rejected"), 1, 1, http.StatusServiceUnavailable},
		{"rejected after the whole body", wire.NotRun(outcome.UpstreamRejected, "rejected"), size, 1, http.StatusServiceUnavailable},
		{"failed after a byte", wire.Unknown(outcome.UpstreamFailed, "cut"), 1, 1, http.StatusBadGateway},
		{"server error after the whole body", wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusInternalServerError}, size, 1, http.StatusInternalServerError},
	}
	for _, path := range []string{"/look/", "/cut/"} {
		for _, tc := range cases {
			t.Run(path+tc.name, func(t *testing.T) {
				is := is.New(t)
				sf := newStreamFixture(t, func(sf *streamFixture, attempt int64, req wire.RunRequest) wire.RunAnswer {
					if attempt == 1 {
						if tc.fetched > 0 {
							if count, err := sf.fetch(req, tc.fetched); count != tc.fetched || err != nil {
								t.Errorf("%d bytes fetched: %v", count, err)
							}
						}
						return tc.first
					}
					if count, err := sf.fetch(req, size+1); count != size || err != nil {
						t.Errorf("%d bytes fetched: %v", count, err)
					}
					return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK}
				})
				status, _, err := sf.send(t, path, size, "10000")
				is.NoErr(err)
				is.Equal(status, tc.status)
				is.Equal(len(sf.runner.endpointsSentTo()), tc.attempts)
			})
		}
	}
}

// TestAbandonedAttemptCanNotFetch lets the first attempt exceed the time for an idempotent
// attempt before it has fetched the body. A second one follows, and from then on the first
// must not get the body, or two upstreams would run the request with a part of it.
func TestAbandonedAttemptCanNotFetch(t *testing.T) {
	is := is.New(t)
	const size = 1_000_000
	late := make(chan error, 1)
	second := make(chan struct{})
	sf := newStreamFixture(t, func(sf *streamFixture, attempt int64, req wire.RunRequest) wire.RunAnswer {
		if attempt == 1 {
			<-second
			_, err := sf.fetch(req, size)
			late <- err
			return wire.Unknown(outcome.UpstreamFailed, "late")
		}
		close(second)
		if err := <-late; !errors.Is(err, stream.ErrUnknown) {
			t.Errorf("the first attempt fetched the body: %v", err)
		}
		time.Sleep(50 * time.Millisecond) // The first attempt ends, and must not end the offer to the second.
		if count, err := sf.fetch(req, size+1); count != size || err != nil {
			t.Errorf("%d bytes fetched: %v", count, err)
		}
		return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK}
	}, func(opts *ingress.Options) {
		opts.Replica = newReplica(t, newPlatformSettings().Apply([]settings.Edit{
			{Path: settings.RootSection, Key: "bodyLimit", Value: "4000000"},
			{Path: settings.RootSection, Key: "target", Value: "20ms"},
			{Path: settings.RootSection, Key: "quotes", Value: "0"},
			{Path: settings.RootSection, Key: "retryPercent", Value: "100"},
		}))
	})
	status, _, err := sf.send(t, "/look/", size, "10000")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// TestAnswerIsRetriedUntilItsFirstByte lets the first answer break off before and after its
// first byte. Only in the first case may an idempotent request be sent again; in the second
// the caller's connection must be aborted.
func TestAnswerIsRetriedUntilItsFirstByte(t *testing.T) {
	broken := iotest.ErrReader(io.ErrUnexpectedEOF)
	for _, tc := range []struct {
		name, path string
		first      io.Reader
		attempts   int
		isComplete bool
		status     int
	}{
		{"idempotent, no byte", "/look/", broken, 2, true, http.StatusOK},
		{"non-idempotent, no byte", "/cut/", broken, 1, true, http.StatusBadGateway},
		{"idempotent, some bytes", "/look/", io.MultiReader(strings.NewReader("half"), broken), 1, false, http.StatusOK},
		{"non-idempotent, some bytes", "/cut/", io.MultiReader(strings.NewReader("half"), broken), 1, false, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sf := newStreamFixture(t, func(sf *streamFixture, attempt int64, _ wire.RunRequest) wire.RunAnswer {
				if attempt == 1 {
					return sf.answerWith(tc.first)
				}
				return sf.answerWith(strings.NewReader("whole"))
			})
			status, body, err := sf.send(t, tc.path, 10, "10000")
			is.Equal(err == nil, tc.isComplete)
			is.Equal(status, tc.status)
			is.Equal(len(sf.runner.endpointsSentTo()), tc.attempts)
			if tc.attempts == 2 {
				is.Equal(body, "whole")
			}
			is.Equal(len(sf.streams.Dump()), 0)
		})
	}
}

// slowSource returns a byte at a time.
type slowSource struct {
	left  int
	pause time.Duration
}

func (sl *slowSource) Read(data []byte) (int, error) {
	if sl.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(sl.pause)
	sl.left--
	data[0] = 'x'
	return 1, nil
}

// TestFlowingAnswerOutlastsItsDeadline checks that the deadline doesn't cut an answer whose
// first byte has reached the caller.
func TestFlowingAnswerOutlastsItsDeadline(t *testing.T) {
	is := is.New(t)
	sf := newStreamFixture(t, func(sf *streamFixture, _ int64, _ wire.RunRequest) wire.RunAnswer {
		return sf.answerWith(&slowSource{left: 20, pause: 20 * time.Millisecond})
	})
	status, body, err := sf.send(t, "/look/", 10, "200")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(len(body), 20)
}

// TestLargeAnswerIsNotRecorded checks that the claim of a request gets no body that was
// passed on as a stream, and that it knows that the request has run.
func TestLargeAnswerIsNotRecorded(t *testing.T) {
	is := is.New(t)
	claims := &recordingClaims{fakeClaims: fakeClaims{grant: claim.Grant{Result: claim.Won}}}
	sf := newStreamFixture(t, func(sf *streamFixture, _ int64, _ wire.RunRequest) wire.RunAnswer {
		return sf.answerWith(strings.NewReader("large"))
	}, func(opts *ingress.Options) { opts.Claims = claims })
	_, body, err := sf.send(t, "/cut/", 10, "10000")
	is.NoErr(err)
	is.Equal(body, "large")
	is.Equal(claims.last.Whole, false)
	is.Equal(len(claims.last.Body), 0)
}

// recordingClaims keeps the last record.
type recordingClaims struct {
	fakeClaims
	last *claim.Record
}

func (re *recordingClaims) Record(_ claim.Grant, rec *claim.Record) { re.last = rec }

// TestStreamsOnlyWhereBodiesMayBeLarge checks that a request of a kind whose bodies are
// small says nothing about streams, so that its message has the bytes that it had.
func TestStreamsOnlyWhereBodiesMayBeLarge(t *testing.T) {
	for limit, want := range map[string]bool{"262144": false, "1048576": false, "1048577": true} {
		is := is.New(t)
		sf := newStreamFixture(t, func(_ *streamFixture, _ int64, req wire.RunRequest) wire.RunAnswer {
			if req.AcceptsStream != want {
				t.Errorf("limit %s: AcceptsStream %t", limit, req.AcceptsStream)
			}
			return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK}
		}, func(opts *ingress.Options) {
			opts.Replica = newReplica(t, newPlatformSettings().Apply([]settings.Edit{{Path: settings.RootSection, Key: "bodyLimit", Value: limit}}))
		})
		status, _, err := sf.send(t, "/look/", 10, "10000")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
}

// TestUnreadAnswerCountsAsMemory checks that an answer that is held until a caller reads it
// counts as memory for bodies, and only as long.
func TestUnreadAnswerCountsAsMemory(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20 // More than the buffers of a connection take.
	sf := newStreamFixture(t, func(*streamFixture, int64, wire.RunRequest) wire.RunAnswer {
		return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK, Body: make([]byte, size)}
	})
	con, err := net.Dial("tcp", sf.address)
	is.NoErr(err)
	_, err = io.WriteString(con, "POST /look/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	awaitUsed(t, sf.bodies, func(used int) bool { return used >= size })
	_ = con.Close()
	awaitUsed(t, sf.bodies, func(used int) bool { return used == 0 })
}

func awaitUsed(t *testing.T, bodies *bodybuffer.Buffer, isReached func(used int) bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !isReached(bodies.Used()); {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes held", bodies.Used())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestGateThatDoesNotKnowStreams sends a body to a gate whose daemon was replaced by an
// older version since its record was written. It rejects the method, so that the request is
// proved not to have run, and the body goes to the next.
func TestGateThatDoesNotKnowStreams(t *testing.T) {
	for _, path := range []string{"/look/", "/cut/"} {
		is := is.New(t)
		const size = 1_000_000
		var attempts atomic.Int64
		sf := newStreamFixture(t, nil)
		sf.runner.answer = func(_ fleet.Endpoint, req wire.RunRequest) (wire.RunAnswer, error) {
			if attempts.Add(1) == 1 {
				return wire.RunAnswer{}, &link.RemoteError{Code: "noMethod", Message: wire.MethodRunStream}
			}
			if count, err := sf.fetch(req, size+1); count != size || err != nil {
				t.Errorf("%d bytes fetched: %v", count, err)
			}
			return wire.RunAnswer{Outcome: outcome.Ran, Status: http.StatusOK}, nil
		}
		status, _, err := sf.send(t, path, size, "10000")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(attempts.Load(), int64(2))
	}
}
