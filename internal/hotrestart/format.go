package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file consists of a header and a body. The header is one line of text with a magic word, the version of the format, the
// checksum of the body and the size of the body in bytes. The body is a Snapshot as JSON.
const (
	formatMagic      = "milletvane-handover"
	formatVersion    = 1
	headerFieldCount = 4

	maxFileBytes = 16 << 20
)

// Errors of files that cannot be decoded. The files are quarantined, and the process starts without their snapshots.
var (
	// ErrCorrupt is returned for a file that is truncated, altered, too large or not a snapshot.
	ErrCorrupt = errors.New("snapshot is corrupt")
	// ErrUnsupportedFormat is returned for a file whose version of the format differs or whose body has other types.
	ErrUnsupportedFormat = errors.New("snapshot has an unsupported format")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// encode returns the content of a snapshot's file.
func encode(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	file := fmt.Appendf(nil, "%s %d %08x %d\n", formatMagic, formatVersion, crc32.Checksum(body, checksumTable), len(body))
	return append(file, body...), nil
}

// decode parses the content of a file. Its errors wrap ErrCorrupt or ErrUnsupportedFormat.
func decode(file []byte) (Snapshot, error) {
	header, body, ok := bytes.Cut(file, []byte{'\n'})
	if !ok {
		return Snapshot{}, ErrCorrupt
	}
	var magic string
	var version, size int
	var checksum uint32
	n, err := fmt.Sscanf(string(header), "%s %d %x %d", &magic, &version, &checksum, &size)
	if err != nil || n != headerFieldCount || magic != formatMagic {
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
