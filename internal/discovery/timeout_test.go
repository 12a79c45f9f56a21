package discovery

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

// A watch that stalls is retried, and a change during the stall is known before it counts as notified, in both modes.
func TestChangeDuringStallIsKnownInTime(t *testing.T) {
	for _, settings := range []refresh.Settings{
		{Gateways: 300, MaxPollInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond, Seed: 3},
		{Gateways: 3, LocalAgent: true, DrainGrace: 250 * time.Millisecond},
	} {
		for name, stall := range stalls {
			t.Run(fmt.Sprint(name, ", local agent ", settings.LocalAgent), func(t *testing.T) {
				runWatcher(t, settings, func(t *testing.T, service *fakeService) {
					t.Helper()
					checkChangeDuringStall(t, service, stall)
				})
			})
		}
	}
}

// checkChangeDuringStall lets the first watch stall and changes the list 500 ms later.
func checkChangeDuringStall(t *testing.T, service *fakeService, stall failure) {
	t.Helper()
	const changeDelay = 500 * time.Millisecond
	var stalledAt atomic.Int64
	service.answer = func(w http.ResponseWriter, r *http.Request) {
		_, wait, _ := watchParameters(r)
		if wait > 0 && stalledAt.CompareAndSwap(0, int64(service.elapsed())) {
			stall(service, w)
			return
		}
		service.answerPoll(w, r, func() listVersion {
			if at := stalledAt.Load(); at > 0 && service.elapsed() > time.Duration(at)+changeDelay {
				return listVersion{version: 2, ids: []string{"s-00000001", "s-00000002"}}
			}
			return listVersion{version: 1, ids: []string{"s-00000001"}}
		})
	}
	time.Sleep(time.Millisecond) // stalledAt must not be 0 once the watch stalls
	service.start(nil)
	got := service.receivedAt("s-00000002")
	const notificationLimit = 6 * time.Second // the protocol's figure, independent of the scheduler's constant
	if limit := time.Duration(stalledAt.Load()) + notificationLimit; got >= limit {
		t.Errorf("the change is known at %v, want before %v, when it counts as notified", got, limit)
	}
}

// An agent's list is fetched immediately at the start, its changes arrive within 20 ms, and after a stall the list arrives
// within the drain grace.
func TestListsOfLocalAgentArrive(t *testing.T) {
	settings := refresh.Settings{LocalAgent: true, DrainGrace: 250 * time.Millisecond}
	for name, stall := range stalls {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, settings, func(t *testing.T, service *fakeService) {
				t.Helper()
				const from, until = 10 * time.Second, 18 * time.Second
				service.answer = func(w http.ResponseWriter, r *http.Request) {
					if now := service.elapsed(); now >= from && now < until {
						stall(service, w)
						return
					}
					service.answerPoll(w, r, func() listVersion {
						switch now := service.elapsed(); {
						case now >= until:
							return listVersion{version: 3, ids: []string{"s-00000003"}}
						case now >= 5*time.Second:
							return listVersion{version: 2, ids: []string{"s-00000002"}}
						}
						return listVersion{version: 1, ids: []string{"s-00000001"}}
					})
				}
				service.start(nil)
				if got := service.receivedAt("s-00000001"); got > 0 {
					t.Errorf("the first list is known after %v, want 0s", got)
				}
				if got := service.receivedAt("s-00000002"); got > 5*time.Second+20*time.Millisecond {
					t.Errorf("the change at 5s is known at %v, want at most 20ms later", got)
				}
				if got := service.receivedAt("s-00000003"); got > until+settings.DrainGrace {
					t.Errorf("the agent's list at the end of the stall, %v, is known at %v, want within %v",
						until, got, settings.DrainGrace)
				}
				if n := service.polls.Load(); n > 70 {
					t.Errorf("got %d polls in 18s, want at most 70", n)
				}
			})
		})
	}
}

// A process that starts while its agent stalls receives the list within the drain grace of the end of the stall.
func TestStartBesideStalledAgent(t *testing.T) {
	settings := refresh.Settings{LocalAgent: true, DrainGrace: 250 * time.Millisecond}
	runWatcher(t, settings, func(t *testing.T, service *fakeService) {
		t.Helper()
		service.answer = func(w http.ResponseWriter, _ *http.Request) {
			if service.elapsed() < 3*time.Second {
				<-service.stalled
				return
			}
			respond(w, listOf(9, "s-00000001"))
		}
		service.start(&EndpointList{Version: 4, Endpoints: []Endpoint{{ID: "s-00000007"}}})
		if got := service.receivedAt("s-00000001"); got > 3*time.Second+250*time.Millisecond {
			t.Errorf("the list is known at %v, want at most 250ms after the end of the stall at 3s", got)
		}
	})
}

// The service's new address is polled immediately while a poll of the old address stalls.
func TestAddrChangesDuringStall(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		for name, stall := range stalls {
			t.Run(fmt.Sprint(name, ", local agent ", localAgent), func(t *testing.T) {
				settings := refresh.Settings{LocalAgent: localAgent, Gateways: 300}
				runWatcher(t, settings, func(t *testing.T, service *fakeService) {
					t.Helper()
					service.answer = func(w http.ResponseWriter, r *http.Request) {
						switch {
						case r.Host == "b.example:1" && r.URL.RawQuery == "":
							respond(w, listOf(1, "s-0000000b"))
						case r.Host == "b.example:1":
							<-service.stalled
						default:
							stall(service, w)
						}
					}
					service.start(&EndpointList{Version: 9, Endpoints: []Endpoint{{ID: "s-00000001"}}})
					time.Sleep(1300 * time.Millisecond)
					changedAt := service.elapsed()
					service.watcher.SetAddr("b.example:1")
					if got := service.receivedAt("s-0000000b") - changedAt; got > 100*time.Millisecond {
						t.Errorf("the new service's list is known %v after the change of address, want at most 100ms", got)
					}
				})
			})
		}
	}
}

// Changes to an older list than the one held are not applied, and the watcher polls for the complete list.
func TestChangesToOlderListAreRejected(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		t.Run(fmt.Sprint("local agent ", localAgent), func(t *testing.T) {
			runWatcher(t, refresh.Settings{LocalAgent: localAgent}, func(t *testing.T, service *fakeService) {
				t.Helper()
				service.answer = func(w http.ResponseWriter, r *http.Request) {
					if r.URL.RawQuery == "" {
						respond(w, listOf(3, "s-00000003"))
						return
					}
					respond(w, `{"version":2,"full":false,"servers":[{"id":"s-00000002","state":"in_service"}]}`)
				}
				service.start(&EndpointList{Version: 9, Endpoints: []Endpoint{{ID: "s-00000001"}}})
				list := <-service.lists
				if list.Mode != balancer.ListComplete || list.Servers[0].Name != "s-00000003" {
					t.Errorf("got %+v, want the complete list with s-00000003", list)
				}
			})
		})
	}
}

// A service that answers immediately, without the requested wait, is polled at a bounded rate, whether or not its answers hold
// servers.
func TestAnswersWithoutWaitAreSpaced(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		for name, body := range map[string]string{
			"complete":   listOf(1, "s-00000001"),
			"no changes": `{"version":1,"full":false,"servers":[]}`,
		} {
			t.Run(fmt.Sprint(name, ", local agent ", localAgent), func(t *testing.T) {
				settings := refresh.Settings{LocalAgent: localAgent, DrainGrace: 250 * time.Millisecond}
				runWatcher(t, settings, func(t *testing.T, service *fakeService) {
					t.Helper()
					service.answer = func(w http.ResponseWriter, _ *http.Request) { respond(w, body) }
					service.start(&EndpointList{Version: 1, Endpoints: []Endpoint{{ID: "s-00000001"}}})
					time.Sleep(10 * time.Second)
					if n := service.polls.Load(); n < 100 || n > 250 {
						t.Errorf("got %d polls in 10s, want 100 to 250", n)
					}
				})
			})
		}
	}
}
