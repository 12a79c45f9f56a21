package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
)

// patience is how long a test waits for what must come. Nothing that passes waits for so long.
const patience = 20 * time.Second

// peer is a scripted server: each connection is handed to the test.
type peer struct {
	t     *testing.T
	l     net.Listener
	conns chan *end
}

// end is one end of a connection.
type end struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func newEnd(t *testing.T, c net.Conn) *end {
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &end{t, c, bufio.NewReader(c)}
}

func (e *end) send(s string) {
	e.t.Helper()
	if _, err := io.WriteString(e.c, s); err != nil {
		e.t.Fatal(err)
	}
}

func (e *end) line() string {
	e.t.Helper()
	s, err := e.r.ReadString('\n')
	if err != nil {
		e.t.Fatalf("%q, then %v", s, err)
	}
	return s
}

func (e *end) expect(want string) {
	e.t.Helper()
	if got := e.line(); got != want {
		e.t.Fatalf("got %q, want %q", got, want)
	}
}

// ends reads up to the end of the connection and returns how it ended.
func (e *end) ends() error {
	e.t.Helper()
	b, err := io.ReadAll(e.r)
	if len(b) > 0 {
		e.t.Errorf("%q came before the end", b)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e.t.Error("it never ended")
	}
	return err
}

func newPeer(t *testing.T) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{t, l, make(chan *end, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns <- newEnd(t, c)
		}
	}()
	return p
}

func (p *peer) accept() *end {
	p.t.Helper()
	select {
	case e := <-p.conns:
		return e
	case <-time.After(patience):
		p.t.Fatal("no connection came")
		return nil
	}
}

// host runs a gateway in front of one scripted server, on a port that the kernel picks.
type host struct {
	t      *testing.T
	addr   string
	server *peer
	stop   context.CancelFunc
	done   chan error
	calls  atomic.Int32
	opens  atomic.Int32
}

func start(t *testing.T, mode string) *host {
	t.Parallel()
	h := &host{t: t, server: newPeer(t), done: make(chan error, 1)}
	list := fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s-00000001","addr":%q,"state":"in_service","weight":1}]}`,
		h.server.l.Addr())
	quit := make(chan struct{})
	disco := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.calls.Add(1) > 1 { // nothing is new
			select {
			case <-quit:
			case <-r.Context().Done():
			}
		}
		io.WriteString(w, list)
	}))
	t.Cleanup(disco.Close)
	t.Cleanup(func() { close(quit) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = l.Addr().String()
	l.Close()
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"settings":{"caps":{"max_attempts":2,"retry_after":true,
	 "max_retry_after_ns":1000000000},"discovery":"ask","family_info":{"mode":%q},
	 "classes":[{"name":"c","effect":"idempotent","group":"all","give_up_ns":100000000,"slo_ns":90000000000}]}}`,
		h.addr, strings.TrimPrefix(disco.URL, "http://"), mode)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	g, err := gateway.New(*c, gateway.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() { h.done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-h.done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(patience):
			t.Error("the gateway did not stop")
		}
	})
	h.ready()
	return h
}

// ready waits until PING is answered with PONG, which says that requests can be served.
func (h *host) ready() {
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			continue
		}
		e := newEnd(h.t, c)
		e.send("PING\r\n")
		answer := e.line()
		c.Close()
		if answer == "PONG\r\n" {
			return
		}
	}
	h.t.Fatal("never ready")
}

func (h *host) dial() *end {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	return newEnd(h.t, c)
}

// open sets a connection up through the gateway.
func (h *host) open() (client, server *end) {
	h.t.Helper()
	client = h.dial()
	client.send(fmt.Sprintf("OPEN 1%d 0a c=c,d=60000,x=1\r\n", h.opens.Add(1)))
	server = h.server.accept()
	server.line()
	server.send("UP r1\r\n")
	client.expect("UP r1\r\n")
	return client, server
}

func TestLinesPassBothWaysAndTheEndFollows(t *testing.T) {
	h := start(t, "pass")
	client, server := h.open()
	client.send("M 1\r\nM 2\r\n")
	server.expect("M 1\r\n")
	server.expect("M 2\r\n")
	server.send("M 1 a\r\nLOAD 5\r\nBYE\r\n")
	server.c.Close()
	client.expect("M 1 a\r\n")
	client.expect("LOAD 5\r\n")
	client.expect("BYE\r\n")
	if err := client.ends(); err != nil {
		t.Errorf("an orderly end came as %v", err)
	}
}

// A reset is passed on as a reset, from either side.
func TestResetsPassAsResets(t *testing.T) {
	h := start(t, "pass")
	client, server := h.open()
	server.c.(*net.TCPConn).SetLinger(0)
	server.c.Close()
	if client.ends() == nil {
		t.Error("the client saw an orderly end")
	}
	client, server = h.open()
	client.c.(*net.TCPConn).SetLinger(0)
	client.c.Close()
	if server.ends() == nil {
		t.Error("the server saw an orderly end")
	}
	client, server = h.open()
	client.c.Close()
	if err := server.ends(); err != nil {
		t.Errorf("the server saw %v", err)
	}
}

// Lines may come in any pieces, and the first is passed on but for d.
func TestSplitLines(t *testing.T) {
	h := start(t, "pass")
	client := h.dial()
	for _, piece := range []string{"O", "PEN 02 0a c=c,d=6", "0000,z=9\r", "\n"} {
		client.send(piece)
	}
	server := h.server.accept()
	got := server.line()
	if !strings.HasPrefix(got, "OPEN 02 0a c=c,d=") || !strings.HasSuffix(got, ",z=9\r\n") {
		t.Errorf("passed on as %q", got)
	}
	server.send("U")
	server.send("P r2\r\nM 0")
	client.expect("UP r2\r\n")
	client.send("M 1\r\nM")
	server.expect("M 1\r\n")
	client.send(" 2\r\n")
	server.expect("M 2\r\n")
	server.send("\r\n")
	client.expect("M 0\r\n")
}

func TestFirstLinesThatAreNone(t *testing.T) {
	h := start(t, "pass")
	for _, line := range []string{"HELLO\r\n", "OPEN\r\n", "OPEN a b d=x\r\n", "\r\n", strings.Repeat("x", 5000),
		"OPEN a b c=" + strings.Repeat("x", 5000) + "\r\n", strings.Repeat("PING\r\n", 300),
		strings.Repeat("OPEN a b c=c,d=9000\r\n", 100), "OPEN a b c=none,d=9000\r\n", "OPEN a b\r\n"} {
		client := h.dial()
		client.send(line)
		client.expect("ERR\r\n")
		if client.ends() != nil {
			t.Logf("%.20q: what was not read made the end a reset", line)
		}
	}
}

// A client that does not wait for UP is no client: its attempt is closed before any server has served it.
func TestMoreBeforeUpEndsTheRequest(t *testing.T) {
	h := start(t, "pass")
	client := h.dial()
	client.send("OPEN 04 0a c=c,d=60000\r\n")
	server := h.server.accept()
	server.line()
	client.send("OPEN 05 0a c=c,d=60000\r\n")
	client.expect("ERR\r\n")
	server.ends()
}

// Each taken request has one answer, whatever its server does with the attempts that the rules make.
func TestEachRequestHasOneAnswer(t *testing.T) {
	h := start(t, "pass")
	for _, answer := range []string{"BUSY\r\n", "ERR\r\n", "", "NONSENSE\r\n", "MOVE\r\n", "BUSY inflight=7\r\n",
		strings.Repeat("x", 5000)} {
		client := h.dial()
		client.send("OPEN 03 0a c=c,d=60000\r\n")
		answered := make(chan string)
		go func() {
			s, _ := client.r.ReadString('\n')
			answered <- s
		}()
		for got := ""; got == ""; {
			select {
			case server := <-h.server.conns:
				server.r.ReadString('\n')
				io.WriteString(server.c, answer)
				server.c.Close()
			case got = <-answered:
				if !strings.HasPrefix(got, "BUSY ") {
					t.Fatalf("after %.20q answered %q", answer, got)
				}
			}
		}
		if err := client.ends(); err != nil {
			t.Errorf("after %.20q ended with %v", answer, err)
		}
	}
}

// Where connections end at the gateway a planned stop moves each, between two lines.
func TestStopMovesBetweenLines(t *testing.T) {
	h := start(t, "proxy")
	client, server := h.open()
	server.send("half")
	if b := make([]byte, 4); func() error { _, err := io.ReadFull(client.r, b); return err }() != nil {
		t.Fatal("the half line did not come")
	}
	whole, _ := h.open()
	h.stop()
	whole.expect("MOVE\r\n")
	server.send(" and half\r\n")
	client.expect(" and half\r\n")
	client.expect("MOVE\r\n")
	if err := client.ends(); err != nil {
		t.Errorf("ended with %v", err)
	}
	server.ends()
}
