package experiment

import (
	"errors"
	"fmt"

	"example.org/milletvane/internal/fakeserver"
)

const drainMaxAttempts = 5 // max_attempts of natsSettings

// drainResult is the result of nats-drain, from what the clients and the nodes recorded.
type drainResult struct {
	Seed        uint64 `json:"seed"`
	Nodes       int    `json:"nodes"`
	Sessions    int    `json:"sessions"`
	Asked       int    `json:"asked"`
	Once        int    `json:"answered_once"`
	Twice       int    `json:"answered_twice"`
	Unanswered  int    `json:"unanswered"`
	ByNode      int    `json:"answered_by_node"`
	ByGateway   int    `json:"answered_by_gateway"` // rejected, failed or timed out
	MaxAttempts int    `json:"attempts_most"`
	Overlapping int    `json:"attempts_overlapping"`
	Late        int    `json:"sends_late"`
	Sent        int    `json:"messages_sent"`
	LostExcused int    `json:"messages_lost"` // that a killed or hung node had to deliver
	LostOther   int    `json:"messages_lost_other"`
	Doubled     int    `json:"messages_doubled"`
	Misordered  int    `json:"messages_misordered"`
	Cut         int    `json:"sessions_cut"`
	Reconnected int    `json:"sessions_reconnected"` // of the sessions that were made to reconnect
	Seconds     int    `json:"seconds"`
}

// faults returns an error for each figure that is outside its allowed range.
func (r *drainResult) faults() error {
	var errs []error
	check := func(ok bool, field string, n int) {
		if !ok {
			errs = append(errs, fmt.Errorf("unexpected result: %s is %d", field, n))
		}
	}
	check(r.Once == r.Asked, "answered_once", r.Once)
	check(r.Twice == 0, "answered_twice", r.Twice)
	check(r.Unanswered == 0, "unanswered", r.Unanswered)
	check(r.MaxAttempts <= drainMaxAttempts, "attempts_most", r.MaxAttempts)
	check(r.Overlapping == 0, "attempts_overlapping", r.Overlapping)
	check(r.Late == 0, "sends_late", r.Late)
	check(r.LostOther == 0, "messages_lost_other", r.LostOther)
	check(r.Doubled == 0, "messages_doubled", r.Doubled)
	check(r.Misordered == 0, "messages_misordered", r.Misordered)
	check(r.Cut == 0, "sessions_cut", r.Cut)
	return errors.Join(errs...)
}

// addAnswers counts the answers to the first requests of a session; requests is their number.
func (r *drainResult) addAnswers(s *drainSession, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, answers := range s.answers[:requests] {
		switch answers {
		case 0:
			r.Unanswered++
		case 1:
			r.Once++
		default:
			r.Twice++
		}
	}
	r.ByGateway += s.gatewayAnswers
	if s.unexpectedDisconnect.Load() {
		r.Cut++
	}
}

// addStream compares the numbered messages that a session received with those that were published.
func (r *drainResult) addStream(s *drainSession, cluster *fakeserver.NATSCluster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := cluster.StreamLength(s.index)
	r.Sent += sent
	received := make([]int, sent)
	last := -1
	for _, number := range s.receivedMessages {
		received[number]++
		if received[number] > 1 {
			r.Doubled++
		} else if number < last {
			r.Misordered++
		}
		last = max(last, number)
	}
	for number, count := range received {
		switch {
		case count > 0:
		case cluster.LossExcused(s.index, number):
			r.LostExcused++
		default:
			r.LostOther++
		}
	}
}
