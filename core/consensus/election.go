package consensus

import "time"

func (no *Node) becomeFollower(now time.Time, term uint64, leader string) {
	if term > no.hard.Term {
		no.setHardState(term, "")
	}
	no.role = RoleFollower
	no.leader = leader
	no.votes = nil
	no.peers = nil
	no.failReads()
	no.resetElection(now)
}

func (no *Node) becomeLeader(now time.Time) {
	no.role = RoleLeader
	no.leader = no.id
	no.quorumAt = now
	no.peers = make(map[string]*progress)
	no.syncPeers(now)
	no.peers[no.id].match = no.persisted
	no.appendOwn(EntryNoop, nil)
	no.replicateAll(now)
	no.heartbeatAt = now.Add(no.opts.Heartbeat)
}

// ignoresVote says whether a candidate is ignored because a leader was heard
// lately. So a node that does not hear the leader can't depose it, and neither
// can one that was removed.
func (no *Node) ignoresVote(now time.Time, msg Message) bool {
	if msg.Kind != MessagePreVote && msg.Kind != MessageVote {
		return false
	}
	if no.role == RoleLeader {
		return msg.Kind == MessagePreVote || now.Sub(no.quorumAt) < no.opts.ElectionTimeout
	}
	return no.leader != "" && now.Sub(no.heardAt) < no.opts.ElectionTimeout
}

func (no *Node) isUpToDate(msg Message) bool {
	lastTerm := no.log.lastTerm()
	return msg.LogTerm > lastTerm || msg.LogTerm == lastTerm && msg.Index >= no.log.lastIndex()
}

func (no *Node) resetElection(now time.Time) {
	jitter := time.Duration(no.rng.Int64N(int64(no.opts.ElectionTimeout)))
	no.electionAt = now.Add(no.opts.ElectionTimeout + jitter)
}

// askSoon sets the time of the next pre-vote while no leader is known. Pre-votes
// disturb nobody, so they are repeated sooner than elections: after power came
// back the first ones find peers that do not listen yet.
func (no *Node) askSoon(now time.Time) {
	const share = 4
	jitter := time.Duration(no.rng.Int64N(int64(no.opts.ElectionTimeout / share)))
	no.electionAt = now.Add(no.opts.ElectionTimeout/share + jitter)
}

func (no *Node) startPreVote(now time.Time) {
	no.role = RolePreCandidate
	no.leader = ""
	no.votes = map[string]bool{no.id: true}
	no.askSoon(now)
	if no.hasVotes() {
		no.startVote(now)
		return
	}
	no.askVotes(MessagePreVote, no.hard.Term+1)
}

func (no *Node) startVote(now time.Time) {
	no.role = RoleCandidate
	no.setHardState(no.hard.Term+1, no.id)
	no.votes = map[string]bool{no.id: true}
	no.resetElection(now)
	if no.hasVotes() {
		no.becomeLeader(now)
		return
	}
	no.askVotes(MessageVote, no.hard.Term)
}

func (no *Node) askVotes(kind MessageKind, term uint64) {
	for _, mem := range no.Config().Members {
		if mem.Voter && mem.ID != no.id {
			no.send(Message{Kind: kind, To: mem.ID, Term: term, Index: no.log.lastIndex(), LogTerm: no.log.lastTerm()})
		}
	}
}

func (no *Node) hasVotes() bool {
	return no.Config().HasQuorum(func(id string) bool { return no.votes[id] })
}

func (no *Node) handlePreVote(msg Message) {
	grant := msg.Term > no.hard.Term && no.isUpToDate(msg)
	term := msg.Term
	if !grant {
		term = no.hard.Term
	}
	no.send(Message{Kind: MessagePreVoteAnswer, To: msg.From, Term: term, Reject: !grant})
}

func (no *Node) handlePreVoteAnswer(now time.Time, msg Message) {
	if no.role != RolePreCandidate || msg.Reject || msg.Term != no.hard.Term+1 {
		return
	}
	no.votes[msg.From] = true
	if no.hasVotes() {
		no.startVote(now)
	}
}

func (no *Node) handleVote(now time.Time, msg Message) {
	grant := (no.hard.Vote == "" || no.hard.Vote == msg.From) && no.isUpToDate(msg)
	if grant {
		no.setHardState(no.hard.Term, msg.From)
		no.resetElection(now)
	}
	no.send(Message{Kind: MessageVoteAnswer, To: msg.From, Reject: !grant})
}

func (no *Node) handleVoteAnswer(now time.Time, msg Message) {
	if no.role != RoleCandidate || msg.Reject {
		return
	}
	no.votes[msg.From] = true
	if no.hasVotes() {
		no.becomeLeader(now)
	}
}

// tickLeader steps down without a quorum's answers, and sends heartbeats.
func (no *Node) tickLeader(now time.Time) {
	if no.hasContact(now) {
		no.quorumAt = now
	}
	if now.Sub(no.quorumAt) >= no.opts.ElectionTimeout {
		no.becomeFollower(now, no.hard.Term, "")
		return
	}
	if !now.Before(no.heartbeatAt) {
		no.heartbeatAt = now.Add(no.opts.Heartbeat)
		no.replicateAll(now)
	}
}

func (no *Node) hasContact(now time.Time) bool {
	return no.Config().HasQuorum(func(id string) bool { return no.isInContact(now, id) })
}

func (no *Node) isInContact(now time.Time, id string) bool {
	if id == no.id {
		return true
	}
	peer := no.peers[id]
	return peer != nil && now.Sub(peer.heardAt) < no.opts.ElectionTimeout
}
