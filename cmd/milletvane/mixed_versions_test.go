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

// These tests run processes of two builds together: as peers, on one disk, and on one socket that is passed on.
// scripts/mixed-versions.sh sets the builds. Without the script, both are the current build. The tests check only what
// clients and operators see, because names and log lines may differ between builds.

const (
	oldBuildEnv = "MILLETVANE_TEST_OLD" // path of a program
	newBuildEnv = "MILLETVANE_TEST_NEW"
	programEnv  = "MILLETVANE_TEST_PROGRAM" // set: the test binary runs as the program
	waitTimeout = 30 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// build is an executable of one build, with the environment that it needs.
type build struct {
	name, path string
	env        []string
}

// buildPairs returns the pairs of builds to run together: the old and the new build in both orders, or the current build with
// itself.
func buildPairs(t *testing.T) [][2]build {
	t.Helper()
	oldPath, newPath := os.Getenv(oldBuildEnv), os.Getenv(newBuildEnv)
	if oldPath == "" && newPath == "" {
		own, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		current := build{name: "this", path: own, env: []string{programEnv + "=1", "GORACE=atexit_sleep_ms=0"}}
		return [][2]build{{current, current}}
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

// fixture holds the servers and the discovery that the processes use, and a directory for their files.
type fixture struct {
	t         *testing.T
	dir       string
	catalog   *fakeserver.Catalog
	discovery string
	servers   []*fakeserver.LineServer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, dir: t.TempDir()}
	var endpoints []fakeserver.Endpoint
	for i := range 2 {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
		endpoints = append(endpoints, fakeserver.Endpoint{
			ID: fmt.Sprintf("s-%08x", i+1), Addr: server.Addr(), State: fakeserver.StateInService, Weight: 1,
		})
	}
	var err error
	if f.catalog, err = fakeserver.NewCatalogAt("127.0.0.1:0", 7, endpoints...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.catalog.Close)
	f.discovery = f.catalog.Addr()
	return f
}

// reserve reserves an address until the test ends.
func (f *fixture) reserve() string {
	f.t.Helper()
	addr, release, err := fakeserver.ReserveAddress()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(release)
	return addr
}

// write writes a file and returns its path.
func (f *fixture) write(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// config writes a gateway's configuration and returns its path. The configuration holds no endpoint list, so the gateway gets
// one from discovery, its disk, its peers or the state of a predecessor.
func (f *fixture) config(name, listen string) string {
	f.t.Helper()
	return f.write(name+".json", fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"limits":{"cores":1,"sockets":256},"settings":{
	 "caps":{"max_attempts":2,"retry_after":true,"max_retry_after_ns":1000000000},"discovery":"ask","family_info":{"mode":"pass"},
	 "classes":[{"name":"c","effect":"idempotent","group":"all","give_up_ns":5000000000,"slo_ns":90000000000}]}}`, name, listen, f.discovery))
}

// member is one gateway in a cluster of two.
type member struct {
	name, listen, peerAddr, disk string
	other                        *member
}

// members returns the two members of a cluster, with addresses and disks of their own.
func (f *fixture) members() (a, b *member) {
	f.t.Helper()
	f.write("key", "0123456789abcdef")
	for i, m := range []**member{&a, &b} {
		name := fmt.Sprint("g", i)
		*m = &member{name: name, listen: f.reserve(), peerAddr: f.reserve(), disk: filepath.Join(f.dir, "disk-"+name)}
		if err := os.Mkdir((*m).disk, 0o700); err != nil {
			f.t.Fatal(err)
		}
	}
	a.other, b.other = b, a
	return a, b
}

// startMember starts a member as a process of a build.
func (f *fixture) startMember(b build, m *member) *process {
	f.t.Helper()
	operatorFile := f.write(m.name+".edn", fmt.Sprintf(
		"(cluster (listen %q) (key-file \"key\") (dir %q) (peers-within \"1500ms\")\n (member %q %q) (tier \"c\"))\n",
		m.peerAddr, m.disk, m.other.name, m.other.peerAddr))
	return f.start(b, nil, "PROXY_CONFIG="+f.config(m.name, m.listen), "MILLETVANE_OPERATOR="+operatorFile)
}

// process is a started program.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	admin  string
	exited chan struct{}
	err    error // from waiting for its end; valid after exited is closed

	mu  sync.Mutex
	log strings.Builder
}

// Write adds to the log of the process, which is printed if the test fails.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// start starts a process of a build. If passed is not nil, the process inherits it as descriptor 3.
func (f *fixture) start(b build, passed *os.File, env ...string) *process {
	f.t.Helper()
	p := &process{t: f.t, cmd: exec.Command(b.path), admin: f.reserve(), exited: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stderr = f.dir, p
	p.cmd.Env = append(os.Environ(), "TMPDIR="+f.dir, "PROXY_ADMIN_ADDR="+p.admin)
	p.cmd.Env = append(append(p.cmd.Env, env...), b.env...)
	if passed != nil {
		p.cmd.ExtraFiles = []*os.File{passed}
		p.cmd.Env = append(p.cmd.Env, "PROXY_PASSED_SOCKET=3")
	}
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		p.err = p.cmd.Wait()
	}()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			f.t.Logf("log of %s build:\n%s", b.name, p.log.String())
		}
	})
	return p
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
	<-p.exited
}

// call sends a request to the admin address. The status is 0 if there is no answer.
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

// waitUntilReady waits until the process reports that it is ready.
func (p *process) waitUntilReady() {
	p.t.Helper()
	waitUntil(p.t, "ready", func() bool {
		status, _ := p.call(http.MethodGet, "/-/ready")
		return status == http.StatusOK
	})
}

// waitUntil waits until the condition holds. After waitTimeout it fails the test with the description of the condition.
func waitUntil(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", description)
		}
	}
}

// client is a connection to a gateway.
type client struct {
	conn  net.Conn
	lines *bufio.Reader
}

// requestName returns the name of a request, as clients send it to the gateway and the gateway to the server.
func requestName(request int) string { return fmt.Sprint("2", request) }

// open connects to a gateway and requests a server. The client is nil if it can't connect, and the answer empty if none arrives.
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

// ask sends a line and returns the line that answers it, or an empty string if there is none within 10 seconds.
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

// waitUntilServed sends requests to a gateway until it serves a client.
func waitUntilServed(t *testing.T, addr string) {
	t.Helper()
	request := 0
	waitUntil(t, "a client is served", func() bool {
		request++
		c, answer := open(addr, request)
		if c == nil {
			return false
		}
		defer c.close(t)
		if !strings.HasPrefix(answer, "UP ") {
			return false
		}
		checkEcho(t, c)
		return true
	})
}

// checkEcho checks that a line which the client sends is returned.
func checkEcho(t *testing.T, c *client) {
	t.Helper()
	if got := c.ask("hello\r\n"); got != "hello\r\n" {
		t.Errorf("echo = %q, want the line that was sent", got)
	}
}

// A member without an endpoint list, a stored state or discovery serves by the list that it gets from its peer, a process of
// another build.
func testPeers(t *testing.T, holder, requester build) {
	t.Helper()
	f := newFixture(t)
	a, b := f.members()
	f.startMember(holder, a)
	waitUntilServed(t, a.listen)
	f.catalog.Close()
	f.startMember(requester, b)
	waitUntilServed(t, b.listen)
}

// waitUntilStored waits until an endpoint list is in the log on a member's disk.
func (m *member) waitUntilStored(t *testing.T) {
	t.Helper()
	const segmentHeaderLen = 20
	waitUntil(t, "the list is on the disk", func() bool {
		segments, err := filepath.Glob(filepath.Join(m.disk, "lists", "journal-*"))
		if err != nil || len(segments) != 1 {
			return false
		}
		info, err := os.Stat(segments[0])
		return err == nil && info.Size() > segmentHeaderLen
	})
}

// incarnation returns the incarnation that is stored on a member's disk.
func (m *member) incarnation(t *testing.T) uint64 {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(m.disk, "incarnation"))
	if err != nil || len(b) != 12 {
		t.Fatalf("incarnation file has %d bytes, want 12 (%v)", len(b), err)
	}
	return binary.BigEndian.Uint64(b)
}

// A gateway without peers or discovery serves by the list on its disk, which another build wrote. Its incarnation is later than
// that build's.
func testDisk(t *testing.T, writer, reader build) {
	t.Helper()
	f := newFixture(t)
	m, _ := f.members()
	p := f.startMember(writer, m)
	waitUntilServed(t, m.listen)
	m.waitUntilStored(t)
	p.kill()
	f.catalog.Close()
	before := m.incarnation(t)
	f.startMember(reader, m)
	waitUntilServed(t, m.listen)
	if after := m.incarnation(t); after <= before {
		t.Errorf("incarnation after the restart = %d, want more than %d", after, before)
	}
	damaged, err := filepath.Glob(filepath.Join(m.disk, "*damaged*"))
	if err != nil || len(damaged) > 0 {
		t.Errorf("files quarantined as damaged: %v (%v), want none", damaged, err)
	}
}

// sharedSocket is a listening socket that several processes inherit, with one configuration for all of them.
type sharedSocket struct {
	fixture  *fixture
	addr     string
	file     *os.File
	config   string
	requests int
}

// newSharedSocket opens a listening socket, which is closed when the test ends.
func (f *fixture) newSharedSocket() *sharedSocket {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		if err := errors.Join(file.Close(), listener.Close()); err != nil {
			f.t.Error(err)
		}
	})
	addr := listener.Addr().String()
	// waitUntilServed uses request numbers below 1000.
	return &sharedSocket{fixture: f, addr: addr, file: file, config: f.config("n0", addr), requests: 1000}
}

// start starts a process that inherits the socket, and waits until it is ready.
func (s *sharedSocket) start(b build) *process {
	s.fixture.t.Helper()
	p := s.fixture.start(b, s.file, "PROXY_CONFIG="+s.config)
	p.waitUntilReady()
	return p
}

// open opens a connection, which must be served at the first request. The phase is for the failure text.
func (s *sharedSocket) open(phase string) *client {
	s.fixture.t.Helper()
	s.requests++
	c, answer := open(s.addr, s.requests)
	if !strings.HasPrefix(answer, "UP ") {
		s.fixture.t.Fatalf("%s: answer to request %d = %q, want UP", phase, s.requests, answer)
	}
	checkEcho(s.fixture.t, c)
	return c
}

// serverWithoutLastRequest returns the index of the server that does not have the last request.
func (s *sharedSocket) serverWithoutLastRequest() int {
	if s.fixture.servers[0].OpenedByName()[requestName(s.requests)] > 0 {
		return 1
	}
	return 0
}

// waitForExit waits for the process to end, which must be with exit code 0.
func (p *process) waitForExit() {
	p.t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			p.t.Errorf("the process ended with %v, want exit code 0", p.err)
		}
	case <-time.After(waitTimeout):
		p.t.Fatal("the process did not end in time")
	}
}

// post sends a POST to the admin address, which must succeed.
func (p *process) post(path string) {
	p.t.Helper()
	if status, body := p.call(http.MethodPost, path); status != http.StatusOK {
		p.t.Errorf("POST %s: status %d, body %q, want 200", path, status, body)
	}
}

// A successor process of another build takes over the listening socket, the predecessor's endpoint list, and the servers that
// an operator disabled. The predecessor keeps its connections, and no client is rejected. Discovery is unavailable from before
// the successor's start on.
func testPassedSocket(t *testing.T, firstBuild, secondBuild build) {
	t.Helper()
	f := newFixture(t)
	socket := f.newSharedSocket()
	predecessor := socket.start(firstBuild)
	waitUntilServed(t, socket.addr)
	kept := socket.open("before the upgrade")
	// Clients of a disabled server are migrated, so the server of the kept connection stays enabled.
	disabled := socket.serverWithoutLastRequest()
	path := fmt.Sprintf("/-/servers/s-%08x/", disabled+1)
	predecessor.post(path + "disable")
	f.catalog.Close()
	time.Sleep(1500 * time.Millisecond) // the predecessor writes its state once a second

	successor := socket.start(secondBuild)
	for _, p := range []*process{predecessor, successor} {
		if _, figures := p.call(http.MethodGet, "/-/metrics"); !strings.Contains(figures, "edge_proxy.ejected:1|g") {
			t.Errorf("metrics without edge_proxy.ejected:1|g, want one disabled server: %s", figures)
		}
	}
	opened := f.servers[disabled].Opened()
	for i := range 30 {
		if i == 10 {
			if err := predecessor.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
		socket.open("during the upgrade").close(t)
	}
	if n := f.servers[disabled].Opened(); n != opened {
		t.Errorf("%d connections were opened to the disabled server, want none", n-opened)
	}
	checkEcho(t, kept)
	kept.close(t)
	predecessor.waitForExit()
	for range 5 {
		socket.open("after the upgrade").close(t)
	}
	successor.post(path + "enable")
}
