package rankqueue_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"cactusstream.example/core/rankqueue"
)

// TestOrderWithoutOrganisationsIsUnchanged guards against another order for deployments
// without organisations: it replays random requests, limits and withdrawals, and compares
// the digest of all decisions with that of commit f28f38f, which knew no organisations.
func TestOrderWithoutOrganisationsIsUnchanged(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the recorded digest depends on the rounding of floating-point numbers, which fused operations change")
	}
	const want = "4c7d59ea608d9d3938b55cef7b9eb50002e4388b7b48f85cb4c3e85252466397"
	sum := sha256.New()
	for seed := range uint64(60) {
		replay(sum, seed)
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("the decisions have the digest %s, want %s", got, want)
	}
}

// replay writes the decisions of one seed.
func replay(out hash.Hash, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	que := rankqueue.New(2+rng.IntN(6), policy)
	now := time.Unix(1000, 0)
	var running []*rankqueue.Item
	var queued []*rankqueue.Item
	var rejected []string // In one step, items are rejected in any order.
	begin := func(item *rankqueue.Item) { running = append(running, item) }
	for number := range 3000 {
		now = now.Add(time.Duration(rng.IntN(12)) * time.Millisecond)
		switch action := rng.IntN(100); {
		case action < 55:
			item := &rankqueue.Item{Rank: rng.IntN(rankqueue.RankCount), Firm: fmt.Sprint(rng.IntN(5)), Deadline: now.Add(time.Duration(200+rng.IntN(2000)) * time.Millisecond), ExpectedDuration: time.Duration(rng.IntN(60)) * time.Millisecond, AttemptID: fmt.Sprint(number)}
			if rng.IntN(2) == 0 {
				item.Target = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
			item.OnDecision = func(dec rankqueue.Decision) {
				if dec != rankqueue.Run {
					rejected = append(rejected, fmt.Sprint(item.AttemptID, " rejected ", dec))
					return
				}
				fmt.Fprintln(out, item.AttemptID, "started")
				begin(item)
			}
			dec := que.Add(now, item)
			fmt.Fprintln(out, item.AttemptID, "added", dec, que.EstimateWait(now, item))
			switch dec {
			case rankqueue.Run:
				begin(item)
			case rankqueue.Wait:
				queued = append(queued, item)
			}
		case action < 92 && len(running) > 0:
			at := rng.IntN(len(running))
			item := running[at]
			running = slices.Delete(running, at, at+1)
			que.Release(now, item.Rank, time.Duration(rng.IntN(80))*time.Millisecond)
		case action < 95 && len(queued) > 0:
			fmt.Fprintln(out, "cancelled", que.Cancel(now, queued[rng.IntN(len(queued))]))
		case action < 96:
			que.SetLimit(now, 20+float64(rng.IntN(200)))
		case action < 98:
			que.ClearLimit(now)
		default:
			que.Start(now)
		}
		slices.Sort(rejected)
		fmt.Fprintln(out, que.Running(), que.Waiting(), rejected)
		rejected = nil
	}
}
