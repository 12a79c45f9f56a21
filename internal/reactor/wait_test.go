package reactor

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against loops that wait through another epoll descriptor, such as that of the runtime's poller: not every platform
// reports readiness of an epoll descriptor that is nested in another epoll set.
func TestNoNestedEpoll(t *testing.T) {
	g := newGroup(t, 2)
	echo := listen(t, g, func() Handler {
		return &handlerFuncs{data: func(c *Conn, b []byte) int { noError(t, c.Send(b)); return len(b) }}
	})
	c := dial(t, echo) // starts the runtime's poller too
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	const eventpoll = "anon_inode:[eventpoll]"
	links, err := filepath.Glob("/proc/self/fd/*")
	if err != nil || len(links) == 0 {
		t.Fatalf("no descriptors found in /proc/self/fd: %v", err)
	}
	epolls := 0
	for _, link := range links {
		if kind, err := os.Readlink(link); err != nil || kind != eventpoll {
			continue
		}
		epolls++
		info, err := os.ReadFile("/proc/self/fdinfo/" + filepath.Base(link))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(info)) {
			f := strings.Fields(line)
			if len(f) < 2 || f[0] != "tfd:" {
				continue
			}
			if kind, err := os.Readlink("/proc/self/fd/" + f[1]); err == nil && kind == eventpoll {
				t.Errorf("epoll descriptor %s is nested in the epoll set of descriptor %s", f[1], filepath.Base(link))
			}
		}
	}
	if epolls < 3 {
		t.Errorf("%d epoll descriptors, want 3 at least: one for each loop and the runtime's", epolls)
	}
}

// A group without events closes too, although its loops wait without a timeout.
func TestCloseEndsIdleLoops(t *testing.T) {
	g, err := New(3)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { g.Close(); close(done) }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("Close did not return: the loops are still waiting")
	}
}
