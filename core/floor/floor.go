// Package floor decides which sick upstreams a service can spare.
//
// A gate only judges; what is ejected is decided where work is sent, by every
// daemon on its own, from its own table: it leaves out sick upstreams, the
// sickest first, only as long as the rest keeps the floor. No decider spends an
// allowance, so many of them, split or late, can't overspend one: whatever the
// views, each daemon keeps sending to at least the floor of what it knows to be
// there. docs/design/floor.md gives the argument.
//
// Usage:
//
//	ver := floor.Decide(endpoints, floor.Policy{Percent: 60, Endpoints: 1})
//	if ver.Ejected[endpoint.ID] { ... }
package floor

import (
	"cmp"
	"slices"
)

// Endpoint is one upstream of a service.
type Endpoint struct {
	ID    string
	Slots int
	// Available says that the endpoint is there and warm: not cold, not
	// draining, not behind a daemon that is suspect or dead.
	Available bool
	// Sick says that its gate wants it left out, and Severity how much.
	Sick     bool
	Severity int
}

// Policy is the floor of a service.
type Policy struct {
	Percent   int
	Endpoints int
}

// Verdict is what a service can spare.
type Verdict struct {
	Ejected map[string]bool
	// FloorSlots is what must stay in use, and SpareSlots what ejection may
	// still take.
	FloorSlots int
	SpareSlots int
}

// Decide returns which endpoints are left out.
func Decide(endpoints []Endpoint, policy Policy) Verdict {
	known, available := 0, 0
	var there, sick []Endpoint
	for _, end := range endpoints {
		known += end.Slots
		if !end.Available {
			continue
		}
		available += end.Slots
		there = append(there, end)
		if end.Sick {
			sick = append(sick, end)
		}
	}
	ver := Verdict{Ejected: make(map[string]bool), FloorSlots: (known*policy.Percent + 99) / 100}
	ver.SpareSlots = max(0, available-ver.FloorSlots)
	spareCount := max(0, len(there)-policy.Endpoints)
	slices.SortFunc(sick, bySeverity)
	for _, end := range sick {
		if end.Slots > ver.SpareSlots || spareCount == 0 {
			continue
		}
		ver.Ejected[end.ID] = true
		ver.SpareSlots -= end.Slots
		spareCount--
	}
	return ver
}

// bySeverity orders the sickest first, and equals by id so that daemons with
// the same table decide alike.
func bySeverity(one, two Endpoint) int {
	if order := cmp.Compare(two.Severity, one.Severity); order != 0 {
		return order
	}
	return cmp.Compare(one.ID, two.ID)
}
