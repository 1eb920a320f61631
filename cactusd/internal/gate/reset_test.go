package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
)

// unframedHeads are the starts of responses whose body ends with its connection.
var unframedHeads = map[string]string{
	"without a length":       "HTTP/1.1 200 OK\r\n",
	"with Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	"as HTTP/1.0":            "HTTP/1.0 200 OK\r\n",
	"as HTTP/1.0, kept open": "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n",
}

const (
	// largeUpload is the size in bytes of a request body that doesn't fit into the buffers
	// of a connection whose reader has stopped.
	largeUpload = 12 << 20
	// smallUpload is the size of one that fits.
	smallUpload = 200 << 10
)

// uploads are the ways in which a gate gets the body of a request.
var uploads = map[string]func(sg *streamGate, req *wire.RunRequest){
	"stream":           func(sg *streamGate, req *wire.RunRequest) { sg.attach(req, largeUpload, largeUpload) },
	"stream in chunks": func(sg *streamGate, req *wire.RunRequest) { sg.attach(req, largeUpload, -1) },
	"short stream":     func(sg *streamGate, req *wire.RunRequest) { sg.attach(req, smallUpload, smallUpload) },
	"held":             func(_ *streamGate, req *wire.RunRequest) { req.Body = make([]byte, wire.MaxBody) },
	"held and short":   func(_ *streamGate, req *wire.RunRequest) { req.Body = make([]byte, smallUpload) },
}

// endless is a body without end.
type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }

// attach makes the body of a request a stream of the given size and stated length.
func (sg *streamGate) attach(req *wire.RunRequest, size, length int64) {
	_, req.BodyStream = sg.offer(io.LimitReader(endless{}, size), length)
	req.Body = nil
}

// serveUnread calls respond for each request, after its head was read and while its body is
// still being written.
func serveUnread(t *testing.T, respond func(con *net.TCPConn, id string)) string {
	t.Helper()
	return rawUpstream(t, func(con net.Conn) {
		defer func() { _ = con.Close() }()
		if req, err := http.ReadRequest(bufio.NewReaderSize(con, 512)); err == nil {
			respond(con.(*net.TCPConn), req.Header.Get("X-Id"))
		}
	})
}

// resetConnection ends a connection with a reset.
func resetConnection(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}

// TestResetDuringTheUploadIsNoEnd lets an upstream send a part of a response that ends with
// its connection, and reset the connection while the request is still being written. The
// write may get the reset, after which the read sees an ordinary end. No part of a
// response may reach the caller as a complete one.
func TestResetDuringTheUploadIsNoEnd(t *testing.T) {
	const rounds = 4
	t.Cleanup(runtime.GC) // Other tests measure the heap.
	parts := map[string]string{"head": "", "short": "part", "held": strings.Repeat("p", 300_000), "streamed": strings.Repeat("p", wire.MaxWholeAnswer+200_000)}
	for framing, head := range unframedHeads {
		for kind, upload := range uploads {
			for size, part := range parts {
				t.Run(fmt.Sprintf("%s/%s/%s", framing, kind, size), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					sg := newStreamGate(t, serveUnread(t, func(con *net.TCPConn, id string) {
						_, _ = io.WriteString(con, head+"X-Id: "+id+"\r\n\r\n"+part)
						time.Sleep(5 * time.Millisecond) // The gate waits for the rest, and the upload for the upstream.
						resetConnection(con)
					}))
					for number := range rounds {
						req := streamRequest(fmt.Sprint("a", number))
						upload(sg, &req)
						answer := sg.Run(context.Background(), req)
						if answer.Outcome == outcome.Unknown {
							continue
						}
						is.Equal(answer.Outcome, outcome.Ran)
						time.Sleep(20 * time.Millisecond) // The write gets the reset before the body is read.
						body, err := sg.readEnd(answer)
						if err == nil {
							t.Fatalf("round %d: %d bytes of a response that was cut off count as complete", number, len(body))
						}
					}
				})
			}
		}
	}
}

// TestEarlyResponseIsServed lets an upstream end a response with its connection while the
// request is still being written. The response is complete, whatever happens to the
// connection afterwards. If it is reset at once, the end of a large response may not have
// arrived; then the response counts as cut off.
func TestEarlyResponseIsServed(t *testing.T) {
	t.Cleanup(runtime.GC) // Other tests measure the heap.
	bodies := map[string]string{"empty": "", "short": "whole", "held": strings.Repeat("w", 300_000), "streamed": strings.Repeat("w", wire.MaxWholeAnswer+200_000)}
	ends := map[string]func(con *net.TCPConn, received <-chan struct{}){
		"reads on":  func(con *net.TCPConn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, con) },
		"stays":     func(_ *net.TCPConn, received <-chan struct{}) { <-received },
		"is closed": func(con *net.TCPConn, _ <-chan struct{}) { _ = con.Close() },
		"is reset":  func(con *net.TCPConn, _ <-chan struct{}) { resetConnection(con) },
	}
	for framing, head := range unframedHeads {
		for kind, upload := range uploads {
			for size, whole := range bodies {
				for name, end := range ends {
					t.Run(fmt.Sprintf("%s/%s/%s/%s", framing, kind, size, name), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						received := make(chan struct{}, 1)
						sg := newStreamGate(t, serveUnread(t, func(con *net.TCPConn, id string) {
							_, _ = io.WriteString(con, head+"X-Id: "+id+"\r\n\r\n"+whole)
							_ = con.CloseWrite()
							end(con, received)
						}))
						mayBeCut := len(whole) > len("whole") && (name == "is closed" || name == "is reset")
						req := streamRequest("a")
						upload(sg, &req)
						answer := sg.Run(context.Background(), req)
						if mayBeCut && answer.Outcome == outcome.Unknown {
							return
						}
						is.Equal(answer.Outcome, outcome.Ran)
						body, err := sg.readEnd(answer)
						received <- struct{}{}
						if mayBeCut && err != nil {
							return
						}
						is.NoErr(err)
						is.Equal(len(body), len(whole))
					})
				}
			}
		}
	}
}

// TestFramedResponseThatIsResetIsNoAnswer resets the connection in the middle of responses
// whose end is known, before and after the request was read.
func TestFramedResponseThatIsResetIsNoAnswer(t *testing.T) {
	heads := map[string]string{"with a length": "Content-Length: 9000\r\n\r\npart", "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "without a length": "\r\npart"}
	for framing, start := range heads {
		for _, isLate := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, late %t", framing, isLate), func(t *testing.T) {
				is := is.New(t)
				sg := newStreamGate(t, rawUpstream(t, func(con net.Conn) {
					defer func() { _ = con.Close() }()
					req, err := http.ReadRequest(bufio.NewReader(con))
					if err != nil {
						return
					}
					if isLate {
						_, _ = io.Copy(io.Discard, req.Body)
					}
					_, _ = io.Copy(con, iotest.HalfReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n"+start)))
					time.Sleep(5 * time.Millisecond)
					resetConnection(con.(*net.TCPConn))
				}))
				for number := range 8 {
					req := streamRequest(fmt.Sprint("a", number))
					uploads["stream"](sg, &req)
					is.Equal(sg.Run(context.Background(), req).Outcome, outcome.Unknown)
				}
			})
		}
	}
}

// TestFramedEarlyResponseIsServed resets the connection after responses whose end is known,
// while the request is still being written. Nothing of them is missing.
func TestFramedEarlyResponseIsServed(t *testing.T) {
	for framing, rest := range map[string]string{"with a length": "Content-Length: 5\r\n\r\nwhole", "in chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		for kind, upload := range uploads {
			t.Run(framing+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				sg := newStreamGate(t, serveUnread(t, func(con *net.TCPConn, id string) {
					_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: "+id+"\r\n"+rest)
					time.Sleep(5 * time.Millisecond)
					resetConnection(con)
				}))
				for number := range 4 {
					req := streamRequest(fmt.Sprint("a", number))
					upload(sg, &req)
					answer := sg.Run(context.Background(), req)
					is.Equal(fmt.Sprintf("%s %s", answer.Outcome, answer.Body), "ran whole")
				}
			})
		}
	}
}
