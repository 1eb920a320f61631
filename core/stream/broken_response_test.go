package stream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestBrokenResponseIsNoBody lets the process at the address of a peer answer a fetch with
// responses that break off, whose status is invalid, or whose end can't be told from a
// truncation. None may look like a whole body.
func TestBrokenResponseIsNoBody(t *testing.T) {
	cases := []struct {
		name, response string
		isReset        bool
	}{
		{"status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody", false},
		{"status 000 in front of a response", "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		{"status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nbody", false},
		{"without a length", "HTTP/1.1 200 OK\r\n\r\nbody", false},
		{"without a length, reset", "HTTP/1.1 200 OK\r\n\r\nbody", true},
		{"with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", false},
		{"as HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nbody", false},
		{"as HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", false},
		{"blank in the name of the coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01A: a\r\nContent-Length: 4\r\n\r\nbody", false},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", false},
		{"short, reset", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", true},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		{"no last chunk, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = lis.Close() }()
			go func() {
				con, err := lis.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
					_, _ = io.WriteString(con, tc.response)
				}
				if tc.isReset {
					_ = con.(*net.TCPConn).SetLinger(0)
				}
				_ = con.Close()
			}()
			rd, err := newFixture(t).fetching.Open(context.Background(), lis.Addr().String(), "token")
			if err != nil {
				return
			}
			defer func() { _ = rd.Close() }()
			if body, err := io.ReadAll(rd); err == nil {
				t.Errorf("%q counts as a whole body", body)
			}
		})
	}
}
