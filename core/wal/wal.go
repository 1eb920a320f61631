// Package wal keeps what a keeper must not forget on its disk.
//
// Usage:
//
//	log, state, err := wal.Open(disk)
//	err = log.Append(ready.HardState, ready.Entries) // returns after the sync
//	err = log.SaveSnapshot(snapshot, hard, entries)
//
// Files in the data folder: identity; snapshot-N, the state up to log index N
// with what the log held after it; log-N, later records; watermark, how much of the newest log file was
// synced. A torn tail is cut off on opening. A changed byte elsewhere, or a
// log that is shorter than its watermark, is a *CorruptError: such a disk has
// forgotten what was acknowledged, and its keeper must not vote again.
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
	watermarkName  = "watermark"
	watermarkSize  = 20
)

// ErrFailed reports that an earlier write failed; nothing more is acknowledged.
var ErrFailed = errors.New("wal: an earlier write failed")

// Log is the open log of one keeper. It is not safe for concurrent use.
type Log struct {
	disk      Disk
	file      File
	mark      File
	name      string
	number    uint64
	size      int64
	failed    error
	buf       []byte
	snapshots []string
}

// storedSnapshot is the content of a snapshot file. It holds the rest of the
// log as well, so that records of older log files never count beside it.
type storedSnapshot struct {
	Snapshot  consensus.Snapshot  `codec:"snapshot"`
	HardState consensus.HardState `codec:"hardState"`
	Entries   []consensus.Entry   `codec:"entries"`
	LogNumber uint64              `codec:"logNumber"`
}

type record struct {
	HardState *consensus.HardState `codec:"h"`
	Entries   []consensus.Entry    `codec:"e"`
}

// Open reads the data folder and opens its log for appending.
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

// Append writes one record and returns after it was synced.
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
	if err := lo.writeSynced(lo.buf); err != nil {
		lo.failed = err
		return fmt.Errorf("wal: append to %s: %w", lo.name, err)
	}
	return nil
}

// Close closes the files.
func (lo *Log) Close() error {
	return errors.Join(lo.file.Close(), lo.mark.Close())
}

// SaveSnapshot writes a snapshot, with the hard state and the entries after it,
// begins a new log file, and then removes the files that the snapshot replaces.
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
	oldLog := lo.name
	oldSnapshots := lo.snapshots
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
	return lo.removeOld(oldLog, oldSnapshots, name)
}

func (lo *Log) removeOld(oldLog string, oldSnapshots []string, keep string) error {
	if err := lo.disk.Remove(oldLog); err != nil {
		return err
	}
	for _, name := range oldSnapshots {
		if name == keep {
			continue
		}
		if err := lo.disk.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (lo *Log) openFiles() error {
	file, err := lo.disk.Append(lo.name)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	mark, err := lo.disk.Append(watermarkName)
	if err != nil {
		return fmt.Errorf("wal: %w", errors.Join(err, file.Close()))
	}
	lo.file = file
	lo.mark = mark
	return lo.writeWatermark()
}

// readLogs reads the log file that follows the snapshot. Older ones are left
// only when a crash came before their removal.
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

func (lo *Log) replay(data []byte, state *consensus.State) error {
	offset := 0
	for offset < len(data) {
		body, next, torn, err := nextRecord(lo.name, data, offset)
		if err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		if torn {
			if err := lo.disk.Truncate(lo.name, int64(offset)); err != nil {
				return fmt.Errorf("wal: cut torn tail: %w", err)
			}
			break
		}
		rec, err := codec.Unmarshal[record](body)
		if err != nil {
			return fmt.Errorf("wal: %w: %w", &CorruptError{File: lo.name, Offset: int64(offset), Detail: "a record can't be read"}, err)
		}
		applyRecord(state, rec)
		offset = next
	}
	lo.size = int64(offset)
	return nil
}

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
		return state, errors.Join(err, &CorruptError{File: newest, Detail: "the snapshot is damaged"})
	}
	stored, err := codec.Unmarshal[storedSnapshot](body)
	if err != nil {
		return state, fmt.Errorf("wal: %w: %w", &CorruptError{File: newest, Detail: "the snapshot can't be read"}, err)
	}
	lo.number = stored.LogNumber
	return consensus.State{HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries}, nil
}

// checkWatermark refuses a log that is shorter than what was acknowledged.
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

// readWatermark returns nil when there is none, or only a torn one.
func (lo *Log) readWatermark(names []string) ([]byte, error) {
	for _, name := range names {
		if name != watermarkName {
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

func (lo *Log) writeSynced(data []byte) error {
	if _, err := lo.file.Write(data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := lo.file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	lo.size += int64(len(data))
	return lo.writeWatermark()
}

// writeWatermark notes how much was synced. It is not synced itself: it may
// lag behind the log, never run ahead of it.
func (lo *Log) writeWatermark() error {
	var data [watermarkSize]byte
	binary.LittleEndian.PutUint64(data[0:], lo.number)
	binary.LittleEndian.PutUint64(data[8:], uint64(lo.size))
	binary.LittleEndian.PutUint32(data[16:], crc32.Checksum(data[:16], castagnoli))
	if _, err := lo.mark.WriteAt(data[:], 0); err != nil {
		return fmt.Errorf("write watermark: %w", err)
	}
	return nil
}

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
