package simproto

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
)

const ms = time.Millisecond

// readEvents returns the events of a batch with the given lines.
func readEvents(t *testing.T, lines ...string) []Event {
	t.Helper()
	var b Batch
	text := "mark t_ns=5\n" + strings.Join(lines, "\n") + "\nover_to_you\n"
	if err := NewReader(strings.NewReader(text)).Read(&b); err != nil {
		t.Fatal(err)
	}
	return b.Events
}

func TestReadEveryEvent(t *testing.T) {
	for _, test := range []struct {
		name, line string
		want       balancer.Event
	}{
		{
			"request",
			"new_request relay=3 ticket=7 customer=c weight_hint_ns=2000 grace_ns=3000000 group=g priority=p " +
				"partition_key=k stray=1 returned=true retry=0 unknown=x",
			balancer.Request{
				ID: 7, Tenant: "c", Load: 2, Reconnecting: true, Timeout: 3 * ms, Group: "g", Class: "p", Key: "k",
				MidFlow: true,
			},
		},
		{
			"adopted connection",
			"carried relay=3 ticket=8 backend=5 priority=p",
			balancer.AdoptedConnection{Request: balancer.Request{ID: 8, Class: "p"}, Server: 5},
		},
		{
			"attempt established",
			"opened relay=3 ticket=7 seq_no=1 backend=5 elapsed_ns=9000000",
			balancer.AttemptEstablished{ID: 7, Attempt: 1, Server: 5, Elapsed: 9 * ms},
		},
		{
			"load",
			"update_of relay=3 ticket=7 value=0.5 topic=1 backend=5",
			balancer.LoadChanged{ID: 7, Load: 0.5},
		},
		{
			"message delay",
			"update_of relay=3 ticket=7 value=120.5 topic=2 backend=5",
			balancer.MessageDelay{ID: 7, Server: 5, Delay: 120*ms + 500*time.Microsecond},
		},
		{
			"attempt ended",
			"result relay=3 ticket=7 seq_no=0 backend=5 outcome=305 settled=1 stats=a:1,b:2",
			balancer.AttemptEnded{ID: 7, Server: 5, Result: balancer.Reset, Answered: true},
		},
		{"client disconnected", "expired relay=3 ticket=7", balancer.ClientDisconnected{ID: 7}},
		{"timer", "timer relay=3 ref=77", balancer.TimerFired{Ref: 77}},
		{
			"endpoint list",
			"update relay=3 mode=Complete rev=5 rows_in=0",
			balancer.EndpointList{Mode: balancer.ListComplete},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := []Event{{Instance: 3, Balancer: test.want}}
			if diff := cmp.Diff(want, readEvents(t, test.line)); diff != "" {
				t.Errorf("%s (-want +got):\n%s", test.line, diff)
			}
		})
	}
}

func TestReadEndpointListWithRows(t *testing.T) {
	got := readEvents(t, "update relay=1 mode=Persisted rev=41 rows_in=2",
		"row backend=5 rack_zone=a machine=m cell=2 mode=IN capacity_hint=1.5 up_since_ns=61",
		"row backend=6 mode=LAME")
	want := []Event{{Instance: 1, Balancer: balancer.EndpointList{Mode: balancer.ListCached, Servers: []balancer.Server{
		{ID: 5, Zone: "a", Cell: 2, Capacity: 1.5, Started: 61}, {ID: 6, State: balancer.Draining},
	}}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func TestReadSettings(t *testing.T) {
	got := readEvents(t, "create relay=2 init_seed=9 replicas_of_me=3 discovery=ask "+
		"caps.max_attempts=4 caps.retry_after=true caps.max_retry_after_ns=2000000 new.key=x "+
		"classes.count=2 classes.0.name=a classes.0.effect=deduplicated classes.0.group=zone "+
		"classes.0.window_ns=5000000 classes.0.worth=2 classes.1.name=b "+
		"family_info.message_aim_ns=1000000,2000000 family_info.tenant_quota_connections=7.5,null "+
		"rules.extra_free=5.0 rules.budget_share=0.1 rules.ratio_span_ns=5000000 rules.gone_is_advice=true "+
		"rules.ask_within_ns=4000000 "+
		"tenants.count=2 tenants.0.name=t tenants.0.portion=0.5 tenants.1.name=u")
	want := balancer.Settings{
		Seed: 9, Gateways: 3, MaxAttempts: 4, MaxRetryAfter: 2 * ms,
		RetryBudgetMin: 5, RetryBudgetRatio: 0.1, RetryBudgetWindow: 5 * ms, RemovalIsAdvisory: true,
		Classes: []balancer.Class{
			{
				Name: "a", Idempotency: balancer.WithIdempotencyKey, DedupScope: balancer.DedupScopeZone,
				DedupWindow: 5 * ms, PriorityWeight: 2, MessageLatencyObjective: ms,
			},
			{
				Name: "b", Idempotency: balancer.NonIdempotent, DedupScope: balancer.DedupScopeCell,
				MessageLatencyObjective: 2 * ms,
			},
		},
		Tenants: []balancer.Tenant{{Name: "t", ConnectionQuota: 7.5}, {Name: "u"}},
	}
	if len(got) != 1 || got[0].Start == nil {
		t.Fatalf("got events %+v, want one event that starts an instance", got)
	}
	start := got[0].Start
	if diff := cmp.Diff(want, start.Balancer); diff != "" {
		t.Errorf("balancer settings (-want +got):\n%s", diff)
	}
	list := start.ListRefresh
	if !start.PollsList || list.LocalAgent || list.Gateways != 3 || list.MaxPollInterval != 4*ms {
		t.Errorf("got PollsList %t and list settings %+v, want true, no local agent, 3 gateways, poll interval 4ms",
			start.PollsList, list)
	}
}

func TestMalformedInputIsAnInputError(t *testing.T) {
	for _, test := range []struct {
		name, text string
		line       int
		want       string
	}{
		{"no mark", "hello\n", 1, `expected mark, found "hello"`},
		{"bad time", "mark t_ns=x\nover_to_you\n", 1, `mark: t_ns: "x" is not a whole number in range`},
		{"unknown event", "mark t_ns=1\nnonsense relay=1\n", 2, `unknown event "nonsense"`},
		{
			"bad number", "mark t_ns=1\ntimer relay=1 ref=one\n", 2,
			`timer: ref: "one" is not a whole number in range`,
		},
		{"no instance", "mark t_ns=1\ntimer ref=1\n", 2, `timer: relay is missing`},
		{"no pair", "mark t_ns=1\ntimer relay=1 what\n", 2, `timer: "what" is not name=value`},
		{"unknown outcome", "mark t_ns=1\nresult relay=1 outcome=9\n", 2, `result: unknown outcome 9`},
		{"unknown list mode", "mark t_ns=1\nupdate relay=1 mode=Odd\n", 2, `update: unknown mode "Odd"`},
		{
			"row without server", "mark t_ns=1\nupdate relay=1 mode=Complete rows_in=1\nrow cell=1\n", 3,
			`row: backend is missing`,
		},
		{
			"rows missing", "mark t_ns=1\nupdate relay=1 mode=Complete rows_in=2\nrow backend=1\n", 3,
			`update: 2 entries announced, input ends after 1`,
		},
		{"end inside a batch", "mark t_ns=1\ntimer relay=1 ref=1\n", 2, `input ends inside a batch`},
		{
			"fraction out of range", "mark t_ns=1\ncreate relay=1 rules.budget_share=nan\n", 2,
			`create: rules.budget_share: "nan" is not a number in range`,
		},
		{
			"fraction for a duration", "mark t_ns=1\ncreate relay=1 rules.ratio_span_ns=0.5\n", 2,
			`create: rules.ratio_span_ns: "0.5" is not a whole number`,
		},
		{
			"bad bool", "mark t_ns=1\ncreate relay=1 rules.gone_is_advice=maybe\n", 2,
			`create: rules.gone_is_advice: "maybe" is not a bool`,
		},
		{
			"bad count", "mark t_ns=1\ncreate relay=1 replicas_of_me=many\n", 2,
			`create: replicas_of_me: "many" is not a whole number`,
		},
		{
			"request number out of range", "mark t_ns=1\nnew_request relay=1 ticket=4294967296\n", 2,
			`new_request: ticket: "4294967296" is not a whole number in range`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := NewReader(strings.NewReader(test.text)).Read(&Batch{})
			var inputError *InputError
			if !errors.As(err, &inputError) {
				t.Fatalf("got error %v, want an *InputError", err)
			}
			want := fmt.Sprintf("line %d: %s", test.line, test.want)
			if inputError.Line != test.line || err.Error() != want {
				t.Errorf("got error of line %d: %v\nwant %s", inputError.Line, err, want)
			}
		})
	}
}

func TestUnderlyingReadErrorIsReturnedUnchanged(t *testing.T) {
	readError := errors.New("broken pipe")
	for name, text := range map[string]string{
		"between batches": "", "inside a batch": "mark t_ns=1\n", "inside a line": "mark t_ns=1\ntimer relay=1",
	} {
		t.Run(name, func(t *testing.T) {
			in := io.MultiReader(strings.NewReader(text), iotest.ErrReader(readError))
			err := NewReader(in).Read(&Batch{})
			var inputError *InputError
			if !errors.Is(err, readError) || errors.As(err, &inputError) {
				t.Errorf("got error %v, want %v, which is not an *InputError", err, readError)
			}
		})
	}
}

func TestLongLinesAndEndOfInput(t *testing.T) {
	key := strings.Repeat("k", 2*readBufferSize)
	r := NewReader(strings.NewReader("mark t_ns=5\nnew_request relay=1 ticket=1 partition_key=" + key +
		"\nover_to_you\n\nmark t_ns=6\nover_to_you\n"))
	var b Batch
	if err := r.Read(&b); err != nil || b.Events[0].Balancer.(balancer.Request).Key != key {
		t.Fatalf("batch with a long line: got error %v or another key", err)
	}
	if err := r.Read(&b); err != nil || b.Now != 6 || len(b.Events) != 0 {
		t.Fatalf("empty batch: got error %v, batch %+v, want time 6 and no events", err, b)
	}
	if err := r.Read(&b); !errors.Is(err, io.EOF) {
		t.Errorf("at the end of the input: got error %v, want EOF", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add("mark t_ns=5\ncreate relay=2 init_seed=9 classes.count=1 classes.0.name=a\nover_to_you\n")
	f.Add("mark t_ns=5\nupdate relay=1 mode=Complete rows_in=1\nrow backend=5\nover_to_you\n")
	f.Add("mark t_ns=5\nnew_request relay=1 ticket=1 grace_ns=5\nresult relay=1 outcome=303\nover_to_you\n")
	f.Add("mark t_ns=5\nupdate relay=1 mode=Error\nover_to_you\n")
	f.Add("mark t_ns=5\nupdate_of relay=1 topic=2 value=1e3\ntimer relay=1 ref=1\nover_to_you\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		var b Batch
		for {
			if err := r.Read(&b); err != nil {
				if err.Error() == "" {
					t.Error("got an error with an empty message")
				}
				return
			}
			for _, ev := range b.Events {
				set := 0
				for _, isSet := range []bool{ev.Start != nil, ev.Stop, ev.ListFailed, ev.Balancer != nil} {
					if isSet {
						set++
					}
				}
				if set != 1 {
					t.Errorf("got an event with %d of its alternative fields set, want 1: %+v", set, ev)
				}
			}
		}
	})
}
