package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
)

// testGateway runs a gateway in front of one scripted server, on a port that the kernel picks.
type testGateway struct {
	t      *testing.T
	addr   string
	server *scriptedServer
	stop   context.CancelFunc
	done   chan error
	calls  atomic.Int32
	opens  atomic.Int32
}

func startGateway(t *testing.T, mode string) *testGateway {
	t.Helper()
	t.Parallel()
	h := &testGateway{t: t, server: newScriptedServer(t), done: make(chan error, 1)}
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
		_, _ = io.WriteString(w, list) // the gateway may have gone
	}))
	t.Cleanup(disco.Close)
	t.Cleanup(func() { close(quit) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = l.Addr().String()
	closeAll(t, l)
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
		case <-time.After(testTimeout):
			t.Error("the gateway did not stop")
		}
	})
	h.waitReady()
	return h
}

// waitReady waits until PING is answered with PONG, which says that requests can be served.
func (h *testGateway) waitReady() {
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			continue
		}
		e := newTestConn(h.t, c)
		e.send("PING\r\n")
		answer := e.line()
		e.close()
		if answer == "PONG\r\n" {
			return
		}
	}
	h.t.Fatal("never ready")
}

func (h *testGateway) dial() *testConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	return newTestConn(h.t, c)
}

// open sets a connection up through the gateway.
func (h *testGateway) open() (client, server *testConn) {
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
	h := startGateway(t, "pass")
	client, server := h.open()
	client.send("M 1\r\nM 2\r\n")
	server.expect("M 1\r\n")
	server.expect("M 2\r\n")
	server.send("M 1 a\r\nLOAD 5\r\nBYE\r\n")
	server.close()
	client.expect("M 1 a\r\n")
	client.expect("LOAD 5\r\n")
	client.expect("BYE\r\n")
	if err := client.closeError(); err != nil {
		t.Errorf("an orderly end came as %v", err)
	}
}

// A reset is passed on as a reset, from either side.
func TestResetsPassAsResets(t *testing.T) {
	h := startGateway(t, "pass")
	client, server := h.open()
	server.reset()
	if client.closeError() == nil {
		t.Error("the client saw an orderly end")
	}
	client, server = h.open()
	client.reset()
	if server.closeError() == nil {
		t.Error("the server saw an orderly end")
	}
	client, server = h.open()
	client.close()
	if err := server.closeError(); err != nil {
		t.Errorf("the server saw %v", err)
	}
}

// Lines may come in any pieces, and the first is passed on but for d.
func TestSplitLines(t *testing.T) {
	h := startGateway(t, "pass")
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

func TestInvalidFirstLinesAreAnsweredERR(t *testing.T) {
	h := startGateway(t, "pass")
	for _, line := range []string{
		"HELLO\r\n", "OPEN\r\n", "OPEN a b d=x\r\n", "\r\n", strings.Repeat("x", 5000),
		"OPEN a b c=" + strings.Repeat("x", 5000) + "\r\n", strings.Repeat("PING\r\n", 300),
		strings.Repeat("OPEN a b c=c,d=9000\r\n", 100), "OPEN a b c=none,d=9000\r\n", "OPEN a b\r\n",
	} {
		client := h.dial()
		client.send(line)
		client.expect("ERR\r\n")
		if client.closeError() != nil {
			t.Logf("%.20q: what was not read made the end a reset", line)
		}
	}
}

// A client that does not wait for UP is no client: its attempt is closed before any server has served it.
func TestMoreBeforeUpEndsTheRequest(t *testing.T) {
	h := startGateway(t, "pass")
	client := h.dial()
	client.send("OPEN 04 0a c=c,d=60000\r\n")
	server := h.server.accept()
	server.line()
	client.send("OPEN 05 0a c=c,d=60000\r\n")
	client.expect("ERR\r\n")
	server.expectClosed()
}

// Each taken request has one answer, whatever its server does with the attempts that the rules make.
func TestEachRequestHasOneAnswer(t *testing.T) {
	h := startGateway(t, "pass")
	for _, answer := range []string{
		"BUSY\r\n", "ERR\r\n", "", "NONSENSE\r\n", "MOVE\r\n", "BUSY inflight=7\r\n",
		strings.Repeat("x", 5000),
	} {
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
				_, _ = server.r.ReadString('\n') // an attempt may have been cancelled
				server.trySend(answer)
				server.close()
			case got = <-answered:
				if !strings.HasPrefix(got, "BUSY ") {
					t.Fatalf("after %.20q answered %q", answer, got)
				}
			}
		}
		if err := client.closeError(); err != nil {
			t.Errorf("after %.20q ended with %v", answer, err)
		}
	}
}

// Where connections end at the gateway a planned stop moves each, between two lines.
func TestStopMovesBetweenLines(t *testing.T) {
	h := startGateway(t, "proxy")
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
	if err := client.closeError(); err != nil {
		t.Errorf("ended with %v", err)
	}
	server.expectClosed()
}
