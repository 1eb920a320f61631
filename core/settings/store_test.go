package settings_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/settings"
)

func defaultsProposal() settings.Proposal {
	return settings.Proposal{ID: "first", Author: "test", Time: time.Unix(1, 0).UTC(), Edits: settings.Diff(&settings.Tree{}, settings.NewTree())}
}

func rankProposal(id string, expect uint64, rank string) settings.Proposal {
	return settings.Proposal{ID: id, Author: id, Expect: expect, Edits: []settings.Edit{{Path: "acme", Key: "rank", Value: rank}}}
}

func newStore(t *testing.T) *settings.Store {
	t.Helper()
	store := settings.NewStore()
	if _, _, err := store.Apply(defaultsProposal()); err != nil {
		t.Fatal(err)
	}
	return store
}

// restoreFromSnapshot encodes the state of a store and restores a new store from it.
func restoreFromSnapshot(t *testing.T, store *settings.Store) *settings.Store {
	t.Helper()
	data, err := codec.Marshal(store.State())
	if err != nil {
		t.Fatal(err)
	}
	state, err := codec.Unmarshal[settings.State](data)
	if err != nil {
		t.Fatal(err)
	}
	return settings.RestoreStore(state)
}

func TestConflictingChangeIsRejected(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	_, _, err := store.Apply(rankProposal("one", 1, "0"))
	is.NoErr(err)
	_, _, err = store.Apply(rankProposal("two", 1, "3"))
	var conflict *settings.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.LostTo.ID, "one") // The error names the accepted change.
	is.Equal(store.Tree().Nodes["acme"]["rank"], "0")
}

func TestResentChangeReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	first, _, err := store.Apply(rankProposal("one", 1, "0"))
	is.NoErr(err)
	_, _, err = store.Apply(rankProposal("two", 2, "3"))
	is.NoErr(err)
	for _, st := range []*settings.Store{store, restoreFromSnapshot(t, store)} {
		again, duplicate, err := st.Apply(rankProposal("one", 1, "0"))
		is.NoErr(err)
		is.True(duplicate)
		is.Equal(again.Version, first.Version)
		is.Equal(st.Tree().Nodes["acme"]["rank"], "3") // The resent change is not applied again.
		_, _, err = st.Apply(rankProposal("one", 1, "2"))
		is.True(errors.Is(err, settings.ErrChangeIDReused))
	}
}

func TestInvalidChangeIsRejectedWithAllFaults(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	pro := settings.Proposal{ID: "invalid", Expect: 1, Edits: []settings.Edit{
		{Path: "acme", Key: "rank", Value: "1"},
		{Path: "acme", Key: "rank9", Value: "1"},
		{Path: "acme/north", Key: "floorPercent", Value: "101"},
		{Path: "a/b/c/d/e", Key: "rank", Value: "1"},
		{Path: "acme", Key: "path", Value: "/x"},
	}}
	var invalid *settings.InvalidError
	is.True(errors.As(store.Check(pro), &invalid))
	is.Equal(len(invalid.Faults), 4) // All faults are reported, not only the first.
	is.Equal(store.Version(), uint64(1))
}

func TestRootMustSetEveryKey(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	err := store.Check(settings.Proposal{ID: "u", Expect: 1, Edits: []settings.Edit{{Path: "root", Key: "rank", Unset: true}}})
	is.True(err != nil)
}

func TestDuplicateRouteIsRejected(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	err := store.Check(settings.Proposal{ID: "r", Expect: 1, Edits: []settings.Edit{
		{Path: "acme/north/stock/one", Key: "path", Value: "/stock"},
		{Path: "acme/north/stock/two", Key: "path", Value: "/stock"},
	}})
	is.True(err != nil && strings.Contains(err.Error(), "same method and path"))
}

// TestAtRebuildsEveryVersion applies random changes and checks that At returns
// trees with the digests recorded when each version was newest.
func TestAtRebuildsEveryVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := settings.NewStore()
		if _, _, err := store.Apply(defaultsProposal()); err != nil {
			t.Fatal(err)
		}
		digests := []string{"", store.Tree().Digest()}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			edit := settings.Edit{
				Path: rapid.SampledFrom([]string{"acme", "bolt", "acme/north"}).Draw(t, "path"),
				Key:  rapid.SampledFrom([]string{"rank", "internal"}).Draw(t, "key"), Unset: rapid.Bool().Draw(t, "unset"),
			}
			if !edit.Unset {
				edit.Value = map[string]string{"rank": "1", "internal": "true"}[edit.Key]
			}
			pro := settings.Proposal{ID: fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id")), Expect: store.Version(), Edits: []settings.Edit{edit}}
			if _, duplicate, err := store.Apply(pro); err == nil && !duplicate {
				digests = append(digests, store.Tree().Digest())
			}
		}
		for version := 1; version < len(digests); version++ {
			tree, err := store.At(uint64(version))
			if err != nil || tree.Digest() != digests[version] {
				t.Fatalf("At(%d) differs from the tree recorded at that version", version)
			}
		}
	})
}

func TestINIRoundTrip(t *testing.T) {
	is := is.New(t)
	tree := largeTree()
	again, err := settings.ParseINI(tree.INI())
	is.NoErr(err)
	is.Equal(again.Digest(), tree.Digest())
	is.Equal(len(settings.Diff(tree, again)), 0)
}

func FuzzParseINI(f *testing.F) {
	f.Add([]byte("[acme]\nrank = 1\n"))
	f.Add([]byte("[acme]\nrank = 1\nrank = 2\n"))
	f.Add([]byte("[a/b/c/d]\npath = /x\n[root]\n"))
	f.Add([]byte("[[\x00]]\n=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.ParseINI(data)
		if err != nil {
			return
		}
		if len(tree.Validate()) > 0 {
			return
		}
		again, err := settings.ParseINI(tree.INI())
		if err != nil || again.Digest() != tree.Digest() {
			t.Fatalf("parsing the INI form of a valid tree gave another tree or an error: %v", err)
		}
	})
}

func TestClaimHolderTablesMustBeConsecutive(t *testing.T) {
	cases := []struct {
		name, value string
		valid       bool
	}{
		{"first table", "1 d1,d2,d3", true},
		{"skipped epoch", "2 d1,d2,d3", false},
		{"former groups that were never in the table", "1 d1,d2,d3 former d4,d5,d6", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			err := newStore(t).Check(settings.Proposal{ID: "h", Expect: 1, Edits: []settings.Edit{{Path: "root", Key: settings.KeyClaimHolders, Value: tc.value}}})
			is.Equal(err == nil, tc.valid)
		})
	}
	is := is.New(t)
	store := newStore(t)
	_, _, err := store.Apply(settings.Proposal{ID: "h1", Expect: 1, Edits: []settings.Edit{{Path: "root", Key: settings.KeyClaimHolders, Value: "1 d1,d2,d3"}}})
	is.NoErr(err)
	old := settings.Proposal{ID: "h2", Expect: 2, Edits: []settings.Edit{{Path: "root", Key: settings.KeyClaimHolders, Value: ""}}}
	is.True(store.Check(old) != nil) // An old export without a table must not remove the holders.
}
