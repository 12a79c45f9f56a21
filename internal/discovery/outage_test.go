package discovery

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

// changeDelay is the time from the end of a watch until a server begins to drain.
const changeDelay = 300 * time.Millisecond

// afterWatch determines what happens after the end of a watch.
type afterWatch struct {
	downFor     time.Duration // time for which the service refuses all polls
	firstAnswer string        // body of the next answer; "" means that it is the current list
	addrChanges bool          // the watcher is given another address after changeDelay
}

// failingWatchService is a service whose first watch fails. A server begins to drain changeDelay later.
type failingWatchService struct {
	*fakeService
	afterWatch
	watchFailure    failure
	watchEndedAt    atomic.Int64 // time at which the watch failed, or 0 before; atomic because handlers run concurrently
	firstAnswerSent atomic.Bool  // firstAnswer was sent
}

func (o *failingWatchService) handle(w http.ResponseWriter, r *http.Request) {
	now, endedAt := o.elapsed(), time.Duration(o.watchEndedAt.Load())
	_, wait, _ := watchParameters(r)
	switch {
	case endedAt == 0 && wait == 0:
		respond(w, listOf(7, "s-00000001", "s-00000002"))
	case endedAt == 0:
		o.watchEndedAt.Store(int64(now))
		if o.addrChanges {
			time.AfterFunc(changeDelay, func() { o.watcher.SetAddr("b.example:1") })
		}
		o.watchFailure(o.fakeService, w)
	case now < endedAt+o.downFor && o.downFor > 0:
		panic(http.ErrAbortHandler)
	case o.firstAnswer != "" && o.firstAnswerSent.CompareAndSwap(false, true):
		respond(w, o.firstAnswer)
	case now < endedAt+changeDelay:
		o.answerPoll(w, r, func() listVersion {
			if o.elapsed() >= endedAt+changeDelay {
				return listVersion{version: 8, ids: []string{"s-00000001"}}
			}
			return listVersion{version: 7, ids: []string{"s-00000001", "s-00000002"}}
		})
	default:
		respond(w, drainingList())
	}
}

// drainingList returns the list in which the server is draining.
func drainingList() string {
	return strings.Replace(listOf(8, "s-00000001", "s-00000002"),
		`"s-00000002","state":"in_service"`, `"s-00000002","state":"terminating"`, 1)
}

// check reads the applied lists up to the one with the draining server. It reports a test error if the last of them
// arrived too late, or if a list of a former version was applied.
func (o *failingWatchService) check(t *testing.T) {
	t.Helper()
	for list := range o.lists {
		if o.firstAnswer != "" && list.Mode == balancer.ListComplete && list.Version < 7 {
			t.Errorf("complete list of version %d was applied, want only version 7 or later", list.Version)
		}
		if list.Version == 8 {
			break
		}
	}
	limit := time.Duration(o.watchEndedAt.Load()) + max(changeDelay, o.downFor) + refresh.MaxNotificationDelay
	if o.elapsed() > limit {
		t.Errorf("the drain is known at %v, want at most %v, when it counts as notified", o.elapsed(), limit)
	}
}

// If a server begins to drain shortly after a watch has failed, the watcher learns of it before the change counts as notified.
// That is 6 s after discovery has the change and is reachable. This holds for each way in which a watch fails. It also holds if
// the service is down afterwards, answers with a stale or empty list, or gets another address.
func TestDrainAfterWatchEnds(t *testing.T) {
	ends := maps.Clone(stalls)
	maps.Copy(ends, endingFailures)
	for next, then := range map[string]afterWatch{
		"nothing else":    {},
		"down and back":   {downFor: 8 * time.Second},
		"a stale list":    {firstAnswer: listOf(3, "s-00000001", "s-00000009")},
		"an empty list":   {firstAnswer: `{"version":2,"full":true,"servers":[]}`},
		"another address": {addrChanges: true},
	} {
		for _, settings := range []refresh.Settings{
			{Gateways: 300, MaxPollInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond, Seed: 5},
			{Gateways: 3, LocalAgent: true, DrainGrace: 250 * time.Millisecond},
		} {
			for name, end := range ends {
				t.Run(fmt.Sprint(name, ", then ", next, ", local agent ", settings.LocalAgent), func(t *testing.T) {
					runWatcher(t, settings, func(t *testing.T, service *fakeService) {
						t.Helper()
						o := &failingWatchService{fakeService: service, afterWatch: then, watchFailure: end}
						service.answer = o.handle
						time.Sleep(time.Millisecond) // watchEndedAt must not be 0 once the watch has failed
						service.start(nil)
						o.check(t)
					})
				})
			}
		}
	}
}
