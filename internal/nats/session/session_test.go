package session

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// An end that straddles a move: the new node is told what is left, and no more is given in all.
func TestEndsStraddleAMove(t *testing.T) {
	var s Subscriptions
	s.Add([]byte("a.*"), nil, []byte("1"))
	s.Add([]byte("b"), []byte("q"), []byte("2"))
	s.Unsubscribe([]byte("1"), 3)
	if !s.Deliver([]byte("1")) || !s.HasLimits() {
		t.Fatal("not given")
	}
	if got, want := string(s.AppendSubscribe(nil)), "SUB a.* 1\r\nUNSUB 1 2\r\nSUB b q 2\r\n"; got != want {
		t.Errorf("told %q, want %q", got, want)
	}
	for i, want := range []bool{true, true, false, false} {
		if got := s.Deliver([]byte("1")); got != want {
			t.Errorf("message %d given: %v", i+2, got)
		}
	}
	if s.Len() != 1 || s.HasLimits() || s.Match([]byte("a.x")) != nil || s.Match([]byte("b")).SID != "2" {
		t.Errorf("%d are left", s.Len())
	}
}

// A SID used again stands for its last subscription alone, whatever end the older one had.
func TestReusedSID(t *testing.T) {
	var s Subscriptions
	s.Add([]byte("a"), nil, []byte("1"))
	s.Unsubscribe([]byte("1"), 1)
	s.Add([]byte("b"), nil, []byte("1"))
	if s.Len() != 1 || s.HasLimits() || s.Match([]byte("a")) != nil || !s.Deliver([]byte("1")) || !s.Deliver([]byte("1")) {
		t.Error("the older one shows")
	}
	s.Unsubscribe([]byte("1"), 0)
	s.Unsubscribe([]byte("1"), 0)
	if s.Len() != 0 || s.Deliver([]byte("1")) {
		t.Error("it is still there")
	}
}

// However a cluster's messages fall to two nodes around a move, the client gets each once and in order.
func TestOverlapGivesEachOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "messages")
		subscribed := rapid.IntRange(0, n).Draw(t, "subscribed at the new node")
		ended := rapid.IntRange(subscribed, n).Draw(t, "ended at the old node")
		kinds := rapid.IntRange(1, 40).Draw(t, "kinds") // few kinds: the same bytes come again
		message := func(i int) []byte { return []byte(fmt.Sprintf("MSG a 1 2\r\n%02d\r\n", i%kinds)) }
		var o Deduplicator
		var got, want []string
		for i := range n {
			want = append(want, string(message(i)))
			if i < ended {
				if i == subscribed {
					o.Start()
				}
				got = append(got, string(message(i)))
				o.RecordOld(message(i))
			}
		}
		for i := subscribed; i < n; i++ {
			if !o.IsDuplicate(message(i)) {
				got = append(got, string(message(i)))
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
