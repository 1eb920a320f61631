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
	"cactusstream.example/core/spread"
)

// apply puts committed entries into the settings and answers who waits.
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
			ke.answer(entry, res)
		case consensus.EntryConfig:
			ke.transport.setAddresses(ke.node.Config())
			ke.opts.Log.Write(events.KeeperMembers, memberFields(ke.node.Config()))
			ke.answer(entry, result{})
		case consensus.EntryNoop:
			ke.proposeFirstTree()
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

// answer tells who proposed an entry. When another term's entry stands at the
// place, the proposal was lost to another leader.
func (ke *Keeper) answer(entry consensus.Entry, res result) {
	wai, ok := ke.waiting[entry.Index]
	if !ok {
		return
	}
	delete(ke.waiting, entry.Index)
	if wai.term != entry.Term {
		res = result{err: ErrUnknown}
	}
	wai.done <- res
}

func (ke *Keeper) answerReads() {
	for _, read := range ke.node.TakeReads() {
		done, ok := ke.reads[read.ID]
		if !ok {
			continue
		}
		delete(ke.reads, read.ID)
		if read.OK {
			done <- nil
		} else {
			done <- consensus.ErrNotLeader
		}
	}
	if ke.node.Role() != consensus.RoleLeader {
		ke.abandonWaiting()
	}
}

// abandonWaiting answers those whose change this keeper, no longer the leader,
// can't decide.
func (ke *Keeper) abandonWaiting() {
	for index, wai := range ke.waiting {
		wai.done <- result{err: ErrUnknown}
		delete(ke.waiting, index)
	}
}

func (ke *Keeper) compact() error {
	if ke.node.LogLength() < compactAfter || ke.node.Applied() == 0 {
		return nil
	}
	ke.mu.RLock()
	data, err := codec.Marshal(ke.store.State())
	ke.mu.RUnlock()
	if err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	snap := ke.node.Compact(data)
	if ke.node.LogLength() >= compactAfter {
		return nil
	}
	ke.opts.Log.Write(events.KeeperSnapshot, logrus.Fields{"index": snap.Index, "bytes": len(data)})
	return ke.log.SaveSnapshot(snap, ke.node.HardState(), ke.node.Entries())
}

// proposeFirstTree makes the tree, with every default in its root, when the
// keepers have none.
func (ke *Keeper) proposeFirstTree() {
	if ke.node.Role() != consensus.RoleLeader || ke.store.Version() > 0 {
		return
	}
	edits := settings.Diff(&settings.Tree{}, settings.NewTree())
	data, err := codec.Marshal(settings.Proposal{ID: firstChangeID, Author: "cactuskeeper", Reason: "defaults of version " + process.Version, Time: ke.opts.Clock.Now().UTC(), Edits: edits})
	if err != nil {
		return
	}
	_, _, _ = ke.node.Propose(ke.opts.Clock.Now(), data)
}

// publish signs the newest version and hands it to the daemons.
func (ke *Keeper) publish() error {
	ke.mu.RLock()
	version, digest := ke.store.Version(), ke.store.Digest()
	upd := spread.Update{Version: version, Digest: digest, Changes: ke.store.Since(ke.holder.Current().Version)}
	if ke.holder.Current().Version == 0 {
		upd.Tree = ke.store.Tree().Nodes
	}
	ke.mu.RUnlock()
	upd.Signature = spread.Sign(ke.opts.SigningKey, version, digest)
	if _, err := ke.holder.Apply(upd); err != nil {
		return fmt.Errorf("publish version %d: %w", version, err)
	}
	ke.opts.Metrics.Gauge("keeper.settingsVersion").Update(int64(version))
	return nil
}

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

// now returns the keeper's time, for the record of a change.
func (ke *Keeper) now() time.Time {
	return ke.opts.Clock.Now().UTC()
}
