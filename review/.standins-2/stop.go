package main

import (
	"fmt"
	"time"
)

const (
	stopWorkers = 6
	stopPhase   = 5 * time.Second
)

// playPlannedStop stops the balancer as a planned restart does while jobs go to the workers of a queue group. Each job that a
// node gives to a session has to reach its client before the connection ends.
func playPlannedStop(s *scene) ([]string, error) {
	if _, err := s.startNodes(5, func(n *node) { n.oneWay = crossingTime }); err != nil {
		return nil, err
	}
	if err := s.writeFiles(queueOperator); err != nil {
		return nil, err
	}
	l := &ledger{}
	s.nodes.routed = func(n *node, user, _ string, _ message) { l.give(n, user) }
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	workers, err := s.startWorkers(l)
	if err != nil {
		return nil, err
	}
	stop := s.publishJobs()
	time.Sleep(stopPhase)
	if s.trouble {
		if err := s.stopBalancer(); err != nil {
			return nil, err
		}
	}
	published, unserved := stop()
	time.Sleep(settleTime)
	for _, w := range workers {
		select {
		case <-w.ended:
			s.record.printf("client %s: its connection was ended in order: %t", w.user, w.orderly)
		default:
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := len(l.given) - l.got
	s.record.printf("%d jobs published, %d without a member, %d given to sessions, %d got by clients, %d lost",
		published, unserved, len(l.given), l.got, lost)
	if lost != 0 {
		return []string{fmt.Sprintf("%d of %d jobs that nodes gave to sessions did not reach their clients", lost, len(l.given))}, nil
	}
	return nil, nil
}

// startWorkers starts the members of the queue group.
func (s *scene) startWorkers(l *ledger) (workers []*client, err error) {
	for i := range stopWorkers {
		c, err := s.connect(fmt.Sprint("ward", i+1))
		if err != nil {
			return nil, err
		}
		if err := c.subscribe(jobSubject, jobQueue, jobSID, l.receive); err != nil {
			return nil, err
		}
		workers = append(workers, c)
	}
	return workers, nil
}
