package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// endpointQueue is the number of requests that an endpoint queues beyond its slots.
	endpointQueue = 12
)

// arrival is one request that an endpoint ran.
type arrival struct {
	id, endpoint string
	at           time.Time
}

// endpoint is a stand-in for an application endpoint.
type endpoint struct {
	id      string
	mac     *machine
	slots   int
	work    time.Duration
	payload int
	born    int64

	mu       sync.Mutex
	sequence int
	state    string
	leaving  bool
	active   int
	arrivals []arrival
	// answered holds the ids of the requests whose answers were written in full.
	answered map[string]bool
	free     chan struct{}
	server   *http.Server
	stop     context.CancelFunc
	ctx      context.Context
}

const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// startEndpoint starts an endpoint beside the daemon of a machine, with its heartbeats.
func startEndpoint(mac *machine, id string, slots int, work time.Duration) (*endpoint, error) {
	en := &endpoint{id: id, mac: mac, slots: slots, work: work, born: time.Now().UnixMilli(), state: stateReady, answered: make(map[string]bool), free: make(chan struct{}, slots)}
	return en, en.start()
}

func (en *endpoint) start() error {
	en.ctx, en.stop = context.WithCancel(context.Background())
	lis, err := net.Listen("tcp", en.mac.appAddress())
	if err != nil {
		return err
	}
	en.server = &http.Server{Handler: en, IdleTimeout: 10 * time.Second}
	go func() { _ = en.server.Serve(lis) }()
	go en.beat()
	en.mac.dep.rec.add("%s: endpoint started at %s", en.id, en.mac.appAddress())
	return nil
}

// exit ends the endpoint at once, with its connections.
func (en *endpoint) exit() {
	en.mac.dep.rec.add("%s: endpoint exits", en.id)
	en.stop()
	_ = en.server.Close()
}

// ServeHTTP runs one request.
func (en *endpoint) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	rec := en.mac.dep.rec
	header := wr.Header()
	if req.URL.Path == "/health" {
		header.Set(names.Instance, en.id)
		if en.isLeaving() {
			wr.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := req.Header.Get(names.Request)
	header.Set(names.Request, id)
	if en.isLeaving() {
		header.Set(names.Leaving, "1")
	}
	body, _ := io.ReadAll(req.Body)
	if target := req.Header.Get(names.Target); target != "" && target != en.id {
		header.Set(names.NotRun, "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	en.mu.Lock()
	isFull := en.active >= en.slots+endpointQueue
	if !isFull {
		en.active++
	}
	en.mu.Unlock()
	if isFull || id == "" {
		header.Set(names.NotRun, "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		en.mu.Lock()
		en.active--
		en.mu.Unlock()
	}()
	select {
	case en.free <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-en.free }()
	rec.add("%s: runs request %s", en.id, id)
	en.mu.Lock()
	en.arrivals = append(en.arrivals, arrival{id: id, endpoint: en.id, at: time.Now()})
	en.mu.Unlock()
	select {
	case <-time.After(en.work):
	case <-req.Context().Done():
		rec.add("%s: request %s is broken off", en.id, id)
		return
	case <-en.ctx.Done():
		rec.add("%s: request %s ends with the endpoint", en.id, id)
		panic(http.ErrAbortHandler)
	}
	if en.isLeaving() {
		header.Set(names.Leaving, "1")
	}
	answer := fmt.Appendf(nil, "%s answered %s, body of %d bytes\n", en.id, id, len(body))
	answer = append(answer, bytes.Repeat([]byte("x"), en.payload)...)
	header.Set(names.Seal, "seal."+en.id+"."+id)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, err := wr.Write(answer)
	en.mu.Lock()
	en.answered[id] = err == nil
	en.mu.Unlock()
	rec.add("%s: answered request %s with 200 (%v)", en.id, id, errOrOK(err))
}

func errOrOK(err error) string {
	if err == nil {
		return "written"
	}
	return err.Error()
}

func (en *endpoint) isLeaving() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.leaving
}

// ran returns the requests that the endpoint has run.
func (en *endpoint) ran() []arrival {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]arrival(nil), en.arrivals...)
}

// hasAnswered reports whether the answer to a request was written in full.
func (en *endpoint) hasAnswered(id string) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.answered[id]
}

// beat sends heartbeats until the endpoint has left.
func (en *endpoint) beat() {
	for en.ctx.Err() == nil && !(en.isLeaving() && en.state != stateDraining) {
		if body := en.nextHeartbeat(); body != nil {
			_ = en.send(http.MethodPut, body)
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-en.ctx.Done():
		}
	}
}

// nextHeartbeat returns the body of the next heartbeat.
func (en *endpoint) nextHeartbeat() []byte {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.sequence++
	return renderWire("heartbeat", map[string]any{
		"Service": en.mac.Service, "Address": en.mac.appAddress(), "Zone": en.mac.Zone, "Slots": en.slots, "State": en.state, "Sequence": en.sequence, "Born": en.born,
	})
}

// send makes one call to the daemon beside the endpoint, and reports whether it was
// acknowledged.
func (en *endpoint) send(method string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+en.mac.controlAddress()+"/instances/"+en.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		en.mac.dep.rec.add("%s: %s %s: %s", en.id, method, bytes.TrimSpace(body), outcomeOf(0, err))
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	en.mac.dep.rec.add("%s: %s %s: %d", en.id, method, bytes.TrimSpace(body), resp.StatusCode)
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}

var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// leave deregisters the endpoint, as those do that never say that they are draining. It
// returns the time of the confirmation.
func (en *endpoint) leave() (time.Time, error) {
	en.mu.Lock()
	en.leaving = true
	en.mu.Unlock()
	body := renderWire("leave", map[string]any{"Born": en.born})
	for range 5 {
		if en.send(http.MethodDelete, body) == nil {
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, errors.New("the leave was not confirmed")
}
