package engine

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"example.org/milletvane/balancer"
)

// A request's name leads through all that was done with it.
func TestTraceFollowsARequest(t *testing.T) {
	var log bytes.Buffer
	w := newWorld(t, 2, func(o *Options) {
		o.Logger, o.Trace = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})), true
	})
	w.arrive(w.client("a"), Request{ID: "7f3a", Key: "k"})
	first := w.link
	w.ended(first, balancer.ConnectFailed)
	if w.link == first {
		t.Fatal("there was no second attempt")
	}
	w.wentUp(w.link)
	var msgs []string
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "name=7f3a") {
			_, msg, _ := strings.Cut(line, "msg=")
			msg, _, _ = strings.Cut(msg, " ")
			msgs = append(msgs, msg)
		}
	}
	if got, want := strings.Join(msgs, " "), "asked send outcome send up"; got != want {
		t.Errorf("the log has %q of it, not %q", got, want)
	}
	if !strings.Contains(log.String(), `result="connect failed"`) {
		t.Error("the log does not say how the attempt ended")
	}
}

func TestNoTraceUnlessAsked(t *testing.T) {
	var log bytes.Buffer
	w := newWorld(t, 2, func(o *Options) {
		o.Logger = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	})
	w.arrive(w.client("a"), Request{ID: "7f3a", Key: "k"})
	w.wentUp(w.link)
	if strings.Contains(log.String(), "7f3a") {
		t.Errorf("requests are in the log: %s", log.String())
	}
}
