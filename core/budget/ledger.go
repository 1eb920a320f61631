package budget

import "time"

// cells is how many parts of its window a Ledger tells apart.
const cells = 20

// Policy is the budget of a service.
type Policy struct {
	// Window is the time over which first attempts and repeats are compared.
	Window time.Duration
	// Percent is how many repeats go with a hundred first attempts.
	Percent int
	// Slack is how many repeats a window may have besides, of all upstreams of
	// the service together.
	Slack float64
}

// Ledger compares the first attempts and the repeats that reach one upstream.
// Each upstream has its part of the slack, and the share of its own first
// attempts, so that all of them together keep the budget of the service in every
// window, without a message: a service has far fewer upstreams than there are
// daemons, and the parts of daemons would be too small to repeat anything.
//
// The load pattern that it answers: upstreams in bouts fail work that may be
// repeated, more than a daemon's own few requests a second would pay for.
//
// The zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	began time.Time
	// One cell more than the window has, as the oldest is in it in part.
	cells [cells + 1]cell
}

// cell is one part of the window.
type cell struct {
	number  int64
	firsts  int
	repeats int
	peers   int
}

// First notes a first attempt.
func (le *Ledger) First(now time.Time, policy Policy) {
	le.cell(now, policy).firsts++
}

// GiveBack takes back a repeat that did not reach the upstream.
func (le *Ledger) GiveBack(now time.Time, policy Policy) {
	le.cell(now, policy).repeats--
}

// Left returns how many repeats the upstream may still get, when the service has
// a number of upstreams.
func (le *Ledger) Left(now time.Time, policy Policy, peers int) int {
	current := le.cell(now, policy)
	current.peers = max(current.peers, peers, 1)
	firsts, repeats, most := 0, 0, 1
	for _, cel := range le.cells {
		age := current.number - cel.number
		if age > cells {
			continue
		}
		repeats += cel.repeats
		most = max(most, cel.peers)
		if age < cells {
			firsts += cel.firsts
		}
	}
	allowed := float64(policy.Percent*firsts)/100 + policy.Slack/float64(most)
	return max(int(allowed)-repeats, 0)
}

// Take notes a repeat, if the upstream may get one and a reserve is left.
func (le *Ledger) Take(now time.Time, policy Policy, peers, reserve int) bool {
	if le.Left(now, policy, peers) < 1+reserve {
		return false
	}
	le.cell(now, policy).repeats++
	return true
}

// cell returns the cell of a time, emptied if it held an earlier one.
func (le *Ledger) cell(now time.Time, policy Policy) *cell {
	if le.began.IsZero() {
		le.began = now
	}
	number := int64(now.Sub(le.began) / max(policy.Window/cells, 1))
	cel := &le.cells[number%int64(len(le.cells))]
	if cel.number != number {
		*cel = cell{number: number}
	}
	return cel
}
