package session_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"example.org/milletvane/internal/nats/session"
)

var update = flag.Bool("update", false, "rewrite the files in testdata")

// compareDigests compares the digest of each transcript with a file in testdata, or rewrites the file if -update is set. It
// prints the first transcript whose digest differs.
func compareDigests(t *testing.T, file string, transcripts []string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	var lines []string
	for seed, text := range transcripts {
		lines = append(lines, fmt.Sprintf("%04d %.16x", seed, sha256.Sum256([]byte(text))))
	}
	if *update {
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%s: got %d digests, want %d", path, len(lines), len(want))
	}
	differingDigests := 0
	for i := range lines {
		if lines[i] == want[i] {
			continue
		}
		if differingDigests++; differingDigests == 1 {
			t.Errorf("%s:%d: got %s, want %s; the transcript is:\n%s", path, i+1, lines[i], want[i], transcripts[i])
		}
	}
	if differingDigests > 0 {
		t.Errorf("%s: %d of %d digests differ", path, differingDigests, len(lines))
	}
}

func randomElement[T any](rng *rand.Rand, values []T) T { return values[rng.IntN(len(values))] }

// overwrite overwrites the arguments of an earlier call, as the next read overwrites the buffer of a connection. This shows
// whether the callee kept a slice instead of a copy.
func overwrite(buffers ...[]byte) {
	for _, b := range buffers {
		for i := range b {
			b[i] = '!'
		}
	}
}

var (
	subscriptionPatterns = []string{"a", "a.b", "a.*", "a.>", "*.b", ">", "orders.new", "orders.*.done", "_INBOX.x.1"}
	subjects             = []string{
		"a", "a.b", "a.c", "a.b.c", "b", "b.b", "orders.new", "orders.7.done", "orders.7",
		"_INBOX.x.1", "_INBOX.x.2",
	}
	queues = []string{"", "", "", "workers", "q"}
	sids   = []string{"1", "2", "3", "17", "x", "longer-id"}
)

func writeSubscription(b *strings.Builder, sub *session.Subscription) {
	if sub == nil {
		b.WriteString("none\n")
		return
	}
	fmt.Fprintf(b, "subject %q, queue %q, sid %q, max %d, given %d\n", sub.Subject, sub.Queue, sub.SID, sub.MaxMessages,
		sub.Delivered)
}

// subscriptionsTranscript makes random calls on the Subscriptions of a session and returns a transcript of the results.
func subscriptionsTranscript(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 21))
	var subs session.Subscriptions
	var b strings.Builder
	for range 20 + rng.IntN(60) {
		sid := []byte(randomElement(rng, sids))
		switch rng.IntN(10) {
		case 0, 1, 2:
			subject, queue := []byte(randomElement(rng, subscriptionPatterns)), []byte(randomElement(rng, queues))
			fmt.Fprintf(&b, "add %q %q %q\n", subject, queue, sid)
			subs.Add(subject, queue, sid)
			overwrite(subject, queue, sid)
		case 3, 4:
			count := rng.IntN(7) - 1
			fmt.Fprintf(&b, "end %q %d\n", sid, count)
			subs.Unsubscribe(sid, count)
			overwrite(sid)
		case 5, 6, 7:
			fmt.Fprintf(&b, "give %q: ", sid)
			fmt.Fprintf(&b, "%t\n", subs.Deliver(sid))
		case 8:
			subject := randomElement(rng, subjects)
			fmt.Fprintf(&b, "for %q: ", subject)
			writeSubscription(&b, subs.Match([]byte(subject)))
		case 9:
			fmt.Fprintf(&b, "all %q\n", subs.AppendSubscribe([]byte("before ")))
		}
		fmt.Fprintf(&b, "length %d, limited %t\n", subs.Len(), subs.HasLimits())
	}
	for _, subject := range subjects {
		fmt.Fprintf(&b, "for %q: ", subject)
		writeSubscription(&b, subs.Match([]byte(subject)))
	}
	fmt.Fprintf(&b, "all %q\nends %q\n", subs.AppendSubscribe(nil), subs.AppendUnsubscribe([]byte("before ")))
	return b.String()
}

func TestSubscriptionDigests(t *testing.T) {
	var transcripts []string
	for seed := range uint64(300) {
		transcripts = append(transcripts, subscriptionsTranscript(seed))
	}
	compareDigests(t, "subscriptions.txt", transcripts)
}

// deduplicatorTranscript passes random messages of two nodes to a Deduplicator and returns a transcript that says which are
// duplicates.
func deduplicatorTranscript(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 22))
	var dedup session.Deduplicator
	var b strings.Builder
	distinctMessages := 1 + rng.IntN(12)
	for range 40 + rng.IntN(80) {
		raw := fmt.Appendf(nil, "MSG a.%d 1 2\r\nhi\r\n", rng.IntN(distinctMessages))
		switch n := rng.IntN(40); {
		case n == 0:
			b.WriteString("end\n")
			dedup.Stop()
		case n <= 2:
			b.WriteString("begin\n")
			dedup.Start()
		case n < 21:
			fmt.Fprintf(&b, "old %q\n", raw)
			dedup.RecordOld(raw)
			overwrite(raw)
		default:
			fmt.Fprintf(&b, "new %q: ", raw)
			fmt.Fprintf(&b, "%t\n", dedup.IsDuplicate(raw))
		}
		fmt.Fprintf(&b, "on %t\n", dedup.Active())
	}
	return b.String()
}

// pendingLimitTranscript returns a transcript of the duplicates that are detected after the old node delivered more messages
// than the Deduplicator counts.
func pendingLimitTranscript() string {
	const maxPendingMessages = 1 << 16
	message := func(i int) []byte { return fmt.Appendf(nil, "MSG a 1 6\r\n%06d\r\n", i) }
	var dedup session.Deduplicator
	var b strings.Builder
	dedup.Start()
	for i := range maxPendingMessages + 8 {
		dedup.RecordOld(message(i))
	}
	for i := maxPendingMessages - 3; i < maxPendingMessages+8; i++ {
		fmt.Fprintf(&b, "new %d: %t\n", i, dedup.IsDuplicate(message(i)))
	}
	for i := range 5 { // only three of them are counted: three duplicates were removed above
		dedup.RecordOld(message(2*maxPendingMessages + i))
	}
	for i := range 5 {
		fmt.Fprintf(&b, "new %d: %t\n", 2*maxPendingMessages+i, dedup.IsDuplicate(message(2*maxPendingMessages+i)))
	}
	for range 4 { // identical messages are counted one by one
		dedup.RecordOld(message(0))
	}
	for range 6 {
		fmt.Fprintf(&b, "new 0: %t\n", dedup.IsDuplicate(message(0)))
	}
	return b.String()
}

func TestDeduplicatorDigests(t *testing.T) {
	var transcripts []string
	for seed := range uint64(300) {
		transcripts = append(transcripts, deduplicatorTranscript(seed))
	}
	compareDigests(t, "overlap.txt", append(transcripts, pendingLimitTranscript()))
}
