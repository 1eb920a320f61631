// Package quota admits requests of organisations at the rate that each organisation
// is allowed, over all daemons of the fleet and without a central service.
//
// The quota of an organisation is divided among daemons, its holders. Each daemon
// derives them by rendezvous hashing from its member set, so no message is needed to
// agree. A holder has a token bucket with its part of the rate. The daemon that
// accepts a request takes a token from its own bucket or asks other holders. Because
// the buckets together never hold more than the quota and a fixed allowance,
// partitions, pauses and restarts can't exceed the limit. docs/design/quota.md gives
// the rules and the figures.
//
// A Node makes the decisions of one daemon. It does no I/O and reads no clock.
// Usage, with the caller's lock held:
//
//	node := quota.NewNode("d1", "zone1", seed)
//	node.Start(now)                           // when the process starts
//	node.SetMembers(now, members)             // whenever the member table changes
//	node.Join(now)                            // once the fleet is known
//	result := node.Take(now, quota.Ask{...})  // calls to send, requests that are decided
//	result = node.Finish(now, call, answer, ok)
//	answer := node.Serve(now, ask)            // a call of another daemon
//	node.Return(now, "acme")                  // the request has not run
//	answer := node.Peek(now, ask)             // what Serve would answer; changes nothing
//	fork := node.Fork(now, "acme", seed)      // to ask what Take would decide
package quota

import (
	"math"
	"time"
)

// Limit is the number of requests per second that an organisation may run, and how
// many more at once after a pause. A PerSecond of 0 means that there is no limit.
type Limit struct {
	PerSecond float64
	Burst     float64
}

const (
	// window is the time over which the number of an organisation's requests is
	// bounded: in any window at most (5 s * rate + burst) * 1.1 + 20 may start.
	window = 5 * time.Second
	// The depths of all buckets exceed the burst by depthAllowance requests and
	// depthFraction of a window's requests, because requests are whole and demand is
	// uneven. It is more than half of what the bound allows beyond the quota.
	depthAllowance = 12
	depthFraction  = 0.05
	// minDepth is the depth of a bucket in requests that determines the number of
	// holders. What exceeds one request is the time for which a holder that has a
	// token can wait for a request without losing what it fills in.
	minDepth = 2
	// minHolders is the number of holders that the smallest organisation has.
	minHolders = 3
	// Up to isolatedAllowance daemons, and isolatedFraction of a window's requests, may
	// admit one request in each window while they reach no holder.
	isolatedAllowance = 5
	isolatedFraction  = 0.03
	// The buckets of started daemons begin with startAllowance requests and startFraction
	// of a window's requests in all. It is about a quarter of what the bound allows beyond the
	// quota: half of what the depths leave, so that all daemons may start twice in a window.
	startAllowance = 4
	startFraction  = 0.025
	// returnAllowance and returnFraction bound the returned requests that all holders
	// together accept: the burst in requests, and the part of the rate.
	returnAllowance = 2
	returnFraction  = 0.01
)

// share is the part of a limit that each of its holders has.
type share struct {
	// wanted is the number of holders in a fleet of any size, and holders that in the
	// present one.
	wanted  int
	holders int
	// rate is in tokens per second, and depth in tokens.
	rate  float64
	depth float64
	// start is the level of the bucket of a daemon when it starts.
	start float64
	// returnRate and returnDepth limit the returned tokens that are accepted.
	returnRate  float64
	returnDepth float64
}

// perWindow returns the number of requests that the limit allows in a window.
func (li Limit) perWindow() float64 {
	return window.Seconds()*li.PerSecond + li.Burst
}

// isolated returns the number of daemons that may admit requests while they reach no
// holder.
func (li Limit) isolated() int {
	return int(isolatedFraction*li.perWindow()) + isolatedAllowance
}

// shareOf divides a limit among the holders in a fleet of a number of daemons.
func shareOf(li Limit, daemons int) share {
	depth := li.Burst + depthAllowance + depthFraction*li.perWindow()
	wanted := int(math.Min(math.Max(depth/minDepth, minHolders), math.MaxInt32))
	holders := max(min(wanted, daemons), 1)
	count := float64(holders)
	return share{
		wanted: wanted, holders: holders, rate: li.PerSecond / count, depth: depth / count,
		start:      (startAllowance + startFraction*li.perWindow()) / count,
		returnRate: returnFraction * li.PerSecond / count, returnDepth: returnAllowance / count,
	}
}
