// Package claim lets a non-idempotent request run at most once in the fleet.
//
// A key is claimed at a majority of the three holders of its group before its
// request is sent to an upstream. Holders keep claims in memory only: a key is
// a UUID of version 7, which carries its time, and a holder votes only for
// keys that it can't have forgotten, those made after its own start. So a
// restarted holder is of use at once, and needs no disk.
// docs/design/at-most-once.md gives the argument and the ways weighed.
//
// Usage, at a holder, under the caller's lock:
//
//	hol := claim.NewHolder(options, now)
//	answer := hol.Claim(now, request)
//	hol.Finish(now, finish)
//
// and at a daemon that takes a request:
//
//	clm := claim.NewClaimant(ask, holders)
//	grant, err := clm.Claim(ctx, key, attempt)
package claim

import (
	"container/heap"
	"time"
)

// Verdict is what a holder answers to a claim.
type Verdict uint8

// The verdicts.
const (
	// Granted says that the attempt holds the key here.
	Granted Verdict = iota + 1
	// Taken says that another attempt holds the key, and may have run.
	Taken
	// Finished says that an attempt under the key ran; its record is given.
	Finished
	// Closed says that no attempt under the key ran, and that none can run yet:
	// an attempt was refused a moment ago, and others may still be on their way.
	Closed
	// TooOld says that the key is older than what holders remember.
	TooOld
	// NotVoting says that this holder may have forgotten claims of the key.
	NotVoting
	// WrongTable says that the asker and the holder know different holders.
	WrongTable
	// Full says that the holder has no room for another claim.
	Full
)

// Options are the times and limits of a Holder.
type Options struct {
	// Window is how long after its time a key can be claimed.
	Window time.Duration
	// Skew bounds the error of the clocks of callers and VMs.
	Skew time.Duration
	// CloseFor is how long a released key stays closed: longer than any attempt
	// takes from its arrival to its claim.
	CloseFor time.Duration
	// MaxClaims and MaxBytes bound the memory.
	MaxClaims int
	MaxBytes  int
	// MaxAnswer bounds an answer that is kept whole.
	MaxAnswer int
}

// Request asks for a key.
type Request struct {
	Key     string `codec:"k"`
	Attempt string `codec:"a"`
	Epoch   uint64 `codec:"e"`
}

// Answer is a holder's answer to a claim.
type Answer struct {
	Verdict Verdict `codec:"v"`
	Record  *Record `codec:"r,omitempty"`
}

// Record is how the request of a key ended.
type Record struct {
	Status int               `codec:"s"`
	Header map[string]string `codec:"h"`
	Body   []byte            `codec:"b"`
	// Whole says that the record holds the whole answer.
	Whole bool `codec:"w"`
}

// Finish tells how the attempt that holds a key ended.
type Finish struct {
	Key     string `codec:"k"`
	Attempt string `codec:"a"`
	// NotRun proves that the attempt did not run; the key is released.
	NotRun bool    `codec:"n"`
	Record *Record `codec:"r,omitempty"`
}

// Entry is one claim, for handing over.
type Entry struct {
	Key      string    `codec:"k"`
	Attempt  string    `codec:"a"`
	Released bool      `codec:"x"`
	At       time.Time `codec:"t"`
	Record   *Record   `codec:"r,omitempty"`
}

// Holder keeps claims. It is not safe for concurrent use.
type Holder struct {
	opts  Options
	since time.Time
	epoch uint64

	claims map[string]*Entry
	expiry expiryHeap
	bytes  int
	// confirmed says that no newer table than this holder's was in use when it
	// was confirmed, after its start.
	confirmed bool
	// learning says that the holder must learn from the former holders.
	learning bool
}

const entryOverhead = 256

// DefaultOptions returns the options of a fleet.
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

// NewHolder returns a Holder that has forgotten every key made before now.
func NewHolder(opts Options, now time.Time) *Holder {
	return &Holder{opts: opts, since: now.Add(opts.Skew), claims: make(map[string]*Entry)}
}

// Claim answers an attempt that wants a key. Asking again with the same
// attempt gets the same answer.
func (ho *Holder) Claim(now time.Time, req Request) Answer {
	ho.expire(now)
	if req.Epoch != ho.epoch || ho.IsPending() {
		return Answer{Verdict: WrongTable}
	}
	if ent := ho.claims[req.Key]; ent != nil {
		return ho.answerKnown(now, ent, req)
	}
	made, err := KeyTime(req.Key)
	switch {
	case err != nil || made.After(now.Add(ho.opts.Skew)):
		return Answer{Verdict: NotVoting}
	case made.Before(now.Add(-ho.opts.Window)):
		return Answer{Verdict: TooOld}
	case !ho.remembers(req.Key):
		return Answer{Verdict: NotVoting}
	case len(ho.claims) >= ho.opts.MaxClaims || ho.bytes >= ho.opts.MaxBytes:
		return Answer{Verdict: Full}
	}
	ho.put(&Entry{Key: req.Key, Attempt: req.Attempt, At: now}, made)
	return Answer{Verdict: Granted}
}

// Count returns the number of claims and the bytes that they take.
func (ho *Holder) Count() (claims, bytes int) {
	return len(ho.claims), ho.bytes
}

// Entries returns every claim, for a holder that takes over.
func (ho *Holder) Entries() []Entry {
	entries := make([]Entry, 0, len(ho.claims))
	for _, ent := range ho.claims {
		entries = append(entries, *ent)
	}
	return entries
}

// Epoch returns the table of holders that this one votes in.
func (ho *Holder) Epoch() uint64 { return ho.epoch }

// Finish notes how an attempt ended. Only the attempt that holds the key counts.
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
	ent.Record = ho.bound(fin.Record)
	ho.bytes += recordSize(ent.Record)
}

// Confirm says that a table was the newest in use, as far as the keepers or all
// the other holders of the group know. A holder that restarted may have left
// that table in its former life and forgotten it; so what the other holders say
// counts only from Since on, when a holder that learned from this one before
// its restart is done.
func (ho *Holder) Confirm(epoch uint64) {
	if epoch == ho.epoch {
		ho.confirmed = true
	}
}

// IsConfirmed says whether the holder's table was confirmed.
func (ho *Holder) IsConfirmed() bool { return ho.confirmed }

// IsLearning says whether the holder must learn from the former holders.
func (ho *Holder) IsLearning() bool { return ho.learning }

// IsPending says whether the holder does not vote yet in its table.
func (ho *Holder) IsPending() bool { return ho.learning || !ho.confirmed }

// IsVoting says whether the holder votes for keys made now.
func (ho *Holder) IsVoting(now time.Time) bool {
	return !ho.IsPending() && !now.Before(ho.since)
}

// SetEpoch moves the holder to another table. It no longer votes in the former
// one. When it must learn the claims of the former holders first, it does not
// vote until Restore.
func (ho *Holder) SetEpoch(epoch uint64, mustLearn bool) {
	if epoch <= ho.epoch {
		return
	}
	ho.epoch = epoch
	ho.learning = ho.learning || mustLearn
}

// Since returns the time that keys must be made after for this holder's vote.
func (ho *Holder) Since() time.Time { return ho.since }

// Restore takes the claims of a majority of the former holders, all of which
// have left the former table, and begins to vote. What one of them may have
// forgotten, those made up to the time since, this holder does not vote for.
func (ho *Holder) Restore(now time.Time, epoch uint64, since time.Time, entries []Entry) {
	if epoch != ho.epoch {
		return
	}
	if since.After(ho.since) {
		ho.since = since
	}
	for _, ent := range entries {
		ho.merge(ent)
	}
	ho.learning = false
	ho.expire(now)
}

func (ho *Holder) answerKnown(now time.Time, ent *Entry, req Request) Answer {
	switch {
	case ent.Record != nil:
		return Answer{Verdict: Finished, Record: ent.Record}
	case ent.Released && now.Sub(ent.At) < ho.opts.CloseFor:
		return Answer{Verdict: Closed}
	case ent.Released && !ho.remembers(req.Key):
		return Answer{Verdict: NotVoting}
	case ent.Released:
		ent.Attempt = req.Attempt
		ent.Released = false
		ent.At = now
		return Answer{Verdict: Granted}
	case ent.Attempt == req.Attempt:
		return Answer{Verdict: Granted}
	}
	return Answer{Verdict: Taken}
}

// bound drops the body of an answer that is too large to keep.
func (ho *Holder) bound(rec *Record) *Record {
	if rec == nil {
		return &Record{}
	}
	kept := *rec
	if len(kept.Body) > ho.opts.MaxAnswer {
		kept.Body = nil
		kept.Whole = false
	}
	return &kept
}

// expire forgets keys that are too old to be claimed again.
func (ho *Holder) expire(now time.Time) {
	for len(ho.expiry) > 0 && ho.expiry[0].made.Before(now.Add(-ho.opts.Window-ho.opts.Skew)) {
		item := heap.Pop(&ho.expiry).(expiryItem)
		if ent := ho.claims[item.key]; ent != nil {
			ho.bytes -= entryOverhead + recordSize(ent.Record)
			delete(ho.claims, item.key)
		}
	}
}

// remembers says whether this holder knows every claim of a key that it should.
// A released claim that was learned from another holder does not show it.
func (ho *Holder) remembers(key string) bool {
	made, err := KeyTime(key)
	return err == nil && made.After(ho.since)
}

// merge takes one claim of a former holder; one that ran wins over one that
// may run, and that wins over a released one.
func (ho *Holder) merge(ent Entry) {
	made, err := KeyTime(ent.Key)
	if err != nil {
		return
	}
	have := ho.claims[ent.Key]
	if have == nil {
		ho.put(&ent, made)
		return
	}
	if have.Record == nil && (ent.Record != nil || have.Released && !ent.Released) {
		ho.bytes += recordSize(ent.Record)
		*have = ent
	}
}

func (ho *Holder) put(ent *Entry, made time.Time) {
	ho.claims[ent.Key] = ent
	ho.bytes += entryOverhead + recordSize(ent.Record)
	heap.Push(&ho.expiry, expiryItem{key: ent.Key, made: made})
}

type expiryItem struct {
	key  string
	made time.Time
}

type expiryHeap []expiryItem

func (ex expiryHeap) Len() int           { return len(ex) }
func (ex expiryHeap) Less(i, j int) bool { return ex[i].made.Before(ex[j].made) }
func (ex expiryHeap) Swap(i, j int)      { ex[i], ex[j] = ex[j], ex[i] }

// Push adds an item; package heap calls it.
func (ex *expiryHeap) Push(item any) { *ex = append(*ex, item.(expiryItem)) }

// Pop takes the last item; package heap calls it.
func (ex *expiryHeap) Pop() any {
	old := *ex
	item := old[len(old)-1]
	*ex = old[:len(old)-1]
	return item
}

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
