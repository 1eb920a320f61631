package fleet

import (
	"context"
	"sync"
	"time"

	"cactusstream.example/core/link"
	"cactusstream.example/core/member"
)

// Join compares tables with every seed once, so that a daemon knows the fleet
// before it takes requests.
func (fl *Fleet) Join(ctx context.Context) {
	fl.syncAll(ctx, fl.otherSeeds())
	fl.refreshView()
}

// syncLoop compares tables with others: often until somebody is known, then
// now and then with a daemon at random, and with one that is gone, or a seed,
// so that two halves of a fleet find each other again.
func (fl *Fleet) syncLoop(ctx context.Context) {
	round := 0
	for {
		fl.syncAll(ctx, fl.syncTargets(round))
		wait := joinEvery
		if fl.PickPeer() != "" {
			fl.mu.Lock()
			wait = syncEvery/2 + time.Duration(fl.rng.Int64N(int64(syncEvery)))
			fl.mu.Unlock()
		}
		round++
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// syncAll compares tables with several at once: one that is away holds up none.
func (fl *Fleet) syncAll(ctx context.Context, addresses []string) {
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { fl.sync(ctx, address) })
	}
	group.Wait()
}

func (fl *Fleet) syncTargets(round int) []string {
	peer := fl.PickPeer()
	if peer == "" {
		return fl.otherSeeds()
	}
	targets := []string{peer}
	fl.mu.Lock()
	gone := fl.table.PickDead()
	fl.mu.Unlock()
	if gone != "" {
		targets = append(targets, gone)
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

// sync compares tables by digest, then by summaries, and exchanges what differs.
func (fl *Fleet) sync(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	fl.mu.Lock()
	digest := fl.table.Digest()
	fl.mu.Unlock()
	answer, err := link.Call[syncRequest, syncAnswer](ctx, fl.opts.Pool, address, methodSync, syncRequest{Digest: digest})
	if err != nil || answer.Same {
		return
	}
	fl.mu.Lock()
	req := syncRequest{Digest: digest, Summaries: fl.table.Summaries(), Records: fl.table.NewerThan(answer.Summaries)}
	fl.mu.Unlock()
	answer, err = link.Call[syncRequest, syncAnswer](ctx, fl.opts.Pool, address, methodSync, req)
	if err != nil {
		return
	}
	fl.merge(answer.Records)
}

func (fl *Fleet) answerSync(_ context.Context, _ string, req syncRequest) (syncAnswer, error) {
	if req.Summaries == nil {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if req.Digest == fl.table.Digest() {
			return syncAnswer{Same: true}, nil
		}
		return syncAnswer{Summaries: fl.table.Summaries()}, nil
	}
	fl.merge(req.Records)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return syncAnswer{Records: fl.table.NewerThan(req.Summaries)}, nil
}

// merge takes records; the next tick works the view out for all that came.
func (fl *Fleet) merge(records []member.Record) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.table.Merge(fl.opts.Clock.Now(), records)
}
