package gate_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/clock"
	"cactusstream.example/core/outcome"
)

// TestGateServesUrgentOrganisationsFirst queues requests in front of a busy upstream. It
// guards against a gate that passes on the rank of the kind alone, in the order of the
// slots as well as in its wait estimates.
func TestGateServesUrgentOrganisationsFirst(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var order []string
	release := make(chan struct{})
	address := serveUpstream(t, func(wr http.ResponseWriter, req *http.Request) {
		mu.Lock()
		order = append(order, req.Header.Get("X-Name"))
		mu.Unlock()
		if req.Header.Get("X-Name") == "first" {
			<-release
		}
		wr.Header().Set("Cactus-Attempt", req.Header.Get("Cactus-Attempt"))
	})
	ga := newGate(clock.Real{})
	announce(t, ga, address, 1)
	var group sync.WaitGroup
	send := func(name string, organisationRank, rank int) {
		run := request(name, true)
		run.Header = wire.Header{"X-Name": {name}}
		run.OrganisationRank, run.Rank, run.Firm, run.Remaining = organisationRank, rank, name, 20*time.Second
		group.Go(func() {
			if answer := ga.Run(context.Background(), run); answer.Outcome != outcome.Ran {
				t.Errorf("%s: %+v", name, answer)
			}
		})
	}
	waitFor := func(running, queued int) {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
			load := ga.EstimateWait(wire.WaitEstimateRequest{Upstream: "u", Kind: "k"}).Load
			if load.Running == running && load.Queued == queued {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("running %d, queued %d", load.Running, load.Queued)
			}
		}
	}
	send("first", 0, 0)
	waitFor(1, 0)
	for index, item := range []struct {
		name                   string
		organisationRank, rank int
	}{{"slow", 3, 0}, {"customer", 1, 3}, {"customer's order", 1, 0}, {"internal", 0, 3}} {
		send(item.name, item.organisationRank, item.rank)
		waitFor(1, index+1)
	}
	estimate := func(organisationRank int) time.Duration {
		return ga.EstimateWait(wire.WaitEstimateRequest{Upstream: "u", Kind: "k", Rank: 0, OrganisationRank: organisationRank}).Wait
	}
	is.True(estimate(0) < estimate(3))
	close(release)
	group.Wait()
	is.Equal(order, []string{"first", "internal", "customer's order", "customer", "slow"})
}
