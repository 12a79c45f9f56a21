package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// aside is how long a test looks for what must not come.
const aside = 150 * time.Millisecond

// none fails where another attempt reaches the server.
func (p *program) none() {
	p.t.Helper()
	select {
	case e := <-p.server.conns:
		if line, _ := e.r.ReadString('\n'); line != "" {
			p.t.Errorf("another attempt: %q", line)
		}
	case <-time.After(aside):
	}
}

// reset ends a connection as a process that dies does.
func (e *end) reset() {
	e.c.(*net.TCPConn).SetLinger(0)
	e.c.Close()
}

// When an attempt's time is over it is ended before the next is made, and what its server says late is nobody's: the client
// has the answer of the next alone.
func TestRetryCrossesALateAnswer(t *testing.T) {
	p := startProgram(t, conf{mode: "proxy", aim: 200 * time.Millisecond})
	client, first := p.ask()
	second := p.server.accept()
	second.line()
	if err := first.ends(); err != nil { // it has ended already: nothing more is waited for here
		t.Errorf("the former attempt ended with %v", err)
	}
	io.WriteString(first.c, "UP late\r\n")
	second.send("UP next\r\n")
	client.expect("UP next\r\n")
	client.send("M 1\r\n")
	second.expect("M 1\r\n")
	p.none()
}

// A client that has gone is tried for no more: whether it closed, ended its sending or broke off, and whether its attempt
// is connecting, unanswered, or just coming back.
func TestRetryCrossesTheClientsEnd(t *testing.T) {
	for how, leave := range map[string]func(client *end){
		"close":     func(client *end) { client.c.Close() },
		"half":      func(client *end) { client.c.(*net.TCPConn).CloseWrite() },
		"reset":     func(client *end) { client.reset() },
		"more":      func(client *end) { client.send("M 1\r\n"); client.answered("ERR") },
		"more, end": func(client *end) { client.send("M 1\r\n"); client.c.Close() },
	} {
		t.Run(how+" while unanswered", func(t *testing.T) {
			p := startProgram(t, conf{mode: "proxy", aim: 200 * time.Millisecond})
			client, server := p.ask()
			leave(client)
			server.ends()
			time.Sleep(200 * time.Millisecond) // the time of the attempt, had it gone on
			p.none()
		})
		t.Run(how+" as the attempt comes back", func(t *testing.T) {
			p := startProgram(t, conf{mode: "proxy"})
			client, server := p.ask()
			leave(client)
			server.ends() // the program knows
			io.WriteString(server.c, "BUSY\r\n")
			server.c.Close()
			p.none()
		})
	}
	t.Run("while connecting", func(t *testing.T) {
		full := crowdedAddr(t)
		p := startProgram(t, conf{mode: "proxy", addrs: []string{full}, aim: 100 * time.Millisecond})
		client := p.dial()
		client.send(p.line())
		client.c.Close()
		p.stop() // it ends as soon as nobody is left
		p.ends()
	})
}

// Of attempts that fail no more are made than are allowed, and the last failure is answered at once.
func TestRetryEndsWithTheLastAttempt(t *testing.T) {
	for _, answer := range []string{"BUSY\r\n", "ERR\r\n", ""} {
		t.Run(strings.TrimSpace(answer), func(t *testing.T) {
			p := startProgram(t, conf{mode: "pass"})
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
					io.WriteString(server.c, answer)
					server.c.Close()
				case got = <-answered:
					if !strings.HasPrefix(got, "BUSY ") {
						t.Errorf("answered %q", got)
					}
				}
			}
			if tries > 3 {
				t.Errorf("%d attempts, 3 are allowed", tries)
			}
			p.none()
		})
	}
}

// A reset under a request that has begun: what may not be repeated is not, nor what may be repeated once its window is
// over, though attempts and time are left.
func TestRetryCrossesAResetUnderTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		conf
		after time.Duration // that the server holds it
		want  string        // the answer; empty: it is tried again
	}{
		"may not be repeated":       {conf{effect: "at_most_once"}, 0, "ERR"},
		"may be, in its window":     {conf{effect: "deduplicated", window: patience, giveUp: patience}, 0, ""},
		"may be, behind its window": {conf{effect: "deduplicated", window: 50 * time.Millisecond, giveUp: patience}, 100 * time.Millisecond, "BUSY"},
		"may always be":             {conf{giveUp: patience}, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c.mode = "proxy"
			p := startProgram(t, c.conf)
			client, server := p.ask()
			time.Sleep(c.after)
			server.reset()
			if c.want != "" {
				client.answered(c.want)
				p.none()
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
	p := startProgram(t, conf{mode: "proxy", giveUp: patience})
	client, server := p.ask()
	kept, other := p.ask()
	p.service.set(strings.Replace(listOf(2, p.conf.addrs...), "in_service", "terminating", 1))
	p.log(`msg="endpoint list updated" version=2`)
	other.send("UP r\r\n")
	kept.expect("UP r\r\n")
	server.reset()
	client.answered("BUSY")
	p.none()
	late := p.dial()
	late.send(p.line())
	late.answered("BUSY")
	p.none()
}

// A server that sends its clients away, or ends, while lines of theirs are on the way: they have MOVE or BYE, and an end in
// order.
func TestIdleEndCrossesTheClientsLines(t *testing.T) {
	for _, word := range []string{"MOVE\r\n", "BYE\r\n", "M 1 x\r\n"} {
		for _, first := range []string{"client", "server"} { // the kernel tells of them in the order in which they acted
			t.Run(strings.TrimSpace(word)+", first the "+first, func(t *testing.T) {
				p := startProgram(t, conf{mode: "pass"})
				client, server := p.open()
				p.signal(sigStop) // both sides act before the program hears of either
				lines := func() { client.send(strings.Repeat("M 1\r\n", 1000)) }
				if first == "client" {
					lines()
				}
				server.send(word)
				server.c.(*net.TCPConn).CloseWrite()
				if first == "server" {
					lines()
				}
				p.signal(sigCont)
				client.answered(strings.TrimSpace(word))
			})
		}
	}
}
