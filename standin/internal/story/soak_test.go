package story_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cactusstream.example/standin/internal/caller"
	"cactusstream.example/standin/internal/forward"
	"cactusstream.example/standin/internal/upstream"
)

const (
	// leastPause and mostPause are the time between two faults; most faults last
	// longer, so that they overlap.
	leastPause = 50 * time.Millisecond
	mostPause  = 900 * time.Millisecond
	// leastFault and mostFault are how long a fault lasts.
	leastFault = 200 * time.Millisecond
	mostFault  = 4 * time.Second
	// recoveryBound is how long the fleet may take to serve everything again: the
	// longest ejection of the example's settings and a restart.
	recoveryBound = 30 * time.Second
	// soakPatience is how often an operation is tried while keepers fail.
	soakPatience = 3000
)

// soakCase is a line of testdata/soak.json: a seed that CI plays, and why.
type soakCase struct {
	Seed    uint64 `json:"seed"`
	Seconds int    `json:"seconds"`
	Cause   string `json:"cause"`
}

// soak is one run of random faults.
type soak struct {
	fl    *fleet
	rng   *rand.Rand
	group sync.WaitGroup

	mu   sync.Mutex
	busy map[string]bool
	// log is what was done, for a run that fails.
	log   []string
	began time.Time
}

// fault is one kind of fault: on whom, and what begins and ends it.
type fault struct {
	name string
	on   func(so *soak) string
	run  func(so *soak, name string, lasts time.Duration)
}

// soakFaults are all kinds, from outside of the processes.
func soakFaults() []fault {
	return []fault{
		{"kill", (*soak).anyProcess, (*soak).kill},
		{"stop", (*soak).anyProcess, (*soak).stop},
		{"pause", (*soak).anyProcess, (*soak).pause},
		{"tornLog", (*soak).anyKeeper, (*soak).tearLog},
		{"delay", (*soak).anyProcess, (*soak).delay},
		{"silentIn", (*soak).anyProcess, func(so *soak, name string, lasts time.Duration) {
			so.cut(name, forward.Fault{SilentIn: true}, lasts)
		}},
		{"silentOut", (*soak).anyProcess, func(so *soak, name string, lasts time.Duration) {
			so.cut(name, forward.Fault{SilentOut: true}, lasts)
		}},
		{"silent", (*soak).anyProcess, func(so *soak, name string, lasts time.Duration) {
			so.cut(name, forward.Fault{SilentIn: true, SilentOut: true}, lasts)
		}},
		{"reset", (*soak).anyProcess, func(so *soak, name string, _ time.Duration) { so.fl.forwards[name].Reset() }},
		{"upstream", (*soak).anyUpstream, (*soak).misbehave},
		{"pauseUpstream", (*soak).anyUpstream, (*soak).pause},
	}
}

// TestSoak plays the seeds of testdata/soak.json, or those that the environment
// names: CACTUS_SOAK_COUNT seeds from CACTUS_SOAK_SEED on, each for
// CACTUS_SOAK_SECONDS. `make soak` sets them.
func TestSoak(t *testing.T) {
	for _, tc := range soakCases(t) {
		t.Run(fmt.Sprintf("seed %d", tc.Seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, tc)
		})
	}
}

func soakCases(t *testing.T) []soakCase {
	t.Helper()
	if os.Getenv("CACTUS_SOAK_SEED") != "" {
		cases := make([]soakCase, numberOf(t, "CACTUS_SOAK_COUNT"))
		for at := range cases {
			cases[at] = soakCase{Seed: uint64(numberOf(t, "CACTUS_SOAK_SEED") + at), Seconds: numberOf(t, "CACTUS_SOAK_SECONDS")}
		}
		return cases
	}
	data, err := os.ReadFile("testdata/soak.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []soakCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

func numberOf(t *testing.T, name string) int {
	t.Helper()
	number, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// playSoak lets callers and operators go on while faults come and go, and checks
// the promises while it runs and after it.
func playSoak(t *testing.T, tc soakCase) {
	fl := newForwardedFleet(t, 3).serveQuillota(2, 20*time.Millisecond)
	so := &soak{fl: fl, rng: rand.New(rand.NewPCG(tc.Seed, 17)), busy: make(map[string]bool), began: time.Now()}
	defer so.logFaults()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lasts := time.Duration(tc.Seconds) * time.Second

	op := newOperator(fl)
	op.patience = soakPatience
	stop := make(chan struct{})
	history := make(chan []porcupine.Operation, 1)
	first := fl.version()
	go func() { history <- race(op, 2, first, stop) }()
	go so.watchVersions(ctx)
	wait := background(fl,
		caller.Config{Path: "/catalogo/stock", Rate: 30, Duration: lasts},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 30, Duration: lasts, Keys: true},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 10, Duration: lasts, Keys: true, ClosePerRequest: true},
	)
	resends := make(chan []resent, 1)
	go func() { resends <- resendKeys(ctx, fl) }()
	so.play(lasts)
	so.group.Wait()
	reports := wait()
	cancel()
	keys := <-resends
	close(stop)

	for _, rep := range reports {
		t.Logf("%d sent, %d good, outcomes %v, reasons %v", rep.Sent, rep.Good, rep.Outcomes, rep.Reasons)
	}
	so.checkRecovery()
	fl.checkPromises(reports...)
	runs, _ := fl.runsByKey()
	for _, key := range keys {
		if key.notRunLast && runs[key.key] > 0 {
			t.Errorf("%s was last said not to have run, and ran", key.key)
		}
	}
	checkHistory(t, <-history)
}

// logFaults tells what was done in a run that failed.
func (so *soak) logFaults() {
	if !so.fl.t.Failed() {
		return
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	so.fl.t.Logf("faults:\n%s", strings.Join(so.log, "\n"))
}

// play begins faults for a time; each ends by itself.
func (so *soak) play(lasts time.Duration) {
	kinds := soakFaults()
	for time.Since(so.began) < lasts {
		time.Sleep(so.between(leastPause, mostPause))
		kind := kinds[so.rng.IntN(len(kinds))]
		name, length := kind.on(so), so.between(leastFault, mostFault)
		if !so.take(name) {
			continue // Another fault has it; the same process may be hit next.
		}
		so.note("%s %s for %s", kind.name, name, length)
		so.group.Go(func() {
			defer so.release(name)
			kind.run(so, name, length)
			so.note("%s %s is over", kind.name, name)
		})
	}
}

func (so *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(so.rng.Int64N(int64(most-least)))
}

func (so *soak) note(format string, args ...any) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.log = append(so.log, fmt.Sprintf("%7.3f ", time.Since(so.began).Seconds())+fmt.Sprintf(format, args...))
}

func (so *soak) take(name string) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	if so.busy[name] {
		return false
	}
	so.busy[name] = true
	return true
}

func (so *soak) release(name string) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.busy[name] = false
}

func (so *soak) anyKeeper() string { return fmt.Sprintf("k%d", 1+so.rng.IntN(so.fl.keepers)) }

func (so *soak) anyProcess() string {
	if so.rng.IntN(2) == 0 {
		return so.anyKeeper()
	}
	return fmt.Sprintf("d%d", 1+so.rng.IntN(3))
}

func (so *soak) anyUpstream() string {
	names := make([]string, 0, len(so.fl.ups))
	for name := range so.fl.ups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[so.rng.IntN(len(names))]
}

func (so *soak) kill(name string, lasts time.Duration) {
	so.fl.kill(name)
	time.Sleep(lasts)
	so.fl.restart(name)
}

// stop is a planned stop: it ends within its bound, with 0.
func (so *soak) stop(name string, lasts time.Duration) {
	so.fl.stop(name)
	time.Sleep(lasts / 4)
	so.fl.restart(name)
}

func (so *soak) pause(name string, lasts time.Duration) {
	so.fl.signal(name, syscall.SIGSTOP)
	time.Sleep(lasts)
	so.fl.signal(name, syscall.SIGCONT)
}

// tearLog kills a keeper and leaves a write that came after its last sync in
// part, as a loss of power does.
func (so *soak) tearLog(name string, lasts time.Duration) {
	so.fl.kill(name)
	if path := newestSegment(so.fl.path(name)); path != "" {
		file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			so.fl.t.Error(err)
			return
		}
		_, err = file.Write([]byte{0, 0, 1, 44, 7, 7, 7})
		if err == nil {
			err = file.Close()
		}
		if err != nil {
			so.fl.t.Error(err)
		}
	}
	time.Sleep(lasts)
	so.fl.restart(name)
}

func newestSegment(dir string) string {
	files, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(files) == 0 {
		return ""
	}
	return slices.MaxFunc(files, func(one, two string) int { return modified(one).Compare(modified(two)) })
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (so *soak) delay(name string, lasts time.Duration) {
	so.cut(name, forward.Fault{Delay: lasts / 40}, lasts)
}

func (so *soak) cut(name string, fault forward.Fault, lasts time.Duration) {
	so.fl.forwards[name].Set(fault)
	time.Sleep(lasts)
	so.fl.forwards[name].Set(forward.Fault{})
}

// misbehave gives an upstream one of its own faults.
func (so *soak) misbehave(name string, lasts time.Duration) {
	kinds := []upstream.FaultKind{upstream.FaultError, upstream.FaultStall, upstream.FaultTruncate, upstream.FaultDuplicate, upstream.FaultShed, upstream.FaultCut, upstream.FaultLate, upstream.FaultSlow}
	so.fl.fault(name, upstream.Fault{Kind: kinds[int(lasts)%len(kinds)], Share: 0.8, Factor: 5})
	time.Sleep(lasts)
	so.fl.fault(name, upstream.Fault{Kind: upstream.FaultNone})
}

// watchVersions sees that no process goes back to older settings while it runs.
func (so *soak) watchVersions(ctx context.Context) {
	type seen struct {
		version, uptime float64
	}
	last := make(map[string]seen)
	op := newOperator(so.fl)
	op.client.Timeout = time.Second
	for ctx.Err() == nil {
		for number := 1; number <= 3; number++ {
			address := so.fl.daemonIP(number) + ":7101"
			status, fields := op.ask(address, http.MethodGet, "/v1/status", nil)
			version, ok := fields["settingsVersion"].(float64)
			if status != http.StatusOK || !ok {
				continue
			}
			now := seen{version: version, uptime: fields["uptimeSeconds"].(float64)}
			if before := last[address]; now.uptime >= before.uptime && now.version < before.version {
				so.fl.t.Errorf("d%d went back from settings %.0f to %.0f", number, before.version, now.version)
			}
			last[address] = now
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkRecovery sees that everything is served again once all faults are over.
func (so *soak) checkRecovery() {
	so.fl.t.Helper()
	const count = 30
	for _, cfg := range []caller.Config{
		{Path: "/catalogo/stock", Count: count, Workers: 3},
		{Method: "POST", Path: "/corte/order", Count: count, Workers: 3, Keys: true},
	} {
		took := so.fl.eventually(recoveryBound, cfg.Path+" is served again", func() bool { return so.fl.call(cfg).Good == count })
		so.note("%s was served again after %s", cfg.Path, took)
	}
}
