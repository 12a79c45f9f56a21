package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/wal/faultfs"
)

// logs is a log that a test reads.
type logs struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logs) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logs) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

// fleet is some instances on loopback, each with a disk that fails on purpose.
type fleet struct {
	t     *testing.T
	addrs map[string]string
	disks map[string]*faultfs.FS
	logs  map[string]*logs
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t, map[string]string{}, map[string]*faultfs.FS{}, map[string]*logs{}}
	for i, n := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.addrs[n], f.disks[n], f.logs[n] = l.Addr().String(), faultfs.New(uint64(i)), &logs{}
		l.Close()
	}
	return f
}

func (f *fleet) start(name string) *Cluster {
	f.t.Helper()
	others := map[string]string{}
	for n, a := range f.addrs {
		if n != name {
			others[n] = a
		}
	}
	c, err := Start(Options{Name: name, Listen: f.addrs[name], Peers: others, Key: []byte("0123456789abcdef"), Dir: "d", PeerTimeout: 3 * time.Second,
		WarmupDuration: 20 * time.Second, FS: f.disks[name], Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Logger: slog.New(slog.NewTextHandler(f.logs[name], nil))})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return c
}

// first is the first list that an instance goes by.
func (f *fleet) first(c *Cluster) *discovery.EndpointList {
	f.t.Helper()
	got := make(chan *discovery.EndpointList, 16)
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	go c.Recover(ctx, func(m *discovery.EndpointList) { got <- m })
	select {
	case m := <-got:
		return m
	case <-ctx.Done():
		f.t.Fatal("nothing to go by")
		return nil
	}
}

func list(version int64, n int) engine.EndpointList {
	l := engine.EndpointList{Mode: balancer.ListComplete, Version: version}
	for i := range n {
		id := fmt.Sprintf("s-%08x", i+1)
		l.Servers = append(l.Servers, engine.Server{Name: id, Addr: fmt.Sprintf("10.0.0.%d:5000", i%250), Server: balancer.Server{ID: discovery.ServerID(id), Zone: "oviedo", Capacity: 1.5}})
	}
	return l
}

// told has an instance hear a list from discovery and keep it.
func (f *fleet) told(c *Cluster, l engine.EndpointList) {
	f.t.Helper()
	c.UpdateEndpoints(l)
	if !c.save() {
		f.t.Fatal("not stored")
	}
}

// After a loss of power the disk's list comes back whole, and one with an empty disk has it from its peers, in many
// datagrams; every server counts as just started.
func TestListsComeBackFromDisksAndPeers(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	for _, n := range []string{"a", "b"} {
		c := f.start(n)
		f.told(c, list(8, 90))
		c.Close()
		f.disks[n].Crash()
	}
	before := time.Now().UnixMilli()
	a, b, c := f.start("a"), f.start("b"), f.start("c")
	hints := make(chan *discovery.EndpointList, 3)
	for _, one := range []*Cluster{a, b, c} {
		go func() { hints <- f.first(one) }()
	}
	for range 3 {
		m := <-hints
		if m == nil || m.Version != 8 || len(m.Endpoints) != 90 || m.Endpoints[89].Addr != "10.0.0.89:5000" || m.Endpoints[0].Zone != "oviedo" || m.Endpoints[0].Weight != 1.5 {
			t.Fatalf("goes by %+v", m)
		}
		if m.Endpoints[7].StartedMS < before {
			t.Errorf("a server counts as started at %d, power came back at %d", m.Endpoints[7].StartedMS, before)
		}
	}
	if !f.logs["c"].has("source=peers") || !f.logs["a"].has("source=disk") {
		t.Error("the log does not say whose list is gone by")
	}
}

// A damaged store is put aside and named, and the instance goes on with its peers' list.
func TestADamagedDiskIsNamedAndPeersTell(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	for n := range f.addrs {
		c := f.start(n)
		f.told(c, list(8, 5))
		f.told(c, list(9, 5))
		c.Close()
	}
	if !f.disks["a"].FlipBit("journal", -40) {
		t.Fatal("nothing to damage")
	}
	f.start("b")
	f.start("c")
	if m := f.first(f.start("a")); m == nil || m.Version != 9 || len(m.Endpoints) != 5 {
		t.Errorf("goes by %+v", m)
	}
	if !f.logs["a"].has("is damaged") || !f.logs["a"].has("its files are in") {
		t.Errorf("logged %s", f.logs["a"].b.String())
	}
}

// A full disk keeps nobody from serving, is named, and is written again when there is room.
func TestAFullDiskIsNamedAndTriedAgain(t *testing.T) {
	f := newFleet(t, "a", "b")
	c := f.start("a")
	f.told(c, list(8, 5))
	f.disks["a"].SetFreeBytes(10)
	c.UpdateEndpoints(list(9, 5))
	if !c.save() || !f.logs["a"].has("no room for a record") || !f.logs["a"].has("again=true") {
		t.Errorf("logged %s", f.logs["a"].b.String())
	}
	f.disks["a"].SetFreeBytes(-1)
	f.told(c, list(10, 5))
	f.disks["a"].FailNextSyncs(1)
	c.UpdateEndpoints(list(11, 5))
	if c.save() || !f.logs["a"].has("the disk did not keep") {
		t.Errorf("a failed sync: logged %s", f.logs["a"].b.String())
	}
	c.Close()
	f.disks["a"].Crash()
	if m := f.first(f.start("a")); m == nil || m.Version < 10 {
		t.Errorf("holds %+v", m)
	}
}

// Parts of a list fit a datagram each and come together in any order, with some twice.
func TestParts(t *testing.T) {
	for _, n := range []int{0, 1, 6, 90, 5000} {
		servers := discovery.NewEndpointList(3, list(3, n).Servers).Endpoints
		parts := message{Version: 3, Hash: hashOf(servers), AtMS: 1 << 41, UpMS: 1 << 41, NowMS: 1 << 41}.parts(servers)
		a := answer{}
		whole := false
		for i := range 2 * len(parts) {
			b := parts[(i*7+3)%len(parts)]
			if len(b) > membership.MaxBodyBytes {
				t.Fatalf("a part of %d bytes", len(b))
			}
			m := message{}
			if err := json.Unmarshal(b, &m); err != nil {
				t.Fatal(err)
			}
			whole = a.add(m)
		}
		for _, b := range parts {
			m := message{}
			json.Unmarshal(b, &m)
			whole = a.add(m)
		}
		if got := a.servers(); !whole || n <= 90 && hashOf(got) != hashOf(servers) || n > 1400 && len(got) > 0 {
			t.Errorf("%d servers in %d parts: whole %v, %d came", n, len(parts), whole, len(got))
		}
	}
	a := answer{}
	for _, m := range []message{{Parts: 0}, {Parts: 1 << 30}, {Part: -1, Parts: 2}, {Part: 2, Parts: 2}} {
		if a.add(m) {
			t.Errorf("%+v is a list", m)
		}
	}
}
