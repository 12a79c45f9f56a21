package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A segment is a head and frames. Each frame is a head of its own, which has a checksum of its own so that a length can be
// believed, and the record:
//
//	length 4 | number 8 | durable 8 | checksum of the record 4 | checksum of these 24 bytes 4 | record
//
// durable is the last number that was durable when the frame was written: it proves that what came before is no torn write.
// All numbers are little-endian, all checksums CRC-32C.
const (
	magic     = "MVjrnl01"
	segHead   = len(magic) + 8 + 4 // the number of the first record, and a checksum
	frameHead = 4 + 8 + 8 + 4 + 4
	sector    = 512 // the least that a disk writes at once
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

func appendSegHead(b []byte, first uint64) []byte {
	at := len(b)
	b = binary.LittleEndian.AppendUint64(append(b, magic...), first)
	return binary.LittleEndian.AppendUint32(b, sum(b[at:]))
}

func appendFrame(b []byte, number, durable uint64, record []byte) []byte {
	at := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(record)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, durable)
	b = binary.LittleEndian.AppendUint32(b, sum(record))
	b = binary.LittleEndian.AppendUint32(b, sum(b[at:]))
	return append(b, masked(record)...)
}

// masked is a record as it stands on the disk, and the other way round. Zeros, of which records may have many, are written
// as something else, so that they are not taken for what was never written.
func masked(b []byte) []byte {
	out := make([]byte, len(b))
	for i, x := range b {
		out[i] = x ^ 0x5a
	}
	return out
}

// verdict says how a piece of a segment reads.
type verdict int

const (
	whole   verdict = iota
	torn            // the rest of a write that did not come to its end
	damaged         // anything else
)

// readSegHead reads a segment's head.
func readSegHead(b []byte) (first uint64, v verdict, reason string) {
	if len(b) < segHead {
		return 0, torn, "its head is cut short"
	}
	if string(b[:len(magic)]) != magic || sum(b[:segHead-4]) != binary.LittleEndian.Uint32(b[segHead-4:]) {
		if hole(b[:segHead], 0) && !provenDurable(b, 0) {
			return 0, torn, "its head was not written"
		}
		return 0, damaged, "its head does not fit its checksum"
	}
	return binary.LittleEndian.Uint64(b[len(magic):]), whole, ""
}

// readFrame reads the frame at the beginning of b, which has to have a number. at is where b begins in its file.
//
// A write that power cut short leaves its file shorter than the frame, or sectors of it never written, that is zero. All
// that is there and yet does not fit was changed after it was written, and may have been acknowledged: that is damage. So
// is a hole before a frame that was written when this one was durable.
func readFrame(b []byte, number uint64, at int) (record []byte, n int, v verdict, reason string) {
	short := func(reason string) ([]byte, int, verdict, string) {
		if provenDurable(b, number) {
			return nil, 0, damaged, reason + ", and what follows was written after it"
		}
		return nil, 0, torn, reason
	}
	if len(b) < frameHead {
		return short("a frame's head is cut short")
	}
	if sum(b[:frameHead-4]) != binary.LittleEndian.Uint32(b[frameHead-4:]) {
		if hole(b[:frameHead], at) {
			return short("a frame's head was not written")
		}
		return nil, 0, damaged, "a frame's head does not fit its checksum"
	}
	length := int(binary.LittleEndian.Uint32(b))
	if got := binary.LittleEndian.Uint64(b[4:]); got != number {
		return nil, 0, damaged, "a frame has another number than the one that follows"
	}
	if length > MaxRecordBytes {
		return nil, 0, damaged, "a frame is longer than any record"
	}
	if len(b) < frameHead+length {
		return short("a record is cut short")
	}
	record = masked(b[frameHead : frameHead+length])
	if sum(record) != binary.LittleEndian.Uint32(b[20:]) {
		if hole(b[frameHead:frameHead+length], at+frameHead) {
			return short("a record was not written whole")
		}
		return nil, 0, damaged, "a record does not fit its checksum"
	}
	return record, frameHead + length, whole, ""
}

// provenDurable reports whether some frame in b was written when the record of a number was durable already.
func provenDurable(b []byte, number uint64) bool {
	for ; len(b) >= frameHead; b = b[1:] {
		if sum(b[:frameHead-4]) == binary.LittleEndian.Uint32(b[frameHead-4:]) &&
			binary.LittleEndian.Uint64(b[4:]) > number && binary.LittleEndian.Uint64(b[12:]) >= number {
			return true
		}
	}
	return false
}

// hole reports whether b, which begins at an offset of its file, has the bytes of some sector all zero: what a disk shows
// that took the size of a file and not all of its bytes.
func hole(b []byte, at int) bool {
	for len(b) > 0 {
		n := min(sector-at%sector, len(b))
		zero := true
		for _, x := range b[:n] {
			zero = zero && x == 0
		}
		if zero {
			return true
		}
		b, at = b[n:], at+n
	}
	return false
}
