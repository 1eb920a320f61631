package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/reconfig"
	"cactusstream.example/core/wal"
)

const (
	acceptorFile  = "acceptor"
	methodPrepare = "keeper.prepare"
	methodAccept  = "keeper.accept"
	methodGroup   = "keeper.group"
	// proposalInterval is the shortest time between two proposals of a keeper. The same
	// time at most is added at random, so that two proposers don't disturb each other for
	// long.
	proposalInterval = 200 * time.Millisecond
)

// ballotRequest asks a seed for a promise, or to accept Config.
type ballotRequest struct {
	Electorate reconfig.Electorate `codec:"electorate"`
	Ballot     reconfig.Ballot     `codec:"ballot"`
	Config     consensus.Config    `codec:"config"`
}

// ballotResponse has the state of the seed after the request.
type ballotResponse struct {
	IsGranted bool              `codec:"granted"`
	State     reconfig.Acceptor `codec:"state"`
}

// agreement is the state of the agreement on the first members of the group. Run owns it.
type agreement struct {
	electorate reconfig.Electorate
	acceptor   reconfig.Acceptor
	// highestBallot is the highest number that another seed has promised.
	highestBallot uint64
	isProposing   bool
	nextProposal  time.Time
}

// newAgreement reads the state of the acceptor. The electorate of a keeper whose disk
// doesn't date from the first start has the current seeds, which it uses only to recognise
// the first one.
func newAgreement(ident Identity, opts GroupOptions, disk wal.Disk) (agreement, error) {
	ag := agreement{}
	if opts.Size == 0 {
		return ag, nil
	}
	seeds := ident.FirstSeeds
	if len(seeds) == 0 {
		seeds = opts.Seeds()
	}
	ag.electorate = reconfig.NewElectorate(seeds, opts.Size)
	names, err := disk.List()
	if err != nil {
		return ag, fmt.Errorf("agreement: %w", err)
	}
	if slices.Contains(names, acceptorFile) {
		if ag.acceptor, err = readFile[reconfig.Acceptor](disk, acceptorFile); err != nil {
			return ag, fmt.Errorf("agreement: %w", err)
		}
	}
	return ag, nil
}

// storeAcceptor replaces the state of the acceptor once the new one is on disk.
func (ke *Keeper) storeAcceptor(state reconfig.Acceptor) error {
	data, err := codec.Marshal(state)
	if err != nil {
		return fmt.Errorf("store acceptor: %w", err)
	}
	if err := ke.opts.Disk.Replace(acceptorFile, data); err != nil {
		return fmt.Errorf("store acceptor: %w", err)
	}
	ke.agreement.acceptor = state
	return nil
}

// handlePrepare and handleAccept serve the proposals of other seeds.
func (ke *Keeper) handlePrepare(ctx context.Context, _ string, req ballotRequest) (ballotResponse, error) {
	return ke.vote(ctx, req, func(state *reconfig.Acceptor) bool { return state.Prepare(req.Ballot) })
}

func (ke *Keeper) handleAccept(ctx context.Context, _ string, req ballotRequest) (ballotResponse, error) {
	return ke.vote(ctx, req, func(state *reconfig.Acceptor) bool { return state.Accept(req.Ballot, req.Config) })
}

// vote changes the state of the acceptor, and responds once the new state is on disk.
func (ke *Keeper) vote(ctx context.Context, req ballotRequest, change func(*reconfig.Acceptor) bool) (ballotResponse, error) {
	var resp ballotResponse
	var storeErr error
	err := ke.do(ctx, func(time.Time) {
		ag := &ke.agreement
		if !ke.ident.Agrees || !ag.electorate.Equal(req.Electorate) || !ag.electorate.IsAcceptor(ke.joinRequest()) {
			return
		}
		state := ag.acceptor
		if resp.IsGranted = change(&state); resp.IsGranted {
			storeErr = ke.storeAcceptor(state)
		}
		resp.State = ag.acceptor
	})
	if err == nil {
		err = storeErr
	}
	if err != nil {
		return ballotResponse{}, err
	}
	return resp, nil
}

// leaveAgreement makes this keeper behave as one of an older version, and for good, if a
// join request is from a keeper that requires it. One that has accepted a proposal stays:
// the proposal may have been chosen.
func (ke *Keeper) leaveAgreement(req reconfig.JoinRequest) {
	if ke.agreement.acceptor.HasAccepted() || !ke.agreement.electorate.UsesOlderWay(ke.joinRequest(), req) {
		return
	}
	ident := ke.ident
	ident.Agrees = false
	if err := storeIdentity(ke.opts.Disk, ident); err != nil {
		ke.fail(err)
		return
	}
	ke.ident.Agrees = false // Other goroutines read the ID.
}

// propose starts a proposal of the first members if one is due.
func (ke *Keeper) propose(now time.Time) {
	ag := &ke.agreement
	if ag.isProposing || now.Before(ag.nextProposal) || ke.leaving.Load() {
		return
	}
	requests := ke.group.joinRequests.List()
	config, ok := ag.electorate.Propose(now, ke.joinRequest(), requests)
	if !ok {
		return
	}
	state := ag.acceptor
	ballot := reconfig.Ballot{Number: max(state.Promised.Number, ag.highestBallot) + 1, Proposer: ke.ident.ID}
	state.Prepare(ballot)
	if err := ke.storeAcceptor(state); err != nil {
		ke.fail(err)
		return
	}
	ag.isProposing = true
	prop := reconfig.NewProposal(ag.electorate, ballot, ke.opts.PeerAddress, config)
	prop.AddPromise(ke.opts.PeerAddress, state)
	lost := ag.electorate.Lost(requests)
	req := ballotRequest{Electorate: ag.electorate, Ballot: ballot}
	go ke.runProposal(prop, req, lost)
}

// runProposal asks the other seeds for promises and then to accept. If the membership is
// chosen, this keeper adopts it and tells the members.
func (ke *Keeper) runProposal(prop *reconfig.Proposal, req ballotRequest, lost []string) {
	ctx, cancel := context.WithTimeout(ke.transport.stop, 2*sendTimeout)
	defer cancel()
	highest := uint64(0)
	ask := func(method string, granted func(seed string, state reconfig.Acceptor)) {
		for seed, resp := range ke.askSeeds(ctx, method, req) {
			highest = max(highest, resp.State.Promised.Number)
			if resp.IsGranted {
				granted(seed, resp.State)
			}
		}
	}
	isChosen := false
	ask(methodPrepare, prop.AddPromise)
	if prop.IsPrepared(lost) {
		req.Config = prop.Config()
		if resp, err := ke.handleAccept(ctx, "", req); err == nil && resp.IsGranted {
			prop.AddAcceptance(ke.opts.PeerAddress)
			ask(methodAccept, func(seed string, _ reconfig.Acceptor) { prop.AddAcceptance(seed) })
			isChosen = prop.IsChosen(lost)
		}
	}
	finish := func(now time.Time) {
		ag := &ke.agreement
		ag.isProposing = false
		ag.highestBallot = max(ag.highestBallot, highest)
		ag.nextProposal = now.Add(proposalInterval + rand.N(proposalInterval)) //nolint:gosec // Not for security.
		if isChosen {
			ke.adopt(now, prop.Config(), ke.node.Bootstrap)
			for _, mem := range prop.Config().Members {
				ke.sendGroup(mem)
			}
		}
	}
	select {
	case ke.tasks <- finish:
	case <-ke.stopped:
	}
}

// askSeeds sends a request to the other seeds at once and returns the responses by address.
func (ke *Keeper) askSeeds(ctx context.Context, method string, req ballotRequest) map[string]ballotResponse {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var mu sync.Mutex
	responses := make(map[string]ballotResponse)
	var all sync.WaitGroup
	for _, seed := range req.Electorate.Seeds {
		if seed == ke.opts.PeerAddress {
			continue
		}
		all.Go(func() {
			resp, err := link.Call[ballotRequest, ballotResponse](ctx, ke.opts.Pool, seed, method, req)
			if err != nil {
				return // A seed that doesn't respond is asked again by the next proposal.
			}
			mu.Lock()
			defer mu.Unlock()
			responses[seed] = resp
		})
	}
	all.Wait()
	return responses
}

// adopt stores the chosen membership and starts the consensus with it, unless this keeper
// knows a group already.
func (ke *Keeper) adopt(now time.Time, config consensus.Config, start func(time.Time, consensus.Config)) {
	if len(ke.node.Config().Members) > 0 || len(ke.ident.Initial.Members) > 0 {
		return
	}
	ident := ke.ident
	ident.Initial = config
	if err := storeIdentity(ke.opts.Disk, ident); err != nil {
		ke.fail(err)
		return
	}
	ke.ident.Initial = config // Other goroutines read the ID.
	start(now, config)
	ke.transport.setAddresses(config)
	ke.opts.Log.Write(events.KeeperMembers, memberFields(config))
}

// sendGroup tells a keeper the membership that this keeper was started with, if that one
// is a member. A lost notice is sent again when the keeper sends its next join request.
func (ke *Keeper) sendGroup(mem consensus.Member) {
	config := ke.ident.Initial
	if _, known := config.Find(mem.ID); !known || mem.ID == ke.ident.ID {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ke.transport.stop, sendTimeout)
		defer cancel()
		_ = link.Notify(ctx, ke.opts.Pool, mem.PeerAddress, methodGroup, config)
	}()
}

// receiveGroup adopts the membership that was chosen, of which this keeper is a member.
func (ke *Keeper) receiveGroup(_ string, config consensus.Config) {
	select {
	case ke.tasks <- func(now time.Time) {
		if _, known := config.Find(ke.ident.ID); known && ke.diskErr == nil {
			ke.adopt(now, config, func(now time.Time, config consensus.Config) { ke.node.Adopt(now, config) })
		}
	}:
	default: // The queue is full; the notice is sent again.
	}
}
