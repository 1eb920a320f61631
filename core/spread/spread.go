// Package spread carries accepted settings from the keepers to every daemon.
//
// Usage, in a daemon:
//
//	hol := spread.NewHolder(publicKeys)
//	applied, err := hol.Apply(update)  // from a keeper or from a peer
//	current := hol.Current()           // in force now
//	update := hol.Since(have)          // for a peer that is behind
//
// Every version carries the keepers' Ed25519 signature over its number and the
// digest of the whole tree, so that any daemon can pass it on. A Holder never
// goes back to a lower version.
package spread

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
	// MethodGet is the link method that asks a daemon or a keeper for an Update.
	MethodGet = "settings.get"
	// maxKeptChanges bounds the changes that a Holder keeps for peers.
	maxKeptChanges = 256
)

// Request asks for what is newer than a version. WaitMS is how long the answer
// may wait for something newer.
type Request struct {
	Have   uint64 `codec:"have"`
	WaitMS int64  `codec:"waitMs"`
}

// Update brings a tree to a version, by changes or whole.
type Update struct {
	Version   uint64                   `codec:"version"`
	Digest    string                   `codec:"digest"`
	Signature []byte                   `codec:"signature"`
	Changes   []settings.Change        `codec:"changes"`
	Tree      map[string]settings.Node `codec:"tree"`
}

// InForce is one version of the settings, ready for use.
type InForce struct {
	Version   uint64
	Digest    string
	Signature []byte
	Tree      *settings.Tree
	Resolver  *settings.Resolver
}

// Holder holds the settings in force in one daemon.
//
// Lock order: Holder.mu is a leaf. Current needs no lock.
type Holder struct {
	keys    func() []ed25519.PublicKey
	current atomic.Pointer[InForce]

	mu      sync.Mutex
	changes []settings.Change
	newer   chan struct{}
}

// The errors of Apply.
var (
	ErrBadSignature = errors.New("spread: no known key signed these settings")
	ErrDrift        = errors.New("spread: the tree does not have the signed digest")
	ErrGap          = errors.New("spread: the changes do not follow the version in force")
)

// NewHolder returns a Holder without settings; its Resolver gives the built-in
// defaults, for parts that run before the first settings come. The keys are asked for at each
// check, so that they can be replaced.
func NewHolder(keys func() []ed25519.PublicKey) *Holder {
	hol := &Holder{keys: keys, newer: make(chan struct{})}
	hol.current.Store(&InForce{Tree: &settings.Tree{Nodes: map[string]settings.Node{}}, Resolver: settings.NewResolver(settings.NewTree())})
	return hol
}

// Sign returns the signature of a version.
func Sign(key ed25519.PrivateKey, version uint64, digest string) []byte {
	return ed25519.Sign(key, signedText(version, digest))
}

// Apply checks an update and puts it in force. It returns false when the
// update is not newer than what is in force.
func (ho *Holder) Apply(upd Update) (bool, error) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.current.Load()
	if upd.Version <= now.Version {
		return false, nil
	}
	if !ho.isSigned(upd) {
		return false, fmt.Errorf("version %d: %w", upd.Version, ErrBadSignature)
	}
	tree, err := nextTree(now, upd)
	if err != nil {
		return false, fmt.Errorf("version %d: %w", upd.Version, err)
	}
	if tree.Digest() != upd.Digest {
		return false, fmt.Errorf("version %d: %w", upd.Version, ErrDrift)
	}
	ho.keepChanges(upd)
	ho.current.Store(&InForce{Version: upd.Version, Digest: upd.Digest, Signature: upd.Signature, Tree: tree, Resolver: settings.NewResolver(tree)})
	close(ho.newer)
	ho.newer = make(chan struct{})
	return true, nil
}

// Current returns the settings in force. Version 0 means that there are none.
func (ho *Holder) Current() *InForce {
	return ho.current.Load()
}

// Since returns what brings a peer from a version to the one in force: the
// changes when they are known, else the whole tree. The version of the result
// is not above the given one when there is nothing newer.
func (ho *Holder) Since(have uint64) Update {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.current.Load()
	upd := Update{Version: now.Version, Digest: now.Digest, Signature: now.Signature}
	if have >= now.Version {
		return upd
	}
	if len(ho.changes) > 0 && have > 0 && ho.changes[0].Version <= have+1 {
		upd.Changes = ho.changes[have+1-ho.changes[0].Version:]
		return upd
	}
	upd.Tree = now.Tree.Nodes
	return upd
}

// Wait returns when something newer than a version is in force, or the context ends.
func (ho *Holder) Wait(ctx context.Context, have uint64) {
	for {
		ho.mu.Lock()
		newer := ho.newer
		version := ho.current.Load().Version
		ho.mu.Unlock()
		if version > have {
			return
		}
		select {
		case <-newer:
		case <-ctx.Done():
			return
		}
	}
}

func (ho *Holder) isSigned(upd Update) bool {
	for _, key := range ho.keys() {
		if ed25519.Verify(key, signedText(upd.Version, upd.Digest), upd.Signature) {
			return true
		}
	}
	return false
}

// keepChanges keeps a run of changes without a gap that ends at the newest.
func (ho *Holder) keepChanges(upd Update) {
	if upd.Tree != nil {
		ho.changes = nil
		return
	}
	for _, change := range upd.Changes {
		if change.Version > ho.current.Load().Version {
			ho.changes = append(ho.changes, change)
		}
	}
	if extra := len(ho.changes) - maxKeptChanges; extra > 0 {
		ho.changes = append([]settings.Change(nil), ho.changes[extra:]...)
	}
}

func nextTree(now *InForce, upd Update) (*settings.Tree, error) {
	if upd.Tree != nil {
		return &settings.Tree{Nodes: upd.Tree}, nil
	}
	tree := now.Tree
	version := now.Version
	for _, change := range upd.Changes {
		if change.Version <= version {
			continue
		}
		if change.Version != version+1 {
			return nil, ErrGap
		}
		edits := make([]settings.Edit, 0, len(change.Edits))
		for _, edit := range change.Edits {
			edits = append(edits, edit.Edit)
		}
		tree = tree.Apply(edits)
		version = change.Version
	}
	if version != upd.Version {
		return nil, ErrGap
	}
	return tree, nil
}

func signedText(version uint64, digest string) []byte {
	return fmt.Appendf(nil, "cactusstream settings %d %s", version, digest)
}
