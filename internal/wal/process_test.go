package wal_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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

// childDir names the store of a child process; childLimit the most that it may write to one file.
const (
	childDir   = "MILLETVANE_TEST_STORE"
	childLimit = "MILLETVANE_TEST_LIMIT"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv(childDir); dir != "" {
		os.Exit(child(dir, os.Getenv(childLimit)))
	}
	os.Exit(m.Run())
}

// child writes records until it is killed, and tells of each once it is acknowledged. Where the disk is full it says so, lets
// a snapshot make room, and goes on.
func child(dir, limit string) int {
	if limit != "" {
		n, _ := strconv.ParseUint(limit, 10, 64)
		signal.Ignore(syscall.SIGXFSZ)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			fmt.Println("error", err)
			return 1
		}
	}
	opts := small
	if limit != "" {
		opts.SegmentBytes = 1 << 30
	}
	j, held, err := wal.Open(wal.OSFS{}, dir, opts)
	if err != nil {
		fmt.Println("error", err)
		return 1
	}
	for _, r := range held.Records {
		if string(r.Data) != long(r.Number) {
			fmt.Println("error record", r.Number, "differs")
			return 1
		}
	}
	fmt.Println("held", held.LastNumber())
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := held.LastNumber()
	for range 3 {
		wg.Go(func() {
			for {
				mu.Lock() // numbers follow the order of appends, and a record tells its number
				next++
				n, err := j.Append([]byte(long(next)))
				var full *wal.NoSpaceError
				if errors.As(err, &full) {
					next--
					fmt.Println("full", next)
					if err := j.Snapshot(next, []byte("all")); err != nil {
						fmt.Println("error", err)
						os.Exit(1)
					}
				} else if err != nil {
					fmt.Println("error", err)
					os.Exit(1)
				} else {
					fmt.Println("acked", n)
					if n%50 == 0 {
						j.Snapshot(n-5, []byte("most"))
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return 0
}

// Processes that are killed in the middle of writes hold at their next start all that they told as acknowledged, with a
// limit on their files and without.
func TestKilledProcessesHoldWhatTheyAcknowledged(t *testing.T) {
	var wg sync.WaitGroup
	for p := range 4 {
		wg.Go(func() {
			dir, limit := filepath.Join(t.TempDir(), "d"), ""
			if p == 3 {
				limit = "6000"
			}
			acked, fulls := uint64(0), 0
			for round := range 6 {
				cmd := exec.Command(os.Args[0], "-test.run=XXX")
				cmd.Env = append(os.Environ(), childDir+"="+dir, childLimit+"="+limit)
				out, err := cmd.StdoutPipe()
				if err != nil {
					t.Error(err)
					return
				}
				if err := cmd.Start(); err != nil {
					t.Error(err)
					return
				}
				lines := bufio.NewScanner(out)
				for told := 0; told < 30+7*p+11*round && lines.Scan(); {
					var word string
					var n uint64
					fmt.Sscan(lines.Text(), &word, &n)
					switch word {
					case "held":
						if n < acked {
							t.Errorf("process %d holds %d, acknowledged were %d", p, n, acked)
						}
					case "acked":
						if n != acked+1 && told > 0 {
							t.Errorf("process %d acknowledged %d after %d", p, n, acked)
						}
						acked = n
						told++
					case "full":
						fulls++
					default:
						t.Errorf("process %d: %s", p, lines.Text())
					}
				}
				cmd.Process.Kill()
				for lines.Scan() { // what it told before it died counts too
					var n uint64
					if c, _ := fmt.Sscanf(lines.Text(), "acked %d", &n); c == 1 {
						acked = n
					}
				}
				io.Copy(io.Discard, out)
				cmd.Wait()
			}
			if acked < 150 || p == 3 && fulls == 0 {
				t.Errorf("process %d acknowledged %d records and was full %d times", p, acked, fulls)
			}
		})
	}
	wg.Wait()
}
