package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record is a head and a body. The head holds the length and checksum of the
// body and a checksum of its own, so that a damaged length is not taken for
// the end of the file.
const (
	headSize   = 12
	sectorSize = 512
)

// CorruptError names the place where stored bytes have changed.
type CorruptError struct {
	File   string
	Offset int64
	Detail string
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Error names the file, the offset and what is wrong.
func (co *CorruptError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; this disk can't be trusted", co.File, co.Offset, co.Detail)
}

func appendRecord(out, body []byte) []byte {
	var head [headSize]byte
	binary.LittleEndian.PutUint32(head[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(head[8:], crc32.Checksum(head[:8], castagnoli))
	return append(append(out, head[:]...), body...)
}

// nextRecord reads the record at an offset. It returns torn when the rest of
// the file is what a crash in the middle of a write leaves behind: it stops
// short, or whole sectors at its end were never written.
func nextRecord(file string, data []byte, offset int) (body []byte, next int, torn bool, err error) {
	rest := data[offset:]
	if len(rest) < headSize || isZero(rest) {
		return nil, offset, true, nil
	}
	if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, offset, false, &CorruptError{File: file, Offset: int64(offset), Detail: "the head of a record has a wrong checksum"}
	}
	size := int(binary.LittleEndian.Uint32(rest[0:]))
	if len(rest)-headSize < size {
		return nil, offset, true, nil
	}
	end := offset + headSize + size
	body = data[offset+headSize : end]
	if crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(rest[4:]) {
		return body, end, false, nil
	}
	if end == len(data) && hasUnwrittenSector(data, offset) {
		return nil, offset, true, nil
	}
	return nil, offset, false, &CorruptError{File: file, Offset: int64(offset), Detail: "the body of a record has a wrong checksum"}
}

func hasUnwrittenSector(data []byte, offset int) bool {
	for start := (offset/sectorSize + 1) * sectorSize; start < len(data); start += sectorSize {
		if isZero(data[start:min(start+sectorSize, len(data))]) {
			return true
		}
	}
	return false
}

func isZero(data []byte) bool {
	return len(bytes.TrimLeft(data, "\x00")) == 0
}
