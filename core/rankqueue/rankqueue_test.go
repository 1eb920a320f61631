package rankqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/rankqueue"
)

var policy = rankqueue.Policy{Limit: 64, Share: [rankqueue.RankCount]int{40, 20, 10, 5}}

// load is the arrival rate by rank, as a share of the capacity.
type load [rankqueue.RankCount]float64

// result holds, by rank, the share of the offered requests that a queue served, and
// the 99th percentile of the wait.
type result struct {
	served [rankqueue.RankCount]float64
	// requested and slots are the shares of the capacity that each rank asked for
	// and got.
	requested [rankqueue.RankCount]float64
	slots     [rankqueue.RankCount]float64
	waitP99   [rankqueue.RankCount]time.Duration
}

const (
	slots       = 5
	serviceTime = 20 * time.Millisecond
	step        = time.Millisecond
)

type request struct {
	rank    int
	firm    string
	arrived time.Time
	ends    time.Time
	item    *rankqueue.Item
}

// simulate offers a load to a queue for a minute of virtual time. Every request has a
// deadline of a second. If nextToRun is not nil, it replaces the queue: it removes the
// next request to run from a list of waiting ones.
func simulate(lo load, nextToRun func(*[]*request) *request) result {
	rng := rand.New(rand.NewPCG(3, 3))
	start := time.Unix(1000, 0)
	que := rankqueue.New(slots, policy)
	var running, waiting []*request
	var offered, started [rankqueue.RankCount]float64
	var waits [rankqueue.RankCount][]time.Duration
	var now time.Time
	begin := func(re *request) {
		re.ends = now.Add(time.Duration(rng.ExpFloat64() * float64(serviceTime)))
		running = append(running, re)
		started[re.rank]++
		waits[re.rank] = append(waits[re.rank], now.Sub(re.arrived))
	}
	capacity := float64(slots) / serviceTime.Seconds()
	for now = start; now.Sub(start) < time.Minute; now = now.Add(step) {
		var ended []*request
		running = slices.DeleteFunc(running, func(re *request) bool {
			if re.ends.After(now) {
				return false
			}
			ended = append(ended, re)
			return true
		})
		for _, re := range ended {
			if nextToRun == nil {
				que.Release(now, re.rank, serviceTime)
				continue
			}
			for len(running) < slots && len(waiting) > 0 {
				if next := nextToRun(&waiting); next.arrived.Add(time.Second).After(now) {
					begin(next)
				}
			}
		}
		for rank, share := range lo {
			for arrivals := rng.Float64(); arrivals < share*capacity*step.Seconds(); arrivals++ {
				offered[rank]++
				re := &request{rank: rank, firm: fmt.Sprint(rng.IntN(20)), arrived: now}
				if nextToRun != nil {
					if len(running) < slots {
						begin(re)
					} else if len(waiting) < policy.Limit {
						waiting = append(waiting, re)
					}
					continue
				}
				re.item = &rankqueue.Item{Rank: rank, Firm: re.firm, Deadline: now.Add(time.Second), OnDecision: func(dec rankqueue.Decision) {
					if dec == rankqueue.Run {
						begin(re)
					}
				}}
				if que.Add(now, re.item) == rankqueue.Run {
					begin(re)
				}
			}
		}
	}
	var res result
	for rank := range lo {
		if offered[rank] > 0 {
			res.served[rank] = started[rank] / offered[rank]
			res.requested[rank] = offered[rank] / (capacity * time.Minute.Seconds())
			res.slots[rank] = started[rank] / (capacity * time.Minute.Seconds())
			slices.Sort(waits[rank])
			if len(waits[rank]) > 0 {
				res.waitP99[rank] = waits[rank][len(waits[rank])*99/100]
			}
		}
	}
	return res
}

func firstInFirstOut(waiting *[]*request) *request {
	next := (*waiting)[0]
	*waiting = (*waiting)[1:]
	return next
}

func strictPriority(waiting *[]*request) *request {
	best := 0
	for i, re := range *waiting {
		if re.rank < (*waiting)[best].rank {
			best = i
		}
	}
	next := (*waiting)[best]
	*waiting = slices.Delete(*waiting, best, best+1)
	return next
}

// TestFloods guards against a flood of one rank that takes the slots of others. It
// compares the queue with FIFO and strict priority; docs/design/ranks.md has the table.
func TestFloods(t *testing.T) {
	base := load{0.1, 0.1, 0.15, 0.1}
	for _, times := range []float64{0.5, 1, 2, 10} {
		for _, flooding := range []int{3, 0} {
			lo := base
			lo[flooding] = max(times-0.35, 0.1) // The other ranks ask for 0.35.
			ranked, fifo, strict := simulate(lo, nil), simulate(lo, firstInFirstOut), simulate(lo, strictPriority)
			t.Logf("%.1f times capacity, rank %d floods: served by rank queue %.2f, FIFO %.2f, strict priority %.2f; p99 wait of rank 0 %s, %s, %s",
				times, flooding, ranked.served, fifo.served, strict.served,
				ranked.waitP99[0].Round(time.Millisecond), fifo.waitP99[0].Round(time.Millisecond), strict.waitP99[0].Round(time.Millisecond))
			checkFlood(t, lo, flooding, ranked)
		}
	}
}

// checkFlood checks that the other ranks get the slots that they ask for, up to their
// share, or without that limit if the flood is of the least urgent rank.
func checkFlood(t *testing.T, lo load, flooding int, ranked result) {
	t.Helper()
	for rank := range rankqueue.RankCount {
		if rank == flooding {
			continue
		}
		want := min(ranked.requested[rank], float64(policy.Share[rank])/100)
		if flooding == 3 {
			want = ranked.requested[rank]
		}
		if ranked.slots[rank] < 0.95*want {
			t.Errorf("load %v: rank %d gets %.3f of the slots, want %.3f", lo, rank, ranked.slots[rank], want)
		}
	}
	if flooding == 3 && ranked.waitP99[0] > 2*serviceTime {
		t.Errorf("load %v: p99 wait of rank 0 is %s while rank 3 floods", lo, ranked.waitP99[0])
	}
}

func TestFirmsTakeTurns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	que := rankqueue.New(1, policy)
	var order []string
	add := func(firm string) {
		que.Add(now, &rankqueue.Item{Rank: 1, Firm: firm, Deadline: now.Add(time.Hour), OnDecision: func(dec rankqueue.Decision) {
			if dec == rankqueue.Run {
				order = append(order, firm)
			}
		}})
	}
	for range 10 {
		add("flooding")
	}
	add("quiet")
	que.Release(now, 0, serviceTime)
	que.Release(now, 0, serviceTime)
	is.Equal(order, []string{"flooding", "quiet"})
}

// TestDecidedExactlyOnce checks, with random operations, that the queue never exceeds
// its slots and decides each item once.
func TestDecidedExactlyOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 1))
	now := time.Unix(1, 0)
	for round := range 200 {
		que := rankqueue.New(3, rankqueue.Policy{Limit: 8, Share: policy.Share})
		running, decided, waiting := 0, make(map[int]int), make(map[int]*rankqueue.Item)
		for number := range 300 {
			now = now.Add(time.Millisecond)
			switch rng.IntN(3) {
			case 0, 1:
				item := &rankqueue.Item{Rank: rng.IntN(4), Firm: fmt.Sprint(rng.IntN(3)), Deadline: now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)}
				item.OnDecision = func(dec rankqueue.Decision) {
					decided[number]++
					delete(waiting, number)
					if dec == rankqueue.Run {
						running++
					}
				}
				switch que.Add(now, item) {
				case rankqueue.Run:
					running++
				case rankqueue.Wait:
					waiting[number] = item
				}
			case 2:
				if running > 0 {
					running--
					que.Release(now, 0, time.Millisecond)
				}
			}
			if running > 3 || running != que.Running() {
				t.Fatalf("round %d: %d running, the queue reports %d", round, running, que.Running())
			}
		}
		for number, item := range waiting {
			if !que.Cancel(now, item) || que.Cancel(now, item) {
				t.Fatalf("round %d: item %d can't be cancelled exactly once", round, number)
			}
		}
		for number, times := range decided {
			if times != 1 {
				t.Fatalf("round %d: item %d was decided %d times", round, number, times)
			}
		}
	}
}

// BenchmarkManyFirms shows that the memory of a queue depends on the queued items, not
// on the number of firms seen so far.
func BenchmarkManyFirms(b *testing.B) {
	now := time.Unix(1, 0)
	que := rankqueue.New(5, policy)
	firms := make([]string, 20000)
	for i := range firms {
		firms[i] = fmt.Sprintf("firm%d", i)
	}
	b.ReportAllocs()
	at := 0
	for b.Loop() {
		at++
		que.Add(now, &rankqueue.Item{Rank: at % 4, Firm: firms[at%len(firms)], Deadline: now.Add(time.Hour), OnDecision: func(rankqueue.Decision) {}})
		if at%2 == 0 && que.Running() > 0 {
			que.Release(now, 0, serviceTime)
		}
	}
}
