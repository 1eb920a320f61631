package member

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Options holds the timeouts and limits of a Table.
type Options struct {
	// ProbeInterval is the time between two probes that this daemon starts.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for a direct answer before other daemons
	// are asked to probe the target.
	ProbeTimeout time.Duration
	// IndirectProbes is how many daemons are asked for an indirect probe.
	IndirectProbes int
	// SuspicionTimeout is how long a suspect has to refute the suspicion, in a
	// fleet of up to ten daemons. In a larger fleet it is multiplied by the decimal
	// logarithm of the fleet's size.
	SuspicionTimeout time.Duration
	// GoneRetention is how long the records of dead and left daemons are kept.
	GoneRetention time.Duration
	// Fanout is how many daemons of the own zone a new record is forwarded to
	// immediately, and ForwardsPerSecond limits how many records are forwarded that way. Records
	// above the limit are only piggybacked on probes.
	Fanout            int
	ForwardsPerSecond float64
	// MaxUpdateBytes limits the estimated size of the records in one message.
	MaxUpdateBytes int
	// Seed initializes the random number generator.
	Seed uint64
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	// Ping is a direct probe, answered with an Ack.
	Ping MessageKind = iota + 1
	Ack
	// PingRequest asks the receiver for an indirect probe: to ping Target and to
	// relay its Ack.
	PingRequest
	// Update only carries records and is not answered.
	Update
)

// Message is a datagram between two daemons. Every kind may carry records.
type Message struct {
	Kind MessageKind `codec:"k"`
	From string      `codec:"f"`
	// Address is where answers are sent.
	Address  string `codec:"a"`
	Sequence uint64 `codec:"q"`
	// Target is the address to ping for a PingRequest.
	Target string `codec:"t,omitempty"`
	// SettingsVersion is the version of the settings that the sender holds.
	SettingsVersion uint64   `codec:"c"`
	Records         []Record `codec:"r,omitempty"`
	// Digest is a checksum of all records of the sender's table, so that a receiver with
	// an equal table sends it none. Older daemons send none.
	Digest uint64 `codec:"h,omitempty"`
}

// Outgoing is a message to send and its destination.
type Outgoing struct {
	Address string
	Message Message
}

// Change describes a change of a daemon's status.
type Change struct {
	ID   string
	From Status
	To   Status
	// IsNew is set when the daemon was not in the table before.
	IsNew  bool
	Record Record
}

// Table is one daemon's view of the fleet's members. It is not safe for concurrent use.
type Table struct {
	opts            Options
	self            string
	rng             *rand.Rand
	settingsVersion uint64

	members map[string]*entry
	// order lists the other members in the order in which they are probed.
	order          []string
	nextProbeIndex int
	revision       uint64
	changes        []Change

	inherited []Departure

	sequence    uint64
	probe       *probe
	nextProbeAt time.Time
	lastTick    time.Time
	relays      map[uint64]relay
	// digest is the checksum of all records at digestRevision.
	digest         uint64
	digestRevision uint64
	// forwardTokens is the token bucket behind Options.ForwardsPerSecond.
	forwardTokens float64
}

// entry is a member's record with the local state that is kept for it.
type entry struct {
	record Record
	// changedAt is when the record changed, or when its suspicion was renewed.
	changedAt       time.Time
	settingsVersion uint64
	// sendsLeft is how many more messages carry the record.
	sendsLeft int
	// lastReceivedAt is when the last message from the daemon itself arrived.
	lastReceivedAt time.Time
	// sendsDigest is set if that message has a digest.
	sendsDigest bool
	// finalPingSent is set once a suspect was pinged a last time before it is
	// declared dead.
	finalPingSent bool
}

// probe is the probe in progress.
type probe struct {
	id       string
	sequence uint64
	// indirectAt is when indirect probes are sent, and endsAt when the probe has
	// failed.
	indirectAt   time.Time
	endsAt       time.Time
	indirectSent bool
}

// relay is a ping sent for another daemon, whose Ack is to be relayed.
type relay struct {
	address   string
	sequence  uint64
	expiresAt time.Time
}

const (
	// retransmitFactor times the decimal logarithm of the fleet's size, rounded up,
	// is how many messages carry a changed record.
	retransmitFactor = 4
	// originFanoutFactor multiplies the fanout for a daemon's own record.
	originFanoutFactor = 3
	// crossZoneShare is the share of the daemons that forward a new record to a daemon of
	// another zone, since bytes between zones are expensive. Each daemon that receives the
	// record forwards it, so each zone still gets several copies.
	crossZoneShare = 0.5
	// maxForwardTokens is the burst size of the forwarding rate limit, in records.
	maxForwardTokens = 50
	// recordBaseSize and upstreamSize estimate encoded sizes, in bytes.
	recordBaseSize = 96
	upstreamSize   = 72
	departureSize  = 32
)

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:     time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionTimeout:  3 * time.Second,
		Fanout:            4,
		ForwardsPerSecond: 20,
		GoneRetention:     10 * time.Minute,
		MaxUpdateBytes:    1100,
	}
}

// NewTable returns a table that contains only self.
func NewTable(self Record, opts Options, now time.Time) *Table {
	ta := &Table{
		opts:        opts,
		self:        self.ID,
		rng:         rand.New(rand.NewPCG(opts.Seed, 2)),
		members:     make(map[string]*entry),
		relays:      make(map[uint64]relay),
		nextProbeAt: now,
		lastTick:    now,
	}
	self.Status = Alive
	ta.members[self.ID] = &entry{record: self, changedAt: now}
	ta.revision = 1
	return ta
}

// Leave marks this daemon as left and returns messages that announce it.
func (ta *Table) Leave(now time.Time) []Outgoing {
	ent := ta.members[ta.self]
	ent.record.Version.Sequence++
	ent.record.Status = Left
	ent.record.Upstreams = nil
	ta.markChanged(ent, now)
	return ta.sendToRandomPeers(ta.opts.Fanout*originFanoutFactor, ent.record)
}

// Merge merges records from another table and returns those that changed this one.
func (ta *Table) Merge(now time.Time, records []Record) []Record {
	var changed []Record
	for _, rec := range records {
		if ta.mergeRecord(now, rec) {
			changed = append(changed, ta.members[rec.ID].record)
		}
	}
	return changed
}

// Records returns all records, sorted by ID.
func (ta *Table) Records() []Record {
	records := make([]Record, 0, len(ta.members))
	for _, ent := range ta.members {
		records = append(records, ent.record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// Revision returns a counter that increases with each change of the table.
func (ta *Table) Revision() uint64 { return ta.revision }

// Self returns the record of this daemon.
func (ta *Table) Self() Record { return ta.members[ta.self].record }

// SetSettingsVersion sets the settings version that this daemon's messages report.
func (ta *Table) SetSettingsVersion(version uint64) { ta.settingsVersion = version }

// SetUpstreams replaces the upstreams of this daemon and its departures, and returns
// messages that announce them.
func (ta *Table) SetUpstreams(now time.Time, upstreams []Upstream, departed []Departure) []Outgoing {
	ent := ta.members[ta.self]
	if ent.record.Status == Left || slices.Equal(ent.record.Upstreams, upstreams) && slices.Equal(ent.record.Departed, departed) {
		return nil
	}
	ent.record.Upstreams = slices.Clone(upstreams)
	ent.record.Departed = slices.Clone(departed)
	ent.record.Version.Sequence++
	ta.markChanged(ent, now)
	return ta.sendToRandomPeers(ta.opts.Fanout*originFanoutFactor, ent.record)
}

// SettingsVersionOf returns the settings version last reported by a daemon, or 0
// when none is known.
func (ta *Table) SettingsVersionOf(id string) uint64 {
	if id == ta.self {
		return ta.settingsVersion
	}
	if ent := ta.members[id]; ent != nil {
		return ent.settingsVersion
	}
	return 0
}

// TakeChanges returns the status changes since the last call.
func (ta *Table) TakeChanges() []Change {
	changes := ta.changes
	ta.changes = nil
	return changes
}

// mergeRecord merges one record and reports whether it changed the table.
func (ta *Table) mergeRecord(now time.Time, rec Record) bool {
	if rec.ID == ta.self {
		return ta.refute(now, rec)
	}
	ent, known := ta.members[rec.ID]
	if !known && rec.Status >= Dead {
		return false // A daemon that was removed must not return through an outdated table.
	}
	if !known {
		ta.members[rec.ID] = &entry{record: rec}
		ta.order = append(ta.order, rec.ID)
		pos := ta.rng.IntN(len(ta.order))
		ta.order[pos], ta.order[len(ta.order)-1] = ta.order[len(ta.order)-1], ta.order[pos]
		ta.changes = append(ta.changes, Change{ID: rec.ID, To: rec.Status, IsNew: true, Record: rec})
		ta.markChanged(ta.members[rec.ID], now)
		return true
	}
	if !ent.record.IsReplacedBy(rec) {
		return ta.mergeDepartures(ent, rec.Departed)
	}
	oldStatus := ent.record.Status
	rec.Departed = insertMissing(rec.Departed, ent.record.Departed)
	ent.record = rec
	ent.finalPingSent = false
	if oldStatus != rec.Status {
		ta.changes = append(ta.changes, Change{ID: rec.ID, From: oldStatus, To: rec.Status, Record: rec})
	}
	ta.markChanged(ent, now)
	return true
}

// refute raises the version of this daemon's record above a newer one that other
// daemons hold, such as a suspicion, so that its own record replaces theirs. Its own
// record may also return with departures from earlier starts.
func (ta *Table) refute(now time.Time, rec Record) bool {
	ta.inherited = insertMissing(ta.inherited, rec.Departed)
	ent := ta.members[ta.self]
	if !ent.record.IsReplacedBy(rec) {
		return false
	}
	if ent.record.Version.Incarnation < rec.Version.Incarnation {
		ent.record.Version.Incarnation = rec.Version.Incarnation + 1
	}
	ent.record.Version.Sequence = max(ent.record.Version.Sequence, rec.Version.Sequence) + 1
	ta.markChanged(ent, now)
	return true
}

// sendToRandomPeers returns messages that carry a record to up to count random
// daemons.
func (ta *Table) sendToRandomPeers(count int, rec Record) []Outgoing {
	return ta.sendUpdate(ta.pickPeers(count, rec.ID), rec)
}

// sendUpdate returns messages that carry a record to some daemons.
func (ta *Table) sendUpdate(ids []string, rec Record) []Outgoing {
	var out []Outgoing
	for _, id := range ids {
		msg := Message{Kind: Update, From: ta.self, Address: ta.members[ta.self].record.PeerAddress, SettingsVersion: ta.settingsVersion, Records: []Record{rec}}
		out = append(out, Outgoing{Address: ta.members[id].record.PeerAddress, Message: msg})
	}
	return out
}

// forward returns messages that pass records on, within the rate limit of
// ForwardsPerSecond.
func (ta *Table) forward(records []Record) []Outgoing {
	var out []Outgoing
	for _, rec := range records {
		if ta.forwardTokens < 1 {
			break
		}
		ta.forwardTokens--
		out = append(out, ta.sendUpdate(ta.pickForwardPeers(ta.opts.Fanout, rec.ID), rec)...)
	}
	return out
}

// markChanged records that an entry changed and schedules its record for gossip.
func (ta *Table) markChanged(ent *entry, now time.Time) {
	ent.changedAt = now
	ta.scheduleGossip(ent)
}

// scheduleGossip lets the next messages carry an entry's record.
func (ta *Table) scheduleGossip(ent *entry) {
	ent.sendsLeft = retransmitFactor * int(math.Ceil(math.Log10(float64(len(ta.members)+1))))
	ta.revision++
}

// pickPeers returns the IDs of up to count random daemons that are neither dead nor
// left, except this one and exclude.
func (ta *Table) pickPeers(count int, exclude string) []string {
	var ids []string
	for _, index := range ta.rng.Perm(len(ta.order)) {
		id := ta.order[index]
		if id != exclude && ta.members[id].record.Status < Dead {
			ids = append(ids, id)
		}
		if len(ids) == count {
			break
		}
	}
	return ids
}

// pickForwardPeers returns the IDs of up to count daemons of this daemon's zone, and with
// the probability crossZoneShare one of another. If the own zone has fewer than count,
// others take their place. The first one of another zone is of a random zone, so that a zone of few daemons
// is reached as soon as a large one.
func (ta *Table) pickForwardPeers(count int, exclude string) []string {
	own := ta.members[ta.self].record.Zone
	var near, far, zones []string
	for _, id := range ta.pickPeers(len(ta.order), exclude) {
		zone := ta.members[id].record.Zone
		if zone == own {
			near = append(near, id)
			continue
		}
		far = append(far, id)
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	if len(zones) > 1 {
		first := zones[ta.rng.IntN(len(zones))]
		index := slices.IndexFunc(far, func(id string) bool { return ta.members[id].record.Zone == first })
		far[0], far[index] = far[index], far[0]
	}
	nearCount := min(len(near), count)
	farCount := min(count-nearCount, len(far))
	if farCount == 0 && len(far) > 0 && ta.rng.Float64() < crossZoneShare {
		farCount = 1
	}
	return append(near[:nearCount], far[:farCount]...)
}

// PickPeer returns the address of a random daemon that is neither dead nor left,
// or "" when there is none.
func (ta *Table) PickPeer() string {
	for _, id := range ta.pickPeers(1, "") {
		return ta.members[id].record.PeerAddress
	}
	return ""
}

// PickPeerInZone is like PickPeer, but returns a daemon of this daemon's zone if there is
// one.
func (ta *Table) PickPeerInZone() string {
	for _, id := range ta.pickPeers(len(ta.order), "") {
		if rec := ta.members[id].record; rec.Zone == ta.members[ta.self].record.Zone {
			return rec.PeerAddress
		}
	}
	return ta.PickPeer()
}

// PickPeerWithNewerSettings returns the address of a random member that last reported
// newer settings than version, or "" when there is none. Members of this daemon's zone
// come first, and members that are suspect last. The choice is random so that a member
// that can't be reached is not asked again and again, and none is asked by all.
func (ta *Table) PickPeerWithNewerSettings(version uint64) string {
	address, bestCost := "", 0
	for _, id := range ta.pickPeers(len(ta.order), "") {
		ent := ta.members[id]
		if ent.settingsVersion <= version {
			continue
		}
		cost := 0
		if ent.record.Zone != ta.members[ta.self].record.Zone {
			cost++
		}
		if ent.record.Status == Suspect {
			cost += 2
		}
		if address == "" || cost < bestCost {
			address, bestCost = ent.record.PeerAddress, cost
		}
	}
	return address
}

// PickDead returns the address of a random dead daemon, or "" when there is none.
// Synchronizing with dead daemons occasionally lets the two sides of a healed
// network partition find each other again.
func (ta *Table) PickDead() string {
	for _, index := range ta.rng.Perm(len(ta.order)) {
		if rec := ta.members[ta.order[index]].record; rec.Status == Dead {
			return rec.PeerAddress
		}
	}
	return ""
}

// recordSize returns an estimate of the encoded size of a record, in bytes.
func recordSize(rec Record) int {
	return recordBaseSize + len(rec.Upstreams)*upstreamSize + len(rec.Departed)*departureSize
}

// recordHash returns a hash of a record's ID, version and status.
func recordHash(id string, rec Record) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	var buf [17]byte
	for i := range 8 {
		buf[i] = byte(rec.Version.Incarnation >> (8 * i))
		buf[8+i] = byte(rec.Version.Sequence >> (8 * i))
	}
	buf[16] = byte(rec.Status)
	_, _ = sum.Write(buf[:])
	return sum.Sum64()
}
