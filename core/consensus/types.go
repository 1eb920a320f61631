// Package consensus implements the Raft consensus algorithm (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) for the
// keepers, the servers that replicate the settings. It includes pre-vote, leader
// step-down without a quorum, linearizable reads and single-server membership
// changes. docs/design/keepers.md compares the alternatives.
//
// A Node does no network or disk I/O and reads no clock. It is driven by a single
// goroutine:
//
//	node.Tick(now)                // or Step(now, message), Propose(data), ...
//	rdy := node.Ready()
//	// 1. write rdy.Snapshot, rdy.HardState and rdy.Entries to disk and sync them
//	node.Persisted(rdy)
//	// 2. send rdy.Messages
//	// 3. apply node.TakeCommitted()
package consensus

import (
	"errors"
	"time"
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds. A new leader appends an EntryNoop so that it can commit the
// entries of earlier terms; EntryConfig holds an encoded Config.
const (
	EntryNoop EntryKind = iota + 1
	EntryCommand
	EntryConfig
)

// Entry is a log entry. Index and Term identify it.
type Entry struct {
	Index uint64    `codec:"i"`
	Term  uint64    `codec:"t"`
	Kind  EntryKind `codec:"k"`
	Data  []byte    `codec:"d"`
}

// Member is a keeper in a Config. A member that is not a voter is a learner: it
// receives the log but does not count towards a quorum.
type Member struct {
	ID              string `codec:"id"`
	PeerAddress     string `codec:"peer"`
	OperatorAddress string `codec:"operator"`
	Voter           bool   `codec:"voter"`
}

// Config is the membership of the keeper group.
type Config struct {
	Members []Member `codec:"members"`
}

// HardState is the persistent Raft state besides the log: the current term and
// the candidate voted for in it.
type HardState struct {
	Term uint64 `codec:"term"`
	Vote string `codec:"vote"`
}

// Snapshot is the state of the state machine at Index. It replaces all log
// entries up to and including Index.
type Snapshot struct {
	Index  uint64 `codec:"index"`
	Term   uint64 `codec:"term"`
	Config Config `codec:"config"`
	Data   []byte `codec:"data"`
}

// MessageKind is the type of a request or response between keepers.
type MessageKind uint8

// Message kinds.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageSnapshot
	MessageSnapshotResponse
)

// Message is a request or response sent from one keeper to another.
type Message struct {
	Kind MessageKind `codec:"k"`
	From string      `codec:"f"`
	To   string      `codec:"o"`
	Term uint64      `codec:"t"`
	// Index and LogTerm identify the candidate's last entry in a vote request, or
	// the entry that precedes Entries in an append. In a snapshot response, Index is
	// the index of the snapshot.
	Index   uint64  `codec:"i"`
	LogTerm uint64  `codec:"l"`
	Entries []Entry `codec:"e"`
	// Commit is the leader's commit index, and ConfirmedAgo the time since a quorum
	// confirmed that it is the newest one.
	Commit       uint64        `codec:"c"`
	ConfirmedAgo time.Duration `codec:"g"`
	// ReadSeq is the sequence number of the leader's newest read request. A response
	// returns the same number.
	ReadSeq uint64 `codec:"r"`
	Reject  bool   `codec:"x"`
	// Match is the highest index known to match the leader's log. With Reject, it is
	// the index of the entry that the leader should try next as the preceding one.
	Match uint64 `codec:"m"`
	// Snapshot carries one chunk of a snapshot: its Data holds the bytes from
	// Offset on, out of Total bytes. In a response, Offset is the number of bytes
	// received so far.
	Snapshot *Snapshot `codec:"s"`
	Offset   uint64    `codec:"a"`
	Total    uint64    `codec:"z"`
}

// Role is the Raft role of a node.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Ready holds what the caller must persist and then send. Messages may be sent
// only after the other fields are synced to disk.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot
	// Entries overwrite the stored log from the index of the first entry on.
	Entries  []Entry
	Messages []Message
}

// Options configures the timeouts and limits of a Node.
type Options struct {
	// ElectionTimeout is how long a follower waits for a message from the leader, and
	// the leader for responses from a quorum. A follower adds a random time of up to
	// the same length, so that elections rarely collide.
	ElectionTimeout time.Duration
	// Heartbeat is the time between two heartbeats of the leader.
	Heartbeat time.Duration
	// MaxAppendBytes limits the size of the entries in one message. A single
	// larger entry is still sent.
	MaxAppendBytes int
	// SnapshotChunk is the maximum size of a snapshot chunk in bytes.
	SnapshotChunk int
	// Seed initializes the generator of the random election timeouts.
	Seed uint64
}

// Errors returned by proposals, reads and membership changes.
var (
	ErrChangeInProgress = errors.New("consensus: another change of members is under way")
	ErrMemberExists     = errors.New("consensus: the member is already in the group")
	ErrNotCaughtUp      = errors.New("consensus: the learner has not caught up")
	ErrNotLeader        = errors.New("consensus: not the leader")
	ErrNotReady         = errors.New("consensus: the leader has not committed an entry of its term")
	ErrQuorumAtRisk     = errors.New("consensus: the change would leave the group without a reachable quorum")
	ErrUnknownMember    = errors.New("consensus: no such member")
)

// DefaultOptions returns options suited to a local network.
func DefaultOptions() Options {
	return Options{ElectionTimeout: 600 * time.Millisecond, Heartbeat: 100 * time.Millisecond, MaxAppendBytes: 512 << 10, SnapshotChunk: 1 << 20}
}

// String returns the name of the role.
func (ro Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[ro]
}

// isAboutFutureTerm reports whether the message carries the next term of a
// pre-vote, which no node has entered yet. Such a term must not advance the
// receiver's own.
func (me Message) isAboutFutureTerm() bool {
	return me.Kind == MessagePreVote || me.Kind == MessagePreVoteResponse && !me.Reject
}

// Find returns the member with the given ID.
func (co Config) Find(id string) (Member, bool) {
	for _, mem := range co.Members {
		if mem.ID == id {
			return mem, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voting member.
func (co Config) IsVoter(id string) bool {
	mem, ok := co.Find(id)
	return ok && mem.Voter
}

// Voters returns the number of voting members.
func (co Config) Voters() int {
	voters := 0
	for _, mem := range co.Members {
		if mem.Voter {
			voters++
		}
	}
	return voters
}

// HasQuorum reports whether satisfies returns true for a majority of the voters.
func (co Config) HasQuorum(satisfies func(id string) bool) bool {
	votes := 0
	for _, mem := range co.Members {
		if mem.Voter && satisfies(mem.ID) {
			votes++
		}
	}
	return votes > co.Voters()/2
}
