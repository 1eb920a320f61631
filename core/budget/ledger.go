package budget

import (
	"time"

	"cactusstream.example/core/rankqueue"
)

const (
	// bucketCount is the number of time buckets in the sliding window of a Ledger.
	bucketCount = 20
	// TrialReserve is the number of retries reserved for failed trial requests: one
	// for the trial request itself, and one for a request that fails by chance.
	TrialReserve = 2
	// maxUrgentShare is the largest share of the budget that is reserved for more
	// urgent ranks. The reserve equals the retries that they requested within the
	// window. Without it, less urgent requests use up the budget when upstreams
	// reject a part of all requests.
	maxUrgentShare = 0.5
)

// Policy is the retry budget of a service.
type Policy struct {
	// Window is the length of the window in which retries are limited to a share of
	// the first attempts.
	Window time.Duration
	// Percent is the number of retries allowed for each 100 first attempts.
	Percent int
	// Slack is the number of additional retries allowed in a window, over all
	// upstreams of the service together.
	Slack float64
	// Upstreams is the number of upstreams that share Slack. 0 means 1.
	Upstreams int
}

// Ledger counts the first attempts and the retries that reach one upstream in a
// sliding window, and admits retries up to the budget. Each upstream has an equal
// part of the slack and a share of its own first attempts, so that all upstreams
// together keep to the budget of the service in every window without exchanging
// messages. The budget is split by upstream and not by daemon, because a service
// has far fewer upstreams than the fleet has daemons, and the part of one daemon
// would be too small for any retry.
//
// It is made for failure bursts, in which upstreams fail more retryable requests
// than the few requests a second of a single daemon would pay for.
//
// A part of the budget is reserved for retries of failed trial requests, and for
// more urgent ranks that need retries.
//
// The zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	began time.Time
	// One more than bucketCount, because the oldest bucket is partly in the window.
	buckets [bucketCount + 1]bucket
}

// bucket holds the counts of one part of the window.
type bucket struct {
	// index is the number of bucket lengths since Ledger.began.
	index         int64
	firstAttempts int
	retries       int
	// upstreams is the largest Policy.Upstreams seen.
	upstreams int
	// requested counts the retries requested by each rank.
	requested [rankqueue.RankCount]int
}

// Retry describes a retry for which a budget is checked.
type Retry struct {
	Rank int
	// AfterTrial is set if the previous attempt was a trial request.
	AfterTrial bool
}

// CountFirst counts a first attempt.
func (le *Ledger) CountFirst(now time.Time, policy Policy) {
	le.bucket(now, policy).firstAttempts++
}

// Release releases a retry that was admitted at the given time and did not reach
// the upstream. It does nothing if that time has left the window.
func (le *Ledger) Release(admittedAt time.Time, policy Policy) {
	if b, index := le.locate(admittedAt, policy); b.index == index {
		b.retries--
	}
}

// Left returns the number of retries that the upstream may still receive.
func (le *Ledger) Left(now time.Time, policy Policy) int {
	return le.sum(now, policy).left()
}

// Allows reports whether the budget allows a retry, without counting it.
func (le *Ledger) Allows(now time.Time, policy Policy, retry Retry) bool {
	return le.sum(now, policy).allows(retry)
}

// Admit counts a retry and reports true if the budget allows it.
func (le *Ledger) Admit(now time.Time, policy Policy, retry Retry) bool {
	le.bucket(now, policy).requested[retry.Rank]++
	if !le.Allows(now, policy, retry) {
		return false
	}
	le.bucket(now, policy).retries++
	return true
}

// windowTotal holds the sums of a window.
type windowTotal struct {
	// allowed is the number of retries that the policy allows in the window.
	allowed   float64
	retries   int
	requested [rankqueue.RankCount]int
}

func (wi windowTotal) left() int {
	return max(int(wi.allowed)-wi.retries, 0)
}

func (wi windowTotal) allows(retry Retry) bool {
	urgent := 0
	for _, count := range wi.requested[:retry.Rank] {
		urgent += count
	}
	reserved := min(float64(urgent), maxUrgentShare*wi.allowed)
	if !retry.AfterTrial {
		reserved += TrialReserve
	}
	return float64(wi.left())-reserved >= 1
}

// sum adds up the buckets of the window. Of the oldest one, which is only partly
// in the window, it counts the retries but not the first attempts, so that the
// sum never allows too many retries. It divides the slack by the largest number of
// upstreams seen within the window: while the fleet is partitioned, an upstream sees
// fewer of them, and the larger part must not add to what the others used before.
func (le *Ledger) sum(now time.Time, policy Policy) windowTotal {
	current := le.bucket(now, policy)
	current.upstreams = max(current.upstreams, policy.Upstreams)
	var total windowTotal
	firstAttempts, maxUpstreams := 0, 1
	for _, b := range le.buckets {
		age := current.index - b.index
		if age > bucketCount {
			continue
		}
		total.retries += b.retries
		for rank, count := range b.requested {
			total.requested[rank] += count
		}
		maxUpstreams = max(maxUpstreams, b.upstreams)
		if age < bucketCount {
			firstAttempts += b.firstAttempts
		}
	}
	total.allowed = float64(policy.Percent*firstAttempts)/100 + policy.Slack/float64(maxUpstreams)
	return total
}

// bucket returns the bucket of now, and resets it first if it holds the counts of
// an earlier time.
func (le *Ledger) bucket(now time.Time, policy Policy) *bucket {
	b, index := le.locate(now, policy)
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

// locate returns the bucket into which now falls and the index of now. The bucket
// holds the counts of another time if its own index differs.
func (le *Ledger) locate(now time.Time, policy Policy) (b *bucket, index int64) {
	if le.began.IsZero() {
		le.began = now
	}
	index = int64(now.Sub(le.began) / max(policy.Window/bucketCount, 1))
	return &le.buckets[index%int64(len(le.buckets))], index
}
