package rankqueue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/rankqueue"
)

func TestItemThatMissesDeadlineIsRejectedBeforeItGetsSlot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	que := rankqueue.New(1, rankqueue.Policy{Limit: 10})
	is.Equal(que.Add(now, &rankqueue.Item{Deadline: now.Add(time.Second), ExpectedDuration: 2 * time.Second}), rankqueue.RejectDeadline)
	is.Equal(que.Add(now, &rankqueue.Item{Deadline: now.Add(time.Second), ExpectedDuration: time.Second / 2}), rankqueue.Run)
	var decided rankqueue.Decision
	late := &rankqueue.Item{Deadline: now.Add(time.Second), ExpectedDuration: time.Second / 2, OnDecision: func(dec rankqueue.Decision) { decided = dec }}
	is.Equal(que.Add(now, late), rankqueue.Wait)
	que.Release(now.Add(700*time.Millisecond), 0, 700*time.Millisecond) // Too late for a request of half a second.
	is.Equal(decided, rankqueue.RejectDeadline)
	is.Equal(que.Running(), 0)
}

func TestFailedRequestsDoNotLowerWaitEstimate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	wait := func(failures int) time.Duration {
		que := rankqueue.New(1, rankqueue.Policy{Limit: 10})
		for range 50 {
			que.Add(now, &rankqueue.Item{Deadline: now.Add(time.Hour)})
			que.Release(now, 0, time.Second)
		}
		for range failures {
			que.Add(now, &rankqueue.Item{Deadline: now.Add(time.Hour)})
			que.Release(now, 0, 0)
		}
		for range 3 {
			que.Add(now, &rankqueue.Item{Deadline: now.Add(time.Hour), OnDecision: func(rankqueue.Decision) {}})
		}
		return que.EstimateWait(now, &rankqueue.Item{})
	}
	is.Equal(wait(100), wait(0))
	is.True(wait(0) > time.Second)
}

func TestRejectIf(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	que := rankqueue.New(1, rankqueue.Policy{Limit: 100})
	decisions := make(map[string]rankqueue.Decision)
	add := func(attempt, firm string, rank int, isLastResort bool) {
		que.Add(now, &rankqueue.Item{AttemptID: attempt, Firm: firm, Rank: rank, LastResort: isLastResort, Deadline: now.Add(time.Hour), OnDecision: func(dec rankqueue.Decision) { decisions[attempt] = dec }})
	}
	add("running", "f", 0, true)
	add("a", "f", 1, true)
	add("b", "f", 1, false)
	add("c", "g", 2, true)
	add("d", "f", 1, true)
	que.RejectIf(rankqueue.RejectSuspected, func(item *rankqueue.Item) bool { return item.LastResort })
	is.Equal(decisions, map[string]rankqueue.Decision{"a": rankqueue.RejectSuspected, "c": rankqueue.RejectSuspected, "d": rankqueue.RejectSuspected})
	que.Release(now, 0, time.Millisecond)
	is.Equal(decisions["b"], rankqueue.Run)
}

func TestWaitEstimateBeforeFirstCompletion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	que := rankqueue.New(2, rankqueue.Policy{Limit: 100})
	for range 22 {
		que.Add(now, &rankqueue.Item{Deadline: now.Add(time.Hour), OnDecision: func(rankqueue.Decision) {}})
	}
	is.True(que.EstimateWait(now, &rankqueue.Item{}) > time.Second) // Twenty are queued for two slots, and none has completed yet.
	que.Release(now, 0, time.Minute)
	is.True(que.EstimateWait(now, &rankqueue.Item{}) > 5*time.Minute) // The first completed request replaces the default.
}

// TestFloodOfUrgentRequestsLeavesShare guards against a rank that gets nothing while
// more urgent requests flood the upstream, as when a service receives part of the
// traffic split of another one: a wait estimate that counts all of the flood would
// reject every request of the rank.
func TestFloodOfUrgentRequestsLeavesShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	que := rankqueue.New(5, rankqueue.Policy{Limit: 1000, Share: [rankqueue.RankCount]int{40, 20, 10, 5}})
	decided := make(map[int]int)
	add := func(rank int) rankqueue.Decision {
		return que.Add(now, &rankqueue.Item{Rank: rank, Deadline: now.Add(4 * time.Second), OnDecision: func(dec rankqueue.Decision) {
			if dec == rankqueue.Run {
				decided[rank]++
			}
		}})
	}
	admitted := 0
	for range 2000 { // A slot is released every 100 ms; requests take half a second.
		now = now.Add(100 * time.Millisecond)
		for range 3 {
			add(1)
		}
		if dec := add(2); dec == rankqueue.Wait || dec == rankqueue.Run {
			admitted++
		}
		if que.Running() == 5 {
			que.Release(now, 0, 500*time.Millisecond)
		}
	}
	total := decided[1] + decided[2]
	t.Logf("rank 2 got %d of %d slots, %d of its requests were admitted", decided[2], total, admitted)
	is.True(float64(decided[2]) >= 0.08*float64(total)) // Its share is 10 %.
}

func TestDefaultServiceTimeRejectsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	que := rankqueue.New(3, rankqueue.Policy{Limit: 100})
	for range 60 { // They arrive before any request has completed; each takes 2 ms.
		dec := que.Add(now, &rankqueue.Item{Rank: 1, Deadline: now.Add(5 * time.Second), OnDecision: func(rankqueue.Decision) {}})
		is.True(dec == rankqueue.Run || dec == rankqueue.Wait)
	}
}
