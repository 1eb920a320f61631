// Package caller is an HTTP load generator that simulates callers. It sends
// requests at a fixed rate (open loop) or from a number of workers (closed
// loop), validates every response and measures latencies.
//
// Usage:
//
//	report, err := caller.Run(ctx, caller.Config{Targets: []string{"127.0.0.21:8080"}, Path: "/catalogo/stock", Rate: 100, Duration: time.Minute})
//
// In an open loop, latency is measured from the time at which the request was
// scheduled. A slow response therefore also counts against the requests that it
// delayed (no coordinated omission).
package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

const (
	headerTag        = "Standin-Tag"
	maxResponseBytes = 4 << 20
	maxInFlight      = 2000
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	histogramDigits  = 3
)

// Config describes the requests to send and how to send them.
type Config struct {
	// Targets are the addresses that receive the requests in turn.
	Targets []string
	Method  string
	Path    string
	Firm    string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// CredentialFile holds the key of the caller's organisation. It is read for each
	// request, so that a new key is used as soon as it is there.
	CredentialFile string
	// Organisation is sent in the header in which upstreams get the organisation. Daemons
	// that require keys have to ignore it.
	Organisation string
	// BodyBytes is the size of each request body.
	BodyBytes int
	// Deadline is sent in the Cactus-Deadline-Ms header if it is not zero;
	// Timeout is how long the client waits for a response.
	Deadline time.Duration
	Timeout  time.Duration
	// Duration limits how long requests are sent; zero means no limit.
	Duration time.Duration
	// Rate is the number of requests per second in an open loop. If it is zero,
	// Workers workers send requests in a closed loop.
	Rate    float64
	Workers int
	// Count limits the number of requests; zero means no limit.
	Count int
	// Keys adds a unique Idempotency-Key to each request.
	Keys bool
	// ClosePerRequest opens a new connection for every request.
	ClosePerRequest bool
	// Record adds each request to the report.
	Record bool
}

// Request is a request that was sent, with its response. Status is 0 if there was none.
type Request struct {
	Target     string
	Path       string
	Tag        string
	Credential string
	SentAt     time.Time
	AnsweredAt time.Time
	Status     int
	Outcome    string
}

// Report summarises the responses. Good counts responses with status 200 that
// carry the request's own tag and are complete, WrongAnswers responses with
// status 200 that are not, and Errors requests without a response. The latency
// quantiles cover good responses only.
type Report struct {
	Sent         int            `json:"sent"`
	Good         int            `json:"good"`
	WrongAnswers int            `json:"wrongAnswers"`
	Errors       int            `json:"errors"`
	Statuses     map[string]int `json:"statuses"`
	Outcomes     map[string]int `json:"outcomes"`
	Reasons      map[string]int `json:"reasons"`
	Upstreams    map[string]int `json:"upstreams"`
	Seconds      float64        `json:"seconds"`
	P50Micros    int64          `json:"p50Micros"`
	P90Micros    int64          `json:"p90Micros"`
	P99Micros    int64          `json:"p99Micros"`
	MaxMicros    int64          `json:"maxMicros"`
	// NotRunKeys are the idempotency keys of the responses with outcome notRun.
	NotRunKeys []string `json:"notRunKeys,omitempty"`
	// Requests lists the requests if Config.Record is set. It contains keys.
	Requests []Request `json:"-"`
}

// generator holds the state of one run.
type generator struct {
	cfg    Config
	client *http.Client

	mu        sync.Mutex
	report    Report
	latencies *hdrhistogram.Histogram
}

// Run sends requests until the configured duration or count is reached, or the
// context ends.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Targets) == 0 {
		return Report{}, fmt.Errorf("call: at least one target address is required")
	}
	ge := &generator{
		cfg: cfg,
		client: &http.Client{Timeout: cfg.Timeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight, DisableKeepAlives: cfg.ClosePerRequest, DisableCompression: true,
		}},
		report:    Report{Statuses: map[string]int{}, Outcomes: map[string]int{}, Reasons: map[string]int{}, Upstreams: map[string]int{}},
		latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits),
	}
	started := time.Now()
	if cfg.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cfg.Duration)
		defer cancel()
	}
	if cfg.Rate > 0 {
		ge.openLoop(ctx)
	} else {
		ge.closedLoop(ctx)
	}
	ge.client.CloseIdleConnections()
	ge.report.Seconds = time.Since(started).Seconds()
	ge.report.P50Micros = ge.latencies.ValueAtQuantile(50)
	ge.report.P90Micros = ge.latencies.ValueAtQuantile(90)
	ge.report.P99Micros = ge.latencies.ValueAtQuantile(99)
	ge.report.MaxMicros = ge.latencies.Max()
	return ge.report, nil
}

// closedLoop sends requests from the workers, each one after another.
func (ge *generator) closedLoop(ctx context.Context) {
	var group sync.WaitGroup
	numbers := make(chan int)
	for range max(ge.cfg.Workers, 1) {
		group.Go(func() {
			for number := range numbers {
				ge.send(number, time.Now())
			}
		})
	}
	for number := 0; ctx.Err() == nil && (ge.cfg.Count == 0 || number < ge.cfg.Count); number++ {
		select {
		case numbers <- number:
		case <-ctx.Done():
		}
	}
	close(numbers)
	group.Wait()
}

// openLoop starts each request at its scheduled time, regardless of earlier ones,
// with at most maxInFlight requests at once.
func (ge *generator) openLoop(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	started := time.Now()
	for number := 0; ctx.Err() == nil && (ge.cfg.Count == 0 || number < ge.cfg.Count); number++ {
		due := started.Add(time.Duration(float64(number) / ge.cfg.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				continue
			}
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ge.send(number, due)
		})
	}
	group.Wait()
}

func (ge *generator) send(number int, due time.Time) {
	target := ge.cfg.Targets[number%len(ge.cfg.Targets)]
	tag := uuid.NewString()
	req, err := http.NewRequest(ge.cfg.Method, "http://"+target+ge.cfg.Path, bytes.NewReader(make([]byte, ge.cfg.BodyBytes)))
	if err != nil {
		ge.recordError(err)
		return
	}
	sent := Request{Target: target, Path: ge.cfg.Path, Tag: tag, SentAt: time.Now()}
	defer func() { ge.recordRequest(sent) }()
	req.Header.Set(headerTag, tag)
	setNonEmpty(req.Header, "Cactus-Firm", ge.cfg.Firm)
	setNonEmpty(req.Header, "Cactus-Organisation", ge.cfg.Organisation)
	if ge.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+ge.cfg.Token)
	}
	if ge.cfg.CredentialFile != "" {
		data, err := os.ReadFile(ge.cfg.CredentialFile)
		if err != nil {
			ge.recordError(err)
			return
		}
		sent.Credential = strings.TrimSpace(string(data))
		req.Header.Set("Cactus-Credential", sent.Credential)
	}
	if ge.cfg.Deadline > 0 {
		req.Header.Set("Cactus-Deadline-Ms", strconv.FormatInt(ge.cfg.Deadline.Milliseconds(), 10))
	}
	key := ""
	if ge.cfg.Keys {
		key = uuid.Must(uuid.NewV7()).String()
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := ge.client.Do(req)
	if err != nil {
		ge.recordError(err)
		return
	}
	sent.Status, sent.Outcome = resp.StatusCode, resp.Header.Get("Cactus-Outcome")
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	_ = resp.Body.Close()
	if err != nil {
		ge.recordError(err)
		return
	}
	ge.record(resp, string(body), tag, key, time.Since(due))
}

// recordRequest adds a request to the report if that is configured.
func (ge *generator) recordRequest(sent Request) {
	if !ge.cfg.Record {
		return
	}
	sent.AnsweredAt = time.Now()
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.report.Requests = append(ge.report.Requests, sent)
}

// record adds a response to the report. A response from an upstream must repeat
// the request's tag in the header and at the end of the body, which shows that
// it belongs to the request and is complete.
func (ge *generator) record(resp *http.Response, body, tag, key string, latency time.Duration) {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	rep := &ge.report
	rep.Sent++
	rep.Statuses[strconv.Itoa(resp.StatusCode)]++
	outcome := resp.Header.Get("Cactus-Outcome")
	rep.Outcomes[outcome]++
	if reason := resp.Header.Get("Cactus-Reason"); reason != "" {
		rep.Reasons[reason]++
	}
	if outcome == "notRun" && key != "" {
		rep.NotRunKeys = append(rep.NotRunKeys, key)
	}
	if resp.StatusCode != http.StatusOK {
		return
	}
	if resp.Header.Get(headerTag) != tag || !strings.HasSuffix(body, fmt.Sprintf("\"tag\":%q}\n", tag)) {
		rep.WrongAnswers++
		return
	}
	rep.Good++
	rep.Upstreams[resp.Header.Get("Cactus-Upstream")]++
	_ = ge.latencies.RecordValue(max(latency.Microseconds(), minLatencyMicros))
}

// recordError counts a request without a response under the last part of the
// error text.
func (ge *generator) recordError(err error) {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.report.Sent++
	ge.report.Errors++
	text := err.Error()
	if index := strings.LastIndex(text, ": "); index >= 0 {
		text = text[index+2:]
	}
	ge.report.Reasons["caller: "+text]++
}

func setNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}
