package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	hangInterval = 100 * time.Millisecond
	hangSaveTime = 20 * time.Millisecond
	maxPatients  = 100
	firstNumber  = 1000 // of the requests behind those that find a patient
	hangPhase    = 12 * time.Second
	// hangLimit is the deadline of the class, the half second after it in which an answer earns nothing and is not lost yet,
	// and the 50 ms by which time limits on sockets are longer.
	hangLimit    = 800*time.Millisecond + 500*time.Millisecond + 50*time.Millisecond
	hangOperator = `(cluster true)
 (session (class "serie-hecha") (key user) (wait "2s"))
 (request (subject "plan.save.*") (class "ajuste-plan") (deadline "800ms") (key (token 2)))`
)

// hang makes a node stop: it reads on and answers nothing. Its connections stay open.
func (n *node) hang() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.hung = true
	n.cluster.record.printf("node %s: hangs", n.name)
}

// playHungNode has the node of a session hang. The client's requests belong to another node, which is well. Each has to be
// answered in its time.
func playHungNode(s *scene) ([]string, error) {
	v := &visits{last: map[string]*node{}}
	_, err := s.startNodes(5, func(n *node) { n.servicePrefix, n.service = "plan.save.", v.serve })
	if err != nil {
		return nil, err
	}
	if err := s.writeFiles(hangOperator); err != nil {
		return nil, err
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	p := newPlanner(s, 1)
	if err := p.connect(); err != nil {
		return nil, err
	}
	patient, target, err := v.findPatient(s, p)
	if err != nil {
		return nil, err
	}
	home := s.nodes.holders(p.inbox + ".1")[p.user]
	s.record.printf("the session is at node %s, requests for %s go to node %s", home.name, patient, target.name)
	if s.trouble {
		home.hang()
	}
	number := firstNumber
	for until := time.Now().Add(hangPhase); time.Now().Before(until); time.Sleep(hangInterval) {
		number++
		p.askFor(patient, number)
	}
	time.Sleep(hangLimit + time.Second)
	return p.lateAnswers(), nil
}

// lateAnswers returns the requests that were not answered in time.
func (p *planner) lateAnswers() (violations []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.order {
		asked, answered := p.askedAt[r], p.answeredAt[r]
		switch {
		case answered.IsZero():
			violations = append(violations, fmt.Sprintf("request %q was never answered", p.asked[r]))
		case answered.Sub(asked) > hangLimit:
			violations = append(violations, fmt.Sprintf("request %q was answered after %v, its deadline is 800 ms",
				p.asked[r], answered.Sub(asked).Round(time.Millisecond)))
		}
	}
	p.scene.record.printf("%d requests, %d answered, %d late or never", len(p.asked), len(p.answered), len(violations))
	return violations
}

// visits notes which node the last request for a patient was sent to.
type visits struct {
	mu   sync.Mutex
	last map[string]*node
}

func (v *visits) serve(n *node, m message, answer func(string)) {
	n.cluster.record.printf("node %s: request %q", n.name, m.body)
	v.mu.Lock()
	v.last[m.subject] = n
	v.mu.Unlock()
	time.Sleep(hangSaveTime)
	answer("saved:" + m.body)
}

// findPatient returns a patient whose requests go to another node than the session's.
func (v *visits) findPatient(s *scene, p *planner) (string, *node, error) {
	home := s.nodes.holders(p.inbox + ".1")[p.user]
	for i := range maxPatients {
		patient := fmt.Sprintf("patient%02d", i)
		p.askFor(patient, i)
		time.Sleep(hangSaveTime + 100*time.Millisecond)
		v.mu.Lock()
		n := v.last["plan.save."+patient]
		v.mu.Unlock()
		if n != nil && n != home {
			return patient, n, nil
		}
	}
	return "", nil, errors.New("all requests go to the session's node")
}
