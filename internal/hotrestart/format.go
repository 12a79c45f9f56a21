package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file is one line of text, with a word, the version of the format, the body's checksum and its size, and then the body:
// a Snapshot as JSON.
const (
	formatWord    = "milletvane-handover"
	formatVersion = 1
	headerFields  = 4

	maxFileBytes = 16 << 20
)

// Errors of files that can't be taken up. They are quarantined, and the process starts without them.
var (
	// ErrCorrupt says that a file is cut short, altered or no snapshot at all.
	ErrCorrupt = errors.New("snapshot is corrupt")
	// ErrUnsupportedFormat says that a file was written by a program with another format.
	ErrUnsupportedFormat = errors.New("snapshot has an unsupported format")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// encode returns the file of a snapshot.
func encode(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	file := fmt.Appendf(nil, "%s %d %08x %d\n", formatWord, formatVersion, crc32.Checksum(body, checksumTable), len(body))
	return append(file, body...), nil
}

// decode reads a file. The errors are ErrCorrupt and ErrUnsupportedFormat.
func decode(file []byte) (Snapshot, error) {
	header, body, ok := bytes.Cut(file, []byte{'\n'})
	if !ok {
		return Snapshot{}, ErrCorrupt
	}
	var word string
	var version, size int
	var checksum uint32
	n, err := fmt.Sscanf(string(header), "%s %d %x %d", &word, &version, &checksum, &size)
	if err != nil || n != headerFields || word != formatWord {
		return Snapshot{}, ErrCorrupt
	}
	if version != formatVersion {
		return Snapshot{}, fmt.Errorf("%w: version %d, want %d", ErrUnsupportedFormat, version, formatVersion)
	}
	if len(body) != size || crc32.Checksum(body, checksumTable) != checksum {
		return Snapshot{}, ErrCorrupt
	}
	var s Snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return Snapshot{}, errors.Join(ErrUnsupportedFormat, err)
	}
	return s, nil
}
