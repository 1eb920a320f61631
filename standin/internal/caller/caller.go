// Package caller is a stand-in for callers: it sends requests at a rate, or
// with a number of workers, checks every answer and measures latencies.
//
// Usage:
//
//	report, err := caller.Run(ctx, caller.Config{Targets: []string{"127.0.0.21:8080"}, Path: "/catalogo/stock", Rate: 100, Duration: time.Minute})
//
// With a rate, a latency counts from the time at which the request was due, so
// that a slow answer does not hide the requests that waited behind it.
package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

const (
	headerTag     = "Standin-Tag"
	maxAnswer     = 4 << 20
	maxInFlight   = 2000
	histogramLow  = 1
	histogramHigh = 120_000_000
	histogramFigs = 3
)

// Config is what the callers send.
type Config struct {
	Targets  []string
	Method   string
	Path     string
	Firm     string
	Token    string
	Body     int
	Deadline time.Duration
	Timeout  time.Duration
	Duration time.Duration
	// Rate is requests a second, in an open loop. When it is zero, Workers send
	// one request after another.
	Rate    float64
	Workers int
	Count   int
	// Keys gives each request an Idempotency-Key of its own.
	Keys bool
	// ClosePerRequest opens a connection for every request.
	ClosePerRequest bool
}

// Report is what came of the requests.
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
	// NotRunKeys are the keys whose request was said not to have run.
	NotRunKeys []string `json:"notRunKeys,omitempty"`
}

type run struct {
	cfg    Config
	client *http.Client

	mu     sync.Mutex
	report Report
	good   *hdrhistogram.Histogram
}

// Run sends requests until the duration or the count has been reached.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Targets) == 0 {
		return Report{}, fmt.Errorf("call: no target")
	}
	ru := &run{
		cfg: cfg,
		client: &http.Client{Timeout: cfg.Timeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight, DisableKeepAlives: cfg.ClosePerRequest, DisableCompression: true,
		}},
		report: Report{Statuses: map[string]int{}, Outcomes: map[string]int{}, Reasons: map[string]int{}, Upstreams: map[string]int{}},
		good:   hdrhistogram.New(histogramLow, histogramHigh, histogramFigs),
	}
	started := time.Now()
	if cfg.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cfg.Duration)
		defer cancel()
	}
	if cfg.Rate > 0 {
		ru.openLoop(ctx)
	} else {
		ru.closedLoop(ctx)
	}
	ru.client.CloseIdleConnections()
	ru.report.Seconds = time.Since(started).Seconds()
	ru.report.P50Micros = ru.good.ValueAtQuantile(50)
	ru.report.P90Micros = ru.good.ValueAtQuantile(90)
	ru.report.P99Micros = ru.good.ValueAtQuantile(99)
	ru.report.MaxMicros = ru.good.Max()
	return ru.report, nil
}

func (ru *run) closedLoop(ctx context.Context) {
	var group sync.WaitGroup
	numbers := make(chan int)
	for range max(ru.cfg.Workers, 1) {
		group.Go(func() {
			for number := range numbers {
				ru.send(number, time.Now())
			}
		})
	}
	for number := 0; ctx.Err() == nil && (ru.cfg.Count == 0 || number < ru.cfg.Count); number++ {
		select {
		case numbers <- number:
		case <-ctx.Done():
		}
	}
	close(numbers)
	group.Wait()
}

func (ru *run) openLoop(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	started := time.Now()
	for number := 0; ctx.Err() == nil && (ru.cfg.Count == 0 || number < ru.cfg.Count); number++ {
		due := started.Add(time.Duration(float64(number) / ru.cfg.Rate * float64(time.Second)))
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
			ru.send(number, due)
		})
	}
	group.Wait()
}

func (ru *run) send(number int, due time.Time) {
	target := ru.cfg.Targets[number%len(ru.cfg.Targets)]
	tag := uuid.NewString()
	req, err := http.NewRequest(ru.cfg.Method, "http://"+target+ru.cfg.Path, bytes.NewReader(make([]byte, ru.cfg.Body)))
	if err != nil {
		ru.noteError(err)
		return
	}
	req.Header.Set(headerTag, tag)
	setIf(req.Header, "Cactus-Firm", ru.cfg.Firm)
	if ru.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+ru.cfg.Token)
	}
	if ru.cfg.Deadline > 0 {
		req.Header.Set("Cactus-Deadline-Ms", strconv.FormatInt(ru.cfg.Deadline.Milliseconds(), 10))
	}
	key := ""
	if ru.cfg.Keys {
		key = uuid.Must(uuid.NewV7()).String()
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := ru.client.Do(req)
	if err != nil {
		ru.noteError(err)
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	_ = resp.Body.Close()
	if err != nil {
		ru.noteError(err)
		return
	}
	ru.note(resp, string(body), tag, key, time.Since(due))
}

// note counts an answer. An answer of an upstream must carry the request's own
// tag in its header and in its whole body.
func (ru *run) note(resp *http.Response, body, tag, key string, took time.Duration) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	rep := &ru.report
	rep.Sent++
	rep.Statuses[strconv.Itoa(resp.StatusCode)]++
	known := resp.Header.Get("Cactus-Outcome")
	rep.Outcomes[known]++
	if reason := resp.Header.Get("Cactus-Reason"); reason != "" {
		rep.Reasons[reason]++
	}
	if known == "notRun" && key != "" {
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
	_ = ru.good.RecordValue(max(took.Microseconds(), histogramLow))
}

func (ru *run) noteError(err error) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.report.Sent++
	ru.report.Errors++
	text := err.Error()
	if at := strings.LastIndex(text, ": "); at >= 0 {
		text = text[at+2:]
	}
	ru.report.Reasons["caller: "+text]++
}

func setIf(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}
