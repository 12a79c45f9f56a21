package wal_test

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"

	"example.org/milletvane/internal/wal"
)

// Environment variables of a child process.
const (
	childDirEnv   = "MILLETVANE_TEST_STORE" // directory of the log
	childLimitEnv = "MILLETVANE_TEST_LIMIT" // maximum size of a file in bytes; empty means no limit
)

func TestMain(m *testing.M) {
	if dir := os.Getenv(childDirEnv); dir != "" {
		if err := runChild(dir, os.Getenv(childLimitEnv)); err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runChild appends records until the process is killed, and prints the number of each acknowledged record. If there is no
// space left, it prints that, frees space with a snapshot, and continues.
func runChild(dir, limit string) error {
	opts := smallOpts
	if limit != "" {
		if err := limitFileSize(limit); err != nil {
			return err
		}
		opts.SegmentBytes = 1 << 30
	}
	l, recovered, err := wal.Open(wal.OSFS{}, dir, opts)
	if err != nil {
		return err
	}
	for _, r := range recovered.Records {
		if string(r.Data) != recordContent(r.Number) {
			return fmt.Errorf("record %d differs", r.Number)
		}
	}
	fmt.Println("recovered", recovered.LastNumber())
	c := &child{log: l, last: recovered.LastNumber()}
	errs := make(chan error)
	for range 3 {
		go func() {
			for {
				if err := c.append(); err != nil {
					errs <- err
				}
			}
		}()
	}
	return <-errs
}

func limitFileSize(text string) error {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // a write beyond the limit then fails with EFBIG
	return syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n})
}

// child holds the state of a child process.
type child struct {
	mu            sync.Mutex // serializes appends, because the content of a record depends on its number
	log           *wal.FileLog
	last          uint64
	snapshotTaken bool // whether there was no space at the last append, and a snapshot was taken since
}

func (c *child) append() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.log.Append([]byte(recordContent(c.last + 1)))
	var noSpace *wal.NoSpaceError
	switch {
	case errors.As(err, &noSpace) && c.snapshotTaken:
		return fmt.Errorf("no space after a snapshot up to record %d", c.last)
	case errors.As(err, &noSpace):
		c.snapshotTaken = true
		fmt.Println("full", c.last)
		return c.log.Snapshot(c.last, []byte("all"))
	case err != nil:
		return err
	}
	c.snapshotTaken = false
	c.last++
	fmt.Println("acked", n)
	if n%50 == 0 {
		err = c.log.Snapshot(n-5, []byte("most"))
		if errors.As(err, &noSpace) {
			return nil // the next append frees space
		}
	}
	return err
}

// childRuns runs child processes one after another on the same log.
type childRuns struct {
	t            *testing.T
	index        int
	dir, limit   string
	acknowledged uint64 // number of the last acknowledged record
	noSpaceCount int    // number of appends that failed for lack of space
}

// run starts the process, and kills it once it has acknowledged the given number of records.
func (c *childRuns) run(records int) {
	cmd := exec.Command(os.Args[0], "-test.run=XXX")
	cmd.Env = append(os.Environ(), childDirEnv+"="+c.dir, childLimitEnv+"="+c.limit)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		c.t.Error(err)
		return
	}
	lines := bufio.NewScanner(out)
	c.read(lines, records)
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		c.t.Error(err)
	}
	for lines.Scan() { // records that it printed before it was killed are acknowledged too
		var n uint64
		if count, _ := fmt.Sscanf(lines.Text(), "acked %d", &n); count == 1 {
			c.acknowledged = n
		}
	}
	var killed *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &killed) {
		c.t.Errorf("process %d: got error %v, want that of a killed process", c.index, err)
	}
}

// read checks the lines that the process prints, until it has acknowledged the given number of records.
func (c *childRuns) read(lines *bufio.Scanner, records int) {
	for seen := 0; seen < records && lines.Scan(); {
		var event string
		var n uint64
		if _, err := fmt.Sscan(lines.Text(), &event, &n); err != nil {
			event = ""
		}
		switch event {
		case "recovered":
			if n < c.acknowledged {
				c.t.Errorf("process %d: last recovered record is %d, want at least %d", c.index, n, c.acknowledged)
			}
		case "acked":
			if n != c.acknowledged+1 && seen > 0 {
				c.t.Errorf("process %d: acknowledged record %d after record %d", c.index, n, c.acknowledged)
			}
			c.acknowledged = n
			seen++
		case "full":
			c.noSpaceCount++
		default:
			c.t.Errorf("process %d: unexpected line %q", c.index, lines.Text())
		}
	}
}

// Guards against losing acknowledged records when a process is killed during a write. One of the processes has a limit on the
// size of its files, so that it also runs out of space.
func TestKilledProcessesRecoverAcknowledgedRecords(t *testing.T) {
	var wg sync.WaitGroup
	for p := range 4 {
		wg.Go(func() {
			c := &childRuns{t: t, index: p, dir: filepath.Join(t.TempDir(), "d")}
			if p == 3 {
				c.limit = "6000"
			}
			for round := range 6 {
				c.run(30 + 7*p + 11*round)
			}
			if c.acknowledged < 150 || p == 3 && c.noSpaceCount == 0 {
				t.Errorf("process %d: last acknowledged record is %d, and there was no space %d times", p, c.acknowledged, c.noSpaceCount)
			}
		})
	}
	wg.Wait()
}
