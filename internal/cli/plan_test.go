package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const smallPlacement = `(placement
  (capacity "nuevo" 150) (capacity "antiguo" 100)
  (demand "bilbao" "x" 200) (demand "oviedo" "x" 100)
  (constraint "room" (headroom 8 10))
  (constraint "all" (carry)))`

const smallList = `{"version":1,"full":true,"servers":[
 {"id":"s-00000001","zone":"bilbao","kind":"nuevo","state":"in_service"},
 {"id":"s-00000002","zone":"bilbao","kind":"antiguo","state":"in_service"},
 {"id":"s-00000003","zone":"oviedo","kind":"nuevo","state":"in_service"}]}`

// A plan can be solved, checked, explained and compared. A conflict of the constraints writes no plan and has an exit code of
// its own. check-config also checks the plan file that the operator file names.
func TestPlanCommands(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	list, operatorFile, planFile := write("list.json", smallList), write("op.edn", smallPlacement), filepath.Join(dir, "plan.edn")
	plan := func(operatorFile string, args ...string) (int, string, string) {
		return run(nil, append([]string{"--operator", operatorFile, "plan"}, args...)...)
	}
	if code, out, errOut := plan(operatorFile, "solve", "--list", list, "--out", planFile); code != 0 ||
		!strings.Contains(out, "version 1, proven best: 0 not carried, crossings 0") ||
		!strings.Contains(out, "after the loss of zone oviedo 100 units are not carried") {
		t.Fatalf("plan solve: exit code %d, want 0 and the summary of the best plan; output:\n%s%s", code, out, errOut)
	}
	if code, out, errOut := plan(operatorFile, "check", "--list", list, "--plan", planFile); code != 0 ||
		!strings.Contains(out, "version 1 fits") {
		t.Errorf("plan check: exit code %d, want 0 and \"version 1 fits\"; output:\n%s%s", code, out, errOut)
	}
	if code, out, _ := plan(operatorFile, "explain", "--list", list, "--plan", planFile); code != 0 ||
		!strings.Contains(out, "as full as room allows") {
		t.Errorf("plan explain: exit code %d, want 0 and \"as full as room allows\"; output:\n%s", code, out)
	}
	second := filepath.Join(dir, "second.edn")
	if code, out, errOut := plan(operatorFile, "solve", "--list", list, "--out", second, "--from", planFile); code != 0 ||
		!strings.Contains(out, "version 2") || !strings.Contains(out, " 0 moved") {
		t.Errorf("plan solve --from: exit code %d, want 0, version 2 and 0 moved; output:\n%s%s", code, out, errOut)
	}
	if code, out, _ := plan(operatorFile, "diff", "--plan", second, "--from", planFile); code != 0 ||
		strings.Contains(out, "s-0000") {
		t.Errorf("plan diff: exit code %d, want 0 and no node; output:\n%s", code, out)
	}
	otherList := write("other.json", strings.Replace(smallList, "s-00000003", "s-00000004", 1))
	if code, _, errOut := plan(operatorFile, "check", "--list", otherList, "--plan", planFile); code != 1 ||
		!strings.Contains(errOut, "another list") {
		t.Errorf("plan check with another list: exit code %d, errors %q, want 1 and \"another list\"", code, errOut)
	}
	conflicting := write("tight.edn", strings.Replace(smallPlacement, `"x" 200`, `"x" 300`, 1))
	unwritten := filepath.Join(dir, "none.edn")
	code, _, errOut := plan(conflicting, "solve", "--list", list, "--out", unwritten)
	if _, err := os.Stat(unwritten); code != exitInfeasible || err == nil ||
		!strings.Contains(errOut, "room (line 4)") || !strings.Contains(errOut, "all (line 5)") {
		t.Errorf("plan solve with a conflict: exit code %d, errors %q, want 3, no plan and the constraints room and all",
			code, errOut)
	}
	// check-config reads the plan that the gateway would follow.
	env := map[string]string{"PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	following := write("use.edn", `(plan (file "plan.edn") (zone "bilbao"))`)
	if code, _, errOut := run(env, "--operator", following, "check-config"); code != 0 {
		t.Errorf("check-config with a valid plan: exit code %d, errors %q, want 0", code, errOut)
	}
	write("plan.edn", "(format 1)")
	if code, _, errOut := run(env, "--operator", following, "check-config"); code != 1 ||
		!strings.Contains(errOut, "plan.edn:1: sum") {
		t.Errorf("check-config with a truncated plan: exit code %d, errors %q, want 1 and \"plan.edn:1: sum\"", code, errOut)
	}
}
