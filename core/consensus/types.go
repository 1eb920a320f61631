// Package consensus is the agreement of the keepers: a replicated log with a
// leader, after Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with pre-vote, leader step-down, confirmed reads
// and single-step changes of members. docs/design/keepers.md weighs the ways.
//
// A Node has no sockets, no disk and no clock of its own. Usage, by one
// goroutine:
//
//	node.Tick(now)                // or Step(now, message), Propose(data), ...
//	rdy := node.Ready()
//	// 1. write rdy.Snapshot, rdy.HardState and rdy.Entries to disk and sync
//	node.Persisted(rdy)
//	// 2. send rdy.Messages
//	// 3. apply node.TakeCommitted()
package consensus

import (
	"errors"
	"time"
)

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop EntryKind = iota + 1
	EntryCommand
	EntryConfig
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `codec:"i"`
	Term  uint64    `codec:"t"`
	Kind  EntryKind `codec:"k"`
	Data  []byte    `codec:"d"`
}

// Member is one keeper of a Config. A learner is a member that does not vote.
type Member struct {
	ID              string `codec:"id"`
	PeerAddress     string `codec:"peer"`
	OperatorAddress string `codec:"operator"`
	Voter           bool   `codec:"voter"`
}

// Config is the group of keepers.
type Config struct {
	Members []Member `codec:"members"`
}

// HardState is what a keeper must not forget besides its log.
type HardState struct {
	Term uint64 `codec:"term"`
	Vote string `codec:"vote"`
}

// Snapshot replaces the entries up to its index.
type Snapshot struct {
	Index  uint64 `codec:"index"`
	Term   uint64 `codec:"term"`
	Config Config `codec:"config"`
	Data   []byte `codec:"data"`
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageAppend
	MessageAppendAnswer
	MessageSnapshot
	MessageSnapshotAnswer
)

// Message goes from one keeper to another.
type Message struct {
	Kind MessageKind `codec:"k"`
	From string      `codec:"f"`
	To   string      `codec:"o"`
	Term uint64      `codec:"t"`
	// Index and LogTerm are the last entry of a candidate, or the entry before
	// Entries in an append.
	Index   uint64  `codec:"i"`
	LogTerm uint64  `codec:"l"`
	Entries []Entry `codec:"e"`
	Commit  uint64  `codec:"c"`
	// Read is the newest confirmed-read number that the leader asks for; an
	// answer repeats it.
	Read   uint64 `codec:"r"`
	Reject bool   `codec:"x"`
	// Match is the newest index stored, or with Reject the place to try next.
	Match uint64 `codec:"m"`
	// Snapshot is one piece of a snapshot, without the pieces' data in Data.
	Snapshot *Snapshot `codec:"s"`
	Offset   uint64    `codec:"a"`
	Total    uint64    `codec:"z"`
}

// Role is what a node does at the moment.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Ready is what must be stored and sent, in this order.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot
	// Entries replace the stored log from the first one's index on.
	Entries  []Entry
	Messages []Message
}

// Options are the times and limits of a Node.
type Options struct {
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// SnapshotChunk bounds the data of one piece of a snapshot.
	SnapshotChunk int
	Seed          uint64
}

// The errors of proposals.
var (
	ErrBusy         = errors.New("consensus: another change of members is under way")
	ErrKnownMember  = errors.New("consensus: the member is already in the group")
	ErrNotCaughtUp  = errors.New("consensus: the learner has not caught up")
	ErrNotLeader    = errors.New("consensus: not the leader")
	ErrNotReady     = errors.New("consensus: the leader has not committed an entry of its term")
	ErrQuorumAtRisk = errors.New("consensus: the change would leave the group without a reachable quorum")
	ErrStranger     = errors.New("consensus: no such member")
)

// DefaultOptions returns the options for a local network.
func DefaultOptions() Options {
	return Options{ElectionTimeout: 600 * time.Millisecond, Heartbeat: 100 * time.Millisecond, MaxAppendBytes: 512 << 10, SnapshotChunk: 1 << 20}
}

// String names the role.
func (ro Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[ro]
}

// isAboutFutureTerm says whether the term of a message is one that a node only
// asks for, in a pre-vote, and that nobody has begun.
func (me Message) isAboutFutureTerm() bool {
	return me.Kind == MessagePreVote || me.Kind == MessagePreVoteAnswer && !me.Reject
}

// Find returns the member of an id.
func (co Config) Find(id string) (Member, bool) {
	for _, mem := range co.Members {
		if mem.ID == id {
			return mem, true
		}
	}
	return Member{}, false
}

// IsVoter says whether an id is a voter.
func (co Config) IsVoter(id string) bool {
	mem, ok := co.Find(id)
	return ok && mem.Voter
}

// Voters returns how many voters the group has.
func (co Config) Voters() int {
	voters := 0
	for _, mem := range co.Members {
		if mem.Voter {
			voters++
		}
	}
	return voters
}

// HasQuorum says whether a majority of the voters satisfies a condition.
func (co Config) HasQuorum(holds func(id string) bool) bool {
	votes := 0
	for _, mem := range co.Members {
		if mem.Voter && holds(mem.ID) {
			votes++
		}
	}
	return votes > co.Voters()/2
}
