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

// testGateway is a gateway that runs in the test's process in front of one scripted server, on a port that the kernel picks.
type testGateway struct {
	t              *testing.T
	addr           string
	server         *scriptedServer
	stop           context.CancelFunc
	done           chan error
	discoveryCalls atomic.Int32
	opens          atomic.Int32
}

func startGateway(t *testing.T, mode string) *testGateway {
	t.Helper()
	t.Parallel()
	h := &testGateway{t: t, server: newScriptedServer(t), done: make(chan error, 1)}
	list := fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s-00000001","addr":%q,"state":"in_service","weight":1}]}`,
		h.server.l.Addr())
	stopDiscovery := make(chan struct{})
	discoveryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.discoveryCalls.Add(1) > 1 { // the list has not changed
			select {
			case <-stopDiscovery:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, list) // the gateway may have disconnected
	}))
	t.Cleanup(discoveryServer.Close)
	t.Cleanup(func() { close(stopDiscovery) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = l.Addr().String()
	closeAll(t, l)
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"settings":{"caps":{"max_attempts":2,"retry_after":true,
	 "max_retry_after_ns":1000000000},"discovery":"ask","family_info":{"mode":%q},
	 "classes":[{"name":"c","effect":"idempotent","group":"all","give_up_ns":100000000,"slo_ns":90000000000}]}}`,
		h.addr, strings.TrimPrefix(discoveryServer.URL, "http://"), mode)
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

// waitReady waits until the gateway answers PING with PONG, which means that it can serve requests.
func (h *testGateway) waitReady() {
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			continue
		}
		e := newTestConn(h.t, c)
		e.send("PING\r\n")
		answer := e.readLine()
		e.close()
		if answer == "PONG\r\n" {
			return
		}
	}
	h.t.Fatal("the gateway did not become ready")
}

func (h *testGateway) dial() *testConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	return newTestConn(h.t, c)
}

// open establishes a connection through the gateway and returns both ends.
func (h *testGateway) open() (client, server *testConn) {
	h.t.Helper()
	client = h.dial()
	client.send(fmt.Sprintf("OPEN 1%d 0a c=c,d=60000,x=1\r\n", h.opens.Add(1)))
	server = h.server.accept()
	server.readLine()
	server.send("UP r1\r\n")
	client.expectLine("UP r1\r\n")
	return client, server
}

func TestLinesAndOrderlyCloseAreRelayed(t *testing.T) {
	h := startGateway(t, "pass")
	client, server := h.open()
	client.send("M 1\r\nM 2\r\n")
	server.expectLine("M 1\r\n")
	server.expectLine("M 2\r\n")
	server.send("M 1 a\r\nLOAD 5\r\nBYE\r\n")
	server.close()
	client.expectLine("M 1 a\r\n")
	client.expectLine("LOAD 5\r\n")
	client.expectLine("BYE\r\n")
	if err := client.awaitClose(); err != nil {
		t.Errorf("the client's connection closed with %v, want an orderly close", err)
	}
}

// A reset by either side must reach the other side as a reset, and an orderly close as an orderly close.
func TestResetsAreRelayedAsResets(t *testing.T) {
	h := startGateway(t, "pass")
	client, server := h.open()
	server.reset()
	if client.awaitClose() == nil {
		t.Error("the client's connection closed in order, want a reset")
	}
	client, server = h.open()
	client.reset()
	if server.awaitClose() == nil {
		t.Error("the server's connection closed in order, want a reset")
	}
	client, server = h.open()
	client.close()
	if err := server.awaitClose(); err != nil {
		t.Errorf("the server's connection closed with %v, want an orderly close", err)
	}
}

// Lines may arrive in pieces of any size. The opening line must be relayed unchanged except for the value of d.
func TestSplitLines(t *testing.T) {
	h := startGateway(t, "pass")
	client := h.dial()
	for _, piece := range []string{"O", "PEN 02 0a c=c,d=6", "0000,z=9\r", "\n"} {
		client.send(piece)
	}
	server := h.server.accept()
	got := server.readLine()
	if !strings.HasPrefix(got, "OPEN 02 0a c=c,d=") || !strings.HasSuffix(got, ",z=9\r\n") {
		t.Errorf("the server got %q, want the opening line with another value of d", got)
	}
	server.send("U")
	server.send("P r2\r\nM 0")
	client.expectLine("UP r2\r\n")
	client.send("M 1\r\nM")
	server.expectLine("M 1\r\n")
	client.send(" 2\r\n")
	server.expectLine("M 2\r\n")
	server.send("\r\n")
	client.expectLine("M 0\r\n")
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
		client.expectLine("ERR\r\n")
		if client.awaitClose() != nil {
			t.Logf("%.20q: the connection was reset, because not all of the line had been read", line)
		}
	}
}

// A client that sends a line before it has received UP violates the protocol: it must get ERR, and its attempt must be
// closed.
func TestLineBeforeUPEndsTheRequest(t *testing.T) {
	h := startGateway(t, "pass")
	client := h.dial()
	client.send("OPEN 04 0a c=c,d=60000\r\n")
	server := h.server.accept()
	server.readLine()
	client.send("OPEN 05 0a c=c,d=60000\r\n")
	client.expectLine("ERR\r\n")
	server.expectClosed()
}

// Each request must get exactly one answer, whatever the server answers to its attempts.
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
				_, _ = server.r.ReadString('\n') // the attempt may have been cancelled
				server.trySend(answer)
				server.close()
			case got = <-answered:
				if !strings.HasPrefix(got, "BUSY ") {
					t.Fatalf("the server sent %.20q: the client got %q, want BUSY", answer, got)
				}
			}
		}
		if err := client.awaitClose(); err != nil {
			t.Errorf("the server sent %.20q: the client's connection closed with %v, want an orderly close", answer, err)
		}
	}
}

// In proxy mode, a shutdown must send MOVE to each client between two lines, not within one.
func TestShutdownMovesClientsBetweenLines(t *testing.T) {
	h := startGateway(t, "proxy")
	client, server := h.open()
	server.send("half")
	if b := make([]byte, 4); func() error { _, err := io.ReadFull(client.r, b); return err }() != nil {
		t.Fatal("the first half of the line did not arrive")
	}
	whole, _ := h.open()
	h.stop()
	whole.expectLine("MOVE\r\n")
	server.send(" and half\r\n")
	client.expectLine(" and half\r\n")
	client.expectLine("MOVE\r\n")
	if err := client.awaitClose(); err != nil {
		t.Errorf("the client's connection closed with %v, want an orderly close", err)
	}
	server.expectClosed()
}
