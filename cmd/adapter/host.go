package main

import (
	"fmt"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/simproto"
)

// pollTimer is the reference of the timer for the next endpoint list request. The balancer's timers have lower numbers.
const pollTimer = 1 << 32

// host holds the running instances by number.
type host map[int]*instance

// instance is one simulated gateway: its balancer, and the schedule of its endpoint list requests if it polls the list.
type instance struct {
	number    int
	balancer  *balancer.Balancer
	listPolls *refresh.Scheduler // nil if the list is pushed
}

// handle appends the actions that answer an event. After a panic it removes the instance and reports it as broken. The other
// instances go on.
func (h host) handle(reply []byte, now time.Duration, ev simproto.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			delete(h, ev.Instance)
			out = simproto.AppendBroken(reply, ev.Instance, fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case ev.Start != nil:
		return h.start(reply, now, ev.Instance, ev.Start)
	case ev.Stop:
		delete(h, ev.Instance)
		return reply
	}
	i := h[ev.Instance]
	if i == nil {
		return reply // the event was sent before the instance's end was known
	}
	if ev.ListFailed {
		return i.handleListFailure(reply, now)
	}
	return i.handle(reply, now, ev.Balancer)
}

// start starts an instance, which replaces one with the same number. With invalid settings it removes the instance and reports it
// as broken.
func (h host) start(reply []byte, now time.Duration, number int, start *simproto.Start) []byte {
	b, err := balancer.New(start.Balancer)
	if err != nil {
		delete(h, number)
		return simproto.AppendBroken(reply, number, err.Error())
	}
	i := &instance{number: number, balancer: b}
	h[number] = i
	if !start.PollsList {
		return reply
	}
	i.listPolls = refresh.New(start.ListRefresh)
	return i.appendPoll(reply, i.listPolls.Handle(now, refresh.Start{}))
}

// handleListFailure schedules the next endpoint list request after a failed one.
func (i *instance) handleListFailure(reply []byte, now time.Duration) []byte {
	if i.listPolls == nil {
		return reply
	}
	return i.appendPoll(reply, i.listPolls.Handle(now, refresh.Failed{}))
}

// handle appends the actions that answer an event of the balancer.
func (i *instance) handle(reply []byte, now time.Duration, ev balancer.Event) []byte {
	switch ev := ev.(type) {
	case balancer.TimerFired:
		if ev.Ref == pollTimer {
			return simproto.AppendWatch(reply, i.number)
		}
	case balancer.EndpointList:
		if ev.Mode != balancer.ListCached && i.listPolls != nil {
			// The simulator continues a watch by itself, so the schedule records the list and no request follows.
			i.listPolls.Handle(now, refresh.ListReceived{Complete: true})
		}
	}
	for _, action := range i.balancer.Handle(now, ev) {
		reply = simproto.AppendAction(reply, i.number, action)
	}
	return reply
}

// appendPoll appends the next endpoint list request of the schedule, or the timer for it.
func (i *instance) appendPoll(reply []byte, poll refresh.Poll) []byte {
	if poll.Delay > 0 {
		return simproto.AppendAction(reply, i.number, balancer.SetTimer{After: poll.Delay, Ref: pollTimer})
	}
	return simproto.AppendWatch(reply, i.number)
}
