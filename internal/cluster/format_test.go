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
	"strconv"
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
	t     *testing.T
	now   time.Duration
	disk  *faultfs.FS // of the instance that started last
	links *recorder   // its
	name  string
	lines []string
}

func (x *exchange) printf(format string, args ...any) {
	x.lines = append(x.lines, fmt.Sprintf(format, args...))
}

// start starts an instance beside two others.
func (x *exchange) start(name string, disk *faultfs.FS) *Cluster {
	x.t.Helper()
	x.name, x.disk, x.links = name, disk, &recorder{sent: map[string][]string{}}
	others := map[string]string{"a": "10.0.0.1:7000", "b": "10.0.0.2:7000", "c": "10.0.0.3:7000"}
	delete(others, name)
	c, err := Start(Options{
		Name: name, Peers: others, Dir: "d", PeerTimeout: 2 * time.Second, WarmupDuration: 20 * time.Second, Priorities: 3, MinAdmittedRatio: 0.05,
		FS:     disk,
		Clock:  func() time.Duration { return x.now },
		Logger: slog.New(slog.DiscardHandler),
		Connect: func(o membership.Options) (membership.Transport, error) {
			x.links.receive = o.OnMessage
			return x.links, nil
		},
	})
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { c.Close() })
	return c
}

// receive has the instance take a message.
func (x *exchange) receive(from, body string) {
	x.links.receive(membership.Message{From: from, Incarnation: 1, Payload: []byte(body)})
}

// flush notes what was sent since the last call. Equal messages in a row count as one: how often peers are asked is a matter
// of time.
func (x *exchange) flush() {
	for _, to := range slices.Sorted(maps.Keys(x.links.sent)) {
		for _, body := range slices.Compact(x.links.sent[to]) {
			x.printf("sent %s %s %s", x.name, to, body)
		}
	}
	clear(x.links.sent)
}

// recover has an instance go by what it has received.
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

// shed has an instance take its counts, and notes the level that it goes by.
func (x *exchange) shed(c *Cluster, own loadshed.LocalCounts) {
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

// digest notes what was sent since the last call, where it is too much to be recorded.
func (x *exchange) digest() {
	for _, to := range slices.Sorted(maps.Keys(x.links.sent)) {
		sum := sha256.Sum256([]byte(strings.Join(x.links.sent[to], "\n")))
		x.printf("digest %s %s messages=%d %x", x.name, to, len(x.links.sent[to]), sum[:8])
	}
	clear(x.links.sent)
}

// play plays the recorded exchange: an instance without a list, with one, with a changed one and with one that is too long
// for messages; then one that starts from the disk, one that starts from what the first sent, and one whose disk holds a
// snapshot.
func (x *exchange) play() {
	disk := faultfs.New(1)
	a := x.start("a", disk)
	x.receive("b", `{"k":"ask"}`)
	x.flush()

	x.now += 700 * time.Millisecond
	servers := formatServers(15)
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 8, Servers: servers})
	x.recover(a)
	x.flush()
	x.save(a)
	x.now += 2500 * time.Millisecond
	x.receive("c", `{"k":"ask"}`)
	x.flush()

	servers[3].State, servers[4].State = balancer.Removed, balancer.Draining
	added := engine.Server{Name: "server \u2028 \U0001f600 \t", Addr: "[::1]:5000"}
	added.Server = balancer.Server{Cell: -1, Capacity: -0.5, Started: time.Millisecond}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListDelta, Version: 9, Servers: []engine.Server{servers[3], servers[4], added}})
	x.save(a)
	x.now += time.Second
	x.receive("c", `{"k":"ask","later":[1]}`)
	told := slices.Clone(x.links.sent["c"])
	x.flush()

	for i := range 12 {
		x.shed(a, loadshed.LocalCounts{Requests: []uint64{40, 30, uint64(20 + i)}, Rejected: []uint64{20, 15, 9}, Shed: []uint64{uint64(i), 0, 0}})
	}
	digest := x.lastSent("tier")

	long := engine.Server{Name: "s-long", Addr: strings.Repeat("1", membership.MaxBodyBytes)}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListDelta, Version: 10, Servers: []engine.Server{long}})
	x.receive("b", `{"k":"ask"}`)
	x.flush()
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 11, Servers: formatServers(1800)})
	x.receive("b", `{"k":"ask"}`)
	x.flush()
	servers = formatServers(800)
	for i := range servers {
		servers[i].Addr += strings.Repeat("0", i*i%61)
	}
	a.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 12, Servers: servers})
	x.receive("b", `{"k":"ask"}`)
	x.digest()
	a.Close()
	x.stored(disk)

	disk.Crash()
	restarted := x.start("a", disk)
	x.receive("c", `{"k":"ask"}`)
	x.flush()
	x.now += 2 * time.Second
	x.hint(x.recover(restarted))
	x.flush()

	c := x.start("c", faultfs.New(2))
	for _, body := range told {
		x.receive("a", body)
		x.receive("b", body)
		x.receive("stranger", body)
	}
	x.receive("b", `{"k":"later"}`)
	x.receive("b", `{"k"`)
	x.hint(x.recover(c))
	x.flush()
	x.receive("a", digest)
	x.receive("b", digest)
	x.receive("stranger", `{"k":"tier","no":1,"share":1,"asked":[1,1,1]}`)
	x.shed(c, loadshed.LocalCounts{Requests: []uint64{10, 10, 10}, Rejected: []uint64{0, 0, 0}, Shed: []uint64{0, 0, 0}})

	x.playDoubtful(told, disk)

	disk = faultfs.New(3)
	b := x.start("b", disk)
	for version := range int64(64) {
		b.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 100 + version, Servers: formatServers(2)})
		x.save(b)
	}
	b.Close()
	x.stored(disk)
	x.start("b", disk)
	x.receive("a", `{"k":"ask"}`)
	x.flush()
}

// playDoubtful plays what instances make of messages that don't fit: entries that are not those of the hash, parts of two
// lists, and starts that lie ahead of the clock. The disk holds the same list.
func (x *exchange) playDoubtful(told []string, disk *faultfs.FS) {
	another := slices.Clone(told)
	for i := range another {
		another[i] = strings.ReplaceAll(another[i], "oviedo", "madrid")
	}
	c := x.start("c", faultfs.New(4))
	for _, body := range another {
		x.receive("a", body)
		x.receive("b", body)
	}
	x.hint(x.recover(c))
	x.flush()

	hash, _, _ := strings.Cut(strings.SplitAfter(another[0], `"h":`)[1], ",")
	for i := range another {
		another[i] = strings.ReplaceAll(another[i], `"h":`+hash, `"h":1`)
	}
	c = x.start("c", faultfs.New(5))
	for _, from := range []string{"a", "b"} {
		x.receive(from, another[0])
		for _, body := range told[1:] {
			x.receive(from, body)
		}
	}
	x.now += 2 * time.Second
	x.hint(x.recover(c))
	x.flush()

	a := x.start("a", disk)
	for _, body := range told {
		body = x.startedAt(body, x.now+2500*time.Millisecond)
		x.receive("b", body)
		x.receive("c", body)
	}
	x.hint(x.recover(a))
	x.flush()
}

// startedAt is a message whose first server has started at a time.
func (x *exchange) startedAt(body string, at time.Duration) string {
	var m message
	if err := json.Unmarshal([]byte(body), &m); err != nil {
		x.t.Fatal(err)
	}
	m.Servers[0].StartedMS = at.Milliseconds()
	b, err := json.Marshal(m)
	if err != nil {
		x.t.Fatal(err)
	}
	return string(b)
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
func TestExchangeIsAsRecorded(t *testing.T) {
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

// Each recorded message is decoded to the values that stand in it, and encoded to the same bytes again.
func TestRecordedMessagesDecodeAndEncodeAgain(t *testing.T) {
	kinds := map[string]int{}
	for _, line := range recorded(t) {
		f := strings.SplitN(line, " ", 4)
		if f[0] != "sent" {
			continue
		}
		var m message
		if err := json.Unmarshal([]byte(f[3]), &m); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		kinds[m.Kind]++
		v := object(t, f[3])
		v.text("k", m.Kind)
		v.integer("v", m.Version)
		v.unsigned("h", m.Hash)
		v.integer("i", int64(m.Part))
		v.integer("n", int64(m.Parts))
		v.integer("at", m.AtMS)
		v.integer("up", m.UpMS)
		v.integer("now", m.NowMS)
		v.unsigned("no", m.Number)
		v.float("share", m.Share)
		v.members("s", m.Servers)
		v.floats("asked", m.Asked)
		v.done()
		again, err := json.Marshal(m)
		if err != nil || string(again) != f[3] {
			t.Errorf("encoded again as %s (%v), not %s", again, err, f[3])
		}
	}
	if kinds["ask"] == 0 || kinds["part"] < 5 || kinds["tier"] == 0 || len(kinds) != 3 {
		t.Errorf("recorded are %v", kinds)
	}
}

// The same for each record on the disk.
func TestRecordedRecordsDecodeAndEncodeAgain(t *testing.T) {
	n := 0
	for _, line := range recorded(t) {
		f := strings.SplitN(line, " ", 4)
		if f[0] != "stored" {
			continue
		}
		n++
		var r record
		if err := json.Unmarshal([]byte(f[3]), &r); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		v := object(t, f[3])
		v.integer("at", r.AtMS)
		v.integer("version", r.Version)
		v.boolean("full", r.Complete)
		v.members("servers", r.Endpoints)
		v.done()
		again, err := json.Marshal(r)
		if err != nil || string(again) != f[3] {
			t.Errorf("encoded again as %s (%v), not %s", again, err, f[3])
		}
	}
	if n != 3 {
		t.Errorf("%d records are recorded", n)
	}
}

// A record of nothing has all its keys, and a message of nothing has its kind alone.
func TestZeroValuesEncodeAsBefore(t *testing.T) {
	for want, v := range map[string]any{
		`{"at":0,"version":0,"full":false,"servers":null}`: record{},
		`{"k":""}`: message{},
	} {
		if got, err := json.Marshal(v); err != nil || string(got) != want {
			t.Errorf("%s (%v), not %s", got, err, want)
		}
	}
}

// values are those of a JSON object, by key, as they stand in the text. One that is missing is zero.
type values struct {
	t    *testing.T
	left map[string]json.RawMessage
}

func object(t *testing.T, text string) *values {
	t.Helper()
	v := &values{t: t}
	if err := json.Unmarshal([]byte(text), &v.left); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return v
}

// take removes a key and compares its text with a decoded value's.
func (v *values) take(key, zero, got string) {
	v.t.Helper()
	want, ok := v.left[key]
	if !ok {
		want = json.RawMessage(zero)
	}
	delete(v.left, key)
	if got != string(want) {
		v.t.Errorf("%s is %s, decoded as %s", key, want, got)
	}
}

func (v *values) integer(key string, got int64) {
	v.t.Helper()
	v.take(key, "0", strconv.FormatInt(got, 10))
}
func (v *values) unsigned(key string, got uint64) {
	v.t.Helper()
	v.take(key, "0", strconv.FormatUint(got, 10))
}
func (v *values) boolean(key string, got bool) {
	v.t.Helper()
	v.take(key, "false", strconv.FormatBool(got))
}

func (v *values) float(key string, got float64) {
	v.t.Helper()
	want := 0.0
	if text, ok := v.left[key]; ok {
		var err error
		if want, err = strconv.ParseFloat(string(text), 64); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if math.Float64bits(got) != math.Float64bits(want) {
		v.t.Errorf("%s is %v, decoded as %v", key, want, got)
	}
}

func (v *values) text(key, got string) {
	v.t.Helper()
	var want string
	if text, ok := v.left[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if got != want {
		v.t.Errorf("%s is %q, decoded as %q", key, want, got)
	}
}

func (v *values) floats(key string, got []float64) {
	v.t.Helper()
	var want []float64
	if text, ok := v.left[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if !slices.Equal(got, want) {
		v.t.Errorf("%s is %v, decoded as %v", key, want, got)
	}
}

func (v *values) members(key string, got []discovery.Endpoint) {
	v.t.Helper()
	var want []json.RawMessage
	if text, ok := v.left[key]; ok {
		if err := json.Unmarshal(text, &want); err != nil {
			v.t.Fatalf("%s: %v", key, err)
		}
	}
	delete(v.left, key)
	if len(got) != len(want) {
		v.t.Fatalf("%s has %d entries, decoded are %d", key, len(want), len(got))
	}
	for i, m := range got {
		e := object(v.t, string(want[i]))
		e.text("id", m.ID)
		e.text("addr", m.Addr)
		e.text("zone", m.Zone)
		e.text("kind", m.Kind)
		e.integer("cell", int64(m.Cell))
		e.text("state", m.State)
		e.float("weight", m.Weight)
		e.integer("started_ms", m.StartedMS)
		e.done()
	}
}

// done fails where a key was looked at by no test.
func (v *values) done() {
	v.t.Helper()
	for _, key := range slices.Sorted(maps.Keys(v.left)) {
		v.t.Errorf("%s=%s is decoded to nothing", key, v.left[key])
	}
}
