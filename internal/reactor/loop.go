package reactor

import (
	"fmt"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	maxEvents = 256 // taken from the kernel at once
	readSize  = 64 << 10
)

// Loop drives connections: whatever is called by one loop is called one at a time.
type Loop struct {
	group *Group
	epoll int
	buf   []byte // for reading; the loop's goroutine alone uses it

	mu          sync.Mutex
	slots       []entry
	free        []int32 // numbers of unused slots
	ended       bool
	calls       []func() // that have been posted
	wakeFD      int      // an eventfd
	wakePending bool
}

// entry is a slot for a descriptor in the epoll set. Its generation tells apart a late event for a descriptor that has been
// closed.
type entry struct {
	source     source
	generation int32
}

// source is what an epoll event is for. Its method is called by the loop.
type source interface{ ready(events uint32) }

func newLoop(g *Group) (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		closeFD(epoll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{group: g, epoll: epoll, wakeFD: wakeFD, buf: make([]byte, readSize)}
	if _, _, err := l.add(wakeFD, l, unix.EPOLLIN); err != nil {
		l.closeFDs()
		return nil, err
	}
	return l, nil
}

func (l *Loop) closeFDs() {
	closeFD(l.wakeFD)
	closeFD(l.epoll)
}

// run handles events until the group is closed.
func (l *Loop) run() {
	events := make([]unix.EpollEvent, maxEvents)
	for !l.hasEnded() {
		n := pollEvents(l.epoll, events)
		if n == 0 {
			n = waitEvents(l.epoll, events)
		}
		for i := range events[:n] {
			l.dispatch(&events[i])
		}
		runtime.Gosched() // others may have become ready, and this may be the only processor
	}
}

func (l *Loop) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// end has run return.
func (l *Loop) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

func (l *Loop) dispatch(ev *unix.EpollEvent) {
	if s := l.lookup(ev.Fd, ev.Pad); s != nil {
		s.ready(ev.Events)
	}
}

// lookup is the source in a slot; nil if it is not of that generation any more.
func (l *Loop) lookup(slot, generation int32) source {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(slot) >= len(l.slots) || l.slots[slot].generation != generation {
		return nil
	}
	return l.slots[slot].source
}

// add gives a descriptor a slot and watches it.
func (l *Loop) add(fd int, s source, events uint32) (slot, generation int32, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0, 0, errGroupClosed
	}
	slot = l.freeSlot()
	e := &l.slots[slot]
	ev := unix.EpollEvent{Events: events, Fd: slot, Pad: e.generation}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		l.free = append(l.free, slot)
		return 0, 0, fmt.Errorf("epoll: %w", err)
	}
	e.source = s
	return slot, e.generation, nil
}

// freeSlot takes an unused slot, or makes one.
func (l *Loop) freeSlot() int32 {
	if last := len(l.free) - 1; last >= 0 {
		slot := l.free[last]
		l.free = l.free[:last]
		return slot
	}
	l.slots = append(l.slots, entry{})
	return int32(len(l.slots) - 1)
}

// modify changes the events that a descriptor is watched for. It fails only for a descriptor that isn't in the epoll set,
// which the callers rule out.
func (l *Loop) modify(fd int, slot, generation int32, events uint32) {
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: events, Fd: slot, Pad: generation})
}

// remove frees a slot, whose descriptor is about to be closed.
func (l *Loop) remove(slot int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.slots[slot]
	e.source = nil
	e.generation++
	l.free = append(l.free, slot)
}

// sources are the loop's connections and listeners.
func (l *Loop) sources() (all []source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.slots {
		if e.source != nil && e.source != source(l) {
			all = append(all, e.source)
		}
	}
	return all
}

// Post has the loop call f soon, unless the group is closed.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.calls = append(l.calls, f)
	if !l.wakePending {
		l.wakePending = true
		l.wake()
	}
}

// wake ends the loop's wait. A write to an eventfd fails only if the counter is full, and then the loop is awake.
func (l *Loop) wake() { _, _ = unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) }

// ready implements source for the eventfd: it runs what was posted.
func (l *Loop) ready(uint32) {
	var counter [8]byte
	_, _ = unix.Read(l.wakeFD, counter[:]) // resets the counter; nothing else reads it
	for _, f := range l.takeCalls() {
		f()
	}
}

func (l *Loop) takeCalls() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := l.calls
	l.calls, l.wakePending = nil, false
	return calls
}
