package upstream

import (
	"net"
	"testing"
	"time"

	"example.org/milletvane/internal/reactor"
)

type discardHandler struct{}

func (discardHandler) OnOpen(*reactor.Conn, error)          {}
func (discardHandler) OnData(_ *reactor.Conn, b []byte) int { return len(b) }
func (discardHandler) OnEnd(*reactor.Conn, error)           {}

// startedAttempt returns an attempt that dials a listener of the test.
func startedAttempt(t *testing.T) *Attempt {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	group, err := reactor.New(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	attempt := &Attempt{}
	attempt.Start(func() *reactor.Conn {
		return group.Dial(listener.Addr().String(), time.Minute, discardHandler{}, nil)
	})
	return attempt
}

func TestCancelEndsOnlyWhatIsNotEstablished(t *testing.T) {
	for _, test := range []struct {
		name   string
		phase  Phase
		cancel bool
	}{
		{"dialing", Dialing, true},
		{"pending", Pending, true},
		{"established", Established, false},
		{"ended", Ended, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			attempt := startedAttempt(t)
			attempt.Transition(Dialing, test.phase)
			if got := attempt.Cancel(); got != test.cancel {
				t.Errorf("Cancel() = %v, want %v", got, test.cancel)
			}
			if got := attempt.Conn().Closed(); got != test.cancel {
				t.Errorf("after Cancel the connection is closed: %v, want %v", got, test.cancel)
			}
			want := test.phase
			if test.cancel {
				want = Ended
			}
			if got := attempt.Finish(); got != want {
				t.Errorf("Finish() = %v, want %v", got, want)
			}
			if attempt.Transition(test.phase, Established) && test.phase != Ended {
				t.Errorf("Transition from phase %v after Finish succeeded, want false", test.phase)
			}
		})
	}
}

func TestResponseTimeIsThatOfTheOldestRequest(t *testing.T) {
	attempt := startedAttempt(t)
	if got := attempt.ResponseReceived(); got != 0 {
		t.Errorf("without a request ResponseReceived() = %v, want 0", got)
	}
	const wait = 5 * time.Millisecond
	attempt.RequestSent()
	time.Sleep(wait)
	attempt.RequestSent()
	if got := attempt.UnansweredFor(); got < wait-time.Nanosecond {
		t.Errorf("UnansweredFor() = %v, want %v or more", got, wait)
	}
	if got := attempt.ResponseReceived(); got < wait-time.Nanosecond {
		t.Errorf("ResponseReceived() = %v, want %v or more", got, wait)
	}
	if got := attempt.UnansweredFor(); got != 0 {
		t.Errorf("after the response UnansweredFor() = %v, want 0", got)
	}
}

func TestRestartedResponseTimerCountsFromNow(t *testing.T) {
	attempt := startedAttempt(t)
	attempt.RequestSent()
	time.Sleep(5 * time.Millisecond)
	before := attempt.UnansweredFor()
	attempt.RestartResponseTimer()
	if sent := time.Duration(attempt.sentAt.Load()); sent < before {
		t.Errorf("the request counts as sent %v after the start, want %v or more", sent, before)
	}
}
