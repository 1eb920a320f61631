package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type route struct {
	name, prefix, kind, service string
	timeoutMS, attempts         int
}

// config returns a complete config in the form of the pages.
func config(version, base int, host string, services []string, routes []route, extra map[string]any) []byte {
	var srv, paths []map[string]any
	for _, name := range services {
		srv = append(srv, map[string]any{"name": name, names.Health: "/health", "max_connections": 330, "protocol": "h1", "tls": false})
	}
	for _, rou := range routes {
		paths = append(paths, map[string]any{
			"name": rou.name, names.Prefix: rou.prefix, "kind": rou.kind, "timeout_ms": rou.timeoutMS, names.TargetLatency: rou.timeoutMS / 2,
			"priority": 1, "service": rou.service, names.Attempts: rou.attempts,
		})
	}
	body := map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": srv,
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		names.Hosts: []map[string]any{{"host": host, "paths": paths}},
		names.Base:  0,
	}
	if base > 0 {
		body[names.Base] = fmt.Sprintf("r%d", base)
	}
	for name, value := range extra {
		body[name] = value
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// operator sends orders to the keepers, one after another.
type operator struct {
	rec     *recorder
	targets []string
	next    int
}

// put sends a config until a status ends the call or the limit has passed. It returns the
// status, or 0.
func (op *operator) put(body []byte, limit time.Duration, attempt time.Duration) int {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for time.Now().Before(end) {
		target := op.targets[op.next%len(op.targets)]
		op.next++
		status := op.send(http.MethodPut, "http://"+target+"/config", body, attempt, nil)
		op.rec.note("operator: PUT /config (%d bytes) at %s: %s", len(body), target, statusText(status))
		switch status {
		case 200, 400, 409, 412, 413, 422:
			return status
		}
		time.Sleep(pause)
		pause = min(2*pause, 800*time.Millisecond)
	}
	return 0
}

// get reads the config at one keeper.
func (op *operator) get(target string, limit time.Duration) (int, string) {
	var body []byte
	status := op.send(http.MethodGet, "http://"+target+"/config", nil, limit, &body)
	var parsed struct {
		Version string `json:"version"`
	}
	_ = json.Unmarshal(body, &parsed)
	return status, parsed.Version
}

// send follows a 307 twice.
func (op *operator) send(method, url string, body []byte, limit time.Duration, got *[]byte) int {
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			cancel()
			return 0
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		cancel()
		if resp.StatusCode != http.StatusTemporaryRedirect {
			if got != nil {
				*got = data
			}
			if resp.StatusCode/100 != 2 {
				op.rec.note("operator: answer %d %s", resp.StatusCode, strings.TrimSpace(string(data[:min(len(data), 160)])))
			}
			return resp.StatusCode
		}
		url = resp.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect
}

func statusText(status int) string {
	if status == 0 {
		return "no response"
	}
	return fmt.Sprint(status)
}

// ready waits until a daemon says that it is ready.
func ready(ip string, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", ip, portReady), nil)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == 200 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
