package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

// guardedServer starts a server with limits.
func guardedServer(t *testing.T, address string, lim Limits, handler http.HandlerFunc) *Guard {
	t.Helper()
	gu := NewGuard(lim, events.Discard(), metrics.NewRegistry())
	srv := NewServer(address, handler, nil).Guard(gu, false)
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return gu
}

// connect opens a connection and sends a text.
func connect(t *testing.T, address, text string) net.Conn {
	t.Helper()
	con, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	_ = con.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(con, text)
	return con
}

// TestOrdinaryCallerGetsInAmongOthers guards against a crowd that keeps others out by
// holding all connections.
func TestOrdinaryCallerGetsInAmongOthers(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.210:18080"
	gu := guardedServer(t, address, Limits{Connections: 10}, writeCompleteBody)
	for range 10 {
		connect(t, address, "GET / HTTP/1.1\r\nHo")
	}
	time.Sleep(500 * time.Millisecond) // Until they count as quiet.
	is.NoErr(sendRequest(address))
	is.Equal(gu.metrics.Counter("connections.closed.connections").Count(), int64(1))
}

// TestRunningRequestOutlastsStall guards against a request that is cut because its caller
// sends nothing while it waits for the answer.
func TestRunningRequestOutlastsStall(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.211:18080"
	guardedServer(t, address, Limits{Connections: 10, Stall: time.Second}, func(wr http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(3 * time.Second)
		writeCompleteBody(wr, req)
	})
	con := connect(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd")
	answer, err := io.ReadAll(con)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(answer), "complete"))
}

// TestStalledPeersAreClosed guards against bodies that stop short and answers that aren't
// read, which hold their memory for ever.
func TestStalledPeersAreClosed(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.212:18080"
	gu := guardedServer(t, address, Limits{Connections: 10, Stall: time.Second}, func(wr http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = wr.Write(make([]byte, 64<<20))
	})
	stalled := gu.metrics.Counter("connections.closed.stalled").Count
	connect(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
	connect(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if count, _ := gu.budget.Accounts(); count == 0 && stalled() == 2 {
			break
		}
	}
	count, _ := gu.budget.Accounts()
	is.Equal(count, 0)
	is.Equal(stalled(), int64(2))
}

// TestSlowReaderIsServed guards against a limit on the total time of an answer, and against
// progress that the socket's own buffer hides.
func TestSlowReaderIsServed(t *testing.T) {
	is := is.New(t)
	const address, size = "127.77.0.213:18080", 16 << 20
	guardedServer(t, address, Limits{Connections: 10, Stall: 2 * time.Second}, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Connection", "close")
		_, _ = wr.Write(make([]byte, size))
	})
	con := connect(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	received := 0
	for range 20 {
		time.Sleep(250 * time.Millisecond)
		count, err := io.CopyN(io.Discard, con, 64<<10)
		is.NoErr(err)
		received += int(count)
	}
	count, err := io.Copy(io.Discard, con)
	is.NoErr(err)
	is.True(received+int(count) > size)
}

// TestHeadLinesAreLimited guards against heads whose parsed form uses many times their
// size, and against a limit that a head of legal size meets.
func TestHeadLinesAreLimited(t *testing.T) {
	const address = "127.77.0.214:18080"
	guardedServer(t, address, Limits{Connections: 10}, writeCompleteBody)
	checkHeadLines(t, address, connect)
}

// checkHeadLines sends heads with as many lines as a legal one may have, and with too many.
func checkHeadLines(t *testing.T, address string, connect func(t *testing.T, address, text string) net.Conn) {
	t.Helper()
	for count, isServed := range map[int]bool{3200: true, 5500: false} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			con := connect(t, address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+strings.Repeat("a:\r\n", count)+"\r\n")
			answer, _ := io.ReadAll(con)
			is.Equal(strings.HasSuffix(string(answer), "complete"), isServed)
		})
	}
}

// TestPipeliningIsBounded guards against a peer that keeps the process busy with requests
// whose answers it doesn't wait for. The last answer says that the connection ends, so
// the peer knows that what it sent behind it has not run.
func TestPipeliningIsBounded(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.215:18080"
	ran := make(chan struct{}, 1000)
	guardedServer(t, address, Limits{Connections: 10}, func(wr http.ResponseWriter, req *http.Request) {
		ran <- struct{}{}
		writeCompleteBody(wr, req)
	})
	con := connect(t, address, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 500))
	reader := bufio.NewReader(con)
	answers := 0
	for isLast := false; !isLast; answers++ {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		isLast = resp.Close
	}
	is.Equal(answers, len(ran))
	is.True(answers >= maxAhead && answers < 500)
}

// TestPatientCallerKeepsItsConnection guards against a limit on the requests of a
// connection whose caller waits for each answer.
func TestPatientCallerKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.216:18080"
	guardedServer(t, address, Limits{Connections: 10}, writeCompleteBody)
	con := connect(t, address, "")
	reader := bufio.NewReader(con)
	for range 3 * maxAhead {
		_, err := io.WriteString(con, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.True(!resp.Close)
	}
}

// TestHijackedConnectionLeavesTheBudget guards against links that are closed as if they
// were idle callers.
func TestHijackedConnectionLeavesTheBudget(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.217:18080"
	hijacked := make(chan net.Conn, 1)
	gu := guardedServer(t, address, Limits{Connections: 1}, func(wr http.ResponseWriter, _ *http.Request) {
		con, _, err := wr.(http.Hijacker).Hijack()
		if err == nil {
			hijacked <- con
		}
	})
	con := connect(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	link := <-hijacked
	count, held := gu.budget.Accounts()
	is.Equal(count, 0)
	is.Equal(held, 0)
	go func() { _, _ = link.Write(make([]byte, 1<<20)) }()
	_, err := io.CopyN(io.Discard, con, 1<<20)
	is.NoErr(err)
}

// TestQueryParametersAreLimited guards against queries whose parsed form uses many times
// their size.
func TestQueryParametersAreLimited(t *testing.T) {
	is := is.New(t)
	handler := LimitRequestBody(http.HandlerFunc(writeCompleteBody))
	for count, status := range map[int]int{maxQueryParameters: http.StatusOK, maxQueryParameters + 1: http.StatusBadRequest} {
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/?"+strings.Repeat("a=1&", count-1)+"a=1", nil))
		is.Equal(rec.Code, status)
	}
}

// TestProgressOfASlowReaderShowsInWrites guards against a send buffer that grows to
// megabytes while the peer reads fast and then hides for a long time that it still reads:
// the writer of the answer, such as a stream, would end it as stalled.
func TestProgressOfASlowReaderShowsInWrites(t *testing.T) {
	is := is.New(t)
	const (
		address   = "127.77.0.218:18080"
		fast      = 32 << 20
		slow      = 1 << 20
		piece     = 64 << 10
		quietTime = 300 * time.Millisecond
	)
	var written atomic.Int64
	guardedServer(t, address, Limits{Connections: 10, Stall: 20 * time.Second}, func(wr http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 32<<10)
		for {
			count, err := wr.Write(block)
			if err != nil {
				return
			}
			written.Add(int64(count))
		}
	})
	con := connect(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := io.CopyN(io.Discard, con, fast)
	is.NoErr(err)
	for range 3 {
		before := int64(-1)
		for before != written.Load() { // Until all buffers are full.
			before = written.Load()
			time.Sleep(quietTime)
		}
		for read := 0; written.Load() == before; read += piece {
			if read >= slow {
				t.Fatalf("the peer has read %d bytes, and the server could write none", read)
			}
			_, err := io.CopyN(io.Discard, con, piece)
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
		}
	}
}
