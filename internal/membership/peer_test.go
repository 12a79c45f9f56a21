package membership_test

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/membership/membershiptest"
	"example.org/milletvane/internal/membership/simnet"
	"example.org/milletvane/internal/wal/faultfs"
)

type simRig struct{ *simnet.Network }

func (r simRig) Start(o membership.Options) membership.Transport { return r.Listen(o) }

// links are what goes over real sockets between instances, and what of it is cut.
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

// cutWire is a wire of one instance that takes nothing on links that are cut.
type cutWire struct {
	membership.Wire
	from  string
	links *links
}

var errCut = errors.New("cut")

func (w cutWire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if w.links.isCut(w.from, a.Addr) {
		return time.Now(), nil
	}
	return w.Wire.WriteToAddress(b, a)
}

func (w cutWire) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	if w.links.isCut(w.from, a.Addr) {
		return nil, errCut
	}
	return w.Wire.DialAddressTimeout(a, d)
}

// socketRig runs instances on loopback, each at an address of its own that its lives share.
type socketRig struct {
	t     *testing.T
	links *links
	cuts  bool // behind links that can be cut
}

var key = []byte("0123456789abcdef")

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, release, err := fakeserver.Reserve()
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
	opts := membership.GossipOptions{Options: o, Bind: addr, Join: join, Key: key, Probe: 100 * time.Millisecond,
		Logger: slog.New(slog.DiscardHandler)}
	if r.cuts {
		opts.Wrap = func(w membership.Wire) membership.Wire { return cutWire{w, o.Name, r.links} }
	}
	g, err := membership.Listen(opts)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { g.Close() })
	return g
}

func (r socketRig) Cut(from, to string, cut bool) {
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	r.links.cut[[2]string{from, to}] = cut
}

func (r socketRig) Advance(d time.Duration) { time.Sleep(d) }

func TestContract(t *testing.T) {
	for name, rig := range map[string]func(t *testing.T) membershiptest.Rig{
		"in order": func(*testing.T) membershiptest.Rig {
			return simRig{simnet.New(1, simnet.Faults{MinDelay: time.Millisecond})}
		},
		"disordered": func(*testing.T) membershiptest.Rig {
			return simRig{simnet.New(2, simnet.Faults{MaxDelay: 300 * time.Millisecond, LossRate: 0.2, DuplicateRate: 0.2})}
		},
		"sockets": func(t *testing.T) membershiptest.Rig {
			return socketRig{t, &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}, true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			membershiptest.Run(t, rig)
		})
	}
}

// An instance with another key, or none, is not heard and hears nothing.
func TestWhoHasNoKeyIsNotHeard(t *testing.T) {
	r := socketRig{t: t, links: &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}}
	var a, b membershiptest.Inbox
	ta := r.Start(membership.Options{Name: "a", Incarnation: 1, OnMessage: a.Receive})
	tb := r.Start(membership.Options{Name: "b", Incarnation: 1, OnMessage: b.Receive})
	var heard membershiptest.Inbox
	for _, k := range [][]byte{nil, []byte("fedcba9876543210")} {
		g, err := membership.Listen(membership.GossipOptions{Options: membership.Options{Name: "mallory", Incarnation: 1, OnMessage: heard.Receive},
			Bind: freeAddr(t), Join: []string{r.links.addrs["a"]}, Key: k, Probe: 50 * time.Millisecond, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		defer g.Close()
	}
	n := 0
	membershiptest.Until(t, r, "a and b talk", func() bool {
		ta.Send("b", []byte("x"))
		tb.Send("a", []byte("x"))
		n++
		return n > 50 && a.From("b", 0) > 20 && b.From("a", 0) > 20
	})
	for _, m := range ta.Members() {
		if m.Name == "mallory" {
			t.Error("one without the key is a member")
		}
	}
	if heard.From("a", 0)+heard.From("b", 0) > 0 {
		t.Error("one without the key hears")
	}
}

func TestBadAddressesAndKeysAreExplained(t *testing.T) {
	taken, _ := net.Listen("tcp", "127.0.0.1:0")
	defer taken.Close()
	for _, o := range []membership.GossipOptions{{Bind: "x"}, {Bind: taken.Addr().String()}, {Bind: "127.0.0.1:0", Key: []byte("short")}} {
		o.Name = "a"
		var bad *membership.BindError
		if _, err := membership.Listen(o); !errors.As(err, &bad) {
			t.Errorf("%+v: %v", o.Bind, err)
		}
	}
}

// Packets that are none are counted and do no harm.
func FuzzPackets(f *testing.F) {
	e := membership.NewEndpoint(membership.Options{Name: "b", Incarnation: 7})
	f.Add(e.Wrap([]byte("body")))
	f.Add([]byte{1, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		got := 0
		a := membership.NewEndpoint(membership.Options{Name: "a", OnMessage: func(m membership.Message) {
			got++
			if len(m.Payload) > membership.MaxBodyBytes || m.From == "" {
				t.Errorf("took %+v", m)
			}
		}})
		a.Take(b)
		if c := a.Counts(); got == 0 && c[""].Bad != 1 && len(b) > 1 && b[1] == 1 {
			t.Errorf("%x was neither taken nor counted", b)
		}
	})
}

// A life's number is above all before it, whatever becomes of the disk and the clock.
func TestIncarnationsNeverRecur(t *testing.T) {
	const year = 365 * 24 * time.Hour
	d := faultfs.New(1)
	last := uint64(0)
	next := func(now time.Duration) uint64 {
		t.Helper()
		i, err := membership.OpenIncarnations(d, "d")
		if err != nil {
			t.Fatal(err)
		}
		n, err := i.Next(0, now)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	for k := range 40 {
		now := 50*year + time.Duration(k)*time.Hour
		if k%3 == 2 {
			now -= year // the clock jumped back
		}
		n := next(now)
		if n <= last {
			t.Fatalf("%d follows %d", n, last)
		}
		last = n
		d.Crash()
	}
	d = faultfs.New(2) // another disk under the same name
	if n := next(51 * year); n <= last {
		t.Errorf("an empty disk begins with %d, after %d", n, last)
	}
	d.SetFreeBytes(0)
	i, _ := membership.OpenIncarnations(d, "d")
	var none *membership.IncarnationError
	if _, err := i.Next(0, 52*year); !errors.As(err, &none) || !none.Retryable() {
		t.Errorf("on a full disk: %v", err)
	}
	d.SetFreeBytes(-1)
	d.FlipBit("incarnation", 3)
	if n := next(53 * year); n <= last {
		t.Errorf("a damaged file: %d after %d", n, last)
	}
}

// countWire counts what an instance sends.
type countWire struct {
	membership.Wire
	bytes *atomic.Int64
}

func (w countWire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	w.bytes.Add(int64(len(b)))
	return w.Wire.WriteToAddress(b, a)
}

// BenchmarkTraffic tells the bytes a second that one of twenty instances sends: with nothing to say, and with a message of
// 200 bytes to each of the others five times a second.
func BenchmarkTraffic(b *testing.B) {
	for _, talks := range []bool{false, true} {
		b.Run(fmt.Sprint("talks ", talks), func(b *testing.B) {
			var bytes atomic.Int64
			var all []*membership.Gossip
			var join []string
			for i := range 20 {
				g, err := membership.Listen(membership.GossipOptions{Options: membership.Options{Name: fmt.Sprint("n", i), Incarnation: 1}, Bind: "127.0.0.1:0",
					Join: join, Key: key, Logger: slog.New(slog.DiscardHandler), Wrap: func(w membership.Wire) membership.Wire { return countWire{w, &bytes} }})
				if err != nil {
					b.Fatal(err)
				}
				defer g.Close()
				all, join = append(all, g), []string{g.Addr()}
			}
			for len(all[0].Members()) < 20 || len(all[19].Members()) < 20 {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			from := bytes.Load()
			const span = 5 * time.Second
			body, rnd := make([]byte, 200), rand.NewChaCha8([32]byte{})
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				for _, g := range all {
					for _, m := range g.Members() {
						if talks && m.Name != g.Options().Name {
							rnd.Read(body)
							g.Send(m.Name, body)
						}
					}
				}
			}
			b.ReportMetric(float64(bytes.Load()-from)/20/span.Seconds(), "bytes/s")
		})
	}
}

// One that starts a little before its peers knows them soon after they are there, at the pace that gateways have.
func TestMembersThatStartTogetherMeetSoon(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	start := func(name, at, other string) *membership.Gossip {
		g, err := membership.Listen(membership.GossipOptions{Options: membership.Options{Name: name, Incarnation: 1}, Bind: at, Join: []string{other},
			Key: key, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { g.Close() })
		return g
	}
	first := start("a", a, b)
	time.Sleep(300 * time.Millisecond)
	start("b", b, "127.0.0.1:1") // it calls nobody
	from := time.Now()
	for len(first.Members()) < 2 {
		if time.Since(from) > 1500*time.Millisecond {
			t.Fatal("not met in 1.5 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
