package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	printSubject  = "plan.print"
	printInterval = 20 * time.Millisecond
	printsBefore  = 5  // jobs that the first worker has got when it sets its limit
	printLimit    = 10 // jobs after which its subscription ends, counted from its beginning
	printPhase    = 3 * time.Second
	maxUsers      = 50
)

// printer is a worker that notes the jobs that it has got.
type printer struct {
	client *client
	mu     sync.Mutex
	jobs   []string
}

func (p *printer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.jobs)
}

// receive notes a job. The first worker sets its limit after some jobs and ends its part once the limit is reached, as client
// libraries do.
func (p *printer) receive(m message, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs = append(p.jobs, m.body)
	p.client.record.printf("client %s: got job %s", p.client.user, m.body)
	switch {
	case limited && len(p.jobs) == printsBefore:
		p.client.send(fmt.Sprintf("UNSUB %s %d\r\n", jobSID, printLimit))
	case limited && len(p.jobs) == printLimit:
		p.client.record.printf("client %s: its subscription has ended", p.client.user)
		go p.client.forget(jobSID)
	}
}

func (s *scene) startPrinter(user string, limited bool) (*printer, error) {
	c, err := s.connect(user)
	if err != nil {
		return nil, err
	}
	p := &printer{client: c}
	return p, c.subscribe(printSubject, jobQueue, jobSID, func(m message) { p.receive(m, limited) })
}

// playEndedDrain has a worker of a queue group end its subscription after its tenth job. The node of its session drains then.
// Each job has to reach a worker that still takes jobs.
func playEndedDrain(s *scene) ([]string, error) {
	if _, err := s.startNodes(5, nil); err != nil {
		return nil, err
	}
	if err := s.writeFiles(queueOperator); err != nil {
		return nil, err
	}
	s.nodes.routed = func(n *node, user, sid string, m message) {
		s.record.printf("node %s: gives job %s to %s, subscription %s", n.name, m.body, user, sid)
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	first, err := s.startPrinter("ward1", true)
	if err != nil {
		return nil, err
	}
	firstNode := s.nodes.holders(printSubject)["ward1"]
	second, err := s.startPrinterElsewhere(firstNode)
	if err != nil {
		return nil, err
	}
	published := s.publishPrints(0, printPhase)
	if first.count() != printLimit {
		return nil, fmt.Errorf("the first worker got %d jobs before the drain", first.count())
	}
	if s.trouble {
		s.drain(firstNode)
	}
	published = s.publishPrints(published, printPhase)
	time.Sleep(settleTime)
	return s.judgePrints(published, first, second)
}

// startPrinterElsewhere starts the second worker at another node.
func (s *scene) startPrinterElsewhere(other *node) (*printer, error) {
	for i := 2; i < maxUsers; i++ {
		user := fmt.Sprint("ward", i)
		p, err := s.startPrinter(user, false)
		if err != nil {
			return nil, err
		}
		if s.nodes.holders(printSubject)[user] != other {
			return p, nil
		}
		p.client.close()
		time.Sleep(200 * time.Millisecond)
	}
	return nil, errors.New("all sessions are at one node")
}

func (s *scene) publishPrints(published int, span time.Duration) int {
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(printInterval) {
		published++
		s.nodes.publish(message{subject: printSubject, body: fmt.Sprint(published)})
	}
	return published
}

func (s *scene) judgePrints(published int, workers ...*printer) (violations []string, err error) {
	got := map[string]int{}
	for _, w := range workers {
		w.mu.Lock()
		for _, job := range w.jobs {
			got[job]++
		}
		w.mu.Unlock()
		w.client.mu.Lock()
		s.record.printf("client %s: %d messages to a subscription that had ended", w.client.user, w.client.unknown)
		w.client.mu.Unlock()
	}
	for i := 1; i <= published; i++ {
		if n := got[fmt.Sprint(i)]; n != 1 {
			violations = append(violations, fmt.Sprintf("job %d of %d was got %d times", i, published, n))
		}
	}
	return violations, nil
}
