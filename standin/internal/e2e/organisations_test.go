package e2e_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"cactusstream.example/core/settings"
)

// newOrganisationFleet starts three keepers, three daemons and an upstream beside each.
func newOrganisationFleet(t *testing.T) *fleet {
	t.Helper()
	fl := newFleet(t, 3)
	for number := 1; number <= 3; number++ {
		fl.startDaemon(number)
		fl.startUpstream(fmt.Sprintf("u%d", number), "s", number, 5*time.Millisecond)
	}
	fl.eventually(20*time.Second, "three daemons are alive, with settings", func() bool {
		var states []struct {
			Status *struct {
				Program         string
				SettingsVersion uint64
			} `json:"status"`
		}
		_ = json.Unmarshal([]byte(fl.ctlOutput("status", "--output", "json")), &states)
		count := 0
		for _, state := range states {
			if state.Status != nil && state.Status.Program == "cactusd" && state.Status.SettingsVersion > 0 {
				count++
			}
		}
		return count == 3
	})
	fl.eventually(20*time.Second, "all upstreams are ready", func() bool {
		return strings.Count(fl.ctlOutput("upstreams", "--output", "json"), `"State": "ready"`) == 3
	})
	return fl
}

// setEnv lets the commands of a scenario use the fleet.
func (fl *fleet) setEnv(env *testscript.Env) {
	env.Setenv("PATH", fl.bin+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Setenv("CACTUS_KEEPERS", fl.keeperAddresses(7001))
	env.Setenv("CACTUS_DAEMONS", fl.daemonIP(1)+":7101,"+fl.daemonIP(2)+":7101")
	env.Setenv("CACTUS_TOKEN_FILE", fl.path("keys/operator.token"))
	env.Setenv("CALLERS", strings.Join(fl.callerAddresses(), ","))
}

// TestKeyRotation runs the scenario in testdata/scripts: the key of an organisation is
// replaced while its callers send requests, which must cost none of them.
func TestKeyRotation(t *testing.T) {
	fl := newOrganisationFleet(t)
	testscript.Run(t, testscript.Params{
		Files: []string{"testdata/scripts/rotate_key.txtar"}, RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			fl.setEnv(env)
			return nil
		},
	})
}

// keyMark is a part of every key in TestKeysAppearInNoOutput.
const keyMark = "Geheim-4711"

// outputs collects what the processes of a fleet show.
type outputs struct {
	fl    *fleet
	texts map[string]string
}

// ctl runs a command of cactusctl, which may fail, with each output format.
func (ou *outputs) ctl(args ...string) {
	ou.texts[strings.Join(args, " ")] = ou.fl.ctlOutput(args...)
	ou.texts[strings.Join(args, " ")+" (json)"] = ou.fl.ctlOutput(append(args, "--output", "json")...)
}

// get reads a path at an operator address.
func (ou *outputs) get(address, path string) {
	ou.fl.t.Helper()
	token, err := os.ReadFile(ou.fl.path("keys/operator.token"))
	if err != nil {
		ou.fl.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		ou.fl.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.Fields(string(token))[0])
	ou.add(address+path, req)
}

// add records the whole response to a request.
func (ou *outputs) add(name string, req *http.Request) int {
	ou.fl.t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		ou.fl.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		ou.fl.t.Fatal(err)
	}
	ou.texts[name] = fmt.Sprintf("%s\n%v\n%v\n%s", resp.Status, resp.Header, resp.Trailer, body)
	return resp.StatusCode
}

// TestKeysAppearInNoOutput uses, changes and removes keys, and reads every output of the
// keepers, the daemons and the command line: responses to callers, settings, their
// history, faults, dumps, metrics and logs. None may show a key.
func TestKeysAppearInNoOutput(t *testing.T) {
	is := is.New(t)
	fl := newOrganisationFleet(t)
	ou := &outputs{fl: fl, texts: make(map[string]string)}
	tree := "[*/*/s/look]\npath = /look\nidempotent = true\n[*/*/s/cut]\nmethod = POST\npath = /cut\n"
	withKeys := func(list ...string) string {
		text, digests, err := settings.FormatKeys(list)
		is.NoErr(err)
		return tree + "[acme]\nkeys = " + text + "\nkeyDigests = " + digests + "\n"
	}
	first, second := keyMark+"-first", keyMark+`-<"second">`
	fl.writeFile("first.ini", withKeys(first))
	fl.writeFile("second.ini", withKeys(first, second))
	fl.writeFile("shared.ini", withKeys(first)+strings.Replace(strings.TrimPrefix(withKeys(first), tree), "acme", "other", 1))
	fl.writeFile("invalid.ini", strings.Replace(withKeys(first), "keyDigests", "title = x\n;", 1))
	for _, file := range []string{"first.ini", "second.ini", "shared.ini", "invalid.ini"} {
		ou.ctl("settings", "diff", fl.path(file))
		ou.ctl("settings", "apply", fl.path(file), "--reason", "test", "--dry-run")
		ou.ctl("settings", "apply", fl.path(file), "--reason", "test", "--expect-version", "999")
		ou.ctl("settings", "apply", fl.path(file), "--reason", "test", "--wait")
		ou.ctl("settings", "apply", fl.path(file), "--reason", "test", "--expect-version", "1")
	}
	for _, key := range []string{first, second, keyMark + "-unknown"} {
		for _, address := range fl.callerAddresses() {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				path := map[string]string{http.MethodGet: "/look", http.MethodPost: "/cut"}[method]
				req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("body"))
				is.NoErr(err)
				req.Header.Set("Cactus-Credential", key)
				status := ou.add(key+address+path, req)
				is.Equal(status == http.StatusUnauthorized, strings.HasSuffix(key, "unknown"))
			}
		}
	}
	ou.ctl("settings", "set", "acme", "keys", `["`+keyMark+`",""]`, "--reason", "test")
	ou.ctl("settings", "set", "acme", "keys", `["`+second[:11]+`-third"]`, "--reason", "test")
	ou.ctl("settings", "set", "acme", "quotaRate", "7", "--reason", "test")
	ou.ctl("settings", "export")
	ou.ctl("settings", "export", "--version-number", "2")
	ou.ctl("settings", "log")
	ou.ctl("settings", "diff", "1")
	ou.ctl("settings", "diff", "2", "3")
	ou.ctl("settings", "get", "acme")
	ou.ctl("settings", "explain", "acme")
	ou.ctl("settings", "explain", "acme/p/s/look")
	ou.ctl("explain", "--help")
	ou.ctl("status")
	ou.ctl("upstreams")
	ou.ctl("organisations", "list")
	ou.ctl("organisations", "list", "acme")
	for name, key := range map[string]string{"third": second[:11] + "-third", "unknown": keyMark + "-unknown", "long": strings.Repeat(keyMark, 30)} {
		fl.writeFile(name+".key", key+"\n")
		t.Setenv("TEST_KEY_"+name, key)
		ou.ctl("where", "GET", "/look", "--key-file", fl.path(name+".key"))
		ou.ctl("where", "GET", "/look", "--key-env", "TEST_KEY_"+name)
		ou.texts["where with the key in place of a file, "+name] = fl.ctlOutput("where", "GET", "/look", "--key-file", key)
		ou.texts["where with the key in place of a variable, "+name] = fl.ctlOutput("where", "GET", "/look", "--key-env", key)
	}
	ou.ctl("where", "GET", "/look", "--organisation", "acme")
	for number := 1; number <= 3; number++ {
		for _, address := range []string{fl.keeperIP(number) + ":7001", fl.daemonIP(number) + ":7101"} {
			for _, path := range []string{"/metrics", "/v1/metrics", "/v1/dump", "/v1/status", "/v1/settings/tree", "/v1/settings/log?limit=100", "/v1/settings/explain?path=acme", "/v1/fleet/members"} {
				ou.get(address, path)
			}
			ou.ctl("dump", address)
			ou.ctl("metrics", address)
		}
	}
	logs, err := filepath.Glob(fl.path("*.log"))
	is.NoErr(err)
	is.True(len(logs) >= 9)
	for _, name := range logs {
		data, err := os.ReadFile(name)
		is.NoErr(err)
		ou.texts[filepath.Base(name)] = string(data)
	}
	for name, text := range ou.texts {
		name = strings.ReplaceAll(name, keyMark, "KEY")
		if strings.Contains(text, keyMark) {
			t.Errorf("%s shows a key:\n%s", name, text)
		}
	}
	is.True(strings.Contains(ou.texts["settings export"], "keyDigests = ")) // The organisation is there.
	is.True(strings.Contains(ou.texts["settings diff "+fl.path("second.ini")], "+ keys = (secret)"))
	is.True(strings.Contains(ou.texts["organisations list"], "acme"))
	is.True(strings.Contains(ou.texts["where GET /look --key-file "+fl.path("third.key")], "organisation acme, rank "))
	is.True(strings.Contains(ou.texts["where GET /look --key-env TEST_KEY_unknown"], "no organisation has this key"))
}
