package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	tickSubject   = "plan.sync"
	tickBody      = "sync"
	tickInterval  = 10 * time.Millisecond
	fullSetupTime = 30 * time.Millisecond
	fullFor       = time.Second
	fullPhase     = 8 * time.Second
)

// playFullDrain drains the node of a session while all other nodes are full for a second. Each message that was published
// has to reach the client once.
func playFullDrain(s *scene) ([]string, error) {
	nodes, err := s.startNodes(5, func(n *node) { n.setupTime = fullSetupTime })
	if err != nil {
		return nil, err
	}
	if err := s.writeFiles(queueOperator); err != nil {
		return nil, err
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	c, err := s.connect("ward1")
	if err != nil {
		return nil, err
	}
	l := &ledger{}
	if err := c.subscribe(tickSubject, "", jobSID, l.receive); err != nil {
		return nil, err
	}
	home := s.nodes.holders(tickSubject)["ward1"]
	others := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n == home })
	s.nodes.setFull(others, true)
	stop := make(chan struct{})
	published := make(chan int)
	go func() { published <- s.publishTicks(stop) }()
	time.Sleep(time.Second)
	if s.trouble {
		s.drain(home)
	}
	time.Sleep(fullFor)
	s.nodes.setFull(others, false)
	time.Sleep(fullPhase)
	close(stop)
	count := <-published
	time.Sleep(settleTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.record.printf("%d messages published, %d got by the client", count, l.got)
	select {
	case <-c.ended:
		return nil, fmt.Errorf("the client's connection has ended")
	default:
	}
	if l.got != count {
		return []string{fmt.Sprintf("%d messages were published, and the client got %d", count, l.got)}, nil
	}
	return nil, nil
}

// publishTicks publishes equal messages until stop is closed, and returns their number.
func (s *scene) publishTicks(stop <-chan struct{}) (count int) {
	for next := time.Now(); ; next = next.Add(tickInterval) {
		time.Sleep(time.Until(next))
		select {
		case <-stop:
			return count
		default:
		}
		s.nodes.publish(message{subject: tickSubject, body: tickBody})
		count++
	}
}
