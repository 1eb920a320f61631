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

// echo answers each line with itself.
func echo(t *testing.T) string {
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

func newForwarder(t *testing.T) (*forward.Forwarder, net.Conn) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	from := free.Addr().String()
	_ = free.Close()
	fwd, err := forward.New(from, echo(t))
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

// ask sends a line and returns the answer, or the error of a limit that passed.
func ask(con net.Conn, line string, limit time.Duration) (string, error) {
	_, _ = fmt.Fprintln(con, line)
	_ = con.SetReadDeadline(time.Now().Add(limit))
	return bufio.NewReader(con).ReadString('\n')
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault forward.Fault
		least time.Duration
	}{
		{"none", forward.Fault{}, 0},
		{"delayed", forward.Fault{Delay: 30 * time.Millisecond}, 60 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fwd, con := newForwarder(t)
			fwd.Set(tc.fault)
			began := time.Now()
			answer, err := ask(con, "hello", 5*time.Second)
			is.NoErr(err)
			is.Equal(answer, "hello\n")
			is.True(time.Since(began) >= tc.least)
		})
	}
}

func TestSilenceHoldsBytesUntilItIsHealed(t *testing.T) {
	for _, fault := range []forward.Fault{{SilentIn: true}, {SilentOut: true}} {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			is := is.New(t)
			fwd, con := newForwarder(t)
			fwd.Set(fault)
			_, err := ask(con, "held", 100*time.Millisecond)
			is.True(err != nil)
			fwd.Set(forward.Fault{})
			_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
			answer, err := bufio.NewReader(con).ReadString('\n')
			is.NoErr(err)
			is.Equal(answer, "held\n")
		})
	}
}

func TestResetEndsOpenConnections(t *testing.T) {
	is := is.New(t)
	fwd, con := newForwarder(t)
	_, err := ask(con, "first", 5*time.Second)
	is.NoErr(err)
	fwd.Reset()
	_, err = ask(con, "second", 5*time.Second)
	is.True(err != nil)
}
