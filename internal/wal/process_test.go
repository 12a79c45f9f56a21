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

// Environment of a child process.
const (
	childDirEnv   = "MILLETVANE_TEST_STORE" // directory of its log
	childLimitEnv = "MILLETVANE_TEST_LIMIT" // the most that it may write to one file, in bytes; empty: no limit
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

// runChild appends records until the process is killed, and prints each once it is acknowledged. Where the disk is full it
// prints that, makes space with a snapshot, and continues.
func runChild(dir, limit string) error {
	opts := small
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
		if string(r.Data) != content(r.Number) {
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
	signal.Ignore(syscall.SIGXFSZ) // so that a write fails instead
	return syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n})
}

// child is the state of a child process.
type child struct {
	mu   sync.Mutex // numbers follow the order of appends, as the content of a record depends on its number
	log  *wal.FileLog
	last uint64
	full bool // the disk was full at the last append, and a snapshot was taken since
}

func (c *child) append() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.log.Append([]byte(content(c.last + 1)))
	var full *wal.NoSpaceError
	switch {
	case errors.As(err, &full) && c.full:
		return fmt.Errorf("a snapshot of record %d made no space", c.last)
	case errors.As(err, &full):
		c.full = true
		fmt.Println("full", c.last)
		return c.log.Snapshot(c.last, []byte("all"))
	case err != nil:
		return err
	}
	c.full = false
	c.last++
	fmt.Println("acked", n)
	if n%50 == 0 {
		err = c.log.Snapshot(n-5, []byte("most"))
		if errors.As(err, &full) {
			return nil // the next append makes space
		}
	}
	return err
}

// childRuns are runs of a child process, one after another on the same log.
type childRuns struct {
	t          *testing.T
	name       int
	dir, limit string
	acked      uint64 // the last record that was acknowledged
	fulls      int    // how often the disk was full
}

// run starts the process, and kills it once it acknowledged a number of records.
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
	for lines.Scan() { // what it printed before it ended counts too
		var n uint64
		if count, _ := fmt.Sscanf(lines.Text(), "acked %d", &n); count == 1 {
			c.acked = n
		}
	}
	var killed *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &killed) {
		c.t.Errorf("process %d: %v", c.name, err)
	}
}

// read checks what the process prints, up to a number of records.
func (c *childRuns) read(lines *bufio.Scanner, records int) {
	for seen := 0; seen < records && lines.Scan(); {
		var event string
		var n uint64
		if _, err := fmt.Sscan(lines.Text(), &event, &n); err != nil {
			event = ""
		}
		switch event {
		case "recovered":
			if n < c.acked {
				c.t.Errorf("process %d recovered %d, acknowledged were %d", c.name, n, c.acked)
			}
		case "acked":
			if n != c.acked+1 && seen > 0 {
				c.t.Errorf("process %d acknowledged %d after %d", c.name, n, c.acked)
			}
			c.acked = n
			seen++
		case "full":
			c.fulls++
		default:
			c.t.Errorf("process %d: %s", c.name, lines.Text())
		}
	}
}

// Processes that are killed in the middle of writes recover everything that they acknowledged, with a limit on the size of
// their files and without.
func TestKilledProcessesRecoverAcknowledgedRecords(t *testing.T) {
	var wg sync.WaitGroup
	for p := range 4 {
		wg.Go(func() {
			c := &childRuns{t: t, name: p, dir: filepath.Join(t.TempDir(), "d")}
			if p == 3 {
				c.limit = "6000"
			}
			for round := range 6 {
				c.run(30 + 7*p + 11*round)
			}
			if c.acked < 150 || p == 3 && c.fulls == 0 {
				t.Errorf("process %d acknowledged %d records and was full %d times", p, c.acked, c.fulls)
			}
		})
	}
	wg.Wait()
}
