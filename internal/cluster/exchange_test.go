package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
)

var updateFormats = flag.Bool("update", false, "write testdata/exchange.txt anew")

const exchangeFile = "exchange.txt"

// stateRequest is a message that asks for the receiver's state.
const stateRequest = `{"k":"ask"}`

// formatClock is the Unix time at which the recorded exchange begins.
const formatClock = 1_700_000_000_123 * time.Millisecond

// recorder is a transport that keeps what an instance sends, and through which a test has it receive.
type recorder struct {
	receive func(membership.Message)
	sent    map[string][]string
}

func (r *recorder) Send(to string, body []byte)          { r.sent[to] = append(r.sent[to], string(body)) }
func (r *recorder) Members() []membership.Member         { return nil }
func (r *recorder) Counts() map[string]membership.Counts { return nil }
func (r *recorder) Close() error                         { return nil }

// exchange is what some instances send, store and conclude from what they receive, line by line.
type exchange struct {
	t         *testing.T
	now       time.Duration
	name      string    // of the instance that started last
	transport *recorder // its
	lines     []string
}

func (x *exchange) printf(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf(format, args...))
}

// start starts an instance beside two others.
func (x *exchange) start(name string, disk *faultfs.FS) *Cluster {
	x.t.Helper()
	x.name, x.transport = name, &recorder{sent: map[string][]string{}}
	others := map[string]string{"a": "10.0.0.1:7000", "b": "10.0.0.2:7000", "c": "10.0.0.3:7000"}
	delete(others, name)
	c, err := Start(Options{
		Name: name, Peers: others, Dir: "d", PeerTimeout: 2 * time.Second, WarmupDuration: 20 * time.Second, Priorities: 3, MinAdmittedRatio: 0.05,
		FS:     disk,
		Clock:  func() time.Duration { return x.now },
		Logger: slog.New(slog.DiscardHandler),
		Connect: func(o membership.Options) (membership.Transport, error) {
			x.transport.receive = o.OnMessage
			return x.transport, nil
		},
	})
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = c.Close() }) // some are closed twice
	return c
}

// receive has the instance take a message.
func (x *exchange) receive(from, body string) {
	x.transport.receive(membership.Message{From: from, Incarnation: 1, Payload: []byte(body)})
}

// flush notes what was sent since the last call. Equal messages in a row count as one: how often peers are asked is a matter
// of time.
func (x *exchange) flush() {
	for _, to := range slices.Sorted(maps.Keys(x.transport.sent)) {
		for _, body := range slices.Compact(x.transport.sent[to]) {
			x.printf("sent %s %s %s", x.name, to, body)
		}
	}
	clear(x.transport.sent)
}

// recover returns the list that an instance uses after what it has received.
func (x *exchange) recover(c *Cluster) *discovery.EndpointList {
	ctx, cancel := context.WithTimeout(x.t.Context(), 10*time.Second)
	defer cancel()
	var got *discovery.EndpointList
	c.Recover(ctx, func(m *discovery.EndpointList) {
		got = m
		cancel()
	})
	return got
}

func (x *exchange) hint(m *discovery.EndpointList) {
	if m == nil {
		x.printf("hint %s nothing", x.name)
		return
	}
	x.printf("hint %s version=%d full=%t servers=%d", x.name, m.Version, m.Complete, len(m.Endpoints))
	for _, s := range m.Endpoints {
		x.printf("hint %s id=%q addr=%q zone=%q kind=%q cell=%d state=%q weight=%x started=%d", x.name, s.ID, s.Addr, s.Zone,
			s.Kind, s.Cell, s.State, math.Float64bits(s.Weight), s.StartedMS)
	}
}

// updateLoad has an instance take its counts, and notes the level that results.
func (x *exchange) updateLoad(c *Cluster, own loadshed.LocalCounts) {
	x.now += loadshed.ReportInterval
	x.printf("level %s %x", x.name, math.Float64bits(c.UpdateLoad(own)))
	x.flush()
}

func formatServers(n int) (all []engine.Server) {
	for i := range n {
		id := fmt.Sprintf("s-%08x", i+1)
		all = append(all, engine.Server{Name: id, Addr: fmt.Sprintf("10.1.%d.%d:5000", i/250, i%250), Server: balancer.Server{
			ID:       discovery.ServerID(id),
			Zone:     []string{"oviedo", "gijón", "a<b>&\"c\"", ""}[i%4],
			Cell:     i % 3,
			Capacity: []float64{1, 0.1, 1e21, 1.0 / 3}[i%4],
			Started:  time.Duration(i%5) * (formatClock / 5),
		}})
	}
	return all
}

// flushDigest notes what was sent since the last call, where it is too much to be recorded.
func (x *exchange) flushDigest() {
	for _, to := range slices.Sorted(maps.Keys(x.transport.sent)) {
		sum := sha256.Sum256([]byte(strings.Join(x.transport.sent[to], "\n")))
		x.printf("digest %s %s messages=%d %x", x.name, to, len(x.transport.sent[to]), sum[:8])
	}
	clear(x.transport.sent)
}

// play plays the recorded exchange.
func (x *exchange) play() {
	disk := faultfs.New(1)
	state, load := x.playFirstStart(disk)
	x.playRestart(disk)
	x.playEmptyDisk(state, load)
	x.playOtherHash(state)
	x.playMixedStates(state)
	x.playStartAhead(state, disk)
	x.playSnapshot()
}

// playFirstStart plays an instance without a list, with one, with a changed one and with ones that are too long for
// messages. It returns the messages that carry the changed list, and its last load report.
func (x *exchange) playFirstStart(disk *faultfs.FS) (state []string, load string) {
	a := x.start("a", disk)
	x.receive("b", stateRequest)
	x.flush()

	x.now += 700 * time.Millisecond
	servers := formatServers(15)
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 8, Servers: servers})
	x.recover(a)
	x.flush()
	x.save(a)
	x.now += 2500 * time.Millisecond
	x.receive("c", stateRequest)
	x.flush()

	servers[3].State, servers[4].State = balancer.Removed, balancer.Draining
	added := engine.Server{Name: "server \u2028 \U0001f600 \t", Addr: "[::1]:5000"}
	added.Server = balancer.Server{Cell: -1, Capacity: -0.5, Started: time.Millisecond}
	delta := []engine.Server{servers[3], servers[4], added}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListDelta, Version: 9, Servers: delta})
	x.save(a)
	x.now += time.Second
	x.receive("c", `{"k":"ask","later":[1]}`)
	state = slices.Clone(x.transport.sent["c"])
	x.flush()

	for i := range 12 {
		x.updateLoad(a, loadshed.LocalCounts{
			Requests: []uint64{40, 30, uint64(20 + i)},
			Rejected: []uint64{20, 15, 9},
			Shed:     []uint64{uint64(i), 0, 0},
		})
	}
	load = x.lastSent("tier")
	x.playLongLists(a)
	x.close(a)
	x.stored(disk)
	return state, load
}

// playLongLists plays an entry that is too long for a message, a list that is, and one of many parts.
func (x *exchange) playLongLists(a *Cluster) {
	long := engine.Server{Name: "s-long", Addr: strings.Repeat("1", membership.MaxBodyBytes)}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListDelta, Version: 10, Servers: []engine.Server{long}})
	x.receive("b", stateRequest)
	x.flush()
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 11, Servers: formatServers(1800)})
	x.receive("b", stateRequest)
	x.flush()
	servers := formatServers(800)
	for i := range servers {
		servers[i].Addr += strings.Repeat("0", i*i%61)
	}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 12, Servers: servers})
	x.receive("b", stateRequest)
	x.flushDigest()
}

// playRestart plays an instance that starts alone from its disk.
func (x *exchange) playRestart(disk *faultfs.FS) {
	disk.Crash()
	a := x.start("a", disk)
	x.receive("c", stateRequest)
	x.flush()
	x.now += 2 * time.Second
	x.hint(x.recover(a))
	x.flush()
}

// playEmptyDisk plays an instance that starts from what its peers send, beside messages that are not for it.
func (x *exchange) playEmptyDisk(state []string, load string) {
	c := x.start("c", faultfs.New(2))
	for _, body := range state {
		x.receive("a", body)
		x.receive("b", body)
		x.receive("stranger", body)
	}
	x.receive("b", `{"k":"later"}`)
	x.receive("b", `{"k"`)
	x.hint(x.recover(c))
	x.flush()
	x.receive("a", load)
	x.receive("b", load)
	x.receive("stranger", `{"k":"tier","no":1,"share":1,"asked":[1,1,1]}`)
	x.updateLoad(c, loadshed.LocalCounts{
		Requests: []uint64{10, 10, 10}, Rejected: []uint64{0, 0, 0}, Shed: []uint64{0, 0, 0},
	})
}

// playOtherHash plays states whose entries are not those of their hash.
func (x *exchange) playOtherHash(state []string) {
	c := x.start("c", faultfs.New(4))
	for _, body := range state {
		body = strings.ReplaceAll(body, "oviedo", "madrid")
		x.receive("a", body)
		x.receive("b", body)
	}
	x.hint(x.recover(c))
	x.flush()
}

// playMixedStates plays a part of one state and the other parts of another.
func (x *exchange) playMixedStates(state []string) {
	hash, _, _ := strings.Cut(strings.SplitAfter(state[0], `"h":`)[1], ",")
	c := x.start("c", faultfs.New(5))
	for _, from := range []string{"a", "b"} {
		x.receive(from, strings.ReplaceAll(state[0], `"h":`+hash, `"h":1`))
		for _, body := range state[1:] {
			x.receive(from, body)
		}
	}
	x.now += 2 * time.Second
	x.hint(x.recover(c))
	x.flush()
}

// playStartAhead plays a start time that is ahead of the clock by more than clocks may differ. The disk holds the same list.
func (x *exchange) playStartAhead(state []string, disk *faultfs.FS) {
	a := x.start("a", disk)
	for _, body := range state {
		body = x.startedAt(body, x.now+2500*time.Millisecond)
		x.receive("b", body)
		x.receive("c", body)
	}
	x.hint(x.recover(a))
	x.flush()
}

// playSnapshot plays a disk that holds a snapshot alone.
func (x *exchange) playSnapshot() {
	disk := faultfs.New(3)
	b := x.start("b", disk)
	for version := range int64(64) {
		servers := formatServers(2)
		b.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 100 + version, Servers: servers})
		x.save(b)
	}
	x.close(b)
	x.stored(disk)
	x.start("b", disk)
	x.receive("a", stateRequest)
	x.flush()
}

// startedAt is a message whose first server has started at a time.
func (x *exchange) startedAt(body string, at time.Duration) string {
	var m message
	if err := json.Unmarshal([]byte(body), &m); err != nil {
		x.t.Fatal(err)
	}
	m.Endpoints[0].StartedMS = at.Milliseconds()
	b, err := json.Marshal(m)
	if err != nil {
		x.t.Fatal(err)
	}
	return string(b)
}

func (x *exchange) close(c *Cluster) {
	if err := c.Close(); err != nil {
		x.t.Fatal(err)
	}
}

func (x *exchange) save(c *Cluster) {
	if !c.save() {
		x.t.Fatalf("%s: not stored", x.name)
	}
}

// stored notes the records that a disk holds.
func (x *exchange) stored(disk *faultfs.FS) {
	s, held, err := wal.Open(disk, filepath.Join("d", "lists"), wal.Options{Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		x.t.Fatal(err)
	}
	if len(held.Snapshot) > 0 {
		x.printf("stored %s %d %s", x.name, held.SnapshotNumber, held.Snapshot)
	}
	for _, r := range held.Records {
		x.printf("stored %s %d %s", x.name, r.Number, r.Data)
	}
	if err := s.Close(); err != nil {
		x.t.Fatal(err)
	}
}

// lastSent is the body of the last message of a kind.
func (x *exchange) lastSent(kind string) string {
	for _, line := range slices.Backward(x.lines) {
		if f := strings.SplitN(line, " ", 4); f[0] == "sent" && strings.HasPrefix(f[3], `{"k":"`+kind+`"`) {
			return f[3]
		}
	}
	x.t.Fatalf("no message of kind %s was sent", kind)
	return ""
}

// recorded is what the file in testdata holds, line by line.
func recorded(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", exchangeFile))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// Messages and records are written byte for byte as the file in testdata holds them, and read to the same lists and levels.
func TestRecordedExchange(t *testing.T) {
	x := &exchange{t: t, now: formatClock}
	x.play()
	if *updateFormats {
		if err := os.MkdirAll("testdata", 0o777); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join("testdata", exchangeFile), []byte(strings.Join(x.lines, "\n")+"\n"), 0o666); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := recorded(t)
	for i := range min(len(want), len(x.lines)) {
		if x.lines[i] != want[i] {
			t.Errorf("line %d:\n got %s\nwant %s", i+1, x.lines[i], want[i])
		}
	}
	if len(x.lines) != len(want) {
		t.Errorf("%d lines, recorded are %d", len(x.lines), len(want))
	}
}
