package story_test

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

// operator changes settings at the keepers as any HTTP client may.
type operator struct {
	fl     *fleet
	token  string
	client *http.Client
	// decided is the place of the keeper that decided last.
	decided atomic.Int64
	// patience is how often an operation is tried until a keeper decides.
	patience int
}

// changeInput and changeOutput are one operation of a history: a change made
// against a version, or a read that a quorum confirmed.
type changeInput struct {
	isRead bool
	id     string
	expect uint64
}

type changeOutput struct {
	accepted bool
	version  uint64
}

func newOperator(fl *fleet) *operator {
	data, err := os.ReadFile(fl.path("keys/operator.token"))
	if err != nil {
		fl.t.Fatal(err)
	}
	return &operator{fl: fl, token: strings.TrimSpace(string(data)), client: &http.Client{Timeout: 7 * time.Second}, patience: 200}
}

// ask sends one request and returns the status and the fields of the answer.
func (op *operator) ask(address, method, path string, body any) (int, map[string]any) {
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

// decide asks keeper after keeper until one decides. A change whose fate is
// unknown is sent again with its id, as operators are told to.
func (op *operator) decide(method, path string, body any) (int, map[string]any, bool) {
	addresses := strings.Split(op.fl.keeperAddresses(7001), ",")
	first := int(op.decided.Load())
	for attempt := 0; attempt < op.patience; attempt++ {
		at := (first + attempt) % len(addresses)
		status, fields := op.ask(addresses[at], method, path, body)
		switch status {
		case http.StatusOK, http.StatusConflict, http.StatusBadRequest:
			op.decided.Store(int64(at))
			return status, fields, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, nil, false
}

func (op *operator) change(in changeInput, value string) (changeOutput, bool) {
	status, fields, ok := op.decide(http.MethodPost, "/v1/settings/changes", map[string]any{
		"id": in.id, "expectVersion": in.expect, "author": "story", "reason": "race",
		"edits": []map[string]any{{"path": "quillota", "key": "deadline", "value": value}},
	})
	if !ok || status == http.StatusBadRequest {
		return changeOutput{}, false
	}
	if status == http.StatusConflict {
		return changeOutput{version: uint64(fields["version"].(float64))}, true
	}
	return changeOutput{accepted: true, version: uint64(fields["change"].(map[string]any)["version"].(float64))}, true
}

func (op *operator) read() (changeOutput, bool) {
	_, fields, ok := op.decide(http.MethodGet, "/v1/settings/tree?fresh=true", nil)
	if !ok {
		return changeOutput{}, false
	}
	return changeOutput{version: uint64(fields["version"].(float64))}, true
}

// changeModel is one copy of the settings: a version that a change made against
// it raises by one.
var changeModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(changeInput), output.(changeOutput)
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

// race lets operators change settings with equal numbers until told to stop,
// and returns the history, which starts at version 0.
func race(op *operator, operators int, first uint64, stop <-chan struct{}) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range operators {
		group.Go(func() {
			known := first
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				in := changeInput{isRead: number%5 == 4, id: uuid.NewString(), expect: known}
				called := time.Now().UnixNano()
				var out changeOutput
				var ok bool
				if in.isRead {
					out, ok = op.read()
				} else {
					out, ok = op.change(in, fmt.Sprintf("%dms", 1000+number))
				}
				if !ok {
					op.fl.t.Error("an operation was never decided")
					return
				}
				known = out.version
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

func checkHistory(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	accepted := 0
	for _, op := range history {
		if op.Output.(changeOutput).accepted {
			accepted++
		}
	}
	t.Logf("%d operations, %d changes accepted", len(history), accepted)
	if accepted == 0 {
		t.Fatal("nothing was accepted")
	}
	if res := porcupine.CheckOperationsTimeout(changeModel, history, time.Minute); res != porcupine.Ok {
		t.Fatalf("the history is not that of one copy: %s", res)
	}
}

// leader returns the name of the keeper that leads.
func (fl *fleet) leader() string {
	var status struct {
		Keepers []struct {
			ID     string
			Leader bool
		}
	}
	if json.Unmarshal([]byte(fl.ctlOut("keepers", "status", "--output", "json")), &status) != nil {
		return ""
	}
	for _, kee := range status.Keepers {
		if kee.Leader {
			return kee.ID
		}
	}
	return ""
}

func (fl *fleet) version() uint64 {
	out, ok := newOperator(fl).read()
	if !ok {
		return 0
	}
	return out.version
}

// TestRacingOperators kills, freezes and stops keepers while operators race
// with equal numbers and send again what was lost.
func TestRacingOperators(t *testing.T) {
	for _, keepers := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d keepers", keepers), func(t *testing.T) {
			fl := newFleet(t, keepers)
			fl.eventually(10*time.Second, "there is a tree", func() bool { return fl.version() > 0 })
			op := newOperator(fl)
			stop := make(chan struct{})
			done := make(chan []porcupine.Operation, 1)
			first := fl.version()
			go func() { done <- race(op, 4, first, stop) }()
			time.Sleep(time.Second)
			frozen := fl.leader()
			fl.signal(frozen, syscall.SIGSTOP) // Past an election.
			time.Sleep(3 * time.Second)
			fl.signal(frozen, syscall.SIGCONT)
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
			checkHistory(t, <-done)
		})
	}
}

func TestLostDiskIsReplaced(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 3)
	fl.eventually(10*time.Second, "there is a tree", func() bool { return fl.version() > 0 })
	fl.ctl("settings", "set", "root", "rank", "1", "--reason", "before the loss")
	fl.kill("k2")
	is.NoErr(os.RemoveAll(fl.path("k2")))
	_, err := fl.run("cactuskeeper", "run", "--config", fl.path("k2.ini"))
	is.Equal(exitCode(err), 1) // An empty folder is nobody.
	id := strings.TrimSpace(fl.must("cactuskeeper", "init", "--join", "--config", fl.path("k2.ini")))
	fl.restart("k2")
	fl.ctl("keepers", "replace", "k2", id, fl.keeperIP(2)+":7000", fl.keeperIP(2)+":7001")
	fl.kill("k3") // A second VM goes right after the repair.
	fl.ctl("settings", "set", "root", "rank", "3", "--reason", "after the second loss")
	is.Equal(strings.TrimSpace(fl.ctl("settings", "get", "root", "rank")), "3")
	log := fl.ctl("settings", "log", "--output", "json")
	is.True(strings.Contains(log, "before the loss"))
}

// TestOldIdentityWithoutItsDiskIsRefused starts a keeper again under its old
// name with an empty folder: it must not vote for what it forgot.
func TestOldIdentityWithoutItsDiskIsRefused(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 3)
	fl.eventually(10*time.Second, "there is a tree", func() bool { return fl.version() > 0 })
	fl.ctl("settings", "set", "root", "rank", "1", "--reason", "accepted")
	time.Sleep(time.Second) // Until all keepers have greeted one another.
	fl.kill("k2")
	fl.kill("k3")
	is.NoErr(os.RemoveAll(fl.path("k2")))
	fl.must("cactuskeeper", "init", "--config", fl.path("k2.ini")) // The wrong repair.
	fl.restart("k2")
	time.Sleep(3 * time.Second)
	_, err := fl.run("cactusctl", "settings", "set", "root", "rank", "0", "--reason", "no quorum", "--timeout", "3s")
	is.Equal(exitCode(err), 1) // k1 and the amnesiac k2 are no majority.
	log, err := os.ReadFile(fl.path("k1.log"))
	is.NoErr(err)
	is.True(strings.Contains(string(log), "keeperStranger"))
}

func TestDamagedDiskIsRefusedAndNamed(t *testing.T) {
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
	fl.eventually(10*time.Second, "there is a tree", func() bool { return fl.version() > 0 })
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
			is.True(strings.Contains(out, filepath.Base(logs[0])+" at byte")) // The place is named.
			if i == 0 {
				is.NoErr(os.RemoveAll(fl.path(name)))
				id := strings.TrimSpace(fl.must("cactuskeeper", "init", "--join", "--config", fl.path(name+".ini")))
				fl.restart(name)
				fl.ctl("keepers", "replace", name, id, fl.keeperIP(1)+":7000", fl.keeperIP(1)+":7001")
			}
		})
	}
}

func TestRestartAfterHundredsOfChanges(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 3)
	for number := 1; number <= 3; number++ {
		fl.startDaemon(number)
	}
	fl.eventually(15*time.Second, "there is a tree", func() bool { return fl.version() > 0 })
	op := newOperator(fl)
	fl.kill("k3")
	fl.kill("d3")
	for number := range 2300 { // More than the keepers keep in their log.
		in := changeInput{id: fmt.Sprintf("change-%d", number), expect: uint64(number) + 1}
		out, ok := op.change(in, fmt.Sprintf("%dms", 1000+number))
		is.True(ok && out.accepted)
	}
	fl.restart("k3")
	fl.restart("d3")
	last := uint64(2301)
	fl.eventually(10*time.Second, "all daemons have the newest version", func() bool {
		return strings.Count(fl.ctlOut("status", "--output", "json"), fmt.Sprintf(`"SettingsVersion": %d`, last)) == 6
	})
	for number := 1; number <= 2; number++ { // k3, which was behind, must now carry the rest.
		fl.stop(fmt.Sprintf("k%d", number))
		fl.restart(fmt.Sprintf("k%d", number))
	}
	again, ok := op.change(changeInput{id: "change-7", expect: 8}, "1007ms")
	is.True(ok && again.accepted)
	is.Equal(again.version, uint64(9)) // The first answer, after snapshot and restart.
}
