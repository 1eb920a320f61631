package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/matryer/is"
)

// operator is an HTTP client of the keepers that reads and changes settings.
type operator struct {
	fl     *fleet
	token  string
	client *http.Client
	// lastDecider is the index of the keeper that last gave a final response.
	lastDecider atomic.Int64
	// maxAttempts limits how often an operation is sent until a keeper gives a
	// final response.
	maxAttempts int
}

// operationInput and operationOutput describe one operation of a history: a change
// that expects a version, or a read confirmed by a quorum.
type operationInput struct {
	isRead bool
	id     string
	expect uint64
}

type operationOutput struct {
	accepted bool
	version  uint64
}

func newOperator(fl *fleet) *operator {
	data, err := os.ReadFile(fl.path("keys/operator.token"))
	if err != nil {
		fl.t.Fatal(err)
	}
	return &operator{fl: fl, token: strings.TrimSpace(string(data)), client: &http.Client{Timeout: 7 * time.Second}, maxAttempts: 200}
}

// send sends one request and returns the status and the fields of the response. The
// status is 0 if there is no response.
func (op *operator) send(address, method, path string, body any) (int, map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Authorization", "Bearer "+op.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := op.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var fields map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&fields)
	return resp.StatusCode, fields
}

// sendUntilDecided sends a request to the keepers in turn until one gives a final
// response. A change with an unknown result is sent again with the same id, which
// is what the interface requires of operators.
func (op *operator) sendUntilDecided(method, path string, body any) (int, map[string]any, bool) {
	addresses := strings.Split(op.fl.keeperAddresses(7001), ",")
	first := int(op.lastDecider.Load())
	for attempt := 0; attempt < op.maxAttempts; attempt++ {
		index := (first + attempt) % len(addresses)
		status, fields := op.send(addresses[index], method, path, body)
		switch status {
		case http.StatusOK, http.StatusConflict, http.StatusBadRequest:
			op.lastDecider.Store(int64(index))
			return status, fields, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, nil, false
}

func (op *operator) change(in operationInput, value string) (operationOutput, bool) {
	status, fields, ok := op.sendUntilDecided(http.MethodPost, "/v1/settings/changes", map[string]any{
		"id": in.id, "expectVersion": in.expect, "author": "test", "reason": "concurrent change",
		"edits": []map[string]any{{"path": "quillota", "key": "deadline", "value": value}},
	})
	if !ok || status == http.StatusBadRequest {
		return operationOutput{}, false
	}
	if status == http.StatusConflict {
		return operationOutput{version: uint64(fields["version"].(float64))}, true
	}
	return operationOutput{accepted: true, version: uint64(fields["change"].(map[string]any)["version"].(float64))}, true
}

func (op *operator) read() (operationOutput, bool) {
	_, fields, ok := op.sendUntilDecided(http.MethodGet, "/v1/settings/tree?fresh=true", nil)
	if !ok {
		return operationOutput{}, false
	}
	return operationOutput{version: uint64(fields["version"].(float64))}, true
}

// settingsModel models the settings as a single register: a change is accepted if
// it expects the current version, and increments it.
var settingsModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(operationInput), output.(operationOutput)
		switch {
		case in.isRead:
			return out.version == version, version
		case out.accepted:
			return in.expect == version && out.version == version+1, version + 1
		}
		return out.version == version && in.expect != version, version
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// runConcurrentOperators lets several operators change and read the settings until
// stop is closed. Operators often expect the same version. It returns the history
// with versions relative to first.
func runConcurrentOperators(op *operator, operators int, first uint64, stop <-chan struct{}) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range operators {
		group.Go(func() {
			version := first
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				in := operationInput{isRead: number%5 == 4, id: uuid.NewString(), expect: version}
				called := time.Now().UnixNano()
				var out operationOutput
				var ok bool
				if in.isRead {
					out, ok = op.read()
				} else {
					out, ok = op.change(in, fmt.Sprintf("%dms", 1000+number))
				}
				if !ok {
					op.fl.t.Error("an operation received no final response")
					return
				}
				version = out.version
				in.expect -= first
				out.version -= first
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: time.Now().UnixNano()})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

// checkLinearizable checks that the history is linearizable, together with changes that
// others made meanwhile. A change of the history itself must have been accepted.
func checkLinearizable(t *testing.T, history []porcupine.Operation, others ...porcupine.Operation) {
	t.Helper()
	accepted := 0
	for _, op := range history {
		if op.Output.(operationOutput).accepted {
			accepted++
		}
	}
	t.Logf("%d operations, %d changes accepted", len(history), accepted)
	if accepted == 0 {
		t.Fatal("no change was accepted")
	}
	if res := porcupine.CheckOperationsTimeout(settingsModel, append(history, others...), time.Minute); res != porcupine.Ok {
		t.Fatalf("history is not linearizable: %s", res)
	}
}

// leader returns the name of the current leader, or "" if there is none.
func (fl *fleet) leader() string {
	var status struct {
		Keepers []struct {
			ID     string
			Leader bool
		}
	}
	if json.Unmarshal([]byte(fl.ctlOutput("keepers", "status", "--output", "json")), &status) != nil {
		return ""
	}
	for _, keeper := range status.Keepers {
		if keeper.Leader {
			return keeper.ID
		}
	}
	return ""
}

// settingsVersion returns the current version of the settings, or 0 if no keeper
// responds.
func (fl *fleet) settingsVersion() uint64 {
	out, ok := newOperator(fl).read()
	if !ok {
		return 0
	}
	return out.version
}

// TestConcurrentOperators pauses and kills the leading keeper while operators change
// settings concurrently, often expecting the same version, and resend changes with
// an unknown result. The history has to be linearizable.
func TestConcurrentOperators(t *testing.T) {
	for _, keepers := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d keepers", keepers), func(t *testing.T) {
			fl := newFleet(t, keepers)
			fl.eventually(10*time.Second, "the settings are initialised", func() bool { return fl.settingsVersion() > 0 })
			op := newOperator(fl)
			stop := make(chan struct{})
			done := make(chan []porcupine.Operation, 1)
			first := fl.settingsVersion()
			go func() { done <- runConcurrentOperators(op, 4, first, stop) }()
			time.Sleep(time.Second)
			var paused string
			fl.eventually(10*time.Second, "there is a leader", func() bool {
				paused = fl.leader()
				return paused != ""
			})
			fl.signal(paused, syscall.SIGSTOP) // Paused until after another leader is elected.
			time.Sleep(3 * time.Second)
			fl.signal(paused, syscall.SIGCONT)
			time.Sleep(time.Second)
			for range 2 {
				victim := fl.leader()
				if victim == "" {
					victim = "k1"
				}
				fl.kill(victim)
				time.Sleep(1500 * time.Millisecond)
				fl.restart(victim)
				time.Sleep(time.Second)
			}
			close(stop)
			checkLinearizable(t, <-done)
		})
	}
}

// TestLostDiskIsReplaced replaces a keeper whose data is lost. The replacement has
// to count toward the quorum as soon as the operator's command returns.
func TestLostDiskIsReplaced(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 3)
	fl.eventually(10*time.Second, "the settings are initialised", func() bool { return fl.settingsVersion() > 0 })
	fl.ctl("settings", "set", "root", "rank", "1", "--reason", "before the loss")
	fl.kill("k2")
	is.NoErr(os.RemoveAll(fl.path("k2")))
	_, err := fl.run("cactuskeeper", "run", "--config", fl.path("k2.ini"))
	is.Equal(exitCode(err), 1) // A keeper without an identity must not start.
	id := strings.TrimSpace(fl.mustRun("cactuskeeper", "init", "--join", "--config", fl.path("k2.ini")))
	fl.restart("k2")
	fl.ctl("keepers", "replace", "k2", id, fl.keeperIP(2)+":7000", fl.keeperIP(2)+":7001")
	fl.kill("k3") // A second VM fails right after the replacement.
	fl.ctl("settings", "set", "root", "rank", "3", "--reason", "after the second loss")
	is.Equal(strings.TrimSpace(fl.ctl("settings", "get", "root", "rank")), "3")
	log := fl.ctl("settings", "log", "--output", "json")
	is.True(strings.Contains(log, "before the loss"))
}

// TestOldIdentityWithoutItsDiskIsRefused restarts a keeper under its old name with
// an empty data folder. The other keepers must reject it: it has lost its votes
// and log entries, so its vote could lose accepted changes.
func TestOldIdentityWithoutItsDiskIsRefused(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 3)
	fl.eventually(10*time.Second, "the settings are initialised", func() bool { return fl.settingsVersion() > 0 })
	fl.ctl("settings", "set", "root", "rank", "1", "--reason", "accepted")
	time.Sleep(time.Second) // Until all keepers have learned each other's identities.
	fl.kill("k2")
	fl.kill("k3")
	is.NoErr(os.RemoveAll(fl.path("k2")))
	fl.mustRun("cactuskeeper", "init", "--config", fl.path("k2.ini")) // The operator's mistake: init instead of init --join.
	fl.restart("k2")
	time.Sleep(3 * time.Second)
	_, err := fl.run("cactusctl", "settings", "set", "root", "rank", "0", "--reason", "no quorum", "--timeout", "3s")
	is.Equal(exitCode(err), 1) // k1 alone has no quorum, since it rejects k2.
	log, err := os.ReadFile(fl.path("k1.log"))
	is.NoErr(err)
	is.True(strings.Contains(string(log), "keeperStranger"))
}

// TestDamagedLogFileIsRejectedAndNamed checks that a keeper with a damaged log file
// doesn't start and reports the file and position.
func TestDamagedLogFileIsRejectedAndNamed(t *testing.T) {
	cases := []struct {
		name   string
		damage func(t *testing.T, path string)
	}{
		{"truncated", func(t *testing.T, path string) {
			info, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.Truncate(path, info.Size()/2); err != nil {
				t.Fatal(err)
			}
		}},
		{"a flipped bit", func(t *testing.T, path string) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			data[len(data)/3] ^= 8
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
		}},
	}
	fl := newFleet(t, 3)
	fl.eventually(10*time.Second, "the settings are initialised", func() bool { return fl.settingsVersion() > 0 })
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			name := fmt.Sprintf("k%d", i+1)
			fl.stop(name)
			logs, err := filepath.Glob(fl.path(name + "/log-*"))
			is.NoErr(err)
			is.Equal(len(logs), 1)
			tc.damage(t, logs[0])
			out, err := fl.run("cactuskeeper", "run", "--config", fl.path(name+".ini"))
			is.Equal(exitCode(err), 1)
			is.True(strings.Contains(out, filepath.Base(logs[0])+" at byte")) // The error names the file and position.
			if i == 0 {
				is.NoErr(os.RemoveAll(fl.path(name)))
				id := strings.TrimSpace(fl.mustRun("cactuskeeper", "init", "--join", "--config", fl.path(name+".ini")))
				fl.restart(name)
				fl.ctl("keepers", "replace", name, id, fl.keeperIP(1)+":7000", fl.keeperIP(1)+":7001")
			}
		})
	}
}

// TestRestartAfterHundredsOfChanges makes more changes than the keepers keep in
// their log while a keeper and a daemon are down. Both have to catch up from a
// snapshot, and a resent change still has to get its first response.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 3)
	for number := 1; number <= 3; number++ {
		fl.startDaemon(number)
	}
	fl.eventually(15*time.Second, "the settings are initialised", func() bool { return fl.settingsVersion() > 0 })
	op := newOperator(fl)
	fl.kill("k3")
	fl.kill("d3")
	for number := range 2300 { // More than the keepers keep in their log.
		in := operationInput{id: fmt.Sprintf("change-%d", number), expect: uint64(number) + 1}
		out, ok := op.change(in, fmt.Sprintf("%dms", 1000+number))
		is.True(ok && out.accepted)
	}
	fl.restart("k3")
	fl.restart("d3")
	last := uint64(2301)
	fl.eventually(10*time.Second, "all keepers and daemons have the latest version", func() bool {
		return strings.Count(fl.ctlOutput("status", "--output", "json"), fmt.Sprintf(`"SettingsVersion": %d`, last)) == 6
	})
	for number := 1; number <= 2; number++ { // k3, which had to catch up, has to form the quorum with the other one.
		fl.stop(fmt.Sprintf("k%d", number))
		fl.restart(fmt.Sprintf("k%d", number))
	}
	again, ok := op.change(operationInput{id: "change-7", expect: 8}, "1007ms")
	is.True(ok && again.accepted)
	is.Equal(again.version, uint64(9)) // The same response as the first time, after snapshot and restart.
}
