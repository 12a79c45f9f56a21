package membership_test

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/membership/simnet"
)

type simFixture struct{ *simnet.Network }

func (r simFixture) Start(o membership.Options) membership.Transport { return r.Network.Start(o) }

// links records the addresses of instances and which links between them are cut.
type links struct {
	mu    sync.Mutex
	addrs map[string]string  // by name of the instance
	cut   map[[2]string]bool // by the names of the sender and the receiver
}

func (l *links) isCut(from, addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.addrs {
		if a == addr && l.cut[[2]string{from, name}] {
			return true
		}
	}
	return false
}

// cuttingTransport is a NetworkTransport of one instance that sends nothing over links that are cut.
type cuttingTransport struct {
	membership.NetworkTransport
	from  string
	links *links
}

var errCut = errors.New("link is cut")

func (w cuttingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if w.links.isCut(w.from, a.Addr) {
		return time.Now(), nil
	}
	return w.NetworkTransport.WriteToAddress(b, a)
}

func (w cuttingTransport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	if w.links.isCut(w.from, a.Addr) {
		return nil, errCut
	}
	return w.NetworkTransport.DialAddressTimeout(a, d)
}

// socketFixture runs instances on loopback. Each instance has its own address, which all its incarnations use.
type socketFixture struct {
	t      *testing.T
	links  *links
	canCut bool // whether links can be cut
}

var key = []byte("0123456789abcdef")

func closeAtEnd(tb testing.TB, g *membership.Gossip) {
	tb.Helper()
	tb.Cleanup(func() {
		if err := g.Close(); err != nil {
			tb.Error(err)
		}
	})
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, release, err := fakeserver.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

func (r socketFixture) Start(o membership.Options) membership.Transport {
	r.links.mu.Lock()
	addr := r.links.addrs[o.Name]
	if addr == "" {
		addr = freeAddr(r.t)
		r.links.addrs[o.Name] = addr
	}
	var join []string
	for _, a := range r.links.addrs {
		join = append(join, a)
	}
	r.links.mu.Unlock()
	opts := membership.GossipOptions{
		Options: o, Bind: addr, Join: join, Key: key, ProbeInterval: 100 * time.Millisecond,
		Logger: slog.New(slog.DiscardHandler),
	}
	if r.canCut {
		opts.WrapTransport = func(w membership.NetworkTransport) membership.NetworkTransport {
			return cuttingTransport{w, o.Name, r.links}
		}
	}
	g, err := membership.ListenGossip(opts)
	if err != nil {
		r.t.Fatal(err)
	}
	closeAtEnd(r.t, g)
	return g
}

func (r socketFixture) Cut(from, to string, cut bool) {
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	r.links.cut[[2]string{from, to}] = cut
}

func (r socketFixture) Advance(d time.Duration) { time.Sleep(d) }

// Runs the same tests on every implementation of Transport.
func TestTransportContract(t *testing.T) {
	fixtures := map[string]func(t *testing.T) networkFixture{
		"in order": func(*testing.T) networkFixture {
			return simFixture{simnet.New(1, simnet.Faults{MinDelay: time.Millisecond})}
		},
		"reordered": func(*testing.T) networkFixture {
			return simFixture{simnet.New(2, simnet.Faults{MaxDelay: 300 * time.Millisecond, LossRate: 0.2, DuplicateRate: 0.2})}
		},
		"sockets": func(t *testing.T) networkFixture {
			t.Helper()
			return socketFixture{t, &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}, true}
		},
	}
	for name, newFixture := range fixtures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testTransport(t, newFixture)
		})
	}
}

// Checks that an instance with another key, or without a key, does not become a member and receives no messages.
func TestInstancesWithAnotherKeyAreIgnored(t *testing.T) {
	r := socketFixture{t: t, links: &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}}
	var a, b inbox
	ta := r.Start(membership.Options{Name: "a", Incarnation: 1, OnMessage: a.receive})
	tb := r.Start(membership.Options{Name: "b", Incarnation: 1, OnMessage: b.receive})
	var outsider inbox
	for _, k := range [][]byte{nil, []byte("fedcba9876543210")} {
		g, err := membership.ListenGossip(membership.GossipOptions{
			Options: membership.Options{Name: "mallory", Incarnation: 1, OnMessage: outsider.receive},
			Bind:    freeAddr(t), Join: []string{r.links.addrs["a"]}, Key: k, ProbeInterval: 50 * time.Millisecond, Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, g)
	}
	n := 0
	waitFor(t, r, "a and b exchange messages", func() bool {
		ta.Send("b", []byte("x"))
		tb.Send("a", []byte("x"))
		n++
		return n > 50 && a.count("b", 0) > 20 && b.count("a", 0) > 20
	})
	for _, m := range ta.Members() {
		if m.Name == "mallory" {
			t.Error("an instance without the shared key is a member")
		}
	}
	if outsider.count("a", 0)+outsider.count("b", 0) > 0 {
		t.Error("an instance without the shared key received messages")
	}
}

// Checks that Listen returns a BindError for an invalid address, an address in use and a key of an invalid length.
func TestBadAddressesAndKeysAreBindErrors(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := taken.Close(); err != nil {
			t.Error(err)
		}
	})
	for _, o := range []membership.GossipOptions{{Bind: "x"}, {Bind: taken.Addr().String()}, {Bind: "127.0.0.1:0", Key: []byte("short")}} {
		o.Name = "a"
		var bindError *membership.BindError
		if _, err := membership.ListenGossip(o); !errors.As(err, &bindError) {
			t.Errorf("Listen on %+v: got error %v, want a BindError", o.Bind, err)
		}
	}
}

// Checks that arbitrary packets do not panic, that accepted messages are within the limits, and that rejected messages are
// counted as malformed.
func FuzzPackets(f *testing.F) {
	e := membership.NewEndpoint(membership.Options{Name: "b", Incarnation: 7})
	f.Add(e.EncodeMessage([]byte("body")))
	f.Add([]byte{1, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		accepted := 0
		a := membership.NewEndpoint(membership.Options{Name: "a", OnMessage: func(m membership.Message) {
			accepted++
			if len(m.Payload) > membership.MaxPayloadBytes || m.From == "" {
				t.Errorf("accepted %+v, which has no sender or is too long", m)
			}
		}})
		a.HandlePacket(b)
		if c := a.Counts(); accepted == 0 && c[""].Malformed != 1 && len(b) > 1 && b[1] == 1 {
			t.Errorf("packet %x was neither accepted nor counted as malformed", b)
		}
	})
}

// Guards against a long delay before instances that start at nearly the same time join: with the default timing, which
// gateways use, an instance must know a peer within 1.5 s of the peer's start.
func TestMembersThatStartTogetherJoinSoon(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	start := func(name, addr, join string) *membership.Gossip {
		g, err := membership.ListenGossip(membership.GossipOptions{
			Options: membership.Options{Name: name, Incarnation: 1}, Bind: addr, Join: []string{join},
			Key: key, Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, g)
		return g
	}
	first := start("a", a, b)
	time.Sleep(300 * time.Millisecond)
	start("b", b, "127.0.0.1:1") // can't join a by itself
	started := time.Now()
	for len(first.Members()) < 2 {
		if time.Since(started) > 1500*time.Millisecond {
			t.Fatal("a does not know b 1.5 s after its start")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
