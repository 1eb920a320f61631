package e2e_test

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
	// minPause and maxPause bound the time between the starts of two faults. Most
	// faults last longer, so that they overlap.
	minPause = 50 * time.Millisecond
	maxPause = 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// recoveryTimeout limits how long the fleet may take to serve all requests
	// after the faults: the longest ejection in the example settings plus a restart.
	recoveryTimeout = 30 * time.Second
	// soakMaxAttempts limits how often an operation is sent while keepers fail.
	soakMaxAttempts = 3000
)

// soakCase is an entry of testdata/soak.json: a seed that CI runs, and the failure
// that it once found.
type soakCase struct {
	Seed    uint64 `json:"seed"`
	Seconds int    `json:"seconds"`
	Cause   string `json:"cause"`
}

// soakRun is one run with random faults.
type soakRun struct {
	fl    *fleet
	rng   *rand.Rand
	group sync.WaitGroup

	mu       sync.Mutex
	reserved map[string]bool
	// events lists the injected faults. It is printed if the run fails.
	events  []string
	faults  []injectedFault
	started time.Time
}

// injectedFault is the time in which a process had a fault. The end is zero until then.
type injectedFault struct {
	name       string
	start, end time.Time
}

// soakFault is a kind of fault: target selects a process, inject starts the fault
// and ends it after the duration.
type soakFault struct {
	name   string
	target func(so *soakRun) string
	inject func(so *soakRun, name string, duration time.Duration)
}

// soakFaults returns all kinds of faults. Each is injected from outside the
// processes.
func soakFaults() []soakFault {
	return []soakFault{
		{"kill", (*soakRun).randomProcess, (*soakRun).kill},
		{"stop", (*soakRun).randomProcess, (*soakRun).stop},
		{"pause", (*soakRun).randomProcess, (*soakRun).pause},
		{"tornWrite", (*soakRun).randomKeeper, (*soakRun).tearWrite},
		{"delay", (*soakRun).randomProcess, (*soakRun).delay},
		{"blockInbound", (*soakRun).randomProcess, func(so *soakRun, name string, duration time.Duration) {
			so.setNetworkFault(name, forward.Fault{BlockInbound: true}, duration)
		}},
		{"blockOutbound", (*soakRun).randomProcess, func(so *soakRun, name string, duration time.Duration) {
			so.setNetworkFault(name, forward.Fault{BlockOutbound: true}, duration)
		}},
		{"blockBoth", (*soakRun).randomProcess, func(so *soakRun, name string, duration time.Duration) {
			so.setNetworkFault(name, forward.Fault{BlockInbound: true, BlockOutbound: true}, duration)
		}},
		{"reset", (*soakRun).randomProcess, func(so *soakRun, name string, _ time.Duration) { so.fl.forwarders[name].Reset() }},
		{"upstreamFault", (*soakRun).randomUpstream, (*soakRun).setUpstreamFault},
		{"pauseUpstream", (*soakRun).randomUpstream, (*soakRun).pause},
	}
}

// TestSoak runs random faults with the seeds of testdata/soak.json. If
// CACTUS_SOAK_SEED is set, as `make soak` does, it runs CACTUS_SOAK_COUNT
// consecutive seeds from there instead, each for CACTUS_SOAK_SECONDS.
func TestSoak(t *testing.T) {
	for _, tc := range soakCases(t) {
		t.Run(fmt.Sprintf("seed %d", tc.Seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, tc)
		})
	}
}

func soakCases(t *testing.T) []soakCase {
	t.Helper()
	if os.Getenv("CACTUS_SOAK_SEED") != "" {
		cases := make([]soakCase, intFromEnv(t, "CACTUS_SOAK_COUNT"))
		for at := range cases {
			cases[at] = soakCase{Seed: uint64(intFromEnv(t, "CACTUS_SOAK_SEED") + at), Seconds: intFromEnv(t, "CACTUS_SOAK_SECONDS")}
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

func intFromEnv(t *testing.T, name string) int {
	t.Helper()
	number, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// runSoak injects random faults while callers and operators send requests, and checks
// the invariants during the run and afterwards.
func runSoak(t *testing.T, tc soakCase) {
	fl := newForwardedFleet(t, 3)
	fl.recordRuns = true
	fl.startQuillota(2, 20*time.Millisecond)
	so := &soakRun{fl: fl, rng: rand.New(rand.NewPCG(tc.Seed, 17)), reserved: make(map[string]bool), started: time.Now()}
	defer so.logFaults()
	or := newSoakOrganisations(so)
	so.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	duration := time.Duration(tc.Seconds) * time.Second

	op := newOperator(fl)
	op.maxAttempts = soakMaxAttempts
	stop := make(chan struct{})
	history := make(chan []porcupine.Operation, 1)
	first := fl.settingsVersion()
	go func() { history <- runConcurrentOperators(op, 2, first, stop) }()
	go so.watchVersions(ctx)
	wait := callInBackground(fl, append(or.callers(duration),
		caller.Config{Path: "/catalogo/stock", Rate: 30, Duration: duration},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 30, Duration: duration, Keys: true},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 10, Duration: duration, Keys: true, ClosePerRequest: true},
	)...)
	resends := make(chan []resentKey, 1)
	go func() { resends <- resendKeys(ctx, fl) }()
	rotations := make(chan struct{})
	go func() {
		defer close(rotations)
		or.rotateKeys(ctx)
	}()
	so.injectFaults(duration)
	so.group.Wait()
	reports := wait()
	cancel()
	keys := <-resends
	close(stop)
	<-rotations
	operations := <-history

	for _, rep := range reports {
		t.Logf("%d sent, %d good, outcomes %v, reasons %v", rep.Sent, rep.Good, rep.Outcomes, rep.Reasons)
	}
	so.checkRecovery()
	reports = append(reports, or.checkRecovery()...)
	fl.checkInvariants(reports...)
	removed, changes := or.removals(first)
	or.check(t, reports, removed, confirmationTimes(operations, first))
	runs, _ := fl.runsByKey()
	for _, key := range keys {
		if key.lastNotRun && runs[key.key] > 0 {
			t.Errorf("the last response for key %s has outcome notRun, but it was executed", key.key)
		}
	}
	checkLinearizable(t, operations, changes...)
}

// logFaults logs the injected faults if the run failed.
func (so *soakRun) logFaults() {
	if !so.fl.t.Failed() {
		return
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	so.fl.t.Logf("faults:\n%s", strings.Join(so.events, "\n"))
}

// injectFaults starts random faults until the duration has passed. Each fault ends on
// its own.
func (so *soakRun) injectFaults(duration time.Duration) {
	kinds := soakFaults()
	for time.Since(so.started) < duration {
		time.Sleep(so.randomDuration(minPause, maxPause))
		kind := kinds[so.rng.IntN(len(kinds))]
		name, faultDuration := kind.target(so), so.randomDuration(minFaultDuration, maxFaultDuration)
		if !so.reserve(name) {
			continue // The process already has a fault.
		}
		so.logf("%s %s for %s", kind.name, name, faultDuration)
		so.group.Go(func() {
			defer so.release(name)
			kind.inject(so, name, faultDuration)
			so.logf("%s %s ended", kind.name, name)
		})
	}
}

func (so *soakRun) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(so.rng.Int64N(int64(maximum-minimum)))
}

// logf adds an event with its time since the start of the run.
func (so *soakRun) logf(format string, args ...any) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.events = append(so.events, fmt.Sprintf("%7.3f ", time.Since(so.started).Seconds())+fmt.Sprintf(format, args...))
}

// reserve marks a process as the target of a fault. It returns false if it already
// is one.
func (so *soakRun) reserve(name string) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	if so.reserved[name] {
		return false
	}
	so.reserved[name] = true
	so.faults = append(so.faults, injectedFault{name: name, start: time.Now()})
	return true
}

func (so *soakRun) release(name string) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.reserved[name] = false
	for i := range so.faults {
		if so.faults[i].name == name && so.faults[i].end.IsZero() {
			so.faults[i].end = time.Now()
		}
	}
}

// hadFault reports whether a process had a fault at a time or shortly before.
func (so *soakRun) hadFault(name string, at time.Time) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	return slices.ContainsFunc(so.faults, func(fault injectedFault) bool {
		return fault.name == name && !fault.start.After(at) && (fault.end.IsZero() || at.Sub(fault.end) < faultAftermath)
	})
}

func (so *soakRun) randomKeeper() string { return fmt.Sprintf("k%d", 1+so.rng.IntN(so.fl.keepers)) }

func (so *soakRun) randomProcess() string {
	if so.rng.IntN(2) == 0 {
		return so.randomKeeper()
	}
	return fmt.Sprintf("d%d", 1+so.rng.IntN(3))
}

func (so *soakRun) randomUpstream() string {
	names := make([]string, 0, len(so.fl.upstreams))
	for name := range so.fl.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[so.rng.IntN(len(names))]
}

func (so *soakRun) kill(name string, duration time.Duration) {
	so.fl.kill(name)
	time.Sleep(duration)
	so.fl.restart(name)
}

// stop stops a process gracefully; it has to exit with code 0 in time.
func (so *soakRun) stop(name string, duration time.Duration) {
	so.fl.stop(name)
	time.Sleep(duration / 4)
	so.fl.restart(name)
}

func (so *soakRun) pause(name string, duration time.Duration) {
	so.fl.signal(name, syscall.SIGSTOP)
	time.Sleep(duration)
	so.fl.signal(name, syscall.SIGCONT)
}

// tearWrite kills a keeper and appends part of a record to its log, as a power loss
// during a write after the last sync does.
func (so *soakRun) tearWrite(name string, duration time.Duration) {
	so.fl.kill(name)
	if path := newestLogFile(so.fl.path(name)); path != "" {
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
	time.Sleep(duration)
	so.fl.restart(name)
}

func newestLogFile(dir string) string {
	files, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(files) == 0 {
		return ""
	}
	return slices.MaxFunc(files, func(one, two string) int { return modTime(one).Compare(modTime(two)) })
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// delay delays the traffic to and from a process's peer address.
func (so *soakRun) delay(name string, duration time.Duration) {
	so.setNetworkFault(name, forward.Fault{Delay: duration / 40}, duration)
}

func (so *soakRun) setNetworkFault(name string, fault forward.Fault, duration time.Duration) {
	so.fl.forwarders[name].Set(fault)
	time.Sleep(duration)
	so.fl.forwarders[name].Set(forward.Fault{})
}

// setUpstreamFault makes an upstream misbehave in one of its fault kinds.
func (so *soakRun) setUpstreamFault(name string, duration time.Duration) {
	kinds := []upstream.FaultKind{upstream.FaultError, upstream.FaultStall, upstream.FaultTruncate, upstream.FaultDuplicate, upstream.FaultShed, upstream.FaultCut, upstream.FaultLate, upstream.FaultSlow}
	so.fl.setFault(name, upstream.Fault{Kind: kinds[int(duration)%len(kinds)], Share: 0.8, Factor: 5})
	time.Sleep(duration)
	so.fl.setFault(name, upstream.Fault{Kind: upstream.FaultNone})
}

// watchVersions checks that no daemon reverts to older settings unless it restarts.
func (so *soakRun) watchVersions(ctx context.Context) {
	type seen struct {
		version, uptime float64
	}
	last := make(map[string]seen)
	op := newOperator(so.fl)
	op.client.Timeout = time.Second
	for ctx.Err() == nil {
		for number := 1; number <= 3; number++ {
			address := so.fl.daemonIP(number) + ":7101"
			status, fields := op.send(address, http.MethodGet, "/v1/status", nil)
			version, ok := fields["settingsVersion"].(float64)
			if status != http.StatusOK || !ok {
				continue
			}
			now := seen{version: version, uptime: fields["uptimeSeconds"].(float64)}
			if before := last[address]; now.uptime >= before.uptime && now.version < before.version {
				so.fl.t.Errorf("d%d reverted from settings version %.0f to %.0f", number, before.version, now.version)
			}
			last[address] = now
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkRecovery checks that all requests succeed again after the faults have ended.
func (so *soakRun) checkRecovery() {
	so.fl.t.Helper()
	const count = 30
	for _, cfg := range []caller.Config{
		{Path: "/catalogo/stock", Count: count, Workers: 3},
		{Method: "POST", Path: "/corte/order", Count: count, Workers: 3, Keys: true},
	} {
		took := so.fl.eventually(recoveryTimeout, cfg.Path+" requests succeed", func() bool { return so.fl.call(cfg).Good == count })
		so.logf("%s requests succeeded after %s", cfg.Path, took)
	}
}
