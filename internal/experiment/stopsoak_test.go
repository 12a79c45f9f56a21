package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
)

// runStopSeeds runs the soak and returns its reports.
func runStopSeeds(t *testing.T, program string, from, seeds int, args ...string) (reports []stopReport) {
	t.Helper()
	var out, errs bytes.Buffer
	Run(t.Context(), append([]string{
		programName, "stop-soak", "--json", "--program", program, "--parallel", "2",
		"--from", strconv.Itoa(from), "--seeds", strconv.Itoa(seeds),
	}, args...), &out, &errs)
	for lines := bufio.NewScanner(&out); lines.Scan(); {
		var r stopReport
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			t.Fatalf("%v: %s", err, lines.Text())
		}
		reports = append(reports, r)
	}
	if len(reports) != seeds {
		t.Fatalf("%d reports of %d: %s", len(reports), seeds, errs.String())
	}
	return reports
}

// expectNoViolations checks reports; a run in which this process itself was late shows nothing.
func expectNoViolations(t *testing.T, reports []stopReport) {
	t.Helper()
	valid, served, moved := 0, 0, 0
	for _, r := range reports {
		if r.Void {
			t.Logf("seed %d is void: this process was late by %d ms", r.Seed, r.LatenessMS)
			continue
		}
		valid, served, moved = valid+1, served+r.Served, moved+r.Moved
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s: %s", r.Seed, v.Kind, v.Detail)
		}
	}
	t.Logf("%d of %d runs are valid, %d requests served, %d clients moved", valid, len(reports), served, moved)
	if valid > 0 && (served == 0 || moved == 0) {
		t.Error("the runs show nothing")
	}
}

// Guards against whatever a planned stop may not do to clients that go on meanwhile: see violationKind.
func TestStopSoak(t *testing.T) {
	expectNoViolations(t, runStopSeeds(t, buildProgram(t), 1, 16, "--hot-restart", "none"))
}

// The same beside a process that follows on the same socket, both of which count as one.
func TestStopSoakWithHotRestarts(t *testing.T) {
	expectNoViolations(t, runStopSeeds(t, buildProgram(t), 1, 8, "--hot-restart", "all"))
}

// Each planted fault is seen within twenty seeds; otherwise the tests above would prove nothing.
func TestStopSoakSeesPlantedFaults(t *testing.T) {
	program := buildProgram(t)
	const seeds, batch = 20, 2
	for _, p := range stopPlants {
		t.Run(string(p.plant), func(t *testing.T) {
			for from := 1; from <= seeds; from += batch {
				for _, r := range runStopSeeds(t, program, from, batch, "--plant", string(p.plant)) {
					for _, v := range r.Violations {
						if v.Kind == p.kind {
							t.Logf("seen with seed %d: %s", r.Seed, v.Detail)
							return
						}
					}
				}
			}
			t.Errorf("not seen as %q within %d seeds", p.kind, seeds)
		})
	}
}

// A scenario is drawn from its seed alone, and the choice of hot restarts and plants leaves the rest as it is.
func TestStopScenarioIsDrawnFromItsSeed(t *testing.T) {
	text := func(s *stopScenario) string {
		r := s.report()
		r.HotRestart = false
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	seen := map[string]bool{}
	for seed := range uint64(200) {
		drawn := text(drawStopScenario(seed, plantNone, hotRestartDrawn))
		for _, choice := range []hotRestartChoice{hotRestartNone, hotRestartAll} {
			if other := text(drawStopScenario(seed, plantNone, choice)); other != drawn {
				t.Errorf("seed %d: %s, then %s", seed, drawn, other)
			}
		}
		for _, part := range []string{"proxy", "pass", `"crowd":true`, "HUP", "hangs", "drains", "resets", "halves", "down", "silent", "changes"} {
			seen[part] = seen[part] || strings.Contains(drawn, part)
		}
	}
	for part, isSeen := range seen {
		if !isSeen {
			t.Errorf("no seed draws %s", part)
		}
	}
}
