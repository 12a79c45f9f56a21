package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	imagepng "image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/placement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run executes a command line, without the program's name, and returns its exit code and output.
func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), append([]string{programName}, args...), &o, &e)
	return code, o.String(), e.String()
}

// smallDrain holds the arguments for a run of nats-drain with a small load.
var smallDrain = []string{"nats-drain", "--json", "--sessions", "20", "--requests", "2000", "--messages", "100", "--span", "4s"}

// When nodes drain, crash and hang under load, each request is answered once, and no message is lost except those of the
// failed nodes.
func TestNATSDrainAccountsForAll(t *testing.T) {
	t.Parallel()
	code, out, errs := run(append(smallDrain, "--seed", "5")...)
	var r drainResult
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatalf("%v: %s%s", err, out, errs)
	}
	if code != 0 || r.Asked != 2020 || r.Once != r.Asked || r.Sent != 2000 || r.faults() != nil {
		t.Errorf("got exit code %d and result %+v, want 0, 2020 requests answered once and 2000 messages: %s%s", code, r, out, errs)
	}
}

// The checks of nats-drain detect each planted fault. Without this test, TestNATSDrainAccountsForAll could pass although the
// checks detect nothing.
func TestNATSDrainDetectsPlantedFaults(t *testing.T) {
	fields := map[string]string{
		"double": "messages_doubled", "lose": "messages_lost_other",
		"late": "sends_late", "overlap": "attempts_overlapping",
	}
	for fault, want := range fields {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			code, out, errs := run(append(smallDrain, "--seed", "6", "--plant", fault)...)
			if code != 1 || !strings.Contains(errs, want) {
				t.Errorf("got exit code %d, want 1 and an error about %s: %s%s", code, want, out, errs)
			}
		})
	}
}

// The demo completes without a disconnected session while a node drains.
func TestDemo(t *testing.T) {
	t.Parallel()
	code, out, errs := run("demo", "--span", "3s", "--sessions", "10")
	if code != 0 || !strings.Contains(out, "10 sessions, 0 cut off") {
		t.Errorf("got exit code %d, want 0 and 10 sessions of which none was cut off: %s%s", code, out, errs)
	}
}

// Gateways follow a plan while a gateway restarts and a zone is lost. The deviation limit is 0.12, because the distribution of
// so few connections is uneven. The keys of the connections are the same in each run.
func TestPlanRun(t *testing.T) {
	t.Parallel()
	code, out, errs := run("plan-run", "--json", "--each", "8", "--most-off", "0.12")
	var r planResult
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatalf("%v: %s%s", err, out, errs)
	}
	if code != 0 || r.GatewaysRestarted != 1 || 2*r.CrossingCostWith > r.CrossingCostWithout {
		t.Errorf("got exit code %d, want 0, one restart and at most half the crossings with the plan: %s%s", code, out, errs)
	}
}

// plan-draw writes SVG and PNG pictures, and labels a flow between zones with its load and destination.
func TestPlanDraw(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	plan := operator.Plan{Version: 1, Flows: []placement.Flow{{Class: "x", From: "a", To: "a", Load: 5}, {Class: "x", From: "a", To: "b", Load: 2}}}
	file := filepath.Join(dir, "plan.edn")
	if err := os.WriteFile(file, plan.Marshal(), 0o600); err != nil {
		t.Fatal(err)
	}
	svg, png := filepath.Join(dir, "p.svg"), filepath.Join(dir, "p.png")
	if code, _, errs := run("plan-draw", "--plan", file, "--out", svg, "--out", png); code != 0 {
		t.Fatal(errs)
	}
	if text, err := os.ReadFile(svg); err != nil || !strings.Contains(string(text), "2 to b") {
		t.Errorf("got error %v and a picture of %d bytes, want one with the label \"2 to b\"", err, len(text))
	}
	f, err := os.Open(png)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	if _, err := imagepng.Decode(f); err != nil {
		t.Error(err)
	}
}
