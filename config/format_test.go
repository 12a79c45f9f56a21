package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"
)

// appendConfig prints a configuration field by field.
func appendConfig(b *bytes.Buffer, c *Config) {
	fmt.Fprintf(b, "name=%q listen=%q discovery=%q admin=%q passed=%d state=%q\n", c.Name, c.Listen, c.Discovery, c.Admin,
		c.InheritedSocket, c.StateDir)
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
			k.Name, int(k.Idempotency), int(k.DedupScope), k.DedupWindow, k.PriorityWeight, k.SetupLatencyObjective, k.Timeout,
			k.MessageLatencyObjective)
	}
	for _, t := range r.Tenants {
		fmt.Fprintf(b, "tenant %q quota=%g\n", t.Name, t.ConnectionQuota)
	}
	fmt.Fprintf(b, "list pushed=%t gateways=%d ask_within=%s drain_grace=%s seed=%016x\n",
		c.ListRefresh.LocalAgent, c.ListRefresh.Gateways, c.ListRefresh.MaxPollInterval, c.ListRefresh.DrainGrace,
		c.ListRefresh.Seed)
	n := c.Gateway
	fmt.Fprintf(b,
		"node connect_timeout=%s pass=%t tells_delay=%t tells_load=%t probes=%t message_aim=%s answer_slack=%s longest_wait=%s\n",
		n.ConnectTimeout, n.ConnectionsOutliveGateway, n.ReportsMessageDelay, n.ReportsConnectionLoad, n.CanPollLoad,
		n.MessageLatencyObjective, n.AnswerGrace, n.MaxClassTimeout)
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
	for _, c := range validReplacements {
		fmt.Fprintf(&b, "== %s => %s\n", c.from, c.to)
		got, err := Parse([]byte(change(t, fullJSON(t), c.from, c.to)), noEnvironment)
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
		got, err := Parse([]byte(text), noEnvironment)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		appendConfig(&b, got)
	}
	golden.Check(t, "read.txt", b.Bytes())
}

// Each fault's message, word by word.
func TestFormatOfFaults(t *testing.T) {
	var b bytes.Buffer
	for _, c := range faultyReplacements {
		fmt.Fprintf(&b, "== %s => %s\n", c.from, c.to)
		got, err := Parse([]byte(change(t, fullJSON(t), c.from, c.to)), noEnvironment)
		if err == nil {
			t.Errorf("%s: no fault", c.to)
		}
		appendResult(&b, got, err)
	}
	for _, text := range []string{
		``, `{}`, `{"listen":"127.0.0.1:1"}`, `{"discovery":"127.0.0.1:2"}`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"} x`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"`,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":63}}`,
	} {
		fmt.Fprintf(&b, "== %s\n", text)
		got, err := Parse([]byte(text), noEnvironment)
		if err == nil {
			t.Errorf("%s: no fault", text)
		}
		appendResult(&b, got, err)
	}
	golden.Check(t, "faults.txt", b.Bytes())
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
		{
			"PROXY_CONFIG=FILE", "PROXY_NAME=n9", "PROXY_LISTEN=127.0.0.9:1", "PROXY_DISCOVERY=127.0.0.9:2",
			"PROXY_ADMIN_ADDR=127.0.0.9:3",
			"PROXY_PASSED_SOCKET=3", "TMPDIR=/tmp/x",
		},
		{"PROXY_CONFIG=FILE.absent"},
		append(base, "TMPDIR=/tmp/x", "PROXY_NAME=a/b.ü-"+strings.Repeat("x", 80)),
		append(base, "PROXY_PASSED_SOCKET=65535"), append(base, "PROXY_PASSED_SOCKET=65536"),
		append(base, "PROXY_PASSED_SOCKET=2"),
		append(base, "PROXY_PASSED_SOCKET=x"), append(base, "PROXY_PASSED_SOCKET=3 "),
		append(base, "PROXY_ADMIN_ADDR=nowhere"),
		{"PROXY_LISTEN=127.0.0.9:1"},
		{"PROXY_LISTEN=127.0.0.9", "PROXY_DISCOVERY=127.0.0.9:2"},
		{},
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
	golden.Check(t, "environment.txt", b.Bytes())
}
