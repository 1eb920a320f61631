// Package regroup decides how a group of keepers forms, grows and repairs
// itself, one change of members at a time, without an operator.
//
// A group is founded once: by the keeper that stands first among the seeds, at
// the first start of the whole system, when enough others without any state
// have called. Everybody else, whenever and with whatever disk they come, asks
// to join, follows as a learner, and votes once it has caught up. The id of a
// keeper is made with its disk, so one that lost its disk is another member, and
// the vote of the lost one never counts as its own.
//
// Usage, by the leader:
//
//	step := regroup.Next(view)
//	switch step.Kind { case regroup.Add: node.AddLearner(now, step.Member) ... }
package regroup

import (
	"slices"
	"time"

	"cactusstream.example/core/consensus"
)

const (
	// callLife is how long a call counts as a sign that its sender is there:
	// several times the pause between two calls.
	callLife = 2 * time.Second
	// goneAfter is how long a voter must be silent before a spare one takes its
	// place; a keeper that only restarts is back sooner.
	goneAfter = 3 * time.Second
)

// Call is what a keeper that is no voter yet tells the others.
type Call struct {
	Member consensus.Member `codec:"member"`
	// IsBlank says that the keeper knows of no group, and IsFirstStart that the
	// whole system starts for the first time.
	IsBlank      bool `codec:"blank"`
	IsFirstStart bool `codec:"first"`
}

// Caller is a keeper that called, and when it was last heard.
type Caller struct {
	Call
	HeardAt time.Time
}

// Contact is when a member last answered, and whether it has stored all that
// is committed.
type Contact struct {
	HeardAt    time.Time
	IsCaughtUp bool
}

// View is what the leader knows of the group.
type View struct {
	Now     time.Time
	Self    string
	Config  consensus.Config
	Callers []Caller
	// Contacts are by member id.
	Contacts map[string]Contact
	// LedSince is when this keeper became the leader: before, it heard nobody.
	LedSince time.Time
	// Size is how many voters the group needs.
	Size int
}

// Kind says what a Step does.
type Kind uint8

// The kinds of steps.
const (
	None Kind = iota
	Add
	Promote
	Remove
)

// String names the kind.
func (ki Kind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[min(ki, Remove)]
}

// Step is one change of members.
type Step struct {
	Kind   Kind
	Member consensus.Member
	Reason string
}

// Founds says whether a keeper founds the group: it is blank at the first start
// of the system, stands first among the seeds, and so many others that are blank
// too have called that the group can bear its losses.
func Founds(self Call, seeds []string, callers []Caller, size int) bool {
	if !self.IsBlank || !self.IsFirstStart || len(seeds) == 0 || slices.Min(seeds) != self.Member.PeerAddress {
		return false
	}
	others := 0
	for _, cal := range callers {
		if !cal.IsBlank || !cal.IsFirstStart {
			return false
		}
		if cal.Member.ID != self.Member.ID {
			others++
		}
	}
	return others+1 >= size
}

// Next returns the next change of members, or a Step of kind None.
func Next(view View) Step {
	for _, decide := range []func(View) Step{removeReplaced, addCaller, promoteLearner, removeGone} {
		if step := decide(view); step.Kind != None {
			return step
		}
	}
	return Step{}
}

// removeReplaced removes a member whose address a keeper with another disk has.
func removeReplaced(view View) Step {
	for _, mem := range view.Config.Members {
		if mem.ID == view.Self {
			continue
		}
		for _, cal := range view.Callers {
			isKnown := slices.ContainsFunc(view.Config.Members, func(other consensus.Member) bool { return other.ID == cal.Member.ID })
			if isKnown && view.isFresh(cal) && cal.Member.PeerAddress == mem.PeerAddress && cal.Member.ID != mem.ID {
				return Step{Kind: Remove, Member: mem, Reason: "its disk was lost"}
			}
		}
	}
	return Step{}
}

func addCaller(view View) Step {
	for _, cal := range view.Callers {
		if _, known := view.Config.Find(cal.Member.ID); !known && view.isFresh(cal) {
			return Step{Kind: Add, Member: cal.Member, Reason: "it called"}
		}
	}
	return Step{}
}

func promoteLearner(view View) Step {
	for _, mem := range view.Config.Members {
		con := view.Contacts[mem.ID]
		if !mem.Voter && con.IsCaughtUp && view.Now.Sub(con.HeardAt) < callLife {
			return Step{Kind: Promote, Member: mem, Reason: "it caught up"}
		}
	}
	return Step{}
}

// removeGone removes a silent voter when the others are enough without it, and
// a silent learner.
func removeGone(view View) Step {
	voters := view.Config.Voters()
	for _, mem := range view.Config.Members {
		heard := view.Contacts[mem.ID].HeardAt
		if heard.Before(view.LedSince) {
			heard = view.LedSince
		}
		isSilent := mem.ID != view.Self && view.Now.Sub(heard) >= goneAfter
		if isSilent && (!mem.Voter || voters > view.Size) {
			return Step{Kind: Remove, Member: mem, Reason: "it is silent, and the others are enough"}
		}
	}
	return Step{}
}

func (vi View) isFresh(cal Caller) bool {
	return vi.Now.Sub(cal.HeardAt) < callLife
}
