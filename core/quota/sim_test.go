package quota

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	// detectTime is how long a daemon that doesn't answer stays alive in the member
	// tables of the others, and viewInterval how often these are looked at.
	detectTime   = 4 * time.Second
	viewInterval = 250 * time.Millisecond
	joinTime     = 100 * time.Millisecond
	// The daemons of a fleet that starts join between minJoinTime and maxJoinTime, and have
	// settings between minSettingsTime and maxSettingsTime after they start.
	minJoinTime     = 300 * time.Millisecond
	maxJoinTime     = time.Second
	minSettingsTime = 500 * time.Millisecond
	maxSettingsTime = time.Second
	returnDelay     = 3 * time.Second

	organisationName = "org"
)

// event is something that happens in a fakeFleet.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	return eq[i].at.Before(eq[j].at) || eq[i].at.Equal(eq[j].at) && eq[i].seq < eq[j].seq
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(event)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

// fakeDaemon is a daemon of a fakeFleet. Daemons reach each other if they are up, not
// frozen, and in the same group.
type fakeDaemon struct {
	id, zone string
	node     *Node
	joinedAt time.Time // From when the others may know the daemon.
	start    int       // Counts starts, so that messages to an earlier process are lost.
	up       bool
	left     bool
	old      bool // Runs a program that doesn't know the method.
	group    int
	frozen   bool
	lag      time.Duration // How far the clock of the daemon is behind.
	held     []func()      // What happens once the daemon is no longer frozen.
	seen     []time.Time
	view     []Member
	asked    map[uint64]time.Time // When the requests started that are not decided.
	limit    Limit
	version  uint64
}

// fakeFleet runs nodes in virtual time, under the load of one organisation.
type fakeFleet struct {
	now     time.Time
	rng     *rand.Rand
	queue   eventQueue
	seq     int
	daemons []*fakeDaemon
	latency time.Duration
	// arrivals and starts hold the times of all requests and of those that ran.
	arrivals []time.Time
	starts   []time.Time
	decided  [Unavailable + 1]int
	// returns is the part of the admitted requests that doesn't run, which shows
	// returnDelay later.
	returns float64
	// lost is the part of the messages that is lost.
	lost     float64
	messages int
	crossing int
	slowest  time.Duration
}

func newFakeFleet(seed uint64, daemons, zones int) *fakeFleet {
	fl := &fakeFleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), latency: 500 * time.Microsecond,
	}
	for i := range daemons {
		fl.daemons = append(fl.daemons, &fakeDaemon{id: "d" + strconv.Itoa(i), zone: "z" + strconv.Itoa(i%zones)})
	}
	for _, da := range fl.daemons {
		fl.boot(da)
	}
	fl.run(5 * time.Second)
	return fl
}

func (fl *fakeFleet) after(d time.Duration, run func()) {
	fl.seq++
	heap.Push(&fl.queue, event{at: fl.now.Add(d), seq: fl.seq, run: run})
}

// run processes what happens in a period.
func (fl *fakeFleet) run(d time.Duration) {
	end := fl.now.Add(d)
	for len(fl.queue) > 0 && !fl.queue[0].at.After(end) {
		ev := heap.Pop(&fl.queue).(event)
		fl.now = ev.at
		ev.run()
	}
	fl.now = end
}

// clock returns the time on a daemon.
func (fl *fakeFleet) clock(da *fakeDaemon) time.Time { return fl.now.Add(-da.lag) }

func (fl *fakeFleet) reach(a, b *fakeDaemon) bool {
	return a.up && b.up && a.group == b.group && !a.frozen && !b.frozen
}

// boot starts a daemon, which joins the fleet shortly afterwards.
func (fl *fakeFleet) boot(da *fakeDaemon) {
	fl.start(da, joinTime)
}

// start starts a daemon, which joins the fleet after a period.
func (fl *fakeFleet) start(da *fakeDaemon, period time.Duration) {
	da.start++
	da.up, da.left, da.view = true, false, nil
	da.asked = make(map[uint64]time.Time)
	da.seen = make([]time.Time, len(fl.daemons))
	da.node = NewNode(da.id, da.zone, fl.rng.Uint64())
	da.node.Start(fl.clock(da))
	start := da.start
	fl.after(period, func() { fl.join(da, start) })
}

// between returns a random time.
func (fl *fakeFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(fl.rng.Int64N(int64(most-least)))
}

// powerUp starts all daemons at once. They know each other only when they have joined,
// and have no limit until they have settings.
func (fl *fakeFleet) powerUp(limit Limit) {
	for _, da := range fl.daemons {
		period := fl.between(minJoinTime, maxJoinTime)
		da.limit, da.joinedAt = Limit{}, fl.now.Add(period)
		fl.start(da, period)
		fl.after(fl.between(minSettingsTime, maxSettingsTime), func() { da.limit = limit })
	}
}

func (fl *fakeFleet) join(da *fakeDaemon, start int) {
	if !da.up || da.start != start {
		return
	}
	alone := true
	for _, other := range fl.daemons {
		if other != da && fl.reach(da, other) && !fl.now.Before(other.joinedAt) {
			da.node.Merge(fl.clock(da), other.node.Past(fl.clock(other)))
			alone = false
			break
		}
	}
	if alone && len(fl.daemons) > 1 {
		fl.after(joinTime, func() { fl.join(da, start) })
		return
	}
	da.node.Join(fl.clock(da))
	fl.look(da, start)
}

// look updates a daemon's member table.
func (fl *fakeFleet) look(da *fakeDaemon, start int) {
	if !da.up || da.start != start {
		return
	}
	jitter := time.Duration(fl.rng.Int64N(int64(viewInterval)))
	fl.after(viewInterval+jitter, func() { fl.look(da, start) })
	if da.frozen {
		return
	}
	var view []Member
	for i, other := range fl.daemons {
		if other == da || fl.reach(da, other) && !fl.now.Before(other.joinedAt) {
			da.seen[i] = fl.now
		}
		if !da.seen[i].IsZero() {
			view = append(view, Member{ID: other.id, Zone: other.zone, Address: other.id, Alive: fl.now.Sub(da.seen[i]) < detectTime, Left: other.left && !other.up})
		}
	}
	if !slices.Equal(view, da.view) {
		da.view = view
		da.node.SetMembers(fl.clock(da), view)
	}
	for _, mem := range da.node.Silent(fl.clock(da)) {
		if other := fl.byID(mem.ID); !other.up && other.group == da.group {
			da.node.MarkStopped(fl.clock(da), mem.ID)
		}
	}
}

func (fl *fakeFleet) byID(id string) *fakeDaemon {
	number, _ := strconv.Atoi(id[1:])
	return fl.daemons[number]
}

// deliver runs something on a daemon after the latency of the network, later if the
// daemon is frozen, and never if it can't be reached or has restarted.
func (fl *fakeFleet) deliver(from, to *fakeDaemon, run func()) {
	fl.messages++
	if from.zone != to.zone {
		fl.crossing++
	}
	if fl.lost > 0 && fl.rng.Float64() < fl.lost {
		return
	}
	start := to.start
	fl.after(fl.latency+time.Duration(fl.rng.Int64N(int64(fl.latency))), func() {
		switch {
		case !to.up || to.start != start || from.group != to.group:
		case to.frozen:
			to.held = append(to.held, func() {
				if to.start == start {
					run()
				}
			})
		default:
			run()
		}
	})
}

// perform sends the calls of a result and records what was decided.
func (fl *fakeFleet) perform(da *fakeDaemon, res Result) {
	for _, dec := range res.Decisions {
		fl.decided[dec.Verdict.Outcome]++
		if dec.Verdict.Outcome == Admitted {
			fl.admit(da)
		}
		if started, waited := da.asked[dec.Request]; waited {
			fl.slowest = max(fl.slowest, fl.now.Sub(started))
			delete(da.asked, dec.Request)
		}
	}
	for _, call := range res.Calls {
		start, answered := da.start, false
		finish := func(ans Answer, ok bool) {
			if !answered && da.up && da.start == start {
				answered = true
				fl.perform(da, da.node.Finish(fl.clock(da), call.ID, ans, ok))
			}
		}
		to := fl.byID(call.Holder)
		fl.deliver(da, to, func() {
			var ans Answer
			if !to.old {
				ans = to.node.Serve(fl.clock(to), call.Ask)
			}
			fl.deliver(to, da, func() { finish(ans, !to.old) })
		})
		fl.after(CallTimeout, func() {
			if da.frozen {
				da.held = append(da.held, func() { finish(Answer{}, false) })
				return
			}
			finish(Answer{}, false)
		})
	}
}

// admit lets an admitted request run, or returns its token later.
func (fl *fakeFleet) admit(da *fakeDaemon) {
	if fl.rng.Float64() >= fl.returns {
		fl.starts = append(fl.starts, fl.now)
		return
	}
	node := da.node
	fl.after(returnDelay, func() { node.Return(fl.clock(da), organisationName) })
}

// request lets a request arrive at a daemon.
func (fl *fakeFleet) request(da *fakeDaemon) {
	if !da.up || da.frozen || da.limit == (Limit{}) {
		return
	}
	fl.arrivals = append(fl.arrivals, fl.now)
	limit := da.limit
	id, res := da.node.Take(fl.clock(da), Ask{Organisation: organisationName, PerSecond: limit.PerSecond, Burst: limit.Burst, Version: da.version})
	da.asked[id] = fl.now
	fl.perform(da, res)
}

// load lets requests arrive at a rate until an end, each at the daemon that pick
// returns.
func (fl *fakeFleet) load(perSecond float64, d time.Duration, pick func() *fakeDaemon) {
	end := fl.now.Add(d)
	var next func()
	next = func() {
		if fl.now.After(end) {
			return
		}
		fl.request(pick())
		fl.after(time.Duration(fl.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	fl.after(time.Duration(fl.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// any returns a random daemon that is up.
func (fl *fakeFleet) any() *fakeDaemon {
	for {
		if da := fl.daemons[fl.rng.IntN(len(fl.daemons))]; da.up {
			return da
		}
	}
}

// setLimit changes the limit on all daemons within the time in
// which settings reach them.
func (fl *fakeFleet) setLimit(limit Limit, within time.Duration) {
	for _, da := range fl.daemons {
		fl.after(time.Duration(fl.rng.Float64()*float64(within)), func() {
			da.limit = limit
			da.version++
		})
	}
}

// freeze stops a daemon for a period, and its clock if clockStops is set.
func (fl *fakeFleet) freeze(da *fakeDaemon, d time.Duration, clockStops bool) {
	da.frozen = true
	clear(da.asked) // Their time would include the freeze.
	fl.after(d, func() {
		da.frozen = false
		if clockStops {
			da.lag += d
		}
		held := da.held
		da.held = nil
		for _, run := range held {
			run()
		}
	})
}

// most returns the largest number of times in any window.
func most(times []time.Time) int {
	largest, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// bound returns how many requests may start in any window.
func bound(limit Limit) float64 { return limit.perWindow()*1.1 + 20 }

// ideal returns how many of the requests a single token bucket admits.
func ideal(arrivals []time.Time, limit Limit) int {
	level, count := limit.Burst, 0
	var last time.Time
	for _, at := range arrivals {
		level = math.Min(level+at.Sub(last).Seconds()*limit.PerSecond, math.Max(limit.Burst, 1))
		last = at
		if level >= 1 {
			level--
			count++
		}
	}
	return count
}
