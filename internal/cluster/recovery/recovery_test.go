package recovery

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	sec = time.Second
	now = 1_700_000_000 * sec
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "11")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func settings(peers int) Settings {
	s := Settings{Name: "me", PeerTimeout: 2 * sec, WarmupDuration: 20 * sec, MaxClockSkew: sec}
	for i := range peers {
		s.Peers = append(s.Peers, fmt.Sprint("p", i))
	}
	return s
}

func voice(version int64, up time.Duration, servers ...Server) PeerState {
	return PeerState{Version: version, Hash: uint64(version) * 7, Servers: servers, UpdatedAt: now - 60*sec, Uptime: up}
}

// decide tells a Recovery of the disk and of peers, the first of them p0, and lets its time pass.
func decide(t *testing.T, set Settings, disk PeerState, peers ...PeerState) Decision {
	t.Helper()
	r := New(set)
	d, ok := r.Handle(now, Startup{disk})
	for i, v := range peers {
		if ok {
			t.Fatal("decided before all peers had answered")
		}
		d, ok = r.Handle(now+sec, PeerReport{fmt.Sprint("p", i), now + sec, v})
	}
	if !ok {
		if d, ok = r.Handle(now+set.PeerTimeout-1, Tick{}); ok {
			t.Fatal("decided before its time")
		}
		d, ok = r.Handle(now+set.PeerTimeout, Tick{})
	}
	if !ok {
		t.Fatal("not decided in time")
	}
	if _, again := r.Handle(now+100*sec, Tick{}); again {
		t.Fatal("decided twice")
	}
	if _, again := r.Handle(now+100*sec, DiscoveryUpdate{}); !again {
		t.Fatal("discovery's word changes nothing")
	}
	if _, again := r.Handle(now+100*sec, PeerReport{"p0", now, voice(7, 0)}); again {
		t.Fatal("decided after discovery's word")
	}
	return d
}

func TestWhoseListIsGoneBy(t *testing.T) {
	other := voice(42, 0)
	other.Hash = 1
	for name, c := range map[string]struct {
		disk   PeerState
		peers  []PeerState
		source Source
		want   int64
		from   string
	}{
		"nobody and nothing":               {PeerState{}, nil, FromNowhere, 0, ""},
		"own disk alone":                   {voice(41, 0), nil, FromDisk, 41, ""},
		"a newer one of two peers":         {voice(41, 0), []PeerState{voice(43, 0), voice(43, 0), voice(41, 0)}, FromPeers, 43, "p0 p1"},
		"an older one of two peers":        {voice(41, 0), []PeerState{voice(40, 0), voice(40, 0)}, FromPeers, 40, "p0 p1"},
		"the own one, which a peer holds":  {voice(41, 0), []PeerState{voice(41, 0), voice(40, 0), voice(40, 0)}, FromDisk, 41, ""},
		"a liar among five":                {voice(41, 0), []PeerState{voice(999, 0), voice(41, 0), voice(41, 0), voice(41, 0)}, FromDisk, 41, ""},
		"a liar beside an empty disk":      {PeerState{}, []PeerState{voice(999, 0), voice(41, 0), voice(41, 0)}, FromPeers, 41, "p1 p2"},
		"one peer beside an empty disk":    {PeerState{}, []PeerState{voice(41, 0)}, FromPeers, 41, "p0"},
		"two that contradict, none agrees": {PeerState{}, []PeerState{voice(41, 0), voice(42, 0)}, FromNowhere, 0, ""},
		"one newer peer alone":             {voice(41, 0), []PeerState{voice(99, 0)}, FromDisk, 41, ""},
		"one version in two forms":         {voice(42, 0), []PeerState{other, other}, FromPeers, 42, "p0 p1"},
	} {
		d := decide(t, settings(max(len(c.peers), 1)), c.disk, c.peers...)
		if d.Source != c.source || d.Version != c.want || strings.Join(d.Peers, " ") != c.from || d.Isolated != (len(c.peers) == 0) {
			t.Errorf("%s: %v %d of %q, alone %v", name, d.Source, d.Version, d.Peers, d.Isolated)
		}
		if name == "one version in two forms" && len(d.Warnings) != 1 {
			t.Errorf("%s: warned of %q", name, d.Warnings)
		}
	}
}

// Power was lost unless peers have served on; one that says so alone is not believed beside others.
func TestPowerLossIsToldFromALoneRestart(t *testing.T) {
	for _, c := range []struct {
		up      []time.Duration
		allCold bool
	}{
		{nil, true}, {[]time.Duration{0, 0, 0}, true}, {[]time.Duration{60 * sec}, false},
		{[]time.Duration{60 * sec, 60 * sec, 0}, false}, {[]time.Duration{99 * sec, 0, 0, 0}, true},
		{[]time.Duration{99 * sec, 0}, true}, {[]time.Duration{5 * sec, 5 * sec}, true},
	} {
		var peers []PeerState
		for _, up := range c.up {
			peers = append(peers, voice(41, up))
		}
		if d := decide(t, settings(max(len(peers), 1)), voice(41, 0), peers...); d.ColdStart != c.allCold {
			t.Errorf("peers up for %v: all cold %v", c.up, d.ColdStart)
		}
	}
}

func TestStarts(t *testing.T) {
	at := func(s time.Duration) Server { return Server{"s", now - s} }
	for _, c := range []struct {
		name  string
		disk  []Server
		peers []Server
		want  time.Duration // ago; 0: none
	}{
		{"own disk", []Server{at(9 * sec)}, nil, 9 * sec},
		{"two peers saw a later one", []Server{at(90 * sec)}, []Server{at(5 * sec), at(6 * sec), at(90 * sec)}, 6 * sec},
		{"one alone says it just started", []Server{at(90 * sec)}, []Server{at(1), at(90 * sec), at(90 * sec)}, 90 * sec},
		{"one alone says it is warm", []Server{at(5 * sec)}, []Server{at(900 * sec), at(5 * sec)}, 5 * sec},
		{"ahead of the clock", nil, []Server{at(-60 * sec), at(-60 * sec)}, 0},
	} {
		var peers []PeerState
		for _, s := range c.peers {
			peers = append(peers, voice(41, 0, s))
		}
		d := decide(t, settings(max(len(peers), 1)), voice(41, 0, c.disk...), peers...)
		want := now - c.want
		if c.want == 0 {
			want = 0
		}
		if d.StartTimes["s"] != want {
			t.Errorf("%s: started %v ago", c.name, now-d.StartTimes["s"])
		}
	}
}

func TestClocksThatJumpedAreNamed(t *testing.T) {
	r := New(settings(1))
	disk := voice(41, 0)
	disk.UpdatedAt = now + 3600*sec
	r.Handle(now, Startup{disk})
	d, ok := r.Handle(now, PeerReport{"p0", now - 3600*sec, voice(41, 0)})
	if !ok || len(d.Warnings) != 2 || !strings.Contains(d.Warnings[0], "jumped back") || !strings.Contains(d.Warnings[1], "p0") {
		t.Errorf("warned of %q", d.Warnings)
	}
}

// Discovery's word ends the wait at once; strangers and echoes of this instance do not.
func TestDiscoveryEndsTheWait(t *testing.T) {
	r := New(settings(2))
	r.Handle(now, Startup{voice(41, 0)})
	for _, stranger := range []string{"me", "mallory"} {
		if _, ok := r.Handle(now, PeerReport{stranger, now, voice(9, 0)}); ok {
			t.Fatal("a stranger counts")
		}
	}
	if d, ok := r.Handle(now+1, DiscoveryUpdate{}); !ok || d.Source != FromDiscovery || d.Version != 0 {
		t.Errorf("%v: %+v", ok, d)
	}
}

// Whatever one peer says, in whatever order answers come, the decision is that of the others with it silent or honest: its
// list is never brought in, no start is moved, and a power loss is not talked away.
func TestOneLiarChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "peers")
		set := settings(n)
		honest := func(label string) PeerState {
			var servers []Server
			for i := range 4 {
				servers = append(servers, Server{fmt.Sprint("s", i), now - time.Duration(1+i)*sec})
			}
			return voice(rapid.Int64Range(40, 42).Draw(t, label), 0, servers...)
		}
		lie := func() PeerState {
			v := PeerState{Version: rapid.Int64Range(0, 1<<40).Draw(t, "version"), Hash: rapid.Uint64().Draw(t, "hash"),
				Uptime: time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "up")), UpdatedAt: now}
			for i := range 6 {
				v.Servers = append(v.Servers, Server{fmt.Sprint("s", i), time.Duration(rapid.Int64Range(0, int64(2*now)).Draw(t, "start"))})
			}
			return v
		}
		disk, voices := honest("disk"), []PeerState{}
		for i := range n - 1 {
			voices = append(voices, honest(fmt.Sprint("v", i)))
		}
		told := map[string]PeerState{}
		for i, v := range voices {
			told[fmt.Sprint("p", i)] = v
		}
		liar := lie()
		told[fmt.Sprint("p", n-1)] = liar
		r := New(set)
		d, ok := r.Handle(now, Startup{disk})
		for _, name := range rapid.Permutation(slices.Clone(set.Peers)).Draw(t, "order") {
			d, ok = r.Handle(now+1, PeerReport{name, now + 1, told[name]})
		}
		if !ok {
			t.Fatal("not decided")
		}
		if d.Version == liar.Version && d.Hash == liar.Hash && !slices.ContainsFunc(append(voices, disk), func(v PeerState) bool {
			return v.Version == liar.Version && v.Hash == liar.Hash
		}) {
			t.Fatalf("goes by the liar's list: %+v", d)
		}
		if !d.ColdStart {
			t.Fatal("the liar talked the power loss away")
		}
		for i := range 6 {
			want := time.Duration(0)
			if i < 4 {
				want = now - time.Duration(1+i)*sec
			}
			if got := d.StartTimes[fmt.Sprint("s", i)]; got != want {
				t.Fatalf("s%d started at %v, not %v", i, got, want)
			}
		}
	})
}

// Beside one peer with a newer list, which nobody else confirms, the own disk's is gone by without the servers that have
// left by it, up to half; a second peer that agrees brings the newer one in, also after the decision.
func TestOneNewerPeerTakesServersAway(t *testing.T) {
	list := func(ids ...string) (all []Server) {
		for _, id := range ids {
			all = append(all, Server{ID: id})
		}
		return all
	}
	for _, c := range []struct {
		peer  []Server
		avoid string
	}{
		{list("a", "b", "c"), "d"}, {list("a", "b", "c", "d", "e"), ""}, {list("a", "b"), "c d"}, {list("a"), ""}, {list("x"), ""}, {nil, ""},
	} {
		r := New(settings(3))
		r.Handle(now, Startup{voice(41, 0, list("a", "b", "c", "d")...)})
		r.Handle(now, PeerReport{"p0", now, voice(42, 0, c.peer...)})
		d, ok := r.Handle(now+2*sec, Tick{})
		if !ok || d.Source != FromDisk || strings.Join(d.Excluded, " ") != c.avoid {
			t.Errorf("beside one that holds %v: %v, avoids %q", c.peer, d.Source, d.Excluded)
		}
		if d, ok = r.Handle(now+3*sec, PeerReport{"p1", now, voice(42, 0, c.peer...)}); !ok || d.Source != FromPeers || d.Version != 42 {
			t.Errorf("beside two that hold %v: %v %+v", c.peer, ok, d)
		}
		if _, ok = r.Handle(now+3*sec, PeerReport{"p2", now, voice(42, 0, c.peer...)}); ok {
			t.Error("a third that says the same is news")
		}
	}
	// Where another agrees with the own disk, one newer peer alone takes nothing away.
	if d := decide(t, settings(2), voice(41, 0, list("a", "b")...), voice(42, 0, list("a")...), voice(41, 0, list("a", "b")...)); len(d.Excluded) > 0 {
		t.Errorf("avoids %q", d.Excluded)
	}
}
