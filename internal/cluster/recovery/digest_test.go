package recovery_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/cluster/recovery"
)

var updateDigests = flag.Bool("update", false, "write the digests of the drawn event streams anew")

const (
	streamSeeds = 400 // one instance each, events in any order
	fleetSeeds  = 200 // several instances that answer one another

	// epoch is the Unix time at which the drawn streams begin.
	epoch = 1_700_000_000 * time.Second
)

// Every decision, with its exact time, over drawn event streams is the one that the digests in testdata record. They
// cover every field that callers read; of warnings the number, as their wording is log text.
func TestStreamDecisionDigests(t *testing.T) {
	checkDigests(t, "streams.txt", streamSeeds, drawStream)
}

// The same for instances that ask one another, with links that lose and delay, restarts, clocks that differ and one
// instance that reports what it likes.
func TestFleetDecisionDigests(t *testing.T) {
	checkDigests(t, "fleets.txt", fleetSeeds, drawFleet)
}

// checkDigests compares the digest of each seed's output with the line of a file in testdata.
func checkDigests(t *testing.T, file string, seeds uint64, draw func(seed uint64, out *transcript)) {
	t.Helper()
	var lines []string
	decisions := 0
	for seed := range seeds {
		out := &transcript{sum: sha256.New()}
		draw(seed, out)
		decisions += out.decisions
		lines = append(lines, fmt.Sprintf("%d %s", seed, out.digest()))
	}
	if decisions < int(seeds) {
		t.Errorf("%d decisions in %d seeds: the streams are too short to tell anything", decisions, seeds)
	}
	name := filepath.Join("testdata", file)
	if *updateDigests {
		if err := os.MkdirAll("testdata", 0o777); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(strings.Join(lines, "\n")+"\n"), 0o666); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%s has %d lines for %d seeds", name, len(want), len(lines))
	}
	differ := 0
	for i := range lines {
		if lines[i] != want[i] {
			if differ++; differ <= 5 {
				t.Errorf("%s: got %q, want %q", name, lines[i], want[i])
			}
		}
	}
	if differ > 0 {
		t.Errorf("%s: %d of %d seeds differ", name, differ, len(lines))
	}
}

// transcript takes the output of one seed in a binary form of its own, which no rename of a type or field changes.
type transcript struct {
	sum       hash.Hash
	buf       []byte
	decisions int
}

func (o *transcript) digest() string { return hex.EncodeToString(o.sum.Sum(nil)[:8]) }

func (o *transcript) number(n uint64) { o.buf = binary.BigEndian.AppendUint64(o.buf, n) }

func (o *transcript) text(s string) {
	o.number(uint64(len(s)))
	o.buf = append(o.buf, s...)
}

func (o *transcript) texts(list []string) {
	o.number(uint64(len(list)))
	for _, s := range list {
		o.text(s)
	}
}

func (o *transcript) flag(b bool) { o.text(strconv.FormatBool(b)) }

// decision records what an event was answered with.
func (o *transcript) decision(now time.Duration, instance string, d recovery.Decision, ok bool) {
	o.buf = o.buf[:0]
	o.number(uint64(now))
	o.text(instance)
	o.flag(ok)
	if ok {
		o.decisions++
		o.text(sourceText(d.Source))
		o.number(uint64(d.Version))
		o.number(d.Hash)
		o.texts(d.Peers)
		o.texts(d.Excluded)
		o.flag(d.ColdStart)
		o.flag(d.Isolated)
		o.number(uint64(len(d.Warnings)))
		o.number(uint64(len(d.StartTimes)))
		for _, id := range slices.Sorted(maps.Keys(d.StartTimes)) {
			o.text(id)
			o.number(uint64(d.StartTimes[id]))
		}
	}
	o.sum.Write(o.buf)
}

func sourceText(s recovery.Source) string {
	switch s {
	case recovery.FromNowhere:
		return "nothing"
	case recovery.FromDisk:
		return "disk"
	case recovery.FromPeers:
		return "peers"
	case recovery.FromDiscovery:
		return "discovery"
	default:
		return fmt.Sprintf("unknown %d", int(s))
	}
}

// drawn has a seed's generator and what its streams are made of.
type drawn struct {
	*rand.Rand
	set   recovery.Settings
	lists []recovery.PeerState // version, hash and server names; some share a version, some a hash
}

func newDrawn(seed uint64, stream uint64, peers int) *drawn {
	r := &drawn{Rand: rand.New(rand.NewPCG(seed, stream))}
	r.set = recovery.Settings{
		Name:           "me",
		PeerTimeout:    time.Duration(r.IntN(3000)) * time.Millisecond,
		WarmupDuration: time.Duration(5+r.IntN(20)) * time.Second,
		MaxClockSkew:   time.Duration(500+r.IntN(2000)) * time.Millisecond,
	}
	for i := range peers {
		r.set.Peers = append(r.set.Peers, fmt.Sprint("p", i))
	}
	if r.IntN(5) == 0 { // a configuration that names the instance itself among the others
		r.set.Peers = append(r.set.Peers, r.set.Name)
	}
	r.set.Peers = shuffled(r, r.set.Peers)
	size := r.IntN(9)
	for i := range 2 + r.IntN(4) {
		l := recovery.PeerState{Version: 40 + int64(r.IntN(4)), Hash: uint64(i/2+1) * 0x9e3779b97f4a7c15}
		for n := range size {
			if r.IntN(4) > 0 {
				l.Servers = append(l.Servers, recovery.Server{ID: fmt.Sprint("s", n)})
			}
		}
		r.lists = append(r.lists, l)
	}
	return r
}

func shuffled[T any](r *drawn, list []T) []T {
	list = slices.Clone(list)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// about is a bound, or one nanosecond beside it: comparisons differ there.
func (r *drawn) about(bound time.Duration) time.Duration {
	return bound + time.Duration(r.IntN(3)-1)
}

// state is one of the seed's lists, with times that are drawn.
func (r *drawn) state(now time.Duration) recovery.PeerState {
	var v recovery.PeerState
	switch r.IntN(12) {
	case 0: // holds none
	case 1:
		v = recovery.PeerState{Version: int64(r.IntN(3)) - 1, Hash: r.Uint64()}
	case 2: // as one that reports anything
		v = recovery.PeerState{Version: r.Int64N(1 << 40), Hash: r.Uint64()}
		v.Servers = []recovery.Server{{ID: "s0"}, {ID: "x"}, {ID: "s0"}}
	default:
		v = r.lists[r.IntN(len(r.lists))]
	}
	v.Servers = slices.Clone(v.Servers)
	for i := range v.Servers {
		v.Servers[i].StartedAt = r.started(now)
	}
	v.Servers = shuffled(r, v.Servers)
	v.UpdatedAt, v.Uptime = now-time.Duration(r.IntN(100))*time.Second, 0
	if r.IntN(6) == 0 {
		v.UpdatedAt = r.about(now + r.set.MaxClockSkew)
	}
	switch r.IntN(4) {
	case 0:
		v.Uptime = r.about(r.set.WarmupDuration)
	case 1:
		v.Uptime = time.Duration(r.IntN(90)) * time.Second
	}
	return v
}

func (r *drawn) started(now time.Duration) time.Duration {
	switch r.IntN(6) {
	case 0:
		return 0
	case 1:
		return r.about(now + r.set.MaxClockSkew)
	case 2:
		return now - time.Duration(r.Int64N(int64(time.Hour)))
	case 3:
		return time.Duration(r.IntN(3) - 1)
	default:
		return now - time.Duration(r.IntN(30))*time.Second
	}
}

func (r *drawn) report(now time.Duration, peer string) recovery.PeerReport {
	m := recovery.PeerReport{Peer: peer, Clock: now, State: r.state(now)}
	switch r.IntN(8) {
	case 0:
		m.Clock = r.about(now + r.set.MaxClockSkew)
	case 1:
		m.Clock = r.about(now - r.set.MaxClockSkew)
	case 2:
		m.Clock = now + time.Duration(r.IntN(10_000)-5_000)*time.Millisecond
	}
	return m
}

// drawStream shows one instance events of every kind, most of them in an order that occurs.
func drawStream(seed uint64, out *transcript) {
	r := newDrawn(seed, 1, int(seed%7))
	rec := recovery.New(r.set)
	now := epoch
	handle := func(ev recovery.Event) {
		d, ok := rec.Handle(now, ev)
		out.decision(now, "me", d, ok)
	}
	if r.IntN(10) == 0 { // an answer that comes before the disk is read
		handle(r.report(now, "p0"))
	}
	handle(recovery.Startup{Disk: r.state(now)})
	began := now
	peers := append(slices.Clone(r.set.Peers), "me", "stranger")
	for range 5 + r.IntN(30) {
		if now < began+r.set.PeerTimeout-time.Second && r.IntN(5) == 0 || r.IntN(20) == 0 {
			now = max(now, r.about(began+r.set.PeerTimeout))
		} else {
			now += time.Duration(r.IntN(400)) * time.Millisecond
		}
		switch n := r.IntN(100); {
		case n < 60:
			handle(r.report(now, peers[r.IntN(len(peers))]))
		case n < 95:
			handle(recovery.Tick{})
		case n < 97:
			handle(recovery.Startup{Disk: r.state(now)})
		default:
			handle(recovery.DiscoveryUpdate{})
		}
	}
}

// instance is one of a drawn fleet.
type instance struct {
	name    string
	rec     *recovery.Recovery
	offset  time.Duration // of its clock
	starts  time.Duration // when it does
	listed  time.Duration // when discovery answers it
	holds   recovery.PeerState
	serving time.Duration // by its clock; 0: it recovers
	reports bool          // whatever it likes
}

type answer struct {
	at       time.Duration
	from, to *instance
	clock    time.Duration
	state    recovery.PeerState
}

// drawFleet has instances start after a loss of power, ask one another until discovery answers, and some start again.
func drawFleet(seed uint64, out *transcript) {
	const step = 150 * time.Millisecond
	n := 2 + int(seed%5)
	r := newDrawn(seed, 2, n)
	r.set.Peers = slices.DeleteFunc(r.set.Peers, func(name string) bool { return name == r.set.Name })
	r.set.WarmupDuration = time.Duration(1+r.IntN(3)) * time.Second
	fleet := make([]*instance, n)
	for i, name := range slices.Sorted(slices.Values(r.set.Peers)) {
		fleet[i] = &instance{
			name: name, holds: r.state(epoch), starts: epoch + time.Duration(r.IntN(4000))*time.Millisecond,
			listed: epoch + time.Duration(3000+r.IntN(7000))*time.Millisecond, reports: n > 3 && i == 0 && r.IntN(2) == 0,
		}
		if r.IntN(3) == 0 {
			fleet[i].offset = time.Duration(r.IntN(6000)-3000) * time.Millisecond
		}
		if r.IntN(3) > 0 { // most disks hold the same
			fleet[i].holds = r.lists[0]
		}
	}
	var inFlight []answer
	for now := epoch; now < epoch+9*time.Second; now += step {
		var later []answer
		for _, a := range inFlight {
			if a.at > now {
				later = append(later, a)
			} else if a.to.rec != nil {
				a.to.handle(out, now, recovery.PeerReport{Peer: a.from.name, Clock: a.clock, State: a.state})
			}
		}
		inFlight = later
		for _, x := range fleet {
			x.advance(r, out, now)
			if x.rec == nil {
				continue
			}
			for _, other := range fleet {
				if other == x || other.rec == nil || r.IntN(10) == 0 {
					continue
				}
				arrival := now + time.Duration(r.IntN(300))*time.Millisecond
				inFlight = append(inFlight, answer{arrival, other, x, now + other.offset, other.state(r, now)})
			}
		}
	}
}

// advance starts an instance, or lets its time go by.
func (x *instance) advance(r *drawn, out *transcript, now time.Duration) {
	switch {
	case now < x.starts:
	case x.rec == nil || r.IntN(60) == 0:
		set := r.set
		set.Name, set.Peers = x.name, nil
		for _, name := range r.set.Peers {
			if name != x.name {
				set.Peers = append(set.Peers, name)
			}
		}
		x.rec, x.serving = recovery.New(set), 0
		x.handle(out, now, recovery.Startup{Disk: x.holds})
	case now >= x.listed:
		x.holds = r.lists[len(r.lists)-1]
		x.holds.UpdatedAt = now + x.offset
		x.handle(out, now, recovery.DiscoveryUpdate{})
	default:
		x.handle(out, now, recovery.Tick{})
	}
}

func (x *instance) handle(out *transcript, now time.Duration, ev recovery.Event) {
	local := now + x.offset
	d, ok := x.rec.Handle(local, ev)
	out.decision(local, x.name, d, ok)
	if ok && x.serving == 0 {
		x.serving = local
	}
}

// state is what an instance answers to another.
func (x *instance) state(r *drawn, now time.Duration) recovery.PeerState {
	local := now + x.offset
	if x.reports {
		return r.state(local)
	}
	v := x.holds
	if x.serving > 0 {
		v.Uptime = local - x.serving
	}
	return v
}
