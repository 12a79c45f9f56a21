package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const startEvents = "create relay=1 init_seed=5 caps.max_attempts=2 classes.count=1 classes.0.name=c " +
	"classes.0.effect=idempotent\nupdate relay=1 mode=Persisted rev=1 rows_in=1\nrow backend=9 mode=IN\n"

func TestRunAnswersEachBatch(t *testing.T) {
	in := "mark t_ns=1000\nover_to_you\n\nmark t_ns=2000\n" + startEvents + "over_to_you\n\nmark t_ns=3000\n" +
		"new_request relay=1 ticket=7 priority=c grace_ns=900000000 partition_key=k\nover_to_you\n\n" +
		"mark t_ns=4000\ndestroy relay=1\ntimer relay=1 ref=1\nover_to_you\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSuffix(out.String(), "yield\n"), "yield\n")
	if len(replies) != 4 {
		t.Fatalf("got %d replies, want 4: %q", len(replies), replies)
	}
	if replies[0] != "" || replies[3] != "" {
		t.Errorf("replies to batches that need no action: %q and %q, want none", replies[0], replies[3])
	}
	if !strings.HasPrefix(replies[2], "hand_off relay=1 ticket=7 backend=9 limit_ns=") {
		t.Errorf("reply to the request: %q, want a hand_off to server 9", replies[2])
	}
}

func TestInvalidSettingsBreakInstance(t *testing.T) {
	in := "mark t_ns=1\ncreate relay=1 classes.count=2 classes.0.name=a classes.1.name=a\nover_to_you\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	want := "broken relay=1 message=balancer: class \"a\" is given twice\nyield\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}

func TestMalformedInputEndsRun(t *testing.T) {
	err := run(strings.NewReader("mark t_ns=1\nnonsense relay=1\n"), &bytes.Buffer{})
	if err == nil || err.Error() != `line 2: unknown event "nonsense"` {
		t.Errorf("run: %v, want an error about the unknown event on line 2", err)
	}
}
