package session

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// During a migration the old node delivers the messages up to some point, and the new node delivers those from an earlier
// point on. The client must receive each message once and in order, wherever the two points are.
func TestDeduplicatorDeliversOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messageCount := rapid.IntRange(1, 40).Draw(t, "messages")
		newNodeStart := rapid.IntRange(0, messageCount).Draw(t, "first message of the new node")
		oldNodeEnd := rapid.IntRange(newNodeStart, messageCount).Draw(t, "end of the messages of the old node")
		distinctMessages := rapid.IntRange(1, 40).Draw(t, "distinct messages") // if few, identical messages repeat
		message := func(i int) []byte { return fmt.Appendf(nil, "MSG a 1 2\r\n%02d\r\n", i%distinctMessages) }
		var dedup Deduplicator
		var got, want []string
		for i := range messageCount {
			want = append(want, string(message(i)))
			if i < oldNodeEnd {
				if i == newNodeStart {
					dedup.Start()
				}
				got = append(got, string(message(i)))
				dedup.RecordOld(message(i))
			}
		}
		for i := newNodeStart; i < messageCount; i++ {
			if !dedup.IsDuplicate(message(i)) {
				got = append(got, string(message(i)))
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
