// Package quota admits requests of organisations on one daemon: it connects the
// decisions of core/quota with the settings, the member table and the links to other
// daemons.
//
// Usage:
//
//	qu := quota.New(options)
//	verdict := qu.Take(ctx, organisation)
//	qu.Return(organisation)   // the request has not run
//	preview := qu.Preview(ctx, organisation)       // what Take would return; takes nothing
//	levels := qu.Levels(ctx, organisations)        // what the holders have
//	qu.Tick()                 // several times a second
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/clock"
	"cactusstream.example/core/events"
	"cactusstream.example/core/fleet"
	"cactusstream.example/core/link"
	"cactusstream.example/core/metrics"
	"cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// MethodTake is the link method that asks a holder for tokens of an organisation.
const MethodTake = "quota.take"

const (
	// reportInterval is the interval of the log lines, of which each names one
	// organisation with refused requests, and maxReports limits their number.
	reportInterval = time.Second
	maxReports     = 5
	// startPeriod is how long after the start of the daemon requests wait for it to know
	// the holders, each for at most maxStartWait. startPollInterval is how often they check.
	startPeriod       = 3 * time.Second
	maxStartWait      = time.Second
	startPollInterval = 10 * time.Millisecond
	// maxDumped limits the organisations in the debug dump.
	maxDumped = 500
)

// Options configures a Quota.
type Options struct {
	Clock   clock.Clock
	Log     *events.Logger
	Metrics *metrics.Registry
	Mux     *link.Mux
	Pool    *link.Pool
	Self    string
	Zone    string
	// View returns the view of the fleet, and HasJoined whether it is known.
	View      func() *fleet.View
	HasJoined func() bool
	// SettingsVersion returns the version of the settings in force.
	SettingsVersion func() uint64
	// RandomSeed initializes the random number generator.
	RandomSeed uint64
}

// Quota admits requests of organisations. It is safe for concurrent use.
//
// Lock order: no other lock is acquired while Quota.mu is held.
type Quota struct {
	opts    Options
	started time.Time

	mu   sync.Mutex
	node *quota.Node
	// waiting holds the requests that have not been decided.
	waiting    map[uint64]chan quota.Decision
	tallies    map[string]*tally
	reportedAt time.Time
	members    membership
}

// tally counts the verdicts on an organisation's requests since the last log line.
type tally struct {
	verdicts [quota.Unavailable + 1]int
	isolated int
	asked    int
}

// New returns a Quota and registers its methods.
func New(opts Options) *Quota {
	qu := &Quota{
		opts: opts, started: opts.Clock.Now(), node: quota.NewNode(opts.Self, opts.Zone, opts.RandomSeed),
		waiting: make(map[uint64]chan quota.Decision), tallies: make(map[string]*tally),
	}
	qu.node.Start(qu.started)
	link.Handle(opts.Mux, MethodTake, func(_ context.Context, _ string, ask quota.Ask) (quota.Answer, error) {
		return qu.serve(ask), nil
	})
	link.Handle(opts.Mux, methodMembers, func(context.Context, string, membersRequest) (membersAnswer, error) {
		return qu.listMembers(), nil
	})
	link.Handle(opts.Mux, MethodPeek, qu.servePeek)
	return qu
}

// Take asks for one request of an organisation. It waits for other daemons for at most
// 250 ms.
func (qu *Quota) Take(ctx context.Context, org *settings.Organisation) quota.Verdict {
	if !(org.Rate > 0) {
		return quota.Verdict{Outcome: quota.Admitted}
	}
	qu.awaitSettled(ctx)
	started := qu.opts.Clock.Now()
	id, decided := qu.begin(started, qu.ask(org))
	select {
	case dec := <-decided:
		qu.record(org.Name, dec, qu.opts.Clock.Now().Sub(started))
		return dec.Verdict
	case <-ctx.Done():
		qu.abandon(id, decided, org)
		return quota.Verdict{Outcome: quota.Unavailable}
	}
}

// ask returns what is asked for a request of an organisation.
func (qu *Quota) ask(org *settings.Organisation) quota.Ask {
	return quota.Ask{Organisation: org.Name, PerSecond: org.Rate, Burst: org.Burst, Version: qu.opts.SettingsVersion()}
}

// begin asks for one request. The decision is sent to the channel.
func (qu *Quota) begin(now time.Time, ask quota.Ask) (id uint64, decided chan quota.Decision) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	id, res := qu.node.Take(now, ask)
	decided = make(chan quota.Decision, 1)
	qu.waiting[id] = decided
	qu.process(res)
	return id, decided
}

// abandon gives up a request whose caller has gone. If it has been admitted in the
// meantime, it returns the token.
func (qu *Quota) abandon(id uint64, decided <-chan quota.Decision, org *settings.Organisation) {
	qu.cancel(id)
	select {
	case dec := <-decided:
		if dec.Verdict.Outcome == quota.Admitted {
			qu.Return(org)
		}
	default:
	}
}

func (qu *Quota) cancel(id uint64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	delete(qu.waiting, id)
	qu.node.Cancel(id)
}

// Return returns the token of a request that has not run.
func (qu *Quota) Return(org *settings.Organisation) {
	if !(org.Rate > 0) {
		return
	}
	qu.opts.Metrics.Counter("quota.returned").Inc(1)
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.node.Return(qu.opts.Clock.Now(), org.Name)
}

// process sends the calls of a result and wakes the requests that it decides. The
// caller holds mu.
func (qu *Quota) process(res quota.Result) {
	for _, dec := range res.Decisions {
		if decided := qu.waiting[dec.Request]; decided != nil {
			delete(qu.waiting, dec.Request)
			decided <- dec
		}
	}
	for _, call := range res.Calls {
		go qu.call(call)
	}
}

// call asks a holder. An answer that says that the method is unknown comes from an
// older program, and counts like none.
func (qu *Quota) call(call quota.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), quota.CallTimeout)
	defer cancel()
	ans, err := link.Call[quota.Ask, quota.Answer](ctx, qu.opts.Pool, call.Address, MethodTake, call.Ask)
	qu.opts.Metrics.Counter("quota.calls").Inc(1)
	if err != nil {
		qu.opts.Metrics.Counter("quota.callsFailed").Inc(1)
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.process(qu.node.Finish(qu.opts.Clock.Now(), call.ID, ans, err == nil))
}

// serve answers the call of another daemon.
func (qu *Quota) serve(ask quota.Ask) quota.Answer {
	ans := qu.grant(ask)
	qu.opts.Metrics.Counter("quota.served").Inc(1)
	qu.opts.Metrics.Counter("quota.granted").Inc(int64(ans.Granted))
	return ans
}

func (qu *Quota) grant(ask quota.Ask) quota.Answer {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.node.Serve(qu.opts.Clock.Now(), ask)
}

// record counts a decision.
func (qu *Quota) record(name string, dec quota.Decision, wait time.Duration) {
	qu.opts.Metrics.Counter("quota." + dec.Verdict.Outcome.String()).Inc(1)
	if dec.Isolated {
		qu.opts.Metrics.Counter("quota.isolated").Inc(1)
	}
	if dec.Asked > 0 {
		qu.opts.Metrics.Observe("quota.wait", wait)
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	ta := qu.tallies[name]
	if ta == nil {
		ta = &tally{}
		qu.tallies[name] = ta
	}
	ta.verdicts[dec.Verdict.Outcome]++
	ta.asked += dec.Asked
	if dec.Isolated {
		ta.isolated++
	}
}

// awaitSettled waits until a daemon that has just started knows the holders of quotas. After
// a start of the whole fleet all daemons learn them at about the same time, and a request
// that is refused before could have been admitted a moment later.
func (qu *Quota) awaitSettled(ctx context.Context) {
	now := qu.opts.Clock.Now()
	if now.Sub(qu.started) > startPeriod || qu.isSettled(now) {
		return
	}
	timeout := maxStartWait
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, deadline.Sub(now)/2) // The rest is for the request itself.
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for !qu.isSettled(qu.opts.Clock.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (qu *Quota) isSettled(now time.Time) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.node.IsSettled(now)
}

// Tick follows the member table and writes log lines. Call it several times a second.
func (qu *Quota) Tick() {
	now := qu.opts.Clock.Now()
	qu.followMembers(now)
	qu.report(qu.takeTallies(now))
}

// takeTallies returns what was counted since the last report, or nil if none is due.
func (qu *Quota) takeTallies(now time.Time) map[string]*tally {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if now.Sub(qu.reportedAt) < reportInterval {
		return nil
	}
	qu.reportedAt = now
	tallies := qu.tallies
	qu.tallies = make(map[string]*tally)
	return tallies
}

// report logs organisations whose requests were refused, or admitted without a holder.
func (qu *Quota) report(tallies map[string]*tally) {
	lines := 0
	for name, ta := range tallies {
		if ta.verdicts[quota.OverLimit]+ta.verdicts[quota.Unavailable]+ta.isolated == 0 {
			continue
		}
		if lines++; lines > maxReports {
			qu.opts.Metrics.Counter("quota.linesLeftOut").Inc(1)
			continue
		}
		qu.opts.Log.Write(events.QuotaRefused, logrus.Fields{
			"organisation": name, "admitted": ta.verdicts[quota.Admitted], "overLimit": ta.verdicts[quota.OverLimit],
			"unavailable": ta.verdicts[quota.Unavailable], "isolated": ta.isolated, "calls": ta.asked,
		})
	}
}

// Dump returns the state for the debug dump: the daemons among which quotas are
// divided, and the use of each organisation's quota.
func (qu *Quota) Dump() map[string]any {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	all, alive, version := qu.node.Members()
	return map[string]any{
		"members": all, "alive": alive, "membersVersion": version, "joined": qu.members.joined, "waiting": len(qu.waiting),
		"organisations": qu.node.Uses(qu.opts.Clock.Now(), maxDumped),
	}
}
