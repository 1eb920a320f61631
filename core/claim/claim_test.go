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

// keyAt returns a key with the given creation time.
func keyAt(created time.Time, number uint32) string {
	var raw uuid.UUID
	millis := uint64(created.UnixMilli())
	binary.BigEndian.PutUint64(raw[:8], millis<<16)
	binary.BigEndian.PutUint32(raw[12:], number)
	raw[6] = 0x70
	raw[8] = 0x80
	return raw.String()
}

// simulation runs the claims of a fleet in virtual time. Holders crash and lose their
// claims, links fail in one direction, tables change, and callers retry their keys
// through any daemon. It counts the runs of each key.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	holders map[string]*simHolder
	ids     []string
	tables  []claim.Table
	runs    map[string]int
	// notRunAt is the time at which a caller was told that its key had not run.
	notRunAt map[string]time.Time
	keys     []string
	keyCount uint32
	// keepersDown is set while no keeper is reachable.
	keepersDown bool
	// won counts the granted claims, and claimed all of them.
	won     int
	claimed int
}

// simHolder is a daemon of the simulation, with its links and its holder.
type simHolder struct {
	holder *claim.Holder
	table  claim.Table
	// formers are the former groups from which claims are still to be copied.
	formers [][]string
	down    bool
	// dropsIncoming and dropsOutgoing are set while messages in that direction are
	// lost.
	dropsIncoming bool
	dropsOutgoing bool
}

var errUnreachable = errors.New("unreachable")

func newSimulation(t *testing.T, seed uint64) *simulation {
	si := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 6)), now: time.Unix(3_000_000, 0), holders: make(map[string]*simHolder),
		tables: []claim.Table{{Epoch: 1, Groups: [][]string{{"d1", "d2", "d3"}}}}, runs: make(map[string]int), notRunAt: make(map[string]time.Time),
	}
	for i := range 6 {
		id := fmt.Sprintf("d%d", i+1)
		si.ids = append(si.ids, id)
		si.restart(id)
	}
	for _, id := range si.ids {
		si.confirm(id)
	}
	si.now = si.now.Add(20 * time.Second) // Past the clock skew, so that holders vote for new keys.
	return si
}

// restart replaces a daemon by one without claims, which then reads the current
// table or an earlier one.
func (si *simulation) restart(id string) {
	si.holders[id] = &simHolder{holder: claim.NewHolder(claim.DefaultOptions(), si.now)}
	si.applyTable(id, si.tables[si.rng.IntN(len(si.tables))])
}

// confirm confirms the table of a daemon with the keepers, or with the other holders
// if no keeper is reachable.
func (si *simulation) confirm(id string) {
	ho := si.holders[id]
	if ho.holder.IsConfirmed() {
		return
	}
	if !si.keepersDown {
		si.applyTable(id, si.tables[len(si.tables)-1])
		ho.holder.Confirm(ho.table.Epoch)
		return
	}
	if si.now.Before(ho.holder.VotesAfter()) {
		return
	}
	for _, other := range ho.table.Groups[0] {
		peer := si.holders[other]
		if other != id && (!si.reaches(id, other) || !si.reaches(other, id) || peer.holder.IsPending() || peer.holder.Epoch() != ho.table.Epoch) {
			return
		}
	}
	if ho.table.Holds(id) {
		ho.holder.Confirm(ho.table.Epoch)
	}
}

// applyTable moves a daemon to a table if it is newer than its own.
func (si *simulation) applyTable(id string, table claim.Table) {
	ho := si.holders[id]
	if table.Epoch <= ho.table.Epoch {
		return
	}
	ho.holder.SetEpoch(table.Epoch, table.MustCopy(id))
	ho.formers = append(ho.formers, table.Former...)
	ho.table = table
	if !ho.holder.IsCopying() {
		ho.formers = nil
	}
}

// copyClaims copies the claims of the former holders to a daemon, if it must copy
// them and a majority of each former group has moved to the new table.
func (si *simulation) copyClaims(id string) {
	ho := si.holders[id]
	if !ho.holder.IsCopying() {
		return
	}
	var entries []claim.Entry
	var votesAfter time.Time
	for _, group := range ho.formers {
		moved := 0
		for _, other := range group {
			peer := si.holders[other]
			if !si.reaches(id, other) || !si.reaches(other, id) || peer.holder.Epoch() < ho.table.Epoch || peer.holder.IsPending() {
				continue
			}
			moved++
			entries = append(entries, peer.holder.Entries()...)
			if peer.holder.VotesAfter().After(votesAfter) {
				votesAfter = peer.holder.VotesAfter()
			}
		}
		if moved <= len(group)/2 {
			return
		}
	}
	ho.holder.Restore(si.now, ho.table.Epoch, votesAfter, entries)
	ho.formers = nil
}

// reaches reports whether a message arrives in one direction.
func (si *simulation) reaches(from, to string) bool {
	return !si.holders[from].down && !si.holders[to].down && !si.holders[from].dropsOutgoing && !si.holders[to].dropsIncoming
}

// transport sends the messages of one daemon to the holders. It implements
// claim.Holders.
type transport struct {
	sim  *simulation
	self string
}

func (tr transport) Claim(_ context.Context, holder string, req claim.Request) (claim.Answer, error) {
	if !tr.sim.reaches(tr.self, holder) {
		return claim.Answer{}, errUnreachable
	}
	ho := tr.sim.holders[holder]
	if !ho.table.Holds(holder) {
		return claim.Answer{Decision: claim.WrongTable}, nil
	}
	answer := ho.holder.Claim(tr.sim.now, req)
	if !tr.sim.reaches(holder, tr.self) {
		return claim.Answer{}, errUnreachable // The claim is stored, but its answer is lost.
	}
	return answer, nil
}

func (tr transport) Finish(_ context.Context, holder string, fin claim.Finish) error {
	if !tr.sim.reaches(tr.self, holder) {
		return errUnreachable
	}
	tr.sim.holders[holder].holder.Finish(tr.sim.now, fin)
	return nil
}

// serialClaimant sends claims to one holder after another, so that a seed always
// gives the same run. Claimant sends them concurrently, but its decisions don't
// depend on their order.
type serialClaimant struct{ transport }

func (se serialClaimant) claim(table claim.Table, key, attempt string) claim.Result {
	return claim.DecideForTest(func(holder string) (claim.Answer, error) {
		return se.Claim(context.Background(), holder, claim.Request{Key: key, Attempt: attempt, Epoch: table.Epoch})
	}, table.Group(key))
}

func (se serialClaimant) sendFinish(table claim.Table, fin claim.Finish) int {
	acks := 0
	for _, holder := range table.Group(fin.Key) {
		if se.Finish(context.Background(), holder, fin) == nil {
			acks++
		}
	}
	return acks
}

// request sends a request with a new or an earlier key through a random daemon, whose
// table may be outdated.
func (si *simulation) request() {
	self := si.ids[si.rng.IntN(len(si.ids))]
	if si.holders[self].down {
		return
	}
	table := si.holders[self].table
	key := ""
	if len(si.keys) > 0 && si.rng.IntN(2) == 0 {
		key = si.keys[si.rng.IntN(len(si.keys))]
	} else {
		si.keyCount++
		skew := time.Duration(si.rng.IntN(8000)-4000) * time.Millisecond
		key = keyAt(si.now.Add(skew), si.keyCount)
		si.keys = append(si.keys, key)
	}
	attempt := fmt.Sprint(si.rng.Uint64())
	cl := serialClaimant{transport{si, self}}
	si.claimed++
	if cl.claim(table, key, attempt) != claim.Won {
		cl.sendFinish(table, claim.Finish{Key: key, Attempt: attempt, NotRun: true})
		return
	}
	si.won++
	switch si.rng.IntN(4) {
	case 0: // The gate rejects the request, so the key is released.
		if cl.sendFinish(table, claim.Finish{Key: key, Attempt: attempt, NotRun: true}) >= 2 {
			si.notRunAt[key] = si.now
			if si.runs[key] > 0 {
				si.t.Fatalf("key %s ran, but its caller was told that it did not", key)
			}
		}
	case 1: // The request runs, but its daemon fails before it reports to the holders.
		si.recordRun(key)
	default:
		si.recordRun(key)
		cl.sendFinish(table, claim.Finish{Key: key, Attempt: attempt, Record: &claim.Record{Status: 200, Whole: true}})
	}
}

// recordRun counts a run of a key. It fails the test on a second run, and on a run
// less than a second after the caller was told that the key had not run.
func (si *simulation) recordRun(key string) {
	si.runs[key]++
	if si.runs[key] > 1 {
		si.t.Fatalf("key %s ran twice", key)
	}
	if at, ok := si.notRunAt[key]; ok && si.now.Sub(at) < time.Second {
		si.t.Fatalf("key %s ran %s after its caller was told that it did not", key, si.now.Sub(at))
	}
}

// injectFault applies one random fault, repair, restart or table change. Then all
// running daemons confirm their tables and copy claims.
func (si *simulation) injectFault() {
	id := si.ids[si.rng.IntN(len(si.ids))]
	ho := si.holders[id]
	switch si.rng.IntN(10) {
	case 0:
		ho.down = true
	case 1, 2:
		if ho.down {
			si.restart(id)
		}
	case 3:
		ho.dropsIncoming = !ho.dropsIncoming
	case 4:
		ho.dropsOutgoing = !ho.dropsOutgoing
	case 5:
		ho.dropsIncoming, ho.dropsOutgoing = false, false
	case 6:
		si.restart(id)
	case 7:
		si.changeTable()
	case 8:
		si.applyTable(id, si.tables[si.rng.IntN(len(si.tables))])
	case 9:
		si.keepersDown = !si.keepersDown
	}
	for _, id := range si.ids {
		if !si.holders[id].down {
			si.confirm(id)
			si.copyClaims(id)
		}
	}
}

// isSettled reports whether a majority of each former group has moved to table. An
// operator waits for this before the next change.
func (si *simulation) isSettled(table claim.Table) bool {
	for _, group := range table.Former {
		moved := 0
		for _, id := range group {
			if ho := si.holders[id]; !ho.down && ho.holder.IsConfirmed() && ho.table.Epoch == table.Epoch {
				moved++
			}
		}
		if moved <= len(group)/2 {
			return false
		}
	}
	return true
}

// changeTable replaces one holder or all of them, as an operator may do.
func (si *simulation) changeTable() {
	newest := si.tables[len(si.tables)-1]
	if si.keepersDown || !si.isSettled(newest) {
		return
	}
	group := slices.Clone(newest.Groups[0])
	if si.rng.IntN(4) == 0 {
		si.rng.Shuffle(len(si.ids), func(i, j int) { si.ids[i], si.ids[j] = si.ids[j], si.ids[i] })
		group = slices.Clone(si.ids[:3])
	} else {
		replacement := si.ids[si.rng.IntN(len(si.ids))]
		if !slices.Contains(group, replacement) {
			group[si.rng.IntN(3)] = replacement
		}
	}
	si.tables = append(si.tables, newest.Next([][]string{group}))
}

// TestAtMostOnceUnderFaults runs seeded simulations with random faults. It guards
// against a key that runs twice, and against one that runs although its caller was
// told that it had not.
func TestAtMostOnceUnderFaults(t *testing.T) {
	const runs = 3000
	started := time.Now()
	won, claimed := 0, 0
	for seed := range uint64(runs) {
		si := newSimulation(t, seed)
		for range 300 {
			si.now = si.now.Add(time.Duration(si.rng.IntN(1500)) * time.Millisecond)
			if si.rng.IntN(4) == 0 {
				si.injectFault()
			}
			si.request()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		won += si.won
		claimed += si.claimed
	}
	t.Logf("seeds 0 to %d, %.0f runs per second, %d of %d claims won", runs-1, runs/time.Since(started).Seconds(), won, claimed)
}

// TestKeyTime checks that only canonical UUIDs of version 7 are valid keys.
func TestKeyTime(t *testing.T) {
	now := time.UnixMilli(1_764_800_000_123)
	cases := []struct {
		name, key string
		valid     bool
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
			created, err := claim.KeyTime(tc.key)
			is.Equal(err == nil, tc.valid)
			if tc.valid {
				is.True(created.Equal(now))
			}
		})
	}
}

// newConfirmedHolder returns a holder that votes in the table of epoch 0.
func newConfirmedHolder(opts claim.Options, start time.Time) *claim.Holder {
	holder := claim.NewHolder(opts, start)
	holder.Confirm(0)
	return holder
}

// TestHolderDecisions checks that a holder votes only for keys whose claims it can't
// have lost or expired.
func TestHolderDecisions(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	start := now.Add(-time.Minute)
	cases := []struct {
		name string
		key  string
		want claim.Decision
	}{
		{"fresh key", keyAt(now, 1), claim.Granted},
		{"created before the start", keyAt(start.Add(-time.Second), 1), claim.NotVoting},
		{"created within the clock skew after the start", keyAt(start.Add(4*time.Second), 1), claim.NotVoting},
		{"created in the future beyond the clock skew", keyAt(now.Add(6*time.Second), 1), claim.NotVoting},
		{"older than the window", keyAt(now.Add(-11*time.Minute), 1), claim.TooOld},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			holder := newConfirmedHolder(claim.DefaultOptions(), start)
			is.Equal(holder.Claim(now, claim.Request{Key: tc.key, Attempt: "a"}).Decision, tc.want)
		})
	}
}

// TestReleasedKeyStaysClosed guards against a released key being claimed again while
// claims of other attempts may still be in transit.
func TestReleasedKeyStaysClosed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	holder := newConfirmedHolder(claim.DefaultOptions(), now.Add(-time.Minute))
	key := keyAt(now, 1)
	is.Equal(holder.Claim(now, claim.Request{Key: key, Attempt: "a"}).Decision, claim.Granted)
	holder.Finish(now, claim.Finish{Key: key, Attempt: "b", NotRun: true}) // Ignored: this attempt doesn't hold the key.
	is.Equal(holder.Claim(now, claim.Request{Key: key, Attempt: "c"}).Decision, claim.Taken)
	holder.Finish(now, claim.Finish{Key: key, Attempt: "a", NotRun: true})
	is.Equal(holder.Claim(now.Add(time.Second), claim.Request{Key: key, Attempt: "c"}).Decision, claim.Closed)
	is.Equal(holder.Claim(now.Add(2*time.Second), claim.Request{Key: key, Attempt: "c"}).Decision, claim.Granted)
}

// TestMemoryIsLimited checks the limits of claims and record sizes, and that expired
// claims free their memory.
func TestMemoryIsLimited(t *testing.T) {
	is := is.New(t)
	opts := claim.DefaultOptions()
	opts.MaxClaims = 100
	now := time.Unix(1_000_000, 0)
	holder := newConfirmedHolder(opts, now.Add(-time.Hour))
	for number := range uint32(100) {
		key := keyAt(now, number)
		is.Equal(holder.Claim(now, claim.Request{Key: key, Attempt: "a"}).Decision, claim.Granted)
		holder.Finish(now, claim.Finish{Key: key, Attempt: "a", Record: &claim.Record{Body: make([]byte, 100_000), Whole: true}})
	}
	_, bytes := holder.Count()
	is.True(bytes < 100*300) // Large bodies are dropped.
	is.Equal(holder.Claim(now, claim.Request{Key: keyAt(now, 200), Attempt: "a"}).Decision, claim.Full)
	later := now.Add(11 * time.Minute)
	is.Equal(holder.Claim(later, claim.Request{Key: keyAt(later, 201), Attempt: "a"}).Decision, claim.Granted)
	count, bytes := holder.Count()
	is.Equal(count, 1)
	is.Equal(bytes, 256)
}

// TestTableText checks parsing and formatting of tables, and which holders must copy
// claims.
func TestTableText(t *testing.T) {
	is := is.New(t)
	table, err := claim.ParseTable("3 d1,d2,d3 d4,d5,d6 former d1,d2,d7 d4,d5,d6")
	is.NoErr(err)
	is.Equal(table.String(), "3 d1,d2,d3 d4,d5,d6 former d1,d2,d7 d4,d5,d6")
	is.True(table.MustCopy("d3"))
	is.True(!table.MustCopy("d1"))
	for _, bad := range []string{"0 a,b,c", "x a,b,c", "1", "1 a,b", "1 a,a,b", "1 a,,b", "1 former a,b,c"} {
		_, err := claim.ParseTable(bad)
		is.True(err != nil)
	}
}

// BenchmarkHolder measures the time and memory that a claim and its Finish cost a
// holder.
func BenchmarkHolder(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	opts := claim.DefaultOptions()
	opts.MaxClaims = 1 << 30
	opts.MaxBytes = 1 << 40
	holder := newConfirmedHolder(opts, now.Add(-time.Hour))
	rec := &claim.Record{Status: 200, Body: make([]byte, 300), Whole: true}
	b.ReportAllocs()
	number := uint32(0)
	for b.Loop() {
		number++
		now = now.Add(time.Millisecond)
		key := keyAt(now, number)
		if holder.Claim(now, claim.Request{Key: key, Attempt: "a"}).Decision != claim.Granted {
			b.Fatal("not granted")
		}
		holder.Finish(now, claim.Finish{Key: key, Attempt: "a", Record: rec})
	}
	count, bytes := holder.Count()
	b.ReportMetric(float64(bytes)/float64(count), "B/claim")
}
