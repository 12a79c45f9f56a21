package gateway_test

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// absenceTimeout is how long a test looks for what must not come.
const absenceTimeout = 150 * time.Millisecond

// expectNoAttempt fails where another attempt reaches the server.
func (p *program) expectNoAttempt() {
	p.t.Helper()
	select {
	case e := <-p.server.conns:
		if line, _ := e.r.ReadString('\n'); line != "" {
			p.t.Errorf("another attempt: %q", line)
		}
	case <-time.After(absenceTimeout):
	}
}

// When an attempt's time is over it is ended before the next is made, and what its server says late is nobody's: the client
// has the answer of the next alone.
func TestRetryCrossesALateAnswer(t *testing.T) {
	p := startProgram(t, programConfig{mode: "proxy", objective: 200 * time.Millisecond})
	client, first := p.request()
	second := p.server.accept()
	second.line()
	if err := first.closeError(); err != nil { // it has ended already: nothing more is waited for here
		t.Errorf("the former attempt ended with %v", err)
	}
	first.trySend("UP late\r\n")
	second.send("UP next\r\n")
	client.expect("UP next\r\n")
	client.send("M 1\r\n")
	second.expect("M 1\r\n")
	p.expectNoAttempt()
}

// A client that has gone is tried for no more: whether it closed, ended its sending or broke off, and whether its attempt
// is connecting, unanswered, or just coming back.
func TestRetryCrossesTheClientsEnd(t *testing.T) {
	for how, leave := range map[string]func(client *testConn){
		"close":     func(client *testConn) { client.close() },
		"half":      func(client *testConn) { client.closeWrite() },
		"reset":     func(client *testConn) { client.reset() },
		"more":      func(client *testConn) { client.send("M 1\r\n"); client.expectFinal("ERR") },
		"more, end": func(client *testConn) { client.send("M 1\r\n"); client.close() },
	} {
		t.Run(how+" while unanswered", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy", objective: 200 * time.Millisecond})
			client, server := p.request()
			leave(client)
			server.expectClosed()
			time.Sleep(200 * time.Millisecond) // the time of the attempt, had it gone on
			p.expectNoAttempt()
		})
		t.Run(how+" as the attempt comes back", func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "proxy"})
			client, server := p.request()
			leave(client)
			server.expectClosed() // the program knows
			server.trySend("BUSY\r\n")
			server.close()
			p.expectNoAttempt()
		})
	}
	t.Run("while connecting", func(t *testing.T) {
		full := crowdedAddr(t)
		p := startProgram(t, programConfig{mode: "proxy", addrs: []string{full}, objective: 100 * time.Millisecond})
		client := p.dial()
		client.send(p.line())
		client.close()
		p.stop() // it ends as soon as nobody is left
		p.expectExit()
	})
}

// Of attempts that fail no more are made than are allowed, and the last failure is answered at once.
func TestRetryEndsWithTheLastAttempt(t *testing.T) {
	for _, answer := range []string{"BUSY\r\n", "ERR\r\n", ""} {
		t.Run(strings.TrimSpace(answer), func(t *testing.T) {
			p := startProgram(t, programConfig{mode: "pass"})
			client := p.dial()
			client.send(p.line())
			answered := make(chan string, 1)
			go func() {
				s, _ := client.r.ReadString('\n')
				answered <- s
			}()
			tries := 0
			for got := ""; got == ""; {
				select {
				case server := <-p.server.conns:
					if line, _ := server.r.ReadString('\n'); line != "" {
						tries++
					}
					server.trySend(answer)
					server.close()
				case got = <-answered:
					if !strings.HasPrefix(got, "BUSY ") {
						t.Errorf("answered %q", got)
					}
				}
			}
			if tries > 3 {
				t.Errorf("%d attempts, 3 are allowed", tries)
			}
			p.expectNoAttempt()
		})
	}
}

// A reset under a request that has begun: what may not be repeated is not, nor what may be repeated once its window is
// over, though attempts and time are left.
func TestRetryCrossesAResetUnderTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		programConfig
		after time.Duration // that the server holds it
		want  string        // the answer; empty: it is tried again
	}{
		"may not be repeated":       {programConfig{effect: "at_most_once"}, 0, "ERR"},
		"may be, in its window":     {programConfig{effect: "deduplicated", window: testTimeout, deadline: testTimeout}, 0, ""},
		"may be, behind its window": {programConfig{effect: "deduplicated", window: 50 * time.Millisecond, deadline: testTimeout}, 100 * time.Millisecond, "BUSY"},
		"may always be":             {programConfig{deadline: testTimeout}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c.mode = "proxy"
			p := startProgram(t, c.programConfig)
			client, server := p.request()
			time.Sleep(c.after)
			server.reset()
			if c.want != "" {
				client.expectFinal(c.want)
				p.expectNoAttempt()
				return
			}
			next := p.server.accept()
			next.line()
			next.send("UP r\r\n")
			client.expect("UP r\r\n")
		})
	}
}

// A server that begins to drain has what was sent before, and nothing new: an attempt that fails there is not made again
// there.
func TestRetryCrossesADrain(t *testing.T) {
	p := startProgram(t, programConfig{mode: "proxy", deadline: testTimeout})
	client, server := p.request()
	kept, other := p.request()
	p.service.set(strings.Replace(listOf(2, p.config.addrs...), "in_service", "terminating", 1))
	p.expectLog(`msg="endpoint list updated" version=2`)
	other.send("UP r\r\n")
	kept.expect("UP r\r\n")
	server.reset()
	client.expectFinal("BUSY")
	p.expectNoAttempt()
	late := p.dial()
	late.send(p.line())
	late.expectFinal("BUSY")
	p.expectNoAttempt()
}

// A server that sends its clients away, or ends, while lines of theirs are on the way: they have MOVE or BYE, and an end in
// order.
func TestServersEndCrossesTheClientsLines(t *testing.T) {
	for _, word := range []string{"MOVE\r\n", "BYE\r\n", "M 1 x\r\n"} {
		for _, first := range []string{"client", "server"} { // the kernel reports them in the order in which they acted
			t.Run(strings.TrimSpace(word)+", first the "+first, func(t *testing.T) {
				p := startProgram(t, programConfig{mode: "pass"})
				client, server := p.open()
				p.signal(syscall.SIGSTOP) // both sides act before the program hears of either
				lines := func() { client.send(strings.Repeat("M 1\r\n", 1000)) }
				if first == "client" {
					lines()
				}
				server.send(word)
				server.closeWrite()
				if first == "server" {
					lines()
				}
				p.signal(syscall.SIGCONT)
				client.expectFinal(strings.TrimSpace(word))
			})
		}
	}
}
