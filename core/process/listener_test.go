package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

func writeCompleteBody(wr http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(wr, "complete")
}

var errRefused = errors.New("refused")

// sendRequest sends one request on a new connection. It returns errRefused if the
// connection was refused, and another error if the response is incomplete.
func sendRequest(address string) error {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return errRefused
	}
	defer func() { _ = con.Close() }()
	if _, err := io.WriteString(con, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		return fmt.Errorf("incomplete response: %w", err)
	}
	response, err := io.ReadAll(con)
	if err != nil {
		return fmt.Errorf("incomplete response: %w", err)
	}
	if !strings.HasSuffix(string(response), "complete") {
		return fmt.Errorf("incomplete response: %q", response)
	}
	return nil
}

// TestRefuseNewConnectionsKeepsAcceptQueue establishes connections that are not
// accepted yet and then refuses new ones. The connections in the accept queue must
// still be accepted.
func TestRefuseNewConnectionsKeepsAcceptQueue(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.77.0.200:18080")
	is.NoErr(err)
	lis := listener.(*net.TCPListener)
	defer func() { _ = lis.Close() }()
	for range 5 {
		con, err := net.Dial("tcp", lis.Addr().String())
		is.NoErr(err)
		defer func() { _ = con.Close() }()
	}
	is.NoErr(refuseNewConnections(lis))
	is.Equal(sendRequest(lis.Addr().String()), errRefused)
	for range 5 {
		con, err := lis.Accept()
		is.NoErr(err)
		is.NoErr(con.Close())
	}
}

// TestShutdownAnswersEstablishedConnections stops a server while clients
// connect continuously. An established connection must get its response; later
// ones must be refused. Closing a listening socket resets the connections in its
// accept queue.
func TestShutdownAnswersEstablishedConnections(t *testing.T) {
	checkShutdowns(t, 0, func(*Server) {})
}

// TestGuardedShutdownAnswersEstablishedConnections is the same with limits, as in every
// program.
func TestGuardedShutdownAnswersEstablishedConnections(t *testing.T) {
	checkShutdowns(t, 20, func(srv *Server) {
		srv.Guard(NewGuard(Limits{Connections: 100, Stall: time.Second}, events.Discard(), metrics.NewRegistry()), true)
	})
}

func checkShutdowns(t *testing.T, firstHost int, prepare func(*Server)) {
	t.Helper()
	for round := range 20 {
		// The port is outside the ephemeral range. Otherwise a client could get
		// it as its own source port and connect to itself after the server closes.
		address := fmt.Sprintf("127.77.0.%d:18080", firstHost+round+1)
		srv := NewServer(address, http.HandlerFunc(writeCompleteBody), nil)
		prepare(srv)
		if err := srv.Start(); err != nil {
			t.Fatal(err)
		}
		var answered atomic.Int64
		var stopped atomic.Bool
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for !stopped.Load() {
					switch err := sendRequest(address); {
					case err == nil:
						answered.Add(1)
					case !errors.Is(err, errRefused):
						t.Errorf("round %d: %v", round, err)
					}
				}
			})
		}
		for answered.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if err := srv.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		stopped.Store(true)
		group.Wait()
	}
}

// TestShutdownAnswersAcceptedConnections shuts down while connections were accepted
// whose first request has not been read: not sent, sent in part, or not registered by
// net/http yet, as on a busy VM. Each request must be answered.
func TestShutdownAnswersAcceptedConnections(t *testing.T) {
	cases := []struct{ name, before, after string }{
		{"nothing sent", "", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"half of the head sent", "GET / HTTP/1.1\r\nHo", "st: x\r\n\r\n"},
		{"half of the body sent", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab", "cd"},
		{"all sent, not registered", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := NewServer("127.77.0.201:18080", http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				writeCompleteBody(wr, req)
			}), nil)
			accepted, proceed := make(chan struct{}), make(chan struct{})
			track := srv.http.ConnState
			srv.http.ConnState = func(con net.Conn, state http.ConnState) {
				track(con, state)
				if state == http.StateNew {
					close(accepted)
					<-proceed
				}
			}
			is.NoErr(srv.Start())
			con, err := net.Dial("tcp", srv.address)
			is.NoErr(err)
			defer func() { _ = con.Close() }()
			_, err = io.WriteString(con, tc.before)
			is.NoErr(err)
			<-accepted
			if tc.after != "" {
				close(proceed)
			}
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			go func() { stopped <- srv.Shutdown(ctx) }()
			time.Sleep(4 * acceptGrace)
			if tc.after == "" {
				close(proceed)
			}
			_, err = io.WriteString(con, tc.after)
			is.NoErr(err)
			response, err := io.ReadAll(con) // The server closes the connection after the response.
			is.NoErr(err)
			is.True(strings.HasSuffix(string(response), "complete"))
			is.NoErr(<-stopped)
		})
	}
}

// TestShutdownAnswersQueuedConnections shuts down while the goroutine that accepts is
// delayed for longer than acceptGrace, as on a busy machine. The connections that wait in
// the accept queue must be accepted and answered before the listener is closed.
func TestShutdownAnswersQueuedConnections(t *testing.T) {
	is := is.New(t)
	srv, accepted, proceed := newServerThatStopsAccepting(t, "127.77.0.203:18080")
	const clients = 6
	responses := make(chan error, clients)
	send := func() { responses <- sendRequest(srv.address) }
	go send()
	<-accepted // The first connection has been taken from the queue.
	for range clients - 1 {
		go send()
	}
	waitQueued(t, srv.listener, clients-1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- srv.Shutdown(ctx) }()
	time.Sleep(4 * acceptGrace)
	is.Equal(sendRequest(srv.address), errRefused)
	proceed()
	for range clients {
		is.NoErr(<-responses)
	}
	is.NoErr(<-stopped)
}

// TestCloseListenerEndsWithItsContext closes a listener with a queued connection that is
// never accepted, as if the process had no file descriptors left. That must not delay the
// shutdown beyond its context, or at all once the server has ended.
func TestCloseListenerEndsWithItsContext(t *testing.T) {
	ended := make(chan struct{})
	close(ended)
	cases := []struct {
		name    string
		timeout time.Duration
		served  chan struct{}
	}{
		{"the context ends", 4 * acceptGrace, make(chan struct{})},
		{"the server has ended", time.Minute, ended},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.77.0.204:18080")
			is.NoErr(err)
			lis := listener.(*net.TCPListener)
			defer func() { _ = lis.Close() }()
			con, err := net.Dial("tcp", lis.Addr().String())
			is.NoErr(err)
			defer func() { _ = con.Close() }()
			waitQueued(t, lis, 1)
			ctx, cancel := context.WithTimeout(context.Background(), tc.timeout)
			defer cancel()
			closed := make(chan struct{})
			go func() {
				closeListener(ctx, lis, tc.served)
				close(closed)
			}()
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Fatal("the listener is still open after 10s")
			}
		})
	}
}

// newServerThatStopsAccepting starts a server whose accepting goroutine waits with its
// first connection until the returned function is called. The channel is closed once it has
// that connection.
func newServerThatStopsAccepting(t *testing.T, address string) (*Server, <-chan struct{}, func()) {
	t.Helper()
	srv := NewServer(address, http.HandlerFunc(writeCompleteBody), nil)
	accepted, release := make(chan struct{}), make(chan struct{})
	accept := sync.OnceFunc(func() { close(accepted) })
	proceed := sync.OnceFunc(func() { close(release) })
	track := srv.http.ConnState
	srv.http.ConnState = func(con net.Conn, state http.ConnState) {
		track(con, state)
		if state == http.StateNew {
			accept()
			<-release
		}
	}
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		proceed()
		srv.Close()
	})
	return srv, accepted, proceed
}

// waitQueued waits until a number of connections are in the accept queue.
func waitQueued(t *testing.T, lis *net.TCPListener, want int) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for {
		length, err := acceptQueueLength(lis)
		if err != nil {
			t.Fatal(err)
		}
		if length == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are queued, want %d", length, want)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestDrainEndsConnections sends a request before and after Drain. Only the response to
// the second one must end its connection.
func TestDrainEndsConnections(t *testing.T) {
	is := is.New(t)
	srv := NewServer("127.77.0.202:18080", http.HandlerFunc(writeCompleteBody), nil)
	is.NoErr(srv.Start())
	defer srv.Close()
	endsConnection := func() bool {
		resp, err := http.Get("http://" + srv.address)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.Close
	}
	is.True(!endsConnection())
	srv.Drain()
	is.True(endsConnection())
}

// TestShutdownAllAnswersRequestsOfEachServer guards against an operator or an announcement
// without an answer because the last servers of a process are closed instead of shut down.
func TestShutdownAllAnswersRequestsOfEachServer(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{}, 2)
	var servers []*Server
	answers := make(chan error, 2)
	for host := range 2 {
		srv := NewServer(fmt.Sprintf("127.77.0.%d:18080", 205+host), http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
			began <- struct{}{}
			time.Sleep(300 * time.Millisecond)
			writeCompleteBody(wr, req)
		}), nil)
		is.NoErr(srv.Start())
		defer srv.Close()
		servers = append(servers, srv)
		go func() { answers <- sendRequest(srv.address) }()
	}
	for range servers {
		<-began
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(ShutdownAll(ctx, servers...))
	for range servers {
		is.NoErr(<-answers)
	}
}

// TestSilentConnectionsDoNotHoldAShutdown guards against a stop that takes its whole grace
// period because a peer has connected and sends nothing.
func TestSilentConnectionsDoNotHoldAShutdown(t *testing.T) {
	is := is.New(t)
	srv := NewServer("127.77.0.207:18080", http.HandlerFunc(writeCompleteBody), nil)
	srv.Guard(NewGuard(Limits{Connections: 100, Stall: time.Second}, events.Discard(), metrics.NewRegistry()), true)
	is.NoErr(srv.Start())
	for range 3 {
		con, err := net.Dial("tcp", srv.address)
		is.NoErr(err)
		defer func() { _ = con.Close() }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	started := time.Now()
	is.NoErr(srv.Shutdown(ctx))
	is.True(time.Since(started) < newConnGrace+time.Second)
}
