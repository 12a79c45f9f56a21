package gateway_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// descriptors is how many the program holds.
func (p *program) descriptors() int {
	p.t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(all)
}

// Idle clients by the hundred, many more than there are descriptors, while discovery tells nobody: the program keeps its
// limit, who is closed is told BUSY, and once discovery is back it is asked, servers are reached and clients served.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) {
	const sockets, clients = 128, 400
	p := startProgram(t, programConfig{mode: "pass", withoutList: true, sockets: sockets})
	most := 0
	var idle []*testConn
	for i := range clients {
		idle = append(idle, p.dial())
		if i%7 == 0 { // some do ask
			idle[i].send(p.line())
		}
		most = max(most, p.descriptors())
	}
	for i, e := range idle {
		if i%7 == 0 {
			e.expectFinal("BUSY")
		}
	}
	p.service.set(listOf(1, p.config.addrs...))
	(&testGateway{t: t, addr: p.addr}).waitReady()
	for range 10 {
		client, server := p.open()
		client.send("M 1\r\n")
		server.expect("M 1\r\n")
		most = max(most, p.descriptors())
	}
	if most > sockets {
		t.Errorf("%d descriptors, %d are allowed", most, sockets)
	}
	for i, e := range idle {
		if i%7 != 0 {
			e.expectFinal("BUSY")
		}
	}
}

// A flood of clients that come and go at once, some with much that nobody asked for, leaves nothing behind.
func TestAFloodLeavesNothingBehind(t *testing.T) {
	p := startProgram(t, programConfig{mode: "pass", sockets: 128})
	before := p.descriptors()
	junk := make([]byte, 64<<10)
	for i := range 600 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		switch i % 4 {
		case 0:
			_, _ = c.Write(junk) // it may be cut off
		case 1:
			_, _ = c.Write([]byte(p.line()))
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
		case 2:
			_, _ = c.Write([]byte("OPEN 1 "))
		}
		closeAll(t, c)
	}
	client, line := p.dial(), p.line()
	client.send(line)
	server := p.server.accept()
	for { // attempts for clients that left at once may have come up before
		if got, _ := server.r.ReadString('\n'); strings.HasPrefix(got, line[:10]) {
			break
		}
		server = p.server.accept()
	}
	server.send("UP r\r\n")
	client.expect("UP r\r\n")
	client.close()
	server.expectClosed()
	for end := time.Now().Add(testTimeout); p.descriptors() > before+2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d descriptors are left of %d", p.descriptors(), before)
		}
	}
}

// sampleDescriptors counts the program's descriptors without a pause, until the function that it returns is called, which
// returns the highest count.
func (p *program) sampleDescriptors() (stop func() int) {
	directory := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	done, highest := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			select {
			case <-done:
				highest <- most
				return
			default:
			}
			all, err := os.ReadDir(directory)
			if err == nil { // else the program has ended
				most = max(most, len(all))
			}
		}
	}()
	return func() int {
		close(done)
		return <-highest
	}
}

// dialWhileStopped has clients connect while the program is off the processor.
func (p *program) dialWhileStopped(clients int) {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for i := range clients {
		c := p.dial()
		if i%2 == 0 {
			c.send("OPEN 1 half a li")
		}
	}
	p.signal(syscall.SIGCONT)
}

// Guards against descriptors over the limit, at which neither servers nor discovery can be dialed: hundreds of clients
// connect while the program is off the processor, as on a busy machine, again and again, and amid its shutdown.
func TestBurstsKeepTheDescriptorLimit(t *testing.T) {
	const sockets, clients, bursts = 128, 300, 4
	for _, mode := range []string{"pass", "proxy"} {
		t.Run(mode, func(t *testing.T) {
			p := startProgram(t, programConfig{mode: mode, sockets: sockets})
			stop := p.sampleDescriptors()
			for range bursts {
				p.dialWhileStopped(clients)
				client, server := p.open()
				client.send("M 1\r\n")
				server.expect("M 1\r\n")
			}
			p.stop()
			p.dialWhileStopped(clients)
			p.expectExit()
			highest := stop()
			t.Logf("%d descriptors were open at most, %d are allowed", highest, sockets)
			if highest > sockets {
				t.Error("descriptors over the limit")
			}
		})
	}
}
