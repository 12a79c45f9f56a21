package simproto

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

const ms = time.Millisecond

func read(t *testing.T, text string) []Event {
	t.Helper()
	var b Batch
	if err := NewReader(strings.NewReader(text)).Read(&b); err != nil {
		t.Fatal(err)
	}
	return b.Events
}

func TestReadsEveryEvent(t *testing.T) {
	for line, want := range map[string]balancer.Event{
		"new_request relay=3 ticket=7 customer=c weight_hint_ns=2000 grace_ns=3000000 group=g priority=p " +
			"partition_key=k stray=1 returned=true retry=0 unknown=x": balancer.Request{ID: 7, Tenant: "c", Load: 2, Reconnecting: true,
			Timeout: 3 * ms, Group: "g", Class: "p", Key: "k", MidFlow: true},
		"carried relay=3 ticket=8 backend=5 priority=p": balancer.AdoptedConnection{
			Request: balancer.Request{ID: 8, Class: "p"}, Server: 5},
		"opened relay=3 ticket=7 seq_no=1 backend=5 elapsed_ns=9000000": balancer.AttemptEstablished{
			ID: 7, Attempt: 1, Server: 5, Elapsed: 9 * ms},
		"update_of relay=3 ticket=7 value=0.5 topic=1 backend=5": balancer.LoadChanged{ID: 7, Load: 0.5},
		"update_of relay=3 ticket=7 value=120.5 topic=2 backend=5": balancer.MessageDelay{
			ID: 7, Server: 5, Delay: 120*ms + 500*time.Microsecond},
		"result relay=3 ticket=7 seq_no=0 backend=5 outcome=305 settled=1 stats=a:1,b:2": balancer.AttemptEnded{
			ID: 7, Server: 5, Result: balancer.Reset, Answered: true},
		"expired relay=3 ticket=7":                     balancer.ClientDisconnected{ID: 7},
		"timer relay=3 ref=77":                         balancer.TimerFired{Ref: 77},
		"update relay=3 mode=Complete rev=5 rows_in=0": balancer.EndpointList{Mode: balancer.ListComplete},
	} {
		got := read(t, "mark t_ns=5\n"+line+"\nover_to_you\n")
		if len(got) != 1 || got[0].Instance != 3 || !reflect.DeepEqual(got[0].Balancer, want) {
			t.Errorf("%s\n got %+v\nwant %+v", line, got, want)
		}
	}
}

func TestReadsTheListAndItsRows(t *testing.T) {
	got := read(t, "mark t_ns=5\nupdate relay=1 mode=Persisted rev=41 rows_in=2\n"+
		"row backend=5 rack_zone=a machine=m cell=2 mode=IN capacity_hint=1.5 up_since_ns=61\n"+
		"row backend=6 mode=LAME\nover_to_you\n")
	want := balancer.EndpointList{Mode: balancer.ListCached, Servers: []balancer.Server{
		{ID: 5, Zone: "a", Cell: 2, Capacity: 1.5, Started: 61}, {ID: 6, State: balancer.Draining}}}
	if len(got) != 1 || !reflect.DeepEqual(got[0].Balancer, want) {
		t.Errorf("got %+v", got)
	}
}

func TestReadsSettings(t *testing.T) {
	got := read(t, "mark t_ns=5\ncreate relay=2 init_seed=9 replicas_of_me=3 discovery=ask "+
		"caps.max_attempts=4 caps.retry_after=true caps.max_retry_after_ns=2000000 new.key=x "+
		"classes.count=2 classes.0.name=a classes.0.effect=deduplicated classes.0.group=zone "+
		"classes.0.window_ns=5000000 classes.0.worth=2 classes.1.name=b "+
		"family_info.message_aim_ns=1000000,2000000 family_info.tenant_quota_connections=7.5,null "+
		"rules.extra_free=5.0 rules.budget_share=0.1 rules.ratio_span_ns=5000000 rules.gone_is_advice=true "+
		"rules.ask_within_ns=4000000 "+
		"tenants.count=2 tenants.0.name=t tenants.0.portion=0.5 tenants.1.name=u\nover_to_you\n")
	want := &balancer.Settings{
		Seed: 9, Gateways: 3, MaxAttempts: 4, MaxRetryAfter: 2 * ms,
		RetryBudgetMin: 5, RetryBudgetRatio: 0.1, RetryBudgetWindow: 5 * ms, RemovalIsAdvisory: true,
		Classes: []balancer.Class{
			{Name: "a", Idempotency: balancer.WithIdempotencyKey, DedupScope: balancer.DedupScopeZone, DedupWindow: 5 * ms, PriorityWeight: 2, MessageLatencyObjective: ms},
			{Name: "b", Idempotency: balancer.NonIdempotent, DedupScope: balancer.DedupScopeCell, MessageLatencyObjective: 2 * ms},
		},
		Tenants: []balancer.Tenant{{Name: "t", ConnectionQuota: 7.5}, {Name: "u"}},
	}
	if len(got) != 1 || !reflect.DeepEqual(&got[0].Start.Balancer, want) {
		t.Errorf("got  %+v\nwant %+v", got[0].Start.Balancer, want)
	}
	if l := got[0].Start.ListRefresh; !got[0].Start.PollsList || l.LocalAgent || l.Gateways != 3 || l.MaxPollInterval != 4*ms {
		t.Errorf("the list's clock goes by %+v", l)
	}
}

func TestMalformedInputIsAPlainError(t *testing.T) {
	for text, want := range map[string]string{
		"hello\n":                                                           `line 1: expected mark, found "hello"`,
		"mark t_ns=x\nover_to_you\n":                                        `line 1: mark: t_ns: "x" is not a whole number in range`,
		"mark t_ns=1\nnonsense relay=1\n":                                   `line 2: unknown event "nonsense"`,
		"mark t_ns=1\ntimer relay=1 ref=one\n":                              `line 2: timer: ref: "one" is not a whole number in range`,
		"mark t_ns=1\ntimer ref=1\n":                                        `line 2: timer: relay is missing`,
		"mark t_ns=1\ntimer relay=1 what\n":                                 `line 2: timer: "what" is not name=value`,
		"mark t_ns=1\nresult relay=1 outcome=9\n":                           `line 2: result: unknown outcome 9`,
		"mark t_ns=1\nupdate relay=1 mode=Odd\n":                            `line 2: update: unknown mode "Odd"`,
		"mark t_ns=1\nupdate relay=1 mode=Complete rows_in=1\nrow cell=1\n": `line 3: row: backend is missing`,
		"mark t_ns=1\nupdate relay=1 mode=Complete rows_in=2\nrow backend=1\n": `line 3: update: 2 entries announced, ` +
			`input ends after 1`,
		"mark t_ns=1\ntimer relay=1 ref=1\n": `line 2: input ends inside a batch`,
		"mark t_ns=1\ncreate relay=1 rules.budget_share=nan\n": `line 2: create: rules.budget_share: "nan" is not ` +
			`a number in range`,
		"mark t_ns=1\ncreate relay=1 rules.ratio_span_ns=0.5\n": `line 2: create: rules.ratio_span_ns: "0.5" is ` +
			`not a whole number`,
		"mark t_ns=1\ncreate relay=1 rules.gone_is_advice=maybe\n": `line 2: create: rules.gone_is_advice: ` +
			`"maybe" is not a bool`,
		"mark t_ns=1\ncreate relay=1 replicas_of_me=many\n": `line 2: create: replicas_of_me: "many" is not ` +
			`a whole number`,
		"mark t_ns=1\nnew_request relay=1 ticket=4294967296\n": `line 2: new_request: ticket: "4294967296" is not ` +
			`a whole number in range`,
	} {
		var b Batch
		err := NewReader(strings.NewReader(text)).Read(&b)
		if err == nil || err.Error() != want {
			t.Errorf("%q\n got %v\nwant %s", text, err, want)
		}
	}
}

func TestLongLinesAndTheEnd(t *testing.T) {
	key := strings.Repeat("k", 1<<17)
	r := NewReader(strings.NewReader("mark t_ns=5\nnew_request relay=1 ticket=1 partition_key=" + key +
		"\nover_to_you\n\nmark t_ns=6\nover_to_you\n"))
	var b Batch
	if err := r.Read(&b); err != nil || b.Events[0].Balancer.(balancer.Request).Key != key {
		t.Fatalf("a long line: %v", err)
	}
	if err := r.Read(&b); err != nil || b.Now != 6 || len(b.Events) != 0 {
		t.Fatalf("an empty batch: %v, %+v", err, b)
	}
	if err := r.Read(&b); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestPrintsEveryAction(t *testing.T) {
	for want, a := range map[string]balancer.Action{
		"hand_off relay=4 ticket=1 backend=2 limit_ns=3000000": balancer.Send{ID: 1, Server: 2, Timeout: 3 * ms},
		"shed relay=4 ticket=1 backoff_ns=1000000":             balancer.Reject{ID: 1, RetryAfter: ms},
		"respond_error relay=4 ticket=1":                       balancer.Fail{ID: 1},
		"rebalance relay=4 ticket=1":                           balancer.Migrate{ID: 1},
		"wake_at relay=4 sleep_for_ns=1000000 ref=2":           balancer.SetTimer{After: ms, Ref: 2},
		"emit relay=4 message=one line":                        balancer.Log{Message: "one\nline"},
	} {
		if got := string(AppendAction(nil, 4, a)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := string(AppendBroken(nil, 4, "why")); got != "broken relay=4 message=why\n" {
		t.Errorf("got %q", got)
	}
}

func FuzzReader(f *testing.F) {
	f.Add("mark t_ns=5\ncreate relay=2 init_seed=9 classes.count=1 classes.0.name=a\nover_to_you\n")
	f.Add("mark t_ns=5\nupdate relay=1 mode=Complete rows_in=1\nrow backend=5\nover_to_you\n")
	f.Add("mark t_ns=5\nnew_request relay=1 ticket=1 grace_ns=5\nresult relay=1 outcome=303\nover_to_you\n")
	f.Add("mark t_ns=5\nupdate_of relay=1 topic=2 value=1e3\ntimer relay=1 ref=1\nover_to_you\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		var b Batch
		for {
			if err := r.Read(&b); err != nil {
				if err.Error() == "" {
					t.Error("an error without words")
				}
				return
			}
			for _, ev := range b.Events {
				if ev.Start == nil && !ev.Stop && ev.Balancer == nil {
					t.Errorf("an event that says nothing: %+v", ev)
				}
			}
		}
	})
}
