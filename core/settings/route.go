package settings

import "strings"

// RouteTable finds the kind of a request by firm, place, method and path.
type RouteTable struct {
	byRoute map[routeKey]Path
}

type routeKey struct {
	firm   string
	place  string
	method string
	path   string
}

// maxRouteSegments bounds how many segments of a path are looked at.
const maxRouteSegments = 16

// Find returns the kind with the longest matching path; at one length the
// firm's own route wins over the one of every firm.
func (ro *RouteTable) Find(firm, place, method, path string) (Path, bool) {
	prefix := boundSegments(path)
	for prefix != "" {
		for _, firmName := range withAny(firm) {
			for _, placeName := range withAny(place) {
				if kind, ok := ro.byRoute[routeKey{firmName, placeName, method, prefix}]; ok {
					return Path{Firm: firm, Place: place, Service: kind.Service, Kind: kind.Kind}, true
				}
			}
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
	return Path{}, false
}

// Len returns the number of routes.
func (ro *RouteTable) Len() int {
	return len(ro.byRoute)
}

func boundSegments(path string) string {
	if !strings.HasPrefix(path, "/") {
		return ""
	}
	path = strings.TrimRight(path, "/")
	segments := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		segments++
		if segments > maxRouteSegments {
			return path[:i]
		}
	}
	return path
}

func newRouteTable(tree *Tree) *RouteTable {
	table := &RouteTable{byRoute: make(map[routeKey]Path)}
	res := NewResolver(tree)
	for text, node := range tree.Nodes {
		if node["path"] == "" {
			continue
		}
		kind, err := ParsePath(text)
		if err != nil {
			continue
		}
		policy := res.resolve(kind)
		table.byRoute[routeKey{kind.Firm, kind.Place, policy.Method, policy.Path}] = kind
	}
	return table
}
