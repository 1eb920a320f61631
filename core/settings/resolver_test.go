package settings_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactusstream.example/core/settings"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204") // A fixed seed gives CI the same inputs on every run.
}

// referenceValue computes an effective value without a Resolver: it scores every
// node that covers the path by the precedence in the package comment (depth, then
// firm, then place) and takes the one with the highest score.
func referenceValue(tree *settings.Tree, path settings.Path, key string) (value, nodePath string, found bool) {
	best := -1
	for text, node := range tree.Nodes {
		candidate, set := node[key]
		if !set {
			continue
		}
		node, err := settings.ParsePath(text)
		if err != nil || !covers(node, path) {
			continue
		}
		score := int(node.Level()) * 4
		if node.Firm != settings.AnyName {
			score += 2
		}
		if node.Place != settings.AnyName && node.Place != "" {
			score++
		}
		if score > best {
			best, value, nodePath, found = score, candidate, text, true
		}
	}
	return value, nodePath, found
}

// covers reports whether a path inherits from a node.
func covers(node, path settings.Path) bool {
	matches := func(name, want string, any bool) bool {
		return name == "" || name == want || any && name == settings.AnyName
	}
	return node.Level() <= path.Level() && matches(node.Firm, path.Firm, true) && matches(node.Place, path.Place, true) &&
		matches(node.Service, path.Service, false) && matches(node.Kind, path.Kind, false)
}

func drawPath(t *rapid.T, allowAny bool) settings.Path {
	firms, places := []string{"acme", "bolt"}, []string{"north", "south"}
	if allowAny {
		firms, places = append(firms, settings.AnyName), append(places, settings.AnyName)
	}
	path := settings.Path{Firm: rapid.SampledFrom(firms).Draw(t, "firm")}
	depth := rapid.IntRange(1, 4).Draw(t, "depth")
	if depth > 1 {
		path.Place = rapid.SampledFrom(places).Draw(t, "place")
	}
	if depth > 2 {
		path.Service = rapid.SampledFrom([]string{"stock", "cut"}).Draw(t, "service")
	}
	if depth > 3 {
		path.Kind = rapid.SampledFrom([]string{"look", "book"}).Draw(t, "kind")
	}
	return path
}

func TestResolverMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := settings.NewTree()
		for range rapid.IntRange(0, 30).Draw(t, "nodes") {
			path := drawPath(t, true).String()
			if tree.Nodes[path] == nil {
				tree.Nodes[path] = settings.Node{}
			}
			tree.Nodes[path]["rank"] = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "rank"))
		}
		path := drawPath(t, false)
		value, nodePath, _ := referenceValue(tree, path, "rank")
		res := settings.NewResolver(tree)
		if got := fmt.Sprint(res.Policy(path).Rank); got != value {
			t.Fatalf("%s: resolver returned %s, reference %s", path, got, value)
		}
		for _, src := range res.Explain(path) {
			if src.Key == "rank" && (src.Value != value || src.Level != nodePath) {
				t.Fatalf("%s: Explain returned %s from %s, reference %s from %s", path, src.Value, src.Level, value, nodePath)
			}
		}
	})
}

func TestUnsetKeyInheritsAgain(t *testing.T) {
	is := is.New(t)
	tree := settings.NewTree().Apply([]settings.Edit{{Path: "acme", Key: "rank", Value: "0"}})
	path := settings.Path{Firm: "acme"}
	is.Equal(settings.NewResolver(tree).Policy(path).Rank, 0)
	tree = tree.Apply([]settings.Edit{{Path: "acme", Key: "rank", Unset: true}})
	is.Equal(settings.NewResolver(tree).Policy(path).Rank, 2) // The value of the root.
}

func TestRoutes(t *testing.T) {
	is := is.New(t)
	tree := settings.NewTree().Apply([]settings.Edit{
		{Path: "*/*/stock/look", Key: "path", Value: "/stock"},
		{Path: "*/*/stock/deep", Key: "path", Value: "/stock/deep"},
		{Path: "acme/north/own/look", Key: "path", Value: "/stock"},
	})
	is.Equal(tree.Validate(), nil)
	cases := []struct {
		name, firm, path, service, kind string
		found                           bool
	}{
		{"route of every firm", "bolt", "/stock/7", "stock", "look", true},
		{"longest prefix", "bolt", "/stock/deep/7", "stock", "deep", true},
		{"route of the firm before that of every firm", "acme", "/stock", "own", "look", true},
		{"whole segments only", "bolt", "/stocks", "", "", false},
		{"no such path", "bolt", "/other", "", "", false},
		{"no path", "bolt", "", "", "", false},
		{"many segments", "bolt", strings.Repeat("/a", 5000), "", "", false},
	}
	routes := settings.NewResolver(tree).Routes()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			path, found := routes.Find(settings.Request{Firm: tc.firm, Place: "north", Method: "GET", Path: tc.path})
			is.Equal(found, tc.found)
			is.Equal(path.Service, tc.service)
			is.Equal(path.Kind, tc.kind)
		})
	}
}

// largeTree returns a tree of the size that must be supported: 3,900 routes and
// 20,000 firms.
func largeTree() *settings.Tree {
	tree := settings.NewTree()
	for i := range 3900 {
		path := fmt.Sprintf("*/*/service%d/kind%d", i%210, i)
		tree.Nodes[path] = settings.Node{"path": fmt.Sprintf("/service%d/kind%d", i%210, i), "rank": fmt.Sprint(i % 4)}
	}
	for i := range 20000 {
		tree.Nodes[fmt.Sprintf("firm%d", i)] = settings.Node{"deadline": fmt.Sprintf("%ds", 1+i%9)}
	}
	return tree
}

func BenchmarkResolve20000Firms(b *testing.B) {
	res := settings.NewResolver(largeTree())
	b.ReportAllocs()
	at := 0
	for b.Loop() {
		at++
		res.Policy(settings.Path{Firm: fmt.Sprintf("firm%d", at%20000), Place: "north", Service: "service7", Kind: "kind7"})
	}
}

func BenchmarkRoute3900(b *testing.B) {
	routes := settings.NewResolver(largeTree()).Routes()
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := routes.Find(settings.Request{Firm: "firm1", Place: "north", Method: "GET", Path: "/service7/kind7/more/segments"}); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkApplyOneChange20000Firms(b *testing.B) {
	tree := largeTree()
	for b.Loop() {
		tree = tree.Apply([]settings.Edit{{Path: "firm7", Key: "rank", Value: "1"}})
		tree.Digest()
	}
}

func BenchmarkValidate20000Firms(b *testing.B) {
	tree := largeTree()
	for b.Loop() {
		if faults := tree.Validate(); len(faults) > 0 {
			b.Fatal(faults[0])
		}
	}
}
