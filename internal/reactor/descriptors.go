package reactor

import (
	"container/list"
	"sync"

	"golang.org/x/sys/unix"
)

// descriptors counts the descriptors of a group's connections against a budget. It lists the connections that may be closed
// early to free a descriptor: those that this side is closing.
type descriptors struct {
	mu        sync.Mutex
	held      int
	budget    int // the maximum of held; zero means no limit
	evictable [evictableKinds]list.List
}

// evictableKind says why a connection that this side is closing is still open. Connections of the first kind are evicted
// first.
type evictableKind uint8

const (
	evictableLingering evictableKind = iota // all bytes are written, the peer has not ended its side
	evictableFlushing                       // bytes are still pending for the peer
	evictableKinds
)

// evictableEntry is a connection's position in the lists of evictable connections. The zero value means that it is in none.
type evictableEntry struct {
	element *list.Element
	kind    evictableKind
}

// SetDescriptorBudget sets how many descriptors the group's connections may hold, including those of ReserveDescriptor.
// Zero means no limit. At the limit, each new connection evicts one that this side is closing, beginning with the one that
// has lingered longest. If this side is closing no connection, no connection is accepted. A dial is never refused: the
// caller makes sure that there is room for it.
func (g *Group) SetDescriptorBudget(n int) {
	g.descriptors.mu.Lock()
	defer g.descriptors.mu.Unlock()
	g.descriptors.budget = n
}

// ReserveDescriptor counts a descriptor that the caller opens outside the group towards the budget until ReleaseDescriptor
// is called.
func (g *Group) ReserveDescriptor() { g.descriptors.reserve() }

// ReleaseDescriptor ends the count of ReserveDescriptor. It must be called once for each ReserveDescriptor, when the
// descriptor is closed.
func (g *Group) ReleaseDescriptor() { g.descriptors.release(evictableEntry{}) }

// DescriptorCounts returns how many descriptors are counted, and how many of them belong to connections that this side is
// closing.
func (g *Group) DescriptorCounts() (held, closing int) {
	d := &g.descriptors
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.evictable {
		closing += d.evictable[i].Len()
	}
	return d.held, closing
}

// reserve counts a descriptor. If the budget is used up, reserve first evicts connections until the descriptor fits
// in the budget or no connection can be evicted. The caller must not hold the lock of a connection.
func (d *descriptors) reserve() {
	for c := d.tryReserve(); c != nil; c = d.tryReserve() {
		c.evict()
	}
}

// tryReserve counts a descriptor and returns nil, or returns the connection that has to be evicted first.
func (d *descriptors) tryReserve() *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isFull() {
		if c := d.popEvictable(); c != nil {
			return c
		}
	}
	d.held++
	return nil
}

// canMakeRoom reports whether a descriptor can be reserved within the budget, by an eviction if necessary.
func (d *descriptors) canMakeRoom() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.isFull() || d.evictable[evictableLingering].Len()+d.evictable[evictableFlushing].Len() > 0
}

func (d *descriptors) isFull() bool { return d.budget > 0 && d.held >= d.budget }

func (d *descriptors) popEvictable() *Conn {
	for i := range d.evictable {
		if e := d.evictable[i].Front(); e != nil {
			return d.evictable[i].Remove(e).(*Conn)
		}
	}
	return nil
}

// addEvictable adds a connection to the list of a kind, replaces its previous entry, and returns the new one.
func (d *descriptors) addEvictable(c *Conn, previous evictableEntry, kind evictableKind) evictableEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(previous)
	return evictableEntry{element: d.evictable[kind].PushBack(c), kind: kind}
}

// release ends the count of a descriptor that is closed and removes its connection's entry.
func (d *descriptors) release(e evictableEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held--
	d.remove(e)
}

// remove removes an entry. It has no effect on an entry that popEvictable has removed. The caller holds mu.
func (d *descriptors) remove(e evictableEntry) {
	if e.element != nil {
		d.evictable[e.kind].Remove(e.element)
	}
}

// maxEvictedBytes is how many received bytes of an evicted connection are read. It is the length of the longest opening
// line.
const maxEvictedBytes = 4 << 10

// evict closes a connection that this side is closing, without waiting any longer. It reads what has arrived first: with
// unread bytes the peer would see a reset and lose what it has not read yet.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == lingering {
		var discarded [maxEvictedBytes]byte
		_, _, _ = unix.Recvfrom(c.fd, discarded[:], unix.MSG_DONTWAIT) // the eviction goes on whether or not bytes had arrived
	}
	c.close(false)
}
