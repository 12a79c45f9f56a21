package config

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the expected files in testdata anew")

// checkGolden compares an output with its file in testdata.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

// appendConfig prints a configuration field by field.
func appendConfig(b *bytes.Buffer, c *Config) {
	fmt.Fprintf(b, "name=%q listen=%q discovery=%q admin=%q passed=%d state=%q\n", c.Name, c.Listen, c.Discovery, c.Admin, c.InheritedSocket, c.StateDir)
	l := c.Limits
	fmt.Fprintf(b, "limits cores=%g memory_mb=%d sockets=%d admin=%d clients=%d idle=%d connections=%d\n",
		l.Cores, l.MemoryMB, l.Sockets, l.AdminSockets, l.ClientSockets(), l.MaxIdleClients(), l.MaxConnections())
	fmt.Fprintf(b, "answer_by=%s drain=%s\n", c.AnswerTimeout, c.DrainTimeout)
	if c.CachedList == nil {
		fmt.Fprintf(b, "known: none\n")
	} else {
		fmt.Fprintf(b, "known version=%d full=%t\n", c.CachedList.Version, c.CachedList.Complete)
		for _, s := range c.CachedList.Endpoints {
			fmt.Fprintf(b, "server id=%q addr=%q zone=%q kind=%q cell=%d state=%q weight=%g started_ms=%d\n",
				s.ID, s.Addr, s.Zone, s.Kind, s.Cell, s.State, s.Weight, s.StartedMS)
		}
	}
	r := c.Balancer
	fmt.Fprintf(b, "seed=%016x gateways=%d over_share_worth=%g max_attempts=%d park=%s drain_grace=%s\n",
		r.Seed, r.Gateways, r.OverQuotaWeightFactor, r.MaxAttempts, r.FlowRetention, r.DrainGrace)
	fmt.Fprintf(b, "cold=%s tip_multiple=%g tip=%s gone_is_advice=%t max_retry_after=%s reports=%t\n",
		r.WarmupDuration, r.ColdOverloadFactor, r.ColdOverloadDuration, r.RemovalIsAdvisory, r.MaxRetryAfter, r.CanPollLoad)
	fmt.Fprintf(b, "budget span=%s free=%g share=%g\n", r.RetryBudgetWindow, r.RetryBudgetMin, r.RetryBudgetRatio)
	for _, k := range r.Classes {
		fmt.Fprintf(b, "class %q effect=%d scope=%d window=%s worth=%g aim=%s deadline=%s message_aim=%s\n",
			k.Name, int(k.Idempotency), int(k.DedupScope), k.DedupWindow, k.PriorityWeight, k.SetupLatencyObjective, k.Timeout, k.MessageLatencyObjective)
	}
	for _, t := range r.Tenants {
		fmt.Fprintf(b, "tenant %q quota=%g\n", t.Name, t.ConnectionQuota)
	}
	fmt.Fprintf(b, "list pushed=%t gateways=%d ask_within=%s drain_grace=%s seed=%016x\n",
		c.ListRefresh.LocalAgent, c.ListRefresh.Gateways, c.ListRefresh.MaxPollInterval, c.ListRefresh.DrainGrace, c.ListRefresh.Seed)
	n := c.Gateway
	fmt.Fprintf(b, "node connect_timeout=%s pass=%t tells_delay=%t tells_load=%t probes=%t message_aim=%s answer_slack=%s longest_wait=%s\n",
		n.ConnectTimeout, n.ConnectionsOutliveGateway, n.ReportsMessageDelay, n.ReportsConnectionLoad, n.CanPollLoad, n.MessageLatencyObjective, n.AnswerGrace, n.MaxClassTimeout)
}

func appendResult(b *bytes.Buffer, c *Config, err error) {
	if err != nil {
		fmt.Fprintf(b, "%v\n", err)
		return
	}
	appendConfig(b, c)
}

func fullJSON(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// change replaces a text that must be part of a form.
func change(t *testing.T, form, from, to string) string {
	t.Helper()
	if !strings.Contains(form, from) {
		t.Fatalf("%q is no part of the form", from)
	}
	return strings.Replace(form, from, to, 1)
}

// Files as the platform writes them are read field by field: all keys given, defaults, and values at their bounds.
func TestFormatRead(t *testing.T) {
	var b bytes.Buffer
	for _, c := range []struct{ from, to string }{
		{`"name"`, `"name"`},
		{`"pass"`, `"proxy"`}, {`"pass"`, `null`}, {`"mode":"pass"`, `"modes":"pass"`}, {`"push"`, `"ask"`}, {`"push"`, `null`},
		{`"admin_addr":"127.0.0.4:1",`, ``}, {`"name":"n3",`, ``}, {`"name":"n3"`, `"NAME":"n3"`}, {`"name"`, `"later":{"a":[1]},"name"`},
		{`"limits":{"cores":1.5,"memory_mb":64,"sockets":1136},`, ``}, {`"cores":1.5,`, ``}, {`"memory_mb":64`, `"memory_mb":16`},
		{`"sockets":1136`, `"sockets":84`}, {`"sockets":1136`, `"sockets":null`}, {`"seed":"8c1f30d27a5be964",`, ``}, {`"seed":"8c1f30d27a5be964"`, `"seed":"F"`},
		{`"give_up_ns":4800000000`, `"give_up_ns":2500000000`}, {`"give_up_ns":4800000000`, `"give_up_ns":3000000001`}, {`"probes":true`, `"probes":false`},
		{`"probes":true`, `"probes":"1"`}, {`["concurrent","depth","x0"]`, `["concurrent","x1"]`}, {`["concurrent","depth","x0"]`, `["concurrent"]`},
		{`"retry_after":true`, `"retry_after":false`}, {`[60000000,null,40000000]`, `[]`}, {`[60000000,null,40000000]`, `50000000`},
		{`[60000000,null,40000000]`, `[null,0,7.9,1]`}, {`"tenant_quota_connections":[12.5,3]`, `"tenant_quota_connections":[1]`}, {`"caps":{`, `"cap":{`},
	} {
		fmt.Fprintf(&b, "== %s => %s\n", c.from, c.to)
		got, err := Parse([]byte(change(t, fullJSON(t), c.from, c.to)), none)
		if err != nil {
			t.Errorf("%s: %v", c.to, err)
			continue
		}
		appendConfig(&b, got)
	}
	for _, text := range []string{
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`,
		`{"listen":":0","discovery":"host:65535","known":null,"settings":null,"limits":null,"seed":""}`,
		`{"listen":"[::1]:1","discovery":"127.0.0.1:2","settings":{},"known":{}}`,
	} {
		fmt.Fprintf(&b, "== %s\n", text)
		got, err := Parse([]byte(text), none)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		appendConfig(&b, got)
	}
	checkGolden(t, "read.txt", b.Bytes())
}

// Each fault's message, word by word.
func TestFormatOfFaults(t *testing.T) {
	var b bytes.Buffer
	for _, c := range []struct{ from, to string }{
		{`"127.0.0.4:5000"`, `"nowhere"`}, {`"127.0.0.4:5000"`, `""`}, {`"127.0.0.4:5000"`, `"127.0.0.4:65536"`}, {`"127.0.0.4:5000"`, `"127.0.0.4:x"`},
		{`"127.0.0.4:5000"`, `5000`}, {`"127.0.2.1:8500"`, `""`}, {`"127.0.2.1:8500"`, `"127.0.2.1"`}, {`"127.0.0.4:1"`, `"nowhere"`},
		{`"sockets":1136`, `"sockets":83`}, {`"sockets":1136`, `"sockets":"many"`}, {`"sockets":1136`, `"sockets":1.5`}, {`"sockets":1136`, `"sockets":-1`},
		{`"memory_mb":64`, `"memory_mb":15`}, {`"memory_mb":64`, `"memory_mb":true`}, {`"cores":1.5`, `"cores":0`}, {`"cores":1.5`, `"cores":-1`},
		{`"cores":1.5`, `"cores":"1"`}, {`8c1f30d27a5be964`, `xyz`}, {`8c1f30d27a5be964`, `10000000000000000`}, {`8c1f30d27a5be964`, `-1`},
		{`"id":"s-5be2a07c"`, `"id":""`}, {`"id":"s-6"`, `"id":""`},
		{`"idempotent"`, `"perhaps"`}, {`"group":"all"`, `"group":"none"`}, {`"slo_ns":800000000`, `"slo_ns":-1`}, {`"slo_ns":800000000`, `"slo_ns":0.5`},
		{`"worth":1.5`, `"worth":"x"`}, {`"give_up_ns":4800000000`, `"give_up_ns":9223372036854775808`}, {`"window_ns":7000000`, `"window_ns":[1,2]`},
		{`"mode":"pass"`, `"mode":"both"`}, {`"discovery":"push"`, `"discovery":"gossip"`}, {`"max_attempts":5`, `"max_attempts":"x"`},
		{`"connect_timeout_ns":60000000`, `"connect_timeout_ns":-6`}, {`"probes":true`, `"probes":2`}, {`"retry_after":true`, `"retry_after":"yes"`},
		{`"max_retry_after_ns":2000000000`, `"max_retry_after_ns":2.5`}, {`[60000000,null,40000000]`, `[60000000,"x"]`}, {`[60000000,null,40000000]`, `[-1]`},
		{`[60000000,null,40000000]`, `[1e19]`}, {`"tells_load":true`, `"tells_load":"on"`}, {`"tells_delay":true`, `"tells_delay":"off"`},
		{`"park_ns":6449143000`, `"park_ns":"long"`}, {`"replicas_of_me":3`, `"replicas_of_me":-3`}, {`"cold_ns":21000000000`, `"cold_ns":"x"`},
		{`"tip_multiple":4.5`, `"tip_multiple":-4`}, {`"fall_ns":900000000`, `"fall_ns":"x"`}, {`"start_capacity":0.16`, `"start_capacity":1.5`},
		{`"gone_is_advice":true`, `"gone_is_advice":7`}, {`"ratio_span_ns":10000000000`, `"ratio_span_ns":"x"`}, {`"extra_free":2.5`, `"extra_free":1e19`},
		{`"budget_share":0.2`, `"budget_share":"NaN"`}, {`"stop_sending_within_ns":250000000`, `"stop_sending_within_ns":"x"`},
		{`"ask_within_ns":5000000000`, `"ask_within_ns":"x"`}, {`"grace_to_answer_ns":100000000`, `"grace_to_answer_ns":"x"`},
		{`"over_share_worth":0.5`, `"over_share_worth":"x"`}, {`[12.5,3]`, `[12.5,"x"]`},
		{`"settings":{`, `"settings":[],"x":{`}, {`"settings":{`, `"settings":7,"x":{`},
		{`{"name"`, `{name`}, {`"name":"n3",`, `"name":3,`},
	} {
		fmt.Fprintf(&b, "== %s => %s\n", c.from, c.to)
		got, err := Parse([]byte(change(t, fullJSON(t), c.from, c.to)), none)
		if err == nil {
			t.Errorf("%s: no fault", c.to)
		}
		appendResult(&b, got, err)
	}
	for _, text := range []string{``, `{}`, `{"listen":"127.0.0.1:1"}`, `{"discovery":"127.0.0.1:2"}`, `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"} x`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"`, `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":63}}`} {
		fmt.Fprintf(&b, "== %s\n", text)
		got, err := Parse([]byte(text), none)
		if err == nil {
			t.Errorf("%s: no fault", text)
		}
		appendResult(&b, got, err)
	}
	checkGolden(t, "faults.txt", b.Bytes())
}

// The environment's keys by name, and which value goes over which.
func TestFormatOfEnvironment(t *testing.T) {
	var b bytes.Buffer
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(fullJSON(t)), 0o600); err != nil {
		t.Fatal(err)
	}
	base := []string{"PROXY_LISTEN=127.0.0.9:1", "PROXY_DISCOVERY=127.0.0.9:2"}
	for _, env := range [][]string{
		base,
		{"PROXY_CONFIG=FILE"},
		{"PROXY_CONFIG=FILE", "PROXY_NAME=n9", "PROXY_LISTEN=127.0.0.9:1", "PROXY_DISCOVERY=127.0.0.9:2", "PROXY_ADMIN_ADDR=127.0.0.9:3",
			"PROXY_PASSED_SOCKET=3", "TMPDIR=/tmp/x"},
		{"PROXY_CONFIG=FILE.absent"},
		append(base, "TMPDIR=/tmp/x", "PROXY_NAME=a/b.ü-"+strings.Repeat("x", 80)),
		append(base, "PROXY_PASSED_SOCKET=65535"), append(base, "PROXY_PASSED_SOCKET=65536"), append(base, "PROXY_PASSED_SOCKET=2"),
		append(base, "PROXY_PASSED_SOCKET=x"), append(base, "PROXY_PASSED_SOCKET=3 "),
		append(base, "PROXY_ADMIN_ADDR=nowhere"), {"PROXY_LISTEN=127.0.0.9:1"}, {"PROXY_LISTEN=127.0.0.9", "PROXY_DISCOVERY=127.0.0.9:2"}, {},
	} {
		fmt.Fprintf(&b, "== %s\n", strings.Join(env, " "))
		values := map[string]string{}
		for _, pair := range env {
			key, value, _ := strings.Cut(pair, "=")
			values[key] = strings.Replace(value, "FILE", path, 1)
		}
		got, err := Load(func(key string) string { return values[key] })
		var one bytes.Buffer
		appendResult(&one, got, err)
		b.WriteString(strings.ReplaceAll(one.String(), path, "FILE"))
	}
	checkGolden(t, "environment.txt", b.Bytes())
}
