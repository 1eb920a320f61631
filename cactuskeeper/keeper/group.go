package keeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/reconfig"
)

const (
	methodJoinRequest   = "keeper.call"
	joinRequestInterval = 300 * time.Millisecond
	reconfigureInterval = 50 * time.Millisecond
)

// GroupOptions configures automatic discovery, bootstrap and repair of the
// keeper group. Without them, operators initialise, add and replace keepers.
type GroupOptions struct {
	// Size is the target number of voters. Until the first labelled change is
	// accepted, changes are rejected while the group has fewer voters.
	Size int
	// Seeds returns the configured peer addresses at which keepers may listen.
	Seeds func() []string
	// KnownKeepers returns the peer addresses of keepers in the fleet membership.
	KnownKeepers func() []string
}

// ErrBootstrapping reports that the group does not have enough voters yet to
// accept its first change.
var ErrBootstrapping = errors.New("keeper: the group is bootstrapping and has too few voters")

func newGroup(opts GroupOptions) group {
	return group{opts: opts, joinRequests: make(reconfig.JoinRequests), stopping: make(map[string]time.Time)}
}

// group is the state of automatic discovery and reconfiguration. Run owns it.
type group struct {
	opts         GroupOptions
	joinRequests reconfig.JoinRequests
	// stopping holds the keepers that shut down. A keeper is in at most one of
	// joinRequests and stopping.
	stopping map[string]time.Time
	joinRequestedAt,
	reconfiguredAt,
	leaderSince time.Time
}

// joinRequest returns the join request that this keeper sends to the others.
func (ke *Keeper) joinRequest() reconfig.JoinRequest {
	hasNoGroup := len(ke.node.Config().Members) == 0
	return reconfig.JoinRequest{
		Member:       consensus.Member{ID: ke.ident.ID, PeerAddress: ke.opts.PeerAddress, OperatorAddress: ke.opts.OperatorAddress},
		HasNoGroup:   hasNoGroup && !ke.ident.Agrees,
		Agrees:       hasNoGroup && ke.ident.Agrees,
		IsFirstStart: len(ke.ident.FirstSeeds) > 0,
	}
}

// receiveJoinRequest records the newest join request of a keeper.
func (ke *Keeper) receiveJoinRequest(_ string, req reconfig.JoinRequest) {
	select {
	case ke.tasks <- func(now time.Time) {
		ke.group.joinRequests.Add(reconfig.ReceivedJoinRequest{JoinRequest: req, ReceivedAt: now})
		delete(ke.group.stopping, req.Member.ID) // It has started again.
		if ke.diskErr != nil {
			return
		}
		ke.leaveAgreement(req)
		if req.HasNoGroup || req.Agrees {
			ke.sendGroup(req.Member)
		}
	}:
	default: // The queue is full; the keeper sends its join request again.
	}
}

// reconfigure sends join requests while this keeper is not a voter or has no
// leader. A keeper that is not the leader proposes the first members if there is no
// group, or bootstraps it alone if reconfig.ShouldBootstrap selects it; the leader
// proposes the next membership change.
func (ke *Keeper) reconfigure(now time.Time) {
	if ke.group.opts.Size == 0 || now.Sub(ke.group.reconfiguredAt) < reconfigureInterval {
		return
	}
	ke.group.reconfiguredAt = now
	isVoter := ke.node.Config().IsVoter(ke.ident.ID)
	if (!isVoter || ke.node.Leader() == "") && !ke.leaving.Load() && now.Sub(ke.group.joinRequestedAt) >= joinRequestInterval {
		ke.group.joinRequestedAt = now
		ke.sendJoinRequests()
	}
	if ke.node.Role() != consensus.RoleLeader {
		ke.group.leaderSince = now
		if ke.ident.Agrees {
			ke.propose(now)
		} else {
			ke.bootstrap(now)
		}
		return
	}
	ke.repair(now)
}

// sendJoinRequests sends a join request to every address at which a keeper may
// listen. Those that sent a message to this keeper matter when it lost its disk and
// none of the seeds knows the group any more.
func (ke *Keeper) sendJoinRequests() {
	req := ke.joinRequest()
	addresses := slices.Concat(ke.group.opts.Seeds(), ke.group.opts.KnownKeepers(), ke.transport.knownAddresses())
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address == ke.opts.PeerAddress {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ke.transport.stop, sendTimeout)
			defer cancel()
			_ = link.Notify(ctx, ke.opts.Pool, address, methodJoinRequest, req) // A lost join request is sent again.
		}()
	}
}

// bootstrap creates a group with this keeper as the only voter if
// reconfig.ShouldBootstrap selects it. As the leader it then adds the keepers that
// sent join requests.
func (ke *Keeper) bootstrap(now time.Time) {
	req := ke.joinRequest()
	if !reconfig.ShouldBootstrap(req, ke.ident.FirstSeeds, ke.group.joinRequests.List(), ke.group.opts.Size) {
		return
	}
	mem := req.Member
	mem.Voter = true
	ident := ke.ident
	ident.Initial = consensus.Config{Members: []consensus.Member{mem}}
	if err := storeIdentity(ke.opts.Disk, ident); err != nil {
		ke.fail(err)
		return
	}
	ke.ident.Initial = ident.Initial // Other goroutines read the ID.
	ke.node.Bootstrap(now, ident.Initial)
	ke.opts.Log.Write(events.KeeperMembers, memberFields(ident.Initial))
}

// repair proposes the next membership change, if one is needed: adding,
// promoting or removing a keeper.
func (ke *Keeper) repair(now time.Time) {
	step := reconfig.Next(ke.groupView(now))
	var err error
	switch step.Kind {
	case reconfig.Add:
		ke.transport.setAddresses(consensus.Config{Members: []consensus.Member{step.Member}})
		_, err = ke.node.AddLearner(now, step.Member)
	case reconfig.Promote:
		_, err = ke.node.Promote(now, step.Member.ID)
	case reconfig.Remove:
		_, err = ke.node.Remove(now, step.Member.ID)
	case reconfig.None:
		return
	}
	if err != nil {
		return // Another change is pending, or too few members respond; the next run tries again.
	}
	ke.opts.Log.Write(events.KeeperReconfigures, logrus.Fields{"member": step.Member.ID, "step": step.Kind.String(), "reason": step.Reason})
}

// groupView returns the state of the group as this keeper sees it. Only the leader
// has contacts.
func (ke *Keeper) groupView(now time.Time) reconfig.View {
	view := reconfig.View{
		Now: now, Self: ke.ident.ID, Config: ke.node.Config(), IsConfigCommitted: ke.node.IsConfigCommitted(),
		JoinRequests: ke.group.joinRequests.List(), Stopping: ke.group.stopping, LeaderSince: ke.group.leaderSince,
		Contacts: make(map[string]reconfig.Contact), Size: ke.group.opts.Size,
	}
	for _, mem := range view.Config.Members {
		lastResponseAt, match := ke.node.Progress(mem.ID)
		view.Contacts[mem.ID] = reconfig.Contact{LastResponseAt: lastResponseAt, IsCaughtUp: match >= ke.node.Commit()}
	}
	return view
}

// isBootstrapping reports whether the group still has too few voters for its
// first change. A group that has accepted a labelled change keeps accepting
// changes while a member is replaced.
func (ke *Keeper) isBootstrapping() bool {
	return ke.node.Config().Voters() < ke.group.opts.Size && ke.store.Label() == 0
}
