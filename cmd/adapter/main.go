// Command adapter hosts instances of the rules behind the simulator's wire: batches of events on
// standard input, one reply each on standard output. Instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/simproto"
)

func main() {
	debug.SetGCPercent(800) // a few megabytes at most are live
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	var (
		r         = simproto.NewReader(in)
		w         = bufio.NewWriter(out)
		instances = map[int]*instance{}
		batch     simproto.Batch
		reply     []byte
	)
	for {
		if err := r.Read(&batch); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		reply = reply[:0]
		for _, ev := range batch.Events {
			reply = answer(reply, instances, &batch, ev)
		}
		if _, err := w.Write(simproto.AppendYield(reply)); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// instance is one gateway's decisions, with the clock of its list where that has to be asked for.
type instance struct {
	rules *balancer.Balancer
	list  *refresh.Scheduler // nil: changes come by themselves
}

// refAsk is the timer for the next call for the list; the rules have lower numbers.
const refAsk = 1 << 32

// asked appends what the clock of the list answers an event with.
func (i *instance) asked(reply []byte, n int, call refresh.Poll) []byte {
	if call.Delay > 0 {
		return simproto.AppendAction(reply, n, balancer.SetTimer{After: call.Delay, Ref: refAsk})
	}
	return simproto.AppendWatch(reply, n)
}

// answer appends one event's actions. A panic or unusable settings end the instance as broken.
func answer(reply []byte, instances map[int]*instance, batch *simproto.Batch, ev simproto.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			delete(instances, ev.Instance)
			out = simproto.AppendBroken(reply, ev.Instance, fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case ev.Start != nil:
		b, err := balancer.New(ev.Start.Balancer)
		if err != nil {
			delete(instances, ev.Instance)
			return simproto.AppendBroken(reply, ev.Instance, err.Error())
		}
		i := &instance{rules: b}
		instances[ev.Instance] = i
		if ev.Start.PollsList {
			i.list = refresh.New(ev.Start.ListRefresh)
			reply = i.asked(reply, ev.Instance, i.list.Handle(batch.Now, refresh.Start{}))
		}
	case ev.Stop:
		delete(instances, ev.Instance)
	default:
		i := instances[ev.Instance]
		if i == nil {
			return reply // its end may cross its last events
		}
		if ev.ListFailed {
			if i.list != nil {
				reply = i.asked(reply, ev.Instance, i.list.Handle(batch.Now, refresh.Failed{}))
			}
			return reply
		}
		if t, ok := ev.Balancer.(balancer.TimerFired); ok && t.Ref == refAsk {
			return simproto.AppendWatch(reply, ev.Instance)
		}
		if l, ok := ev.Balancer.(balancer.EndpointList); ok && l.Mode != balancer.ListCached && i.list != nil {
			// The simulator goes on with a watch by itself: what comes is taken note of, and no call follows.
			i.list.Handle(batch.Now, refresh.ListReceived{Complete: true})
		}
		for _, a := range i.rules.Handle(batch.Now, ev.Balancer) {
			reply = simproto.AppendAction(reply, ev.Instance, a)
		}
	}
	return reply
}
