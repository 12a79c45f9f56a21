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

type simRig struct{ *simnet.Network }

func (r simRig) Start(o membership.Options) membership.Transport { return r.Listen(o) }

// links are the links between instances over sockets, and which of them are cut.
type links struct {
	mu    sync.Mutex
	addrs map[string]string // by name
	cut   map[[2]string]bool
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

// cuttingTransport sends nothing on links of one instance that are cut.
type cuttingTransport struct {
	membership.NetworkTransport
	from  string
	links *links
}

var errCut = errors.New("cut")

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

// socketRig runs instances on loopback, each at an address of its own that all its incarnations use.
type socketRig struct {
	t     *testing.T
	links *links
	cuts  bool // links can be cut
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

func (r socketRig) Start(o membership.Options) membership.Transport {
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
	if r.cuts {
		opts.WrapTransport = func(w membership.NetworkTransport) membership.NetworkTransport {
			return cuttingTransport{w, o.Name, r.links}
		}
	}
	g, err := membership.Listen(opts)
	if err != nil {
		r.t.Fatal(err)
	}
	closeAtEnd(r.t, g)
	return g
}

func (r socketRig) Cut(from, to string, cut bool) {
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	r.links.cut[[2]string{from, to}] = cut
}

func (r socketRig) Advance(d time.Duration) { time.Sleep(d) }

func TestTransportContract(t *testing.T) {
	rigs := map[string]func(t *testing.T) networkRig{
		"in order": func(*testing.T) networkRig {
			return simRig{simnet.New(1, simnet.Faults{MinDelay: time.Millisecond})}
		},
		"disordered": func(*testing.T) networkRig {
			return simRig{simnet.New(2, simnet.Faults{MaxDelay: 300 * time.Millisecond, LossRate: 0.2, DuplicateRate: 0.2})}
		},
		"sockets": func(t *testing.T) networkRig {
			t.Helper()
			return socketRig{t, &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}, true}
		},
	}
	for name, rig := range rigs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testTransport(t, rig)
		})
	}
}

// An instance with another key, or none, receives nothing, and nothing is received from it.
func TestInstancesWithAnotherKeyAreIgnored(t *testing.T) {
	r := socketRig{t: t, links: &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}}
	var a, b inbox
	ta := r.Start(membership.Options{Name: "a", Incarnation: 1, OnMessage: a.receive})
	tb := r.Start(membership.Options{Name: "b", Incarnation: 1, OnMessage: b.receive})
	var heard inbox
	for _, k := range [][]byte{nil, []byte("fedcba9876543210")} {
		g, err := membership.Listen(membership.GossipOptions{
			Options: membership.Options{Name: "mallory", Incarnation: 1, OnMessage: heard.receive},
			Bind:    freeAddr(t), Join: []string{r.links.addrs["a"]}, Key: k, ProbeInterval: 50 * time.Millisecond, Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, g)
	}
	n := 0
	until(t, r, "a and b exchange messages", func() bool {
		ta.Send("b", []byte("x"))
		tb.Send("a", []byte("x"))
		n++
		return n > 50 && a.count("b", 0) > 20 && b.count("a", 0) > 20
	})
	for _, m := range ta.Members() {
		if m.Name == "mallory" {
			t.Error("an instance without the key is a member")
		}
	}
	if heard.count("a", 0)+heard.count("b", 0) > 0 {
		t.Error("an instance without the key receives messages")
	}
}

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
		var bad *membership.BindError
		if _, err := membership.Listen(o); !errors.As(err, &bad) {
			t.Errorf("%+v: %v", o.Bind, err)
		}
	}
}

// Malformed packets are counted and do no harm.
func FuzzPackets(f *testing.F) {
	e := membership.NewEndpoint(membership.Options{Name: "b", Incarnation: 7})
	f.Add(e.EncodeMessage([]byte("body")))
	f.Add([]byte{1, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		got := 0
		a := membership.NewEndpoint(membership.Options{Name: "a", OnMessage: func(m membership.Message) {
			got++
			if len(m.Payload) > membership.MaxBodyBytes || m.From == "" {
				t.Errorf("took %+v", m)
			}
		}})
		a.HandlePacket(b)
		if c := a.Counts(); got == 0 && c[""].Malformed != 1 && len(b) > 1 && b[1] == 1 {
			t.Errorf("%x was neither taken nor counted", b)
		}
	})
}

// An instance that starts a little before its peers knows them soon after they run, with the timing that gateways use.
func TestMembersThatStartTogetherJoinSoon(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	start := func(name, at, other string) *membership.Gossip {
		g, err := membership.Listen(membership.GossipOptions{
			Options: membership.Options{Name: name, Incarnation: 1}, Bind: at, Join: []string{other},
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
	start("b", b, "127.0.0.1:1") // it joins nobody
	from := time.Now()
	for len(first.Members()) < 2 {
		if time.Since(from) > 1500*time.Millisecond {
			t.Fatal("not joined in 1.5 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
