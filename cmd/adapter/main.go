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

	"example.org/milletvane/internal/wire"
	"example.org/milletvane/rules"
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
		r         = wire.NewReader(in)
		w         = bufio.NewWriter(out)
		instances = map[int]*rules.Balancer{}
		batch     wire.Batch
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
		if _, err := w.Write(wire.AppendYield(reply)); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// answer appends one event's actions. A panic or unusable settings end the instance as broken.
func answer(reply []byte, instances map[int]*rules.Balancer, batch *wire.Batch, ev wire.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			delete(instances, ev.Instance)
			out = wire.AppendBroken(reply, ev.Instance, fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case ev.Start != nil:
		b, err := rules.New(*ev.Start)
		if err != nil {
			delete(instances, ev.Instance)
			return wire.AppendBroken(reply, ev.Instance, err.Error())
		}
		instances[ev.Instance] = b
	case ev.Stop:
		delete(instances, ev.Instance)
	default:
		b := instances[ev.Instance]
		if b == nil {
			return reply // its end may cross its last events
		}
		for _, a := range b.Handle(batch.Now, ev.Rules) {
			reply = wire.AppendAction(reply, ev.Instance, a)
		}
	}
	return reply
}
