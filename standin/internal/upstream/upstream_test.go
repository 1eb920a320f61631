package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlotIsFreeOnceTheResponseIsThere sends a request as soon as the response to the one
// before it has arrived, or its connection has ended. With FaultDuplicate, the upstream held
// the slot for 100 ms longer, and counted the request as one beyond its slots although the
// daemon may send it.
func TestSlotIsFreeOnceTheResponseIsThere(t *testing.T) {
	for _, kind := range []FaultKind{FaultNone, FaultError, FaultDuplicate, FaultTruncate, FaultCut} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			up := New(Config{ID: "u1", Slots: 1, Latency: time.Millisecond})
			up.SetFault(Fault{Kind: kind, Share: 1})
			go func() { _ = up.server.Serve(lis) }()
			defer func() { _ = up.server.Close() }()
			for range 50 {
				exchange(t, lis.Addr().String())
			}
			is.Equal(up.Counts().Runs, 50)
			is.Equal(up.Counts().OverSlots, 0)
		})
	}
}

// exchange sends a request on a new connection. It returns as soon as a complete response
// or the end of the connection has arrived.
func exchange(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	con, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	if err := con.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(con, "GET /x HTTP/1.1\r\nHost: u1\r\n%s: tag\r\n\r\n", headerTag); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
}
