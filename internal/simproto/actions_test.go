package simproto

import (
	"testing"

	"example.org/milletvane/balancer"
)

func TestAppendEveryAction(t *testing.T) {
	for _, test := range []struct {
		name   string
		action balancer.Action
		want   string
	}{
		{
			"send",
			balancer.Send{ID: 1, Server: 2, Timeout: 3 * ms},
			"hand_off relay=4 ticket=1 backend=2 limit_ns=3000000\n",
		},
		{"reject", balancer.Reject{ID: 1, RetryAfter: ms}, "shed relay=4 ticket=1 backoff_ns=1000000\n"},
		{"fail", balancer.Fail{ID: 1}, "respond_error relay=4 ticket=1\n"},
		{"migrate", balancer.Migrate{ID: 1}, "rebalance relay=4 ticket=1\n"},
		{"timer", balancer.SetTimer{After: ms, Ref: 2}, "wake_at relay=4 sleep_for_ns=1000000 ref=2\n"},
		{"log", balancer.Log{Message: "one\nline"}, "emit relay=4 message=one line\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := string(AppendAction(nil, 4, test.action)); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
	if got, want := string(AppendBroken(nil, 4, "why")), "broken relay=4 message=why\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
