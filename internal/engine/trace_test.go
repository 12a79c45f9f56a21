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

// tracedRecord is what the test reads of a log record.
type tracedRecord struct {
	Message string `json:"msg"`
	Client  string `json:"client"`
	Result  string `json:"result"`
}

// A request's name leads through all that was done with it.
func TestTraceFollowsARequest(t *testing.T) {
	var log bytes.Buffer
	w := newWorld(t, 2, func(o *Options) { o.Logger, o.Trace = debugLogger(&log), true })
	w.arrive(w.client("a"), Request{ID: "7f3a", Key: "k"})
	first := w.attempt
	w.end(first, balancer.ConnectFailed)
	if w.attempt == first {
		t.Fatal("there was no second attempt")
	}
	w.establish(w.attempt)
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
	w := newWorld(t, 2, func(o *Options) { o.Logger = debugLogger(&log) })
	w.arrive(w.client("a"), Request{ID: "7f3a", Key: "k"})
	w.establish(w.attempt)
	if strings.Contains(log.String(), "7f3a") {
		t.Errorf("requests are in the log: %s", log.String())
	}
}
