package discovery

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/engine"
)

// service is discovery, or an agent, at the other end of pipes, in a bubble whose time goes on when nothing else does.
type service struct {
	w       *Watcher
	told    chan engine.EndpointList
	calls   atomic.Int32
	answer  http.HandlerFunc
	began   time.Time
	start   func(known *EndpointList)
	hanging chan struct{} // closed at the end: what hangs ends
}

// pipes is a listener for connections that a test dials.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// play runs a watcher against a service that a script answers for.
func play(t *testing.T, set refresh.Settings, script func(*service)) {
	synctest.Test(t, func(t *testing.T) {
		conns := make(pipes)
		p := &service{told: make(chan engine.EndpointList, 1000), began: time.Now(), hanging: make(chan struct{})}
		p.w = New("a.example:1", set, p.at, slog.New(slog.DiscardHandler))
		p.w.dialer = func(ctx context.Context, _, _ string) (net.Conn, error) {
			near, far := net.Pipe()
			select {
			case conns <- far:
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		p.w.SetHandler(func(ev engine.Event) { p.told <- ev.(engine.EndpointList) })
		server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(
			func(w http.ResponseWriter, r *http.Request) {
				p.calls.Add(1)
				p.answer(w, r)
			})}
		go server.Serve(conns)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		p.start = func(known *EndpointList) {
			go func() { p.w.Run(ctx, known); close(done) }()
		}
		script(p)
		cancel()
		<-done
		close(p.hanging)
		close(conns)
		server.Close()
		time.Sleep(time.Minute) // whoever still waits for news ends
	})
}

func (p *service) at() time.Duration { return time.Since(p.began) }

// until waits for a list that names a server, and tells when it came.
func (p *service) until(id string) time.Duration {
	for l := range p.told {
		for _, s := range l.Servers {
			if s.Name == id {
				return p.at()
			}
		}
	}
	return 0
}

// wait answers a watch: with what a list holds once that is newer, or with nothing after its wait.
func (p *service) wait(w http.ResponseWriter, r *http.Request, version func() (int64, string)) {
	var after, ms int64
	if n, _ := fmt.Sscanf(r.URL.RawQuery, "after=%d&wait_ms=%d", &after, &ms); n < 2 {
		v, ids := version()
		io.WriteString(w, listOf(v, strings.Fields(ids)...))
		return
	}
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
		if v, ids := version(); v > after {
			io.WriteString(w, strings.Replace(listOf(v, strings.Fields(ids)...), "true", "false", 1))
			return
		}
		if !time.Now().Before(end) {
			fmt.Fprintf(w, `{"version":%d,"full":false,"servers":[]}`, after)
			return
		}
	}
}

func listOf(version int64, ids ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"full":true,"servers":[`, version)
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":%q,"state":"in_service"}`, id)
	}
	b.WriteString("]}")
	return b.String()
}

// silences are the ways in which a call may say nothing, or nothing whole.
var silences = map[string]func(p *service, w http.ResponseWriter){
	"nothing": func(p *service, _ http.ResponseWriter) { <-p.hanging },
	"headers alone": func(p *service, w http.ResponseWriter) {
		w.Header().Set("Content-Length", "500")
		w.WriteHeader(200)
		w.(http.Flusher).Flush()
		<-p.hanging
	},
	"half a body": func(p *service, w http.ResponseWriter) {
		io.WriteString(w, listOf(2, "s-00000002")[:30])
		w.(http.Flusher).Flush()
		<-p.hanging
	},
	"a byte a second": func(p *service, w http.ResponseWriter) {
		for _, b := range []byte(listOf(2, "s-00000002")) {
			if _, err := w.Write([]byte{b}); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
		}
	},
}

// A watch that falls silent is begun anew, and what it missed is known before it counts as told, in both modes.
func TestWhatASilentWatchMissedIsKnownInTime(t *testing.T) {
	const news = 500 * time.Millisecond // after the watch fell silent
	for _, set := range []refresh.Settings{
		{Gateways: 300, MaxPollInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond, Seed: 3},
		{Gateways: 3, LocalAgent: true, DrainGrace: 250 * time.Millisecond},
	} {
		for name, silence := range silences {
			t.Run(fmt.Sprint(name, " pushed ", set.LocalAgent), func(t *testing.T) {
				play(t, set, func(p *service) {
					var since, counts atomic.Int64
					p.answer = func(w http.ResponseWriter, r *http.Request) {
						var after, ms int64
						fmt.Sscanf(r.URL.RawQuery, "after=%d&wait_ms=%d", &after, &ms)
						if now := p.at(); ms > 0 && since.CompareAndSwap(0, int64(now)) {
							counts.Store(int64(now + 6*time.Second))
							silence(p, w)
							return
						}
						p.wait(w, r, func() (int64, string) {
							if at := since.Load(); at > 0 && p.at() > time.Duration(at)+news {
								return 2, "s-00000001 s-00000002"
							}
							return 1, "s-00000001"
						})
					}
					time.Sleep(time.Millisecond) // 0 stands for not yet
					p.start(nil)
					if got := p.until("s-00000002"); got >= time.Duration(counts.Load()) {
						t.Errorf("known at %v, where it counts as told from %v on", got, time.Duration(counts.Load()))
					}
				})
			})
		}
	}
}

// A pushed list is fetched without being asked for, news of it are there at once, and after an outage in one call.
func TestPushedListsAreFetched(t *testing.T) {
	set := refresh.Settings{LocalAgent: true, DrainGrace: 250 * time.Millisecond}
	for name, out := range silences {
		t.Run(name, func(t *testing.T) {
			play(t, set, func(p *service) {
				const from, until = 10 * time.Second, 18 * time.Second
				p.answer = func(w http.ResponseWriter, r *http.Request) {
					if at := p.at(); at >= from && at < until {
						out(p, w)
						return
					}
					p.wait(w, r, func() (int64, string) {
						switch at := p.at(); {
						case at >= until:
							return 3, "s-00000003"
						case at >= 5*time.Second:
							return 2, "s-00000002"
						}
						return 1, "s-00000001"
					})
				}
				p.start(nil)
				if got := p.until("s-00000001"); got > 0 {
					t.Errorf("the first list is known after %v", got)
				}
				if got := p.until("s-00000002"); got > 5*time.Second+20*time.Millisecond {
					t.Errorf("news of 5 s are known at %v", got)
				}
				if got := p.until("s-00000003"); got > until+set.DrainGrace {
					t.Errorf("what the agent holds at %v is known at %v", until, got)
				}
				if n := p.calls.Load(); n > 70 {
					t.Errorf("%d calls in 18 s", n)
				}
			})
		})
	}
}

// A new process beside an agent that says nothing has the list as soon as there is one.
func TestAStartBesideASilentAgent(t *testing.T) {
	play(t, refresh.Settings{LocalAgent: true, DrainGrace: 250 * time.Millisecond}, func(p *service) {
		p.answer = func(w http.ResponseWriter, r *http.Request) {
			if p.at() < 3*time.Second {
				<-p.hanging
				return
			}
			io.WriteString(w, listOf(9, "s-00000001"))
		}
		p.start(&EndpointList{Version: 4, Endpoints: []Endpoint{{ID: "s-00000007"}}})
		if got := p.until("s-00000001"); got > 3*time.Second+250*time.Millisecond {
			t.Errorf("known at %v", got)
		}
	})
}

// The service's new address is asked at once, whatever state the call at the old one is in.
func TestAnotherAddressDuringASilence(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, silence := range silences {
			play(t, refresh.Settings{LocalAgent: pushed, Gateways: 300}, func(p *service) {
				p.answer = func(w http.ResponseWriter, r *http.Request) {
					switch {
					case r.Host == "b.example:1" && r.URL.RawQuery == "":
						io.WriteString(w, listOf(1, "s-0000000b"))
					case r.Host == "b.example:1":
						<-p.hanging
					default:
						silence(p, w)
					}
				}
				p.start(&EndpointList{Version: 9, Endpoints: []Endpoint{{ID: "s-00000001"}}})
				time.Sleep(1300 * time.Millisecond)
				moved := p.at()
				p.w.SetAddr("b.example:1")
				if got := p.until("s-0000000b") - moved; got > 100*time.Millisecond {
					t.Errorf("%s, pushed %v: known %v after the move", name, pushed, got)
				}
			})
		}
	}
}

// Changes to a list that is not held are not gone by, and the whole is asked for.
func TestChangesToAnotherVersion(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		play(t, refresh.Settings{LocalAgent: pushed}, func(p *service) {
			p.answer = func(w http.ResponseWriter, r *http.Request) {
				if r.URL.RawQuery == "" {
					io.WriteString(w, listOf(3, "s-00000003"))
					return
				}
				io.WriteString(w, `{"version":2,"full":false,"servers":[{"id":"s-00000002","state":"in_service"}]}`)
			}
			p.start(&EndpointList{Version: 9, Endpoints: []Endpoint{{ID: "s-00000001"}}})
			l := <-p.told
			if l.Mode != balancer.ListComplete || l.Servers[0].Name != "s-00000003" {
				t.Errorf("pushed %v: told %+v", pushed, l)
			}
		})
	}
}

// One who answers at once whatever wait was asked for is not asked without end, whether the answers hold something or not.
func TestAnswersWithoutAWaitKeepADistance(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, body := range []string{listOf(1, "s-00000001"), `{"version":1,"full":false,"servers":[]}`} {
			play(t, refresh.Settings{LocalAgent: pushed, DrainGrace: 250 * time.Millisecond}, func(p *service) {
				p.answer = func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }
				p.start(&EndpointList{Version: 1, Endpoints: []Endpoint{{ID: "s-00000001"}}})
				time.Sleep(10 * time.Second)
				if n := p.calls.Load(); n < 100 || n > 250 {
					t.Errorf("pushed %v: %d calls in 10 s", pushed, n)
				}
			})
		}
	}
}
