package keeper

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/regroup"
)

const (
	methodCall  = "keeper.call"
	callEvery   = 300 * time.Millisecond
	regroupTick = 50 * time.Millisecond
)

// GroupOptions are how a keeper finds its group by itself. Without them an
// operator initialises, adds and replaces keepers.
type GroupOptions struct {
	// Size is how many voters must know a change before it is accepted at all.
	Size int
	// IsFirstStart says that the whole system starts for the first time.
	IsFirstStart bool
	// Seeds returns peer addresses where keepers may be, and Known those that
	// the fleet names.
	Seeds func() []string
	Known func() []string
}

// ErrForming reports that the group has too few voters to accept a change.
var ErrForming = errors.New("keeper: the group has too few voters yet")

// group is a keeper's part in forming and repairing its group. Run owns it.
type group struct {
	opts    GroupOptions
	callers map[string]regroup.Caller
	calledAt,
	plannedAt,
	ledSince time.Time
}

// call returns what this keeper tells the others of itself.
func (ke *Keeper) call() regroup.Call {
	return regroup.Call{
		Member:       consensus.Member{ID: ke.ident.ID, PeerAddress: ke.opts.PeerAddress, OperatorAddress: ke.opts.OperatorAddress},
		IsBlank:      len(ke.node.Config().Members) == 0,
		IsFirstStart: ke.group.opts.IsFirstStart,
	}
}

// heardCall notes a keeper that is no voter yet.
func (ke *Keeper) heardCall(_ string, cal regroup.Call) {
	select {
	case ke.work <- func(now time.Time) { ke.group.callers[cal.Member.ID] = regroup.Caller{Call: cal, HeardAt: now} }:
	default: // The next call comes soon.
	}
}

// regroup calls while this keeper is no voter, founds the group when it is the
// one to do so, and as the leader makes the next change of members.
func (ke *Keeper) regroup(now time.Time) {
	if ke.group.opts.Size == 0 || now.Sub(ke.group.plannedAt) < regroupTick {
		return
	}
	ke.group.plannedAt = now
	isVoter := ke.node.Config().IsVoter(ke.ident.ID)
	if (!isVoter || ke.node.Leader() == "") && now.Sub(ke.group.calledAt) >= callEvery {
		ke.group.calledAt = now
		ke.callOthers()
	}
	if ke.node.Role() != consensus.RoleLeader {
		ke.group.ledSince = now
		ke.found(now)
		return
	}
	ke.repair(now)
}

// callOthers tells every address where a keeper may be that this one is here.
func (ke *Keeper) callOthers() {
	cal := ke.call()
	addresses := slices.Concat(ke.group.opts.Seeds(), ke.group.opts.Known())
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address == ke.opts.PeerAddress {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ke.transport.stop, sendTimeout)
			defer cancel()
			_ = link.Notify(ctx, ke.opts.Pool, address, methodCall, cal) // The next call comes soon.
		}()
	}
}

// found makes the group of this keeper alone; the callers then join it.
func (ke *Keeper) found(now time.Time) {
	cal := ke.call()
	if !regroup.Founds(cal, ke.group.opts.Seeds(), ke.callers(), ke.group.opts.Size) {
		return
	}
	mem := cal.Member
	mem.Voter = true
	ident := ke.ident
	ident.Initial = consensus.Config{Members: []consensus.Member{mem}}
	if err := storeIdentity(ke.opts.Disk, ident); err != nil {
		ke.fail(err)
		return
	}
	ke.ident = ident
	ke.node.Found(now, ident.Initial)
	ke.opts.Log.Write(events.KeeperMembers, memberFields(ident.Initial))
}

// repair makes the next change of members, if there is one to make.
func (ke *Keeper) repair(now time.Time) {
	view := regroup.View{
		Now: now, Self: ke.ident.ID, Config: ke.node.Config(), Callers: ke.callers(), LedSince: ke.group.ledSince,
		Contacts: make(map[string]regroup.Contact), Size: ke.group.opts.Size,
	}
	for _, mem := range view.Config.Members {
		heardAt, match := ke.node.Contact(mem.ID)
		view.Contacts[mem.ID] = regroup.Contact{HeardAt: heardAt, IsCaughtUp: match >= ke.node.Commit()}
	}
	step := regroup.Next(view)
	var err error
	switch step.Kind {
	case regroup.Add:
		ke.transport.setAddresses(consensus.Config{Members: []consensus.Member{step.Member}})
		_, err = ke.node.AddLearner(now, step.Member)
	case regroup.Promote:
		_, err = ke.node.Promote(now, step.Member.ID)
	case regroup.Remove:
		_, err = ke.node.Remove(now, step.Member.ID)
	case regroup.None:
		return
	}
	if err != nil {
		return // Another change is under way, or too few answer: tried again soon.
	}
	ke.opts.Log.Write(events.KeeperRegroups, logrus.Fields{"member": step.Member.ID, "step": step.Kind.String(), "reason": step.Reason})
}

// callers returns who called, in order of id.
func (ke *Keeper) callers() []regroup.Caller {
	list := make([]regroup.Caller, 0, len(ke.group.callers))
	for _, cal := range ke.group.callers {
		list = append(list, cal)
	}
	slices.SortFunc(list, func(one, two regroup.Caller) int { return cmp.Compare(one.Member.ID, two.Member.ID) })
	return list
}

// isForming says whether the group is too small to accept changes. A group that
// was once whole keeps accepting them while one of its members is replaced.
func (ke *Keeper) isForming() bool {
	return ke.node.Config().Voters() < ke.group.opts.Size && ke.store.Label() == 0
}
