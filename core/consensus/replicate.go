package consensus

import (
	"slices"
	"time"
)

// progress is what the leader knows of one member.
type progress struct {
	match   uint64
	next    uint64
	heardAt time.Time
	read    uint64
	// offset is how much of the snapshot was acknowledged while it is sent.
	offset uint64
}

type snapshotBuffer struct {
	from string
	snap Snapshot
	data []byte
}

// Read asks for a confirmation that nothing newer was committed elsewhere.
// TakeReads returns the answer under the same id.
func (no *Node) Read(now time.Time, id uint64) error {
	if no.role != RoleLeader {
		return ErrNotLeader
	}
	if no.log.mustTerm(no.commit) != no.hard.Term {
		return ErrNotReady
	}
	no.readSeq++
	no.reads = append(no.reads, pendingRead{id: id, seq: no.readSeq, index: no.commit})
	no.peers[no.id].read = no.readSeq
	no.confirmReads()
	no.replicateAll(now)
	return nil
}

// TakeReads returns the reads that were confirmed or failed.
func (no *Node) TakeReads() []ReadState {
	reads := no.ready
	no.ready = nil
	return reads
}

// Contact returns the time of the last answer of a member, and its match index.
func (no *Node) Contact(id string) (heardAt time.Time, match uint64) {
	if peer := no.peers[id]; peer != nil {
		return peer.heardAt, peer.match
	}
	return time.Time{}, 0
}

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
	if index <= no.commit || no.log.mustTerm(index) != no.hard.Term {
		return
	}
	no.commit = index
	no.leaveWhenRemoved()
	if no.role == RoleLeader {
		no.heartbeatAt = time.Time{}
	}
}

// leaveWhenRemoved steps down once the removal of the leader is committed.
func (no *Node) leaveWhenRemoved() {
	newest := no.configs[len(no.configs)-1]
	if newest.index <= no.commit && !newest.config.IsVoter(no.id) {
		no.role = RoleFollower
		no.leader = ""
		no.peers = nil
		no.failReads()
	}
}

func (no *Node) confirmReads() {
	for len(no.reads) > 0 {
		read := no.reads[0]
		confirmed := no.Config().HasQuorum(func(id string) bool {
			peer := no.peers[id]
			return peer != nil && peer.read >= read.seq
		})
		if !confirmed {
			return
		}
		no.ready = append(no.ready, ReadState{ID: read.id, Index: read.index, OK: true})
		no.reads = no.reads[1:]
	}
}

func (no *Node) failReads() {
	for _, read := range no.reads {
		no.ready = append(no.ready, ReadState{ID: read.id})
	}
	no.reads = nil
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
	entries := no.log.from(peer.next, no.opts.MaxAppendBytes)
	no.send(Message{Kind: MessageAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: no.commit, Read: no.readSeq})
	peer.next += uint64(len(entries))
}

func (no *Node) sendSnapshot(id string, peer *progress) {
	total := uint64(len(no.snap.Data))
	if peer.offset > total {
		peer.offset = 0
	}
	end := min(peer.offset+uint64(no.opts.SnapshotChunk), total)
	piece := no.snap
	piece.Data = no.snap.Data[peer.offset:end]
	no.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &piece, Offset: peer.offset, Total: total})
}

// syncPeers keeps a progress for each member and drops those that were removed.
func (no *Node) syncPeers(now time.Time) {
	config := no.Config()
	for _, mem := range config.Members {
		if no.peers[mem.ID] == nil {
			no.peers[mem.ID] = &progress{next: no.log.lastIndex() + 1, heardAt: now.Add(-no.opts.ElectionTimeout)}
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

func (no *Node) hearLeader(now time.Time, id string) {
	no.role = RoleFollower
	no.leader = id
	no.heardAt = now
	no.resetElection(now)
}

func (no *Node) handleAppend(now time.Time, msg Message) {
	no.hearLeader(now, msg.From)
	answer := Message{Kind: MessageAppendAnswer, To: msg.From, Read: msg.Read}
	if msg.Index < no.log.snapIndex {
		answer.Match = no.log.snapIndex
		no.send(answer)
		return
	}
	if !no.log.matches(msg.Index, msg.LogTerm) {
		answer.Reject = true
		answer.Match = no.rejectHint(msg.Index)
		no.send(answer)
		return
	}
	no.storeEntries(msg.Entries)
	answer.Match = msg.Index + uint64(len(msg.Entries))
	no.commit = max(no.commit, min(msg.Commit, answer.Match))
	no.send(answer)
}

func (no *Node) storeEntries(entries []Entry) {
	added := no.log.put(entries)
	if len(added) == 0 {
		return
	}
	first := added[0].Index
	no.unstable = min(no.unstable, first)
	no.persisted = min(no.persisted, first-1)
	no.dropConfigs(first)
	for _, entry := range added {
		_ = no.noteConfig(entry) // An entry that the leader stored can be read.
	}
}

// rejectHint returns where the leader should try next: before the term that conflicts.
func (no *Node) rejectHint(index uint64) uint64 {
	if index > no.log.lastIndex() {
		return no.log.lastIndex()
	}
	term := no.log.mustTerm(index)
	for index > no.log.snapIndex && no.log.mustTerm(index) == term {
		index--
	}
	return index
}

func (no *Node) handleAppendAnswer(now time.Time, msg Message) {
	peer := no.peers[msg.From]
	if no.role != RoleLeader || peer == nil {
		return
	}
	peer.heardAt = now
	peer.read = max(peer.read, msg.Read)
	no.confirmReads()
	if msg.Reject {
		no.moveBack(msg, peer)
		return
	}
	if msg.Match > peer.match {
		peer.match = msg.Match
		peer.offset = 0
		no.advanceCommit()
	}
	peer.next = max(peer.next, peer.match+1)
	if no.role == RoleLeader && peer.next <= no.log.lastIndex() {
		no.replicate(msg.From)
	}
}

// moveBack tries an earlier place in the log; a late rejection changes nothing.
func (no *Node) moveBack(msg Message, peer *progress) {
	next := max(peer.match, min(peer.next-1, msg.Match)) + 1
	if next < peer.next {
		peer.next = next
		no.replicate(msg.From)
	}
}

func (no *Node) handleSnapshot(now time.Time, msg Message) {
	no.hearLeader(now, msg.From)
	piece := msg.Snapshot
	if piece == nil || piece.Index <= no.commit {
		no.send(Message{Kind: MessageAppendAnswer, To: msg.From, Match: no.commit})
		return
	}
	buf := no.incoming
	if buf == nil || buf.from != msg.From || buf.snap.Index != piece.Index || buf.snap.Term != piece.Term {
		buf = &snapshotBuffer{from: msg.From, snap: *piece}
		no.incoming = buf
	}
	if msg.Offset == uint64(len(buf.data)) {
		buf.data = append(buf.data, piece.Data...)
	}
	if uint64(len(buf.data)) < msg.Total {
		no.send(Message{Kind: MessageSnapshotAnswer, To: msg.From, Offset: uint64(len(buf.data)), Index: piece.Index})
		return
	}
	no.install(buf)
	no.send(Message{Kind: MessageAppendAnswer, To: msg.From, Match: no.commit})
}

func (no *Node) install(buf *snapshotBuffer) {
	snap := buf.snap
	snap.Data = buf.data
	no.incoming = nil
	no.snap = snap
	no.newSnap = &snap
	no.log.reset(snap.Index, snap.Term)
	no.configs = []configAt{{index: snap.Index, config: snap.Config}}
	no.commit = snap.Index
	no.applied = snap.Index
	no.persisted = snap.Index
	no.unstable = snap.Index + 1
}

func (no *Node) handleSnapshotAnswer(now time.Time, msg Message) {
	peer := no.peers[msg.From]
	if no.role != RoleLeader || peer == nil {
		return
	}
	peer.heardAt = now
	if msg.Index == no.snap.Index && msg.Offset > peer.offset {
		peer.offset = msg.Offset
		no.replicate(msg.From)
	}
}
