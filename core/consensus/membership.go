package consensus

import (
	"fmt"
	"slices"
	"time"

	"cactusstream.example/core/codec"
)

// AddLearner proposes to add a non-voting member, which then receives the log.
// AddLearner, Promote and Remove return the index of the configuration entry; the
// change is committed only once that entry is.
func (no *Node) AddLearner(now time.Time, mem Member) (uint64, error) {
	if _, known := no.Config().Find(mem.ID); known {
		return 0, ErrMemberExists
	}
	mem.Voter = false
	config := no.Config()
	config.Members = append(slices.Clone(config.Members), mem)
	return no.proposeConfig(now, config)
}

// Promote proposes to make a learner a voter. The learner must be reachable and
// have stored all committed entries, otherwise Promote returns ErrNotCaughtUp. For a
// member that is already a voter it returns ErrMemberExists.
func (no *Node) Promote(now time.Time, id string) (uint64, error) {
	if no.role != RoleLeader {
		return 0, ErrNotLeader
	}
	mem, known := no.Config().Find(id)
	if !known {
		return 0, ErrUnknownMember
	}
	if mem.Voter {
		return 0, ErrMemberExists
	}
	if peer := no.peers[id]; peer == nil || peer.match < no.commit || !no.isReachable(now, id) {
		return 0, ErrNotCaughtUp
	}
	config := Config{Members: slices.Clone(no.Config().Members)}
	for i := range config.Members {
		if config.Members[i].ID == id {
			config.Members[i].Voter = true
		}
	}
	return no.proposeConfig(now, config)
}

// Remove proposes to remove a member from the group.
func (no *Node) Remove(now time.Time, id string) (uint64, error) {
	if _, known := no.Config().Find(id); !known {
		return 0, ErrUnknownMember
	}
	config := Config{Members: slices.DeleteFunc(slices.Clone(no.Config().Members), func(mem Member) bool { return mem.ID == id })}
	return no.proposeConfig(now, config)
}

// proposeConfig appends a membership that differs by one member from the current
// one. The previous membership and an entry of the leader's own term must be
// committed first: otherwise two memberships whose majorities do not overlap
// could both commit entries.
func (no *Node) proposeConfig(now time.Time, config Config) (uint64, error) {
	no.now = now
	if no.role != RoleLeader {
		return 0, ErrNotLeader
	}
	if no.log.termOrZero(no.commit) != no.hardState.Term {
		return 0, ErrNotReady
	}
	if !no.IsConfigCommitted() {
		return 0, ErrChangeInProgress
	}
	if !config.HasQuorum(func(id string) bool { return no.isReachable(now, id) }) {
		return 0, ErrQuorumAtRisk
	}
	data, err := codec.Marshal(config)
	if err != nil {
		return 0, fmt.Errorf("consensus: propose members: %w", err)
	}
	entry := no.appendEntry(EntryConfig, data)
	if err := no.adoptConfig(entry); err != nil {
		return 0, err
	}
	no.replicateAll(now)
	return entry.Index, nil
}
