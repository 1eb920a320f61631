package e2e_test

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
	"testing"
	"time"

	"cactusstream.example/standin/internal/caller"
	"cactusstream.example/standin/internal/upstream"
)

var (
	measureFlag = flag.Bool("measure", false, "run the measurements; set by `make measure`")
	onlyFlag    = flag.String("only", "", "run only the measurements whose name contains this text")
)

// Targets from the requirements.
const (
	targetAddedP99Ms   = 2.9
	targetInForceMs    = 4000
	targetCPUPercent   = 1.3
	targetMemoryMB     = 32
	targetControlBytes = 5000
	targetLeaveMs      = 2000
)

// Minimum sample sizes for counts of events that must not happen. A smaller sample
// proves nothing.
const (
	minResponses  = 1000
	minKeys       = 400
	minRejections = 1000
	minRequests   = 500
	minSamples    = 50
)

// printMeasure prints one line: name, value, unit, target, and "ok" or "short".
func printMeasure(name string, value float64, unit, target string, ok bool) {
	result := "ok"
	if !ok {
		result = "short"
	}
	fmt.Printf("MEASURE %s %s %s %s %s\n", name, strconv.FormatFloat(value, 'f', -1, 64), unit, target, result)
}

// printAtMost prints a measurement that must not exceed its target.
func printAtMost(name string, value float64, unit string, target float64) {
	printMeasure(name, value, unit, "<="+strconv.FormatFloat(target, 'f', -1, 64), value <= target)
}

// printZero prints a count that must be 0 in a sample. A sample below the minimum size
// misses the target.
func printZero(name string, count, sample int, noun string, minSample int) {
	printMeasure(name, float64(count), fmt.Sprintf("of%d%s", sample, noun), fmt.Sprintf("<=0of%d", minSample), count == 0 && sample >= minSample)
}

func round(value float64, digits int) float64 {
	text := strconv.FormatFloat(value, 'f', digits, 64)
	rounded, _ := strconv.ParseFloat(text, 64)
	return rounded
}

// TestMeasure runs and prints the measurements. It fails only if they cannot run.
func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("run by `make measure`")
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
		{"falseNotRun", measureRejections},
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
	for _, arg := range fl.processes[id].args {
		if strings.HasPrefix(arg, "127.") && strings.Contains(arg, ":9") {
			return arg
		}
	}
	return ""
}

// measureLatency compares the latency of requests through two daemons with that of
// requests sent directly to the upstreams, alternately and in an open loop.
func measureLatency(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 0)
	direct := []string{fl.upstreamAddress("stock11"), fl.upstreamAddress("stock21"), fl.upstreamAddress("stock31")}
	const rounds = 3
	var p50s, p99s, orders []float64
	for range rounds {
		base := fl.call(caller.Config{Targets: direct, Path: "/catalogo/stock", Rate: 300, Duration: 3 * time.Second})
		viaDaemons := fl.call(caller.Config{Path: "/catalogo/stock", Rate: 300, Duration: 3 * time.Second})
		order := fl.call(caller.Config{Path: "/corte/order", Method: "POST", Keys: true, Rate: 100, Duration: 2 * time.Second})
		p50s = append(p50s, float64(viaDaemons.P50Micros-base.P50Micros)/1000)
		p99s = append(p99s, float64(viaDaemons.P99Micros-base.P99Micros)/1000)
		orders = append(orders, float64(order.P99Micros-base.P99Micros)/1000)
	}
	spread := fmt.Sprintf("ms(spread %.2f-%.2f)", slices.Min(p99s), slices.Max(p99s))
	printAtMost("addedLatencyP50", round(median(p50s), 2), "ms", targetAddedP99Ms)
	printAtMost("addedLatencyP99", round(median(p99s), 2), spread, targetAddedP99Ms)
	printAtMost("addedLatencyP99.claimed", round(median(orders), 2), "ms", targetAddedP99Ms)
}

// setPreset sets the ejection threshold of one of the two deployments.
func (fl *fleet) setPreset(threshold string) {
	fl.t.Helper()
	fl.ctl("settings", "set", "quillota", "ejectThreshold", threshold, "--reason", "preset", "--wait")
}

// measureDetection measures the time from the start of a fault to the ejection, and
// the requests that fail under a stall compared with round robin.
func measureDetection(t *testing.T) {
	fl := newQuillotaFleet(t, 2, 20*time.Millisecond)
	fl.ctl("settings", "set", "quillota", "ejectBase", "1s", "--reason", "shorter measurement")
	faults := []struct {
		name   string
		fault  upstream.Fault
		limits map[string]float64 // Seconds, by preset.
	}{
		{"stall", upstream.Fault{Kind: upstream.FaultStall, Share: 1}, map[string]float64{"quillota": 5, "lavavalgus": 3}},
		{"errors10percent", upstream.Fault{Kind: upstream.FaultError, Share: 0.1}, map[string]float64{"quillota": 20, "lavavalgus": 10}},
		{"slow5times", upstream.Fault{Kind: upstream.FaultSlow, Share: 1, Factor: 5}, map[string]float64{"quillota": 5, "lavavalgus": 3}},
		{"flap2s", upstream.Fault{Kind: upstream.FaultStall, Share: 1, Flap: 2 * time.Second}, map[string]float64{"quillota": 5, "lavavalgus": 3}},
	}
	iteration := 0
	for _, preset := range []struct{ name, threshold string }{{"quillota", "8"}, {"lavavalgus", "5"}} {
		fl.setPreset(preset.threshold)
		for _, tc := range faults {
			var times []float64
			failed, sent := 0, 0
			for range 2 {
				iteration++
				// A different upstream each time, since repeated ejections of one are
				// extended.
				took, rep := fl.timeDetection(fmt.Sprintf("stock%d%d", iteration%3+1, iteration/3%2+1), tc.fault)
				times = append(times, took.Seconds())
				failed += rep.Sent - rep.Good
				sent += rep.Sent
			}
			printAtMost("detectTime."+tc.name+"."+preset.name, round(median(times), 2), fmt.Sprintf("s(max %.2f, hurt %d of %d)", slices.Max(times), failed, sent), tc.limits[preset.name])
		}
	}
	// The baseline is round robin without ejection, under the same stall.
	fl.setFault("stock11", upstream.Fault{Kind: upstream.FaultStall, Share: 1})
	var direct []string
	for id := range fl.upstreams {
		if strings.HasPrefix(id, "stock") {
			direct = append(direct, fl.upstreamAddress(id))
		}
	}
	baseline := fl.call(caller.Config{Targets: direct, Path: "/catalogo/stock", Rate: 180, Duration: 4 * time.Second, Timeout: 3 * time.Second})
	viaDaemons := fl.call(caller.Config{Path: "/catalogo/stock", Rate: 180, Duration: 4 * time.Second, Timeout: 3 * time.Second})
	printMeasure("hurtByStall.naiveRoundRobin", round(float64(baseline.Sent-baseline.Good)/float64(baseline.Sent), 4), "share", "baseline", true)
	printMeasure("hurtByStall.ours", round(float64(viaDaemons.Sent-viaDaemons.Good)/float64(viaDaemons.Sent), 4), "share", "<=naive", viaDaemons.Sent-viaDaemons.Good <= baseline.Sent-baseline.Good)
}

// timeDetection injects a fault under load and returns the time until another daemon
// reports the upstream as not ready. It then ends the fault and waits until the
// upstream is ready again.
func (fl *fleet) timeDetection(id string, fault upstream.Fault) (time.Duration, caller.Report) {
	fl.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan caller.Report, 1)
	go func() {
		rep, _ := caller.Run(ctx, caller.Config{Targets: fl.callerAddresses(), Method: http.MethodGet, Path: "/catalogo/stock", Rate: 180, Timeout: 4 * time.Second})
		done <- rep
	}()
	time.Sleep(500 * time.Millisecond)
	fl.setFault(id, fault)
	started := time.Now()
	for time.Since(started) < 25*time.Second {
		if state := fl.stateOf(id); state != "ready" && state != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(started)
	fl.setFault(id, upstream.Fault{Kind: upstream.FaultNone})
	fl.eventually(60*time.Second, id+" is ready again", func() bool { return fl.stateOf(id) == "ready" })
	cancel()
	return took, <-done
}

// unhealthyCount returns how often gates have marked an upstream unhealthy.
func (fl *fleet) unhealthyCount() float64 {
	total := 0.0
	for number := 1; number <= 3; number++ {
		var metrics map[string]map[string]float64
		_ = json.Unmarshal([]byte(fl.ctlOutput("metrics", fl.daemonIP(number)+":7101")), &metrics)
		total += metrics["gate.sick"]["count"]
	}
	return total
}

// measureFalseEjections counts ejections in a healthy pool with a few random errors
// and in a service that is overloaded as a whole. Neither may cause one.
func measureFalseEjections(t *testing.T) {
	fl := newQuillotaFleet(t, 2, 20*time.Millisecond)
	for _, preset := range []struct{ name, threshold string }{{"quillota", "8"}, {"lavavalgus", "5"}} {
		fl.setPreset(preset.threshold)
		for id := range fl.upstreams {
			fl.setFault(id, upstream.Fault{Kind: upstream.FaultError, Share: 0.005})
		}
		before := fl.unhealthyCount()
		fl.call(caller.Config{Path: "/catalogo/stock", Rate: 300, Duration: 15 * time.Second})
		noisy := fl.unhealthyCount() - before
		for id := range fl.upstreams {
			fl.setFault(id, upstream.Fault{Kind: upstream.FaultSlow, Share: 1, Factor: 3})
		}
		fl.call(caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 4 * time.Second})
		before = fl.unhealthyCount()
		fl.call(caller.Config{Path: "/catalogo/stock", Rate: 1500, Duration: 6 * time.Second})
		overloaded := fl.unhealthyCount() - before
		printAtMost("falseEjections.noisy."+preset.name, noisy, "in90endpointSeconds", 0)
		printAtMost("falseEjections.overloaded."+preset.name, overloaded, "in36endpointSeconds", 0)
	}
}

// measureFloor makes five of six upstreams fail and checks that the slots left in
// use stay above the floor.
func measureFloor(t *testing.T) {
	fl := newQuillotaFleet(t, 2, 10*time.Millisecond)
	for _, id := range []string{"stock11", "stock12", "stock21", "stock22", "stock31"} {
		fl.setFault(id, upstream.Fault{Kind: upstream.FaultError, Share: 1})
	}
	wait := callInBackground(fl, caller.Config{Path: "/catalogo/stock", Rate: 200, Duration: 6 * time.Second})
	breaches, samples, mostOut := 0, 0, 0
	for started := time.Now(); time.Since(started) < 6*time.Second; time.Sleep(50 * time.Millisecond) {
		var list []struct {
			Service, State    string
			Slots, FloorSlots int
		}
		if json.Unmarshal([]byte(fl.ctlOutput("upstreams", "--output", "json", "--service", "catalogo")), &list) != nil {
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
		mostOut = max(mostOut, out)
		if left < floor {
			breaches++
		}
	}
	wait()
	printZero("floorBreaches", breaches, samples, fmt.Sprintf("samples(most out %d of 6)", mostOut), minSamples)
}

// measureRanks floods the pool with requests of the least urgent rank, then of the most
// urgent, and compares the delivered shares with first come, first served at the
// upstreams.
func measureRanks(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 20*time.Millisecond)
	fl.ctl("settings", "set", "quillota/cl-centro/catalogo/browse", "rank", "3", "--reason", "ranks")
	fl.ctl("settings", "set", "quillota/cl-centro/catalogo/stockLookup", "rank", "0", "--reason", "ranks", "--wait")
	var direct []string
	for id := range fl.upstreams {
		if strings.HasPrefix(id, "stock") {
			direct = append(direct, fl.upstreamAddress(id))
		}
	}
	const capacity = 750.0 // Requests per second: three upstreams with five slots at 20 ms.
	loads := []struct {
		name           string
		urgent, browse float64
	}{{"noFlood", 0.2, 0.2}, {"floodOfLeastUrgent", 0.2, 3}, {"floodOfMostUrgent", 3, 0.05}}
	for _, load := range loads {
		run := func(targets []string, timeout time.Duration) []caller.Report {
			return callInBackground(fl,
				caller.Config{Targets: targets, Path: "/catalogo/stock", Rate: load.urgent * capacity, Duration: 4 * time.Second, Deadline: time.Second, Timeout: timeout},
				caller.Config{Targets: targets, Path: "/catalogo/browse", Rate: load.browse * capacity, Duration: 4 * time.Second, Deadline: time.Second, Timeout: timeout})()
		}
		viaDaemons, baseline := run(nil, 5*time.Second), run(direct, time.Second)
		for rank, at := range map[string]int{"rank0": 0, "rank3": 1} {
			delivered := float64(viaDaemons[at].Good) / float64(viaDaemons[at].Sent)
			base := float64(baseline[at].Good) / float64(baseline[at].Sent)
			target, ok := targetShare(load.name, rank, delivered, float64(viaDaemons[at].Good)/viaDaemons[at].Seconds/capacity)
			printMeasure("deliveredByRank."+rank+"."+load.name, round(delivered, 3), fmt.Sprintf("share(naive %.3f, p99 %dms, naive %dms)", base, viaDaemons[at].P99Micros/1000, baseline[at].P99Micros/1000), target, ok)
		}
		time.Sleep(5 * time.Second)
	}
}

// targetShare returns the target of a rank under a load: all of its requests, or its
// guaranteed share of the slots if it or the most urgent rank floods the pool.
func targetShare(load, rank string, delivered, slots float64) (string, bool) {
	switch {
	case load == "noFlood" || load == "floodOfLeastUrgent" && rank == "rank0" || load == "floodOfMostUrgent" && rank == "rank3":
		return ">=0.99", delivered >= 0.99
	case rank == "rank3":
		return "slots>=0.05", slots >= 0.05
	}
	return "slots>=0.4", slots >= 0.4
}

// measureRetries makes all requests fail and measures the executions per request.
func measureRetries(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	_, before := fl.runsByKey()
	for id := range fl.upstreams {
		fl.setFault(id, upstream.Fault{Kind: upstream.FaultError, Share: 1})
	}
	rep := fl.call(caller.Config{Path: "/catalogo/stock", Rate: 200, Duration: 10 * time.Second})
	_, after := fl.runsByKey()
	printAtMost("retryAmplification", round(float64(after.Runs-before.Runs)/float64(rep.Sent), 3), "runsPerRequest", 1.1)
}

// measureLeave measures how long the other daemons take to learn that an upstream
// leaves, and counts requests that still reach it.
func measureLeave(t *testing.T) {
	fl := newQuillotaFleet(t, 2, 20*time.Millisecond)
	wait := callInBackground(fl, caller.Config{Path: "/catalogo/stock", Rate: 200, Duration: 4 * time.Second})
	time.Sleep(time.Second)
	// The leave is announced on behalf of the upstream, which keeps serving, so that
	// late requests are counted.
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
	known := fl.eventually(10*time.Second, "daemon 2 reports the leave", func() bool { return fl.stateOf("stock11") == "draining" || fl.stateOf("stock11") == "" })
	rep := wait()[0]
	after := fl.runsOf("stock11")
	printAtMost("leaveTime.known", round(float64(known.Milliseconds()), 0), "ms", targetLeaveMs)
	printAtMost("leaveTime.newWorkAfter", float64(after-atLeave), fmt.Sprintf("requests(in %ds)", int(time.Since(left).Seconds())), 0)
	printZero("leaveTime.failedRequests", rep.Sent-rep.Good, rep.Sent, "", minRequests)
}

func (fl *fleet) runsOf(id string) int {
	resp, err := http.Get("http://" + fl.upstreams[id].control + "/counts")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var counts upstream.Counts
	_ = json.NewDecoder(resp.Body).Decode(&counts)
	return counts.Runs
}

// measureSettings measures the time until a settings change is accepted and until
// it is in force on every daemon, and counts daemons that revert to an older
// version.
func measureSettings(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	op := newOperator(fl)
	var accepted, inForce []float64
	reverted := 0
	highest := map[string]float64{}
	for number := range 40 {
		version := fl.settingsVersion()
		started := time.Now()
		out, ok := op.change(operationInput{id: fmt.Sprintf("m%d", number), expect: version}, fmt.Sprintf("%dms", 1000+number))
		if !ok || !out.accepted {
			t.Fatal("a settings change was not accepted")
		}
		accepted = append(accepted, float64(time.Since(started).Microseconds())/1000)
		for done := 0; done < 3; {
			done = 0
			for daemon := 1; daemon <= 3; daemon++ {
				address := fl.daemonIP(daemon) + ":7101"
				_, fields := op.send(address, http.MethodGet, "/v1/status", nil)
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
	printMeasure("settingsAccepted.p50", round(median(accepted), 2), "ms", "-", true)
	printAtMost("settingsInForce.p50", round(median(inForce), 2), "ms", targetInForceMs)
	printAtMost("settingsInForce.max", round(inForce[len(inForce)-1], 2), "ms", targetInForceMs)
	printAtMost("settingsReverted", float64(reverted), "times", 0)
}

// measureCrashes kills and pauses daemons under non-idempotent requests and counts
// keys that were executed twice.
func measureCrashes(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 20*time.Millisecond)
	wait := callInBackground(fl, caller.Config{Method: "POST", Path: "/corte/order", Rate: 40, Duration: 12 * time.Second, Keys: true},
		caller.Config{Path: "/catalogo/stock", Rate: 60, Duration: 12 * time.Second})
	fl.crashAndPause()
	reports := wait()
	runs, _ := fl.runsByKey()
	doubleRuns, wrong := 0, 0
	for _, times := range runs {
		if times > 1 {
			doubleRuns++
		}
	}
	for _, rep := range reports {
		wrong += rep.WrongAnswers
	}
	printZero("doubleRuns", doubleRuns, len(runs), "keys", minKeys)
	printZero("wrongAnswers", wrong, reports[0].Sent+reports[1].Sent, "", minResponses)
	printMeasure("deliveredDuringCrashes.orders", round(float64(reports[0].Good)/float64(reports[0].Sent), 3), "share(callers do not try another daemon)", "-", true)
	printMeasure("deliveredDuringCrashes.lookups", round(float64(reports[1].Good)/float64(reports[1].Sent), 3), "share(callers do not try another daemon)", "-", true)
}

// measureRollingRestart restarts the daemons in turn and counts interrupted
// requests.
func measureRollingRestart(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 20*time.Millisecond)
	wait := callInBackground(fl, caller.Config{Path: "/catalogo/stock", Rate: 100, Duration: 10 * time.Second, ClosePerRequest: true},
		caller.Config{Method: "POST", Path: "/corte/order", Rate: 50, Duration: 10 * time.Second, Keys: true, ClosePerRequest: true})
	time.Sleep(500 * time.Millisecond)
	for _, name := range []string{"d1", "d2", "d3"} {
		fl.stop(name)
		fl.restart(name)
		time.Sleep(2 * time.Second)
	}
	interrupted, sent := 0, 0
	for _, rep := range wait() {
		interrupted += interruptedRequests(rep) + rep.Outcomes["unknown"]
		sent += rep.Sent
	}
	printZero("cutInFlight", interrupted, sent, "", minResponses)
}

// measureRejections sends far more orders than the slots can serve, while an upstream
// rejects some of its orders and a daemon is killed, and counts orders with outcome
// notRun that were executed.
func measureRejections(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 200*time.Millisecond)
	wait := callInBackground(fl, caller.Config{Method: "POST", Path: "/corte/order", Rate: 300, Duration: 10 * time.Second, Keys: true})
	time.Sleep(2 * time.Second)
	fl.setFault("cutter11", upstream.Fault{Kind: upstream.FaultShed, Share: 0.5})
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
	printZero("falseNotRun", falseNotRun, len(rep.NotRunKeys), fmt.Sprintf("(reasons %v)", reasonsOf(rep)), minRejections)
}

// reasonsOf returns the reasons of a report as one word for printMeasure.
func reasonsOf(rep caller.Report) string {
	names := slices.Sorted(maps.Keys(rep.Reasons))
	return strings.ReplaceAll(strings.Join(names, ","), " ", "-")
}
