package budget

import (
	"time"

	"cactusstream.example/core/rankqueue"
)

const (
	// cells is how many parts of its window a Ledger tells apart.
	cells = 20
	// TrialReserve is how many repeats are kept for trials that fail: their own, and
	// one for work that fails by chance.
	TrialReserve = 2
	// urgentShare of the budget at most is kept for more urgent ranks, as much as
	// they asked for lately: where upstreams refuse part of all work, less urgent
	// work would use it up.
	urgentShare = 0.5
)

// Policy is the budget of a service.
type Policy struct {
	// Window is the time over which first attempts and repeats are compared.
	Window time.Duration
	// Percent is how many repeats go with a hundred first attempts.
	Percent int
	// Slack is how many repeats a window may have besides, of all upstreams of
	// the service together.
	Slack float64
	// Peers is how many upstreams share the slack; 0 stands for one.
	Peers int
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
// A part of the budget is kept for repeats after trials, and for more urgent ranks
// that need repeats.
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
	// asked counts the repeats that each rank asked for.
	asked [rankqueue.RankCount]int
}

// Repeat is what the budget must know of a repeat.
type Repeat struct {
	Rank int
	// AfterTrial says that the attempt before was a trial.
	AfterTrial bool
}

// First notes a first attempt.
func (le *Ledger) First(now time.Time, policy Policy) {
	le.cell(now, policy).firsts++
}

// GiveBack takes back a repeat that was taken at a time and did not reach the
// upstream. One that the window has passed over counts no more in any case.
func (le *Ledger) GiveBack(taken time.Time, policy Policy) {
	if cel, number := le.at(taken, policy); cel.number == number {
		cel.repeats--
	}
}

// Left returns how many repeats the upstream may still get.
func (le *Ledger) Left(now time.Time, policy Policy) int {
	return le.sum(now, policy).left()
}

// May says whether the upstream may get a repeat.
func (le *Ledger) May(now time.Time, policy Policy, rep Repeat) bool {
	return le.sum(now, policy).may(rep)
}

// Take notes a repeat, if the upstream may get it.
func (le *Ledger) Take(now time.Time, policy Policy, rep Repeat) bool {
	le.cell(now, policy).asked[rep.Rank]++
	if !le.May(now, policy, rep) {
		return false
	}
	le.cell(now, policy).repeats++
	return true
}

// total is what a window holds.
type total struct {
	allowed float64
	repeats int
	asked   [rankqueue.RankCount]int
}

func (to total) left() int {
	return max(int(to.allowed)-to.repeats, 0)
}

func (to total) may(rep Repeat) bool {
	urgent := 0
	for _, count := range to.asked[:rep.Rank] {
		urgent += count
	}
	kept := min(float64(urgent), urgentShare*to.allowed)
	if !rep.AfterTrial {
		kept += TrialReserve
	}
	return float64(to.left())-kept >= 1
}

// sum adds up the cells of the window. The oldest, which is in it in part, counts
// for repeats only.
func (le *Ledger) sum(now time.Time, policy Policy) total {
	current := le.cell(now, policy)
	current.peers = max(current.peers, policy.Peers)
	var to total
	firsts, most := 0, 1
	for _, cel := range le.cells {
		age := current.number - cel.number
		if age > cells {
			continue
		}
		to.repeats += cel.repeats
		for rank, count := range cel.asked {
			to.asked[rank] += count
		}
		most = max(most, cel.peers)
		if age < cells {
			firsts += cel.firsts
		}
	}
	to.allowed = float64(policy.Percent*firsts)/100 + policy.Slack/float64(most)
	return to
}

// cell returns the cell of a time, emptied if it held an earlier one.
func (le *Ledger) cell(now time.Time, policy Policy) *cell {
	cel, number := le.at(now, policy)
	if cel.number != number {
		*cel = cell{number: number}
	}
	return cel
}

// at returns the cell that a time falls into, whatever it holds now, and the number
// that it has if it holds that time.
func (le *Ledger) at(now time.Time, policy Policy) (cel *cell, number int64) {
	if le.began.IsZero() {
		le.began = now
	}
	number = int64(now.Sub(le.began) / max(policy.Window/cells, 1))
	return &le.cells[number%int64(len(le.cells))], number
}
