package session

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// A limited subscription that migrates is limited at the new node to what remains, and delivers no more in total.
func TestLimitAcrossMigration(t *testing.T) {
	var s Subscriptions
	s.Add([]byte("a.*"), nil, []byte("1"))
	s.Add([]byte("b"), []byte("q"), []byte("2"))
	s.Unsubscribe([]byte("1"), 3)
	if !s.Deliver([]byte("1")) || !s.HasLimits() {
		t.Fatal("the first message is not delivered, or its subscription is not limited")
	}
	if got, want := string(s.AppendSubscribe(nil)), "SUB a.* 1\r\nUNSUB 1 2\r\nSUB b q 2\r\n"; got != want {
		t.Errorf("the new node gets %q, want %q", got, want)
	}
	for i, want := range []bool{true, true, false, false} {
		if got := s.Deliver([]byte("1")); got != want {
			t.Errorf("message %d delivered: %v, want %v", i+2, got, want)
		}
	}
	if s.Len() != 1 || s.HasLimits() || s.Match([]byte("a.x")) != nil || s.Match([]byte("b")).SID != "2" {
		t.Errorf("%d subscriptions are left, want the second one only", s.Len())
	}
}

// A SID that is used again belongs to its last subscription, whatever limit the older one had.
func TestReusedSID(t *testing.T) {
	var s Subscriptions
	s.Add([]byte("a"), nil, []byte("1"))
	s.Unsubscribe([]byte("1"), 1)
	s.Add([]byte("b"), nil, []byte("1"))
	if s.Len() != 1 || s.HasLimits() || s.Match([]byte("a")) != nil || !s.Deliver([]byte("1")) || !s.Deliver([]byte("1")) {
		t.Error("the older subscription is still in effect")
	}
	s.Unsubscribe([]byte("1"), 0)
	s.Unsubscribe([]byte("1"), 0)
	if s.Len() != 0 || s.Deliver([]byte("1")) {
		t.Error("the subscription remains after UNSUB")
	}
}
