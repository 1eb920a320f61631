// Package floor decides which unhealthy upstreams of a service may be ejected, so
// that enough capacity stays in use: the floor.
//
// The gate of an upstream only reports that it is unhealthy. Each daemon decides on
// its own, from its own table of members, which upstreams it sends no requests to:
// the unhealthy ones in order of severity, as long as the others keep the floor.
// There is no shared budget of ejections, so daemons can't exceed one together,
// even if they are partitioned or have old data: with any view, a daemon goes on
// sending to at least the floor of the capacity that it knows to be available.
// docs/design/floor.md gives the argument.
//
// Usage:
//
//	dec := floor.Decide(endpoints, floor.Policy{Percent: 60, Endpoints: 1})
//	if dec.Ejected[endpoint.ID] { ... }
package floor

import (
	"cmp"
	"slices"
)

// Endpoint is one upstream of a service.
type Endpoint struct {
	ID    string
	Slots int
	// Available says that the endpoint can serve requests at full capacity: it is
	// neither cold nor draining, and its daemon is neither suspect nor dead.
	Available bool
	// Unhealthy says that the gate reports the endpoint as unhealthy, and Severity how
	// severely.
	Unhealthy bool
	Severity  int
}

// Policy is the minimum that stays in use: a percentage of all known slots, and a
// number of endpoints.
type Policy struct {
	Percent   int
	Endpoints int
}

// Decision is the choice for a service.
type Decision struct {
	Ejected map[string]bool
	// FloorSlots is the number of slots that must stay in use, rounded up, and
	// SpareSlots the number that further ejections may still take out of use.
	FloorSlots int
	SpareSlots int
}

// Decide ejects unhealthy endpoints in order of severity, and skips each that would
// lower the capacity in use below the floor.
func Decide(endpoints []Endpoint, policy Policy) Decision {
	knownSlots, availableSlots := 0, 0
	var availableEndpoints, unhealthy []Endpoint
	for _, end := range endpoints {
		knownSlots += end.Slots
		if !end.Available {
			continue
		}
		availableSlots += end.Slots
		availableEndpoints = append(availableEndpoints, end)
		if end.Unhealthy {
			unhealthy = append(unhealthy, end)
		}
	}
	dec := Decision{Ejected: make(map[string]bool), FloorSlots: (knownSlots*policy.Percent + 99) / 100}
	dec.SpareSlots = max(0, availableSlots-dec.FloorSlots)
	spareCount := max(0, len(availableEndpoints)-policy.Endpoints)
	slices.SortFunc(unhealthy, bySeverity)
	for _, end := range unhealthy {
		if end.Slots > dec.SpareSlots || spareCount == 0 {
			continue
		}
		dec.Ejected[end.ID] = true
		dec.SpareSlots -= end.Slots
		spareCount--
	}
	return dec
}

// bySeverity sorts by descending severity, then by ID, so that daemons with equal
// tables decide alike.
func bySeverity(one, two Endpoint) int {
	if order := cmp.Compare(two.Severity, one.Severity); order != 0 {
		return order
	}
	return cmp.Compare(one.ID, two.ID)
}
