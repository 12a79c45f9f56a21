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

// stateRequest is an encoded message that requests the receiver's state.
const stateRequest = `{"k":"ask"}`

// exchangeEpoch is the Unix time at which the recorded exchange begins.
const exchangeEpoch = 1_700_000_000_123 * time.Millisecond

// recorder is a transport that records the messages that an instance sends, and through which a test passes messages to it.
type recorder struct {
	receive func(membership.Message)
	sent    map[string][]string // message bodies by receiver
}

func (r *recorder) Send(to string, body []byte)          { r.sent[to] = append(r.sent[to], string(body)) }
func (r *recorder) Members() []membership.Member         { return nil }
func (r *recorder) Counts() map[string]membership.Counts { return nil }
func (r *recorder) Close() error                         { return nil }

// exchange runs instances and records, line by line, what they send and store, and which lists and levels result from the
// messages that they receive.
type exchange struct {
	t         *testing.T
	now       time.Duration
	name      string    // name of the instance that was started last
	transport *recorder // transport of the instance that was started last
	lines     []string
}

func (x *exchange) printf(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf(format, args...))
}

// start starts an instance that has two peers.
func (x *exchange) start(name string, disk *faultfs.FS) *Cluster {
	x.t.Helper()
	x.name, x.transport = name, &recorder{sent: map[string][]string{}}
	others := map[string]string{"a": "10.0.0.1:7000", "b": "10.0.0.2:7000", "c": "10.0.0.3:7000"}
	delete(others, name)
	c, err := Start(Options{
		Name: name, Peers: others, Dir: "d", PeerTimeout: 2 * time.Second, WarmupDuration: 20 * time.Second,
		Priorities: 3, MinAdmittedRatio: 0.05,
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
	x.t.Cleanup(func() { _ = c.Close() }) // an error is expected: some tests have closed the instance before
	return c
}

// receive passes a message to the instance that was started last.
func (x *exchange) receive(from, body string) {
	x.transport.receive(membership.Message{From: from, Incarnation: 1, Payload: []byte(body)})
}

// recordSent records the messages that were sent since the last call. Equal consecutive messages count as one, because the number
// of state requests depends on timing.
func (x *exchange) recordSent() {
	for _, to := range slices.Sorted(maps.Keys(x.transport.sent)) {
		for _, body := range slices.Compact(x.transport.sent[to]) {
			x.printf("sent %s %s %s", x.name, to, body)
		}
	}
	clear(x.transport.sent)
}

// firstUsedList returns the first provisional list that an instance uses.
func (x *exchange) firstUsedList(c *Cluster) *discovery.EndpointList {
	ctx, cancel := context.WithTimeout(x.t.Context(), 10*time.Second)
	defer cancel()
	var got *discovery.EndpointList
	c.Recover(ctx, func(m *discovery.EndpointList) {
		got = m
		cancel()
	})
	return got
}

// recordProvisionalList records a provisional list.
func (x *exchange) recordProvisionalList(m *discovery.EndpointList) {
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

// updateLoad passes counts to an instance and records the resulting level.
func (x *exchange) updateLoad(c *Cluster, own loadshed.LocalCounts) {
	x.now += loadshed.ReportInterval
	x.printf("level %s %x", x.name, math.Float64bits(c.UpdateLoad(own)))
	x.recordSent()
}

func exchangeServers(n int) (all []engine.Server) {
	for i := range n {
		id := fmt.Sprintf("s-%08x", i+1)
		all = append(all, engine.Server{Name: id, Addr: fmt.Sprintf("10.1.%d.%d:5000", i/250, i%250), Server: balancer.Server{
			ID:       discovery.ServerID(id),
			Zone:     []string{"oviedo", "gijón", "a<b>&\"c\"", ""}[i%4],
			Cell:     i % 3,
			Capacity: []float64{1, 0.1, 1e21, 1.0 / 3}[i%4],
			Started:  time.Duration(i%5) * (exchangeEpoch / 5),
		}})
	}
	return all
}

// recordSentDigest records a digest of the messages that were sent since the last call, which are too long to be recorded.
func (x *exchange) recordSentDigest() {
	for _, to := range slices.Sorted(maps.Keys(x.transport.sent)) {
		sum := sha256.Sum256([]byte(strings.Join(x.transport.sent[to], "\n")))
		x.printf("digest %s %s messages=%d %x", x.name, to, len(x.transport.sent[to]), sum[:8])
	}
	clear(x.transport.sent)
}

// run runs the whole recorded exchange.
func (x *exchange) run() {
	disk := faultfs.New(1)
	state, load := x.runFirstStart(disk)
	x.runRestart(disk)
	x.runEmptyDisk(state, load)
	x.runOtherHash(state)
	x.runMixedStates(state)
	x.runStartAhead(state, disk)
	x.runSnapshot()
}

// runFirstStart runs an instance without a list, with a list, with a changed list and with lists that are too long to be
// sent. It returns the messages that carry the changed list, and the instance's last load report.
func (x *exchange) runFirstStart(disk *faultfs.FS) (state []string, load string) {
	a := x.start("a", disk)
	x.receive("b", stateRequest)
	x.recordSent()

	x.now += 700 * time.Millisecond
	servers := exchangeServers(15)
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 8, Servers: servers})
	x.firstUsedList(a)
	x.recordSent()
	x.save(a)
	x.now += 2500 * time.Millisecond
	x.receive("c", stateRequest)
	x.recordSent()

	servers[3].State, servers[4].State = balancer.Removed, balancer.Draining
	added := engine.Server{Name: "server \u2028 \U0001f600 \t", Addr: "[::1]:5000"}
	added.Server = balancer.Server{Cell: -1, Capacity: -0.5, Started: time.Millisecond}
	delta := []engine.Server{servers[3], servers[4], added}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListDelta, Version: 9, Servers: delta})
	x.save(a)
	x.now += time.Second
	x.receive("c", `{"k":"ask","later":[1]}`)
	state = slices.Clone(x.transport.sent["c"])
	x.recordSent()

	for i := range 12 {
		x.updateLoad(a, loadshed.LocalCounts{
			Requests: []uint64{40, 30, uint64(20 + i)},
			Rejected: []uint64{20, 15, 9},
			Shed:     []uint64{uint64(i), 0, 0},
		})
	}
	load = x.lastSent("tier")
	x.runLongLists(a)
	x.close(a)
	x.recordStored(disk)
	return state, load
}

// runLongLists gives an instance an entry that is too long for a message, a list that is too long to be sent, and a list of
// many parts.
func (x *exchange) runLongLists(a *Cluster) {
	long := engine.Server{Name: "s-long", Addr: strings.Repeat("1", membership.MaxPayloadBytes)}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListDelta, Version: 10, Servers: []engine.Server{long}})
	x.receive("b", stateRequest)
	x.recordSent()
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 11, Servers: exchangeServers(1800)})
	x.receive("b", stateRequest)
	x.recordSent()
	servers := exchangeServers(800)
	for i := range servers {
		servers[i].Addr += strings.Repeat("0", i*i%61)
	}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 12, Servers: servers})
	x.receive("b", stateRequest)
	x.recordSentDigest()
}

// runRestart runs an instance that recovers from its disk without an answer from its peers.
func (x *exchange) runRestart(disk *faultfs.FS) {
	disk.Crash()
	a := x.start("a", disk)
	x.receive("c", stateRequest)
	x.recordSent()
	x.now += 2 * time.Second
	x.recordProvisionalList(x.firstUsedList(a))
	x.recordSent()
}

// runEmptyDisk runs an instance that recovers from its peers' states. It also receives messages that it must ignore.
func (x *exchange) runEmptyDisk(state []string, load string) {
	c := x.start("c", faultfs.New(2))
	for _, body := range state {
		x.receive("a", body)
		x.receive("b", body)
		x.receive("stranger", body)
	}
	x.receive("b", `{"k":"later"}`)
	x.receive("b", `{"k"`)
	x.recordProvisionalList(x.firstUsedList(c))
	x.recordSent()
	x.receive("a", load)
	x.receive("b", load)
	x.receive("stranger", `{"k":"tier","no":1,"share":1,"asked":[1,1,1]}`)
	x.updateLoad(c, loadshed.LocalCounts{
		Requests: []uint64{10, 10, 10}, Rejected: []uint64{0, 0, 0}, Shed: []uint64{0, 0, 0},
	})
}

// runOtherHash runs an instance that receives states whose hash does not match their entries.
func (x *exchange) runOtherHash(state []string) {
	c := x.start("c", faultfs.New(4))
	for _, body := range state {
		body = strings.ReplaceAll(body, "oviedo", "madrid")
		x.receive("a", body)
		x.receive("b", body)
	}
	x.recordProvisionalList(x.firstUsedList(c))
	x.recordSent()
}

// runMixedStates runs an instance that receives one part of one state and the other parts of another state.
func (x *exchange) runMixedStates(state []string) {
	hash, _, _ := strings.Cut(strings.SplitAfter(state[0], `"h":`)[1], ",")
	c := x.start("c", faultfs.New(5))
	for _, from := range []string{"a", "b"} {
		x.receive(from, strings.ReplaceAll(state[0], `"h":`+hash, `"h":1`))
		for _, body := range state[1:] {
			x.receive(from, body)
		}
	}
	x.now += 2 * time.Second
	x.recordProvisionalList(x.firstUsedList(c))
	x.recordSent()
}

// runStartAhead runs an instance whose peers report a start time that is ahead of its clock by more than maxClockSkew. Its
// disk holds the same list.
func (x *exchange) runStartAhead(state []string, disk *faultfs.FS) {
	a := x.start("a", disk)
	for _, body := range state {
		body = x.withStartTime(body, x.now+2500*time.Millisecond)
		x.receive("b", body)
		x.receive("c", body)
	}
	x.recordProvisionalList(x.firstUsedList(a))
	x.recordSent()
}

// runSnapshot runs an instance whose disk holds only a snapshot.
func (x *exchange) runSnapshot() {
	disk := faultfs.New(3)
	b := x.start("b", disk)
	for version := range int64(64) {
		servers := exchangeServers(2)
		b.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 100 + version, Servers: servers})
		x.save(b)
	}
	x.close(b)
	x.recordStored(disk)
	x.start("b", disk)
	x.receive("a", stateRequest)
	x.recordSent()
}

// withStartTime returns a message with the start time of its first server replaced.
func (x *exchange) withStartTime(body string, at time.Duration) string {
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
		x.t.Fatalf("%s: the list was not stored", x.name)
	}
}

// recordStored records the snapshot and the records that a disk holds.
func (x *exchange) recordStored(disk *faultfs.FS) {
	log, recoveredLog, err := wal.Open(disk, filepath.Join("d", "lists"), wal.Options{Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		x.t.Fatal(err)
	}
	if len(recoveredLog.Snapshot) > 0 {
		x.printf("stored %s %d %s", x.name, recoveredLog.SnapshotNumber, recoveredLog.Snapshot)
	}
	for _, r := range recoveredLog.Records {
		x.printf("stored %s %d %s", x.name, r.Number, r.Data)
	}
	if err := log.Close(); err != nil {
		x.t.Fatal(err)
	}
}

// lastSent returns the body of the last message of a kind that was sent.
func (x *exchange) lastSent(kind string) string {
	for _, line := range slices.Backward(x.lines) {
		if f := strings.SplitN(line, " ", 4); f[0] == "sent" && strings.HasPrefix(f[3], `{"k":"`+kind+`"`) {
			return f[3]
		}
	}
	x.t.Fatalf("got no sent message of kind %s, want one", kind)
	return ""
}

// recordedLines returns the lines of the file in testdata.
func recordedLines(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", exchangeFile))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// Messages and records are encoded byte for byte as in the file in testdata, and result in the same lists and levels.
func TestRecordedExchange(t *testing.T) {
	x := &exchange{t: t, now: exchangeEpoch}
	x.run()
	if *updateFormats {
		if err := os.MkdirAll("testdata", 0o777); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join("testdata", exchangeFile), []byte(strings.Join(x.lines, "\n")+"\n"), 0o666); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := recordedLines(t)
	for i := range min(len(want), len(x.lines)) {
		if x.lines[i] != want[i] {
			t.Errorf("line %d:\n got %s\nwant %s", i+1, x.lines[i], want[i])
		}
	}
	if len(x.lines) != len(want) {
		t.Errorf("got %d lines, want %d", len(x.lines), len(want))
	}
}
