package gate_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/outcome"
)

// TestInvalidStatusIsNoAnswer lets an upstream answer with a status that no final response
// can have, and with a body that reads like a response. Neither may reach the caller as the
// answer of the upstream, also on a connection that has served an answer before, and the
// next request gets another connection.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %t", status, kept), func(t *testing.T) {
				is := is.New(t)
				bad := int64(1)
				if kept {
					bad = 2
				}
				address, dials := serveScript(t, func(con net.Conn, number int64, req *http.Request) bool {
					id := req.Header.Get("X-Id")
					if number != bad {
						writeResponse(con, id, "whole", "")
						return true
					}
					inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nother", id)
					_, err := fmt.Fprintf(con, "HTTP/1.1 %s Odd\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(inner), inner)
					_, _ = io.Copy(io.Discard, con) // Until the gate closes the connection.
					return err == nil
				})
				ga := newPlatformGate(defaultPolicy(), nil)
				announce(t, ga, address, 1)
				if kept {
					first := ga.Run(context.Background(), platformRequest("first", true))
					is.Equal(fmt.Sprintf("%s %s", first.Outcome, first.Body), "ran whole")
				}
				answer := ga.Run(context.Background(), platformRequest("second", true))
				is.Equal(answer.Outcome, outcome.Unknown)
				is.Equal(answer.Reason, outcome.UpstreamFailed)
				is.Equal(len(answer.Body), 0)
				next := ga.Run(context.Background(), platformRequest("third", true))
				is.Equal(fmt.Sprintf("%s %s", next.Outcome, next.Body), "ran whole")
				is.Equal(dials.Load(), int64(2))
			})
		}
	}
}
