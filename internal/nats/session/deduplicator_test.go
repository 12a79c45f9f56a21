package session

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// However the messages of a cluster are split between two nodes during a migration, the client gets each once, in order.
func TestDeduplicatorDeliversOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "messages")
		subscribed := rapid.IntRange(0, n).Draw(t, "subscribed at the new node")
		ended := rapid.IntRange(subscribed, n).Draw(t, "ended at the old node")
		kinds := rapid.IntRange(1, 40).Draw(t, "kinds") // with few kinds identical messages repeat
		message := func(i int) []byte { return fmt.Appendf(nil, "MSG a 1 2\r\n%02d\r\n", i%kinds) }
		var dedup Deduplicator
		var got, want []string
		for i := range n {
			want = append(want, string(message(i)))
			if i < ended {
				if i == subscribed {
					dedup.Start()
				}
				got = append(got, string(message(i)))
				dedup.RecordOld(message(i))
			}
		}
		for i := subscribed; i < n; i++ {
			if !dedup.IsDuplicate(message(i)) {
				got = append(got, string(message(i)))
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
