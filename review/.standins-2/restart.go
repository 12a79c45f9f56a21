package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	plannerCount = 10
	saveTime     = 600 * time.Millisecond // that a node needs to save a plan
	killAfter    = 150 * time.Millisecond
	saveDeadline = 3 * time.Second
	saveOperator = `(cluster true)
 (session (class "serie-hecha") (key user) (wait "2s"))
 (request (subject "plan.save.*") (class "ajuste-plan") (deadline "3s") (key (token 2)))`
)

// planner is a client that saves plans and checks that each answer is the one to its own request.
type planner struct {
	scene *scene
	user  string

	mu       sync.Mutex
	client   *client
	inbox    string
	asked    map[string]string // body of each request by its reply subject
	answered map[string]bool
	wrong    []string

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
	want := "saved:" + p.asked[m.subject]
	p.scene.record.printf("client %s: answer to %q on %s: %q", p.user, p.asked[m.subject], m.subject, m.body)
	p.answered[m.subject], p.answeredAt[m.subject] = true, time.Now()
	if m.body != want {
		p.wrong = append(p.wrong, fmt.Sprintf("%s asked %q and was answered %q", p.user, p.asked[m.subject], m.body))
	}
}

// ask saves a plan of the client's own.
func (p *planner) ask(number int) { p.askFor(p.user, number) }

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

func save(n *node, m message, answer func(string)) {
	n.cluster.record.printf("node %s: saves %q, reply subject %s", n.name, m.body, m.reply)
	time.Sleep(saveTime)
	n.cluster.record.printf("node %s: saved %q", n.name, m.body)
	answer("saved:" + m.body)
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

// playRestartAnswers kills the balancer while requests are out and starts it again. Clients come again and ask for something
// else. Each answer has to be the one to the client's own request.
func playRestartAnswers(s *scene) ([]string, error) {
	_, err := s.startNodes(5, func(n *node) { n.service, n.servicePrefix = save, "plan.save." })
	if err != nil {
		return nil, err
	}
	if err := s.writeFiles(saveOperator); err != nil {
		return nil, err
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	var planners []*planner
	for i := range plannerCount {
		planners = append(planners, newPlanner(s, i+1))
	}
	if err := connectAll(planners); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	askAll(planners, 1)
	time.Sleep(killAfter)
	if s.trouble {
		s.killBalancer()
		if err := s.startBalancer(); err != nil {
			return nil, err
		}
		rand.Shuffle(len(planners), func(i, j int) { planners[i], planners[j] = planners[j], planners[i] })
		if err := connectAll(planners); err != nil {
			return nil, err
		}
	}
	askAll(planners, 2)
	time.Sleep(saveDeadline + 500*time.Millisecond)
	return judgeAnswers(s, planners)
}

func connectAll(planners []*planner) error {
	for _, p := range planners {
		if err := p.connect(); err != nil {
			return err
		}
	}
	return nil
}

func askAll(planners []*planner, number int) {
	for _, p := range planners {
		p.ask(number)
	}
}

func judgeAnswers(s *scene, planners []*planner) (violations []string, err error) {
	answers := 0
	for _, p := range planners {
		p.mu.Lock()
		answers += len(p.answered)
		violations = append(violations, p.wrong...)
		p.mu.Unlock()
	}
	s.record.printf("%d answers, %d of them foreign", answers, len(violations))
	if answers < plannerCount {
		return nil, fmt.Errorf("only %d answers arrived", answers)
	}
	return violations, nil
}
