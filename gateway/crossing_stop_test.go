package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
)

var modes = []string{"pass", "proxy"}

// stopScenarios bring clients into a state before a shutdown, and return what is to be checked after its start.
var stopScenarios = map[string]func(t *testing.T, p *program) (after func()){
	"resting": func(t *testing.T, p *program) func() {
		t.Helper()
		client := p.dial()
		return func() { client.expectFinal("BUSY") }
	},
	"a line half read": func(t *testing.T, p *program) func() {
		t.Helper()
		client := p.dial()
		client.send("OPEN 77 0a c=c,")
		return func() {
			client.send("d=60000\r\n")
			server := p.server.accept()
			server.line()
			server.send("UP r\r\n")
			client.expect("UP r\r\n")
			client.expectFinal("MOVE")
			server.expectClosed()
		}
	},
	"a line never finished": func(t *testing.T, p *program) func() {
		t.Helper()
		client := p.dial()
		client.send("OPEN 77 0a c=c,")
		return func() { client.expectFinal("BUSY") }
	},
	"an attempt without an answer": func(t *testing.T, p *program) func() {
		t.Helper()
		client, server := p.request()
		return func() {
			client.expectFinal("BUSY")
			server.expectClosed()
		}
	},
	"an attempt answered later": func(t *testing.T, p *program) func() {
		t.Helper()
		client, server := p.request()
		return func() {
			server.send("UP r\r\n")
			client.expect("UP r\r\n")
			client.expectFinal("MOVE")
			server.expectClosed()
		}
	},
	"an answer half passed on": func(t *testing.T, p *program) func() {
		t.Helper()
		client, server := p.open()
		server.send("M 1 ha")
		got := make([]byte, 6)
		if _, err := io.ReadFull(client.r, got); err != nil {
			t.Fatal(err)
		}
		return func() {
			server.send("lf\r\n")
			client.expect("lf\r\n")
			client.expectFinal("MOVE")
		}
	},
	"unread lines of the client's": func(t *testing.T, p *program) func() {
		t.Helper()
		client, server := p.open()
		server.send("M 1 half")
		if _, err := io.ReadFull(client.r, make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
		return func() {
			client.send("M 1\r\nM 2\r\n")
			server.send("\r\n")
			client.expect("\r\n")
			client.expectFinal("MOVE")
		}
	},
	"a client that returns at once": func(t *testing.T, p *program) func() {
		t.Helper()
		client, _ := p.open()
		return func() {
			client.expectFinal("MOVE")
			for range 5 { // in the time in which the platform still sends some here
				again := p.dial()
				again.send(strings.Replace(p.line(), "\r\n", ",again=1\r\n", 1))
				server := p.server.accept()
				server.line()
				server.send("UP r\r\n")
				again.expect("UP r\r\n")
				defer again.expectFinal("MOVE")
			}
		}
	},
}

// Where connections end at the gateway, SIGTERM in any state of a client ends in an answer, or in MOVE between two lines,
// and in an orderly end. (How soon, the engine's tests say on a clock of their own.)
func TestStopCrossesClientsWhereConnectionsEndHere(t *testing.T) {
	for name, play := range stopScenarios {
		t.Run(name, func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy"})
			after := play(t, p)
			p.stop()
			after()
			p.expectExit()
		})
	}
}

// Where packets pass through, what waits at a stop is answered in time all the same, and who rests too.
func TestStopCrossesClientsWherePacketsPass(t *testing.T) {
	p := startProgram(t, programConfig{mode: "pass"})
	open, _ := p.open()
	hung, server := p.request()
	half := p.dial()
	half.send("OPEN 77 0a c=c,")
	p.stop()
	half.send("d=60000\r\n")
	second := p.server.accept()
	second.line()
	second.send("UP r\r\n")
	half.expect("UP r\r\n")
	hung.expectFinal("BUSY")
	server.expectClosed()
	open.close()
	half.close()
	p.expectExit()
}

// A request that waits for a connection that does not come up, or for a list, is answered at a stop; as is each in the
// kernel's queue, when the signal comes first.
func TestStopCrossesWhatIsNotUnderWay(t *testing.T) {
	for _, mode := range modes {
		t.Run(mode+", connecting", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: mode, addrs: []string{crowdedAddr(t)}})
			client := p.dial()
			client.send(p.line())
			p.stop()
			client.expectFinal("BUSY")
			p.expectExit()
		})
		t.Run(mode+", no list", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: mode, withoutList: true})
			client := p.dial()
			client.send(p.line())
			p.stop()
			client.expectFinal("BUSY")
			p.expectExit()
		})
		t.Run(mode+", not accepted yet", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: mode, withoutList: true})
			p.signal(syscall.SIGSTOP)
			var clients []*testConn
			for range 40 { // more than are accepted before the engine has seen some
				client := p.dial()
				client.send(p.line())
				clients = append(clients, client)
			}
			p.signal(syscall.SIGTERM)
			p.signal(syscall.SIGCONT)
			for _, client := range clients {
				client.expectFinal("BUSY")
			}
			p.expectExit()
		})
	}
}

// SIGHUP to another address and SIGTERM right behind it are both acted on, with discovery away too.
func TestStopRightAfterAReload(t *testing.T) {
	for _, withoutList := range []bool{false, true} {
		t.Run(fmt.Sprint("without a list ", withoutList), func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy", withoutList: withoutList})
			other := newFakeDiscovery(t, "")
			p.configure(other.addr)
			p.signal(syscall.SIGHUP)
			p.signal(syscall.SIGTERM)
			p.expectLog(`msg="shutdown started"`)
			rests := p.dial()
			rests.expectFinal("BUSY")
			p.expectExit()
		})
	}
}
