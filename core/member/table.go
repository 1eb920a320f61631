package member

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Options are the times and limits of a Table.
type Options struct {
	// ProbeEvery is the time between two probes of this daemon.
	ProbeEvery time.Duration
	// ProbeTimeout is how long a direct answer may take before others are asked.
	ProbeTimeout time.Duration
	// Helpers is how many others are asked.
	Helpers int
	// SuspectFor is how long a suspect may refute, for a fleet of ten; it grows
	// with the logarithm of the fleet.
	SuspectFor time.Duration
	// KeepGone is how long records of dead and left daemons are kept.
	KeepGone time.Duration
	// Fanout is to how many others a daemon passes news on at once, and
	// NewsPerSecond bounds how often; the rest travels with probes.
	Fanout        int
	NewsPerSecond float64
	// MaxUpdateBytes bounds the records that one message carries.
	MaxUpdateBytes int
	Seed           uint64
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	Ping MessageKind = iota + 1
	Ack
	PingRequest
	// News carries records and is not answered.
	News
)

// Message goes from one daemon to another.
type Message struct {
	Kind MessageKind `codec:"k"`
	From string      `codec:"f"`
	// Address is where the sender is answered.
	Address  string `codec:"a"`
	Sequence uint64 `codec:"q"`
	// Target is the address that a PingRequest asks to ping.
	Target string `codec:"t,omitempty"`
	// Settings is the sender's version of the settings.
	Settings uint64   `codec:"c"`
	Records  []Record `codec:"r,omitempty"`
}

// Outgoing is a message and the address it goes to.
type Outgoing struct {
	Address string
	Message Message
}

// Change is a change of a daemon's status.
type Change struct {
	ID     string
	From   Status
	To     Status
	IsNew  bool
	Record Record
}

// Table is the member table of one daemon. It is not safe for concurrent use.
type Table struct {
	opts     Options
	self     string
	rng      *rand.Rand
	settings uint64

	members map[string]*entry
	order   []string
	next    int
	revised uint64
	changes []Change

	sequence uint64
	probe    *probe
	probeAt  time.Time
	lastTick time.Time
	relays   map[uint64]relay
	newsLeft float64
}

type entry struct {
	record   Record
	since    time.Time
	settings uint64
	// sends is how many messages still carry the record.
	sends int
	// heardAt is when the daemon itself was last heard.
	heardAt time.Time
	// asked says that a suspect was asked a last time.
	asked bool
}

type probe struct {
	id       string
	sequence uint64
	askAt    time.Time
	endAt    time.Time
	asked    bool
}

type relay struct {
	address  string
	sequence uint64
	until    time.Time
}

const (
	resendFactor   = 4
	originFactor   = 3
	maxNewsSaved   = 50
	recordOverhead = 96
	upstreamSize   = 72
)

// DefaultOptions returns the options of a fleet.
func DefaultOptions() Options {
	return Options{
		ProbeEvery:     time.Second,
		ProbeTimeout:   300 * time.Millisecond,
		Helpers:        3,
		SuspectFor:     3 * time.Second,
		Fanout:         4,
		NewsPerSecond:  20,
		KeepGone:       10 * time.Minute,
		MaxUpdateBytes: 1100,
	}
}

// NewTable returns the table of a daemon that knows only itself.
func NewTable(self Record, opts Options, now time.Time) *Table {
	ta := &Table{
		opts:     opts,
		self:     self.ID,
		rng:      rand.New(rand.NewPCG(opts.Seed, 2)),
		members:  make(map[string]*entry),
		relays:   make(map[uint64]relay),
		probeAt:  now,
		lastTick: now,
	}
	self.Status = Alive
	ta.members[self.ID] = &entry{record: self, since: now}
	ta.revised = 1
	return ta
}

// Digest returns a short sum of the records of daemons that are not gone, for
// comparing two tables.
func (ta *Table) Digest() uint64 {
	var sum uint64
	for id, ent := range ta.members {
		if ent.record.Status < Dead {
			sum ^= recordHash(id, ent.record)
		}
	}
	return sum
}

// Leave marks this daemon as leaving and returns messages that spread it.
func (ta *Table) Leave(now time.Time) []Outgoing {
	ent := ta.members[ta.self]
	ent.record.Version.Sequence++
	ent.record.Status = Left
	ent.record.Upstreams = nil
	ta.touch(ent, now)
	return ta.tell(ta.opts.Fanout*originFactor, ent.record)
}

// Merge takes records from another table and returns those that were news.
func (ta *Table) Merge(now time.Time, records []Record) []Record {
	var news []Record
	for _, rec := range records {
		if ta.mergeOne(now, rec) {
			news = append(news, ta.members[rec.ID].record)
		}
	}
	return news
}

// NewerThan returns the records that another table lacks or has older.
func (ta *Table) NewerThan(have map[string]Summary) []Record {
	var records []Record
	for id, ent := range ta.members {
		sum, known := have[id]
		if !known && ent.record.Status >= Dead {
			continue
		}
		if !known || (Record{Version: sum.Version, Status: sum.Status}).IsReplacedBy(ent.record) {
			records = append(records, ent.record)
		}
	}
	return records
}

// Records returns every record, in order of id.
func (ta *Table) Records() []Record {
	records := make([]Record, 0, len(ta.members))
	for _, ent := range ta.members {
		records = append(records, ent.record)
	}
	slices.SortFunc(records, func(one, two Record) int { return cmp.Compare(one.ID, two.ID) })
	return records
}

// Revision grows with every change of the table.
func (ta *Table) Revision() uint64 { return ta.revised }

// Self returns the record of this daemon.
func (ta *Table) Self() Record { return ta.members[ta.self].record }

// SetSettings notes the settings version of this daemon.
func (ta *Table) SetSettings(version uint64) { ta.settings = version }

// SetUpstreams changes what stands beside this daemon, and returns messages
// that spread it.
func (ta *Table) SetUpstreams(now time.Time, upstreams []Upstream) []Outgoing {
	ent := ta.members[ta.self]
	if ent.record.Status == Left || slices.Equal(ent.record.Upstreams, upstreams) {
		return nil
	}
	ent.record.Upstreams = slices.Clone(upstreams)
	ent.record.Version.Sequence++
	ta.touch(ent, now)
	return ta.tell(ta.opts.Fanout*originFactor, ent.record)
}

// SettingsOf returns the settings version that a daemon last told this one.
func (ta *Table) SettingsOf(id string) uint64 {
	if id == ta.self {
		return ta.settings
	}
	if ent := ta.members[id]; ent != nil {
		return ent.settings
	}
	return 0
}

// Summary is the version and status of one record.
type Summary struct {
	Version Version `codec:"v"`
	Status  Status  `codec:"t"`
}

// Summaries returns the version and status of every record.
func (ta *Table) Summaries() map[string]Summary {
	sums := make(map[string]Summary, len(ta.members))
	for id, ent := range ta.members {
		sums[id] = Summary{Version: ent.record.Version, Status: ent.record.Status}
	}
	return sums
}

// TakeChanges returns the changes of status since the last call.
func (ta *Table) TakeChanges() []Change {
	changes := ta.changes
	ta.changes = nil
	return changes
}

func (ta *Table) mergeOne(now time.Time, rec Record) bool {
	if rec.ID == ta.self {
		return ta.refute(now, rec)
	}
	ent, known := ta.members[rec.ID]
	if !known && rec.Status >= Dead {
		return false // One that was forgotten must not come back from another table.
	}
	if !known {
		ta.members[rec.ID] = &entry{record: rec}
		ta.order = append(ta.order, rec.ID)
		at := ta.rng.IntN(len(ta.order))
		ta.order[at], ta.order[len(ta.order)-1] = ta.order[len(ta.order)-1], ta.order[at]
		ta.changes = append(ta.changes, Change{ID: rec.ID, To: rec.Status, IsNew: true, Record: rec})
		ta.touch(ta.members[rec.ID], now)
		return true
	}
	if !ent.record.IsReplacedBy(rec) {
		return false
	}
	before := ent.record.Status
	ent.record = rec
	ent.asked = false
	if before != rec.Status {
		ta.changes = append(ta.changes, Change{ID: rec.ID, From: before, To: rec.Status, Record: rec})
	}
	ta.touch(ent, now)
	return true
}

// refute answers what others say of this daemon with a newer record.
func (ta *Table) refute(now time.Time, rec Record) bool {
	ent := ta.members[ta.self]
	if !ent.record.IsReplacedBy(rec) {
		return false
	}
	if ent.record.Version.Incarnation < rec.Version.Incarnation {
		ent.record.Version.Incarnation = rec.Version.Incarnation + 1
	}
	ent.record.Version.Sequence = max(ent.record.Version.Sequence, rec.Version.Sequence) + 1
	ta.touch(ent, now)
	return true
}

// tell returns messages that carry a record to a few others at once.
func (ta *Table) tell(count int, rec Record) []Outgoing {
	var out []Outgoing
	for _, id := range ta.pick(count, rec.ID) {
		msg := Message{Kind: News, From: ta.self, Address: ta.members[ta.self].record.PeerAddress, Settings: ta.settings, Records: []Record{rec}}
		out = append(out, Outgoing{Address: ta.members[id].record.PeerAddress, Message: msg})
	}
	return out
}

// passOn spreads records that were news to this daemon, as far as the bound on
// such messages allows.
func (ta *Table) passOn(news []Record) []Outgoing {
	var out []Outgoing
	for _, rec := range news {
		if ta.newsLeft < 1 {
			break
		}
		ta.newsLeft--
		out = append(out, ta.tell(ta.opts.Fanout, rec)...)
	}
	return out
}

// touch notes that a record changed, so that messages carry it.
func (ta *Table) touch(ent *entry, now time.Time) {
	ent.since = now
	ent.sends = resendFactor * int(math.Ceil(math.Log10(float64(len(ta.members)+1))))
	ta.revised++
}

// pick returns up to count other daemons that are not gone, at random.
func (ta *Table) pick(count int, without string) []string {
	var ids []string
	for _, at := range ta.rng.Perm(len(ta.order)) {
		id := ta.order[at]
		if id != without && ta.members[id].record.Status < Dead {
			ids = append(ids, id)
		}
		if len(ids) == count {
			break
		}
	}
	return ids
}

// PickPeer returns the address of a daemon at random, or "" when there is none.
func (ta *Table) PickPeer() string {
	for _, id := range ta.pick(1, "") {
		return ta.members[id].record.PeerAddress
	}
	return ""
}

// PickGone returns the address of a dead daemon at random, or "". Asking it now
// and then lets two halves of a fleet find each other again.
func (ta *Table) PickGone() string {
	for _, at := range ta.rng.Perm(len(ta.order)) {
		if rec := ta.members[ta.order[at]].record; rec.Status == Dead {
			return rec.PeerAddress
		}
	}
	return ""
}

// recordSize estimates the encoded size of a record, in bytes.
func recordSize(rec Record) int {
	return recordOverhead + len(rec.Upstreams)*upstreamSize
}

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
