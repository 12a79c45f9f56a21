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

// pinToCPUs restricts all threads of this process, and the threads that they start later, to the given processors. It sets
// the affinity of each thread separately, because the system call affects one thread and the runtime has started several.
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

// childProcess is another process of this program. It runs a proxy or a gateway, pinned to some cores.
type childProcess struct {
	cmd  *exec.Cmd
	addr string // on which the proxy or gateway accepts clients
}

// startChild starts a sub-command in a new process and waits until that process prints its address. The process writes its
// errors to errs.
func startChild(errs io.Writer, subcommand string, args ...string) (*childProcess, error) {
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
	started := &childProcess{cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		started.stop()
		return nil, fmt.Errorf("start %s: read its address: %w", subcommand, err)
	}
	started.addr = strings.TrimSpace(line)
	return started, nil
}

// stop kills the process and waits until it has exited.
func (c *childProcess) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait() // always an error, because the process was killed
}
