package floor_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cactusstream.example/core/floor"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204") // CI draws the same inputs on every run.
}

func drawEndpoints(t *rapid.T) []floor.Endpoint {
	count := rapid.IntRange(0, 14).Draw(t, "count")
	var endpoints []floor.Endpoint
	for i := range count {
		endpoints = append(endpoints, floor.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Slots: rapid.IntRange(1, 9).Draw(t, "slots"),
			Available: rapid.IntRange(0, 4).Draw(t, "available") > 0,
			Unhealthy: rapid.Bool().Draw(t, "unhealthy"), Severity: rapid.IntRange(0, 3).Draw(t, "severity"),
		})
	}
	return endpoints
}

// remaining returns the slots and endpoints that are available and not ejected.
func remaining(endpoints []floor.Endpoint, ejected map[string]bool) (slots, ends int) {
	for _, end := range endpoints {
		if end.Available && !ejected[end.ID] {
			slots += end.Slots
			ends++
		}
	}
	return slots, ends
}

// decideOneByOne is the reference implementation: it ejects one endpoint at a time
// and computes the floor anew after each.
func decideOneByOne(endpoints []floor.Endpoint, policy floor.Policy) map[string]bool {
	ejected := make(map[string]bool)
	skipped := make(map[string]bool)
	for {
		var worst *floor.Endpoint
		for i, end := range endpoints {
			if end.Unhealthy && end.Available && !ejected[end.ID] && !skipped[end.ID] && (worst == nil || end.Severity > worst.Severity) {
				worst = &endpoints[i]
			}
		}
		if worst == nil {
			return ejected
		}
		ejected[worst.ID] = true
		knownSlots := 0
		for _, end := range endpoints {
			knownSlots += end.Slots
		}
		slots, ends := remaining(endpoints, ejected)
		if slots*100 < knownSlots*policy.Percent || ends < policy.Endpoints {
			delete(ejected, worst.ID)
			skipped[worst.ID] = true
		}
	}
}

func TestDecideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := drawEndpoints(t)
		policy := floor.Policy{Percent: rapid.IntRange(0, 100).Draw(t, "percent"), Endpoints: rapid.IntRange(0, 5).Draw(t, "endpoints")}
		got, want := floor.Decide(endpoints, policy), decideOneByOne(endpoints, policy)
		if fmt.Sprint(got.Ejected) != fmt.Sprint(want) {
			t.Fatalf("Decide ejects %v, the reference implementation %v", got.Ejected, want)
		}
	})
}

// TestEveryDaemonKeepsFloor guards against ejections below the floor when
// daemons disagree. Each has another view of which endpoints are unhealthy, as with
// delayed updates and partitions; once it has ejected anything, the available
// capacity that it leaves in use must still meet the floor.
func TestEveryDaemonKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := floor.Policy{Percent: rapid.IntRange(0, 100).Draw(t, "percent"), Endpoints: rapid.IntRange(0, 5).Draw(t, "endpoints")}
		endpoints := drawEndpoints(t)
		for range 5 {
			view := append([]floor.Endpoint(nil), endpoints...)
			knownSlots := 0
			for i := range view {
				view[i].Unhealthy = rapid.Bool().Draw(t, "unhealthy in view")
				knownSlots += view[i].Slots
			}
			dec := floor.Decide(view, policy)
			slots, ends := remaining(view, dec.Ejected)
			if len(dec.Ejected) > 0 && (slots*100 < knownSlots*policy.Percent || ends < policy.Endpoints) {
				t.Fatalf("%d slots and %d endpoints stay in use, of %d known slots", slots, ends, knownSlots)
			}
		}
	})
}
