package discovery

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

// broken are the ways in which a watch may end besides silences.
var broken = map[string]func(p *service, w http.ResponseWriter){
	"reset": func(_ *service, _ http.ResponseWriter) { panic(http.ErrAbortHandler) },
	"cut in mid-body": func(_ *service, w http.ResponseWriter) {
		io.WriteString(w, listOf(2, "s-00000002")[:30])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	},
	"without end": func(_ *service, w http.ResponseWriter) {
		for _, err := w.Write(make([]byte, 1<<16)); err == nil; {
			_, err = w.Write(make([]byte, 1<<16))
		}
	},
	"too many callers": func(_ *service, w http.ResponseWriter) { http.Error(w, "later", 503) },
	"no list":          func(_ *service, w http.ResponseWriter) { io.WriteString(w, "<html>\r\n") },
}

// Whatever becomes of a watch, and whatever follows, a server that begins to drain right after is known to before that
// counts: 6 s after discovery had it and could be reached. Lists that are stale, empty or shrunken come between.
func TestAWatchsEndCrossesADrain(t *testing.T) {
	const news = 300 * time.Millisecond // after the watch broke
	ends := map[string]func(*service, http.ResponseWriter){}
	for _, m := range []map[string]func(*service, http.ResponseWriter){silences, broken} {
		for name, end := range m {
			ends[name] = end
		}
	}
	stale := listOf(3, "s-00000001", "s-00000009")
	drained := strings.Replace(listOf(8, "s-00000001", "s-00000002"), `"s-00000002","state":"in_service"`, `"s-00000002","state":"terminating"`, 1)
	for next, script := range map[string]struct {
		away  time.Duration // discovery goes down right after, for so long
		first string        // what the call after that is told
		moved bool          // SIGHUP names another address right after
	}{
		"nothing else":    {},
		"down and back":   {away: 8 * time.Second},
		"a stale list":    {first: stale},
		"an empty list":   {first: `{"version":2,"full":true,"servers":[]}`},
		"another address": {moved: true},
	} {
		for _, set := range []refresh.Settings{
			{Gateways: 300, MaxPollInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond, Seed: 5},
			{Gateways: 3, LocalAgent: true, DrainGrace: 250 * time.Millisecond},
		} {
			for name, end := range ends {
				t.Run(fmt.Sprint(name, ", then ", next, ", pushed ", set.LocalAgent), func(t *testing.T) {
					play(t, set, func(p *service) {
						var broke atomic.Int64 // when the watch did; handlers of calls run side by side
						var told atomic.Bool
						p.answer = func(w http.ResponseWriter, r *http.Request) {
							at, brokeAt := p.at(), time.Duration(broke.Load())
							watch := strings.Contains(r.URL.RawQuery, "wait_ms=") && !strings.Contains(r.URL.RawQuery, "wait_ms=0")
							switch {
							case brokeAt == 0 && !watch:
								io.WriteString(w, listOf(7, "s-00000001", "s-00000002"))
							case brokeAt == 0:
								broke.Store(int64(at))
								if script.moved {
									time.AfterFunc(news, func() { p.w.SetAddr("b.example:1") })
								}
								end(p, w)
							case at < brokeAt+script.away && script.away > 0:
								panic(http.ErrAbortHandler)
							case script.first != "" && told.CompareAndSwap(false, true):
								io.WriteString(w, script.first)
							case at < brokeAt+news:
								p.wait(w, r, func() (int64, string) { // until the news are there
									if p.at() >= brokeAt+news {
										return 8, "s-00000001"
									}
									return 7, "s-00000001 s-00000002"
								})
							default:
								io.WriteString(w, drained)
							}
						}
						time.Sleep(time.Millisecond) // 0 stands for not yet
						p.start(nil)
						for l := range p.told {
							if script.first != "" && l.Mode == balancer.ListComplete && l.Version < 7 {
								t.Errorf("went by a list of version %d", l.Version)
							}
							if l.Version == 8 {
								break
							}
						}
						if counts := time.Duration(broke.Load()) + max(news, script.away) + refresh.MaxNotificationDelay; p.at() > counts {
							t.Errorf("known at %v, it counts as told at %v", p.at(), counts)
						}
					})
				})
			}
		}
	}
}
