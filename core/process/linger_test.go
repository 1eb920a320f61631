package process

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

const (
	// largeAnswer is the size of an answer, in bytes, that a reader with a receive buffer of
	// slowBuffer bytes leaves in the send buffer for a while.
	largeAnswer = 540_000
	slowBuffer  = 64 << 10
	slowPiece   = 8 << 10
	slowPause   = 4 * time.Millisecond
)

// lingerServer is a server that writes a large answer to each request.
type lingerServer struct {
	*Server
	guard   *Guard
	address string
	useTLS  bool
	// seen gets a value for each request that a handler has begun.
	seen chan struct{}
}

func newLingerServer(t *testing.T, address string, useTLS bool, handler http.HandlerFunc) *lingerServer {
	t.Helper()
	ls := &lingerServer{address: address, useTLS: useTLS, seen: make(chan struct{}, 1000)}
	ls.guard = NewGuard(Limits{Connections: 100, Stall: 2 * time.Second}, events.Discard(), metrics.NewRegistry())
	var cfg *tls.Config
	if useTLS {
		source := httptest.NewTLSServer(nil) // For its certificate.
		defer source.Close()
		cfg = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: source.TLS.Certificates, NextProtos: []string{"http/1.1"}}
	}
	if handler == nil {
		handler = func(wr http.ResponseWriter, req *http.Request) {
			ls.seen <- struct{}{}
			if req.URL.Path == "/wait" {
				time.Sleep(300 * time.Millisecond) // Until what is sent behind the request has arrived.
			}
			wr.Header().Set("Content-Length", fmt.Sprint(largeAnswer))
			_, _ = wr.Write(make([]byte, largeAnswer))
		}
	}
	ls.Server = NewServer(address, handler, cfg).Guard(ls.guard, true)
	if err := ls.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ls.Close)
	return ls
}

// dial opens a connection with a small receive buffer.
func (ls *lingerServer) dial(t *testing.T) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
	}}
	con, err := dialer.Dial("tcp", ls.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	_ = con.SetDeadline(time.Now().Add(30 * time.Second))
	if ls.useTLS {
		return tls.Client(con, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
	}
	return con
}

// slowReader reads small pieces with pauses.
type slowReader struct {
	from  io.Reader
	pause time.Duration
}

func (sl slowReader) Read(data []byte) (int, error) {
	time.Sleep(sl.pause)
	return sl.from.Read(data[:min(len(data), slowPiece)])
}

// readAnswer reads one answer slowly, and returns the size of its body.
func readAnswer(reader *bufio.Reader) (size int64, closes bool, err error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, fmt.Errorf("read head: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	size, err = io.Copy(io.Discard, resp.Body)
	return size, resp.Close, err
}

// TestAnswerOutlivesItsConnection guards against an answer that is cut by a reset: the peer
// has sent something behind its request that is not read when either side ends the
// connection.
func TestAnswerOutlivesItsConnection(t *testing.T) {
	const request = "GET /wait HTTP/1.1\r\nHost: x\r\n"
	behind := map[string]string{
		"nothing":          "",
		"a request":        request + "\r\n",
		"many requests":    strings.Repeat(request+"\r\n", 3000),
		"half of a head":   request,
		"an invalid head":  "?\r\n\r\n" + strings.Repeat("x", 200_000),
		"a head too large": "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 50_000),
	}
	ends := map[string]struct {
		head  string
		drain bool
		pause time.Duration
	}{
		"stop":   {request + "\r\n", true, slowPause},
		"peer":   {request + "Connection: close\r\n\r\n", false, slowPause},
		"old":    {"GET /wait HTTP/1.0\r\nHost: x\r\n\r\n", false, slowPause},
		"length": {"POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 90000000\r\n\r\n", false, 8 * slowPause}, // net/http itself waits for 0.5 s.
		"expect": {"POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n", false, slowPause},
	}
	number := 0
	for end, how := range ends {
		for name, text := range behind {
			for _, useTLS := range []bool{false, true} {
				number++
				address := fmt.Sprintf("127.77.3.%d:18080", number)
				t.Run(fmt.Sprintf("%s/%s/%t", end, name, useTLS), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					ls := newLingerServer(t, address, useTLS, nil)
					con := ls.dial(t)
					if how.drain {
						ls.Drain()
					}
					_, err := io.WriteString(con, how.head)
					is.NoErr(err)
					<-ls.seen
					go func() { _, _ = io.WriteString(con, text) }() // The server may stop reading.
					size, closes, err := readAnswer(bufio.NewReader(slowReader{con, how.pause}))
					is.NoErr(err)
					is.Equal(size, int64(largeAnswer))
					is.True(closes)
				})
			}
		}
	}
}

// TestAnswersOfKeptConnectionsOutliveThem guards against an answer that is still being read
// when the connection that is kept for further requests ends: by a shutdown, since another
// peer needs its place, or since the head behind the request is refused.
func TestAnswersOfKeptConnectionsOutliveThem(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	cases := map[string]func(t *testing.T, ls *lingerServer, con net.Conn){
		"shutdown": func(t *testing.T, ls *lingerServer, con net.Conn) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if err := ls.Shutdown(ctx); err != nil {
				t.Error(err)
			}
			_, _ = io.WriteString(con, request)
		},
		"crowd": func(t *testing.T, ls *lingerServer, con net.Conn) {
			time.Sleep(300 * time.Millisecond) // Until the connection counts as quiet.
			for range 120 {
				if other, err := net.Dial("tcp", ls.address); err == nil { // Some are refused.
					t.Cleanup(func() { _ = other.Close() })
				}
			}
			_, _ = io.WriteString(con, request)
		},
		"refused head": func(_ *testing.T, _ *lingerServer, con net.Conn) {
			_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 5500)+"\r\n")
		},
		"invalid head": func(_ *testing.T, _ *lingerServer, con net.Conn) {
			_, _ = io.WriteString(con, "?\r\n\r\n"+request)
		},
	}
	number := 0
	for name, end := range cases {
		number++
		address := fmt.Sprintf("127.77.4.%d:18080", number)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ls := newLingerServer(t, address, false, func(wr http.ResponseWriter, _ *http.Request) {
				wr.Header().Set("Content-Length", fmt.Sprint(slowBuffer*3))
				_, _ = wr.Write(make([]byte, slowBuffer*3))
			})
			con := ls.dial(t)
			_, err := io.WriteString(con, request)
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond) // Until the answer is in the send buffer.
			end(t, ls, con)
			size, _, err := readAnswer(bufio.NewReader(slowReader{con, slowPause}))
			is.NoErr(err)
			is.Equal(size, int64(slowBuffer*3))
		})
	}
}

// TestLingeringEnds guards against peers that hold connections, and the process that stops,
// by never reading their answer or by never ceasing to send.
func TestLingeringEnds(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	peers := map[string]func(con net.Conn){
		"never reads": func(net.Conn) {},
		"never reads or stops sending": func(con net.Conn) {
			for block := make([]byte, 32<<10); ; {
				if _, err := con.Write(block); err != nil {
					return
				}
			}
		},
		"never stops sending": func(con net.Conn) {
			go func() { _, _ = io.Copy(io.Discard, con) }()
			for block := make([]byte, 32<<10); ; {
				if _, err := con.Write(block); err != nil {
					return
				}
			}
		},
	}
	number := 0
	for name, behave := range peers {
		for _, stops := range []bool{false, true} {
			number++
			address := fmt.Sprintf("127.77.5.%d:18080", number)
			t.Run(fmt.Sprintf("%s/%t", name, stops), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				handled := make(chan struct{}, 1)
				const size = 3 * slowBuffer // The sockets of both sides hold it together, one alone doesn't.
				ls := newLingerServer(t, address, false, func(wr http.ResponseWriter, _ *http.Request) {
					_, _ = wr.Write(make([]byte, size))
					handled <- struct{}{}
				})
				con := ls.dial(t)
				_, err := io.WriteString(con, request)
				is.NoErr(err)
				go behave(con)
				<-handled
				started := time.Now()
				if stops {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					is.NoErr(ls.Shutdown(ctx))
					err := ls.guard.Wait(ctx)
					is.True(err == nil || errors.Is(err, context.DeadlineExceeded))
					is.True(time.Since(started) < 1500*time.Millisecond)
					return
				}
				for time.Since(started) < 10*time.Second {
					if count, _ := ls.guard.budget.Accounts(); count == 0 {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				count, _ := ls.guard.budget.Accounts()
				is.Equal(count, 0)
				is.NoErr(ls.guard.Wait(context.Background()))
				is.Equal(ls.guard.metrics.Counter("connections.closed.unread").Count() == 1, strings.HasPrefix(name, "never reads"))
			})
		}
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	from  io.Reader
	count atomic.Int64
}

func (cr *countingReader) Read(data []byte) (int, error) {
	count, err := cr.from.Read(data)
	cr.count.Add(int64(count))
	return count, err
}

// TestWaitDeliversAnswers guards against a process that exits while answers are still being
// read: its kernel resets connections on which more arrives.
func TestWaitDeliversAnswers(t *testing.T) {
	is := is.New(t)
	ls := newLingerServer(t, "127.77.5.100:18080", false, nil)
	con := ls.dial(t)
	_, err := io.WriteString(con, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\n")
	is.NoErr(err)
	<-ls.seen
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	read := make(chan error, 1)
	counted := &countingReader{from: slowReader{con, slowPause}}
	go func() {
		size, _, err := readAnswer(bufio.NewReader(counted))
		if err == nil && size != largeAnswer {
			err = fmt.Errorf("%d bytes", size)
		}
		read <- err
	}()
	is.NoErr(ls.Shutdown(ctx))
	is.NoErr(ls.guard.Wait(ctx))
	is.True(counted.count.Load() > largeAnswer-4*slowBuffer) // The peer's socket holds the rest.
	is.NoErr(<-read)
}
