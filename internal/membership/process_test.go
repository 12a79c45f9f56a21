package membership_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/wal"
)

// childEnv has the configuration of a child process.
const childEnv = "MILLETVANE_TEST_PEER"

type childConfig struct {
	Name, Dir string
	Addrs     map[string]string
}

// received is what a child received from one peer.
type received struct {
	Incarnation uint64 // the latest
	Count       int    // messages
	Stale       int    // messages of an earlier incarnation than one before
}

func TestMain(m *testing.M) {
	if text := os.Getenv(childEnv); text != "" {
		if err := runChild(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// child is the state of a child process.
type child struct {
	config childConfig
	links  *links
	gossip *membership.Gossip

	mu       sync.Mutex
	received map[string]*received
}

// runChild sends to all members every 10 ms, and prints what it received ten times a second. Each line that it reads names
// a peer that it sends nothing to from then on.
func runChild(text string) error {
	c := &child{links: &links{cut: map[[2]string]bool{}}, received: map[string]*received{}}
	if err := json.Unmarshal([]byte(text), &c.config); err != nil {
		return err
	}
	c.links.addrs = c.config.Addrs
	if err := c.listen(); err != nil {
		return err
	}
	go c.cutLinks()
	for i := 0; ; i++ {
		for _, m := range c.gossip.Members() {
			if m.Name != c.config.Name {
				c.gossip.Send(m.Name, []byte("x"))
			}
		}
		if i%10 == 0 {
			if err := c.print(); err != nil {
				return err
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *child) listen() error {
	incarnations, err := membership.OpenIncarnations(wal.OSFS{}, c.config.Dir)
	if err != nil {
		return err
	}
	incarnation, err := incarnations.Next(0, time.Duration(time.Now().UnixNano()))
	if err != nil {
		return err
	}
	c.gossip, err = membership.Listen(membership.GossipOptions{
		Options:       membership.Options{Name: c.config.Name, Incarnation: incarnation, OnMessage: c.receive},
		Bind:          c.config.Addrs[c.config.Name],
		Join:          slices.Collect(maps.Values(c.config.Addrs)),
		Key:           key,
		ProbeInterval: 100 * time.Millisecond,
		Logger:        slog.New(slog.DiscardHandler),
		WrapTransport: func(w membership.NetworkTransport) membership.NetworkTransport {
			return cuttingTransport{w, c.config.Name, c.links}
		},
	})
	return err
}

func (c *child) receive(m membership.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.received[m.From]
	if r == nil {
		r = &received{}
		c.received[m.From] = r
	}
	if m.Incarnation < r.Incarnation {
		r.Stale++
	}
	r.Incarnation, r.Count = max(r.Incarnation, m.Incarnation), r.Count+1
}

// cutLinks cuts the links that standard input names, and ends the process at its end: the test is over.
func (c *child) cutLinks() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		c.links.mu.Lock()
		c.links.cut[[2]string{c.config.Name, in.Text()}] = true
		c.links.mu.Unlock()
	}
	os.Exit(0)
}

func (c *child) print() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.NewEncoder(os.Stdout).Encode(c.received)
}

// process is a child with what it printed last.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	in  io.WriteCloser

	mu       sync.Mutex
	received map[string]received
}

func startChild(t *testing.T, c childConfig) *process {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: exec.Command(os.Args[0], "-test.run=XXX")}
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
			all := map[string]received{}
			if json.Unmarshal(lines.Bytes(), &all) == nil { // the last line may be cut short
				p.mu.Lock()
				p.received = all
				p.mu.Unlock()
			}
		}
	}()
	t.Cleanup(p.kill)
	return p
}

// kill ends the process, unless it has ended.
func (p *process) kill() {
	p.t.Helper()
	if p.cmd.ProcessState != nil {
		return
	}
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
	var killed *exec.ExitError
	if err := p.cmd.Wait(); err != nil && !errors.As(err, &killed) {
		p.t.Error(err)
	}
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// from is what the process received from a peer.
func (p *process) from(peer string) received {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[peer]
}

// processes are the children of a test, by name.
type processes map[string]*process

// awaitTraffic waits until each of some processes received more messages from each other of them.
func (ps processes) awaitTraffic(t *testing.T, what string, among ...string) {
	t.Helper()
	const more = 20
	before := map[[2]string]int{}
	for _, to := range among {
		for _, from := range among {
			before[[2]string{to, from}] = ps[to].from(from).Count
		}
	}
	missing := func() bool {
		for pair, count := range before {
			if pair[0] != pair[1] && ps[pair[0]].from(pair[1]).Count < count+more {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(30 * time.Second); missing(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

// Of five processes one is killed and started again, one is stopped for a while, and one link is cut in one direction. The
// others receive from each other all the time, nobody receives an earlier incarnation after a later one, and all recover.
func TestProcessesSurviveFaults(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	addrs, dirs := map[string]string{}, map[string]string{}
	for _, n := range names {
		addrs[n], dirs[n] = freeAddr(t), t.TempDir()
	}
	ps := processes{}
	for _, n := range names {
		ps[n] = startChild(t, childConfig{n, dirs[n], addrs})
	}
	ps.awaitTraffic(t, "all receive from all", names...)
	first := ps["a"].from("b").Incarnation
	ps["b"].kill()
	ps["c"].signal(syscall.SIGSTOP)
	ps.awaitTraffic(t, "a, d and e continue beside a dead and a stopped one", "a", "d", "e")

	if _, err := fmt.Fprintln(ps["d"].in, "e"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	cutAt, otherWay := ps["e"].from("d").Count, ps["d"].from("e").Count
	ps.awaitTraffic(t, "a continues with one end of a cut link", "a", "d")
	if n := ps["e"].from("d").Count; n > cutAt+2 {
		t.Errorf("e received %d messages over a cut link", n-cutAt)
	}
	if ps["d"].from("e").Count == otherWay {
		t.Error("d receives nothing from e, whose direction is not cut")
	}

	ps["c"].signal(syscall.SIGCONT)
	ps["b"] = startChild(t, childConfig{"b", dirs["b"], addrs})
	ps.awaitTraffic(t, "all but the cut link recover", "a", "b", "c", "d")
	ps.awaitTraffic(t, "and with the link's other end", "a", "b", "c", "e")
	for _, n := range []string{"a", "c", "d", "e"} {
		if r := ps[n].from("b"); r.Incarnation <= first || r.Stale > 0 {
			t.Errorf("%s received from b %+v, whose first incarnation was %d", n, r, first)
		}
	}
}
