package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["first"] = playFirst }

// playFirst lets one of five core machines lose power as the whole system starts for the first
// time. It is back after a minute.
func playFirst(sc *scene) (bool, error) {
	const (
		contactWindow = 3 * time.Second
		ackLimit      = 4 * time.Second
		downFor       = 60 * time.Second
	)
	sc.fl.losses = 2
	for i := range 5 {
		sc.fl.addKeeper(fmt.Sprintf("zone-%c", 'a'+i%3))
	}
	sc.fl.addDaemon("zone-a", "depot")
	sc.fl.addDaemon("zone-b", "desk")
	if err := sc.fl.startAll(); err != nil {
		return false, err
	}
	lost := sc.fl.keepers[4]
	startedAt := time.Now()
	if sc.trouble {
		sc.fl.signal(lost, syscall.SIGKILL)
		sc.rec.note("%s, one of 5 and no seed, loses power as it starts; the other 4 and the daemons run", lost.name)
	}
	gate := sc.fl.daemons[0]
	en := &endpoint{id: "i-1", slots: 8, rec: sc.rec, service: "depot", zone: gate.settings["zone"], address: gate.settings["app_addr"], control: gate.settings["listen.control"]}
	if err := en.start(); err != nil {
		return false, err
	}
	op := &operator{rec: sc.rec}
	for _, pr := range sc.fl.keepers[:4] { // The operator's list has the others.
		op.targets = append(op.targets, pr.settings["listen.control"])
	}
	cfg := config(3, 0, host, []string{"depot", "desk"}, []route{{"packs", "/pack/", "safe", "depot", 4000, 2}}, nil)
	status := op.put(cfg, downFor-5*time.Second, requestLimit)
	took := time.Since(startedAt)
	sc.rec.note("the first config, which is sent from the start on, ended with status %d after %.1f s", status, took.Seconds())
	if status == 200 {
		time.Sleep(2 * time.Second)
	}
	served, _ := sc.stream(sc.fl.daemons[1].settings["listen.outbound"], "request", 3*time.Second)
	sc.rec.note("%d requests were served in 3 s", served)
	if sc.trouble {
		time.Sleep(time.Until(startedAt.Add(downFor)))
		lost.settings["bootstrap"] = "true" // Its disk is empty: the system has not been started before.
		if err := sc.fl.start(lost); err != nil {
			return false, err
		}
		sc.rec.note("%s is back", lost.name)
		sc.rec.note("the first config ended with status %d then", op.put(cfg, 10*time.Second, requestLimit))
	}
	return status != 200 || took > contactWindow+ackLimit, nil
}
