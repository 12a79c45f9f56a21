// Package settings turns the platform's settings, given as path=value pairs, into balancer.Settings. The
// simulator's wire and the program's configuration use the same names and units, so both come through here.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

// Pairs are settings by path, such as classes.0.name. Absent ones give zero, whose meaning balancer.Settings
// states.
type Pairs map[string]string

// null stands for a value that is not there.
const null = "null"

// maxItems bounds a list of settings.
const maxItems = 10_000

var (
	effects = map[string]balancer.Idempotency{
		"": balancer.NonIdempotent, "idempotent": balancer.Idempotent, "deduplicated": balancer.WithIdempotencyKey, "at_most_once": balancer.NonIdempotent,
	}
	scopes = map[string]balancer.DedupScope{
		"": balancer.DedupScopeCell, "all": balancer.DedupScopeAll, "zone": balancer.DedupScopeZone, "cell": balancer.DedupScopeCell,
	}
)

// Balancer reads the settings that the rules are told.
func (p Pairs) Balancer() (*balancer.Settings, error) {
	d := decoder{p: p}
	if d.float("rules.start_capacity") > 1 { // of no use to the rules, but a contradiction
		d.fail("rules.start_capacity", "a share, between 0 and 1")
	}
	s := &balancer.Settings{
		Seed:                  uint64(d.integer("init_seed")),
		Gateways:              int(d.integer("replicas_of_me")),
		OverQuotaWeightFactor: d.float("over_share_worth"),
		MaxAttempts:           int(d.integer("caps.max_attempts")),
		FlowRetention:         d.time("family_info.park_ns"),
		DrainGrace:            d.time("rules.stop_sending_within_ns"),
		WarmupDuration:        d.time("rules.cold_ns"),
		ColdOverloadFactor:    d.float("rules.tip_multiple"),
		ColdOverloadDuration:  d.time("rules.fall_ns"),
		RemovalIsAdvisory:     d.boolean("rules.gone_is_advice"),
		RetryBudgetWindow:     d.time("rules.ratio_span_ns"),
		RetryBudgetMin:        d.float("rules.extra_free"),
		RetryBudgetRatio:      d.float("rules.budget_share"),
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
		c := balancer.Class{
			Name: p[at+"name"], Idempotency: effect, DedupScope: scope,
			DedupWindow: d.time(at + "window_ns"), PriorityWeight: d.float(at + "worth"),
			SetupLatencyObjective: d.time(at + "slo_ns"), Timeout: d.time(at + "give_up_ns"),
		}
		if i < len(aims) {
			c.MessageLatencyObjective = aims[i]
		}
		s.Classes = append(s.Classes, c)
	}
	quotas := d.floats("family_info.tenant_quota_connections")
	for i := range d.count("tenants") {
		at := "tenants." + strconv.Itoa(i) + "."
		t := balancer.Tenant{Name: p[at+"name"]}
		if i < len(quotas) {
			t.ConnectionQuota = quotas[i]
		}
		s.Tenants = append(s.Tenants, t)
	}
	return s, d.err
}

// ListRefresh reads the settings that the clock of the list goes by. Where nothing says who has the list, it is asked for: an
// address is given, so there is something to ask.
func (p Pairs) ListRefresh() (refresh.Settings, error) {
	d := decoder{p: p}
	s := refresh.Settings{
		Gateways: int(d.integer("replicas_of_me")), MaxPollInterval: d.time("rules.ask_within_ns"),
		DrainGrace: d.time("rules.stop_sending_within_ns"), Seed: uint64(d.integer("init_seed")),
	}
	switch p["discovery"] {
	case "push":
		s.LocalAgent = true
	case "", "ask", null:
	default:
		d.fail("discovery", "ask or push")
	}
	return s, d.err
}

// decoder reads values and keeps the first error.
type decoder struct {
	p   Pairs
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
	v, ok := ParseBool(s)
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

// ParseBool reads the platform's bool; ok is false for all else.
func ParseBool(s string) (v, ok bool) {
	switch s {
	case "1", "true":
		return true, true
	case "0", "false":
		return false, true
	}
	return false, false
}

// Gateway is what a real balancer itself goes by; the rules are not told of it.
type Gateway struct {
	ConnectTimeout            time.Duration // a connection to a server must stand within this; 0: no bound stated
	ConnectionsOutliveGateway bool          // connections outlive this balancer: their packets reach another one
	ReportsMessageDelay       bool          // the rules want word of slow messages
	ReportsConnectionLoad     bool          // and of the connections' loads
	CanPollLoad               bool          // servers may be asked for their load, and tell it
	MessageLatencyObjective   time.Duration // the shortest wanted message time; 0: none stated
	AnswerGrace               time.Duration // a final answer may come this long after the client's deadline
	MaxClassTimeout           time.Duration // the longest time that a class's clients wait
}

// Gateway reads the settings that a real balancer goes by.
func (p Pairs) Gateway() (Gateway, error) {
	d := decoder{p: p}
	n := Gateway{
		ConnectTimeout:        d.time("caps.connect_timeout_ns"),
		ReportsMessageDelay:   d.boolean("family_info.tells_delay"),
		ReportsConnectionLoad: d.boolean("family_info.tells_load"),
		AnswerGrace:           d.time("rules.grace_to_answer_ns"),
	}
	fields := strings.Split(p["reporting.fields"], ",")
	n.CanPollLoad = d.boolean("caps.probes") && (slices.Contains(fields, "x0") || slices.Contains(fields, "x1"))
	switch p["family_info.mode"] {
	case "pass":
		n.ConnectionsOutliveGateway = true
	case "", "proxy", null:
	default:
		d.fail("family_info.mode", "pass or proxy")
	}
	for _, aim := range d.times("family_info.message_aim_ns") {
		if aim > 0 && (n.MessageLatencyObjective == 0 || aim < n.MessageLatencyObjective) {
			n.MessageLatencyObjective = aim
		}
	}
	for i := range d.count("classes") {
		n.MaxClassTimeout = max(n.MaxClassTimeout, d.time("classes."+strconv.Itoa(i)+".give_up_ns"))
	}
	return n, d.err
}

// Flatten turns nested JSON settings into pairs: members are joined by dots, a list of plain values becomes
// one value with commas, and a list of objects its length under .count and its items under .0, .1 and on.
func Flatten(nested []byte) (Pairs, error) {
	dec := json.NewDecoder(bytes.NewReader(nested))
	dec.UseNumber() // whole numbers of nanoseconds keep every digit
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	if _, ok := v.(map[string]any); !ok {
		return nil, errors.New("not an object")
	}
	p := Pairs{}
	p.flatten("", v)
	return p, nil
}

func (p Pairs) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			if path != "" {
				name = path + "." + name
			}
			p.flatten(name, member)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, item := range v {
			switch item.(type) {
			case map[string]any, []any:
				p.flatten(path+"."+strconv.Itoa(i), item)
			default:
				plain = append(plain, text(item))
			}
		}
		p[path+".count"] = strconv.Itoa(len(v))
		p[path] = strings.Join(plain, ",")
	default:
		p[path] = text(v)
	}
}

func text(v any) string {
	if v == nil {
		return null
	}
	return fmt.Sprint(v)
}
