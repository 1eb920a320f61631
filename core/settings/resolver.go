package settings

import (
	"strings"
	"sync"
)

// Resolver computes and caches the effective policies of one tree. It is safe
// for concurrent use; the tree must not be modified.
type Resolver struct {
	tree   *Tree
	mu     sync.RWMutex
	cache  map[Path]*Policy
	routes *RouteTable
	// organisations returns the index of the tree, built on the first call.
	organisations func() *Organisations
}

// Source is an effective value and the node that sets it.
type Source struct {
	Key   string
	Value string
	Level string // Path of the node, as text.
}

// maxCachedPolicies is the number of policies in the cache of a Resolver, which is
// cleared when full.
const maxCachedPolicies = 65536

// NewResolver returns a Resolver for a valid tree.
func NewResolver(tree *Tree) *Resolver {
	return &Resolver{tree: tree, cache: make(map[Path]*Policy), organisations: sync.OnceValue(func() *Organisations { return newOrganisations(tree) })}
}

// Next returns a Resolver for a valid tree that differs from that of re by edits of the
// given paths only. The index of organisations is not built anew.
func (re *Resolver) Next(tree *Tree, paths map[string]bool) *Resolver {
	organisations := re.Organisations().update(re.tree, tree, paths)
	return &Resolver{tree: tree, cache: make(map[Path]*Policy), organisations: func() *Organisations { return organisations }}
}

// Explain returns, for each key that is set for a node, the effective value and
// the node that sets it.
func (re *Resolver) Explain(path Path) []Source {
	var sources []Source
	chain := Chain(path)
	for _, key := range keys {
		if key.Secret || key.describesOrganisation() && path.Level() != LevelFirm {
			continue
		}
		for _, node := range chain {
			if value, set := re.tree.Nodes[node][key.Name]; set {
				sources = append(sources, Source{Key: key.Name, Value: value, Level: node})
				break
			}
		}
	}
	return sources
}

// Organisations returns the index of the organisations of the tree.
func (re *Resolver) Organisations() *Organisations { return re.organisations() }

// Policy returns the effective policy of a node. A firm without settings of its own has
// the policies of every firm, and no entries in the cache, which could not hold those of
// thousands of organisations.
func (re *Resolver) Policy(path Path) *Policy {
	if path.Firm != "" && path.Firm != AnyName && !re.Organisations().hasPolicy(path.Firm) {
		path.Firm = AnyName
	}
	re.mu.RLock()
	policy := re.cache[path]
	re.mu.RUnlock()
	if policy != nil {
		return policy
	}
	policy = re.resolve(path)
	re.mu.Lock()
	defer re.mu.Unlock()
	if len(re.cache) >= maxCachedPolicies {
		clear(re.cache)
	}
	re.cache[path] = policy
	return policy
}

// Routes returns the route table of the tree, built on the first call.
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
				_ = key.parse(policy, value) // The values of a valid tree parse.
			}
		}
	}
	return policy
}

// Chain returns the paths of the nodes that a node takes its values from, itself
// included, highest precedence first.
func Chain(path Path) []string {
	var chain []string
	for level := path.Level(); level > LevelRoot; level-- {
		chain = appendLevel(chain, path, level)
	}
	return append(chain, RootSection)
}

// appendLevel appends the paths of the nodes of one level, highest precedence first.
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
