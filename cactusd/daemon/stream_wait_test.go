package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/daemon"
)

// waitPair is a pair whose upstream has one slot. A request "hold" keeps it until release
// is called.
type waitPair struct {
	*pair
	holding chan struct{}
	release func()
	// runs counts the other requests that reached the upstream.
	runs atomic.Int64
}

func newWaitPair(t *testing.T) *waitPair {
	t.Helper()
	released := make(chan struct{})
	wp := &waitPair{holding: make(chan struct{}), release: sync.OnceFunc(func() { close(released) })}
	t.Cleanup(wp.release)
	wp.pair = newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		switch {
		case isProbe(wr, req):
		case req.URL.RawQuery == "hold":
			close(wp.holding)
			<-released
		default:
			wp.runs.Add(1)
			_, _ = fmt.Fprint(wr, digestOf(req.Body))
		}
	})
	if err := wp.back.Leave("u", time.Time{}); err != nil {
		t.Fatal(err)
	}
	ann := daemon.Announcement{ID: "single", Service: "s", Address: wp.upstream, Slots: 1, Connections: 1}
	if err := wp.back.Announce(ann); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(streamTimeout); ; time.Sleep(20 * time.Millisecond) {
		if status, _, err := wp.send(0); err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no request is served")
		}
	}
	go func() {
		resp, err := http.Post("http://"+wp.callers+"/order?hold", "text/plain", http.NoBody)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-wp.holding
	return wp
}

// waiting returns the number of requests that wait for the slot.
func (wp *waitPair) waiting() int {
	count := 0
	for _, upstream := range wp.back.Dump()["gate"].([]map[string]any) {
		if upstream["id"] != "single" {
			continue
		}
		for _, waiting := range upstream["waitingByRank"].([4]int) {
			count += waiting
		}
	}
	return count
}

// awaitWaiting waits until a number of requests wait for the slot, and reports whether that
// was within a time.
func (wp *waitPair) awaitWaiting(count int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if wp.waiting() == count {
			return true
		}
	}
	return false
}

// TestCallerLeavesWhileItsBodyWaits closes the connection of a caller whose body waits for a
// slot. The entry must be removed at once if the end of the connection arrives, and the
// upstream must never see the request, also if the end lies behind bytes that the daemon's
// socket had no room for.
func TestCallerLeavesWhileItsBodyWaits(t *testing.T) {
	const atOnce = 500 * time.Millisecond
	for _, tc := range []struct {
		name   string
		length string
		sent   int64
		// resets means that the connection is reset, and isHidden that its end doesn't arrive
		// before the body is read.
		resets, isHidden bool
	}{
		{name: "a part", length: "Content-Length: 1000000", sent: 10_000},
		{name: "a part, reset", length: "Content-Length: 8000000", sent: 3_000_000, resets: true},
		{name: "a large part", length: "Content-Length: 8000000", sent: 1_500_000, isHidden: true},
		{name: "the whole body", length: "Content-Length: 1500000", sent: 1_500_000, isHidden: true},
		{name: "chunked", length: "Transfer-Encoding: chunked", sent: 1_500_000, isHidden: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			wp := newWaitPair(t)
			defer wp.stop(t)
			defer wp.release()
			con, err := net.Dial("tcp", wp.callers)
			is.NoErr(err)
			defer func() { _ = con.Close() }()
			_, err = fmt.Fprintf(con, "POST /order?leave HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", tc.length)
			is.NoErr(err)
			if tc.name == "chunked" {
				_, err = fmt.Fprintf(con, "%x\r\n", 8_000_000)
				is.NoErr(err)
			}
			_ = con.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = io.Copy(con, &pattern{size: tc.sent}) // The socket may not take all of it.
			is.True(wp.awaitWaiting(1, streamTimeout))
			time.Sleep(200 * time.Millisecond)
			if tc.resets {
				_ = con.(*net.TCPConn).SetLinger(0)
			}
			_ = con.Close()
			if !tc.isHidden && !wp.awaitWaiting(0, atOnce) {
				t.Error("the request still waits")
			}
			wp.release()
			is.True(wp.awaitWaiting(0, streamTimeout))
			status, _, err := wp.send(0) // After the request that has gone, if it still was in the queue.
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(wp.runs.Load(), int64(0))
			is.Equal(openStreams(wp.front), 0)
		})
	}
}

// TestBodyOfAPatientCallerWaits guards against a body that is refused, or loses bytes that
// were read ahead, because it had to wait for a slot.
func TestBodyOfAPatientCallerWaits(t *testing.T) {
	for _, length := range []int64{300_000, 20 << 20, -1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			is := is.New(t)
			wp := newWaitPair(t)
			defer wp.stop(t)
			defer wp.release()
			time.AfterFunc(500*time.Millisecond, wp.release)
			size := max(length, 300_000)
			resp, err := wp.post(t, "patient", &pattern{size: size}, length) //nolint:bodyclose // readAll closes it.
			is.NoErr(err)
			body, err := readAll(resp)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, digest(size))
		})
	}
}
