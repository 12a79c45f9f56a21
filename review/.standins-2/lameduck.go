package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	lameInterval  = 50 * time.Millisecond
	lameSaveTime  = 200 * time.Millisecond
	lameGrace     = 550 * time.Millisecond // the drain's 500 ms, and the 50 ms by which time limits on sockets are longer
	lameStopAfter = 3 * time.Second        // a drain lasts 2 to 6 s
	lameListAfter = 4 * time.Second        // the list comes seconds late
	lamePhase     = 6 * time.Second
	maxPatients   = 100
	firstNumber   = 1000 // of the requests behind those that find a patient
)

// visits notes what nodes have been sent.
type visits struct {
	mu   sync.Mutex
	last map[string]*node // node of the last request for a patient
	// saveTime is the time that a node needs for a request.
	saveTime time.Duration
	late     []string
	lame     map[*node]time.Time // when a node announced that it drains
}

// playLameDuck has a node announce that it drains on all its connections. Nothing new may go there later than the grace.
func playLameDuck(s *scene) ([]string, error) {
	v := &visits{last: map[string]*node{}, lame: map[*node]time.Time{}, saveTime: lameSaveTime}
	_, err := s.startNodes(5, func(n *node) { n.servicePrefix, n.service = "plan.save.", v.serve })
	if err != nil {
		return nil, err
	}
	// The class of the requests may not be repeated, so that a request that dies with its node is lost.
	s.settings = strings.Replace(s.settings, `"ajuste-plan","effect":"idempotent"`, `"ajuste-plan","effect":"at_most_once"`, 1)
	if err := s.writeFiles(saveOperator); err != nil {
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
	s.record.printf("requests for %s go to node %s, the session is elsewhere", patient, target.name)
	stopped := make(chan struct{})
	if s.trouble {
		go func() {
			defer close(stopped)
			v.mu.Lock()
			v.lame[target] = time.Now()
			v.mu.Unlock()
			target.enterLameDuck()
			time.Sleep(lameStopAfter)
			s.record.printf("node %s: ends", target.name)
			target.stop()
			time.Sleep(lameListAfter - lameStopAfter)
			s.discovery.set(target.endpoint("terminating"))
		}()
	} else {
		close(stopped)
	}
	number := firstNumber
	for until := time.Now().Add(lamePhase); time.Now().Before(until); time.Sleep(lameInterval) {
		number++
		p.askFor(patient, number)
	}
	<-stopped
	time.Sleep(settleTime)
	v.mu.Lock()
	defer v.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := 0
	for _, w := range p.wrong {
		if strings.Contains(w, "NATS/1.0 5") || strings.Contains(w, "NATS/1.0 4") {
			failed++
		}
	}
	s.record.printf("%d requests, %d answered, %d of them not saved, %d sent to the draining node too late",
		len(p.asked), len(p.answered), failed, len(v.late))
	return v.late, nil
}

func (v *visits) serve(n *node, m message, answer func(string)) {
	n.cluster.record.printf("node %s: request %q", n.name, m.body)
	v.mu.Lock()
	v.last[m.subject] = n
	if at, draining := v.lame[n]; draining && time.Since(at) > lameGrace {
		v.late = append(v.late, fmt.Sprintf("request %q reached node %s %v after it had announced that it drains",
			m.body, n.name, time.Since(at).Round(time.Millisecond)))
	}
	v.mu.Unlock()
	time.Sleep(v.saveTime)
	answer("saved:" + m.body)
}

// findPatient returns a patient whose requests go to another node than the session's.
func (v *visits) findPatient(s *scene, p *planner) (string, *node, error) {
	home := s.nodes.holders(p.inbox + ".1")[p.user]
	for i := range maxPatients {
		patient := fmt.Sprintf("patient%02d", i)
		p.askFor(patient, i)
		time.Sleep(v.saveTime + 100*time.Millisecond)
		v.mu.Lock()
		n := v.last["plan.save."+patient]
		v.mu.Unlock()
		if n != nil && n != home {
			return patient, n, nil
		}
	}
	return "", nil, errors.New("all requests go to the session's node")
}
