package settings

import (
	"errors"
	"fmt"
	"time"

	"cactusstream.example/core/claim"
)

// AppliedEdit is an edit with the value that it replaced.
type AppliedEdit struct {
	Edit   Edit   `codec:"edit"`
	Before string `codec:"before"`
	HadAny bool   `codec:"hadAny"`
}

// Change is one accepted change.
type Change struct {
	Version uint64        `codec:"version"`
	ID      string        `codec:"id"`
	From    uint64        `codec:"from"`
	Author  string        `codec:"author"`
	Reason  string        `codec:"reason"`
	Time    time.Time     `codec:"time"`
	Edits   []AppliedEdit `codec:"edits"`
	// Label is the writer's own number of the change; 0 means that it has none.
	Label uint64 `codec:"label,omitempty"`
}

// ConflictError says that a change lost a race, and to which one.
type ConflictError struct {
	Version uint64
	LostTo  Change
}

// InvalidError holds every fault of a change.
type InvalidError struct {
	Faults []string
}

// Proposal is a change that an operator asks for.
type Proposal struct {
	ID     string    `codec:"id"`
	Author string    `codec:"author"`
	Reason string    `codec:"reason"`
	Time   time.Time `codec:"time"`
	Edits  []Edit    `codec:"edits"`
	// Expect is the version that the change was made, and checked, against.
	Expect uint64 `codec:"expect"`
	// Label is a number that the writer chose, above the newest one, and Base the
	// label that the change builds on. The id of a labelled change stands for its
	// whole content. Label 0 means none.
	Label uint64 `codec:"label,omitempty"`
	Base  uint64 `codec:"base,omitempty"`
}

// State is everything that a Store holds, for snapshots.
type State struct {
	Tree    map[string]Node `codec:"tree"`
	History []Change        `codec:"history"`
}

// Store is the aggregate of the tree, its version and its history. It is
// deterministic: the same proposals in the same order give the same state. It
// is not safe for concurrent use.
type Store struct {
	tree    *Tree
	digest  string
	history []Change
	byID    map[string]int
	label   uint64
}

// ErrReused reports a change id that was accepted with other edits.
var ErrReused = errors.New("settings: the change id was used for another change")

// ErrUnknownVersion reports a version that the history does not hold.
var ErrUnknownVersion = errors.New("settings: no such version")

// NewStore returns a Store at version 0, without a tree.
func NewStore() *Store {
	return &Store{tree: &Tree{Nodes: map[string]Node{}}, byID: make(map[string]int)}
}

// RestoreStore returns the Store that a State was taken of.
func RestoreStore(state State) *Store {
	st := NewStore()
	if state.Tree != nil {
		st.tree = &Tree{Nodes: state.Tree}
	}
	st.history = state.History
	for i, change := range st.history {
		st.byID[change.ID] = i
		st.label = max(st.label, change.Label)
	}
	return st
}

// Error says what the change lost to.
func (co *ConflictError) Error() string {
	return fmt.Sprintf("settings: version is %d since change %q by %s", co.Version, co.LostTo.ID, co.LostTo.Author)
}

// Error says how many faults there are.
func (in *InvalidError) Error() string {
	return fmt.Sprintf("settings: %d faults, the first: %s", len(in.Faults), in.Faults[0])
}

// Apply makes a change, whole or not at all. The second result says whether
// the id had been accepted before; then the first answer is returned. Values
// are checked by Check before a change is proposed, never here: replicas that
// run different versions of the program must come to the same state.
func (st *Store) Apply(pro Proposal) (Change, bool, error) {
	if at, known := st.byID[pro.ID]; known {
		first := st.history[at]
		if pro.Label == 0 && !sameEdits(first.Edits, pro.Edits) {
			return Change{}, false, ErrReused
		}
		return first, true, nil
	}
	if pro.Expect != st.Version() {
		return Change{}, false, &ConflictError{Version: st.Version(), LostTo: st.lostTo(pro.Expect)}
	}
	if pro.Label != 0 && pro.Base != st.label {
		return Change{}, false, &ConflictError{Version: st.Version(), LostTo: st.lostTo(pro.Expect)}
	}
	change := Change{Version: st.Version() + 1, ID: pro.ID, From: st.Version(), Author: pro.Author, Reason: pro.Reason, Time: pro.Time, Label: pro.Label}
	for _, edit := range pro.Edits {
		before, had := st.tree.Nodes[edit.Path][edit.Key]
		change.Edits = append(change.Edits, AppliedEdit{Edit: edit, Before: before, HadAny: had})
	}
	st.tree = st.tree.Apply(pro.Edits)
	st.digest = ""
	st.byID[change.ID] = len(st.history)
	st.label = max(st.label, change.Label)
	st.history = append(st.history, change)
	return change, false, nil
}

// At returns the tree as it was at a version.
func (st *Store) At(version uint64) (*Tree, error) {
	if version > st.Version() {
		return nil, fmt.Errorf("version %d: %w", version, ErrUnknownVersion)
	}
	tree := st.tree
	for i := len(st.history) - 1; i >= 0 && st.history[i].Version > version; i-- {
		tree = tree.Apply(undo(st.history[i]))
	}
	return tree, nil
}

// Check says whether a proposal's edits are valid against the whole tree.
func (st *Store) Check(pro Proposal) error {
	if pro.Label != 0 && pro.Label <= st.label {
		return &InvalidError{Faults: []string{fmt.Sprintf("label %d: the newest one is %d", pro.Label, st.label)}}
	}
	seen := make(map[string]bool)
	for _, edit := range pro.Edits {
		name := edit.Path + "\x00" + edit.Key
		if seen[name] {
			return &InvalidError{Faults: []string{fmt.Sprintf("[%s] %s: edited twice in one change", edit.Path, edit.Key)}}
		}
		seen[name] = true
	}
	next := st.tree.Apply(pro.Edits)
	if faults := next.Validate(); len(faults) > 0 {
		return &InvalidError{Faults: faults}
	}
	return checkHolders(st.tree, next)
}

// Digest returns the digest of the newest tree.
func (st *Store) Digest() string {
	if st.digest == "" {
		st.digest = st.tree.Digest()
	}
	return st.digest
}

// Find returns the accepted change of an id.
func (st *Store) Find(id string) (Change, bool) {
	at, known := st.byID[id]
	if !known {
		return Change{}, false
	}
	return st.history[at], true
}

// History returns the accepted changes, oldest first. Callers must not change it.
func (st *Store) History() []Change {
	return st.history
}

// IsKnown says whether a change id was accepted before.
func (st *Store) IsKnown(id string) bool {
	_, known := st.byID[id]
	return known
}

// Label returns the newest number that a writer chose for a change, or 0.
func (st *Store) Label() uint64 {
	return st.label
}

// Last returns the newest change.
func (st *Store) Last() Change {
	if len(st.history) == 0 {
		return Change{}
	}
	return st.history[len(st.history)-1]
}

// LastSet returns the newest change that set a key of a node.
func (st *Store) LastSet(path, key string) (Change, bool) {
	for i := len(st.history) - 1; i >= 0; i-- {
		for _, edit := range st.history[i].Edits {
			if edit.Edit.Path == path && edit.Edit.Key == key && !edit.Edit.Unset {
				return st.history[i], true
			}
		}
	}
	return Change{}, false
}

// Since returns the changes after a version, oldest first.
func (st *Store) Since(version uint64) []Change {
	if version >= st.Version() {
		return nil
	}
	return st.history[version:]
}

// State returns all that the Store holds.
func (st *Store) State() State {
	return State{Tree: st.tree.Nodes, History: st.history}
}

// Tree returns the newest tree, which must not be changed.
func (st *Store) Tree() *Tree {
	return st.tree
}

// Version returns the newest version; every change makes the next one.
func (st *Store) Version() uint64 {
	return uint64(len(st.history))
}

func (st *Store) lostTo(expect uint64) Change {
	if expect < st.Version() {
		return st.history[expect]
	}
	return st.Last()
}

// checkHolders refuses a table of claim holders that does not follow the one in
// force, as when an old export is applied again.
func checkHolders(from, to *Tree) error {
	before, after := from.Nodes[RootSection][KeyClaimHolders], to.Nodes[RootSection][KeyClaimHolders]
	if before == after {
		return nil
	}
	old, _ := claim.ParseTable(before) // Both trees are valid.
	table, _ := claim.ParseTable(after)
	if table.Epoch != old.Epoch+1 || !old.IsFormerOf(table) {
		return &InvalidError{Faults: []string{fmt.Sprintf("[root] %s = %q: does not follow table %d; use `cactusctl claims assign`", KeyClaimHolders, after, old.Epoch)}}
	}
	return nil
}

func sameEdits(applied []AppliedEdit, edits []Edit) bool {
	if len(applied) != len(edits) {
		return false
	}
	for i, edit := range edits {
		if applied[i].Edit != edit {
			return false
		}
	}
	return true
}

func undo(change Change) []Edit {
	edits := make([]Edit, 0, len(change.Edits))
	for _, edit := range change.Edits {
		edits = append(edits, Edit{Path: edit.Edit.Path, Key: edit.Edit.Key, Value: edit.Before, Unset: !edit.HadAny})
	}
	return edits
}
