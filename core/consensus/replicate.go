package consensus

import (
	"slices"
	"time"
)

// progress is the leader's view of the replication state of one member.
type progress struct {
	match          uint64
	next           uint64
	lastResponseAt time.Time
	ackedReadSeq   uint64
	// snapOffset is the number of snapshot bytes that the member has acknowledged
	// during a snapshot transfer.
	snapOffset uint64
}

// snapshotBuffer collects the chunks of a snapshot that is being received.
type snapshotBuffer struct {
	from string
	snap Snapshot
	data []byte
}

// Read starts a linearizable read: a quorum must confirm that this node is still
// the leader. TakeReads returns the result with the same ID.
func (no *Node) Read(now time.Time, id uint64) error {
	no.now = now
	if no.role != RoleLeader {
		return ErrNotLeader
	}
	if no.log.termOrZero(no.commit) != no.hardState.Term {
		return ErrNotReady
	}
	no.readSeq++
	no.pendingReads = append(no.pendingReads, pendingRead{id: id, seq: no.readSeq, index: no.commit})
	no.peers[no.id].ackedReadSeq = no.readSeq
	no.confirmReads()
	no.replicateAll(now)
	return nil
}

// TakeReads returns the reads that were confirmed or failed since the last call.
func (no *Node) TakeReads() []ReadState {
	reads := no.readStates
	no.readStates = nil
	return reads
}

// CurrentAt returns the newest time at which this node is known to have had all entries
// committed by then, which it has applied now. It returns the zero time if there is none.
func (no *Node) CurrentAt(now time.Time) time.Time {
	known := no.leaderCommit
	if no.role == RoleLeader {
		known = evidence{index: no.commit, at: no.confirmedAt(now)}
	}
	if no.applied < known.index {
		return time.Time{}
	}
	return known.at
}

// confirmedAt returns the time by which a quorum of voters has responded to the leader,
// so that no other leader can have committed an entry before. It returns the zero time
// until the leader has committed an entry of its own term.
func (no *Node) confirmedAt(now time.Time) time.Time {
	if no.log.termOrZero(no.commit) != no.hardState.Term {
		return time.Time{}
	}
	var responses []time.Time
	for _, mem := range no.Config().Members {
		switch {
		case !mem.Voter:
		case mem.ID == no.id:
			responses = append(responses, now)
		default:
			responses = append(responses, no.peers[mem.ID].lastResponseAt)
		}
	}
	if len(responses) == 0 {
		return time.Time{}
	}
	slices.SortFunc(responses, time.Time.Compare)
	return responses[(len(responses)-1)/2]
}

// Progress returns the time of the last response of a member and its match index,
// or zero values if this node is not the leader or does not know the member.
func (no *Node) Progress(id string) (lastResponseAt time.Time, match uint64) {
	if peer := no.peers[id]; peer != nil {
		return peer.lastResponseAt, peer.match
	}
	return time.Time{}, 0
}

// advanceCommit moves the commit index to the highest index that a majority of
// the voters has persisted. Only an entry of the current term is committed by
// counting replicas (section 5.4.2 of the Raft paper).
func (no *Node) advanceCommit() {
	var matches []uint64
	for _, mem := range no.Config().Members {
		if mem.Voter {
			matches = append(matches, no.peers[mem.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= no.commit || no.log.termOrZero(index) != no.hardState.Term {
		return
	}
	no.commit = index
	no.stepDownIfRemoved()
	if no.role == RoleLeader {
		no.nextHeartbeat = time.Time{} // The next tick sends the commit index to the followers.
	}
}

// stepDownIfRemoved makes the leader step down once its own removal is committed.
func (no *Node) stepDownIfRemoved() {
	newest := no.configs[len(no.configs)-1]
	if newest.index <= no.commit && !newest.config.IsVoter(no.id) {
		no.role = RoleFollower
		no.leader = ""
		no.peers = nil
		no.failReads()
	}
}

func (no *Node) confirmReads() {
	for len(no.pendingReads) > 0 {
		read := no.pendingReads[0]
		confirmed := no.Config().HasQuorum(func(id string) bool {
			peer := no.peers[id]
			return peer != nil && peer.ackedReadSeq >= read.seq
		})
		if !confirmed {
			return
		}
		no.readStates = append(no.readStates, ReadState{ID: read.id, Index: read.index, OK: true})
		no.pendingReads = no.pendingReads[1:]
	}
}

func (no *Node) failReads() {
	for _, read := range no.pendingReads {
		no.readStates = append(no.readStates, ReadState{ID: read.id})
	}
	no.pendingReads = nil
}

func (no *Node) replicateAll(now time.Time) {
	no.syncPeers(now)
	for _, mem := range no.Config().Members {
		if mem.ID != no.id {
			no.replicate(mem.ID)
		}
	}
}

func (no *Node) replicate(id string) {
	peer := no.peers[id]
	prev := peer.next - 1
	prevTerm, known := no.log.term(prev)
	if !known {
		no.sendSnapshot(id, peer)
		return
	}
	entries := no.log.entriesFrom(peer.next, no.opts.MaxAppendBytes)
	no.send(Message{Kind: MessageAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: no.commit, ConfirmedAgo: no.now.Sub(no.confirmedAt(no.now)), ReadSeq: no.readSeq})
	peer.next += uint64(len(entries))
}

func (no *Node) sendSnapshot(id string, peer *progress) {
	total := uint64(len(no.snap.Data))
	if peer.snapOffset > total {
		peer.snapOffset = 0
	}
	end := min(peer.snapOffset+uint64(no.opts.SnapshotChunk), total)
	chunk := no.snap
	chunk.Data = no.snap.Data[peer.snapOffset:end]
	no.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &chunk, Offset: peer.snapOffset, Total: total})
}

// syncPeers creates the missing progress of new members and deletes that of
// removed ones. A new member counts as unreachable until its first response.
func (no *Node) syncPeers(now time.Time) {
	config := no.Config()
	for _, mem := range config.Members {
		if no.peers[mem.ID] == nil {
			no.peers[mem.ID] = &progress{next: no.log.lastIndex() + 1, lastResponseAt: now.Add(-no.opts.ElectionTimeout)}
		}
	}
	for id := range no.peers {
		if _, ok := config.Find(id); !ok && id != no.id {
			delete(no.peers, id)
		}
	}
	if no.peers[no.id] == nil {
		no.peers[no.id] = &progress{match: no.persisted, next: no.log.lastIndex() + 1}
	}
}

func (no *Node) followLeader(now time.Time, id string) {
	no.role = RoleFollower
	no.leader = id
	no.leaderContactAt = now
	no.resetElectionTimeout(now)
}

func (no *Node) handleAppend(now time.Time, msg Message) {
	no.followLeader(now, msg.From)
	resp := Message{Kind: MessageAppendResponse, To: msg.From, ReadSeq: msg.ReadSeq}
	if msg.Index < no.log.snapIndex {
		resp.Match = no.log.snapIndex
		no.send(resp)
		return
	}
	if !no.log.matches(msg.Index, msg.LogTerm) {
		resp.Reject = true
		resp.Match = no.rejectHint(msg.Index)
		no.send(resp)
		return
	}
	no.storeEntries(msg.Entries)
	resp.Match = msg.Index + uint64(len(msg.Entries))
	no.commit = max(no.commit, min(msg.Commit, resp.Match))
	no.leaderCommit = evidence{index: msg.Commit, at: now.Add(-msg.ConfirmedAgo)}
	no.send(resp)
}

func (no *Node) storeEntries(entries []Entry) {
	added := no.log.truncateAndAppend(entries)
	if len(added) == 0 {
		return
	}
	first := added[0].Index
	no.firstUnstable = min(no.firstUnstable, first)
	no.persisted = min(no.persisted, first-1)
	no.truncateConfigs(first)
	for _, entry := range added {
		_ = no.adoptConfig(entry) // The leader has decoded the same entry before.
	}
}

// rejectHint returns the index of the entry that the leader should try next as the
// preceding one: the last before the conflicting term, so that the leader skips the
// whole term at once.
func (no *Node) rejectHint(index uint64) uint64 {
	if index > no.log.lastIndex() {
		return no.log.lastIndex()
	}
	term := no.log.termOrZero(index)
	for index > no.log.snapIndex && no.log.termOrZero(index) == term {
		index--
	}
	return index
}

func (no *Node) handleAppendResponse(now time.Time, msg Message) {
	peer := no.peers[msg.From]
	if no.role != RoleLeader || peer == nil {
		return
	}
	peer.lastResponseAt = now
	peer.ackedReadSeq = max(peer.ackedReadSeq, msg.ReadSeq)
	no.confirmReads()
	if msg.Reject {
		no.decreaseNext(msg, peer)
		return
	}
	if msg.Match > peer.match {
		peer.match = msg.Match
		peer.snapOffset = 0
		no.advanceCommit()
	}
	peer.next = max(peer.next, peer.match+1)
	if no.role == RoleLeader && peer.next <= no.log.lastIndex() {
		no.replicate(msg.From)
	}
}

// decreaseNext retries from an earlier index after a rejection. A stale rejection
// has no effect.
func (no *Node) decreaseNext(msg Message, peer *progress) {
	next := max(peer.match, min(peer.next-1, msg.Match)) + 1
	if next < peer.next {
		peer.next = next
		no.replicate(msg.From)
	}
}

func (no *Node) handleSnapshot(now time.Time, msg Message) {
	no.followLeader(now, msg.From)
	chunk := msg.Snapshot
	if chunk == nil || chunk.Index <= no.commit {
		no.send(Message{Kind: MessageAppendResponse, To: msg.From, Match: no.commit})
		return
	}
	buf := no.incomingSnap
	if buf == nil || buf.from != msg.From || buf.snap.Index != chunk.Index || buf.snap.Term != chunk.Term {
		buf = &snapshotBuffer{from: msg.From, snap: *chunk}
		no.incomingSnap = buf
	}
	if msg.Offset == uint64(len(buf.data)) {
		buf.data = append(buf.data, chunk.Data...)
	}
	if uint64(len(buf.data)) < msg.Total {
		no.send(Message{Kind: MessageSnapshotResponse, To: msg.From, Offset: uint64(len(buf.data)), Index: chunk.Index})
		return
	}
	no.installSnapshot(buf)
	no.send(Message{Kind: MessageAppendResponse, To: msg.From, Match: no.commit})
}

func (no *Node) installSnapshot(buf *snapshotBuffer) {
	snap := buf.snap
	snap.Data = buf.data
	no.incomingSnap = nil
	no.snap = snap
	no.unstableSnap = &snap
	no.log.reset(snap.Index, snap.Term)
	no.configs = []indexedConfig{{index: snap.Index, config: snap.Config}}
	no.commit = snap.Index
	no.applied = snap.Index
	no.persisted = snap.Index
	no.firstUnstable = snap.Index + 1
}

func (no *Node) handleSnapshotResponse(now time.Time, msg Message) {
	peer := no.peers[msg.From]
	if no.role != RoleLeader || peer == nil {
		return
	}
	peer.lastResponseAt = now
	if msg.Index == no.snap.Index && msg.Offset > peer.snapOffset {
		peer.snapOffset = msg.Offset
		no.replicate(msg.From)
	}
}
