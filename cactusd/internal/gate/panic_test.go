package gate_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/gate"
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/bodybuffer"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

// errDependency is the value with which dependencies of the gate panic.
var errDependency = errors.New("a dependency of the gate panics")

// panicTimeout limits what a leaked lock or slot would block for ever.
const panicTimeout = 10 * time.Second

// panicker is a dependency of the gate that panics at one of its calls.
type panicker struct{ calls, panicAt atomic.Int64 }

func (pa *panicker) call() {
	if pa.calls.Add(1) == pa.panicAt.Load() {
		panic(errDependency)
	}
}

// arm makes the given next call panic; the first one has number 1. 0 means none.
func (pa *panicker) arm(number int64) {
	pa.calls.Store(0)
	pa.panicAt.Store(number)
}

// panicGate is a gate of which each dependency may panic.
type panicGate struct {
	*gate.Gate
	bodies                                        *bodybuffer.Buffer
	policy, failure, upstreamCount, change, ticks panicker
}

// Now implements clock.Clock.
func (pg *panicGate) Now() time.Time {
	pg.ticks.call()
	return clock.Real{}.Now()
}

func (pg *panicGate) dependency(name string) *panicker {
	return map[string]*panicker{"policy": &pg.policy, "failure": &pg.failure, "count": &pg.upstreamCount, "change": &pg.change, "clock": &pg.ticks}[name]
}

func newPanicGate(t *testing.T, address string) *panicGate {
	t.Helper()
	pg := &panicGate{bodies: bodybuffer.New(testBodyMemory)}
	policy := defaultPolicy()
	pg.Gate = gate.New(gate.Options{
		Bodies: pg.bodies, Clock: pg, Dialect: platformDialect(), Log: events.Discard(), Metrics: metrics.NewRegistry(),
		Policy:          func(string) *settings.Policy { pg.policy.call(); return policy },
		LastCallFailure: func() time.Time { pg.failure.call(); return time.Time{} },
		UpstreamCount:   func(string) int { pg.upstreamCount.call(); return 1 },
		OnChange:        func() { pg.change.call() },
	})
	announce(t, pg.Gate, address, 1)
	return pg
}

// runSafely runs a request and reports whether the gate panicked.
func (pg *panicGate) runSafely(t *testing.T, req wire.RunRequest) (answer wire.RunAnswer, panicked bool) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { panicked = recover() != nil }()
		answer = pg.Run(context.Background(), req)
	}()
	select {
	case <-done:
	case <-time.After(panicTimeout):
		t.Fatal("the gate doesn't answer")
	}
	return answer, panicked
}

// requireUsable checks that the only slot of the upstream is free and that the upstream is
// not blamed.
func (pg *panicGate) requireUsable(t *testing.T, id string) {
	t.Helper()
	is := is.New(t)
	dump := make(chan map[string]any, 1)
	go func() { dump <- pg.Dump()[0] }()
	select {
	case state := <-dump:
		is.Equal(state["running"], 0)
		is.Equal(state["state"], "ready")
		is.Equal(fmt.Sprint(state["waitingByRank"]), "[0 0 0 0]")
	case <-time.After(panicTimeout):
		t.Fatal("a lock is held")
	}
	answer, panicked := pg.runSafely(t, platformRequest(id, true))
	is.True(!panicked)
	is.Equal(answer.Outcome, outcome.Ran)
	is.Equal(pg.bodies.Used(), 0)
}

// TestPanicDuringARunReleasesItsSlot lets each dependency of the gate panic at each of its
// calls during a run, of a request that succeeds, fails or is rejected. Each panic must
// leave the slot free, no lock held and the upstream without blame.
func TestPanicDuringARunReleasesItsSlot(t *testing.T) {
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		status := 200
		if strings.HasPrefix(req.Header.Get("X-Id"), "fails") {
			status = 500
		}
		_, _ = fmt.Fprintf(con, "HTTP/1.1 %d Status\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\nbody", status, req.Header.Get("X-Id"))
		return true
	})
	for _, kind := range []string{"succeeds", "fails", "trial", "retry"} {
		for _, name := range []string{"policy", "failure", "count", "change", "clock"} {
			panics := 0
			for panicked := true; panicked; {
				// Each has a gate of its own, since an upstream that fails gets suspected.
				pg := newPanicGate(t, address)
				pa := pg.dependency(name)
				req := platformRequest(fmt.Sprint(kind, name, panics), true)
				req.Trial, req.Retry = kind == "trial", kind == "retry"
				pa.arm(int64(panics + 1))
				_, panicked = pg.runSafely(t, req)
				pa.arm(0)
				if panicked {
					pg.requireUsable(t, "next")
					panics++
				}
			}
			if panics == 0 && (name == "policy" || name == "clock" || name == "failure" && kind == "fails") {
				t.Errorf("%s: %s did not panic", kind, name)
			}
		}
	}
}

// TestPanicWhileQueuedLeavesTheQueue lets the gate panic while a request waits for the slot
// of another one. It must leave the queue, and no slot may go to it later.
func TestPanicWhileQueuedLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer func() {
		select {
		case <-release:
		default:
			close(release)
		}
	}()
	address, _ := serveScript(t, func(con net.Conn, number int64, req *http.Request) bool {
		if number == 1 {
			<-release
		}
		writeResponse(con, req.Header.Get("X-Id"), "body", "")
		return true
	})
	pg := newPanicGate(t, address)
	first := make(chan wire.RunAnswer, 1)
	go func() { first <- pg.Run(context.Background(), platformRequest("first", true)) }()
	for deadline := time.Now().Add(panicTimeout); pg.Dump()[0]["running"] != 1 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	panics := 0
	for number := int64(1); number < 100; number++ {
		pg.policy.arm(number)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		done := make(chan bool, 1)
		go func() {
			defer func() { done <- recover() != nil }()
			pg.Run(ctx, platformRequest(fmt.Sprint("queued", number), true))
		}()
		panicked := false
		select {
		case panicked = <-done:
		case <-time.After(panicTimeout):
			t.Fatal("the gate doesn't answer")
		}
		cancel()
		pg.policy.arm(0)
		is.Equal(fmt.Sprint(pg.Dump()[0]["waitingByRank"]), "[0 0 0 0]")
		if !panicked {
			break
		}
		panics++
	}
	is.True(panics > 0)
	close(release)
	is.Equal((<-first).Outcome, outcome.Ran)
	pg.requireUsable(t, "last")
}

// TestPanicOfABodySourceEndsItsRequest lets the source of a streamed request body panic in
// the process of the gate. The slot must be free at once, and the upstream without blame.
func TestPanicOfABodySourceEndsItsRequest(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t, func(con net.Conn, _ int64, req *http.Request) bool {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		writeResponse(con, req.Header.Get("X-Id"), "body", "")
		return true
	})
	sg := newStreamGate(t, address)
	req := streamRequest("panics")
	_, req.BodyStream = sg.offer(io.MultiReader(strings.NewReader("start"), panickingReader{}), 1000)
	answer := sg.Run(context.Background(), req)
	is.Equal(answer.Outcome, outcome.Unknown)
	is.Equal(sg.Dump()[0]["running"], 0)
	is.Equal(sg.Dump()[0]["errorRate"], 0.0)
	next := streamRequest("next")
	_, next.BodyStream = sg.offer(iotest.OneByteReader(strings.NewReader("whole")), 5)
	is.Equal(sg.Run(context.Background(), next).Outcome, outcome.Ran)
}

type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic(errDependency) }
