package story_test

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

// background runs calls while a story goes on.
func background(fl *fleet, configs ...caller.Config) func() []caller.Report {
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

// cutRequests counts requests that got no answer though a daemon had taken
// them. A connection that was refused, or was closed before the request, was
// not taken.
func cutRequests(rep caller.Report) int {
	cut := rep.Errors
	for reason, count := range rep.Reasons {
		if strings.Contains(reason, "connection refused") {
			cut -= count
		}
	}
	return cut
}

func TestRollingRestartCutsNothing(t *testing.T) {
	fl := newQuillota(t, 1, 20*time.Millisecond)
	wait := background(fl,
		caller.Config{Path: "/catalogo/stock", Rate: 60, Duration: 14 * time.Second, ClosePerRequest: true},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 30, Duration: 14 * time.Second, Keys: true, ClosePerRequest: true},
	)
	time.Sleep(500 * time.Millisecond)
	for _, name := range []string{"d1", "d2", "d3", "k1", "k2", "k3"} {
		fl.stop(name)
		fl.restart(name)
		if strings.HasPrefix(name, "d") {
			fl.eventually(10*time.Second, "its upstream is back", func() bool {
				return strings.Contains(fl.ctlOut("upstreams", "--output", "json"), `"Daemon": "`+name+`"`)
			})
			time.Sleep(1300 * time.Millisecond) // Until the claim holder votes again.
		}
	}
	reports := wait()
	for _, rep := range reports {
		t.Logf("%d sent, %d good, outcomes %v, reasons %v, %d without answer", rep.Sent, rep.Good, rep.Outcomes, rep.Reasons, rep.Errors)
		if cut := cutRequests(rep); cut > 0 {
			t.Errorf("%d requests were cut", cut)
		}
		if rep.Outcomes["unknown"] > 0 {
			t.Errorf("%d requests ended as unknown", rep.Outcomes["unknown"])
		}
	}
	fl.checkRuns(reports...)
}

// TestCrashesRunNothingTwice kills and freezes daemons while callers send every
// key again through other daemons.
func TestCrashesRunNothingTwice(t *testing.T) {
	fl := newQuillota(t, 1, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	resends := make(chan []resent, 1)
	go func() { resends <- resendKeys(ctx, fl) }()
	wait := background(fl, caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 12 * time.Second, Keys: true})
	time.Sleep(time.Second)
	fl.kill("d2")
	time.Sleep(2 * time.Second)
	fl.restart("d2")
	time.Sleep(3 * time.Second)
	fl.signal("d3", syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	fl.signal("d3", syscall.SIGCONT)
	reports := wait()
	cancel()
	keys := <-resends
	t.Logf("%d sent, outcomes %v, reasons %v; %d keys sent again", reports[0].Sent, reports[0].Outcomes, reports[0].Reasons, len(keys))
	fl.checkRuns(reports...)
	runs, _ := fl.runsByKey()
	for _, key := range keys {
		if key.notRunLast && runs[key.key] > 0 {
			t.Errorf("%s was last said not to have run, and ran", key.key)
		}
	}
	if reports[0].Good == 0 || len(keys) == 0 {
		t.Fatal("nothing was tried")
	}
}

func TestKeepersAwayForLong(t *testing.T) {
	is := is.New(t)
	fl := newQuillota(t, 1, 5*time.Millisecond)
	is.True(strings.Contains(fl.ctl("claims", "assign", "--reason", "all are there"), "no difference"))
	for number := 1; number <= 3; number++ {
		fl.kill(fmt.Sprintf("k%d", number))
	}
	is.Equal(fl.call(caller.Config{Path: "/catalogo/stock", Count: 60}).Good, 60)
	is.Equal(fl.call(caller.Config{Method: "POST", Path: "/corte/order", Count: 30, Keys: true}).Good, 30)
	// A daemon restarts and gets the settings from its peers.
	fl.stop("d3")
	fl.restart("d3")
	fl.eventually(15*time.Second, "the restarted daemon serves", func() bool {
		return fl.call(caller.Config{Targets: []string{fl.daemonIP(3) + ":8080"}, Path: "/catalogo/stock", Count: 1}).Good == 1
	})
	// A new daemon joins with an upstream.
	fl.startDaemon(4)
	fl.startUpstream("stock41", "catalogo", 4, 5*time.Millisecond)
	fl.eventually(15*time.Second, "the new upstream is known", func() bool {
		return strings.Contains(fl.ctlOut("upstreams", "--output", "json"), `"ID": "stock41"`)
	})
	// A sick upstream is ejected.
	fl.fault("stock11", upstream.Fault{Kind: upstream.FaultError, Share: 1})
	fl.call(caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 3 * time.Second})
	fl.eventually(5*time.Second, "the sick upstream is ejected", func() bool { return fl.stateOf("stock11") == "ejected" })
	// Once the holder that restarted has been confirmed by the others, it votes.
	fl.eventually(10*time.Second, "non-idempotent work goes on", func() bool {
		return fl.call(caller.Config{Method: "POST", Path: "/corte/order", Count: 10, Keys: true}).Good == 10
	})
	fl.stop("d4")
	fl.checkRuns()
}

// stateOf returns the state of an upstream.
func (fl *fleet) stateOf(id string) string {
	var list []struct{ ID, State string }
	if json.Unmarshal([]byte(fl.ctlOut("upstreams", "--output", "json")), &list) != nil {
		return ""
	}
	for _, up := range list {
		if up.ID == id {
			return up.State
		}
	}
	return ""
}

// TestGrayFaultsNeverGiveAWrongAnswer switches every fault that damages
// answers on one upstream of three.
func TestGrayFaultsNeverGiveAWrongAnswer(t *testing.T) {
	fl := newQuillota(t, 1, 5*time.Millisecond)
	for _, kind := range []upstream.FaultKind{upstream.FaultTruncate, upstream.FaultDuplicate, upstream.FaultCut, upstream.FaultLate, upstream.FaultError, upstream.FaultStall, upstream.FaultIgnoreCancel} {
		t.Run(string(kind), func(t *testing.T) {
			fl.fault("stock21", upstream.Fault{Kind: kind, Share: 0.3})
			fl.fault("cutter21", upstream.Fault{Kind: kind, Share: 0.3})
			wait := background(fl,
				caller.Config{Path: "/catalogo/stock", Rate: 80, Duration: 2 * time.Second},
				caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 2 * time.Second, Keys: true, Deadline: 2 * time.Second})
			reports := wait()
			t.Logf("stock: %v %v; cut: %v %v", reports[0].Statuses, reports[0].Reasons, reports[1].Statuses, reports[1].Reasons)
			fl.t = t
			fl.checkRuns(reports...)
			for _, rep := range reports {
				if rep.Errors > 0 {
					t.Errorf("%d requests got no answer: %v", rep.Errors, rep.Reasons)
				}
			}
		})
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	fl := newQuillota(t, 1, 30*time.Millisecond)
	wait := background(fl, caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 4 * time.Second},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 4 * time.Second, Keys: true})
	time.Sleep(time.Second)
	fl.signal("stock11", syscall.SIGTERM)
	fl.signal("cutter11", syscall.SIGTERM)
	<-fl.procs["stock11"].done
	<-fl.procs["cutter11"].done
	is.NoErr(fl.procs["stock11"].err)
	is.NoErr(fl.procs["cutter11"].err)
	for _, rep := range wait() {
		is.Equal(rep.Good, rep.Sent) // Nothing was cut and nothing failed.
	}
}

func TestCredentials(t *testing.T) {
	fl := newQuillota(t, 1, 5*time.Millisecond)
	service, err := os.ReadFile(fl.path("keys/service.token"))
	if err != nil {
		t.Fatal(err)
	}
	daemon, keeper := fl.daemonIP(1), fl.keeperIP(1)
	cases := []struct {
		name, address, method, path, token string
		want                               string
	}{
		{"price lookup without", daemon + ":8080", "GET", "/catalogo/price", "", "401"},
		{"price lookup with a wrong one", daemon + ":8080", "GET", "/catalogo/price", "wrong-wrong-wrong-wrong", "401"},
		{"price lookup with the services'", daemon + ":8080", "GET", "/catalogo/price", strings.TrimSpace(string(service)), "200"},
		{"pallet lookup without", daemon + ":8080", "GET", "/corte/pallet", "", "401"},
		{"daemon's status", daemon + ":7101", "GET", "/v1/status", "", "401"},
		{"daemon's dump with the services'", daemon + ":7101", "GET", "/v1/dump", strings.TrimSpace(string(service)), "401"},
		{"daemon's metrics", daemon + ":7101", "GET", "/metrics", "", "401"},
		{"daemon's members", daemon + ":7101", "GET", "/v1/fleet/members", "", "401"},
		{"announce", daemon + ":7101", "POST", "/v1/upstreams", "", "401"},
		{"leave", daemon + ":7101", "POST", "/v1/upstreams/stock11/leave", "", "401"},
		{"daemon's link", daemon + ":7100", "GET", "/link", "", "401"},
		{"keeper's link", keeper + ":7000", "GET", "/link", "", "401"},
		{"tree", keeper + ":7001", "GET", "/v1/settings/tree", "", "401"},
		{"change", keeper + ":7001", "POST", "/v1/settings/changes", "", "401"},
		{"change of keepers", keeper + ":7001", "POST", "/v1/keepers/changes", strings.TrimSpace(string(service)), "401"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rep := fl.call(caller.Config{Targets: []string{tc.address}, Method: tc.method, Path: tc.path, Token: tc.token, Count: 1})
			is.Equal(rep.Statuses, map[string]int{tc.want: 1})
		})
	}
}
