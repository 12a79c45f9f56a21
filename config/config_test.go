package config

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const good = `{"name":"n3","listen":"127.0.0.4:5000","discovery":"127.0.2.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1136},
 "known":{"version":41,"full":true,"servers":[{"id":"s-5be2a07c","addr":"127.1.0.18:5000","state":"in_service"}]},
 "settings":{"caps":{"max_attempts":5,"connect_timeout_ns":60000000,"probes":true,"retry_after":true,"max_retry_after_ns":2000000000},
  "classes":[{"name":"a","effect":"idempotent","group":"all","give_up_ns":4800000000,"slo_ns":800000000,"worth":1.0}],
  "discovery":"ask","family_info":{"mode":"pass","message_aim_ns":[60000000],"tells_load":true,"tells_delay":true,"park_ns":6449143000},
  "replicas_of_me":3,"reporting":{"fields":["concurrent","depth","x0"]},"rules":{"cold_ns":21000000000,"tip_multiple":4.0},"tenants":[]}}`

func none(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(good), none)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Balancer.Seed != 0x8c1f30d27a5be964 || c.Balancer.Gateways != 3 || c.Balancer.MaxAttempts != 5 ||
		c.ListRefresh.LocalAgent || c.Balancer.FlowRetention != 6449143*time.Microsecond || len(c.Balancer.Classes) != 1 ||
		c.Balancer.Classes[0].MessageLatencyObjective != 60*time.Millisecond || c.Balancer.MaxRetryAfter != 2*time.Second {
		t.Errorf("rules read as %+v", c.Balancer)
	}
	if n := c.Gateway; !n.ConnectionsOutliveGateway || !n.CanPollLoad || !n.ReportsConnectionLoad || !n.ReportsMessageDelay || n.ConnectTimeout != 60*time.Millisecond ||
		n.MessageLatencyObjective != 60*time.Millisecond || n.MaxClassTimeout != 4800*time.Millisecond {
		t.Errorf("node read as %+v", n)
	}
	if c.CachedList.Version != 41 || c.Limits.MaxConnections() != 544 {
		t.Errorf("read as %+v", c)
	}
	// The platform ends the program 3.7 s after SIGTERM or later. Connections that end here are moved by then;
	// those that pass through must not end before.
	if c.DrainTimeout < 10*time.Second {
		t.Errorf("where packets pass a stop takes %v", c.DrainTimeout)
	}
	c, err = Parse([]byte(strings.Replace(good, `"pass"`, `"proxy"`, 1)), none)
	if err != nil || c.DrainTimeout != 3500*time.Millisecond {
		t.Errorf("%v: where connections end here a stop takes %v", err, c.DrainTimeout)
	}
}

func TestEnvironmentGoesOverTheFile(t *testing.T) {
	env := map[string]string{EnvName: "n9", EnvListen: "127.0.0.9:1", EnvDiscovery: "127.0.0.9:2"}
	c, err := Parse([]byte(good), func(k string) string { return env[k] })
	if err != nil || c.Name != "n9" || c.Listen != "127.0.0.9:1" || c.Discovery != "127.0.2.1:8500" {
		t.Errorf("%v: %+v", err, c) // discovery is the file's, which can be replaced
	}
	if c, err = Parse(nil, func(k string) string { return env[k] }); err != nil || c.Limits.Sockets != DefaultSockets ||
		c.Discovery != "127.0.0.9:2" || c.Admin != "" || c.InheritedSocket != 0 || c.StateDir != "" {
		t.Errorf("without a file: %v: %+v", err, c)
	}
	env[EnvAdmin], env[EnvInheritedSocket], env[EnvTempDir] = "127.0.0.9:3", "3", "/tmp/x"
	c, err = Parse([]byte(strings.Replace(good, `"seed"`, `"admin_addr":"127.0.0.4:1","seed"`, 1)), func(k string) string { return env[k] })
	if err != nil || c.Admin != "127.0.0.9:3" || c.InheritedSocket != 3 || c.StateDir != "/tmp/x/milletvane-n9-127_0_0_9_1" {
		t.Errorf("%v: %+v", err, c)
	}
	for _, fd := range []string{"x", "2", "-1", "3 "} {
		env[EnvInheritedSocket] = fd
		if _, err := Parse([]byte(good), func(k string) string { return env[k] }); err == nil || !strings.Contains(err.Error(), EnvInheritedSocket) {
			t.Errorf("descriptor %q: %v", fd, err)
		}
	}
}

// Whoever mistypes a value reads which one it was.
func TestFaultsNameTheirKey(t *testing.T) {
	for _, f := range []struct{ old, new, key string }{
		{`"127.0.0.4:5000"`, `"nowhere"`, "listen"},
		{`"127.0.0.4:5000"`, `""`, "listen"},
		{`"127.0.2.1:8500"`, `"127.0.2.1:99999"`, "discovery"},
		{`"sockets":1136`, `"sockets":3`, "limits.sockets"},
		{`"sockets":1136`, `"sockets":"many"`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"seed"`, `"admin_addr":"nowhere","seed"`, "admin_addr"},
		{`"limits":{"cores":1.0,"memory_mb":192,"sockets":1136}`, `"admin_addr":"127.0.0.4:1","limits":{"sockets":80}`, "limits.sockets"},
		{`"id":"s-5be2a07c"`, `"id":""`, "known"},
		{`"idempotent"`, `"perhaps"`, "settings.classes.0.effect"},
		{`"mode":"pass"`, `"mode":"both"`, "settings.family_info.mode"},
		{`"max_attempts":5`, `"max_attempts":"x"`, "settings.caps.max_attempts"},
		{`"connect_timeout_ns":60000000`, `"connect_timeout_ns":-6`, "settings.caps.connect_timeout_ns"},
		{`"settings":{`, `"settings":[],"x":{`, "settings"},
		{`{"name"`, `{name`, EnvFile},
	} {
		text := strings.Replace(good, f.old, f.new, 1)
		if _, err := Parse([]byte(text), none); err == nil || !strings.Contains(err.Error(), f.key) {
			t.Errorf("%s for %s: %v, want the key %s", f.new, f.old, err, f.key)
		}
	}
}

func TestFixedChangesAreNamed(t *testing.T) {
	parse := func(text string) *Config {
		c, err := Parse([]byte(text), none)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	old := parse(good)
	moved := strings.NewReplacer("127.0.2.1:8500", "127.0.2.9:1", "8c1f", "9c1f", `"version":41`, `"version":42`).Replace(good)
	if keys := old.ChangesNeedingRestart(parse(moved)); len(keys) > 0 {
		t.Errorf("a new discovery, seed and list change %q", keys)
	}
	other := strings.NewReplacer(`"n3"`, `"n4"`, ".4:5000", ".4:5001", "1136", "1137", `"max_attempts":5`, `"max_attempts":4`)
	if keys := old.ChangesNeedingRestart(parse(other.Replace(good))); !slices.Equal(keys, []string{"name", "listen", "limits", "settings"}) {
		t.Errorf("named %q", keys)
	}
}

// A gateway that is given an address asks there, unless the settings say otherwise.
func TestDiscoveryIsAskedWhereNothingElseIsSaid(t *testing.T) {
	for text, want := range map[string]bool{
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`:                                 true,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{}}`:                   true,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"ask"}}`:  true,
		`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"push"}}`: false,
	} {
		if c, err := Parse([]byte(text), none); err != nil || c.ListRefresh.LocalAgent == want {
			t.Errorf("%s: %v, pushed %v", text, err, c.ListRefresh.LocalAgent)
		}
	}
}
