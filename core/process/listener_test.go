package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func answerWhole(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "whole") }

var errRefused = errors.New("refused")

// askOnce makes a connection of its own and asks on it.
func askOnce(address string) error {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return errRefused
	}
	defer func() { _ = con.Close() }()
	if _, err := io.WriteString(con, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		return fmt.Errorf("cut: %w", err)
	}
	answer, err := io.ReadAll(con)
	if err != nil {
		return fmt.Errorf("cut: %w", err)
	}
	if !strings.HasSuffix(string(answer), "whole") {
		return fmt.Errorf("cut: %q", answer)
	}
	return nil
}

// TestRefuseNewKeepsWhatWaits makes connections that nobody accepts, and then
// refuses new ones.
func TestRefuseNewKeepsWhatWaits(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.77.0.200:18080")
	is.NoErr(err)
	lis := opened.(*net.TCPListener)
	defer func() { _ = lis.Close() }()
	for range 5 {
		con, err := net.Dial("tcp", lis.Addr().String())
		is.NoErr(err)
		defer func() { _ = con.Close() }()
	}
	is.NoErr(refuseNew(lis))
	is.Equal(askOnce(lis.Addr().String()), errRefused)
	for range 5 {
		con, err := lis.Accept()
		is.NoErr(err)
		is.NoErr(con.Close())
	}
}

// TestShutdownAnswersEveryConnectionThatWasMade stops a server while callers
// connect without a pause. A connection that was made gets its answer; later
// ones are refused.
func TestShutdownAnswersEveryConnectionThatWasMade(t *testing.T) {
	for round := range 20 {
		// The port is not one that the kernel gives out, or a caller might
		// connect to itself once nobody listens.
		address := fmt.Sprintf("127.77.0.%d:18080", round+1)
		srv := NewServer(address, http.HandlerFunc(answerWhole), nil)
		if err := srv.Start(); err != nil {
			t.Fatal(err)
		}
		var answered atomic.Int64
		var stopped atomic.Bool
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for !stopped.Load() {
					switch err := askOnce(address); {
					case err == nil:
						answered.Add(1)
					case !errors.Is(err, errRefused):
						t.Errorf("round %d: %v", round, err)
					}
				}
			})
		}
		for answered.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if err := srv.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		stopped.Store(true)
		group.Wait()
	}
}
