// Package e2e_test holds end-to-end tests that run the real programs on
// loopback addresses and inject failures. `make test` builds the programs into
// bin first.
package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactusstream.example/standin/internal/caller"
	"cactusstream.example/standin/internal/forward"
	"cactusstream.example/standin/internal/upstream"
)

// fleet is a small fleet of real processes with a temporary directory. Each fleet
// has its own subnet: keepers listen on 127.X.1.N and daemons on 127.X.2.N.
type fleet struct {
	t       *testing.T
	bin     string
	dir     string
	subnet  int
	keepers int

	// mu protects processes, since tests start and stop processes concurrently.
	mu        sync.Mutex
	processes map[string]*process

	upstreams map[string]*simulatedUpstream
	lastPort  int
	// recordRuns makes upstreams record their runs for recordedRuns.
	recordRuns bool
	// forwarders holds the forwarder in front of each process's peer address, by
	// process name. It is nil if processes connect to each other directly.
	forwarders map[string]*forward.Forwarder
}

type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	// logSize is the size of the log when the process was started.
	logSize int64
}

type simulatedUpstream struct {
	id, control string
}

var subnets struct {
	sync.Mutex
	next int
}

// newFleet starts a fleet that consists of keepers only.
func newFleet(t *testing.T, keepers int) *fleet {
	t.Helper()
	return newFleetWithForwarders(t, keepers, nil)
}

// newForwardedFleet is newFleet with a forwarder in front of each process's peer
// address.
func newForwardedFleet(t *testing.T, keepers int) *fleet {
	t.Helper()
	forwarders := make(map[string]*forward.Forwarder)
	t.Cleanup(func() {
		for _, fwd := range forwarders {
			fwd.Close()
		}
	})
	return newFleetWithForwarders(t, keepers, forwarders)
}

func newFleetWithForwarders(t *testing.T, keepers int, forwarders map[string]*forward.Forwarder) *fleet {
	t.Helper()
	bin, err := filepath.Abs("../../../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(bin, "cactusd")); err != nil {
		t.Fatalf("programs not found in bin; run `make build`: %v", err)
	}
	subnets.Lock()
	subnets.next++
	fl := &fleet{t: t, bin: bin, dir: t.TempDir(), subnet: 10 + subnets.next, keepers: keepers, processes: make(map[string]*process), upstreams: make(map[string]*simulatedUpstream), forwarders: forwarders}
	subnets.Unlock()
	t.Cleanup(fl.killAll)
	fl.mustRun("cactuskeeper", "keygen", "--out", fl.path("keys"))
	for number := 1; number <= keepers; number++ {
		fl.configureKeeper(number)
		fl.mustRun("cactuskeeper", "init", "--config", fl.path(fmt.Sprintf("k%d.ini", number)))
		fl.startKeeper(number)
	}
	return fl
}

// newQuillotaFleet starts three keepers, one daemon in each of three
// availability zones and, for each daemon, count upstreams of each of two
// services. Settings and claim holders are in force when it returns.
func newQuillotaFleet(t *testing.T, count int, latency time.Duration) *fleet {
	t.Helper()
	return newFleet(t, 3).startQuillota(count, latency)
}

// startQuillota adds the processes of newQuillotaFleet other than keepers to a
// fleet.
func (fl *fleet) startQuillota(count int, latency time.Duration) *fleet {
	fl.t.Helper()
	for number := 1; number <= 3; number++ {
		fl.startDaemon(number)
	}
	for number := 1; number <= 3; number++ {
		for at := 1; at <= count; at++ {
			fl.startUpstream(fmt.Sprintf("stock%d%d", number, at), "catalogo", number, latency)
			fl.startUpstream(fmt.Sprintf("cutter%d%d", number, at), "corte", number, latency)
		}
	}
	fl.eventually(20*time.Second, "three daemons are alive", func() bool {
		return strings.Count(fl.ctlOutput("status", "--output", "json"), `"Program": "cactusd"`) == 3
	})
	fl.applyExample()
	fl.ctl("claims", "assign", "--reason", "test", "--wait")
	fl.eventually(20*time.Second, "all upstreams are ready", func() bool {
		return strings.Count(fl.ctlOutput("upstreams", "--output", "json"), `"State": "ready"`) == 6*count
	})
	fl.eventually(20*time.Second, "claim holders vote", func() bool {
		return fl.call(caller.Config{Method: "POST", Path: "/corte/order", Count: 3, Keys: true}).Good == 3
	})
	return fl
}

// applyExample applies the example settings of Quillota, with the floors lowered
// for the small pools of the test fleet.
func (fl *fleet) applyExample() {
	fl.t.Helper()
	data, err := os.ReadFile("../../../examples/quillota.ini")
	if err != nil {
		fl.t.Fatal(err)
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "floorEndpoints") {
			lines[i] = "floorEndpoints = 2"
		}
	}
	path := fl.path("quillota.ini")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		fl.t.Fatal(err)
	}
	fl.ctl("settings", "apply", path, "--reason", "test", "--wait")
}

func (fl *fleet) path(name string) string { return filepath.Join(fl.dir, name) }

func (fl *fleet) keeperIP(number int) string { return fmt.Sprintf("127.%d.1.%d", fl.subnet, number) }

func (fl *fleet) daemonIP(number int) string { return fmt.Sprintf("127.%d.2.%d", fl.subnet, number) }

func (fl *fleet) keeperAddresses(port int) string {
	var list []string
	for number := 1; number <= fl.keepers; number++ {
		list = append(list, fmt.Sprintf("%s:%d", fl.keeperIP(number), port))
	}
	return strings.Join(list, ",")
}

func (fl *fleet) callerAddresses() []string {
	var list []string
	for number := 1; number <= 3; number++ {
		list = append(list, fl.daemonIP(number)+":8080")
	}
	return list
}

// daemonAt returns the name of the daemon that listens on an address for callers.
func (fl *fleet) daemonAt(address string) string {
	return fmt.Sprintf("d%d", 1+slices.Index(fl.callerAddresses(), address))
}

func (fl *fleet) writeFile(name, text string) {
	fl.t.Helper()
	if err := os.WriteFile(fl.path(name), []byte(text), 0o600); err != nil {
		fl.t.Fatal(err)
	}
}

func (fl *fleet) configureKeeper(number int) {
	var initial []string
	for other := 1; other <= fl.keepers; other++ {
		initial = append(initial, fmt.Sprintf("k%d %s:7000 %s:7001", other, fl.keeperIP(other), fl.keeperIP(other)))
	}
	fl.writeFile(fmt.Sprintf("k%d.ini", number), fmt.Sprintf(`[process]
id = k%d
zone = zone-%d
[listen]
peers = %s:7000
%soperators = %s:7001
[credentials]
fleetTokens = %s
operatorTokens = %s
[keeper]
dataFolder = %s
signingKey = %s
initial = %s
`, number, number, fl.keeperIP(number), fl.addForwarder(fmt.Sprintf("k%d", number), fl.keeperIP(number)+":7000"), fl.keeperIP(number), fl.path("keys/fleet.token"), fl.path("keys/operator.token"),
		fl.path(fmt.Sprintf("k%d", number)), fl.path("keys/signing.key"), strings.Join(initial, ", ")))
}

// addForwarder starts a forwarder on the peer address of a process. It returns the
// setting that makes the process listen on the address behind the forwarder.
func (fl *fleet) addForwarder(name, address string) string {
	fl.t.Helper()
	if fl.forwarders == nil {
		return ""
	}
	behind := fmt.Sprintf("127.%d.3.%d:7200", fl.subnet, len(fl.forwarders)+1)
	fwd, err := forward.New(address, behind)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.forwarders[name] = fwd
	return "peersListen = " + behind + "\n"
}

func (fl *fleet) startKeeper(number int) {
	fl.t.Helper()
	name := fmt.Sprintf("k%d", number)
	fl.start(name, "cactuskeeper", "run", "--config", fl.path(name+".ini"))
}

func (fl *fleet) startDaemon(number int) {
	fl.t.Helper()
	name, ip := fmt.Sprintf("d%d", number), fl.daemonIP(number)
	fl.writeFile(name+".ini", fmt.Sprintf(`[process]
id = %s
zone = zone-%d
firm = quillota
place = cl-centro
[listen]
callers = %s:8080
peers = %s:7100
%soperators = %s:7101
[fleet]
keepers = %s
seeds = %s:7100,%s:7100
[claims]
clockSkew = 1s
[credentials]
fleetTokens = %s
operatorTokens = %s
serviceTokens = %s
upstreamTokens = %s
settingsKeys = %s
`, name, number, ip, ip, fl.addForwarder(name, ip+":7100"), ip, fl.keeperAddresses(7000), fl.daemonIP(1), fl.daemonIP(2), fl.path("keys/fleet.token"), fl.path("keys/operator.token"),
		fl.path("keys/service.token"), fl.path("keys/upstream.token"), fl.path("keys/signing.pub")))
	fl.start(name, "cactusd", "run", "--config", fl.path(name+".ini"))
}

func (fl *fleet) startUpstream(id, service string, daemon int, latency time.Duration) {
	fl.t.Helper()
	fl.lastPort++
	ip := fl.daemonIP(daemon)
	control := fmt.Sprintf("%s:%d", ip, 10000+fl.lastPort)
	fl.upstreams[id] = &simulatedUpstream{id: id, control: control}
	fl.start(id, "standin", "upstream", "--id", id, "--service", service, "--address", fmt.Sprintf("%s:%d", ip, 9000+fl.lastPort),
		"--control", control, "--daemon", ip+":7101", "--token-file", fl.path("keys/upstream.token"), "--latency", latency.String(), fmt.Sprintf("--record-runs=%t", fl.recordRuns))
}

// start starts a program and keeps it under the name, also for restart.
func (fl *fleet) start(name, program string, args ...string) {
	fl.t.Helper()
	log, err := os.OpenFile(fl.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fl.t.Fatal(err)
	}
	logSize, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		fl.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(fl.bin, program), args...)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		fl.t.Fatal(err)
	}
	pr := &process{name: name, args: append([]string{program}, args...), cmd: cmd, done: make(chan struct{}), logSize: logSize}
	fl.mu.Lock()
	fl.processes[name] = pr
	fl.mu.Unlock()
	go func() {
		pr.err = cmd.Wait()
		_ = log.Close()
		close(pr.done)
	}()
}

// process returns the process that was last started under a name.
func (fl *fleet) process(name string) *process {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.processes[name]
}

// restart starts a process that has ended again, with the same arguments.
func (fl *fleet) restart(name string) {
	fl.t.Helper()
	args := fl.process(name).args
	fl.start(name, args[0], args[1:]...)
}

func (fl *fleet) signal(name string, sig syscall.Signal) {
	fl.t.Helper()
	if err := fl.process(name).cmd.Process.Signal(sig); err != nil {
		fl.t.Fatalf("signal %s: %v", name, err)
	}
}

// kill ends a process with SIGKILL, as a VM failure does.
func (fl *fleet) kill(name string) {
	fl.t.Helper()
	fl.signal(name, syscall.SIGKILL)
	<-fl.process(name).done
}

// crashAndPause kills and restarts one daemon, and then pauses another for two seconds.
func (fl *fleet) crashAndPause() {
	fl.t.Helper()
	time.Sleep(time.Second)
	fl.kill("d2")
	time.Sleep(2 * time.Second)
	fl.restart("d2")
	time.Sleep(3 * time.Second)
	fl.signal("d3", syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	fl.signal("d3", syscall.SIGCONT)
}

// stop sends SIGTERM and checks that the process exits with code 0 within 25 s. If the
// signal comes so soon after the start that the process can't handle it yet, it may end
// the process, which has logged nothing by then.
func (fl *fleet) stop(name string) {
	fl.t.Helper()
	fl.signal(name, syscall.SIGTERM)
	select {
	case <-fl.process(name).done:
	case <-time.After(25 * time.Second):
		fl.t.Fatalf("%s did not exit within 25 s after SIGTERM", name)
	}
	if err := fl.process(name).err; err != nil && !fl.endedBeforeItRan(name) {
		fl.t.Fatalf("%s exited with an error: %v", name, err)
	}
}

// endedBeforeItRan reports whether SIGTERM ended a process before it had logged anything.
func (fl *fleet) endedBeforeItRan(name string) bool {
	pr := fl.process(name)
	status, ok := pr.cmd.ProcessState.Sys().(syscall.WaitStatus)
	info, err := os.Stat(fl.path(name + ".log"))
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && err == nil && info.Size() == pr.logSize
}

func (fl *fleet) killAll() {
	for _, pr := range fl.processes {
		_ = pr.cmd.Process.Signal(syscall.SIGCONT)
		_ = pr.cmd.Process.Kill()
		<-pr.done
	}
	if fl.t.Failed() {
		for _, name := range []string{"d1", "k1"} {
			data, _ := os.ReadFile(fl.path(name + ".log"))
			fl.t.Logf("%s:\n%s", name, data[max(0, len(data)-3000):])
		}
	}
}

// run runs a program until it exits and returns its combined output.
func (fl *fleet) run(program string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(fl.bin, program), args...)
	cmd.Env = append(os.Environ(),
		"CACTUS_KEEPERS="+fl.keeperAddresses(7001),
		"CACTUS_DAEMONS="+fl.daemonIP(1)+":7101,"+fl.daemonIP(2)+":7101",
		"CACTUS_TOKEN_FILE="+fl.path("keys/operator.token"))
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), err
}

// mustRun is run for a program that has to succeed.
func (fl *fleet) mustRun(program string, args ...string) string {
	fl.t.Helper()
	out, err := fl.run(program, args...)
	if err != nil {
		fl.t.Fatalf("%s %s: %v\n%s", program, strings.Join(args, " "), err, out)
	}
	return out
}

// ctl runs cactusctl, which has to succeed, and returns its output.
func (fl *fleet) ctl(args ...string) string {
	fl.t.Helper()
	return fl.mustRun("cactusctl", args...)
}

// ctlOutput runs cactusctl and returns its output even if it fails.
func (fl *fleet) ctlOutput(args ...string) string {
	out, _ := fl.run("cactusctl", args...)
	return out
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// eventually waits until the condition holds and returns how long that took. It
// fails the test after the timeout.
func (fl *fleet) eventually(timeout time.Duration, description string, condition func() bool) time.Duration {
	fl.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > timeout {
			fl.t.Fatalf("condition not met after %s: %s", timeout, description)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(started)
}

// call sends requests, to all daemons unless the config sets targets.
func (fl *fleet) call(cfg caller.Config) caller.Report {
	fl.t.Helper()
	if cfg.Targets == nil {
		cfg.Targets = fl.callerAddresses()
	}
	if cfg.Method == "" {
		cfg.Method = http.MethodGet
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = 15 * time.Second
	}
	rep, err := caller.Run(context.Background(), cfg)
	if err != nil {
		fl.t.Fatal(err)
	}
	return rep
}

func (fl *fleet) setFault(id string, fault upstream.Fault) {
	fl.t.Helper()
	data, err := json.Marshal(fault)
	if err != nil {
		fl.t.Fatal(err)
	}
	resp, err := http.Post("http://"+fl.upstreams[id].control+"/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		fl.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// runsByKey returns how often each key was executed by the running upstreams, and
// the sum of some of their counters.
func (fl *fleet) runsByKey() (map[string]int, upstream.Counts) {
	fl.t.Helper()
	runs := make(map[string]int)
	var all upstream.Counts
	for _, up := range fl.upstreams {
		resp, err := http.Get("http://" + up.control + "/counts?keys=1")
		if err != nil {
			continue
		}
		var counts upstream.Counts
		err = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		if err != nil {
			fl.t.Fatal(err)
		}
		for key, times := range counts.ByKey {
			runs[key] += times
		}
		all.Runs += counts.Runs
		all.OverSlots += counts.OverSlots
		all.AfterLeave += counts.AfterLeave
	}
	return runs, all
}

// recordedRuns returns the runs that the running upstreams have recorded.
func (fl *fleet) recordedRuns() []upstream.Run {
	fl.t.Helper()
	var all []upstream.Run
	for _, up := range fl.upstreams {
		resp, err := http.Get("http://" + up.control + "/runs")
		if err != nil {
			fl.t.Fatal(err)
		}
		var runs []upstream.Run
		err = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		if err != nil {
			fl.t.Fatal(err)
		}
		all = append(all, runs...)
	}
	return all
}

// checkRuns checks the invariants and that no upstream received more concurrent
// requests than it has slots.
func (fl *fleet) checkRuns(reports ...caller.Report) {
	fl.t.Helper()
	if fl.checkInvariants(reports...).OverSlots > 0 {
		fl.t.Error("an upstream received more concurrent requests than it has slots")
	}
}

// checkInvariants checks what has to hold under every fault: no key was executed
// twice, no key with outcome notRun was executed, and every response belongs to
// its request.
func (fl *fleet) checkInvariants(reports ...caller.Report) upstream.Counts {
	fl.t.Helper()
	runs, all := fl.runsByKey()
	for key, times := range runs {
		if times > 1 {
			fl.t.Errorf("key %s was executed %d times", key, times)
		}
	}
	for _, rep := range reports {
		for _, key := range rep.NotRunKeys {
			if runs[key] > 0 {
				fl.t.Errorf("key %s has outcome notRun but was executed", key)
			}
		}
		if rep.WrongAnswers > 0 {
			fl.t.Errorf("%d responses were incomplete or belonged to another request", rep.WrongAnswers)
		}
	}
	return all
}
