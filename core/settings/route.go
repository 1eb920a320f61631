package settings

import (
	"net"
	"strings"
)

// Request is the part of a request that its kind is found by.
type Request struct {
	Firm   string
	Place  string
	Host   string
	Method string
	Path   string
}

// RouteTable finds the kind of a request by firm, place, host, method and path.
type RouteTable struct {
	byRoute map[routeKey]Path
}

type routeKey struct {
	firm   string
	place  string
	host   string
	method string
	path   string
}

// maxRouteSegments bounds how many segments of a path are looked at.
const maxRouteSegments = 16

// Find returns the kind with the longest matching path among the routes of the
// request's host, then among those of every host; at one length the firm's own
// route wins over the one of every firm.
func (ro *RouteTable) Find(req Request) (Path, bool) {
	host := strings.ToLower(req.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, hostName := range withEmpty(host) {
		for prefix := boundSegments(req.Path); prefix != ""; prefix = shorterPrefix(prefix) {
			if kind, ok := ro.at(req, hostName, prefix); ok {
				return Path{Firm: req.Firm, Place: req.Place, Service: kind.Service, Kind: kind.Kind}, true
			}
		}
	}
	return Path{}, false
}

// Len returns the number of routes.
func (ro *RouteTable) Len() int {
	return len(ro.byRoute)
}

func (ro *RouteTable) at(req Request, host, prefix string) (Path, bool) {
	for _, firm := range withAny(req.Firm) {
		for _, place := range withAny(req.Place) {
			for _, method := range []string{req.Method, AnyMethod} {
				if kind, ok := ro.byRoute[routeKey{firm, place, host, method, prefix}]; ok {
					return kind, true
				}
			}
		}
	}
	return Path{}, false
}

// boundSegments returns the longest prefix of a path that a route may have.
func boundSegments(path string) string {
	if !strings.HasPrefix(path, "/") {
		return ""
	}
	segments := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		segments++
		if segments > maxRouteSegments {
			return path[:i+1]
		}
	}
	return path
}

// shorterPrefix goes from /a/b to /a/, and from /a/ to /a.
func shorterPrefix(prefix string) string {
	if shorter, cut := strings.CutSuffix(prefix, "/"); cut {
		return shorter
	}
	return prefix[:strings.LastIndexByte(prefix, '/')+1]
}

func withEmpty(host string) []string {
	if host == "" {
		return []string{""}
	}
	return []string{host, ""}
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
		table.byRoute[routeKey{kind.Firm, kind.Place, policy.Host, policy.Method, policy.Path}] = kind
	}
	return table
}
