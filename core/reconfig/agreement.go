package reconfig

import (
	"cmp"
	"slices"
	"time"

	"cactusstream.example/core/consensus"
)

// Ballot numbers a proposal of the first membership. A proposer never uses a ballot
// twice: it stores its own promise for it before it sends anything.
type Ballot struct {
	Number   uint64 `codec:"number"`
	Proposer string `codec:"proposer"`
}

// Compare returns -1, 0 or 1 if the ballot is lower than, equal to or higher than another.
func (ba Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(ba.Number, other.Number), cmp.Compare(ba.Proposer, other.Proposer))
}

// Acceptor is what a seed has promised and accepted. It must be on disk before a response
// that depends on it is sent.
type Acceptor struct {
	Promised Ballot           `codec:"promised"`
	Accepted Ballot           `codec:"accepted"`
	Config   consensus.Config `codec:"config"`
}

// HasAccepted reports whether the seed has accepted a proposal.
func (ac *Acceptor) HasAccepted() bool { return ac.Accepted != Ballot{} }

// Prepare promises to accept no lower ballot. It returns false if a higher one was
// promised before.
func (ac *Acceptor) Prepare(ballot Ballot) bool {
	if ballot.Compare(ac.Promised) < 0 {
		return false
	}
	ac.Promised = ballot
	return true
}

// Accept accepts a proposal. It returns false if a higher ballot was promised before.
func (ac *Acceptor) Accept(ballot Ballot, config consensus.Config) bool {
	if ballot.Compare(ac.Promised) < 0 {
		return false
	}
	ac.Promised, ac.Accepted, ac.Config = ballot, ballot, config
	return true
}

// Electorate is what all proposals of one first start have in common. The acceptors are
// the keepers at the addresses of the seeds whose disks date from that start.
type Electorate struct {
	Seeds []string `codec:"seeds"`
	Size  int      `codec:"size"`
}

// NewElectorate returns the electorate of a first start.
func NewElectorate(seeds []string, size int) Electorate {
	sorted := slices.Clone(seeds)
	slices.Sort(sorted)
	return Electorate{Seeds: slices.Compact(sorted), Size: size}
}

// Equal reports whether two electorates are the same.
func (el Electorate) Equal(other Electorate) bool {
	return el.Size == other.Size && slices.Equal(el.Seeds, other.Seeds)
}

// IsAcceptor reports whether a keeper is one of the acceptors.
func (el Electorate) IsAcceptor(req JoinRequest) bool {
	return req.IsFirstStart && slices.Contains(el.Seeds, req.Member.PeerAddress)
}

// tolerated returns how many lost disks a group of the planned size tolerates.
func (el Electorate) tolerated() int { return (el.Size - 1) / 2 }

// hasMajorities reports whether a majority of the seeds remains after the tolerated losses.
func (el Electorate) hasMajorities() bool { return len(el.Seeds) > 2*el.tolerated() }

// isComplete reports whether every seed has responded or has lost its disk.
func (el Electorate) isComplete(responses map[string]bool, lost []string) bool {
	return !slices.ContainsFunc(el.Seeds, func(seed string) bool { return !responses[seed] && !slices.Contains(lost, seed) })
}

// Lost returns the seeds that are known to have lost the disk of the first start: another
// disk sent a join request from their address. An address has one such disk at most.
func (el Electorate) Lost(requests []ReceivedJoinRequest) []string {
	var lost []string
	for _, req := range requests {
		if !req.IsFirstStart && slices.Contains(el.Seeds, req.Member.PeerAddress) {
			lost = append(lost, req.Member.PeerAddress)
		}
	}
	slices.Sort(lost)
	return slices.Compact(lost)
}

// Propose returns the membership that a keeper proposes. It proposes one if it is an
// acceptor, the lowest of those that send join requests, and enough keepers without a
// group wait that the group has its full size at once. It doesn't if any keeper that sends
// join requests has a group, or is of a version that doesn't take part in the agreement.
func (el Electorate) Propose(now time.Time, self JoinRequest, requests []ReceivedJoinRequest) (consensus.Config, bool) {
	if !self.Agrees || !el.IsAcceptor(self) {
		return consensus.Config{}, false
	}
	newest := map[string]ReceivedJoinRequest{self.Member.PeerAddress: {JoinRequest: self, ReceivedAt: now}}
	for _, req := range requests {
		if now.Sub(req.ReceivedAt) >= livenessTimeout || req.Member.PeerAddress == self.Member.PeerAddress {
			continue
		}
		if known, ok := newest[req.Member.PeerAddress]; !ok || known.ReceivedAt.Before(req.ReceivedAt) {
			newest[req.Member.PeerAddress] = req
		}
	}
	members := make([]consensus.Member, 0, len(newest))
	for address, req := range newest {
		if !req.Agrees || el.IsAcceptor(req.JoinRequest) && address < self.Member.PeerAddress {
			return consensus.Config{}, false
		}
		mem := req.Member
		mem.Voter = true
		members = append(members, mem)
	}
	if len(members) < el.Size {
		return consensus.Config{}, false
	}
	// The seeds come first: they are the ones that remember what was chosen.
	slices.SortFunc(members, func(one, two consensus.Member) int {
		isSeed := func(mem consensus.Member) int {
			if slices.Contains(el.Seeds, mem.PeerAddress) {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(isSeed(one), isSeed(two)), cmp.Compare(one.PeerAddress, two.PeerAddress))
	})
	return consensus.Config{Members: members[:el.Size]}, true
}

// UsesOlderWay reports whether a keeper leaves the agreement, and for good, because of a
// join request: the first seed may bootstrap the group alone, which older versions do and
// which it does if a keeper of an older version waits for it. A keeper that has accepted a
// proposal must not leave.
func (el Electorate) UsesOlderWay(self, req JoinRequest) bool {
	if !self.Agrees || req.Agrees || !req.HasNoGroup || len(el.Seeds) == 0 {
		return false
	}
	isFirstSeed := func(jr JoinRequest) bool { return jr.IsFirstStart && jr.Member.PeerAddress == el.Seeds[0] }
	return isFirstSeed(req) || isFirstSeed(self)
}

// Proposal is the attempt of one proposer to get a membership chosen. It isn't safe for
// concurrent use.
//
// Two rules make a quorum. With at least 2t+1 seeds, where t is the number of lost disks
// that the group tolerates, n-t promises and t+1 acceptances do. With fewer seeds, every
// seed that isn't known to have lost its disk must respond. In both, the proposer is one
// of those that promise and accept, and the first seed accepts or has lost its disk: one
// of an older version may have bootstrapped a group alone.
// docs/incidents/2026-12-05-no-group-after-a-restart-during-the-first-start.md has the
// proof.
type Proposal struct {
	electorate Electorate
	ballot     Ballot
	proposer   string
	config     consensus.Config
	newest     Ballot
	promised   map[string]bool
	accepted   map[string]bool
}

// NewProposal returns a proposal of a membership by the seed at an address.
func NewProposal(el Electorate, ballot Ballot, proposer string, config consensus.Config) *Proposal {
	return &Proposal{electorate: el, ballot: ballot, proposer: proposer, config: config, promised: make(map[string]bool), accepted: make(map[string]bool)}
}

// Ballot returns the ballot of the proposal.
func (pr *Proposal) Ballot() Ballot { return pr.ballot }

// Config returns the membership to be accepted: once IsPrepared, the one that an acceptor
// accepted with the highest ballot, and else the proposer's own.
func (pr *Proposal) Config() consensus.Config { return pr.config }

// AddPromise records the promise of a seed and what it has accepted before.
func (pr *Proposal) AddPromise(seed string, state Acceptor) {
	pr.promised[seed] = true
	if state.HasAccepted() && state.Accepted.Compare(pr.newest) > 0 {
		pr.newest, pr.config = state.Accepted, state.Config
	}
}

// AddAcceptance records that a seed has accepted Config.
func (pr *Proposal) AddAcceptance(seed string) { pr.accepted[seed] = true }

// IsPrepared reports whether enough seeds have promised that no other membership can have
// been chosen with a lower ballot.
func (pr *Proposal) IsPrepared(lost []string) bool {
	el := pr.electorate
	if !pr.promised[pr.proposer] {
		return false
	}
	if el.hasMajorities() {
		return len(pr.promised) >= len(el.Seeds)-el.tolerated()
	}
	return el.isComplete(pr.promised, lost)
}

// IsChosen reports whether enough seeds have accepted Config that no other membership can
// be chosen any more.
func (pr *Proposal) IsChosen(lost []string) bool {
	el := pr.electorate
	if !pr.accepted[pr.proposer] || !pr.accepted[el.Seeds[0]] && !slices.Contains(lost, el.Seeds[0]) {
		return false
	}
	if el.hasMajorities() {
		return len(pr.accepted) > el.tolerated()
	}
	return el.isComplete(pr.accepted, lost)
}
