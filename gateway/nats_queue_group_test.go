package gateway_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nats-io/nats.go"

	"example.org/milletvane/internal/fakeserver"
)

// messagesAtEachNode is the number of equal messages that the tests in this file publish at a node at a time.
const messagesAtEachNode = 50

// migratingSession is a session with one subscription whose node drains. The nodes do not forward messages to each other, so that
// the test chooses which member of a queue group gets a message, as a cluster does at random.
type migratingSession struct {
	fleet    *fleet
	client   *testConn
	draining int    // index of the node that the session leaves
	next     int    // index of the node that has the handshake and has not confirmed it
	body     string // of every message
}

// subscriptionKinds names the subscriptions that the tests in this file compare. A queue group's messages are all different. The
// nodes of a cluster both deliver a message of a plain subscription.
var subscriptionKinds = []struct {
	name, frame  string
	isQueueGroup bool
}{
	{"queue group", "SUB jobs workers 1\r\n", true},
	{"plain", "SUB jobs 1\r\n", false},
}

// startMigration connects a client that subscribes by a SUB frame, and drains its node while the other nodes confirm no handshake.
func startMigration(t *testing.T, nodes int, subscribe, extraSettings string) *migratingSession {
	t.Helper()
	f := newFleet(t, nodes, true, extraSettings)
	f.connect().Close()
	eventually(t, "the first session is gone", func() bool { return f.sessionCount() == 0 })
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	m := &migratingSession{fleet: f, client: newTestConn(t, conn), body: "recount"}
	m.client.readLine() // INFO
	m.client.send("CONNECT {}\r\n" + subscribe + "PING\r\n")
	m.client.expectLine("PONG\r\n")
	m.draining = f.sessionNode()
	for i, n := range f.nodes {
		if i != m.draining {
			n.IgnorePings()
		}
	}
	f.drain(m.draining, true)
	m.next = m.awaitHandshake(m.draining)
	return m
}

// awaitHandshake waits until a node other than the excluded ones has the session's subscription, and returns the node's index.
func (m *migratingSession) awaitHandshake(excluded ...int) (node int) {
	t := m.fleet.t
	t.Helper()
	eventually(t, "a node has the handshake", func() bool {
		for i, n := range m.fleet.nodes {
			if !slices.Contains(excluded, i) && n.SubscriptionCount() > 0 {
				node = i
				return true
			}
		}
		return false
	})
	return node
}

// publish publishes equal messages at a node, each of which must have a recipient there.
func (m *migratingSession) publish(node, count int) {
	t := m.fleet.t
	t.Helper()
	for range count {
		if got := m.fleet.nodes[node].Publish("jobs", []byte(m.body)); got != 1 {
			t.Fatalf("a message had %d recipients, want 1", got)
		}
	}
}

// expectMessages completes the migration and checks the number of messages that the client receives.
func (m *migratingSession) expectMessages(want int) {
	m.fleet.t.Helper()
	m.fleet.forEachNode((*fakeserver.NATSNode).AnswerPings)
	eventually(m.fleet.t, "the session has left the draining node", func() bool {
		return m.fleet.nodes[m.draining].ConnectionCount() == 0 && m.fleet.sessionCount() == 1
	})
	m.client.send("PING\r\n") // its answer follows all messages
	m.expectMessagesBefore("PONG\r\n", want)
}

// expectMessagesBefore checks the number of messages that the client receives before a line.
func (m *migratingSession) expectMessagesBefore(end string, want int) {
	t := m.fleet.t
	t.Helper()
	got := 0
	for line := m.client.readLine(); line != end; line = m.client.readLine() {
		if !strings.HasPrefix(line, "MSG jobs 1 ") {
			t.Fatalf("got the line %q, want MSG or %q", line, end)
		}
		m.client.expectLine(m.body + "\r\n")
		got++
	}
	if got != want {
		t.Errorf("the client received %d messages, want %d", got, want)
	}
}

// Guards against messages of a queue group that are lost while a session moves off a draining node, because the gateway takes those
// of the new node for duplicates of equal ones that the old node has delivered (review/9).
func TestNATSDrainDeliversEqualMessagesOfAQueueGroup(t *testing.T) {
	for _, kind := range subscriptionKinds {
		t.Run(kind.name, func(t *testing.T) {
			m := startMigration(t, 2, kind.frame, "")
			m.publish(m.draining, messagesAtEachNode)
			m.publish(m.next, messagesAtEachNode)
			want := messagesAtEachNode // both nodes deliver the same messages
			if kind.isQueueGroup {
				want = 2 * messagesAtEachNode
			}
			m.expectMessages(want)
		})
	}
}

// Guards against messages of a queue group that are lost because the node that delivered them does not confirm the handshake in
// time, so that the session moves to another node.
func TestNATSAbandonedHandshakeDeliversMessagesOfAQueueGroup(t *testing.T) {
	for _, kind := range subscriptionKinds {
		t.Run(kind.name, func(t *testing.T) {
			m := startMigration(t, 3, kind.frame, "")
			m.publish(m.next, messagesAtEachNode)
			other := m.awaitHandshake(m.draining, m.next)
			m.publish(m.draining, messagesAtEachNode)
			m.publish(other, messagesAtEachNode)
			want := messagesAtEachNode // all three nodes deliver the same messages
			if kind.isQueueGroup {
				want = 3 * messagesAtEachNode
			}
			m.expectMessages(want)
		})
	}
}

// Guards against messages of a queue group that are lost because no other node takes the session: its client is closed during the
// first set-up, or after set-ups that failed.
func TestNATSFailedMigrationDeliversMessagesOfAQueueGroup(t *testing.T) {
	for _, moveWithin := range []string{"800ms", "2500ms"} { // a node has 1 s for a handshake
		for _, kind := range subscriptionKinds {
			t.Run(fmt.Sprint(kind.name, " ", moveWithin), func(t *testing.T) {
				m := startMigration(t, 2, kind.frame, fmt.Sprintf("(move-within %q)", moveWithin))
				m.publish(m.next, messagesAtEachNode)
				want := 0
				if kind.isQueueGroup {
					want = messagesAtEachNode
				}
				m.expectMessagesBefore("-ERR 'Stale Connection'\r\n", want)
			})
		}
	}
}

// Guards against the loss of a message of a queue group that does not fit into the buffer for the next node's messages. The gateway
// abandons that node then.
func TestNATSFullBufferDeliversMessageOfAQueueGroup(t *testing.T) {
	for _, kind := range subscriptionKinds {
		t.Run(kind.name, func(t *testing.T) {
			m := startMigration(t, 3, kind.frame, "(max-pending 4096)")
			m.body = strings.Repeat("x", 100_000) // the buffer has 16 times max-pending
			m.publish(m.next, 1)
			m.awaitHandshake(m.draining, m.next)
			want := 0
			if kind.isQueueGroup {
				want = 1
			}
			m.expectMessages(want)
		})
	}
}

// Guards against messages that are lost because the next node fails while it is being set up: the session stays at the draining
// node, and the gateway takes that node's messages for duplicates of its own earlier ones.
func TestNATSRejectedMigrationDeliversEqualMessages(t *testing.T) {
	for _, kind := range subscriptionKinds {
		t.Run(kind.name, func(t *testing.T) {
			m := startMigration(t, 2, kind.frame, `(move-within "2s")`)
			m.publish(m.draining, messagesAtEachNode)
			m.fleet.nodes[m.next].Kill()
			for range messagesAtEachNode {
				time.Sleep(5 * time.Millisecond) // so that most come between two set-ups
				m.publish(m.draining, 1)
			}
			m.expectMessagesBefore("-ERR 'Stale Connection'\r\n", 2*messagesAtEachNode)
		})
	}
}

// Guards against any loss of a queue group's messages while sessions move: the client must receive each message that a node has
// delivered to its session.
func TestNATSQueueGroupLosesNothingWhileNodesDrain(t *testing.T) {
	const workers, messages, drains = 6, 4000, 3
	const deliveryTimeout = 5 * time.Second
	f := newFleet(t, drains+1, false, "")
	var received atomic.Int64
	for range workers {
		nc := f.connect()
		if _, err := nc.QueueSubscribe("jobs", "workers", func(*nats.Msg) { received.Add(1) }); err != nil {
			t.Fatal(err)
		}
		flush(t, nc)
	}
	delivered := 0
	for i := range messages {
		if drained := i / (messages / (drains + 1)); i%(messages/(drains+1)) == 0 && drained > 0 {
			f.drain(drained-1, drained%2 == 0)
		}
		delivered += f.nodes[drains].Publish("jobs", []byte("recount"))
		if i%5 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	eventually(t, "all sessions are at the last node", func() bool { return f.nodes[drains].ConnectionCount() == workers })
	for until := time.Now().Add(deliveryTimeout); int(received.Load()) < delivered && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if got := int(received.Load()); got != delivered {
		t.Errorf("the clients received %d messages, want the %d that nodes have delivered to their sessions", got, delivered)
	}
}
