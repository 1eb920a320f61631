package member_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// TestSimulationRepeats runs the same fleet several times. A table whose random choices
// depend on the iteration order of a map would make the tests of this package flaky.
func TestSimulationRepeats(t *testing.T) {
	is := is.New(t)
	var want []simMessage
	for run := range 5 {
		sim := newSimulation(10)
		sim.lossRate = 0.2
		for number := range 20 {
			sim.start(fmt.Sprintf("d%03d", number), 1)
		}
		var sent []simMessage
		for range 200 {
			sim.run(simTick)
			sent = append(sent, sim.inFlight...)
		}
		if run == 0 {
			want = sent
		}
		is.True(len(sent) > 1000)
		is.True(reflect.DeepEqual(sent, want))
	}
}
