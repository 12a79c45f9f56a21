package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// findNonFinite returns the path and value of a number in a Balancer's state that is NaN or infinite, or ""
// if there is none.
func findNonFinite(v reflect.Value, path string, seen map[uintptr]bool) string {
	switch v.Kind() {
	case reflect.Float64:
		if f := v.Float(); math.IsNaN(f) || math.IsInf(f, 0) {
			return fmt.Sprint(path, " is ", f)
		}
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			return ""
		}
		seen[v.Pointer()] = true
		return findNonFinite(v.Elem(), path, seen)
	case reflect.Struct:
		for i := range v.NumField() {
			if found := findNonFinite(v.Field(i), path+"."+v.Type().Field(i).Name, seen); found != "" {
				return found
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if found := findNonFinite(v.Index(i), fmt.Sprint(path, "[", i, "]"), seen); found != "" {
				return found
			}
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			if found := findNonFinite(it.Value(), fmt.Sprint(path, "[", it.Key(), "]"), seen); found != "" {
				return found
			}
		}
	}
	return ""
}

// drawDuration draws a duration up to a maximum, or 0, which means that the setting is left out.
func drawDuration(t *rapid.T, label string, maximum time.Duration) time.Duration {
	t.Helper()
	if rapid.IntRange(0, 4).Draw(t, label+" stated") == 0 {
		return 0
	}
	return time.Duration(rapid.Int64Range(1, int64(maximum)).Draw(t, label))
}

// drawFloat draws a number up to a maximum, or 0, which means that the setting is left out.
func drawFloat(t *rapid.T, label string, maximum float64) float64 {
	t.Helper()
	if rapid.IntRange(0, 4).Draw(t, label+" stated") == 0 {
		return 0
	}
	return rapid.Float64Range(0, maximum).Draw(t, label)
}

// drawSettings draws valid settings.
func drawSettings(t *rapid.T) Settings {
	t.Helper()
	settings := Settings{
		Gateways:              rapid.SampledFrom([]int{0, 1, 3, 80, 300}).Draw(t, "gateways"),
		Seed:                  rapid.Uint64().Draw(t, "seed"),
		MaxAttempts:           rapid.IntRange(0, 6).Draw(t, "attempts"),
		FlowRetention:         drawDuration(t, "flow retention", 10*sec),
		DrainGrace:            drawDuration(t, "drain grace", sec),
		WarmupDuration:        drawDuration(t, "warm-up", 30*sec),
		ColdOverloadFactor:    drawFloat(t, "cold overload factor", 8),
		ColdOverloadDuration:  drawDuration(t, "cold overload", 3*sec),
		MaxRetryAfter:         drawDuration(t, "retry after", 4*sec),
		RetryBudgetWindow:     drawDuration(t, "retry budget window", 20*sec),
		RetryBudgetMin:        drawFloat(t, "retry budget minimum", 20),
		RetryBudgetRatio:      drawFloat(t, "retry budget ratio", 1),
		OverQuotaWeightFactor: drawFloat(t, "over quota", 1),
		CanPollLoad:           rapid.Bool().Draw(t, "polls load"),
		RemovalIsAdvisory:     rapid.Bool().Draw(t, "removal is advisory"),
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "classes") {
		settings.Classes = append(settings.Classes, Class{
			Name:                    fmt.Sprint("class-", i),
			Idempotency:             Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
			DedupScope:              DedupScope(rapid.IntRange(0, 2).Draw(t, "dedup scope")),
			DedupWindow:             drawDuration(t, "dedup window", 5*sec),
			PriorityWeight:          drawFloat(t, "priority weight", 9),
			SetupLatencyObjective:   drawDuration(t, "set-up objective", sec),
			Timeout:                 drawDuration(t, "timeout", 5*sec),
			MessageLatencyObjective: drawDuration(t, "message objective", 300*ms),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tenants") {
		tenant := Tenant{Name: fmt.Sprint("tenant-", i), ConnectionQuota: drawFloat(t, "quota", 50)}
		settings.Tenants = append(settings.Tenants, tenant)
	}
	return settings
}

// settingsRun feeds a Balancer with drawn settings random events and checks its actions.
type settingsRun struct {
	t        *rapid.T
	settings Settings
	balancer *Balancer
	random   *rand.Rand
	now      time.Duration
	lastID   RequestID
	pending  map[RequestID]Send
	answers  map[RequestID]int
	attempts map[RequestID]int
}

func (r *settingsRun) feed(ev Event) {
	r.t.Helper()
	for _, a := range r.balancer.Handle(r.now, ev) {
		switch a := a.(type) {
		case Send:
			r.checkSend(a)
		case Reject:
			r.answers[a.ID]++
			if a.RetryAfter < 0 || a.RetryAfter > r.settings.MaxRetryAfter {
				r.t.Fatalf("got RetryAfter %v, want 0 to MaxRetryAfter", a.RetryAfter)
			}
		case Fail:
			r.answers[a.ID]++
		case SetTimer:
			if a.After < 0 {
				r.t.Fatalf("got a timer after %v, want 0 or more", a.After)
			}
		}
	}
}

func (r *settingsRun) checkSend(a Send) {
	r.t.Helper()
	if _, isPending := r.pending[a.ID]; isPending || r.answers[a.ID] > 0 {
		r.t.Fatalf("sent request %d while an attempt is pending, or after its answer", a.ID)
	}
	if a.Timeout < 0 || a.ConnectTimeout < 0 {
		r.t.Fatalf("got a negative timeout: %+v", a)
	}
	r.pending[a.ID] = a
	if r.attempts[a.ID]++; r.attempts[a.ID] > max(r.settings.MaxAttempts, 1) {
		r.t.Fatalf("sent attempt %d, MaxAttempts is %d", r.attempts[a.ID], r.settings.MaxAttempts)
	}
}

// step feeds one random event.
func (r *settingsRun) step() {
	r.t.Helper()
	r.now += time.Duration(r.random.Int64N(int64(200 * ms)))
	server := ServerID(1 + r.random.IntN(8))
	switch r.random.IntN(10) {
	case 0:
		r.feed(r.list())
	case 1, 2, 3:
		r.lastID++
		r.feed(r.request())
	case 4, 5, 6:
		for id, s := range r.pending { // ends an arbitrary one
			r.endAttempt(id, s)
			break
		}
	case 7:
		r.feed(LoadReport{
			Server: server, Utilization: r.random.Float64() * 3, Connections: float64(r.random.IntN(60)),
		})
	case 8:
		r.feed(TimerFired{Ref: sweepTimer})
	case 9:
		r.feed(TimerFired{Ref: waitTimer})
	}
}

func (r *settingsRun) list() EndpointList {
	list := EndpointList{Mode: ListMode(r.random.IntN(3))}
	for range r.random.IntN(9) {
		s := Server{ID: ServerID(1 + r.random.IntN(8)), State: ServerState(r.random.IntN(3))}
		s.Capacity = r.random.Float64() * 4
		if r.random.IntN(2) == 0 {
			s.Started = r.now - time.Duration(r.random.Int64N(int64(20*sec)))
		}
		list.Servers = append(list.Servers, s)
	}
	return list
}

func (r *settingsRun) request() Request {
	return Request{
		ID:           r.lastID,
		Class:        fmt.Sprint("class-", r.random.IntN(6)),
		Tenant:       fmt.Sprint("tenant-", r.random.IntN(4)),
		Group:        fmt.Sprint("g", r.random.IntN(3)),
		Key:          fmt.Sprint("k", r.lastID),
		Load:         r.random.Float64() * 1e6 * float64(r.random.IntN(2)),
		Timeout:      time.Duration(r.random.Int64N(int64(3 * sec))),
		Reconnecting: r.random.IntN(2) == 0,
		MidFlow:      r.random.IntN(9) == 0,
	}
}

// endAttempt ends an attempt. With a probability of one half, the attempt's connection is established first.
func (r *settingsRun) endAttempt(id RequestID, s Send) {
	r.t.Helper()
	attempt := r.attempts[id] - 1
	if r.random.IntN(2) == 0 {
		r.feed(AttemptEstablished{ID: id, Attempt: attempt, Server: s.Server, Elapsed: ms})
		r.feed(LoadChanged{ID: id, Load: r.random.Float64() * 1e5})
		delay := time.Duration(r.random.Int64N(int64(sec)))
		r.feed(MessageDelay{ID: id, Server: s.Server, Delay: delay})
		r.answers[id]++
	}
	delete(r.pending, id)
	r.feed(AttemptEnded{
		ID: id, Attempt: attempt, Server: s.Server, Result: Result(r.random.IntN(8)),
		Answered: r.answers[id] > 0,
	})
}

// checkFinite fails the test if a number in the Balancer's state, or a value derived from it, is not finite.
func (r *settingsRun) checkFinite() {
	r.t.Helper()
	b := r.balancer
	if found := findNonFinite(reflect.ValueOf(b), "balancer", map[uintptr]bool{}); found != "" {
		r.t.Fatal(found)
	}
	for _, f := range []float64{b.failureShedRatio(), b.freeCapacityRatio(), b.arrivalRate()} {
		if math.IsNaN(f) || math.IsInf(f, 0) {
			r.t.Fatalf("got shed ratio %v, free capacity ratio %v, arrival rate %v, want finite values",
				b.failureShedRatio(), b.freeCapacityRatio(), b.arrivalRate())
		}
	}
}

// With any valid settings and any events, the numbers in a Balancer's state stay finite, no request gets more
// attempts than MaxAttempts, and each request has at most one answer.
func TestRandomSettingsGiveFiniteStateAndOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := drawSettings(t)
		r := &settingsRun{
			t: t, settings: settings, balancer: newBalancer(t, settings),
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "events"), 1)), now: 100 * sec,
			pending: map[RequestID]Send{}, answers: map[RequestID]int{}, attempts: map[RequestID]int{},
		}
		for i := range 200 {
			r.step()
			if i%20 == 0 {
				r.checkFinite()
			}
		}
		for id, n := range r.answers {
			if n > 1 {
				t.Fatalf("request %d has %d answers, want at most 1", id, n)
			}
		}
	})
}
