package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleetSize is the number of nodes of the cases: plan-norte has 10 to 14.
const fleetSize = 10

// cluster is a set of nodes that speak the NATS client protocol and pass messages on to each other.
type cluster struct {
	rec *recorder

	mu       sync.Mutex // guards the state of all nodes, so that messages have one order
	nodes    []*node
	services map[string]func(m message) // responders by subject prefix; called in a goroutine of their own
	read     map[string]bool            // payloads of the publications that nodes have read

	hangAfterSetup *node         // the next node but this one that confirms a session's set-up hangs then, once; nil: none does
	stallAfterSub  time.Duration // the node that takes the next SUB stands still after that for so long, once; 0: none does
}

// node is a server of the list.
type node struct {
	cl   *cluster
	id   string
	name string
	ln   net.Listener

	// The fields below are guarded by cl.mu.
	dead        bool
	conns       map[*nodeConn]bool
	requests    int         // publications with a reply subject that were read here
	published   []time.Time // when publications were read here
	hangInSetup bool        // INFO is sent, then nothing is read or answered on new connections
	stallUntil  time.Time   // nothing is read or written until then
}

type message struct {
	subject, reply  string
	header, payload []byte
}

type subscription struct {
	subject  string
	sid      string
	max, got int
}

// nodeConn is a connection of a gateway to a node.
type nodeConn struct {
	n    *node
	c    net.Conn
	out  chan []byte
	subs map[string]*subscription // guarded by cl.mu
	user string                   // guarded by cl.mu
}

func newCluster(rec *recorder) *cluster {
	return &cluster{rec: rec, services: map[string]func(message){}, read: map[string]bool{}}
}

// startNode starts the node with the next number.
func (cl *cluster) startNode() *node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	i := len(cl.nodes) + 1
	n := &node{cl: cl, id: fmt.Sprintf("s-%08x", i), name: fmt.Sprintf("node%d", i), ln: ln, conns: map[*nodeConn]bool{}}
	cl.nodes = append(cl.nodes, n)
	go n.accept()
	return n
}

func (cl *cluster) members() (all []member) {
	for _, n := range cl.nodes {
		all = append(all, member{ID: n.id, Addr: n.ln.Addr().String(), Zone: "santander", Kind: "nuevo", State: "in_service", Weight: 1})
	}
	return all
}

func (n *node) accept() {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		conn := &nodeConn{n: n, c: c, out: make(chan []byte, 1<<16), subs: map[string]*subscription{}}
		n.cl.mu.Lock()
		dead, hang := n.dead, n.hangInSetup
		if !dead {
			n.conns[conn] = true
		}
		n.cl.mu.Unlock()
		if dead {
			c.Close()
			continue
		}
		info, _ := json.Marshal(map[string]any{
			"server_id": n.name, "server_name": n.name, "version": "2.10.0", "proto": 1, "headers": true, "max_payload": 1 << 20,
			"host": "127.0.0.1", "port": 4222,
		})
		go conn.write()
		conn.out <- fmt.Appendf(nil, "INFO %s\r\n", info)
		if hang {
			n.cl.rec.logf("%s: a connection is accepted, the set-up hangs", n.name)
			continue
		}
		go conn.read()
	}
}

// die resets the node's connections and refuses new ones, as when its process dies.
func (n *node) die() {
	n.cl.mu.Lock()
	n.dead = true
	for conn := range n.conns {
		_ = conn.c.(*net.TCPConn).SetLinger(0)
		conn.c.Close()
	}
	n.conns = map[*nodeConn]bool{}
	n.cl.mu.Unlock()
	n.ln.Close()
	n.cl.rec.logf("%s: died, its connections are reset", n.name)
}

// standstill waits while the node stands still.
func (n *node) standstill() {
	for {
		n.cl.mu.Lock()
		wait := time.Until(n.stallUntil)
		n.cl.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (c *nodeConn) write() {
	for frame := range c.out {
		c.n.standstill()
		if _, err := c.c.Write(frame); err != nil {
			return
		}
	}
}

func (c *nodeConn) read() {
	defer c.end()
	r := bufio.NewReaderSize(c.c, 64<<10)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		c.n.standstill()
		op, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		args := strings.Fields(rest)
		switch strings.ToUpper(op) {
		case "CONNECT":
			var options struct{ User string }
			_ = json.Unmarshal([]byte(rest), &options)
			c.n.cl.mu.Lock()
			c.user = options.User
			c.n.cl.mu.Unlock()
		case "PING":
			c.out <- []byte("PONG\r\n")
			c.hangIfDue()
		case "PONG":
		case "SUB":
			c.subscribe(args)
		case "UNSUB":
			c.unsubscribe(args)
		case "PUB", "HPUB":
			m, ok := readPublication(r, strings.ToUpper(op), args)
			if !ok {
				return
			}
			c.n.cl.mu.Lock()
			c.n.published = append(c.n.published, time.Now())
			c.n.cl.read[string(m.payload)] = true
			if m.reply != "" {
				c.n.requests++
			}
			c.n.cl.mu.Unlock()
			c.n.cl.publish(c.n, m)
		default:
			c.out <- []byte("-ERR 'Unknown Protocol Operation'\r\n")
			return
		}
	}
}

// hangIfDue makes the node hang for good once it has confirmed the set-up of a session that moves to it.
func (c *nodeConn) hangIfDue() {
	cl := c.n.cl
	cl.mu.Lock()
	due := cl.hangAfterSetup != nil && cl.hangAfterSetup != c.n && c.user != "" && len(c.subs) > 0 && !c.isShared()
	if due {
		cl.hangAfterSetup = nil
	}
	cl.mu.Unlock()
	if !due {
		return
	}
	for len(c.out) > 0 {
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(200 * time.Microsecond)
	cl.mu.Lock()
	c.n.stallUntil = time.Now().Add(time.Hour)
	cl.mu.Unlock()
	cl.rec.logf("%s: has confirmed a set-up and hangs from here on", c.n.name)
}

// isShared reports whether all subscriptions of a connection are a gateway's own. The caller holds cl.mu.
func (c *nodeConn) isShared() bool {
	for _, s := range c.subs {
		if !strings.HasPrefix(s.subject, "_GW.") {
			return false
		}
	}
	return true
}

// lameDuck announces lame duck mode on all connections. The node goes on serving.
func (n *node) lameDuck() {
	n.cl.mu.Lock()
	defer n.cl.mu.Unlock()
	for conn := range n.conns {
		conn.out <- []byte(`INFO {"server_id":"x","version":"2.10.0","proto":1,"headers":true,"max_payload":1048576,"ldm":true}` + "\r\n")
	}
	n.cl.rec.logf("%s: announces lame duck mode on %d connections", n.name, len(n.conns))
}

func (c *nodeConn) end() {
	c.n.cl.mu.Lock()
	delete(c.n.conns, c)
	c.n.cl.mu.Unlock()
	c.c.Close()
}

func (c *nodeConn) subscribe(args []string) {
	if len(args) < 2 {
		return
	}
	cl := c.n.cl
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c.subs[args[len(args)-1]] = &subscription{subject: args[0], sid: args[len(args)-1]}
	if !strings.HasPrefix(args[0], "_GW.") {
		cl.rec.logf("%s: user %q subscribes to %s", c.n.name, c.user, args[0])
	}
	if d := cl.stallAfterSub; d > 0 && !strings.HasPrefix(args[0], "_GW.") {
		cl.stallAfterSub, c.n.stallUntil = 0, time.Now().Add(d)
		cl.rec.logf("%s: stands still for %v from here on", c.n.name, d)
	}
}

func (c *nodeConn) unsubscribe(args []string) {
	if len(args) == 0 {
		return
	}
	cl := c.n.cl
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s := c.subs[args[0]]
	if s == nil {
		return
	}
	if len(args) > 1 {
		s.max, _ = strconv.Atoi(args[1])
	}
	if s.max == 0 || s.got >= s.max {
		delete(c.subs, args[0])
		if !strings.HasPrefix(s.subject, "_GW.") {
			cl.rec.logf("%s: user %q has unsubscribed from %s", c.n.name, c.user, s.subject)
		}
	}
}

func readPublication(r *bufio.Reader, op string, args []string) (m message, ok bool) {
	headers := 0
	if op == "HPUB" {
		if len(args) < 3 {
			return m, false
		}
		headers, _ = strconv.Atoi(args[len(args)-2])
		args = append(args[:len(args)-2:len(args)-2], args[len(args)-1])
	}
	if len(args) < 2 {
		return m, false
	}
	size, err := strconv.Atoi(args[len(args)-1])
	if err != nil || size < headers {
		return m, false
	}
	body := make([]byte, size+2)
	if _, err := io.ReadFull(r, body); err != nil {
		return m, false
	}
	m.subject, m.header, m.payload = args[0], body[:headers], body[headers:size]
	if len(args) == 3 {
		m.reply = args[1]
	}
	return m, true
}

// publish delivers a message to all subscribers at all running nodes, and to the responder of its subject. It returns how
// many nodes had a subscriber.
func (cl *cluster) publish(at *node, m message) (nodes int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for prefix, serve := range cl.services {
		if strings.HasPrefix(m.subject, prefix) {
			go serve(m)
		}
	}
	for _, n := range cl.nodes {
		if n.dead {
			continue
		}
		found := false
		for conn := range n.conns {
			found = conn.deliver(m) || found
		}
		if found {
			nodes++
		}
	}
	return nodes
}

// deliver queues a message for each matching subscription. The caller holds cl.mu.
func (c *nodeConn) deliver(m message) (found bool) {
	for sid, s := range c.subs {
		if !matches(s.subject, m.subject) {
			continue
		}
		found = true
		s.got++
		if s.max > 0 && s.got >= s.max {
			delete(c.subs, sid)
		}
		c.out <- m.frame(sid)
	}
	return found
}

func (m message) frame(sid string) []byte {
	b := []byte("MSG ")
	if len(m.header) > 0 {
		b = []byte("HMSG ")
	}
	b = fmt.Appendf(b, "%s %s ", m.subject, sid)
	if m.reply != "" {
		b = fmt.Appendf(b, "%s ", m.reply)
	}
	if len(m.header) > 0 {
		b = fmt.Appendf(b, "%d ", len(m.header))
	}
	b = fmt.Appendf(b, "%d\r\n", len(m.header)+len(m.payload))
	b = append(append(b, m.header...), m.payload...)
	return append(b, "\r\n"...)
}

// matches reports whether a subject matches a pattern with wildcards.
func matches(pattern, subject string) bool {
	p, s := strings.Split(pattern, "."), strings.Split(subject, ".")
	for i := range p {
		if p[i] == ">" {
			return len(s) > i
		}
		if i >= len(s) || p[i] != "*" && p[i] != s[i] {
			return false
		}
	}
	return len(p) == len(s)
}

// holder returns the node at which a user's own subscription to a subject stands, or nil.
func (cl *cluster) holder(user, subject string) *node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, n := range cl.nodes {
		for conn := range n.conns {
			for _, s := range conn.subs {
				if conn.user == user && s.subject == subject {
					return n
				}
			}
		}
	}
	return nil
}
