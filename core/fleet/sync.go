package fleet

import (
	"context"
	"sync"
	"time"

	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
)

// Join synchronizes with each seed once, so that a daemon knows the fleet before it
// accepts requests.
func (fl *Fleet) Join(ctx context.Context) {
	fl.syncAll(ctx, fl.otherSeeds())
	fl.refreshView()
}

// syncLoop synchronizes with the seeds every joinInterval until a peer is known. After
// that it periodically synchronizes with a random peer, a dead daemon and a seed; the
// latter two reconnect the sides of a healed network partition.
func (fl *Fleet) syncLoop(ctx context.Context) {
	round := 0
	for {
		fl.syncAll(ctx, fl.syncTargets(round))
		delay := joinInterval
		if fl.PickPeer() != "" {
			fl.mu.Lock()
			delay = syncInterval/2 + time.Duration(fl.rng.Int64N(int64(syncInterval)))
			fl.mu.Unlock()
		}
		round++
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

func (fl *Fleet) syncTargets(round int) []string {
	peer := fl.PickPeer()
	if peer == "" {
		return fl.otherSeeds()
	}
	targets := []string{peer}
	fl.mu.Lock()
	dead := fl.table.PickDead()
	fl.mu.Unlock()
	if dead != "" {
		targets = append(targets, dead)
	}
	if seeds := fl.otherSeeds(); len(seeds) > 0 {
		targets = append(targets, seeds[round%len(seeds)])
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

// sync compares the tables by digest, then by summaries, and exchanges the records
// that differ.
func (fl *Fleet) sync(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	fl.mu.Lock()
	digest := fl.table.Digest()
	fl.mu.Unlock()
	response, err := link.Call[syncRequest, syncResponse](ctx, fl.opts.Pool, address, syncMethod, syncRequest{Digest: digest})
	if err != nil || response.Same {
		return
	}
	fl.mu.Lock()
	req := syncRequest{Digest: digest, Summaries: fl.table.Summaries(), Records: fl.table.NewerThan(response.Summaries)}
	fl.mu.Unlock()
	response, err = link.Call[syncRequest, syncResponse](ctx, fl.opts.Pool, address, syncMethod, req)
	if err != nil {
		return
	}
	fl.merge(response.Records)
}

func (fl *Fleet) handleSync(_ context.Context, _ string, req syncRequest) (syncResponse, error) {
	if req.Summaries == nil {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if req.Digest == fl.table.Digest() {
			return syncResponse{Same: true}, nil
		}
		return syncResponse{Summaries: fl.table.Summaries()}, nil
	}
	fl.merge(req.Records)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return syncResponse{Records: fl.table.NewerThan(req.Summaries)}, nil
}

// merge merges records into the table. The next tick rebuilds the view once for all
// of them.
func (fl *Fleet) merge(records []member.Record) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.table.Merge(fl.opts.Clock.Now(), records)
}
