package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"
)

// appendAll prints all fields of the balancer's, the list refresh's and the gateway's settings, or the errors.
func appendAll(b *bytes.Buffer, p Pairs) {
	if balancer, err := p.Balancer(); err != nil {
		fmt.Fprintf(b, "rules: %v\n", err)
	} else {
		fmt.Fprintf(b, "rules seed=%d gateways=%d over_share_worth=%g max_attempts=%d park=%s drain_grace=%s\n",
			balancer.Seed, balancer.Gateways, balancer.OverQuotaWeightFactor, balancer.MaxAttempts,
			balancer.FlowRetention, balancer.DrainGrace)
		fmt.Fprintf(b,
			"rules cold=%s tip_multiple=%g tip=%s gone_is_advice=%t max_retry_after=%s reports=%t span=%s free=%g share=%g\n",
			balancer.WarmupDuration, balancer.ColdOverloadFactor, balancer.ColdOverloadDuration, balancer.RemovalIsAdvisory,
			balancer.MaxRetryAfter, balancer.CanPollLoad, balancer.RetryBudgetWindow, balancer.RetryBudgetMin, balancer.RetryBudgetRatio)
		for _, class := range balancer.Classes {
			fmt.Fprintf(b, "class %q effect=%d scope=%d window=%s worth=%g aim=%s deadline=%s message_aim=%s\n",
				class.Name, int(class.Idempotency), int(class.DedupScope), class.DedupWindow, class.PriorityWeight,
				class.SetupLatencyObjective, class.Timeout, class.MessageLatencyObjective)
		}
		for _, tenant := range balancer.Tenants {
			fmt.Fprintf(b, "tenant %q quota=%g\n", tenant.Name, tenant.ConnectionQuota)
		}
	}
	if list, err := p.ListRefresh(); err != nil {
		fmt.Fprintf(b, "list: %v\n", err)
	} else {
		fmt.Fprintf(b, "list pushed=%t gateways=%d ask_within=%s drain_grace=%s seed=%d\n", list.LocalAgent, list.Gateways,
			list.MaxPollInterval, list.DrainGrace, list.Seed)
	}
	if gateway, err := p.Gateway(); err != nil {
		fmt.Fprintf(b, "node: %v\n", err)
	} else {
		fmt.Fprintf(b,
			"node connect_timeout=%s pass=%t tells_delay=%t tells_load=%t probes=%t message_aim=%s answer_slack=%s longest_wait=%s\n",
			gateway.ConnectTimeout, gateway.ConnectionsOutliveGateway, gateway.ReportsMessageDelay, gateway.ReportsConnectionLoad,
			gateway.CanPollLoad, gateway.MessageLatencyObjective, gateway.AnswerGrace, gateway.MaxClassTimeout)
	}
}

// fullPairs returns a value for every path that is read, most of them distinct.
func fullPairs() Pairs {
	return Pairs{
		"init_seed": "77", "replicas_of_me": "3", "over_share_worth": "0.5", "discovery": "push",
		"caps.max_attempts": "5", "caps.connect_timeout_ns": "60000000", "caps.probes": "true", "caps.retry_after": "1",
		"caps.max_retry_after_ns": "2000000000",
		"family_info.park_ns":     "6449143000", "family_info.message_aim_ns": "60000000,null,40000000",
		"family_info.tenant_quota_connections": "12.5,3", "family_info.mode": "pass", "family_info.tells_delay": "true",
		"family_info.tells_load":       "1",
		"rules.stop_sending_within_ns": "250000000", "rules.cold_ns": "21000000000", "rules.tip_multiple": "4.5",
		"rules.fall_ns":        "900000000",
		"rules.gone_is_advice": "true", "rules.ratio_span_ns": "10000000000", "rules.extra_free": "2.5",
		"rules.budget_share":   "0.2",
		"rules.start_capacity": "0.16", "rules.ask_within_ns": "5000000000", "rules.grace_to_answer_ns": "100000000",
		"reporting.fields": "concurrent,depth,x0",
		"classes.count":    "4", "classes.0.name": "a", "classes.0.effect": "idempotent", "classes.0.group": "all",
		"classes.0.window_ns": "7000000", "classes.0.worth": "1.5", "classes.0.slo_ns": "800000000",
		"classes.0.give_up_ns": "4800000000",
		"classes.1.name":       "b", "classes.1.effect": "deduplicated", "classes.1.group": "zone",
		"classes.1.give_up_ns": "4900000000",
		"classes.2.name":       "c", "classes.2.effect": "at_most_once", "classes.2.group": "cell",
		"tenants.count": "3", "tenants.0.name": "t1", "tenants.1.name": "t2", "tenants.2.name": "t3",
	}
}

// Each path with valid and invalid values gives the settings or the error text in the golden file: with an empty value, null,
// values at the bounds, and values of another type.
func TestValuesMatchGolden(t *testing.T) {
	var b bytes.Buffer
	b.WriteString("== none\n")
	appendAll(&b, Pairs{})
	b.WriteString("== full\n")
	var full bytes.Buffer
	appendAll(&full, fullPairs())
	b.Write(full.Bytes())
	fullLines := strings.Split(strings.TrimSpace(full.String()), "\n") // not printed again for each value
	paths := []string{}
	for path := range fullPairs() {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		for _, value := range []string{
			"", "null", "0", "1", "false", "-1", "1.5", "1e3", "1000000000000000001", "2e18", "9223372036854775808", "NaN", "Inf",
			"x", "true", "true ", "yes", "1,2", "1,x", "1,null", ",", "10001",
		} {
			p := fullPairs()
			p[path] = value
			var result bytes.Buffer
			appendAll(&result, p)
			lines := strings.Split(strings.TrimSpace(result.String()), "\n")
			fmt.Fprintf(&b, "== %s=%s: %d lines\n", path, value, len(lines))
			for _, line := range lines {
				if !slices.Contains(fullLines, line) {
					fmt.Fprintf(&b, "%s\n", line)
				}
			}
		}
	}
	golden.Check(t, "values.txt", b.Bytes())
}

// Flatten gives the pairs or the error text in the golden file.
func TestFlattenMatchesGolden(t *testing.T) {
	var b bytes.Buffer
	for _, text := range []string{
		`{}`, `{"a":1,"b":{"c":"x","d":{"e":true}},"f":null}`, `{"n":9223372036854775807,"x":1.50,"y":1e3,"z":-0,"s":"1"}`,
		`{"list":[1,"a",null,false,1.0],"empty":[],"objects":[{"a":1},{"b":[2,3]},{}]}`, `{"mixed":[1,{"a":2},[3,4],"x"]}`,
		`{"":1,"a.b":2}`, `{"a":{"":1}}`, `{"nested":[[[1]],[]]}`, `{"a":"comma,in","b":"ünïcode\u2028\n"}`,
		`{"a":1} {"b":2}`, `{"a":1}x`,
		``, `[]`, `7`, `"x"`, `null`, `{"a":`, `{"a":01}`, `{a:1}`,
	} {
		fmt.Fprintf(&b, "== %s\n", text)
		p, err := Flatten([]byte(text))
		if err != nil {
			fmt.Fprintf(&b, "%v\n", err)
			continue
		}
		paths := []string{}
		for path := range p {
			paths = append(paths, path)
		}
		slices.Sort(paths)
		for _, path := range paths {
			fmt.Fprintf(&b, "%q=%q\n", path, p[path])
		}
	}
	golden.Check(t, "flatten.txt", b.Bytes())
}

func TestParseBool(t *testing.T) {
	for _, c := range []struct {
		text        string
		want, valid bool
	}{
		{"1", true, true},
		{"true", true, true},
		{"0", false, true},
		{"false", false, true},
		{"", false, false},
		{"True", false, false},
		{"yes", false, false},
		{"2", false, false},
		{"null", false, false},
		{" 1", false, false},
	} {
		if v, ok := ParseBool(c.text); v != c.want || ok != c.valid {
			t.Errorf("ParseBool(%q) = %t, %t, want %t, %t", c.text, v, ok, c.want, c.valid)
		}
	}
}
