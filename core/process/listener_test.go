package process

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestWaitingConnectionsAreAnswered stops a listener while connections that
// have sent their requests wait to be accepted.
func TestWaitingConnectionsAreAnswered(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	lis := &drainingListener{TCPListener: opened.(*net.TCPListener)}
	const waiting = 5
	var conns []net.Conn
	for range waiting {
		con, err := net.Dial("tcp", opened.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(con, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		is.NoErr(err)
		conns = append(conns, con)
	}
	lis.drain()
	srv := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "whole") })}
	is.True(errors.Is(srv.Serve(lis), net.ErrClosed))
	for _, con := range conns {
		answer, err := io.ReadAll(con)
		is.NoErr(err)
		is.True(strings.HasSuffix(string(answer), "whole"))
	}
	is.NoErr(srv.Shutdown(context.Background()))
	_, err = net.Dial("tcp", opened.Addr().String())
	is.True(err != nil)
}
