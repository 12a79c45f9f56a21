package fakeserver

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"

	"example.org/milletvane/internal/nats/codec"
)

// NATSCluster is a set of NATS nodes that pass messages on to each other at once, or stand alone.
type NATSCluster struct {
	alone  bool
	ledger *DeliveryLog

	mu    sync.Mutex // of all nodes' connections and subscriptions, so that messages have one order
	nodes []*NATSNode
}

// NewNATSCluster returns a cluster without nodes. The ledger may be nil; with alone its nodes share no messages.
func NewNATSCluster(ledger *DeliveryLog, alone bool) *NATSCluster {
	return &NATSCluster{ledger: ledger, alone: alone}
}

// NATSNode is a server of the NATS client protocol. It answers requests on subjects under svc by itself.
type NATSNode struct {
	Name     string
	cluster  *NATSCluster
	listener net.Listener
	wg       sync.WaitGroup

	// Of the cluster's lock.
	conns     map[*natsConn]struct{}
	draining  bool
	drainedAt time.Time
	hung      bool
	dead      bool
	mute      bool

	work func(body []byte) (answer []byte, after time.Duration) // nil: echo at once
}

// natsConn is a connection of a client, or of a gateway.
type natsConn struct {
	node *NATSNode
	nc   net.Conn

	connected    bool
	noResponders bool
	echo         bool
	subs         map[string]*natsSub
	closed       bool

	out   sync.Cond // of the cluster's lock
	queue []natsItem
}

type natsSub struct {
	subject, queue []byte
	sid            string
	max, given     int
}

// natsItem is something to write. sent is called once it has been.
type natsItem struct {
	b    []byte
	sent func()
}

// StartNode starts a node on a port of loopback that the kernel picks.
func (c *NATSCluster) StartNode(name string) (*NATSNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &NATSNode{Name: name, cluster: c, listener: l, conns: map[*natsConn]struct{}{}}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	n.wg.Go(n.accept)
	return n, nil
}

// SetHandler sets how requests are answered. It must not block.
func (n *NATSNode) SetHandler(f func(body []byte) ([]byte, time.Duration)) { n.work = f }

// Addr is where the node listens.
func (n *NATSNode) Addr() string { return n.listener.Addr().String() }

// ConnectionCount is the number of connections that have said CONNECT.
func (n *NATSNode) ConnectionCount() (count int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		if c.connected {
			count++
		}
	}
	return count
}

// SubscriptionCount is the number of subscriptions at the node.
func (n *NATSNode) SubscriptionCount() (count int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		count += len(c.subs)
	}
	return count
}

// Drain tells all clients by INFO that the node is in lame duck mode, if tell is set. It goes on serving what it has.
func (n *NATSNode) Drain(tell bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.draining, n.drainedAt = true, time.Now()
	if tell {
		for c := range n.conns {
			c.push(n.info(), nil)
		}
	}
}

// Hang has the node do nothing any more while its connections stay. It still notes what comes.
func (n *NATSNode) Hang() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.hung = true
	n.cluster.ledger.failed(n)
}

// IgnorePings has the node answer no PING, so that no set-up is confirmed.
func (n *NATSNode) IgnorePings() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.mute = true
}

// Kill ends the node as a crash would: all connections are reset and new ones are refused.
func (n *NATSNode) Kill() {
	n.listener.Close()
	n.cluster.mu.Lock()
	n.dead = true
	n.cluster.ledger.failed(n)
	for c := range n.conns {
		c.nc.(*net.TCPConn).SetLinger(0)
		c.close()
	}
	n.cluster.mu.Unlock()
}

// Close ends the node and waits for all of it.
func (n *NATSNode) Close() {
	n.listener.Close()
	n.cluster.mu.Lock()
	for c := range n.conns {
		c.close()
	}
	n.cluster.mu.Unlock()
	n.wg.Wait()
}

// CutMidMessage ends one connection in the middle of a message's payload.
func (n *NATSNode) CutMidMessage() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		for sid, s := range c.subs {
			if !bytes.ContainsAny(s.subject, "*>") {
				b := codec.AppendMsg(nil, s.subject, []byte(sid), nil, 0, 100)
				b = append(b, "half of it"...)
				c.push(b, func() { c.nc.Close() })
				return true
			}
		}
	}
	return false
}

func (n *NATSNode) info() []byte {
	return codec.AppendJSON(nil, "INFO", codec.ServerInfo{ID: n.Name, Name: n.Name, Version: "2.10.0", Headers: true,
		MaxPayload: 1 << 20, Proto: 1, LameDuck: n.draining})
}

func (n *NATSNode) accept() {
	for {
		nc, err := n.listener.Accept()
		if err != nil {
			return
		}
		c := &natsConn{node: n, nc: nc, subs: map[string]*natsSub{}, echo: true}
		c.out.L = &n.cluster.mu
		n.cluster.mu.Lock()
		if n.dead {
			n.cluster.mu.Unlock()
			nc.Close()
			continue
		}
		n.conns[c] = struct{}{}
		c.push(n.info(), nil)
		n.cluster.mu.Unlock()
		n.wg.Go(c.write)
		n.wg.Go(c.read)
	}
}

// push queues bytes; the cluster's lock is held, as for all that follows up to read.
func (c *natsConn) push(b []byte, sent func()) {
	if c.closed || c.node.hung {
		return
	}
	c.queue = append(c.queue, natsItem{b, sent})
	c.out.Signal()
}

func (c *natsConn) close() {
	if !c.closed {
		c.closed = true
		c.nc.Close()
		c.out.Broadcast()
		delete(c.node.conns, c)
		for sid := range c.subs {
			c.node.cluster.ledger.withdrawn(c, sid)
		}
	}
}

// write writes what is queued, all that is there at once.
func (c *natsConn) write() {
	mu := &c.node.cluster.mu
	for {
		mu.Lock()
		for !c.closed && (len(c.queue) == 0 || c.node.hung) {
			c.out.Wait()
		}
		items := c.queue
		c.queue = nil
		closed := c.closed
		mu.Unlock()
		if closed {
			return
		}
		bufs := make(net.Buffers, len(items))
		for i, it := range items {
			bufs[i] = it.b
		}
		if _, err := bufs.WriteTo(c.nc); err != nil {
			return
		}
		for _, it := range items {
			if it.sent != nil {
				it.sent()
			}
		}
	}
}

// read takes frames until the connection ends.
func (c *natsConn) read() {
	mu := &c.node.cluster.mu
	defer func() {
		mu.Lock()
		c.close()
		mu.Unlock()
	}()
	in, buf := []byte(nil), make([]byte, 64<<10)
	for {
		n, err := c.nc.Read(buf)
		if err != nil {
			return
		}
		in = append(in, buf[:n]...)
		for len(in) > 0 {
			f, n, err := codec.Parse(in, codec.Limits{})
			if err != nil {
				mu.Lock()
				c.push(codec.AppendErr(nil, err.Error()), func() { c.nc.Close() })
				mu.Unlock()
				return
			}
			if n == 0 {
				break
			}
			mu.Lock()
			c.take(&f)
			mu.Unlock()
			in = in[n:]
		}
		in = append([]byte(nil), in...)
	}
}

func (c *natsConn) take(f *codec.Frame) {
	n := c.node
	switch f.Op {
	case codec.Sub: // noted even by a node that hangs
		c.subs[string(f.SID)] = &natsSub{subject: bytes.Clone(f.Subject), queue: bytes.Clone(f.Queue), sid: string(f.SID)}
		n.cluster.ledger.subscribed(c, f.Subject)
		return
	case codec.Unsub:
		if f.Max == 0 {
			n.cluster.ledger.withdrawn(c, string(f.SID))
		}
		if s := c.subs[string(f.SID)]; s != nil {
			if s.max = f.Max; s.max == 0 || s.given >= s.max {
				delete(c.subs, s.sid)
			}
		}
		return
	case codec.Pub, codec.HPub:
		if svc(f.Subject) && len(f.Reply) > 0 {
			n.cluster.ledger.attempt(c, f)
		}
	}
	if n.hung {
		return
	}
	switch f.Op {
	case codec.Connect:
		o, _, err := codec.ParseConnect(f.Body)
		if err != nil || o.User == "nobody" {
			c.push(codec.AppendErr(nil, "Authorization Violation"), func() { c.nc.Close() })
			return
		}
		c.connected, c.noResponders = true, o.NoResponders && o.Headers
		c.echo = o.Echo == nil || *o.Echo
	case codec.Ping:
		if n.mute {
			return
		}
		c.push([]byte(codec.PongFrame), nil)
	case codec.Pub, codec.HPub:
		c.publish(f)
	}
}

func svc(subject []byte) bool { return bytes.HasPrefix(subject, []byte("svc.")) }

func (c *natsConn) publish(f *codec.Frame) {
	n := c.node
	if svc(f.Subject) && len(f.Reply) > 0 {
		answer, after := bytes.Clone(f.Body), time.Duration(0)
		if n.work != nil {
			answer, after = n.work(bytes.Clone(f.Payload()))
		}
		reply := bytes.Clone(f.Reply)
		if answer == nil {
			return // it has lost the request
		}
		if after <= 0 {
			n.answer(reply, answer)
			return
		}
		time.AfterFunc(after, func() {
			n.cluster.mu.Lock()
			defer n.cluster.mu.Unlock()
			if !n.hung && !n.dead {
				n.answer(reply, answer)
			}
		})
		return
	}
	if n.deliver(c, f.Subject, f.Reply, f.Body, f.Headers, nil) == 0 && len(f.Reply) > 0 && c.noResponders {
		h := codec.AppendStatus(nil, codec.StatusNoResponders, "", 0)
		n.deliver(nil, f.Reply, nil, h, len(h), nil)
	}
}

// answer delivers a reply at this node, where who asked is.
func (n *NATSNode) answer(reply, body []byte) { n.deliver(nil, reply, nil, body, 0, nil) }

// deliver queues a message for all that subscribe to its subject, one of each queue group, and counts them.
func (n *NATSNode) deliver(from *natsConn, subject, reply, body []byte, headers int, sent func(*NATSNode)) (count int) {
	groups := map[string]bool{}
	for _, at := range n.cluster.nodes {
		if at.dead || n.cluster.alone && at != n {
			continue
		}
		for c := range at.conns {
			for sid, s := range c.subs {
				if !codec.Match(s.subject, subject) || c == from && !c.echo {
					continue
				}
				if len(s.queue) > 0 {
					if groups[string(s.queue)] {
						continue
					}
					groups[string(s.queue)] = true
				}
				b := codec.AppendMsg(make([]byte, 0, 64+len(subject)+len(reply)+len(body)), subject, []byte(sid), reply, headers, len(body))
				b = append(append(b, body...), "\r\n"...)
				var then func()
				if sent != nil {
					then = func() { sent(at) }
				}
				c.push(b, then)
				count++
				s.given++
				if s.max > 0 && s.given >= s.max {
					delete(c.subs, sid)
					n.cluster.ledger.withdrawn(c, sid)
				}
			}
		}
	}
	return count
}

// Publish delivers a message as if a client of the node had sent it, and returns to how many.
func (n *NATSNode) Publish(subject string, body []byte) int {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.deliver(nil, []byte(subject), nil, body, 0, nil)
}

// PublishStream publishes the next numbered message of a session's stream somewhere in the cluster.
func (c *NATSCluster) PublishStream(session, seq int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := "stream." + strconv.Itoa(session)
	c.ledger.streamed(session, seq, c.holders(subject))
	for _, n := range c.nodes {
		if !n.dead {
			n.deliver(nil, []byte(subject), nil, []byte(strconv.Itoa(seq)), 0, nil)
			if !c.alone {
				break
			}
		}
	}
}

// holders are the nodes at which a subject is subscribed to.
func (c *NATSCluster) holders(subject string) (list []*NATSNode) {
	for _, n := range c.nodes {
		if n.dead {
			continue
		}
	conns:
		for conn := range n.conns {
			for _, s := range conn.subs {
				if codec.Match(s.subject, []byte(subject)) {
					list = append(list, n)
					break conns
				}
			}
		}
	}
	return list
}
