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

// After a power loss of real processes, the clustered fleet has no fault, while the fleet without a cluster sends requests
// by an old endpoint list. An instance with an old disk that is isolated from its peers is detected.
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
			t.Errorf("got %+v, want served requests of both fleets, stale requests without a cluster and events", r)
		}
		found = strings.Contains(errs.String(), "peers knew to be old")
		if found != (code != 0) {
			t.Errorf("plant %q: got exit code %d, want 0 or an error about the old list: %s", plant, code, errs.String())
		}
		return found
	}
	// The isolated instance sends only one or two requests by its old list, because it has just started and servers are cold.
	// A single seed may therefore show none.
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
			t.Error("got an error about the old list without a planted fault, want none")
		}
	})
	wg.Wait()
	if found.Load() == 0 {
		t.Error("got no error about the old list with the planted fault, want one from at least one seed")
	}
}

// Under overload, a fleet with tiers serves mainly the highest priority, while a fleet without tiers serves all alike.
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
		t.Errorf("got %+v with tiers and %+v without, want more of the highest and less of the lowest priority", r.Shed, r.Plain)
	}
}
