package stream_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/stream"
)

const (
	fetchTimeout = 200 * time.Millisecond
	stallTimeout = 300 * time.Millisecond
	// waitTimeout limits each wait for an event that must happen.
	waitTimeout = 20 * time.Second
)

// fixture is a registry that offers bodies and one that fetches them.
type fixture struct {
	offering, fetching *stream.Registry
	address            string
}

func newFixture(t testing.TB, edits ...func(*stream.Options)) *fixture {
	t.Helper()
	opts := stream.Options{
		Address: "127.0.0.1:1", Log: events.Discard(), Metrics: metrics.NewRegistry(), Tokens: auth.NewTokens("a-token-for-the-tests"),
		OnUnauthorized: func(*http.Request) {}, FetchTimeout: fetchTimeout, StallTimeout: stallTimeout,
	}
	for _, edit := range edits {
		edit(&opts)
	}
	fi := &fixture{offering: stream.New(opts)}
	opts.Address = "127.0.0.1:2"
	fi.fetching = stream.New(opts)
	srv := httptest.NewServer(fi.offering)
	t.Cleanup(srv.Close)
	t.Cleanup(fi.offering.Close)
	t.Cleanup(fi.fetching.Close)
	fi.address = strings.TrimPrefix(srv.URL, "http://")
	return fi
}

// offer offers a body and returns the channel that gets the error of its end.
func (fi *fixture) offer(reader io.Reader, length int64) (*stream.Offer, <-chan error) {
	ended := make(chan error, 2)
	return fi.offering.Offer(stream.Body{Reader: reader, Length: length, Direction: stream.Answer, OnEnd: func(err error) { ended <- err }}), ended
}

// openers returns the two ways to reach a body: over a connection, and in the same
// process.
func (fi *fixture) openers() map[string]func(token string) (*stream.Reader, error) {
	return map[string]func(string) (*stream.Reader, error){
		"remote": func(token string) (*stream.Reader, error) {
			return fi.fetching.Open(context.Background(), fi.address, token)
		},
		"local": func(token string) (*stream.Reader, error) {
			return fi.offering.Open(context.Background(), fi.offering.Address(), token)
		},
	}
}

func awaitEnd(t *testing.T, ended <-chan error) error {
	t.Helper()
	select {
	case err := <-ended:
		return err
	case <-time.After(waitTimeout):
		t.Fatal("the stream does not end")
		return nil
	}
}

// TestBodyArrivesWhole checks bodies of several sizes and framings. Each ends once.
func TestBodyArrivesWhole(t *testing.T) {
	fi := newFixture(t)
	for name, open := range fi.openers() {
		for _, size := range []int64{0, 1, stream.BufferSize, 3_000_000} {
			for _, length := range []int64{size, -1} {
				t.Run(fmt.Sprint(name, size, length), func(t *testing.T) {
					is := is.New(t)
					want := make([]byte, size)
					_, _ = rand.Read(want)
					of, ended := fi.offer(bytes.NewReader(want), length)
					rd, err := open(of.Token)
					is.NoErr(err)
					got, err := io.ReadAll(rd)
					is.NoErr(err)
					is.True(bytes.Equal(got, want))
					is.NoErr(awaitEnd(t, ended))
					is.NoErr(rd.Close())
					is.True(of.Withdraw())
					is.Equal(len(ended), 0)
				})
			}
		}
	}
	is.New(t).Equal(len(fi.offering.Dump())+len(fi.fetching.Dump()), 0)
}

// TestBodyThatBreaksOff checks that a body whose source fails never looks complete, with
// and without a length.
func TestBodyThatBreaksOff(t *testing.T) {
	fi := newFixture(t)
	broken := errors.New("broken")
	for name, open := range fi.openers() {
		for _, length := range []int64{1 << 20, -1} {
			for _, sent := range []int{0, 10, 100_000} {
				t.Run(fmt.Sprint(name, length, "/", sent), func(t *testing.T) {
					is := is.New(t)
					of, ended := fi.offer(io.MultiReader(strings.NewReader(strings.Repeat("x", sent)), iotest.ErrReader(broken)), length)
					rd, err := open(of.Token)
					is.NoErr(err)
					_, err = io.ReadAll(rd)
					is.True(err != nil)
					err = awaitEnd(t, ended)
					is.True(errors.Is(err, stream.ErrSource))
					is.True(errors.Is(err, broken))
				})
			}
		}
	}
}

// TestBodyOfKnownLengthNeedsNoEnd checks that a body is complete with its last byte, also if
// its source tells its end later. The peer closes the connection before that, which must not
// count as an abort.
func TestBodyOfKnownLengthNeedsNoEnd(t *testing.T) {
	fi := newFixture(t)
	for name, open := range fi.openers() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := &blocked{done: make(chan struct{})}
			defer close(source.done)
			of, ended := fi.offer(io.MultiReader(strings.NewReader("body"), source), 4)
			rd, err := open(of.Token)
			is.NoErr(err)
			got, err := io.ReadAll(rd)
			is.NoErr(err)
			is.Equal(string(got), "body")
			is.NoErr(rd.Close())
			is.NoErr(awaitEnd(t, ended))
		})
	}
}

// TestBodyShorterThanItsLength checks that a source that ends too early is an error.
func TestBodyShorterThanItsLength(t *testing.T) {
	fi := newFixture(t)
	for name, open := range fi.openers() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			of, ended := fi.offer(strings.NewReader("body"), 5)
			rd, err := open(of.Token)
			is.NoErr(err)
			_, err = io.ReadAll(rd)
			is.True(err != nil)
			is.True(errors.Is(awaitEnd(t, ended), stream.ErrSource))
		})
	}
}

// TestBodyIsFetchedOnce checks that a body can't be fetched a second time, and not at all
// once it was withdrawn: a request would run twice, or with a part of its body.
func TestBodyIsFetchedOnce(t *testing.T) {
	fi := newFixture(t)
	for name, open := range fi.openers() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			of, _ := fi.offer(strings.NewReader("body"), 4)
			rd, err := open(of.Token)
			is.NoErr(err)
			_, err = open(of.Token)
			is.True(errors.Is(err, stream.ErrUnknown))
			_, err = io.ReadAll(rd)
			is.NoErr(err)
			is.True(of.Withdraw()) // It was taken.

			source := strings.NewReader("body")
			of, ended := fi.offer(source, 4)
			is.True(!of.Withdraw())
			is.True(errors.Is(awaitEnd(t, ended), stream.ErrWithdrawn))
			_, err = open(of.Token)
			is.True(errors.Is(err, stream.ErrUnknown))
			is.Equal(source.Len(), 4)
		})
	}
}

// TestBodyThatIsNotFetched checks that an offer ends, which frees the slot of an upstream
// whose answer nobody fetches.
func TestBodyThatIsNotFetched(t *testing.T) {
	fi := newFixture(t)
	_, ended := fi.offer(strings.NewReader("body"), 4)
	is.New(t).True(errors.Is(awaitEnd(t, ended), stream.ErrNotFetched))
}

// blocked is a source that blocks until it is closed.
type blocked struct{ done chan struct{} }

func (bl *blocked) Read([]byte) (int, error) {
	<-bl.done
	return 0, io.ErrClosedPipe
}

// endless is a source without end.
type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }

// TestStalls checks that a stream ends when its source or its reader makes no progress,
// and that the two are told apart: only the first is the fault of an upstream.
func TestStalls(t *testing.T) {
	fi := newFixture(t)
	for name, open := range fi.openers() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := &blocked{done: make(chan struct{})}
			ended := make(chan error, 1)
			of := fi.offering.Offer(stream.Body{Reader: source, Length: -1, Direction: stream.Answer, OnEnd: func(err error) {
				close(source.done)
				ended <- err
			}})
			rd, err := open(of.Token)
			is.NoErr(err)
			_, err = io.ReadAll(rd)
			is.True(err != nil)
			if err := awaitEnd(t, ended); name == "remote" || !errors.Is(err, stream.ErrPeer) { // Locally, both sides have a timer.
				is.True(errors.Is(err, stream.ErrSourceStalled) || errors.Is(err, stream.ErrPeer))
			}

			of, ended2 := fi.offer(endless{}, -1)
			rd, err = open(of.Token)
			is.NoErr(err)
			defer func() { _ = rd.Close() }()
			_, err = io.ReadFull(rd, make([]byte, 10))
			is.NoErr(err)
			err = awaitEnd(t, ended2) // The reader stops to read.
			is.True(errors.Is(err, stream.ErrStalled) || errors.Is(err, stream.ErrPeer))
		})
	}
}

// TestReaderThatLeaves checks that the source ends soon after its reader was closed or its
// context has ended, also while no bytes flow.
func TestReaderThatLeaves(t *testing.T) {
	fi := newFixture(t, func(opts *stream.Options) { opts.FetchTimeout, opts.StallTimeout = waitTimeout, waitTimeout })
	for name, open := range fi.openers() {
		for _, isBlocked := range []bool{false, true} {
			t.Run(fmt.Sprint(name, isBlocked), func(t *testing.T) {
				is := is.New(t)
				source, ended := &blocked{done: make(chan struct{})}, make(chan error, 1)
				body := stream.Body{Reader: source, Length: -1, Direction: stream.Answer, OnEnd: func(err error) {
					close(source.done)
					ended <- err
				}}
				if !isBlocked {
					body.Reader = endless{}
				}
				of := fi.offering.Offer(body)
				rd, err := open(of.Token)
				is.NoErr(err)
				ctx, cancel := context.WithCancel(context.Background())
				rd.Follow(ctx)
				cancel()
				is.True(errors.Is(awaitEnd(t, ended), stream.ErrPeer))
				_, err = rd.Read(make([]byte, 1))
				is.True(errors.Is(err, context.Canceled))
			})
		}
	}
}

// TestOpenRespectsContext checks that the deadline of a request also ends the wait for a
// body, and that following another context lifts it.
func TestOpenRespectsContext(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t, func(opts *stream.Options) { opts.StallTimeout = waitTimeout })
	ctx, cancel := context.WithCancel(context.Background())
	of, _ := fi.offer(strings.NewReader("body"), 4)
	rd, err := fi.fetching.Open(ctx, fi.address, of.Token)
	is.NoErr(err)
	rd.Follow(context.Background())
	cancel()
	time.Sleep(20 * time.Millisecond)
	got, err := io.ReadAll(rd)
	is.NoErr(err)
	is.Equal(string(got), "body")
	_, err = fi.fetching.Open(ctx, fi.address, of.Token)
	is.True(errors.Is(err, context.Canceled))
}

// TestOpenWithEndedContextTakesNothing guards against a request that has ended and still takes
// a body, which nobody can fetch then.
func TestOpenWithEndedContextTakesNothing(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		of, _ := fi.offer(strings.NewReader("body"), 4)
		for registry, address := range map[*stream.Registry]string{fi.fetching: fi.address, fi.offering: fi.offering.Address()} {
			_, err := registry.Open(ctx, address, of.Token)
			is.True(errors.Is(err, context.Canceled))
			is.True(!of.IsTaken())
		}
	}
}

// TestCredentials checks that a token alone gives no access to a body.
func TestCredentials(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t)
	of, _ := fi.offer(strings.NewReader("body"), 4)
	resp, err := http.Get("http://" + fi.address + stream.Path + of.Token)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	is.True(!of.IsTaken())
}

// TestCloseEndsStreams checks that a process that stops ends its streams, and that nothing
// begins afterwards.
func TestCloseEndsStreams(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t, func(opts *stream.Options) { opts.FetchTimeout, opts.StallTimeout = waitTimeout, waitTimeout })
	of, ended := fi.offer(endless{}, -1)
	rd, err := fi.fetching.Open(context.Background(), fi.address, of.Token)
	is.NoErr(err)
	_, waiting := fi.offer(endless{}, -1)
	fi.offering.Close()
	is.True(errors.Is(awaitEnd(t, ended), stream.ErrStopped))
	is.True(errors.Is(awaitEnd(t, waiting), stream.ErrStopped))
	_, err = io.Copy(io.Discard, rd)
	is.True(err != nil)
	_, late := fi.offer(endless{}, -1)
	is.True(errors.Is(awaitEnd(t, late), stream.ErrStopped))
	fi.fetching.Close()
	_, err = fi.fetching.Open(context.Background(), fi.address, "x")
	is.True(errors.Is(err, stream.ErrStopped))
}

// TestDrainWaitsForStreams checks that Drain returns only when the last body was written.
func TestDrainWaitsForStreams(t *testing.T) {
	is := is.New(t)
	fi := newFixture(t, func(opts *stream.Options) { opts.StallTimeout = waitTimeout })
	pipe, into := io.Pipe()
	of, _ := fi.offer(pipe, -1)
	rd, err := fi.fetching.Open(context.Background(), fi.address, of.Token)
	is.NoErr(err)
	drained := make(chan struct{})
	go func() {
		fi.offering.Drain(nil)
		close(drained)
	}()
	_, _ = into.Write([]byte("bo"))
	select {
	case <-drained:
		t.Fatal("drained in the middle of a body")
	case <-time.After(50 * time.Millisecond):
	}
	go func() {
		_, _ = into.Write([]byte("dy"))
		_ = into.Close()
	}()
	got, err := io.ReadAll(rd)
	is.NoErr(err)
	is.Equal(string(got), "body")
	<-drained
}

// TestReaderMayBeSlowerThanTheSource guards against a body that ends with the stall time-out
// of its source while its reader, which has a longer one, is slow. A source that goes silent
// afterwards must still end it.
func TestReaderMayBeSlowerThanTheSource(t *testing.T) {
	fi := newFixture(t, func(opts *stream.Options) { opts.ReaderTimeout = waitTimeout })
	for name, open := range fi.openers() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const size = 16 << 20 // More than the buffers on the way hold.
			silent, into := io.Pipe()
			defer func() { _ = into.Close() }()
			of, ended := fi.offer(io.MultiReader(io.LimitReader(endless{}, size), silent), -1)
			rd, err := open(of.Token)
			is.NoErr(err)
			defer func() { _ = rd.Close() }()
			for range 3 {
				_, err = io.CopyN(io.Discard, rd, stream.BufferSize)
				is.NoErr(err)
				time.Sleep(2 * stallTimeout)
			}
			_, err = io.CopyN(io.Discard, rd, size-3*stream.BufferSize)
			is.NoErr(err)
			began := time.Now()
			failed := make(chan error, 1)
			go func() {
				_, err := rd.Read(make([]byte, 1))
				failed <- err
			}()
			err = awaitEnd(t, ended)
			is.True(errors.Is(err, stream.ErrSourceStalled) || errors.Is(err, stream.ErrPeer)) // Either side may be first.
			is.True(time.Since(began) < waitTimeout/2)
			is.NoErr(into.Close()) // Ends a Read in progress, as the owner of a source does.
			is.True(<-failed != nil)
		})
	}
}

// BenchmarkTransfer measures the throughput of a body of 64 MiB over one stream.
func BenchmarkTransfer(b *testing.B) {
	fi := newFixture(b, func(opts *stream.Options) { opts.FetchTimeout, opts.StallTimeout = waitTimeout, waitTimeout })
	const size = 64 << 20
	b.SetBytes(size)
	for b.Loop() {
		of, _ := fi.offer(io.LimitReader(endless{}, size), size)
		rd, err := fi.fetching.Open(context.Background(), fi.address, of.Token)
		if err != nil {
			b.Fatal(err)
		}
		if count, err := io.Copy(io.Discard, rd); err != nil || count != size {
			b.Fatal(count, err)
		}
		_ = rd.Close()
	}
}

// panickingReader panics after some bytes.
type panickingReader struct{ source io.Reader }

func (pa panickingReader) Read(data []byte) (int, error) {
	count, err := pa.source.Read(data)
	if err != nil {
		panic("the source of a body")
	}
	return count, nil
}

// TestPanicOfASourceEndsItsStream guards against a body that stays offered, and holds what its
// owner has for it, until the stall timeout, and against an incomplete body that looks
// complete. The owner may panic as well.
func TestPanicOfASourceEndsItsStream(t *testing.T) {
	const stall = time.Minute
	fi := newFixture(t, func(opts *stream.Options) { opts.StallTimeout = stall })
	for name, open := range fi.openers() {
		for _, ownerPanics := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ownerPanics), func(t *testing.T) {
				is := is.New(t)
				ended := make(chan error, 2)
				of := fi.offering.Offer(stream.Body{Reader: panickingReader{strings.NewReader("start")}, Length: -1, Direction: stream.Answer, OnEnd: func(err error) {
					ended <- err
					if ownerPanics {
						panic("the owner of a body")
					}
				}})
				rd, err := open(of.Token)
				is.NoErr(err)
				defer func() { _ = rd.Close() }()
				read := make(chan error, 1)
				go func() {
					defer func() {
						if value := recover(); value != nil {
							read <- fmt.Errorf("panic: %v", value) // The source is in the same process.
						}
					}()
					_, err := io.ReadAll(rd)
					read <- err
				}()
				is.True(errors.Is(awaitEnd(t, ended), stream.ErrPanicked))
				is.True(awaitEnd(t, read) != nil)
				done := make(chan struct{})
				defer time.AfterFunc(waitTimeout, func() { close(done) }).Stop()
				fi.offering.Drain(done)
				select {
				case <-done:
					t.Error("the body is still offered")
				default:
				}
			})
		}
	}
}
