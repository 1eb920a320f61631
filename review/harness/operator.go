package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends configs to the machines of the core. It follows a redirect twice, and
// moves on to another machine after a failure or a second without a response.
type operator struct {
	rec    *recorder
	client *http.Client
	cores  []*machine
}

func newOperator(rec *recorder, cores []*machine) *operator {
	return &operator{rec: rec, cores: cores, client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}}
}

// call makes one call to one machine.
func (op *operator) call(method string, mac *machine, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+mac.controlAddress()+"/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := op.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// put sends a config until it is acknowledged or refused, and returns the last status.
func (op *operator) put(cfg configData, within time.Duration) int {
	body := renderWire("config", cfg)
	status := 0
	for deadline, turn := time.Now().Add(within), 0; time.Now().Before(deadline); turn++ {
		mac := op.cores[turn%len(op.cores)]
		var err error
		status, _, err = op.call(http.MethodPut, mac, body)
		op.rec.add("operator: config r%d to %s: %s", cfg.Version, mac.Name, outcomeOf(status, err))
		if err == nil && (status == http.StatusOK || status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// get reads the config until one machine returns it.
func (op *operator) get(within time.Duration) ([]byte, bool) {
	last := ""
	for deadline, turn := time.Now().Add(within), 0; time.Now().Before(deadline); turn++ {
		mac := op.cores[turn%len(op.cores)]
		status, body, err := op.call(http.MethodGet, mac, nil)
		if line := fmt.Sprintf("operator: read of the config at %s: %s", mac.Name, outcomeOf(status, err)); line != last {
			op.rec.add("%s", line)
			last = line
		}
		if err == nil && status == http.StatusOK {
			return body, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, false
}

func outcomeOf(status int, err error) string {
	if err != nil {
		text := err.Error()
		if at := strings.LastIndex(text, ": "); at >= 0 {
			text = text[at+2:]
		}
		return "no answer: " + text
	}
	return fmt.Sprint(status)
}
