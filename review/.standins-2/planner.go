package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// failedRequest is a request that was answered with a status of the balancer's.
type failedRequest struct{ body, answer string }

// planner is a client that saves plans. It notes when each request was sent and answered, and with what.
type planner struct {
	scene *scene
	user  string

	mu       sync.Mutex
	client   *client
	inbox    string
	asked    map[string]string // body of each request by its reply subject
	answered map[string]bool
	failed   []failedRequest

	order               []string // the reply subjects, in the order of the requests
	askedAt, answeredAt map[string]time.Time
}

func newPlanner(s *scene, i int) *planner {
	return &planner{
		scene: s, user: fmt.Sprintf("patient%02d", i), asked: map[string]string{}, answered: map[string]bool{},
		askedAt: map[string]time.Time{}, answeredAt: map[string]time.Time{},
	}
}

// connect connects with an inbox of its own, as client libraries do.
func (p *planner) connect() error {
	c, err := p.scene.connect(p.user)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.client, p.inbox = c, fmt.Sprintf("_INBOX.%016x", rand.Uint64())
	inbox := p.inbox
	p.mu.Unlock()
	return c.subscribe(inbox+".*", "", "1", p.receive)
}

func (p *planner) receive(m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scene.record.printf("client %s: answer to %q on %s: %q", p.user, p.asked[m.subject], m.subject, m.body)
	p.answered[m.subject], p.answeredAt[m.subject] = true, time.Now()
	if strings.HasPrefix(m.body, "NATS/1.0 ") {
		p.failed = append(p.failed, failedRequest{p.asked[m.subject], strings.TrimSpace(m.body)})
	}
}

// askFor saves a plan of a patient.
func (p *planner) askFor(patient string, number int) {
	p.mu.Lock()
	reply := fmt.Sprintf("%s.%d", p.inbox, number)
	body := fmt.Sprintf("%s plan %d", patient, number)
	p.asked[reply], p.askedAt[reply], p.order = body, time.Now(), append(p.order, reply)
	c := p.client
	p.mu.Unlock()
	p.scene.record.printf("client %s: asks %q on %s", p.user, body, reply)
	c.publish("plan.save."+patient, reply, body)
}

// startNodes starts nodes and lists them.
func (s *scene) startNodes(count int, configure func(*node)) ([]*node, error) {
	var nodes []*node
	for i := range count {
		n, err := s.nodes.start(fmt.Sprintf("s-%08x", i+1), configure)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		s.discovery.set(n.endpoint("in_service"))
	}
	return nodes, nil
}

func connectAll(planners []*planner) error {
	for _, p := range planners {
		if err := p.connect(); err != nil {
			return err
		}
	}
	return nil
}
