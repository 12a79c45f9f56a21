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

// unsound finds a figure that is no number, or endless, in what a Balancer remembers.
func unsound(v reflect.Value, at string, seen map[uintptr]bool) string {
	switch v.Kind() {
	case reflect.Float64:
		if f := v.Float(); math.IsNaN(f) || math.IsInf(f, 0) {
			return fmt.Sprint(at, " is ", f)
		}
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			return ""
		}
		seen[v.Pointer()] = true
		return unsound(v.Elem(), at, seen)
	case reflect.Struct:
		for i := range v.NumField() {
			if s := unsound(v.Field(i), at+"."+v.Type().Field(i).Name, seen); s != "" {
				return s
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if s := unsound(v.Index(i), fmt.Sprint(at, "[", i, "]"), seen); s != "" {
				return s
			}
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			if s := unsound(it.Value(), fmt.Sprint(at, "[", it.Key(), "]"), seen); s != "" {
				return s
			}
		}
	}
	return ""
}

// drawSettings are figures that a deployment may have: those that are left out are zero, and classes, tenants
// and their names are anybody's.
func drawSettings(t *rapid.T) Settings {
	span := func(label string, most time.Duration) time.Duration {
		if rapid.IntRange(0, 4).Draw(t, label+" stated") == 0 {
			return 0
		}
		return time.Duration(rapid.Int64Range(1, int64(most)).Draw(t, label))
	}
	figure := func(label string, most float64) float64 {
		if rapid.IntRange(0, 4).Draw(t, label+" stated") == 0 {
			return 0
		}
		return rapid.Float64Range(0, most).Draw(t, label)
	}
	set := Settings{
		Gateways: rapid.SampledFrom([]int{0, 1, 3, 80, 300}).Draw(t, "gateways"),
		Seed:     rapid.Uint64().Draw(t, "seed"), MaxAttempts: rapid.IntRange(0, 6).Draw(t, "attempts"),
		FlowRetention: span("park", 10*sec), DrainGrace: span("grace", sec),
		WarmupDuration:     span("cold", 30*sec),
		ColdOverloadFactor: figure("multiple", 8), ColdOverloadDuration: span("tip", 3*sec),
		MaxRetryAfter:     span("retry after", 4*sec),
		RetryBudgetWindow: span("budget", 20*sec), RetryBudgetMin: figure("free", 20),
		RetryBudgetRatio:      figure("share", 1),
		OverQuotaWeightFactor: figure("over share", 1), CanPollLoad: rapid.Bool().Draw(t, "reports"),
		RemovalIsAdvisory: rapid.Bool().Draw(t, "advice"),
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "classes") {
		set.Classes = append(set.Classes, Class{
			Name: fmt.Sprint("klass-", i), Idempotency: Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")),
			DedupScope: DedupScope(rapid.IntRange(0, 2).Draw(t, "scope")), DedupWindow: span("window", 5*sec),
			PriorityWeight: figure("worth", 9), SetupLatencyObjective: span("aim", sec),
			Timeout:                 span("deadline", 5*sec),
			MessageLatencyObjective: span("message aim", 300*ms),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tenants") {
		who := Tenant{Name: fmt.Sprint("who-", i), ConnectionQuota: figure("quota", 50)}
		set.Tenants = append(set.Tenants, who)
	}
	return set
}

// Whatever figures a deployment has, every formula comes to a figure, no attempt is made that its settings
// forbid, and each request has one answer at the most.
func TestEveryFormulaAtAnybodysFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		b := mustNew(nil, set)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "events"), 1))
		now, id := 100*sec, RequestID(0)
		out, answered, tries := map[RequestID]Send{}, map[RequestID]int{}, map[RequestID]int{}
		feed := func(ev Event) {
			for _, a := range b.Handle(now, ev) {
				switch a := a.(type) {
				case Send:
					if _, twice := out[a.ID]; twice || answered[a.ID] > 0 {
						t.Fatalf("%d is sent while out, or behind its answer", a.ID)
					}
					if a.Timeout < 0 || a.ConnectTimeout < 0 {
						t.Fatalf("%+v", a)
					}
					out[a.ID] = a
					if tries[a.ID]++; tries[a.ID] > max(set.MaxAttempts, 1) {
						t.Fatalf("%d attempts, %d are allowed", tries[a.ID], set.MaxAttempts)
					}
				case Reject:
					answered[a.ID]++
					if a.RetryAfter < 0 || a.RetryAfter > set.MaxRetryAfter {
						t.Fatalf("come again after %v", a.RetryAfter)
					}
				case Fail:
					answered[a.ID]++
				case SetTimer:
					if a.After < 0 {
						t.Fatalf("wake after %v", a.After)
					}
				}
			}
		}
		for i := range 200 {
			now += time.Duration(rnd.Int64N(int64(200 * ms)))
			server := ServerID(1 + rnd.IntN(8))
			switch rnd.IntN(10) {
			case 0:
				l := EndpointList{Mode: ListMode(rnd.IntN(3))}
				for range rnd.IntN(9) {
					s := Server{ID: ServerID(1 + rnd.IntN(8)), State: ServerState(rnd.IntN(3))}
					s.Capacity = rnd.Float64() * 4
					if rnd.IntN(2) == 0 {
						s.Started = now - time.Duration(rnd.Int64N(int64(20*sec)))
					}
					l.Servers = append(l.Servers, s)
				}
				feed(l)
			case 1, 2, 3:
				id++
				feed(Request{ID: id, Class: fmt.Sprint("klass-", rnd.IntN(6)),
					Tenant: fmt.Sprint("who-", rnd.IntN(4)),
					Group:  fmt.Sprint("g", rnd.IntN(3)), Key: fmt.Sprint("k", id),
					Load:         rnd.Float64() * 1e6 * float64(rnd.IntN(2)),
					Timeout:      time.Duration(rnd.Int64N(int64(3 * sec))),
					Reconnecting: rnd.IntN(2) == 0, MidFlow: rnd.IntN(9) == 0})
			case 4, 5, 6:
				for at, s := range out { // any one; which does not matter to what must hold
					n := tries[at] - 1
					if rnd.IntN(2) == 0 {
						feed(AttemptEstablished{ID: at, Attempt: n, Server: s.Server, Elapsed: ms})
						feed(LoadChanged{ID: at, Load: rnd.Float64() * 1e5})
						slow := time.Duration(rnd.Int64N(int64(sec)))
						feed(MessageDelay{ID: at, Server: s.Server, Delay: slow})
						answered[at]++
					}
					delete(out, at)
					feed(AttemptEnded{ID: at, Attempt: n, Server: s.Server, Result: Result(rnd.IntN(8)),
						Answered: answered[at] > 0})
					break
				}
			case 7:
				feed(LoadReport{
					Server: server, Utilization: rnd.Float64() * 3, Connections: float64(rnd.IntN(60))})
			case 8:
				feed(TimerFired{Ref: sweepTimer})
			case 9:
				feed(TimerFired{Ref: oneShotTimer})
			}
			if i%20 > 0 {
				continue
			}
			if s := unsound(reflect.ValueOf(b), "b", map[uintptr]bool{}); s != "" {
				t.Fatal(s)
			}
			for _, f := range []float64{b.shedRatio(), b.freeCapacityRatio(), b.arrivalRate()} {
				if math.IsNaN(f) || math.IsInf(f, 0) {
					t.Fatalf("shed ratio %v, free capacity %v, arrivals %v",
						b.shedRatio(), b.freeCapacityRatio(), b.arrivalRate())
				}
			}
		}
		for at, n := range answered {
			if n > 1 {
				t.Fatalf("%d has %d answers", at, n)
			}
		}
	})
}
