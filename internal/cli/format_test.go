package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"
)

// writeFiles writes files by name into a new directory and returns it.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

var elapsedPattern = regexp.MustCompile(`, in [0-9.]+(µs|ms|s)\n`)

// appendRun executes a command line and prints its exit code and its standard output, but not its log. DIR in the arguments and
// the environment stands for the directory.
func appendRun(b *bytes.Buffer, dir string, env map[string]string, args ...string) {
	values := map[string]string{}
	for key, value := range env {
		values[key] = strings.ReplaceAll(value, "DIR", dir)
	}
	expanded := make([]string, len(args))
	for i, arg := range args {
		expanded[i] = strings.ReplaceAll(arg, "DIR", dir)
	}
	code, out, _ := run(values, expanded...)
	out = elapsedPattern.ReplaceAllString(strings.ReplaceAll(out, dir, "DIR"), ", in TIME\n")
	fmt.Fprintf(b, "== %s: exit %d\n%s", strings.Join(args, " "), code, out)
}

const sampleConfig = `{"name":"n3","listen":"127.0.0.4:5000","discovery":"127.0.2.1:8500","admin_addr":"127.0.0.4:1",
 "limits":{"sockets":1136},
 "settings":{"classes":[{"name":"a","effect":"idempotent","give_up_ns":800000000},{"name":"b"}],"family_info":{"mode":"proxy"},"replicas_of_me":3}}`

// The output and the exit codes of check-config are those in the golden file.
func TestCheckConfigMatchesGolden(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"config.json":  sampleConfig,
		"passing.json": strings.Replace(sampleConfig, `"proxy"`, `"pass"`, 1),
		"bad.json":     strings.Replace(sampleConfig, `"proxy"`, `"both"`, 1),
		"nats.edn":     `(nats (listen "127.0.0.1:4222") (request (subject "a")) (request (subject "b") (class "b")))`,
		"unknown.edn":  `(nats (listen "127.0.0.1:4222") (request (subject "a") (class "nada")))`,
		"off.edn":      `; nothing`,
	})
	var b bytes.Buffer
	check := func(args ...string) {
		appendRun(&b, dir, map[string]string{"PROXY_CONFIG": "DIR/config.json"}, args...)
	}
	check("check-config")
	check("--operator", "DIR/nats.edn", "check-config")
	check("--operator", "DIR/unknown.edn", "check-config")
	check("--operator", "DIR/off.edn", "check-config")
	check("--operator", "DIR/absent.edn", "check-config")
	for _, env := range []map[string]string{
		{"PROXY_CONFIG": "DIR/passing.json"},
		{"PROXY_CONFIG": "DIR/bad.json"},
		{"PROXY_CONFIG": "DIR/absent.json"},
		{"PROXY_CONFIG": "DIR/config.json", "MILLETVANE_OPERATOR": "DIR/nats.edn"},
		{"PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500"},
		{
			"PROXY_LISTEN": "127.0.0.1:5000", "PROXY_DISCOVERY": "127.0.0.1:8500", "PROXY_NAME": "n1",
			"PROXY_ADMIN_ADDR":    "127.0.0.1:1",
			"PROXY_PASSED_SOCKET": "3",
		},
		{"PROXY_LISTEN": "127.0.0.1:5000"},
	} {
		appendRun(&b, dir, env, "check-config")
	}
	golden.Check(t, "check-config.txt", b.Bytes())
}

const samplePlacement = `(placement
  (capacity "nuevo" 150) (capacity "antiguo" 100) (capacity "viejo" 10)
  (demand "bilbao" "x" 200) (demand "oviedo" "x" 100) (demand "oviedo" "y" 20)
  (crossing "bilbao" "oviedo" 2) (crossing-default 3) (batch "nuevo" 2)
  (goals uncarried moves crossings fullest)
  (constraint "room" (headroom 9 10)) (constraint "half" (share 2 3)) (constraint "apart" (keep-out "y" "bilbao"))
  (constraint "twice" (spread "x" 2 5)) (constraint "near" (together "y")) (constraint "few" (connections "viejo" 3 2))
  (constraint "calm" (moves 1000)) (constraint "here" (keep "y" "oviedo")) (constraint "both" (pair "viejo" "nuevo")))`

const sampleList = `{"version":1,"full":true,"servers":[
 {"id":"s-3","zone":"oviedo","kind":"nuevo","state":"in_service"},
 {"id":"s-1","zone":"bilbao","kind":"nuevo","state":"in_service"},
 {"id":"s-2","zone":"bilbao","kind":"antiguo","state":"in_service"},
 {"id":"s-4","zone":"oviedo","kind":"viejo","state":"in_service"},
 {"id":"s \"5\"","zone":"oviedo","kind":"nuevo","state":"draining"}]}`

// writePlanInput writes the input files of the plan commands into a new directory and returns it.
func writePlanInput(t *testing.T) string {
	t.Helper()
	return writeFiles(t, map[string]string{
		"op.edn": samplePlacement, "list.json": sampleList,
		"moved.edn":   "; a comment\n\n" + samplePlacement,
		"renamed.edn": strings.Replace(samplePlacement, `"room"`, `"rooms"`, 1),
		"shuffled.edn": strings.Replace(samplePlacement, `(goals uncarried moves crossings fullest)`,
			`(goals uncarried crossings moves fullest)`, 1),
		"tight.edn": strings.Replace(strings.Replace(samplePlacement, `"x" 200`, `"x" 300`, 1), `(constraint "room"`,
			`(constraint "all" (carry)) (constraint "room"`, 1),
		"small.edn": smallPlacement, "small.json": smallList,
		"no-kind.edn": strings.Replace(samplePlacement, `(capacity "viejo" 10)`, ``, 1),
		"off.edn":     `; nothing`,
		"other.json":  strings.Replace(sampleList, `"s-3"`, `"s-9"`, 1),
		"moved.json":  strings.Replace(sampleList, `"version":1`, `"version":2`, 1),
	})
}

// The output of the plan commands is that in the golden files, and the plan files are the same byte for byte, with the hashes of
// the list and of the settings in them.
func TestPlanCommandsMatchGolden(t *testing.T) {
	dir := writePlanInput(t)
	var b bytes.Buffer
	plan := func(operator string, args ...string) {
		appendRun(&b, dir, nil, append([]string{"--operator", "DIR/" + operator, "plan"}, args...)...)
	}
	plan("op.edn", "solve", "--list", "DIR/list.json", "--out", "DIR/plan.edn")
	plan("op.edn", "solve", "--list", "DIR/list.json", "--out", "DIR/second.edn", "--from", "DIR/plan.edn")
	plan("op.edn", "solve", "--list", "DIR/other.json", "--out", "DIR/third.edn", "--from", "DIR/second.edn")
	plan("small.edn", "solve", "--list", "DIR/small.json", "--out", "DIR/small-plan.edn")
	plan("op.edn", "solve", "--list", "DIR/list.json", "--out", "DIR/one-step.edn", "--steps", "1")
	plan("tight.edn", "solve", "--list", "DIR/list.json", "--out", "DIR/none.edn")
	plan("no-kind.edn", "solve", "--list", "DIR/list.json", "--out", "DIR/none.edn")
	plan("off.edn", "solve", "--list", "DIR/list.json", "--out", "DIR/none.edn")
	plan("op.edn", "solve", "--list", "DIR/absent.json", "--out", "DIR/none.edn")
	plan("op.edn", "solve", "--list", "DIR/list.json", "--out", "DIR/absent/none.edn")
	for _, operator := range []string{"op.edn", "moved.edn", "renamed.edn", "shuffled.edn"} {
		plan(operator, "check", "--list", "DIR/list.json", "--plan", "DIR/plan.edn")
	}
	plan("op.edn", "check", "--list", "DIR/moved.json", "--plan", "DIR/plan.edn")
	plan("op.edn", "check", "--list", "DIR/other.json", "--plan", "DIR/plan.edn")
	plan("op.edn", "check", "--list", "DIR/list.json", "--plan", "DIR/op.edn")
	plan("op.edn", "explain", "--list", "DIR/list.json", "--plan", "DIR/plan.edn")
	plan("op.edn", "explain", "--list", "DIR/other.json", "--plan", "DIR/third.edn")
	plan("small.edn", "explain", "--list", "DIR/small.json", "--plan", "DIR/small-plan.edn")
	plan("op.edn", "diff", "--plan", "DIR/second.edn", "--from", "DIR/plan.edn")
	plan("op.edn", "diff", "--plan", "DIR/third.edn", "--from", "DIR/second.edn")
	plan("op.edn", "diff", "--plan", "DIR/third.edn", "--from", "DIR/absent.edn")
	golden.Check(t, "plan.txt", b.Bytes())
	for _, name := range []string{"plan.edn", "second.edn", "third.edn", "small-plan.edn"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, text)
	}
	if _, err := os.Stat(filepath.Join(dir, "none.edn")); err == nil {
		t.Error("plan solve wrote a plan file although it failed")
	}
}

// Commands and flags keep their names, and unknown or missing ones give the exit codes in the golden file. The help texts may
// change.
func TestUsageMatchesGolden(t *testing.T) {
	var b bytes.Buffer
	for _, args := range [][]string{
		{"no-such-command"},
		{"plan", "solve"},
		{"--log-level", "loud", "check-config"},
		{"--log-format", "xml", "check-config"},
		{"check-config", "--no-such-flag"},
	} {
		code, _, _ := run(nil, args...)
		fmt.Fprintf(&b, "== %s: exit %d\n", strings.Join(args, " "), code)
	}
	names := regexp.MustCompile(`(?m)^   (--[a-z-]+|[a-z-]+  )`)
	for _, args := range [][]string{
		{"--help"},
		{"plan", "--help"},
		{"plan", "solve", "--help"},
		{"plan", "check", "--help"},
		{"plan", "explain", "--help"},
		{"plan", "diff", "--help"},
		{"check-config", "--help"},
	} {
		code, out, _ := run(nil, args...)
		fmt.Fprintf(&b, "== %s: exit %d\n", strings.Join(args, " "), code)
		for _, name := range names.FindAllString(out, -1) {
			fmt.Fprintf(&b, "%s\n", strings.TrimSpace(name))
		}
	}
	golden.Check(t, "usage.txt", b.Bytes())
}
