package keeper

import (
	"context"
	"errors"
	"time"

	gensettings "cactusstream.example/core/gen/settings"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
)

const (
	// maxProposeAttempts is how many times a change is proposed while other changes
	// are committed first.
	maxProposeAttempts = 8
	// changeTimeout limits a change and a confirmed read through the operator API.
	changeTimeout = 5 * time.Second
)

// SettingsService implements the operator API for the settings.
type SettingsService struct {
	ke *Keeper
}

// NewSettingsService returns a SettingsService for a keeper.
func NewSettingsService(ke *Keeper) *SettingsService {
	return &SettingsService{ke: ke}
}

// Apply proposes a change and waits for the result. Without an expected version
// the change applies to the current version, and is checked and proposed again
// when another change is committed first.
func (se *SettingsService) Apply(ctx context.Context, pay *gensettings.ApplyPayload) (*gensettings.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	pro := settings.Proposal{ID: pay.ID, Author: pay.Author, Reason: pay.Reason, Time: se.ke.now(), Edits: fromAPIEdits(pay.Edits)}
	for range maxProposeAttempts {
		if err := se.prepare(&pro, pay.ExpectVersion); err != nil {
			return nil, se.toAPIError(ctx, err)
		}
		change, duplicate, err := se.ke.Propose(ctx, pro)
		var conflict *settings.ConflictError
		if errors.As(err, &conflict) && pay.ExpectVersion == nil {
			continue
		}
		if err != nil {
			return nil, se.toAPIError(ctx, err)
		}
		return &gensettings.ApplyResult{Change: toAPIChange(change), Duplicate: duplicate}, nil
	}
	return nil, &gensettings.RefusedError{Name: "unavailable", Message: "too many concurrent changes; try again", Outcome: string(outcome.NotRun)}
}

// Explain returns the source of each effective value at a path.
func (se *SettingsService) Explain(_ context.Context, pay *gensettings.ExplainPayload) ([]*gensettings.Explanation, error) {
	path, err := settings.ParsePath(pay.Path)
	if err != nil {
		return nil, &gensettings.RefusedError{Name: "invalid", Message: err.Error(), Outcome: string(outcome.NotRun)}
	}
	var list []*gensettings.Explanation
	se.ke.View(func(store *settings.Store) {
		for _, src := range settings.NewResolver(store.Tree()).Explain(path) {
			change, _ := store.LastChangeOf(src.Level, src.Key)
			list = append(list, &gensettings.Explanation{
				Key: src.Key, Value: src.Value, Level: src.Level, Version: change.Version,
				Author: change.Author, Reason: change.Reason, Time: change.Time.Format(time.RFC3339),
			})
		}
	})
	return list, nil
}

// Log returns the accepted changes, newest first.
func (se *SettingsService) Log(_ context.Context, pay *gensettings.LogPayload) ([]*gensettings.Change, error) {
	var list []*gensettings.Change
	se.ke.View(func(store *settings.Store) {
		history := store.History()
		for i := len(history) - 1; i >= 0 && len(list) < pay.Limit; i-- {
			if pay.Before == 0 || history[i].Version < pay.Before {
				list = append(list, toAPIChange(history[i]))
			}
		}
	})
	return list, nil
}

// Tree returns the tree at a version.
func (se *SettingsService) Tree(ctx context.Context, pay *gensettings.TreePayload) (*gensettings.TreeResult, error) {
	if pay.Fresh {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		if err := se.ke.ReadBarrier(ctx); err != nil {
			return nil, se.toAPIError(ctx, err)
		}
	}
	res := &gensettings.TreeResult{}
	var err error
	se.ke.View(func(store *settings.Store) {
		res.Version = pay.Version
		if res.Version == 0 {
			res.Version = store.Version()
		}
		var tree *settings.Tree
		if tree, err = store.At(res.Version); err == nil {
			res.Ini = string(tree.Public().INI())
			res.Digest = tree.Digest()
		}
	})
	if err != nil {
		return nil, se.toAPIError(ctx, err)
	}
	return res, nil
}

// prepare sets the expected version of a proposal and, when that is the current
// one, validates the resulting tree.
func (se *SettingsService) prepare(pro *settings.Proposal, expect *uint64) error {
	var err error
	se.ke.View(func(store *settings.Store) {
		pro.Expect = store.Version()
		if expect != nil {
			pro.Expect = *expect
		}
		if pro.Expect == store.Version() && !store.IsKnown(pro.ID) {
			err = store.Check(*pro)
		}
	})
	return err
}

func (se *SettingsService) toAPIError(ctx context.Context, err error) error {
	var conflict *settings.ConflictError
	var invalid *settings.InvalidError
	switch {
	case errors.As(err, &conflict):
		return &gensettings.ConflictError{Message: conflict.Error(), Version: conflict.Version, LostTo: toAPIChange(conflict.LostTo)}
	case errors.As(err, &invalid):
		return &gensettings.RefusedError{Name: "invalid", Message: "invalid change", Faults: invalid.Faults, Outcome: string(outcome.NotRun)}
	case errors.Is(err, settings.ErrChangeIDReused), errors.Is(err, settings.ErrUnknownVersion):
		return &gensettings.RefusedError{Name: "invalid", Message: err.Error(), Outcome: string(outcome.NotRun)}
	case errors.Is(err, consensus.ErrNotLeader):
		return &gensettings.NotLeaderError{Message: err.Error(), Leader: se.ke.leaderAddress(ctx)}
	case errors.Is(err, ErrOutcomeUnknown):
		return &gensettings.RefusedError{Name: "unavailable", Message: err.Error(), Outcome: string(outcome.Unknown)}
	}
	return &gensettings.RefusedError{Name: "unavailable", Message: err.Error(), Outcome: string(outcome.NotRun)}
}

// leaderAddress returns the operator address of the leader, or "".
func (ke *Keeper) leaderAddress(ctx context.Context) string {
	address := make(chan string, 1)
	err := ke.do(ctx, func(time.Time) {
		mem, _ := ke.node.Config().Find(ke.node.Leader())
		address <- mem.OperatorAddress
	})
	if err != nil {
		return ""
	}
	return <-address
}

func toAPIChange(change settings.Change) *gensettings.Change {
	change = change.Public()
	gen := &gensettings.Change{
		Version: change.Version, ID: change.ID, From: change.From, Author: change.Author,
		Reason: change.Reason, Time: change.Time.Format(time.RFC3339), Edits: []*gensettings.AppliedEdit{},
	}
	for _, edit := range change.Edits {
		item := &gensettings.AppliedEdit{Path: edit.Edit.Path, Key: edit.Edit.Key, Unset: edit.Edit.Unset}
		if !edit.Edit.Unset {
			item.Value = &edit.Edit.Value
		}
		if edit.HadAny {
			item.Before = &edit.Before
		}
		gen.Edits = append(gen.Edits, item)
	}
	return gen
}

func fromAPIEdits(list []*gensettings.Edit) []settings.Edit {
	edits := make([]settings.Edit, 0, len(list))
	for _, item := range list {
		edit := settings.Edit{Path: item.Path, Key: item.Key, Unset: item.Unset}
		if item.Value != nil && !item.Unset {
			edit.Value = *item.Value
		}
		edits = append(edits, edit)
	}
	return edits
}
