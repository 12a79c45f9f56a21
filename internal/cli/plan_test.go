package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const planOperator = `(placement
  (capacity "nuevo" 150) (capacity "antiguo" 100)
  (demand "bilbao" "x" 200) (demand "oviedo" "x" 100)
  (constraint "room" (headroom 8 10))
  (constraint "all" (carry)))`

const planList = `{"version":1,"full":true,"servers":[
 {"id":"s-00000001","zone":"bilbao","kind":"nuevo","state":"in_service"},
 {"id":"s-00000002","zone":"bilbao","kind":"antiguo","state":"in_service"},
 {"id":"s-00000003","zone":"oviedo","kind":"nuevo","state":"in_service"}]}`

// The whole way: a plan is solved, checked, explained and compared; a conflict writes none and has a code of its own.
func TestPlan(t *testing.T) {
	dir := t.TempDir()
	at := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	list, op, out := at("list.json", planList), at("op.edn", planOperator), filepath.Join(dir, "plan.edn")
	plan := func(op string, args ...string) (int, string, string) {
		return run(nil, append([]string{"--operator", op, "plan"}, args...)...)
	}
	if code, text, errs := plan(op, "solve", "--list", list, "--out", out); code != 0 || !strings.Contains(text, "version 1, proven best: 0 not carried, crossings 0") ||
		!strings.Contains(text, "after the loss of zone oviedo 100 units are not carried") {
		t.Fatalf("exit %d, %s%s", code, text, errs)
	}
	if code, text, errs := plan(op, "check", "--list", list, "--plan", out); code != 0 || !strings.Contains(text, "version 1 fits") {
		t.Errorf("exit %d, %s%s", code, text, errs)
	}
	if code, text, _ := plan(op, "explain", "--list", list, "--plan", out); code != 0 || !strings.Contains(text, "as full as room allows") {
		t.Errorf("exit %d, %s", code, text)
	}
	second := filepath.Join(dir, "second.edn")
	if code, text, errs := plan(op, "solve", "--list", list, "--out", second, "--from", out); code != 0 || !strings.Contains(text, "version 2") || !strings.Contains(text, " 0 moved") {
		t.Errorf("exit %d, %s%s", code, text, errs)
	}
	if code, text, _ := plan(op, "diff", "--plan", second, "--from", out); code != 0 || strings.Contains(text, "s-0000") {
		t.Errorf("exit %d, %s", code, text)
	}
	other := at("other.json", strings.Replace(planList, "s-00000003", "s-00000004", 1))
	if code, _, errs := plan(op, "check", "--list", other, "--plan", out); code != 1 || !strings.Contains(errs, "another list") {
		t.Errorf("exit %d, %s", code, errs)
	}
	tight := at("tight.edn", strings.Replace(planOperator, `"x" 200`, `"x" 300`, 1))
	none := filepath.Join(dir, "none.edn")
	code, _, errs := plan(tight, "solve", "--list", list, "--out", none)
	if _, err := os.Stat(none); code != exitInfeasible || err == nil || !strings.Contains(errs, "room (line 4)") || !strings.Contains(errs, "all (line 5)") {
		t.Errorf("exit %d, %s", code, errs)
	}
	// A gateway that is to go by a plan checks it with the rest.
	env := map[string]string{"PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500"}
	use := at("use.edn", `(plan (file "plan.edn") (zone "bilbao"))`)
	if code, _, errs := run(env, "--operator", use, "check-config"); code != 0 {
		t.Errorf("exit %d, %s", code, errs)
	}
	at("plan.edn", "(format 1)")
	if code, _, errs := run(env, "--operator", use, "check-config"); code != 1 || !strings.Contains(errs, "plan.edn:1: sum") {
		t.Errorf("exit %d, %s", code, errs)
	}
}
