package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactusstream.example/core/codec"
)

// Node is one keeper's part in the agreement. It is not safe for concurrent use.
type Node struct {
	id      string
	opts    Options
	rng     *rand.Rand
	hard    HardState
	log     entryLog
	snap    Snapshot
	configs []configAt

	role      Role
	leader    string
	votes     map[string]bool
	commit    uint64
	applied   uint64
	persisted uint64

	electionAt  time.Time
	heartbeatAt time.Time
	heardAt     time.Time
	quorumAt    time.Time
	peers       map[string]*progress

	readSeq uint64
	reads   []pendingRead
	ready   []ReadState

	hardChanged bool
	newSnap     *Snapshot
	unstable    uint64
	messages    []Message
	incoming    *snapshotBuffer
}

// ReadState says that a read was confirmed: once the index is applied, what
// is read is not stale.
type ReadState struct {
	ID    uint64
	Index uint64
	OK    bool
}

// State is what a Node starts from: what its disk holds.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

type configAt struct {
	index  uint64
	config Config
}

type pendingRead struct {
	id    uint64
	seq   uint64
	index uint64
}

// NewNode returns a follower that starts from what its disk holds.
func NewNode(id string, state State, opts Options, now time.Time) (*Node, error) {
	no := &Node{
		id:      id,
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, 1)),
		hard:    state.HardState,
		snap:    state.Snapshot,
		log:     entryLog{snapIndex: state.Snapshot.Index, snapTerm: state.Snapshot.Term},
		configs: []configAt{{index: state.Snapshot.Index, config: state.Snapshot.Config}},
		commit:  state.Snapshot.Index,
		applied: state.Snapshot.Index,
	}
	no.log.put(state.Entries)
	for _, entry := range state.Entries {
		if err := no.noteConfig(entry); err != nil {
			return nil, err
		}
	}
	no.persisted = no.log.lastIndex()
	no.unstable = no.persisted + 1
	no.becomeFollower(now, no.hard.Term, "")
	no.askSoon(now)
	return no, nil
}

// Applied returns the index of the last entry that TakeCommitted gave out.
func (no *Node) Applied() uint64 { return no.applied }

// Commit returns the index up to which entries are committed.
func (no *Node) Commit() uint64 { return no.commit }

// Config returns the newest group in the log, committed or not.
func (no *Node) Config() Config { return no.configs[len(no.configs)-1].config }

// Leader returns the id of the leader, empty when it is not known.
func (no *Node) Leader() string { return no.leader }

// Role returns what the node does at the moment.
func (no *Node) Role() Role { return no.role }

// Term returns the current term.
func (no *Node) Term() uint64 { return no.hard.Term }

// Found makes a node that knows of no group the first voter of one, and lets it
// stand for election at once. The caller has stored the group already.
func (no *Node) Found(now time.Time, group Config) {
	if len(no.Config().Members) > 0 || no.log.lastIndex() > 0 {
		return
	}
	no.configs = []configAt{{config: group}}
	no.snap.Config = group
	no.electionAt = now
}

// LogLength returns the number of entries after the snapshot.
func (no *Node) LogLength() int { return len(no.log.entries) }

// Compact replaces the entries up to the last applied one by a snapshot of the
// state machine. The caller writes the returned snapshot to disk.
func (no *Node) Compact(data []byte) Snapshot {
	index := no.applied
	no.snap = Snapshot{Index: index, Term: no.log.mustTerm(index), Config: no.configBefore(index), Data: data}
	no.log.compact(index)
	kept := []configAt{{index: index, config: no.snap.Config}}
	for _, at := range no.configs {
		if at.index > index {
			kept = append(kept, at)
		}
	}
	no.configs = kept
	return no.snap
}

// Propose appends a command to the leader's log.
func (no *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if no.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	entry := no.appendOwn(EntryCommand, data)
	no.replicateAll(now)
	return entry.Index, entry.Term, nil
}

// Ready returns what must be stored and then sent; Persisted must follow.
func (no *Node) Ready() Ready {
	rdy := Ready{Messages: no.messages, Snapshot: no.newSnap}
	if no.hardChanged {
		hard := no.hard
		rdy.HardState = &hard
	}
	if no.unstable <= no.log.lastIndex() {
		rdy.Entries = no.log.from(no.unstable, int(^uint(0)>>1))
	}
	no.messages = nil
	no.newSnap = nil
	no.hardChanged = false
	no.unstable = no.log.lastIndex() + 1
	return rdy
}

// Persisted says that all of a Ready is on disk.
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

// TakeCommitted returns entries that are committed and stored but not yet applied.
func (no *Node) TakeCommitted() []Entry {
	limit := min(no.commit, no.persisted)
	if limit <= no.applied {
		return nil
	}
	entries := no.log.from(no.applied+1, int(^uint(0)>>1))
	entries = entries[:limit-no.applied]
	no.applied = limit
	return entries
}

// Tick lets time pass; call it several times in each heartbeat.
func (no *Node) Tick(now time.Time) {
	if no.role == RoleLeader {
		no.tickLeader(now)
		return
	}
	if now.Before(no.electionAt) || !no.Config().IsVoter(no.id) {
		return
	}
	no.startPreVote(now)
}

// Step takes a message from another keeper.
func (no *Node) Step(now time.Time, msg Message) {
	if no.ignoresVote(now, msg) {
		return
	}
	if msg.Term > no.hard.Term && !msg.isAboutFutureTerm() {
		leader := ""
		if msg.Kind == MessageAppend || msg.Kind == MessageSnapshot {
			leader = msg.From
		}
		no.becomeFollower(now, msg.Term, leader)
	}
	if msg.Term < no.hard.Term {
		no.answerOldTerm(msg)
		return
	}
	switch msg.Kind {
	case MessagePreVote:
		no.handlePreVote(msg)
	case MessagePreVoteAnswer:
		no.handlePreVoteAnswer(now, msg)
	case MessageVote:
		no.handleVote(now, msg)
	case MessageVoteAnswer:
		no.handleVoteAnswer(now, msg)
	case MessageAppend:
		no.handleAppend(now, msg)
	case MessageAppendAnswer:
		no.handleAppendAnswer(now, msg)
	case MessageSnapshot:
		no.handleSnapshot(now, msg)
	case MessageSnapshotAnswer:
		no.handleSnapshotAnswer(now, msg)
	}
}

// answerOldTerm tells a sender of an older term about the newer one.
func (no *Node) answerOldTerm(msg Message) {
	switch msg.Kind {
	case MessageAppend, MessageSnapshot:
		no.send(Message{Kind: MessageAppendAnswer, To: msg.From, Reject: true, Match: no.log.lastIndex()})
	case MessagePreVote:
		no.send(Message{Kind: MessagePreVoteAnswer, To: msg.From, Reject: true})
	case MessageVote:
		no.send(Message{Kind: MessageVoteAnswer, To: msg.From, Reject: true})
	}
}

func (no *Node) appendOwn(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: no.log.lastIndex() + 1, Term: no.hard.Term, Kind: kind, Data: data}
	no.log.put([]Entry{entry})
	return entry
}

func (no *Node) configBefore(index uint64) Config {
	config := no.configs[0].config
	for _, at := range no.configs {
		if at.index <= index {
			config = at.config
		}
	}
	return config
}

// noteConfig makes the config of an entry the one in force.
func (no *Node) noteConfig(entry Entry) error {
	if entry.Kind != EntryConfig {
		return nil
	}
	config, err := codec.Unmarshal[Config](entry.Data)
	if err != nil {
		return fmt.Errorf("consensus: entry %d: %w", entry.Index, err)
	}
	no.configs = append(no.configs, configAt{index: entry.Index, config: config})
	return nil
}

// dropConfigs forgets the configs of entries that a new leader replaced.
func (no *Node) dropConfigs(from uint64) {
	for len(no.configs) > 1 && no.configs[len(no.configs)-1].index >= from {
		no.configs = no.configs[:len(no.configs)-1]
	}
}

func (no *Node) send(msg Message) {
	msg.From = no.id
	if msg.Term == 0 {
		msg.Term = no.hard.Term
	}
	no.messages = append(no.messages, msg)
}

func (no *Node) setHardState(term uint64, vote string) {
	if no.hard.Term == term && no.hard.Vote == vote {
		return
	}
	no.hard = HardState{Term: term, Vote: vote}
	no.hardChanged = true
}

// Entries returns the log after the snapshot, for a new log file.
func (no *Node) Entries() []Entry {
	return no.log.entries[:len(no.log.entries):len(no.log.entries)]
}

// HardState returns what the node must not forget besides its log.
func (no *Node) HardState() HardState { return no.hard }
