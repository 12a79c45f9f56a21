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

// stateWithList returns the state of an instance that holds a list of the given version. The hash depends on the version alone.
func stateWithList(version int64, servers ...Server) PeerState {
	return PeerState{Version: version, Hash: uint64(version) * 7, Servers: servers, UpdatedAt: now - time.Minute}
}

func servers(ids ...string) []Server {
	var all []Server
	for _, id := range ids {
		all = append(all, Server{ID: id})
	}
	return all
}

// decide returns the first decision of an instance whose disk and peers hold the given states; peers[0] is the state of p0. It
// fails the test if the decision comes early, late or twice, or if discovery's update does not end the recovery.
func decide(t *testing.T, settings Settings, disk PeerState, peers ...PeerState) Decision {
	t.Helper()
	r := New(settings)
	decision, ok := r.Handle(now, Startup{disk})
	for i, state := range peers {
		if ok {
			t.Fatalf("got a decision before the report of %s, want none until all peers have reported", peerName(i))
		}
		decision, ok = r.Handle(now+time.Second, PeerReport{peerName(i), now + time.Second, state})
	}
	if !ok {
		if _, ok = r.Handle(now+settings.PeerTimeout-1, Tick{}); ok {
			t.Fatal("got a decision before the peer timeout, want none")
		}
		decision, ok = r.Handle(now+settings.PeerTimeout, Tick{})
	}
	if !ok {
		t.Fatal("got no decision at the peer timeout, want one")
	}
	if _, again := r.Handle(now+100*time.Second, Tick{}); again {
		t.Fatal("got a second decision without a new report, want none")
	}
	if _, again := r.Handle(now+100*time.Second, DiscoveryUpdate{}); !again {
		t.Fatal("got no decision on discovery's update, want one")
	}
	if _, again := r.Handle(now+100*time.Second, PeerReport{"p0", now, stateWithList(7)}); again {
		t.Fatal("got a decision on a report after discovery's update, want none")
	}
	return decision
}

// conflictingState holds a list of the same version as stateWithList(42) with another hash.
var conflictingState = PeerState{Version: 42, Hash: 1}

var listSelectionTests = []struct {
	name         string
	disk         PeerState
	peers        []PeerState
	wantSource   Source
	wantVersion  int64
	wantPeers    []string
	wantWarnings []Warning
}{
	{name: "empty disk, no peer answers", wantSource: FromNone},
	{name: "list on disk, no peer answers", disk: stateWithList(41), wantSource: FromDisk, wantVersion: 41},
	{
		name: "two peers with a newer list", disk: stateWithList(41),
		peers:      []PeerState{stateWithList(43), stateWithList(43), stateWithList(41)},
		wantSource: FromPeers, wantVersion: 43, wantPeers: []string{"p0", "p1"},
	},
	{
		name: "two peers with an older list", disk: stateWithList(41),
		peers:      []PeerState{stateWithList(40), stateWithList(40)},
		wantSource: FromPeers, wantVersion: 40, wantPeers: []string{"p0", "p1"},
	},
	{
		name: "one peer confirms the disk's list", disk: stateWithList(41),
		peers:      []PeerState{stateWithList(41), stateWithList(40), stateWithList(40)},
		wantSource: FromDisk, wantVersion: 41,
	},
	{
		name: "one faulty peer among four", disk: stateWithList(41),
		peers:      []PeerState{stateWithList(999), stateWithList(41), stateWithList(41), stateWithList(41)},
		wantSource: FromDisk, wantVersion: 41,
	},
	{
		name:       "one faulty peer beside an empty disk",
		peers:      []PeerState{stateWithList(999), stateWithList(41), stateWithList(41)},
		wantSource: FromPeers, wantVersion: 41, wantPeers: []string{"p1", "p2"},
	},
	{
		name:       "one peer beside an empty disk",
		peers:      []PeerState{stateWithList(41)},
		wantSource: FromPeers, wantVersion: 41, wantPeers: []string{"p0"},
	},
	{
		name:       "two peers that disagree beside an empty disk",
		peers:      []PeerState{stateWithList(41), stateWithList(42)},
		wantSource: FromNone,
	},
	{
		name: "one peer with a newer list", disk: stateWithList(41),
		peers:      []PeerState{stateWithList(99)},
		wantSource: FromDisk, wantVersion: 41,
	},
	{
		name: "two lists of the same version", disk: stateWithList(42),
		peers:      []PeerState{conflictingState, conflictingState},
		wantSource: FromPeers, wantVersion: 42, wantPeers: []string{"p0", "p1"},
		wantWarnings: []Warning{ConflictingLists{Version: 42}},
	},
}

func TestListSelection(t *testing.T) {
	for _, test := range listSelectionTests {
		t.Run(test.name, func(t *testing.T) {
			got := decide(t, testSettings(max(len(test.peers), 1)), test.disk, test.peers...)
			if got.Source != test.wantSource || got.Version != test.wantVersion || got.Isolated != (len(test.peers) == 0) {
				t.Errorf("got source %v, version %d, isolated %t, want %v, %d, %t",
					got.Source, got.Version, got.Isolated, test.wantSource, test.wantVersion, len(test.peers) == 0)
			}
			if diff := cmp.Diff(test.wantPeers, got.Peers); diff != "" {
				t.Errorf("peers (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.wantWarnings, got.Warnings); diff != "" {
				t.Errorf("warnings (-want +got):\n%s", diff)
			}
		})
	}
}

// A start counts as a cold start unless enough peers have served for longer than the warm-up duration. A long uptime that
// only one of several peers reports is not enough.
func TestColdStartDetection(t *testing.T) {
	for _, test := range []struct {
		uptimes       []time.Duration
		wantColdStart bool
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
				state := stateWithList(41)
				state.Uptime = uptime
				peers = append(peers, state)
			}
			got := decide(t, testSettings(max(len(peers), 1)), stateWithList(41), peers...)
			if got.ColdStart != test.wantColdStart {
				t.Errorf("got cold start %t, want %t", got.ColdStart, test.wantColdStart)
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
		want  time.Duration // age of the start time; 0 means that there is none
	}{
		{"only the disk holds a start time", []Server{ago(9 * time.Second)}, nil, 9 * time.Second},
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
		{"start time ahead of the clock", nil, []Server{ago(-60 * time.Second), ago(-60 * time.Second)}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var peers []PeerState
			for _, s := range test.peers {
				peers = append(peers, stateWithList(41, s))
			}
			got := decide(t, testSettings(max(len(peers), 1)), stateWithList(41, test.disk...), peers...)
			want := now - test.want
			if test.want == 0 {
				want = 0
			}
			if got.StartTimes["s"] != want {
				t.Errorf("got a start time %v ago, want %v ago (0s means no start time)", now-got.StartTimes["s"], test.want)
			}
		})
	}
}

func TestClockWarnings(t *testing.T) {
	r := New(testSettings(1))
	disk := stateWithList(41)
	disk.UpdatedAt = now + time.Hour
	r.Handle(now, Startup{disk})
	got, ok := r.Handle(now, PeerReport{"p0", now - time.Hour, stateWithList(41)})
	if !ok {
		t.Fatal("got no decision, want one")
	}
	want := []Warning{ClockBehindDisk{Offset: time.Hour}, PeerClockSkew{Peer: "p0", Offset: -time.Hour}}
	if diff := cmp.Diff(want, got.Warnings); diff != "" {
		t.Errorf("warnings (-want +got):\n%s", diff)
	}
}

// Guards against unbounded growth of the warnings, when the clock of a peer changes from report to report or when two peers
// hold conflicting lists in one version after another. One clock warning, with the largest offset, is kept for each peer, and
// the warnings of earlier decisions don't change.
func TestWarningsAreBounded(t *testing.T) {
	r := New(testSettings(3))
	r.Handle(now, Startup{stateWithList(41)})
	r.Handle(now, PeerReport{"p1", now, stateWithList(41)})
	r.Handle(now, PeerReport{"p2", now, stateWithList(41)})
	first, ok := r.Handle(now, PeerReport{"p0", now - time.Hour, stateWithList(41)})
	if !ok || len(first.Warnings) != 1 {
		t.Fatalf("got decision %v with warnings %v, want a decision with one warning", ok, first.Warnings)
	}
	var last Decision
	const reports = 2000
	for i := range reports {
		conflicting := stateWithList(int64(100 + i))
		r.Handle(now, PeerReport{"p1", now, conflicting})
		conflicting.Hash++
		if d, changed := r.Handle(now, PeerReport{"p0", now - time.Hour - time.Duration(i), conflicting}); changed {
			last = d
		}
		agreed := stateWithList(int64(100 + i))
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

// Discovery's update ends the wait for peers at once. A report under the instance's own name, or under a name that is not
// configured, does not end it.
func TestDiscoveryUpdateEndsPeerTimeout(t *testing.T) {
	r := New(testSettings(2))
	r.Handle(now, Startup{stateWithList(41)})
	for _, name := range []string{"me", "mallory"} {
		if _, ok := r.Handle(now, PeerReport{name, now, stateWithList(9)}); ok {
			t.Fatalf("got a decision on a report from %q, want none", name)
		}
	}
	if d, ok := r.Handle(now+1, DiscoveryUpdate{}); !ok || d.Source != FromDiscovery || d.Version != 0 {
		t.Errorf("got decision %t with source %v, version %d, want a decision with source %v, version 0",
			ok, d.Source, d.Version, FromDiscovery)
	}
}

// A single faulty peer has no influence, whatever it reports and in whatever order the reports arrive: its list is not used,
// no start time changes, and the cold start is still detected.
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
			t.Fatal("got no decision, want one")
		}
		sameList := func(s PeerState) bool { return s.Version == faulty.Version && s.Hash == faulty.Hash }
		if decision.Version == faulty.Version && decision.Hash == faulty.Hash &&
			!slices.ContainsFunc(append(correct, disk), sameList) {
			t.Fatalf("got the faulty peer's list, want a list that a correct instance holds: %+v", decision)
		}
		if !decision.ColdStart {
			t.Fatal("got no cold start because of the faulty peer's uptime, want a cold start")
		}
		for i := range faultyServers {
			want := time.Duration(0)
			if i < correctServers {
				want = now - time.Duration(1+i)*time.Second
			}
			if got := decision.StartTimes[serverName(i)]; got != want {
				t.Fatalf("got start time %v of %s, want %v", got, serverName(i), want)
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
	return stateWithList(rapid.Int64Range(40, 42).Draw(t, label), list...)
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

// If only one peer holds a newer list, the disk's list is used. The servers that the newer list lacks are excluded, unless
// they are more than half of the disk's list. Once a second peer reports the newer list, that list is used, even after the
// first decision.
func TestSingleNewerPeerExcludesServers(t *testing.T) {
	for _, test := range []struct {
		name         string
		peer         []Server
		wantExcluded []string
	}{
		{"one server removed", servers("a", "b", "c"), []string{"d"}},
		{"one server added", servers("a", "b", "c", "d", "e"), nil},
		{"half of the servers removed", servers("a", "b"), []string{"c", "d"}},
		{"more than half of the servers removed", servers("a"), nil},
		{"all servers replaced", servers("x"), nil},
		{"empty list", nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(testSettings(3))
			r.Handle(now, Startup{stateWithList(41, servers("a", "b", "c", "d")...)})
			r.Handle(now, PeerReport{"p0", now, stateWithList(42, test.peer...)})
			d, ok := r.Handle(now+2*time.Second, Tick{})
			if !ok || d.Source != FromDisk {
				t.Errorf("got decision %t with source %v, want a decision with source %v", ok, d.Source, FromDisk)
			}
			if diff := cmp.Diff(test.wantExcluded, d.Excluded); diff != "" {
				t.Errorf("excluded (-want +got):\n%s", diff)
			}
			d, ok = r.Handle(now+3*time.Second, PeerReport{"p1", now, stateWithList(42, test.peer...)})
			if !ok || d.Source != FromPeers || d.Version != 42 {
				t.Errorf("after a second peer's report: got decision %t with source %v, version %d, want a decision with %v, 42",
					ok, d.Source, d.Version, FromPeers)
			}
			if _, ok = r.Handle(now+3*time.Second, PeerReport{"p2", now, stateWithList(42, test.peer...)}); ok {
				t.Error("got another decision when a third peer reported the same list, want none")
			}
		})
	}
	t.Run("a second peer confirms the disk's list", func(t *testing.T) {
		newer, same := stateWithList(42, servers("a")...), stateWithList(41, servers("a", "b")...)
		if d := decide(t, testSettings(2), stateWithList(41, servers("a", "b")...), newer, same); len(d.Excluded) > 0 {
			t.Errorf("got excluded servers %q, want none", d.Excluded)
		}
	})
}
