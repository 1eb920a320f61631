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
	var merged []Departure
	for i, dep := range all {
		if !slices.Contains(all[i+1:], dep) {
			merged = append(merged, dep)
		}
	}
	return slices.Clip(merged[max(0, len(merged)-MaxDepartures):])
}

// insertMissing returns known with the departures that only other lists. Each is inserted
// behind its predecessor in other, or at the front if it has none, so that the result
// keeps the order of departures and a full list drops the oldest, whichever of the two
// lists is outdated.
func insertMissing(known, other []Departure) []Departure {
	merged := slices.Clone(known)
	pos := 0
	for _, dep := range other {
		if index := slices.Index(merged, dep); index >= 0 {
			pos = index + 1
			continue
		}
		merged = slices.Insert(merged, pos, dep)
		pos++
	}
	return slices.Clip(merged[max(0, len(merged)-MaxDepartures):])
}

// mergeDepartures adds departures from a record that does not replace an entry's, and
// reports whether there are new ones. A daemon that stops shortly after a departure may
// have told only some of the others. Those that learn of its next start first would
// otherwise never accept the record that holds the departure.
func (ta *Table) mergeDepartures(ent *entry, departed []Departure) bool {
	merged := insertMissing(ent.record.Departed, departed)
	if slices.Equal(merged, ent.record.Departed) {
		return false
	}
	ent.record.Departed = merged
	ta.scheduleGossip(ent)
	return true
}

// Inherited returns the departures that other daemons know from earlier starts of this
// one.
func (ta *Table) Inherited() []Departure { return ta.inherited }

// DepartedFrom returns the departures that this table holds for another daemon, from all
// its starts.
func (ta *Table) DepartedFrom(id string) []Departure {
	if ent := ta.members[id]; ent != nil {
		return ent.record.Departed
	}
	return nil
}
