package quota

import (
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Unix(1000, 0)

// testMembers returns daemons d0 to d(count-1) in zones z0 to z2 that are alive.
func testMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		id := "d" + strconv.Itoa(i)
		members[i] = Member{ID: id, Zone: "z" + strconv.Itoa(i%3), Address: id, Alive: true}
	}
	return members
}

// joinedNode returns a node that has long been in a fleet.
func joinedNode(id string, members []Member) (*Node, time.Time) {
	node := NewNode(id, "z0", 1)
	node.SetMembers(startTime, members)
	node.Join(startTime)
	return node, startTime.Add(time.Hour)
}

func askFor(limit Limit, count int) Ask {
	return Ask{Organisation: organisationName, PerSecond: limit.PerSecond, Burst: limit.Burst, Count: count}
}

// holdersOf returns the IDs of an organisation's holders, and those of other daemons.
func holdersOf(members []Member, limit Limit) (holders, others []string) {
	ro := newRoster(members[0].ID, members[0].Zone)
	ro.update(startTime, members)
	for _, pe := range ro.first(hashOf(organisationName), shareOf(limit, len(members)).holders) {
		holders = append(holders, pe.ID)
	}
	for _, mem := range members {
		if !slices.Contains(holders, mem.ID) {
			others = append(others, mem.ID)
		}
	}
	return holders, others
}

// TestDaemonsAgreeOnHolders guards against daemons that derive different holders from
// the same member set, and against many holders that change with one daemon.
func TestDaemonsAgreeOnHolders(t *testing.T) {
	is := is.New(t)
	members, limit := testMembers(91), Limit{5, 5}
	holders, _ := holdersOf(members, limit)
	for _, mem := range members {
		node, now := joinedNode(mem.ID, members)
		is.Equal(node.Serve(now, askFor(limit, 1)).Granted == 1, slices.Contains(holders, mem.ID))
	}
	fewer := slices.DeleteFunc(slices.Clone(members), func(mem Member) bool { return mem.ID == holders[0] })
	after, _ := holdersOf(fewer, limit)
	is.Equal(after[:len(holders)-1], holders[1:])
}

// TestQuotasAreSpreadOverDaemons guards against daemons that hold the quotas of many
// organisations, which a hash does that differs little for similar names.
func TestQuotasAreSpreadOverDaemons(t *testing.T) {
	is := is.New(t)
	const organisations, daemons, count = 2000, 91, 9
	ro := newRoster("d0", "z0")
	ro.update(startTime, testMembers(daemons))
	held := make(map[*peer]int)
	for i := range organisations {
		for _, pe := range ro.first(hashOf("org"+strconv.Itoa(i)), count) {
			held[pe]++
		}
	}
	const mean = organisations * count / daemons
	is.Equal(len(held), daemons)
	for _, number := range held {
		is.True(number > mean*3/4 && number < mean*5/4)
	}
}

// TestHoldersHoldNoMoreThanTheQuota guards against allowances that add up to more than
// the bound, for limits from one in a hundred seconds to many thousand a second.
func TestHoldersHoldNoMoreThanTheQuota(t *testing.T) {
	is := is.New(t)
	for _, daemons := range []int{1, 2, 3, 10, 91, 730} {
		for _, rate := range []float64{0.01, 0.3, 1, 5, 24, 71, 163, 1000, 20000} {
			for _, burst := range []float64{0, 1, rate, 10 * rate} {
				limit := Limit{rate, burst}
				sh := shareOf(limit, daemons)
				count := float64(sh.holders)
				held := count * (sh.depth + window.Seconds()*sh.rate)
				returned := count * (sh.returnDepth + window.Seconds()*sh.returnRate)
				isolated := min(float64(limit.isolated()), float64(daemons)-count)
				is.True(held+returned+max(isolated, 0) <= bound(limit))
				is.True(sh.depth >= 1) // A shallower bucket never has a token.
			}
		}
	}
}

// TestStartedDaemonHoldsNothing guards against a daemon that spends again what its
// earlier process has spent, or that holds whole quotas because it knows no other
// daemon yet.
func TestStartedDaemonHoldsNothing(t *testing.T) {
	is := is.New(t)
	node := NewNode("d0", "z0", 1)
	limit := Limit{100, 100}
	is.Equal(node.Serve(startTime.Add(time.Hour), askFor(limit, 1)).Granted, 0)
	node.Join(startTime)
	is.Equal(node.Serve(startTime.Add(joinDelay-time.Millisecond), askFor(limit, 1)).Granted, 0)
	is.Equal(node.Serve(startTime.Add(joinDelay), askFor(limit, 100)).Granted, 0)
	is.Equal(node.Serve(startTime.Add(joinDelay+100*time.Millisecond), askFor(limit, 100)).Granted, 10)
}

// TestStartedDaemonFillsFromItsStart guards against quota that is lost while a daemon joins,
// or because it is asked again late, and against a daemon that takes a share of a member set
// that still grows.
func TestStartedDaemonFillsFromItsStart(t *testing.T) {
	is := is.New(t)
	limit := Limit{100, 400}
	sh := shareOf(limit, 6)
	started := func(joins time.Duration) *Node {
		node := NewNode("d0", "z0", 1)
		node.Start(startTime)
		node.SetMembers(startTime.Add(joins), testMembers(3))
		node.Join(startTime.Add(joins))
		return node
	}
	node, now := started(time.Second), startTime.Add(time.Second+300*time.Millisecond)
	node.SetMembers(now, testMembers(6))
	now = now.Add(settleDelay)
	early := node.Serve(now.Add(-time.Millisecond), askFor(limit, 100))
	is.Equal(early.Granted, 0)
	is.True(early.NotHolder)
	is.True(early.RetryAfter < settleDelay) // It is asked again soon.
	is.Equal(node.Serve(now, askFor(limit, 100)).Granted, int(sh.start+sh.rate*now.Sub(startTime).Seconds()))
	node, now = started(time.Second), startTime.Add(time.Second)
	for i := range 20 { // It grows without end.
		node.SetMembers(now.Add(time.Duration(i)*100*time.Millisecond), testMembers(4+2*i))
	}
	is.True(node.Serve(now.Add(joinDelay), askFor(limit, 100)).Granted > 0)
}

// TestLeavingDaemonHoldsNothing guards against a daemon that grants what the others have
// taken over since it left.
func TestLeavingDaemonHoldsNothing(t *testing.T) {
	is := is.New(t)
	node, now := joinedNode("d0", testMembers(2))
	is.Equal(node.Serve(now, askFor(Limit{5, 5}, 1)).Granted, 1)
	node.SetMembers(now, []Member{{ID: "d0", Zone: "z0", Left: true}})
	is.Equal(node.Serve(now, askFor(Limit{5, 5}, 1)).Granted, 0)
}

// TestNewHolderStartsEmpty guards against tokens that are spent twice: by a holder that
// leaves and by the one that takes over.
func TestNewHolderStartsEmpty(t *testing.T) {
	is := is.New(t)
	members, limit := testMembers(91), Limit{5, 5}
	holders, others := holdersOf(members, limit)
	left := slices.IndexFunc(members, func(mem Member) bool { return mem.ID == holders[0] })
	members[left].Left, members[left].Alive = true, false
	fewer := slices.Delete(slices.Clone(members), left, left+1)
	after, _ := holdersOf(fewer, limit)
	successor := after[len(after)-1]
	is.True(slices.Contains(others, successor))
	members[left].Left, members[left].Alive = false, true
	node, now := joinedNode(successor, members)
	members[left].Left, members[left].Alive = true, false
	node.SetMembers(now, members)
	is.Equal(node.Serve(now, askFor(limit, 1)).Granted, 0)
	rate := shareOf(limit, 90).rate
	is.Equal(node.Serve(now.Add(seconds(1/rate+0.01)), askFor(limit, 5)).Granted, 1)
	kept, now := joinedNode(holders[1], members)
	kept.SetMembers(now, members)
	is.Equal(kept.Serve(now, askFor(limit, 5)).Granted, 2) // The others keep what they have.
}

// TestSilentDaemonKeepsItsShare guards against a daemon that takes over from one that is
// cut off, and against quota that is lost for good with one that has stopped.
func TestSilentDaemonKeepsItsShare(t *testing.T) {
	is := is.New(t)
	members := testMembers(3)
	count := func(node *Node) int {
		all, _, _ := node.Members()
		return all
	}
	node, now := joinedNode("d0", members)
	members[1].Alive, members[2].Alive = false, false
	node.SetMembers(now, members)
	now = now.Add(stoppedRetention - time.Second)
	is.Equal(len(node.Silent(now)), 0)
	now = now.Add(2 * time.Second)
	is.Equal(len(node.Silent(now)), 2)
	is.Equal(count(node), 3)
	node.MarkStopped(now, "d1")
	is.Equal(count(node), 2)
	node.SetMembers(now, []Member{{ID: "d3", Zone: "z0", Address: "d2", Alive: true}}) // At the address of d2.
	is.Equal(count(node), 2)
	members[2].Address = "elsewhere"
	node, now = joinedNode("d0", members[:1])
	node.Merge(now, []Past{{ID: "d2", Zone: "z2", Ago: time.Minute}, {ID: "d9", Ago: time.Hour}})
	is.Equal(count(node), 2)
	node.Silent(now.Add(silentRetention))
	is.Equal(count(node), 1)
}

// TestRequestsShareACall guards against a call for each request of a burst.
func TestRequestsShareACall(t *testing.T) {
	is := is.New(t)
	members, limit := testMembers(2), Limit{100, 100}
	node := NewNode("d0", "z0", 1) // Holds nothing, so it asks the other daemon.
	node.SetMembers(startTime, members)
	var calls []Call
	for range 50 {
		_, res := node.Take(startTime, askFor(limit, 1))
		is.Equal(len(res.Decisions), 0)
		calls = append(calls, res.Calls...)
	}
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Ask.Count, 1)
	res := node.Finish(startTime.Add(time.Millisecond), calls[0].ID, Answer{Granted: 1, Left: 60}, true)
	is.Equal(len(res.Decisions), 1)
	is.Equal(len(res.Calls), 1)
	is.Equal(res.Calls[0].Ask.Count, 49)
	res = node.Finish(startTime.Add(2*time.Millisecond), res.Calls[0].ID, Answer{Granted: 49, Left: 11}, true)
	is.Equal(len(res.Decisions), 49)
}

// TestRefusedRequestNamesTheNextToken guards against holders that are asked again before
// the time that they named, and against a refusal without a time.
func TestRefusedRequestNamesTheNextToken(t *testing.T) {
	is := is.New(t)
	node := NewNode("d0", "z0", 1)
	node.SetMembers(startTime, testMembers(2))
	limit := Limit{1, 1}
	_, res := node.Take(startTime, askFor(limit, 1))
	res = node.Finish(startTime, res.Calls[0].ID, Answer{RetryAfter: 3 * time.Second}, true)
	is.Equal(res.Decisions[0].Verdict, Verdict{Outcome: OverLimit, RetryAfter: 3 * time.Second})
	_, res = node.Take(startTime.Add(time.Second), askFor(limit, 1))
	is.Equal(len(res.Calls), 0)
	is.Equal(res.Decisions[0].Verdict, Verdict{Outcome: OverLimit, RetryAfter: 2 * time.Second})
	_, res = node.Take(startTime.Add(3*time.Second), askFor(limit, 1))
	is.Equal(len(res.Calls), 1)
}

// TestFailedHolderIsSkipped guards against requests that each wait for a holder that
// doesn't answer.
func TestFailedHolderIsSkipped(t *testing.T) {
	is := is.New(t)
	node := NewNode("d0", "z0", 1)
	node.SetMembers(startTime, testMembers(2))
	limit := Limit{5, 5}
	_, res := node.Take(startTime, askFor(limit, 1))
	now := startTime.Add(CallTimeout)
	res = node.Finish(now, res.Calls[0].ID, Answer{}, false)
	is.Equal(res.Decisions[0].Verdict.Outcome, Unavailable)
	_, res = node.Take(now, askFor(limit, 1))
	is.Equal(len(res.Calls), 0)
	_, res = node.Take(now.Add(failureBackoff), askFor(limit, 1))
	is.Equal(len(res.Calls), 1)
}

// TestUnansweredCallIsNoRefusal guards against a request that is refused as over the limit
// because holders don't answer or don't hold the quota yet, and against one that gives up
// after a single call.
func TestUnansweredCallIsNoRefusal(t *testing.T) {
	is := is.New(t)
	const asked = 3
	for _, last := range []struct {
		ans  Answer
		ok   bool
		want Outcome
	}{
		{Answer{}, false, Unavailable},
		{Answer{NotHolder: true, RetryAfter: retryStarted}, true, Unavailable},
		{Answer{RetryAfter: time.Second}, true, OverLimit},
	} {
		node, now := NewNode("d0", "z0", 1), startTime
		node.SetMembers(now, testMembers(91))
		_, res := node.Take(now, askFor(Limit{5, 5}, 1))
		for range asked - 1 {
			now = now.Add(CallTimeout)
			res = node.Finish(now, res.Calls[0].ID, Answer{}, false)
			is.Equal(len(res.Calls), 1)
		}
		now = now.Add(CallTimeout)
		res = node.Finish(now, res.Calls[0].ID, last.ans, last.ok)
		is.Equal(res.Decisions[0].Verdict.Outcome, last.want)
		is.Equal(res.Decisions[0].Asked, asked)
	}
}

// TestLateAnswerIsNotUsed guards against a daemon that was frozen and spends tokens of
// the time before.
func TestLateAnswerIsNotUsed(t *testing.T) {
	is := is.New(t)
	node := NewNode("d0", "z0", 1)
	node.SetMembers(startTime, testMembers(2))
	_, res := node.Take(startTime, askFor(Limit{5, 5}, 1))
	res = node.Finish(startTime.Add(10*time.Second), res.Calls[0].ID, Answer{Granted: 1}, true)
	is.Equal(res.Decisions[0].Verdict.Outcome, Unavailable)
}

// TestChangedLimitScalesTheBucket guards against a change that fills or empties buckets,
// a change of the settings that is none of the limit, and older settings that win.
func TestChangedLimitScalesTheBucket(t *testing.T) {
	is := is.New(t)
	node, now := joinedNode("d0", testMembers(1))
	ask := askFor(Limit{100, 100}, 1)
	ask.Version = 5
	is.Equal(node.Serve(now, ask).Granted, 1)
	full := node.Uses(now, 1)[0].Depth
	ask.Count = int(full/2) - 1
	node.Serve(now, ask)
	half := node.Uses(now, 1)[0].Held
	ask.Version, ask.Count = 6, 0
	node.Serve(now, ask)
	is.Equal(node.Uses(now, 1)[0].Held, half)
	ask.Version, ask.PerSecond, ask.Burst = 7, 10, 10
	node.Serve(now, ask)
	use := node.Uses(now, 1)[0]
	is.True(use.Depth < full/3)
	is.True(use.Held > 0.45*use.Depth && use.Held < 0.55*use.Depth)
	ask.Version, ask.PerSecond, ask.Burst = 5, 100, 100
	node.Serve(now, ask)
	is.Equal(node.Uses(now, 1)[0].Depth, use.Depth)
}

// TestClockThatGoesBack guards against a bucket that fills twice for the same time.
func TestClockThatGoesBack(t *testing.T) {
	is := is.New(t)
	node, now := joinedNode("d0", testMembers(1))
	limit := Limit{10, 1}
	node.Serve(now, askFor(limit, 1000))
	is.Equal(node.Serve(now.Add(-time.Minute), askFor(limit, 1000)).Granted, 0)
	is.Equal(node.Serve(now, askFor(limit, 1000)).Granted, 0)
	is.Equal(node.Serve(now.Add(100*time.Millisecond), askFor(limit, 1000)).Granted, 1)
}

// TestStateIsBounded guards against state for organisations that are no longer used, and
// against too much of it in a large fleet. Half of the memory budget of quotas on a
// daemon, 16 MB, is for the requests of 20,000 organisations within idleRetention.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	members := testMembers(730)
	node, now := joinedNode("d0", members)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const organisations = 20_000
	started := time.Now()
	for i := range organisations {
		ask := Ask{Organisation: "org" + strconv.Itoa(i), PerSecond: 5, Burst: 5}
		_, res := node.Take(now, ask)
		for _, call := range res.Calls {
			node.Finish(now, call.ID, Answer{Granted: 1, Left: 1}, true)
		}
	}
	t.Logf("%v for each first request of an organisation", time.Since(started)/organisations)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int(after.HeapAlloc) - int(before.HeapAlloc)
	t.Logf("%d KB for %d organisations", used>>10, organisations)
	is.True(used < 16<<20)
	is.True(len(node.Uses(now, organisations)) >= organisations)
	node.Take(now.Add(2*bucketRetention), askFor(Limit{5, 5}, 1))
	is.Equal(len(node.Uses(now, organisations)), 1)
}

// TestRefusedCallersComeBackInTurn guards against callers that all come back for the
// same token.
func TestRefusedCallersComeBackInTurn(t *testing.T) {
	is := is.New(t)
	node, now := joinedNode("d0", testMembers(1))
	limit := Limit{10, 10}
	node.Serve(now, askFor(limit, 1000))
	now = now.Add(time.Second)
	node.Serve(now, askFor(limit, int(node.Uses(now, 1)[0].Held)))
	first := node.Serve(now, askFor(limit, 1)).RetryAfter
	second := node.Serve(now, askFor(limit, 1)).RetryAfter
	is.Equal(second-first, 100*time.Millisecond)
}

// TestReturnedTokensHaveALimit guards against requests that wait for long and all turn
// out not to run in the same window, which would run their tokens in it.
func TestReturnedTokensHaveALimit(t *testing.T) {
	is := is.New(t)
	node, now := joinedNode("d0", testMembers(1))
	limit := Limit{10, 10}
	node.Serve(now, askFor(limit, 1000))
	ask := askFor(limit, 1000)
	ask.Returned = 1000
	is.True(node.Serve(now, ask).Granted <= returnAllowance+1) // And what is left of a token.
	is.Equal(node.Serve(now, ask).Granted, 0)
}

// TestIsolatedDaemons guards against daemons that reach no holder and together admit more
// than the bound leaves, and against an organisation that none of them serves.
func TestIsolatedDaemons(t *testing.T) {
	is := is.New(t)
	members, limit := testMembers(91), Limit{5, 5}
	_, others := holdersOf(members, limit)
	alone := slices.Clone(members)
	for i := range alone {
		alone[i].Alive = false
	}
	admitted := 0
	for _, id := range others {
		node, now := joinedNode(id, members)
		node.SetMembers(now, alone)
		for range 100 {
			_, res := node.Take(now, askFor(limit, 1))
			if res.Decisions[0].Verdict.Outcome == Admitted {
				admitted++
			} else {
				is.Equal(res.Decisions[0].Verdict.Outcome, Unavailable)
			}
			now = now.Add(window / 100)
		}
	}
	is.Equal(admitted, 5)
}
