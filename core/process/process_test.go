package process

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestRepeatedSIGTERMDoesNotForceTheExit guards against a stop that a repeated SIGTERM
// cuts short, with the requests in flight. Only SIGINT forces the exit.
func TestRepeatedSIGTERMDoesNotForceTheExit(t *testing.T) {
	signals, forced := make(chan os.Signal), make(chan struct{})
	go func() {
		waitForInterrupt(signals)
		close(forced)
	}()
	for range 3 { // Each is received, so the wait goes on.
		select {
		case signals <- syscall.SIGTERM:
		case <-time.After(5 * time.Second):
			t.Fatal("a repeated SIGTERM forced the exit")
		}
	}
	signals <- os.Interrupt
	<-forced
}
