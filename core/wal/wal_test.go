package wal_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/consensus"
	"cactusstream.example/core/wal"
)

var errDisk = errors.New("no space left")

// faultyDisk fails at a chosen call, and afterwards, as a dying disk does.
type faultyDisk struct {
	wal.Folder
	calls  int
	failAt int
	// torn makes the failing write leave half of its bytes.
	torn bool
	// once lets later calls succeed, as when room is made on a full disk.
	once bool
}

type faultyFile struct {
	wal.File
	disk *faultyDisk
}

func (fa *faultyDisk) fails() bool {
	fa.calls++
	return fa.calls == fa.failAt || fa.failAt > 0 && fa.calls > fa.failAt && !fa.once
}

func (fa *faultyDisk) Append(name string) (wal.File, error) {
	if fa.fails() {
		return nil, errDisk
	}
	file, err := fa.Folder.Append(name)
	return &faultyFile{File: file, disk: fa}, err
}

func (fa *faultyDisk) Replace(name string, data []byte) error {
	if fa.fails() {
		return errDisk
	}
	return fa.Folder.Replace(name, data)
}

func (fa *faultyDisk) Remove(name string) error {
	if fa.fails() {
		return errDisk
	}
	return fa.Folder.Remove(name)
}

func (fa *faultyFile) Write(data []byte) (int, error) {
	if fa.disk.fails() {
		if fa.disk.torn && fa.disk.calls == fa.disk.failAt {
			count, _ := fa.File.Write(data[:len(data)/2])
			return count, errDisk
		}
		return 0, errDisk
	}
	return fa.File.Write(data)
}

func (fa *faultyFile) WriteAt(data []byte, offset int64) (int, error) {
	if fa.disk.fails() {
		return 0, errDisk
	}
	return fa.File.WriteAt(data, offset)
}

func (fa *faultyFile) Sync() error {
	if fa.disk.fails() {
		return errDisk
	}
	return fa.File.Sync()
}

func entries(from, to uint64) []consensus.Entry {
	var list []consensus.Entry
	for index := from; index <= to; index++ {
		list = append(list, consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "change %d", index)})
	}
	return list
}

func open(t *testing.T, disk wal.Disk) (*wal.Log, consensus.State) {
	t.Helper()
	log, state, err := wal.Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	return log, state
}

// newestLog returns the path of the only log file of a folder.
func newestLog(t *testing.T, dir string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(names) != 1 {
		t.Fatalf("log files: %v, %v", names, err)
	}
	return names[0]
}

func filled(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	log, _ := open(t, wal.Folder(dir))
	for index := uint64(1); index <= 10; index++ {
		if err := log.Append(&consensus.HardState{Term: 1, Vote: "k1"}, entries(index, index)); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestReopenGivesBackWhatWasAppended(t *testing.T) {
	is := is.New(t)
	_, state := open(t, wal.Folder(filled(t)))
	is.Equal(len(state.Entries), 10)
	is.Equal(state.HardState, consensus.HardState{Term: 1, Vote: "k1"})
}

func TestNewerEntriesReplaceATail(t *testing.T) {
	is := is.New(t)
	dir := filled(t)
	log, _ := open(t, wal.Folder(dir))
	is.NoErr(log.Append(nil, []consensus.Entry{{Index: 6, Term: 2, Kind: consensus.EntryNoop}}))
	_, state := open(t, wal.Folder(dir))
	is.Equal(len(state.Entries), 6)
	is.Equal(state.Entries[5].Term, uint64(2))
}

// TestCrashAtEveryWrite stops the disk at each call in turn, in the middle of
// appends and of snapshots. Whatever was acknowledged is there afterwards.
func TestCrashAtEveryWrite(t *testing.T) {
	for _, torn := range []bool{false, true} {
		for failAt := 2; failAt < 160; failAt++ {
			dir := t.TempDir()
			disk := &faultyDisk{Folder: wal.Folder(dir), failAt: failAt / 2, torn: torn, once: failAt%2 == 1}
			acked := runUntilFailure(disk)
			_, state, err := wal.Open(wal.Folder(dir))
			if err != nil {
				t.Fatalf("call %d, torn %v: %v", failAt, torn, err)
			}
			last := state.Snapshot.Index + uint64(len(state.Entries))
			if last < acked {
				t.Fatalf("call %d, torn %v: %d was acknowledged, %d is there", failAt, torn, acked, last)
			}
			for i, entry := range state.Entries {
				if entry.Index != state.Snapshot.Index+uint64(i)+1 {
					t.Fatalf("call %d, torn %v: a gap before %d", failAt, torn, entry.Index)
				}
			}
		}
	}
}

// runUntilFailure appends and takes snapshots, and returns the last index that
// was acknowledged. After the first failure nothing may be acknowledged.
func runUntilFailure(disk wal.Disk) uint64 {
	log, _, err := wal.Open(disk)
	if err != nil {
		return 0
	}
	acked, failed := uint64(0), false
	for index := uint64(1); index <= 20; index++ {
		err := log.Append(&consensus.HardState{Term: index}, entries(index, index))
		if err == nil {
			if failed {
				panic("acknowledged after a failure")
			}
			acked = index
		}
		failed = failed || err != nil
		if index%6 == 0 {
			snap := consensus.Snapshot{Index: index - 2, Term: 1, Data: []byte("state")}
			failed = log.SaveSnapshot(snap, consensus.HardState{Term: index}, entries(index-1, index)) != nil || failed
		}
	}
	return acked
}

func TestTornTailIsCutOff(t *testing.T) {
	dir := filled(t)
	path := newestLog(t, dir)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	grown, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := grown.Write(whole[:len(whole)/10-5]); err != nil { // A record that was begun and not acknowledged.
		t.Fatal(err)
	}
	if err := grown.Close(); err != nil {
		t.Fatal(err)
	}
	is := is.New(t)
	log, state := open(t, wal.Folder(dir))
	is.Equal(len(state.Entries), 10)
	is.NoErr(log.Append(nil, entries(11, 11)))
	_, state = open(t, wal.Folder(dir))
	is.Equal(len(state.Entries), 11) // What comes after it can be read.
}

// TestEveryFlippedBitIsFound flips one bit of each byte of the log in turn.
func TestEveryFlippedBitIsFound(t *testing.T) {
	dir := filled(t)
	path := newestLog(t, dir)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range whole {
		changed := append([]byte(nil), whole...)
		changed[at] ^= 1 << (at % 8)
		if err := os.WriteFile(path, changed, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := wal.Open(wal.Folder(dir))
		var corrupt *wal.CorruptError
		if !errors.As(err, &corrupt) || !strings.HasPrefix(corrupt.File, "log-") {
			t.Fatalf("byte %d: got %v, want the place named", at, err)
		}
	}
}

// TestTruncatedLogIsRefused cuts acknowledged records off; such a disk has
// forgotten votes and entries.
func TestTruncatedLogIsRefused(t *testing.T) {
	dir := filled(t)
	path := newestLog(t, dir)
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := info.Size() - 1; size >= 0; size -= 7 {
		if err := os.Truncate(path, size); err != nil {
			t.Fatal(err)
		}
		_, _, err := wal.Open(wal.Folder(dir))
		var corrupt *wal.CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("cut to %d bytes: got %v", size, err)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(wal.Folder(dir)); err == nil {
		t.Fatal("a log that is gone was not missed")
	}
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	dir := filled(t)
	log, _ := open(t, wal.Folder(dir))
	is.NoErr(log.SaveSnapshot(consensus.Snapshot{Index: 8, Term: 1, Data: []byte("state")}, consensus.HardState{Term: 1}, entries(9, 10)))
	_, state := open(t, wal.Folder(dir))
	is.Equal(len(state.Entries), 2)
	names, err := filepath.Glob(filepath.Join(dir, "snapshot-*"))
	is.NoErr(err)
	is.Equal(len(names), 1)
	data, err := os.ReadFile(names[0])
	is.NoErr(err)
	data[len(data)/2] ^= 4
	is.NoErr(os.WriteFile(names[0], data, 0o600))
	_, _, err = wal.Open(wal.Folder(dir))
	var corrupt *wal.CorruptError
	is.True(errors.As(err, &corrupt))
}

func BenchmarkAppend(b *testing.B) {
	log, _, err := wal.Open(wal.Folder(b.TempDir()))
	if err != nil {
		b.Fatal(err)
	}
	index := uint64(0)
	for b.Loop() {
		index++
		if err := log.Append(nil, entries(index, index)); err != nil {
			b.Fatal(err)
		}
	}
}
