package balancer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// tableSize is M, the prime number of slots: 20 for each of 100 servers, since a fill must be cheap for
	// a gateway that places little. It never follows the list, as another M would reshuffle every key.
	tableSize = 2039
	// The seeds are the same for every gateway, or their tables would differ.
	offsetSeed uint64 = 0x6d617374687562a1
	skipSeed   uint64 = 0x6d617374687562b2
	keySeed    uint64 = 0x6d617374687562c3
)

// weightedServer is one server's claim on the table.
type weightedServer struct {
	id     ServerID
	weight float64
}

// table maps each slot to an index of the shares that it was built from.
type table []uint16

// buildTable fills a Maglev table. The shares come sorted by id; weights are above 0. Servers take turns,
// each at the first free slot of its own permutation; a server of lower weight sits some turns out, so
// that turns are in proportion to weights. Counts are within one slot of that proportion for each
// server and round.
func buildTable(shares []weightedServer) table {
	if len(shares) == 0 {
		return nil
	}
	type cursor struct {
		pos, skip    uint32
		credit, gain float64
	}
	top := 0.0
	for _, s := range shares {
		top = max(top, s.weight)
	}
	cursors := make([]cursor, len(shares))
	for i, s := range shares {
		cursors[i] = cursor{
			pos:  uint32(hashID(s.id, offsetSeed) % tableSize),
			skip: uint32(hashID(s.id, skipSeed)%(tableSize-1)) + 1,
			gain: s.weight / top,
		}
	}
	const free = ^uint16(0)
	t := make(table, tableSize)
	for i := range t {
		t[i] = free
	}
	for filled := 0; ; {
		for i := range cursors {
			c := &cursors[i]
			if c.credit += c.gain; c.credit < 1 {
				continue
			}
			c.credit--
			for t[c.pos] != free {
				if c.pos += c.skip; c.pos >= tableSize {
					c.pos -= tableSize
				}
			}
			t[c.pos] = uint16(i)
			if filled++; filled == tableSize {
				return t
			}
		}
	}
}

// at returns the share index for the j-th lookup of a hashed key: j = 0 is the ordinary path, the others
// are its alternates.
func (t table) at(key uint64, j int) int {
	if j > 0 {
		key = mix(key, uint64(j))
	}
	return int(t[key%tableSize])
}

func hashKey(key string) uint64 {
	return mix(xxhash.Sum64String(key), keySeed)
}

func hashID(id ServerID, seed uint64) uint64 { return mix(uint64(id), seed) }

func mix(v, seed uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], v)
	binary.LittleEndian.PutUint64(b[8:], seed)
	return xxhash.Sum64(b[:])
}
