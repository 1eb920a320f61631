package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/member"
)

// TestDeparturesSurviveTheirDaemon ends a daemon shortly after an upstream on its VM has
// left and starts it again, with and without loss of packets. The other daemons must
// hold the departure all the while, and the daemon must not lose those of earlier starts
// when it reports new ones.
func TestDeparturesSurviveTheirDaemon(t *testing.T) {
	for _, lossRate := range []float64{0, 0.2} {
		for _, downtime := range []time.Duration{50 * time.Millisecond, 2 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("loss=%g/downtime=%s", lossRate, downtime), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(uint64(downtime))
				sim.lossRate = lossRate
				for number := range 20 {
					sim.start(fmt.Sprintf("d%03d", number), 1)
				}
				sim.run(10 * time.Second)
				var want []member.Departure
				for number := range 3 {
					want = append(want, member.Departure{ID: "u", StartedMS: int64(number)})
					node := sim.nodes["d000"]
					sim.send("d000", node.table.SetUpstreams(sim.now, nil, want[number:]))
					sim.run(300 * time.Millisecond)
					delete(sim.nodes, "d000")
					sim.run(downtime)
					sim.nodes["d000"] = node // So that start doesn't add it to the order again.
					sim.start("d000", 1)
					sim.run(2 * time.Second) // It has to know a peer before it can tell one.
					for _, id := range sim.order[1:] {
						is.Equal(sim.nodes[id].table.DepartedFrom("d000"), want) // At id.
					}
				}
			})
		}
	}
}

func TestMergeDeparturesKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	dep := func(number int) member.Departure { return member.Departure{ID: fmt.Sprint(number), StartedMS: 1} }
	var merged []member.Departure
	for number := range 2 * member.MaxDepartures {
		merged = member.MergeDepartures(merged, []member.Departure{dep(number), dep(number)})
		merged = member.MergeDepartures(merged, merged)
		is.Equal(merged[len(merged)-1], dep(number))
	}
	is.Equal(len(merged), member.MaxDepartures)
	is.Equal(merged[0], dep(member.MaxDepartures))
}
