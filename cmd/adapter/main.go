// Command adapter runs instances of the balancer for a simulator. It reads batches of events from standard input and writes one
// answer per batch to standard output. The instances share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"example.org/milletvane/internal/simproto"
)

// gcPercent makes garbage collection rare. That costs little memory, because the live heap is a few megabytes at most.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	var (
		reader = simproto.NewReader(in)
		writer = bufio.NewWriter(out)
		h      = host{}
		batch  simproto.Batch
		reply  []byte
	)
	for {
		if err := reader.Read(&batch); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		reply = reply[:0]
		for _, ev := range batch.Events {
			reply = h.handle(reply, batch.Now, ev)
		}
		if _, err := writer.Write(simproto.AppendYield(reply)); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
