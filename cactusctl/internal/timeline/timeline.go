// Package timeline puts the log lines that tell what became of one request into
// order, over the logs of all processes, and says what they show.
//
// Usage:
//
//	tim := timeline.New("9c41d07be2a35f68")
//	err := tim.Read(file)            // once for each log; again for context
//	for _, ent := range tim.Entries() { ... }
//	verdict := tim.Verdict()
//
// A log is read line by line; a line may have text before its JSON, such as a
// collector's own time and host. Lines that hold no event are left out. Only
// what may matter is kept: the lines of the request, and those of the upstreams
// and processes that the request met within Around of it.
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

// Around is how long before and after the request other lines may explain it:
// bouts last seconds, and a stop has a few.
const Around = 10 * time.Second

// blame is how far from a failure the beginning of a bout may be that explains it:
// the gate notes both when the attempt ends.
const blame = time.Second

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Entry is one line of a log.
type Entry struct {
	Time     time.Time `json:"time"`
	Process  string    `json:"id"`
	Event    int       `json:"event"`
	Name     string    `json:"msg"`
	Request  string    `json:"request"`
	Service  string    `json:"service"`
	Kind     string    `json:"kind"`
	Upstream string    `json:"upstream"`
	// Endpoints are the endpoints tried, in order, each as daemon/upstream.
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

// Timeline is what the logs say of one request.
type Timeline struct {
	request string
	entries []Entry
	// context are the lines of processes and upstreams, of which Entries keeps
	// those that the request met.
	context []Entry
}

// New returns the Timeline of a request, by its id.
func New(request string) *Timeline {
	return &Timeline{request: request}
}

// Read takes the lines of one log.
func (ti *Timeline) Read(log io.Reader) error {
	scan := bufio.NewScanner(log)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		line := scan.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 {
			continue
		}
		var ent Entry
		if json.Unmarshal(line[at:], &ent) != nil || ent.Event == 0 {
			continue // Other lines may stand in the same file.
		}
		switch {
		case ent.Request == ti.request:
			ti.entries = append(ti.entries, ent)
		case ent.Request == "" && isContext(ent.Event):
			ti.context = append(ti.context, ent)
		}
	}
	if err := scan.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Entries returns the lines of the request and what explains them, by time.
func (ti *Timeline) Entries() []Entry {
	if len(ti.entries) == 0 {
		return nil
	}
	list := slices.Clone(ti.entries)
	met := ti.met()
	first, last := ti.span()
	for _, ent := range ti.context {
		isNear := !ent.Time.Before(first.Add(-Around)) && !ent.Time.After(last.Add(Around))
		if isNear && (met[ent.Process] && (ent.Upstream == "" || met[ent.Upstream])) {
			list = append(list, ent)
		}
	}
	slices.SortStableFunc(list, func(one, two Entry) int { return one.Time.Compare(two.Time) })
	return list
}

// Verdict says in words what became of the request.
func (ti *Timeline) Verdict() string {
	end, ok := ti.end()
	if !ok && len(ti.entries) == 0 {
		return "no log has a line of this request: it reached no daemon, the lines were left out (event 105), or a log is missing"
	}
	if !ok {
		return "no daemon logged an answer: the daemon that took the request died first, or its line was left out (event 105)"
	}
	switch {
	case end.Event == events.RequestEnded.Number && end.Status < 500:
		return fmt.Sprintf("answered with status %d after %d ms", end.Status, end.HeldMillis)
	case end.Event == events.RequestEnded.Number:
		return ti.failedAtUpstream(end)
	case end.Outcome == outcome.NotRun:
		return fmt.Sprintf("refused after %d ms and not run (%s): %s; the caller was told to come back in %d ms", end.HeldMillis, end.Reason, end.Detail, end.RetryAfterMillis)
	}
	return fmt.Sprintf("ended unsure after %d ms (%s): %s; it may have run, so it was not sent again", end.HeldMillis, end.Reason, end.Detail)
}

// Words says what a line tells.
func (en Entry) Words() string {
	switch en.Event {
	case events.RequestEnded.Number:
		return fmt.Sprintf("answered with the upstream's status %d after %d ms and %d attempts (settings %d)", en.Status, en.HeldMillis, en.Attempts, en.Settings)
	case events.RequestFailed.Number:
		return fmt.Sprintf("answered by the fleet: %s, %s: %s; held %d ms, %d attempts, come back in %d ms (settings %d)", en.Outcome, en.Reason, en.Detail, en.HeldMillis, en.Attempts, en.RetryAfterMillis, en.Settings)
	case events.AttemptEnded.Number:
		return en.attemptWords()
	case events.LinesLeftOut.Number:
		return fmt.Sprintf("left out %d lines of its log", en.Lines)
	}
	words := []string{en.Name}
	for _, field := range []struct{ name, value string }{{"upstream", en.Upstream}, {"reason", en.Reason}, {"evidence", en.Evidence}, {"error", en.Error}} {
		if field.value != "" {
			words = append(words, field.name+" "+field.value)
		}
	}
	return strings.Join(words, ", ")
}

func (en Entry) attemptWords() string {
	if en.Outcome == outcome.Ran {
		return fmt.Sprintf("attempt at %s: status %d, waited %d ms, took %d ms; %d running and %d waiting there", en.Upstream, en.Status, en.WaitedMillis, en.TookMillis, en.Running, en.Waiting)
	}
	return fmt.Sprintf("attempt at %s: %s, %s: %s; waited %d ms, took %d ms of %d ms; %d running and %d waiting there", en.Upstream, en.Outcome, en.Reason, en.Detail, en.WaitedMillis, en.TookMillis, en.RemainingMillis, en.Running, en.Waiting)
}

// end returns the answer that the caller got.
func (ti *Timeline) end() (Entry, bool) {
	for _, ent := range ti.entries {
		if ent.Event == events.RequestEnded.Number || ent.Event == events.RequestFailed.Number {
			return ent, true
		}
	}
	return Entry{}, false
}

// failedAtUpstream says what the upstream that failed the request was known for.
func (ti *Timeline) failedAtUpstream(end Entry) string {
	text := fmt.Sprintf("failed by an upstream with status %d after %d ms", end.Status, end.HeldMillis)
	for _, ent := range ti.Entries() {
		if ent.Event == events.UpstreamDoubtful.Number && ent.Time.Sub(end.Time).Abs() <= blame {
			return text + "; a bout of failures began at " + ent.Upstream
		}
	}
	return text
}

// met returns the processes and upstreams that the request met.
func (ti *Timeline) met() map[string]bool {
	met := make(map[string]bool)
	for _, ent := range ti.entries {
		met[ent.Process] = true
		met[ent.Upstream] = true
		for _, key := range ent.Endpoints {
			daemon, upstream, _ := strings.Cut(key, "/")
			met[daemon], met[upstream] = true, true
		}
	}
	return met
}

// span returns when the request came and when its last line was written.
func (ti *Timeline) span() (first, last time.Time) {
	first, last = ti.entries[0].Time, ti.entries[0].Time
	for _, ent := range ti.entries {
		if began := ent.Time.Add(-time.Duration(ent.HeldMillis) * time.Millisecond); began.Before(first) {
			first = began
		}
		if ent.Time.After(last) {
			last = ent.Time
		}
	}
	return first, last
}

// isContext says whether an event may explain requests that it doesn't name: those
// of processes, and of upstreams.
func isContext(event int) bool {
	return event < events.SettingsInForce.Number || event > events.MemberChanged.Number && event < events.RequestFailed.Number
}
