package main

import (
	"fmt"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/simproto"
)

// pollTimer is the timer of the next endpoint list request; the balancer's own have lower numbers.
const pollTimer = 1 << 32

// host holds the running instances by their number.
type host map[int]*instance

// instance is the decisions of one gateway, with the schedule of its endpoint list where that has to be requested.
type instance struct {
	number    int
	balancer  *balancer.Balancer
	listPolls *refresh.Scheduler // nil: changes arrive without a request
}

// handle appends the actions that answer an event. A panic ends the instance as broken, and no other.
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
		return reply // events and the end of an instance may cross
	}
	if ev.ListFailed {
		return i.handleListFailure(reply, now)
	}
	return i.handle(reply, now, ev.Balancer)
}

// start begins an instance, in place of one that has its number. Unusable settings end it as broken.
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

func (i *instance) handleListFailure(reply []byte, now time.Duration) []byte {
	if i.listPolls == nil {
		return reply
	}
	return i.appendPoll(reply, i.listPolls.Handle(now, refresh.Failed{}))
}

func (i *instance) handle(reply []byte, now time.Duration, ev balancer.Event) []byte {
	switch ev := ev.(type) {
	case balancer.TimerFired:
		if ev.Ref == pollTimer {
			return simproto.AppendWatch(reply, i.number)
		}
	case balancer.EndpointList:
		if ev.Mode != balancer.ListCached && i.listPolls != nil {
			// The simulator continues a watch by itself: the schedule notes what was received, and no request follows.
			i.listPolls.Handle(now, refresh.ListReceived{Complete: true})
		}
	}
	for _, action := range i.balancer.Handle(now, ev) {
		reply = simproto.AppendAction(reply, i.number, action)
	}
	return reply
}

// appendPoll appends the endpoint list request that the schedule has next, or the timer for it.
func (i *instance) appendPoll(reply []byte, poll refresh.Poll) []byte {
	if poll.Delay > 0 {
		return simproto.AppendAction(reply, i.number, balancer.SetTimer{After: poll.Delay, Ref: pollTimer})
	}
	return simproto.AppendWatch(reply, i.number)
}
