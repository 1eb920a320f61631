package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["size"] = playSize }

const (
	// The size that the users plan for, and what each tenant has: a name and two keys, the
	// present one and the next.
	plannedTenants, plannedRoutes = 20000, 3900
	// ackLimit is ack_ms. An order may take 3 ms more for each route.
	ackLimit        = 4 * time.Second
	ackTimePerRoute = 3 * time.Millisecond
)

// grownConfig returns a config of the planned size.
func grownConfig(version, base int) []byte {
	paths := []route{{"packs", "/pack/", "safe", "depot", 4000, 2}}
	for i := range plannedRoutes - 1 {
		paths = append(paths, route{fmt.Sprintf("r-%05d", i), fmt.Sprintf("/pack/%05d/", i), "safe", "depot", 4000, 2})
	}
	var list []map[string]any
	for i := range plannedTenants {
		keys := []string{fmt.Sprintf("current-%05d-4c1e09d2a76f4b0c8d1e", i), fmt.Sprintf("next-%05d-9c41d07be2a35f689c41d0", i)}
		list = append(list, map[string]any{"name": fmt.Sprintf("organisation-%05d", i), names.Keys: keys, names.Rate: 10, "burst": 20, "priority": 1})
	}
	return config(version, base, host, []string{"depot"}, paths, map[string]any{"tenants": list})
}

// playSize lets the config grow to the planned size. A second operator sends a small change
// meanwhile.
func playSize(sc *scene) (bool, error) {
	routes := []route{{"packs", "/pack/", "safe", "depot", 4000, 2}}
	first := config(3, 0, host, []string{"depot"}, routes, nil)
	op, err := sc.setUp(3, []string{"depot"}, []*endpoint{{id: "i-1", slots: 8}}, first)
	if err != nil {
		return false, err
	}
	routes[0].timeoutMS = 3000
	small := config(7, 3, host, []string{"depot"}, routes, nil)
	limit := ackLimit + plannedRoutes*ackTimePerRoute
	var grown atomic.Int32
	if sc.trouble {
		body := grownConfig(5, 3)
		sc.rec.note("the grown config, r5 on top of r3: %d routes, %d tenants, %d bytes", plannedRoutes, plannedTenants, len(body))
		done := make(chan struct{})
		defer func() { <-done }()
		go func() {
			defer close(done)
			started := time.Now()
			status := op.put(body, 50*time.Second, 6*time.Second)
			grown.Store(int32(status))
			sc.rec.note("first operator: r5 ended with status %d after %.1f s; allowed are %.1f s", status, time.Since(started).Seconds(), limit.Seconds())
		}()
		time.Sleep(limit + time.Second)
	}
	second := &operator{rec: sc.rec, targets: op.targets, next: 1}
	started := time.Now()
	status := second.put(small, 20*time.Second, requestLimit)
	took := time.Since(started)
	sc.rec.note("second operator: r7 on top of r3 ended with status %d after %.1f s; allowed are %.1f s", status, took.Seconds(), ackLimit.Seconds())
	// 412 answers r7 if r5 was accepted before.
	isSmallLate := status != 200 && status != 412 || took > ackLimit+ackTimePerRoute
	isGrownLate := sc.trouble && grown.Load() == 0
	sc.rec.note("r5 had no confirmation in time: %t; r7 had none: %t", isGrownLate, isSmallLate)
	return isGrownLate || isSmallLate, nil
}
