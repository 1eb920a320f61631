package keeper

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/settingsync"
)

// apply applies committed log entries and completes the proposals that wait for
// them.
func (ke *Keeper) apply(entries []consensus.Entry) error {
	changed := false
	for _, entry := range entries {
		switch entry.Kind {
		case consensus.EntryCommand:
			res, err := ke.applyCommand(entry)
			if err != nil {
				return err
			}
			changed = changed || res.err == nil && !res.duplicate
			ke.completeProposal(entry, res)
		case consensus.EntryConfig:
			ke.transport.setAddresses(ke.node.Config())
			ke.opts.Log.Write(events.KeeperMembers, memberFields(ke.node.Config()))
			ke.completeProposal(entry, result{})
		case consensus.EntryNoop:
			ke.proposeInitialTree()
		}
	}
	if changed {
		return ke.publish()
	}
	return nil
}

func (ke *Keeper) applyCommand(entry consensus.Entry) (result, error) {
	pro, err := codec.Unmarshal[settings.Proposal](entry.Data)
	if err != nil {
		return result{}, fmt.Errorf("apply entry %d: %w", entry.Index, err)
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	change, duplicate, err := ke.store.Apply(pro)
	if err == nil && !duplicate {
		ke.opts.Log.Write(events.SettingsAccepted, logrus.Fields{"version": change.Version, "id": change.ID, "author": change.Author})
	}
	return result{change: change, duplicate: duplicate, err: err}, nil
}

// completeProposal returns the result of an entry to its proposer. An entry of
// another term at the same index means that another leader has overwritten the
// proposal.
func (ke *Keeper) completeProposal(entry consensus.Entry, res result) {
	prop, ok := ke.pending[entry.Index]
	if !ok {
		return
	}
	delete(ke.pending, entry.Index)
	if prop.term != entry.Term {
		res = result{err: ErrOutcomeUnknown}
	}
	prop.done <- res
}

// completeReads answers the reads that a quorum has confirmed or rejected, and
// fails the pending proposals once this keeper is no longer the leader.
func (ke *Keeper) completeReads() {
	for _, read := range ke.node.TakeReads() {
		done, ok := ke.pendingReads[read.ID]
		if !ok {
			continue
		}
		delete(ke.pendingReads, read.ID)
		if read.OK {
			done <- nil
		} else {
			done <- consensus.ErrNotLeader
		}
	}
	if ke.node.Role() != consensus.RoleLeader {
		ke.failPendingProposals()
	}
}

// failPendingProposals fails all pending proposals with an unknown outcome: a
// keeper that lost the leadership can't tell whether they will be committed.
func (ke *Keeper) failPendingProposals() {
	for index, prop := range ke.pending {
		prop.done <- result{err: ErrOutcomeUnknown}
		delete(ke.pending, index)
	}
}

// compact replaces the log by a snapshot once it exceeds compactThreshold.
func (ke *Keeper) compact() error {
	if ke.node.LogLength() < compactThreshold || ke.node.Applied() == 0 {
		return nil
	}
	ke.mu.RLock()
	data, err := codec.Marshal(ke.store.State())
	ke.mu.RUnlock()
	if err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	snap := ke.node.Compact(data)
	if ke.node.LogLength() >= compactThreshold {
		return nil
	}
	ke.opts.Log.Write(events.KeeperSnapshot, logrus.Fields{"index": snap.Index, "bytes": len(data)})
	return ke.log.SaveSnapshot(snap, ke.node.HardState(), ke.node.Entries())
}

// proposeInitialTree proposes a tree with all defaults in its root when the
// group has no settings yet.
func (ke *Keeper) proposeInitialTree() {
	if ke.node.Role() != consensus.RoleLeader || ke.store.Version() > 0 {
		return
	}
	edits := settings.Diff(&settings.Tree{}, settings.NewTree())
	data, err := codec.Marshal(settings.Proposal{ID: initialChangeID, Author: "cactuskeeper", Reason: "defaults of version " + process.Version, Time: ke.opts.Clock.Now().UTC(), Edits: edits})
	if err != nil {
		return
	}
	_, _, _ = ke.node.Propose(ke.opts.Clock.Now(), data)
}

// publish signs the newest version and distributes it to the daemons.
func (ke *Keeper) publish() error {
	ke.mu.RLock()
	version, digest := ke.store.Version(), ke.store.Digest()
	upd := settingsync.Update{Version: version, Digest: digest, Changes: ke.store.Since(ke.replica.Current().Version)} // Without secret keys in the replica.
	if ke.replica.Current().Version == 0 {
		upd.Tree = ke.store.Tree().Nodes
	}
	ke.mu.RUnlock()
	upd.Signature = settingsync.Sign(ke.opts.SigningKey, version, digest)
	if _, err := ke.replica.Apply(upd); err != nil {
		return fmt.Errorf("publish version %d: %w", version, err)
	}
	ke.opts.Metrics.Gauge("keeper.settingsVersion").Update(int64(version))
	return nil
}

// restore replaces the settings by those of a snapshot and publishes them.
func (ke *Keeper) restore(snap consensus.Snapshot) error {
	if len(snap.Data) == 0 {
		return nil
	}
	state, err := codec.Unmarshal[settings.State](snap.Data)
	if err != nil {
		return fmt.Errorf("restore snapshot %d: %w", snap.Index, err)
	}
	ke.mu.Lock()
	ke.store = settings.RestoreStore(state)
	ke.mu.Unlock()
	return ke.publish()
}

// now returns the current time in UTC, as it is stored with a change.
func (ke *Keeper) now() time.Time {
	return ke.opts.Clock.Now().UTC()
}
