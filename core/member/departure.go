package member

import "slices"

// Departure identifies one start of an upstream that has left for good. An upstream
// that starts again under its ID has another start time.
type Departure struct {
	ID string `codec:"i"`
	// StartedMS is when the upstream started, in Unix milliseconds.
	StartedMS int64 `codec:"b"`
}

// MaxDepartures limits the departures that are kept for one daemon. The oldest are
// dropped first.
const MaxDepartures = 16

// MergeDepartures returns the departures of both lists without duplicates, those of
// newer last.
func MergeDepartures(older, newer []Departure) []Departure {
	all := slices.Concat(older, newer)
	merged := make([]Departure, 0, len(all))
	for i, dep := range all {
		if !slices.Contains(all[i+1:], dep) {
			merged = append(merged, dep)
		}
	}
	return slices.Clip(merged[max(0, len(merged)-MaxDepartures):])
}

// Inherited returns the departures that other daemons know from earlier starts of this
// one.
func (ta *Table) Inherited() []Departure { return ta.inherited }

// DepartedFrom returns the departures that this table holds for another daemon, from all
// its starts.
func (ta *Table) DepartedFrom(id string) []Departure {
	if ent := ta.members[id]; ent != nil {
		return ent.departed
	}
	return nil
}
