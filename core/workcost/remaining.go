package workcost

import (
	"math"
	"time"
)

// waitSteps is the number of bisections in Wait: to a millionth of the upper bound.
const waitSteps = 20

// Wait returns the expected time until a request gets a slot, when all slots are in use.
// rests holds the expected remaining times of the running requests, one for each slot,
// ahead the work of the queued requests that are served before, and typical the usual
// work of one of them.
//
// Each running request is taken to end at a rate of 1/rest. A slot that becomes free
// works on what is queued. A request that will hold its slot for long so counts for
// little, instead of for a large part of the sum of the work. When all rests are typical,
// the result is (ahead + typical) / slots.
func Wait(rests []time.Duration, ahead, typical time.Duration) time.Duration {
	if len(rests) == 0 || typical <= 0 {
		return 0
	}
	needed := (ahead + typical).Seconds()
	longest := typical
	for _, rest := range rests {
		longest = max(longest, rest)
	}
	low, high := 0.0, 2*needed+2*longest.Seconds()
	for range waitSteps {
		middle := (low + high) / 2
		if workUntil(middle, rests, typical.Seconds()) < needed {
			low = middle
		} else {
			high = middle
		}
	}
	return seconds(high)
}

// workUntil returns the work that slots have taken on after a time, in seconds: that of
// the requests that took a slot of a running one, and what was then worked off.
func workUntil(after float64, rests []time.Duration, typical float64) float64 {
	sum := 0.0
	for _, rest := range rests {
		left := max(rest.Seconds(), minWork)
		sum += after + (typical-left)*(1-math.Exp(-after/left))
	}
	return sum
}
