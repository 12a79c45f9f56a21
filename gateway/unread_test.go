package gateway_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// residentBytes returns the program's resident memory in bytes.
func (p *programProcess) residentBytes() (pages int) {
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

// Guards against memory that grows with a line that a server never ends, for a client that does not read. The gateway must
// stop reading at a bound and close the connection, and serve other clients meanwhile.
func TestUnterminatedLineIsBounded(t *testing.T) {
	const maxGrowth = 16 << 20 // beyond the memory at the start; the line is ten times as long
	p := startProgram(t, programConfig{mode: "pass"})
	client, server := p.open()
	if err := client.c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	before := p.residentBytes()
	if err := server.c.SetWriteDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	junk := make([]byte, 64<<10)
	for i := range junk {
		junk[i] = 'x'
	}
	var err error
	for n := 0; err == nil && n < 10*maxGrowth; n += len(junk) {
		_, err = server.c.Write(junk)
	}
	if err == nil {
		t.Error("the whole line was read, want the connection to be closed")
	} else if strings.Contains(err.Error(), "timeout") {
		t.Error("the connection was never closed")
	}
	if grown := p.residentBytes() - before; grown > maxGrowth {
		t.Errorf("resident memory grew by %d bytes, want at most 16 MiB", grown)
	}
	otherClient, otherServer := p.open()
	otherClient.send("M 1\r\n")
	otherServer.expectLine("M 1\r\n")
}
