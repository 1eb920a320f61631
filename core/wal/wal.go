// Package wal is the write-ahead log that stores the persistent state of a keeper:
// its Raft term and vote, log entries and snapshots.
//
// Usage:
//
//	log, state, err := wal.Open(disk)
//	err = log.Append(ready.HardState, ready.Entries) // returns after the sync
//	err = log.SaveSnapshot(snapshot, hard, entries)
//
// Files in the data folder:
//
//   - identity: the identity of the keeper, written by another package
//   - snapshot-N: the state up to log index N, and the log entries after N at the
//     time of writing
//   - log-N: the records appended since the snapshot; N counts the log files
//   - watermark: the number of the newest log file and its synced size
//
// A torn record at the end of the log is truncated on opening. Any other changed
// byte, or a log that is shorter than its watermark, is reported as a
// *CorruptError: such a disk has lost acknowledged entries or votes, and its keeper
// must not vote again.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
)

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	watermarkFile  = "watermark"
	// watermarkSize is the size in bytes of the number of a log file, its synced size
	// and the CRC-32C checksum of both.
	watermarkSize = 20
)

// ErrFailed is returned by all writes after a failed one: it is unknown what the
// failed write left on disk, so nothing more may be acknowledged.
var ErrFailed = errors.New("wal: an earlier write failed")

// Log is the open write-ahead log of one keeper. It is not safe for concurrent use.
type Log struct {
	disk      Disk
	file      File
	watermark File
	name      string
	number    uint64
	size      int64
	failed    error
	buf       []byte
	snapshots []string
}

// storedSnapshot is the content of a snapshot file. It includes the log entries
// after the snapshot, so that the records of older log files are never replayed on
// top of it. LogNumber is the number of the log file that follows.
type storedSnapshot struct {
	Snapshot  consensus.Snapshot  `codec:"snapshot"`
	HardState consensus.HardState `codec:"hardState"`
	Entries   []consensus.Entry   `codec:"entries"`
	LogNumber uint64              `codec:"logNumber"`
}

// record is the payload of a record in a log file.
type record struct {
	HardState *consensus.HardState `codec:"h"`
	Entries   []consensus.Entry    `codec:"e"`
}

// Open restores the state from disk and opens the log for appending. It returns a
// *CorruptError if the stored data is damaged.
func Open(disk Disk) (*Log, consensus.State, error) {
	names, err := disk.List()
	if err != nil {
		return nil, consensus.State{}, fmt.Errorf("wal: %w", err)
	}
	lo := &Log{disk: disk, number: 1}
	state, err := lo.readSnapshot(names)
	if err != nil {
		return nil, state, err
	}
	if err := lo.readLogs(names, &state); err != nil {
		return nil, state, err
	}
	if err := lo.openFiles(); err != nil {
		return nil, state, err
	}
	return lo, state, nil
}

// Append writes a record and returns once it is synced to disk. After an error, all
// later writes fail with ErrFailed.
func (lo *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if lo.failed != nil {
		return fmt.Errorf("%w: %w", ErrFailed, lo.failed)
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	body, err := codec.Marshal(record{HardState: hard, Entries: entries})
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	lo.buf = appendRecord(lo.buf[:0], body)
	if err := lo.appendSynced(lo.buf); err != nil {
		lo.failed = err
		return fmt.Errorf("wal: append to %s: %w", lo.name, err)
	}
	return nil
}

// Close closes the log file and the watermark file.
func (lo *Log) Close() error {
	return errors.Join(lo.file.Close(), lo.watermark.Close())
}

// SaveSnapshot stores a snapshot together with the hard state and the log entries
// after it, starts a new log file, and then removes the log and snapshot files that
// are superseded.
func (lo *Log) SaveSnapshot(snap consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	if lo.failed != nil {
		return fmt.Errorf("%w: %w", ErrFailed, lo.failed)
	}
	if err := lo.saveSnapshot(snap, hard, entries); err != nil {
		lo.failed = err
		return fmt.Errorf("wal: snapshot %d: %w", snap.Index, err)
	}
	return nil
}

func (lo *Log) saveSnapshot(snap consensus.Snapshot, hard consensus.HardState, entries []consensus.Entry) error {
	body, err := codec.Marshal(storedSnapshot{Snapshot: snap, HardState: hard, Entries: entries, LogNumber: lo.number + 1})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	name := numbered(snapshotPrefix, snap.Index)
	if err := lo.disk.Replace(name, appendRecord(nil, body)); err != nil {
		return err
	}
	supersededLog := lo.name
	supersededSnapshots := lo.snapshots
	if err := lo.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	lo.number++
	lo.name = numbered(logPrefix, lo.number)
	lo.size = 0
	lo.snapshots = []string{name}
	if err := lo.openFiles(); err != nil {
		return err
	}
	return lo.removeSuperseded(supersededLog, supersededSnapshots, name)
}

// removeSuperseded removes a log file and all given snapshots except the one to
// keep, which has the same name if it was taken at the same index.
func (lo *Log) removeSuperseded(supersededLog string, supersededSnapshots []string, keep string) error {
	if err := lo.disk.Remove(supersededLog); err != nil {
		return err
	}
	for _, name := range supersededSnapshots {
		if name == keep {
			continue
		}
		if err := lo.disk.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// openFiles opens the current log file and the watermark file.
func (lo *Log) openFiles() error {
	file, err := lo.disk.Append(lo.name)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	watermark, err := lo.disk.Append(watermarkFile)
	if err != nil {
		return fmt.Errorf("wal: %w", errors.Join(err, file.Close()))
	}
	lo.file = file
	lo.watermark = watermark
	if err := lo.writeWatermark(); err != nil {
		return fmt.Errorf("wal: %w", errors.Join(err, lo.Close()))
	}
	return nil
}

// readLogs replays the newest log file, unless it is older than the snapshot, and
// removes older ones, which remain if a crash prevented their removal.
func (lo *Log) readLogs(names []string, state *consensus.State) error {
	for _, name := range names {
		if number, ok := parseNumbered(logPrefix, name); ok && number >= lo.number {
			lo.number = number
			lo.name = name
		}
	}
	if lo.name == "" {
		lo.name = numbered(logPrefix, lo.number)
		return lo.checkWatermark(names)
	}
	data, err := lo.disk.Read(lo.name)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	if err := lo.replay(data, state); err != nil {
		return err
	}
	if err := lo.checkWatermark(names); err != nil {
		return err
	}
	for _, name := range names {
		if number, ok := parseNumbered(logPrefix, name); ok && number < lo.number {
			if err := lo.disk.Remove(name); err != nil {
				return fmt.Errorf("wal: %w", err)
			}
		}
	}
	return nil
}

// replay applies the records of a log file and truncates a torn record at its end.
func (lo *Log) replay(data []byte, state *consensus.State) error {
	offset := 0
	for offset < len(data) {
		body, next, torn, err := nextRecord(lo.name, data, offset)
		if err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		if torn {
			if err := lo.disk.Truncate(lo.name, int64(offset)); err != nil {
				return fmt.Errorf("wal: truncate torn record: %w", err)
			}
			break
		}
		rec, err := codec.Unmarshal[record](body)
		if err != nil {
			return fmt.Errorf("wal: %w: %w", &CorruptError{File: lo.name, Offset: int64(offset), Detail: "cannot decode record"}, err)
		}
		applyRecord(state, rec)
		offset = next
	}
	lo.size = int64(offset)
	return nil
}

// readSnapshot loads the newest snapshot file, if there is one.
func (lo *Log) readSnapshot(names []string) (consensus.State, error) {
	var state consensus.State
	for _, name := range names {
		if _, ok := parseNumbered(snapshotPrefix, name); ok {
			lo.snapshots = append(lo.snapshots, name)
		}
	}
	if len(lo.snapshots) == 0 {
		return state, nil
	}
	newest := lo.snapshots[len(lo.snapshots)-1]
	data, err := lo.disk.Read(newest)
	if err != nil {
		return state, fmt.Errorf("wal: %w", err)
	}
	body, _, torn, err := nextRecord(newest, data, 0)
	if err != nil || torn {
		return state, errors.Join(err, &CorruptError{File: newest, Detail: "snapshot is truncated or its checksum does not match"})
	}
	stored, err := codec.Unmarshal[storedSnapshot](body)
	if err != nil {
		return state, fmt.Errorf("wal: %w: %w", &CorruptError{File: newest, Detail: "cannot decode snapshot"}, err)
	}
	lo.number = stored.LogNumber
	return consensus.State{HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries}, nil
}

// checkWatermark returns a *CorruptError if the log is shorter than its watermark,
// that is, if acknowledged records are missing.
func (lo *Log) checkWatermark(names []string) error {
	data, err := lo.readWatermark(names)
	if err != nil || data == nil {
		return err
	}
	number := binary.LittleEndian.Uint64(data)
	size := int64(binary.LittleEndian.Uint64(data[8:]))
	if number > lo.number || number == lo.number && size > lo.size {
		return fmt.Errorf("wal: %w", &CorruptError{File: lo.name, Offset: lo.size, Detail: fmt.Sprintf("the log ends here, but %d bytes of %s were acknowledged", size, numbered(logPrefix, number))})
	}
	return nil
}

// readWatermark returns nil if there is no watermark or if its write was torn.
func (lo *Log) readWatermark(names []string) ([]byte, error) {
	for _, name := range names {
		if name != watermarkFile {
			continue
		}
		data, err := lo.disk.Read(name)
		if err != nil {
			return nil, fmt.Errorf("wal: %w", err)
		}
		if len(data) != watermarkSize || crc32.Checksum(data[:16], castagnoli) != binary.LittleEndian.Uint32(data[16:]) {
			return nil, nil
		}
		return data, nil
	}
	return nil, nil
}

// appendSynced appends data to the log file, syncs it and updates the watermark.
func (lo *Log) appendSynced(data []byte) error {
	if _, err := lo.file.Write(data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := lo.file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	lo.size += int64(len(data))
	return lo.writeWatermark()
}

// writeWatermark records the synced size of the log. The watermark itself is not
// synced: after a crash it may be behind the log, but never ahead of it.
func (lo *Log) writeWatermark() error {
	var data [watermarkSize]byte
	binary.LittleEndian.PutUint64(data[0:], lo.number)
	binary.LittleEndian.PutUint64(data[8:], uint64(lo.size))
	binary.LittleEndian.PutUint32(data[16:], crc32.Checksum(data[:16], castagnoli))
	if _, err := lo.watermark.WriteAt(data[:], 0); err != nil {
		return fmt.Errorf("write watermark: %w", err)
	}
	return nil
}

// applyRecord applies a record to the restored state. An entry replaces the entries
// from its index on, as a new leader may overwrite them.
func applyRecord(state *consensus.State, rec record) {
	if rec.HardState != nil {
		state.HardState = *rec.HardState
	}
	for _, entry := range rec.Entries {
		if entry.Index <= state.Snapshot.Index {
			continue
		}
		keep := min(entry.Index-state.Snapshot.Index-1, uint64(len(state.Entries)))
		state.Entries = append(state.Entries[:keep], entry)
	}
}

// numbered returns the name of a numbered file.
func numbered(prefix string, number uint64) string {
	return fmt.Sprintf("%s%016x", prefix, number)
}

func parseNumbered(prefix, name string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil
}
