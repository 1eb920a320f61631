package keeper

import (
	"context"
	"errors"
	"fmt"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/settings"
)

// Replacement is a complete new settings tree from a writer that numbers its own
// versions.
type Replacement struct {
	// ID identifies the content. A retry has the same ID.
	ID     string
	Author string
	Reason string
	// Label is the writer's version number, and Base is the label of the version
	// that this one replaces.
	Label uint64
	Base  uint64
	// Build derives the new tree from the current one.
	Build func(tree *settings.Tree) *settings.Tree
}

// Replace proposes a replacement and waits for the result. If it was accepted
// before, any keeper that has applied it returns the recorded change. It is
// rejected only on current data: either a quorum has confirmed that this keeper
// is the leader, or the proposal went through consensus.
func (ke *Keeper) Replace(ctx context.Context, rep Replacement) (settings.Change, error) {
	for range maxProposeAttempts {
		pro := settings.Proposal{ID: rep.ID, Author: rep.Author, Reason: rep.Reason, Time: ke.now(), Label: rep.Label, Base: rep.Base}
		accepted, err := ke.prepareReplacement(&pro, rep)
		if accepted != nil {
			return *accepted, nil
		}
		if err != nil {
			if barrierErr := ke.ReadBarrier(ctx); barrierErr != nil {
				return settings.Change{}, barrierErr
			}
			if accepted, err = ke.prepareReplacement(&pro, rep); accepted != nil {
				return *accepted, nil
			}
			if err != nil {
				return settings.Change{}, err
			}
		}
		change, _, err := ke.Propose(ctx, pro)
		var conflict *settings.ConflictError
		if errors.As(err, &conflict) {
			continue // Another change was committed first; the next attempt detects a stale base.
		}
		return change, err
	}
	return settings.Change{}, fmt.Errorf("replace: too many concurrent changes: %w", ErrOutcomeUnknown)
}

// LinearizableView calls read with the settings once a quorum has confirmed that
// they are not stale.
func (ke *Keeper) LinearizableView(ctx context.Context, read func(store *settings.Store)) error {
	if err := ke.ReadBarrier(ctx); err != nil {
		return err
	}
	ke.View(read)
	return nil
}

// LeaderAddress returns the operator address of the leader, or "" if it is not
// known.
func (ke *Keeper) LeaderAddress(ctx context.Context) string {
	return ke.leaderAddress(ctx)
}

// IsNotLeader reports whether a call failed because only the leader can serve it.
func IsNotLeader(err error) bool {
	return errors.Is(err, consensus.ErrNotLeader)
}

// prepareReplacement computes the edits against the current tree and checks
// them. It returns the recorded change if the replacement was accepted before.
func (ke *Keeper) prepareReplacement(pro *settings.Proposal, rep Replacement) (*settings.Change, error) {
	var accepted *settings.Change
	var err error
	ke.View(func(store *settings.Store) {
		if change, ok := store.Find(pro.ID); ok {
			accepted = &change
			return
		}
		if rep.Base != store.Label() {
			err = &settings.ConflictError{Version: store.Version(), LostTo: store.Last()}
			return
		}
		tree := store.Tree()
		pro.Expect = store.Version()
		pro.Edits = settings.Diff(tree, rep.Build(tree))
		err = store.Check(*pro)
	})
	return accepted, err
}
