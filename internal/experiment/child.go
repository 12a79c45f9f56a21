package experiment

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// pinToCPUs restricts the program's threads, and those that they start, to the given processors. Each thread is pinned,
// as those that the runtime has started already would otherwise run anywhere.
func pinToCPUs(cpus ...int) error {
	var set unix.CPUSet
	for _, cpu := range cpus {
		set.Set(cpu)
	}
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			continue
		}
		if err := unix.SchedSetaffinity(id, &set); err != nil {
			return fmt.Errorf("pin thread %d: %w", id, err)
		}
	}
	return nil
}

// cpuRange returns the processors from first up to, but not including, end.
func cpuRange(first, end int) (cpus []int) {
	for cpu := first; cpu < end; cpu++ {
		cpus = append(cpus, cpu)
	}
	return cpus
}

// child is another process of this program, confined to its cores, that runs a proxy or a gateway.
type child struct {
	cmd  *exec.Cmd
	addr string
}

// startChild starts a sub-command in a process and waits for the address that it prints.
func startChild(errs io.Writer, subcommand string, args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{subcommand}, args...)...)
	cmd.Stderr = errs
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &child{cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		started.stop()
		return nil, fmt.Errorf("%s did not start: %w", subcommand, err)
	}
	started.addr = strings.TrimSpace(line)
	return started, nil
}

// stop kills the process and waits for its end.
func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait() // always an error, as it was killed
}
