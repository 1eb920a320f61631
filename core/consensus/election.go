package consensus

import "time"

func (no *Node) becomeFollower(now time.Time, term uint64, leader string) {
	if term > no.hardState.Term {
		no.setHardState(term, "")
	}
	no.role = RoleFollower
	no.leader = leader
	no.votes = nil
	no.peers = nil
	no.failReads()
	no.resetElectionTimeout(now)
}

func (no *Node) becomeLeader(now time.Time) {
	no.role = RoleLeader
	no.leader = no.id
	no.quorumContactAt = now
	no.peers = make(map[string]*progress)
	no.syncPeers(now)
	no.peers[no.id].match = no.persisted
	no.appendEntry(EntryNoop, nil)
	no.replicateAll(now)
	no.nextHeartbeat = now.Add(no.opts.Heartbeat)
}

// ignoresVoteRequest reports whether a vote or pre-vote request is ignored because a
// follower received a message from the leader, or the leader responses from a quorum,
// within the election timeout. A leader ignores every pre-vote. A member that is
// partitioned from the leader or was removed therefore can't disrupt it.
func (no *Node) ignoresVoteRequest(now time.Time, msg Message) bool {
	if msg.Kind != MessagePreVote && msg.Kind != MessageVote {
		return false
	}
	if no.role == RoleLeader {
		return msg.Kind == MessagePreVote || now.Sub(no.quorumContactAt) < no.opts.ElectionTimeout
	}
	return no.leader != "" && now.Sub(no.leaderContactAt) < no.opts.ElectionTimeout
}

// isUpToDate reports whether the candidate's log is at least as up to date as the
// local one.
func (no *Node) isUpToDate(msg Message) bool {
	lastTerm := no.log.lastTerm()
	return msg.LogTerm > lastTerm || msg.LogTerm == lastTerm && msg.Index >= no.log.lastIndex()
}

func (no *Node) resetElectionTimeout(now time.Time) {
	jitter := time.Duration(no.rng.Int64N(int64(no.opts.ElectionTimeout)))
	no.electionDeadline = now.Add(no.opts.ElectionTimeout + jitter)
}

// resetPreVoteTimeout schedules the next pre-vote while no leader is known.
// Pre-votes do not disrupt a leader, so they are retried sooner than elections:
// after a power failure of all keepers, the first ones are sent before the peers
// listen.
func (no *Node) resetPreVoteTimeout(now time.Time) {
	const timeoutDivisor = 4
	jitter := time.Duration(no.rng.Int64N(int64(no.opts.ElectionTimeout / timeoutDivisor)))
	no.electionDeadline = now.Add(no.opts.ElectionTimeout/timeoutDivisor + jitter)
}

func (no *Node) startPreVote(now time.Time) {
	no.role = RolePreCandidate
	no.leader = ""
	no.votes = map[string]bool{no.id: true}
	no.resetPreVoteTimeout(now)
	if no.hasVoteQuorum() {
		no.startElection(now)
		return
	}
	no.requestVotes(MessagePreVote, no.hardState.Term+1)
}

func (no *Node) startElection(now time.Time) {
	no.role = RoleCandidate
	no.setHardState(no.hardState.Term+1, no.id)
	no.votes = map[string]bool{no.id: true}
	no.resetElectionTimeout(now)
	if no.hasVoteQuorum() {
		no.becomeLeader(now)
		return
	}
	no.requestVotes(MessageVote, no.hardState.Term)
}

func (no *Node) requestVotes(kind MessageKind, term uint64) {
	for _, mem := range no.Config().Members {
		if mem.Voter && mem.ID != no.id {
			no.send(Message{Kind: kind, To: mem.ID, Term: term, Index: no.log.lastIndex(), LogTerm: no.log.lastTerm()})
		}
	}
}

func (no *Node) hasVoteQuorum() bool {
	return no.Config().HasQuorum(func(id string) bool { return no.votes[id] })
}

func (no *Node) handlePreVote(msg Message) {
	grant := msg.Term > no.hardState.Term && no.isUpToDate(msg)
	term := msg.Term
	if !grant {
		term = no.hardState.Term
	}
	no.send(Message{Kind: MessagePreVoteResponse, To: msg.From, Term: term, Reject: !grant})
}

func (no *Node) handlePreVoteResponse(now time.Time, msg Message) {
	if no.role != RolePreCandidate || msg.Reject || msg.Term != no.hardState.Term+1 {
		return
	}
	no.votes[msg.From] = true
	if no.hasVoteQuorum() {
		no.startElection(now)
	}
}

func (no *Node) handleVote(now time.Time, msg Message) {
	grant := (no.hardState.Vote == "" || no.hardState.Vote == msg.From) && no.isUpToDate(msg)
	if grant {
		no.setHardState(no.hardState.Term, msg.From)
		no.resetElectionTimeout(now)
	}
	no.send(Message{Kind: MessageVoteResponse, To: msg.From, Reject: !grant})
}

func (no *Node) handleVoteResponse(now time.Time, msg Message) {
	if no.role != RoleCandidate || msg.Reject {
		return
	}
	no.votes[msg.From] = true
	if no.hasVoteQuorum() {
		no.becomeLeader(now)
	}
}

// tickLeader sends heartbeats, and steps down if no quorum has responded within the
// election timeout.
func (no *Node) tickLeader(now time.Time) {
	if no.hasQuorumContact(now) {
		no.quorumContactAt = now
	}
	if now.Sub(no.quorumContactAt) >= no.opts.ElectionTimeout {
		no.becomeFollower(now, no.hardState.Term, "")
		return
	}
	if !now.Before(no.nextHeartbeat) {
		no.nextHeartbeat = now.Add(no.opts.Heartbeat)
		no.replicateAll(now)
	}
}

func (no *Node) hasQuorumContact(now time.Time) bool {
	return no.Config().HasQuorum(func(id string) bool { return no.isReachable(now, id) })
}

// isReachable reports whether a member has responded within the election timeout.
func (no *Node) isReachable(now time.Time, id string) bool {
	if id == no.id {
		return true
	}
	peer := no.peers[id]
	return peer != nil && now.Sub(peer.lastResponseAt) < no.opts.ElectionTimeout
}
