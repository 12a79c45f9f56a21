package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/cli"
)

// childEnv is the environment variable that makes the test binary run as the program.
const childEnv = "MILLETVANE_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(cli.Run(context.Background(), []string{"milletvane"}, os.Getenv, os.Stdout, os.Stderr))
	}
	goleak.VerifyTestMain(m)
}

// programProcess is a process that runs the program in front of a scripted server.
type programProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	addr       string
	configFile string
	config     programConfig
	server     *scriptedServer
	discovery  *fakeDiscovery
	logs       chan string // the lines of its log
	exited     chan error
	opens      atomic.Int32
}

// programConfig holds the parts of the configuration that tests vary.
type programConfig struct {
	mode        string // pass or proxy
	sockets     int
	addrs       []string // addresses of the servers; nil: only the scripted server
	withoutList bool     // discovery has no endpoint list
	deadline    time.Duration

	effect    string        // effect of the class; empty: idempotent
	window    time.Duration // the dedup window
	objective time.Duration // the latency objective, which is the timeout of each attempt but the last
}

// classDeadline is the default deadline of the class. At a shutdown, pending requests are answered after at most this time
// plus 0.3 s; in proxy mode, the program exits after at most this time plus 0.5 s.
const classDeadline = 600 * time.Millisecond

func startProgram(t *testing.T, c programConfig) *programProcess {
	t.Helper()
	t.Parallel()
	p := &programProcess{
		t: t, config: c, server: newScriptedServer(t), logs: make(chan string, 4096), exited: make(chan error, 1),
		configFile: filepath.Join(t.TempDir(), "config.json"),
	}
	if c.addrs == nil {
		p.config.addrs = []string{p.server.l.Addr().String()}
	}
	list := ""
	if !c.withoutList {
		list = endpointListJSON(1, p.config.addrs...)
	}
	p.discovery = newFakeDiscovery(t, list)
	p.configure(p.discovery.addr)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), childEnv+"=1", "GORACE=atexit_sleep_ms=0", "PROXY_CONFIG="+p.configFile, "PROXY_LISTEN=127.0.0.1:0", "TMPDIR="+t.TempDir())
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for s := bufio.NewScanner(errs); s.Scan(); {
			p.logs <- s.Text()
		}
		close(p.logs)
	}()
	go func() {
		<-read
		p.exited <- p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-read
	})
	_, rest, _ := strings.Cut(p.expectLog("msg=serving"), "listen=")
	p.addr, _, _ = strings.Cut(rest, " ")
	if !c.withoutList {
		(&testGateway{t: t, addr: p.addr}).waitReady()
	}
	return p
}

// configure writes the configuration file, with the address of discovery.
func (p *programProcess) configure(discovery string) {
	c := p.config
	if c.sockets == 0 {
		c.sockets = 256
	}
	if c.deadline == 0 {
		c.deadline = classDeadline
	}
	if c.effect == "" {
		c.effect = "idempotent"
	}
	if c.objective == 0 {
		c.objective = 90 * time.Second
	}
	text := fmt.Sprintf(`{"discovery":%q,"limits":{"cores":1,"sockets":%d},"settings":{"caps":{"max_attempts":3,"retry_after":true,
	 "max_retry_after_ns":1000000000},"discovery":"ask","family_info":{"mode":%q},"rules":{"stop_sending_within_ns":500000000},
	 "classes":[{"name":"c","effect":%q,"group":"all","window_ns":%d,"give_up_ns":%d,"slo_ns":%d}]}}`,
		discovery, c.sockets, c.mode, c.effect, c.window.Nanoseconds(), c.deadline.Nanoseconds(), c.objective.Nanoseconds())
	if err := os.WriteFile(p.configFile, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// expectLog waits for a log line that contains a text and returns it.
func (p *programProcess) expectLog(text string) string {
	p.t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case line, ok := <-p.logs:
			if !ok {
				p.t.Fatalf("the program ended before it logged %q", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			p.t.Fatalf("the program did not log %q", text)
		}
	}
}

// stop sends SIGTERM and waits until the shutdown has started.
func (p *programProcess) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.expectLog(`msg="shutdown started"`)
}

func (p *programProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// expectExit waits until the program exits, which must be with status 0.
func (p *programProcess) expectExit() {
	p.t.Helper()
	go func() {
		for range p.logs {
		}
	}()
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("the program exited with %v, want status 0", err)
		}
	case <-time.After(testTimeout):
		p.t.Error("the program did not exit")
	}
}

func (p *programProcess) dial() *testConn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	return newTestConn(p.t, c)
}

// openLine returns a new client's opening line.
func (p *programProcess) openLine() string {
	return fmt.Sprintf("OPEN 1%04d 0a c=c,d=60000\r\n", p.opens.Add(1))
}

// request sends a new client's opening line. It returns the client's connection, and the server's one once the attempt has
// reached the server.
func (p *programProcess) request() (client, server *testConn) {
	p.t.Helper()
	client = p.dial()
	client.send(p.openLine())
	server = p.server.accept()
	server.readLine()
	return client, server
}

// open establishes a connection through the program and returns both ends.
func (p *programProcess) open() (client, server *testConn) {
	p.t.Helper()
	client, server = p.request()
	server.send("UP r\r\n")
	client.expectLine("UP r\r\n")
	return client, server
}

// fullBacklogAddr returns an address whose accept queue is full: a connection attempt to it stays pending.
func fullBacklogAddr(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := unix.Close(fd); err != nil {
			t.Error(err)
		}
	})
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", sa.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		newTestConn(t, c) // closed when the test ends
	}
}
