package settings

import (
	"net"
	"net/url"
	"strings"
)

// Request holds the attributes of a request that determine its kind.
type Request struct {
	Firm   string
	Place  string
	Host   string
	Method string
	Path   string
}

// RouteTable maps the firm, place, host, method and path of a request to its kind.
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

// maxRouteSegments is the number of leading path segments that Find compares.
const maxRouteSegments = 16

// Find returns the kind of a request. Routes of the request's host take precedence
// over routes without a host, then longer path prefixes over shorter ones; among
// equal prefixes, routes of the firm take precedence over those of every firm.
func (ro *RouteTable) Find(req Request) (Path, bool) {
	host := strings.ToLower(req.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, hostName := range withAnyHost(host) {
		for prefix := longestPrefix(req.Path); prefix != ""; prefix = shorterPrefix(prefix) {
			if kind, ok := ro.lookup(req, hostName, prefix); ok {
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

// lookup returns the kind of the route with exactly this host and path prefix.
func (ro *RouteTable) lookup(req Request, host, prefix string) (Path, bool) {
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

// longestPrefix returns the longest prefix of a path that Find compares, or "" if
// the path does not start with a slash.
func longestPrefix(path string) string {
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

// shorterPrefix returns the next shorter prefix: /a/ for /a/b, and /a for /a/.
func shorterPrefix(prefix string) string {
	if shorter, cut := strings.CutSuffix(prefix, "/"); cut {
		return shorter
	}
	return prefix[:strings.LastIndexByte(prefix, '/')+1]
}

func withAnyHost(host string) []string {
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

// RoutePath returns the path of a URL as routes match it: decoded but for escaped
// slashes, which don't separate segments. On the decoded path, /a%2Fb would take the
// route /a/.
func RoutePath(target *url.URL) string {
	if target.RawPath == "" {
		return target.Path
	}
	segments := strings.Split(target.RawPath, "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			return target.Path // The server accepts no such path.
		}
		segments[i] = strings.ReplaceAll(decoded, "/", "%2F")
	}
	return strings.Join(segments, "/")
}
