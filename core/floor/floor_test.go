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
	var list []floor.Endpoint
	for i := range count {
		list = append(list, floor.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Slots: rapid.IntRange(1, 9).Draw(t, "slots"),
			Available: rapid.IntRange(0, 4).Draw(t, "available") > 0,
			Sick:      rapid.Bool().Draw(t, "sick"), Severity: rapid.IntRange(0, 3).Draw(t, "severity"),
		})
	}
	return list
}

// left returns what stays in use of what is there.
func left(list []floor.Endpoint, ejected map[string]bool) (slots, ends int) {
	for _, end := range list {
		if end.Available && !ejected[end.ID] {
			slots += end.Slots
			ends++
		}
	}
	return slots, ends
}

// naive ejects one endpoint at a time and checks the floor anew after each.
func naive(list []floor.Endpoint, policy floor.Policy) map[string]bool {
	ejected := make(map[string]bool)
	skipped := make(map[string]bool)
	for {
		var worst *floor.Endpoint
		for i, end := range list {
			if end.Sick && end.Available && !ejected[end.ID] && !skipped[end.ID] && (worst == nil || end.Severity > worst.Severity) {
				worst = &list[i]
			}
		}
		if worst == nil {
			return ejected
		}
		ejected[worst.ID] = true
		known := 0
		for _, end := range list {
			known += end.Slots
		}
		slots, ends := left(list, ejected)
		if slots*100 < known*policy.Percent || ends < policy.Endpoints {
			delete(ejected, worst.ID)
			skipped[worst.ID] = true
		}
	}
}

func TestDecideAgreesWithNaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawEndpoints(t)
		policy := floor.Policy{Percent: rapid.IntRange(0, 100).Draw(t, "percent"), Endpoints: rapid.IntRange(0, 5).Draw(t, "endpoints")}
		got, want := floor.Decide(list, policy), naive(list, policy)
		if fmt.Sprint(got.Ejected) != fmt.Sprint(want) {
			t.Fatalf("ejects %v, the naive one %v", got.Ejected, want)
		}
	})
}

// TestEveryDeciderKeepsTheFloor gives many deciders different views, as with
// late verdicts and partitions: what each of them leaves in use, out of what it
// knows to be there, is never below the floor unless it was before any ejection.
func TestEveryDeciderKeepsTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := floor.Policy{Percent: rapid.IntRange(0, 100).Draw(t, "percent"), Endpoints: rapid.IntRange(0, 5).Draw(t, "endpoints")}
		truth := drawEndpoints(t)
		for range 5 {
			view := append([]floor.Endpoint(nil), truth...)
			known := 0
			for i := range view {
				view[i].Sick = rapid.Bool().Draw(t, "sick in view")
				known += view[i].Slots
			}
			ver := floor.Decide(view, policy)
			slots, ends := left(view, ver.Ejected)
			if len(ver.Ejected) > 0 && (slots*100 < known*policy.Percent || ends < policy.Endpoints) {
				t.Fatalf("%d slots and %d endpoints are left of %d slots", slots, ends, known)
			}
		}
	})
}
