package process

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

// guardedTLSServer starts a server with limits that uses TLS.
func guardedTLSServer(t *testing.T, address string, lim Limits, handler http.HandlerFunc) *Guard {
	t.Helper()
	source := httptest.NewTLSServer(nil) // For its certificate.
	defer source.Close()
	gu := NewGuard(lim, events.Discard(), metrics.NewRegistry())
	srv := NewServer(address, handler, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: source.TLS.Certificates, NextProtos: []string{"http/1.1"}}).Guard(gu, false)
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return gu
}

// connectTLS opens a connection and sends a text.
func connectTLS(t *testing.T, address, text string) net.Conn {
	t.Helper()
	con := tls.Client(connect(t, address, ""), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
	_, _ = io.WriteString(con, text)
	return con
}

// awaitHeld waits until the connections hold as many bytes, and reports whether they did.
func awaitHeld(gu *Guard, isReached func(held int) bool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if _, held := gu.budget.Accounts(); isReached(held) {
			return true
		}
	}
	return false
}

// TestHeadsAreChargedUnderTLS guards against heads that hold many times their size and that
// the budget doesn't know of, since the server sees them only behind TLS.
func TestHeadsAreChargedUnderTLS(t *testing.T) {
	is := is.New(t)
	const (
		address = "127.77.0.219:18080"
		lines   = 3000
	)
	gu := guardedTLSServer(t, address, Limits{Connections: 10}, writeCompleteBody)
	con := connectTLS(t, address, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", lines))
	is.True(awaitHeld(gu, func(held int) bool { return held > lines*lineCost }))
	_, err := io.WriteString(con, "\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(con), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "complete")
	is.True(awaitHeld(gu, func(held int) bool { return held < lines*lineCost })) // Returned at the end of the answer.
}

// TestHeadLinesAreLimitedUnderTLS is TestHeadLinesAreLimited under TLS.
func TestHeadLinesAreLimitedUnderTLS(t *testing.T) {
	const address = "127.77.0.220:18080"
	guardedTLSServer(t, address, Limits{Connections: 10}, writeCompleteBody)
	checkHeadLines(t, address, connectTLS)
}

// TestStalledPeersAreClosedUnderTLS guards against bodies that stop short under TLS, and
// against a request that is cut while its caller waits for the answer.
func TestStalledPeersAreClosedUnderTLS(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.221:18080"
	gu := guardedTLSServer(t, address, Limits{Connections: 10, Stall: time.Second}, func(wr http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(3 * time.Second)
		writeCompleteBody(wr, req)
	})
	stalled := connectTLS(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
	waiting := connectTLS(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd")
	answer, err := io.ReadAll(waiting)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(answer), "complete"))
	_, _ = io.ReadAll(stalled)
	is.Equal(gu.metrics.Counter("connections.closed.stalled").Count(), int64(1))
}

// TestPlainRequestToATLSServer guards against a server that hangs on a peer that doesn't use
// TLS, or answers it.
func TestPlainRequestToATLSServer(t *testing.T) {
	is := is.New(t)
	const address = "127.77.0.222:18080"
	gu := guardedTLSServer(t, address, Limits{Connections: 10}, writeCompleteBody)
	con := connect(t, address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	answer, _ := io.ReadAll(con)
	is.True(!strings.HasSuffix(string(answer), "complete"))
	is.True(awaitHeld(gu, func(held int) bool { return held == 0 }))
}
