package discovery

import (
	"bytes"
	"flag"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestGarbageIsAnErrorAndNeverPanics(t *testing.T) {
	piece := rapid.OneOf(
		rapid.SliceOfN(rapid.Byte(), 0, 30),
		rapid.Map(rapid.SampledFrom([]string{`{"version":`, `"servers":[`, `{"id":"a"}`, "]}", "1", "null", ","}), func(s string) []byte { return []byte(s) }))
	rapid.Check(t, func(t *rapid.T) {
		msg := bytes.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "pieces"), nil)
		if m, err := Parse(msg); err == nil && m == nil {
			t.Fatal("no list and no error")
		}
	})
}

// An answer that is no list, too long or cut is a failure, after which another call follows; a list that comes in pieces
// is taken.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		taken  bool
	}{
		"whole":  {func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, listOf(7, "s-00000001")) }, true},
		"status": {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, listOf(7, "s-00000001"), 503) }, false},
		"pieces": {func(w http.ResponseWriter, _ *http.Request) {
			for _, b := range []byte(listOf(7, "s-00000001")) {
				w.Write([]byte{b})
				w.(http.Flusher).Flush()
			}
		}, true},
		"indented": {func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.ReplaceAll(listOf(7, "s-00000001"), ",", ",\r\n\t "))
		}, true},
		"broken": {func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, listOf(7, "s-00000001")[:20])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, false},
		"elsewhere": {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", 302) }, false},
		"endless": {func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				w.Write(make([]byte, 1<<20))
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, refresh.Settings{}, func(p *service) {
				p.answer = func(w http.ResponseWriter, r *http.Request) {
					if p.calls.Load() == 1 {
						c.answer(w, r)
					} else {
						io.WriteString(w, listOf(9, "s-00000001", "s-00000002"))
					}
				}
				p.start(nil)
				want := 2
				if c.taken {
					want = 1
				}
				if l := <-p.told; l.Mode != balancer.ListComplete || len(l.Servers) != want {
					t.Errorf("told %+v, want %d servers", l, want)
				}
			})
		})
	}
}

func TestNumbersAreStable(t *testing.T) {
	if got := ServerID("s-5be2a07c"); got != 0x5be2a07c {
		t.Errorf("s-5be2a07c is %#x", got)
	}
	for _, id := range []string{"", "node-7", "s-5be2a07", "s-5be2a07cc", "s-zzzzzzzz", "5BE2A07C", "s-+be2a07c"} {
		if ServerID(id) != ServerID(id) {
			t.Errorf("%q has two numbers", id)
		}
	}
	if ServerID("node-7") == ServerID("node-8") {
		t.Error("two names share a number")
	}
}

func TestListKeepsStatesAndTimes(t *testing.T) {
	m, err := Parse([]byte(`{"version":43,"full":false,"servers":[
		{"id":"s-00000001","addr":"127.0.0.1:1","zone":"a","cell":3,"state":"terminating","weight":1.5,"started_ms":1700000000123},
		{"id":"s-00000002","state":"terminated"},{"id":"s-00000003","state":"in_service"},{"id":"s-00000004","state":"new-word"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l := m.EngineList(balancer.ListDelta)
	first := balancer.Server{ID: 1, Zone: "a", Cell: 3, State: balancer.Draining, Capacity: 1.5, Started: 1700000000123 * time.Millisecond}
	if l.Servers[0].Server != first || l.Servers[0].Name != "s-00000001" || l.Servers[0].Addr != "127.0.0.1:1" {
		t.Errorf("read as %+v", l.Servers[0])
	}
	for i, want := range []balancer.ServerState{balancer.Draining, balancer.Removed, balancer.Ready, balancer.Draining} {
		if got := l.Servers[i].State; got != want {
			t.Errorf("server %d is in state %d, want %d", i, got, want)
		}
	}
	if _, err := Parse([]byte(`{"servers":[{"addr":"x"}]}`)); err == nil {
		t.Error("an entry without id was taken")
	}
}

// BenchmarkCall is one call to an agent that has nothing new, with what the agent itself costs.
func BenchmarkCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer s.Close()
	w := New(strings.TrimPrefix(s.URL, "http://"), refresh.Settings{LocalAgent: true}, func() time.Duration { return 0 }, slog.New(slog.DiscardHandler))
	call := refresh.Poll{AfterVersion: 1, Timeout: time.Second}
	for b.Loop() {
		if _, err := w.carryOut(b.Context(), call); err != nil {
			b.Fatal(err)
		}
	}
}
