package events_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
)

// blockedWriter blocks every Write until released is closed, like a pipe whose reader
// has stopped reading.
type blockedWriter struct{ released chan struct{} }

func (bl *blockedWriter) Write(data []byte) (int, error) {
	<-bl.released
	return len(data), nil
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	blocked := &blockedWriter{released: make(chan struct{})}
	writer := events.NewAsyncWriter(blocked)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			_, _ = io.WriteString(writer, "a line\n")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the reader does not read")
	}
	is.True(writer.Dropped() > 0)
	writer.Close(0)
	close(blocked.released)
}

func TestLimitKeepsWarningsAndFailedRequestsLongest(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := events.NewLogger("json", "info", &out)
	is.NoErr(err)
	log = log.WithRateLimit(10)
	for range 100 {
		log.Write(events.RequestEnded, nil)
	}
	log.Write(events.RequestFailed, logrus.Fields{"request": "r1"})
	log.Write(events.UpstreamSick, nil)
	is.Equal(strings.Count(out.String(), "requestEnded"), 7)
	is.Equal(strings.Count(out.String(), "requestFailed"), 1)
	is.Equal(strings.Count(out.String(), "upstreamSick"), 1)
	time.Sleep(1100 * time.Millisecond)
	log.Write(events.RequestEnded, nil)
	is.True(strings.Contains(out.String(), "linesLeftOut")) // Logged in the next second.
	is.True(strings.Contains(out.String(), `"lines":93`))
}
