package claim_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"cactusstream.example/core/claim"
)

// keyAt returns a key that carries a time.
func keyAt(made time.Time, number uint32) string {
	var raw uuid.UUID
	millis := uint64(made.UnixMilli())
	binary.BigEndian.PutUint64(raw[:8], millis<<16)
	binary.BigEndian.PutUint32(raw[12:], number)
	raw[6] = 0x70
	raw[8] = 0x80
	return raw.String()
}

// ledger is the fleet's claims in virtual time: holders that crash, freeze and
// forget, links that are cut one way, tables of holders that change, and callers
// that send their keys again through any daemon. It counts the runs of each key.
type ledger struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	holders map[string]*ledgerHolder
	ids     []string
	tables  []claim.Table
	runs    map[string]int
	// notRunAt is when a caller was told that its key had not run.
	notRunAt map[string]time.Time
	keys     []string
	number   uint32
	// keepersAway says that no keeper can be asked.
	keepersAway bool
	won         int
	asked       int
}

type ledgerHolder struct {
	holder  *claim.Holder
	table   claim.Table
	formers [][]string
	down    bool
	deaf    bool
	mute    bool
}

var errUnreachable = errors.New("unreachable")

func newLedger(t *testing.T, seed uint64) *ledger {
	le := &ledger{
		t: t, rng: rand.New(rand.NewPCG(seed, 6)), now: time.Unix(3_000_000, 0), holders: make(map[string]*ledgerHolder),
		tables: []claim.Table{{Epoch: 1, Groups: [][]string{{"d1", "d2", "d3"}}}}, runs: make(map[string]int), notRunAt: make(map[string]time.Time),
	}
	for i := range 6 {
		id := fmt.Sprintf("d%d", i+1)
		le.ids = append(le.ids, id)
		le.restart(id)
	}
	for _, id := range le.ids {
		le.confirm(id)
	}
	le.now = le.now.Add(20 * time.Second)
	return le
}

// restart makes a daemon forget everything; it then reads some table that is,
// or was, in force.
func (le *ledger) restart(id string) {
	le.holders[id] = &ledgerHolder{holder: claim.NewHolder(claim.DefaultOptions(), le.now)}
	le.move(id, le.tables[le.rng.IntN(len(le.tables))])
}

// confirm asks the keepers, when they are there, or else the other holders.
func (le *ledger) confirm(id string) {
	ho := le.holders[id]
	if ho.holder.IsConfirmed() {
		return
	}
	if !le.keepersAway {
		le.move(id, le.tables[len(le.tables)-1])
		ho.holder.Confirm(ho.table.Epoch)
		return
	}
	if le.now.Before(ho.holder.Since()) {
		return
	}
	for _, other := range ho.table.Groups[0] {
		peer := le.holders[other]
		if other != id && (!le.reaches(id, other) || !le.reaches(other, id) || peer.holder.IsPending() || peer.holder.Epoch() != ho.table.Epoch) {
			return
		}
	}
	if ho.table.Holds(id) {
		ho.holder.Confirm(ho.table.Epoch)
	}
}

func (le *ledger) move(id string, table claim.Table) {
	ho := le.holders[id]
	if table.Epoch <= ho.table.Epoch {
		return
	}
	ho.holder.SetEpoch(table.Epoch, table.MustLearn(id))
	ho.formers = append(ho.formers, table.Former...)
	ho.table = table
	if !ho.holder.IsLearning() {
		ho.formers = nil
	}
}

// learn does what a daemon does for a table that it must learn for.
func (le *ledger) learn(id string) {
	ho := le.holders[id]
	if !ho.holder.IsLearning() {
		return
	}
	var learned []claim.Entry
	var since time.Time
	for _, group := range ho.formers {
		moved := 0
		for _, other := range group {
			peer := le.holders[other]
			if !le.reaches(id, other) || !le.reaches(other, id) || peer.holder.Epoch() < ho.table.Epoch || peer.holder.IsPending() {
				continue
			}
			moved++
			learned = append(learned, peer.holder.Entries()...)
			if peer.holder.Since().After(since) {
				since = peer.holder.Since()
			}
		}
		if moved <= len(group)/2 {
			return
		}
	}
	ho.holder.Restore(le.now, ho.table.Epoch, since, learned)
	ho.formers = nil
}

func (le *ledger) reaches(from, to string) bool {
	return !le.holders[from].down && !le.holders[to].down && !le.holders[from].mute && !le.holders[to].deaf
}

// asker is one daemon's way to the holders.
type asker struct {
	le   *ledger
	self string
}

func (as asker) Claim(_ context.Context, holder string, req claim.Request) (claim.Answer, error) {
	if !as.le.reaches(as.self, holder) {
		return claim.Answer{}, errUnreachable
	}
	ho := as.le.holders[holder]
	if !ho.table.Holds(holder) {
		return claim.Answer{Verdict: claim.WrongTable}, nil
	}
	answer := ho.holder.Claim(as.le.now, req)
	if !as.le.reaches(holder, as.self) {
		return claim.Answer{}, errUnreachable // The claim stands, its answer is lost.
	}
	return answer, nil
}

func (as asker) Finish(_ context.Context, holder string, fin claim.Finish) error {
	if !as.le.reaches(as.self, holder) {
		return errUnreachable
	}
	as.le.holders[holder].holder.Finish(as.le.now, fin)
	return nil
}

// serialHolders asks holders one at a time, so that a schedule is the same on
// every run. Claimant asks them at once; its decisions do not hang on the order.
type serialClaimant struct{ asker }

func (se serialClaimant) claim(table claim.Table, key, attempt string) claim.Result {
	return claim.DecideForTest(func(holder string) (claim.Answer, error) {
		return se.Claim(context.Background(), holder, claim.Request{Key: key, Attempt: attempt, Epoch: table.Epoch})
	}, table.Group(key))
}

func (se serialClaimant) tell(table claim.Table, fin claim.Finish) int {
	told := 0
	for _, holder := range table.Group(fin.Key) {
		if se.Finish(context.Background(), holder, fin) == nil {
			told++
		}
	}
	return told
}

// request lets a caller send a key, a new one or one that it sent before,
// through a daemon that may know an older table.
func (le *ledger) request() {
	self := le.ids[le.rng.IntN(len(le.ids))]
	if le.holders[self].down {
		return
	}
	table := le.holders[self].table
	key := ""
	if len(le.keys) > 0 && le.rng.IntN(2) == 0 {
		key = le.keys[le.rng.IntN(len(le.keys))]
	} else {
		le.number++
		skew := time.Duration(le.rng.IntN(8000)-4000) * time.Millisecond
		key = keyAt(le.now.Add(skew), le.number)
		le.keys = append(le.keys, key)
	}
	attempt := fmt.Sprint(le.rng.Uint64())
	cl := serialClaimant{asker{le, self}}
	le.asked++
	if cl.claim(table, key, attempt) != claim.Won {
		cl.tell(table, claim.Finish{Key: key, Attempt: attempt, NotRun: true})
		return
	}
	le.won++
	switch le.rng.IntN(4) {
	case 0: // The gate refuses; the key is given back.
		if cl.tell(table, claim.Finish{Key: key, Attempt: attempt, NotRun: true}) >= 2 {
			le.notRunAt[key] = le.now
			if le.runs[key] > 0 {
				le.t.Fatalf("%s was said not to have run, and ran", key)
			}
		}
	case 1: // It runs, and its daemon dies before anyone hears.
		le.run(key)
	default:
		le.run(key)
		cl.tell(table, claim.Finish{Key: key, Attempt: attempt, Record: &claim.Record{Status: 200, Whole: true}})
	}
}

func (le *ledger) run(key string) {
	le.runs[key]++
	if le.runs[key] > 1 {
		le.t.Fatalf("%s ran twice", key)
	}
	if at, said := le.notRunAt[key]; said && le.now.Sub(at) < time.Second {
		le.t.Fatalf("%s ran %s after it was said not to have run", key, le.now.Sub(at))
	}
}

func (le *ledger) disturb() {
	id := le.ids[le.rng.IntN(len(le.ids))]
	ho := le.holders[id]
	switch le.rng.IntN(10) {
	case 0:
		ho.down = true
	case 1, 2:
		if ho.down {
			le.restart(id)
		}
	case 3:
		ho.deaf = !ho.deaf
	case 4:
		ho.mute = !ho.mute
	case 5:
		ho.deaf, ho.mute = false, false
	case 6:
		le.restart(id)
	case 7:
		le.changeTable()
	case 8:
		le.move(id, le.tables[le.rng.IntN(len(le.tables))])
	case 9:
		le.keepersAway = !le.keepersAway
	}
	for _, id := range le.ids {
		if !le.holders[id].down {
			le.confirm(id)
			le.learn(id)
		}
	}
}

// isSettled says whether a majority of the former holders has left the former
// table, which an operator waits for before the next change.
func (le *ledger) isSettled(table claim.Table) bool {
	for _, group := range table.Former {
		moved := 0
		for _, id := range group {
			if ho := le.holders[id]; !ho.down && ho.holder.IsConfirmed() && ho.table.Epoch == table.Epoch {
				moved++
			}
		}
		if moved <= len(group)/2 {
			return false
		}
	}
	return true
}

// changeTable replaces one holder, or all of them, as an operator may.
func (le *ledger) changeTable() {
	newest := le.tables[len(le.tables)-1]
	if le.keepersAway || !le.isSettled(newest) {
		return
	}
	group := slices.Clone(newest.Groups[0])
	if le.rng.IntN(4) == 0 {
		le.rng.Shuffle(len(le.ids), func(i, j int) { le.ids[i], le.ids[j] = le.ids[j], le.ids[i] })
		group = slices.Clone(le.ids[:3])
	} else {
		spare := le.ids[le.rng.IntN(len(le.ids))]
		if !slices.Contains(group, spare) {
			group[le.rng.IntN(3)] = spare
		}
	}
	le.tables = append(le.tables, newest.Next([][]string{group}))
}

// TestAtMostOnceUnderSchedules runs seeded schedules against the naive ledger.
func TestAtMostOnceUnderSchedules(t *testing.T) {
	const schedules = 3000
	started := time.Now()
	won, asked := 0, 0
	for seed := range uint64(schedules) {
		le := newLedger(t, seed)
		for range 300 {
			le.now = le.now.Add(time.Duration(le.rng.IntN(1500)) * time.Millisecond)
			if le.rng.IntN(4) == 0 {
				le.disturb()
			}
			le.request()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		won += le.won
		asked += le.asked
	}
	t.Logf("seeds 0 to %d, %.0f schedules a second, %d of %d claims won", schedules-1, schedules/time.Since(started).Seconds(), won, asked)
}

func TestKeyTime(t *testing.T) {
	now := time.UnixMilli(1_764_800_000_123)
	cases := []struct {
		name, key string
		good      bool
	}{
		{"version 7", keyAt(now, 1), true},
		{"version 4", uuid.NewString(), false},
		{"upper case", "01A23FC6-0C4C-7794-A2B9-BBB55B167B4C", false},
		{"braces", "{" + keyAt(now, 1) + "}", false},
		{"empty", "", false},
		{"text", "order 7", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			made, err := claim.KeyTime(tc.key)
			is.Equal(err == nil, tc.good)
			if tc.good {
				is.True(made.Equal(now))
			}
		})
	}
}

func confirmed(opts claim.Options, start time.Time) *claim.Holder {
	hol := claim.NewHolder(opts, start)
	hol.Confirm(0)
	return hol
}

func TestHolderVerdicts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	start := now.Add(-time.Minute)
	cases := []struct {
		name string
		key  string
		want claim.Verdict
	}{
		{"fresh key", keyAt(now, 1), claim.Granted},
		{"made before the start", keyAt(start.Add(-time.Second), 1), claim.NotVoting},
		{"made within the skew after the start", keyAt(start.Add(4*time.Second), 1), claim.NotVoting},
		{"made too far ahead", keyAt(now.Add(6*time.Second), 1), claim.NotVoting},
		{"older than the window", keyAt(now.Add(-11*time.Minute), 1), claim.TooOld},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			hol := confirmed(claim.DefaultOptions(), start)
			is.Equal(hol.Claim(now, claim.Request{Key: tc.key, Attempt: "a"}).Verdict, tc.want)
		})
	}
}

func TestReleasedKeyStaysClosedForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	hol := confirmed(claim.DefaultOptions(), now.Add(-time.Minute))
	key := keyAt(now, 1)
	is.Equal(hol.Claim(now, claim.Request{Key: key, Attempt: "a"}).Verdict, claim.Granted)
	hol.Finish(now, claim.Finish{Key: key, Attempt: "b", NotRun: true}) // Not its holder.
	is.Equal(hol.Claim(now, claim.Request{Key: key, Attempt: "c"}).Verdict, claim.Taken)
	hol.Finish(now, claim.Finish{Key: key, Attempt: "a", NotRun: true})
	is.Equal(hol.Claim(now.Add(time.Second), claim.Request{Key: key, Attempt: "c"}).Verdict, claim.Closed)
	is.Equal(hol.Claim(now.Add(2*time.Second), claim.Request{Key: key, Attempt: "c"}).Verdict, claim.Granted)
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	opts := claim.DefaultOptions()
	opts.MaxClaims = 100
	now := time.Unix(1_000_000, 0)
	hol := confirmed(opts, now.Add(-time.Hour))
	for number := range uint32(100) {
		key := keyAt(now, number)
		is.Equal(hol.Claim(now, claim.Request{Key: key, Attempt: "a"}).Verdict, claim.Granted)
		hol.Finish(now, claim.Finish{Key: key, Attempt: "a", Record: &claim.Record{Body: make([]byte, 100_000), Whole: true}})
	}
	_, bytes := hol.Count()
	is.True(bytes < 100*300) // Large answers are not kept.
	is.Equal(hol.Claim(now, claim.Request{Key: keyAt(now, 200), Attempt: "a"}).Verdict, claim.Full)
	later := now.Add(11 * time.Minute)
	is.Equal(hol.Claim(later, claim.Request{Key: keyAt(later, 201), Attempt: "a"}).Verdict, claim.Granted)
	count, bytes := hol.Count()
	is.Equal(count, 1)
	is.Equal(bytes, 256)
}

func TestTableText(t *testing.T) {
	is := is.New(t)
	table, err := claim.ParseTable("3 d1,d2,d3 d4,d5,d6 former d1,d2,d7 d4,d5,d6")
	is.NoErr(err)
	is.Equal(table.String(), "3 d1,d2,d3 d4,d5,d6 former d1,d2,d7 d4,d5,d6")
	is.True(table.MustLearn("d3"))
	is.True(!table.MustLearn("d1"))
	for _, bad := range []string{"0 a,b,c", "x a,b,c", "1", "1 a,b", "1 a,a,b", "1 a,,b", "1 former a,b,c"} {
		_, err := claim.ParseTable(bad)
		is.True(err != nil)
	}
}

// BenchmarkHolder reports what one claim costs its holder, with its end.
func BenchmarkHolder(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	opts := claim.DefaultOptions()
	opts.MaxClaims = 1 << 30
	opts.MaxBytes = 1 << 40
	hol := confirmed(opts, now.Add(-time.Hour))
	rec := &claim.Record{Status: 200, Body: make([]byte, 300), Whole: true}
	b.ReportAllocs()
	number := uint32(0)
	for b.Loop() {
		number++
		now = now.Add(time.Millisecond)
		key := keyAt(now, number)
		if hol.Claim(now, claim.Request{Key: key, Attempt: "a"}).Verdict != claim.Granted {
			b.Fatal("not granted")
		}
		hol.Finish(now, claim.Finish{Key: key, Attempt: "a", Record: rec})
	}
	count, bytes := hol.Count()
	b.ReportMetric(float64(bytes)/float64(count), "B/claim")
}
