package recovery_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/golden"
)

const (
	streamSeeds = 400 // each with one instance and events in any order
	fleetSeeds  = 200 // each with several instances that exchange their states

	// epoch is the Unix time at which the generated streams begin.
	epoch = 1_700_000_000 * time.Second
)

// Compares the decisions over generated event streams, with their exact times, with the digests in testdata. The digests
// cover every field that callers read, but only the number of warnings, because their wording is log text.
func TestStreamDecisionDigests(t *testing.T) {
	checkDigests(t, "streams.txt", streamSeeds, drawStream)
}

// Compares the decisions of instances that request one another's states, with lost and delayed messages, restarts, clocks that
// differ and one instance that reports arbitrary states.
func TestFleetDecisionDigests(t *testing.T) {
	checkDigests(t, "fleets.txt", fleetSeeds, drawFleet)
}

// checkDigests compares the digest of each seed's output with the seed's line of a file in testdata.
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
		t.Errorf("got %d decisions from %d seeds, want at least one from each: the streams are too short", decisions, seeds)
	}
	golden.CheckLines(t, file, lines)
}

// transcript hashes the output of one seed. Its binary encoding does not depend on the names of types or fields.
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

// decision adds the result of Handle to the hash.
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
	case recovery.FromNone:
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

// generator is the random generator of a seed, with the settings and lists that its streams use.
type generator struct {
	*rand.Rand
	settings recovery.Settings
	lists    []recovery.PeerState // with version, hash and server IDs; some share a version, some a hash
}

func newGenerator(seed uint64, stream uint64, peers int) *generator {
	r := &generator{Rand: rand.New(rand.NewPCG(seed, stream))}
	r.settings = recovery.Settings{
		Name:           "me",
		PeerTimeout:    time.Duration(r.IntN(3000)) * time.Millisecond,
		WarmupDuration: time.Duration(5+r.IntN(20)) * time.Second,
		MaxClockSkew:   time.Duration(500+r.IntN(2000)) * time.Millisecond,
	}
	for i := range peers {
		r.settings.Peers = append(r.settings.Peers, fmt.Sprint("p", i))
	}
	if r.IntN(5) == 0 { // the configuration lists the instance itself among its peers
		r.settings.Peers = append(r.settings.Peers, r.settings.Name)
	}
	r.settings.Peers = shuffled(r, r.settings.Peers)
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

func shuffled[T any](r *generator, list []T) []T {
	list = slices.Clone(list)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// nearBound returns a bound or a value one nanosecond below or above it, so that off-by-one errors in comparisons show.
func (r *generator) nearBound(bound time.Duration) time.Duration {
	return bound + time.Duration(r.IntN(3)-1)
}

// state returns a random state, mostly with one of the seed's lists, with random times.
func (r *generator) state(now time.Duration) recovery.PeerState {
	var v recovery.PeerState
	switch r.IntN(12) {
	case 0: // no list
	case 1:
		v = recovery.PeerState{Version: int64(r.IntN(3)) - 1, Hash: r.Uint64()}
	case 2: // an arbitrary list, as a faulty peer reports it
		v = recovery.PeerState{Version: r.Int64N(1 << 40), Hash: r.Uint64()}
		v.Servers = []recovery.Server{{ID: "s0"}, {ID: "x"}, {ID: "s0"}}
	default:
		v = r.lists[r.IntN(len(r.lists))]
	}
	v.Servers = slices.Clone(v.Servers)
	for i := range v.Servers {
		v.Servers[i].StartedAt = r.startTime(now)
	}
	v.Servers = shuffled(r, v.Servers)
	v.UpdatedAt, v.Uptime = now-time.Duration(r.IntN(100))*time.Second, 0
	if r.IntN(6) == 0 {
		v.UpdatedAt = r.nearBound(now + r.settings.MaxClockSkew)
	}
	switch r.IntN(4) {
	case 0:
		v.Uptime = r.nearBound(r.settings.WarmupDuration)
	case 1:
		v.Uptime = time.Duration(r.IntN(90)) * time.Second
	}
	return v
}

func (r *generator) startTime(now time.Duration) time.Duration {
	switch r.IntN(6) {
	case 0:
		return 0
	case 1:
		return r.nearBound(now + r.settings.MaxClockSkew)
	case 2:
		return now - time.Duration(r.Int64N(int64(time.Hour)))
	case 3:
		return time.Duration(r.IntN(3) - 1)
	default:
		return now - time.Duration(r.IntN(30))*time.Second
	}
}

func (r *generator) report(now time.Duration, peer string) recovery.PeerReport {
	m := recovery.PeerReport{Peer: peer, Clock: now, State: r.state(now)}
	switch r.IntN(8) {
	case 0:
		m.Clock = r.nearBound(now + r.settings.MaxClockSkew)
	case 1:
		m.Clock = r.nearBound(now - r.settings.MaxClockSkew)
	case 2:
		m.Clock = now + time.Duration(r.IntN(10_000)-5_000)*time.Millisecond
	}
	return m
}

// drawStream passes events of every kind to one instance, mostly in an order that occurs in practice.
func drawStream(seed uint64, out *transcript) {
	r := newGenerator(seed, 1, int(seed%7))
	rec := recovery.New(r.settings)
	now := epoch
	handle := func(ev recovery.Event) {
		d, ok := rec.Handle(now, ev)
		out.decision(now, "me", d, ok)
	}
	if r.IntN(10) == 0 { // a report that arrives before the disk is read
		handle(r.report(now, "p0"))
	}
	handle(recovery.Startup{Disk: r.state(now)})
	startedAt := now
	peers := append(slices.Clone(r.settings.Peers), "me", "stranger")
	for range 5 + r.IntN(30) {
		if now < startedAt+r.settings.PeerTimeout-time.Second && r.IntN(5) == 0 || r.IntN(20) == 0 {
			now = max(now, r.nearBound(startedAt+r.settings.PeerTimeout))
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

// instance is one instance of a generated fleet.
type instance struct {
	name               string
	stateMachine       *recovery.Recovery // nil before the first start
	clockOffset        time.Duration      // time of its clock minus the simulated time
	firstStart         time.Duration      // time of its first start
	discoveryAnswersAt time.Duration      // time from which discovery answers it
	held               recovery.PeerState
	servingSince       time.Duration // start of serving by its own clock; 0 means that it is recovering
	isFaulty           bool          // it reports random states
}

// answer is a state on its way from one instance to another.
type answer struct {
	at       time.Duration
	from, to *instance
	clock    time.Duration
	state    recovery.PeerState
}

// drawFleet starts instances after a loss of power. They request one another's states throughout, discovery answers each of
// them at some time, and some restart.
func drawFleet(seed uint64, out *transcript) {
	const step = 150 * time.Millisecond
	n := 2 + int(seed%5)
	r := newGenerator(seed, 2, n)
	r.settings.Peers = slices.DeleteFunc(r.settings.Peers, func(name string) bool { return name == r.settings.Name })
	r.settings.WarmupDuration = time.Duration(1+r.IntN(3)) * time.Second
	fleet := make([]*instance, n)
	for i, name := range slices.Sorted(slices.Values(r.settings.Peers)) {
		fleet[i] = &instance{
			name: name, held: r.state(epoch),
			firstStart:         epoch + time.Duration(r.IntN(4000))*time.Millisecond,
			discoveryAnswersAt: epoch + time.Duration(3000+r.IntN(7000))*time.Millisecond,
			isFaulty:           n > 3 && i == 0 && r.IntN(2) == 0,
		}
		if r.IntN(3) == 0 {
			fleet[i].clockOffset = time.Duration(r.IntN(6000)-3000) * time.Millisecond
		}
		if r.IntN(3) > 0 { // most disks hold the same list
			fleet[i].held = r.lists[0]
		}
	}
	var inFlight []answer
	for now := epoch; now < epoch+9*time.Second; now += step {
		var later []answer
		for _, a := range inFlight {
			if a.at > now {
				later = append(later, a)
			} else if a.to.stateMachine != nil {
				a.to.handle(out, now, recovery.PeerReport{Peer: a.from.name, Clock: a.clock, State: a.state})
			}
		}
		inFlight = later
		for _, x := range fleet {
			x.advance(r, out, now)
			if x.stateMachine == nil {
				continue
			}
			for _, other := range fleet {
				if other == x || other.stateMachine == nil || r.IntN(10) == 0 {
					continue
				}
				arrival := now + time.Duration(r.IntN(300))*time.Millisecond
				inFlight = append(inFlight, answer{arrival, other, x, now + other.clockOffset, other.state(r, now)})
			}
		}
	}
}

// advance starts or restarts an instance, or passes discovery's update or a tick to it.
func (x *instance) advance(r *generator, out *transcript, now time.Duration) {
	switch {
	case now < x.firstStart:
	case x.stateMachine == nil || r.IntN(60) == 0:
		settings := r.settings
		settings.Name, settings.Peers = x.name, nil
		for _, name := range r.settings.Peers {
			if name != x.name {
				settings.Peers = append(settings.Peers, name)
			}
		}
		x.stateMachine, x.servingSince = recovery.New(settings), 0
		x.handle(out, now, recovery.Startup{Disk: x.held})
	case now >= x.discoveryAnswersAt:
		x.held = r.lists[len(r.lists)-1]
		x.held.UpdatedAt = now + x.clockOffset
		x.handle(out, now, recovery.DiscoveryUpdate{})
	default:
		x.handle(out, now, recovery.Tick{})
	}
}

func (x *instance) handle(out *transcript, now time.Duration, ev recovery.Event) {
	local := now + x.clockOffset
	d, ok := x.stateMachine.Handle(local, ev)
	out.decision(local, x.name, d, ok)
	if ok && x.servingSince == 0 {
		x.servingSince = local
	}
}

// state returns the state that an instance reports to another.
func (x *instance) state(r *generator, now time.Duration) recovery.PeerState {
	local := now + x.clockOffset
	if x.isFaulty {
		return r.state(local)
	}
	v := x.held
	if x.servingSince > 0 {
		v.Uptime = local - x.servingSince
	}
	return v
}
