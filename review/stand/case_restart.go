package main

import (
	"fmt"
	"time"
)

func init() { cases["restart"] = playRestart }

// playRestart crashes an endpoint soon after its start. Its heartbeats are still on their way
// when it has started again under its id, and arrive between two of the new start. Then the
// endpoint leaves.
func playRestart(sc *scene) (bool, error) {
	staying := &endpoint{id: "i-stays", slots: 8, work: orderWork}
	cfg := config(3, 0, host, []string{"depot", "desk"}, leaveRoutes(), nil)
	if _, err := sc.setUp(3, []string{"depot", "depot", "desk"}, []*endpoint{nil, staying, nil}, cfg); err != nil {
		return false, err
	}
	gate := sc.fl.daemons[0]
	address := sc.fl.daemons[2].settings["listen.outbound"]
	if served, _ := sc.stream(address, "before", 3*time.Second); served == 0 {
		return false, fmt.Errorf("%w: no request was served", errInvalid)
	}
	newStart := func() *endpoint {
		return &endpoint{id: "i-again", slots: 8, work: orderWork, rec: sc.rec, service: "depot", zone: gate.settings["zone"], address: gate.settings["app_addr"], control: gate.settings["listen.control"]}
	}
	former := newStart()
	if sc.trouble {
		former.silent.Store(true) // Its heartbeats are delayed.
		if err := former.start(); err != nil {
			return false, err
		}
		sc.rec.note("%s starts (born %d); its heartbeats 1 and 2 are delayed on their way", former.id, former.born)
		time.Sleep(2 * time.Second)
		former.close()
		sc.rec.note("%s crashes", former.id)
		time.Sleep(700 * time.Millisecond)
	}
	present := newStart()
	if err := present.start(); err != nil {
		return false, err
	}
	sc.rec.note("%s starts (born %d); it sends a heartbeat each 1.5 s from now on", present.id, present.born)
	reached := 0
	for end := time.Now().Add(4 * time.Second); reached == 0 && time.Now().Before(end); {
		_, reached = sc.stream(address, "registered", 700*time.Millisecond, present)
	}
	if reached == 0 {
		return false, fmt.Errorf("%w: the new start got no request", errInvalid)
	}
	if sc.trouble {
		for last := present.sequence.Load(); present.sequence.Load() == last; {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond) // The heartbeat of the present start has arrived.
		for sequence := range int64(2) {
			sentAt := time.UnixMilli(former.born).Add(time.Duration(sequence) * 1500 * time.Millisecond)
			sc.rec.note("heartbeat %d of the former start arrives, late by %.1f s; confirmed: %t", sequence+1, time.Since(sentAt).Seconds(), former.beat(sequence+1, "ready"))
			if sequence == 0 {
				time.Sleep(900 * time.Millisecond)
			}
		}
	}
	sc.stream(address, "meanwhile", 2*time.Second) // The present start goes on with its heartbeats.
	present.silent.Store(true)
	if !present.leave() {
		return false, fmt.Errorf("%w: the leave was not confirmed", errInvalid)
	}
	confirmedAt := time.Now()
	sc.rec.note("DELETE /instances/%s of the present start is confirmed", present.id)
	time.Sleep(2500 * time.Millisecond)
	return sc.judgeLeave(address, present, confirmedAt)
}
