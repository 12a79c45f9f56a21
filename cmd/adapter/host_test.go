package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// runBatches runs one batch per line and returns their answers without the yield lines.
func runBatches(t *testing.T, lines ...string) []string {
	t.Helper()
	var in strings.Builder
	for _, line := range lines {
		in.WriteString("mark t_ns=1000\n" + line + "\nover_to_you\n")
	}
	var out bytes.Buffer
	if err := run(strings.NewReader(in.String()), &out); err != nil {
		t.Fatal(err)
	}
	answers := strings.SplitAfter(out.String(), "yield\n")
	for i := range answers {
		answers[i] = strings.TrimSuffix(answers[i], "yield\n")
	}
	return answers[:len(answers)-1]
}

const createInstance = "create relay=1 init_seed=5 classes.count=1 classes.0.name=c"

func TestEndpointListRequests(t *testing.T) {
	const observe = "observe relay=1 want=1\n"
	t.Run("the list is polled", func(t *testing.T) {
		answers := runBatches(t, createInstance+" discovery=ask", "timer relay=1 ref=4294967296",
			"update relay=1 mode=Error", "update relay=1 mode=Complete rows_in=0")
		if answers[0] != observe && !strings.HasPrefix(answers[0], "wake_at relay=1 ") {
			t.Errorf("answer to the start: %q, want a request or a timer", answers[0])
		}
		if answers[1] != observe {
			t.Errorf("answer to the poll timer: %q, want %q", answers[1], observe)
		}
		if !strings.HasPrefix(answers[2], "wake_at relay=1 ") || !strings.HasSuffix(answers[2], " ref=4294967296\n") {
			t.Errorf("answer to a failed request: %q, want a poll timer", answers[2])
		}
		if strings.Contains(answers[3], "observe") || strings.Contains(answers[3], "ref=4294967296") {
			t.Errorf("answer to a list: %q, want no request and no poll timer", answers[3])
		}
	})
	t.Run("the list is pushed", func(t *testing.T) {
		answers := runBatches(t, createInstance+" discovery=push", "update relay=1 mode=Error")
		if diff := cmp.Diff([]string{"", ""}, answers); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}

func TestEventsOfUnknownInstanceAreIgnored(t *testing.T) {
	answers := runBatches(t, "timer relay=1 ref=1", createInstance, "destroy relay=1", "update relay=1 mode=Error")
	if diff := cmp.Diff([]string{"", "", "", ""}, answers); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}
