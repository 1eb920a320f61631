package keeper

import (
	"context"
	"errors"
	"time"

	genkeepers "cactusstream.example/core/gen/keepers"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/settings"
)

// MembersService implements the operator API for the members of the keeper group.
type MembersService struct {
	ke *Keeper
}

// NewMembersService returns a MembersService for a keeper.
func NewMembersService(ke *Keeper) *MembersService {
	return &MembersService{ke: ke}
}

// Change proposes one membership change and waits until it is committed.
func (me *MembersService) Change(ctx context.Context, pay *genkeepers.ChangePayload) (*genkeepers.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	done := make(chan result, 1)
	var index uint64
	err := me.ke.do(ctx, func(now time.Time) {
		var err error
		if index, err = me.propose(now, pay); err != nil {
			done <- result{err: err}
			return
		}
		me.ke.pending[index] = pendingProposal{term: me.ke.node.Term(), done: done}
	})
	if err != nil {
		return nil, &genkeepers.RefusedError{Name: "refused", Message: err.Error(), Outcome: "notRun"}
	}
	select {
	case res := <-done:
		if res.err != nil {
			return nil, me.toAPIError(ctx, res.err)
		}
		return &genkeepers.ChangeResult{Index: index}, nil
	case <-ctx.Done():
		return nil, me.toAPIError(ctx, ErrOutcomeUnknown)
	}
}

// Status returns the members of the group from the view of this keeper.
func (me *MembersService) Status(ctx context.Context) (*genkeepers.StatusResult, error) {
	res := &genkeepers.StatusResult{Keepers: []*genkeepers.Keeper{}}
	err := me.ke.do(ctx, func(now time.Time) {
		node := me.ke.node
		res.Self = me.ke.ident.ID
		res.Term = node.Term()
		res.CommitIndex = node.Commit()
		for _, mem := range node.Config().Members {
			res.Keepers = append(res.Keepers, me.keeperStatus(now, mem))
		}
	})
	if err != nil {
		return nil, &genkeepers.RefusedError{Name: "refused", Message: err.Error(), Outcome: "notRun"}
	}
	me.ke.View(func(store *settings.Store) { res.Version = store.Version() })
	return res, nil
}

func (me *MembersService) keeperStatus(now time.Time, mem consensus.Member) *genkeepers.Keeper {
	lastResponseAt, match := me.ke.node.Progress(mem.ID)
	contact := int64(-1)
	if !lastResponseAt.IsZero() {
		contact = now.Sub(lastResponseAt).Milliseconds()
	}
	if mem.ID == me.ke.ident.ID {
		contact = 0
	}
	return &genkeepers.Keeper{
		ID: mem.ID, PeerAddress: mem.PeerAddress, OperatorAddress: mem.OperatorAddress, Voter: mem.Voter,
		Leader: mem.ID == me.ke.node.Leader(), MatchIndex: match, LastContactMs: contact,
	}
}

func (me *MembersService) propose(now time.Time, pay *genkeepers.ChangePayload) (uint64, error) {
	switch pay.Operation {
	case "add":
		if pay.PeerAddress == "" || pay.OperatorAddress == "" {
			return 0, errors.New("add: peerAddress and operatorAddress are required")
		}
		mem := consensus.Member{ID: pay.ID, PeerAddress: pay.PeerAddress, OperatorAddress: pay.OperatorAddress}
		me.ke.transport.setAddresses(consensus.Config{Members: []consensus.Member{mem}})
		return me.ke.node.AddLearner(now, mem)
	case "promote":
		return me.ke.node.Promote(now, pay.ID)
	}
	return me.ke.node.Remove(now, pay.ID)
}

// toAPIError returns the error for the operator. Tools retry a NotLeaderError; a new leader is
// not ready until it has committed an entry.
func (me *MembersService) toAPIError(ctx context.Context, err error) error {
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrNotReady) {
		return &genkeepers.NotLeaderError{Message: err.Error(), Leader: me.ke.leaderAddress(ctx)}
	}
	outcome := "notRun"
	if errors.Is(err, ErrOutcomeUnknown) {
		outcome = "unknown"
	}
	return &genkeepers.RefusedError{Name: "refused", Message: err.Error(), Outcome: outcome}
}
