package fakeserver

import (
	"bytes"
	"net"
	"sync"

	"example.org/milletvane/internal/nats/codec"
)

const (
	natsReadBytes         = 64 << 10
	serviceSubjectPrefix  = "svc."
	unauthorizedUser      = "nobody" // CONNECT with this user name is rejected
	authorizationErrorMsg = "Authorization Violation"
)

// natsConn is a connection of a client or a gateway to a node. The cluster's lock guards its state. Callers of its methods
// hold the lock, except for writeLoop and readLoop and the methods that only these two call.
type natsConn struct {
	node   *NATSNode
	socket net.Conn

	infoSent      bool // INFO was sent to the peer
	connected     bool // the peer has sent CONNECT
	noResponders  bool
	echo          bool
	subscriptions map[string]*natsSubscription // by SID
	closed        bool
	ignoredPings  int

	queueChanged sync.Cond
	queue        []queuedWrite
}

// queuedWrite is queued data. The callback written, which may be nil, is called without the lock after data was written.
type queuedWrite struct {
	data    []byte
	written func()
}

func newNATSConn(n *NATSNode, socket net.Conn) *natsConn {
	c := &natsConn{node: n, socket: socket, subscriptions: map[string]*natsSubscription{}, echo: true}
	c.queueChanged.L = &n.cluster.mu
	return c
}

// push queues data, unless the connection is closed or its node is hung.
func (c *natsConn) push(data []byte, written func()) {
	if c.closed || c.node.hung {
		return
	}
	c.queue = append(c.queue, queuedWrite{data: data, written: written})
	c.queueChanged.Signal()
}

// sendFirstInfo sends the first INFO, unless it was sent before or the node withholds it.
func (c *natsConn) sendFirstInfo() {
	if !c.infoSent && !c.node.withholdsInfo {
		c.infoSent = true
		c.push(c.node.info(), nil)
	}
}

// disconnect closes the socket; readLoop then cleans up. The caller need not hold the lock.
func (c *natsConn) disconnect() { _ = c.socket.Close() }

// reset closes the connection with a TCP reset.
func (c *natsConn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *natsConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.disconnect()
	c.queueChanged.Broadcast()
	delete(c.node.conns, c)
	for sid := range c.subscriptions {
		c.node.cluster.log.subscriptionEnded(c, sid)
	}
}

// deliverPlain queues a message for each matching subscription without a queue group, and returns the number of these
// subscriptions. It adds the matching members of queue groups to groups.
func (c *natsConn) deliverPlain(m message, groups map[string][]queueMember) (count int) {
	for sid, subscription := range c.subscriptions {
		switch group := string(subscription.queueGroup); {
		case !codec.MatchesSubject(subscription.subject, m.subject):
		case group != "":
			groups[group] = append(groups[group], queueMember{conn: c, sid: sid})
		default:
			c.deliver(m, sid)
			count++
		}
	}
	return count
}

// deliver queues a message for a subscription and ends the subscription if it is complete.
func (c *natsConn) deliver(m message, sid string) {
	c.push(m.frame(sid), nil)
	subscription := c.subscriptions[sid]
	subscription.delivered++
	if subscription.isComplete() {
		delete(c.subscriptions, sid)
		c.node.cluster.log.subscriptionEnded(c, sid)
	}
}

// writeLoop writes queued data until the connection ends, each time all that is queued with one call.
func (c *natsConn) writeLoop() {
	for {
		items, ok := c.awaitQueue()
		if !ok {
			return
		}
		buffers := make(net.Buffers, len(items))
		for i, item := range items {
			buffers[i] = item.data
		}
		if _, err := buffers.WriteTo(c.socket); err != nil {
			return
		}
		for _, item := range items {
			if item.written != nil {
				item.written()
			}
		}
	}
}

// awaitQueue waits until data is queued and the node is not hung, and takes all queued data. It returns false once the
// connection is closed.
func (c *natsConn) awaitQueue() (items []queuedWrite, ok bool) {
	c.node.cluster.mu.Lock()
	defer c.node.cluster.mu.Unlock()
	for !c.closed && (len(c.queue) == 0 || c.node.hung) {
		c.queueChanged.Wait()
	}
	items, c.queue = c.queue, nil
	return items, !c.closed
}

// readLoop handles frames until the connection ends.
func (c *natsConn) readLoop() {
	mu := &c.node.cluster.mu
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		c.close()
	}()
	var pending []byte
	buf := make([]byte, natsReadBytes)
	for {
		n, err := c.socket.Read(buf)
		if err != nil {
			return
		}
		rest, err := c.handleFrames(append(pending, buf[:n]...))
		if err != nil {
			mu.Lock()
			c.push(codec.AppendErr(nil, err.Error()), c.disconnect)
			mu.Unlock()
			return
		}
		pending = bytes.Clone(rest)
	}
}

// handleFrames handles the complete frames in a buffer and returns the remaining bytes. It takes the lock for each frame.
func (c *natsConn) handleFrames(buf []byte) (rest []byte, err error) {
	for len(buf) > 0 {
		f, n, err := codec.Parse(buf, codec.Limits{})
		if err != nil {
			return nil, err
		}
		if n == 0 {
			break
		}
		c.node.cluster.mu.Lock()
		c.handle(&f)
		c.node.cluster.mu.Unlock()
		buf = buf[n:]
	}
	return buf, nil
}

// handle handles one frame. A hung node only records it.
func (c *natsConn) handle(f *codec.Frame) {
	switch f.Op {
	case codec.Sub:
		c.subscribe(f)
		return
	case codec.Unsub:
		c.unsubscribe(f)
		return
	case codec.Pub, codec.HPub:
		if isServiceRequest(f) {
			c.node.cluster.log.attemptStarted(c, f)
		}
	}
	if !c.node.hung {
		c.respond(f)
	}
}

func (c *natsConn) subscribe(f *codec.Frame) {
	c.subscriptions[string(f.SID)] = newNATSSubscription(f)
	c.node.cluster.log.subscribed(c, f.Subject)
}

// unsubscribe ends a subscription, at once or after a number of messages.
func (c *natsConn) unsubscribe(f *codec.Frame) {
	sid := string(f.SID)
	if f.MaxMessages == 0 {
		c.node.cluster.log.subscriptionEnded(c, sid)
	}
	subscription := c.subscriptions[sid]
	if subscription == nil {
		return
	}
	subscription.maxMessages = f.MaxMessages
	if f.MaxMessages == 0 || subscription.isComplete() {
		delete(c.subscriptions, sid)
	}
}

func (c *natsConn) respond(f *codec.Frame) {
	switch f.Op {
	case codec.Connect:
		c.connect(f)
	case codec.Ping:
		if c.node.ignoresPings {
			c.ignoredPings++
		} else {
			c.push([]byte(codec.PongFrame), nil)
		}
	case codec.Pub, codec.HPub:
		if isServiceRequest(f) {
			c.node.handleRequest(f)
		} else {
			c.publish(f)
		}
	}
}

func (c *natsConn) connect(f *codec.Frame) {
	options, _, err := codec.ParseConnect(f.Body)
	if err != nil || options.User == unauthorizedUser {
		c.push(codec.AppendErr(nil, authorizationErrorMsg), c.disconnect)
		return
	}
	c.connected = true
	c.noResponders = options.NoResponders && options.Headers
	c.echo = options.Echo == nil || *options.Echo
}

// publish delivers a message. If a request has no recipients and the client supports it, publish sends the status
// "no responders".
func (c *natsConn) publish(f *codec.Frame) {
	cluster := c.node.cluster
	m := message{subject: f.Subject, reply: f.Reply, body: f.Body, headerBytes: f.HeaderSize}
	if cluster.deliver(c.node, c, m) > 0 || len(f.Reply) == 0 || !c.noResponders {
		return
	}
	status := codec.AppendStatus(nil, codec.StatusNoResponders, "", 0)
	cluster.deliver(c.node, nil, message{subject: f.Reply, body: status, headerBytes: len(status)})
}

// isServiceRequest reports whether a message is a request that the node answers itself.
func isServiceRequest(f *codec.Frame) bool {
	return bytes.HasPrefix(f.Subject, []byte(serviceSubjectPrefix)) && len(f.Reply) > 0
}
