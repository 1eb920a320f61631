package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// request is one attempt of a requester.
type request struct {
	id     string
	sentAt time.Time
	status int
	seal   string
	err    error
	size   int
}

// requester sends requests to the daemon of one machine, each on a new connection.
type requester struct {
	mac    *machine
	host   string
	method string
	path   string
	limit  time.Duration
	body   []byte

	client *http.Client
	mu     sync.Mutex
	sent   []*request
	wg     sync.WaitGroup
}

var requestCount atomic.Int64

func newRequester(mac *machine, host, method, path string, limit time.Duration) *requester {
	return &requester{mac: mac, host: host, method: method, path: path, limit: limit, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one request and waits for the answer.
func (rq *requester) send() *request {
	rec := rq.mac.dep.rec
	out := &request{id: fmt.Sprintf("%016x", requestCount.Add(1)), sentAt: time.Now()}
	rq.mu.Lock()
	rq.sent = append(rq.sent, out)
	rq.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), rq.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, rq.method, "http://"+rq.mac.outboundAddress()+rq.path, bytes.NewReader(rq.body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = rq.host
	req.Header.Set(names.Request, out.id)
	req.Header.Set(names.Deadline, strconv.FormatInt(rq.limit.Milliseconds(), 10))
	rec.add("requester at %s: sends %s %s%s as %s", rq.mac.Name, rq.method, rq.host, rq.path, out.id)
	resp, err := rq.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		out.status, out.seal, out.size = resp.StatusCode, resp.Header.Get(names.Seal), len(data)
	}
	out.err = err
	rec.add("requester at %s: %s is answered: %s, seal %q, %d bytes", rq.mac.Name, out.id, outcomeOf(out.status, err), out.seal, out.size)
	return out
}

// sendEvery sends requests at an interval until the context ends. wait waits for their
// answers.
func (rq *requester) sendEvery(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		rq.wg.Go(func() { rq.send() })
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

func (rq *requester) wait() { rq.wg.Wait() }

// requests returns the requests sent so far, by id.
func (rq *requester) requests() map[string]*request {
	rq.mu.Lock()
	defer rq.mu.Unlock()
	byID := make(map[string]*request, len(rq.sent))
	for _, req := range rq.sent {
		byID[req.id] = req
	}
	return byID
}

// awaitReady waits until the daemons of all sidecar machines are ready.
func (dp *deployment) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, mac := range dp.machines {
			ready = ready && (mac.Class != "sidecar" || mac.isReady())
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the daemons were not ready within %s", within)
}

func (ma *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ma.readyAddress()+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
