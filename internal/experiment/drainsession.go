package experiment

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nats-io/nats.go"
)

const drainWindow = 8 // maximum of requests that a session has in flight

// drainSession is a client that sends requests and records the answers and numbered messages that it receives.
type drainSession struct {
	index                int
	conn                 *nats.Conn
	inFlight             chan struct{} // semaphore that holds an element for each request in flight
	expectsDisconnect    atomic.Bool
	unexpectedDisconnect atomic.Bool // set when the session is disconnected unexpectedly

	mu               sync.Mutex
	answers          []int // by request number: how many answers were received
	gatewayAnswers   int   // number of requests that the gateway answered itself
	receivedMessages []int // numbers of the messages in the order of their arrival
}

func connectDrainSession(addr string, index, maxRequests int) (*drainSession, error) {
	s := &drainSession{index: index, answers: make([]int, maxRequests), inFlight: make(chan struct{}, drainWindow)}
	var err error
	s.conn, err = nats.Connect("nats://"+addr,
		nats.Name(fmt.Sprintf("%s%d", programName, index)), nats.Timeout(5*time.Second),
		nats.ReconnectWait(50*time.Millisecond), nats.MaxReconnects(100),
		nats.DisconnectErrHandler(func(*nats.Conn, error) {
			if !s.expectsDisconnect.Load() {
				s.unexpectedDisconnect.Store(true)
			}
		}))
	if err != nil {
		return nil, err
	}
	if err := s.subscribe(); err != nil {
		s.conn.Close()
		return nil, err
	}
	return s, nil
}

func (s *drainSession) subscribe() error {
	if _, err := s.conn.Subscribe(fmt.Sprintf("answers.%d.*", s.index), s.receiveAnswer); err != nil {
		return err
	}
	if _, err := s.conn.Subscribe(fmt.Sprintf("stream.%d", s.index), s.receiveMessage); err != nil {
		return err
	}
	return s.conn.Flush()
}

func (s *drainSession) receiveMessage(m *nats.Msg) {
	number, _ := strconv.Atoi(string(m.Data)) // the fleet publishes only numbers
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedMessages = append(s.receivedMessages, number)
}

func (s *drainSession) receiveAnswer(m *nats.Msg) {
	request, err := strconv.Atoi(m.Subject[strings.LastIndexByte(m.Subject, '.')+1:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || request >= len(s.answers) {
		return
	}
	s.answers[request]++
	if s.answers[request] > 1 {
		return
	}
	if isGatewayAnswer(m) {
		s.gatewayAnswers++
	}
	<-s.inFlight
}

// isGatewayAnswer reports whether the gateway itself answered a request, because it rejected the request or the request
// failed or timed out.
func isGatewayAnswer(m *nats.Msg) bool { return m.Header.Get("Status") != "" }

// sendRequests sends count requests, numbered from first and evenly spread over a duration. Requests without an answer are
// counted later.
func (s *drainSession) sendRequests(ctx context.Context, first, count int, duration time.Duration) {
	pause := time.NewTicker(max(duration/time.Duration(max(count, 1)), time.Microsecond))
	defer pause.Stop()
	for number := first; number < first+count; number++ {
		select {
		case s.inFlight <- struct{}{}:
		case <-time.After(2 * drainSettle):
			return
		case <-ctx.Done():
			return
		}
		s.sendRequest(number)
		<-pause.C
	}
}

func (s *drainSession) sendRequest(number int) {
	class := "safe"
	if number%5 == 0 {
		class = "unsafe"
	}
	subject := fmt.Sprintf("svc.%s.%d", class, number%97)
	inbox := fmt.Sprintf("answers.%d.%d", s.index, number)
	// A request that can't be published is counted as unanswered.
	_ = s.conn.PublishRequest(subject, inbox, fmt.Appendf(nil, "r%d-%d", s.index, number))
}
