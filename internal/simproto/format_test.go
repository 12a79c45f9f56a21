package simproto_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/simproto"
)

func digest(text string) string { return fmt.Sprintf("%.16x", sha256.Sum256([]byte(text))) }

// fieldWriter formats the non-zero fields of an event.
type fieldWriter struct{ strings.Builder }

func (w *fieldWriter) add(name string, v any) {
	switch v {
	case 0, int64(0), uint64(0), 0.0, "", false:
		return
	}
	if s, ok := v.(string); ok {
		fmt.Fprintf(&w.Builder, " %s=%q", name, s)
		return
	}
	fmt.Fprintf(&w.Builder, " %s=%v", name, v)
}

func (w *fieldWriter) duration(name string, d time.Duration) { w.add(name, d.Nanoseconds()) }

func (w *fieldWriter) request(r balancer.Request) {
	w.add("id", int64(r.ID))
	w.add("class", r.Class)
	w.add("tenant", r.Tenant)
	w.add("key", r.Key)
	w.add("group", r.Group)
	w.duration("deadline", r.Timeout)
	w.add("load", r.Load)
	w.add("returned", r.Reconnecting)
	w.add("mid flow", r.MidFlow)
	w.add("owner known", r.OwnerKnown)
	w.add("owner", int64(r.Owner))
	w.add("rank", r.Priority)
}

func (w *fieldWriter) servers(l balancer.EndpointList) {
	w.add("mode", listMode(l.Mode))
	for _, s := range l.Servers {
		w.WriteString(" [server")
		w.add("id", int64(s.ID))
		w.add("zone", s.Zone)
		w.add("cell", s.Cell)
		w.add("state", serverState(s.State))
		w.add("capacity", s.Capacity)
		w.duration("started", s.Started)
		w.add("clear", s.Evacuate)
		w.WriteString("]")
	}
}

func listMode(m balancer.ListMode) string {
	switch m {
	case balancer.ListDelta:
		return "Partial"
	case balancer.ListComplete:
		return "Complete"
	case balancer.ListCached:
		return "Persisted"
	default:
		return "unknown"
	}
}

func serverState(s balancer.ServerState) string {
	switch s {
	case balancer.Ready:
		return "IN"
	case balancer.Draining:
		return "LAME"
	case balancer.Removed:
		return "OUT"
	default:
		return "unknown"
	}
}

func attemptResult(r balancer.Result) string {
	switch r {
	case balancer.OK:
		return "100"
	case balancer.Errored:
		return "301"
	case balancer.Rejected:
		return "302"
	case balancer.TimedOut:
		return "303"
	case balancer.ConnectFailed:
		return "304"
	case balancer.Reset:
		return "305"
	case balancer.Cancelled:
		return "306"
	case balancer.NotSent:
		return "307"
	default:
		return "unknown"
	}
}

func idempotency(e balancer.Idempotency) string {
	switch e {
	case balancer.Idempotent:
		return "idempotent"
	case balancer.WithIdempotencyKey:
		return "deduplicated"
	case balancer.NonIdempotent:
		return "at_most_once"
	default:
		return "unknown"
	}
}

func dedupScope(s balancer.DedupScope) string {
	switch s {
	case balancer.DedupScopeAll:
		return "all"
	case balancer.DedupScopeZone:
		return "zone"
	case balancer.DedupScopeCell:
		return "cell"
	default:
		return "unknown"
	}
}

func (w *fieldWriter) settings(s balancer.Settings) {
	w.add("seed", s.Seed)
	w.add("gateways", s.Gateways)
	w.add("over share worth", s.OverQuotaWeightFactor)
	w.add("attempts", s.MaxAttempts)
	w.duration("park", s.FlowRetention)
	w.duration("drain grace", s.DrainGrace)
	w.duration("cold time", s.WarmupDuration)
	w.add("tip multiple", s.ColdOverloadFactor)
	w.duration("tip time", s.ColdOverloadDuration)
	w.add("gone is advice", s.RemovalIsAdvisory)
	w.duration("budget span", s.RetryBudgetWindow)
	w.add("budget free", s.RetryBudgetMin)
	w.add("budget share", s.RetryBudgetRatio)
	w.duration("retry after", s.MaxRetryAfter)
	w.add("reports", s.CanPollLoad)
	for _, c := range s.Classes {
		w.WriteString(" [class")
		w.add("name", c.Name)
		w.add("effect", idempotency(c.Idempotency))
		w.add("scope", dedupScope(c.DedupScope))
		w.duration("window", c.DedupWindow)
		w.add("worth", c.PriorityWeight)
		w.duration("aim", c.SetupLatencyObjective)
		w.duration("deadline", c.Timeout)
		w.duration("message aim", c.MessageLatencyObjective)
		w.WriteString("]")
	}
	for _, tenant := range s.Tenants {
		w.WriteString(" [tenant")
		w.add("name", tenant.Name)
		w.add("quota", tenant.ConnectionQuota)
		w.WriteString("]")
	}
}

func (w *fieldWriter) listRefresh(s refresh.Settings) {
	w.WriteString(" [list")
	w.add("pushed", s.LocalAgent)
	w.add("gateways", s.Gateways)
	w.duration("ask within", s.MaxPollInterval)
	w.duration("drain grace", s.DrainGrace)
	w.add("seed", s.Seed)
	w.WriteString("]")
}

// describeEvent formats an event with its non-zero fields.
func describeEvent(ev simproto.Event) string {
	var w fieldWriter
	fmt.Fprintf(&w.Builder, "%d:", ev.Instance)
	if ev.Start != nil {
		w.WriteString(" start")
		w.add("asks", ev.Start.PollsList)
		w.settings(ev.Start.Balancer)
		w.listRefresh(ev.Start.ListRefresh)
	}
	if ev.Stop {
		w.WriteString(" stop")
	}
	if ev.ListFailed {
		w.WriteString(" no list")
	}
	if ev.Balancer != nil && !w.requestEvent(ev.Balancer) && !w.attemptEvent(ev.Balancer) {
		w.WriteString(" an event that the protocol does not have")
	}
	return w.String()
}

// requestEvent formats an event that comes from clients, from discovery or from a timer. It returns false for other events.
func (w *fieldWriter) requestEvent(ev balancer.Event) bool {
	switch e := ev.(type) {
	case balancer.EndpointList:
		w.WriteString(" list")
		w.servers(e)
	case balancer.Request:
		w.WriteString(" request")
		w.request(e)
	case balancer.AdoptedConnection:
		w.WriteString(" carried")
		w.request(e.Request)
		w.add("server", int64(e.Server))
	case balancer.ClientDisconnected:
		w.WriteString(" expired")
		w.add("id", int64(e.ID))
	case balancer.TimerFired:
		w.WriteString(" timer")
		w.add("ref", e.Ref)
	default:
		return false
	}
	return true
}

// attemptEvent formats an event of an attempt or of its connection. It returns false for other events.
func (w *fieldWriter) attemptEvent(ev balancer.Event) bool {
	switch e := ev.(type) {
	case balancer.AttemptEstablished:
		w.WriteString(" opened")
		w.add("id", int64(e.ID))
		w.add("attempt", e.Attempt)
		w.add("server", int64(e.Server))
		w.duration("elapsed", e.Elapsed)
	case balancer.LoadChanged:
		w.WriteString(" load")
		w.add("id", int64(e.ID))
		w.add("load", e.Load)
	case balancer.MessageDelay:
		w.WriteString(" delay")
		w.add("id", int64(e.ID))
		w.add("server", int64(e.Server))
		w.duration("delay", e.Delay)
	case balancer.AttemptEnded:
		w.WriteString(" result")
		w.add("id", int64(e.ID))
		w.add("attempt", e.Attempt)
		w.add("server", int64(e.Server))
		w.add("result", attemptResult(e.Result))
		w.duration("elapsed", e.Elapsed)
		w.add("settled", e.Answered)
	default:
		return false
	}
	return true
}

// describeInput formats the batches of an input until it ends or violates the protocol. Of an error only the line number is
// included.
func describeInput(in io.Reader) (lines []string) {
	r := simproto.NewReader(in)
	var batch simproto.Batch
	for {
		if err := r.Read(&batch); err != nil {
			location, _, _ := strings.Cut(err.Error(), ":")
			if errors.Is(err, io.EOF) {
				location = "end"
			}
			return append(lines, location)
		}
		lines = append(lines, fmt.Sprintf("at %d, %d events", batch.Now.Nanoseconds(), len(batch.Events)))
		for _, ev := range batch.Events {
			lines = append(lines, "\t"+describeEvent(ev))
		}
	}
}

// describeText returns the description of an input on one line.
func describeText(text string) string {
	return strings.Join(describeInput(strings.NewReader(text)), "; ")
}

// batchText returns a batch with the given lines.
func batchText(lines ...string) string {
	return "mark t_ns=5\n" + strings.Join(lines, "\n") + "\nover_to_you\n"
}

// eventCases returns lines of every kind of event with every field, with missing and malformed fields, and with values at
// and near the bounds.
func eventCases() (lines []string) {
	const all = " ticket=7 backend=5 priority=p customer=c partition_key=k group=g grace_ns=3000000 weight_hint_ns=2500 returned=1 stray=true" +
		" seq_no=2 elapsed_ns=9000000 outcome=305 settled=true value=120.5 topic=2 ref=77 mode=Complete rows_in=0 rev=5 stats=a:1,b:2 unknown=x"
	kinds := []string{
		"destroy", "update", "new_request", "carried", "opened", "update_of", "result", "expired",
		"timer", "checked", "message", "nonsense", "row", "mark", "Timer",
	}
	for _, kind := range kinds {
		lines = append(lines, kind, kind+" relay=3", kind+" relay=3"+all, kind+all+" relay=0",
			kind+" relay=3 relay=4"+all, kind+" relay=2147483648", kind+" relay=-1", kind+" relay=x",
			kind+" relay=3 outcome=100 mode=Partial", kind+"  relay=3  ", kind+"\trelay=3", kind+" relay=3 what",
			kind+" relay=3 =x")
	}
	for outcome := range 10 {
		lines = append(lines, fmt.Sprintf("result relay=1 ticket=7 outcome=%d", 299+outcome))
	}
	for _, outcome := range []string{"99", "100", "101", "0", "-1", "x", ""} {
		lines = append(lines, "result relay=1 outcome="+outcome)
	}
	for _, topic := range []string{"0", "1", "2", "3", "-1", "x", ""} {
		lines = append(lines, "update_of relay=1 ticket=7 backend=5 value=0.25 topic="+topic)
	}
	for _, mode := range []string{"Partial", "Complete", "Persisted", "Error", "complete", ""} {
		lines = append(lines, "update relay=1 rows_in=0 mode="+mode)
	}
	values := []string{
		"", "0", "1", "-1", "+1", "007", "1.5", ".5", "1e3", "x", "nan", "inf", "-0.5", "true",
		"false", "TRUE", "2", "2147483647", "2147483648", "4294967295", "4294967296",
		"9223372036854775807", "9223372036854775808", "-9223372036854775808", "1e15", "1.1e15", "0x10", "1_0", "a=b",
		"é",
	}
	for _, field := range []string{
		"ticket", "backend", "priority", "customer", "partition_key", "group", "grace_ns",
		"weight_hint_ns", "returned", "stray",
	} {
		for _, v := range values {
			lines = append(lines, "carried relay=1 "+field+"="+v)
		}
	}
	for _, field := range []string{"seq_no", "elapsed_ns", "settled"} {
		for _, v := range values {
			lines = append(lines, "result relay=1 outcome=302 "+field+"="+v)
		}
	}
	for _, v := range values {
		lines = append(lines, "timer relay=1 ref="+v, "update_of relay=1 topic=1 value="+v,
			"update_of relay=1 topic=2 value="+v, "update relay=1 mode=Complete rows_in="+v)
	}
	return lines
}

// Guards against changes in how single event lines are decoded, or in which of them are rejected.
func TestDecodedEvents(t *testing.T) {
	var lines []string
	for _, line := range eventCases() {
		lines = append(lines, fmt.Sprintf("%q: %s", line, describeText(batchText(line))))
	}
	golden.CheckLines(t, "events.txt", lines)
}

// Guards against changes in how the rows of an endpoint list are decoded. The announced number of rows equals the number of
// rows that follow, or exceeds it by one.
func TestDecodedRows(t *testing.T) {
	var lines []string
	for _, rows := range [][]string{
		{
			"row backend=5 rack_zone=a machine=m cell=2 mode=IN capacity_hint=1.5 up_since_ns=61",
			"row backend=6 mode=LAME", "row backend=7 mode=OUT",
		},
		{"row backend=5"},
		{"row backend=0"},
		{"row backend=4294967295"},
		{"row backend=4294967296"},
		{"row"},
		{"row cell=1"},
		{"row backend=5 backend=6"},
		{"row backend=x"},
		{"rows backend=5"},
		{"row backend=5 mode=in"},
		{"row backend=5 mode="},
		{"row backend=5 mode=Gone"},
		{"row backend=5 cell=-3"},
		{"row backend=5 cell=x"},
		{"row backend=5 capacity_hint=-1"},
		{"row backend=5 capacity_hint=0"},
		{"row backend=5 capacity_hint=1e15"},
		{"row backend=5 capacity_hint=2e15"},
		{"row backend=5 up_since_ns=-1"},
		{"row backend=5 up_since_ns=9223372036854775807"},
		{"row backend=5 rack_zone= unknown=1"},
		{"row backend=5 what"},
		{"row backend=5", "row backend=5"},
		{
			"",
			"row backend=5",
		},
		{"row  backend=5 "},
		{},
	} {
		for _, count := range []int{len(rows), len(rows) + 1} {
			for _, mode := range []string{"Partial", "Persisted"} {
				text := batchText(append([]string{fmt.Sprintf("update relay=1 mode=%s rev=41 rows_in=%d", mode, count)},
					rows...)...)
				lines = append(lines, fmt.Sprintf("%q: %s", text, describeText(text)))
			}
		}
	}
	golden.CheckLines(t, "rows.txt", lines)
}

// settingPaths lists the settings that a create line may have, and some that the program ignores.
var settingPaths = []string{
	"init_seed", "replicas_of_me", "over_share_worth", "caps.max_attempts", "family_info.park_ns",
	"rules.stop_sending_within_ns", "rules.cold_ns", "rules.tip_multiple", "rules.fall_ns",
	"rules.gone_is_advice", "rules.ratio_span_ns", "rules.extra_free", "rules.budget_share", "rules.start_capacity",
	"rules.ask_within_ns", "discovery", "caps.retry_after", "caps.max_retry_after_ns",
	"family_info.message_aim_ns", "family_info.tenant_quota_connections", "classes.count", "classes.0.name",
	"classes.0.effect", "classes.0.group", "classes.0.window_ns", "classes.0.worth",
	"classes.0.slo_ns", "classes.0.give_up_ns", "tenants.count", "tenants.0.name", "tenants.0.portion", "caps.probes",
	"unknown.path",
}

func TestDecodedSettings(t *testing.T) {
	lines := []string{}
	add := func(line string) {
		lines = append(lines, fmt.Sprintf("%q: %s", line, describeText(batchText(line))))
	}
	values := []string{
		"", "null", "0", "1", "3", "-1", "1.5", "0.25", "1e18", "2e18", "x", "nan", "true", "false",
		"ask", "push", "9223372036854775807", "9223372036854775808", "1,2", "1,null,2.5", "1,x",
		"idempotent", "deduplicated", "at_most_once", "all", "zone", "cell", "10000", "10001",
	}
	const base = "create relay=2 classes.count=1 tenants.count=1"
	for _, path := range settingPaths {
		for _, v := range values {
			if strings.HasSuffix(path, ".count") && v == "10000" {
				continue // makes long lines that test nothing more
			}
			add(base + " " + path + "=" + v)
		}
	}
	add("create")
	add("create relay=2")
	add("create relay=x")
	add("create relay=2147483648")
	add("create relay=2 what")
	add("create relay=1 relay=2 init_seed=1 init_seed=2")
	add("create relay=2 caps.retry_after=true caps.max_retry_after_ns=2000000")
	add("create relay=2 caps.retry_after=0 caps.max_retry_after_ns=2000000")
	add("create relay=2 init_seed=9 replicas_of_me=3 over_share_worth=0.25 discovery=ask caps.max_attempts=4 caps.retry_after=1 caps.max_retry_after_ns=2000000 caps.probes=1 family_info.park_ns=6 " +
		"rules.stop_sending_within_ns=7 rules.cold_ns=8 rules.tip_multiple=1.5 rules.fall_ns=10 rules.gone_is_advice=1 rules.ratio_span_ns=11 rules.extra_free=5.0 rules.budget_share=0.1 " +
		"rules.ask_within_ns=4000000 rules.start_capacity=1 classes.count=3 classes.0.name=a classes.0.effect=deduplicated classes.0.group=zone classes.0.window_ns=5000000 classes.0.worth=2 " +
		"classes.0.slo_ns=12 classes.0.give_up_ns=13 classes.1.name=b classes.1.effect=idempotent classes.1.group=all classes.2.name=c classes.2.effect=at_most_once classes.2.group=cell " +
		"classes.3.name=beyond family_info.message_aim_ns=1000000,null family_info.tenant_quota_connections=7.5,null,3 tenants.count=2 tenants.0.name=t tenants.1.name=u tenants.2.name=beyond")
	golden.CheckLines(t, "settings.txt", lines)
}

// mixedInput returns several batches that together have every kind of event.
func mixedInput() string {
	return "\n" + batchText("create relay=2 init_seed=9 replicas_of_me=3 discovery=ask classes.count=1 classes.0.name=a classes.0.effect=idempotent rules.cold_ns=8",
		"update relay=2 mode=Persisted rev=1 rows_in=2",
		"row backend=5 rack_zone=a cell=2 mode=IN capacity_hint=1.5 up_since_ns=61", "row backend=6 mode=LAME") +
		"\n\r\nmark t_ns=6 more=1\r\nnew_request relay=2 ticket=1 customer=c weight_hint_ns=2500 grace_ns=3000000 group=g priority=a partition_key=k stray=1 returned=0\r\n" +
		"carried relay=2 ticket=2 backend=5 priority=a\r\nover_to_you\r\n" +
		batchText("opened relay=2 ticket=1 seq_no=1 backend=5 elapsed_ns=9",
			"update_of relay=2 ticket=1 value=0.5 topic=1", "update_of relay=2 ticket=1 backend=5 value=1.5 topic=2",
			"result relay=2 ticket=1 seq_no=1 backend=5 outcome=100 elapsed_ns=10 settled=1",
			"checked relay=2 ticket=1", "message relay=2", "expired relay=2 ticket=2", "timer relay=2 ref=77") +
		batchText("update relay=2 mode=Error", "update relay=2 mode=Partial rows_in=0", "destroy relay=2")
}

// Guards against changes in where batches begin and end: blank lines, line breaks, repeated marks and an early end of the
// input.
func TestDecodedBatches(t *testing.T) {
	var lines []string
	for _, text := range []string{
		mixedInput(), "", "\n", "\n\n\r\n", "mark\nover_to_you\n", "mark t_ns=5\nover_to_you",
		"mark t_ns=5\nover_to_you now\n", "mark t_ns=5\n", "mark t_ns=5", "mark t_ns=-5\nover_to_you\n",
		"mark t_ns=x\nover_to_you\n",
		"mark t_ns=1 t_ns=2 x=y\nover_to_you\n", "mark what\nover_to_you\n", "mark=5\nover_to_you\n",
		"marks t_ns=5\nover_to_you\n", "over_to_you\n", "hello\n", "\x00\xff\n",
		"mark t_ns=5\ntimer relay=1 ref=1\n", "mark t_ns=5\ntimer relay=1 ref=1\nmark t_ns=6\nover_to_you\n",
		"mark t_ns=5\nover_to_you\nmark t_ns=4\nover_to_you\nmark\nover_to_you\n",
		"mark t_ns=5\ntimer relay=1 ref=1\nover_to_you\nmark t_ns=6\nover_to_you\nmark t_ns=7\ntimer relay=1 ref=2\nover_to_you\n", " mark t_ns=5\nover_to_you\n", "mark t_ns=5\r\r\n\r\nover_to_you\r\r\n",
	} {
		lines = append(lines, fmt.Sprintf("%q:", text))
		for _, line := range describeInput(strings.NewReader(text)) {
			lines = append(lines, "\t"+line)
		}
	}
	golden.CheckLines(t, "batches.txt", lines)
}

// Guards against decoded events that depend on how the input is split into reads, also for lines around and beyond the size
// of the read buffer.
func TestInputInChunks(t *testing.T) {
	inputs := map[string]string{"mixed": mixedInput(), "cut off": strings.TrimSuffix(mixedInput(), "over_to_you\n")}
	for _, length := range []int{1<<16 - 1, 1 << 16, 1<<16 + 1, 1<<17 + 5} {
		line := "new_request relay=1 ticket=1 partition_key="
		line += strings.Repeat("k", length-len(line)-1)
		inputs[fmt.Sprint("line of ", length)] = batchText(line, "timer relay=1 ref=4",
			"timer relay=1 ref=5 filler="+strings.Repeat("k", length))
	}
	for name, text := range inputs {
		t.Run(name, func(t *testing.T) {
			want := strings.Join(describeInput(strings.NewReader(text)), "\n")
			for _, event := range []string{"request", "timer"} {
				if strings.Count(want, " "+event+" ") != strings.Count(text, "\n"+event)+strings.Count(text,
					"new_"+event) {
					t.Fatalf("got fewer or more events of kind %s than the input has: %.500s", event, want)
				}
			}
			for chunking, in := range map[string]io.Reader{
				"single bytes":                    iotest.OneByteReader(strings.NewReader(text)),
				"halves":                          iotest.HalfReader(strings.NewReader(text)),
				"EOF with the last data":          iotest.DataErrReader(strings.NewReader(text)),
				"single bytes, EOF with the last": iotest.DataErrReader(iotest.OneByteReader(strings.NewReader(text))),
			} {
				if got := strings.Join(describeInput(in), "\n"); got != want {
					t.Errorf("%s: got %.500s, want %.500s", chunking, got, want)
				}
			}
		})
	}
}

// Guards against changes in how corrupted input is read. Each batch of the mixed input is read with a byte replaced, with a
// byte removed and with its end cut off, at every position. The file holds a digest for each line of the input.
func TestCorruptedInput(t *testing.T) {
	var lines []string
	for _, text := range strings.SplitAfter(mixedInput(), "over_to_you\n") {
		start := 0
		for _, line := range strings.SplitAfter(text, "\n") {
			var b strings.Builder
			for i := start; i < start+len(line); i++ {
				for _, c := range "\x00 =\n9-" {
					fmt.Fprintln(&b, describeText(text[:i]+string(byte(c))+text[i+1:]))
				}
				fmt.Fprintln(&b, describeText(text[:i]+text[i+1:]))
				fmt.Fprintln(&b, describeText(text[:i]))
			}
			lines = append(lines, fmt.Sprintf("%.20q: %s", line, digest(b.String())))
			start += len(line)
		}
	}
	golden.CheckLines(t, "spoilt.txt", lines)
}

// Guards against changes in how random batches are read. The file holds a digest for each seed.
func TestRandomBatches(t *testing.T) {
	var valid, invalid []string
	for _, line := range eventCases() {
		if strings.HasSuffix(describeText(batchText(line)), "; end") {
			valid = append(valid, line)
		} else {
			invalid = append(invalid, line)
		}
	}
	var lines []string
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 25))
		var b strings.Builder
		for range 1 + rng.IntN(6) {
			fmt.Fprintf(&b, "mark t_ns=%d\n", rng.Int64N(1<<40))
			for range rng.IntN(6) {
				line := valid[rng.IntN(len(valid))]
				switch rng.IntN(30) {
				case 0:
					line = invalid[rng.IntN(len(invalid))]
				case 1, 2, 3, 4, 5, 6:
					line = fmt.Sprintf("create relay=%d classes.count=2 tenants.count=2 %s=%d", rng.IntN(5),
						settingPaths[rng.IntN(len(settingPaths))], rng.IntN(3))
				}
				b.WriteString(line + "\n")
			}
			b.WriteString("over_to_you\n")
		}
		lines = append(lines, fmt.Sprintf("%04d %s", seed, digest(describeText(b.String()))))
	}
	golden.CheckLines(t, "drawn.txt", lines)
}

// Guards against changes in how actions are encoded.
func TestEncodedActions(t *testing.T) {
	var lines []string
	add := func(name string, b []byte) { lines = append(lines, fmt.Sprintf("%s: %q", name, b)) }
	for _, instance := range []int{0, 4, 1<<31 - 1} {
		for _, a := range []struct {
			name   string
			action balancer.Action
		}{
			{"send", balancer.Send{ID: 1, Server: 2, Timeout: 3 * time.Millisecond, ConnectTimeout: 9 * time.Millisecond}},
			{"send, largest", balancer.Send{ID: 1<<32 - 1, Server: 1<<32 - 1, Timeout: 1<<63 - 1}},
			{"send, zero", balancer.Send{}},
			{"reject", balancer.Reject{ID: 1, RetryAfter: time.Millisecond}},
			{"reject, shed", balancer.Reject{ID: 1, RetryAfter: 1, ShedByFleet: true}},
			{"reject, at once", balancer.Reject{ID: 1}},
			{"fail", balancer.Fail{ID: 1}},
			{"migrate", balancer.Migrate{ID: 1}},
			{"timer", balancer.SetTimer{After: time.Millisecond, Ref: 2}},
			{"timer, negative", balancer.SetTimer{After: -1, Ref: -2}},
			{"log", balancer.Log{Message: "one line"}},
			{"log, several lines", balancer.Log{Message: "one\ntwo\r\nthree\rfour\n"}},
			{"log, empty", balancer.Log{}},
		} {
			add(fmt.Sprint(a.name, " at ", instance), simproto.AppendAction([]byte("before\n"), instance, a.action))
		}
		add(fmt.Sprint("watch at ", instance), simproto.AppendWatch([]byte("before\n"), instance))
		add(fmt.Sprint("broken at ", instance), simproto.AppendBroken([]byte("before\n"), instance, "why\nand why"))
	}
	add("yield", simproto.AppendYield([]byte("before\n")))
	golden.CheckLines(t, "actions.txt", lines)
}
