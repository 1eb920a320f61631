package quota

import (
	"maps"
	"slices"
	"time"
)

// Preview is the verdict that a request would get now.
type Preview struct {
	Verdict Verdict
	// Uncertain means that a holder that a request would ask can't tell what it would
	// answer, as it runs an older program, and that the others don't admit the request.
	Uncertain bool
}

// Level is what the holders of an organisation's quota have.
type Level struct {
	Organisation string
	// PerSecond and Depth are the rate and the depth of each holder's bucket, as the
	// asking daemon computes them.
	PerSecond float64
	Depth     float64
	Holders   []HolderLevel
}

// HolderLevel is what one holder has.
type HolderLevel struct {
	Daemon string
	Zone   string
	// Answered is false if what the holder has is unknown. Note says why, or that it
	// holds nothing now.
	Answered bool
	Note     string
	// Left is the number of tokens in the bucket, and RetryAfter when the next one is
	// expected if it has none.
	Left       float64
	RetryAfter time.Duration
}

// Sum returns what the holders that answered have together, and their number.
func (le Level) Sum() (left float64, answered int) {
	for _, ho := range le.Holders {
		if ho.Answered {
			left += ho.Left
			answered++
		}
	}
	return left, answered
}

// Holders returns the daemons that hold the quota of an organisation, as this daemon sees
// it, with the rate and the depth of each one's bucket.
func (no *Node) Holders(ask Ask) (members []Member, perSecond, depth float64) {
	sh := shareOf(Limit{PerSecond: ask.PerSecond, Burst: ask.Burst}, len(no.roster.peers))
	for _, pe := range no.roster.first(hashOf(ask.Organisation), sh.holders) {
		members = append(members, pe.Member)
	}
	return members, sh.rate, sh.depth
}

// Peek returns the answer that Serve would give now. It changes nothing.
func (no *Node) Peek(now time.Time, ask Ask) Answer {
	read := Node{roster: no.roster, holder: no.holder.copyFor(ask.Organisation, no.roster), asker: no.asker}
	return read.Serve(now, ask)
}

// Fork returns a Node that decides on requests of one organisation as this Node would, and
// whose decisions don't change this Node. Send its calls to Peek at the holders.
func (no *Node) Fork(now time.Time, organisation string, seed uint64) *Node {
	ro := no.roster.clone()
	ho := no.holder.copyFor(organisation, ro)
	as := newAsker(ro, ho, seed)
	as.sweptAt = no.asker.sweptAt
	if org := no.asker.orgs[organisation]; org != nil {
		as.orgs[organisation] = org.copyFor(now, ro)
	}
	return &Node{roster: ro, holder: ho, asker: as}
}

// copyFor returns a copy of the holder with the bucket of one organisation.
func (ho *holder) copyFor(organisation string, ro *roster) *holder {
	copied := *ho
	copied.roster, copied.buckets = ro, make(map[string]*bucket, 1)
	if bu := ho.buckets[organisation]; bu != nil {
		one := *bu
		copied.buckets[organisation] = &one
	}
	return &copied
}

// copyFor returns a copy of the organisation for a copy of the member set. The copy has no
// calls in flight: what they may take is no longer expected to be left.
func (org *organisation) copyFor(now time.Time, ro *roster) *organisation {
	copied := *org
	copied.holders, copied.accounts = nil, make(map[*peer]*account, len(org.accounts))
	for pe, acc := range org.accounts {
		if own := ro.byID[pe.ID]; own != nil {
			level, _ := org.expected(now, pe)
			copied.accounts[own] = &account{level: level, at: now, answered: acc.answered}
		}
	}
	return &copied
}

// clone returns an independent copy of the member set.
func (ro *roster) clone() *roster {
	copied := *ro
	copied.byID = maps.Clone(ro.byID)
	copied.peers = slices.Clone(ro.peers)
	copied.removed = slices.Clone(ro.removed)
	for i, pe := range ro.peers {
		one := *pe
		copied.peers[i], copied.byID[pe.ID] = &one, &one
	}
	return &copied
}
