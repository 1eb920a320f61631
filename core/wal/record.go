package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record consists of a header and a body. The header holds the length and the
// CRC-32C checksum of the body and a checksum of these two fields, so that a
// corrupted length is not mistaken for a record cut off at the end of the file.
const (
	headerSize = 12 // Three numbers of 4 bytes.
	// sectorSize is the smallest unit that a disk writes, in bytes.
	sectorSize = 512
)

// CorruptError reports stored data that is damaged or missing.
type CorruptError struct {
	File   string
	Offset int64
	Detail string
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Error returns the file, the offset, the kind of damage and its consequence.
func (co *CorruptError) Error() string {
	return fmt.Sprintf("corrupt data in %s at byte %d: %s; the data folder must not be used again", co.File, co.Offset, co.Detail)
}

// appendRecord appends the encoded record to out.
func appendRecord(out, body []byte) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	return append(append(out, header[:]...), body...)
}

// nextRecord returns the body of the record at offset and the offset of the next
// one. It reports torn if the rest of the file is what a crash during a write leaves
// behind: the record is cut off, or whole sectors of the last record were never
// written and read as zeros.
func nextRecord(file string, data []byte, offset int) (body []byte, next int, torn bool, err error) {
	rest := data[offset:]
	if len(rest) < headerSize || isZero(rest) {
		return nil, offset, true, nil
	}
	if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, offset, false, &CorruptError{File: file, Offset: int64(offset), Detail: "checksum mismatch in record header"}
	}
	size := int(binary.LittleEndian.Uint32(rest[0:]))
	if len(rest)-headerSize < size {
		return nil, offset, true, nil
	}
	end := offset + headerSize + size
	body = data[offset+headerSize : end]
	if crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(rest[4:]) {
		return body, end, false, nil
	}
	if end == len(data) && hasUnwrittenSector(data, offset) {
		return nil, offset, true, nil
	}
	return nil, offset, false, &CorruptError{File: file, Offset: int64(offset), Detail: "checksum mismatch in record body"}
}

// hasUnwrittenSector reports whether a sector after the one that contains offset
// reads as zeros.
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
