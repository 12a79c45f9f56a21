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

// A watch that stalls is retried, and what it missed is known before it counts as notified, in both modes.
func TestChangeDuringStallIsKnownInTime(t *testing.T) {
	for _, settings := range []refresh.Settings{
		{Gateways: 300, MaxPollInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond, Seed: 3},
		{Gateways: 3, LocalAgent: true, DrainGrace: 250 * time.Millisecond},
	} {
		for name, stall := range stalls {
			t.Run(fmt.Sprint(name, ", local agent ", settings.LocalAgent), func(t *testing.T) {
				play(t, settings, func(t *testing.T, service *fakeService) {
					t.Helper()
					checkChangeDuringStall(t, service, stall)
				})
			})
		}
	}
}

// checkChangeDuringStall has the first watch stall, and the list change 500 ms later.
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
	time.Sleep(time.Millisecond) // 0 stands for not yet
	service.start(nil)
	got := service.receivedAt("s-00000002")
	const notificationLimit = 6 * time.Second // the platform's figure, whatever the scheduler's constant is
	if limit := time.Duration(stalledAt.Load()) + notificationLimit; got >= limit {
		t.Errorf("known at %v, it counts as notified at %v", got, limit)
	}
}

// An agent's list is fetched at the start, its changes arrive at once, and after an outage it takes one poll.
func TestListsOfLocalAgentArrive(t *testing.T) {
	settings := refresh.Settings{LocalAgent: true, DrainGrace: 250 * time.Millisecond}
	for name, stall := range stalls {
		t.Run(name, func(t *testing.T) {
			play(t, settings, func(t *testing.T, service *fakeService) {
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
					t.Errorf("the first list is known after %v", got)
				}
				if got := service.receivedAt("s-00000002"); got > 5*time.Second+20*time.Millisecond {
					t.Errorf("the change of 5 s is known at %v", got)
				}
				if got := service.receivedAt("s-00000003"); got > until+settings.DrainGrace {
					t.Errorf("what the agent holds at %v is known at %v", until, got)
				}
				if n := service.polls.Load(); n > 70 {
					t.Errorf("%d polls in 18 s", n)
				}
			})
		})
	}
}

// A new process beside an agent that does not answer has the list as soon as there is one.
func TestStartBesideStalledAgent(t *testing.T) {
	settings := refresh.Settings{LocalAgent: true, DrainGrace: 250 * time.Millisecond}
	play(t, settings, func(t *testing.T, service *fakeService) {
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
			t.Errorf("known at %v", got)
		}
	})
}

// The service's new address is polled at once, whatever state the poll at the old one is in.
func TestAddrChangesDuringStall(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		for name, stall := range stalls {
			t.Run(fmt.Sprint(name, ", local agent ", localAgent), func(t *testing.T) {
				settings := refresh.Settings{LocalAgent: localAgent, Gateways: 300}
				play(t, settings, func(t *testing.T, service *fakeService) {
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
						t.Errorf("known %v after the change of address", got)
					}
				})
			})
		}
	}
}

// Changes to a list that is not held are not applied, and the complete list is polled for.
func TestChangesToOlderListAreRejected(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		t.Run(fmt.Sprint("local agent ", localAgent), func(t *testing.T) {
			play(t, refresh.Settings{LocalAgent: localAgent}, func(t *testing.T, service *fakeService) {
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
					t.Errorf("got %+v", list)
				}
			})
		})
	}
}

// A service that answers at once whatever wait was asked for is not polled without end, whether its answers hold servers or
// not.
func TestAnswersWithoutWaitAreSpaced(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		for name, body := range map[string]string{
			"complete":   listOf(1, "s-00000001"),
			"no changes": `{"version":1,"full":false,"servers":[]}`,
		} {
			t.Run(fmt.Sprint(name, ", local agent ", localAgent), func(t *testing.T) {
				settings := refresh.Settings{LocalAgent: localAgent, DrainGrace: 250 * time.Millisecond}
				play(t, settings, func(t *testing.T, service *fakeService) {
					t.Helper()
					service.answer = func(w http.ResponseWriter, _ *http.Request) { respond(w, body) }
					service.start(&EndpointList{Version: 1, Endpoints: []Endpoint{{ID: "s-00000001"}}})
					time.Sleep(10 * time.Second)
					if n := service.polls.Load(); n < 100 || n > 250 {
						t.Errorf("%d polls in 10 s", n)
					}
				})
			})
		}
	}
}
