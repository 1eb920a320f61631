package settings_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/settings"
)

// keysOf returns the edits that give an organisation its keys.
func keysOf(t testing.TB, firm string, list ...string) []settings.Edit {
	t.Helper()
	text, digests, err := settings.FormatKeys(list)
	if err != nil {
		t.Fatal(err)
	}
	return []settings.Edit{{Path: firm, Key: settings.KeyKeys, Value: text}, {Path: firm, Key: settings.KeyKeyDigests, Value: digests}}
}

func newOrganisationTree(t testing.TB) *settings.Tree {
	t.Helper()
	tree := settings.NewTree().Apply(keysOf(t, "acme", "hidden-1", `hidden "2" é`))
	return tree.Apply(append(keysOf(t, "other", "hidden-3"), settings.Edit{Path: "other", Key: settings.KeyQuotaRate, Value: "2.5"}))
}

// TestPublicTreeHasNoKeys guards against keys that leave the keepers, and against digests
// that differ between keepers and daemons.
func TestPublicTreeHasNoKeys(t *testing.T) {
	is := is.New(t)
	tree := newOrganisationTree(t)
	is.Equal(tree.Validate(), nil)
	public := tree.Public()
	is.True(!strings.Contains(string(public.INI()), "hidden"))
	is.Equal(public.Digest(), tree.Digest())
	is.Equal(public.Public(), public)
	is.Equal(tree.Nodes["acme"][settings.KeyKeys] != "", true) // The tree itself keeps them.
	only := settings.NewTree().Apply(keysOf(t, "acme", "x")[:1])
	is.Equal(only.Public().Digest(), settings.NewTree().Digest())
	is.Equal(len(only.Public().Nodes), 1)
	parsed, err := settings.ParseINI(tree.INI())
	is.NoErr(err)
	is.Equal(parsed.Nodes["acme"], tree.Nodes["acme"])
}

// TestPublicChangeHasNoKeys guards against keys in the changes that daemons follow and in
// the history, where they would also be the values before a change.
func TestPublicChangeHasNoKeys(t *testing.T) {
	is := is.New(t)
	store := settings.NewStore()
	change, _, err := store.Apply(settings.Proposal{ID: "a", Edits: keysOf(t, "acme", "hidden")})
	is.NoErr(err)
	is.True(strings.Contains(fmt.Sprint(change), "hidden"))
	is.True(!strings.Contains(fmt.Sprint(change.Public()), "hidden"))
	is.Equal(len(change.Public().Edits), 1)
	change, _, err = store.Apply(settings.Proposal{ID: "b", Expect: 1, Edits: keysOf(t, "acme", "new")})
	is.NoErr(err)
	is.True(!strings.Contains(fmt.Sprint(change.Public()), "hidden"))
	is.Equal(store.History()[0].Edits[0].Edit.Key, settings.KeyKeys) // The history itself keeps them.
	before, err := store.At(1)
	is.NoErr(err)
	is.True(strings.Contains(before.Nodes["acme"][settings.KeyKeys], "hidden"))
}

// TestOrganisationsOfInvalidTreesAreRefused checks each rule, and that no fault shows a key.
func TestOrganisationsOfInvalidTreesAreRefused(t *testing.T) {
	digest := settings.NewKeyDigest("x").String()
	cases := map[string][]settings.Edit{
		"digest without its key":  {{Path: "acme", Key: settings.KeyKeys, Value: `["hidden"]`}, {Path: "acme", Key: settings.KeyKeyDigests, Value: digest}},
		"key without a digest":    {{Path: "acme", Key: settings.KeyKeys, Value: `["hidden"]`}},
		"no key, without digests": {{Path: "acme", Key: settings.KeyKeys, Value: `[]`}},
		"stale digest":            append(keysOf(t, "acme", "hidden"), settings.Edit{Path: "acme", Key: settings.KeyKeyDigests, Value: settings.NewKeyDigest("hidden").String() + " " + digest}),
		"shared key":              append(keysOf(t, "acme", "hidden", "x"), keysOf(t, "other", "x")...),
		"shared digest":           append(keysOf(t, "acme", "x"), settings.Edit{Path: "other", Key: settings.KeyKeyDigests, Value: digest}),
		"empty key":               keysOf(t, "acme", ""),
		"long key":                keysOf(t, "acme", strings.Repeat("hidden", 43)),
		"no list":                 {{Path: "acme", Key: settings.KeyKeys, Value: `"hidden"`}},
		"null":                    {{Path: "acme", Key: settings.KeyKeys, Value: `null`}},
		"number":                  {{Path: "acme", Key: settings.KeyKeys, Value: `[7]`}},
		"two lines":               {{Path: "acme", Key: settings.KeyKeys, Value: "[\n\"hidden\"]"}},
		"short digest":            {{Path: "acme", Key: settings.KeyKeyDigests, Value: digest[:42]}},
		"padded digest":           {{Path: "acme", Key: settings.KeyKeyDigests, Value: digest + "="}},
		"negative rate":           {{Path: "acme", Key: settings.KeyQuotaRate, Value: "-1"}},
		"negative burst":          {{Path: "acme", Key: settings.KeyQuotaBurst, Value: "-0.1"}},
		"rate that is no number":  {{Path: "acme", Key: settings.KeyQuotaRate, Value: "NaN"}},
		"infinite rate":           {{Path: "acme", Key: settings.KeyQuotaRate, Value: "Inf"}},
		"rank":                    {{Path: "acme", Key: settings.KeyOrganisationRank, Value: "4"}},
		"title with control char": {{Path: "acme", Key: settings.KeyTitle, Value: "a\x7fb"}},
		"keys of every firm":      keysOf(t, settings.AnyName, "hidden"),
		"keys in the root":        keysOf(t, settings.RootSection, "hidden"),
		"keys of a place":         keysOf(t, "acme/p", "hidden"),
		"inherited rate":          {{Path: settings.RootSection, Key: settings.KeyQuotaRate, Value: "1"}},
	}
	for name, edits := range cases {
		faults := settings.NewTree().Apply(edits).Validate()
		if len(faults) == 0 {
			t.Errorf("%s: accepted", name)
		}
		if strings.Contains(fmt.Sprint(faults), "hidden") {
			t.Errorf("%s: a fault shows a key: %v", name, faults)
		}
	}
	valid := append(keysOf(t, "acme", "x", "x"), settings.Edit{Path: "acme", Key: settings.KeyQuotaRate, Value: "0"}, settings.Edit{Path: "*/*/s", Key: settings.KeyAnonymous, Value: "true"},
		settings.Edit{Path: "digests", Key: settings.KeyKeyDigests, Value: settings.NewKeyDigest("y").String()})
	if faults := settings.NewTree().Apply(valid).Validate(); len(faults) > 0 {
		t.Error(faults)
	}
}

// TestTreesOfEarlierVersionsStayValid guards against a stored tree that a new program
// refuses, or whose digest it computes in another way: keepers and daemons of both
// versions run side by side.
func TestTreesOfEarlierVersionsStayValid(t *testing.T) {
	is := is.New(t)
	tree := &settings.Tree{Nodes: map[string]settings.Node{"*/*/s/k": {"path": "/a", "annotations": "x"}, "*/*/s": {"healthPath": ""}, "acme": {"rank": "1"}}}
	is.Equal(tree.Digest(), "89559442c9f43f4c1c83052c16f186aa556ce35f8850b488b129ba01ecb0e623") // As computed before organisations existed.
	for _, key := range []string{settings.KeyAnonymous, settings.KeyKeyDigests, settings.KeyKeys, settings.KeyOrganisationRank, settings.KeyQuotaBurst, settings.KeyQuotaRate, settings.KeyRequireKeys, settings.KeyTitle} {
		_, set := settings.NewTree().Nodes[settings.RootSection][key]
		is.True(!set)
	}
	is.Equal(settings.NewTree().Validate(), nil)
	res := settings.NewResolver(settings.NewTree())
	is.Equal(res.Organisations().Len(), 0)
	is.True(!res.Organisations().RequireKeys())
	is.True(!res.Policy(settings.Path{Firm: "f", Place: "p", Service: "s", Kind: "k"}).Anonymous)
}

// TestNoKeyLeftAdmitsNobody guards against settings that admit everybody once the last key
// of their organisations, or the last organisation, is removed.
func TestNoKeyLeftAdmitsNobody(t *testing.T) {
	unset := func(path, key string) settings.Edit { return settings.Edit{Path: path, Key: key, Unset: true} }
	set := func(path, key, value string) settings.Edit {
		return settings.Edit{Path: path, Key: key, Value: value}
	}
	withoutKeys := []settings.Edit{unset("acme", settings.KeyKeys), unset("acme", settings.KeyKeyDigests), unset("other", settings.KeyKeys), unset("other", settings.KeyKeyDigests)}
	withoutOrganisations := slices.Concat(withoutKeys, []settings.Edit{unset("other", settings.KeyQuotaRate)})
	closed := set(settings.RootSection, settings.KeyRequireKeys, "true")
	cases := []struct {
		name     string
		edits    []settings.Edit
		required bool
	}{
		{"keys", nil, true},
		{"no key", withoutKeys, true},
		{"empty lists", append(keysOf(t, "acme"), keysOf(t, "other")...), true},
		{"a title", slices.Concat(withoutOrganisations, []settings.Edit{set("acme", settings.KeyTitle, "Acme")}), true},
		{"no organisation", withoutOrganisations, false},
		{"a firm that is no organisation", slices.Concat(withoutOrganisations, []settings.Edit{set("acme", "rank", "1")}), false},
		{"no organisation, keys required", slices.Concat(withoutOrganisations, []settings.Edit{closed}), true},
		{"no organisation, keys not required", slices.Concat(withoutOrganisations, []settings.Edit{set(settings.RootSection, settings.KeyRequireKeys, "false")}), false},
		{"keys, not required", []settings.Edit{set(settings.RootSection, settings.KeyRequireKeys, "false")}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			before := newOrganisationTree(t)
			tree := before.Apply(tc.edits)
			is.Equal(tree.Validate(), nil)
			is.Equal(settings.NewResolver(tree.Public()).Organisations().RequireKeys(), tc.required)
			paths := map[string]bool{settings.RootSection: true, "acme": true, "other": true}
			next := settings.NewResolver(before).Next(tree, paths)
			is.Equal(next.Organisations().RequireKeys(), tc.required)
			is.Equal(next.Next(before, paths).Organisations().RequireKeys(), true)
		})
	}
	if faults := settings.NewTree().Apply([]settings.Edit{set("acme", settings.KeyRequireKeys, "true")}).Validate(); len(faults) == 0 {
		t.Error("a firm may set " + settings.KeyRequireKeys)
	}
}

func TestOrganisationIsFoundByItsKeysOnly(t *testing.T) {
	is := is.New(t)
	organisations := settings.NewResolver(newOrganisationTree(t).Public()).Organisations()
	acme := organisations.ByKey("hidden-1")
	is.Equal(acme.Name, "acme")
	is.Equal(acme.Rank, settings.DefaultOrganisationRank)
	is.Equal(organisations.ByKey(`hidden "2" é`), acme)
	is.Equal(organisations.ByKey("hidden-3").Rate, 2.5)
	for _, key := range []string{"", "HIDDEN-1", "hidden-1 ", "hidden-2", settings.NewKeyDigest("hidden-1").String(), strings.Repeat("x", 257)} {
		is.Equal(organisations.ByKey(key), nil)
	}
}

// TestIndexFollowsEdits applies random edits. The index that is updated with each of them
// must be the one that is built from the whole tree: a key that stays in it after its
// removal would keep working.
func TestIndexFollowsEdits(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tree := settings.NewTree()
		res := settings.NewResolver(tree)
		for range 40 {
			edits := randomEdits(rng)
			next := tree.Apply(edits)
			if len(next.Validate()) > 0 {
				continue
			}
			paths := make(map[string]bool)
			for _, edit := range edits {
				paths[edit.Path] = true
			}
			tree, res = next, res.Next(next, paths)
			compareIndexes(t, seed, res, settings.NewResolver(tree))
		}
	}
}

// randomEdits returns edits of few nodes, which moves keys between organisations.
func randomEdits(rng *rand.Rand) []settings.Edit {
	var edits []settings.Edit
	for _, firm := range []string{"a", "b", "c"} {
		if rng.IntN(2) == 0 {
			continue
		}
		var digests []settings.KeyDigest
		for range rng.IntN(3) {
			digests = append(digests, settings.NewKeyDigest(fmt.Sprint(rng.IntN(5))))
		}
		edits = append(edits, settings.Edit{Path: firm, Key: settings.KeyKeyDigests, Value: settings.FormatKeyDigests(digests), Unset: rng.IntN(4) == 0})
		if rng.IntN(2) == 0 {
			edits = append(edits, settings.Edit{Path: firm, Key: "rank", Value: "1", Unset: rng.IntN(2) == 0})
		}
		if rng.IntN(2) == 0 {
			edits = append(edits, settings.Edit{Path: firm + "/p/s", Key: "rank", Value: "1", Unset: rng.IntN(2) == 0})
		}
	}
	if rng.IntN(3) == 0 {
		edits = append(edits, settings.Edit{Path: settings.RootSection, Key: settings.KeyRequireKeys, Value: fmt.Sprint(rng.IntN(2) == 0), Unset: rng.IntN(2) == 0})
	}
	if rng.IntN(2) == 0 {
		edits = append(edits, settings.Edit{Path: "*/*/s", Key: "rank", Value: fmt.Sprint(rng.IntN(4))})
	}
	return edits
}

func compareIndexes(t *testing.T, seed uint64, got, want *settings.Resolver) {
	t.Helper()
	is := is.New(t)
	one, two := got.Organisations(), want.Organisations()
	if !slices.EqualFunc(one.All(), two.All(), func(first, second *settings.Organisation) bool {
		return first.Name == second.Name && slices.Equal(first.Digests, second.Digests)
	}) {
		t.Fatalf("seed %d: other organisations", seed)
	}
	for number := range 5 {
		first, second := one.ByKey(fmt.Sprint(number)), two.ByKey(fmt.Sprint(number))
		if (first == nil) != (second == nil) || first != nil && first.Name != second.Name {
			t.Fatalf("seed %d: key %d belongs to %v, want %v", seed, number, first, second)
		}
	}
	is.Equal(one.RequireKeys(), two.RequireKeys())
	for _, firm := range []string{"a", "b", "c", "d", "*"} {
		path := settings.Path{Firm: firm, Place: "p", Service: "s", Kind: "k"}
		is.Equal(*got.Policy(path), *want.Policy(path))
	}
}

// TestUnrelatedChangeKeepsTheIndex guards against the cost of an index for each of many
// versions a second.
func TestUnrelatedChangeKeepsTheIndex(t *testing.T) {
	is := is.New(t)
	tree := newOrganisationTree(t)
	res := settings.NewResolver(tree)
	next := res.Next(tree, map[string]bool{"*/*/s": true, settings.RootSection: true, "*": true})
	is.True(next.Organisations() == res.Organisations())
	next = res.Next(tree, map[string]bool{"acme": true})
	is.True(next.Organisations() != res.Organisations())
}

// TestPoliciesOfManyOrganisationsAreShared guards against a cache that 20,000
// organisations would fill, and against an organisation that loses its own settings.
func TestPoliciesOfManyOrganisationsAreShared(t *testing.T) {
	is := is.New(t)
	tree := newOrganisationTree(t).Apply([]settings.Edit{
		{Path: "acme", Key: "annotations", Value: "x"}, {Path: "other/*/s", Key: "rank", Value: "0"}, {Path: "third", Key: "rank", Value: "3"},
	})
	res := settings.NewResolver(tree)
	policy := func(firm string) *settings.Policy {
		return res.Policy(settings.Path{Firm: firm, Place: "p", Service: "s", Kind: "k"})
	}
	is.True(policy("acme") == policy("*"))
	is.True(policy("unknown") == policy("*"))
	is.Equal(policy("other").Rank, 0)
	is.Equal(policy("third").Rank, 3)
	is.Equal(policy("*").Rank, 2)
}

func TestExplainShowsNoKeys(t *testing.T) {
	is := is.New(t)
	res := settings.NewResolver(newOrganisationTree(t))
	sources := res.Explain(settings.Path{Firm: "acme"})
	is.True(!strings.Contains(fmt.Sprint(sources), "hidden"))
	is.True(slices.ContainsFunc(sources, func(src settings.Source) bool { return src.Key == settings.KeyKeyDigests && src.Level == "acme" }))
	is.True(!strings.Contains(fmt.Sprint(res.Explain(settings.Path{Firm: "acme", Place: "p"})), settings.KeyKeyDigests)) // Not inherited.
}

// manyOrganisations returns a tree with 3,900 routes and a number of organisations.
func manyOrganisations(count int) *settings.Tree {
	tree := settings.NewTree()
	nodes := maps.Clone(tree.Nodes)
	for number := range 3900 {
		nodes[fmt.Sprintf("*/*/service%d/r-%d", number%210, number)] = settings.Node{"path": fmt.Sprintf("/r/%d", number), "rank": "1", "target": "1s", "deadline": "3s", "idempotent": "true", "method": "ANY", "host": "h.example", "retryAttempts": "3", "annotations": ""}
	}
	for number := range count {
		nodes[fmt.Sprintf("org-%d", number)] = settings.Node{
			settings.KeyKeyDigests: settings.NewKeyDigest(fmt.Sprint(number)).String(), settings.KeyOrganisationRank: "1",
			settings.KeyQuotaRate: "5", settings.KeyQuotaBurst: "5", "annotations": "",
		}
	}
	return &settings.Tree{Nodes: nodes}
}

// BenchmarkOrganisations measures the parts of a change with 20,000 organisations.
func BenchmarkOrganisations(bench *testing.B) {
	tree := manyOrganisations(20000)
	res := settings.NewResolver(tree)
	res.Organisations()
	edits := []settings.Edit{{Path: "org-7", Key: settings.KeyQuotaRate, Value: "6"}}
	next := tree.Apply(edits)
	bench.Run("build", func(bench *testing.B) {
		bench.ReportAllocs()
		for bench.Loop() {
			settings.NewResolver(tree).Organisations()
		}
	})
	bench.Run("change of one organisation", func(bench *testing.B) {
		bench.ReportAllocs()
		for bench.Loop() {
			res.Next(next, map[string]bool{"org-7": true})
		}
	})
	bench.Run("other change", func(bench *testing.B) {
		bench.ReportAllocs()
		for bench.Loop() {
			res.Next(next, map[string]bool{"*/*/service1": true})
		}
	})
	bench.Run("digest", func(bench *testing.B) {
		for bench.Loop() {
			tree.Digest()
		}
	})
	bench.Run("apply", func(bench *testing.B) {
		for bench.Loop() {
			tree.Apply(edits)
		}
	})
	bench.Run("validate", func(bench *testing.B) {
		for bench.Loop() {
			tree.Validate()
		}
	})
	bench.Run("look up", func(bench *testing.B) {
		for bench.Loop() {
			res.Organisations().ByKey("7777")
		}
	})
}
