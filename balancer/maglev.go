package balancer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// tableSize is the number of slots, a prime: about 20 for each of 100 servers. It is no larger because a
	// gateway that places few connections must build a table cheaply. It does not depend on the number of
	// servers, because another size would move every key.
	tableSize = 2039

	// All gateways use the same seeds, because their tables would differ otherwise.
	offsetSeed uint64 = 0x6d617374687562a1
	skipSeed   uint64 = 0x6d617374687562b2
	keySeed    uint64 = 0x6d617374687562c3
)

// weightedServer is a server of a table with its weight.
type weightedServer struct {
	id     ServerID
	weight float64
}

// table maps each slot to an index into the servers that it was built from.
type table []uint16

// emptySlot marks a slot that is not assigned to a server yet.
const emptySlot = ^uint16(0)

// cursor is a server's position in its permutation of the slots.
type cursor struct {
	pos, skip              uint32
	credit, creditPerRound float64 // number of slots it may take now, and what each round adds to that
}

// buildTable builds a Maglev table. The servers must be sorted by ID and their weights positive. buildTable
// returns nil if there are no servers.
//
// The servers take turns, and each takes the first empty slot of its own permutation. A server of lower
// weight skips some turns, so that the slots are in proportion to the weights: after each round, every
// server's count is within one slot of its proportion.
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

// newCursors returns a cursor for each server, at the start of the server's permutation.
func newCursors(servers []weightedServer) []cursor {
	maxWeight := 0.0
	for _, s := range servers {
		maxWeight = max(maxWeight, s.weight)
	}
	cursors := make([]cursor, len(servers))
	for i, s := range servers {
		cursors[i] = cursor{
			pos:            uint32(hashID(s.id, offsetSeed) % tableSize),
			skip:           uint32(hashID(s.id, skipSeed)%(tableSize-1)) + 1,
			creditPerRound: s.weight / maxWeight,
		}
	}
	return cursors
}

// at returns the server index that the n-th lookup of a hashed key gives. Lookup 0 gives the entry of the
// hash itself; further lookups give alternates.
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

// fraction maps a hash to a number in [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
