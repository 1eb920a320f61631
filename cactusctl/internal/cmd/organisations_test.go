package cmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	goahttp "goa.design/goa/v3/http"

	"cactusstream.example/cactusctl/internal/cmd"
	placementserver "cactusstream.example/core/gen/http/placement/server"
	settingsserver "cactusstream.example/core/gen/http/settings/server"
	genplacement "cactusstream.example/core/gen/placement"
	gensettings "cactusstream.example/core/gen/settings"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

// fakeProcess is a keeper and a daemon at one address. It keeps what it is asked.
type fakeProcess struct {
	gensettings.Service
	ini      string
	requests []string
	wheres   []*genplacement.WherePayload
	quotas   [][]string
	// isOlder means that the daemon runs a program without organisations in its answers.
	isOlder bool
}

func (fa *fakeProcess) Tree(context.Context, *gensettings.TreePayload) (*gensettings.TreeResult, error) {
	return &gensettings.TreeResult{Version: 7, Ini: fa.ini}, nil
}

// fakePlacement serves the placement API of a fakeProcess.
type fakePlacement struct{ fa *fakeProcess }

func (pl fakePlacement) Where(_ context.Context, payload *genplacement.WherePayload) (*genplacement.WhereResult, error) {
	pl.fa.wheres = append(pl.fa.wheres, payload)
	result := &genplacement.WhereResult{Verdict: "rejected", Candidates: []*genplacement.WhereCandidate{}}
	switch {
	case payload.Organisation == "nobody":
		return nil, genplacement.MakeUnknownOrganisation(errors.New(`no organisation has this name: "nobody"`))
	case payload.KeyDigest == settings.NewKeyDigest("bad-key").String():
		return nil, genplacement.MakeBadKey(errors.New("no organisation has this key"))
	case payload.Path == "/early":
		return nil, genplacement.MakeNoSettings(errors.New("this daemon has not received its settings yet"))
	case !pl.fa.isOlder:
		result.Admission = &genplacement.WhereAdmission{
			Outcome: "rejected", Status: 429, Reason: "overQuota", Detail: "the organisation is over its limit", RetryAfterMs: 1250,
			Organisation: "acme", Rank: 1, Rate: 163, Burst: 60, HolderRate: 1.5, HolderDepth: 2.25, Left: 0.7, Answered: 1,
			Holders: []*genplacement.WhereHolder{
				{Daemon: "d1", Zone: "z1", Answered: true, Left: 0.7, RetryAfterMs: 200},
				{Daemon: "d2", Zone: "z2", Note: "the daemon runs an older program"},
			},
		}
	}
	return result, nil
}

func (pl fakePlacement) Quotas(_ context.Context, payload *genplacement.QuotasPayload) ([]*genplacement.QuotaLevel, error) {
	pl.fa.quotas = append(pl.fa.quotas, payload.Organisations)
	var levels []*genplacement.QuotaLevel
	for _, name := range payload.Organisations {
		if name != "org002" {
			levels = append(levels, &genplacement.QuotaLevel{Organisation: name, Left: 4.25, Holders: 9, Answered: 8})
		}
	}
	return levels, nil
}

// start serves the process and returns a function that runs cactusctl with it.
func (fa *fakeProcess) start(t *testing.T) func(args ...string) (stdout, stderr string, code int) {
	t.Helper()
	mux := goahttp.NewMuxer()
	process.Mount(mux, settingsserver.New, settingsserver.Mount, gensettings.NewEndpoints(fa))
	if !fa.isOlder {
		process.Mount(mux, placementserver.New, placementserver.Mount, genplacement.NewEndpoints(fakePlacement{fa}))
	} else {
		endpoints := genplacement.NewEndpoints(fakePlacement{fa})
		server := placementserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
		placementserver.MountWhereHandler(mux, server.Where)
	}
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		fa.requests = append(fa.requests, fmt.Sprintf("%s %s %v", req.Method, req.URL, req.Header))
		mux.ServeHTTP(wr, req)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return func(args ...string) (string, string, int) {
		var stdout, stderr bytes.Buffer
		code := cmd.Main(append([]string{"--keepers", address, "--daemons", address}, args...), &stdout, &stderr)
		return stdout.String(), stderr.String(), code
	}
}

// TestWhereSendsOnlyTheDigest guards against a key that appears in a request, its URL or
// any output, also if it is given by mistake where a file or a variable is expected, and
// against a digest in a URL, which processes and proxies may log.
func TestWhereSendsOnlyTheDigest(t *testing.T) {
	is := is.New(t)
	const mark = "Geheim-4711"
	fa := &fakeProcess{}
	run := fa.start(t)
	var outputs strings.Builder
	for _, end := range []string{"", "\n", "\r\n"} {
		path := filepath.Join(t.TempDir(), "acme.key")
		is.NoErr(os.WriteFile(path, []byte(mark+end), 0o600))
		for _, format := range []string{"table", "json"} {
			stdout, stderr, code := run("where", "GET", "/look", "--key-file", path, "--output", format)
			is.Equal(code, 0)
			outputs.WriteString(stdout + stderr)
		}
	}
	t.Setenv("ACME_KEY", mark)
	stdout, stderr, code := run("where", "GET", "/look", "--key-env", "ACME_KEY")
	is.Equal(code, 0)
	outputs.WriteString(stdout + stderr)
	is.Equal(len(fa.wheres), 7)
	digest := settings.NewKeyDigest(mark).String()
	for _, payload := range fa.wheres {
		is.Equal(payload.KeyDigest, digest)
	}
	for _, line := range fa.requests {
		is.True(!strings.Contains(line, mark))
		_, url, _ := strings.Cut(line, " ")
		url, _, _ = strings.Cut(url, " ")
		is.True(!strings.Contains(url, digest))
	}
	long := filepath.Join(t.TempDir(), "long.key")
	is.NoErr(os.WriteFile(long, []byte(mark+strings.Repeat("x", settings.MaxKeyBytes)), 0o600))
	t.Setenv("EMPTY_KEY", "")
	for _, args := range [][]string{
		{"--key-file", mark},
		{"--key-file", t.TempDir()},
		{"--key-file", long},
		{"--key-env", mark},
		{"--key-env", "EMPTY_KEY"},
		{"--key-file", long, "--key-env", "ACME_KEY"},
		{"--key-env", "ACME_KEY", "--organisation", "acme"},
	} {
		stdout, stderr, code := run(append([]string{"where", "GET", "/look"}, args...)...)
		is.True(code != 0)
		is.True(stderr != "")
		outputs.WriteString(stdout + stderr)
	}
	is.Equal(len(fa.wheres), 7) // Nothing was sent.
	is.True(!strings.Contains(outputs.String(), mark))
	is.True(!strings.Contains(outputs.String(), digest))
}

// TestWhereOfAnOrganisation checks what is printed, and the errors.
func TestWhereOfAnOrganisation(t *testing.T) {
	is := is.New(t)
	fa := &fakeProcess{}
	run := fa.start(t)
	stdout, _, code := run("where", "GET", "/look", "--organisation", "acme")
	is.Equal(code, 0)
	for _, text := range []string{
		"rejected with 429 overQuota: the organisation is over its limit; likely to be admitted in 1250 ms\n",
		"organisation acme, rank 1, rate 163 requests/s, burst 60\n",
		"1 of 2 holders answered, with 0.7 requests left; each holds up to 2.2 and gets 1.5 a second\n",
		"d1      z1    0.7   200 ms",
		"d2      z2    ?                 the daemon runs an older program\n",
	} {
		if !strings.Contains(stdout, text) {
			t.Errorf("%q is missing in:\n%s", text, stdout)
		}
	}
	stdout, _, code = run("where", "GET", "/look", "--organisation", "acme", "--output", "json")
	is.Equal(code, 0)
	var where struct {
		Admission struct {
			Outcome, Organisation string
			Status, RetryAfterMs  int
			Holders               []struct{ Answered bool }
		}
	}
	is.NoErr(json.Unmarshal([]byte(stdout), &where))
	is.Equal(where.Admission.Outcome, "rejected")
	is.Equal(where.Admission.RetryAfterMs, 1250)
	is.Equal(len(where.Admission.Holders), 2)
	t.Setenv("BAD_KEY", "bad-key")
	for text, args := range map[string][]string{
		"no organisation has this name": {"/look", "--organisation", "nobody"},
		"no organisation has this key":  {"/look", "--key-env", "BAD_KEY"},
		"has not received its settings": {"/early", "--organisation", "acme"},
	} {
		stdout, stderr, code := run(append([]string{"where", "GET"}, args...)...)
		is.Equal(code, 1)
		is.Equal(stdout, "")
		is.True(strings.Contains(stderr, text))
	}
}

// TestOlderDaemons checks the commands with a daemon whose program is older than cactusctl.
// It guards against an organisation that is ignored, and against a list that fails.
func TestOlderDaemons(t *testing.T) {
	is := is.New(t)
	fa := &fakeProcess{isOlder: true, ini: "[acme]\nquotaRate = 5\n"}
	run := fa.start(t)
	_, stderr, code := run("where", "GET", "/look", "--organisation", "acme")
	is.Equal(code, 1)
	is.True(strings.Contains(stderr, "runs an older program"))
	stdout, _, code := run("where", "GET", "/look")
	is.Equal(code, 0)
	is.True(strings.Contains(stdout, "rejected"))
	stdout, stderr, code = run("organisations", "list")
	is.Equal(code, 0)
	is.True(strings.Contains(stderr, "what the holders of the quotas have is unknown"))
	is.True(strings.Contains(stdout, "acme  acme   2     5     0      ?     ?"))
}

// TestListAsksForABoundedNumberOfQuotas guards against a list of 20,000 organisations that
// asks every holder of every quota, and against one that doesn't say which it left out.
func TestListAsksForABoundedNumberOfQuotas(t *testing.T) {
	is := is.New(t)
	var ini strings.Builder
	for i := range 20_000 {
		fmt.Fprintf(&ini, "[org%03d]\nquotaRate = %d\n", i, min(i, 5)) // The first one has no limit.
	}
	fa := &fakeProcess{ini: ini.String()}
	run := fa.start(t)
	stdout, stderr, code := run("organisations", "list", "--output", "json")
	is.Equal(code, 0)
	is.True(strings.Contains(stderr, "the last 19899 of 19999 quotas were not asked"))
	is.Equal(len(fa.quotas), 1)
	is.Equal(len(fa.quotas[0]), 100)
	var list []struct {
		Name  string
		Quota *struct {
			Left              float64
			Holders, Answered int
		}
	}
	is.NoErr(json.Unmarshal([]byte(stdout), &list))
	is.Equal(len(list), 20_000)
	known := 0
	for _, org := range list {
		if org.Quota != nil {
			is.Equal(*org.Quota, struct {
				Left              float64
				Holders, Answered int
			}{4.25, 9, 8})
			known++
		}
	}
	is.Equal(known, 99) // The daemon doesn't know one of them.
	stdout, stderr, code = run("organisations", "list", "org19999", "org000", "org002")
	is.Equal(code, 0)
	is.Equal(stderr, "")
	is.Equal(fa.quotas[1], []string{"org19999", "org002"})
	lines := strings.Split(stdout, "\n")
	is.Equal(strings.Join(strings.Fields(lines[1]), " "), "org19999 org19999 2 5 0 4.2 8/9 0 0")
	is.Equal(strings.Join(strings.Fields(lines[2]), " "), "org000 org000 2 0 0 0 0")
	is.Equal(strings.Join(strings.Fields(lines[3]), " "), "org002 org002 2 2 0 ? ? 0 0")
	_, stderr, code = run("organisations", "list", "nobody")
	is.Equal(code, 2)
	is.True(strings.Contains(stderr, `no organisation has the name "nobody"`))
}
