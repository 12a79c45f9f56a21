package operator

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"
)

// appendSettings prints all fields of the settings from an operator file.
func appendSettings(b *bytes.Buffer, s *Settings) {
	fmt.Fprintf(b, "parts: nats %t, placement %t, plan %t, cluster %t\n",
		s.NATS != nil, s.Placement != nil, s.Plan != nil, s.Cluster != nil)
	appendNATS(b, s.NATS)
	appendPlacement(b, s.Placement)
	if p := s.Plan; p != nil {
		fmt.Fprintf(b, "plan file=%q zone=%q read=%t\n", p.File, p.Zone, p.Plan != nil)
	}
	appendCluster(b, s.Cluster)
}

func appendNATS(b *bytes.Buffer, n *NATS) {
	if n == nil {
		return
	}
	fmt.Fprintf(b,
		"nats listen=%q node_port=%d cluster=%t max_payload=%d control_line=%d max_subscriptions=%d max_requests=%d"+
			" max_pending=%d\n",
		n.Listen, n.NodePort, n.NodesForward, n.MaxPayload, n.ControlLine, n.MaxSubscriptions, n.MaxRequests, n.MaxPending)
	fmt.Fprintf(b, "nats ping_every=%s ping_clients=%s move_within=%s flush_within=%s max_shared=%d\n",
		n.PingInterval, n.ClientPingInterval, n.MigrationTimeout, n.FlushTimeout, n.MaxSharedConns)
	fmt.Fprintf(b, "session class=%q key=%s/%d group=%s/%d wait=%s\n", n.Session.Class, n.Session.Key.Kind,
		n.Session.Key.Token,
		n.Session.Group.Kind, n.Session.Group.Token, n.Session.Timeout)
	for _, r := range n.Requests {
		fmt.Fprintf(b, "request subject=%q class=%q deadline=%s key=%s/%d line=%d\n",
			r.Subject, r.Class, r.Timeout, r.Key.Kind, r.Key.Token, r.Line)
	}
}

func appendPlacement(b *bytes.Buffer, p *Placement) {
	if p == nil {
		return
	}
	for _, kind := range slices.Sorted(maps.Keys(p.Capacity)) {
		fmt.Fprintf(b, "capacity %q %d\n", kind, p.Capacity[kind])
	}
	for _, d := range p.Demands {
		fmt.Fprintf(b, "demand %q %q %d\n", d.Zone, d.Class, d.Load)
	}
	for _, c := range p.Crossings {
		fmt.Fprintf(b, "crossing %q %q %d\n", c.From, c.To, c.Cost)
	}
	fmt.Fprintf(b, "crossing-default %d\n", p.DefaultCost)
	for _, batch := range p.Batches {
		fmt.Fprintf(b, "batch %q %d\n", batch.Model, batch.Size)
	}
	for _, g := range p.GoalOrder {
		fmt.Fprintf(b, "goal %s\n", string(g))
	}
	for _, c := range p.Constraints {
		fmt.Fprintf(b, "constraint %q line=%d kind=%d class=%q classes=%q zones=%q count=%d least=%d part=%d/%d",
			c.Name, c.Line, int(c.Kind), c.Class, c.Classes, c.Zones, c.Count, c.Least, c.Part.Num, c.Part.Den)
		fmt.Fprintf(b, " model=%q with=%q\n", c.Model, c.With)
	}
}

func appendCluster(b *bytes.Buffer, c *Cluster) {
	if c == nil {
		return
	}
	fmt.Fprintf(b, "cluster listen=%q key_file=%q key=%q dir=%q wait=%s tiers=%q floor=%g\n",
		c.Listen, c.KeyFile, c.Key, c.Dir, c.PeerTimeout, c.Tiers, c.MinAdmittedRatio)
	for _, name := range slices.Sorted(maps.Keys(c.Members)) {
		fmt.Fprintf(b, "member %q %q\n", name, c.Members[name])
	}
	priorities, count := c.Priorities()
	fmt.Fprintf(b, "ranks %d\n", count)
	for _, class := range slices.Sorted(maps.Keys(priorities)) {
		fmt.Fprintf(b, "rank %q %d\n", class, priorities[class])
	}
}

// appendResult prints the result of Parse or Load: the settings, or the errors, one per line.
func appendResult(b *bytes.Buffer, s *Settings, err error) {
	if err != nil {
		fmt.Fprintf(b, "%v\n", err)
		return
	}
	appendSettings(b, s)
}

// The example files in deploy give the settings and errors in the golden files, with and without the platform's classes.
func TestExampleFilesMatchGolden(t *testing.T) {
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
			golden.Check(t, "deploy-"+name+".txt", b.Bytes())
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

const planSettingsForm = `(plan (file "plan.edn") (zone "bilbao"))
`

// applyTo replaces the first occurrence of the text in a form, which must contain it.
func (c change) applyTo(t *testing.T, form string) []byte {
	t.Helper()
	if !strings.Contains(form, c.from) {
		t.Fatalf("the form does not contain %q", c.from)
	}
	return []byte(strings.Replace(form, c.from, c.to, 1))
}

// Valid and invalid forms give the settings and error texts in the golden files.
func TestFormsMatchGolden(t *testing.T) {
	classes := []string{"sesion", "plan-diario", "serie-hecha"}
	for _, c := range []struct {
		name    string
		form    string
		classes []string
		changes []change
	}{
		{"nats", natsForm, classes, natsChanges},
		{"text", natsForm, classes, textChanges},
		{"placement", placementForm, nil, placementChanges},
		{"cluster", clusterForm, nil, clusterChanges},
		{"cluster with classes", clusterForm, []string{"informe-alta", "ajuste-plan"}, clusterWithClassesChanges},
		{"plan", planSettingsForm, nil, planChanges},
		{"all", natsForm + placementForm + clusterForm + planSettingsForm, nil, allChanges},
		{"empty", "; nothing\n", nil, emptyChanges},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b bytes.Buffer
			for _, change := range c.changes {
				fmt.Fprintf(&b, "== %.200q => %.200q\n", change.from, change.to)
				s, err := Parse("op.edn", change.applyTo(t, c.form), c.classes)
				appendResult(&b, s, err)
			}
			golden.Check(t, "forms-"+strings.ReplaceAll(c.name, " ", "-")+".txt", b.Bytes())
		})
	}
}

// A file that is larger than maxFileBytes is rejected.
func TestLargeFileIsRejected(t *testing.T) {
	const want = "op.edn:1: is over 67108864 bytes"
	if _, err := Parse("op.edn", make([]byte, 64<<20+1), nil); err == nil || err.Error() != want {
		t.Errorf("Parse: %v, want %s", err, want)
	}
}

// errors.As finds a FileError among the joined errors, with its file, line, key and problem in separate fields.
func TestFileErrorIsFoundAmongJoinedErrors(t *testing.T) {
	_, err := Parse("op.edn", change{"(cluster true)", "(cluster 1)"}.applyTo(t, natsForm), nil)
	var fileErr FileError
	if !errors.As(err, &fileErr) || fileErr.File != "op.edn" || fileErr.Line != 4 || fileErr.Key != "nats.cluster" ||
		fileErr.Problem != "1 is not true or false" {
		t.Errorf("errors.As on %v finds file %q, line %d, key %q, problem %q", err,
			fileErr.File, fileErr.Line, fileErr.Key, fileErr.Problem)
	}
}

// Load gives the settings and errors in the golden file for valid, invalid and missing key files and plan files.
func TestLoadedFilesMatchGolden(t *testing.T) {
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
		var result bytes.Buffer
		appendResult(&result, s, err)
		var keyErr *KeyError
		if errors.As(err, &keyErr) {
			fmt.Fprintf(&result, "failed: %s\ndo: %s\nagain: %t\n", keyErr.Problem(), keyErr.Remedy(), keyErr.Retryable())
		}
		if err == nil && s.Plan != nil {
			appendPlan(&result, s.Plan.Plan)
		}
		fmt.Fprintf(&b, "== %s\n%s", step, strings.ReplaceAll(result.String(), dir, "DIR"))
	}
	load("no operator file")
	write("op.edn", []byte(clusterForm))
	load("no key")
	for _, key := range []string{
		"", "short", strings.Repeat("k", 15), strings.Repeat("k", 17), strings.Repeat("k", 33),
		strings.Repeat("k", 16), " " + strings.Repeat("k", 24) + "\r\n", strings.Repeat("k", 32) + "\n",
	} {
		write("key", []byte(key))
		load(fmt.Sprintf("key %q", key))
	}
	write("op.edn", []byte(planSettingsForm))
	load("no plan")
	write("plan.edn", []byte("(format 1)"))
	load("a plan cut short")
	plan := fullPlan()
	delete(plan.Load, "") // Marshal writes a node without a name, and ParsePlan rejects it
	write("plan.edn", plan.Marshal())
	load("a plan")
	write("op.edn", change{`"plan.edn"`, `"` + filepath.Join(dir, "plan.edn") + `"`}.applyTo(t, planSettingsForm))
	load("a plan named from the root")
	write("op.edn", []byte(clusterForm+planSettingsForm))
	load("key and plan")
	golden.Check(t, "beside.txt", b.Bytes())
}
