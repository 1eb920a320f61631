package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactusstream.example/core/codec"
)

// Node is the Raft state machine of one keeper. It is not safe for concurrent use.
type Node struct {
	id        string
	opts      Options
	rng       *rand.Rand
	hardState HardState
	log       entryLog
	snap      Snapshot
	// configs starts with the membership of the snapshot and continues with those
	// in the log, in index order. The last one is in effect.
	configs []indexedConfig

	role    Role
	leader  string
	votes   map[string]bool
	commit  uint64
	applied uint64
	// persisted is the index of the last entry known to be on disk.
	persisted uint64

	electionDeadline time.Time
	nextHeartbeat    time.Time
	// leaderContactAt is when a follower last received a message from the leader.
	leaderContactAt time.Time
	// now is the time of the current event.
	now time.Time
	// leaderCommit is what the last append of a leader said about the commit index.
	leaderCommit evidence
	// quorumContactAt is when the leader last had responses from a quorum within the
	// election timeout.
	quorumContactAt time.Time
	// peers is set only on the leader and includes the leader itself.
	peers map[string]*progress

	readSeq      uint64
	pendingReads []pendingRead
	readStates   []ReadState

	hardStateChanged bool
	// unstableSnap is an installed snapshot that Ready has not returned yet.
	unstableSnap *Snapshot
	// firstUnstable is the index of the first entry that Ready has not returned yet.
	firstUnstable uint64
	messages      []Message
	incomingSnap  *snapshotBuffer
}

// ReadState is the result of a Read. If OK is true, a read of the state machine
// is linearizable once Index has been applied. If OK is false, the node lost
// leadership before a quorum confirmed it.
type ReadState struct {
	ID    uint64
	Index uint64
	OK    bool
}

// State is the persisted state from which a Node restarts.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// indexedConfig is a Config and the index of its log entry or snapshot.
type indexedConfig struct {
	index  uint64
	config Config
}

// evidence is a commit index and the time at which it was the newest one.
type evidence struct {
	index uint64
	at    time.Time
}

// pendingRead is a Read that waits for a quorum to acknowledge seq.
type pendingRead struct {
	id    uint64
	seq   uint64
	index uint64
}

// NewNode returns a follower that resumes from the persisted state.
func NewNode(id string, state State, opts Options, now time.Time) (*Node, error) {
	no := &Node{
		id:        id,
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, 1)),
		hardState: state.HardState,
		snap:      state.Snapshot,
		log:       entryLog{snapIndex: state.Snapshot.Index, snapTerm: state.Snapshot.Term},
		configs:   []indexedConfig{{index: state.Snapshot.Index, config: state.Snapshot.Config}},
		commit:    state.Snapshot.Index,
		applied:   state.Snapshot.Index,
	}
	no.log.truncateAndAppend(state.Entries)
	for _, entry := range state.Entries {
		if err := no.adoptConfig(entry); err != nil {
			return nil, err
		}
	}
	no.persisted = no.log.lastIndex()
	no.firstUnstable = no.persisted + 1
	no.becomeFollower(now, no.hardState.Term, "")
	no.resetPreVoteTimeout(now)
	return no, nil
}

// Applied returns the index of the last entry returned by TakeCommitted.
func (no *Node) Applied() uint64 { return no.applied }

// Commit returns the commit index.
func (no *Node) Commit() uint64 { return no.commit }

// Config returns the newest membership in the log, whether committed or not.
func (no *Node) Config() Config { return no.configs[len(no.configs)-1].config }

// IsConfigCommitted reports whether the newest membership is known to be committed.
func (no *Node) IsConfigCommitted() bool { return no.configs[len(no.configs)-1].index <= no.commit }

// Leader returns the ID of the current leader, or "" if it is unknown.
func (no *Node) Leader() string { return no.leader }

// Role returns the current role.
func (no *Node) Role() Role { return no.role }

// Term returns the current term.
func (no *Node) Term() uint64 { return no.hardState.Term }

// Bootstrap sets the first membership of a group on a node that knows none, and makes the
// node's election timeout expire at once. The caller must have persisted the membership
// before. On any other node, Bootstrap does nothing.
func (no *Node) Bootstrap(now time.Time, group Config) {
	if no.Adopt(now, group) {
		no.electionDeadline = now
	}
}

// Adopt sets the first membership like Bootstrap, on a node that another one may have sent
// entries to already. The node lets the others begin the first election. Adopt reports
// whether the membership was set.
func (no *Node) Adopt(now time.Time, group Config) bool {
	if len(no.Config().Members) > 0 || no.snap.Index > 0 {
		return false
	}
	no.configs = []indexedConfig{{config: group}}
	no.snap.Config = group
	no.resetElectionTimeout(now)
	return true
}

// LogLength returns the number of entries after the snapshot.
func (no *Node) LogLength() int { return len(no.log.entries) }

// Compact discards the entries up to the last applied one and replaces them with
// a snapshot of the state machine. The caller must write the returned snapshot to
// disk.
func (no *Node) Compact(data []byte) Snapshot {
	index := no.applied
	no.snap = Snapshot{Index: index, Term: no.log.termOrZero(index), Config: no.configAt(index), Data: data}
	no.log.compact(index)
	kept := []indexedConfig{{index: index, config: no.snap.Config}}
	for _, cfg := range no.configs {
		if cfg.index > index {
			kept = append(kept, cfg)
		}
	}
	no.configs = kept
	return no.snap
}

// Propose appends a command to the leader's log and replicates it. The command is
// committed only if the entry at the returned index has the returned term.
func (no *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	no.now = now
	if no.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	entry := no.appendEntry(EntryCommand, data)
	no.replicateAll(now)
	return entry.Index, entry.Term, nil
}

// Ready returns the state to persist and the messages to send after that. The
// caller must call Persisted once the state is on disk.
func (no *Node) Ready() Ready {
	rdy := Ready{Messages: no.messages, Snapshot: no.unstableSnap}
	if no.hardStateChanged {
		hardState := no.hardState
		rdy.HardState = &hardState
	}
	if no.firstUnstable <= no.log.lastIndex() {
		rdy.Entries = no.log.entriesFrom(no.firstUnstable, int(^uint(0)>>1))
	}
	no.messages = nil
	no.unstableSnap = nil
	no.hardStateChanged = false
	no.firstUnstable = no.log.lastIndex() + 1
	return rdy
}

// Persisted reports to the node that all of rdy is on disk.
func (no *Node) Persisted(rdy Ready) {
	if rdy.Snapshot != nil {
		no.persisted = max(no.persisted, rdy.Snapshot.Index)
	}
	if len(rdy.Entries) > 0 {
		no.persisted = rdy.Entries[len(rdy.Entries)-1].Index
	}
	if no.role == RoleLeader {
		no.peers[no.id].match = no.persisted
		no.advanceCommit()
	}
}

// TakeCommitted returns the committed and persisted entries that were not
// returned before. The caller must apply them to the state machine.
func (no *Node) TakeCommitted() []Entry {
	limit := min(no.commit, no.persisted)
	if limit <= no.applied {
		return nil
	}
	entries := no.log.entriesFrom(no.applied+1, int(^uint(0)>>1))
	entries = entries[:limit-no.applied]
	no.applied = limit
	return entries
}

// Tick handles elapsed timeouts. It must be called several times per heartbeat
// interval.
func (no *Node) Tick(now time.Time) {
	no.now = now
	if no.role == RoleLeader {
		no.tickLeader(now)
		return
	}
	if now.Before(no.electionDeadline) {
		return
	}
	if !no.Config().IsVoter(no.id) {
		no.leader = "" // It can't elect another one, but must not name this one for ever.
		return
	}
	no.startPreVote(now)
}

// Step processes a message from another keeper.
func (no *Node) Step(now time.Time, msg Message) {
	no.now = now
	if no.ignoresVoteRequest(now, msg) {
		return
	}
	if msg.Term > no.hardState.Term && !msg.isAboutFutureTerm() {
		leader := ""
		if msg.Kind == MessageAppend || msg.Kind == MessageSnapshot {
			leader = msg.From
		}
		no.becomeFollower(now, msg.Term, leader)
	}
	if msg.Term < no.hardState.Term {
		no.rejectOldTerm(msg)
		return
	}
	switch msg.Kind {
	case MessagePreVote:
		no.handlePreVote(msg)
	case MessagePreVoteResponse:
		no.handlePreVoteResponse(now, msg)
	case MessageVote:
		no.handleVote(now, msg)
	case MessageVoteResponse:
		no.handleVoteResponse(now, msg)
	case MessageAppend:
		no.handleAppend(now, msg)
	case MessageAppendResponse:
		no.handleAppendResponse(now, msg)
	case MessageSnapshot:
		no.handleSnapshot(now, msg)
	case MessageSnapshotResponse:
		no.handleSnapshotResponse(now, msg)
	}
}

// rejectOldTerm rejects a request of an older term, so that its sender learns the
// current term.
func (no *Node) rejectOldTerm(msg Message) {
	switch msg.Kind {
	case MessageAppend, MessageSnapshot:
		no.send(Message{Kind: MessageAppendResponse, To: msg.From, Reject: true, Match: no.log.lastIndex()})
	case MessagePreVote:
		no.send(Message{Kind: MessagePreVoteResponse, To: msg.From, Reject: true})
	case MessageVote:
		no.send(Message{Kind: MessageVoteResponse, To: msg.From, Reject: true})
	}
}

// appendEntry appends an entry of the current term to the local log.
func (no *Node) appendEntry(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: no.log.lastIndex() + 1, Term: no.hardState.Term, Kind: kind, Data: data}
	no.log.truncateAndAppend([]Entry{entry})
	return entry
}

// configAt returns the membership in effect at a log index.
func (no *Node) configAt(index uint64) Config {
	config := no.configs[0].config
	for _, cfg := range no.configs {
		if cfg.index <= index {
			config = cfg.config
		}
	}
	return config
}

// adoptConfig puts the membership of a configuration entry into effect. As in the
// Raft paper, it takes effect when it is appended, before it is committed.
func (no *Node) adoptConfig(entry Entry) error {
	if entry.Kind != EntryConfig {
		return nil
	}
	config, err := codec.Unmarshal[Config](entry.Data)
	if err != nil {
		return fmt.Errorf("consensus: entry %d: %w", entry.Index, err)
	}
	no.configs = append(no.configs, indexedConfig{index: entry.Index, config: config})
	return nil
}

// truncateConfigs discards the memberships of entries that a new leader overwrote.
func (no *Node) truncateConfigs(from uint64) {
	for len(no.configs) > 1 && no.configs[len(no.configs)-1].index >= from {
		no.configs = no.configs[:len(no.configs)-1]
	}
}

func (no *Node) send(msg Message) {
	msg.From = no.id
	if msg.Term == 0 {
		msg.Term = no.hardState.Term
	}
	no.messages = append(no.messages, msg)
}

func (no *Node) setHardState(term uint64, vote string) {
	if no.hardState.Term == term && no.hardState.Vote == vote {
		return
	}
	no.hardState = HardState{Term: term, Vote: vote}
	no.hardStateChanged = true
}

// Entries returns the log entries after the snapshot, to be written to a new log
// file.
func (no *Node) Entries() []Entry {
	return no.log.entries[:len(no.log.entries):len(no.log.entries)]
}

// HardState returns the persistent state besides the log.
func (no *Node) HardState() HardState { return no.hardState }
