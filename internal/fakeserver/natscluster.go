package fakeserver

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"sync"

	"example.org/milletvane/internal/nats/codec"
)

// Properties that every fake NATS server announces in INFO.
const (
	natsVersion    = "2.10.0"
	natsMaxPayload = 1 << 20 // bytes
	natsProtocol   = 1
)

// appendServerInfo appends the INFO frame of a server.
func appendServerInfo(b []byte, name string, lameDuck bool) []byte {
	return codec.AppendJSON(b, "INFO", codec.ServerInfo{
		ID: name, Name: name, Version: natsVersion, Headers: true,
		MaxPayload: natsMaxPayload, Proto: natsProtocol, LameDuck: lameDuck,
	})
}

// NATSCluster is a set of fake NATS servers. They forward messages to each other without delay, or are isolated.
type NATSCluster struct {
	isolated bool
	log      *DeliveryLog

	mu    sync.Mutex // guards the state of all nodes and connections, so that messages have a total order
	nodes []*NATSNode
}

// NewNATSCluster returns a cluster without nodes. If log is nil, AttemptStats, LossExcused and StreamLength must not be
// called. The nodes of an isolated cluster do not forward messages to each other.
func NewNATSCluster(log *DeliveryLog, isolated bool) *NATSCluster {
	return &NATSCluster{log: log, isolated: isolated}
}

// StartNode starts a node on a loopback port chosen by the kernel. The caller closes the node.
func (c *NATSCluster) StartNode(name string) (*NATSNode, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	n := &NATSNode{Name: name, cluster: c, listener: listener, conns: map[*natsConn]struct{}{}}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	n.wg.Go(n.accept)
	return n, nil
}

// PublishStream publishes a numbered message of a session's stream: once in the cluster, or once at every running node if
// the nodes are isolated.
func (c *NATSCluster) PublishStream(session, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := []byte(streamSubjectPrefix + strconv.Itoa(session))
	c.log.published(session, number, c.subscribedNodes(subject))
	for _, n := range c.nodes {
		if n.dead {
			continue
		}
		c.deliver(n, nil, message{subject: subject, body: []byte(strconv.Itoa(number))})
		if !c.isolated {
			return
		}
	}
}

// subscribedNodes returns the running nodes that have a subscription to a subject. The caller holds the lock.
func (c *NATSCluster) subscribedNodes(subject []byte) (nodes []*NATSNode) {
	for _, n := range c.nodes {
		if !n.dead && n.hasSubscription(subject) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// message is a published message to be delivered to its subscribers.
type message struct {
	subject, reply []byte
	body           []byte // headers, then payload
	headerBytes    int    // length of the headers in body; 0 means no headers
}

// frame encodes the message as a frame for the subscription with the given SID.
func (m message) frame(sid string) []byte {
	b := make([]byte, 0, 64+len(m.subject)+len(m.reply)+len(m.body))
	b = codec.AppendMsg(b, m.subject, []byte(sid), m.reply, m.headerBytes, len(m.body))
	b = append(b, m.body...)
	return append(b, "\r\n"...)
}

// queueMember is a subscription that is a member of a queue group.
type queueMember struct {
	conn *natsConn
	sid  string
}

// deliver queues a message published at a node for all subscribers, and for one random member of each queue group. It returns
// the number of recipients. The sender may be nil. The caller holds the lock.
func (c *NATSCluster) deliver(at *NATSNode, sender *natsConn, m message) (count int) {
	groups := map[string][]queueMember{}
	for _, n := range c.nodes {
		if n.dead || c.isolated && n != at {
			continue
		}
		for conn := range n.conns {
			if conn != sender || conn.echo {
				count += conn.deliverPlain(m, groups)
			}
		}
	}
	for _, members := range groups {
		chosen := members[rand.IntN(len(members))]
		chosen.conn.deliver(m, chosen.sid)
		count++
	}
	return count
}

// natsSubscription is a subscription of a connection.
type natsSubscription struct {
	subject, queueGroup []byte
	maxMessages         int // the subscription ends after this many messages; 0 means unlimited
	delivered           int
}

func (s *natsSubscription) isComplete() bool {
	return s.maxMessages > 0 && s.delivered >= s.maxMessages
}

func newNATSSubscription(f *codec.Frame) *natsSubscription {
	return &natsSubscription{subject: bytes.Clone(f.Subject), queueGroup: bytes.Clone(f.Queue)}
}
