package rankqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/rankqueue"
)

// TestOrganisationRankTakesPrecedence guards against an urgent kind of a less urgent
// organisation being served before the others, and against one organisation delaying
// others of its rank.
func TestOrganisationRankTakesPrecedence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	que := rankqueue.New(1, policy)
	var order []string
	add := func(organisationRank, rank int, firm string) rankqueue.Decision {
		item := &rankqueue.Item{OrganisationRank: organisationRank, Rank: rank, Firm: firm, Deadline: now.Add(time.Hour)}
		item.OnDecision = func(dec rankqueue.Decision) {
			is.Equal(dec, rankqueue.Run)
			order = append(order, fmt.Sprintf("%d/%d/%s", organisationRank, rank, firm))
		}
		return que.Add(now, item)
	}
	is.Equal(add(0, 0, ""), rankqueue.Run)
	for range 2 {
		for _, firm := range []string{"a", "a", "b"} {
			is.Equal(add(1, 1, firm), rankqueue.Wait)
		}
	}
	is.Equal(add(2, 0, "c"), rankqueue.Wait)
	is.Equal(add(1, 0, "d"), rankqueue.Wait)
	is.Equal(add(0, 3, ""), rankqueue.Wait)
	is.Equal(que.Waiting(), [rankqueue.RankCount]int{2, 6, 0, 1})
	for range 9 {
		que.Release(now, 0, 0)
	}
	is.Equal(strings.Join(order, ","), "0/3/,1/0/d,1/1/a,1/1/b,1/1/a,1/1/b,1/1/a,1/1/a,2/0/c")
}

// TestCancelFindsItemsOfOrganisations guards against a withdrawn request that keeps its
// place in the queue.
func TestCancelFindsItemsOfOrganisations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	que := rankqueue.New(1, policy)
	is.Equal(que.Add(now, &rankqueue.Item{Deadline: now.Add(time.Hour)}), rankqueue.Run)
	onTime := &rankqueue.Item{OrganisationRank: 3, Rank: 2, Firm: "a", Deadline: now.Add(time.Hour)}
	late := &rankqueue.Item{OrganisationRank: 1, Rank: 1, Firm: "a", Deadline: now.Add(time.Hour), Target: now.Add(-time.Second)}
	for _, item := range []*rankqueue.Item{onTime, late} {
		is.Equal(que.Add(now, item), rankqueue.Wait)
		is.True(que.Cancel(now, item))
		is.True(!que.Cancel(now, item))
	}
	is.Equal(que.Waiting(), [rankqueue.RankCount]int{})
}

// offer is the demand of one rank of organisations, as a share of the capacity.
type offer struct {
	organisationRank int
	share            float64
}

// servedShares offers requests of four organisations of each rank for a minute, and
// returns the least share that was served of the requests of an organisation, by rank, and
// the share of all requests.
func servedShares(offers []offer) (byRank map[int]float64, all float64) {
	rng := rand.New(rand.NewPCG(5, 7))
	start := time.Unix(1000, 0)
	que := rankqueue.New(slots, policy)
	capacity := float64(slots) / serviceTime.Seconds()
	type running struct {
		class int
		ends  time.Time
	}
	var busy []running
	offered, served := make(map[string]float64), make(map[string]float64)
	now := start
	for ; now.Sub(start) < time.Minute; now = now.Add(step) {
		begin := func(item *rankqueue.Item) {
			busy = append(busy, running{item.Class(), now.Add(time.Duration(rng.ExpFloat64() * float64(serviceTime)))})
			served[item.Firm]++
		}
		var ended []running
		busy = slices.DeleteFunc(busy, func(ru running) bool {
			if ru.ends.After(now) {
				return false
			}
			ended = append(ended, ru)
			return true
		})
		for _, ru := range ended {
			que.Release(now, ru.class, serviceTime)
		}
		for _, of := range offers {
			for arrivals := rng.Float64(); arrivals < of.share*capacity*step.Seconds(); arrivals++ {
				item := &rankqueue.Item{OrganisationRank: of.organisationRank, Rank: rng.IntN(3), Firm: fmt.Sprintf("%d-%d", of.organisationRank, rng.IntN(4)), Deadline: now.Add(time.Second)}
				item.OnDecision = func(dec rankqueue.Decision) {
					if dec == rankqueue.Run {
						begin(item)
					}
				}
				offered[item.Firm]++
				if que.Add(now, item) == rankqueue.Run {
					begin(item)
				}
			}
		}
	}
	byRank = make(map[int]float64)
	var sumOffered, sumServed float64
	for firm, count := range offered {
		var rank int
		_, _ = fmt.Sscanf(firm, "%d-", &rank)
		share := served[firm] / count
		if least, known := byRank[rank]; !known || share < least {
			byRank[rank] = share
		}
		sumOffered += count
		sumServed += served[firm]
	}
	return byRank, sumServed / sumOffered
}

// tolerance is the difference between ranks that both get no more than they are
// guaranteed, as a share of their requests.
const tolerance = 0.03

// TestNoOrganisationStarves overloads an upstream with requests of several ranks. Each
// organisation must be served at least a quarter as often as all requests, and a more
// urgent rank better than a less urgent one.
func TestNoOrganisationStarves(t *testing.T) {
	for _, offers := range [][]offer{
		{{0, 1.5}, {1, 0.2}},
		{{0, 1.2}, {1, 0.6}},
		{{0, 1.0}, {1, 1.0}},
		{{0, 1.0}, {1, 0.3}, {2, 0.3}, {3, 0.2}},
		{{0, 2.5}, {2, 0.3}},
		{{1, 1.5}, {2, 0.3}},
		{{0, 0.4}, {1, 1.5}},
	} {
		byRank, all := servedShares(offers)
		t.Logf("%v: served by rank %v, of all %.2f", offers, byRank, all)
		for rank, share := range byRank {
			if share < all/4 {
				t.Errorf("%v: an organisation of rank %d is served %.2f, all %.2f", offers, rank, share, all)
			}
			for other, better := range byRank {
				if other < rank && better < share-tolerance {
					t.Errorf("%v: rank %d is served less (%.2f) than rank %d (%.2f)", offers, other, better, rank, share)
				}
			}
		}
	}
}
