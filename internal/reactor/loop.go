package reactor

import (
	"fmt"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	maxEvents = 256      // events taken per epoll wait
	readSize  = 64 << 10 // size of a loop's read buffer in bytes
)

// Loop is an event loop: one goroutine that waits for the events of its connections and listeners and handles them one at a
// time.
type Loop struct {
	group *Group
	epoll int
	buf   []byte // read buffer; only the loop's goroutine uses it

	mu          sync.Mutex
	slots       []slotEntry
	free        []int32 // numbers of unused slots
	stopped     bool
	calls       []func() // posted and not run yet
	wakeFD      int      // an eventfd whose event ends the loop's wait
	wakePending bool     // wakeFD was written and not read since
}

// slotEntry is the slot of a descriptor in the epoll set. An event carries the generation of its slot, so that a late event
// for a closed descriptor is recognized after the slot has been reused.
type slotEntry struct {
	target     eventTarget
	generation int32
}

// eventTarget handles the epoll events of one descriptor. The loop calls its method.
type eventTarget interface{ handleEvents(events uint32) }

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
	for !l.isStopped() {
		n := pollEvents(l.epoll, events)
		if n == 0 {
			n = waitEvents(l.epoll, events)
		}
		for i := range events[:n] {
			l.dispatch(&events[i])
		}
		runtime.Gosched() // this may be the only processor, and other goroutines may be ready to run
	}
}

func (l *Loop) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// stop makes run return after the events that it is handling. A loop that is waiting has to be woken.
func (l *Loop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

func (l *Loop) dispatch(ev *unix.EpollEvent) {
	if s := l.lookup(ev.Fd, ev.Pad); s != nil {
		s.handleEvents(ev.Events)
	}
}

// lookup returns the target in a slot, or nil if the slot has another generation by now.
func (l *Loop) lookup(slot, generation int32) eventTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(slot) >= len(l.slots) || l.slots[slot].generation != generation {
		return nil
	}
	return l.slots[slot].target
}

// add registers a descriptor with the epoll set and returns its slot and generation. It returns errGroupClosed if the group
// is closed.
func (l *Loop) add(fd int, s eventTarget, events uint32) (slot, generation int32, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return 0, 0, errGroupClosed
	}
	slot = l.freeSlot()
	e := &l.slots[slot]
	ev := unix.EpollEvent{Events: events, Fd: slot, Pad: e.generation}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		l.free = append(l.free, slot)
		return 0, 0, fmt.Errorf("epoll: %w", err)
	}
	e.target = s
	return slot, e.generation, nil
}

// freeSlot returns the number of an unused slot, and adds a slot if there is none. The caller holds mu.
func (l *Loop) freeSlot() int32 {
	if last := len(l.free) - 1; last >= 0 {
		slot := l.free[last]
		l.free = l.free[:last]
		return slot
	}
	l.slots = append(l.slots, slotEntry{})
	return int32(len(l.slots) - 1)
}

// modify changes the events that are waited for on a descriptor. The error is ignored: modify fails only for a descriptor
// that isn't in the epoll set, which the callers rule out.
func (l *Loop) modify(fd int, slot, generation int32, events uint32) {
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: events, Fd: slot, Pad: generation})
}

// remove frees a slot. The caller closes the descriptor afterwards, which removes it from the epoll set.
func (l *Loop) remove(slot int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.slots[slot]
	e.target = nil
	e.generation++
	l.free = append(l.free, slot)
}

// targets returns the loop's connections and listeners.
func (l *Loop) targets() (all []eventTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.slots {
		if e.target != nil && e.target != eventTarget(l) {
			all = append(all, e.target)
		}
	}
	return all
}

// Post makes the loop call f soon. The call is dropped if the group is closed. Any goroutine may call Post.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.calls = append(l.calls, f)
	if !l.wakePending {
		l.wakePending = true
		l.wake()
	}
}

// wake ends the loop's wait. The error is ignored: a write to an eventfd fails only if its counter is full, and then the
// loop wakes up anyway.
func (l *Loop) wake() { _, _ = unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) }

// handleEvents implements eventTarget for the eventfd: it runs the posted calls.
func (l *Loop) handleEvents(uint32) {
	var counter [8]byte
	_, _ = unix.Read(l.wakeFD, counter[:]) // resets the counter; an error needs no handling, because nothing else reads it
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
