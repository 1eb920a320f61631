package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["stop-answer"] = struct {
		run    caseFunc
		losses int
	}{stopAnswer, 1}
}

const (
	// answerSize is the size of an answer in bytes. It is well under the 7.75 MB that
	// docs/upstreams.md allows.
	answerSize = 4_000_000
	stopRounds = 6
	// slots is the number of slots of an endpoint, and roundRequests the number of requests
	// that are sent at once in each round: one for each slot.
	slots         = 4
	roundRequests = 16
)

// stopAnswer stops and restarts, as planned, the daemon beside an endpoint that runs
// requests of another machine. The endpoint goes on and answers all of them.
func stopAnswer(dep *deployment, trouble bool) (string, error) {
	sh, err := newShop(dep, 1500*time.Millisecond, slots, 4)
	if err != nil {
		return "", err
	}
	sh.leaver.payload, sh.rest.payload = answerSize, answerSize
	for _, en := range sh.others {
		en.payload = answerSize
	}
	for range stopRounds {
		var wg sync.WaitGroup
		for range roundRequests {
			wg.Go(func() { sh.requests.send() })
		}
		time.Sleep(400 * time.Millisecond)
		if trouble {
			sh.leaves.terminate()
		}
		wg.Wait()
		if trouble {
			if err := sh.leaves.start(); err != nil {
				return "", err
			}
		}
		time.Sleep(7 * time.Second) // The endpoint has its full share again 5 s after the start of its daemon.
	}
	sent := sh.requests.requests()
	ran, lost := 0, 0
	for _, arr := range sh.leaver.ran() {
		if !sh.leaver.hasAnswered(arr.id) {
			continue
		}
		ran++
		if req := sent[arr.id]; req.err != nil || req.status != http.StatusOK {
			lost++
			dep.rec.add("%s ran and answered %s; the requester got: %s", sh.leaver.id, arr.id, outcomeOf(req.status, req.err))
		}
	}
	if ran == 0 {
		return "", errors.New("the endpoint beside the stopped daemon got no requests")
	}
	if lost == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d requests that the endpoint ran and answered while its daemon stopped were answered with a failure", lost, ran), nil
}
