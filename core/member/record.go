// Package member is the table of the fleet's daemons and of the upstreams
// beside them, kept without a list and without the keepers.
//
// Every daemon owns one Record, with its upstreams in it, and is the only one
// that changes it; Records spread by gossip and merge to the newest. Probes
// with indirect checks and suspicion find daemons that are gone, after SWIM
// (Das, Gupta and Motivala, 2002). docs/design/membership.md gives the rules.
//
// A Table has no sockets and no clock of its own. Usage, by one goroutine:
//
//	out := table.Tick(now)         // messages to send
//	out = table.Handle(now, msg)   // a message that came
//	table.SetUpstreams(now, list)  // what stands beside this daemon
//	for _, rec := range table.Records() { ... }
package member

import "time"

// Status is what is known about a daemon. A higher status wins over a lower
// one of the same version of a record.
type Status uint8

// The statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// UpstreamState is what the daemon beside an upstream says of it.
type UpstreamState uint8

// The states of an upstream.
const (
	Cold UpstreamState = iota
	Ready
	Draining
	Sick
	Trial
	// Doubtful upstreams get only work that may be repeated, and little of it.
	Doubtful
)

// Upstream is one endpoint, as the daemon beside it announces it.
type Upstream struct {
	ID      string        `codec:"i"`
	Service string        `codec:"s"`
	Address string        `codec:"a"`
	Slots   int           `codec:"n"`
	State   UpstreamState `codec:"t"`
	// Severity orders sick upstreams: the floor keeps the least sick in use.
	Severity int    `codec:"v,omitempty"`
	Reason   string `codec:"r,omitempty"`
	// SinceMS and RetryMS are Unix milliseconds.
	SinceMS int64 `codec:"m,omitempty"`
	RetryMS int64 `codec:"y,omitempty"`
}

// Version orders the records of one daemon.
type Version struct {
	// Incarnation grows with every start of the daemon.
	Incarnation uint64 `codec:"i"`
	// Sequence grows with every change that the daemon makes to its record.
	Sequence uint64 `codec:"s"`
}

// Record is what a daemon says of itself, and what others found out about it.
type Record struct {
	ID              string     `codec:"i"`
	Zone            string     `codec:"z"`
	PeerAddress     string     `codec:"p"`
	OperatorAddress string     `codec:"o"`
	Version         Version    `codec:"v"`
	Status          Status     `codec:"t"`
	Upstreams       []Upstream `codec:"u,omitempty"`
	// Keeper says that the process is a keeper; it has no upstreams.
	Keeper bool `codec:"k,omitempty"`
}

// IsOlder says whether a version comes before another.
func (ve Version) IsOlder(other Version) bool {
	if ve.Incarnation != other.Incarnation {
		return ve.Incarnation < other.Incarnation
	}
	return ve.Sequence < other.Sequence
}

// IsReplacedBy says whether another record of the same daemon is newer. The
// order is total but for equal records, so merging gives one answer whatever
// the order in which records come.
func (re Record) IsReplacedBy(other Record) bool {
	if re.Version != other.Version {
		return re.Version.IsOlder(other.Version)
	}
	return re.Status < other.Status
}

// Retry returns when a sick upstream is tried again.
func (up Upstream) Retry() time.Time {
	return time.UnixMilli(up.RetryMS)
}

// Since returns since when the upstream is in its state.
func (up Upstream) Since() time.Time {
	return time.UnixMilli(up.SinceMS)
}

// String names the state.
func (up UpstreamState) String() string {
	return [...]string{"cold", "ready", "draining", "sick", "trial", "doubtful"}[min(up, Doubtful)]
}

// String names the status.
func (st Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(st, Left)]
}
