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
	fl.shuffle(seeds)
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
			delay = fl.syncDelay()
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
	peer, dead := fl.pickTargets(leavesZone)
	targets := []string{peer}
	if dead != "" {
		targets = append(targets, dead)
	}
	if seeds := fl.otherSeeds(); len(seeds) > 0 && leavesZone {
		targets = append(targets, seeds[round/crossZoneRounds%len(seeds)])
	}
	return targets
}

// pickTargets returns a random living daemon and a random dead one.
func (fl *Fleet) pickTargets(leavesZone bool) (peer, dead string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	pick := fl.table.PickPeerInZone
	if leavesZone {
		pick = fl.table.PickPeer
	}
	return pick(), fl.table.PickDead()
}

func (fl *Fleet) shuffle(seeds []string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
}

// syncDelay returns a random delay to the next round.
func (fl *Fleet) syncDelay() time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return syncInterval/2 + time.Duration(fl.rng.Int64N(int64(syncInterval)))
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
	req := fl.beginSync()
	for range maxSyncRequests {
		response, err := link.Call[member.SyncRequest, member.SyncResponse](ctx, fl.opts.Pool, address, syncMethod, req)
		if err == nil {
			response, err = response.Unpack()
		}
		if err != nil {
			return false
		}
		next, ok := fl.continueSync(response)
		if !ok {
			break
		}
		req = next
	}
	fl.syncedOnce.Do(func() { close(fl.synced) })
	return true
}

func (fl *Fleet) handleSync(_ context.Context, peer string, req member.SyncRequest) (member.SyncResponse, error) {
	resp := fl.answerSync(peer, req)
	return resp.Pack(req)
}

func (fl *Fleet) beginSync() member.SyncRequest {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.table.BeginSync()
}

func (fl *Fleet) continueSync(response member.SyncResponse) (next member.SyncRequest, ok bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.table.ContinueSync(fl.opts.Clock.Now(), response)
}

func (fl *Fleet) answerSync(peer string, req member.SyncRequest) member.SyncResponse {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	resp := fl.table.AnswerSync(fl.opts.Clock.Now(), req)
	resp.Departed = fl.table.DepartedFrom(peer)
	return resp
}
