package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// standingConnection has discovery answer slowly, while the list that the balancer is started with is old. A client resumes a
// connection (at=ID) at a server that the old list lacks. This plays the line protocol, without an operator file.
func standingConnection(t *test, b *balancer) (violations []string) {
	var members []member
	for i := 1; i <= 3; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		id := fmt.Sprintf("s-%08x", i)
		members = append(members, member{ID: id, Addr: l.Addr().String(), Zone: "santander", Kind: "nuevo", State: "in_service", Weight: 1})
		go serveLines(t.rec, l, id)
	}
	b.disc = startDiscovery(t.rec, members)
	old := memberList{Version: 0, Full: true, Servers: members[:2]}
	b.known = &old
	if t.trouble {
		b.disc.mu.Lock()
		b.disc.delay = 2 * time.Second
		b.disc.mu.Unlock()
	}
	b.start()
	time.Sleep(300 * time.Millisecond)
	c, err := net.Dial("tcp", b.line)
	must(err)
	defer c.Close()
	line := "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=plan-diario,d=4800,g=5c0f6e1a2b3d4c59,at=s-00000003\r\n"
	t.rec.logf("client: sends %q", line)
	_, err = c.Write([]byte(line))
	must(err)
	_ = c.SetReadDeadline(time.Now().Add(42 * time.Second))
	answer, err := bufio.NewReader(c).ReadString('\n')
	t.rec.logf("client: answered %q, %v", answer, err)
	if !strings.HasPrefix(answer, "UP ") {
		violations = append(violations, fmt.Sprintf("the connection that stands at s-00000003 was answered %q", answer))
	}
	return violations
}

func serveLines(rec *recorder, l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if strings.HasPrefix(line, "OPEN ") {
					rec.logf("%s: got %q", id, line)
					line = "UP r1\r\n"
				}
				_, _ = c.Write([]byte(line))
			}
		}()
	}
}
