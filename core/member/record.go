// Package member implements decentralized group membership: a table of the
// fleet's daemons and of the upstreams behind each of them. It needs neither a
// configured member list nor the keepers, which are the processes that store the
// settings.
//
// Each daemon owns one Record, which includes its upstreams, and increases the
// record's version with each change. Records are distributed by gossip, and
// merging keeps the newest. Failures are detected with direct and indirect
// probes and a suspicion timeout, as in SWIM (Das, Gupta and Motivala, 2002).
// docs/design/membership.md gives the rules.
//
// A Table does no I/O and reads no clock. Usage, by one goroutine:
//
//	out := table.Tick(now)               // messages to send
//	out = table.Handle(now, msg)         // processes a received message
//	out = table.SetUpstreams(now, list, departed)  // replaces this daemon's upstreams
//	for _, rec := range table.Records() { ... }
package member

import "time"

// Status is the liveness of a daemon. When two records have the same version,
// the one with the higher status takes precedence.
type Status uint8

// The statuses of a daemon.
const (
	Alive Status = iota
	// Suspect daemons did not answer a probe. They become dead unless they
	// refute the suspicion in time.
	Suspect
	Dead
	// Left daemons announced that they leave the fleet.
	Left
)

// UpstreamState is the state of an upstream as announced by its daemon.
type UpstreamState uint8

// The states of an upstream.
const (
	StateCold UpstreamState = iota
	StateReady
	StateDraining
	// StateUnhealthy upstreams are unhealthy. Each daemon that sends requests decides
	// whether they are ejected, because the floor may keep them in use.
	StateUnhealthy
	// StateTrial upstreams are unhealthy and being checked with a trial request.
	StateTrial
	// StateSuspected upstreams are suspected of a failure burst: most requests fail
	// while the health check passes. They receive only a few requests, all safe to
	// retry.
	StateSuspected
)

// Upstream is one upstream as announced by its daemon.
type Upstream struct {
	ID      string        `codec:"i"`
	Service string        `codec:"s"`
	Address string        `codec:"a"`
	Slots   int           `codec:"n"`
	State   UpstreamState `codec:"t"`
	// Severity orders unhealthy upstreams. The floor, which is the capacity that
	// ejection must leave in use, keeps those with the lowest severity.
	Severity int    `codec:"v,omitempty"`
	Reason   string `codec:"r,omitempty"`
	// SinceMS is when the state began, in Unix milliseconds.
	SinceMS int64 `codec:"m,omitempty"`
	// RetryMS is when an unhealthy upstream gets its next trial request, in Unix
	// milliseconds.
	RetryMS int64 `codec:"y,omitempty"`
}

// Version orders the records of one daemon.
type Version struct {
	// Incarnation increases with each start of the daemon.
	Incarnation uint64 `codec:"i"`
	// Sequence increases with each change that the daemon makes to its record.
	Sequence uint64 `codec:"s"`
}

// Record describes one daemon. The daemon sets all fields. The other daemons change
// only two in their copies: Status, when they detect a failure, and Departed, to which
// they add the departures from earlier starts.
type Record struct {
	ID              string     `codec:"i"`
	Zone            string     `codec:"z"`
	PeerAddress     string     `codec:"p"`
	OperatorAddress string     `codec:"o"`
	Version         Version    `codec:"v"`
	Status          Status     `codec:"t"`
	Upstreams       []Upstream `codec:"u,omitempty"`
	// Departed holds the upstreams that left the daemon's VM. The other daemons keep
	// them for the next start of the daemon, which has no disk.
	Departed []Departure `codec:"d,omitempty"`
	// Keeper is set when the process is a keeper. Keepers have no upstreams.
	Keeper bool `codec:"k,omitempty"`
	// Streams is set when the daemon fetches large bodies as streams (package
	// core/stream). An older daemon that passes the record on leaves it out, and the
	// daemon then counts as one that does not.
	Streams bool `codec:"f,omitempty"`
}

// IsOlder reports whether ve precedes other.
func (ve Version) IsOlder(other Version) bool {
	if ve.Incarnation != other.Incarnation {
		return ve.Incarnation < other.Incarnation
	}
	return ve.Sequence < other.Sequence
}

// IsReplacedBy reports whether other, a record of the same daemon, is newer.
// Records with different versions or statuses are totally ordered, so the
// result of merging does not depend on the order in which records arrive.
func (re Record) IsReplacedBy(other Record) bool {
	if re.Version != other.Version {
		return re.Version.IsOlder(other.Version)
	}
	return re.Status < other.Status
}

// Retry returns when an unhealthy upstream gets its next trial request.
func (up Upstream) Retry() time.Time {
	return time.UnixMilli(up.RetryMS)
}

// Since returns when the upstream entered its current state.
func (up Upstream) Since() time.Time {
	return time.UnixMilli(up.SinceMS)
}

// String returns the name of the state.
func (up UpstreamState) String() string {
	return [...]string{"cold", "ready", "draining", "sick", "trial", "doubtful"}[min(up, StateSuspected)]
}

// String returns the name of the status.
func (st Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(st, Left)]
}
