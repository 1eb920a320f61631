package settings

import (
	"maps"
	"slices"
)

// secretKeys holds the names of the keys whose values only the keepers hold.
var secretKeys = func() []string {
	var names []string
	for _, key := range keys {
		if key.Secret {
			names = append(names, key.Name)
		}
	}
	return names
}()

func isSecret(key string) bool { return slices.Contains(secretKeys, key) }

// Public returns the tree without the secret keys: what processes besides the keepers,
// and operators, may see. It shares the nodes that set no secret key, and is the tree
// itself if none does.
func (tr *Tree) Public() *Tree {
	next := tr
	for path, node := range tr.Nodes {
		if !node.hasSecret() {
			continue
		}
		if next == tr {
			next = tr.shallowCopy()
		}
		public := maps.Clone(node)
		maps.DeleteFunc(public, func(key, _ string) bool { return isSecret(key) })
		next.Nodes[path] = public
		if len(public) == 0 {
			delete(next.Nodes, path)
		}
	}
	return next
}

// Public returns the change without the edits of secret keys.
func (ch Change) Public() Change {
	if slices.ContainsFunc(ch.Edits, AppliedEdit.isSecret) {
		ch.Edits = slices.DeleteFunc(slices.Clone(ch.Edits), AppliedEdit.isSecret)
	}
	return ch
}

func (ed AppliedEdit) isSecret() bool { return isSecret(ed.Edit.Key) }

func (no Node) hasSecret() bool {
	for _, key := range secretKeys {
		if _, set := no[key]; set {
			return true
		}
	}
	return false
}
