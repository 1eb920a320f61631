// Package claim implements at-most-once execution of non-idempotent requests: a
// quorum lock on the idempotency key of each request.
//
// Before a request is sent to an upstream, its key is claimed at a majority of the
// three claim holders of its group. Holders keep claims in memory only. A key is a
// UUID of version 7, which contains its creation time, and a holder votes only for
// keys whose claims it can't have lost: those created after its own start. A
// restarted holder therefore votes for new keys at once and needs no disk.
// docs/design/at-most-once.md gives the proof and the alternatives considered.
//
// Usage, at a holder, with the caller's lock held:
//
//	hol := claim.NewHolder(options, now)
//	answer := hol.Claim(now, request)
//	hol.Finish(now, finish)
//
// and at a daemon that receives a request:
//
//	clm := claim.NewClaimant(holders)
//	grant := clm.Claim(ctx, table, key, attempt)
package claim

import (
	"container/heap"
	"time"
)

// Decision is what one holder decides on a claim.
type Decision uint8

// Decisions of a holder.
const (
	// Granted means that the attempt holds the key at this holder.
	Granted Decision = iota + 1
	// Taken means that another attempt holds the key and may have run.
	Taken
	// Finished means that an attempt under the key ran. The answer has its record.
	Finished
	// Closed means that no attempt under the key ran and none can run yet: the key
	// was released less than Options.CloseFor ago, and claims of other attempts may
	// still be in transit.
	Closed
	// TooOld means that the key is older than Options.Window, so its claims may have
	// expired.
	TooOld
	// NotVoting means that this holder may have lost claims of the key in a restart,
	// or that the key is invalid or from the future.
	NotVoting
	// WrongTable means that the claimant uses a table of another epoch, or that the
	// holder doesn't vote in its table yet.
	WrongTable
	// Full means that the holder has reached MaxClaims or MaxBytes.
	Full
)

// Options are the durations and limits of a Holder.
type Options struct {
	// Window is the time after its creation in which a key can be claimed.
	Window time.Duration
	// Skew is the largest assumed clock error of callers and VMs.
	Skew time.Duration
	// CloseFor is the time for which a released key can't be claimed. It must be
	// longer than any attempt takes from its arrival to its claim.
	CloseFor time.Duration
	// MaxClaims and MaxBytes limit the memory of all claims.
	MaxClaims int
	MaxBytes  int
	// MaxAnswer is the largest body, in bytes, that is kept in a record.
	MaxAnswer int
}

// Request claims a key for an attempt.
type Request struct {
	Key     string `codec:"k"`
	Attempt string `codec:"a"`
	Epoch   uint64 `codec:"e"`
}

// Answer is a holder's answer to a claim.
type Answer struct {
	Decision Decision `codec:"v"`
	Record   *Record  `codec:"r,omitempty"`
}

// Record is the recorded answer to the request of a key.
type Record struct {
	Status int               `codec:"s"`
	Header map[string]string `codec:"h"`
	Body   []byte            `codec:"b"`
	// Whole is set if the record holds the whole answer.
	Whole bool `codec:"w"`
}

// Finish reports how the attempt that holds a key ended.
type Finish struct {
	Key     string `codec:"k"`
	Attempt string `codec:"a"`
	// NotRun promises that the attempt did not run. The key is released.
	NotRun bool    `codec:"n"`
	Record *Record `codec:"r,omitempty"`
}

// Entry is one claim, in the form in which it is stored and copied to a new holder.
type Entry struct {
	Key      string `codec:"k"`
	Attempt  string `codec:"a"`
	Released bool   `codec:"x"`
	// At is when the key was claimed or, if later, when Finish was called for it.
	At     time.Time `codec:"t"`
	Record *Record   `codec:"r,omitempty"`
}

// Holder stores the claims of one claim holder and votes on new ones. It is not
// safe for concurrent use.
type Holder struct {
	opts Options
	// votesAfter is the creation time after which the holder votes for keys.
	votesAfter time.Time
	epoch      uint64

	claims map[string]*Entry
	expiry expiryHeap
	bytes  int
	// confirmed is set if, at some time after the start, the holder's table was
	// confirmed to be the newest in use.
	confirmed bool
	// copying is set while the holder must still copy the claims of the former
	// holders.
	copying bool
}

// entryOverheadBytes is the memory counted for a claim in addition to its record.
const entryOverheadBytes = 256

// DefaultOptions returns the default options of a Holder.
func DefaultOptions() Options {
	return Options{
		Window:    10 * time.Minute,
		Skew:      5 * time.Second,
		CloseFor:  2 * time.Second,
		MaxClaims: 50_000,
		MaxBytes:  16 << 20,
		MaxAnswer: 4 << 10,
	}
}

// NewHolder returns a Holder without claims. It votes only for keys created later
// than now plus the clock skew, because it may have lost the claims of earlier
// keys in a restart.
func NewHolder(opts Options, now time.Time) *Holder {
	return &Holder{opts: opts, votesAfter: now.Add(opts.Skew), claims: make(map[string]*Entry)}
}

// Claim decides whether an attempt gets a key. It is idempotent: a second claim of
// the same attempt gets the same decision.
func (ho *Holder) Claim(now time.Time, req Request) Answer {
	ho.expire(now)
	if req.Epoch != ho.epoch || ho.IsPending() {
		return Answer{Decision: WrongTable}
	}
	if ent := ho.claims[req.Key]; ent != nil {
		return ho.answerExisting(now, ent, req)
	}
	created, err := KeyTime(req.Key)
	switch {
	case err != nil || created.After(now.Add(ho.opts.Skew)):
		return Answer{Decision: NotVoting}
	case created.Before(now.Add(-ho.opts.Window)):
		return Answer{Decision: TooOld}
	case !ho.hasFullHistory(req.Key):
		return Answer{Decision: NotVoting}
	case len(ho.claims) >= ho.opts.MaxClaims || ho.bytes >= ho.opts.MaxBytes:
		return Answer{Decision: Full}
	}
	ho.insert(&Entry{Key: req.Key, Attempt: req.Attempt, At: now}, created)
	return Answer{Decision: Granted}
}

// Count returns the number of claims and their size in bytes.
func (ho *Holder) Count() (claims, bytes int) {
	return len(ho.claims), ho.bytes
}

// Entries returns a copy of every claim, for a new holder.
func (ho *Holder) Entries() []Entry {
	entries := make([]Entry, 0, len(ho.claims))
	for _, ent := range ho.claims {
		entries = append(entries, *ent)
	}
	return entries
}

// Epoch returns the epoch of the table in which the holder votes.
func (ho *Holder) Epoch() uint64 { return ho.epoch }

// Finish records how an attempt ended. It ignores attempts that don't hold the key, and
// those whose record is stored already.
func (ho *Holder) Finish(now time.Time, fin Finish) {
	ent := ho.claims[fin.Key]
	if ent == nil || ent.Attempt != fin.Attempt || ent.Record != nil {
		return
	}
	ent.At = now
	if fin.NotRun {
		ent.Released = true
		return
	}
	ent.Record = ho.trimRecord(fin.Record)
	ho.bytes += recordSize(ent.Record)
}

// Confirm marks a table as the newest in use, according to the keepers or to all
// other holders of the group. Before a restart, the holder may have moved on to a
// newer table, which it no longer knows. A confirmation by the other holders is
// therefore valid only from VotesAfter on: by then, a holder that copied claims from
// this one before the restart has finished.
func (ho *Holder) Confirm(epoch uint64) {
	if epoch == ho.epoch {
		ho.confirmed = true
	}
}

// IsConfirmed reports whether the holder's table was confirmed.
func (ho *Holder) IsConfirmed() bool { return ho.confirmed }

// IsCopying reports whether the holder must still copy the claims of the former
// holders.
func (ho *Holder) IsCopying() bool { return ho.copying }

// IsPending reports whether the holder doesn't vote yet in its table.
func (ho *Holder) IsPending() bool { return ho.copying || !ho.confirmed }

// IsVoting reports whether the holder votes for keys created now.
func (ho *Holder) IsVoting(now time.Time) bool {
	return !ho.IsPending() && !now.Before(ho.votesAfter)
}

// SetEpoch moves the holder to a newer table and ends its votes in the former one.
// If the holder must copy the claims of the former holders first, it doesn't vote
// until Restore is called.
func (ho *Holder) SetEpoch(epoch uint64, mustCopy bool) {
	if epoch <= ho.epoch {
		return
	}
	ho.epoch = epoch
	ho.copying = ho.copying || mustCopy
}

// VotesAfter returns the creation time after which the holder votes for keys.
func (ho *Holder) VotesAfter() time.Time { return ho.votesAfter }

// Restore adds the claims of a majority of the former holders, all of which have
// left the former table, and enables voting. The holder doesn't vote for keys
// created up to votesAfter, because one of the former holders may have lost their
// claims.
func (ho *Holder) Restore(now time.Time, epoch uint64, votesAfter time.Time, entries []Entry) {
	if epoch != ho.epoch {
		return
	}
	if votesAfter.After(ho.votesAfter) {
		ho.votesAfter = votesAfter
	}
	for _, ent := range entries {
		ho.merge(ent)
	}
	ho.copying = false
	ho.expire(now)
}

// answerExisting decides on a key that has a claim.
func (ho *Holder) answerExisting(now time.Time, ent *Entry, req Request) Answer {
	switch {
	case ent.Record != nil:
		return Answer{Decision: Finished, Record: ent.Record}
	case ent.Released && now.Sub(ent.At) < ho.opts.CloseFor:
		return Answer{Decision: Closed}
	case ent.Released && !ho.hasFullHistory(req.Key):
		return Answer{Decision: NotVoting}
	case ent.Released:
		ent.Attempt = req.Attempt
		ent.Released = false
		ent.At = now
		return Answer{Decision: Granted}
	case ent.Attempt == req.Attempt:
		return Answer{Decision: Granted}
	}
	return Answer{Decision: Taken}
}

// trimRecord returns a copy of rec, without the body if that exceeds
// Options.MaxAnswer.
func (ho *Holder) trimRecord(rec *Record) *Record {
	if rec == nil {
		return &Record{}
	}
	trimmed := *rec
	if len(trimmed.Body) > ho.opts.MaxAnswer {
		trimmed.Body = nil
		trimmed.Whole = false
	}
	return &trimmed
}

// expire deletes the claims of keys that are too old to be claimed again.
func (ho *Holder) expire(now time.Time) {
	for len(ho.expiry) > 0 && ho.expiry[0].created.Before(now.Add(-ho.opts.Window-ho.opts.Skew)) {
		item := heap.Pop(&ho.expiry).(expiryItem)
		if ent := ho.claims[item.key]; ent != nil {
			ho.bytes -= entryOverheadBytes + recordSize(ent.Record)
			delete(ho.claims, item.key)
		}
	}
}

// hasFullHistory reports whether the holder can't have lost a claim of the key. A
// released claim that was copied from another holder doesn't prove this.
func (ho *Holder) hasFullHistory(key string) bool {
	created, err := KeyTime(key)
	return err == nil && created.After(ho.votesAfter)
}

// merge adds a claim of a former holder. If the key has one already, a claim of an
// attempt that ran replaces one that may run, and that one replaces a released one.
func (ho *Holder) merge(ent Entry) {
	created, err := KeyTime(ent.Key)
	if err != nil {
		return
	}
	existing := ho.claims[ent.Key]
	if existing == nil {
		ho.insert(&ent, created)
		return
	}
	if existing.Record == nil && (ent.Record != nil || existing.Released && !ent.Released) {
		ho.bytes += recordSize(ent.Record)
		*existing = ent
	}
}

func (ho *Holder) insert(ent *Entry, created time.Time) {
	ho.claims[ent.Key] = ent
	ho.bytes += entryOverheadBytes + recordSize(ent.Record)
	heap.Push(&ho.expiry, expiryItem{key: ent.Key, created: created})
}

type expiryItem struct {
	key     string
	created time.Time
}

type expiryHeap []expiryItem

func (ex expiryHeap) Len() int           { return len(ex) }
func (ex expiryHeap) Less(i, j int) bool { return ex[i].created.Before(ex[j].created) }
func (ex expiryHeap) Swap(i, j int)      { ex[i], ex[j] = ex[j], ex[i] }

// Push implements heap.Interface.
func (ex *expiryHeap) Push(item any) { *ex = append(*ex, item.(expiryItem)) }

// Pop implements heap.Interface.
func (ex *expiryHeap) Pop() any {
	old := *ex
	item := old[len(old)-1]
	*ex = old[:len(old)-1]
	return item
}

// recordSize returns the size of a record in bytes, as counted for Options.MaxBytes.
func recordSize(rec *Record) int {
	if rec == nil {
		return 0
	}
	size := len(rec.Body)
	for name, value := range rec.Header {
		size += len(name) + len(value)
	}
	return size
}
