package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

func newGate(clo clock.Clock) *gate.Gate {
	policy := settings.NewResolver(settings.NewTree()).Policy(settings.Path{})
	return gate.New(gate.Options{
		Clock: clo, Dialect: dialect.DefaultUpstream(), Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Policy: func(string) *settings.Policy { return policy }, Changed: func() {},
	})
}

func announce(t *testing.T, ga *gate.Gate, address string, slots int) {
	t.Helper()
	err := ga.Announce(gate.Announcement{ID: "u", Service: "s", Address: address, Slots: slots, Connections: 350})
	if err != nil {
		t.Fatal(err)
	}
}

func request(attempt string, idempotent bool) wire.RunRequest {
	return wire.RunRequest{
		Attempt: attempt, Upstream: "u", Service: "s", Kind: "k", Firm: "f", Rank: 1, Idempotent: idempotent, Method: http.MethodPost,
		URI: "/x", Header: wire.Header{outcome.HeaderKey: {"key"}}, Body: []byte("body"), BodyLimit: 1000, Remaining: 5 * time.Second, Target: time.Second,
	}
}

func serveUpstream(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// rawUpstream accepts connections and hands each to a function.
func rawUpstream(t *testing.T, serve func(con net.Conn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(con)
		}
	}()
	return lis.Addr().String()
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	var running, most atomic.Int64
	address := serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
		now := running.Add(1)
		for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
		}
		time.Sleep(2 * time.Millisecond)
		running.Add(-1)
		wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
	})
	ga := newGate(clock.Real{})
	announce(t, ga, address, 3)
	var group sync.WaitGroup
	var ran atomic.Int64
	for number := range 60 {
		group.Go(func() {
			if ga.Run(context.Background(), request(fmt.Sprint(number), true)).Outcome == outcome.Ran {
				ran.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(most.Load(), int64(3))
	is.Equal(ran.Load(), int64(60))
}

func TestOutcomes(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name   string
		answer string
		want   outcome.Outcome
	}{
		{"whole answer", head + "Content-Length: 4\r\n\r\ngood", outcome.Ran},
		{"truncated answer", head + "Content-Length: 400\r\n\r\ngood", outcome.Unknown},
		{"truncated chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", outcome.Unknown},
		{"answer without an end", head + "Connection: close\r\n\r\ngood", outcome.Unknown},
		{"another attempt's answer", head + "Cactus-Attempt: other\r\nContent-Length: 4\r\n\r\ngood", outcome.Unknown},
		{"too large", head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), outcome.Unknown},
		{"no answer", "", outcome.Unknown},
		{"not HTTP", "hello\r\n\r\n", outcome.Unknown},
		{"shed with proof", "HTTP/1.1 503 No\r\nCactus-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", outcome.NotRun},
		{"shed without proof", "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", outcome.Ran},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			address := rawUpstream(t, func(con net.Conn) {
				defer func() { _ = con.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
					_, _ = io.WriteString(con, tc.answer)
				}
			})
			ga := newGate(clock.Real{})
			announce(t, ga, address, 2)
			is.Equal(ga.Run(context.Background(), request("mine", false)).Outcome, tc.want)
		})
	}
}

func TestRefusedConnectionProvesNotRun(t *testing.T) {
	is := is.New(t)
	ga := newGate(clock.Real{})
	announce(t, ga, "127.0.0.1:1", 2)
	is.Equal(ga.Run(context.Background(), request("a", false)).Outcome, outcome.NotRun)
}

// TestHTTPLibraryRepeatsNothing closes a reused connection after it has read
// the request: the library must not send the request again by itself.
func TestHTTPLibraryRepeatsNothing(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"", "body"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				address := rawUpstream(t, func(con net.Conn) {
					defer func() { _ = con.Close() }()
					reader := bufio.NewReader(con)
					for {
						req, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						if runs.Add(1) > 3 {
							return // It ran, and the connection closes without an answer.
						}
						_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nCactus-Attempt: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get(gate.HeaderAttempt))
					}
				})
				ga := newGate(clock.Real{})
				announce(t, ga, address, 1)
				for number := range 4 {
					req := request(fmt.Sprint(number), false)
					req.Method, req.Body = method, []byte(body)
					answer := ga.Run(context.Background(), req)
					is.Equal(answer.Outcome == outcome.Ran, number < 3)
				}
				is.Equal(runs.Load(), int64(4))
			})
		}
	}
}

// TestSecondAnswerIsNotTheNextRequests sends every answer twice on a
// connection that is reused.
func TestSecondAnswerIsNotTheNextRequests(t *testing.T) {
	is := is.New(t)
	address := rawUpstream(t, func(con net.Conn) {
		defer func() { _ = con.Close() }()
		reader := bufio.NewReader(con)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			attempt := req.Header.Get(gate.HeaderAttempt)
			for range 2 {
				_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nCactus-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(attempt), attempt)
			}
		}
	})
	ga := newGate(clock.Real{})
	announce(t, ga, address, 1)
	good := 0
	for number := range 500 {
		attempt := fmt.Sprintf("attempt-%d", number)
		answer := ga.Run(context.Background(), request(attempt, true))
		if answer.Outcome == outcome.Ran {
			is.Equal(string(answer.Body), attempt)
			good++
		}
	}
	is.True(good > 0)
}

func TestLeavingRefusesWithProofAndEndsItsWork(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address := serveUpstream(t, func(http.ResponseWriter, *http.Request) { <-release })
	ga := newGate(clock.Real{})
	announce(t, ga, address, 1)
	answers := make(chan wire.RunAnswer, 2)
	for number := range 2 {
		go func() { answers <- ga.Run(context.Background(), request(fmt.Sprint(number), false)) }()
	}
	for fmt.Sprint(ga.Dump()[0]["running"], ga.Dump()[0]["waitingByRank"]) != "1 [0 1 0 0]" {
		time.Sleep(time.Millisecond)
	}
	inFlight, err := ga.Leave("u")
	is.NoErr(err)
	is.Equal(inFlight, 1)
	is.Equal((<-answers).Outcome, outcome.NotRun) // The one that waited.
	is.Equal(ga.Run(context.Background(), request("3", false)).Reason, outcome.Stopping)
	close(release)
	is.Equal((<-answers).Outcome, outcome.Ran)
	_, err = ga.Leave("u")
	is.NoErr(err) // Repeating it is harmless.
}

func TestAnnouncementExpires(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(1000, 0))
	ga := newGate(clo)
	announce(t, ga, "127.0.0.1:1", 1)
	clo.Advance(10 * time.Second)
	is.NoErr(ga.Report("u", 1)) // A report renews it.
	clo.Advance(10 * time.Second)
	ga.Tick()
	is.Equal(len(ga.Records()), 1)
	clo.Advance(6 * time.Second)
	is.True(ga.Tick())
	clo.Advance(6 * time.Second)
	ga.Tick()
	is.Equal(len(ga.Records()), 0)
	is.True(ga.Report("u", 1) != nil)
}

// TestLateAnnouncementDoesNotBringItBack repeats the announcement of an
// upstream that has left.
func TestLateAnnouncementDoesNotBringItBack(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(1000, 0))
	ga := newGate(clo)
	announce(t, ga, "127.0.0.1:1", 1)
	_, err := ga.Leave("u")
	is.NoErr(err)
	clo.Advance(4 * time.Second)
	ga.Tick()
	late := gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 350}
	is.True(errors.Is(ga.Announce(late), gate.ErrLeft))
	is.Equal(ga.Run(context.Background(), request("a", true)).Reason, outcome.Stopping)
	clo.Advance(2 * time.Second)
	ga.Tick()
	is.NoErr(ga.Announce(late)) // It has started again.
}

func TestColdUpstreamTakesNothing(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(1000, 0))
	ga := newGate(clo)
	is.NoErr(ga.Announce(gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, Cold: 5 * time.Second}))
	is.Equal(ga.Run(context.Background(), request("a", true)).Reason, outcome.NoUpstream)
	is.Equal(ga.Records()[0].State.String(), "cold")
	clo.Advance(5 * time.Second)
	is.True(ga.Tick())
	is.Equal(ga.Records()[0].State.String(), "ready")
}
