package settings

import (
	"errors"
	"fmt"
	"time"

	"cactusstream.example/core/claim"
)

// AppliedEdit is an edit and the value that it replaced. HadAny is false if the
// key was not set before.
type AppliedEdit struct {
	Edit   Edit   `codec:"edit"`
	Before string `codec:"before"`
	HadAny bool   `codec:"hadAny"`
}

// Change is an accepted change.
type Change struct {
	Version uint64        `codec:"version"`
	ID      string        `codec:"id"`
	From    uint64        `codec:"from"`
	Author  string        `codec:"author"`
	Reason  string        `codec:"reason"`
	Time    time.Time     `codec:"time"`
	Edits   []AppliedEdit `codec:"edits"`
	// Label is the client's own number of the change; 0 means none.
	Label uint64 `codec:"label,omitempty"`
}

// ConflictError reports that a change does not build on the newest version or
// label. LostTo is the change that was accepted instead.
type ConflictError struct {
	Version uint64
	LostTo  Change
}

// InvalidError reports all faults of a proposed change.
type InvalidError struct {
	Faults []string
}

// Proposal is a change that a client requests.
type Proposal struct {
	ID     string    `codec:"id"`
	Author string    `codec:"author"`
	Reason string    `codec:"reason"`
	Time   time.Time `codec:"time"`
	Edits  []Edit    `codec:"edits"`
	// Expect is the version against which the change was made and checked.
	Expect uint64 `codec:"expect"`
	// Label is a number chosen by the client, above the newest label; 0 means none.
	// Base is the label that the change builds on. A resent labelled change is
	// recognised by its id alone: the client may compute its edits against a newer
	// tree, so they can differ from those of the first attempt.
	Label uint64 `codec:"label,omitempty"`
	Base  uint64 `codec:"base,omitempty"`
}

// State is the content of a Store, as stored in snapshots.
type State struct {
	Tree    map[string]Node `codec:"tree"`
	History []Change        `codec:"history"`
}

// Store holds the newest tree, its version and the history of changes. It is
// deterministic: the same proposals in the same order give the same state. It
// is not safe for concurrent use.
type Store struct {
	tree        *Tree
	digest      string
	history     []Change
	byID        map[string]int
	newestLabel uint64
}

// ErrChangeIDReused reports that a change with the same id but other edits was accepted
// before.
var ErrChangeIDReused = errors.New("settings: the change id was used for another change")

// ErrUnknownVersion reports a version above the newest one.
var ErrUnknownVersion = errors.New("settings: no such version")

// NewStore returns a Store at version 0 with an empty tree.
func NewStore() *Store {
	return &Store{tree: &Tree{Nodes: map[string]Node{}}, byID: make(map[string]int)}
}

// RestoreStore returns a Store with the given State.
func RestoreStore(state State) *Store {
	st := NewStore()
	if state.Tree != nil {
		st.tree = &Tree{Nodes: state.Tree}
	}
	st.history = state.History
	for i, change := range st.history {
		st.byID[change.ID] = i
		st.newestLabel = max(st.newestLabel, change.Label)
	}
	return st
}

// Error returns the newest version and the change that caused the conflict.
func (co *ConflictError) Error() string {
	return fmt.Sprintf("settings: version is %d since change %q by %s", co.Version, co.LostTo.ID, co.LostTo.Author)
}

// Error returns the number of faults and the first of them.
func (in *InvalidError) Error() string {
	return fmt.Sprintf("settings: invalid change: %d faults, first: %s", len(in.Faults), in.Faults[0])
}

// Apply applies a change as a whole or not at all. The second result reports
// whether a change with this id was accepted before; if so, Apply returns that
// change and applies nothing. Apply does not validate values, because replicas
// that run different versions of the program must reach the same state; Check
// validates them before a change is proposed.
func (st *Store) Apply(pro Proposal) (Change, bool, error) {
	if index, known := st.byID[pro.ID]; known {
		first := st.history[index]
		if pro.Label == 0 && !sameEdits(first.Edits, pro.Edits) {
			return Change{}, false, ErrChangeIDReused
		}
		return first, true, nil
	}
	if pro.Expect != st.Version() {
		return Change{}, false, &ConflictError{Version: st.Version(), LostTo: st.conflictingChange(pro.Expect)}
	}
	if pro.Label != 0 && pro.Base != st.newestLabel {
		return Change{}, false, &ConflictError{Version: st.Version(), LostTo: st.conflictingChange(pro.Expect)}
	}
	change := Change{Version: st.Version() + 1, ID: pro.ID, From: st.Version(), Author: pro.Author, Reason: pro.Reason, Time: pro.Time, Label: pro.Label}
	for _, edit := range pro.Edits {
		before, had := st.tree.Nodes[edit.Path][edit.Key]
		change.Edits = append(change.Edits, AppliedEdit{Edit: edit, Before: before, HadAny: had})
	}
	st.tree = st.tree.Apply(pro.Edits)
	st.digest = ""
	st.byID[change.ID] = len(st.history)
	st.newestLabel = max(st.newestLabel, change.Label)
	st.history = append(st.history, change)
	return change, false, nil
}

// At returns the tree at a version, rebuilt by reverting newer changes.
func (st *Store) At(version uint64) (*Tree, error) {
	if version > st.Version() {
		return nil, fmt.Errorf("version %d: %w", version, ErrUnknownVersion)
	}
	tree := st.tree
	for i := len(st.history) - 1; i >= 0 && st.history[i].Version > version; i-- {
		tree = tree.Apply(inverseEdits(st.history[i]))
	}
	return tree, nil
}

// Check returns an InvalidError if the label is not above the newest one, a key is
// edited twice, the edited tree is not valid, or its table of claim holders does
// not follow the current one.
func (st *Store) Check(pro Proposal) error {
	if pro.Label != 0 && pro.Label <= st.newestLabel {
		return &InvalidError{Faults: []string{fmt.Sprintf("label %d: must be above the newest label %d", pro.Label, st.newestLabel)}}
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
	return checkClaimHolders(st.tree, next)
}

// Digest returns the digest of the newest tree.
func (st *Store) Digest() string {
	if st.digest == "" {
		st.digest = st.tree.Digest()
	}
	return st.digest
}

// Find returns the accepted change with the given id.
func (st *Store) Find(id string) (Change, bool) {
	index, known := st.byID[id]
	if !known {
		return Change{}, false
	}
	return st.history[index], true
}

// History returns the accepted changes, oldest first. Callers must not modify it.
func (st *Store) History() []Change {
	return st.history
}

// IsKnown reports whether a change with the given id was accepted.
func (st *Store) IsKnown(id string) bool {
	_, known := st.byID[id]
	return known
}

// Label returns the newest label that a client gave a change, or 0.
func (st *Store) Label() uint64 {
	return st.newestLabel
}

// Last returns the newest change, or the zero Change if there is none.
func (st *Store) Last() Change {
	if len(st.history) == 0 {
		return Change{}
	}
	return st.history[len(st.history)-1]
}

// LastChangeOf returns the newest change that set the key of the node at the path.
func (st *Store) LastChangeOf(path, key string) (Change, bool) {
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

// State returns the content of the Store for a snapshot.
func (st *Store) State() State {
	return State{Tree: st.tree.Nodes, History: st.history}
}

// Tree returns the newest tree. Callers must not modify it.
func (st *Store) Tree() *Tree {
	return st.tree
}

// Version returns the newest version; every accepted change increments it.
func (st *Store) Version() uint64 {
	return uint64(len(st.history))
}

// conflictingChange returns the first change after the expected version, or the
// newest change if the expected version is not below the newest one.
func (st *Store) conflictingChange(expect uint64) Change {
	if expect < st.Version() {
		return st.history[expect]
	}
	return st.Last()
}

// checkClaimHolders rejects a table of claim holders that is not the direct
// successor of the current one, for example from an old export that is applied
// again.
func checkClaimHolders(from, to *Tree) error {
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

// inverseEdits returns the edits that revert a change.
func inverseEdits(change Change) []Edit {
	edits := make([]Edit, 0, len(change.Edits))
	for _, edit := range change.Edits {
		edits = append(edits, Edit{Path: edit.Edit.Path, Key: edit.Edit.Key, Value: edit.Before, Unset: !edit.HadAny})
	}
	return edits
}
