package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	drainTime = 2 * time.Second
	// contactWindow is how long after a restart a machine is out of touch.
	contactWindow = 3 * time.Second
)

func init() {
	cases["late-heartbeat"] = struct {
		run    caseFunc
		losses int
	}{func(dep *deployment, trouble bool) (string, error) { return leaveCase(dep, trouble, false) }, 1}
	cases["restart-late-heartbeat"] = struct {
		run    caseFunc
		losses int
	}{func(dep *deployment, trouble bool) (string, error) { return leaveCase(dep, trouble, true) }, 1}
}

func containsVersion(body []byte, version int) bool {
	return strings.Contains(string(body), fmt.Sprintf(`"r%d"`, version))
}

// shop is a small deployment: three keepers, a machine whose requesters call the service
// "cutting", and two or more machines with an endpoint of it.
type shop struct {
	dep          *deployment
	op           *operator
	front, stays *machine
	leaves       *machine
	rest, leaver *endpoint
	others       []*endpoint
	requests     *requester
}

// newShop starts the deployment, with a number of endpoints of "cutting", and waits until
// requests are served.
func newShop(dep *deployment, work time.Duration, slots, endpoints int) (*shop, error) {
	sh := &shop{dep: dep}
	var cores []*machine
	for i := range 3 {
		cores = append(cores, dep.addKeeper(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i+1)))
	}
	sh.front = dep.addSidecar("side-1", "zone-1", "front")
	sh.leaves = dep.addSidecar("side-2", "zone-1", "cutting")
	sh.stays = dep.addSidecar("side-3", "zone-1", "cutting")
	var others []*machine
	for i := range endpoints - 2 {
		others = append(others, dep.addSidecar(fmt.Sprintf("side-%d", i+4), "zone-1", "cutting"))
	}
	if err := dep.startAll(); err != nil {
		return nil, err
	}
	var err error
	for i, mac := range others {
		en, err := startEndpoint(mac, fmt.Sprintf("i-other-%d", i+1), slots, work)
		if err != nil {
			return nil, err
		}
		sh.others = append(sh.others, en)
	}
	if _, err = startEndpoint(sh.front, "i-front", slots, work); err != nil {
		return nil, err
	}
	if sh.leaver, err = startEndpoint(sh.leaves, "i-leaver", slots, work); err != nil {
		return nil, err
	}
	if sh.rest, err = startEndpoint(sh.stays, "i-rest", slots, work); err != nil {
		return nil, err
	}
	sh.op = newOperator(dep.rec, cores)
	if status := sh.op.put(simpleConfig(1, 0, "front", "cutting"), 20*time.Second); status != http.StatusOK {
		return nil, errors.New("the first config was not acknowledged")
	}
	if err := dep.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	sh.requests = newRequester(sh.front, "shop.example", http.MethodPost, "/cutting/order", 6*time.Second)
	sh.requests.body = []byte("one roll")
	return sh, nil
}

// leaveCase lets an endpoint deregister, keep serving for a while, and exit, as those do
// that never say that they are draining. With the disruption, a heartbeat that it sent
// before arrives seconds late; with restart, its daemon is killed in between.
func leaveCase(dep *deployment, trouble, restart bool) (string, error) {
	sh, err := newShop(dep, 600*time.Millisecond, 4, 2)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go sh.requests.sendEvery(ctx, 150*time.Millisecond)
	time.Sleep(3 * time.Second)
	cancel()
	sh.requests.wait()
	if len(sh.leaver.ran()) == 0 {
		return "", errors.New("the endpoint got no requests before it left")
	}
	late := sh.leaver.nextHeartbeat()
	sentAt := time.Now()
	dep.rec.add("%s: sends a heartbeat that is held up on its way", sh.leaver.id)
	if !trouble {
		_ = sh.leaver.send(http.MethodPut, late)
	}
	time.Sleep(300 * time.Millisecond)
	confirmedAt, err := sh.leaver.leave()
	if err != nil {
		return "", err
	}
	resume, arrives, exits := 2500*time.Millisecond, 6300*time.Millisecond, 6800*time.Millisecond
	if restart {
		// The restarted machine is in touch again contactWindow after its start.
		resume, arrives, exits = contactWindow+1200*time.Millisecond, 3900*time.Millisecond, 4700*time.Millisecond
	}
	if restart && trouble {
		time.Sleep(300 * time.Millisecond)
		sh.leaves.signal(syscall.SIGKILL)
		time.Sleep(400 * time.Millisecond)
		if err := sh.leaves.start(); err != nil {
			return "", err
		}
	}
	time.AfterFunc(time.Until(confirmedAt.Add(resume)), func() {
		ctx, cancel := context.WithDeadline(context.Background(), confirmedAt.Add(exits+time.Second))
		defer cancel()
		sh.requests.sendEvery(ctx, 60*time.Millisecond)
	})
	if trouble {
		time.Sleep(time.Until(confirmedAt.Add(arrives)))
		dep.rec.add("%s: the heartbeat arrives, %.1f s late", sh.leaver.id, time.Since(sentAt).Seconds())
		_ = sh.leaver.send(http.MethodPut, late)
	}
	time.Sleep(time.Until(confirmedAt.Add(exits)))
	sh.leaver.exit()
	time.Sleep(1500 * time.Millisecond)
	sh.requests.wait()
	return sh.checkDrain(confirmedAt), nil
}

// checkDrain returns what broke the rule DRAIN: requests that were sent later than
// drainTime after the endpoint's leave was confirmed, and that it ran.
func (sh *shop) checkDrain(confirmedAt time.Time) string {
	sent := sh.requests.requests()
	late, failed := 0, 0
	for _, arr := range sh.leaver.ran() {
		req := sent[arr.id]
		if req == nil || !req.sentAt.After(confirmedAt.Add(drainTime)) {
			continue
		}
		late++
		if req.err != nil || req.status != http.StatusOK {
			failed++
		}
		sh.dep.rec.add("%s ran %s, sent %.1f s after its leave was confirmed; answer: %s", arr.endpoint, arr.id, req.sentAt.Sub(confirmedAt).Seconds(), outcomeOf(req.status, req.err))
	}
	served := 0
	for _, req := range sent {
		if req.status == http.StatusOK {
			served++
		}
	}
	sh.dep.rec.add("%d of %d requests were served", served, len(sent))
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached the endpoint later than %s after its leave was confirmed; %d of them got no answer of it", late, drainTime, failed)
}
