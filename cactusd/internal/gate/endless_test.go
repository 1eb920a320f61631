package gate_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/core/outcome"
)

// TestEndlessResponses sends bytes without end in each part of a response, until the
// gate closes the connection. The gate must close it long before the deadline of the
// request, and report that the request may have run. The memory that it allocates must
// stay near the limit for bodies, and the next request must succeed.
func TestEndlessResponses(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\n"
		// maxDuration is a fraction of the deadline of the request.
		maxDuration = 3 * time.Second
		// maxAllocated leaves the runtime and the test upstream as much again as the
		// bodies may have: a body is copied each time it grows.
		maxAllocated = 16 * testBodyMemory
	)
	cases := []struct{ name, start, repeat string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header value", "HTTP/1.1 200 OK\r\nX-A: ", "x"},
		{"header lines", head, "X-A: b\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		{"informational header", "HTTP/1.1 103 Early Hints\r\n", "X-A: b\r\n"},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1\r\nx\r\n0\r\n", "X-T: b\r\n"},
		{"body that ends with the connection", head + "\r\n", "x"},
		{"stated length", head + "Content-Length: 900000000000\r\n\r\n", "x"},
		{"no HTTP", "", "\x00\xff"},
		{"body of another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			address, _ := serveScript(t, func(con net.Conn, number int64, req *http.Request) bool {
				if number > 1 {
					writeResponse(con, req.Header.Get("X-Id"), "whole", "")
					return true
				}
				defer close(closed)
				start := strings.ReplaceAll(tc.start, "%s", req.Header.Get("X-Id"))
				if _, err := io.WriteString(con, start); err != nil {
					return false
				}
				block := strings.Repeat(tc.repeat, 1+32<<10/len(tc.repeat))
				for {
					if _, err := io.WriteString(con, block); err != nil {
						return false
					}
				}
			})
			policy := defaultPolicy()
			policy.BodyLimit = 64 << 20
			ga := newPlatformGate(policy, nil)
			announce(t, ga, address, 1)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			req := platformRequest("first", false)
			req.BodyLimit, req.Remaining = policy.BodyLimit, 20*time.Second
			started := time.Now()
			answer := ga.Run(context.Background(), req)
			is.True(time.Since(started) < maxDuration)
			runtime.ReadMemStats(&after)
			is.Equal(answer.Outcome, outcome.Unknown)
			is.Equal(answer.Reason, outcome.UpstreamFailed)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("%d bytes allocated", allocated)
			}
			select {
			case <-closed:
			case <-time.After(maxDuration):
				t.Fatal("the connection is still open")
			}
			next := ga.Run(context.Background(), platformRequest("second", false))
			is.Equal(fmt.Sprintf("%s %s", next.Outcome, next.Body), "ran whole")
		})
	}
}

// TestManyEndlessResponsesAtOnce lets an upstream answer with bytes without end on all
// its connections at a time, in heads and in bodies, over and over. The memory in use
// must stay within the limit for bodies and a head for each connection, and requests to
// another upstream of the gate must succeed all the while.
func TestManyEndlessResponsesAtOnce(t *testing.T) {
	const (
		slots = 16
		// maxHeap is the limit for bodies, which are copied as they grow, and the same
		// again for the runtime and the upstreams of the test.
		maxHeap  = 8 * testBodyMemory
		duration = 2 * time.Second
	)
	starts := []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-A: ", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n1;"}
	faulty, _ := serveScript(t, func(con net.Conn, number int64, req *http.Request) bool {
		_, _ = io.WriteString(con, strings.ReplaceAll(starts[int(number)%len(starts)], "%s", req.Header.Get("X-Id")))
		block := strings.Repeat("x", 32<<10)
		for {
			if _, err := io.WriteString(con, block); err != nil {
				return false
			}
		}
	})
	sound, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		writeResponse(con, req.Header.Get("X-Id"), "whole", "")
		return true
	})
	is := is.New(t)
	policy := defaultPolicy()
	policy.BodyLimit = 64 << 20
	ga := newPlatformGate(policy, nil)
	announce(t, ga, faulty, slots)
	is.NoErr(ga.Announce(gate.Announcement{ID: "sound", Service: "other", Address: sound, Slots: 1, Connections: 9}))
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var clients sync.WaitGroup
	for client := range slots {
		clients.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				req := platformRequest(fmt.Sprint(client, "-", number), true)
				req.BodyLimit = policy.BodyLimit
				ga.Run(ctx, req)
			}
		})
	}
	for number := 0; ctx.Err() == nil; number++ {
		req := platformRequest(fmt.Sprint("sound-", number), true)
		req.Upstream, req.Service = "sound", "other"
		if answer := ga.Run(context.Background(), req); string(answer.Body) != "whole" {
			t.Fatalf("request to the sound upstream: %s: %s", answer.Outcome, answer.Detail)
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		if stats.HeapAlloc > maxHeap {
			t.Fatalf("%d bytes of heap in use", stats.HeapAlloc)
		}
		time.Sleep(5 * time.Millisecond)
	}
	clients.Wait()
}
