package gateway_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// resident is the program's memory in bytes.
func (p *program) resident() (pages int) {
	p.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	var size int
	if _, err := fmt.Sscan(string(b), &size, &pages); err != nil {
		p.t.Fatal(err)
	}
	return pages * os.Getpagesize()
}

// A server whose line behind UP never ends, to a client that does not read, is left unread and cut off: what waits has a
// bound, and others are served meanwhile.
func TestALineWithoutEndHasABound(t *testing.T) {
	const most = 16 << 20 // beside what the program has at its start; the line is ten times that
	p := startProgram(t, programConfig{mode: "pass"})
	client, server := p.open()
	if err := client.c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	before := p.resident()
	if err := server.c.SetWriteDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	junk := make([]byte, 64<<10)
	for i := range junk {
		junk[i] = 'x'
	}
	var err error
	for n := 0; err == nil && n < 10*most; n += len(junk) {
		_, err = server.c.Write(junk)
	}
	if err == nil {
		t.Error("all of it was taken")
	} else if strings.Contains(err.Error(), "timeout") {
		t.Error("it was never cut off")
	}
	if grown := p.resident() - before; grown > most {
		t.Errorf("%d bytes more", grown)
	}
	other, at := p.open()
	other.send("M 1\r\n")
	at.expect("M 1\r\n")
}
