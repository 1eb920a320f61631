package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

const (
	// AnyName matches every firm or every place.
	AnyName = "*"
	// MaxINISize is the largest accepted INI form of a tree, in bytes.
	MaxINISize = 6 << 20
	// RootSection is the name of the root in the INI form.
	RootSection = "root"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// IsValidName reports whether a name may be a part of a path.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// IsFirmName reports whether a firm may have the name: it is valid, and no section of the
// INI form with this name means something else.
func IsFirmName(name string) bool {
	return IsValidName(name) && name != RootSection && name != ini.DefaultSection
}

// Edit sets or unsets one key of one node.
type Edit struct {
	Path  string `codec:"path"`
	Key   string `codec:"key"`
	Value string `codec:"value"`
	Unset bool   `codec:"unset"`
}

// Node maps the keys that a node sets itself to their values; inherited keys are
// not in it.
type Node map[string]string

// Path identifies a node. The names below the level of the node are empty.
type Path struct {
	Firm    string
	Place   string
	Service string
	Kind    string
}

// Tree holds the nodes of the settings, indexed by the text of their paths.
type Tree struct {
	Nodes map[string]Node
}

// Diff returns the edits that turn one tree into another, sorted by path and key.
func Diff(from, to *Tree) []Edit {
	var edits []Edit
	for path, node := range to.Nodes {
		for key, value := range node {
			if before, set := from.Nodes[path][key]; !set || before != value {
				edits = append(edits, Edit{Path: path, Key: key, Value: value})
			}
		}
	}
	for path, node := range from.Nodes {
		for key := range node {
			if _, set := to.Nodes[path][key]; !set {
				edits = append(edits, Edit{Path: path, Key: key, Unset: true})
			}
		}
	}
	sort.Slice(edits, func(i, j int) bool {
		return edits[i].Path+"\x00"+edits[i].Key < edits[j].Path+"\x00"+edits[j].Key
	})
	return edits
}

// NewTree returns a tree whose root sets every key that it must set to its default. Storing the defaults keeps the effective settings unchanged when a
// later version of the program has other defaults.
func NewTree() *Tree {
	root := make(Node)
	for _, key := range keys {
		if key.isRequired() {
			root[key.Name] = key.Default
		}
	}
	return &Tree{Nodes: map[string]Node{RootSection: root}}
}

// ParseINI parses a tree in INI form. It checks the syntax and rejects keys that
// are set twice; Validate checks names and values.
func ParseINI(data []byte) (*Tree, error) {
	if len(data) > MaxINISize {
		return nil, fmt.Errorf("settings: INI form is larger than %d bytes", MaxINISize)
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		return nil, fmt.Errorf("settings: parse INI: %w", err)
	}
	tree := &Tree{Nodes: make(map[string]Node)}
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		node := make(Node)
		for _, key := range sec.Keys() {
			if len(key.ValueWithShadows()) > 1 {
				return nil, fmt.Errorf("settings: [%s] %s: set twice", sec.Name(), key.Name())
			}
			node[key.Name()] = key.Value()
		}
		if len(node) > 0 {
			tree.Nodes[sec.Name()] = node
		}
	}
	return tree, nil
}

// ParsePath parses the text of a path, such as firm/place/service.
func ParsePath(text string) (Path, error) {
	if text == RootSection {
		return Path{}, nil
	}
	parts := strings.Split(text, "/")
	if len(parts) > int(LevelKind) {
		return Path{}, fmt.Errorf("path %q: more levels than firm/place/service/kind", text)
	}
	for i, part := range parts {
		if part == AnyName && i < 2 {
			continue
		}
		if !namePattern.MatchString(part) {
			return Path{}, fmt.Errorf("path %q: bad name %q", text, part)
		}
	}
	parts = append(parts, "", "", "")
	return Path{Firm: parts[0], Place: parts[1], Service: parts[2], Kind: parts[3]}, nil
}

// Level returns the depth of the node.
func (pa Path) Level() Level {
	switch {
	case pa.Firm == "":
		return LevelRoot
	case pa.Place == "":
		return LevelFirm
	case pa.Service == "":
		return LevelPlace
	case pa.Kind == "":
		return LevelService
	}
	return LevelKind
}

// String returns the path as text, such as firm/place/service.
func (pa Path) String() string {
	parts := []string{pa.Firm, pa.Place, pa.Service, pa.Kind}
	level := pa.Level()
	if level == LevelRoot {
		return RootSection
	}
	return strings.Join(parts[:level], "/")
}

// Apply returns a copy of the tree with the edits applied. The copy shares the
// nodes that no edit touches.
func (tr *Tree) Apply(edits []Edit) *Tree {
	next := tr.shallowCopy()
	copied := make(map[string]bool)
	for _, edit := range edits {
		if !copied[edit.Path] {
			next.Nodes[edit.Path] = maps.Clone(next.Nodes[edit.Path])
			copied[edit.Path] = true
		}
		next.applyEdit(edit)
	}
	return next
}

// Digest returns the SHA-256 digest of the tree in hexadecimal. It covers the keys that
// are not secret, so that a tree and its Public form have the same digest.
func (tr *Tree) Digest() string {
	sum := sha256.New()
	var line []byte
	appendText := func(text string) {
		line = strconv.AppendInt(line, int64(len(text)), 10)
		line = append(append(line, ':'), text...)
	}
	for _, path := range slices.Sorted(maps.Keys(tr.Nodes)) {
		node := tr.Nodes[path]
		for _, key := range slices.Sorted(maps.Keys(node)) {
			if isSecret(key) {
				continue
			}
			line = line[:0]
			appendText(path)
			appendText(key)
			appendText(node[key])
			sum.Write(line)
		}
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// INI returns the tree in INI form: the root first, then the other nodes by path,
// each with its keys sorted.
func (tr *Tree) INI() []byte {
	var buf bytes.Buffer
	for _, path := range tr.paths() {
		fmt.Fprintf(&buf, "[%s]\n", path)
		node := tr.Nodes[path]
		for _, key := range slices.Sorted(maps.Keys(node)) {
			fmt.Fprintf(&buf, "%s = %s\n", key, node[key])
		}
		buf.WriteByte('\n')
	}
	return buf.Bytes()
}

// Validate returns all faults of the tree. It compares routes only if every node
// is valid.
func (tr *Tree) Validate() []string {
	var faults []string
	for _, path := range tr.paths() {
		faults = append(faults, validateNode(path, tr.Nodes[path])...)
	}
	for _, key := range keys {
		if _, set := tr.Nodes[RootSection][key.Name]; !set && key.isRequired() {
			faults = append(faults, fmt.Sprintf("[root] %s: not set, but the root must set every key", key.Name))
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return append(tr.validateOrganisations(), tr.validateRoutes()...)
}

func (tr *Tree) applyEdit(edit Edit) {
	if edit.Unset {
		delete(tr.Nodes[edit.Path], edit.Key)
		if len(tr.Nodes[edit.Path]) == 0 {
			delete(tr.Nodes, edit.Path)
		}
		return
	}
	if tr.Nodes[edit.Path] == nil {
		tr.Nodes[edit.Path] = make(Node)
	}
	tr.Nodes[edit.Path][edit.Key] = edit.Value
}

func (tr *Tree) paths() []string {
	paths := slices.Collect(maps.Keys(tr.Nodes))
	sort.Slice(paths, func(i, j int) bool {
		if (paths[i] == RootSection) != (paths[j] == RootSection) {
			return paths[i] == RootSection
		}
		return paths[i] < paths[j]
	})
	return paths
}

func (tr *Tree) shallowCopy() *Tree {
	return &Tree{Nodes: maps.Clone(tr.Nodes)}
}

// validateRoutes reports kinds of the same firm and place whose host, method and
// path are equal, since a request would match both.
func (tr *Tree) validateRoutes() []string {
	var faults []string
	res := NewResolver(tr)
	owners := make(map[string]string)
	for _, path := range tr.paths() {
		node := tr.Nodes[path]
		if node["path"] == "" {
			continue
		}
		kind, _ := ParsePath(path)
		policy := res.Policy(kind)
		route := fmt.Sprintf("%s/%s %s %s%s", kind.Firm, kind.Place, policy.Method, policy.Host, policy.Path)
		if owner, taken := owners[route]; taken {
			faults = append(faults, fmt.Sprintf("[%s] path = %q: [%s] has the same method and path on the same host", path, policy.Path, owner))
		}
		owners[route] = path
	}
	return faults
}

func validateNode(path string, node Node) []string {
	parsed, err := ParsePath(path)
	if err != nil {
		return []string{fmt.Sprintf("[%s]: %v", path, err)}
	}
	var faults []string
	for _, name := range slices.Sorted(maps.Keys(node)) {
		key, known := FindKey(name)
		switch {
		case !known:
			faults = append(faults, fmt.Sprintf("[%s] %s: no such key", path, name))
		case !key.IsAllowedAt(parsed.Level()):
			faults = append(faults, fmt.Sprintf("[%s] %s: not allowed at the level of a %s", path, name, parsed.Level()))
		default:
			if err := key.Check(node[name]); err != nil {
				faults = append(faults, fmt.Sprintf("[%s] %v", path, err))
			}
		}
	}
	return faults
}
