package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/internal/hotrestart"
)

// platform holds the clients' listening socket and starts processes of one gateway on it.
type platform struct {
	t        *testing.T
	listener *net.TCPListener
	server   *scriptedServer
	catalog  *fakeserver.Catalog
	temp     string
	opens    int
}

// process is one of them.
type process struct {
	admin    string
	stateDir string
	stop     context.CancelFunc
	done     chan error
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(t, l) })
	p := &platform{t: t, listener: l.(*net.TCPListener), server: newScriptedServer(t), temp: t.TempDir()}
	if p.catalog, err = fakeserver.NewCatalog(p.node(fakeserver.StateInService)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.catalog.Close)
	return p
}

func (p *platform) node(state string) fakeserver.Endpoint {
	return fakeserver.Endpoint{ID: "s-00000001", Addr: p.server.l.Addr().String(), State: state, Weight: 1}
}

// control calls do with a listener's descriptor.
func control(t *testing.T, l *net.TCPListener, do func(fd int) error) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var doErr error
	if err := raw.Control(func(fd uintptr) { doErr = do(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	if doErr != nil {
		t.Fatal(doErr)
	}
}

// duplicate returns a second descriptor of a listener.
func duplicate(t *testing.T, l *net.TCPListener) (duplicated int) {
	t.Helper()
	control(t, l, func(fd int) (err error) {
		duplicated, err = unix.Dup(fd)
		return err
	})
	return duplicated
}

func (p *platform) start() *process {
	p.t.Helper()
	return p.startWithList("null")
}

// startWithList starts a process whose configuration has an endpoint list, as JSON.
func (p *platform) startWithList(known string) *process {
	p.t.Helper()
	fd := duplicate(p.t, p.listener)
	r := &process{admin: freeAddr(p.t), done: make(chan error, 1)}
	env := map[string]string{config.EnvInheritedSocket: strconv.Itoa(fd), config.EnvTempDir: p.temp, config.EnvAdmin: r.admin}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"known":%s,"settings":{"caps":{"max_attempts":2,"retry_after":true,
	 "max_retry_after_ns":1000000000},"discovery":"ask","family_info":{"mode":"pass"},
	 "classes":[{"name":"c","effect":"idempotent","group":"all","give_up_ns":100000000,"slo_ns":90000000000}]}}`,
		p.listener.Addr(), p.catalog.Addr(), known)
	c, err := config.Parse([]byte(text), func(k string) string { return env[k] })
	if err != nil {
		p.t.Fatal(err)
	}
	r.stateDir = c.StateDir
	g, err := gateway.New(*c, gateway.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- g.Run(ctx) }()
	p.t.Cleanup(func() {
		cancel()
		select {
		case err := <-r.done:
			if err != nil {
				p.t.Error(err)
			}
		case <-time.After(testTimeout):
			p.t.Error("the process did not stop")
		}
	})
	p.eventually("ready", func() bool { status, _ := r.call(http.MethodGet, "/-/ready"); return status == 200 })
	return r
}

func (p *platform) eventually(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("never " + what)
		}
	}
}

func (r *process) call(method, path string) (status int, body string) {
	q, err := http.NewRequest(method, "http://"+r.admin+path, nil)
	if err != nil {
		return 0, ""
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

// succeeded is the figure of served requests of the class; -1: it could not be read.
func (r *process) succeeded() int {
	_, figures := r.call(http.MethodGet, "/-/metrics")
	_, rest, found := strings.Cut(figures, "succeeded.c:")
	digits, _, _ := strings.Cut(rest, "|")
	n, err := strconv.Atoi(digits)
	if !found || err != nil {
		return -1
	}
	return n
}

func (p *platform) dial() *testConn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	return newTestConn(p.t, c)
}

func (p *platform) opening() string {
	p.opens++
	return fmt.Sprintf("OPEN 2%d 0a c=c,d=60000\r\n", p.opens)
}

func (p *platform) serve(client *testConn) {
	p.t.Helper()
	server := p.server.accept()
	server.line()
	server.send("UP r\r\n")
	client.expect("UP r\r\n")
}

// While one process follows another every connection that comes is served, those included that the old one holds half
// read; what the old one accepted it keeps.
func TestNoConnectionIsLostInAHotRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.start()
	var half []*testConn
	for range 4 {
		half = append(half, p.dial())
		half[len(half)-1].send("OPEN 9" + strconv.Itoa(len(half)) + " 0a c=c,")
	}
	next := p.start()
	for i := range 40 {
		if i == 20 {
			old.stop()
			p.eventually("closed to operators", func() bool { status, _ := old.call(http.MethodGet, "/-/ready"); return status != 200 })
		}
		client := p.dial()
		client.send(p.opening())
		p.serve(client)
		client.close()
	}
	for _, client := range half {
		client.send("d=60000\r\n")
		p.serve(client)
	}
	if status, _ := next.call(http.MethodGet, "/-/ready"); status != 200 {
		t.Errorf("the new process says %d", status)
	}
	flags := 0
	control(t, p.listener, func(fd int) (err error) {
		flags, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
		return err
	})
	if flags == 0 {
		t.Error("the platform's socket no longer listens")
	}
}

// A ban holds across an upgrade, and may be lifted at the process that was not given it.
func TestMaintenanceHoldsAcrossAHotRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.start()
	if status, _ := old.call(http.MethodPost, "/-/servers/s-00000002/disable"); status != 404 {
		t.Errorf("an id that was never listed: %d", status)
	}
	if status, _ := old.call(http.MethodPost, "/-/servers/s-00000001/disable"); status != 200 {
		t.Fatalf("taken out with %d", status)
	}
	if left, _ := filepath.Glob(filepath.Join(p.temp, "*", "out-*")); len(left) != 1 {
		t.Fatalf("files of bans: %v", left)
	}
	next := p.start()
	for range 4 {
		client := p.dial()
		client.send(p.opening())
		if answer := client.line(); !strings.HasPrefix(answer, "BUSY") {
			t.Fatalf("answered %q while the only server is out", answer)
		}
	}
	for _, r := range []*process{old, next} {
		if _, figures := r.call(http.MethodGet, "/-/metrics"); !strings.Contains(figures, "edge_proxy.ejected:1|g") {
			t.Errorf("figures: %s", figures)
		}
	}
	if status, _ := next.call(http.MethodPost, "/-/servers/s-00000001/enable"); status != 200 {
		t.Fatalf("put back with %d", status)
	}
	p.eventually("back at both", func() bool {
		_, figures := old.call(http.MethodGet, "/-/metrics")
		return strings.Contains(figures, "edge_proxy.ejected:0|g")
	})
}

// A descriptor that is no listening socket of ours ends the start with a word of which key is at fault.
func TestInheritedSocketThatIsNoListenerOfOurs(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, l)
	other := duplicate(t, l.(*net.TCPListener))
	defer func() {
		if err := unix.Close(other); err != nil {
			t.Error(err)
		}
	}()
	for name, fd := range map[string]int{"closed": 1 << 15, "another address": other} {
		env := map[string]string{
			config.EnvInheritedSocket: strconv.Itoa(fd), config.EnvTempDir: t.TempDir(),
			config.EnvListen: freeAddr(t), config.EnvDiscovery: "127.0.0.1:1",
		}
		c, err := config.Parse(nil, func(k string) string { return env[k] })
		if err != nil {
			t.Fatal(err)
		}
		g, err := gateway.New(*c, gateway.WithLogger(slog.New(slog.DiscardHandler)))
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Run(context.Background()); err == nil || !strings.Contains(err.Error(), config.EnvInheritedSocket) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A process that is told to stop before another serves goes on taking what comes.
func TestStopBeforeTheSuccessorServes(t *testing.T) {
	p := newPlatform(t)
	old := p.start()
	held := p.dial()
	held.send(p.opening())
	p.serve(held) // or the stop would be over at once
	old.stop()
	p.eventually("stopping", func() bool { status, _ := old.call(http.MethodGet, "/-/ready"); return status == 503 })
	for range 10 {
		client := p.dial()
		client.send(p.opening())
		p.serve(client)
		client.close()
	}
	next := p.start()
	p.eventually("left to the next", func() bool {
		client := p.dial()
		client.send(p.opening())
		p.serve(client)
		client.close()
		return next.succeeded() >= 5
	})
	held.close() // the stop waits for it
}

// Guards against a successor that goes by an older list of its configuration, though the process before it has written a newer
// one: while discovery is away, it would send new requests to a server that has drained.
func TestSuccessorGoesByThePredecessorsNewerList(t *testing.T) {
	p := newPlatform(t)
	older, err := json.Marshal(discovery.EndpointList{Version: 1, Complete: true, Endpoints: []discovery.Endpoint{
		{ID: "s-00000001", Addr: p.server.l.Addr().String(), State: fakeserver.StateInService, Weight: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	old := p.startWithList(string(older))
	p.catalog.SetEndpoint(p.node(fakeserver.StateTerminating))
	p.eventually("known to the first process", p.catalog.IsListKnown)
	p.eventually("written for the next process", func() bool {
		reader := hotrestart.NewStateDir(old.stateDir, hotrestart.Process{StartedAt: math.MaxInt64}, slog.New(slog.DiscardHandler))
		snapshot, ok := reader.ReadPredecessor(time.Now())
		return ok && snapshot.State.Servers[0].State == balancer.Draining && snapshot.State.Version == 2
	})
	p.catalog.Close()
	p.startWithList(string(older))
	for range 12 { // each process takes some
		client := p.dial()
		client.send(p.opening())
		client.expectFinal("BUSY")
	}
}
