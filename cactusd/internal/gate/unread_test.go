package gate_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/core/outcome"
)

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	dialed, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestClosedConnectionIsToldFromLostAnswer covers the ways in which a reused connection
// ends without a response. A request that may run only once must be sent on a new
// connection, and end as not run if there is none, only if the upstream can't have read
// any of it.
func TestClosedConnectionIsToldFromLostAnswer(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("only the Linux kernel tells what was acknowledged")
	}
	read := func(con *net.TCPConn) { _, _ = bufio.NewReader(con).Peek(1) }
	cases := []struct {
		name string
		// before is what the upstream does before the request is written, and after what
		// it does then.
		before, after func(con *net.TCPConn)
		unread        bool
	}{
		{"closed before", func(con *net.TCPConn) { _ = con.Close() }, nil, true},
		{"reset before", resetConnection, nil, true},
		{"only its own direction ended before", func(con *net.TCPConn) { _ = con.CloseWrite() }, read, false},
		{"closed after it read a byte", nil, func(con *net.TCPConn) { read(con); _ = con.Close() }, false},
		{"reset after it read a byte", nil, func(con *net.TCPConn) { read(con); resetConnection(con) }, false},
	}
	for _, tc := range cases {
		for _, body := range []string{"body", strings.Repeat("x", 200<<10)} {
			for _, listens := range []bool{true, false} {
				t.Run(tc.name, func(t *testing.T) {
					is := is.New(t)
					address := "127.0.0.1:1" // No process listens there.
					if listens {
						address = serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
							wr.Header().Set(gate.HeaderAttempt, req.Header.Get(gate.HeaderAttempt))
						})
					}
					client, server := connectedPair(t)
					if tc.before != nil {
						tc.before(server)
						time.Sleep(20 * time.Millisecond) // Lets the end arrive.
					}
					if tc.after != nil {
						go tc.after(server)
					}
					req := request("a", false)
					req.Body, req.Remaining = []byte(body), 2*time.Second
					answer := gate.SendOnReused(context.Background(), gate.Announcement{ID: "u", Service: "s", Address: address, Slots: 1, Connections: 9}, client, req)
					switch {
					case !tc.unread:
						is.Equal(answer.Outcome, outcome.Unknown)
					case listens:
						is.Equal(answer.Outcome, outcome.Ran)
					default:
						is.Equal(answer.Outcome, outcome.NotRun)
					}
				})
			}
		}
	}
}
