package balancer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// tableSize is the number of slots, a prime: 20 for each of 100 servers, since a gateway that places
	// little must build a table cheaply. It never follows the list, as another size would reshuffle every
	// key.
	tableSize = 2039

	// The seeds are the same for every gateway, or their tables would differ.
	offsetSeed uint64 = 0x6d617374687562a1
	skipSeed   uint64 = 0x6d617374687562b2
	keySeed    uint64 = 0x6d617374687562c3
)

// weightedServer is one server's part in the table.
type weightedServer struct {
	id     ServerID
	weight float64
}

// table maps each slot to an index of the servers that it was built from.
type table []uint16

// emptySlot marks a slot that no server has yet.
const emptySlot = ^uint16(0)

// cursor is a server's position in its permutation of the slots.
type cursor struct {
	pos, skip              uint32
	credit, creditPerRound float64 // turns that it may take, and what each round adds to them
}

// buildTable builds a Maglev table. The servers come sorted by id; weights are above 0. Servers take turns,
// each at the first empty slot of its own permutation; a server of lower weight sits some turns out, so that
// turns are in proportion to weights. Counts are within one slot of that proportion for each server and
// round.
func buildTable(servers []weightedServer) table {
	if len(servers) == 0 {
		return nil
	}
	cursors := newCursors(servers)
	t := make(table, tableSize)
	for i := range t {
		t[i] = emptySlot
	}
	for filled := 0; ; {
		for i := range cursors {
			c := &cursors[i]
			if c.credit += c.creditPerRound; c.credit < 1 {
				continue
			}
			c.credit--
			for t[c.pos] != emptySlot {
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

// newCursors places a cursor for each server at the start of its permutation.
func newCursors(servers []weightedServer) []cursor {
	highest := 0.0
	for _, s := range servers {
		highest = max(highest, s.weight)
	}
	cursors := make([]cursor, len(servers))
	for i, s := range servers {
		cursors[i] = cursor{
			pos:            uint32(hashID(s.id, offsetSeed) % tableSize),
			skip:           uint32(hashID(s.id, skipSeed)%(tableSize-1)) + 1,
			creditPerRound: s.weight / highest,
		}
	}
	return cursors
}

// at returns the server index of the n-th lookup of a hashed key: 0 is its ordinary placement, the others are
// its alternates.
func (t table) at(key uint64, n int) int {
	if n > 0 {
		key = mix(key, uint64(n))
	}
	return int(t[key%tableSize])
}

func hashKey(key string) uint64 { return mix(xxhash.Sum64String(key), keySeed) }

func hashID(id ServerID, seed uint64) uint64 { return mix(uint64(id), seed) }

// mix returns a hash of two numbers.
func mix(v, seed uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], v)
	binary.LittleEndian.PutUint64(b[8:], seed)
	return xxhash.Sum64(b[:])
}

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
