package wal_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"testing"

	"example.org/milletvane/internal/wal"
)

// recordMask is what each byte of a record is masked by on the disk: records of it alone would be zeros there.
const recordMask = 0x5a

// zeroishRecords would have sectors of zeros on the disk, or parts of them, if they were masked by recordMask alone.
func zeroishRecords() map[string][]byte {
	masked := func(n int) []byte { return bytes.Repeat([]byte{recordMask}, n) }
	records := map[string][]byte{
		"one byte":                masked(1),
		"a part of a sector":      masked(300),
		"more than a sector":      masked(700),
		"several sectors":         masked(3000),
		"a sector among others":   append(append(bytes.Repeat([]byte("x"), 800), masked(1200)...), "end"...),
		"zeros and masked zeros":  append(make([]byte, 1100), masked(1100)...),
		"all bytes by the sector": nil,
		"empty":                   {},
	}
	for x := range 200 {
		records["all bytes by the sector"] = append(records["all bytes by the sector"], bytes.Repeat([]byte{byte(x)}, 1024)...)
	}
	return records
}

// Guards against an acknowledged record that is dropped as a torn write since one byte of it was changed: with zeros beside it
// on the disk, it could be taken for one that was never written whole. Each byte of the last frame is changed in turn, with
// the frame at each offset around the end of a sector.
func TestChangedByteOfTheLastRecordIsCorruption(t *testing.T) {
	for name, record := range zeroishRecords() {
		t.Run(name, func(t *testing.T) {
			for shift := range 64 {
				files := write(t, small, appends(string(make([]byte, 420+shift)), string(record)))
				text := files[files.newest()]
				frame := len(text) - len(record) - 28
				step := max(len(record)/40, 1)
				for at := frame; at < len(text); at += 1 + (at-frame)/28*(step-1) {
					expectCorruption(t, files, at, fmt.Sprintf("shift %d, byte %d of the frame", shift, at-frame))
				}
			}
		})
	}
}

// expectCorruption changes a byte of the newest segment and opens the log.
func expectCorruption(t *testing.T, files formatFiles, at int, what string) {
	t.Helper()
	changed := files.clone()
	changed[changed.newest()][at] ^= 0x10
	_, recovered, err := wal.Open(diskOf(t, changed), formatDir, small)
	var corruption *wal.CorruptionError
	if !errors.As(err, &corruption) {
		t.Errorf("%s: opened with %v, %+v", what, err, recovered != nil)
	}
}

// What was written is read, whatever sectors it has.
func TestZeroishRecordsAreReadAsWritten(t *testing.T) {
	for name, record := range zeroishRecords() {
		t.Run(name, func(t *testing.T) {
			files := write(t, small, appends("first", string(record), "last"))
			_, recovered, err := wal.Open(diskOf(t, files), formatDir, small)
			if err != nil {
				t.Fatal(err)
			}
			if len(recovered.Records) != 3 || !bytes.Equal(recovered.Records[1].Data, record) {
				t.Error("the record differs")
			}
		})
	}
}

// A frame without a mask of its own, as builds before masks wrote it, is read whatever sectors it has.
func TestFramesWithoutAMaskAreRead(t *testing.T) {
	checksum := func(b []byte) uint32 { return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)) }
	for name, record := range zeroishRecords() {
		t.Run(name, func(t *testing.T) {
			segment := binary.LittleEndian.AppendUint64([]byte("MVjrnl01"), 1)
			segment = binary.LittleEndian.AppendUint32(segment, checksum(segment))
			header := binary.LittleEndian.AppendUint32(nil, uint32(len(record)))
			header = binary.LittleEndian.AppendUint64(header, 1)
			header = binary.LittleEndian.AppendUint64(header, 0)
			header = binary.LittleEndian.AppendUint32(header, checksum(record))
			header = binary.LittleEndian.AppendUint32(header, checksum(header))
			segment = append(segment, header...)
			for _, x := range record {
				segment = append(segment, x^recordMask)
			}
			files := formatFiles{"journal-0000000000000001": segment}
			_, recovered, err := wal.Open(diskOf(t, files), formatDir, small)
			if err != nil {
				t.Fatal(err)
			}
			if len(recovered.Records) != 1 || !bytes.Equal(recovered.Records[0].Data, record) {
				t.Error("the record differs")
			}
		})
	}
}
