package bodybuffer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"cactusstream.example/core/bodybuffer"
)

// TestStartAndRestAreTheBody reads bodies around the limit. The start and the rest must
// have every byte once, and there must be no rest of a body within the limit.
func TestStartAndRestAreTheBody(t *testing.T) {
	is := is.New(t)
	buf := bodybuffer.New(4 << 20)
	const limit = 64 << 10
	for _, size := range []int{0, 1, limit - 1, limit, limit + 1, limit + 2, 300_000} {
		want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, reader := range []io.Reader{bytes.NewReader(want), iotest.OneByteReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			start, rest, err := buf.ReadStart(nil, reader, limit)
			is.NoErr(err)
			is.Equal(rest != nil, size > limit)
			got := bytes.Clone(start)
			if rest != nil {
				more, err := io.ReadAll(rest)
				is.NoErr(err)
				got = append(got, more...)
			}
			is.True(bytes.Equal(got, want))
			buf.Release(start)
		}
	}
	is.Equal(buf.Used(), 0)
}

// TestStartOfABrokenBody checks that an error of the source is never taken for the end.
func TestStartOfABrokenBody(t *testing.T) {
	is := is.New(t)
	buf := bodybuffer.New(4 << 20)
	broken := errors.New("broken")
	for _, size := range []int{0, 99, 100} {
		_, _, err := buf.ReadStart(nil, io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(broken)), 100)
		is.True(errors.Is(err, broken))
	}
	is.Equal(buf.Used(), 0)
}

// TestStartThatDoesNotFit checks that a full buffer leaves a body to be read on, and that
// what is held counts.
func TestStartThatDoesNotFit(t *testing.T) {
	is := is.New(t)
	buf := bodybuffer.New(1 << 20)
	held := make([]byte, 1<<20)
	buf.Hold(held)
	is.Equal(buf.Used(), 1<<20)
	start, rest, err := buf.ReadStart(nil, bytes.NewReader([]byte("body")), 100)
	is.NoErr(err)
	is.Equal(len(start), 0)
	got, err := io.ReadAll(rest)
	is.NoErr(err)
	is.Equal(string(got), "body")
	buf.Release(held)
	is.Equal(buf.Used(), 0)
}
