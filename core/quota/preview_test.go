package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// snapshot describes the whole state of a node, other than its random numbers.
func snapshot(no *Node) string {
	var text strings.Builder
	as, ho := no.asker, no.holder
	fmt.Fprintln(&text, as.lastID, as.sweptAt, len(as.calls), len(as.pending), ho.sweptAt, ho.holdsFrom, ho.settledSize, ho.left, no.roster.version, no.roster.removed)
	for _, pe := range no.roster.peers {
		fmt.Fprintf(&text, "%+v\n", *pe)
	}
	for _, name := range slices.Sorted(maps.Keys(ho.buckets)) {
		fmt.Fprintf(&text, "%s %+v\n", name, *ho.buckets[name])
	}
	for _, name := range slices.Sorted(maps.Keys(as.orgs)) {
		org := *as.orgs[name]
		accounts := org.accounts
		org.holders, org.accounts = nil, nil
		fmt.Fprintf(&text, "%s %+v\n", name, org)
		for _, pe := range no.roster.peers {
			if acc := accounts[pe]; acc != nil {
				fmt.Fprintf(&text, "%s %+v\n", pe.ID, *acc)
			}
		}
	}
	return text.String()
}

// decide answers the calls of a result until the request is decided.
func decide(now time.Time, node *Node, res Result, answer func(call Call) (Answer, bool)) Decision {
	for len(res.Decisions) == 0 {
		call := res.Calls[0]
		ans, ok := answer(call)
		res = node.Finish(now, call.ID, ans, ok)
	}
	return res.Decisions[0]
}

// TestPreviewAgreesWithTake compares the decision of a fork with that of the request that
// follows, in many states. It guards against a preview that decides by other rules, and
// against one that changes a daemon's state: that takes tokens, adds credit, or tells the
// next caller a later time.
func TestPreviewAgreesWithTake(t *testing.T) {
	is := is.New(t)
	members, limit := testMembers(12), Limit{3, 2}
	nodes := make(map[string]*Node)
	var now time.Time
	for _, mem := range members {
		nodes[mem.ID], now = joinedNode(mem.ID, members)
	}
	state := func() string {
		var text strings.Builder
		for _, mem := range members {
			text.WriteString(snapshot(nodes[mem.ID]))
		}
		return text.String()
	}
	rng := rand.New(rand.NewPCG(7, 0))
	var seen [Unavailable + 1]int
	down := make(map[string]bool)
	for step := range 1500 {
		// Pauses of up to 0.2 s are above the limit; longer ones let buckets fill.
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		if step%100 == 0 {
			now = now.Add(20 * time.Second)
		}
		if step%50 == 0 {
			for _, mem := range members {
				down[mem.ID] = rng.IntN(2) == 0 || step%200 >= 150
			}
		}
		node, seed := nodes[members[rng.IntN(len(members))].ID], rng.Uint64()
		before := state()
		fork := node.Fork(now, organisationName, seed)
		_, res := fork.Take(now, askFor(limit, 1))
		preview := decide(now, fork, res, func(call Call) (Answer, bool) {
			if down[call.Holder] {
				return Answer{}, false
			}
			return nodes[call.Holder].Peek(now, call.Ask), true
		})
		is.Equal(state(), before)
		node.asker.rng = rand.New(rand.NewPCG(seed, 4)) // The order in which holders are asked is random.
		_, res = node.Take(now, askFor(limit, 1))
		taken := decide(now, node, res, func(call Call) (Answer, bool) {
			if down[call.Holder] {
				return Answer{}, false
			}
			return nodes[call.Holder].Serve(now, call.Ask), true
		})
		is.Equal(preview.Verdict, taken.Verdict)
		is.Equal(preview.Asked, taken.Asked)
		seen[taken.Verdict.Outcome]++
		if rng.IntN(5) == 0 {
			node.Return(now, organisationName)
		}
	}
	for _, count := range seen {
		is.True(count >= 20) // Each outcome is compared.
	}
}

// TestPreviewWithCallsInFlight guards against a preview that never ends because it waits
// for a call of a request, and against one that expects what that call takes to be left.
func TestPreviewWithCallsInFlight(t *testing.T) {
	is := is.New(t)
	members, limit := testMembers(91), Limit{5, 5}
	holders, others := holdersOf(members, limit)
	node, now := joinedNode(others[0], members)
	inFlight := make(map[string]bool)
	for range 2 * len(holders) { // Several requests share a call to a holder of the own zone.
		if _, res := node.Take(now, askFor(limit, 1)); len(res.Calls) > 0 {
			inFlight[res.Calls[0].Holder] = true
		}
		if len(inFlight) == len(holders) {
			break
		}
	}
	is.Equal(len(inFlight), len(holders))
	fork := node.Fork(now, organisationName, 1)
	_, res := fork.Take(now, askFor(limit, 1))
	is.Equal(len(res.Calls), 1)
	forked := fork.asker.orgs[organisationName]
	depth := shareOf(limit, len(members)).depth
	for pe, acc := range forked.accounts {
		is.True(pe.ID == res.Calls[0].Holder || acc.level <= depth-1)
	}
}

// TestPeekOfOtherDaemons checks that a daemon that holds nothing says so, and that Holders
// are those that answer.
func TestPeekOfOtherDaemons(t *testing.T) {
	is := is.New(t)
	members, limit := testMembers(91), Limit{5, 5}
	holders, _ := holdersOf(members, limit)
	for _, mem := range members {
		node, now := joinedNode(mem.ID, members)
		ans := node.Peek(now, askFor(limit, 1))
		is.Equal(ans.NotHolder, !slices.Contains(holders, mem.ID))
		is.True(node.IsIdle())
		found, perSecond, depth := node.Holders(askFor(limit, 1))
		is.Equal(len(found), len(holders))
		for _, holder := range found {
			is.True(slices.Contains(holders, holder.ID))
		}
		is.Equal(perSecond*float64(len(found)), limit.PerSecond)
		is.True(ans.NotHolder || ans.Left+float64(ans.Granted) == depth)
	}
}
