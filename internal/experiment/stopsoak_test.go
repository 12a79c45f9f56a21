package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
)

// runStopSeeds runs stop-soak with the given seeds and returns the reports.
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
		t.Fatalf("got %d reports, want %d: %s", len(reports), seeds, errs.String())
	}
	return reports
}

// expectNoViolations checks that no valid run has a violation. A run in which the timers of this process were late is
// void.
func expectNoViolations(t *testing.T, reports []stopReport) {
	t.Helper()
	valid, served, moved := 0, 0, 0
	for _, r := range reports {
		if r.Void {
			t.Logf("seed %d is void: the timers of this process were late by %d ms", r.Seed, r.LatenessMS)
			continue
		}
		valid, served, moved = valid+1, served+r.Served, moved+r.Moved
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s: %s", r.Seed, v.Kind, v.Detail)
		}
	}
	t.Logf("%d of %d runs are valid, %d requests served, %d clients moved", valid, len(reports), served, moved)
	if valid > 0 && (served == 0 || moved == 0) {
		t.Errorf("got %d served requests and %d moved clients, want some of each", served, moved)
	}
}

// A planned stop must cause none of the violations of violationKind for clients that use the process meanwhile.
func TestStopSoak(t *testing.T) {
	expectNoViolations(t, runStopSeeds(t, buildProgram(t), 1, 16, "--hot-restart", "none"))
}

// The same with a successor process on the same socket. The descriptors of both processes together stay within the limit.
func TestStopSoakWithHotRestarts(t *testing.T) {
	expectNoViolations(t, runStopSeeds(t, buildProgram(t), 1, 8, "--hot-restart", "all"))
}

// Each planted fault is detected within 20 seeds. Otherwise the tests above could pass although the checks detect nothing.
func TestStopSoakDetectsPlantedFaults(t *testing.T) {
	program := buildProgram(t)
	const seeds, batch = 20, 2
	for _, p := range plantedStopFaults {
		t.Run(string(p.plant), func(t *testing.T) {
			for from := 1; from <= seeds; from += batch {
				for _, r := range runStopSeeds(t, program, from, batch, "--plant", string(p.plant)) {
					for _, v := range r.Violations {
						if v.Kind == p.kind {
							t.Logf("detected with seed %d: %s", r.Seed, v.Detail)
							return
						}
					}
				}
			}
			t.Errorf("got no violation of kind %q within %d seeds", p.kind, seeds)
		})
	}
}

// A scenario depends on its seed alone, and the choice of hot restarts does not change its other conditions.
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
				t.Errorf("seed %d: hot restarts %q: got %s, want %s", seed, choice, other, drawn)
			}
		}
		for _, part := range []string{"proxy", "pass", `"crowd":true`, "HUP", "hangs", "drains", "resets", "halves", "down", "silent", "changes"} {
			seen[part] = seen[part] || strings.Contains(drawn, part)
		}
	}
	for part, isSeen := range seen {
		if !isSeen {
			t.Errorf("no seed draws %s, want at least one", part)
		}
	}
}
