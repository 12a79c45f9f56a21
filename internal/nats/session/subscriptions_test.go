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

// A subscription with a message limit migrates to another node. The new node must be given the remaining number of messages
// as its limit, so that the client receives no more messages than it asked for in total.
func TestLimitAcrossMigration(t *testing.T) {
	var s Subscriptions
	s.Add([]byte("a.*"), nil, []byte("1"))
	s.Add([]byte("b"), []byte("q"), []byte("2"))
	s.Unsubscribe([]byte("1"), 3)
	if !s.Deliver([]byte("1")) || !s.HasLimits() {
		t.Fatal("the first message was dropped, or its subscription has no limit")
	}
	if got, want := string(s.AppendSubscribe(nil)), "SUB a.* 1\r\nUNSUB 1 2\r\nSUB b q 2\r\n"; got != want {
		t.Errorf("frames for the new node: got %q, want %q", got, want)
	}
	for i, want := range []bool{true, true, false, false} {
		if got := s.Deliver([]byte("1")); got != want {
			t.Errorf("Deliver for message %d: got %v, want %v", i+2, got, want)
		}
	}
	if s.Len() != 1 || s.HasLimits() || s.Match([]byte("a.x")) != nil || s.Match([]byte("b")).SID != "2" {
		t.Errorf("got %d subscriptions left, want only the second one, without a limit", s.Len())
	}
}

// A SUB reuses the SID of an older subscription. The new subscription must replace the older one and its message limit.
func TestReusedSID(t *testing.T) {
	var s Subscriptions
	s.Add([]byte("a"), nil, []byte("1"))
	s.Unsubscribe([]byte("1"), 1)
	s.Add([]byte("b"), nil, []byte("1"))
	if s.Len() != 1 || s.HasLimits() || s.Match([]byte("a")) != nil || !s.Deliver([]byte("1")) || !s.Deliver([]byte("1")) {
		t.Error("the replaced subscription or its limit is still in effect")
	}
	s.Unsubscribe([]byte("1"), 0)
	s.Unsubscribe([]byte("1"), 0)
	if s.Len() != 0 || s.Deliver([]byte("1")) {
		t.Error("the subscription still exists after UNSUB")
	}
}

// Messages of a subscription are never duplicates while it is a member of a queue group. A SUB with the same SID replaces it.
func TestInQueueGroup(t *testing.T) {
	var s Subscriptions
	s.Add([]byte("jobs"), []byte("workers"), []byte("1"))
	s.Add([]byte("jobs"), nil, []byte("2"))
	s.Add([]byte("jobs"), []byte("workers"), []byte("3"))
	s.Add([]byte("jobs"), nil, []byte("3"))
	s.Add([]byte("jobs"), []byte("workers"), []byte("4"))
	s.Unsubscribe([]byte("4"), 0)
	for sid, want := range map[string]bool{"1": true, "2": false, "3": false, "4": false, "unknown": false} {
		if got := s.InQueueGroup([]byte(sid)); got != want {
			t.Errorf("SID %s: got %t, want %t", sid, got, want)
		}
	}
}
