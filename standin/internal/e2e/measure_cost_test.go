package e2e_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// measureCost measures the CPU time, memory and control traffic of an idle daemon
// with two upstreams.
func measureCost(t *testing.T) {
	fl := newQuillotaFleet(t, 1, 5*time.Millisecond)
	time.Sleep(3 * time.Second)
	pid := fl.processes["d1"].cmd.Process.Pid
	cpuBefore, bytesBefore := cpuSeconds(t, pid), fl.controlTrafficBytes()
	started := time.Now()
	time.Sleep(15 * time.Second)
	seconds := time.Since(started).Seconds()
	printAtMost("daemonCpu", round(100*(cpuSeconds(t, pid)-cpuBefore)/seconds, 2), "percentOfCore", targetCPUPercent)
	printAtMost("daemonMemory", round(residentMB(t, pid), 1), "MBresident", targetMemoryMB)
	printAtMost("daemonControlBytes", round((fl.controlTrafficBytes()-bytesBefore)/seconds, 0), "B/s", targetControlBytes)
}

// controlTrafficBytes returns the bytes that daemon 1 has sent to and received
// from other processes of the fleet.
func (fl *fleet) controlTrafficBytes() float64 {
	var metrics map[string]map[string]float64
	_ = json.Unmarshal([]byte(fl.ctlOutput("metrics", fl.daemonIP(1)+":7101")), &metrics)
	return metrics["fleet.bytesSent"]["count"] + metrics["fleet.bytesReceived"]["count"]
}

// cpuSeconds returns the user and system CPU time of a process.
func cpuSeconds(t *testing.T, pid int) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	const ticksPerSecond = 100
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

func residentMB(t *testing.T, pid int) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
