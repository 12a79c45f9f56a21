package discovery

import (
	"flag"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// An answer that is not a list, is too long or is incomplete is rejected, and another poll follows. A list that arrives in
// pieces is accepted.
func TestAnswers(t *testing.T) {
	list := listOf(7, "s-00000001")
	for name, c := range map[string]struct {
		answer   http.HandlerFunc
		accepted bool
	}{
		"complete": {func(w http.ResponseWriter, _ *http.Request) { respond(w, list) }, true},
		"status":   {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, list, http.StatusServiceUnavailable) }, false},
		"pieces": {func(w http.ResponseWriter, _ *http.Request) {
			for i := range list {
				respondPart(w, list[i:i+1])
			}
		}, true},
		"indented": {func(w http.ResponseWriter, _ *http.Request) {
			respond(w, strings.ReplaceAll(list, ",", ",\r\n\t "))
		}, true},
		"incomplete": {func(w http.ResponseWriter, _ *http.Request) {
			respondPart(w, list[:20])
			panic(http.ErrAbortHandler)
		}, false},
		"redirect": {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusFound) }, false},
		"endless": {func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				respond(w, strings.Repeat("\x00", 1<<20))
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, refresh.Settings{}, func(t *testing.T, service *fakeService) {
				t.Helper()
				service.answer = func(w http.ResponseWriter, r *http.Request) {
					if service.polls.Load() == 1 {
						c.answer(w, r)
					} else {
						respond(w, listOf(9, "s-00000001", "s-00000002"))
					}
				}
				service.start(nil)
				want := 2
				if c.accepted {
					want = 1
				}
				if got := <-service.lists; got.Mode != balancer.ListComplete || len(got.Servers) != want {
					t.Errorf("got %+v, want %d servers", got, want)
				}
			})
		})
	}
}

// BenchmarkPoll measures one poll of an agent that has no changes, including the cost of the agent itself.
func BenchmarkPoll(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		respond(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	settings := refresh.Settings{LocalAgent: true}
	w := New(addr, settings, func() time.Duration { return 0 }, slog.New(slog.DiscardHandler))
	poll := refresh.Poll{AfterVersion: 1, Timeout: time.Second}
	for b.Loop() {
		if _, err := w.client.poll(b.Context(), addr, poll); err != nil {
			b.Fatal(err)
		}
	}
}
