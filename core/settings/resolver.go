package settings

import (
	"strings"
	"sync"
)

// Resolver finds effective policies of one tree and keeps the ones it found.
// It is safe for concurrent use; the tree must not change.
type Resolver struct {
	tree   *Tree
	mu     sync.RWMutex
	found  map[Path]*Policy
	routes *RouteTable
}

// Source is the node that an effective value comes from.
type Source struct {
	Key   string
	Value string
	Level string
}

// maxCachedPolicies bounds the policies that a Resolver keeps.
const maxCachedPolicies = 65536

// NewResolver returns a Resolver of a valid tree.
func NewResolver(tree *Tree) *Resolver {
	return &Resolver{tree: tree, found: make(map[Path]*Policy)}
}

// Explain says for each key of a node which level its value comes from.
func (re *Resolver) Explain(path Path) []Source {
	var sources []Source
	chain := Chain(path)
	for _, key := range keys {
		for _, level := range chain {
			if value, set := re.tree.Nodes[level][key.Name]; set {
				sources = append(sources, Source{Key: key.Name, Value: value, Level: level})
				break
			}
		}
	}
	return sources
}

// Policy returns the effective policy of a node.
func (re *Resolver) Policy(path Path) *Policy {
	re.mu.RLock()
	policy := re.found[path]
	re.mu.RUnlock()
	if policy != nil {
		return policy
	}
	policy = re.resolve(path)
	re.mu.Lock()
	defer re.mu.Unlock()
	if len(re.found) >= maxCachedPolicies {
		clear(re.found)
	}
	re.found[path] = policy
	return policy
}

// Routes returns the table of the tree's routes.
func (re *Resolver) Routes() *RouteTable {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.routes == nil {
		re.routes = newRouteTable(re.tree)
	}
	return re.routes
}

func (re *Resolver) resolve(path Path) *Policy {
	policy := &Policy{}
	chain := Chain(path)
	for i := len(chain) - 1; i >= 0; i-- {
		for name, value := range re.tree.Nodes[chain[i]] {
			if key, known := keysByName[name]; known {
				_ = key.parse(policy, value) // A valid tree holds only values that parse.
			}
		}
	}
	return policy
}

// Chain returns the nodes that a path inherits from, the strongest first.
func Chain(path Path) []string {
	var chain []string
	for level := path.Level(); level > LevelRoot; level-- {
		chain = appendLevel(chain, path, level)
	}
	return append(chain, RootSection)
}

func appendLevel(chain []string, path Path, level Level) []string {
	for _, firm := range withAny(path.Firm) {
		if level == LevelFirm {
			chain = append(chain, firm)
			continue
		}
		for _, place := range withAny(path.Place) {
			parts := []string{firm, place, path.Service, path.Kind}
			chain = append(chain, strings.Join(parts[:level], "/"))
		}
	}
	return chain
}

func withAny(name string) []string {
	if name == AnyName {
		return []string{AnyName}
	}
	return []string{name, AnyName}
}
