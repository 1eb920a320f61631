// Package upstream simulates an upstream, a server that a daemon forwards
// requests to. It registers with the daemon on the same VM, responds after a
// random latency, counts the executions of each idempotency key and injects
// faults on command.
//
// Usage:
//
//	up := upstream.New(config)
//	err := up.Start(ctx)
//	up.SetFault(upstream.Fault{Kind: upstream.FaultStall, Share: 1})
//	err = up.Stop(ctx)
//
// The control listener serves POST /fault, which takes a Fault, and GET /counts,
// which returns Counts. If Config.RecordRuns is set, GET /runs returns the list of Run.
package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt         = "Cactus-Attempt"
	headerKey             = "Idempotency-Key"
	headerTag             = "Standin-Tag"
	maxBodyBytes          = 1 << 20
	announceInterval      = 2 * time.Second
	announceRetryInterval = 100 * time.Millisecond
	reportTimeout         = time.Second
)

// Config configures a simulated upstream.
type Config struct {
	ID      string
	Service string
	Address string
	Control string
	// Slots is the number of requests that run at once, Connections the number
	// of connections announced to the daemon.
	Slots       int
	Connections int
	// Cold is the warm-up time announced to the daemon, Latency the mean time to
	// respond.
	Cold    time.Duration
	Latency time.Duration
	// Daemon is the operator address of the daemon on the same VM, Token the
	// bearer token for registration.
	Daemon string
	Token  string
	// Plain omits the Cactus-Attempt header from responses.
	Plain bool
	// RecordRuns keeps the start time and the headers of every executed request.
	RecordRuns bool
}

// Run is the execution of a request, with the headers that the upstream received.
type Run struct {
	StartedAt time.Time   `json:"startedAt"`
	Header    http.Header `json:"header"`
}

// Counts holds the counters of a simulated upstream: Runs counts executed
// requests, DoubleRuns executions of a key beyond its first, OverSlots requests
// that had to wait for a slot, MostRunning the highest concurrency, Cancelled
// requests that the client cancelled and AfterLeave requests that started after
// the upstream announced its leave.
type Counts struct {
	Runs        int `json:"runs"`
	DoubleRuns  int `json:"doubleRuns"`
	OverSlots   int `json:"overSlots"`
	MostRunning int `json:"mostRunning"`
	Cancelled   int `json:"cancelled"`
	AfterLeave  int `json:"afterLeave"`
	// LastAfterLeaveMS is the time in milliseconds from the announcement of the
	// leave to the start of the last request.
	LastAfterLeaveMS int64          `json:"lastAfterLeaveMs"`
	ByKey            map[string]int `json:"byKey,omitempty"`
}

// Upstream simulates one upstream. It is safe for concurrent use.
type Upstream struct {
	cfg              Config
	server           *http.Server
	control          *http.Server
	client           *http.Client
	running          atomic.Int64
	leaveAnnouncedAt atomic.Int64
	slots            chan struct{}

	mu         sync.Mutex
	fault      Fault
	faultSetAt time.Time
	counts     Counts
	recorded   []Run
}

// New returns an upstream that has not been started.
func New(cfg Config) *Upstream {
	up := &Upstream{cfg: cfg, client: &http.Client{Timeout: reportTimeout}, faultSetAt: time.Now(), slots: make(chan struct{}, max(cfg.Slots, 1))}
	up.counts.ByKey = make(map[string]int)
	up.server = &http.Server{Handler: http.HandlerFunc(up.serve), ReadHeaderTimeout: time.Second}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", up.serveFault)
	mux.HandleFunc("GET /counts", up.serveCounts)
	mux.HandleFunc("GET /runs", up.serveRuns)
	up.control = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return up
}

// Counts returns a copy of the counters.
func (up *Upstream) Counts() Counts {
	up.mu.Lock()
	defer up.mu.Unlock()
	counts := up.counts
	counts.ByKey = make(map[string]int, len(up.counts.ByKey))
	for key, runs := range up.counts.ByKey {
		counts.ByKey[key] = runs
	}
	return counts
}

// SetFault replaces the current fault.
func (up *Upstream) SetFault(fault Fault) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.fault = fault
	up.faultSetAt = time.Now()
}

// Start starts the listeners and keeps the upstream registered with the daemon
// until the context ends or Stop is called.
func (up *Upstream) Start(ctx context.Context) error {
	if err := startServer(up.server, up.cfg.Address); err != nil {
		return err
	}
	if up.cfg.Control != "" {
		if err := startServer(up.control, up.cfg.Control); err != nil {
			return err
		}
	}
	if up.cfg.Daemon != "" {
		go up.announceLoop(ctx)
	}
	return nil
}

// Stop announces the leave to the daemon and waits for running requests.
func (up *Upstream) Stop(ctx context.Context) error {
	up.leaveAnnouncedAt.Store(time.Now().UnixNano())
	if up.cfg.Daemon != "" {
		_ = up.postToDaemon(ctx, "/v1/upstreams/"+up.cfg.ID+"/leave", nil)
	}
	for up.running.Load() > 0 && ctx.Err() == nil {
		time.Sleep(announceRetryInterval / 10)
	}
	if err := up.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	_ = up.control.Close()
	return nil
}

// announceLoop registers the upstream and then reports its load at each
// interval. If a report fails, it registers again.
func (up *Upstream) announceLoop(ctx context.Context) {
	announced := false
	for up.leaveAnnouncedAt.Load() == 0 {
		wait := announceInterval
		if !announced {
			err := up.postToDaemon(ctx, "/v1/upstreams", map[string]any{
				"id": up.cfg.ID, "service": up.cfg.Service, "address": up.cfg.Address, "slots": up.cfg.Slots,
				"connections": up.cfg.Connections, "coldMs": up.cfg.Cold.Milliseconds(),
			})
			announced = err == nil
		} else if up.postToDaemon(ctx, "/v1/upstreams/"+up.cfg.ID+"/load", map[string]any{"busy": up.reportedBusy()}) != nil {
			announced = false
		}
		if !announced {
			wait = announceRetryInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// reportedBusy returns the number of busy slots to report to the daemon;
// FaultLie always reports none.
func (up *Upstream) reportedBusy() int64 {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.fault.Kind == FaultLie {
		return 0
	}
	return up.running.Load()
}

func (up *Upstream) postToDaemon(ctx context.Context, path string, body any) error {
	reader, writer := io.Pipe()
	go func() { _ = writer.CloseWithError(json.NewEncoder(writer).Encode(body)) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+up.cfg.Daemon+path, reader)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+up.cfg.Token)
	resp, err := up.client.Do(req)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.New("announce: daemon responded with status " + resp.Status)
	}
	return nil
}

// serve handles one forwarded request or a health check.
func (up *Upstream) serve(wr http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/healthz" {
		_, _ = io.WriteString(wr, "ok\n")
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBodyBytes)); err != nil {
		return
	}
	up.mu.Lock()
	fault := up.fault
	affected := fault.applies(up.faultSetAt, time.Now())
	up.mu.Unlock()
	if affected && fault.Kind == FaultShed {
		wr.Header().Set("Cactus-Outcome", "notRun")
		wr.Header().Set("Retry-After", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !up.acquireSlot(req.Context()) {
		return
	}
	up.countRun(req.Header)
	responds := up.execute(req.Context(), fault, affected)
	// The slot is free before the response is written: the daemon may use it as soon as it
	// has the response, while the upstream still writes a second one or closes the connection.
	up.running.Add(-1)
	<-up.slots
	if responds {
		up.writeResponse(wr, req, fault, affected)
	}
}

// acquireSlot waits for a free slot, first come, first served. It returns false
// if the context ends first.
func (up *Upstream) acquireSlot(ctx context.Context) bool {
	select {
	case up.slots <- struct{}{}:
		return true
	default:
	}
	up.mu.Lock()
	up.counts.OverSlots++
	up.mu.Unlock()
	select {
	case up.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// countRun counts the start of a request and, if it has one, its idempotency key.
func (up *Upstream) countRun(header http.Header) {
	running := int(up.running.Add(1))
	key := header.Get(headerKey)
	up.mu.Lock()
	defer up.mu.Unlock()
	up.counts.Runs++
	if up.cfg.RecordRuns {
		up.recorded = append(up.recorded, Run{StartedAt: time.Now(), Header: header.Clone()})
	}
	up.counts.MostRunning = max(up.counts.MostRunning, running)
	if announcedAt := up.leaveAnnouncedAt.Load(); announcedAt != 0 {
		up.counts.AfterLeave++
		up.counts.LastAfterLeaveMS = time.Since(time.Unix(0, announcedAt)).Milliseconds()
	}
	if key == "" {
		return
	}
	up.counts.ByKey[key]++
	if up.counts.ByKey[key] > 1 {
		up.counts.DoubleRuns++
	}
}

// execute waits for the latency, with the fault if the request is affected by it. It
// returns false if the client cancelled the request.
func (up *Upstream) execute(ctx context.Context, fault Fault, affected bool) bool {
	latency := up.cfg.Latency/2 + time.Duration(rand.ExpFloat64()*float64(up.cfg.Latency/2))
	if affected && fault.Kind == FaultSlow {
		latency = time.Duration(float64(latency) * fault.Factor)
	}
	if affected && fault.Kind == FaultStall {
		latency = time.Hour
	}
	if affected && fault.Kind == FaultLate {
		latency += 2 * time.Second
	}
	if affected && fault.Kind == FaultIgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	select {
	case <-time.After(latency):
		return true
	case <-ctx.Done():
		up.mu.Lock()
		up.counts.Cancelled++
		up.mu.Unlock()
		return false
	}
}

// writeResponse writes the response, with the fault if the request is affected by it.
func (up *Upstream) writeResponse(wr http.ResponseWriter, req *http.Request, fault Fault, affected bool) {
	tag := req.Header.Get(headerTag)
	body := fmt.Sprintf("{\"upstream\":%q,\"path\":%q,\"tag\":%q}\n", up.cfg.ID, req.URL.Path, tag)
	header := wr.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerTag, tag)
	if !up.cfg.Plain {
		header.Set(headerAttempt, req.Header.Get(headerAttempt))
	}
	if affected && fault.Kind == FaultError {
		wr.WriteHeader(http.StatusInternalServerError)
	}
	if affected && (fault.Kind == FaultTruncate || fault.Kind == FaultDuplicate || fault.Kind == FaultCut) {
		up.writeRawResponse(wr, fault.Kind, header, body)
		return
	}
	_, _ = io.WriteString(wr, body)
}

// writeRawResponse closes the connection or writes an invalid response to it,
// which net/http would not allow.
func (up *Upstream) writeRawResponse(wr http.ResponseWriter, kind FaultKind, header http.Header, body string) {
	con, _, err := wr.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = con.Close() }()
	if kind == FaultCut {
		return
	}
	size := len(body)
	if kind == FaultTruncate {
		body = body[:size/2]
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s", size, headerTag, header.Get(headerTag), headerAttempt, header.Get(headerAttempt), body)
	_, _ = io.WriteString(con, response)
	if kind == FaultDuplicate {
		_, _ = io.WriteString(con, response)
		time.Sleep(announceRetryInterval)
	}
}

func (up *Upstream) serveCounts(wr http.ResponseWriter, req *http.Request) {
	counts := up.Counts()
	if req.URL.Query().Get("keys") == "" {
		counts.ByKey = nil
	}
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(counts)
}

func (up *Upstream) serveRuns(wr http.ResponseWriter, _ *http.Request) {
	up.mu.Lock()
	recorded := slices.Clone(up.recorded)
	up.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(recorded)
}

func (up *Upstream) serveFault(wr http.ResponseWriter, req *http.Request) {
	var fault Fault
	if err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&fault); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if err := fault.Check(); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	up.SetFault(fault)
	wr.WriteHeader(http.StatusNoContent)
}

func startServer(srv *http.Server, address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go func() { _ = srv.Serve(lis) }()
	return nil
}
