package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/daemon"
)

// TestCallerThatLeaves closes the connection of a caller in the middle of a body, of an
// answer that flows and of one that it doesn't read. The upstream's connection must be
// closed within 0.5 s, so that it stops to work for nobody.
func TestCallerThatLeaves(t *testing.T) {
	const maxDelay = 500 * time.Millisecond
	for _, phase := range []string{"body", "flowing", "paused", "unread"} {
		t.Run(phase, func(t *testing.T) {
			is := is.New(t)
			began, closed := make(chan struct{}, 1), make(chan time.Time, 1)
			pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
				if isProbe(wr, req) {
					return
				}
				defer func() { closed <- time.Now() }()
				if phase == "body" {
					_, _ = io.ReadFull(req.Body, make([]byte, 1_000_000))
					began <- struct{}{}
					_, _ = io.Copy(io.Discard, req.Body)
					return
				}
				block := make([]byte, 1<<20)
				for sent := 0; ; sent++ {
					if _, err := wr.Write(block); err != nil {
						return
					}
					if sent == 3 {
						began <- struct{}{}
					}
					if phase == "paused" && sent == 3 {
						_ = http.NewResponseController(wr).Flush()
						<-req.Context().Done()
						return
					}
					if phase == "flowing" {
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
			defer pa.stop(t)
			con, err := net.Dial("tcp", pa.callers)
			is.NoErr(err)
			if phase == "body" {
				_, err = fmt.Fprintf(con, "POST /order?body HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", largestBody, strings.Repeat("x", 3_000_000))
			} else {
				_, err = fmt.Fprint(con, "POST /order?answer HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
			}
			is.NoErr(err)
			if phase == "flowing" || phase == "paused" {
				go func() { _, _ = io.Copy(io.Discard, con) }()
			}
			<-began
			time.Sleep(200 * time.Millisecond)
			left := time.Now()
			_ = con.Close()
			select {
			case at := <-closed:
				if delay := at.Sub(left); delay > maxDelay {
					t.Errorf("the upstream's connection was closed after %s", delay)
				}
			case <-time.After(streamTimeout):
				t.Fatal("the upstream's connection is still open")
			}
		})
	}
}

// TestStalledCallers lets one caller stop to read its answer and another stop to send its
// body. Both must end, and free their slots, long before the test gives up: with the stall
// time-out of 10 s.
func TestStalledCallers(t *testing.T) {
	is := is.New(t)
	closed := make(chan string, 2)
	pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if isProbe(wr, req) {
			return
		}
		if req.URL.RawQuery == "body" {
			_, _ = io.Copy(io.Discard, req.Body)
		} else {
			_, _ = io.Copy(wr, benchmarkBody{})
		}
		closed <- req.URL.RawQuery
	})
	defer pa.stop(t)
	for query, body := range map[string]string{"answer": "1\r\n\r\nx", "body": fmt.Sprint(largestBody, "\r\n\r\n", strings.Repeat("x", 1_000_000))} {
		con, err := net.Dial("tcp", pa.callers)
		is.NoErr(err)
		defer func() { _ = con.Close() }()
		_, err = fmt.Fprintf(con, "POST /order?%s HTTP/1.1\r\nHost: x\r\nX-Left: 20000\r\nContent-Length: %s", query, body)
		is.NoErr(err)
	}
	for range 2 {
		select {
		case <-closed:
		case <-time.After(streamTimeout):
			t.Fatal("a connection to the upstream is still open")
		}
	}
}

// slowReader reads a body in steps, so that it takes a time.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (sr *slowReader) Read(data []byte) (int, error) {
	time.Sleep(sr.pause)
	return sr.Reader.Read(data[:min(len(data), 256<<10)])
}

// TestPlannedStopDuringStreams stops one of the daemons while a body and an answer are on
// their way. Both must arrive whole, since they end before the stop has to.
func TestPlannedStopDuringStreams(t *testing.T) {
	const size = 20 << 20
	for _, stopped := range []string{"front", "back"} {
		t.Run(stopped, func(t *testing.T) {
			is := is.New(t)
			pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
				if isProbe(wr, req) {
					return
				}
				if req.URL.RawQuery == "up" {
					_, _ = fmt.Fprint(wr, digestOf(req.Body))
					return
				}
				_, _ = io.Copy(wr, &pattern{size: size})
			})
			var all sync.WaitGroup
			for _, query := range []string{"up", "down"} {
				all.Go(func() {
					var body io.Reader = strings.NewReader("x")
					length := int64(1)
					if query == "up" {
						body, length = &slowReader{Reader: &pattern{size: size}, pause: 3 * time.Millisecond}, size
					}
					resp, err := pa.post(t, query, body, length)
					if err != nil {
						t.Errorf("%s: %v", query, err)
						return
					}
					defer func() { _ = resp.Body.Close() }()
					got := digestOf(&slowReader{Reader: resp.Body, pause: 3 * time.Millisecond})
					if query == "up" {
						got = strings.Fields(got)[2]
					}
					if query == "down" && got != digest(size) || resp.StatusCode != http.StatusOK {
						t.Errorf("%s: status %d, %s", query, resp.StatusCode, got)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			if stopped == "front" {
				stopDaemon(t, pa.front)
			} else {
				stopDaemon(t, pa.back)
			}
			all.Wait()
			if stopped == "front" {
				stopDaemon(t, pa.back)
			} else {
				stopDaemon(t, pa.front)
			}
			is.Equal(openStreams(pa.front)+openStreams(pa.back), 0)
		})
	}
}

// openStreams returns the number of streams in the dump of a daemon.
func openStreams(da *daemon.Daemon) int {
	list, _ := da.Dump()["streams"].([]map[string]any)
	return len(list)
}

// TestDaemonFailsDuringStreams aborts one of the daemons in the middle of an answer. The
// caller must not see a complete answer, and the other daemon must free what it holds.
func TestDaemonFailsDuringStreams(t *testing.T) {
	for _, failed := range []string{"front", "back"} {
		t.Run(failed, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
				if isProbe(wr, req) {
					return
				}
				defer close(closed)
				_, _ = io.Copy(wr, &pattern{size: largestBody})
			})
			resp, err := pa.post(t, "answer", strings.NewReader("x"), 1)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadFull(resp.Body, make([]byte, 1_000_000))
			is.NoErr(err)
			expired, cancel := context.WithCancel(context.Background())
			cancel()
			if failed == "front" {
				_ = pa.front.Stop(expired)
				stopDaemon(t, pa.back)
			} else {
				_ = pa.back.Stop(expired)
				stopDaemon(t, pa.front)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			is.True(err != nil) // The rest of the answer is missing.
			select {
			case <-closed:
			case <-time.After(streamTimeout):
				t.Fatal("the upstream's connection is still open")
			}
		})
	}
}

// TestDaemonFailsDuringABody aborts one of the daemons in the middle of the body of a
// request. The upstream must not see a complete body, and the caller must not get an answer
// that says that the request did not run.
func TestDaemonFailsDuringABody(t *testing.T) {
	for _, failed := range []string{"front", "back"} {
		t.Run(failed, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}), make(chan error, 1)
			pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
				if isProbe(wr, req) {
					return
				}
				_, _ = io.ReadFull(req.Body, make([]byte, 1_000_000))
				close(began)
				_, err := io.Copy(io.Discard, req.Body)
				ended <- err
			})
			status := make(chan int, 1)
			go func() {
				resp, err := pa.post(t, "body", &slowReader{Reader: &pattern{size: largestBody}, pause: 3 * time.Millisecond}, largestBody) //nolint:bodyclose // readAll closes it.
				if err != nil {
					status <- 0
					return
				}
				_, _ = readAll(resp)
				status <- resp.StatusCode
			}()
			<-began
			expired, cancel := context.WithCancel(context.Background())
			cancel()
			if failed == "front" {
				_ = pa.front.Stop(expired)
			} else {
				_ = pa.back.Stop(expired)
			}
			select {
			case err := <-ended:
				is.True(err != nil)
			case <-time.After(streamTimeout):
				t.Fatal("the upstream's connection is still open")
			}
			got := <-status
			is.True(got == 0 || got == http.StatusBadGateway || got == http.StatusGatewayTimeout)
			if failed == "front" {
				stopDaemon(t, pa.back)
			} else {
				stopDaemon(t, pa.front)
			}
		})
	}
}

// TestSlowReaderOfALargeAnswerIsServed reads an answer quickly, so that the kernel's buffers
// grow, and then at 0.1 MB/s. Such a reader was disconnected after about 40 s, because the
// daemon's send buffer of 4 MB took no byte for longer than the stall time-out of 10 s.
func TestSlowReaderOfALargeAnswerIsServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		fast     = 16 << 20
		rate     = 100_000
		duration = 50 * time.Second
		steps    = 10 // In a second.
	)
	pa := newPairOf(t, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if !isProbe(wr, req) {
			wr.Header().Set("Content-Length", fmt.Sprint(largestBody))
			_, _ = io.Copy(wr, &pattern{size: largestBody})
		}
	}, func(_ string, opts *daemon.Options) { opts.Config.Limits.Stall = 20 * time.Second })
	defer pa.stop(t)
	con, err := net.Dial("tcp", pa.callers)
	is.NoErr(err)
	defer func() { _ = con.Close() }()
	_, err = fmt.Fprint(con, "POST /order?answer HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, con, fast)
	is.NoErr(err)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		_, err = io.CopyN(io.Discard, con, rate/steps)
		is.NoErr(err)
		time.Sleep(time.Second / steps)
	}
	is.Equal(openStreams(pa.back), 1) // The rest is still on its way.
	_, err = io.CopyN(io.Discard, con, largestBody-fast-rate*int64(duration/time.Second))
	is.NoErr(err)
}
