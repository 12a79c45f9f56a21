package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const memoryMB = 192 // limits.memory_mb of the configuration

// residentMB returns the memory of the balancer's process, which is one process with any number of threads.
func (b *balancer) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// halfMessages has 400 clients stop in the middle of a message of a megabyte, which max-payload allows, and stay.
func halfMessages(t *test, b *balancer) (violations []string) {
	cl := newCluster(t.rec)
	for range 3 {
		cl.startNode()
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "plan-diario") (key user) (wait "2s"))`
	b.start()
	most := 0
	payload := strings.Repeat("x", 1000*1000)
	for i := range 400 {
		c := connect(t.rec, b.nats, fmt.Sprintf("u%d", i))
		if t.trouble {
			c.send(fmt.Sprintf("PUB serie.hecha.u 1048576\r\n%s", payload))
		}
		most = max(most, b.residentMB())
	}
	time.Sleep(2 * time.Second)
	most = max(most, b.residentMB())
	t.rec.logf("most memory %d MB", most)
	if most > memoryMB {
		violations = append(violations, fmt.Sprintf("the balancer took %d MB, over its %d MB", most, memoryMB))
	}
	return violations
}
