package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for an application endpoint. It runs each request for work, and
// sends heartbeats to the control address of its machine.
type endpoint struct {
	rec      *recorder
	id       string
	service  string
	zone     string
	address  string
	control  string
	slots    int
	born     int64
	sequence atomic.Int64
	state    atomic.Value // string
	silent   atomic.Bool  // Sends no heartbeats.
	work     func(req *http.Request) time.Duration
	body     func(req *http.Request) []byte
	header   func(http.Header)
	server   *http.Server
	stop     chan struct{}

	mu   sync.Mutex
	runs map[string]int
	// ran holds what was run, in order.
	ran []runRecord
}

type runRecord struct {
	id, method, uri string
	at              time.Time
}

func (en *endpoint) start() error {
	en.runs = make(map[string]int)
	en.stop = make(chan struct{})
	if en.born == 0 {
		en.born = time.Now().UnixMilli()
	}
	en.state.Store("ready")
	lis, err := net.Listen("tcp", en.address)
	if err != nil {
		return err
	}
	en.server = &http.Server{Handler: en, IdleTimeout: 10 * time.Second}
	go func() { _ = en.server.Serve(lis) }()
	go en.beatLoop()
	return nil
}

func (en *endpoint) close() {
	close(en.stop)
	_ = en.server.Close()
}

func (en *endpoint) beatLoop() {
	for {
		if !en.silent.Load() {
			en.beat(en.sequence.Add(1), en.state.Load().(string))
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-en.stop:
			return
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged within a second.
func (en *endpoint) beat(sequence int64, state string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": en.service, "address": en.address, "zone": en.zone, "version": "v1", "slots": en.slots,
		"state": state, names.ColdRemaining: 0, "sequence": sequence, "born": en.born,
	})
	return en.call(http.MethodPut, body)
}

// leave sends the DELETE of an endpoint that leaves.
func (en *endpoint) leave() bool {
	body, _ := json.Marshal(map[string]any{"born": en.born})
	return en.call(http.MethodDelete, body)
}

func (en *endpoint) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+en.control+"/instances/"+en.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

func (en *endpoint) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		wr.Header().Set(names.Instance, en.id)
		return
	}
	id := req.Header.Get(names.RequestID)
	wr.Header().Set(names.RequestID, id)
	if en.header != nil {
		en.header(wr.Header())
	}
	if target := req.Header.Get(names.Target); target != "" && target != en.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sent, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	en.mu.Lock()
	en.runs[id]++
	en.ran = append(en.ran, runRecord{id, req.Method, req.RequestURI, time.Now()})
	en.mu.Unlock()
	en.rec.note("endpoint %s begins to run %s %s id=%s body=%d bytes", en.id, req.Method, req.RequestURI, id, len(sent))
	if en.work != nil {
		select {
		case <-time.After(en.work(req)):
		case <-req.Context().Done():
			en.rec.note("endpoint %s: the connection of %s was closed while it ran", en.id, id)
			return
		}
	}
	answer := []byte("answer to " + id + "\n")
	if en.body != nil {
		answer = en.body(req)
	}
	wr.Header().Set(names.Seal, fmt.Sprintf("seal-%s-%d", id, len(answer)))
	wr.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	wr.WriteHeader(http.StatusOK)
	_, _ = wr.Write(answer)
	en.rec.note("endpoint %s has answered %s: 200, %d bytes", en.id, id, len(answer))
}
