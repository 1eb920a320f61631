package keeper

import (
	"context"
	"errors"
	"fmt"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/settings"
)

// Replacement is a whole new state of the settings, from a writer that numbers
// its changes itself.
type Replacement struct {
	// ID stands for the whole content: a resend has the same one.
	ID     string
	Author string
	Reason string
	// Label is the writer's number, and Base the one that it builds on.
	Label uint64
	Base  uint64
	// Build returns the tree that the writer wants, from the one in force.
	Build func(tree *settings.Tree) *settings.Tree
}

// Replace makes a replacement and waits for the answer. One that was accepted
// before is confirmed again, by any keeper that knows of it. A refusal is proved:
// a quorum has confirmed that this keeper leads, or the change was decided.
func (ke *Keeper) Replace(ctx context.Context, rep Replacement) (settings.Change, error) {
	for range maxRaces {
		pro := settings.Proposal{ID: rep.ID, Author: rep.Author, Reason: rep.Reason, Time: ke.now(), Label: rep.Label, Base: rep.Base}
		known, err := ke.prepareReplacement(&pro, rep)
		if known != nil {
			return *known, nil
		}
		if err != nil {
			if freshErr := ke.ReadFresh(ctx); freshErr != nil {
				return settings.Change{}, freshErr
			}
			if known, err = ke.prepareReplacement(&pro, rep); known != nil {
				return *known, nil
			}
			if err != nil {
				return settings.Change{}, err
			}
		}
		change, _, err := ke.Propose(ctx, pro)
		var conflict *settings.ConflictError
		if errors.As(err, &conflict) {
			continue // Another change came first; a stale base shows in the next round.
		}
		return change, err
	}
	return settings.Change{}, fmt.Errorf("replace: lost too many races: %w", ErrUnknown)
}

// Newest reads the settings once a quorum confirmed that they are not stale.
func (ke *Keeper) Newest(ctx context.Context, read func(store *settings.Store)) error {
	if err := ke.ReadFresh(ctx); err != nil {
		return err
	}
	ke.View(read)
	return nil
}

// LeaderAddress returns the operators' address of the leader, or "".
func (ke *Keeper) LeaderAddress(ctx context.Context) string {
	return ke.leaderAddress(ctx)
}

// IsNotLeader says whether a call must be made at the leader instead.
func IsNotLeader(err error) bool {
	return errors.Is(err, consensus.ErrNotLeader)
}

// prepareReplacement works out the edits against the tree in force. It returns
// the change when it was accepted before.
func (ke *Keeper) prepareReplacement(pro *settings.Proposal, rep Replacement) (*settings.Change, error) {
	var known *settings.Change
	var err error
	ke.View(func(store *settings.Store) {
		if change, ok := store.Find(pro.ID); ok {
			known = &change
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
	return known, err
}
