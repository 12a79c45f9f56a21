package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	jobSubject = "plan.recount"
	jobQueue   = "workers"
	jobSID     = "1"
	jobBody    = "recount"

	jobInterval   = time.Second / 1000
	crossingTime  = 6 * time.Millisecond // one way between data centres: 3.4 to 6.2 ms
	drainInterval = 6 * time.Second
	drainCount    = 4
	queueNodes    = 6
	settleTime    = 2 * time.Second

	queueOperator = `(cluster true)
 (session (class "serie-hecha") (key user) (wait "2s"))`
)

// drain has a node announce that it drains, to its clients and in the list. The node goes on to serve its clients.
func (s *scene) drain(n *node) {
	n.enterLameDuck()
	s.discovery.set(n.endpoint("terminating"))
}

// ledger counts the jobs that nodes gave to sessions and those that clients got.
type ledger struct {
	mu    sync.Mutex
	given []gift
	moves []gift // when the subscription of a session took effect at a node
	got   int
}

// gift is a job that a node gave to a session.
type gift struct {
	at   time.Time
	node *node
	user string
}

func (l *ledger) give(n *node, user string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given = append(l.given, gift{time.Now(), n, user})
}

func (l *ledger) subscribe(n *node, user string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moves = append(l.moves, gift{time.Now(), n, user})
}

func (l *ledger) receive(message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.got++
}

// openCase returns how many jobs may have been lost by the case that docs/design/nats.md leaves open: a message that the
// old node alone had, in the instant before the new subscription took effect, hides an equal one that only the new node had
// within the same instant. The instant begins when a job can be on its way that meets the handshake at the gateway, and ends
// when the gateway has the new node's confirmation.
func (l *ledger) openCase() (count int) {
	const ownTime = 2 * time.Millisecond // that the processes themselves may take
	for _, move := range l.moves {
		begin, end := move.at.Add(-2*crossingTime-ownTime), move.at.Add(crossingTime+ownTime)
		atOld, atNew := 0, 0
		for _, g := range l.given {
			switch {
			case g.user != move.user, g.at.Before(begin), g.at.After(end):
			case g.node == move.node:
				atNew++
			case g.at.Before(move.at):
				atOld++
			}
		}
		count += min(atOld, atNew)
	}
	return count
}

// playQueueDrain drains one node after another while equal jobs go to the workers of a queue group. Each job that a node
// gives to a session has to reach its client.
func playQueueDrain(s *scene) ([]string, error) {
	nodes, err := s.startNodes(queueNodes, func(n *node) { n.oneWay = crossingTime })
	if err != nil {
		return nil, err
	}
	if err := s.writeFiles(queueOperator); err != nil {
		return nil, err
	}
	l := &ledger{}
	s.nodes.routed = func(n *node, user, _ string, _ message) { l.give(n, user) }
	s.nodes.subscribed = func(n *node, user, subject string) {
		s.record.printf("node %s: %s subscribed to %s", n.name, user, subject)
		l.subscribe(n, user)
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	for _, user := range []string{"ward1", "ward2", "ward3", "ward4", "ward5", "ward6"} {
		c, err := s.connect(user)
		if err != nil {
			return nil, err
		}
		if err := c.subscribe(jobSubject, jobQueue, jobSID, l.receive); err != nil {
			return nil, err
		}
	}
	stop := s.publishJobs()
	for range drainCount {
		time.Sleep(drainInterval)
		if s.trouble {
			s.drain(s.nodes.holders(jobSubject)["ward1"])
		}
	}
	time.Sleep(drainInterval)
	published, unserved := stop()
	time.Sleep(settleTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, open := len(l.given)-l.got, l.openCase()
	s.record.printf("%d nodes, %d jobs published, %d without a member, %d given to sessions, %d got by clients, %d lost, "+
		"at most %d by the open case", len(nodes), published, unserved, len(l.given), l.got, lost, open)
	if lost > open {
		return []string{fmt.Sprintf("%d of %d jobs were lost at the gateway, at most %d by the open case", lost, len(l.given), open)}, nil
	}
	if lost < 0 {
		return []string{fmt.Sprintf("clients got %d jobs more than nodes gave", -lost)}, nil
	}
	return nil, nil
}

// publishJobs publishes jobs as an application at the cluster until stop is called, which returns how many there were and
// how many of them had no receiver.
func (s *scene) publishJobs() (stop func() (published, unserved int)) {
	end, ended := make(chan struct{}), make(chan struct{})
	published, unserved := 0, 0
	go func() {
		defer close(ended)
		for next := time.Now(); ; next = next.Add(jobInterval) {
			time.Sleep(time.Until(next))
			select {
			case <-end:
				return
			default:
			}
			published++
			if s.nodes.publish(message{subject: jobSubject, body: jobBody}) == 0 {
				unserved++
			}
		}
	}()
	return func() (int, int) {
		close(end)
		<-ended
		return published, unserved
	}
}
