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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

// testBodyMemory is the limit for the bodies that a gate holds in the tests, in bytes.
const testBodyMemory = 8 << 20

func newGate(clo clock.Clock) *gate.Gate {
	policy := settings.NewResolver(settings.NewTree()).Policy(settings.Path{})
	return gate.New(gate.Options{
		Bodies: bodybuffer.New(testBodyMemory),
		Clock:  clo, Dialect: dialect.DefaultUpstream(), Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Policy: func(string) *settings.Policy { return policy }, OnChange: func() {},
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

// rawUpstream accepts TCP connections and calls serve for each.
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

// peak counts what happens at the same time, and the most of it.
type peak struct {
	now, most atomic.Int64
}

func (pe *peak) begin() {
	now := pe.now.Add(1)
	for seen := pe.most.Load(); now > seen && !pe.most.CompareAndSwap(seen, now); seen = pe.most.Load() {
	}
}

func (pe *peak) end() { pe.now.Add(-1) }

func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	var running peak
	address := serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
		running.begin()
		time.Sleep(2 * time.Millisecond)
		running.end()
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
	is.Equal(running.most.Load(), int64(3))
	is.Equal(ran.Load(), int64(60))
}

func TestOutcomes(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name   string
		answer string
		want   outcome.Outcome
	}{
		{"complete response", head + "Content-Length: 4\r\n\r\ngood", outcome.Ran},
		{"truncated body", head + "Content-Length: 400\r\n\r\ngood", outcome.Unknown},
		{"truncated chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", outcome.Unknown},
		{"unframed body", head + "Connection: close\r\n\r\ngood", outcome.Unknown},
		{"response to another attempt", head + "Cactus-Attempt: other\r\nContent-Length: 4\r\n\r\ngood", outcome.Unknown},
		{"body over the limit", head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), outcome.Unknown},
		{"no response", "", outcome.Unknown},
		{"not HTTP", "hello\r\n\r\n", outcome.Unknown},
		{"rejected with a not-run header", "HTTP/1.1 503 No\r\nCactus-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", outcome.NotRun},
		{"rejected without a not-run header", "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", outcome.Ran},
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

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	ga := newGate(clock.Real{})
	announce(t, ga, "127.0.0.1:1", 2)
	is.Equal(ga.Run(context.Background(), request("a", false)).Outcome, outcome.NotRun)
}

// TestHTTPClientDoesNotRetry: the upstream closes a reused connection after it
// has read a request. The HTTP client must not send the request again on its
// own.
func TestHTTPClientDoesNotRetry(t *testing.T) {
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
							return // The request ran, but gets no response.
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

// TestDuplicateResponseIsNotMatchedToNextRequest: the upstream sends every
// response twice on its connection. The duplicate must not become the response
// to the next request.
func TestDuplicateResponseIsNotMatchedToNextRequest(t *testing.T) {
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
	ran := 0
	for number := range 500 {
		attempt := fmt.Sprintf("attempt-%d", number)
		answer := ga.Run(context.Background(), request(attempt, true))
		if answer.Outcome == outcome.Ran {
			is.Equal(string(answer.Body), attempt)
			ran++
		}
	}
	is.True(ran > 0)
}

func TestLeaveRejectsQueuedAndCompletesInFlight(t *testing.T) {
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
	is.Equal((<-answers).Outcome, outcome.NotRun) // The queued request.
	is.Equal(ga.Run(context.Background(), request("3", false)).Reason, outcome.Stopping)
	close(release)
	is.Equal((<-answers).Outcome, outcome.Ran)
	_, err = ga.Leave("u")
	is.NoErr(err) // Leave is idempotent.
}

func TestAnnouncementExpires(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(1000, 0))
	ga := newGate(clo)
	announce(t, ga, "127.0.0.1:1", 1)
	clo.Advance(10 * time.Second)
	is.NoErr(ga.Report("u", 1)) // A report renews the lease.
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

// TestLateAnnouncementDoesNotRegisterAgain: a duplicate announcement that
// arrives after the upstream left must not register it again.
func TestLateAnnouncementDoesNotRegisterAgain(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(1000, 0))
	ga := newGate(clo)
	announce(t, ga, "127.0.0.1:1", 1)
	_, err := ga.Leave("u")
	is.NoErr(err)
	clo.Advance(4 * time.Second)
	ga.Tick()
	late := gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 350}
	is.True(errors.Is(ga.Announce(late), gate.ErrRecentlyLeft))
	is.Equal(ga.Run(context.Background(), request("a", true)).Reason, outcome.Stopping)
	clo.Advance(2 * time.Second)
	ga.Tick()
	is.NoErr(ga.Announce(late)) // After the retention time it counts as a new start.
}

func TestColdUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	clo := clock.NewFake(time.Unix(1000, 0))
	ga := newGate(clo)
	is.NoErr(ga.Announce(gate.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Connections: 9, WarmUp: 5 * time.Second}))
	is.Equal(ga.Run(context.Background(), request("a", true)).Reason, outcome.NoUpstream)
	is.Equal(ga.Records()[0].State.String(), "cold")
	clo.Advance(5 * time.Second)
	is.True(ga.Tick())
	is.Equal(ga.Records()[0].State.String(), "ready")
}

// TestUpstreamIsToldTheTimeLeftAfterTheQueue checks that the time that a request waited
// for its slot is taken off the deadline that the upstream gets. It got the time that was
// left when the request arrived at the gate.
func TestUpstreamIsToldTheTimeLeftAfterTheQueue(t *testing.T) {
	is := is.New(t)
	const wait = 500 * time.Millisecond
	release, told := make(chan struct{}), make(chan string, 2)
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	address := serveUpstream(t, func(_ http.ResponseWriter, req *http.Request) {
		told <- req.Header.Get(outcome.HeaderDeadline)
		<-release
	})
	ga := newGate(clock.Real{})
	announce(t, ga, address, 1)
	answers := make(chan wire.RunAnswer, 2)
	go func() { answers <- ga.Run(context.Background(), request("1", false)) }()
	<-told
	go func() { answers <- ga.Run(context.Background(), request("2", false)) }()
	for fmt.Sprint(ga.Dump()[0]["running"], ga.Dump()[0]["waitingByRank"]) != "1 [0 1 0 0]" {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(wait)
	end()
	millis, err := strconv.Atoi(<-told)
	is.NoErr(err)
	is.True(time.Duration(millis)*time.Millisecond <= 5*time.Second-wait)
	for range 2 {
		is.Equal((<-answers).Outcome, outcome.Ran)
	}
}
