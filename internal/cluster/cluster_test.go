package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/wal/faultfs"
)

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// wantLogged reports a test error for each of the texts that the log of an instance lacks.
func (f *fleet) wantLogged(name string, texts ...string) {
	f.t.Helper()
	log := f.logs[name].String()
	for _, text := range texts {
		if !strings.Contains(log, text) {
			f.t.Errorf("log of %s lacks %q:\n%s", name, text, log)
		}
	}
}

// fleet is a group of instances on loopback, each with a disk that can fail.
type fleet struct {
	t     *testing.T
	addrs map[string]string
	disks map[string]*faultfs.FS
	logs  map[string]*logBuffer
}

func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := &fleet{t, map[string]string{}, map[string]*faultfs.FS{}, map[string]*logBuffer{}}
	for i, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.addrs[name], f.disks[name], f.logs[name] = l.Addr().String(), faultfs.New(uint64(i)), &logBuffer{}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// start starts an instance and closes it at the end of the test.
func (f *fleet) start(name string) *Cluster {
	f.t.Helper()
	peers := map[string]string{}
	for n, addr := range f.addrs {
		if n != name {
			peers[n] = addr
		}
	}
	c, err := Start(Options{
		Name:           name,
		Listen:         f.addrs[name],
		Peers:          peers,
		Key:            []byte("0123456789abcdef"),
		Dir:            "d",
		PeerTimeout:    3 * time.Second,
		WarmupDuration: 20 * time.Second,
		FS:             f.disks[name],
		Clock:          func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Logger:         slog.New(slog.NewTextHandler(f.logs[name], nil)),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() }) // an error is expected: most tests have closed the instance before
	return c
}

func (f *fleet) close(c *Cluster) {
	f.t.Helper()
	if err := c.Close(); err != nil {
		f.t.Fatal(err)
	}
}

// firstUsedList returns the first list that an instance uses.
func (f *fleet) firstUsedList(c *Cluster) *discovery.EndpointList {
	f.t.Helper()
	used := make(chan *discovery.EndpointList, 16)
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	go c.Recover(ctx, func(list *discovery.EndpointList) { used <- list })
	select {
	case list := <-used:
		return list
	case <-ctx.Done():
		f.t.Fatal("got no decision within 20s, want one")
		return nil
	}
}

// completeList returns a complete list from discovery with n servers.
func completeList(version int64, n int) engine.EndpointList {
	list := engine.EndpointList{Mode: balancer.ListComplete, Version: version}
	for i := range n {
		id := fmt.Sprintf("s-%08x", i+1)
		list.Servers = append(list.Servers, engine.Server{
			Name: id, Addr: fmt.Sprintf("10.0.0.%d:5000", i%250),
			Server: balancer.Server{ID: discovery.ServerID(id), Zone: "oviedo", Capacity: 1.5},
		})
	}
	return list
}

// update passes a list from discovery to an instance, which stores it.
func (f *fleet) update(c *Cluster, list engine.EndpointList) {
	f.t.Helper()
	c.UpdateEndpoints(list)
	if !c.save() {
		f.t.Fatalf("list of version %d was not stored", list.Version)
	}
}

// After a loss of power the complete list is recovered from the disk. An instance with an empty disk receives it from its
// peers, in many datagrams. Every server counts as just started.
func TestRecoveryFromDisksAndPeers(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	for _, name := range []string{"a", "b"} {
		c := f.start(name)
		f.update(c, completeList(8, 90))
		f.close(c)
		f.disks[name].Crash()
	}
	before := time.Now().UnixMilli()
	a, b, c := f.start("a"), f.start("b"), f.start("c")
	lists := make(chan *discovery.EndpointList, 3)
	for _, instance := range []*Cluster{a, b, c} {
		go func() { lists <- f.firstUsedList(instance) }()
	}
	want := &discovery.EndpointList{Version: 8, Complete: true}
	want.Endpoints = discovery.NewEndpointList(8, completeList(8, 90).Servers).Endpoints
	for range 3 {
		list := <-lists
		if list == nil {
			t.Fatal("got no list, want one")
		}
		for i := range list.Endpoints {
			e := &list.Endpoints[i]
			if e.StartedMS < before {
				t.Errorf("got start time %d ms of %s, want at least %d ms, the time of the restart", e.StartedMS, e.ID, before)
			}
			e.StartedMS = 0
		}
		if diff := cmp.Diff(want, list); diff != "" {
			t.Errorf("recovered list (-want +got):\n%s", diff)
		}
	}
	f.wantLogged("a", "source=disk")
	f.wantLogged("c", "source=peers")
}

// A damaged log is moved aside, its new directory is logged, and the instance uses its peers' list.
func TestDamagedLogIsQuarantined(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	for name := range f.addrs {
		c := f.start(name)
		f.update(c, completeList(8, 5))
		f.update(c, completeList(9, 5))
		f.close(c)
	}
	if !f.disks["a"].FlipBit("journal", -40) {
		t.Fatal("the disk has no log file to damage")
	}
	f.start("b")
	f.start("c")
	if list := f.firstUsedList(f.start("a")); list == nil || list.Version != 9 || len(list.Endpoints) != 5 {
		t.Errorf("got list %+v, want version 9 with 5 endpoints", list)
	}
	f.wantLogged("a", "is corrupt", "its files are in")
}

// Guards against unbounded growth of the log of an instance that restarts often and stores few lists each time: after a start
// the records that the log already has must count towards the next snapshot.
func TestShortLivesDoNotGrowTheLog(t *testing.T) {
	f := newFleet(t, "a", "b")
	version := int64(0)
	largest, sizes := 0, []int{}
	for range 3 * snapshotInterval / 8 {
		c := f.start("a")
		for range 8 {
			version++
			f.update(c, completeList(version, 5))
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		size := f.disks["a"].TotalBytes()
		sizes, largest = append(sizes, size), max(largest, size)
	}
	if first := sizes[0]; largest > first*(snapshotInterval/8+1) {
		t.Errorf("got files of up to %d bytes, want at most %d: %v", largest, first*(snapshotInterval/8+1), sizes)
	}
}

// An instance on a full disk continues, logs the error, and stores lists again once there is free space. A failed sync ends
// the use of the log.
func TestFullDiskIsRetried(t *testing.T) {
	f := newFleet(t, "a", "b")
	c := f.start("a")
	f.update(c, completeList(8, 5))
	f.disks["a"].SetFreeBytes(10)
	c.UpdateEndpoints(completeList(9, 5))
	if !c.save() {
		t.Error("a full disk ended the use of the log, want a retry with the next list")
	}
	f.wantLogged("a", "no space for a record", "retryable=true")
	f.disks["a"].SetFreeBytes(-1)
	f.update(c, completeList(10, 5))
	f.disks["a"].FailNextSyncs(1)
	c.UpdateEndpoints(completeList(11, 5))
	if c.save() {
		t.Error("a failed sync did not end the use of the log")
	}
	f.wantLogged("a", "a write failed in")
	_ = c.Close() // an error is expected: the log has failed
	f.disks["a"].Crash()
	if list := f.firstUsedList(f.start("a")); list == nil || list.Version < 10 {
		t.Errorf("got list %+v, want version 10 or later", list)
	}
}
