package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// message is a published message.
type message struct{ subject, reply, body string }

// cluster is a set of NATS nodes that pass messages on to each other. A message goes to every subscription that fits, and to
// one member of each queue group, drawn at random. Its lock guards the state of all nodes.
type cluster struct {
	record *record
	mu     sync.Mutex
	nodes  []*node
	// routed is called with the lock held for each message that is given to a subscription at a node.
	routed func(n *node, user, sid string, m message)
	// subscribed is called with the lock held for each SUB.
	subscribed func(n *node, user, subject string)
}

// node is a NATS node with its services. Its fields are guarded by the cluster's lock once it has started.
type node struct {
	name     string
	cluster  *cluster
	listener net.Listener
	conns    map[*nodeConn]struct{}
	closing  bool

	hung     bool // nothing is answered
	lameDuck bool
	oneWay   time.Duration // time that bytes need to the node or from it
	// service answers messages to a subject of its prefix. It is called without the lock; answer may be called at any time.
	service       func(n *node, m message, answer func(body string))
	servicePrefix string
}

// nodeConn is a connection to a node.
type nodeConn struct {
	node   *node
	socket net.Conn
	user   string
	notify bool // the peer knows headers and wants to be told that a request has no receiver
	subs   map[string]*subscription
	out    chan timedBytes
	closed bool
}

// subscription counts from its SUB on, as the reference server does: it ends once it has had max messages.
type subscription struct {
	subject, queue string
	max, had       int
}

type timedBytes struct {
	due  time.Time
	data []byte
}

const queueLength = 1 << 16

func (c *cluster) start(name string, configure func(*node)) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, cluster: c, listener: l, conns: map[*nodeConn]struct{}{}}
	if configure != nil {
		configure(n)
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	go n.accept()
	return n, nil
}

func (n *node) endpoint(state string) endpoint {
	return endpoint{ID: n.name, Addr: n.listener.Addr().String(), Zone: "santander", Kind: "nuevo", State: state, Weight: 1}
}

func (c *cluster) close() {
	c.mu.Lock()
	nodes := append([]*node{}, c.nodes...)
	c.mu.Unlock()
	for _, n := range nodes {
		n.stop()
	}
}

// stop ends the node: its connections are closed.
func (n *node) stop() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.closing {
		return
	}
	n.closing = true
	_ = n.listener.Close()
	for c := range n.conns {
		_ = c.socket.Close()
	}
}

func (n *node) info() string {
	ldm := ""
	if n.lameDuck {
		ldm = `,"ldm":true`
	}
	return fmt.Sprintf(`INFO {"server_id":"%s","server_name":"%s","version":"2.10.0","headers":true,"max_payload":1048576,"proto":1%s}`,
		n.name, n.name, ldm) + "\r\n"
}

// enterLameDuck announces to all connections that the node drains. It goes on to serve them.
func (n *node) enterLameDuck() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.lameDuck = true
	n.cluster.record.printf("node %s: lame duck mode, announced to %d connections", n.name, len(n.conns))
	for c := range n.conns {
		c.push(n.info())
	}
}

func (n *node) accept() {
	for {
		socket, err := n.listener.Accept()
		if err != nil {
			return
		}
		c := &nodeConn{node: n, socket: socket, subs: map[string]*subscription{}, out: make(chan timedBytes, queueLength)}
		n.cluster.mu.Lock()
		n.conns[c] = struct{}{}
		c.push(n.info())
		n.cluster.mu.Unlock()
		go c.write()
		go c.read()
	}
}

// push queues a frame. The caller holds the lock.
func (c *nodeConn) push(frame string) {
	if !c.closed && !c.node.hung {
		c.out <- timedBytes{time.Now().Add(c.node.oneWay), []byte(frame)}
	}
}

func (c *nodeConn) write() {
	for item := range c.out {
		time.Sleep(time.Until(item.due))
		if item.data == nil {
			_ = c.socket.Close()
			return
		}
		if _, err := c.socket.Write(item.data); err != nil {
			return
		}
	}
}

// frame is a frame of the peer, with the time at which it arrived.
type frame struct {
	due        time.Time
	line, body string
}

func (c *nodeConn) read() {
	frames := make(chan frame, queueLength)
	go c.handleAll(frames)
	defer close(frames)
	reader := bufio.NewReader(c.socket)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		f := frame{line: strings.TrimRight(line, "\r\n")}
		if len(f.line) > maxControlLine {
			c.refuse("Maximum Control Line Exceeded")
			return
		}
		if op, _, _ := strings.Cut(f.line, " "); op == "PUB" || op == "HPUB" {
			fields := strings.Fields(f.line)
			size, _ := strconv.Atoi(fields[len(fields)-1])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
			f.body = string(body[:size])
		}
		f.due = time.Now().Add(c.node.oneWay)
		frames <- f
	}
}

func (c *nodeConn) handleAll(frames <-chan frame) {
	for f := range frames {
		time.Sleep(time.Until(f.due))
		c.node.cluster.mu.Lock()
		c.handle(f)
		c.node.cluster.mu.Unlock()
	}
	c.node.cluster.mu.Lock()
	defer c.node.cluster.mu.Unlock()
	c.end()
}

func (c *nodeConn) end() {
	if !c.closed {
		c.closed = true
		close(c.out)
		_ = c.socket.Close()
		delete(c.node.conns, c)
	}
}

// handle handles one frame. The caller holds the lock.
func (c *nodeConn) handle(f frame) {
	if c.closed || c.node.hung {
		return
	}
	fields := strings.Fields(f.line)
	switch fields[0] {
	case "CONNECT":
		c.connect(f.line)
	case "PING":
		c.push("PONG\r\n")
	case "SUB":
		s := &subscription{subject: fields[1]}
		if len(fields) == 4 {
			s.queue = fields[2]
		}
		c.subs[fields[len(fields)-1]] = s
		if c.node.cluster.subscribed != nil {
			c.node.cluster.subscribed(c.node, c.user, s.subject)
		}
	case "UNSUB":
		c.unsubscribe(fields)
	case "PUB", "HPUB":
		m := message{subject: fields[1], body: f.body}
		if fields[0] == "PUB" && len(fields) == 4 {
			m.reply = fields[2]
		}
		if c.node.publish(m) == 0 && m.reply != "" && c.notify {
			c.tellNoResponders(m.reply)
		}
	}
}

// tellNoResponders tells the peer that a request has no receiver, if it has a subscription to the reply subject.
func (c *nodeConn) tellNoResponders(reply string) {
	const status = "NATS/1.0 503\r\n\r\n"
	for sid, s := range c.subs {
		if matches(s.subject, reply) {
			c.push(fmt.Sprintf("HMSG %s %s %d %d\r\n%s\r\n", reply, sid, len(status), len(status), status))
			return
		}
	}
}

func (c *nodeConn) connect(line string) {
	if _, rest, found := strings.Cut(line, `"user":"`); found {
		c.user, _, _ = strings.Cut(rest, `"`)
	}
	c.notify = strings.Contains(line, `"headers":true`) && strings.Contains(line, `"no_responders":true`)
}

// refuse ends a connection whose peer has broken the protocol.
func (c *nodeConn) refuse(text string) {
	c.node.cluster.mu.Lock()
	defer c.node.cluster.mu.Unlock()
	if !c.closed {
		c.node.cluster.record.printf("node %s: ends a connection of %s: %s", c.node.name, c.user, text)
		c.endWith(text)
	}
}

// endWith ends the connection with an error. The caller holds the lock.
func (c *nodeConn) endWith(text string) {
	c.push("-ERR '" + text + "'\r\n")
	c.out <- timedBytes{time.Now().Add(c.node.oneWay), nil}
	c.closed = true
	close(c.out)
	delete(c.node.conns, c)
}

func (c *nodeConn) unsubscribe(fields []string) {
	s := c.subs[fields[1]]
	if s == nil {
		return
	}
	if len(fields) > 2 {
		s.max, _ = strconv.Atoi(fields[2])
	}
	if len(fields) == 2 || s.had >= s.max {
		delete(c.subs, fields[1])
	}
}

// publish routes a message, or gives it to the node's service, and returns the number of receivers. The caller holds the
// lock.
func (n *node) publish(m message) int {
	if n.service != nil && m.reply != "" && strings.HasPrefix(m.subject, n.servicePrefix) {
		go n.service(n, m, func(body string) {
			n.cluster.mu.Lock()
			defer n.cluster.mu.Unlock()
			if !n.closing {
				n.cluster.route(message{subject: m.reply, body: body})
			}
		})
		return 1
	}
	return n.cluster.route(m)
}

// publish publishes a message as an application at the cluster. It returns the number of receivers.
func (c *cluster) publish(m message) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.route(m)
}

type member struct {
	conn *nodeConn
	sid  string
}

// route gives a message to its subscriptions and returns their number. The caller holds the lock.
func (c *cluster) route(m message) (count int) {
	groups := map[string][]member{}
	for _, n := range c.nodes {
		for conn := range n.conns {
			for sid, s := range conn.subs {
				switch {
				case !matches(s.subject, m.subject):
				case s.queue != "":
					groups[s.queue] = append(groups[s.queue], member{conn, sid})
				default:
					c.give(member{conn, sid}, m)
					count++
				}
			}
		}
	}
	for _, members := range groups {
		c.give(members[rand.IntN(len(members))], m)
		count++
	}
	return count
}

func (c *cluster) give(to member, m message) {
	reply := ""
	if m.reply != "" {
		reply = m.reply + " "
	}
	to.conn.push(fmt.Sprintf("MSG %s %s %s%d\r\n%s\r\n", m.subject, to.sid, reply, len(m.body), m.body))
	s := to.conn.subs[to.sid]
	s.had++
	if s.max > 0 && s.had >= s.max {
		delete(to.conn.subs, to.sid)
	}
	if c.routed != nil {
		c.routed(to.conn.node, to.conn.user, to.sid, m)
	}
}

// matches reports whether a subject fits a pattern with wildcards.
func matches(pattern, subject string) bool {
	p, s := strings.Split(pattern, "."), strings.Split(subject, ".")
	for i, token := range p {
		switch {
		case token == ">":
			return len(s) > i
		case i >= len(s), token != "*" && token != s[i]:
			return false
		}
	}
	return len(p) == len(s)
}

// holders returns the node of each user whose session has a subscription to a subject.
func (c *cluster) holders(subject string) map[string]*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	holders := map[string]*node{}
	for _, n := range c.nodes {
		for conn := range n.conns {
			for _, s := range conn.subs {
				if matches(s.subject, subject) {
					holders[conn.user] = n
				}
			}
		}
	}
	return holders
}
