package settings_test

import (
	"fmt"
	"net/url"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactusstream.example/core/settings"
)

func TestRoutesByHostAndPrefix(t *testing.T) {
	tree := settings.NewTree()
	for name, node := range map[string]settings.Node{
		"below":   {"host": "one.example", "path": "/stock/", "method": settings.AnyMethod},
		"deeper":  {"host": "one.example", "path": "/stock/deep/", "method": settings.AnyMethod},
		"all":     {"host": "one.example", "path": "/", "method": settings.AnyMethod},
		"other":   {"host": "two.example", "path": "/stock/", "method": settings.AnyMethod},
		"anyHost": {"path": "/stock/deep/down", "method": "GET"},
	} {
		tree.Nodes["*/*/s/"+name] = node
	}
	if faults := tree.Validate(); len(faults) > 0 {
		t.Fatal(faults)
	}
	cases := []struct {
		name, host, method, path, kind string
	}{
		{"path below the prefix", "one.example", "PUT", "/stock/7", "below"},
		{"longest prefix", "one.example", "GET", "/stock/deep/7", "deeper"},
		{"a trailing slash excludes the prefix itself", "one.example", "GET", "/stock", "all"},
		{"port and case of the host are ignored", "One.Example:8080", "GET", "/stock/7", "below"},
		{"same path on another host", "two.example", "GET", "/stock/7", "other"},
		{"a route of the host before a longer one of every host", "one.example", "GET", "/stock/deep/down", "deeper"},
		{"a route of every host", "three.example", "GET", "/stock/deep/down/7", "anyHost"},
		{"method without a route", "three.example", "PUT", "/stock/deep/down/7", ""},
		{"path without a route of every host", "three.example", "GET", "/stock/7", ""},
	}
	routes := settings.NewResolver(tree).Routes()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			path, found := routes.Find(settings.Request{Firm: "*", Place: "*", Host: tc.host, Method: tc.method, Path: tc.path})
			is.Equal(found, tc.kind != "")
			is.Equal(path.Kind, tc.kind)
		})
	}
}

func TestSplit(t *testing.T) {
	is := is.New(t)
	split, err := settings.ParseSplit("one:90 two:10 three:0")
	is.NoErr(err)
	is.Equal(split.String(), "one:90 two:10 three:0")
	counts := make(map[string]int)
	for i := range 1000 {
		counts[split.Choose(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"one": 900, "two": 100})
	is.Equal(settings.Split(nil).Choose(0.5), "")
	for _, text := range []string{"one", "one:x", "one:-1", "one:0 two:0", ":5"} {
		_, err := settings.ParseSplit(text)
		is.True(err != nil) // Invalid split.
	}
}

func TestSplitRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		split := settings.Split{{Service: "first", Weight: 1}}
		for i := range rapid.IntRange(0, 5).Draw(rt, "parts") {
			split = append(split, settings.WeightedService{Service: fmt.Sprintf("s%d", i), Weight: rapid.IntRange(0, 1000).Draw(rt, "weight")})
		}
		reparsed, err := settings.ParseSplit(split.String())
		if err != nil || reparsed.String() != split.String() {
			rt.Fatalf("round trip turned %v into %v: %v", split, reparsed, err)
		}
	})
}

// TestRoutePath checks that an escaped slash doesn't end a segment. On the decoded path,
// /a%2Fb took the route /a/.
func TestRoutePath(t *testing.T) {
	for target, want := range map[string]string{
		"/a/b":         "/a/b",
		"/a%2Fb":       "/a%2Fb",
		"/a%2fb/c":     "/a%2Fb/c",
		"/%61/b":       "/a/b",
		"/a%20b/c":     "/a b/c",
		"/a%252Fb":     "/a%2Fb",
		"/a//b":        "/a//b",
		"http://h/%2F": "/%2F",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			parsed, err := url.Parse(target)
			is.NoErr(err)
			is.Equal(settings.RoutePath(parsed), want)
		})
	}
}
