// Package settings holds the tree of settings that operators edit.
//
// The tree has nodes named firm/place/service/kind. A node inherits what it
// does not set from the nodes above it, and `*` as a firm or place stands for
// every one. Resolve finds the effective Policy of a node: deeper nodes win
// over shallower ones, and at one depth the firm's own node wins over `*`,
// then the place's own node over `*`.
//
// Usage:
//
//	tree, err := settings.ParseINI(data)
//	faults := tree.Validate()
//	res := settings.NewResolver(tree)
//	policy := res.Policy(settings.Path{Firm: "quillota", Place: "cl-centro", Service: "corte", Kind: "cutOrder"})
//
// Store is the aggregate that changes go through: a change has an id and the
// version it was made against, and applies whole or not at all.
package settings
