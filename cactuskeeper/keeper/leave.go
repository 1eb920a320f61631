package keeper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/reconfig"
)

const (
	methodMayStop = "keeper.mayStop"
	// leaveTimeout limits how long Leave waits if its context has no deadline.
	leaveTimeout = 5 * time.Second
	// leaveReserve is the part of the time for a shutdown that Leave leaves unused.
	leaveReserve  = 500 * time.Millisecond
	leaveInterval = 50 * time.Millisecond
)

// mayStopRequest is sent by a keeper that shuts down, until the leader confirms that
// its process may end.
type mayStopRequest struct {
	ID string `codec:"id"`
}

type mayStopResponse struct {
	MayStop bool `codec:"mayStop"`
}

// Leave asks the leader to remove this keeper if the group has, or is about to have,
// more voters than planned, and waits until its process may end. The keeper serves
// all the while. Without automatic reconfiguration, Leave does nothing.
func (ke *Keeper) Leave(ctx context.Context) {
	if ke.group.opts.Size == 0 || ke.leaving.Swap(true) {
		return
	}
	timeout := leaveTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline) - leaveReserve
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := ke.opts.Clock.Now()
	mayStop := ke.askMayStop(ctx)
	for !mayStop && ctx.Err() == nil {
		select {
		case <-time.After(leaveInterval):
			mayStop = ke.askMayStop(ctx)
		case <-ctx.Done():
		}
	}
	ke.opts.Log.Write(events.KeeperLeaves, logrus.Fields{"mayStop": mayStop, "waitedMillis": ke.opts.Clock.Now().Sub(start).Milliseconds()})
}

// askMayStop asks all keepers, of which only the leader answers: a keeper that has
// been removed no longer learns who leads.
func (ke *Keeper) askMayStop(ctx context.Context) bool {
	var members []consensus.Member
	var isUnconfirmed bool
	err := ke.do(ctx, func(now time.Time) {
		view := ke.groupView(now)
		members = view.Config.Members
		// Without a leader nobody can remove this keeper.
		isUnconfirmed = ke.node.Leader() == "" && reconfig.MayStop(view, ke.ident.ID)
	})
	if err != nil || isUnconfirmed {
		return true // A keeper whose disk has failed takes no part in the group.
	}
	if ke.mayStop(ctx, ke.ident.ID) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	responses := make(chan bool, len(members))
	for _, mem := range members {
		go func() {
			resp, err := link.Call[mayStopRequest, mayStopResponse](ctx, ke.opts.Pool, mem.PeerAddress, methodMayStop, mayStopRequest{ID: ke.ident.ID})
			responses <- err == nil && resp.MayStop
		}()
	}
	for range members {
		if <-responses {
			return true
		}
	}
	return false
}

func (ke *Keeper) handleMayStop(ctx context.Context, _ string, req mayStopRequest) (mayStopResponse, error) {
	return mayStopResponse{MayStop: ke.mayStop(ctx, req.ID)}, nil
}

// mayStop records that a keeper shuts down, and reports whether this keeper is the
// leader, as a quorum confirms, and the process of the other one may end.
func (ke *Keeper) mayStop(ctx context.Context, id string) bool {
	err := ke.do(ctx, func(now time.Time) {
		ke.group.stopping[id] = now
		delete(ke.group.joinRequests, id)
	})
	if err != nil || ke.ReadBarrier(ctx) != nil {
		return false
	}
	mayStop := false
	err = ke.do(ctx, func(now time.Time) {
		mayStop = ke.node.Role() == consensus.RoleLeader && reconfig.MayStop(ke.groupView(now), id)
	})
	return err == nil && mayStop
}
