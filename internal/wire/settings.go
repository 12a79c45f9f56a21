package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"example.org/milletvane/rules"
)

// create reads the line that starts an instance. Its settings are path=value pairs.
func (r *Reader) create(f *fields) (Event, bool, error) {
	ev := Event{Instance: -1}
	p := params{}
	for f.next() {
		if string(f.key) == "relay" {
			ev.Instance = int(f.integer(1 << 31))
			continue
		}
		p[string(f.key)] = string(f.value)
	}
	if f.err != nil {
		return ev, false, r.errorf("create: %v", f.err)
	}
	if ev.Instance < 0 {
		return ev, false, r.errorf("create: relay is missing")
	}
	set, err := p.settings()
	if err != nil {
		return ev, false, r.errorf("create: %v", err)
	}
	ev.Start = set
	return ev, true, nil
}

// params are settings by path. Absent ones give zero, whose meaning rules.Settings states.
type params map[string]string

// null stands for a value that is not there.
const null = "null"

// maxItems bounds a list of settings.
const maxItems = 10_000

var (
	effects = map[string]rules.Effect{
		"": rules.Unsafe, "idempotent": rules.Safe, "deduplicated": rules.Keyed, "at_most_once": rules.Unsafe,
	}
	scopes = map[string]rules.Scope{
		"": rules.ScopeCell, "all": rules.ScopeAll, "zone": rules.ScopeZone, "cell": rules.ScopeCell,
	}
)

func (p params) settings() (*rules.Settings, error) {
	d := decoder{p: p}
	s := &rules.Settings{
		Seed:           uint64(d.integer("init_seed")),
		Gateways:       int(d.integer("replicas_of_me")),
		OverShareWorth: d.float("over_share_worth"),
		MaxAttempts:    int(d.integer("caps.max_attempts")),
		AskList:        p["discovery"] == "ask",
		AskWithin:      d.time("rules.ask_within_ns"),
		Park:           d.time("family_info.park_ns"),
		DrainGrace:     d.time("rules.stop_sending_within_ns"),
		ColdShare:      d.float("rules.start_capacity"),
		ColdTime:       d.time("rules.cold_ns"),
		TipMultiple:    d.float("rules.tip_multiple"),
		TipTime:        d.time("rules.fall_ns"),
		GoneIsAdvice:   d.boolean("rules.gone_is_advice"),
		BudgetSpan:     d.time("rules.ratio_span_ns"),
		BudgetFree:     d.float("rules.extra_free"),
		BudgetShare:    d.float("rules.budget_share"),
	}
	if d.boolean("caps.retry_after") {
		s.MaxRetryAfter = d.time("caps.max_retry_after_ns")
	}
	aims := d.times("family_info.message_aim_ns")
	for i := range d.count("classes") {
		at := "classes." + strconv.Itoa(i) + "."
		effect, ok := effects[p[at+"effect"]]
		if !ok {
			d.fail(at+"effect", "a known effect")
		}
		scope, ok := scopes[p[at+"group"]]
		if !ok {
			d.fail(at+"group", "a known group")
		}
		c := rules.Class{
			Name: p[at+"name"], Effect: effect, Scope: scope,
			Window: d.time(at + "window_ns"), Worth: d.float(at + "worth"),
			Aim: d.time(at + "slo_ns"), Deadline: d.time(at + "give_up_ns"),
		}
		if i < len(aims) {
			c.MessageAim = aims[i]
		}
		s.Classes = append(s.Classes, c)
	}
	quotas := d.floats("family_info.tenant_quota_connections")
	for i := range d.count("tenants") {
		at := "tenants." + strconv.Itoa(i) + "."
		t := rules.Tenant{Name: p[at+"name"]}
		if i < len(quotas) {
			t.QuotaConnections = quotas[i]
		}
		s.Tenants = append(s.Tenants, t)
	}
	return s, d.err
}

// decoder reads values and keeps the first error.
type decoder struct {
	p   params
	err error
}

func (d *decoder) fail(path, want string) {
	if d.err == nil {
		d.err = fmt.Errorf("%s: %q is not %s", path, d.p[path], want)
	}
}

func (d *decoder) float(path string) float64 {
	v := d.p[path]
	if v == "" || v == null {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || x != x || x < 0 || x > 1e18 {
		d.fail(path, "a number in range")
		return 0
	}
	return x
}

func (d *decoder) integer(path string) int64 {
	v := d.p[path]
	if v == "" || v == null {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		d.fail(path, "a whole number")
		return 0
	}
	return n
}

func (d *decoder) time(path string) time.Duration { return time.Duration(d.integer(path)) }

func (d *decoder) boolean(path string) bool {
	s := d.p[path]
	if s == "" || s == null {
		return false
	}
	v, ok := parseBool(s)
	if !ok {
		d.fail(path, "a bool")
	}
	return v
}

func (d *decoder) count(path string) int {
	n := d.integer(path + ".count")
	if n > maxItems {
		d.fail(path+".count", "a count in range")
		return 0
	}
	return int(n)
}

func (d *decoder) floats(path string) (list []float64) {
	if d.p[path] == "" {
		return nil
	}
	for _, v := range strings.Split(d.p[path], ",") {
		if v == null {
			list = append(list, 0)
			continue
		}
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || x != x || x < 0 || x > 1e18 {
			d.fail(path, "a list of numbers")
			return nil
		}
		list = append(list, x)
	}
	return list
}

func (d *decoder) times(path string) (list []time.Duration) {
	for _, x := range d.floats(path) {
		list = append(list, time.Duration(x))
	}
	return list
}
