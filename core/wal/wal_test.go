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

// faultyDisk is a Disk that fails at call number failAt and, unless once is set, at
// all later calls, like a failing disk.
type faultyDisk struct {
	wal.Folder
	calls  int
	failAt int
	// torn makes the failing write store half of its bytes.
	torn bool
	// once lets later calls succeed, as when space is freed on a full disk.
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

// onlyLog returns the path of the only log file in a folder.
func onlyLog(t *testing.T, dir string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(names) != 1 {
		t.Fatalf("log files: %v, %v", names, err)
	}
	return names[0]
}

// newFilledFolder returns a folder whose log holds ten entries.
func newFilledFolder(t *testing.T) string {
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

func TestReopenRestoresAppendedState(t *testing.T) {
	is := is.New(t)
	_, state := open(t, wal.Folder(newFilledFolder(t)))
	is.Equal(len(state.Entries), 10)
	is.Equal(state.HardState, consensus.HardState{Term: 1, Vote: "k1"})
}

func TestNewerEntriesReplaceTail(t *testing.T) {
	is := is.New(t)
	dir := newFilledFolder(t)
	log, _ := open(t, wal.Folder(dir))
	is.NoErr(log.Append(nil, []consensus.Entry{{Index: 6, Term: 2, Kind: consensus.EntryNoop}}))
	_, state := open(t, wal.Folder(dir))
	is.Equal(len(state.Entries), 6)
	is.Equal(state.Entries[5].Term, uint64(2))
}

// TestCrashAtEveryWrite makes the disk fail at each call in turn, during appends and
// snapshots. Reopening must restore every acknowledged entry, without gaps.
func TestCrashAtEveryWrite(t *testing.T) {
	for _, torn := range []bool{false, true} {
		// Each call fails in two cases: once with all later calls, and once alone.
		for failAt := 2; failAt < 160; failAt++ {
			dir := t.TempDir()
			disk := &faultyDisk{Folder: wal.Folder(dir), failAt: failAt / 2, torn: torn, once: failAt%2 == 1}
			acked := appendAndSnapshot(disk)
			_, state, err := wal.Open(wal.Folder(dir))
			if err != nil {
				t.Fatalf("case %d, torn %v: Open: %v", failAt, torn, err)
			}
			last := state.Snapshot.Index + uint64(len(state.Entries))
			if last < acked {
				t.Fatalf("case %d, torn %v: index %d was acknowledged, but the log ends at %d", failAt, torn, acked, last)
			}
			for i, entry := range state.Entries {
				if entry.Index != state.Snapshot.Index+uint64(i)+1 {
					t.Fatalf("case %d, torn %v: gap in the log before index %d", failAt, torn, entry.Index)
				}
			}
		}
	}
}

// appendAndSnapshot appends entries and saves snapshots on a failing disk. It returns
// the last acknowledged index, and panics if an append succeeds after a failure.
func appendAndSnapshot(disk wal.Disk) uint64 {
	log, _, err := wal.Open(disk)
	if err != nil {
		return 0
	}
	acked, failed := uint64(0), false
	for index := uint64(1); index <= 20; index++ {
		err := log.Append(&consensus.HardState{Term: index}, entries(index, index))
		if err == nil {
			if failed {
				panic("append succeeded after a failed write")
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

func TestTornTailIsTruncated(t *testing.T) {
	dir := newFilledFolder(t)
	path := onlyLog(t, dir)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(intact[:len(intact)/10-5]); err != nil { // A record whose write was interrupted before it was acknowledged.
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	is := is.New(t)
	log, state := open(t, wal.Folder(dir))
	is.Equal(len(state.Entries), 10)
	is.NoErr(log.Append(nil, entries(11, 11)))
	_, state = open(t, wal.Folder(dir))
	is.Equal(len(state.Entries), 11) // Records after the truncated one are restored.
}

// TestBitFlipIsDetected flips one bit of each byte of the log in turn. Open must
// report each one as damage in the log file.
func TestBitFlipIsDetected(t *testing.T) {
	dir := newFilledFolder(t)
	path := onlyLog(t, dir)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range intact {
		changed := append([]byte(nil), intact...)
		changed[i] ^= 1 << (i % 8)
		if err := os.WriteFile(path, changed, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := wal.Open(wal.Folder(dir))
		var corrupt *wal.CorruptError
		if !errors.As(err, &corrupt) || !strings.HasPrefix(corrupt.File, "log-") {
			t.Fatalf("byte %d: got %v, want a CorruptError that names the log file", i, err)
		}
	}
}

// TestTruncatedLogIsRejected truncates or removes acknowledged records. A keeper that
// started from such a disk could vote twice in a term or lose committed entries.
func TestTruncatedLogIsRejected(t *testing.T) {
	dir := newFilledFolder(t)
	path := onlyLog(t, dir)
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
			t.Fatalf("truncated to %d bytes: got %v, want a CorruptError", size, err)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(wal.Folder(dir)); err == nil {
		t.Fatal("Open succeeded although the log file was removed")
	}
}

func TestDamagedSnapshotIsRejected(t *testing.T) {
	is := is.New(t)
	dir := newFilledFolder(t)
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
