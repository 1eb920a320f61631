package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// ackTime is how long a proper config may go without a confirmation.
	ackTime = 4 * time.Second
	// startWait is how long the case waits for the first config.
	startWait = 45 * time.Second
)

func init() {
	cases["first-start"] = struct {
		run    caseFunc
		losses int
	}{firstStart, 2}
}

// firstStart kills one of five keepers while the whole system starts for the first time. The
// platform restarts it within a second; it isn't the first start of the system any more.
func firstStart(dep *deployment, trouble bool) (string, error) {
	var cores []*machine
	for i := range 5 {
		cores = append(cores, dep.addKeeper(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i%3+1)))
	}
	side := dep.addSidecar("side-1", "zone-1", "work")
	if err := dep.startAll(); err != nil {
		return "", err
	}
	if trouble {
		killed := cores[4]
		time.Sleep(20 * time.Millisecond)
		killed.kill()
		time.Sleep(500 * time.Millisecond)
		if err := killed.start(); err != nil {
			return "", err
		}
	}
	if _, err := startEndpoint(side, "i-work", 4, 100*time.Millisecond); err != nil {
		return "", err
	}
	// The core is stable again contactWindow after the restart.
	time.Sleep(contactWindow)
	stableAt := time.Now()
	op := newOperator(dep.rec, cores)
	status := op.put(simpleConfig(1, 0, "work"), startWait)
	took := time.Since(stableAt)
	served := 0
	requests := newRequester(side, "shop.example", http.MethodPost, "/work/order", 3*time.Second)
	if status == http.StatusOK {
		time.Sleep(2 * time.Second)
	}
	for range 10 {
		if requests.send().status == http.StatusOK {
			served++
		}
	}
	if status == http.StatusOK && took <= ackTime {
		if served == 0 {
			return "", errors.New("the config was acknowledged, but no request was served")
		}
		return "", nil
	}
	return fmt.Sprintf("Acks: the first config had no confirmation for %.0f s in which the core was stable; %d of 10 requests were served", took.Seconds(), served), nil
}
