package settings

import (
	"crypto/subtle"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Organisation holds the settings of an organisation: a firm whose node sets keys that
// describe one.
type Organisation struct {
	// Name is the name of the firm, and Title the name that upstreams get.
	Name  string
	Title string
	// Rank takes precedence over the rank of the kind of a request.
	Rank int
	// Rate is the limit on requests a second, or 0 for none; Burst are the requests
	// that may come at once beyond it.
	Rate    float64
	Burst   float64
	Digests []KeyDigest
}

// Organisations is the index of the organisations of a tree. It is immutable.
type Organisations struct {
	byDigest map[KeyDigest]*Organisation
	byName   map[string]*Organisation
	// requireKeys is the value of KeyRequireKeys.
	requireKeys bool
	// withPolicy counts, for each firm besides `*`, the nodes that can change a policy:
	// those below the firm, and its own if that sets more than the organisation.
	withPolicy map[string]int
}

// newOrganisations builds the index of a tree.
func newOrganisations(tree *Tree) *Organisations {
	ors := &Organisations{
		byDigest: make(map[KeyDigest]*Organisation), byName: make(map[string]*Organisation), withPolicy: make(map[string]int),
		requireKeys: tree.Nodes[RootSection].requiresKeys(),
	}
	for path, node := range tree.Nodes {
		firm, _, _ := strings.Cut(path, "/")
		if isIndexedFirm(firm) {
			ors.addNode(firm, path, node)
		}
	}
	return ors
}

// update returns the index of a tree that differs from the indexed one by edits only. A
// new version changes few organisations, or none in most cases, so it costs less than a
// new index.
func (or *Organisations) update(from, to *Tree, paths map[string]bool) *Organisations {
	next := or
	for path := range paths {
		firm, _, _ := strings.Cut(path, "/")
		if !isIndexedFirm(firm) {
			continue
		}
		if next == or {
			next = or.clone()
		}
		next.removeNode(firm, path, from.Nodes[path])
	}
	if required := to.Nodes[RootSection].requiresKeys(); required != or.requireKeys {
		if next == or {
			next = or.clone()
		}
		next.requireKeys = required
	}
	if next == or {
		return or
	}
	for path := range paths { // After all removals: a key may move from one organisation to another.
		firm, _, _ := strings.Cut(path, "/")
		if isIndexedFirm(firm) {
			next.addNode(firm, path, to.Nodes[path])
		}
	}
	return next
}

func (or *Organisations) clone() *Organisations {
	return &Organisations{byDigest: maps.Clone(or.byDigest), byName: maps.Clone(or.byName), requireKeys: or.requireKeys, withPolicy: maps.Clone(or.withPolicy)}
}

// All returns the organisations, sorted by name.
func (or *Organisations) All() []*Organisation {
	list := slices.Collect(maps.Values(or.byName))
	slices.SortFunc(list, func(one, two *Organisation) int { return strings.Compare(one.Name, two.Name) })
	return list
}

// ByKey returns the organisation with the given key, or nil.
func (or *Organisations) ByKey(key string) *Organisation {
	if key == "" || len(key) > MaxKeyBytes {
		return nil
	}
	return or.ByDigest(NewKeyDigest(key))
}

// ByDigest returns the organisation with the key of the given digest, or nil. The
// comparison takes the same time wherever a digest differs.
func (or *Organisations) ByDigest(digest KeyDigest) *Organisation {
	found := or.byDigest[digest]
	if found == nil {
		return nil
	}
	for i := range found.Digests {
		if subtle.ConstantTimeCompare(found.Digests[i][:], digest[:]) == 1 {
			return found
		}
	}
	return nil
}

// ByName returns the organisation of a firm, or nil.
func (or *Organisations) ByName(name string) *Organisation { return or.byName[name] }

// Len returns the number of organisations.
func (or *Organisations) Len() int { return len(or.byName) }

// RequireKeys reports whether requests need the key of an organisation: the settings have
// organisations, even if none of them has a key, or KeyRequireKeys demands it.
func (or *Organisations) RequireKeys() bool { return or.requireKeys || len(or.byName) > 0 }

// hasPolicy reports whether the firm can have other policies than every firm.
func (or *Organisations) hasPolicy(firm string) bool { return or.withPolicy[firm] > 0 }

func (or *Organisations) addNode(firm, path string, node Node) {
	if node.changesPolicy(firm, path) {
		or.withPolicy[firm]++
	}
	if path != firm || !node.describesOrganisation() {
		return
	}
	org := node.organisation(firm)
	or.byName[firm] = org
	for _, digest := range org.Digests {
		or.byDigest[digest] = org
	}
}

func (or *Organisations) removeNode(firm, path string, node Node) {
	if node.changesPolicy(firm, path) {
		if or.withPolicy[firm]--; or.withPolicy[firm] == 0 {
			delete(or.withPolicy, firm)
		}
	}
	org := or.byName[firm]
	if path != firm || org == nil {
		return
	}
	delete(or.byName, firm)
	for _, digest := range org.Digests {
		if or.byDigest[digest] == org {
			delete(or.byDigest, digest)
		}
	}
}

// changesPolicy reports whether the node of a firm, or one below it, can change the
// policies of the firm.
func (no Node) changesPolicy(firm, path string) bool {
	if path != firm {
		return len(no) > 0
	}
	for name := range no {
		if key, known := FindKey(name); known && !key.describesOrganisation() && name != keyAnnotations {
			return true
		}
	}
	return false
}

// requiresKeys reports whether the root demands keys, whatever organisations there are.
func (no Node) requiresKeys() bool { return no[KeyRequireKeys] == strconv.FormatBool(true) }

// describesOrganisation reports whether a node at the level of a firm describes an
// organisation.
func (no Node) describesOrganisation() bool {
	for name := range no {
		if key, known := FindKey(name); known && key.describesOrganisation() {
			return true
		}
	}
	return false
}

// organisation returns the organisation that a valid node describes.
func (no Node) organisation(firm string) *Organisation {
	org := &Organisation{Name: firm, Title: no[KeyTitle], Rank: DefaultOrganisationRank}
	if org.Title == "" {
		org.Title = firm
	}
	if rank, err := strconv.Atoi(no[KeyOrganisationRank]); err == nil {
		org.Rank = min(max(rank, 0), RankCount-1)
	}
	org.Rate, _ = strconv.ParseFloat(no[KeyQuotaRate], 64)
	org.Burst, _ = strconv.ParseFloat(no[KeyQuotaBurst], 64)
	org.Digests, _ = ParseKeyDigests(no[KeyKeyDigests])
	return org
}

// isIndexedFirm reports whether the first name of a path is that of a single firm.
func isIndexedFirm(name string) bool { return name != AnyName && name != RootSection }

// validateOrganisations reports organisations that share a key, keys that don't match
// their digests, and an organisation that would be every firm. A list without keys needs its
// digests too: an organisation of which daemons follow nothing would require no keys there.
func (tr *Tree) validateOrganisations() []string {
	var faults []string
	owners := make(map[KeyDigest]string)
	for _, path := range tr.paths() {
		node := tr.Nodes[path]
		if path == RootSection || strings.Contains(path, "/") || !node.describesOrganisation() {
			continue
		}
		if path == AnyName {
			faults = append(faults, fmt.Sprintf("[%s]: an organisation needs a name", path))
			continue
		}
		digests, _ := ParseKeyDigests(node[KeyKeyDigests]) // The nodes are valid.
		if text, set := node[KeyKeys]; set {
			list, _ := ParseKeys(text)
			if _, hasDigests := node[KeyKeyDigests]; !hasDigests || !slices.Equal(digestsOf(list), digests) {
				faults = append(faults, fmt.Sprintf("[%s] %s: does not hold the digests of %s", path, KeyKeyDigests, KeyKeys))
			}
		}
		for i, digest := range digests {
			if owner, taken := owners[digest]; taken && owner != path {
				faults = append(faults, fmt.Sprintf("[%s] %s: key %d is also a key of [%s]", path, KeyKeyDigests, i+1, owner))
			}
			owners[digest] = path
		}
	}
	return faults
}
