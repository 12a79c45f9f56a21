package experiment

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// buildProgram builds the program under test and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "milletvane")
	out, err := exec.Command("go", "build", "-o", program, "example.org/milletvane/cmd/milletvane").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// Power is lost with real processes: nothing that must not happen does, while the plain fleet goes by an old list; and an
// instance that is left with an old disk alone is found out.
func TestPowerScenario(t *testing.T) {
	program := buildProgram(t)
	runScenario := func(t *testing.T, seed, plant string) (found bool) {
		t.Helper()
		var out, errs bytes.Buffer
		code := Run(t.Context(), []string{programName, "fleet-faults", "--seed", seed, "--instances", "3", "--program", program, "--plant", plant}, &out, &errs)
		var r powerReport
		if err := json.Unmarshal(out.Bytes(), &r); err != nil {
			t.Errorf("%v: %s%s", err, out.String(), errs.String())
			return false
		}
		if r.Recovered.Served == 0 || r.Plain.Served == 0 || r.Plain.StaleActedOn == 0 || len(r.Order) == 0 {
			t.Errorf("the run shows nothing: %+v", r)
		}
		found = strings.Contains(errs.String(), "peers knew to be old")
		if found != (code != 0) {
			t.Errorf("plant %q: exit %d, %s", plant, code, errs.String())
		}
		return found
	}
	// One instance that has just started sends cold nodes a request or two in the time that it is wrong, so one seed may show none.
	var wg sync.WaitGroup
	var found atomic.Int32
	for _, seed := range []string{"2", "3", "9"} {
		wg.Go(func() {
			if runScenario(t, seed, "trust-stale-list") {
				found.Add(1)
			}
		})
	}
	wg.Go(func() {
		if runScenario(t, "4", "") {
			t.Error("found without a plant")
		}
	})
	wg.Wait()
	if found.Load() == 0 {
		t.Error("the planted instance was not found out")
	}
}

// Under overload a fleet with tiers serves the highest, where one without serves all alike.
func TestTiersScenario(t *testing.T) {
	program := buildProgram(t)
	var out, errs bytes.Buffer
	Run(t.Context(), []string{programName, "fleet-faults", "--play", "tiers", "--seed", "1", "--instances", "3", "--program", program}, &out, &errs)
	var r tiersReport
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatalf("%v: %s%s", err, out.String(), errs.String())
	}
	if r.Shed.Unanswered > 0 || r.Shed.ServedRatio[0] < r.Plain.ServedRatio[0]+0.2 ||
		r.Shed.ServedRatio[2] > 0.1 || r.Shed.InvertedSeconds > r.Plain.InvertedSeconds/2 {
		t.Errorf("with tiers %+v, without %+v", r.Shed, r.Plain)
	}
}
