package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/daemon"
	"cactusstream.example/core/auth"
	"cactusstream.example/core/dialect"
	"cactusstream.example/core/link"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// serveSettings serves a settings tree as a keeper does, and returns the address and the
// key that the settings are signed with.
func serveSettings(t testing.TB, tree *settings.Tree) (address string, key ed25519.PublicKey) {
	t.Helper()
	private := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	key = private.Public().(ed25519.PublicKey)
	replica := settingsync.NewReplica(func() []ed25519.PublicKey { return []ed25519.PublicKey{key} })
	if _, err := replica.Apply(settingsync.Update{Version: 1, Digest: tree.Digest(), Tree: tree.Nodes, Signature: settingsync.Sign(private, 1, tree.Digest())}); err != nil {
		t.Fatal(err)
	}
	mux := link.NewMux()
	settingsync.Serve(mux, replica, nil)
	srv := httptest.NewServer(link.NewServer(mux, auth.NewTokens(testToken), func(*http.Request) {}))
	t.Cleanup(srv.CloseClientConnections)
	return strings.TrimPrefix(srv.URL, "http://"), key
}

// pairSlots is the number of slots of the upstream of a pair.
const pairSlots = 120

// pair is two daemons: requests arrive at the first one, and the only upstream is beside
// the second one.
type pair struct {
	// upstream is the address of the upstream.
	upstream    string
	callers     string
	front, back *daemon.Daemon
}

func newPair(t testing.TB, upstream http.HandlerFunc) *pair {
	t.Helper()
	return newPairOf(t, 8_000_000, upstream)
}

// newPairOf is like newPair, with a limit for bodies.
func newPairOf(t testing.TB, bodyLimit int, upstream http.HandlerFunc, edits ...func(id string, opts *daemon.Options)) *pair {
	t.Helper()
	return newPairWith(t, []settings.Edit{{Path: "*/*/s/order", Key: "bodyLimit", Value: fmt.Sprint(bodyLimit)}}, upstream, edits...)
}

// newPairWith is like newPair, with further settings.
func newPairWith(t testing.TB, extra []settings.Edit, upstream http.HandlerFunc, edits ...func(id string, opts *daemon.Options)) *pair {
	t.Helper()
	tree := settings.NewTree().Apply(append([]settings.Edit{
		{Path: "*/*/s/order", Key: "path", Value: "/order"},
		{Path: "*/*/s/order", Key: "method", Value: "POST"},
		{Path: "*/*/s/order", Key: "deadline", Value: "20s"},
		{Path: "*/*", Key: "retryAttempts", Value: "1"},
		{Path: "*/*", Key: "slowStart", Value: "0s"},
	}, extra...))
	keeper, key := serveSettings(t, tree)
	frontPeer, callers := freeAddress(t), freeAddress(t)
	start := func(id, peer, callers string) *daemon.Daemon {
		return startDaemon(t, id, peer, frontPeer, func(opts *daemon.Options) {
			opts.CallerAddress, opts.Callers = callers, dialect.Caller{Deadline: "X-Left", StrictRejections: true}
			opts.Keepers, opts.SettingsKeys = []string{keeper}, func() []ed25519.PublicKey { return []ed25519.PublicKey{key} }
			for _, edit := range edits {
				edit(id, opts)
			}
		})
	}
	pa := &pair{callers: callers, front: start("d1", frontPeer, callers), back: start("d2", freeAddress(t), freeAddress(t))}
	srv := httptest.NewServer(upstream)
	t.Cleanup(srv.CloseClientConnections)
	pa.upstream = strings.TrimPrefix(srv.URL, "http://")
	ann := daemon.Announcement{ID: "u", Service: "s", Address: pa.upstream, Slots: pairSlots, Connections: pairSlots}
	if err := pa.back.Announce(ann); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(20 * time.Second)
	for {
		if status, _, err := pa.send(0); err == nil && status == http.StatusOK {
			return pa
		}
		if time.Now().After(deadline) {
			t.Fatal("no request is served")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// send sends a request whose answer takes a time, and returns the status and the length
// of the body.
func (pa *pair) send(takes time.Duration) (status, length int, err error) {
	resp, err := http.Post(fmt.Sprintf("http://%s/order?%s", pa.callers, takes), "text/plain", strings.NewReader("x"))
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(body), err
}

// answerAfter answers with a body of a size once the time in the query has passed.
func answerAfter(size int) http.HandlerFunc {
	body := bytes.Repeat([]byte("x"), size)
	return func(wr http.ResponseWriter, req *http.Request) {
		takes, _ := time.ParseDuration(req.URL.RawQuery)
		time.Sleep(takes)
		wr.Header().Set(dialect.HeaderAttempt, req.Header.Get(dialect.HeaderAttempt))
		wr.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = wr.Write(body)
	}
}

// TestPlannedStopDeliversAnswers stops the daemon beside an upstream while the upstream
// runs requests that another daemon took. All of them are answered before the stop has to
// end, so all answers must arrive whole, whatever their size.
func TestPlannedStopDeliversAnswers(t *testing.T) {
	for _, size := range []int{10, 100_000, 2_000_000} {
		for round := range 3 {
			t.Run(fmt.Sprint(size, "/", round), func(t *testing.T) {
				pa := newPair(t, answerAfter(size))
				const requests = 6
				var all sync.WaitGroup
				for range requests {
					all.Go(func() {
						if status, length, err := pa.send(700 * time.Millisecond); err != nil || status != http.StatusOK || length != size {
							t.Errorf("a request that ran was answered with %d and %d bytes: %v", status, length, err)
						}
					})
				}
				time.Sleep(200 * time.Millisecond)
				stopDaemon(t, pa.back)
				all.Wait()
				stopDaemon(t, pa.front)
			})
		}
	}
}

// TestLargeAnswersAtOnce lets an upstream write four answers of 4 MB at the same time. A
// daemon must have the memory to read all of them.
func TestLargeAnswersAtOnce(t *testing.T) {
	const requests, size = 4, 4_000_000
	body := bytes.Repeat([]byte("x"), size)
	const first = size * 3 / 4
	pa := newPair(t, func(wr http.ResponseWriter, req *http.Request) {
		wr.Header().Set(dialect.HeaderAttempt, req.Header.Get(dialect.HeaderAttempt))
		wr.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = wr.Write(body[:first])
		time.Sleep(500 * time.Millisecond) // The largest part of all answers is read now.
		_, _ = wr.Write(body[first:])
	})
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if status, length, err := pa.send(0); err != nil || status != http.StatusOK || length != size {
				t.Errorf("answered with %d and %d bytes: %v", status, length, err)
			}
		})
	}
	all.Wait()
	stopDaemon(t, pa.front)
	stopDaemon(t, pa.back)
}

// TestPlannedStopCutsNoLateRequest stops the daemon that takes requests. Callers keep
// their open connections and send requests at several times of the grace period. Those
// that would outlast it must be answered at once as not run, or they are cut at its end.
func TestPlannedStopCutsNoLateRequest(t *testing.T) {
	is := is.New(t)
	pa := newPair(t, answerAfter(10))
	defer stopDaemon(t, pa.back)
	var cons []net.Conn
	for range 5 {
		con, err := net.Dial("tcp", pa.callers)
		is.NoErr(err)
		defer func() { _ = con.Close() }()
		is.Equal(sendOn(con, 0), nil) // The connection is in use, and idle when the stop begins.
		cons = append(cons, con)
	}
	const grace = 5 * time.Second
	busy := make(chan error, 1)
	go func() { busy <- sendOn(cons[0], 4*time.Second) }()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		stopped <- pa.front.Stop(ctx)
	}()
	late := make(chan error, len(cons)-1)
	for _, con := range cons[1:] {
		time.Sleep(900 * time.Millisecond)
		go func() { late <- sendOn(con, 2400*time.Millisecond) }()
	}
	notRun := 0
	for range cons[1:] {
		err := <-late
		if errors.Is(err, errNotRun) {
			notRun++
		} else if err != nil {
			t.Errorf("a late request was cut: %v", err)
		}
	}
	is.Equal(notRun, 2) // Those after 2.7 and 3.6 s.
	is.NoErr(<-busy)
	is.NoErr(<-stopped)
}

var errNotRun = errors.New("answered as not run")

// sendOn sends a request on an open connection. It returns errNotRun for status 503.
func sendOn(con net.Conn, takes time.Duration) error {
	if _, err := fmt.Fprintf(con, "POST /order?%s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx", takes); err != nil {
		return err
	}
	_ = con.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		return errNotRun
	}
	return fmt.Errorf("status %d", resp.StatusCode)
}

// TestPlannedStopDeliversAnswersWithMoreBehind stops the daemon that takes requests while a
// slow caller reads a large answer. It has sent more behind its request: that isn't read, so
// the end of the connection must not be a reset, which would cut the answer.
func TestPlannedStopDeliversAnswersWithMoreBehind(t *testing.T) {
	for _, size := range []int{540_000, 2_000_000} {
		for _, behind := range []string{"", "POST /order?0s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx", "POST /order"} {
			t.Run(fmt.Sprintf("%d/%.11s", size, behind), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				pa := newPair(t, answerAfter(size))
				defer stopDaemon(t, pa.back)
				con, err := net.Dial("tcp", pa.callers)
				is.NoErr(err)
				defer func() { _ = con.Close() }()
				is.NoErr(con.(*net.TCPConn).SetReadBuffer(64 << 10))
				stopped := make(chan error, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
					defer cancel()
					stopped <- errors.Join(pa.front.Stop(ctx), pa.front.Guard().Wait(ctx))
				}()
				time.Sleep(100 * time.Millisecond)
				_, err = io.WriteString(con, "POST /order?700ms HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
				is.NoErr(err)
				time.Sleep(200 * time.Millisecond)
				_, err = io.WriteString(con, behind)
				is.NoErr(err)
				_ = con.SetReadDeadline(time.Now().Add(20 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(&slowReader{Reader: con, pause: 16 * time.Millisecond}), nil)
				is.NoErr(err)
				defer func() { _ = resp.Body.Close() }()
				count, err := io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.Equal([]int64{int64(resp.StatusCode), count}, []int64{http.StatusOK, int64(size)})
				is.True(resp.Close)
				is.NoErr(con.Close())
				is.NoErr(<-stopped)
			})
		}
	}
}

// TestPlannedStopEndsDespiteUnreadAnswers guards against a stop that outlasts its time
// because callers never read their answers, or never stop sending.
func TestPlannedStopEndsDespiteUnreadAnswers(t *testing.T) {
	for _, sends := range []bool{false, true} {
		t.Run(fmt.Sprint(sends), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			pa := newPair(t, answerAfter(200_000))
			defer stopDaemon(t, pa.back)
			for range 5 {
				con, err := net.Dial("tcp", pa.callers)
				is.NoErr(err)
				defer func() { _ = con.Close() }()
				is.NoErr(con.(*net.TCPConn).SetReadBuffer(16 << 10))
				_, err = io.WriteString(con, "POST /order?300ms HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
				is.NoErr(err)
				if sends {
					go func() {
						for block := make([]byte, 32<<10); err == nil; {
							_, err = con.Write(block)
						}
					}()
				}
			}
			const grace = 3 * time.Second
			started := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			_ = errors.Join(pa.front.Stop(ctx), pa.front.Guard().Wait(ctx)) // Answers that nobody reads may be an error.
			is.True(time.Since(started) < grace+500*time.Millisecond)
		})
	}
}
