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

// childEnv is the environment variable that holds the configuration of a child process as JSON.
const childEnv = "MILLETVANE_TEST_PEER"

type childConfig struct {
	Name, Dir string
	Addrs     map[string]string // by name of the instance
}

// received holds counts of the messages that a child received from one peer.
type received struct {
	Incarnation uint64 // highest incarnation
	Count       int    // number of messages
	Stale       int    // number of messages from a lower incarnation than an earlier message
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

// child holds the state of a child process.
type child struct {
	config childConfig
	links  *links
	gossip *membership.Gossip

	mu       sync.Mutex
	received map[string]*received
}

// runChild sends a message to all members every 10 ms, and prints its received counts ten times per second. Each line on
// standard input names a peer; runChild sends nothing to that peer from then on.
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
			if err := c.printReceived(); err != nil {
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
	c.gossip, err = membership.ListenGossip(membership.GossipOptions{
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

// cutLinks cuts the links to the peers that standard input names. The end of the input means that the test has ended, so cutLinks
// exits the process.
func (c *child) cutLinks() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		c.links.mu.Lock()
		c.links.cut[[2]string{c.config.Name, in.Text()}] = true
		c.links.mu.Unlock()
	}
	os.Exit(0)
}

func (c *child) printReceived() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.NewEncoder(os.Stdout).Encode(c.received)
}

// process is a child process with the counts that it printed last.
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
			if json.Unmarshal(lines.Bytes(), &all) == nil { // the last line may be truncated
				p.mu.Lock()
				p.received = all
				p.mu.Unlock()
			}
		}
	}()
	t.Cleanup(p.kill)
	return p
}

// kill kills the process unless it has already ended, and waits for it.
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

// receivedFrom returns the counts of the messages that the process received from a peer.
func (p *process) receivedFrom(peer string) received {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[peer]
}

// processes holds the child processes of a test by name.
type processes map[string]*process

// awaitTraffic waits until each of the processes in among has received 20 more messages from each other one.
func (ps processes) awaitTraffic(t *testing.T, what string, among ...string) {
	t.Helper()
	const moreMessages = 20
	before := map[[2]string]int{}
	for _, to := range among {
		for _, from := range among {
			before[[2]string{to, from}] = ps[to].receivedFrom(from).Count
		}
	}
	missing := func() bool {
		for pair, count := range before {
			if pair[0] != pair[1] && ps[pair[0]].receivedFrom(pair[1]).Count < count+moreMessages {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(30 * time.Second); missing(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("after 30 s still waiting until " + what)
		}
	}
}

// Checks five processes, of which one is killed and restarted, one is stopped for a while, and one link is cut in one
// direction. Unaffected processes must keep receiving messages from each other, no process may receive an earlier
// incarnation after a later one, and all links that are not cut must recover.
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
	ps.awaitTraffic(t, "all processes receive messages from all others", names...)
	firstIncarnation := ps["a"].receivedFrom("b").Incarnation
	ps["b"].kill()
	ps["c"].signal(syscall.SIGSTOP)
	ps.awaitTraffic(t, "a, d and e receive messages while b is dead and c is stopped", "a", "d", "e")

	if _, err := fmt.Fprintln(ps["d"].in, "e"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	countAtCut, reverseCount := ps["e"].receivedFrom("d").Count, ps["d"].receivedFrom("e").Count
	ps.awaitTraffic(t, "a and d receive messages from each other while the link from d to e is cut", "a", "d")
	if n := ps["e"].receivedFrom("d").Count; n > countAtCut+2 {
		t.Errorf("e received %d messages over a cut link, want at most 2", n-countAtCut)
	}
	if ps["d"].receivedFrom("e").Count == reverseCount {
		t.Error("d received no messages from e, although that direction is not cut")
	}

	ps["c"].signal(syscall.SIGCONT)
	ps["b"] = startChild(t, childConfig{"b", dirs["b"], addrs})
	ps.awaitTraffic(t, "all but e receive messages from each other", "a", "b", "c", "d")
	ps.awaitTraffic(t, "all but d receive messages from each other", "a", "b", "c", "e")
	for _, n := range []string{"a", "c", "d", "e"} {
		if r := ps[n].receivedFrom("b"); r.Incarnation <= firstIncarnation || r.Stale > 0 {
			t.Errorf("%s received %+v from b, want no stale messages and a higher incarnation than %d", n, r, firstIncarnation)
		}
	}
}
