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

// descriptorCount returns the number of descriptors that the program has open.
func (p *programProcess) descriptorCount() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// Guards against idle clients that use up the descriptors. Hundreds of clients connect, many more than there are
// descriptors, while discovery returns no list. The program must stay within its limit and answer BUSY to each client that
// it closes. Once discovery is available again, the program must poll it, reach servers and serve clients.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) {
	const sockets, clients = 128, 400
	p := startProgram(t, programConfig{mode: "pass", withoutList: true, sockets: sockets})
	most := 0
	var idle []*testConn
	for i := range clients {
		idle = append(idle, p.dial())
		if i%7 == 0 { // some clients send a request
			idle[i].send(p.openLine())
		}
		most = max(most, p.descriptorCount())
	}
	for i, e := range idle {
		if i%7 == 0 {
			e.expectFinalLine("BUSY")
		}
	}
	p.discovery.set(endpointListJSON(1, p.config.addrs...))
	(&testGateway{t: t, addr: p.addr}).waitReady()
	for range 10 {
		client, server := p.open()
		client.send("M 1\r\n")
		server.expectLine("M 1\r\n")
		most = max(most, p.descriptorCount())
	}
	if most > sockets {
		t.Errorf("got up to %d open descriptors, want at most %d", most, sockets)
	}
	for i, e := range idle {
		if i%7 != 0 {
			e.expectFinalLine("BUSY")
		}
	}
}

// Guards against descriptors that leak when many clients connect and disconnect at once: some send invalid data, some reset
// the connection under a request, and some send only the beginning of a line.
func TestAFloodLeavesNothingBehind(t *testing.T) {
	p := startProgram(t, programConfig{mode: "pass", sockets: 128})
	before := p.descriptorCount()
	junk := make([]byte, 64<<10)
	for i := range 600 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		switch i % 4 {
		case 0:
			_, _ = c.Write(junk) // the program may close the connection meanwhile
		case 1:
			_, _ = c.Write([]byte(p.openLine()))
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
		case 2:
			_, _ = c.Write([]byte("OPEN 1 "))
		}
		closeAll(t, c)
	}
	client, line := p.dial(), p.openLine()
	client.send(line)
	server := p.server.accept()
	for { // attempts for clients that left may have been made before
		if got, _ := server.r.ReadString('\n'); strings.HasPrefix(got, line[:10]) {
			break
		}
		server = p.server.accept()
	}
	server.send("UP r\r\n")
	client.expectLine("UP r\r\n")
	client.close()
	server.expectClosed()
	for end := time.Now().Add(testTimeout); p.descriptorCount() > before+2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d open descriptors after the flood, want at most 2 more than %d", p.descriptorCount(), before)
		}
	}
}

// sampleDescriptors counts the program's descriptors continuously until stop is called, which returns the highest count.
func (p *programProcess) sampleDescriptors() (stop func() int) {
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
			entries, err := os.ReadDir(directory)
			if err == nil { // an error means that the program has ended
				most = max(most, len(entries))
			}
		}
	}()
	return func() int {
		close(done)
		return <-highest
	}
}

// dialWhileStopped connects clients while the program is suspended by SIGSTOP.
func (p *programProcess) dialWhileStopped(clients int) {
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

// Guards against more open descriptors than the limit. At the limit, neither servers nor discovery can be dialed. Bursts of
// hundreds of clients connect while the program is suspended, as on a busy machine. This happens during its shutdown too.
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
				server.expectLine("M 1\r\n")
			}
			p.stop()
			p.dialWhileStopped(clients)
			p.expectExit()
			highest := stop()
			t.Logf("got up to %d open descriptors, want at most %d", highest, sockets)
			if highest > sockets {
				t.Error("more descriptors were open than the limit allows")
			}
		})
	}
}
