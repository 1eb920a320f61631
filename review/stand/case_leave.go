package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-beat"] = playLateBeat }

// leaveRoutes are a route for safe requests and one for those that may run once only.
func leaveRoutes() []route {
	return []route{{"packs", "/pack/", "safe", "depot", 4000, 2}, {"orders", "/order/", names.OnceOnly, "depot", 4000, 2}}
}

// orderWork is how long an order takes at an endpoint. Other requests take no time.
func orderWork(req *http.Request) time.Duration {
	if req.Method == http.MethodPost {
		return time.Second
	}
	return 0
}

// playLateBeat lets an endpoint leave. All processes are killed right after the confirmation and
// are back within a second. A heartbeat that the endpoint sent before it left arrives late.
func playLateBeat(sc *scene) (bool, error) {
	leaving := &endpoint{id: "i-leaves", slots: 8, work: orderWork}
	staying := &endpoint{id: "i-stays", slots: 8, work: orderWork}
	cfg := config(3, 0, host, []string{"depot", "desk"}, leaveRoutes(), nil)
	op, err := sc.setUp(3, []string{"depot", "depot", "desk"}, []*endpoint{leaving, staying, nil}, cfg)
	if err != nil {
		return false, err
	}
	address := sc.fl.daemons[2].settings["listen.outbound"]
	if served, _ := sc.stream(address, "before", 4*time.Second); served == 0 {
		return false, fmt.Errorf("%w: no request was served", errInvalid)
	}
	leaving.silent.Store(true)
	late := leaving.sequence.Add(1)
	sc.rec.note("heartbeat %d of %s is sent, and delayed on its way", late, leaving.id)
	confirmed := false
	for i := 0; !confirmed && i < 5; i++ {
		confirmed = leaving.leave()
	}
	if !confirmed {
		return false, fmt.Errorf("%w: the leave was not confirmed", errInvalid)
	}
	confirmedAt := time.Now()
	sc.rec.note("DELETE /instances/%s is confirmed", leaving.id)
	if sc.trouble {
		if err := sc.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(confirmedAt.Add(3 * time.Second)))
	sc.rec.note("heartbeat %d (ready) arrives, late by 3 s; confirmed: %t", late, leaving.beat(late, "ready"))
	time.Sleep(time.Until(confirmedAt.Add(8 * time.Second)))
	status, version := op.get(op.targets[0], 2*time.Second)
	sc.rec.note("GET /config: %d %s", status, version)
	return sc.judgeLeave(address, leaving, confirmedAt)
}

// killAll kills all processes at the same moment and starts them again.
func (sc *scene) killAll() error {
	for _, pr := range sc.fl.all() {
		sc.fl.signal(pr, syscall.SIGKILL)
	}
	for _, pr := range sc.fl.all() {
		pr.wait(2 * time.Second)
	}
	sc.rec.note("all processes have been killed")
	time.Sleep(500 * time.Millisecond)
	for _, pr := range sc.fl.all() {
		pr.settings["bootstrap"] = "false"
		if err := sc.fl.start(pr); err != nil {
			return err
		}
	}
	sc.rec.note("all processes are started again")
	return nil
}

// judgeLeave sends requests and orders for some seconds, and reports whether one of them reached
// an endpoint whose leave was confirmed longer than drain_ms ago. The endpoint exits meanwhile.
func (sc *scene) judgeLeave(address string, leaving *endpoint, confirmedAt time.Time) (bool, error) {
	const duration, exitAfter = 5 * time.Second, 3 * time.Second
	from := time.Now()
	time.AfterFunc(exitAfter, func() {
		sc.rec.note("%s exits", leaving.id)
		leaving.close()
	})
	var mu sync.Mutex
	var group sync.WaitGroup
	cut := 0
	for sender := range 4 {
		group.Go(func() {
			for i := 0; time.Since(from) < duration; i++ {
				id := fmt.Sprintf("order-%d-%d", sender, i)
				an := request(address, http.MethodPost, "/order/x", host, id, 3500, "one")
				leaving.mu.Lock()
				ran := leaving.runs[id]
				leaving.mu.Unlock()
				if ran == 0 || an.status == http.StatusOK {
					continue
				}
				sc.rec.note("requester: %s began to run at %s and was not answered by it: %v", id, leaving.id, an)
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
	served, _ := sc.stream(address, "after", duration)
	group.Wait()
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	reached := 0
	for _, run := range leaving.ran {
		if run.at.After(from) {
			reached++
		}
	}
	sc.rec.note("%d requests were served; %d requests and orders reached %s, %.1f s and more after its leave was confirmed; %d orders were cut by its exit", served, reached, leaving.id, from.Sub(confirmedAt).Seconds(), cut)
	if served == 0 {
		return false, fmt.Errorf("%w: no request was served at the end", errInvalid)
	}
	return reached > 0, nil
}
