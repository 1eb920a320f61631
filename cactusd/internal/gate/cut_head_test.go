package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/outcome"
)

// TestResponseThatEndsInItsHeadIsNotComplete lets an upstream stop at each byte of the head
// of its response and close the connection. None of the prefixes is a response, with any
// framing and also where a body may end with its connection.
func TestResponseThatEndsInItsHeadIsNotComplete(t *testing.T) {
	framings := map[string]string{
		"with a length":       "Content-Length: 12\r\n",
		"chunked":             "Transfer-Encoding: chunked\r\n",
		"ended by its close":  "Connection: close\r\n",
		"with an empty body":  "Content-Length: 0\r\n",
		"with a folded field": "X-Long: one\r\n two\r\n",
	}
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 200 OK\r\nX-Id: own\r\nX-Seal: 1234\r\n" + framing + "\r\n"
			for length := range len(head) {
				address := rawUpstream(t, func(con net.Conn) {
					defer func() { _ = con.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(con)); err == nil {
						_, _ = io.WriteString(con, head[:length])
					}
				})
				ga := newPlatformGate(defaultPolicy(), nil)
				announce(t, ga, address, 1)
				answer := ga.Run(context.Background(), platformRequest("own", false))
				if answer.Outcome != outcome.Unknown {
					t.Logf("%d of %d bytes (%q at the end): %s, status %d, %d bytes of body", length, len(head), fmt.Sprint(head[max(0, length-12):length]), answer.Outcome, answer.Status, len(answer.Body))
				}
				is.Equal(answer.Outcome, outcome.Unknown)
			}
			is.True(strings.HasSuffix(head, "\r\n\r\n"))
		})
	}
}
