// Command standins plays the cases of the review: stand-ins of clients, nodes and discovery around the project's own
// program, which runs as a process of its own on loopback addresses and the real clock.
//
//	standins CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// test is what a case needs.
type test struct {
	rec     *recorder
	root    string
	dir     string
	trouble bool
}

// cases return a text for each violation that was seen.
var cases = map[string]func(t *test, b *balancer) []string{
	"foreign-answer":  foreignAnswer,  // review/1
	"false-flush":     falseFlush,     // review/2
	"twice-delivered": twiceDelivered, // review/3

	// Findings beyond the three cases; REPORT.md tells of them.
	"half-messages":       halfMessages,
	"lame-duck":           lameDuck,
	"late-drain":          lateDrain,
	"limit-after-move":    limitAfterMove,
	"lost-messages":       lostMessages,
	"next-hangs":          nextHangs,
	"slow-reader":         slowReader,
	"standing-connection": standingConnection,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, record string) (code int) {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	t := &test{rec: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	b := &balancer{rec: rec, root: root, dir: dir, name: "n1"}
	defer b.kill()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals // the end of this process also ends the balancer, which is started with a parent death signal
		rec.logf("the case couldn't run: it was stopped")
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	defer func() {
		if reason := recover(); reason != nil {
			rec.logf("the case couldn't run: %v", reason)
			fmt.Println("the case couldn't run:", reason)
			code = 2
		}
	}()
	rec.logf("case %s, trouble %t", name, t.trouble)
	violations := cases[name](t, b)
	b.kill()
	rec.logf("the balancer's log:\n%s", b.log())
	for _, v := range violations {
		rec.logf("RULE BROKEN: %s", v)
		fmt.Println("rule broken:", v)
	}
	if len(violations) > 0 {
		return 1
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
