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

// changeDelay is from the end of a watch until a server begins to drain.
const changeDelay = 300 * time.Millisecond

// aftermath is what follows the end of a watch.
type aftermath struct {
	downFor     time.Duration // discovery refuses all polls for so long
	firstAnswer string        // of the next poll that is answered
	addrChanges bool          // the watcher is given another address after changeDelay
}

// outage is a service whose first watch ends badly; changeDelay later a server begins to drain.
type outage struct {
	*fakeService
	aftermath
	end      failure
	endedAt  atomic.Int64 // when the watch did; 0: not yet. Handlers of polls run concurrently.
	answered atomic.Bool  // firstAnswer was given
}

func (o *outage) handle(w http.ResponseWriter, r *http.Request) {
	now, endedAt := o.elapsed(), time.Duration(o.endedAt.Load())
	_, wait, _ := watchParameters(r)
	switch {
	case endedAt == 0 && wait == 0:
		respond(w, listOf(7, "s-00000001", "s-00000002"))
	case endedAt == 0:
		o.endedAt.Store(int64(now))
		if o.addrChanges {
			time.AfterFunc(changeDelay, func() { o.watcher.SetAddr("b.example:1") })
		}
		o.end(o.fakeService, w)
	case now < endedAt+o.downFor && o.downFor > 0:
		panic(http.ErrAbortHandler)
	case o.firstAnswer != "" && o.answered.CompareAndSwap(false, true):
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

// drainingList is the list after changeDelay.
func drainingList() string {
	return strings.Replace(listOf(8, "s-00000001", "s-00000002"),
		`"s-00000002","state":"in_service"`, `"s-00000002","state":"terminating"`, 1)
}

// check reads lists up to the one with the draining server and fails if that came too late, or an older one was applied.
func (o *outage) check(t *testing.T) {
	t.Helper()
	for list := range o.lists {
		if o.firstAnswer != "" && list.Mode == balancer.ListComplete && list.Version < 7 {
			t.Errorf("a list of version %d was applied", list.Version)
		}
		if list.Version == 8 {
			break
		}
	}
	limit := time.Duration(o.endedAt.Load()) + max(changeDelay, o.downFor) + refresh.MaxNotificationDelay
	if o.elapsed() > limit {
		t.Errorf("known at %v, it counts as notified at %v", o.elapsed(), limit)
	}
}

// Whatever becomes of a watch, and whatever follows, a server that begins to drain right after is known before that counts
// as notified: 6 s after discovery had it and could be reached. Lists that are stale, empty or shrunken come between.
func TestDrainAfterWatchEnds(t *testing.T) {
	ends := maps.Clone(stalls)
	maps.Copy(ends, breaks)
	for next, then := range map[string]aftermath{
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
					play(t, settings, func(t *testing.T, service *fakeService) {
						t.Helper()
						o := &outage{fakeService: service, aftermath: then, end: end}
						service.answer = o.handle
						time.Sleep(time.Millisecond) // 0 stands for not yet
						service.start(nil)
						o.check(t)
					})
				})
			}
		}
	}
}
