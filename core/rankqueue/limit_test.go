package rankqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/rankqueue"
)

// limitedRun plays a load on an upstream with more slots than its limit uses, in virtual
// time: each rank asks for perRank requests per second with the same deadline. It returns
// for each rank how many were run, and how many were rejected after they had been queued.
func limitedRun(limit float64, perRank [rankqueue.RankCount]float64, deadline, length time.Duration) (ran, keptInVain [rankqueue.RankCount]int) {
	que := rankqueue.New(16, rankqueue.Policy{Limit: 64, Share: [rankqueue.RankCount]int{0, 0, 10, 5}})
	now := time.Unix(1000, 0)
	que.SetLimit(now, limit)
	const step = 5 * time.Millisecond
	var due [rankqueue.RankCount]float64
	type holder struct {
		until time.Time
		rank  int
	}
	var holders []holder
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		for len(holders) > 0 && !holders[0].until.After(now) {
			que.Release(now, holders[0].rank, 50*time.Millisecond)
			holders = holders[1:]
		}
		if wait, ok := que.NextStart(now); ok && wait == 0 {
			que.Start(now)
		}
		for rank := range due {
			for due[rank] += perRank[rank] * step.Seconds(); due[rank] >= 1; due[rank]-- {
				queued := false
				decide := func(dec rankqueue.Decision) {
					if dec == rankqueue.Run {
						ran[rank]++
						holders = append(holders, holder{until: now.Add(50 * time.Millisecond), rank: rank})
						return
					}
					if queued {
						keptInVain[rank]++
					}
				}
				item := &rankqueue.Item{Rank: rank, Firm: fmt.Sprint(rank), Deadline: now.Add(deadline), ExpectedDuration: 50 * time.Millisecond, OnDecision: decide}
				dec := que.Add(now, item)
				if queued = dec == rankqueue.Wait; !queued {
					decide(dec)
				}
			}
		}
	}
	return ran, keptInVain
}

// TestLimitIsSharedByRank overloads a limited upstream: the limit must be used, more urgent
// ranks must come first, and each rank with a guaranteed share must get it.
func TestLimitIsSharedByRank(t *testing.T) {
	is := is.New(t)
	ran, kept := limitedRun(10, [rankqueue.RankCount]float64{3, 5, 10, 0}, 2*time.Second, time.Minute)
	t.Log(ran, kept)
	total := ran[0] + ran[1] + ran[2] + ran[3]
	is.True(total >= 590 && total <= 610)        // 10 a second, and all of it is used.
	is.True(ran[0] >= 3*60-2)                    // All of the most urgent.
	is.True(ran[1] >= 5*60-60)                   // What less urgent ranks with a share leave.
	is.True(ran[2] >= 60)                        // At least its share, 10 percent.
	is.True(kept[0]+kept[1]+kept[2] <= total/20) // Nearly all that can't be served are rejected at once.
	ran, _ = limitedRun(0.3, [rankqueue.RankCount]float64{1, 0, 0, 0}, 4*time.Second, 2*time.Minute)
	is.True(ran[0] >= 34 && ran[0] <= 37)
}

// TestFallingLimitRejectsAtOnce lowers the limit while requests are queued: those that can't
// start in time any more must be rejected at that moment, and the others must still run.
func TestFallingLimitRejectsAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	que := rankqueue.New(4, rankqueue.Policy{Limit: 64})
	que.SetLimit(now, 20)
	decisions := make(map[int]rankqueue.Decision)
	for number := range 20 {
		item := &rankqueue.Item{Rank: 1, Firm: "f", Deadline: now.Add(3 * time.Second), ExpectedDuration: 100 * time.Millisecond, OnDecision: func(dec rankqueue.Decision) { decisions[number] = dec }}
		is.Equal(que.Add(now, item), rankqueue.Wait)
	}
	que.SetLimit(now, 2)
	is.Equal(len(decisions), 15) // 5 of them start within 2.9 s.
	for number := range 15 {
		is.Equal(decisions[number+5], rankqueue.RejectDeadline)
	}
	for range 5 {
		wait, ok := que.NextStart(now)
		is.True(ok)
		now = now.Add(wait)
		que.Start(now)
		que.Release(now, 1, 100*time.Millisecond)
	}
	for number := range 5 {
		is.Equal(decisions[number], rankqueue.Run)
	}
	_, ok := que.NextStart(now)
	is.True(!ok)
}
