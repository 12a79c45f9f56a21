package reactor

import (
	"container/list"
	"sync"

	"golang.org/x/sys/unix"
)

// descriptors counts the descriptors of a group's connections and holds the connections that can be closed to make room: those
// that this side has ended.
type descriptors struct {
	mu      sync.Mutex
	held    int
	budget  int // maximum of held; 0: unlimited
	leaving [leavingStates]list.List
}

// leavingState is why a connection that this side has ended is still open. Those in the first state are closed first.
type leavingState uint8

const (
	awaitsPeer    leavingState = iota // lingering: all is written, and the peer has not ended its side
	awaitsWriting                     // closing: bytes are pending for the peer
	leavingStates
)

// leavingEntry is a connection's place among those that are leaving; the zero value is none.
type leavingEntry struct {
	element *list.Element
	state   leavingState
}

// SetDescriptorBudget sets how many descriptors connections may hold, with those of ReserveDescriptor; 0 is no limit. At the
// limit connections that this side has ended are closed for new ones, the longest lingering first, and none is accepted
// while there is no such connection. A dial that the caller has room for is never refused.
func (g *Group) SetDescriptorBudget(n int) {
	g.descriptors.mu.Lock()
	defer g.descriptors.mu.Unlock()
	g.descriptors.budget = n
}

// ReserveDescriptor counts a descriptor that the caller opens outside the group, until ReleaseDescriptor.
func (g *Group) ReserveDescriptor() { g.descriptors.reserve() }

// ReleaseDescriptor is called once for each ReserveDescriptor, when that descriptor is closed.
func (g *Group) ReleaseDescriptor() { g.descriptors.release(leavingEntry{}) }

// DescriptorCounts returns how many descriptors are counted, and how many of these connections have that this side has
// ended.
func (g *Group) DescriptorCounts() (held, leaving int) {
	d := &g.descriptors
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.leaving {
		leaving += d.leaving[i].Len()
	}
	return d.held, leaving
}

// reserve counts a descriptor, after it has closed as many connections that are leaving as are over the budget with it. The
// caller must not hold the lock of a connection.
func (d *descriptors) reserve() {
	for c := d.reserveOrEvict(); c != nil; c = d.reserveOrEvict() {
		c.evict()
	}
}

// reserveOrEvict counts a descriptor, or returns the connection to be closed first.
func (d *descriptors) reserveOrEvict() *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isFull() {
		if c := d.popLeaving(); c != nil {
			return c
		}
	}
	d.held++
	return nil
}

// canMakeRoom reports whether a descriptor can be reserved within the budget.
func (d *descriptors) canMakeRoom() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.isFull() || d.leaving[awaitsPeer].Len()+d.leaving[awaitsWriting].Len() > 0
}

func (d *descriptors) isFull() bool { return d.budget > 0 && d.held >= d.budget }

func (d *descriptors) popLeaving() *Conn {
	for i := range d.leaving {
		if e := d.leaving[i].Front(); e != nil {
			return d.leaving[i].Remove(e).(*Conn)
		}
	}
	return nil
}

// leave records that a connection is leaving, in place of its entry before.
func (d *descriptors) leave(c *Conn, before leavingEntry, state leavingState) leavingEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(before)
	return leavingEntry{element: d.leaving[state].PushBack(c), state: state}
}

// release forgets a descriptor that is closed, with its connection's entry.
func (d *descriptors) release(e leavingEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held--
	d.remove(e)
}

// remove has no effect on an entry that popLeaving has removed.
func (d *descriptors) remove(e leavingEntry) {
	if e.element != nil {
		d.leaving[e.state].Remove(e.element)
	}
}

// maxEvictedBytes is how much an evicted connection is read of what has arrived: the longest opening line.
const maxEvictedBytes = 4 << 10

// evict closes a connection that is leaving. What has arrived is read before: unread bytes would have the peer see a reset,
// and lose what it has not read yet.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == lingering {
		var discarded [maxEvictedBytes]byte
		_, _, _ = unix.Recvfrom(c.fd, discarded[:], unix.MSG_DONTWAIT) // whether there was anything makes no difference
	}
	c.close(false)
}
