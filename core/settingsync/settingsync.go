// Package settingsync distributes accepted settings from the keepers to every daemon.
//
// Usage, in a daemon:
//
//	rep := settingsync.NewReplica(publicKeys)
//	applied, err := rep.Apply(update)  // from a keeper or from a peer
//	current := rep.Current()           // the active settings
//	update := rep.Since(have)          // for a peer with an older version
//
// Every version carries the keepers' Ed25519 signature over its number and the
// digest of the whole tree, so a daemon can verify settings that another daemon
// forwards. A Replica never returns to a lower version.
package settingsync

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"cactusstream.example/core/settings"
)

const (
	// MethodGet is the link method that requests an Update from a daemon or a keeper.
	MethodGet = "settings.get"
	// maxRecentChanges is the number of changes that a Replica keeps for peers with
	// an older version; a peer that is further behind receives the whole tree.
	maxRecentChanges = 256
)

// Request asks for the Update that brings settings of version Have to the newest
// version. If there is no newer version, the response is delayed by at most WaitMS
// milliseconds until there is one.
type Request struct {
	Have   uint64 `codec:"have"`
	WaitMS int64  `codec:"waitMs"`
}

// Update brings the settings of a Replica to Version. It holds either the changes
// since an older version or the whole tree.
type Update struct {
	Version   uint64                   `codec:"version"`
	Digest    string                   `codec:"digest"`
	Signature []byte                   `codec:"signature"`
	Changes   []settings.Change        `codec:"changes"`
	Tree      map[string]settings.Node `codec:"tree"`
}

// Active is the active version of the settings, with a Resolver and an index of the
// organisations for its tree.
type Active struct {
	Version   uint64
	Digest    string
	Signature []byte
	Tree      *settings.Tree
	Resolver  *settings.Resolver
	// Organisations is never nil.
	Organisations *settings.Organisations
}

// Replica holds the active settings of a process and the most recent changes.
//
// Lock order: no other lock is acquired while Replica.mu is held. Current takes no
// lock.
type Replica struct {
	keys    func() []ed25519.PublicKey
	current atomic.Pointer[Active]

	mu         sync.Mutex
	changes    []settings.Change
	newVersion chan struct{} // Closed and replaced when a version is applied.
}

// Errors returned by Apply.
var (
	ErrBadSignature   = errors.New("settingsync: signature does not match any known key")
	ErrDigestMismatch = errors.New("settingsync: tree does not match the signed digest")
	ErrMissingChanges = errors.New("settingsync: changes do not follow the active version")
)

// closedChannel is returned for what has happened already.
var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// NewReplica returns a Replica at version 0. Its Resolver returns the built-in
// defaults, for components that run before the first settings arrive. The function
// keys is called for each update, so that keys can be replaced.
func NewReplica(keys func() []ed25519.PublicKey) *Replica {
	rep := &Replica{keys: keys, newVersion: make(chan struct{})}
	res := settings.NewResolver(settings.NewTree())
	rep.current.Store(&Active{Tree: &settings.Tree{Nodes: map[string]settings.Node{}}, Resolver: res, Organisations: res.Organisations()})
	return rep
}

// Sign returns the signature of a version and its digest.
func Sign(key ed25519.PrivateKey, version uint64, digest string) []byte {
	return ed25519.Sign(key, signedMessage(version, digest))
}

// Apply verifies an update and activates it. It returns false if the update is
// not newer than the active version.
func (re *Replica) Apply(upd Update) (bool, error) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.current.Load()
	if upd.Version <= now.Version {
		return false, nil
	}
	if !re.hasValidSignature(upd) {
		return false, fmt.Errorf("version %d: %w", upd.Version, ErrBadSignature)
	}
	upd = upd.public()
	tree, paths, err := nextTree(now, upd)
	if err != nil {
		return false, fmt.Errorf("version %d: %w", upd.Version, err)
	}
	if tree.Digest() != upd.Digest {
		return false, fmt.Errorf("version %d: %w", upd.Version, ErrDigestMismatch)
	}
	re.recordChanges(upd)
	active := &Active{Version: upd.Version, Digest: upd.Digest, Signature: upd.Signature, Tree: tree}
	if upd.Tree != nil {
		active.Resolver = settings.NewResolver(tree)
	} else {
		active.Resolver = now.Resolver.Next(tree, paths)
	}
	active.Organisations = active.Resolver.Organisations()
	re.current.Store(active)
	close(re.newVersion)
	re.newVersion = make(chan struct{})
	return true, nil
}

// Current returns the active settings. Version 0 means that none were received.
func (re *Replica) Current() *Active {
	return re.current.Load()
}

// Since returns the update that brings a peer from a version to the active one:
// the changes if the Replica has all of them, otherwise the whole tree. If there is
// no newer version, the version of the update is not above the given one.
func (re *Replica) Since(have uint64) Update {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.current.Load()
	upd := Update{Version: now.Version, Digest: now.Digest, Signature: now.Signature}
	if have >= now.Version {
		return upd
	}
	if len(re.changes) > 0 && have > 0 && re.changes[0].Version <= have+1 {
		upd.Changes = re.changes[have+1-re.changes[0].Version:]
		return upd
	}
	upd.Tree = now.Tree.Nodes
	return upd
}

// Wait blocks until a version newer than the given one is active or the context
// is done.
func (re *Replica) Wait(ctx context.Context, have uint64) {
	for re.Current().Version <= have {
		select {
		case <-re.changed(have):
		case <-ctx.Done():
			return
		}
	}
}

// changed returns a channel that is closed once a version newer than have is active, or
// any other version than the current one.
func (re *Replica) changed(have uint64) <-chan struct{} {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.current.Load().Version > have {
		return closedChannel
	}
	return re.newVersion
}

func (re *Replica) hasValidSignature(upd Update) bool {
	for _, key := range re.keys() {
		if ed25519.Verify(key, signedMessage(upd.Version, upd.Digest), upd.Signature) {
			return true
		}
	}
	return false
}

// recordChanges appends the new changes of an update to the recent changes, which
// are consecutive and end at the newest version. An update with a whole tree
// clears them, because the changes in between are not known.
func (re *Replica) recordChanges(upd Update) {
	if upd.Tree != nil {
		re.changes = nil
		return
	}
	for _, change := range upd.Changes {
		if change.Version > re.current.Load().Version {
			re.changes = append(re.changes, change)
		}
	}
	if extra := len(re.changes) - maxRecentChanges; extra > 0 {
		re.changes = append([]settings.Change(nil), re.changes[extra:]...)
	}
}

// public returns the update without secret keys. Daemons and their peers must not hold
// them, and the digest doesn't cover them.
func (up Update) public() Update {
	if up.Tree != nil {
		up.Tree = (&settings.Tree{Nodes: up.Tree}).Public().Nodes
	}
	changes := up.Changes
	up.Changes = make([]settings.Change, 0, len(changes))
	for _, change := range changes {
		up.Changes = append(up.Changes, change.Public())
	}
	return up
}

// nextTree returns the tree of an update and the paths of the nodes that its changes edit,
// or ErrMissingChanges if a change is missing.
func nextTree(now *Active, upd Update) (*settings.Tree, map[string]bool, error) {
	if upd.Tree != nil {
		return &settings.Tree{Nodes: upd.Tree}, nil, nil
	}
	tree := now.Tree
	version := now.Version
	paths := make(map[string]bool)
	for _, change := range upd.Changes {
		if change.Version <= version {
			continue
		}
		if change.Version != version+1 {
			return nil, nil, ErrMissingChanges
		}
		edits := make([]settings.Edit, 0, len(change.Edits))
		for _, edit := range change.Edits {
			edits = append(edits, edit.Edit)
			paths[edit.Edit.Path] = true
		}
		tree = tree.Apply(edits)
		version = change.Version
	}
	if version != upd.Version {
		return nil, nil, ErrMissingChanges
	}
	return tree, paths, nil
}

// signedMessage returns the bytes that the signature of a version covers.
func signedMessage(version uint64, digest string) []byte {
	return fmt.Appendf(nil, "cactusstream settings %d %s", version, digest)
}
