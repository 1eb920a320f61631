// Package reconfig plans the automatic bootstrap and reconfiguration of the keeper
// group, one membership change at a time and without an operator. Keepers are the
// servers that replicate the settings by consensus.
//
// A group is bootstrapped once, with its full size: the seeds of the first start of the
// whole system whose disks date from that start agree on the members (Electorate), so that
// the loss of as many disks as the group tolerates prevents neither the bootstrap nor the
// group, and no second group is bootstrapped whichever disks are lost. If a keeper of an
// older version takes part, the keeper whose address sorts first among the seeds bootstraps
// a group of itself (ShouldBootstrap). Every other keeper, whenever it starts and whatever
// its disk holds, requests to join, is added as a learner, and becomes a voter once it has
// caught up. The ID of a keeper is generated with its data folder, so a keeper
// that lost its disk joins as a new member and can't vote in place of the old one,
// whose votes it no longer knows.
//
// A group of more voters than its planned size needs a larger quorum, so every voter
// that isn't running takes away from what it tolerates. It therefore removes a voter
// beyond the planned size as soon as it is unresponsive or shuts down, and a keeper
// that shuts down waits for MayStop before its process ends.
//
// Usage, by the leader:
//
//	step := reconfig.Next(view)
//	switch step.Kind { case reconfig.Add: node.AddLearner(now, step.Member) ... }
package reconfig

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cactusstream.example/core/consensus"
)

const (
	// livenessTimeout is how long a join request or a response counts as a sign of
	// life. It is several times the interval at which join requests are sent.
	livenessTimeout = 2 * time.Second
	// removeLearnerAfter is how long a learner must be unresponsive before it is
	// removed. One that merely restarts is back sooner.
	removeLearnerAfter = 3 * time.Second
	// removeVoterAfter is how long a voter must be unresponsive before it is removed
	// from a group with more voters than planned. One that comes back joins again.
	removeVoterAfter = time.Second
)

// JoinRequest is sent to the others by a keeper that is not a voter or knows no
// leader.
type JoinRequest struct {
	Member consensus.Member `codec:"member"`
	// HasNoGroup reports that the keeper knows of no group and lets the first seed bootstrap
	// one alone, as versions without the agreement do. Agrees reports that it knows of no
	// group and takes part in the agreement. At most one of them is set: older versions
	// bootstrap no group while a keeper without HasNoGroup waits.
	HasNoGroup bool `codec:"blank"`
	Agrees     bool `codec:"agrees,omitempty"`
	// IsFirstStart reports that its disk dates from the first start of the whole system.
	IsFirstStart bool `codec:"first"`
}

// ReceivedJoinRequest is the newest join request of a keeper and the time of its
// arrival.
type ReceivedJoinRequest struct {
	JoinRequest
	ReceivedAt time.Time
}

// JoinRequests holds the newest join request of each keeper, by ID.
type JoinRequests map[string]ReceivedJoinRequest

// Add records a join request. Only the newest one from an address counts: a keeper that lost
// its disk has a new ID, and its last request under the old one must not seem recent beside
// it. Otherwise the leader adds and removes the two IDs in turn until the old one expires.
func (jo JoinRequests) Add(req ReceivedJoinRequest) {
	maps.DeleteFunc(jo, func(_ string, other ReceivedJoinRequest) bool {
		return other.Member.PeerAddress == req.Member.PeerAddress
	})
	jo[req.Member.ID] = req
}

// List returns the join requests, sorted by ID.
func (jo JoinRequests) List() []ReceivedJoinRequest {
	return slices.SortedFunc(maps.Values(jo), func(one, two ReceivedJoinRequest) int { return cmp.Compare(one.Member.ID, two.Member.ID) })
}

// Contact is when a member last responded to the leader, and whether it has stored
// all committed entries.
type Contact struct {
	LastResponseAt time.Time
	IsCaughtUp     bool
}

// View is the state of the group as seen by the leader.
type View struct {
	Now    time.Time
	Self   string
	Config consensus.Config
	// IsConfigCommitted reports whether Config is committed.
	IsConfigCommitted bool
	// JoinRequests has at most one request of each keeper and of each address, and none of a
	// keeper in Stopping.
	JoinRequests []ReceivedJoinRequest
	// Stopping holds the keepers that shut down, by ID, and when each last said so.
	Stopping map[string]time.Time
	// Contacts is keyed by member ID.
	Contacts map[string]Contact
	// LeaderSince is when this keeper became the leader. It received no responses
	// before.
	LeaderSince time.Time
	// Size is the target number of voters.
	Size int
}

// Kind is the type of a membership change.
type Kind uint8

// Step kinds.
const (
	None Kind = iota
	Add
	Promote
	Remove
)

// String returns the name of the kind.
func (ki Kind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[min(ki, Remove)]
}

// Step is a membership change and the reason for it.
type Step struct {
	Kind   Kind
	Member consensus.Member
	Reason string
}

// ShouldBootstrap reports whether a keeper that doesn't take part in the agreement
// bootstraps the group alone: its disk dates from
// the first start of the system and has no group, its address sorted first among the
// seeds of that start, and join requests of other keepers without state bring the group
// to its full size, so that it can tolerate the planned number of failures. It returns
// false if any request is from a keeper that knows a group.
func ShouldBootstrap(self JoinRequest, seeds []string, requests []ReceivedJoinRequest, size int) bool {
	if !self.HasNoGroup || !self.IsFirstStart || len(seeds) == 0 || slices.Min(seeds) != self.Member.PeerAddress {
		return false
	}
	others := 0
	for _, req := range requests {
		if !req.HasNoGroup {
			return false
		}
		if req.Member.ID != self.Member.ID {
			others++
		}
	}
	return others+1 >= size
}

// Next returns the next membership change, or a Step of kind None if none is due.
func Next(view View) Step {
	for _, plan := range []func(View) Step{removeReplaced, removeUnresponsive, removeStopping, addLearner, promoteLearner} {
		if step := plan(view); step.Kind != None {
			return step
		}
	}
	return Step{}
}

// MayStop reports whether the process of a keeper that shuts down may end. It may
// not while the keeper is a voter that is about to be removed: the group has more
// voters than planned, or will have once the successor of the keeper votes.
func MayStop(view View, id string) bool {
	if mem, known := view.Config.Find(id); known && !mem.Voter {
		return true
	}
	if !view.IsConfigCommitted {
		return false
	}
	if !view.Config.IsVoter(id) {
		return true
	}
	return view.Config.Voters() <= view.Size && !view.hasCandidate()
}

// hasCandidate reports whether a keeper that is running is about to become a voter.
func (vi View) hasCandidate() bool {
	for _, req := range vi.JoinRequests {
		if !vi.Config.IsVoter(req.Member.ID) && vi.isLive(req) {
			return true
		}
	}
	return slices.ContainsFunc(vi.Config.Members, func(mem consensus.Member) bool {
		return !mem.Voter && !vi.isStopping(mem.ID) && vi.Now.Sub(vi.Contacts[mem.ID].LastResponseAt) < livenessTimeout
	})
}

// isStopping reports whether a keeper said recently that it shuts down.
func (vi View) isStopping(id string) bool {
	since, ok := vi.Stopping[id]
	return ok && vi.Now.Sub(since) < livenessTimeout
}

// removeReplaced removes a member whose address is now used by another member: the
// keeper lost its disk and has joined under a new ID.
func removeReplaced(view View) Step {
	for _, mem := range view.Config.Members {
		if mem.ID == view.Self {
			continue
		}
		for _, req := range view.JoinRequests {
			isMember := slices.ContainsFunc(view.Config.Members, func(other consensus.Member) bool { return other.ID == req.Member.ID })
			if isMember && view.isLive(req) && req.Member.PeerAddress == mem.PeerAddress && req.Member.ID != mem.ID {
				return Step{Kind: Remove, Member: mem, Reason: "a member with a new disk has its address"}
			}
		}
	}
	return Step{}
}

// addLearner adds a keeper that requested to join as a learner.
func addLearner(view View) Step {
	for _, req := range view.JoinRequests {
		if _, known := view.Config.Find(req.Member.ID); !known && view.isLive(req) {
			return Step{Kind: Add, Member: req.Member, Reason: "it requested to join"}
		}
	}
	return Step{}
}

// removeStopping removes a learner that shuts down, and a voter that does if at
// least Size voters remain.
func removeStopping(view View) Step {
	voters := view.Config.Voters()
	for _, mem := range view.Config.Members {
		if view.isStopping(mem.ID) && (!mem.Voter || voters > view.Size) {
			return Step{Kind: Remove, Member: mem, Reason: "it shuts down"}
		}
	}
	return Step{}
}

// promoteLearner makes a learner that has caught up a voter.
func promoteLearner(view View) Step {
	for _, mem := range view.Config.Members {
		contact := view.Contacts[mem.ID]
		if !mem.Voter && !view.isStopping(mem.ID) && contact.IsCaughtUp && view.Now.Sub(contact.LastResponseAt) < livenessTimeout {
			return Step{Kind: Promote, Member: mem, Reason: "it has caught up"}
		}
	}
	return Step{}
}

// removeUnresponsive removes an unresponsive learner, and an unresponsive voter if
// at least Size voters remain. The time before this keeper became the leader does
// not count.
func removeUnresponsive(view View) Step {
	voters := view.Config.Voters()
	for _, mem := range view.Config.Members {
		lastSeen := view.Contacts[mem.ID].LastResponseAt
		if lastSeen.Before(view.LeaderSince) {
			lastSeen = view.LeaderSince
		}
		removeAfter := removeLearnerAfter
		if mem.Voter {
			removeAfter = removeVoterAfter
		}
		isUnresponsive := mem.ID != view.Self && view.Now.Sub(lastSeen) >= removeAfter
		if isUnresponsive && (!mem.Voter || voters > view.Size) {
			return Step{Kind: Remove, Member: mem, Reason: "it is unresponsive and enough voters remain"}
		}
	}
	return Step{}
}

// isLive reports whether the newest join request of a keeper is recent.
func (vi View) isLive(req ReceivedJoinRequest) bool {
	return vi.Now.Sub(req.ReceivedAt) < livenessTimeout
}
