package rankqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/loadfile"
	"cactusstream.example/core/rankqueue"
)

// targetLoad is an entry of testdata/targets.json: one kind of request, offered for
// some seconds at a multiple of the capacity of the slots.
type targetLoad struct {
	Slots          int     `json:"slots"`
	TargetMillis   int     `json:"targetMillis"`
	DeadlineMillis int     `json:"deadlineMillis"`
	WorkMillis     int     `json:"workMillis"`
	Load           float64 `json:"load"`
	// Urgent is the additional load of a more urgent rank.
	Urgent  float64 `json:"urgent"`
	Seconds float64 `json:"seconds"`
}

// targetResult holds the shares of the requests that completed before their deadline,
// that completed before their target, and that were rejected only after more than an
// eighth of their target.
type targetResult struct {
	served, onTime, rejectedLate float64
}

// replayTargets offers a load to a queue in virtual time. Without targets, the queue
// serves the requests of a rank in FIFO order.
func replayTargets(loa targetLoad, hasTargets bool) targetResult {
	type offeredRequest struct {
		rank    int
		item    *rankqueue.Item
		arrived time.Time
		ends    time.Time
	}
	rng := rand.New(rand.NewPCG(5, 8))
	start := time.Unix(1000, 0)
	target, deadline := time.Duration(loa.TargetMillis)*time.Millisecond, time.Duration(loa.DeadlineMillis)*time.Millisecond
	serviceTime := time.Duration(loa.WorkMillis) * time.Millisecond
	que := rankqueue.New(loa.Slots, rankqueue.Policy{Limit: 1000, Share: [rankqueue.RankCount]int{40, 20, 10, 5}})
	var res targetResult
	var running []*offeredRequest
	offered := 0.0
	begin := func(now *time.Time, re *offeredRequest) {
		decided := func(dec rankqueue.Decision) {
			switch {
			case dec == rankqueue.Run:
				re.ends = now.Add(time.Duration((0.5 + rng.Float64()) * float64(serviceTime)))
				running = append(running, re)
			case re.rank == 1 && now.Sub(re.arrived) > target/8:
				res.rejectedLate++
			}
		}
		re.item.OnDecision = decided
		if dec := que.Add(*now, re.item); dec != rankqueue.Wait {
			decided(dec)
		}
	}
	now := start
	next := [2]time.Time{start, start} // By rank.
	loads := [2]float64{loa.Urgent, loa.Load}
	for ; now.Before(start.Add(time.Duration(loa.Seconds*float64(time.Second)) + deadline)); now = now.Add(time.Millisecond) {
		for at := 0; at < len(running); at++ {
			re := running[at]
			if re.ends.After(now) {
				continue
			}
			running = append(running[:at], running[at+1:]...)
			at--
			if took := now.Sub(re.arrived); re.rank == 1 && took <= deadline {
				res.served++
				if took <= target {
					res.onTime++
				}
			}
			que.Release(now, re.rank, serviceTime)
		}
		for rank, load := range loads {
			for ; load > 0 && !next[rank].After(now) && now.Sub(start).Seconds() < loa.Seconds; next[rank] = next[rank].Add(time.Duration(rng.ExpFloat64() * float64(serviceTime) / float64(loa.Slots) / load)) {
				// Gates set ExpectedDuration to 1.2 times the median duration.
				re := &offeredRequest{rank: rank, arrived: now, item: &rankqueue.Item{Rank: rank, Deadline: now.Add(deadline), ExpectedDuration: serviceTime * 6 / 5}}
				if hasTargets {
					re.item.Target = now.Add(target)
				}
				if rank == 1 {
					offered++
				}
				begin(&now, re)
			}
		}
	}
	res.served /= offered
	res.onTime /= offered
	res.rejectedLate /= offered
	return res
}

// TestRequestsThatMeetTargetAreServedFirst replays testdata/targets.json with targets
// and without. It guards against overload that makes all responses late, as in FIFO
// order.
func TestRequestsThatMeetTargetAreServedFirst(t *testing.T) {
	is := is.New(t)
	loads, err := loadfile.Read[map[string]targetLoad]("testdata/targets.json")
	is.NoErr(err)
	for name, loa := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			withTargets, fifo := replayTargets(loa, true), replayTargets(loa, false)
			t.Logf("completed before the target: with targets %.3f, FIFO %.3f; before the deadline: with targets %.3f, FIFO %.3f; rejected late: with targets %.3f, FIFO %.3f", withTargets.onTime, fifo.onTime, withTargets.served, fifo.served, withTargets.rejectedLate, fifo.rejectedLate)
			is.True(withTargets.onTime >= fifo.onTime)
			is.True(withTargets.served >= 0.9*fifo.served)
			is.True(withTargets.rejectedLate <= 0.2*(1-withTargets.served)) // Four of five rejections are immediate.
			if loa.Load > 1 {
				is.True(withTargets.onTime >= 0.9*(1-loa.Urgent)/loa.Load) // 90 % of the capacity.
			}
		})
	}
}
