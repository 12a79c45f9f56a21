package gateway_test

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// absenceTimeout is how long a test waits for an event that must not happen.
const absenceTimeout = 150 * time.Millisecond

// expectNoAttempt reports an error if another attempt reaches the server.
func (p *programProcess) expectNoAttempt() {
	p.t.Helper()
	select {
	case e := <-p.server.conns:
		if line, _ := e.r.ReadString('\n'); line != "" {
			p.t.Errorf("got another attempt %q, want none", line)
		}
	case <-time.After(absenceTimeout):
	}
}

// Guards against a late answer of an attempt that has timed out: the attempt must be closed before the next one is made,
// and the client must get only the answer of the next one.
func TestRetryCrossesALateAnswer(t *testing.T) {
	p := startProgram(t, programConfig{mode: "proxy", objective: 200 * time.Millisecond})
	client, first := p.request()
	second := p.server.accept()
	second.readLine()
	if err := first.awaitClose(); err != nil { // closed before the second attempt was made, so this does not wait
		t.Errorf("the first attempt's connection closed with %v, want an orderly close", err)
	}
	first.trySend("UP late\r\n")
	second.send("UP next\r\n")
	client.expectLine("UP next\r\n")
	client.send("M 1\r\n")
	second.expectLine("M 1\r\n")
	p.expectNoAttempt()
}

// Guards against further attempts for a client that has left. The client closes, half-closes, resets or violates the
// protocol, while its attempt is connecting, is unanswered, or is being rejected by the server.
func TestRetryCrossesTheClientsEnd(t *testing.T) {
	for how, leave := range map[string]func(client *testConn){
		"close":                func(client *testConn) { client.close() },
		"half-close":           func(client *testConn) { client.closeWrite() },
		"reset":                func(client *testConn) { client.reset() },
		"early line":           func(client *testConn) { client.send("M 1\r\n"); client.expectFinalLine("ERR") },
		"early line and close": func(client *testConn) { client.send("M 1\r\n"); client.close() },
	} {
		t.Run(how+" while unanswered", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy", objective: 200 * time.Millisecond})
			client, server := p.request()
			leave(client)
			server.expectClosed()
			time.Sleep(200 * time.Millisecond) // the attempt would have timed out by now
			p.expectNoAttempt()
		})
		t.Run(how+" while the attempt is rejected", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy"})
			client, server := p.request()
			leave(client)
			server.expectClosed() // the program has noticed
			server.trySend("BUSY\r\n")
			server.close()
			p.expectNoAttempt()
		})
	}
	t.Run("while connecting", func(t *testing.T) {
		unreachable := fullBacklogAddr(t)
		p := startProgram(t, programConfig{mode: "proxy", addrs: []string{unreachable}, objective: 100 * time.Millisecond})
		client := p.dial()
		client.send(p.openLine())
		client.close()
		p.stop() // it exits as soon as no client is left
		p.expectExit()
	})
}

// Guards against more attempts than max_attempts allows: after the last failure the client must be answered at once.
func TestRetryEndsWithTheLastAttempt(t *testing.T) {
	for _, answer := range []string{"BUSY\r\n", "ERR\r\n", ""} {
		t.Run(strings.TrimSpace(answer), func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "pass"})
			client := p.dial()
			client.send(p.openLine())
			answered := make(chan string, 1)
			go func() {
				s, _ := client.r.ReadString('\n')
				answered <- s
			}()
			attempts := 0
			for got := ""; got == ""; {
				select {
				case server := <-p.server.conns:
					if line, _ := server.r.ReadString('\n'); line != "" {
						attempts++
					}
					server.trySend(answer)
					server.close()
				case got = <-answered:
					if !strings.HasPrefix(got, "BUSY ") {
						t.Errorf("got the answer %q, want BUSY", got)
					}
				}
			}
			if attempts > 3 {
				t.Errorf("got %d attempts, want at most 3", attempts)
			}
			p.expectNoAttempt()
		})
	}
}

// Guards against a retry that the request's class forbids. The server resets the connection of an attempt. A request of
// effect at_most_once must not be retried, and a deduplicated one only within its dedup window, even if attempts and time
// are left. An idempotent request is retried.
func TestRetryCrossesAResetUnderTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		programConfig
		after time.Duration // how long the server holds the request before the reset
		want  string        // the answer; empty: the request is retried
	}{
		"at most once":                    {programConfig{effect: "at_most_once"}, 0, "ERR"},
		"deduplicated, within the window": {programConfig{effect: "deduplicated", window: testTimeout, deadline: testTimeout}, 0, ""},
		"deduplicated, after the window":  {programConfig{effect: "deduplicated", window: 50 * time.Millisecond, deadline: testTimeout}, 100 * time.Millisecond, "BUSY"},
		"idempotent":                      {programConfig{deadline: testTimeout}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c.mode = "proxy"
			p := startProgram(t, c.programConfig)
			client, server := p.request()
			time.Sleep(c.after)
			server.reset()
			if c.want != "" {
				client.expectFinalLine(c.want)
				p.expectNoAttempt()
				return
			}
			next := p.server.accept()
			next.readLine()
			next.send("UP r\r\n")
			client.expectLine("UP r\r\n")
		})
	}
}

// Guards against new attempts at a server that has begun to drain. The server may answer the attempts that it already has. An
// attempt that fails there must not be retried there.
func TestRetryCrossesADrain(t *testing.T) {
	p := startProgram(t, programConfig{mode: "proxy", deadline: testTimeout})
	client, server := p.request()
	keptClient, keptServer := p.request()
	p.discovery.set(strings.Replace(endpointListJSON(2, p.config.addrs...), "in_service", "terminating", 1))
	p.expectLog(`msg="endpoint list updated" version=2`)
	keptServer.send("UP r\r\n")
	keptClient.expectLine("UP r\r\n")
	server.reset()
	client.expectFinalLine("BUSY")
	p.expectNoAttempt()
	lateClient := p.dial()
	lateClient.send(p.openLine())
	lateClient.expectFinalLine("BUSY")
	p.expectNoAttempt()
}

// Guards against a reset that hides the server's last line. The server sends MOVE, BYE or a message and half-closes while
// lines of the client are in flight. The client must receive that line and an orderly close.
func TestServersEndCrossesTheClientsLines(t *testing.T) {
	for _, lastLine := range []string{"MOVE\r\n", "BYE\r\n", "M 1 x\r\n"} {
		for _, first := range []string{"client", "server"} { // the kernel reports events in the order in which they happened
			t.Run(strings.TrimSpace(lastLine)+", first: "+first, func(t *testing.T) {
				p := startProgram(t, programConfig{mode: "pass"})
				client, server := p.open()
				p.signal(syscall.SIGSTOP) // both sides act before the program notices either
				sendLines := func() { client.send(strings.Repeat("M 1\r\n", 1000)) }
				if first == "client" {
					sendLines()
				}
				server.send(lastLine)
				server.closeWrite()
				if first == "server" {
					sendLines()
				}
				p.signal(syscall.SIGCONT)
				client.expectFinalLine(strings.TrimSpace(lastLine))
			})
		}
	}
}
