// Package settings implements the hierarchical settings that operators edit.
//
// The settings form a tree of nodes named firm/place/service/kind, where a place
// is a location of the firm and a kind is a class of requests to the service. A
// node inherits every key that it does not set, and `*` as a firm or place
// matches all of them. A Resolver computes the effective Policy of a node: deeper
// nodes take precedence over shallower ones; at the same depth a node of the firm
// takes precedence over one of `*`, then a node of the place over one of `*`.
//
// Usage:
//
//	tree, err := settings.ParseINI(data)
//	faults := tree.Validate()
//	res := settings.NewResolver(tree)
//	policy := res.Policy(settings.Path{Firm: "quillota", Place: "cl-centro", Service: "corte", Kind: "cutOrder"})
//
// A firm whose node sets keys such as keyDigests or quotaRate is an organisation. The
// Resolver's index finds it by a key:
//
//	org := res.Organisations().ByKey(key)
//
// Secret keys of the tree stay on the keepers: all other processes, and operators, get
// what Tree.Public and Change.Public return. Digests of trees don't cover secret keys.
//
// Store applies changes to a tree and keeps their history. A change has an id
// and the version that it was made against, and is applied as a whole or not at
// all.
package settings
