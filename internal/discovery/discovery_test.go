package discovery

import (
	"bytes"
	"context"
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

	"example.org/milletvane/internal/engine"

	"example.org/milletvane/rules"
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

// An answer that is no list, too long or not in time is a failure; a list that comes in pieces is taken.
func TestAnswers(t *testing.T) {
	list := `{"version":7,"full":true,"servers":[{"id":"s-00000001","state":"in_service"}]}`
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		mode   rules.ListMode
	}{
		"whole":  {func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, list) }, rules.Complete},
		"status": {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, list, 503) }, rules.Failed},
		"pieces": {func(w http.ResponseWriter, _ *http.Request) {
			for _, b := range []byte(list) {
				w.Write([]byte{b})
				w.(http.Flusher).Flush()
			}
		}, rules.Complete},
		"broken": {func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, list[:20])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, rules.Failed},
		"elsewhere": {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", 302) }, rules.Failed},
		"endless": {func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				w.Write(make([]byte, 1<<20))
			}
		}, rules.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.answer)
			defer s.Close()
			w := New(strings.TrimPrefix(s.URL, "http://"), nil, slog.New(slog.DiscardHandler))
			got := make(chan engine.List, 100)
			w.Connect(func(ev engine.Event) { got <- ev.(engine.List) })
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { w.Run(ctx); close(done) }()
			w.Watch()
			l := <-got
			cancel()
			<-done
			if l.Mode != c.mode || c.mode == rules.Complete && len(l.Servers) != 1 {
				t.Errorf("told %+v", l)
			}
		})
	}
}

func TestNumbersAreStable(t *testing.T) {
	if got := NumberOf("s-5be2a07c"); got != 0x5be2a07c {
		t.Errorf("s-5be2a07c is %#x", got)
	}
	for _, id := range []string{"", "node-7", "s-5be2a07", "s-5be2a07cc", "s-zzzzzzzz", "5BE2A07C", "s-+be2a07c"} {
		if NumberOf(id) != NumberOf(id) {
			t.Errorf("%q has two numbers", id)
		}
	}
	if NumberOf("node-7") == NumberOf("node-8") {
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
	l := m.List(rules.Changes)
	first := rules.Server{ID: 1, Zone: "a", Cell: 3, State: rules.Draining, Capacity: 1.5, Started: 1700000000123 * time.Millisecond}
	if l.Servers[0].Server != first || l.Servers[0].Name != "s-00000001" || l.Servers[0].Addr != "127.0.0.1:1" {
		t.Errorf("read as %+v", l.Servers[0])
	}
	for i, want := range []rules.ServerState{rules.Draining, rules.Gone, rules.Ready, rules.Draining} {
		if got := l.Servers[i].State; got != want {
			t.Errorf("server %d is in state %d, want %d", i, got, want)
		}
	}
	if _, err := Parse([]byte(`{"servers":[{"addr":"x"}]}`)); err == nil {
		t.Error("an entry without id was taken")
	}
}
