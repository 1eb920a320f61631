// Package timeline reconstructs the course of one request from the logs of all
// processes.
//
// Usage:
//
//	tim := timeline.New("9c41d07be2a35f68")
//	err := tim.Read(file) // once for each log file
//	for _, ent := range tim.Entries() { ... }
//	summary := tim.Summary()
//
// A log is read line by line. A line may have text before its JSON, such as the
// time and host that a log collector adds. Lines that hold no event are skipped.
// Entries returns the lines of the request, and those about the processes and
// upstreams involved in it that were logged at most ContextWindow before or after.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"cactusstream.example/core/events"
	"cactusstream.example/core/outcome"
)

// ContextWindow is the time before and after the request in which events of processes
// and upstreams are included. Failure bursts and shutdowns last a few seconds.
const ContextWindow = 10 * time.Second

// burstTolerance is the maximum time between a failed request and the start of the
// failure burst that explains it. The gate logs both when the attempt ends.
const burstTolerance = time.Second

// maxLineBytes is the maximum length of a log line. Read fails on a longer one.
const maxLineBytes = 1 << 20

// Entry is one log line.
type Entry struct {
	Time     time.Time `json:"time"`
	Process  string    `json:"id"`
	Event    int       `json:"event"`
	Name     string    `json:"msg"`
	Request  string    `json:"request"`
	Service  string    `json:"service"`
	Kind     string    `json:"kind"`
	Upstream string    `json:"upstream"`
	// Endpoints are the endpoints that were tried, in order, in the form
	// daemon/upstream.
	Endpoints []string        `json:"endpoints"`
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    string          `json:"reason"`
	Detail    string          `json:"detail"`
	Evidence  string          `json:"evidence"`
	Error     string          `json:"error"`
	Status    int             `json:"status"`
	Attempts  int             `json:"attempts"`
	Lines     int             `json:"lines"`
	Settings  uint64          `json:"settings"`
	Running   int             `json:"running"`
	Waiting   int             `json:"waiting"`

	HeldMillis       int64 `json:"heldMillis"`
	WaitedMillis     int64 `json:"waitedMillis"`
	TookMillis       int64 `json:"tookMillis"`
	RemainingMillis  int64 `json:"remainingMillis"`
	RetryAfterMillis int64 `json:"retryAfterMillis"`
}

// Timeline collects the log lines about one request.
type Timeline struct {
	request string
	entries []Entry
	// context holds the lines about all processes and upstreams. Entries selects those
	// that relate to the request.
	context []Entry
}

// New returns an empty Timeline for the request with an id.
func New(request string) *Timeline {
	return &Timeline{request: request}
}

// Read adds the lines of one log.
func (ti *Timeline) Read(log io.Reader) error {
	scan := bufio.NewScanner(log)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		line := scan.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 {
			continue
		}
		var ent Entry
		if json.Unmarshal(line[at:], &ent) != nil || ent.Event == 0 {
			continue // The file may also hold lines from other sources.
		}
		switch {
		case ent.Request == ti.request:
			ti.entries = append(ti.entries, ent)
		case ent.Request == "" && isContextEvent(ent.Event):
			ti.context = append(ti.context, ent)
		}
	}
	if err := scan.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Entries returns the lines of the request and the related context, sorted by time.
func (ti *Timeline) Entries() []Entry {
	if len(ti.entries) == 0 {
		return nil
	}
	list := slices.Clone(ti.entries)
	involved := ti.involved()
	first, last := ti.timeRange()
	for _, ent := range ti.context {
		isNear := !ent.Time.Before(first.Add(-ContextWindow)) && !ent.Time.After(last.Add(ContextWindow))
		if isNear && (involved[ent.Process] && (ent.Upstream == "" || involved[ent.Upstream])) {
			list = append(list, ent)
		}
	}
	slices.SortStableFunc(list, func(one, two Entry) int { return one.Time.Compare(two.Time) })
	return list
}

// Summary describes the result of the request in one sentence.
func (ti *Timeline) Summary() string {
	result, ok := ti.result()
	if !ok && len(ti.entries) == 0 {
		return "no log has a line for this request: it reached no daemon, its lines were dropped (event 105), or a log is missing"
	}
	if !ok {
		return "no daemon logged a response: the daemon that received the request crashed first, or the line was dropped (event 105)"
	}
	switch {
	case result.Event == events.RequestEnded.Number && result.Status < 500:
		return fmt.Sprintf("answered with status %d after %d ms", result.Status, result.HeldMillis)
	case result.Event == events.RequestEnded.Number:
		return ti.describeUpstreamFailure(result)
	case result.Outcome == outcome.NotRun:
		return fmt.Sprintf("rejected after %d ms without being run (%s): %s; the caller was told to retry after %d ms", result.HeldMillis, result.Reason, result.Detail, result.RetryAfterMillis)
	}
	return fmt.Sprintf("failed with an unknown outcome after %d ms (%s): %s; it may have run, so it was not retried", result.HeldMillis, result.Reason, result.Detail)
}

// Description describes the event of a line.
func (en Entry) Description() string {
	switch en.Event {
	case events.RequestEnded.Number:
		return fmt.Sprintf("answered with the upstream's status %d after %d ms and %d attempts (settings version %d)", en.Status, en.HeldMillis, en.Attempts, en.Settings)
	case events.RequestFailed.Number:
		return fmt.Sprintf("answered by the fleet: %s, %s: %s; after %d ms and %d attempts, retry after %d ms (settings version %d)", en.Outcome, en.Reason, en.Detail, en.HeldMillis, en.Attempts, en.RetryAfterMillis, en.Settings)
	case events.AttemptEnded.Number:
		return en.describeAttempt()
	case events.LinesLeftOut.Number:
		return fmt.Sprintf("dropped %d lines of its log", en.Lines)
	}
	parts := []string{en.Name}
	for _, field := range []struct{ name, value string }{{"upstream", en.Upstream}, {"reason", en.Reason}, {"evidence", en.Evidence}, {"error", en.Error}} {
		if field.value != "" {
			parts = append(parts, field.name+" "+field.value)
		}
	}
	return strings.Join(parts, ", ")
}

func (en Entry) describeAttempt() string {
	if en.Outcome == outcome.Ran {
		return fmt.Sprintf("attempt at %s: status %d, queued for %d ms, took %d ms; %d running and %d queued at the upstream", en.Upstream, en.Status, en.WaitedMillis, en.TookMillis, en.Running, en.Waiting)
	}
	return fmt.Sprintf("attempt at %s: %s, %s: %s; queued for %d ms, took %d ms of the %d ms left; %d running and %d queued at the upstream", en.Upstream, en.Outcome, en.Reason, en.Detail, en.WaitedMillis, en.TookMillis, en.RemainingMillis, en.Running, en.Waiting)
}

// result returns the line that logs the response to the caller.
func (ti *Timeline) result() (Entry, bool) {
	for _, ent := range ti.entries {
		if ent.Event == events.RequestEnded.Number || ent.Event == events.RequestFailed.Number {
			return ent, true
		}
	}
	return Entry{}, false
}

// describeUpstreamFailure describes a server error of an upstream, and names the
// failure burst that explains it if one began at that time.
func (ti *Timeline) describeUpstreamFailure(result Entry) string {
	text := fmt.Sprintf("failed by an upstream with status %d after %d ms", result.Status, result.HeldMillis)
	for _, ent := range ti.Entries() {
		if ent.Event == events.UpstreamSuspected.Number && ent.Time.Sub(result.Time).Abs() <= burstTolerance {
			return text + "; a failure burst began at " + ent.Upstream
		}
	}
	return text
}

// involved returns the ids of the processes and upstreams that handled the request.
func (ti *Timeline) involved() map[string]bool {
	involved := make(map[string]bool)
	for _, ent := range ti.entries {
		involved[ent.Process] = true
		involved[ent.Upstream] = true
		for _, key := range ent.Endpoints {
			daemon, upstream, _ := strings.Cut(key, "/")
			involved[daemon], involved[upstream] = true, true
		}
	}
	return involved
}

// timeRange returns the time at which the request arrived and that of its last line.
func (ti *Timeline) timeRange() (first, last time.Time) {
	first, last = ti.entries[0].Time, ti.entries[0].Time
	for _, ent := range ti.entries {
		if arrived := ent.Time.Add(-time.Duration(ent.HeldMillis) * time.Millisecond); arrived.Before(first) {
			first = arrived
		}
		if ent.Time.After(last) {
			last = ent.Time
		}
	}
	return first, last
}

// isContextEvent reports whether an event may explain requests that it does not name,
// as those of processes and upstreams do.
func isContextEvent(event int) bool {
	return event < events.SettingsInForce.Number || event > events.MemberChanged.Number && event < events.RequestFailed.Number
}
