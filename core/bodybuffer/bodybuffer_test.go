package bodybuffer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"cactusstream.example/core/bodybuffer"
)

// endless is a body without end. It counts the bytes that were read from it.
type endless struct{ read int }

func (en *endless) Read(data []byte) (int, error) {
	en.read += len(data)
	return len(data), nil
}

func TestBodyIsReadWhole(t *testing.T) {
	is := is.New(t)
	buf := bodybuffer.New(4 << 20)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 300_000, 1 << 20} {
		want := bytes.Repeat([]byte("x"), size)
		for _, reader := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			body, err := buf.Read(reader, size)
			is.NoErr(err)
			is.True(bytes.Equal(body, want))
			buf.Release(body)
		}
	}
	is.Equal(buf.Used(), 0)
}

func TestEndlessBodyStopsAtItsLimit(t *testing.T) {
	is := is.New(t)
	buf := bodybuffer.New(64 << 20)
	body := &endless{}
	_, err := buf.Read(body, 1<<20)
	is.True(errors.Is(err, bodybuffer.ErrTooLarge))
	is.True(body.read <= 2<<20) // Not more than the capacity after the last step.
	is.Equal(buf.Used(), 0)
}

// TestBodiesShareOneLimit reads endless bodies beside each other and beside one that
// is held. Together they never hold more than the limit, and a small body fits again
// once they have failed.
func TestBodiesShareOneLimit(t *testing.T) {
	is := is.New(t)
	const limit = 2 << 20
	buf := bodybuffer.New(limit)
	held, err := buf.Read(strings.NewReader(strings.Repeat("x", 100_000)), limit)
	is.NoErr(err)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if _, err := buf.Read(&endless{}, 64<<20); !errors.Is(err, bodybuffer.ErrFull) {
				t.Errorf("got %v, want ErrFull", err)
			}
			if used := buf.Used(); used > limit {
				t.Errorf("%d bytes held", used)
			}
		})
	}
	wg.Wait()
	is.Equal(buf.Used(), cap(held))
	buf.Release(held)
	body, err := buf.Read(strings.NewReader("small"), 10)
	is.NoErr(err)
	is.Equal(string(body), "small")
}

func TestBrokenBodyReleasesItsMemory(t *testing.T) {
	is := is.New(t)
	buf := bodybuffer.New(1 << 20)
	_, err := buf.Read(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)), 100)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(buf.Used(), 0)
}
