package engine

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
)

func debugLogger(log *bytes.Buffer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// tracedRecord holds the fields of a log record that the test compares.
type tracedRecord struct {
	Message string `json:"msg"`
	Client  string `json:"client"`
	Result  string `json:"result"`
}

// The trace of a request can be found by the ID that the client assigned to it.
func TestTraceFollowsARequest(t *testing.T) {
	var log bytes.Buffer
	h := newHarness(t, 2, func(o *Options) { o.Logger, o.Trace = debugLogger(&log), true })
	h.connectAndRequest(h.newClient("a"), Request{ID: "7f3a", Key: "k"})
	first := h.lastAttempt
	h.endAttempt(first, balancer.ConnectFailed)
	if h.lastAttempt == first {
		t.Fatal("no second attempt was sent")
	}
	h.establish(h.lastAttempt)
	var got []tracedRecord
	for line := range strings.Lines(log.String()) {
		var r tracedRecord
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		if r.Client == "7f3a" {
			got = append(got, r)
		}
	}
	want := []tracedRecord{
		{Message: "request received", Client: "7f3a"},
		{Message: "attempt sent", Client: "7f3a"},
		{Message: "attempt ended", Client: "7f3a", Result: "connect failed"},
		{Message: "attempt sent", Client: "7f3a"},
		{Message: "attempt established", Client: "7f3a"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("records of the request (-want +got):\n%s", diff)
	}
}

func TestNothingIsTracedUnlessConfigured(t *testing.T) {
	var log bytes.Buffer
	h := newHarness(t, 2, func(o *Options) { o.Logger = debugLogger(&log) })
	h.connectAndRequest(h.newClient("a"), Request{ID: "7f3a", Key: "k"})
	h.establish(h.lastAttempt)
	if strings.Contains(log.String(), "7f3a") {
		t.Errorf("the log has records of the request without Options.Trace: %s", log.String())
	}
}
