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

// processManager owns the clients' listening socket and starts successive processes of one gateway, which inherit it. The
// "processes" are gateways within the test's process.
type processManager struct {
	t        *testing.T
	listener *net.TCPListener
	server   *scriptedServer
	catalog  *fakeserver.Catalog
	tempDir  string
	opens    int
}

// gatewayProcess is one of the processes that a processManager starts.
type gatewayProcess struct {
	admin    string
	stateDir string
	stop     context.CancelFunc
	done     chan error
}

func newPlatform(t *testing.T) *processManager {
	t.Helper()
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(t, l) })
	p := &processManager{t: t, listener: l.(*net.TCPListener), server: newScriptedServer(t), tempDir: t.TempDir()}
	if p.catalog, err = fakeserver.NewCatalog(p.endpoint(fakeserver.StateInService)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.catalog.Close)
	return p
}

func (p *processManager) endpoint(state string) fakeserver.Endpoint {
	return fakeserver.Endpoint{ID: "s-00000001", Addr: p.server.l.Addr().String(), State: state, Weight: 1}
}

// control calls do with the descriptor of a listener.
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

func (p *processManager) start() *gatewayProcess {
	p.t.Helper()
	return p.startWithList("null")
}

// startWithList starts a process whose configuration holds an endpoint list, given as JSON.
func (p *processManager) startWithList(known string) *gatewayProcess {
	p.t.Helper()
	fd := duplicate(p.t, p.listener)
	r := &gatewayProcess{admin: reserveAddr(p.t), done: make(chan error, 1)}
	env := map[string]string{config.EnvInheritedSocket: strconv.Itoa(fd), config.EnvTempDir: p.tempDir, config.EnvAdmin: r.admin}
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
	p.eventually("the process is ready", func() bool { status, _ := r.request(http.MethodGet, "/-/ready"); return status == 200 })
	return r
}

func (p *processManager) eventually(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("timed out waiting for the condition: " + what)
		}
	}
}

func (r *gatewayProcess) request(method, path string) (status int, body string) {
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

// succeededCount returns the metric of succeeded requests of the class, or -1 if it cannot be read.
func (r *gatewayProcess) succeededCount() int {
	_, metricsPage := r.request(http.MethodGet, "/-/metrics")
	_, rest, found := strings.Cut(metricsPage, "succeeded.c:")
	digits, _, _ := strings.Cut(rest, "|")
	n, err := strconv.Atoi(digits)
	if !found || err != nil {
		return -1
	}
	return n
}

func (p *processManager) dial() *testConn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	return newTestConn(p.t, c)
}

func (p *processManager) openLine() string {
	p.opens++
	return fmt.Sprintf("OPEN 2%d 0a c=c,d=60000\r\n", p.opens)
}

func (p *processManager) serve(client *testConn) {
	p.t.Helper()
	server := p.server.accept()
	server.readLine()
	server.send("UP r\r\n")
	client.expectLine("UP r\r\n")
}

// Guards against connections that a hot restart loses. Every new connection must be served, and the old process must keep
// and serve those that it has accepted, including the ones whose opening line it has read only in part.
func TestNoConnectionIsLostInAHotRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.start()
	var partial []*testConn
	for range 4 {
		partial = append(partial, p.dial())
		partial[len(partial)-1].send("OPEN 9" + strconv.Itoa(len(partial)) + " 0a c=c,")
	}
	next := p.start()
	for i := range 40 {
		if i == 20 {
			old.stop()
			p.eventually("the old process is not ready", func() bool { status, _ := old.request(http.MethodGet, "/-/ready"); return status != 200 })
		}
		client := p.dial()
		client.send(p.openLine())
		p.serve(client)
		client.close()
	}
	for _, client := range partial {
		client.send("d=60000\r\n")
		p.serve(client)
	}
	if status, _ := next.request(http.MethodGet, "/-/ready"); status != 200 {
		t.Errorf("the new process answers /-/ready with %d, want 200", status)
	}
	listens := 0
	control(t, p.listener, func(fd int) (err error) {
		listens, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
		return err
	})
	if listens == 0 {
		t.Error("the shared socket no longer listens")
	}
}

// Maintenance mode must survive a hot restart, and either process must be able to end it.
func TestMaintenanceHoldsAcrossAHotRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.start()
	if status, _ := old.request(http.MethodPost, "/-/servers/s-00000002/disable"); status != 404 {
		t.Errorf("disable of a server that was never listed: status %d, want 404", status)
	}
	if status, _ := old.request(http.MethodPost, "/-/servers/s-00000001/disable"); status != 200 {
		t.Fatalf("disable: status %d, want 200", status)
	}
	if files, _ := filepath.Glob(filepath.Join(p.tempDir, "*", "out-*")); len(files) != 1 {
		t.Fatalf("got the maintenance files %v, want one", files)
	}
	next := p.start()
	for range 4 {
		client := p.dial()
		client.send(p.openLine())
		if answer := client.readLine(); !strings.HasPrefix(answer, "BUSY") {
			t.Fatalf("got the answer %q while the only server is in maintenance mode, want BUSY", answer)
		}
	}
	for _, r := range []*gatewayProcess{old, next} {
		if _, metricsPage := r.request(http.MethodGet, "/-/metrics"); !strings.Contains(metricsPage, "edge_proxy.ejected:1|g") {
			t.Errorf("got the metrics page\n%s\nwant one ejected server", metricsPage)
		}
	}
	if status, _ := next.request(http.MethodPost, "/-/servers/s-00000001/enable"); status != 200 {
		t.Fatalf("enable: status %d, want 200", status)
	}
	p.eventually("the server is back in service at the old process", func() bool {
		_, metricsPage := old.request(http.MethodGet, "/-/metrics")
		return strings.Contains(metricsPage, "edge_proxy.ejected:0|g")
	})
}

// If the inherited descriptor is not a socket that listens at the configured address, Run must fail with an error that names
// the environment variable.
func TestInvalidInheritedSocketFailsTheStart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, l)
	otherListener := duplicate(t, l.(*net.TCPListener))
	defer func() {
		if err := unix.Close(otherListener); err != nil {
			t.Error(err)
		}
	}()
	for name, fd := range map[string]int{"closed": 1 << 15, "another address": otherListener} {
		env := map[string]string{
			config.EnvInheritedSocket: strconv.Itoa(fd), config.EnvTempDir: t.TempDir(),
			config.EnvListen: reserveAddr(t), config.EnvDiscovery: "127.0.0.1:1",
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
			t.Errorf("%s: Run returned %v, want an error that names the environment variable", name, err)
		}
	}
}

// A process that is told to stop before its successor serves must keep accepting new connections until then.
func TestStopBeforeTheSuccessorServes(t *testing.T) {
	p := newPlatform(t)
	old := p.start()
	open := p.dial()
	open.send(p.openLine())
	p.serve(open) // keeps the process from ending at once
	old.stop()
	p.eventually("the old process is stopping", func() bool { status, _ := old.request(http.MethodGet, "/-/ready"); return status == 503 })
	for range 10 {
		client := p.dial()
		client.send(p.openLine())
		p.serve(client)
		client.close()
	}
	next := p.start()
	p.eventually("the successor serves new connections", func() bool {
		client := p.dial()
		client.send(p.openLine())
		p.serve(client)
		client.close()
		return next.succeededCount() >= 5
	})
	open.close() // the old process ends only after this connection is closed
}

// Guards against a successor that uses the older endpoint list of its configuration although its predecessor has written a
// newer one. While discovery is unavailable, such a successor would send new requests to a server that has drained.
func TestSuccessorGoesByThePredecessorsNewerList(t *testing.T) {
	p := newPlatform(t)
	older, err := json.Marshal(discovery.EndpointList{Version: 1, Complete: true, Endpoints: []discovery.Endpoint{
		{ID: "s-00000001", Addr: p.server.l.Addr().String(), State: fakeserver.StateInService, Weight: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	old := p.startWithList(string(older))
	p.catalog.SetEndpoint(p.endpoint(fakeserver.StateTerminating))
	p.eventually("the first process has the new list", p.catalog.IsListKnown)
	p.eventually("the first process has written the new list for its successor", func() bool {
		reader := hotrestart.NewStateDir(old.stateDir, hotrestart.Process{StartedAt: math.MaxInt64}, slog.New(slog.DiscardHandler))
		snapshot, ok := reader.ReadPredecessor(time.Now())
		return ok && snapshot.State.Servers[0].State == balancer.Draining && snapshot.State.Version == 2
	})
	p.catalog.Close()
	p.startWithList(string(older))
	for range 12 { // enough for each process to accept some
		client := p.dial()
		client.send(p.openLine())
		client.expectFinalLine("BUSY")
	}
}
