package story_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// measureCost looks at one daemon at rest, with its two upstreams.
func measureCost(t *testing.T) {
	fl := newQuillota(t, 1, 5*time.Millisecond)
	time.Sleep(3 * time.Second)
	pid := fl.procs["d1"].cmd.Process.Pid
	cpuBefore, bytesBefore := cpuSeconds(t, pid), fl.controlBytes()
	started := time.Now()
	time.Sleep(15 * time.Second)
	seconds := time.Since(started).Seconds()
	atMost("daemonCpu", round(100*(cpuSeconds(t, pid)-cpuBefore)/seconds, 2), "percentOfCore", targetCPUPercent)
	atMost("daemonMemory", round(residentMB(t, pid), 1), "MBresident", targetMemoryMB)
	atMost("daemonControlBytes", round((fl.controlBytes()-bytesBefore)/seconds, 0), "B/s", targetControlBytes)
}

func (fl *fleet) controlBytes() float64 {
	var metrics map[string]map[string]float64
	_ = json.Unmarshal([]byte(fl.ctlOut("metrics", fl.daemonIP(1)+":7101")), &metrics)
	return metrics["fleet.bytesSent"]["count"] + metrics["fleet.bytesReceived"]["count"]
}

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
