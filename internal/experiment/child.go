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

// pinToCPUs restricts all threads of this process, and the threads that they start later, to the given processors. It pins
// each thread, because pinning only the current one would not affect the other threads that the runtime has started.
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

// child is another process of this program that runs a proxy or a gateway, pinned to some cores.
type child struct {
	cmd  *exec.Cmd
	addr string
}

// startChild starts a sub-command in a new process and waits until it prints its address.
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
		return nil, fmt.Errorf("start %s: read its address: %w", subcommand, err)
	}
	started.addr = strings.TrimSpace(line)
	return started, nil
}

// stop kills the process and waits until it has exited.
func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait() // always an error, because the process was killed
}
