package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
)

var modes = []string{"pass", "proxy"}

// stopScenarios bring a client into a state before a shutdown. Each returns the checks that run once the shutdown has
// started.
var stopScenarios = map[string]func(t *testing.T, p *programProcess) (check func()){
	"idle client": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client := p.dial()
		return func() { client.expectFinalLine("BUSY") }
	},
	"opening line completed after the start of the shutdown": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client := p.dial()
		client.send("OPEN 77 0a c=c,")
		return func() {
			client.send("d=60000\r\n")
			server := p.server.accept()
			server.readLine()
			server.send("UP r\r\n")
			client.expectLine("UP r\r\n")
			client.expectFinalLine("MOVE")
			server.expectClosed()
		}
	},
	"opening line never completed": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client := p.dial()
		client.send("OPEN 77 0a c=c,")
		return func() { client.expectFinalLine("BUSY") }
	},
	"attempt without an answer": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client, server := p.request()
		return func() {
			client.expectFinalLine("BUSY")
			server.expectClosed()
		}
	},
	"attempt answered after the start of the shutdown": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client, server := p.request()
		return func() {
			server.send("UP r\r\n")
			client.expectLine("UP r\r\n")
			client.expectFinalLine("MOVE")
			server.expectClosed()
		}
	},
	"server's line half relayed": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client, server := p.open()
		server.send("M 1 ha")
		got := make([]byte, 6)
		if _, err := io.ReadFull(client.r, got); err != nil {
			t.Fatal(err)
		}
		return func() {
			server.send("lf\r\n")
			client.expectLine("lf\r\n")
			client.expectFinalLine("MOVE")
		}
	},
	"client's lines sent while the server's line is half relayed": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client, server := p.open()
		server.send("M 1 half")
		if _, err := io.ReadFull(client.r, make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
		return func() {
			client.send("M 1\r\nM 2\r\n")
			server.send("\r\n")
			client.expectLine("\r\n")
			client.expectFinalLine("MOVE")
		}
	},
	"client that reconnects at once": func(t *testing.T, p *programProcess) func() {
		t.Helper()
		client, _ := p.open()
		return func() {
			client.expectFinalLine("MOVE")
			for range 5 { // the platform still routes some new connections here at this time
				reconnected := p.dial()
				reconnected.send(strings.Replace(p.openLine(), "\r\n", ",again=1\r\n", 1))
				server := p.server.accept()
				server.readLine()
				server.send("UP r\r\n")
				reconnected.expectLine("UP r\r\n")
				defer reconnected.expectFinalLine("MOVE")
			}
		}
	},
}

// In proxy mode, connections end at the gateway. Whatever the state of a client at SIGTERM, it must get an answer, or MOVE
// between two lines, and then an orderly close. (The engine's tests check the times on a simulated clock.)
func TestStopCrossesClientsWhereConnectionsEndHere(t *testing.T) {
	for name, setUp := range stopScenarios {
		t.Run(name, func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy"})
			check := setUp(t, p)
			p.stop()
			check()
			p.expectExit()
		})
	}
}

// In pass mode, connections outlive the gateway. At a shutdown, pending requests must still be answered in time. The same
// holds for a client that completes its opening line after the shutdown has started.
func TestStopCrossesClientsWherePacketsPass(t *testing.T) {
	p := startProgram(t, programConfig{mode: "pass"})
	open, _ := p.open()
	unanswered, server := p.request()
	partial := p.dial()
	partial.send("OPEN 77 0a c=c,")
	p.stop()
	partial.send("d=60000\r\n")
	second := p.server.accept()
	second.readLine()
	second.send("UP r\r\n")
	partial.expectLine("UP r\r\n")
	unanswered.expectFinalLine("BUSY")
	server.expectClosed()
	open.close()
	partial.close()
	p.expectExit()
}

// Guards against requests that a shutdown leaves unanswered: a request that waits for a connection which is never
// established, one that waits for an endpoint list, and requests that are still in the kernel's accept queue when SIGTERM
// arrives.
func TestStopCrossesWhatIsNotUnderWay(t *testing.T) {
	for _, mode := range modes {
		t.Run(mode+", connecting", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: mode, addrs: []string{fullBacklogAddr(t)}})
			client := p.dial()
			client.send(p.openLine())
			p.stop()
			client.expectFinalLine("BUSY")
			p.expectExit()
		})
		t.Run(mode+", no endpoint list", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: mode, withoutList: true})
			client := p.dial()
			client.send(p.openLine())
			p.stop()
			client.expectFinalLine("BUSY")
			p.expectExit()
		})
		t.Run(mode+", not accepted yet", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: mode, withoutList: true})
			p.signal(syscall.SIGSTOP)
			var clients []*testConn
			for range 40 { // more than the gateway accepts before the engine has seen some of them
				client := p.dial()
				client.send(p.openLine())
				clients = append(clients, client)
			}
			p.signal(syscall.SIGTERM)
			p.signal(syscall.SIGCONT)
			for _, client := range clients {
				client.expectFinalLine("BUSY")
			}
			p.expectExit()
		})
	}
}

// SIGHUP with another discovery address and SIGTERM right after it must both take effect, even if discovery is unavailable.
func TestStopRightAfterAReload(t *testing.T) {
	for _, withoutList := range []bool{false, true} {
		t.Run(fmt.Sprint("without a list: ", withoutList), func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy", withoutList: withoutList})
			other := newFakeDiscovery(t, "")
			p.configure(other.addr)
			p.signal(syscall.SIGHUP)
			p.signal(syscall.SIGTERM)
			p.expectLog(`msg="shutdown started"`)
			idle := p.dial()
			idle.expectFinalLine("BUSY")
			p.expectExit()
		})
	}
}
