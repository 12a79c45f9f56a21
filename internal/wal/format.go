package wal

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
	"slices"
)

// A segment is a header and frames, one frame a record:
//
//	segment header: magic 8 | number of the first record 8 | checksum of these 16 bytes 4
//	frame: length 3 | mask 1 | number 8 | durable 8 | checksum of the record 4 | checksum of these 24 bytes 4 | record
//
// Each byte of a record is masked by recordMask and the frame's mask, which is 0 for nearly all records: another one is taken
// where a sector of the record would be all zeros on the disk, as it is where it was never written.
//
// A frame's header has a checksum of its own, so that its length can be trusted. durable is the last record that was
// durable when the frame was written: it proves that what precedes the frame is no torn write. A snapshot file begins as a
// segment does, see snapshot.go. All numbers are little-endian, all checksums CRC-32C.
const (
	magic             = "MVjrnl01"
	segmentHeaderSize = len(magic) + 8 + 4
	frameHeaderSize   = 4 + 8 + 8 + 4 + 4
	checksumSize      = 4

	// sectorSize is the least that a disk writes at once.
	sectorSize = 512
	// recordMask is applied to each byte of a record on disk. Zeros, of which records may have many, become something
	// else, so that they are not taken for sectors that were never written.
	recordMask = 0x5a
	// maskShift is where a frame's mask stands beside the length. A length that the mask is not cut off is longer than any
	// record, so that builds without masks take such a frame for corrupt.
	maskShift = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

func appendSegmentHeader(b []byte, first uint64) []byte {
	start := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
}

// appendFrame appends the frame of a record that will be written at an offset of its file.
func appendFrame(b []byte, number, durable uint64, record []byte, offset int) []byte {
	start := len(b)
	mask := frameMask(record, offset+frameHeaderSize)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(record))|uint32(mask)<<maskShift)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, durable)
	b = binary.LittleEndian.AppendUint32(b, checksum(record))
	b = binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
	return append(b, masked(record, mask)...)
}

// masked converts a record to its form on disk, and back.
func masked(b []byte, mask byte) []byte {
	out := make([]byte, len(b))
	for i, x := range b {
		out[i] = x ^ recordMask ^ mask
	}
	return out
}

// frameMask returns the least mask with which no sector of a record that stands at an offset is all zeros; 0 where there is
// none, as for a record that has sectors of each byte alone.
func frameMask(record []byte, offset int) byte {
	var isTaken [256]bool // by mask: some sector would be zeros
	for piece := range sectors(record, offset) {
		if isUniform(piece) {
			isTaken[piece[0]^recordMask] = true
		}
	}
	for mask, taken := range isTaken {
		if !taken {
			return byte(mask)
		}
	}
	return 0
}

// defect says why a part of a file does not decode.
type defect struct {
	torn   bool // the rest of an incomplete write; otherwise corruption
	reason string
}

func decodeSegmentHeader(b []byte) (first uint64, d *defect) {
	if len(b) < segmentHeaderSize {
		return 0, &defect{torn: true, reason: "the header is cut short"}
	}
	header := b[:segmentHeaderSize]
	sum := binary.LittleEndian.Uint32(header[segmentHeaderSize-checksumSize:])
	if string(header[:len(magic)]) != magic || checksum(header[:segmentHeaderSize-checksumSize]) != sum {
		if hasHole(header, 0) && !isProvenDurable(b, 0) {
			return 0, &defect{torn: true, reason: "the header was not written"}
		}
		return 0, &defect{reason: "the header does not match its checksum"}
	}
	return binary.LittleEndian.Uint64(header[len(magic):]), nil
}

type frameHeader struct {
	length          int
	mask            byte
	number, durable uint64
	recordChecksum  uint32
}

// decodeFrameHeader decodes the frame header at the beginning of b, which is long enough; valid says that its checksum
// matches.
func decodeFrameHeader(b []byte) (h frameHeader, valid bool) {
	if checksum(b[:frameHeaderSize-checksumSize]) != binary.LittleEndian.Uint32(b[frameHeaderSize-checksumSize:]) {
		return h, false
	}
	length := binary.LittleEndian.Uint32(b)
	return frameHeader{
		length:         int(length & (1<<maskShift - 1)),
		mask:           byte(length >> maskShift),
		number:         binary.LittleEndian.Uint64(b[4:]),
		durable:        binary.LittleEndian.Uint64(b[12:]),
		recordChecksum: binary.LittleEndian.Uint32(b[20:]),
	}, true
}

// decodeFrame decodes the frame of a record at the beginning of b, which is at an offset of its file and not empty. It
// returns the record and the frame's size.
//
// A write that a power loss cut short leaves its file shorter than the frame, or with sectors that were never written and
// are zero. Bytes that are there and do not match were changed after they were written, and may have been acknowledged:
// that is corruption. So is a hole before a frame that proves that this one was durable.
func decodeFrame(b []byte, number uint64, offset int) (record []byte, size int, d *defect) {
	if len(b) < frameHeaderSize {
		return nil, 0, incomplete(b, number, "a frame header is cut short")
	}
	header, valid := decodeFrameHeader(b)
	switch {
	case !valid && hasHole(b[:frameHeaderSize], offset) && !isOneByteOff(b[:frameHeaderSize], offset):
		return nil, 0, incomplete(b, number, "a frame header was not written")
	case !valid:
		return nil, 0, &defect{reason: "a frame header does not match its checksum"}
	case header.number != number:
		return nil, 0, &defect{reason: "a frame does not have the next record's number"}
	case header.length > MaxRecordBytes:
		return nil, 0, &defect{reason: "a frame is longer than any record"}
	}
	size = frameHeaderSize + header.length
	if len(b) < size {
		return nil, 0, incomplete(b, number, "a record is cut short")
	}
	record = masked(b[frameHeaderSize:size], header.mask)
	if checksum(record) != header.recordChecksum {
		if hasHole(b[frameHeaderSize:size], offset+frameHeaderSize) {
			return nil, 0, incomplete(b, number, "a record was not written completely")
		}
		return nil, 0, &defect{reason: "a record does not match its checksum"}
	}
	return record, size, nil
}

// incomplete classes a record whose bytes are missing: a torn write, unless a later frame proves that it was durable.
func incomplete(b []byte, number uint64, reason string) *defect {
	if isProvenDurable(b, number) {
		return &defect{reason: reason + ", and a frame after it was written later"}
	}
	return &defect{torn: true, reason: reason}
}

// isProvenDurable reports whether some frame in b was written when the record of a number was durable already. Frames are
// looked for at every offset, as the lengths before them can't be trusted.
func isProvenDurable(b []byte, number uint64) bool {
	for ; len(b) >= frameHeaderSize; b = b[1:] {
		if h, valid := decodeFrameHeader(b); valid && h.number > number && h.durable >= number {
			return true
		}
	}
	return false
}

// hasHole reports whether b, which is at an offset of its file, has only zeros in some sector: what a disk shows that
// stored the size of a file and not all of its bytes.
func hasHole(b []byte, offset int) bool {
	for piece := range sectors(b, offset) {
		if isZero(piece) {
			return true
		}
	}
	return false
}

// sectors yields the parts of b, which is at an offset of its file, by the sectors that they stand in.
func sectors(b []byte, offset int) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n := min(sectorSize-offset%sectorSize, len(b))
			if !yield(b[:n]) {
				return
			}
			b, offset = b[n:], offset+n
		}
	}
}

// isOneByteOff reports whether a frame header whose checksum does not match is right but for one byte, which stands in a
// sector that is not all zeros. Then the zeros belong to it: the header was written whole, and changed later.
func isOneByteOff(header []byte, offset int) bool {
	changed := slices.Clone(header)
	for piece := range sectors(changed, offset) {
		if isZero(piece) {
			continue
		}
		for i, original := range piece {
			for x := range 256 {
				piece[i] = byte(x)
				if _, valid := decodeFrameHeader(changed); valid {
					return true
				}
			}
			piece[i] = original
		}
	}
	return false
}

func isZero(b []byte) bool { return b[0] == 0 && isUniform(b) }

// isUniform reports whether all bytes of b, which is not empty, are the same.
func isUniform(b []byte) bool {
	for _, x := range b {
		if x != b[0] {
			return false
		}
	}
	return true
}
