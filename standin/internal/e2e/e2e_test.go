package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/standin/internal/caller"
	"cactusstream.example/standin/internal/upstream"
)

// callInBackground sends the configured requests concurrently with the test. The
// returned function waits for them and returns the reports.
func callInBackground(fl *fleet, configs ...caller.Config) func() []caller.Report {
	reports := make([]caller.Report, len(configs))
	var group sync.WaitGroup
	for i, cfg := range configs {
		group.Go(func() { reports[i] = fl.call(cfg) })
	}
	return func() []caller.Report {
		group.Wait()
		return reports
	}
}

// interruptedRequests counts requests without a response that a daemon had
// accepted. A refused connection doesn't count, since no daemon accepted the
// request.
func interruptedRequests(rep caller.Report) int {
	interrupted := rep.Errors
	for reason, count := range rep.Reasons {
		if strings.Contains(reason, "connection refused") {
			interrupted -= count
		}
	}
	return interrupted
}

// TestRollingRestartInterruptsNoRequest restarts every daemon and keeper in turn
// under load: no accepted request may be interrupted or end with outcome unknown.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 20*time.Millisecond)
	wait := callInBackground(fl,
		caller.Config{Path: "/catalogo/stock", Rate: 60, Duration: 14 * time.Second, ClosePerRequest: true},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 30, Duration: 14 * time.Second, Keys: true, ClosePerRequest: true},
	)
	time.Sleep(500 * time.Millisecond)
	for _, name := range []string{"d1", "d2", "d3", "k1", "k2", "k3"} {
		fl.stop(name)
		fl.restart(name)
		if strings.HasPrefix(name, "d") {
			fl.eventually(10*time.Second, "the upstream of the restarted daemon is listed again", func() bool {
				return strings.Contains(fl.ctlOutput("upstreams", "--output", "json"), `"Daemon": "`+name+`"`)
			})
			time.Sleep(1300 * time.Millisecond) // Wait until the restarted claim holder votes again.
		}
	}
	reports := wait()
	for _, rep := range reports {
		t.Logf("%d sent, %d good, outcomes %v, reasons %v, %d without a response", rep.Sent, rep.Good, rep.Outcomes, rep.Reasons, rep.Errors)
		if interrupted := interruptedRequests(rep); interrupted > 0 {
			t.Errorf("%d requests were interrupted", interrupted)
		}
		if rep.Outcomes["unknown"] > 0 {
			t.Errorf("%d requests ended with outcome unknown", rep.Outcomes["unknown"])
		}
	}
	fl.checkRuns(reports...)
}

// TestStopDuringTheStart sends SIGTERM at several moments of the start of a keeper and of a
// daemon. From its first line of log on, each must stop as at any other time.
func TestStopDuringTheStart(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	for _, name := range []string{"k1", "d1"} {
		fl.stop(name)
		for delay := range 25 {
			fl.restart(name)
			time.Sleep(time.Duration(2*delay) * time.Millisecond)
			fl.stop(name)
		}
		fl.restart(name)
	}
	fl.eventually(recoveryTimeout, "requests succeed", func() bool {
		return fl.call(caller.Config{Path: "/catalogo/stock", Count: 9}).Good == 9
	})
}

// TestCrashesRunNoRequestTwice kills and pauses daemons while callers retry each
// key through other daemons. No key may be executed twice, and none whose last
// response has outcome notRun may be executed at all.
func TestCrashesRunNoRequestTwice(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	resends := make(chan []resentKey, 1)
	go func() { resends <- resendKeys(ctx, fl) }()
	wait := callInBackground(fl, caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 12 * time.Second, Keys: true})
	fl.crashAndPause()
	reports := wait()
	cancel()
	keys := <-resends
	t.Logf("%d sent, outcomes %v, reasons %v; %d keys retried", reports[0].Sent, reports[0].Outcomes, reports[0].Reasons, len(keys))
	fl.checkRuns(reports...)
	runs, _ := fl.runsByKey()
	for _, key := range keys {
		if key.lastNotRun && runs[key.key] > 0 {
			t.Errorf("the last response for key %s has outcome notRun, but it was executed", key.key)
		}
	}
	if reports[0].Good == 0 || len(keys) == 0 {
		t.Fatal("no request succeeded or no key was retried")
	}
}

// TestOutageOfAllKeepers kills all keepers: requests, restarts of daemons, new
// daemons and ejections have to work without them.
func TestOutageOfAllKeepers(t *testing.T) {
	is := is.New(t)
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	is.True(strings.Contains(fl.ctl("claims", "assign", "--reason", "no change expected"), "no difference"))
	for number := 1; number <= 3; number++ {
		fl.kill(fmt.Sprintf("k%d", number))
	}
	is.Equal(fl.call(caller.Config{Path: "/catalogo/stock", Count: 60}).Good, 60)
	is.Equal(fl.call(caller.Config{Method: "POST", Path: "/corte/order", Count: 30, Keys: true}).Good, 30)
	// A restarted daemon receives the settings from its peers.
	fl.stop("d3")
	fl.restart("d3")
	fl.eventually(15*time.Second, "the restarted daemon serves requests", func() bool {
		return fl.call(caller.Config{Targets: []string{fl.daemonIP(3) + ":8080"}, Path: "/catalogo/stock", Count: 1}).Good == 1
	})
	// A new daemon with an upstream joins the fleet.
	fl.startDaemon(4)
	fl.startUpstream("stock41", "catalogo", 4, 5*time.Millisecond)
	fl.eventually(15*time.Second, "the new upstream is listed", func() bool {
		return strings.Contains(fl.ctlOutput("upstreams", "--output", "json"), `"ID": "stock41"`)
	})
	// An unhealthy upstream is ejected.
	fl.setFault("stock11", upstream.Fault{Kind: upstream.FaultError, Share: 1})
	fl.call(caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 3 * time.Second})
	fl.eventually(5*time.Second, "the unhealthy upstream is ejected", func() bool { return fl.stateOf("stock11") == "ejected" })
	// The restarted claim holder votes once the other holders have confirmed it.
	fl.eventually(10*time.Second, "non-idempotent requests succeed", func() bool {
		return fl.call(caller.Config{Method: "POST", Path: "/corte/order", Count: 10, Keys: true}).Good == 10
	})
	fl.stop("d4")
	fl.checkRuns()
}

// stateOf returns the state of an upstream as reported by cactusctl, or "" if it
// is not listed.
func (fl *fleet) stateOf(id string) string {
	var list []struct{ ID, State string }
	if json.Unmarshal([]byte(fl.ctlOutput("upstreams", "--output", "json")), &list) != nil {
		return ""
	}
	for _, up := range list {
		if up.ID == id {
			return up.State
		}
	}
	return ""
}

// TestFaultyUpstreamNeverCausesWrongResponse injects each fault kind that
// loses, damages or delays responses into one of three upstreams of each
// service.
func TestFaultyUpstreamNeverCausesWrongResponse(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	for _, kind := range []upstream.FaultKind{upstream.FaultTruncate, upstream.FaultDuplicate, upstream.FaultCut, upstream.FaultLate, upstream.FaultError, upstream.FaultStall, upstream.FaultIgnoreCancel} {
		t.Run(string(kind), func(t *testing.T) {
			fl.setFault("stock21", upstream.Fault{Kind: kind, Share: 0.3})
			fl.setFault("cutter21", upstream.Fault{Kind: kind, Share: 0.3})
			wait := callInBackground(fl,
				caller.Config{Path: "/catalogo/stock", Rate: 80, Duration: 2 * time.Second},
				caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 2 * time.Second, Keys: true, Deadline: 2 * time.Second})
			reports := wait()
			t.Logf("stock: %v %v; cut: %v %v", reports[0].Statuses, reports[0].Reasons, reports[1].Statuses, reports[1].Reasons)
			fl.t = t
			fl.checkRuns(reports...)
			for _, rep := range reports {
				if rep.Errors > 0 {
					t.Errorf("%d requests received no response: %v", rep.Errors, rep.Reasons)
				}
			}
		})
	}
}

// TestLeavingUpstreamGetsNoNewRequests stops upstreams under load: every request
// has to succeed.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	fl := newQuillotaFleet(t, 1, 30*time.Millisecond)
	wait := callInBackground(fl, caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 4 * time.Second},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 4 * time.Second, Keys: true})
	time.Sleep(time.Second)
	fl.signal("stock11", syscall.SIGTERM)
	fl.signal("cutter11", syscall.SIGTERM)
	<-fl.processes["stock11"].done
	<-fl.processes["cutter11"].done
	is.NoErr(fl.processes["stock11"].err)
	is.NoErr(fl.processes["cutter11"].err)
	for _, rep := range wait() {
		is.Equal(rep.Good, rep.Sent) // No request was interrupted or failed.
	}
}

// TestCredentials checks that every endpoint that needs a token rejects requests
// without one or with a token for another purpose.
func TestCredentials(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	service, err := os.ReadFile(fl.path("keys/service.token"))
	if err != nil {
		t.Fatal(err)
	}
	daemon, keeper := fl.daemonIP(1), fl.keeperIP(1)
	cases := []struct {
		name, address, method, path, token string
		want                               string
	}{
		{"price lookup without token", daemon + ":8080", "GET", "/catalogo/price", "", "401"},
		{"price lookup with wrong token", daemon + ":8080", "GET", "/catalogo/price", "wrong-wrong-wrong-wrong", "401"},
		{"price lookup with service token", daemon + ":8080", "GET", "/catalogo/price", strings.TrimSpace(string(service)), "200"},
		{"pallet lookup without token", daemon + ":8080", "GET", "/corte/pallet", "", "401"},
		{"daemon status", daemon + ":7101", "GET", "/v1/status", "", "401"},
		{"daemon dump with service token", daemon + ":7101", "GET", "/v1/dump", strings.TrimSpace(string(service)), "401"},
		{"daemon metrics", daemon + ":7101", "GET", "/metrics", "", "401"},
		{"daemon members", daemon + ":7101", "GET", "/v1/fleet/members", "", "401"},
		{"announcement of an upstream", daemon + ":7101", "POST", "/v1/upstreams", "", "401"},
		{"leave of an upstream", daemon + ":7101", "POST", "/v1/upstreams/stock11/leave", "", "401"},
		{"daemon link", daemon + ":7100", "GET", "/link", "", "401"},
		{"keeper link", keeper + ":7000", "GET", "/link", "", "401"},
		{"settings tree", keeper + ":7001", "GET", "/v1/settings/tree", "", "401"},
		{"settings change", keeper + ":7001", "POST", "/v1/settings/changes", "", "401"},
		{"keeper change with service token", keeper + ":7001", "POST", "/v1/keepers/changes", strings.TrimSpace(string(service)), "401"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rep := fl.call(caller.Config{Targets: []string{tc.address}, Method: tc.method, Path: tc.path, Token: tc.token, Count: 1})
			is.Equal(rep.Statuses, map[string]int{tc.want: 1})
		})
	}
}
