package reconfig_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/reconfig"
)

const (
	bootJoinInterval = 300 * time.Millisecond
	// bootRoundTimeout is how long a proposer waits for responses.
	bootRoundTimeout = 2 * time.Second
	// bootFaults is how long faults are injected, and bootEnd when a model ends.
	bootFaults = 12 * time.Second
	bootEnd    = 40 * time.Second
	// bootSeeds is the number of schedules of each shape.
	bootSeeds = uint64(150)
)

// bootDisk is what a keeper of the model has on its disk.
type bootDisk struct {
	id       string
	isFirst  bool
	acceptor reconfig.Acceptor
	initial  consensus.Config
}

// bootKeeper is a keeper at one address. Only its disk survives a restart.
type bootKeeper struct {
	address      string
	isUp         bool
	disk         *bootDisk
	requests     reconfig.JoinRequests
	proposal     *reconfig.Proposal
	proposalLost []string
	isAccepting  bool
	proposedAt   time.Time
	nextProposal time.Time
	joinedAt     time.Time
	highest      uint64
}

// bootModel is the first start of a system in virtual time. Messages are lost, delayed,
// duplicated and reordered, and arrive after the end of their sender.
type bootModel struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Time
	electorate reconfig.Electorate
	keepers    []*bootKeeper
	queue      map[time.Time][]func()
	lossRate   float64
	nextID     int
	// founded holds the memberships that any keeper took for chosen.
	founded map[string]bool
}

func newBootModel(t *testing.T, seed uint64, keepers, seeds, size int) *bootModel {
	t.Helper()
	bm := &bootModel{t: t, rng: rand.New(rand.NewPCG(seed, 23)), now: now, queue: make(map[time.Time][]func()), founded: make(map[string]bool)}
	var addresses []string
	for index := range keepers {
		bm.keepers = append(bm.keepers, &bootKeeper{address: fmt.Sprint("address-", index)})
		if index < seeds {
			addresses = append(addresses, bm.keepers[index].address)
		}
	}
	bm.electorate = reconfig.NewElectorate(addresses, size)
	return bm
}

// at runs a function after a delay, rounded to the tick of the model.
func (bm *bootModel) at(delay time.Duration, fn func()) {
	due := bm.now.Add(delay).Truncate(modelTick).Add(modelTick)
	bm.queue[due] = append(bm.queue[due], fn)
}

// start starts the process of a keeper, with a new disk if it has none.
func (bm *bootModel) start(ke *bootKeeper, isFirst bool) {
	if ke.disk == nil {
		bm.nextID++
		ke.disk = &bootDisk{id: fmt.Sprint("k", bm.nextID), isFirst: isFirst}
	}
	ke.isUp, ke.requests, ke.proposal, ke.highest = true, make(reconfig.JoinRequests), nil, 0
	ke.nextProposal, ke.joinedAt = bm.now, time.Time{}
}

// restart ends the process of a keeper and starts it again later.
func (bm *bootModel) restart(ke *bootKeeper, losesDisk bool) {
	ke.isUp = false
	if losesDisk {
		ke.disk = nil
	}
	bm.at(time.Duration(bm.rng.IntN(2500))*time.Millisecond, func() {
		if !ke.isUp {
			bm.start(ke, false)
		}
	})
}

// send delivers a message to the keeper at an address, never, once or twice.
func (bm *bootModel) send(to string, deliver func(ke *bootKeeper)) {
	copies := 1
	if bm.rng.Float64() < bm.lossRate {
		copies = 0
	} else if bm.rng.Float64() < bm.lossRate/2 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(bm.rng.IntN(100)) * time.Millisecond
		if bm.rng.Float64() < bm.lossRate/2 {
			delay = time.Duration(bm.rng.IntN(6000)) * time.Millisecond
		}
		bm.at(delay, func() {
			for _, ke := range bm.keepers {
				if ke.address == to && ke.isUp {
					deliver(ke)
				}
			}
		})
	}
}

func (ke *bootKeeper) joinRequest() reconfig.JoinRequest {
	return reconfig.JoinRequest{Member: member(ke.disk.id, ke.address, false), Agrees: len(ke.disk.initial.Members) == 0, IsFirstStart: ke.disk.isFirst}
}

func (bm *bootModel) step() {
	bm.now = bm.now.Add(modelTick)
	for _, fn := range bm.queue[bm.now] {
		fn()
	}
	delete(bm.queue, bm.now)
	for _, ke := range bm.keepers {
		if !ke.isUp || len(ke.disk.initial.Members) > 0 {
			continue
		}
		if bm.now.Sub(ke.joinedAt) >= bootJoinInterval {
			ke.joinedAt = bm.now
			bm.join(ke)
		}
		bm.propose(ke)
	}
}

func (bm *bootModel) join(ke *bootKeeper) {
	req := ke.joinRequest()
	for _, other := range bm.keepers {
		if other == ke {
			continue
		}
		bm.send(other.address, func(ke *bootKeeper) {
			ke.requests.Add(reconfig.ReceivedJoinRequest{JoinRequest: req, ReceivedAt: bm.now})
			bm.sendGroup(ke, req.Member)
		})
	}
}

func (bm *bootModel) sendGroup(ke *bootKeeper, mem consensus.Member) {
	config := ke.disk.initial
	if _, known := config.Find(mem.ID); known {
		bm.send(mem.PeerAddress, func(ke *bootKeeper) {
			if ke.disk.id == mem.ID {
				bm.adopt(ke, config)
			}
		})
	}
}

func (bm *bootModel) adopt(ke *bootKeeper, config consensus.Config) {
	bm.founded[fmt.Sprint(config)] = true
	if len(ke.disk.initial.Members) == 0 {
		ke.disk.initial = config
	}
}

func (bm *bootModel) propose(ke *bootKeeper) {
	if ke.proposal != nil {
		if bm.now.Sub(ke.proposedAt) >= bootRoundTimeout {
			ke.proposal = nil
			ke.nextProposal = bm.now.Add(time.Duration(200+bm.rng.IntN(200)) * time.Millisecond)
		}
		return
	}
	config, ok := bm.electorate.Propose(bm.now, ke.joinRequest(), ke.requests.List())
	if !ok || bm.now.Before(ke.nextProposal) {
		return
	}
	ballot := reconfig.Ballot{Number: max(ke.disk.acceptor.Promised.Number, ke.highest) + 1, Proposer: ke.disk.id}
	ke.disk.acceptor.Prepare(ballot)
	ke.proposal, ke.isAccepting, ke.proposedAt = reconfig.NewProposal(bm.electorate, ballot, ke.address, config), false, bm.now
	ke.proposalLost = bm.electorate.Lost(ke.requests.List())
	ke.proposal.AddPromise(ke.address, ke.disk.acceptor)
	bm.askSeeds(ke, func(state *reconfig.Acceptor) bool { return state.Prepare(ballot) }, func(ke *bootKeeper, seed string, state reconfig.Acceptor) {
		if !ke.isAccepting {
			ke.proposal.AddPromise(seed, state)
			bm.advance(ke)
		}
	})
	bm.advance(ke)
}

// askSeeds sends a request to the other seeds. A response counts while the same proposal
// of the same process is in progress.
func (bm *bootModel) askSeeds(ke *bootKeeper, change func(*reconfig.Acceptor) bool, granted func(ke *bootKeeper, seed string, state reconfig.Acceptor)) {
	prop, proposer := ke.proposal, ke.address
	for _, seed := range bm.electorate.Seeds {
		if seed == proposer {
			continue
		}
		bm.send(seed, func(acceptor *bootKeeper) {
			if !acceptor.disk.isFirst {
				return
			}
			ok := change(&acceptor.disk.acceptor)
			state := acceptor.disk.acceptor
			bm.send(proposer, func(ke *bootKeeper) {
				if ke.proposal != prop {
					return
				}
				ke.highest = max(ke.highest, state.Promised.Number)
				if ok {
					granted(ke, seed, state)
				}
			})
		})
	}
}

// advance begins the second phase of a proposal, or ends it.
func (bm *bootModel) advance(ke *bootKeeper) {
	prop := ke.proposal
	if !ke.isAccepting && prop.IsPrepared(ke.proposalLost) && ke.disk.acceptor.Accept(prop.Ballot(), prop.Config()) {
		ke.isAccepting = true
		prop.AddAcceptance(ke.address)
		config := prop.Config()
		bm.askSeeds(ke, func(state *reconfig.Acceptor) bool { return state.Accept(prop.Ballot(), config) }, func(ke *bootKeeper, seed string, _ reconfig.Acceptor) {
			ke.proposal.AddAcceptance(seed)
			bm.advance(ke)
		})
	}
	if ke.proposal != nil && ke.isAccepting && prop.IsChosen(ke.proposalLost) {
		ke.proposal = nil
		bm.adopt(ke, prop.Config())
		for _, mem := range prop.Config().Members {
			bm.sendGroup(ke, mem)
		}
	}
}

// run injects faults and then lets the keepers finish. At most lossLimit disks are lost. A
// keeper that ends before it has written its identity counts as one of them.
func (bm *bootModel) run(lossLimit int) {
	losses := 0
	for _, ke := range bm.keepers {
		isFirst := true
		if losses < lossLimit && bm.rng.IntN(8) == 0 {
			isFirst = false
			losses++
		}
		bm.at(time.Duration(bm.rng.IntN(1000))*time.Millisecond, func() { bm.start(ke, isFirst) })
	}
	bm.lossRate = 0.3 * bm.rng.Float64()
	faultRate := 0.03 * bm.rng.Float64()
	end := bm.now.Add(bootEnd)
	faultsEnd := bm.now.Add(bootFaults)
	for bm.now.Before(end) {
		bm.step()
		if !bm.now.Before(faultsEnd) {
			bm.lossRate = 0
			continue
		}
		for _, index := range bm.rng.Perm(len(bm.keepers)) {
			ke := bm.keepers[index]
			if !ke.isUp || bm.rng.Float64() >= faultRate {
				continue
			}
			losesDisk := losses < lossLimit && bm.rng.IntN(2) == 0
			if losesDisk {
				losses++
			}
			bm.restart(ke, losesDisk)
		}
	}
}

// checkOnce fails the test if two memberships were taken for chosen.
func (bm *bootModel) checkOnce(seed uint64) {
	bm.t.Helper()
	if len(bm.founded) > 1 {
		bm.t.Errorf("seed %d: %d groups were bootstrapped:\n%s", seed, len(bm.founded), strings.Join(slices.Sorted(mapKeys(bm.founded)), "\n"))
	}
}

// hasOriginalSeed reports whether any seed still has the disk of the first start.
func (bm *bootModel) hasOriginalSeed() bool {
	return slices.ContainsFunc(bm.keepers, func(ke *bootKeeper) bool { return ke.disk.isFirst && slices.Contains(bm.electorate.Seeds, ke.address) })
}

var bootShapes = []struct{ keepers, seeds, size int }{{5, 3, 5}, {5, 5, 5}, {5, 2, 5}, {5, 1, 5}, {5, 3, 3}, {3, 3, 3}, {7, 3, 5}, {7, 4, 7}}

// TestGroupIsBootstrappedOnce checks that a group is bootstrapped although keepers restart
// and as many disks are lost as the group tolerates, that a quorum of its members runs, and
// that there is only one group. If all seeds lose their disks, nobody knows whether there
// was a group, and only the last property must hold.
func TestGroupIsBootstrappedOnce(t *testing.T) {
	for _, shape := range bootShapes {
		t.Run(fmt.Sprintf("%d keepers, %d seeds, size %d", shape.keepers, shape.seeds, shape.size), func(t *testing.T) {
			for seed := range bootSeeds {
				bm := newBootModel(t, seed, shape.keepers, shape.seeds, shape.size)
				bm.run((shape.size - 1) / 2)
				bm.checkOnce(seed)
				if !bm.hasOriginalSeed() {
					continue
				}
				if len(bm.founded) == 0 {
					t.Errorf("seed %d: no group was bootstrapped", seed)
					continue
				}
				members := 0
				for _, ke := range bm.keepers {
					if _, isMember := ke.disk.initial.Find(ke.disk.id); isMember {
						members++
					}
				}
				if members <= shape.size/2 {
					t.Errorf("seed %d: only %d members of the group run", seed, members)
				}
			}
		})
	}
}

// TestNoSecondGroupWhicheverDisksAreLost loses any number of disks, also all of them. There
// must never be two groups.
func TestNoSecondGroupWhicheverDisksAreLost(t *testing.T) {
	for _, shape := range bootShapes {
		t.Run(fmt.Sprintf("%d keepers, %d seeds, size %d", shape.keepers, shape.seeds, shape.size), func(t *testing.T) {
			for seed := range bootSeeds {
				bm := newBootModel(t, seed, shape.keepers, shape.seeds, shape.size)
				bm.run(1 + int(seed)%(2*shape.keepers))
				bm.checkOnce(seed)
			}
		})
	}
}

// TestProposalQuorums checks the rules of Proposal one by one. With majorities, a seed that
// lost its disk must not count as an acceptance: a higher ballot may have its promise.
func TestProposalQuorums(t *testing.T) {
	cases := []struct {
		name               string
		seeds, size        int
		responses, lost    []string
		prepared, isChosen bool
	}{
		{"all", 3, 5, []string{"1", "2", "3"}, nil, true, true},
		{"one is missing", 3, 5, []string{"1", "2"}, nil, false, false},
		{"two have lost their disks", 3, 5, []string{"2"}, []string{"1", "3"}, true, true},
		{"the proposer has not responded", 3, 5, []string{"1", "3"}, []string{"2"}, false, false},
		{"majority", 3, 3, []string{"1", "2"}, nil, true, true},
		{"majority without the first seed", 3, 3, []string{"2", "3"}, nil, true, false},
		{"majority, and the first seed has lost its disk", 3, 3, []string{"2", "3"}, []string{"1"}, true, true},
		{"a lost disk is no acceptance", 3, 3, []string{"2"}, []string{"1"}, false, false},
		{"three of five", 5, 5, []string{"1", "2", "5"}, nil, true, true},
		{"two of five, two lost", 5, 5, []string{"1", "2"}, []string{"3", "4"}, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			prop := reconfig.NewProposal(reconfig.NewElectorate([]string{"1", "2", "3", "4", "5"}[:tc.seeds], tc.size), reconfig.Ballot{Number: 1, Proposer: "k"}, "2", consensus.Config{})
			for _, seed := range tc.responses {
				prop.AddPromise(seed, reconfig.Acceptor{})
				prop.AddAcceptance(seed)
			}
			is.Equal(prop.IsPrepared(tc.lost), tc.prepared)
			is.Equal(prop.IsChosen(tc.lost), tc.isChosen)
		})
	}
}

// TestOlderVersionsBootstrapAlone checks when a keeper leaves the agreement: a first seed of
// an older version bootstraps a group alone, and one of this version must do the same if it
// would wait for ever for a keeper of an older version.
func TestOlderVersionsBootstrapAlone(t *testing.T) {
	el := reconfig.NewElectorate([]string{"b", "a", "c"}, 5)
	request := func(address string, agrees, hasNoGroup, isFirst bool) reconfig.JoinRequest {
		return reconfig.JoinRequest{Member: member("k-"+address, address, false), Agrees: agrees, HasNoGroup: hasNoGroup, IsFirstStart: isFirst}
	}
	cases := []struct {
		name      string
		self, req reconfig.JoinRequest
		want      bool
	}{
		{"first seed of an older version", request("d", true, false, true), request("a", false, true, true), true},
		{"first seed of an older version, new disk here", request("d", true, false, false), request("a", false, true, true), true},
		{"first seed of this version, other keeper of an older one", request("a", true, false, true), request("d", false, true, true), true},
		{"another keeper of an older version", request("b", true, false, true), request("d", false, true, true), false},
		{"first seed without its disk", request("b", true, false, true), request("a", false, true, false), false},
		{"first seed has a group", request("b", true, false, true), request("a", false, false, true), false},
		{"first seed agrees", request("b", true, false, true), request("a", true, false, true), false},
		{"has left already", request("b", false, true, true), request("a", false, true, true), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(el.UsesOlderWay(tc.self, tc.req), tc.want)
		})
	}
}
