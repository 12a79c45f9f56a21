package membership_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/wal"
)

// childEnv tells a child process who it is.
const childEnv = "MILLETVANE_TEST_PEER"

type childConfig struct {
	Name, Dir string
	Addrs     map[string]string
}

// heard is what a child has heard of one peer.
type heard struct {
	Life  uint64 // the latest
	Count int    // messages
	Back  int    // messages of an earlier life than one before
}

func TestMain(m *testing.M) {
	if text := os.Getenv(childEnv); text != "" {
		if err := child(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// child sends to all members every 10 ms and tells what it has heard ten times a second. Lines that it reads name peers to
// whom nothing more goes.
func child(text string) error {
	var c childConfig
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return err
	}
	lives, err := membership.OpenIncarnations(wal.OSFS{}, c.Dir)
	if err != nil {
		return err
	}
	life, err := lives.Next(0, time.Duration(time.Now().UnixNano()))
	if err != nil {
		return err
	}
	l := &links{addrs: c.Addrs, cut: map[[2]string]bool{}}
	var mu sync.Mutex
	all := map[string]*heard{}
	var join []string
	for _, a := range c.Addrs {
		join = append(join, a)
	}
	g, err := membership.Listen(membership.GossipOptions{Bind: c.Addrs[c.Name], Join: join, Key: key, ProbeInterval: 100 * time.Millisecond,
		Logger: slog.New(slog.DiscardHandler), WrapTransport: func(w membership.NetworkTransport) membership.NetworkTransport { return cutWire{w, c.Name, l} },
		Options: membership.Options{Name: c.Name, Incarnation: life, OnMessage: func(m membership.Message) {
			mu.Lock()
			defer mu.Unlock()
			h := all[m.From]
			if h == nil {
				h = &heard{}
				all[m.From] = h
			}
			if m.Incarnation < h.Life {
				h.Back++
			}
			h.Life, h.Count = max(h.Life, m.Incarnation), h.Count+1
		}}})
	if err != nil {
		return err
	}
	go func() {
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			l.mu.Lock()
			l.cut[[2]string{c.Name, in.Text()}] = true
			l.mu.Unlock()
		}
		os.Exit(0) // the test is over
	}()
	for i := 0; ; i++ {
		for _, m := range g.Members() {
			if m.Name != c.Name {
				g.Send(m.Name, []byte("x"))
			}
		}
		if i%10 == 0 {
			mu.Lock()
			json.NewEncoder(os.Stdout).Encode(all)
			mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// process is a child with what it last told.
type process struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	mu   sync.Mutex
	told map[string]heard
}

func startChild(t *testing.T, c childConfig) *process {
	t.Helper()
	text, _ := json.Marshal(c)
	p := &process{cmd: exec.Command(os.Args[0], "-test.run=XXX")}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), childEnv+"="+string(text)), os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			told := map[string]heard{}
			if json.Unmarshal(lines.Bytes(), &told) == nil {
				p.mu.Lock()
				p.told = told
				p.mu.Unlock()
			}
		}
	}()
	t.Cleanup(func() { p.cmd.Process.Kill(); p.cmd.Wait() })
	return p
}

func (p *process) of(name string) heard {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told[name]
}

// Five processes: one is killed and comes back, one is stopped for a while, and one link is cut one way. Who is sound hears
// who is sound all the time, nobody hears an earlier life after a later one, and all is as before in the end.
func TestProcessesThroughFaults(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	addrs := map[string]string{}
	for _, n := range names {
		addrs[n] = freeAddr(t)
	}
	ps, dirs := map[string]*process{}, map[string]string{}
	for _, n := range names {
		dirs[n] = t.TempDir()
		ps[n] = startChild(t, childConfig{n, dirs[n], addrs})
	}
	until := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("not in time: " + what)
			}
		}
	}
	// more waits until each of some has heard each other of them some more.
	more := func(what string, among ...string) {
		t.Helper()
		before := map[string]int{}
		for _, x := range among {
			for _, y := range among {
				before[x+y] = ps[x].of(y).Count
			}
		}
		until(what, func() bool {
			for _, x := range among {
				for _, y := range among {
					if x != y && ps[x].of(y).Count < before[x+y]+20 {
						return false
					}
				}
			}
			return true
		})
	}
	more("all hear all", names...)
	first := ps["a"].of("b").Life
	ps["b"].cmd.Process.Kill()
	ps["b"].cmd.Wait()
	ps["c"].cmd.Process.Signal(syscall.SIGSTOP)
	more("a, d and e go on beside a dead and a stopped one", "a", "d", "e")
	fmt.Fprintln(ps["d"].in, "e")
	time.Sleep(200 * time.Millisecond)
	deaf, back := ps["e"].of("d").Count, ps["d"].of("e").Count
	more("a goes on with both ends of a cut link", "a", "d")
	if n := ps["e"].of("d").Count; n > deaf+2 {
		t.Errorf("e heard %d messages over a cut link", n-deaf)
	}
	if ps["d"].of("e").Count == back {
		t.Error("d does not hear e, whose way is not cut")
	}
	ps["c"].cmd.Process.Signal(syscall.SIGCONT)
	ps["b"] = startChild(t, childConfig{"b", dirs["b"], addrs})
	more("all but the cut link are as before", "a", "b", "c", "d")
	more("and on its other side", "a", "b", "c", "e")
	for _, n := range []string{"a", "c", "d", "e"} {
		if h := ps[n].of("b"); h.Life <= first || h.Back > 0 {
			t.Errorf("%s heard b as %+v, whose first life was %d", n, h, first)
		}
	}
}
