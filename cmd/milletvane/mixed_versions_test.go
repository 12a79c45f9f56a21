package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/milletvane/internal/fakeserver"
)

// These tests run processes of two builds beside one another: as peers, on one disk, and on one socket that is passed on.
// scripts/mixed-versions.sh names the builds; without it both are this one. What a case has to show it sees from outside,
// in what clients are answered: names and log lines may differ between builds.

const (
	oldBuildEnv = "MILLETVANE_TEST_OLD" // path of a program
	newBuildEnv = "MILLETVANE_TEST_NEW"
	programEnv  = "MILLETVANE_TEST_PROGRAM" // has this test's binary be the program
	patience    = 30 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// build is a program that a test starts.
type build struct {
	name, path string
	env        []string
}

// buildPairs are the builds that run together: each once as the first, or this one alone.
func buildPairs(t *testing.T) [][2]build {
	t.Helper()
	oldPath, newPath := os.Getenv(oldBuildEnv), os.Getenv(newBuildEnv)
	if oldPath == "" && newPath == "" {
		own, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		this := build{name: "this", path: own, env: []string{programEnv + "=1", "GORACE=atexit_sleep_ms=0"}}
		return [][2]build{{this, this}}
	}
	if oldPath == "" || newPath == "" {
		t.Fatalf("%s is %q and %s is %q: both have to name a program", oldBuildEnv, oldPath, newBuildEnv, newPath)
	}
	older, newer := build{name: "old", path: oldPath}, build{name: "new", path: newPath}
	return [][2]build{{older, newer}, {newer, older}}
}

func TestMixedVersions(t *testing.T) {
	for _, pair := range buildPairs(t) {
		first, second := pair[0], pair[1]
		t.Run(fmt.Sprintf("peers, %s has the list, %s asks for it", first.name, second.name), func(t *testing.T) {
			t.Parallel()
			testPeers(t, first, second)
		})
		t.Run(fmt.Sprintf("disk of %s, read by %s", first.name, second.name), func(t *testing.T) {
			t.Parallel()
			testDisk(t, first, second)
		})
		t.Run(fmt.Sprintf("socket passed from %s to %s", first.name, second.name), func(t *testing.T) {
			t.Parallel()
			testPassedSocket(t, first, second)
		})
	}
}

// site is what stands around the processes: servers and discovery.
type site struct {
	t         *testing.T
	dir       string
	catalog   *fakeserver.Catalog
	discovery string
	servers   []*fakeserver.LineServer
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir()}
	var nodes []fakeserver.Endpoint
	for i := range 2 {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		s.servers = append(s.servers, server)
		nodes = append(nodes, fakeserver.Endpoint{ID: fmt.Sprintf("s-%08x", i+1), Addr: server.Addr(), State: fakeserver.StateInService, Weight: 1})
	}
	var err error
	if s.catalog, err = fakeserver.NewCatalogAt("127.0.0.1:0", 7, nodes...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.catalog.Close)
	s.discovery = s.catalog.Addr()
	return s
}

func (s *site) reserve() string {
	s.t.Helper()
	addr, release, err := fakeserver.ReserveAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(release)
	return addr
}

func (s *site) write(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// config writes a gateway's configuration, in which no list stands: it has one from discovery, a disk, peers or a record.
func (s *site) config(name, listen string) string {
	s.t.Helper()
	return s.write(name+".json", fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"limits":{"cores":1,"sockets":256},"settings":{
	 "caps":{"max_attempts":2,"retry_after":true,"max_retry_after_ns":1000000000},"discovery":"ask","family_info":{"mode":"pass"},
	 "classes":[{"name":"c","effect":"idempotent","group":"all","give_up_ns":5000000000,"slo_ns":90000000000}]}}`, name, listen, s.discovery))
}

// member is a gateway of a cluster of two.
type member struct {
	name, listen, peers, disk string
	other                     *member
}

func (s *site) members() (a, b *member) {
	s.t.Helper()
	s.write("key", "0123456789abcdef")
	for i, m := range []**member{&a, &b} {
		name := fmt.Sprint("g", i)
		*m = &member{name: name, listen: s.reserve(), peers: s.reserve(), disk: filepath.Join(s.dir, "disk-"+name)}
		if err := os.Mkdir((*m).disk, 0o700); err != nil {
			s.t.Fatal(err)
		}
	}
	a.other, b.other = b, a
	return a, b
}

func (s *site) startMember(b build, m *member) *process {
	s.t.Helper()
	operator := s.write(m.name+".edn", fmt.Sprintf(
		"(cluster (listen %q) (key-file \"key\") (dir %q) (peers-within \"1500ms\")\n (member %q %q) (tier \"c\"))\n",
		m.peers, m.disk, m.other.name, m.other.peers))
	return s.start(b, nil, "PROXY_CONFIG="+s.config(m.name, m.listen), "MILLETVANE_OPERATOR="+operator)
}

// process is a running program.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	admin  string
	exited chan struct{}
	err    error // of its end, once exited is closed

	mu  sync.Mutex
	log strings.Builder
}

// Write takes what the process logs, which is shown where a test fails.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// start starts a program; a listener is passed on to it as descriptor 3.
func (s *site) start(b build, passed *os.File, env ...string) *process {
	s.t.Helper()
	p := &process{t: s.t, cmd: exec.Command(b.path), admin: s.reserve(), exited: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stderr = s.dir, p
	p.cmd.Env = append(os.Environ(), "TMPDIR="+s.dir, "PROXY_ADMIN_ADDR="+p.admin)
	p.cmd.Env = append(append(p.cmd.Env, env...), b.env...)
	if passed != nil {
		p.cmd.ExtraFiles = []*os.File{passed}
		p.cmd.Env = append(p.cmd.Env, "PROXY_PASSED_SOCKET=3")
	}
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		p.err = p.cmd.Wait()
	}()
	s.t.Cleanup(func() {
		p.kill()
		if s.t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			s.t.Logf("log of %s build:\n%s", b.name, p.log.String())
		}
	})
	return p
}

func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
	<-p.exited
}

func (p *process) call(method, path string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	b, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return 0, ""
	}
	return response.StatusCode, string(b)
}

func (p *process) awaitReady() {
	p.t.Helper()
	until(p.t, "ready", func() bool {
		status, _ := p.call(http.MethodGet, "/-/ready")
		return status == http.StatusOK
	})
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// client is a connection to a gateway.
type client struct {
	conn  net.Conn
	lines *bufio.Reader
}

// requestName is what a client calls a request.
func requestName(request int) string { return fmt.Sprint("2", request) }

// open asks a gateway for a server. The answer is empty where there is none, and the client nil where it can't connect.
func open(addr string, request int) (c *client, answer string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, ""
	}
	c = &client{conn, bufio.NewReader(conn)}
	answer = c.ask(fmt.Sprintf("OPEN %s 0a c=c,d=60000\r\n", requestName(request)))
	return c, answer
}

func (c *client) close(t *testing.T) {
	t.Helper()
	if err := c.conn.Close(); err != nil {
		t.Error(err)
	}
}

// ask sends a line and returns the one that answers it.
func (c *client) ask(line string) string {
	if err := c.conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return ""
	}
	if _, err := io.WriteString(c.conn, line); err != nil {
		return ""
	}
	answer, err := c.lines.ReadString('\n')
	if err != nil {
		return ""
	}
	return answer
}

// awaitServed asks a gateway until it serves a client.
func awaitServed(t *testing.T, addr string) {
	t.Helper()
	request := 0
	until(t, "a client is served", func() bool {
		request++
		c, answer := open(addr, request)
		if c == nil {
			return false
		}
		defer c.close(t)
		if !strings.HasPrefix(answer, "UP ") {
			return false
		}
		echoes(t, c)
		return true
	})
}

func echoes(t *testing.T, c *client) {
	t.Helper()
	if got := c.ask("hello\r\n"); got != "hello\r\n" {
		t.Errorf("a line came back as %q", got)
	}
}

// A member without a list, a disk or discovery serves by the list that its peer, of another build, tells it.
func testPeers(t *testing.T, holds, asks build) {
	t.Helper()
	s := newSite(t)
	a, b := s.members()
	s.startMember(holds, a)
	awaitServed(t, a.listen)
	s.catalog.Close()
	s.startMember(asks, b)
	awaitServed(t, b.listen)
}

// awaitStored waits until a list is in the log of a disk.
func (m *member) awaitStored(t *testing.T) {
	t.Helper()
	const segmentHead = 20
	until(t, "the list is on the disk", func() bool {
		segments, err := filepath.Glob(filepath.Join(m.disk, "lists", "journal-*"))
		if err != nil || len(segments) != 1 {
			return false
		}
		info, err := os.Stat(segments[0])
		return err == nil && info.Size() > segmentHead
	})
}

func (m *member) incarnation(t *testing.T) uint64 {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(m.disk, "incarnation"))
	if err != nil || len(b) != 12 {
		t.Fatalf("incarnation file of %d bytes, %v", len(b), err)
	}
	return binary.BigEndian.Uint64(b)
}

// A gateway alone serves by the list on its disk, which another build wrote, in a later incarnation than that one's.
func testDisk(t *testing.T, writes, reads build) {
	t.Helper()
	s := newSite(t)
	m, _ := s.members()
	p := s.startMember(writes, m)
	awaitServed(t, m.listen)
	m.awaitStored(t)
	p.kill()
	s.catalog.Close()
	before := m.incarnation(t)
	s.startMember(reads, m)
	awaitServed(t, m.listen)
	if after := m.incarnation(t); after <= before {
		t.Errorf("incarnation %d follows %d", after, before)
	}
	moved, err := filepath.Glob(filepath.Join(m.disk, "*damaged*"))
	if err != nil || len(moved) > 0 {
		t.Errorf("taken for damaged: %v, %v", moved, err)
	}
}

// sharedSocket is a listening socket that processes inherit one after another.
type sharedSocket struct {
	site     *site
	addr     string
	file     *os.File
	config   string
	requests int
}

func (s *site) newSharedSocket() *sharedSocket {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if err := errors.Join(file.Close(), listener.Close()); err != nil {
			s.t.Error(err)
		}
	})
	addr := listener.Addr().String()
	return &sharedSocket{site: s, addr: addr, file: file, config: s.config("n0", addr), requests: 1000} // awaitServed has those before
}

func (s *sharedSocket) start(b build) *process {
	s.site.t.Helper()
	p := s.site.start(b, s.file, "PROXY_CONFIG="+s.config)
	p.awaitReady()
	return p
}

// open opens a connection, which has to be served at once.
func (s *sharedSocket) open(when string) *client {
	s.site.t.Helper()
	s.requests++
	c, answer := open(s.addr, s.requests)
	if !strings.HasPrefix(answer, "UP ") {
		s.site.t.Fatalf("%s: request %d answered %q", when, s.requests, answer)
	}
	echoes(s.site.t, c)
	return c
}

// serverWithout is the number of the server that does not have the last request.
func (s *sharedSocket) serverWithout() int {
	if s.site.servers[0].OpenedByName()[requestName(s.requests)] > 0 {
		return 1
	}
	return 0
}

// awaitExit waits for a process's end, which is in order.
func (p *process) awaitExit() {
	p.t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			p.t.Errorf("the process ended with %v", p.err)
		}
	case <-time.After(patience):
		p.t.Fatal("the process did not end")
	}
}

func (p *process) post(path string) {
	p.t.Helper()
	if status, body := p.call(http.MethodPost, path); status != http.StatusOK {
		p.t.Errorf("%s: %d %s", path, status, body)
	}
}

// A process follows one of another build on one socket: with its list and the servers that an operator disabled, while the
// old one keeps its connections; no client is rejected. Discovery is away all the time that both run.
func testPassedSocket(t *testing.T, before, after build) {
	t.Helper()
	s := newSite(t)
	socket := s.newSharedSocket()
	first := socket.start(before)
	awaitServed(t, socket.addr)
	kept := socket.open("alone")
	disabled := socket.serverWithout() // a server that is disabled sends its clients away
	path := fmt.Sprintf("/-/servers/s-%08x/", disabled+1)
	first.post(path + "disable")
	s.catalog.Close()
	time.Sleep(1500 * time.Millisecond) // the state is written once a second

	second := socket.start(after)
	for _, p := range []*process{first, second} {
		if _, figures := p.call(http.MethodGet, "/-/metrics"); !strings.Contains(figures, "edge_proxy.ejected:1|g") {
			t.Errorf("not one server is disabled: %s", figures)
		}
	}
	opened := s.servers[disabled].Opened()
	for i := range 30 {
		if i == 10 {
			if err := first.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
		socket.open("during the upgrade").close(t)
	}
	if n := s.servers[disabled].Opened(); n != opened {
		t.Errorf("%d connections went to the server that is disabled", n-opened)
	}
	echoes(t, kept)
	kept.close(t)
	first.awaitExit()
	for range 5 {
		socket.open("after the upgrade").close(t)
	}
	second.post(path + "enable")
}
