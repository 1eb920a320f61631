package reconfig_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/reconfig"
)

const (
	modelTick = 50 * time.Millisecond
	// modelCatchUp is how long a machine counts as lost after its start, and one that is
	// gone for good after the start of its successor.
	modelCatchUp = 4 * time.Second
	// modelElection is how long the group has no leader after the last one ended.
	modelElection = 1200 * time.Millisecond
	// modelStopTimeout is how long a keeper waits for the permission to stop: the grace
	// period of the platform without the time that the rest of a shutdown takes.
	modelStopTimeout = 5 * time.Second
)

// modelKeeper is a keeper whose process starts, stops and crashes.
type modelKeeper struct {
	id, address string
	running     bool
	startedAt   time.Time
	// catchUp is how long after its start a new keeper has all committed entries.
	catchUp time.Duration
	// stopAskedAt is when the keeper was told to stop, or zero.
	stopAskedAt time.Time
	// comesBack reports that a keeper that doesn't run will be started again, or
	// replaced.
	comesBack  bool
	backAt     time.Time
	diskIsLost bool
}

// modelGroup is a keeper group in virtual time with a perfect consensus: a membership
// change takes effect in the next tick if a quorum of the new voters runs.
type modelGroup struct {
	rng         *rand.Rand
	now         time.Time
	size        int
	keepers     []*modelKeeper
	config      consensus.Config
	leader      string
	leaderSince time.Time
	leaderLost  time.Time
	lastSeen    map[string]time.Time
	requests    map[string]reconfig.ReceivedJoinRequest
	stopping    map[string]time.Time
	nextID      int
	// intolerantAt is the first time at which no machine counted as lost and the group
	// tolerated too few losses all the same.
	intolerantAt time.Time
}

func newModelGroup(seed uint64, size int) *modelGroup {
	mg := &modelGroup{
		rng: rand.New(rand.NewPCG(seed, 11)), now: now, size: size, lastSeen: make(map[string]time.Time),
		requests: make(map[string]reconfig.ReceivedJoinRequest), stopping: make(map[string]time.Time),
	}
	for range size {
		ke := mg.start(fmt.Sprint("address-", mg.nextID))
		mg.config.Members = append(mg.config.Members, member(ke.id, ke.address, true))
	}
	mg.leader = mg.keepers[0].id
	return mg
}

func (mg *modelGroup) start(address string) *modelKeeper {
	ke := &modelKeeper{id: fmt.Sprint("k", mg.nextID), address: address, running: true, startedAt: mg.now, catchUp: time.Duration(mg.rng.IntN(3500)) * time.Millisecond}
	mg.nextID++
	mg.keepers = append(mg.keepers, ke)
	return ke
}

func (mg *modelGroup) find(id string) *modelKeeper {
	for _, ke := range mg.keepers {
		if ke.id == id {
			return ke
		}
	}
	return nil
}

// tolerated returns the number of keepers that the planned size tolerates to lose.
func (mg *modelGroup) tolerated() int { return (mg.size - 1) / 2 }

func (mg *modelGroup) hasQuorum(config consensus.Config) bool {
	return config.HasQuorum(func(id string) bool { return mg.find(id).running })
}

func (mg *modelGroup) view() reconfig.View {
	view := reconfig.View{
		Now: mg.now, Self: mg.leader, Config: mg.config, IsConfigCommitted: true, Stopping: mg.stopping,
		Contacts: make(map[string]reconfig.Contact), LeaderSince: mg.leaderSince, Size: mg.size,
	}
	for _, id := range slices.Sorted(mapKeys(mg.requests)) {
		view.JoinRequests = append(view.JoinRequests, mg.requests[id])
	}
	for _, mem := range mg.config.Members {
		ke := mg.find(mem.ID)
		view.Contacts[mem.ID] = reconfig.Contact{LastResponseAt: mg.lastSeen[mem.ID], IsCaughtUp: mg.now.Sub(ke.startedAt) > ke.catchUp}
	}
	return view
}

func mapKeys[Value any](from map[string]Value) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for key := range from {
			if !yield(key) {
				return
			}
		}
	}
}

// step advances the time by one tick.
func (mg *modelGroup) step() {
	mg.now = mg.now.Add(modelTick)
	for _, ke := range mg.keepers {
		if !ke.running && ke.comesBack && !mg.now.Before(ke.backAt) {
			ke.comesBack = false
			if ke.diskIsLost {
				mg.start(ke.address)
			} else {
				ke.running, ke.startedAt = true, mg.now
			}
		}
	}
	mg.elect()
	for _, ke := range mg.keepers {
		if !ke.running {
			continue
		}
		mg.lastSeen[ke.id] = mg.now
		if ke.stopAskedAt.IsZero() && (!mg.config.IsVoter(ke.id) || mg.leader == "") {
			mg.requests[ke.id] = reconfig.ReceivedJoinRequest{JoinRequest: reconfig.JoinRequest{Member: member(ke.id, ke.address, false)}, ReceivedAt: mg.now}
			delete(mg.stopping, ke.id)
		}
		if !ke.stopAskedAt.IsZero() {
			mg.stopIfAllowed(ke)
		}
	}
	if mg.leader != "" && mg.find(mg.leader).running {
		mg.apply(reconfig.Next(mg.view()))
	}
	if mg.intolerantAt.IsZero() && mg.isWhole() && mg.live()-mg.tolerated() <= mg.config.Voters()/2 {
		mg.intolerantAt = mg.now
	}
}

// live returns the number of voters that run.
func (mg *modelGroup) live() int {
	live := 0
	for _, mem := range mg.config.Members {
		if mem.Voter && mg.find(mem.ID).running {
			live++
		}
	}
	return live
}

// elect replaces a leader that no longer runs or votes.
func (mg *modelGroup) elect() {
	if mg.leader != "" && mg.find(mg.leader).running && mg.config.IsVoter(mg.leader) {
		return
	}
	if mg.leader != "" {
		mg.leader, mg.leaderLost = "", mg.now
		clear(mg.stopping) // Only that leader knew.
	}
	if mg.now.Sub(mg.leaderLost) < modelElection || !mg.hasQuorum(mg.config) {
		return
	}
	for _, mem := range mg.config.Members {
		if mem.Voter && mg.find(mem.ID).running {
			mg.leader, mg.leaderSince = mem.ID, mg.now
			return
		}
	}
}

// stopIfAllowed ends a keeper that was told to stop if the leader permits it, or if it
// has waited for too long.
func (mg *modelGroup) stopIfAllowed(ke *modelKeeper) {
	mayStop := mg.now.Sub(ke.stopAskedAt) >= modelStopTimeout
	if mg.leader != "" {
		mg.stopping[ke.id] = mg.now
		delete(mg.requests, ke.id)
		mayStop = mayStop || reconfig.MayStop(mg.view(), ke.id)
	}
	if mayStop {
		ke.running, ke.stopAskedAt = false, time.Time{}
		ke.backAt = mg.now.Add(time.Second)
	}
}

func (mg *modelGroup) apply(step reconfig.Step) {
	next := consensus.Config{Members: slices.Clone(mg.config.Members)}
	switch step.Kind {
	case reconfig.Add:
		next.Members = append(next.Members, step.Member)
	case reconfig.Promote:
		for i := range next.Members {
			next.Members[i].Voter = next.Members[i].Voter || next.Members[i].ID == step.Member.ID
		}
	case reconfig.Remove:
		next.Members = slices.DeleteFunc(next.Members, func(mem consensus.Member) bool { return mem.ID == step.Member.ID })
	case reconfig.None:
		return
	}
	if mg.hasQuorum(next) {
		mg.config = next
	}
}

// isWhole reports whether no machine counts as lost any more.
func (mg *modelGroup) isWhole() bool {
	for _, ke := range mg.keepers {
		if ke.comesBack || ke.running && (mg.now.Sub(ke.startedAt) < modelCatchUp || !ke.stopAskedAt.IsZero()) {
			return false
		}
	}
	return true
}

// lost returns the number of keepers that run but count as lost, or come back later.
func (mg *modelGroup) lost() int {
	lost := 0
	for _, ke := range mg.keepers {
		if ke.comesBack || ke.running && mg.now.Sub(ke.startedAt) < modelCatchUp {
			lost++
		}
	}
	return lost
}

// disturb ends one random keeper in a random way: a restart, the loss of a disk, or a
// replacement at another address whose new keeper starts first or afterwards.
func (mg *modelGroup) disturb() string {
	var candidates []*modelKeeper
	for _, ke := range mg.keepers {
		if ke.running && ke.stopAskedAt.IsZero() && mg.config.IsVoter(ke.id) {
			candidates = append(candidates, ke)
		}
	}
	ke := candidates[mg.rng.IntN(len(candidates))]
	if leader := mg.find(mg.leader); leader != nil && slices.Contains(candidates, leader) && mg.rng.IntN(2) == 0 {
		ke = leader
	}
	crash := func() {
		ke.running, ke.backAt = false, mg.now.Add(time.Duration(mg.rng.IntN(2000))*time.Millisecond)
	}
	address := fmt.Sprint("address-", mg.nextID)
	switch mg.rng.IntN(5) {
	case 0:
		ke.stopAskedAt, ke.comesBack = mg.now, true
		return "restart " + ke.id
	case 1:
		crash()
		ke.comesBack = true
		return "crash " + ke.id
	case 2:
		crash()
		ke.comesBack, ke.diskIsLost = true, true
		return "lose the disk of " + ke.id
	case 3:
		successor := mg.start(address)
		for range mg.rng.IntN(120) {
			mg.step()
		}
		if ke.running {
			ke.stopAskedAt = mg.now
		}
		return "replace " + ke.id + " by " + successor.id
	default:
		crash()
		ke.comesBack, ke.backAt = true, mg.now.Add(time.Hour)
		for range 20 {
			mg.step()
		}
		ke.comesBack = false
		successor := mg.start(address)
		return "crash " + ke.id + ", replaced by " + successor.id
	}
}

// TestGroupToleratesLossesOnceWhole replaces, restarts and wipes random keepers, one
// after the other and at most as many at a time as the group tolerates. Once no machine
// counts as lost, the group must tolerate the planned losses again, whichever keeper leads and
// however many keepers were replaced.
func TestGroupToleratesLossesOnceWhole(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		for seed := range uint64(300) {
			mg := newModelGroup(seed, size)
			var history []string
			for range 8 {
				for range 1 + mg.rng.IntN(2) {
					if mg.lost() < mg.tolerated() && mg.leader != "" {
						history = append(history, fmt.Sprintf("%s: %s", mg.now.Sub(now), mg.disturb()))
					}
					for range mg.rng.IntN(40) {
						mg.step()
					}
				}
				for !mg.isWhole() {
					mg.step()
				}
				if !mg.intolerantAt.IsZero() {
					t.Fatalf("size %d, seed %d: at %s the loss of %d would have left no quorum\n%q\nlater, at %s: %+v", size, seed, mg.intolerantAt.Sub(now), mg.tolerated(), history, mg.now.Sub(now), mg.config.Members)
				}
			}
		}
	}
}
