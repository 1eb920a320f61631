package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["forged"] = playForged }

// playForged sends heartbeats of another writer to the control address of one machine. They lack
// two fields, and name the address of a server that is no endpoint.
func playForged(sc *scene) (bool, error) {
	en := &endpoint{id: "i-1", slots: 8, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
	op, err := sc.setUp(3, []string{"depot", "desk"}, []*endpoint{en, nil}, config(3, 0, host, []string{"depot", "desk"}, leaveRoutes(), nil))
	if err != nil {
		return false, err
	}
	status, version := op.get(op.targets[0], requestLimit)
	sc.rec.note("GET /config: %d %s", status, version)
	address := sc.fl.daemons[1].settings["listen.outbound"]
	if served, _ := sc.stream(address, "before", 3*time.Second); served == 0 {
		return false, fmt.Errorf("%w: no request was served", errInvalid)
	}
	var got atomic.Int64
	lis, err := net.Listen("tcp", sc.fl.net+".9.9:8080")
	if err != nil {
		return false, err
	}
	other := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		got.Add(1)
		sc.rec.note("the other server gets %s %s id=%s", req.Method, req.RequestURI, req.Header.Get(names.RequestID))
		_, _ = io.WriteString(wr, "It works!\n")
	})}
	go func() { _ = other.Serve(lis) }()
	defer other.Close()
	gate := sc.fl.daemons[0]
	if sc.trouble {
		body, _ := json.Marshal(map[string]any{"service": "depot", "address": lis.Addr().String(), "zone": gate.settings["zone"], "version": "v1", "slots": 8, "state": "ready", "sequence": 1})
		req, err := http.NewRequest(http.MethodPut, "http://"+gate.settings["listen.control"]+"/instances/i-other", bytes.NewReader(body))
		if err != nil {
			return false, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false, err
		}
		_ = resp.Body.Close()
		sc.rec.note("a heartbeat of another writer, without %s and born, at %s: %s: %d", names.ColdRemaining, gate.name, body, resp.StatusCode)
	}
	unsealed, lost, answered := 0, 0, 0
	for i, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); i++ {
		id := fmt.Sprintf("order-%d", i)
		an := request(address, http.MethodPost, "/order/x", host, id, 3000, "one")
		if an.status/100 != 2 {
			continue
		}
		answered++
		en.mu.Lock()
		ran := en.runs[id]
		en.mu.Unlock()
		if an.seal == "" {
			unsealed++
			sc.rec.note("requester: success without a seal: %v %q; the order was run %d times", an, an.body, ran)
		}
		if ran == 0 {
			lost++
		}
	}
	sc.rec.note("%d orders were answered with success, %d of them without a seal; %d were run by no endpoint; the other server got %d requests", answered, unsealed, lost, got.Load())
	if answered == 0 {
		return false, fmt.Errorf("%w: no order was answered", errInvalid)
	}
	return unsealed > 0, nil
}
