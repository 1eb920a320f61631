package workcost_test

import (
	"testing"
	"time"

	"cactusstream.example/core/workcost"
)

// BenchmarkEstimate measures what a gate does for a wait estimate of an upstream with five
// slots in use: the expectation, five remaining times and the wait.
func BenchmarkEstimate(b *testing.B) {
	est, now := newEstimator(), epoch
	class := workcost.Class{Kind: "k", Organisation: "o", Size: 2, Shape: 7}
	now = observe(est, now, class, 300*ms, 100)
	var rests []time.Duration
	for b.Loop() {
		exp := est.Expect(now, class)
		_ = exp.Likely()
		rests = rests[:0]
		for i := range 5 {
			rests = append(rests, est.Rest(exp, time.Duration(i)*50*ms))
		}
		_ = workcost.Wait(rests, 600*ms, exp.Mean)
	}
}
