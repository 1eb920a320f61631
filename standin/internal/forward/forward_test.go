package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/standin/internal/forward"
)

// startEchoServer starts a server that sends each line back and returns its
// address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				for scan := bufio.NewScanner(con); scan.Scan(); {
					_, _ = fmt.Fprintln(con, scan.Text())
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// newForwarder returns a forwarder to an echo server and a connection through it.
func newForwarder(t *testing.T) (*forward.Forwarder, net.Conn) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	from := free.Addr().String()
	_ = free.Close()
	fwd, err := forward.New(from, startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fwd.Close)
	con, err := net.Dial("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	return fwd, con
}

// exchangeLine sends a line and returns the response, or an error if none arrives
// within the timeout.
func exchangeLine(con net.Conn, line string, timeout time.Duration) (string, error) {
	_, _ = fmt.Fprintln(con, line)
	_ = con.SetReadDeadline(time.Now().Add(timeout))
	return bufio.NewReader(con).ReadString('\n')
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name        string
		fault       forward.Fault
		minDuration time.Duration
	}{
		{"none", forward.Fault{}, 0},
		{"delayed", forward.Fault{Delay: 30 * time.Millisecond}, 60 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fwd, con := newForwarder(t)
			fwd.Set(tc.fault)
			started := time.Now()
			response, err := exchangeLine(con, "hello", 5*time.Second)
			is.NoErr(err)
			is.Equal(response, "hello\n")
			is.True(time.Since(started) >= tc.minDuration)
		})
	}
}

func TestBlockedDirectionDelaysBytes(t *testing.T) {
	for _, fault := range []forward.Fault{{BlockInbound: true}, {BlockOutbound: true}} {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			is := is.New(t)
			fwd, con := newForwarder(t)
			fwd.Set(fault)
			_, err := exchangeLine(con, "held", 100*time.Millisecond)
			is.True(err != nil)
			fwd.Set(forward.Fault{})
			_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := bufio.NewReader(con).ReadString('\n')
			is.NoErr(err)
			is.Equal(response, "held\n")
		})
	}
}

func TestResetClosesOpenConnections(t *testing.T) {
	is := is.New(t)
	fwd, con := newForwarder(t)
	_, err := exchangeLine(con, "first", 5*time.Second)
	is.NoErr(err)
	fwd.Reset()
	_, err = exchangeLine(con, "second", 5*time.Second)
	is.True(err != nil)
}
