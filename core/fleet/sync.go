package fleet

import (
	"context"
	"sync"
	"time"

	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
)

// Join synchronizes with a seed, so that a daemon knows the fleet before it accepts
// requests.
func (fl *Fleet) Join(ctx context.Context) {
	fl.syncWithOneSeed(ctx)
	fl.refreshView()
}

// syncWithOneSeed synchronizes with the seeds in random order, until one has responded.
// The next one is asked when joinInterval has passed without a response: a table is
// large, and a whole fleet that starts should not fetch it three times a daemon.
func (fl *Fleet) syncWithOneSeed(ctx context.Context) {
	seeds := fl.otherSeeds()
	fl.mu.Lock()
	fl.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	fl.mu.Unlock()
	results := make(chan bool, len(seeds))
	pending := 0
	for _, seed := range seeds {
		pending++
		go func() { results <- fl.sync(ctx, seed) }()
		select {
		case responded := <-results:
			if responded {
				return
			}
			pending--
		case <-time.After(joinInterval):
		case <-ctx.Done():
			return
		}
	}
	for ; pending > 0; pending-- {
		if <-results {
			return
		}
	}
}

// syncLoop synchronizes with a seed every joinInterval until a peer is known. After that
// it periodically synchronizes with the daemons of syncTargets.
func (fl *Fleet) syncLoop(ctx context.Context) {
	for round := 0; ; round++ {
		delay := joinInterval
		if fl.PickPeer() == "" {
			fl.syncWithOneSeed(ctx)
		} else {
			fl.syncAll(ctx, fl.syncTargets(round))
			fl.mu.Lock()
			delay = syncInterval/2 + time.Duration(fl.rng.Int64N(int64(syncInterval)))
			fl.mu.Unlock()
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
	}
}

// syncAll synchronizes with several daemons concurrently, so that one that does not
// respond does not delay the others.
func (fl *Fleet) syncAll(ctx context.Context, addresses []string) {
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { fl.sync(ctx, address) })
	}
	wg.Wait()
}

// syncTargets returns the daemons of one round: a random one of the own zone, or in every
// crossZoneRounds-th round one of the whole fleet and a seed, and a dead one. Dead daemons
// and seeds reconnect the sides of a healed network partition.
func (fl *Fleet) syncTargets(round int) []string {
	leavesZone := round%crossZoneRounds == 0
	fl.mu.Lock()
	pick := fl.table.PickPeerInZone
	if leavesZone {
		pick = fl.table.PickPeer
	}
	peer, dead := pick(), fl.table.PickDead()
	fl.mu.Unlock()
	targets := []string{peer}
	if dead != "" {
		targets = append(targets, dead)
	}
	if seeds := fl.otherSeeds(); len(seeds) > 0 && leavesZone {
		targets = append(targets, seeds[round/crossZoneRounds%len(seeds)])
	}
	return targets
}

func (fl *Fleet) otherSeeds() []string {
	var seeds []string
	for _, seed := range fl.opts.Seeds() {
		if seed != fl.opts.Self.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// sync compares the tables by digests and exchanges the records that differ. It reports
// whether the other daemon responded.
func (fl *Fleet) sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	fl.mu.Lock()
	req := fl.table.BeginSync()
	fl.mu.Unlock()
	for range maxSyncRequests {
		response, err := link.Call[member.SyncRequest, member.SyncResponse](ctx, fl.opts.Pool, address, syncMethod, req)
		if err == nil {
			response, err = response.Unpack()
		}
		if err != nil {
			return false
		}
		fl.mu.Lock()
		next, ok := fl.table.ContinueSync(fl.opts.Clock.Now(), response)
		fl.mu.Unlock()
		if !ok {
			break
		}
		req = next
	}
	fl.syncedOnce.Do(func() { close(fl.synced) })
	return true
}

func (fl *Fleet) handleSync(_ context.Context, peer string, req member.SyncRequest) (member.SyncResponse, error) {
	fl.mu.Lock()
	resp := fl.table.AnswerSync(fl.opts.Clock.Now(), req)
	resp.Departed = fl.table.DepartedFrom(peer)
	fl.mu.Unlock()
	return resp.Pack(req)
}
