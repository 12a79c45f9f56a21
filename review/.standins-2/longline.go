package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	maxControlLine = 4096 // of the nodes, the reference server's
	savers         = 6
	saverInterval  = 100 * time.Millisecond
	saverTime      = 200 * time.Millisecond
	saverPhase     = 6 * time.Second
	longAfter      = 2 * time.Second
	longInterval   = time.Second
	longCount      = 3
	longWait       = 3500 * time.Millisecond // the requests' deadline, and some more

	longOperator = `(cluster true)
 (session (class "serie-hecha") (wait "2s"))
 (request (subject "plan.save.*") (class "ajuste-plan") (deadline "3s") (key (token 2)))
 (request (subject "plan.read.*") (class "informe-alta") (deadline "3s") (key (token 2)))`
)

// saved notes which requests a node has worked off.
type saved struct {
	mu     sync.Mutex
	bodies map[string]string // the node by the request's body
}

func (v *saved) serve(n *node, m message, answer func(string)) {
	time.Sleep(saverTime)
	v.mu.Lock()
	v.bodies[m.body] = n.name
	v.mu.Unlock()
	answer("saved:" + m.body)
}

// playLongLine has one client ask with a subject that just fits into a line. The requests of the others must not fail by it.
func playLongLine(s *scene) ([]string, error) {
	v := &saved{bodies: map[string]string{}}
	_, err := s.startNodes(5, func(n *node) { n.servicePrefix, n.service = "plan.", v.serve })
	if err != nil {
		return nil, err
	}
	// The class may not be repeated: a request whose answer is dropped has failed for its client, though it has run.
	s.settings = strings.Replace(s.settings, `"ajuste-plan","effect":"idempotent"`, `"ajuste-plan","effect":"at_most_once"`, 1)
	if err := s.writeFiles(longOperator); err != nil {
		return nil, err
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	s.account = "app" // all clients are instances of one application
	var planners []*planner
	for i := range savers {
		planners = append(planners, newPlanner(s, i+1))
	}
	if err := connectAll(planners); err != nil {
		return nil, err
	}
	var all sync.WaitGroup
	if s.trouble {
		all.Go(func() { s.askLong() })
	}
	number := firstNumber
	for until := time.Now().Add(saverPhase); time.Now().Before(until); time.Sleep(saverInterval) {
		number++
		for _, p := range planners {
			p.askFor(fmt.Sprint(p.user, "-", number), number)
		}
	}
	all.Wait()
	time.Sleep(longWait)
	return v.judge(s, planners), nil
}

// askLong asks with lines of the greatest length that a client may send.
func (s *scene) askLong() {
	time.Sleep(longAfter)
	c, err := s.connect("longline")
	if err != nil {
		s.record.printf("client longline: %v", err)
		return
	}
	defer c.close()
	answers := func(m message) { s.record.printf("client longline: answer %.60q", m.body) }
	if err := c.subscribe("r", "", "1", answers); err != nil {
		s.record.printf("client longline: %v", err)
		return
	}
	const head, tail = "PUB plan.read.", " r 2"
	subject := "plan.read." + strings.Repeat("p", maxControlLine-len(head)-len(tail))
	for range longCount {
		s.record.printf("client longline: asks with a line of %d bytes", len("PUB ")+len(subject)+len(tail))
		c.publish(subject, "r", "ok")
		time.Sleep(longInterval)
	}
}

// judge returns the requests that a node has worked off and whose client was told that they have failed.
func (v *saved) judge(s *scene, planners []*planner) (violations []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	asked, failed := 0, 0
	for _, p := range planners {
		p.mu.Lock()
		asked += len(p.asked)
		for _, w := range p.failed {
			failed++
			if node := v.bodies[w.body]; node != "" {
				violations = append(violations, fmt.Sprintf("request %q was worked off by node %s, and its client was answered %q",
					w.body, node, w.answer))
			}
		}
		p.mu.Unlock()
	}
	s.record.printf("%d requests of the other clients, %d failed, %d of them worked off", asked, failed, len(violations))
	return violations
}
