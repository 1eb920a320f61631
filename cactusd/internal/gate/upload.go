package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/stream"
)

// maxChunkHead is the largest size of the line before a chunk, in bytes.
const maxChunkHead = 16

// upload is the body of a request that is fetched from the ingress while it is sent to the
// upstream.
type upload struct {
	reader *stream.Reader
	length int64
	// stopped is set when the rest of the body isn't needed.
	stopped atomic.Bool
	// failure is the error with which the fetching ended.
	failure atomic.Pointer[error]
}

// errHeadOnly ends the writing of a request after its head.
var errHeadOnly = errors.New("the body follows")

// fetchBody begins to fetch the body of a request.
func (up *upstreamClient) fetchBody(ctx context.Context, body *wire.Stream) (*upload, error) {
	if up.streams == nil {
		return nil, errors.New("this daemon doesn't fetch streams")
	}
	reader, err := up.streams.Open(ctx, body.Address, body.Token)
	if err != nil {
		return nil, err
	}
	return &upload{reader: reader, length: body.Length}, nil
}

// stop ends the fetching of a body that isn't needed any more. It has no effect on one
// that was fetched to its end.
func (up *upload) stop() {
	up.stopped.Store(true)
	_ = up.reader.Close()
}

// sourceError returns the error with which the fetching ended, or nil.
func (up *upload) sourceError() error {
	if err := up.failure.Load(); err != nil {
		return fmt.Errorf("the body of the request: %w", *err)
	}
	return nil
}

// writeHead writes the head of a request.
func (up *upload) writeHead(buf *bytes.Buffer, hreq *http.Request) error {
	head, body := *hreq, &headOnly{}
	head.Body = io.NopCloser(body)
	head.ContentLength = up.length
	if up.length < 0 {
		head.TransferEncoding = []string{"chunked"}
	}
	if err := head.Write(buf); err != nil && !body.reached {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// headOnly is a body that ends the writing of a request once its head is written. net/http
// wraps the error in a type that can't be unwrapped.
type headOnly struct{ reached bool }

// Read returns errHeadOnly.
func (he *headOnly) Read([]byte) (int, error) {
	he.reached = true
	return 0, errHeadOnly
}

// send copies the body to the upstream after the head. If the fetching fails, it also
// ends the reading of the response, for which the upstream would wait for the rest.
func (up *upload) send(con net.Conn) error {
	unblock := context.AfterFunc(up.reader.Context(), func() {
		if !up.stopped.Load() {
			_ = con.SetDeadline(time.Unix(1, 0))
		}
	})
	defer unblock()
	buf := make([]byte, maxChunkHead+stream.BufferSize+len(crlf))
	var sent int64
	for {
		count, err := up.reader.Read(buf[maxChunkHead : maxChunkHead+stream.BufferSize])
		if err != nil && !errors.Is(err, io.EOF) && !up.stopped.Load() {
			up.failure.Store(&err)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("send body: %w", err)
		}
		sent += int64(count)
		if _, err := con.Write(up.frame(buf, count)); err != nil {
			return fmt.Errorf("send body: %w", err)
		}
		if errors.Is(err, io.EOF) {
			return up.finish(con, sent)
		}
	}
}

// crlf ends the lines of chunked coding.
const crlf = "\r\n"

// frame returns the part of a buffer to send, whose bytes from maxChunkHead on are those of
// the body. It adds the framing of a chunk if the body has no length.
func (up *upload) frame(buf []byte, count int) []byte {
	if up.length >= 0 || count == 0 {
		return buf[maxChunkHead : maxChunkHead+count]
	}
	head := strconv.AppendInt(nil, int64(count), 16)
	head = append(head, crlf...)
	start := maxChunkHead - len(head)
	copy(buf[start:], head)
	end := maxChunkHead + count
	copy(buf[end:], crlf)
	return buf[start : end+len(crlf)]
}

// finish sends what ends the body.
func (up *upload) finish(con net.Conn, sent int64) error {
	if up.length >= 0 && sent != up.length {
		err := fmt.Errorf("%d bytes instead of %d", sent, up.length)
		up.failure.Store(&err)
		_ = con.SetDeadline(time.Unix(1, 0))
		return err
	}
	if up.length >= 0 {
		return nil
	}
	if _, err := io.WriteString(con, "0\r\n\r\n"); err != nil {
		return fmt.Errorf("send body: %w", err)
	}
	return nil
}
