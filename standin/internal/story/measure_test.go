package story_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactusstream.example/standin/internal/caller"
	"cactusstream.example/standin/internal/upstream"
)

var (
	measureFlag = flag.Bool("measure", false, "measure instead of testing; `make measure` sets it")
	onlyFlag    = flag.String("only", "", "measure only what this text is part of")
)

// The targets of the brief and of the letter.
const (
	targetAddedP99Ms   = 2.9
	targetInForceMs    = 4000
	targetCPUPercent   = 1.3
	targetMemoryMB     = 32
	targetControlBytes = 5000
	targetLeaveMs      = 2000
)

// The least samples of measures that count what must not happen.
const (
	leastAnswers  = 1000
	leastKeys     = 400
	leastRefusals = 1000
	leastRequests = 500
	leastSamples  = 50
)

// measure prints one line: name, value, unit, target, ok or short.
func measure(name string, value float64, unit, target string, ok bool) {
	verdict := "ok"
	if !ok {
		verdict = "short"
	}
	fmt.Printf("MEASURE %s %s %s %s %s\n", name, strconv.FormatFloat(value, 'f', -1, 64), unit, target, verdict)
}

func atMost(name string, value float64, unit string, target float64) {
	measure(name, value, unit, "<="+strconv.FormatFloat(target, 'f', -1, 64), value <= target)
}

// noneOf is a count that must be 0 among a sample; a sample under its stated least
// shows nothing and is short.
func noneOf(name string, count, sample int, of string, least int) {
	measure(name, float64(count), fmt.Sprintf("of%d%s", sample, of), fmt.Sprintf("<=0of%d", least), count == 0 && sample >= least)
}

func round(value float64, digits int) float64 {
	text := strconv.FormatFloat(value, 'f', digits, 64)
	rounded, _ := strconv.ParseFloat(text, 64)
	return rounded
}

// TestMeasure prints the measures; it fails only when it can't run.
func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("`make measure` runs it")
	}
	for _, part := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"addedLatency", measureLatency},
		{"detectTime", measureDetection},
		{"falseEjections", measureFalseEjections},
		{"floorBreaches", measureFloor},
		{"deliveredByRank", measureRanks},
		{"retryAmplification", measureRetries},
		{"leaveTime", measureLeave},
		{"settingsInForce", measureSettings},
		{"doubleRuns", measureCrashes},
		{"falseNotRun", measureRefusals},
		{"cutInFlight", measureRollingRestart},
		{"daemonCost", measureCost},
	} {
		if strings.Contains(part.name, *onlyFlag) {
			t.Run(part.name, part.run)
		}
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func (fl *fleet) upstreamAddress(id string) string {
	for _, arg := range fl.procs[id].args {
		if strings.HasPrefix(arg, "127.") && strings.Contains(arg, ":9") {
			return arg
		}
	}
	return ""
}

// measureLatency compares calls through two daemons with calls straight to the
// stand-ins, in turns, in an open loop.
func measureLatency(t *testing.T) {
	fl := newQuillota(t, 1, 0)
	direct := []string{fl.upstreamAddress("stock11"), fl.upstreamAddress("stock21"), fl.upstreamAddress("stock31")}
	const rounds = 3
	var p50s, p99s, orders []float64
	for range rounds {
		base := fl.call(caller.Config{Targets: direct, Path: "/catalogo/stock", Rate: 300, Duration: 3 * time.Second})
		ours := fl.call(caller.Config{Path: "/catalogo/stock", Rate: 300, Duration: 3 * time.Second})
		order := fl.call(caller.Config{Path: "/corte/order", Method: "POST", Keys: true, Rate: 100, Duration: 2 * time.Second})
		p50s = append(p50s, float64(ours.P50Micros-base.P50Micros)/1000)
		p99s = append(p99s, float64(ours.P99Micros-base.P99Micros)/1000)
		orders = append(orders, float64(order.P99Micros-base.P99Micros)/1000)
	}
	spread := fmt.Sprintf("ms(spread %.2f-%.2f)", slices.Min(p99s), slices.Max(p99s))
	atMost("addedLatencyP50", round(median(p50s), 2), "ms", targetAddedP99Ms)
	atMost("addedLatencyP99", round(median(p99s), 2), spread, targetAddedP99Ms)
	atMost("addedLatencyP99.claimed", round(median(orders), 2), "ms", targetAddedP99Ms)
}

// setPreset gives the pools of a fleet the sensitivity of a deployment.
func (fl *fleet) setPreset(threshold string) {
	fl.t.Helper()
	fl.ctl("settings", "set", "quillota", "ejectThreshold", threshold, "--reason", "preset", "--wait")
}

func measureDetection(t *testing.T) {
	fl := newQuillota(t, 2, 20*time.Millisecond)
	fl.ctl("settings", "set", "quillota", "ejectBase", "1s", "--reason", "shorter measurement")
	faults := []struct {
		name  string
		fault upstream.Fault
		limit map[string]float64
	}{
		{"stall", upstream.Fault{Kind: upstream.FaultStall, Share: 1}, map[string]float64{"quillota": 5, "lavavalgus": 3}},
		{"errors10percent", upstream.Fault{Kind: upstream.FaultError, Share: 0.1}, map[string]float64{"quillota": 20, "lavavalgus": 10}},
		{"slow5times", upstream.Fault{Kind: upstream.FaultSlow, Share: 1, Factor: 5}, map[string]float64{"quillota": 5, "lavavalgus": 3}},
		{"flap2s", upstream.Fault{Kind: upstream.FaultStall, Share: 1, Flap: 2 * time.Second}, map[string]float64{"quillota": 5, "lavavalgus": 3}},
	}
	turn := 0
	for _, preset := range []struct{ name, threshold string }{{"quillota", "8"}, {"lavavalgus", "5"}} {
		fl.setPreset(preset.threshold)
		for _, fa := range faults {
			var times []float64
			hurt, sent := 0, 0
			for range 2 {
				turn++
				// Another upstream each time, so that none is held for flapping.
				took, rep := fl.detect(fmt.Sprintf("stock%d%d", turn%3+1, turn/3%2+1), fa.fault)
				times = append(times, took.Seconds())
				hurt += rep.Sent - rep.Good
				sent += rep.Sent
			}
			atMost("detectTime."+fa.name+"."+preset.name, round(median(times), 2), fmt.Sprintf("s(max %.2f, hurt %d of %d)", slices.Max(times), hurt, sent), fa.limit[preset.name])
		}
	}
	// The naive rule, round robin without ejection, under the same stall.
	fl.fault("stock11", upstream.Fault{Kind: upstream.FaultStall, Share: 1})
	var direct []string
	for id := range fl.ups {
		if strings.HasPrefix(id, "stock") {
			direct = append(direct, fl.upstreamAddress(id))
		}
	}
	naive := fl.call(caller.Config{Targets: direct, Path: "/catalogo/stock", Rate: 180, Duration: 4 * time.Second, Timeout: 3 * time.Second})
	ours := fl.call(caller.Config{Path: "/catalogo/stock", Rate: 180, Duration: 4 * time.Second, Timeout: 3 * time.Second})
	measure("hurtByStall.naiveRoundRobin", round(float64(naive.Sent-naive.Good)/float64(naive.Sent), 4), "share", "baseline", true)
	measure("hurtByStall.ours", round(float64(ours.Sent-ours.Good)/float64(ours.Sent), 4), "share", "<=naive", ours.Sent-ours.Good <= naive.Sent-naive.Good)
}

// detect switches a fault under load and returns how long it takes until the
// upstream is out in another daemon's view, then waits until it is back.
func (fl *fleet) detect(id string, fault upstream.Fault) (time.Duration, caller.Report) {
	fl.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan caller.Report, 1)
	go func() {
		rep, _ := caller.Run(ctx, caller.Config{Targets: fl.callers(), Method: http.MethodGet, Path: "/catalogo/stock", Rate: 180, Timeout: 4 * time.Second})
		done <- rep
	}()
	time.Sleep(500 * time.Millisecond)
	fl.fault(id, fault)
	started := time.Now()
	for time.Since(started) < 25*time.Second {
		if state := fl.stateOf(id); state != "ready" && state != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(started)
	fl.fault(id, upstream.Fault{Kind: upstream.FaultNone})
	fl.eventually(60*time.Second, id+" is back", func() bool { return fl.stateOf(id) == "ready" })
	cancel()
	return took, <-done
}

// sickCount returns how often gates judged an upstream sick.
func (fl *fleet) sickCount() float64 {
	total := 0.0
	for number := 1; number <= 3; number++ {
		var metrics map[string]map[string]float64
		_ = json.Unmarshal([]byte(fl.ctlOut("metrics", fl.daemonIP(number)+":7101")), &metrics)
		total += metrics["gate.sick"]["count"]
	}
	return total
}

// measureFalseEjections runs a healthy but noisy pool, and a service that is
// overloaded as a whole.
func measureFalseEjections(t *testing.T) {
	fl := newQuillota(t, 2, 20*time.Millisecond)
	for _, preset := range []struct{ name, threshold string }{{"quillota", "8"}, {"lavavalgus", "5"}} {
		fl.setPreset(preset.threshold)
		for id := range fl.ups {
			fl.fault(id, upstream.Fault{Kind: upstream.FaultError, Share: 0.005})
		}
		before := fl.sickCount()
		fl.call(caller.Config{Path: "/catalogo/stock", Rate: 300, Duration: 15 * time.Second})
		noisy := fl.sickCount() - before
		for id := range fl.ups {
			fl.fault(id, upstream.Fault{Kind: upstream.FaultSlow, Share: 1, Factor: 3})
		}
		fl.call(caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 4 * time.Second})
		before = fl.sickCount()
		fl.call(caller.Config{Path: "/catalogo/stock", Rate: 1500, Duration: 6 * time.Second})
		overloaded := fl.sickCount() - before
		atMost("falseEjections.noisy."+preset.name, noisy, "in90endpointSeconds", 0)
		atMost("falseEjections.overloaded."+preset.name, overloaded, "in36endpointSeconds", 0)
	}
}

// measureFloor makes five of six upstreams sick and looks at what is ejected.
func measureFloor(t *testing.T) {
	fl := newQuillota(t, 2, 10*time.Millisecond)
	for _, id := range []string{"stock11", "stock12", "stock21", "stock22", "stock31"} {
		fl.fault(id, upstream.Fault{Kind: upstream.FaultError, Share: 1})
	}
	wait := background(fl, caller.Config{Path: "/catalogo/stock", Rate: 200, Duration: 6 * time.Second})
	breaches, samples, most := 0, 0, 0
	for started := time.Now(); time.Since(started) < 6*time.Second; time.Sleep(50 * time.Millisecond) {
		var list []struct {
			Service, State    string
			Slots, FloorSlots int
		}
		if json.Unmarshal([]byte(fl.ctlOut("upstreams", "--output", "json", "--service", "catalogo")), &list) != nil {
			continue
		}
		left, floor, out := 0, 0, 0
		for _, up := range list {
			floor = up.FloorSlots
			if up.State == "ready" || up.State == "heldByFloor" {
				left += up.Slots
			} else {
				out++
			}
		}
		samples++
		most = max(most, out)
		if left < floor {
			breaches++
		}
	}
	wait()
	noneOf("floorBreaches", breaches, samples, fmt.Sprintf("samples(most out %d of 6)", most), leastSamples)
}

// measureRanks floods the pool with the least urgent work, then with the most
// urgent, and compares with first come, first served at the upstreams.
func measureRanks(t *testing.T) {
	fl := newQuillota(t, 1, 20*time.Millisecond)
	fl.ctl("settings", "set", "quillota/cl-centro/catalogo/browse", "rank", "3", "--reason", "ranks")
	fl.ctl("settings", "set", "quillota/cl-centro/catalogo/stockLookup", "rank", "0", "--reason", "ranks", "--wait")
	var direct []string
	for id := range fl.ups {
		if strings.HasPrefix(id, "stock") {
			direct = append(direct, fl.upstreamAddress(id))
		}
	}
	const capacity = 750.0 // Three upstreams of five slots at 20 ms.
	loads := []struct {
		name           string
		urgent, browse float64
	}{{"noFlood", 0.2, 0.2}, {"floodOfLeastUrgent", 0.2, 3}, {"floodOfMostUrgent", 3, 0.05}}
	for _, lo := range loads {
		run := func(targets []string, timeout time.Duration) []caller.Report {
			return background(fl,
				caller.Config{Targets: targets, Path: "/catalogo/stock", Rate: lo.urgent * capacity, Duration: 4 * time.Second, Deadline: time.Second, Timeout: timeout},
				caller.Config{Targets: targets, Path: "/catalogo/browse", Rate: lo.browse * capacity, Duration: 4 * time.Second, Deadline: time.Second, Timeout: timeout})()
		}
		ours, naive := run(nil, 5*time.Second), run(direct, time.Second)
		for rank, at := range map[string]int{"rank0": 0, "rank3": 1} {
			delivered := float64(ours[at].Good) / float64(ours[at].Sent)
			base := float64(naive[at].Good) / float64(naive[at].Sent)
			target, ok := owedShare(lo.name, rank, delivered, float64(ours[at].Good)/ours[at].Seconds/capacity)
			measure("deliveredByRank."+rank+"."+lo.name, round(delivered, 3), fmt.Sprintf("share(naive %.3f, p99 %dms, naive %dms)", base, ours[at].P99Micros/1000, naive[at].P99Micros/1000), target, ok)
		}
		time.Sleep(5 * time.Second)
	}
}

// owedShare returns the target of a rank under a load: all of its work, or its
// stated share of the slots when it floods or the most urgent rank does.
func owedShare(load, rank string, delivered, slots float64) (string, bool) {
	switch {
	case load == "noFlood" || load == "floodOfLeastUrgent" && rank == "rank0" || load == "floodOfMostUrgent" && rank == "rank3":
		return ">=0.99", delivered >= 0.99
	case rank == "rank3":
		return "slots>=0.05", slots >= 0.05
	}
	return "slots>=0.4", slots >= 0.4
}

// measureRetries fails all work and counts the runs for each request.
func measureRetries(t *testing.T) {
	fl := newQuillota(t, 1, 5*time.Millisecond)
	_, before := fl.runsByKey()
	for id := range fl.ups {
		fl.fault(id, upstream.Fault{Kind: upstream.FaultError, Share: 1})
	}
	rep := fl.call(caller.Config{Path: "/catalogo/stock", Rate: 200, Duration: 10 * time.Second})
	_, after := fl.runsByKey()
	atMost("retryAmplification", round(float64(after.Runs-before.Runs)/float64(rep.Sent), 3), "runsPerRequest", 1.1)
}

func measureLeave(t *testing.T) {
	fl := newQuillota(t, 2, 20*time.Millisecond)
	wait := background(fl, caller.Config{Path: "/catalogo/stock", Rate: 200, Duration: 4 * time.Second})
	time.Sleep(time.Second)
	// The stand-in keeps its listener after the announcement, so that late work
	// would be seen.
	token, err := os.ReadFile(fl.path("keys/upstream.token"))
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+fl.daemonIP(1)+":7101/v1/upstreams/stock11/leave", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	left := time.Now()
	atLeave := fl.runsOf("stock11")
	known := fl.eventually(10*time.Second, "daemon 2 knows", func() bool { return fl.stateOf("stock11") == "draining" || fl.stateOf("stock11") == "" })
	rep := wait()[0]
	after := fl.runsOf("stock11")
	atMost("leaveTime.known", round(float64(known.Milliseconds()), 0), "ms", targetLeaveMs)
	atMost("leaveTime.newWorkAfter", float64(after-atLeave), fmt.Sprintf("requests(in %ds)", int(time.Since(left).Seconds())), 0)
	noneOf("leaveTime.failedRequests", rep.Sent-rep.Good, rep.Sent, "", leastRequests)
}

func (fl *fleet) runsOf(id string) int {
	resp, err := http.Get("http://" + fl.ups[id].control + "/counts")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var counts upstream.Counts
	_ = json.NewDecoder(resp.Body).Decode(&counts)
	return counts.Runs
}

// measureSettings makes changes and asks every daemon until it has them in
// force, watching for versions that go back.
func measureSettings(t *testing.T) {
	fl := newQuillota(t, 1, 5*time.Millisecond)
	op := newOperator(fl)
	var accepted, inForce []float64
	reverted := 0
	highest := map[string]float64{}
	for number := range 40 {
		version := fl.version()
		started := time.Now()
		out, ok := op.change(changeInput{id: fmt.Sprintf("m%d", number), expect: version}, fmt.Sprintf("%dms", 1000+number))
		if !ok || !out.accepted {
			t.Fatal("a change was not accepted")
		}
		accepted = append(accepted, float64(time.Since(started).Microseconds())/1000)
		for done := 0; done < 3; {
			done = 0
			for daemon := 1; daemon <= 3; daemon++ {
				address := fl.daemonIP(daemon) + ":7101"
				_, fields := op.ask(address, http.MethodGet, "/v1/status", nil)
				got, _ := fields["settingsVersion"].(float64)
				if got < highest[address] {
					reverted++
				}
				highest[address] = max(got, highest[address])
				if got >= float64(out.version) {
					done++
				}
			}
		}
		inForce = append(inForce, float64(time.Since(started).Microseconds())/1000)
	}
	slices.Sort(inForce)
	measure("settingsAccepted.p50", round(median(accepted), 2), "ms", "-", true)
	atMost("settingsInForce.p50", round(median(inForce), 2), "ms", targetInForceMs)
	atMost("settingsInForce.max", round(inForce[len(inForce)-1], 2), "ms", targetInForceMs)
	atMost("settingsReverted", float64(reverted), "times", 0)
}

// measureCrashes kills and freezes daemons under non-idempotent work.
func measureCrashes(t *testing.T) {
	fl := newQuillota(t, 1, 20*time.Millisecond)
	wait := background(fl, caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 12 * time.Second, Keys: true},
		caller.Config{Path: "/catalogo/stock", Rate: 60, Duration: 12 * time.Second})
	time.Sleep(time.Second)
	fl.kill("d2")
	time.Sleep(2 * time.Second)
	fl.restart("d2")
	time.Sleep(3 * time.Second)
	fl.signal("d3", syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	fl.signal("d3", syscall.SIGCONT)
	reports := wait()
	runs, _ := fl.runsByKey()
	doubles, wrong := 0, 0
	for _, times := range runs {
		if times > 1 {
			doubles++
		}
	}
	for _, rep := range reports {
		wrong += rep.WrongAnswers
	}
	noneOf("doubleRuns", doubles, len(runs), "keys", leastKeys)
	noneOf("wrongAnswers", wrong, reports[0].Sent+reports[1].Sent, "", leastAnswers)
	measure("deliveredDuringCrashes.orders", round(float64(reports[0].Good)/float64(reports[0].Sent), 3), "share(callers do not try another daemon)", "-", true)
	measure("deliveredDuringCrashes.lookups", round(float64(reports[1].Good)/float64(reports[1].Sent), 3), "share(callers do not try another daemon)", "-", true)
}

func measureRollingRestart(t *testing.T) {
	fl := newQuillota(t, 1, 20*time.Millisecond)
	wait := background(fl, caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 10 * time.Second, ClosePerRequest: true},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 50, Duration: 10 * time.Second, Keys: true, ClosePerRequest: true})
	time.Sleep(500 * time.Millisecond)
	for _, name := range []string{"d1", "d2", "d3"} {
		fl.stop(name)
		fl.restart(name)
		time.Sleep(2 * time.Second)
	}
	cut, sent := 0, 0
	for _, rep := range wait() {
		cut += cutRequests(rep) + rep.Outcomes["unknown"]
		sent += rep.Sent
	}
	noneOf("cutInFlight", cut, sent, "", leastAnswers)
}

// measureRefusals floods orders far beyond the slots while an upstream refuses
// its part and a daemon is killed, and looks for refused orders that ran.
func measureRefusals(t *testing.T) {
	fl := newQuillota(t, 1, 200*time.Millisecond)
	wait := background(fl, caller.Config{Method: "POST", Path: "/corte/order", Rate: 300, Duration: 10 * time.Second, Keys: true})
	time.Sleep(2 * time.Second)
	fl.fault("cutter11", upstream.Fault{Kind: upstream.FaultShed, Share: 0.5})
	time.Sleep(2 * time.Second)
	fl.kill("d2")
	time.Sleep(time.Second)
	fl.restart("d2")
	rep := wait()[0]
	runs, _ := fl.runsByKey()
	falseNotRun := 0
	for _, key := range rep.NotRunKeys {
		if runs[key] > 0 {
			falseNotRun++
		}
	}
	noneOf("falseNotRun", falseNotRun, len(rep.NotRunKeys), fmt.Sprintf("(reasons %v)", reasonsOf(rep)), leastRefusals)
}

func reasonsOf(rep caller.Report) string {
	names := slices.Sorted(maps.Keys(rep.Reasons))
	return strings.ReplaceAll(strings.Join(names, ","), " ", "-")
}
