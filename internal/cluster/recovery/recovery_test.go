package recovery

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const now = 1_700_000_000 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

func testSettings(peers int) Settings {
	s := Settings{Name: "me", PeerTimeout: 2 * time.Second, WarmupDuration: 20 * time.Second, MaxClockSkew: time.Second}
	for i := range peers {
		s.Peers = append(s.Peers, peerName(i))
	}
	return s
}

func peerName(i int) string { return fmt.Sprint("p", i) }

// holding is the state of an instance with a list of a version. Lists of one version are the same.
func holding(version int64, servers ...Server) PeerState {
	return PeerState{Version: version, Hash: uint64(version) * 7, Servers: servers, UpdatedAt: now - time.Minute}
}

func servers(ids ...string) []Server {
	var all []Server
	for _, id := range ids {
		all = append(all, Server{ID: id})
	}
	return all
}

// decide returns the first decision of an instance with a disk and peers, of which the first is p0. It fails the test
// where the decision comes early, late or twice, or where discovery does not end the recovery.
func decide(t *testing.T, settings Settings, disk PeerState, peers ...PeerState) Decision {
	t.Helper()
	r := New(settings)
	decision, ok := r.Handle(now, Startup{disk})
	for i, state := range peers {
		if ok {
			t.Fatal("decided before all peers had answered")
		}
		decision, ok = r.Handle(now+time.Second, PeerReport{peerName(i), now + time.Second, state})
	}
	if !ok {
		if _, ok = r.Handle(now+settings.PeerTimeout-1, Tick{}); ok {
			t.Fatal("decided before the peers' time was up")
		}
		decision, ok = r.Handle(now+settings.PeerTimeout, Tick{})
	}
	if !ok {
		t.Fatal("not decided in time")
	}
	if _, again := r.Handle(now+100*time.Second, Tick{}); again {
		t.Fatal("decided twice")
	}
	if _, again := r.Handle(now+100*time.Second, DiscoveryUpdate{}); !again {
		t.Fatal("no decision on discovery's update")
	}
	if _, again := r.Handle(now+100*time.Second, PeerReport{"p0", now, holding(7)}); again {
		t.Fatal("decided after discovery's update")
	}
	return decision
}

var otherForm = PeerState{Version: 42, Hash: 1}

var listSelectionTests = []struct {
	name     string
	disk     PeerState
	peers    []PeerState
	source   Source
	version  int64
	from     []string
	warnings []Warning
}{
	{name: "neither disk nor peers", source: FromNowhere},
	{name: "disk alone", disk: holding(41), source: FromDisk, version: 41},
	{
		name: "two peers with a newer list", disk: holding(41),
		peers:  []PeerState{holding(43), holding(43), holding(41)},
		source: FromPeers, version: 43, from: []string{"p0", "p1"},
	},
	{
		name: "two peers with an older list", disk: holding(41),
		peers:  []PeerState{holding(40), holding(40)},
		source: FromPeers, version: 40, from: []string{"p0", "p1"},
	},
	{
		name: "disk's list at one peer", disk: holding(41),
		peers:  []PeerState{holding(41), holding(40), holding(40)},
		source: FromDisk, version: 41,
	},
	{
		name: "one faulty peer among four", disk: holding(41),
		peers:  []PeerState{holding(999), holding(41), holding(41), holding(41)},
		source: FromDisk, version: 41,
	},
	{
		name:   "one faulty peer beside an empty disk",
		peers:  []PeerState{holding(999), holding(41), holding(41)},
		source: FromPeers, version: 41, from: []string{"p1", "p2"},
	},
	{
		name:   "one peer beside an empty disk",
		peers:  []PeerState{holding(41)},
		source: FromPeers, version: 41, from: []string{"p0"},
	},
	{
		name:   "two peers that disagree beside an empty disk",
		peers:  []PeerState{holding(41), holding(42)},
		source: FromNowhere,
	},
	{
		name: "one peer with a newer list", disk: holding(41),
		peers:  []PeerState{holding(99)},
		source: FromDisk, version: 41,
	},
	{
		name: "one version in two forms", disk: holding(42),
		peers:  []PeerState{otherForm, otherForm},
		source: FromPeers, version: 42, from: []string{"p0", "p1"},
		warnings: []Warning{ConflictingLists{Version: 42}},
	},
}

func TestListSelection(t *testing.T) {
	for _, test := range listSelectionTests {
		t.Run(test.name, func(t *testing.T) {
			got := decide(t, testSettings(max(len(test.peers), 1)), test.disk, test.peers...)
			if got.Source != test.source || got.Version != test.version || got.Isolated != (len(test.peers) == 0) {
				t.Errorf("source %v, version %d, isolated %t", got.Source, got.Version, got.Isolated)
			}
			if diff := cmp.Diff(test.from, got.Peers); diff != "" {
				t.Errorf("peers (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.warnings, got.Warnings); diff != "" {
				t.Errorf("warnings (-want +got):\n%s", diff)
			}
		})
	}
}

// All instances lost power unless peers have served on. A single one that reports so is not believed beside others.
func TestColdStartDetection(t *testing.T) {
	for _, test := range []struct {
		uptimes   []time.Duration
		coldStart bool
	}{
		{nil, true},
		{[]time.Duration{0, 0, 0}, true},
		{[]time.Duration{60 * time.Second}, false},
		{[]time.Duration{60 * time.Second, 60 * time.Second, 0}, false},
		{[]time.Duration{99 * time.Second, 0, 0, 0}, true},
		{[]time.Duration{99 * time.Second, 0}, true},
		{[]time.Duration{5 * time.Second, 5 * time.Second}, true},
	} {
		t.Run(fmt.Sprint(test.uptimes), func(t *testing.T) {
			var peers []PeerState
			for _, uptime := range test.uptimes {
				state := holding(41)
				state.Uptime = uptime
				peers = append(peers, state)
			}
			got := decide(t, testSettings(max(len(peers), 1)), holding(41), peers...)
			if got.ColdStart != test.coldStart {
				t.Errorf("cold start %t, want %t", got.ColdStart, test.coldStart)
			}
		})
	}
}

func TestStartTimes(t *testing.T) {
	ago := func(d time.Duration) Server { return Server{"s", now - d} }
	for _, test := range []struct {
		name  string
		disk  []Server
		peers []Server
		want  time.Duration // ago; 0: no start time
	}{
		{"disk alone", []Server{ago(9 * time.Second)}, nil, 9 * time.Second},
		{
			"two peers observed a later start",
			[]Server{ago(90 * time.Second)},
			[]Server{ago(5 * time.Second), ago(6 * time.Second), ago(90 * time.Second)},
			6 * time.Second,
		},
		{
			"a single peer reports a later start",
			[]Server{ago(90 * time.Second)},
			[]Server{ago(1), ago(90 * time.Second), ago(90 * time.Second)},
			90 * time.Second,
		},
		{
			"a single peer reports an earlier start",
			[]Server{ago(5 * time.Second)},
			[]Server{ago(900 * time.Second), ago(5 * time.Second)},
			5 * time.Second,
		},
		{"ahead of the clock", nil, []Server{ago(-60 * time.Second), ago(-60 * time.Second)}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var peers []PeerState
			for _, s := range test.peers {
				peers = append(peers, holding(41, s))
			}
			got := decide(t, testSettings(max(len(peers), 1)), holding(41, test.disk...), peers...)
			want := now - test.want
			if test.want == 0 {
				want = 0
			}
			if got.StartTimes["s"] != want {
				t.Errorf("started %v ago, want %v", now-got.StartTimes["s"], test.want)
			}
		})
	}
}

func TestClockWarnings(t *testing.T) {
	r := New(testSettings(1))
	disk := holding(41)
	disk.UpdatedAt = now + time.Hour
	r.Handle(now, Startup{disk})
	got, ok := r.Handle(now, PeerReport{"p0", now - time.Hour, holding(41)})
	if !ok {
		t.Fatal("not decided")
	}
	want := []Warning{ClockBehindDisk{Offset: time.Hour}, PeerClockSkew{Peer: "p0", Offset: -time.Hour}}
	if diff := cmp.Diff(want, got.Warnings); diff != "" {
		t.Errorf("warnings (-want +got):\n%s", diff)
	}
}

// Guards against memory that grows with each report of a peer whose clock changes, or which conflicts with another in one
// version after the other. Of each clock the largest offset is kept, and earlier decisions keep their warnings.
func TestWarningsAreBounded(t *testing.T) {
	r := New(testSettings(3))
	r.Handle(now, Startup{holding(41)})
	r.Handle(now, PeerReport{"p1", now, holding(41)})
	r.Handle(now, PeerReport{"p2", now, holding(41)})
	first, ok := r.Handle(now, PeerReport{"p0", now - time.Hour, holding(41)})
	if !ok || len(first.Warnings) != 1 {
		t.Fatalf("decided %v with %v", ok, first.Warnings)
	}
	var last Decision
	const reports = 2000
	for i := range reports {
		conflicting := holding(int64(100 + i))
		r.Handle(now, PeerReport{"p1", now, conflicting})
		conflicting.Hash++
		if d, changed := r.Handle(now, PeerReport{"p0", now - time.Hour - time.Duration(i), conflicting}); changed {
			last = d
		}
		agreed := holding(int64(100 + i))
		if d, changed := r.Handle(now, PeerReport{"p2", now, agreed}); changed {
			last = d
		}
	}
	if diff := cmp.Diff([]Warning{PeerClockSkew{Peer: "p0", Offset: -time.Hour}}, first.Warnings); diff != "" {
		t.Errorf("warnings of the first decision (-want +got):\n%s", diff)
	}
	want := []Warning{PeerClockSkew{Peer: "p0", Offset: -time.Hour - (reports - 1)}}
	for version := int64(100 + reports - maxConflictWarnings); version < 100+reports; version++ {
		want = append(want, ConflictingLists{Version: version})
	}
	if diff := cmp.Diff(want, last.Warnings); diff != "" {
		t.Errorf("warnings of the last decision (-want +got):\n%s", diff)
	}
}

// Discovery's update ends the wait for peers at once. Reports under the instance's own name or a foreign one don't.
func TestDiscoveryUpdateEndsPeerTimeout(t *testing.T) {
	r := New(testSettings(2))
	r.Handle(now, Startup{holding(41)})
	for _, name := range []string{"me", "mallory"} {
		if _, ok := r.Handle(now, PeerReport{name, now, holding(9)}); ok {
			t.Fatalf("decided on a report from %q", name)
		}
	}
	if d, ok := r.Handle(now+1, DiscoveryUpdate{}); !ok || d.Source != FromDiscovery || d.Version != 0 {
		t.Errorf("decided %t: source %v, version %d", ok, d.Source, d.Version)
	}
}

// Whatever a single peer reports, and in whatever order reports come, its list is not used, no start time changes, and a
// loss of power is not denied.
func TestSingleFaultyPeerHasNoInfluence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings(rapid.IntRange(3, 6).Draw(t, "peers"))
		disk := drawCorrectState(t, "disk")
		reports := map[string]PeerState{}
		var correct []PeerState
		for _, name := range settings.Peers[1:] {
			reports[name] = drawCorrectState(t, name)
			correct = append(correct, reports[name])
		}
		faulty := drawFaultyState(t)
		reports[settings.Peers[0]] = faulty

		r := New(settings)
		decision, ok := r.Handle(now, Startup{disk})
		for _, name := range rapid.Permutation(slices.Clone(settings.Peers)).Draw(t, "order") {
			decision, ok = r.Handle(now+1, PeerReport{name, now + 1, reports[name]})
		}
		if !ok {
			t.Fatal("not decided")
		}
		sameList := func(s PeerState) bool { return s.Version == faulty.Version && s.Hash == faulty.Hash }
		if decision.Version == faulty.Version && decision.Hash == faulty.Hash &&
			!slices.ContainsFunc(append(correct, disk), sameList) {
			t.Fatalf("uses the faulty peer's list: %+v", decision)
		}
		if !decision.ColdStart {
			t.Fatal("the faulty peer's uptime hides the loss of power")
		}
		for i := range faultyServers {
			want := time.Duration(0)
			if i < correctServers {
				want = now - time.Duration(1+i)*time.Second
			}
			if got := decision.StartTimes[serverName(i)]; got != want {
				t.Fatalf("%s started at %v, not %v", serverName(i), got, want)
			}
		}
	})
}

const (
	correctServers = 4
	faultyServers  = 6
)

func serverName(i int) string { return fmt.Sprint("s", i) }

func drawCorrectState(t *rapid.T, label string) PeerState {
	var list []Server
	for i := range correctServers {
		list = append(list, Server{serverName(i), now - time.Duration(1+i)*time.Second})
	}
	return holding(rapid.Int64Range(40, 42).Draw(t, label), list...)
}

func drawFaultyState(t *rapid.T) PeerState {
	state := PeerState{
		Version:   rapid.Int64Range(0, 1<<40).Draw(t, "version"),
		Hash:      rapid.Uint64().Draw(t, "hash"),
		Uptime:    time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "uptime")),
		UpdatedAt: now,
	}
	for i := range faultyServers {
		started := time.Duration(rapid.Int64Range(0, int64(2*now)).Draw(t, "start"))
		state.Servers = append(state.Servers, Server{serverName(i), started})
	}
	return state
}

// Beside one peer with a newer list that nobody confirms, the disk's list is used without the servers that the newer one
// lacks, up to half of them. A second peer with the newer list brings it in, also after the first decision.
func TestSingleNewerPeerExcludesServers(t *testing.T) {
	for _, test := range []struct {
		name     string
		peer     []Server
		excluded []string
	}{
		{"one left", servers("a", "b", "c"), []string{"d"}},
		{"one joined", servers("a", "b", "c", "d", "e"), nil},
		{"half left", servers("a", "b"), []string{"c", "d"}},
		{"more than half left", servers("a"), nil},
		{"all replaced", servers("x"), nil},
		{"none listed", nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(testSettings(3))
			r.Handle(now, Startup{holding(41, servers("a", "b", "c", "d")...)})
			r.Handle(now, PeerReport{"p0", now, holding(42, test.peer...)})
			d, ok := r.Handle(now+2*time.Second, Tick{})
			if !ok || d.Source != FromDisk {
				t.Errorf("decided %t, source %v", ok, d.Source)
			}
			if diff := cmp.Diff(test.excluded, d.Excluded); diff != "" {
				t.Errorf("excluded (-want +got):\n%s", diff)
			}
			d, ok = r.Handle(now+3*time.Second, PeerReport{"p1", now, holding(42, test.peer...)})
			if !ok || d.Source != FromPeers || d.Version != 42 {
				t.Errorf("with a second peer: decided %t, source %v, version %d", ok, d.Source, d.Version)
			}
			if _, ok = r.Handle(now+3*time.Second, PeerReport{"p2", now, holding(42, test.peer...)}); ok {
				t.Error("decided again on a third peer with the same list")
			}
		})
	}
	t.Run("disk's list confirmed", func(t *testing.T) {
		newer, same := holding(42, servers("a")...), holding(41, servers("a", "b")...)
		if d := decide(t, testSettings(2), holding(41, servers("a", "b")...), newer, same); len(d.Excluded) > 0 {
			t.Errorf("excludes %q", d.Excluded)
		}
	})
}
