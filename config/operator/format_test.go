package operator

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/placement"
)

var update = flag.Bool("update", false, "write the expected files in testdata anew")

// checkGolden compares an output with its file in testdata.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
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

// appendSettings prints what an operator file holds, field by field.
func appendSettings(b *bytes.Buffer, s *Settings) {
	fmt.Fprintf(b, "parts: nats %t, placement %t, plan %t, cluster %t\n", s.NATS != nil, s.Placement != nil, s.Plan != nil, s.Cluster != nil)
	if n := s.NATS; n != nil {
		fmt.Fprintf(b, "nats listen=%q node_port=%d cluster=%t max_payload=%d control_line=%d max_subscriptions=%d max_requests=%d max_pending=%d\n",
			n.Listen, n.NodePort, n.Cluster, n.MaxPayload, n.ControlLine, n.MaxSubscriptions, n.MaxRequests, n.MaxPending)
		fmt.Fprintf(b, "nats ping_every=%s ping_clients=%s move_within=%s flush_within=%s max_shared=%d\n",
			n.PingInterval, n.ClientPingInterval, n.MigrationTimeout, n.FlushTimeout, n.MaxShared)
		fmt.Fprintf(b, "session class=%q key=%s/%d group=%s/%d wait=%s\n", n.Session.Class, n.Session.Key.Kind, n.Session.Key.Token,
			n.Session.Group.Kind, n.Session.Group.Token, n.Session.Timeout)
		for _, r := range n.Requests {
			fmt.Fprintf(b, "request subject=%q class=%q deadline=%s key=%s/%d line=%d\n", r.Subject, r.Class, r.Timeout, r.Key.Kind, r.Key.Token, r.Line)
		}
	}
	if p := s.Placement; p != nil {
		kinds := []string{}
		for kind := range p.Capacity {
			kinds = append(kinds, kind)
		}
		slices.Sort(kinds)
		for _, kind := range kinds {
			fmt.Fprintf(b, "capacity %q %d\n", kind, p.Capacity[kind])
		}
		for _, d := range p.Demands {
			fmt.Fprintf(b, "demand %q %q %d\n", d.Zone, d.Class, d.Load)
		}
		for _, c := range p.Crossings {
			fmt.Fprintf(b, "crossing %q %q %d\n", c.From, c.To, c.Cost)
		}
		fmt.Fprintf(b, "crossing-default %d\n", p.DefaultCost)
		for _, x := range p.Batches {
			fmt.Fprintf(b, "batch %q %d\n", x.Model, x.Size)
		}
		for _, g := range p.Order {
			fmt.Fprintf(b, "goal %s\n", string(g))
		}
		for _, c := range p.Constraints {
			fmt.Fprintf(b, "constraint %q line=%d kind=%d class=%q classes=%q zones=%q count=%d least=%d part=%d/%d model=%q with=%q\n",
				c.Name, c.Line, int(c.Kind), c.Class, c.Classes, c.Zones, c.Count, c.Least, c.Part.Num, c.Part.Den, c.Model, c.With)
		}
	}
	if p := s.Plan; p != nil {
		fmt.Fprintf(b, "plan file=%q zone=%q read=%t\n", p.File, p.Zone, p.Plan != nil)
	}
	if c := s.Cluster; c != nil {
		fmt.Fprintf(b, "cluster listen=%q key_file=%q key=%q dir=%q wait=%s tiers=%q floor=%g\n",
			c.Listen, c.KeyFile, c.Key, c.Dir, c.PeerTimeout, c.Tiers, c.MinAdmittedRatio)
		names := []string{}
		for name := range c.Members {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(b, "member %q %q\n", name, c.Members[name])
		}
		ranks, count := c.Priorities()
		classes := []string{}
		for class := range ranks {
			classes = append(classes, class)
		}
		slices.Sort(classes)
		fmt.Fprintf(b, "ranks %d\n", count)
		for _, class := range classes {
			fmt.Fprintf(b, "rank %q %d\n", class, ranks[class])
		}
	}
}

// appendPlan prints a plan file, field by field.
func appendPlan(b *bytes.Buffer, p *Plan) {
	loads := func(indent string, load map[string]int64) {
		ids := []string{}
		for id := range load {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			fmt.Fprintf(b, "%snode %q %d\n", indent, id, load[id])
		}
	}
	flows := func(indent string, list []placement.Flow) {
		for _, f := range list {
			fmt.Fprintf(b, "%sflow %q %q %q %d\n", indent, f.Class, f.From, f.To, f.Load)
		}
	}
	fmt.Fprintf(b, "version=%d list=%016x settings=%016x proven=%t\n", p.Version, p.ListHash, p.SettingsHash, p.Proven)
	fmt.Fprintf(b, "goals uncarried=%d crossings=%d fullest=%d/%d moves=%d\n", p.Goals.Uncarried, p.Goals.Crossings, p.Goals.Fullest.Num,
		p.Goals.Fullest.Den, p.Goals.Moves)
	loads("", p.Load)
	flows("", p.Flows)
	for _, c := range p.Contingencies {
		fmt.Fprintf(b, "contingency %q lost=%q short=%d\n", c.Name, c.Lost, c.Short)
		loads("  ", c.Load)
		flows("  ", c.Flows)
	}
}

// appendResult prints settings, or each line of what is wrong with them.
func appendResult(b *bytes.Buffer, s *Settings, err error) {
	if err != nil {
		fmt.Fprintf(b, "%v\n", err)
		return
	}
	appendSettings(b, s)
}

// The files in deploy read as they did, with and without the platform's classes.
func TestFormatOfDeployedFiles(t *testing.T) {
	for _, name := range []string{"nats", "placement", "cluster"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "deploy", name+".example.edn"))
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			for _, classes := range [][]string{nil, {"informe-alta", "plan-diario", "ajuste-plan"}, {"sesion"}} {
				fmt.Fprintf(&b, "== classes %q\n", classes)
				s, err := Parse(name+".edn", text, classes)
				appendResult(&b, s, err)
			}
			checkGolden(t, "deploy-"+name+".txt", b.Bytes())
		})
	}
}

const natsForm = `; plan nodes that speak NATS
(nats
  (listen "127.0.0.1:4222") ; for clients
  (cluster true)
  (session (class "sesion") (key user) (group name) (wait "1s"))
  (request (subject "plan.get.*") (class "plan-diario") (deadline "800ms") (key (token 2)))
  (request (subject "serie.>") (class "serie-hecha")))
`

const placementForm = `(placement
  (capacity "n" 15) (capacity "m" 0)
  (demand "z" "x" 4) (crossing "z" "y" 3) (crossing-default 2) (batch "n" 2)
  (goals moves fullest crossings uncarried)
  (constraint "a" (carry)) (constraint "b" (headroom 8 10)) (constraint "c" (keep "x"))
  (constraint "d" (spread "x" 2 5)) (constraint "e" (pair "n" "m")) (constraint "f" (together "x" "y"))
  (constraint "g" (carry "x")) (constraint "h" (share 1 3)) (constraint "i" (keep-out "x" "z" "y"))
  (constraint "j" (spread "x" 2)) (constraint "k" (connections "n" 5 7)) (constraint "l" (moves 9)))
`

const clusterForm = `(cluster
  (listen "10.0.0.4:7946") (member "n1" "10.0.0.5:7946") (member "n2" "[::1]:1")
  (key-file "key") (dir "/var/lib/x") (peers-within "3s") (floor-percent 5)
  (tier "informe-alta") (tier "ajuste-plan" "plan-diario"))
`

const planUseForm = `(plan (file "plan.edn") (zone "bilbao"))
`

// change is a form in which a text has been replaced by another.
type change struct{ from, to string }

func (c change) of(t *testing.T, form string) []byte {
	t.Helper()
	if !strings.Contains(form, c.from) {
		t.Fatalf("%q is no part of the form", c.from)
	}
	return []byte(strings.Replace(form, c.from, c.to, 1))
}

// Good and bad forms, with what is read or the faults, word by word.
func TestFormatOfForms(t *testing.T) {
	classes := []string{"sesion", "plan-diario", "serie-hecha"}
	for _, c := range []struct {
		name    string
		form    string
		classes []string
		changes []change
	}{
		{"nats", natsForm, classes, []change{
			{"; plan", "; plan"},
			{"(cluster true)", "(cluster false) (node-port 65535) (max-payload 67108864) (control-line 1048576) (max-subscriptions 1000000)" +
				" (max-requests 1000000) (max-pending 67108864) (ping-every \"1m\") (ping-clients \"1h\") (move-within \"1m\")" +
				" (flush-within \"1m\") (max-shared 10000)"},
			{"(cluster true)", "(cluster false) (node-port 1) (max-payload 1) (control-line 512) (max-subscriptions 1)" +
				" (max-requests 1) (max-pending 4096) (ping-every \"100ms\") (ping-clients \"50ms\") (move-within \"100ms\")" +
				" (flush-within \"10ms\") (max-shared 0)"},
			{"(cluster true)", "(node-port 0)\n(max-payload 0)\n(control-line 511)\n(max-subscriptions 0)\n(max-requests 0)\n(max-pending 4095)\n" +
				"(ping-every \"99ms\")\n(ping-clients \"49ms\")\n(move-within \"99ms\")\n(flush-within \"9ms\")\n(max-shared -1)"},
			{"(cluster true)", "(node-port 65536)\n(max-payload 67108865)\n(control-line 1048577)\n(max-subscriptions 1000001)\n(max-requests 1000001)\n" +
				"(max-pending 67108865)\n(ping-every \"61s\")\n(ping-clients \"61m\")\n(move-within \"61s\")\n(flush-within \"61s\")\n(max-shared 10001)"},
			{`(session (class "sesion") (key user) (group name) (wait "1s"))`, ``},
			{`(session (class "sesion") (key user) (group name) (wait "1s"))`, `(session)`},
			{`(class "sesion") (key user) (group name)`, `(key client) (group user)`},
			{`(class "sesion") (key user) (group name)`, `(key token) (group client)`},
			{`(key user)`, `(key (token 1))`}, {`(key user)`, `(key "user")`}, {`(wait "1s")`, `(wait "9ms")`}, {`(wait "1s")`, `(wait "61s")`},
			{`(class "sesion")`, `(class "nada")`}, {`(class "sesion")`, `(class 7)`}, {`(class "sesion")`, `(klass "sesion")`},
			{`(deadline "800ms")`, `(deadline "1ms")`}, {`(deadline "800ms")`, `(deadline "1h")`}, {`(deadline "800ms")`, `(deadline "999us")`},
			{`(deadline "800ms")`, `(deadline "61m")`}, {`(deadline "800ms")`, `(deadline 800)`}, {`(deadline "800ms")`, `(deadline)`},
			{`(key (token 2))`, `(key (token 0))`}, {`(key (token 2))`, `(key (token 63))`}, {`(key (token 2))`, `(key (token 64))`},
			{`(key (token 2))`, `(key (token -1))`}, {`(key (token 2))`, `(key (token 1 2))`}, {`(key (token 2))`, `(key (token x))`},
			{`(key (token 2))`, `(key session)`}, {`(key (token 2))`, `(key user)`}, {`(key (token 2))`, `(key name)`},
			{`(class "plan-diario")`, `(class "nada")`}, {`(subject "plan.get.*")`, ``}, {`(subject "plan.get.*")`, `(subject "serie.>")`},
			{`"127.0.0.1:4222"`, `"[::1]:4222"`}, {`"127.0.0.1:4222"`, `"here:4222"`}, {`"127.0.0.1:4222"`, `"127.0.0.1"`},
			{`"127.0.0.1:4222"`, `"127.0.0.1:65536"`}, {`"127.0.0.1:4222"`, `4222`}, {`(listen "127.0.0.1:4222")`, ``},
			{`(cluster true)`, `(cluster 1)`}, {`(cluster true)`, `(cluster "true")`}, {`(cluster true)`, `(cluster (true))`}, {`(cluster true)`, `(cluster)`},
			{`(cluster true)`, `(cluster true false)`}, {`(cluster true)`, `(cluster true) (cluster true)`}, {`(cluster true)`, `(clutter true)`},
			{`(cluster true)`, `cluster`}, {`(cluster true)`, `7`}, {`(cluster true)`, `"x"`}, {`(cluster true)`, `()`}, {`(cluster true)`, `((cluster) true)`},
			{`(cluster true)`, `("cluster" true)`}, {`(cluster true)`, `(max-payload 1.5)`}, {`(cluster true)`, `(max-payload 9223372036854775808)`},
			{`(nats`, `(gnats`}, {`(nats`, `(nats) (nats`}, {`(nats`, `nats (nats`}, {`; plan`, `(extra 1) ; plan`},
		}},
		{"text", natsForm, classes, []change{
			{`(cluster true)`, `(cluster true`}, {`(cluster true)`, `cluster true))`}, {`(cluster true)`, `[cluster true]`}, {`(cluster true)`, `{cluster true}`},
			{`(cluster true)`, `#{cluster}`}, {`(cluster true)`, `#inst "2026"`}, {`(cluster true)`, `(cluster \a)`}, {`(cluster true)`, `(cluster :true)`},
			{`(cluster true)`, `(cluster nil)`}, {`(cluster true)`, `(max-payload 10N)`}, {`(cluster true)`, `(max-payload 10M)`}, {`(cluster true)`, `(cluster ,, true ; so
			)`}, {`(cluster true)`, `#_(hidden 1) (cluster true)`}, {`(cluster true)`, "(cluster \xff)"}, {`"serie.>"`, `"serie.`}, {`"serie.>"`, `"a\tb\"c"`},
			{`(cluster true)`, `(max-payload ` + strings.Repeat("1", 65) + `)`}, {`(cluster true)`, strings.Repeat("(", 20) + strings.Repeat(")", 20)},
			{`(cluster true)`, strings.Repeat("(", 21) + strings.Repeat(")", 21)},
			{"; plan", "\r\n; plan"},
		}},
		{"placement", placementForm, nil, []change{
			{"(placement", "(placement"}, {`(goals moves fullest crossings uncarried)`, ``}, {`(crossing-default 2)`, ``},
			{`"n" 15`, `"n" -1`}, {`"n" 15`, `"n" 1000000000`}, {`"n" 15`, `"n" 1000000001`}, {`"n" 15`, `"n"`}, {`"n" 15`, `n 15`}, {`"n" 15`, `"" 15`},
			{`"n" 15`, `"m" 15`}, {`"n" 15`, `"n" 15 16`}, {`(capacity "n" 15)`, `(capacity)`}, {`"z" "x" 4`, `"z" "x" 4 5`}, {`"z" "x" 4`, `"z" "x"`},
			{`"z" "x" 4`, `"z" "x" 1000000001`}, {`"z" "y" 3`, `"z" "y" 1000000`}, {`"z" "y" 3`, `"z" "y" 1000001`}, {`"z" "y" 3`, `"z" 3`},
			{`(crossing-default 2)`, `(crossing-default 1000000)`}, {`(crossing-default 2)`, `(crossing-default 1000001)`}, {`(crossing-default 2)`, `(crossing-default -1)`},
			{`(batch "n" 2)`, `(batch "n" 0)`}, {`(batch "n" 2)`, `(batch "n" 20000)`}, {`(batch "n" 2)`, `(batch "n" 20001)`},
			{`(goals moves fullest crossings uncarried)`, `(goals fullest moves)`}, {`(goals moves fullest`, `(goals moves moves`}, {`(goals moves`, `(goals move`},
			{`(goals moves`, `(goals "moves"`}, {`(goals moves`, `(goals (moves)`},
			{`(carry)`, `(curry)`}, {`(carry)`, `carry`}, {`(carry)`, `()`}, {`(carry)`, `("carry")`}, {`(carry)`, `(carry "x" "y")`}, {`(carry)`, `(carry 7)`}, {`(constraint "a" (carry))`, `(constraint "a")`},
			{`(constraint "a" (carry))`, `(constraint (carry))`}, {`(constraint "a" (carry))`, `(constraint "a" (carry) 7)`}, {`(constraint "d"`, `(constraint "a"`},
			{`(headroom 8 10)`, `(headroom 8)`}, {`(headroom 8 10)`, `(headroom 11 10)`}, {`(headroom 8 10)`, `(headroom 0 0)`}, {`(headroom 8 10)`, `(headroom 1000000 1000000)`},
			{`(headroom 8 10)`, `(headroom 1000001 1000001)`}, {`(share 1 3)`, `(share 1 3 5)`}, {`(keep "x")`, `(keep "x" "z")`}, {`(keep "x")`, `(keep)`}, {`(keep "x")`, `(keep "x" 7)`},
			{`(spread "x" 2 5)`, `(spread 2)`}, {`(spread "x" 2 5)`, `(spread "x" 0)`}, {`(spread "x" 2 5)`, `(spread "x" 200 1000000000)`}, {`(spread "x" 2 5)`, `(spread "x" 201)`},
			{`(spread "x" 2 5)`, `(spread "x" 2 0)`}, {`(pair "n" "m")`, `(pair "n")`}, {`(together "x" "y")`, `(together)`}, {`(connections "n" 5 7)`, `(connections "n" 5)`},
			{`(connections "n" 5 7)`, `(connections "n" 0 0)`}, {`(connections "n" 5 7)`, `(connections "n" 1000000000 1000000)`}, {`(connections "n" 5 7)`, `(connections "n" 5 1000001)`},
			{`(moves 9)`, `(moves 2147483647)`}, {`(moves 9)`, `(moves 2147483648)`}, {`(moves 9)`, `(moves -1)`}, {`(batch`, `(patch`},
		}},
		{"cluster", clusterForm, nil, []change{
			{"(cluster", "(cluster"}, {`(peers-within "3s") (floor-percent 5)`, ``}, {`(tier "informe-alta") (tier "ajuste-plan" "plan-diario")`, ``},
			{`"10.0.0.4:7946"`, `"there"`}, {`"10.0.0.4:7946"`, `"10.0.0.4:0"`}, {`"10.0.0.4:7946"`, `"10.0.0.4:65535"`}, {`(listen "10.0.0.4:7946")`, ``},
			{`"10.0.0.5:7946"`, `"n1:7946"`}, {`"n1"`, `"n2"`}, {`"n1"`, `""`}, {`"n1"`, `n1`}, {`(member "n1" "10.0.0.5:7946")`, `(member "n1")`},
			{`(member "n1" "10.0.0.5:7946")`, `(member "n1" "10.0.0.5:7946" 3)`}, {`(member "n1" "10.0.0.5:7946") (member "n2" "[::1]:1")`, ``},
			{`(dir "/var/lib/x")`, ``}, {`(key-file "key")`, ``}, {`(key-file "key")`, `(key-file "")`}, {`(peers-within "3s")`, `(peers-within "100ms")`},
			{`(peers-within "3s")`, `(peers-within "99ms")`}, {`(peers-within "3s")`, `(peers-within "61s")`}, {`(peers-within "3s")`, `(peers-within "1m")`},
			{`(floor-percent 5)`, `(floor-percent 100)`}, {`(floor-percent 5)`, `(floor-percent 101)`}, {`(floor-percent 5)`, `(floor-percent -1)`},
			{`"plan-diario"`, `"informe-alta"`}, {`(tier "informe-alta")`, `(tier)`}, {`(tier "informe-alta")`, `(tier 7)`}, {`(dir`, `(gossip 3) (dir`},
		}},
		{"cluster with classes", clusterForm, []string{"informe-alta", "ajuste-plan"}, []change{
			{"(cluster", "(cluster"}, {`"plan-diario"`, ``},
		}},
		{"plan", planUseForm, nil, []change{
			{"(plan", "(plan"}, {`(zone "bilbao")`, ``}, {`(file "plan.edn")`, ``}, {`(file "plan.edn")`, `(file "")`}, {`(file "plan.edn")`, `(file 7)`},
			{`(zone "bilbao")`, `(zoned "bilbao")`}, {`(plan`, `(plan (file "a")`},
		}},
		{"all", natsForm + placementForm + clusterForm + planUseForm, nil, []change{{"; plan", "; plan"}, {"(nats", "(plan) (nats"}}},
		{"empty", "; nothing\n", nil, []change{{";", ";"}, {"; nothing\n", ""}, {"; nothing\n", ", ,\n"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b bytes.Buffer
			for _, change := range c.changes {
				fmt.Fprintf(&b, "== %.200q => %.200q\n", change.from, change.to)
				s, err := Parse("op.edn", change.of(t, c.form), c.classes)
				appendResult(&b, s, err)
			}
			checkGolden(t, "forms-"+strings.ReplaceAll(c.name, " ", "-")+".txt", b.Bytes())
		})
	}
}

// A file that is larger than may be is not read.
func TestFormatOfLargeFile(t *testing.T) {
	const want = "op.edn:1: is over 67108864 bytes"
	if _, err := Parse("op.edn", make([]byte, 64<<20+1), nil); err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

// Each fault can be found among those that are joined, with its file, line and key apart.
func TestFormatOfOneFault(t *testing.T) {
	_, err := Parse("op.edn", change{"(cluster true)", "(cluster 1)"}.of(t, natsForm), nil)
	var f FileError
	if !errors.As(err, &f) || f.File != "op.edn" || f.Line != 4 || f.Key != "nats.cluster" || f.Problem != "1 is not true or false" {
		t.Errorf("%v is found as file %q, line %d, key %q, text %q", err, f.File, f.Line, f.Key, f.Problem)
	}
}

// What is read beside the operator file: the members' key, and the plan.
func TestFormatOfFilesBeside(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, text []byte) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var b bytes.Buffer
	load := func(step string) {
		t.Helper()
		s, err := Load(filepath.Join(dir, "op.edn"), nil)
		var one bytes.Buffer
		appendResult(&one, s, err)
		var bad *KeyError
		if errors.As(err, &bad) {
			fmt.Fprintf(&one, "failed: %s\ndo: %s\nagain: %t\n", bad.Problem(), bad.Remedy(), bad.Retryable())
		}
		if err == nil && s.Plan != nil {
			appendPlan(&one, s.Plan.Plan)
		}
		fmt.Fprintf(&b, "== %s\n%s", step, strings.ReplaceAll(one.String(), dir, "DIR"))
	}
	load("no operator file")
	write("op.edn", []byte(clusterForm))
	load("no key")
	for _, key := range []string{"", "short", strings.Repeat("k", 15), strings.Repeat("k", 17), strings.Repeat("k", 33),
		strings.Repeat("k", 16), " " + strings.Repeat("k", 24) + "\r\n", strings.Repeat("k", 32) + "\n"} {
		write("key", []byte(key))
		load(fmt.Sprintf("key %q", key))
	}
	write("op.edn", []byte(planUseForm))
	load("no plan")
	write("plan.edn", []byte("(format 1)"))
	load("a plan cut short")
	plan := fullPlan()
	delete(plan.Load, "") // which is written, and not read
	write("plan.edn", plan.Marshal())
	load("a plan")
	write("op.edn", change{`"plan.edn"`, `"` + filepath.Join(dir, "plan.edn") + `"`}.of(t, planUseForm))
	load("a plan named from the root")
	write("op.edn", []byte(clusterForm+planUseForm))
	load("key and plan")
	checkGolden(t, "beside.txt", b.Bytes())
}

// fullPlan has a value of its own in every field.
func fullPlan() *Plan {
	return &Plan{
		Version: 3, ListHash: 0x1f2e3d4c5b6a7988, SettingsHash: 2, Proven: true,
		Goals: placement.Goals{Uncarried: 1, Crossings: 2, Fullest: placement.Ratio{Num: 3, Den: 4}, Moves: 5},
		Load:  map[string]int64{"a \"quoted\" \\ one": 1, "b": 2, "ümlaut\t<&>": 1000000000, "": 0},
		Flows: []placement.Flow{{Class: "x", From: "z", To: "y", Load: 3}, {Class: "w", From: "y", To: "z", Load: 4}},
		Contingencies: []PlanContingency{
			{Name: "node b", Lost: []string{"b"}, Short: 2, Load: map[string]int64{"c": 7, "b": 0},
				Flows: []placement.Flow{{Class: "x", From: "z", To: "z", Load: 1}}},
			{Name: "zone z", Lost: []string{"a", "b"}, Short: 3, Load: map[string]int64{}},
			{Name: "nothing", Load: map[string]int64{}},
		},
	}
}

// Plan files are written byte for byte as by earlier builds.
func TestFormatOfPlanWritten(t *testing.T) {
	for name, p := range map[string]*Plan{"plan-full.edn": fullPlan(), "plan-zero.edn": {}} {
		t.Run(name, func(t *testing.T) { checkGolden(t, name, p.Marshal()) })
	}
}

// Plan files of earlier builds are read field by field and written again as they were.
func TestFormatOfPlanReadAndWrittenAgain(t *testing.T) {
	for _, name := range []string{"plan-full", "plan-zero"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", name+".edn"))
			if err != nil {
				t.Fatal(err)
			}
			p, err := ParsePlan("p", text)
			if name == "plan-full" {
				// A node without a name is written, and not read.
				if err == nil || err.Error() != `p:6: node: "" is not a node, a string` {
					t.Fatalf("a node without a name: %v", err)
				}
				text = sealed(strings.Replace(body(string(text)), "(node \"\" 0)\n", "", 1))
				p, err = ParsePlan("p", text)
			}
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			appendPlan(&b, p)
			checkGolden(t, name+".fields", b.Bytes())
			if again := p.Marshal(); !bytes.Equal(again, text) {
				t.Errorf("written again:\n%s\nwant:\n%s", again, text)
			}
		})
	}
}

// body is the text of a plan file without its checksum.
func body(text string) string { return text[:strings.LastIndex(text, "(sum ")] }

// sealed adds the checksum to a text, as the format states it.
func sealed(body string) []byte {
	return fmt.Appendf([]byte(body), "(sum \"%016x\")\n", xxhash.Sum64String(body))
}

// Good and bad plan files, each with a checksum that fits unless it says otherwise.
func TestFormatOfPlanForms(t *testing.T) {
	full, err := os.ReadFile(filepath.Join("testdata", "plan-full.edn"))
	if err != nil {
		t.Fatal(err)
	}
	base := strings.Replace(body(string(full)), "(node \"\" 0)\n", "", 1)
	var b bytes.Buffer
	check := func(name string, text []byte) {
		t.Helper()
		fmt.Fprintf(&b, "== %s\n", name)
		p, err := ParsePlan("p", text)
		if err != nil {
			var f FileError
			fmt.Fprintf(&b, "%v\nis a fault of the file: %t\n", err, errors.As(err, &f))
			return
		}
		appendPlan(&b, p)
	}
	for _, c := range []change{
		{"(version 3)", "(version 3)"}, {"(version 3)", "(version 0)"}, {"(version 3)", "(version 9007199254740992)"}, {"(version 3)", "(version 9007199254740993)"},
		{"(version 3)", "(version -1)"}, {"(version 3)", "(version)"}, {"(version 3)", "(version 3 4)"}, {"(version 3)", ""}, {"(version 3)", "(version 3) (version 4)"},
		{"(version 3)", "(versions 3)"}, {"(version 3)", "version"}, {"(format 1)", "(format 0)"}, {"(format 1)", "(format 2)"}, {"(format 1)", "(format \"1\")"},
		{"(format 1)", "(format 1 2)"}, {"(format 1)", "(version 1)"}, {"; Worked", "(a) ; Worked"},
		{`(list "1f2e3d4c5b6a7988")`, ``}, {`(list "1f2e3d4c5b6a7988")`, `(list "xyz")`}, {`(list "1f2e3d4c5b6a7988")`, `(list 7)`}, {`(list "1f2e3d4c5b6a7988")`, `(lists "1")`},
		{`(made-for`, `(maid-for`}, {"(goals", "(goal"}, {"(uncarried 1)", "(uncarried -1)"}, {"(uncarried 1)", "(uncarried 4611686018427387904)"},
		{"(uncarried 1)", "(uncarried 4611686018427387905)"}, {"(fullest 3 4)", "(fullest 3)"}, {"(fullest 3 4)", "(fullest 3 4 5)"}, {"(moves 5)", "(moves x)"},
		{"(proven true)", "(proven false)"}, {"(proven true)", "(proven 1)"}, {"(proven true)", "(proven true) (later 1)"},
		{`(node "b" 2)`, `(node "b" -2)`}, {`(node "b" 2)`, `(node "b" 1000000001)`}, {`(node "b" 2)`, `(node b 2)`}, {`(node "b" 2)`, `(node "b" 2) (node "b" 3)`},
		{`(flow "x" "z" "y" 3)`, `(flow "x" "z" 3)`}, {`(flow "x" "z" "y" 3)`, `(flow "x" "z" "y" 1000000001)`}, {`(flow "x" "z" "y" 3)`, `(flow)`},
		{`(contingency "node b"`, `(contingency`}, {`(contingency "node b"`, `(contingency 7`}, {`(lost "b")`, ``}, {`(lost "b")`, `(lost)`}, {`(lost "b")`, `(lost 7)`},
		{`(short 2)`, ``}, {`(short 2)`, `(short -2)`}, {`(short 2)`, `(short 2) (later 3)`}, {`(node "c" 7)`, `(node "c")`}, {`(flow "x" "z" "z" 1)`, `(flow "x" "z" "z")`},
	} {
		check(fmt.Sprintf("%q => %q", c.from, c.to), sealed(string(c.of(t, base))))
	}
	check("no checksum", []byte(base))
	check("checksum of another text", []byte(strings.Replace(string(sealed(base)), "(version 3)", "(version 4)", 1)))
	check("checksum that is no string", []byte(base+"(sum 7)\n"))
	check("checksum of two values", []byte(base+"(sum \"7\" \"8\")\n"))
	check("more after the checksum", append(sealed(base), []byte("(version 4)\n")...))
	check("cut in a list", []byte(base[:len(base)-3]))
	check("format alone", sealed("(format 1)\n"))
	check("empty", nil)
	checkGolden(t, "plan-forms.txt", b.Bytes())
}
