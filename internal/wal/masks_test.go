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

// recordMask is the value that each byte of a record is XORed with on disk. A record that consists of this byte only would be
// all zeros there.
const recordMask = 0x5a

// zeroSectorRecords returns records that would have zeros in a whole sector or a part of one on the disk if they were masked
// with recordMask alone.
func zeroSectorRecords() map[string][]byte {
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

// Guards against dropping an acknowledged record as a torn write because one of its bytes was changed. A record that
// has sectors of zeros on the disk could be mistaken for one that was not written completely. The test changes bytes of the
// last frame in turn, with the frame at each offset around the end of a sector.
func TestChangedByteOfTheLastRecordIsCorruption(t *testing.T) {
	for name, record := range zeroSectorRecords() {
		t.Run(name, func(t *testing.T) {
			for shift := range 64 {
				files := writeLog(t, smallOpts, appends(string(make([]byte, 420+shift)), string(record)))
				segment := files[files.newest()]
				frameStart := len(segment) - len(record) - 28
				step := max(len(record)/40, 1)
				for at := frameStart; at < len(segment); at += 1 + (at-frameStart)/28*(step-1) {
					expectCorruption(t, files, at, fmt.Sprintf("shift %d, byte %d of the frame", shift, at-frameStart))
				}
			}
		})
	}
}

// expectCorruption changes a byte of the newest segment and checks that opening the log returns a CorruptionError.
func expectCorruption(t *testing.T, files formatFiles, at int, what string) {
	t.Helper()
	changed := files.clone()
	changed[changed.newest()][at] ^= 0x10
	_, recovered, err := wal.Open(diskWith(t, changed), formatDir, smallOpts)
	var corruption *wal.CorruptionError
	if !errors.As(err, &corruption) {
		t.Errorf("%s: got error %v, want a CorruptionError (recovered log returned: %+v)", what, err, recovered != nil)
	}
}

// Checks that records are read back as written, even if they would have sectors of zeros without a mask of their frame.
func TestZeroishRecordsAreReadAsWritten(t *testing.T) {
	for name, record := range zeroSectorRecords() {
		t.Run(name, func(t *testing.T) {
			files := writeLog(t, smallOpts, appends("first", string(record), "last"))
			_, recovered, err := wal.Open(diskWith(t, files), formatDir, smallOpts)
			if err != nil {
				t.Fatal(err)
			}
			if len(recovered.Records) != 3 || !bytes.Equal(recovered.Records[1].Data, record) {
				t.Error("the record differs")
			}
		})
	}
}

// Checks that frames with mask 0, as builds that did not know masks wrote them, are read even if they have sectors of zeros
// on the disk.
func TestFramesWithoutAMaskAreRead(t *testing.T) {
	checksum := func(b []byte) uint32 { return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)) }
	for name, record := range zeroSectorRecords() {
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
			_, recovered, err := wal.Open(diskWith(t, files), formatDir, smallOpts)
			if err != nil {
				t.Fatal(err)
			}
			if len(recovered.Records) != 1 || !bytes.Equal(recovered.Records[0].Data, record) {
				t.Error("the record differs")
			}
		})
	}
}
