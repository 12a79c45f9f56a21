package wal

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
	"slices"
)

// A segment is a header followed by frames, one frame per record. Sizes are in bytes:
//
//	segment header: fileMagic 8 | number of the first record 8 | checksum of these 16 bytes 4
//	frame: length 3 | mask 1 | number 8 | lastDurable 8 | checksum of the record 4 | checksum of these 24 bytes 4 | record
//
// Each byte of a record is XORed with recordMask and with the frame's mask. The frame's mask is 0 for nearly all records.
// Another mask is chosen if a sector of the record would otherwise be all zeros on the disk, like a sector that was never
// written.
//
// A frame header has its own checksum, so that its length can be trusted. lastDurable is the number of the last record that
// was durable when the frame was written: it proves that missing bytes of the records up to that number are not due to a
// torn write. A snapshot file begins with the same header as a segment, see snapshot.go. All numbers are little-endian, and
// all checksums are CRC-32C.
const (
	fileMagic         = "MVjrnl01"
	segmentHeaderSize = len(fileMagic) + 8 + 4
	frameHeaderSize   = 4 + 8 + 8 + 4 + 4
	checksumSize      = 4

	// sectorSize is the smallest unit that a disk writes, in bytes.
	sectorSize = 512
	// recordMask is XORed with each byte of a record on disk. Records may contain many zeros; the mask turns them into other
	// bytes, so that they are not mistaken for sectors that were never written.
	recordMask = 0x5a
	// maskShift is the bit position of a frame's mask in the 4-byte field that also holds the length. A build that does not
	// know masks reads both as one length, which is longer than any record, and reports such a frame as corrupt.
	maskShift = 24
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoliTable) }

func appendSegmentHeader(b []byte, first uint64) []byte {
	start := len(b)
	b = append(b, fileMagic...)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
}

// appendFrame appends the frame of a record to b. offset is the position of the frame in its file.
func appendFrame(b []byte, number, lastDurable uint64, record []byte, offset int) []byte {
	start := len(b)
	mask := frameMask(record, offset+frameHeaderSize)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(record))|uint32(mask)<<maskShift)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, lastDurable)
	b = binary.LittleEndian.AppendUint32(b, checksum(record))
	b = binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
	return append(b, applyMask(record, mask)...)
}

// applyMask converts a record to its on-disk form, or from its on-disk form back to the record.
func applyMask(b []byte, mask byte) []byte {
	out := make([]byte, len(b))
	for i, x := range b {
		out[i] = x ^ recordMask ^ mask
	}
	return out
}

// frameMask returns the smallest mask with which no sector of a record at a file offset is all zeros. It returns 0 if there
// is no such mask, which requires a record with a uniform sector for each of the 256 byte values.
func frameMask(record []byte, offset int) byte {
	var excluded [256]bool // indexed by mask: whether some sector would be all zeros
	for piece := range sectors(record, offset) {
		if isUniform(piece) {
			excluded[piece[0]^recordMask] = true
		}
	}
	for mask, isExcluded := range excluded {
		if !isExcluded {
			return byte(mask)
		}
	}
	return 0
}

// defect describes why a part of a file does not decode.
type defect struct {
	torn   bool // whether an incomplete write explains the defect; otherwise it is corruption
	reason string
}

func decodeSegmentHeader(b []byte) (first uint64, d *defect) {
	if len(b) < segmentHeaderSize {
		return 0, &defect{torn: true, reason: "file header is truncated"}
	}
	header := b[:segmentHeaderSize]
	sum := binary.LittleEndian.Uint32(header[segmentHeaderSize-checksumSize:])
	if string(header[:len(fileMagic)]) != fileMagic || checksum(header[:segmentHeaderSize-checksumSize]) != sum {
		if hasZeroSector(header, 0) && !isProvenDurable(b, 0) {
			return 0, &defect{torn: true, reason: "file header was not written"}
		}
		return 0, &defect{reason: "file header does not match its checksum"}
	}
	return binary.LittleEndian.Uint64(header[len(fileMagic):]), nil
}

type frameHeader struct {
	length              int
	mask                byte
	number, lastDurable uint64
	recordChecksum      uint32
}

// decodeFrameHeader decodes the frame header at the beginning of b, which must have at least frameHeaderSize bytes. valid
// reports whether the checksum of the header matches.
func decodeFrameHeader(b []byte) (h frameHeader, valid bool) {
	if checksum(b[:frameHeaderSize-checksumSize]) != binary.LittleEndian.Uint32(b[frameHeaderSize-checksumSize:]) {
		return h, false
	}
	length := binary.LittleEndian.Uint32(b)
	return frameHeader{
		length:         int(length & (1<<maskShift - 1)),
		mask:           byte(length >> maskShift),
		number:         binary.LittleEndian.Uint64(b[4:]),
		lastDurable:    binary.LittleEndian.Uint64(b[12:]),
		recordChecksum: binary.LittleEndian.Uint32(b[20:]),
	}, true
}

// decodeFrame decodes the frame at the beginning of b, which is not empty and starts at offset in its file. It returns the
// record and the size of the frame in bytes. number is the expected record number.
//
// A write that is interrupted by a power loss leaves a file that ends before the end of the frame, or that has sectors of
// zeros which were never written. Bytes that are present but do not match a checksum were changed after they were written
// and may have been acknowledged: that is corruption. A sector of zeros is also corruption if a later frame proves that
// this frame was durable.
func decodeFrame(b []byte, number uint64, offset int) (record []byte, size int, d *defect) {
	if len(b) < frameHeaderSize {
		return nil, 0, classifyIncomplete(b, number, "frame header is truncated")
	}
	header, valid := decodeFrameHeader(b)
	switch {
	case !valid && hasZeroSector(b[:frameHeaderSize], offset) && !hasOneCorruptByte(b[:frameHeaderSize], offset):
		return nil, 0, classifyIncomplete(b, number, "frame header was not written")
	case !valid:
		return nil, 0, &defect{reason: "frame header does not match its checksum"}
	case header.number != number:
		return nil, 0, &defect{reason: "record number of a frame is not the next number"}
	case header.length > MaxRecordBytes:
		return nil, 0, &defect{reason: "length in a frame header exceeds the maximum record length"}
	}
	size = frameHeaderSize + header.length
	if len(b) < size {
		return nil, 0, classifyIncomplete(b, number, "record is truncated")
	}
	record = applyMask(b[frameHeaderSize:size], header.mask)
	if checksum(record) != header.recordChecksum {
		if hasZeroSector(b[frameHeaderSize:size], offset+frameHeaderSize) {
			return nil, 0, classifyIncomplete(b, number, "record was not written completely")
		}
		return nil, 0, &defect{reason: "record does not match its checksum"}
	}
	return record, size, nil
}

// classifyIncomplete returns the defect for a record with missing bytes. It is a torn write, unless a later frame proves that
// the record was durable.
func classifyIncomplete(b []byte, number uint64, reason string) *defect {
	if isProvenDurable(b, number) {
		return &defect{reason: reason + ", but a later frame shows that it was durable"}
	}
	return &defect{torn: true, reason: reason}
}

// isProvenDurable reports whether b contains a frame that was written when the record with the given number was already
// durable. It looks for a frame at every offset, because the lengths in front of it can't be trusted.
func isProvenDurable(b []byte, number uint64) bool {
	for ; len(b) >= frameHeaderSize; b = b[1:] {
		if h, valid := decodeFrameHeader(b); valid && h.number > number && h.lastDurable >= number {
			return true
		}
	}
	return false
}

// hasZeroSector reports whether the part of some sector that lies in b is all zeros; b starts at offset in its file. A disk
// that stored the new size of a file but not all of its bytes returns such sectors.
func hasZeroSector(b []byte, offset int) bool {
	for piece := range sectors(b, offset) {
		if isAllZero(piece) {
			return true
		}
	}
	return false
}

// sectors splits b, which starts at offset in its file, at the sector boundaries and yields the pieces in order.
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

// hasOneCorruptByte reports whether changing a single byte makes the checksum of an invalid frame header match. Only bytes of
// sectors that are not all zeros are tried. If one is found, the zeros belong to the header: it was written completely and
// one of its bytes was changed later.
func hasOneCorruptByte(header []byte, offset int) bool {
	candidate := slices.Clone(header)
	for piece := range sectors(candidate, offset) {
		if isAllZero(piece) {
			continue
		}
		for i, original := range piece {
			for x := range 256 {
				piece[i] = byte(x)
				if _, valid := decodeFrameHeader(candidate); valid {
					return true
				}
			}
			piece[i] = original
		}
	}
	return false
}

func isAllZero(b []byte) bool { return b[0] == 0 && isUniform(b) }

// isUniform reports whether all bytes of b are the same. b must not be empty.
func isUniform(b []byte) bool {
	for _, x := range b {
		if x != b[0] {
			return false
		}
	}
	return true
}
