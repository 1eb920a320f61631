package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cactusstream.example/core/settings"
	"cactusstream.example/standin/internal/caller"
	"cactusstream.example/standin/internal/upstream"
)

const (
	// limitedKey, limitedTitle, limitedRate and limitedBurst describe the organisation
	// whose callers send more than its quota allows.
	limitedKey   = "limited-key-4711"
	limitedTitle = "Limited & Sons"
	limitedRate  = 5
	limitedBurst = 5
	// rotatedTitle is the name of the organisation whose key is rotated during the run.
	// firstRotatedKey is its first key.
	rotatedTitle    = "Rotated Inc"
	firstRotatedKey = "rotated-key-4711"
	// rotationAuthor is the author of the changes that rotate keys.
	rotationAuthor = "rotation"
	// rotationGrace is the time in which the old and the new key are valid.
	rotationGrace = time.Second
	// rotationPause is the time between two rotations, in which removed keys are sent.
	rotationPause = 3 * time.Second
	// removedKeyTimeout is how long after its removal is confirmed a key may still work.
	removedKeyTimeout = 2 * time.Second
	// faultAftermath is how long after a fault a daemon may still accept a removed key.
	faultAftermath = 3 * time.Second
	// quotaWindow and maxLimitedRuns state the bound of docs/design/quota.md:
	// in any window, (rate × window + burst) × 1.1 + 20 requests run.
	quotaWindow    = 5 * time.Second
	maxLimitedRuns = (limitedRate*5+limitedBurst)*11/10 + 20
)

// organisationSettings are added to the example settings. The requests of organisations
// have no firm of the example, so they need kinds of all firms.
const organisationSettings = `
[*/*/catalogo/stockLookup]
path = /catalogo/stock
idempotent = true
anonymous = true
deadline = 3s
[*/*/corte/keyedOrder]
method = POST
path = /corte/keyed
deadline = 4s
[limited]
title = %s
quotaRate = %d
quotaBurst = %d
keyDigests = %s
[rotated]
title = %s
keyDigests = %s
`

// removedKey is a key that a confirmed version of the settings doesn't contain any more.
type removedKey struct {
	key     string
	version uint64
}

// soakOrganisations sends the requests of the organisations of a soak run, rotates a key,
// and checks what the upstreams received.
type soakOrganisations struct {
	so *soakRun
	// keys lists the keys of the organisation with rotated keys, in the order in which
	// they were handed out, and handedOut the times.
	keys      []string
	handedOut []time.Time
	// removedAt is when the command that removed a key ended. The removal is confirmed by
	// then.
	removedAt map[string]time.Time
}

// newSoakOrganisations adds the organisations to the settings of the fleet.
func newSoakOrganisations(so *soakRun) *soakOrganisations {
	fl := so.fl
	or := &soakOrganisations{so: so, keys: []string{firstRotatedKey}, handedOut: []time.Time{{}}, removedAt: make(map[string]time.Time)}
	data, err := os.ReadFile(fl.path("quillota.ini"))
	if err != nil {
		fl.t.Fatal(err)
	}
	text := string(data)
	for _, path := range []string{"path = /catalogo/stock\n", "path = /corte/order\n"} {
		text = strings.Replace(text, path, path+"anonymous = true\n", 1)
	}
	text += fmt.Sprintf(organisationSettings, limitedTitle, limitedRate, limitedBurst, settings.NewKeyDigest(limitedKey), rotatedTitle, settings.NewKeyDigest(firstRotatedKey))
	fl.writeFile("organisations.ini", text)
	fl.writeFile("limited.key", limitedKey)
	fl.writeFile("rotated.key", firstRotatedKey)
	fl.writeFile("old.key", firstRotatedKey)
	fl.ctl("settings", "apply", fl.path("organisations.ini"), "--reason", "organisations", "--wait")
	return or
}

// callers returns the requests during the faults. All of them name another organisation
// than their own. Those with old.key use the last key that was replaced.
func (or *soakOrganisations) callers(duration time.Duration) []caller.Config {
	fl := or.so.fl
	order := caller.Config{Method: http.MethodPost, Path: "/corte/keyed", Duration: duration, Keys: true, Record: true, Organisation: rotatedTitle}
	lookup := caller.Config{Path: "/catalogo/stock", Duration: duration, Record: true, Organisation: rotatedTitle}
	with := func(cfg caller.Config, rate float64, file string) caller.Config {
		cfg.Rate = rate
		if file != "" {
			cfg.CredentialFile = fl.path(file)
		}
		if file == "rotated.key" || file == "old.key" {
			cfg.Organisation = limitedTitle
		}
		return cfg
	}
	return []caller.Config{
		with(order, 15, "limited.key"), with(lookup, 15, "limited.key"),
		with(order, 10, "rotated.key"), with(lookup, 10, "rotated.key"),
		with(order, 8, "old.key"), with(lookup, 8, "old.key"),
		with(order, 2, ""), with(lookup, 10, ""),
	}
}

// rotateKeys rotates a key again and again until the context ends, and then until one
// rotation is complete.
func (or *soakOrganisations) rotateKeys(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil || len(or.removedAt) == 0; attempt++ {
		or.rotateKey()
		if ctx.Err() != nil && attempt > 100 {
			or.so.fl.t.Error("no rotation of a key was completed")
			return
		}
		select {
		case <-time.After(rotationPause):
		case <-ctx.Done():
		}
	}
}

// rotateKey rotates a key as operators do: it uses the command, and if that fails after
// it has handed out the new key, removes the old one with --only-remove.
func (or *soakOrganisations) rotateKey() {
	fl, old := or.so.fl, or.keys[len(or.keys)-1]
	or.replaceKeyFile("old.key", old)
	digest := settings.NewKeyDigest(old).String()
	args := []string{"organisations", "rotate", "rotated", "--old", digest, "--author", rotationAuthor, "--reason", "soak test"}
	output, err := fl.run("cactusctl", append(args, "--key-file", fl.path("rotated.key"), "--grace", rotationGrace.String())...)
	or.so.logf("rotation: %v: %s", err, output)
	current := or.readKeyFile("rotated.key")
	if current == old {
		return // No key was handed out, so the old one wasn't removed.
	}
	or.keys = append(or.keys, current)
	or.handedOut = append(or.handedOut, modTime(fl.path("rotated.key")))
	started := time.Now()
	for err != nil {
		output, err = fl.run("cactusctl", append(args, "--only-remove")...)
		or.so.logf("removal of the old key: %v: %s", err, output)
		if strings.Contains(output, "0 keys of organisation") {
			break // An attempt whose result was unknown has removed it.
		}
		if time.Since(started) > 2*recoveryTimeout {
			fl.t.Errorf("the old key was not removed within %s", 2*recoveryTimeout)
			return
		}
	}
	or.replaceKeyFile("removed.key", old)
	or.removedAt[old] = time.Now()
}

// readKeyFile returns the key in a file.
func (or *soakOrganisations) readKeyFile(name string) string {
	data, err := os.ReadFile(or.so.fl.path(name))
	if err != nil {
		or.so.fl.t.Error(err)
	}
	return strings.TrimSpace(string(data))
}

// replaceKeyFile replaces a file as a whole, because callers read it at any time.
func (or *soakOrganisations) replaceKeyFile(name, key string) {
	fl := or.so.fl
	if err := os.WriteFile(fl.path(name+".new"), []byte(key), 0o600); err != nil {
		fl.t.Error(err)
	}
	if err := os.Rename(fl.path(name+".new"), fl.path(name)); err != nil {
		fl.t.Error(err)
	}
}

// checkRecovery checks that both organisations are served within their quotas again, and
// that no daemon serves a removed key. It returns the reports of all requests.
func (or *soakOrganisations) checkRecovery() []caller.Report {
	fl := or.so.fl
	fl.t.Helper()
	const count = 9
	var configs []caller.Config
	for _, file := range []string{"limited.key", "rotated.key"} {
		configs = append(configs, caller.Config{
			Method: http.MethodPost, Path: "/corte/keyed", Count: count, Rate: limitedRate * 0.8, Keys: true, Record: true, CredentialFile: fl.path(file),
		})
	}
	var all []caller.Report
	took := fl.eventually(recoveryTimeout, "requests of organisations within their quotas succeed", func() bool {
		reports := callInBackground(fl, configs...)()
		all = append(all, reports...)
		return reports[0].Good == count && reports[1].Good == count
	})
	or.so.logf("requests of the organisations succeeded after %s", took)
	removed := configs[1]
	removed.Rate, removed.CredentialFile = 0, fl.path("removed.key")
	rep := fl.call(removed)
	if rep.Good > 0 {
		fl.t.Errorf("%d requests with a removed key succeeded after the faults", rep.Good)
	}
	return append(all, rep)
}

// removals returns the rotated keys that were removed, and the changes of the rotations as
// operations of the history, with versions relative to first. When a change was made isn't
// known, only that it was during the run.
func (or *soakOrganisations) removals(first uint64) ([]removedKey, []porcupine.Operation) {
	fl := or.so.fl
	fl.t.Helper()
	var removed []removedKey
	var operations []porcupine.Operation
	for before := fl.settingsVersion() + 1; before > first+1; {
		var page []struct {
			Version uint64
			Author  string
			Edits   []struct{ Key, Before, Value string }
		}
		if err := json.Unmarshal([]byte(fl.ctl("settings", "log", "--limit", "1000", "--before", fmt.Sprint(before), "--output", "json")), &page); err != nil {
			fl.t.Fatal(err)
		}
		if len(page) == 0 || page[0].Version != before-1 {
			fl.t.Fatalf("the log of the settings doesn't contain version %d", before-1)
		}
		for _, change := range page {
			before = change.Version
			if change.Author != rotationAuthor || change.Version <= first {
				continue
			}
			operations = append(operations, porcupine.Operation{
				ClientId: 2, Input: operationInput{expect: change.Version - 1 - first}, Call: or.so.started.UnixNano(),
				Output: operationOutput{accepted: true, version: change.Version - first}, Return: time.Now().UnixNano(),
			})
			for _, key := range or.keys {
				digest := settings.NewKeyDigest(key).String()
				for _, edit := range change.Edits {
					if edit.Key == settings.KeyKeyDigests && strings.Contains(edit.Before, digest) && !strings.Contains(edit.Value, digest) {
						removed = append(removed, removedKey{key: key, version: change.Version})
					}
				}
			}
		}
	}
	return removed, operations
}

// check checks what the upstreams received, and the responses of the recorded requests.
func (or *soakOrganisations) check(t *testing.T, reports []caller.Report, removed []removedKey, confirmedAt func(version uint64) time.Time) {
	requests := make(map[string]caller.Request)
	statuses := make(map[int]int)
	for _, rep := range reports {
		for _, req := range rep.Requests {
			requests[req.Tag] = req
			statuses[req.Status]++
			or.checkStatus(t, req)
		}
	}
	if statuses[http.StatusTooManyRequests] == 0 || statuses[http.StatusUnauthorized] == 0 {
		t.Errorf("no request was over the quota, or none had a removed key: statuses %v", statuses)
	}
	var limited []time.Time
	for _, run := range or.so.fl.recordedRuns() {
		req := requests[run.Header.Get("Standin-Tag")]
		or.checkHeaders(t, run, req)
		if req.Status == http.StatusTooManyRequests || req.Status == http.StatusUnauthorized {
			t.Errorf("a request was answered %d at %s, but ran at %s: %+v", req.Status, or.since(req.AnsweredAt), or.since(run.StartedAt), req)
		}
		if req.Credential == limitedKey {
			limited = append(limited, run.StartedAt)
		}
		or.checkRemoved(t, run, req, removed, confirmedAt)
	}
	slices.SortFunc(limited, time.Time.Compare)
	most, end := 0, 0
	for start, at := range limited {
		for end < len(limited) && limited[end].Sub(at) < quotaWindow {
			end++
		}
		if end-start > maxLimitedRuns {
			t.Errorf("%d requests of the organisation with the quota ran in the %s from %s, more than %d", end-start, quotaWindow, or.since(at), maxLimitedRuns)
		}
		most = max(most, end-start)
	}
	t.Logf("%d rotations, statuses %v; %d requests of the organisation with the quota ran, at most %d of %d in %s", len(or.removedAt), statuses, len(limited), most, maxLimitedRuns, quotaWindow)
}

// since returns the time since the start of the run, as in the list of faults.
func (or *soakOrganisations) since(at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(or.so.started).Seconds())
}

// checkStatus checks that a request with an active key, and one without a key on the
// anonymous route, is not answered 401.
func (or *soakOrganisations) checkStatus(t *testing.T, req caller.Request) {
	if req.Status == http.StatusTooManyRequests || req.Status == http.StatusUnauthorized {
		// With an idempotency key, an earlier attempt may have run (docs/callers.md).
		if req.Outcome != "notRun" && (req.Path != "/corte/keyed" || req.Outcome != "unknown") {
			t.Errorf("a request was answered %d with outcome %q: %+v", req.Status, req.Outcome, req)
		}
	}
	if req.Status != http.StatusUnauthorized {
		return
	}
	active := req.Credential == limitedKey || req.Credential == "" && req.Path == "/catalogo/stock"
	if at := slices.Index(or.keys, req.Credential); at >= 0 {
		// The old key is removed no sooner than the grace after the next one was handed out.
		active = at == len(or.keys)-1 || req.AnsweredAt.Before(or.handedOut[at+1].Add(rotationGrace))
	}
	if active {
		t.Errorf("a request with an active key was answered 401, sent at %s and answered at %s: %+v", or.since(req.SentAt), or.since(req.AnsweredAt), req)
	}
}

// checkHeaders checks that the upstream received the name of the organisation that sent
// the request, no other name, and no key.
func (or *soakOrganisations) checkHeaders(t *testing.T, run upstream.Run, req caller.Request) {
	var want []string
	switch {
	case req.Credential == limitedKey:
		want = []string{limitedTitle}
	case req.Credential != "":
		want = []string{rotatedTitle}
	}
	if got := run.Header["Cactus-Organisation"]; !slices.Equal(got, want) {
		t.Errorf("an upstream received the organisation %q, not %q", got, want)
	}
	if _, ok := run.Header["Cactus-Credential"]; ok {
		t.Error("an upstream received the header of the key")
	}
	for name, values := range run.Header {
		for _, key := range append([]string{limitedKey}, or.keys...) {
			if strings.Contains(strings.Join(values, "\n"), key) {
				t.Errorf("an upstream received a key in the header %s", name)
			}
		}
	}
}

// checkRemoved checks that a request didn't run if it was sent later than removedKeyTimeout
// after the removal of its key was confirmed, unless its daemon had a fault then or shortly
// before. A request that was read before is in progress and is finished, which takes
// seconds if an upstream is paused.
func (or *soakOrganisations) checkRemoved(t *testing.T, run upstream.Run, req caller.Request, removed []removedKey, confirmedAt func(version uint64) time.Time) {
	for _, rem := range removed {
		if req.Credential != rem.key {
			continue
		}
		confirmed, ended := confirmedAt(rem.version), or.removedAt[rem.key]
		if confirmed.IsZero() || ended.Before(confirmed) && !ended.IsZero() {
			confirmed = ended
		}
		if !confirmed.IsZero() && req.SentAt.Sub(confirmed) > removedKeyTimeout && !or.so.hadFault(or.so.fl.daemonAt(req.Target), req.SentAt) {
			t.Errorf("a request with a removed key was sent at %s and ran at %s; version %d without the key was confirmed at %s: %+v",
				or.since(req.SentAt), or.since(run.StartedAt), rem.version, or.since(confirmed), req)
		}
	}
}

// confirmationTimes returns a function from a version of the settings to the time when a
// response first showed that this version was confirmed, zero for none.
func confirmationTimes(history []porcupine.Operation, first uint64) func(version uint64) time.Time {
	return func(version uint64) time.Time {
		var confirmed time.Time
		for _, op := range history {
			if op.Output.(operationOutput).version+first < version {
				continue
			}
			if at := time.Unix(0, op.Return); confirmed.IsZero() || at.Before(confirmed) {
				confirmed = at
			}
		}
		return confirmed
	}
}
