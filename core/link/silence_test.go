package link_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/link"
)

// silencer forwards connections to an address. It can make the open ones silent for good,
// without closing them, while new ones work, and it can delay what it forwards.
type silencer struct {
	address string
	delay   atomic.Int64
	// generation is the number of times that connections were silenced.
	generation atomic.Int64
}

func newSilencer(t *testing.T, to string) *silencer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	si := &silencer{address: lis.Addr().String()}
	go func() {
		for {
			from, err := lis.Accept()
			if err != nil {
				return
			}
			onward, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			generation := si.generation.Load()
			for _, way := range [][2]net.Conn{{from, onward}, {onward, from}} {
				go si.forward(way[0], way[1], generation)
			}
		}
	}()
	return si
}

func (si *silencer) forward(from, to net.Conn, generation int64) {
	buf := make([]byte, 32<<10)
	for {
		count, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		time.Sleep(time.Duration(si.delay.Load()))
		if si.generation.Load() == generation {
			_, _ = to.Write(buf[:count])
		}
	}
}

// TestSilentConnectionIsReplaced makes open connections go silent for good, several times
// in a row. Calls must work again within a second, long before the keep-alive gives the
// silent connection up, and the silent ones must end.
func TestSilentConnectionIsReplaced(t *testing.T) {
	const maxOutage = time.Second
	is := is.New(t)
	fi := newFixture(t)
	si := newSilencer(t, fi.address)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer cancel()
		_, err := link.Call[echo, echo](ctx, fi.pool, si.address, "echo", echo{})
		return err
	}
	for range 3 {
		is.NoErr(call())
		si.generation.Add(1)
		start := time.Now()
		for call() != nil {
			if outage := time.Since(start); outage > maxOutage {
				t.Fatalf("no call works %s after the connection went silent", outage)
			}
		}
	}
	is.Equal(len(fi.pool.Statuses()), 1)
}

// TestSlowPeerKeepsPendingCalls delays a connection for longer than a check for silence
// takes. New calls get another connection, but the pending one must get its response.
func TestSlowPeerKeepsPendingCalls(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t)
	si := newSilencer(t, fi.address)
	long := make(chan error, 1)
	go func() {
		_, err := link.Call[echo, echo](context.Background(), fi.pool, si.address, "echo", echo{Sleep: 500})
		long <- err
	}()
	for fi.received.Load() == 0 {
		runtime.Gosched()
	}
	si.delay.Store(int64(600 * time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	_, err := link.Call[echo, echo](ctx, fi.pool, si.address, "echo", echo{})
	is.True(err != nil)
	time.Sleep(500 * time.Millisecond) // The check has found no pong by now.
	si.delay.Store(0)
	_, err = link.Call[echo, echo](context.Background(), fi.pool, si.address, "echo", echo{})
	is.NoErr(err)
	is.NoErr(<-long)
}

// TestLargeResponseOverSlowConnection guards against a response that is cut off on its way,
// because the pong that shows that the peer is there arrives only behind it.
func TestLargeResponseOverSlowConnection(t *testing.T) {
	t.Parallel()
	callOverSlowConnection(t, 0, 3<<20)
}

// TestLargeCallOverSlowConnection guards against a call that is cut off on its way, because
// the ping that checks whether the peer is there arrives only behind it.
func TestLargeCallOverSlowConnection(t *testing.T) {
	t.Parallel()
	callOverSlowConnection(t, 3<<20, 0)
}

// callOverSlowConnection makes a call over a connection of 0.8 MB/s at most, with bodies of
// the given sizes.
func callOverSlowConnection(t *testing.T, callSize, responseSize int) {
	t.Helper()
	is := is.New(t)
	tokens := newTokens(t)
	mux := link.NewMux()
	link.Handle(mux, "large", func(_ context.Context, _ string, req echo) (echo, error) {
		is.Equal(len(req.Body), callSize)
		return echo{Body: make([]byte, responseSize)}, nil
	})
	server := link.NewServer(mux, tokens, func(*http.Request) {})
	srv := httptest.NewServer(server)
	defer srv.Close()
	defer server.Close()
	si := newSilencer(t, strings.TrimPrefix(srv.URL, "http://"))
	si.delay.Store(int64(40 * time.Millisecond))
	pool := link.NewPool("test", tokens, link.NewMux())
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	resp, err := link.Call[echo, echo](ctx, pool, si.address, "large", echo{Body: make([]byte, callSize)})
	is.NoErr(err)
	is.Equal(len(resp.Body), responseSize)
}
