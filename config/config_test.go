package config

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/settings"
)

const sampleJSON = `{"name":"n3","listen":"127.0.0.4:5000","discovery":"127.0.2.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1136},
 "known":{"version":41,"full":true,"servers":[{"id":"s-5be2a07c","addr":"127.1.0.18:5000","state":"in_service"}]},
 "settings":{"caps":{"max_attempts":5,"connect_timeout_ns":60000000,"probes":true,"retry_after":true,"max_retry_after_ns":2000000000},
  "classes":[{"name":"a","effect":"idempotent","group":"all","give_up_ns":4800000000,"slo_ns":800000000,"worth":1.0}],
  "discovery":"ask","family_info":{"mode":"pass","message_aim_ns":[60000000],"tells_load":true,"tells_delay":true,"park_ns":6449143000},
  "replicas_of_me":3,"reporting":{"fields":["concurrent","depth","x0"]},"rules":{"cold_ns":21000000000,"tip_multiple":4.0},"tenants":[]}}`

func emptyEnvironment(string) string { return "" }

// environment returns a lookup of variables in a map.
func environment(values map[string]string) func(string) string {
	return func(key string) string { return values[key] }
}

func mustParse(t *testing.T, text string, getenv func(string) string) *Config {
	t.Helper()
	c, err := Parse([]byte(text), getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParse(t *testing.T) {
	const seed = 0x8c1f30d27a5be964
	want := &Config{
		Name: "n3", ListenAddr: "127.0.0.4:5000", DiscoveryAddr: "127.0.2.1:8500",
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1136},
		CachedList: &discovery.EndpointList{Version: 41, Complete: true, Endpoints: []discovery.Endpoint{
			{ID: "s-5be2a07c", Addr: "127.1.0.18:5000", State: "in_service"},
		}},
		Balancer: balancer.Settings{
			Seed: seed, Gateways: 3, MaxAttempts: 5, FlowRetention: 6449143 * time.Microsecond, WarmupDuration: 21 * time.Second,
			ColdOverloadFactor: 4, MaxRetryAfter: 2 * time.Second, CanPollLoad: true,
			Classes: []balancer.Class{{
				Name: "a", Idempotency: balancer.Idempotent, DedupScope: balancer.DedupScopeAll, PriorityWeight: 1,
				SetupLatencyObjective: 800 * time.Millisecond, Timeout: 4800 * time.Millisecond,
				MessageLatencyObjective: 60 * time.Millisecond,
			}},
		},
		ListRefresh: refresh.Settings{Gateways: 3, Seed: seed},
		Gateway: settings.Gateway{
			ConnectTimeout: 60 * time.Millisecond, ConnectionsOutliveGateway: true, ReportsMessageDelay: true,
			ReportsConnectionLoad: true, CanPollLoad: true, MessageLatencyObjective: 60 * time.Millisecond,
			MaxClassTimeout: 4800 * time.Millisecond,
		},
		AnswerTimeout: 3300 * time.Millisecond,
		DrainTimeout:  15 * time.Second,
	}
	got := mustParse(t, sampleJSON, emptyEnvironment)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
	if got.Limits.MaxConnections() != 544 {
		t.Errorf("MaxConnections() = %d, want 544", got.Limits.MaxConnections())
	}
}

// The platform kills the program 3.7 s after SIGTERM at the earliest. Connections that end at the gateway have to be migrated
// by then. Connections that pass through it survive only if the gateway doesn't end before it is killed.
func TestDrainTimeout(t *testing.T) {
	if c := mustParse(t, sampleJSON, emptyEnvironment); c.DrainTimeout < 10*time.Second {
		t.Errorf("drain timeout in mode pass = %v, want 10s or more", c.DrainTimeout)
	}
	c := mustParse(t, strings.Replace(sampleJSON, `"pass"`, `"proxy"`, 1), emptyEnvironment)
	if c.DrainTimeout != 3500*time.Millisecond {
		t.Errorf("drain timeout in mode proxy = %v, want 3.5s", c.DrainTimeout)
	}
}

func TestEnvironmentTakesPrecedence(t *testing.T) {
	env := map[string]string{EnvName: "n9", EnvListen: "127.0.0.9:1", EnvDiscovery: "127.0.0.9:2"}

	c := mustParse(t, sampleJSON, environment(env))
	if c.Name != "n9" || c.ListenAddr != "127.0.0.9:1" || c.DiscoveryAddr != "127.0.2.1:8500" {
		t.Errorf("with a file: %+v", c) // the discovery address comes from the file, which a reload reads again
	}
	c = mustParse(t, "", environment(env))
	if c.Limits.Sockets != DefaultSockets || c.DiscoveryAddr != "127.0.0.9:2" || c.AdminAddr != "" || c.InheritedSocket != 0 ||
		c.StateDir != "" {
		t.Errorf("without a file: %+v", c)
	}
	env[EnvAdmin], env[EnvInheritedSocket], env[EnvTempDir] = "127.0.0.9:3", "3", "/tmp/x"
	c = mustParse(t, strings.Replace(sampleJSON, `"seed"`, `"admin_addr":"127.0.0.4:1","seed"`, 1), environment(env))
	if c.AdminAddr != "127.0.0.9:3" || c.InheritedSocket != 3 || c.StateDir != "/tmp/x/milletvane-n9-127_0_0_9_1" {
		t.Errorf("with all variables: %+v", c)
	}
}

func TestInheritedSocketMustBeADescriptor(t *testing.T) {
	for _, fd := range []string{"x", "2", "-1", "3 "} {
		t.Run(fd, func(t *testing.T) {
			_, err := Parse([]byte(sampleJSON), environment(map[string]string{EnvInheritedSocket: fd}))
			if err == nil || !strings.Contains(err.Error(), EnvInheritedSocket) {
				t.Errorf("Parse: %v, want an error that names %s", err, EnvInheritedSocket)
			}
		})
	}
}

// The error for a faulty value names its key.
func TestErrorsNameTheirKey(t *testing.T) {
	const limits = `"limits":{"cores":1.0,"memory_mb":192,"sockets":1136}`
	for _, c := range []struct{ from, to, key string }{
		{`"127.0.0.4:5000"`, `"nowhere"`, "listen"},
		{`"127.0.0.4:5000"`, `""`, "listen"},
		{`"127.0.2.1:8500"`, `"127.0.2.1:99999"`, "discovery"},
		{`"sockets":1136`, `"sockets":3`, "limits.sockets"},
		{`"sockets":1136`, `"sockets":"many"`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"seed"`, `"admin_addr":"nowhere","seed"`, "admin_addr"},
		{limits, `"admin_addr":"127.0.0.4:1","limits":{"sockets":80}`, "limits.sockets"},
		{`"id":"s-5be2a07c"`, `"id":""`, "known"},
		{`"idempotent"`, `"perhaps"`, "settings.classes.0.effect"},
		{`"mode":"pass"`, `"mode":"both"`, "settings.family_info.mode"},
		{`"max_attempts":5`, `"max_attempts":"x"`, "settings.caps.max_attempts"},
		{`"connect_timeout_ns":60000000`, `"connect_timeout_ns":-6`, "settings.caps.connect_timeout_ns"},
		{`"settings":{`, `"settings":[],"x":{`, "settings"},
		{`{"name"`, `{name`, EnvFile},
	} {
		t.Run(c.to, func(t *testing.T) {
			_, err := Parse([]byte(replaceOnce(t, sampleJSON, c.from, c.to)), emptyEnvironment)
			if err == nil || !strings.Contains(err.Error(), c.key) {
				t.Errorf("Parse: %v, want an error that names the key %s", err, c.key)
			}
		})
	}
}

func TestChangesNeedingRestart(t *testing.T) {
	old := mustParse(t, sampleJSON, emptyEnvironment)
	reloadable := strings.NewReplacer("127.0.2.1:8500", "127.0.2.9:1", "8c1f", "9c1f", `"version":41`, `"version":42`)
	if keys := old.ChangesNeedingRestart(mustParse(t, reloadable.Replace(sampleJSON), emptyEnvironment)); len(keys) > 0 {
		t.Errorf("a new discovery address, seed and endpoint list need a restart for %q, want no key", keys)
	}
	restartOnly := strings.NewReplacer(`"n3"`, `"n4"`, ".4:5000", ".4:5001", "1136", "1137", `"max_attempts":5`,
		`"max_attempts":4`)
	keys := old.ChangesNeedingRestart(mustParse(t, restartOnly.Replace(sampleJSON), emptyEnvironment))
	if diff := cmp.Diff([]string{"name", "listen", "limits", "settings"}, keys); diff != "" {
		t.Errorf("keys that need a restart (-want +got):\n%s", diff)
	}
}

// A gateway polls its discovery address, unless the settings say that a local agent pushes the list.
func TestDiscoveryIsPolledByDefault(t *testing.T) {
	for text, wantAgent := range map[string]bool{
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`:                                 false,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{}}`:                   false,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"ask"}}`:  false,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"push"}}`: true,
	} {
		t.Run(text, func(t *testing.T) {
			if c := mustParse(t, text, emptyEnvironment); c.ListRefresh.LocalAgent != wantAgent {
				t.Errorf("LocalAgent = %t, want %t", c.ListRefresh.LocalAgent, wantAgent)
			}
		})
	}
}
