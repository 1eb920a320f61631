package settings_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/settings"
)

func newLabelStore(t *testing.T) *settings.Store {
	t.Helper()
	store := settings.NewStore()
	if _, _, err := store.Apply(settings.Proposal{ID: "first", Edits: settings.Diff(&settings.Tree{}, settings.NewTree())}); err != nil {
		t.Fatal(err)
	}
	return store
}

func labelledProposal(store *settings.Store, id string, label, base uint64, value string) settings.Proposal {
	return settings.Proposal{ID: id, Label: label, Base: base, Expect: store.Version(), Edits: []settings.Edit{{Path: "acme", Key: "deadline", Value: value}}}
}

func TestConflictingLabelIsRejected(t *testing.T) {
	is := is.New(t)
	store := newLabelStore(t)
	one, two := labelledProposal(store, "one", 7, 0, "1s"), labelledProposal(store, "two", 7, 0, "2s")
	_, _, err := store.Apply(one)
	is.NoErr(err)
	two.Expect = store.Version()
	_, _, err = store.Apply(two)
	var conflict *settings.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(store.Label(), uint64(7))
	is.Equal(store.Tree().Nodes["acme"]["deadline"], "1s")
}

func TestResentLabelledChangeIsRecognisedAfterRestore(t *testing.T) {
	is := is.New(t)
	store := newLabelStore(t)
	first := labelledProposal(store, "one", 7, 0, "1s")
	_, _, err := store.Apply(first)
	is.NoErr(err)
	_, _, err = store.Apply(labelledProposal(store, "two", 9, 7, "2s"))
	is.NoErr(err)
	store = settings.RestoreStore(store.State())
	is.Equal(store.Label(), uint64(9))
	first.Edits = nil // Computed again against a newer tree, the edits differ.
	change, duplicate, err := store.Apply(first)
	is.NoErr(err)
	is.True(duplicate)
	is.Equal(change.Label, uint64(7))
	is.Equal(store.Tree().Nodes["acme"]["deadline"], "2s")
}

func TestLabelMustIncrease(t *testing.T) {
	is := is.New(t)
	store := newLabelStore(t)
	_, _, err := store.Apply(labelledProposal(store, "one", 7, 0, "1s"))
	is.NoErr(err)
	var invalid *settings.InvalidError
	is.True(errors.As(store.Check(labelledProposal(store, "two", 7, 7, "2s")), &invalid))
	is.NoErr(store.Check(labelledProposal(store, "two", 8, 7, "2s")))
}
