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

// appendConfig prints all fields of a configuration.
func appendConfig(b *bytes.Buffer, c *Config) {
	fmt.Fprintf(b, "name=%q listen=%q discovery=%q admin=%q passed=%d state=%q\n", c.Name, c.ListenAddr, c.DiscoveryAddr,
		c.AdminAddr, c.InheritedSocket, c.StateDir)
	limits := c.Limits
	fmt.Fprintf(b, "limits cores=%g memory_mb=%d sockets=%d admin=%d clients=%d idle=%d connections=%d\n",
		limits.Cores, limits.MemoryMB, limits.Sockets, limits.AdminSockets, limits.ClientSockets(),
		limits.MaxIdleClients(), limits.MaxConnections())
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
	balancer := c.Balancer
	fmt.Fprintf(b, "seed=%016x gateways=%d over_share_worth=%g max_attempts=%d park=%s drain_grace=%s\n",
		balancer.Seed, balancer.Gateways, balancer.OverQuotaWeightFactor, balancer.MaxAttempts,
		balancer.FlowRetention, balancer.DrainGrace)
	fmt.Fprintf(b, "cold=%s tip_multiple=%g tip=%s gone_is_advice=%t max_retry_after=%s reports=%t\n",
		balancer.WarmupDuration, balancer.ColdOverloadFactor, balancer.ColdOverloadDuration, balancer.RemovalIsAdvisory,
		balancer.MaxRetryAfter, balancer.CanPollLoad)
	fmt.Fprintf(b, "budget span=%s free=%g share=%g\n",
		balancer.RetryBudgetWindow, balancer.RetryBudgetMin, balancer.RetryBudgetRatio)
	for _, class := range balancer.Classes {
		fmt.Fprintf(b, "class %q effect=%d scope=%d window=%s worth=%g aim=%s deadline=%s message_aim=%s\n",
			class.Name, int(class.Idempotency), int(class.DedupScope), class.DedupWindow, class.PriorityWeight,
			class.SetupLatencyObjective, class.Timeout, class.MessageLatencyObjective)
	}
	for _, tenant := range balancer.Tenants {
		fmt.Fprintf(b, "tenant %q quota=%g\n", tenant.Name, tenant.ConnectionQuota)
	}
	fmt.Fprintf(b, "list pushed=%t gateways=%d ask_within=%s drain_grace=%s seed=%016x\n",
		c.ListRefresh.LocalAgent, c.ListRefresh.Gateways, c.ListRefresh.MaxPollInterval, c.ListRefresh.DrainGrace,
		c.ListRefresh.Seed)
	gateway := c.Gateway
	fmt.Fprintf(b,
		"node connect_timeout=%s pass=%t tells_delay=%t tells_load=%t probes=%t message_aim=%s answer_slack=%s longest_wait=%s\n",
		gateway.ConnectTimeout, gateway.ConnectionsOutliveGateway, gateway.ReportsMessageDelay, gateway.ReportsConnectionLoad,
		gateway.CanPollLoad, gateway.MessageLatencyObjective, gateway.AnswerGrace, gateway.MaxClassTimeout)
}

// appendResult prints the result of Parse or Load: the configuration, or the error.
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

// replaceOnce replaces the first occurrence of from in text, which must contain it.
func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	if !strings.Contains(text, from) {
		t.Fatalf("the text does not contain %q", from)
	}
	return strings.Replace(text, from, to, 1)
}

// Parsed files have the values that the golden file states: with all keys given, with defaults, and with values at their bounds.
func TestParsedFilesMatchGolden(t *testing.T) {
	var b bytes.Buffer
	for _, c := range validReplacements {
		fmt.Fprintf(&b, "== %s => %s\n", c.from, c.to)
		got, err := Parse([]byte(replaceOnce(t, fullJSON(t), c.from, c.to)), emptyEnvironment)
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
		got, err := Parse([]byte(text), emptyEnvironment)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		appendConfig(&b, got)
	}
	golden.Check(t, "read.txt", b.Bytes())
}

// The error text of each kind of fault is the one in the golden file.
func TestErrorTextsMatchGolden(t *testing.T) {
	var b bytes.Buffer
	for _, c := range faultyReplacements {
		fmt.Fprintf(&b, "== %s => %s\n", c.from, c.to)
		got, err := Parse([]byte(replaceOnce(t, fullJSON(t), c.from, c.to)), emptyEnvironment)
		if err == nil {
			t.Errorf("Parse with %s: got no error, want one", c.to)
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
		got, err := Parse([]byte(text), emptyEnvironment)
		if err == nil {
			t.Errorf("Parse(%s): got no error, want one", text)
		}
		appendResult(&b, got, err)
	}
	golden.Check(t, "faults.txt", b.Bytes())
}

// The environment variables keep their names, and the golden file states for each whether it or the file takes precedence.
func TestEnvironmentMatchesGolden(t *testing.T) {
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
		var result bytes.Buffer
		appendResult(&result, got, err)
		b.WriteString(strings.ReplaceAll(result.String(), path, "FILE"))
	}
	golden.Check(t, "environment.txt", b.Bytes())
}
