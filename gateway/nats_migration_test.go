package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/nats-io/nats.go"

	"example.org/milletvane/internal/fakeserver"
)

// A session's node drains, and then the node that the session has migrated to. The client must stay connected and receive
// each message once and in order.
//
//nolint:gocognit // one over the limit; the choice of the node to drain reads best where the stream calls it
func TestNATSDrainsMoveTheSession(t *testing.T) {
	for _, announce := range []bool{false, true} {
		t.Run(fmt.Sprint("announced ", announce), func(t *testing.T) {
			f := newFleet(t, 4, false, "")
			nc := f.connect()
			drained := 0 // a bit mask of node indexes
			f.checkStream(nc, 3000, func(i int) {
				if i == 500 || i == 900 || i == 905 {
					for j, n := range f.nodes {
						if n.ConnectionCount() > 0 {
							drained |= 1 << j
							f.drain(j, announce)
							break
						}
					}
				}
			})
			eventually(t, "no drained node holds a session", func() bool {
				for j, n := range f.nodes {
					if drained&(1<<j) != 0 && n.ConnectionCount() > 0 {
						return false
					}
				}
				return true
			})
			if !nc.IsConnected() || nc.Reconnects > 0 {
				t.Error("the client was disconnected")
			}
		})
	}
}

// Guards against a session that stays at a node which begins to drain, or is removed, while the session is being set up
// there: the drain comes between the handshake and the node's answer. The same must hold for a session that is migrating to
// the node at that time.
func TestNATSDrainDuringTheSetUpMovesTheSession(t *testing.T) {
	for _, state := range []string{fakeserver.StateTerminating, fakeserver.StateTerminated} {
		for _, announce := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, announced %v", state, announce), func(t *testing.T) {
				f := newFleet(t, 3, false, "")
				f.connect().Close()
				eventually(t, "the first session is gone", func() bool { return f.sessionCount() == 0 })
				f.forEachNode((*fakeserver.NATSNode).IgnorePings)
				f.sendConnect()
				eventually(t, "a node has the handshake", func() bool { return f.sessionCount() == 1 })
				f.expectToLeave(f.drainHolders(state, announce))
			})
			t.Run(fmt.Sprintf("%s, announced %v, migrating", state, announce), func(t *testing.T) {
				f := newFleet(t, 3, false, "")
				f.connect()
				f.forEachNode((*fakeserver.NATSNode).IgnorePings)
				f.drainHolders(state, announce)
				eventually(t, "the next node has the handshake", func() bool { return f.sessionCount() == 2 })
				f.expectToLeave(f.drainHolders(state, announce))
			})
		}
	}
}

// drainHolders drains all nodes that hold a session, waits until the gateway has the endpoint list that gives them the state,
// and returns them.
func (f *fleet) drainHolders(state string, announce bool) (drained []*fakeserver.NATSNode) {
	f.t.Helper()
	for i, n := range f.nodes {
		if n.ConnectionCount() == 0 {
			continue
		}
		n.Drain(announce)
		f.catalog.SetEndpoint(f.endpoint(i, state))
		drained = append(drained, n)
	}
	eventually(f.t, "the gateway has the list", f.catalog.IsListKnown)
	return drained
}

// expectToLeave makes the nodes answer the PINGs that they have ignored, and waits until the only session has left the
// draining nodes.
func (f *fleet) expectToLeave(drained []*fakeserver.NATSNode) {
	f.t.Helper()
	f.forEachNode((*fakeserver.NATSNode).AnswerPings)
	eventually(f.t, "the session is at a node that does not drain", func() bool {
		for _, n := range drained {
			if n.ConnectionCount() > 0 {
				return false
			}
		}
		return f.sessionCount() == 1
	})
}

// A node is killed, hangs, or dies in the middle of a message. Its session must migrate and the client must stay connected;
// only messages that the failed node had not delivered may be lost.
func TestNATSFailuresMoveTheSession(t *testing.T) {
	for name, fail := range map[string]func(*fakeserver.NATSNode){
		"kill": (*fakeserver.NATSNode).Kill, "hang": (*fakeserver.NATSNode).Hang,
		"cut": func(n *fakeserver.NATSNode) { n.CutMidMessage(); time.Sleep(5 * time.Millisecond); n.Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, false, "")
			nc := f.connect()
			failing := f.sessionNode()
			f.checkStream(nc, 2000, func(i int) {
				if i == 500 {
					fail(f.nodes[failing])
				}
				if i == 1000 {
					eventually(t, "another node holds the session", func() bool {
						for j, n := range f.nodes {
							if j != failing && n.SubscriptionCount() > 0 {
								return true
							}
						}
						return false
					})
				}
			})
			if !nc.IsConnected() {
				t.Error("the client was disconnected")
			}
		})
	}
}

// A node drains while messages are queued for a client that does not read yet, and while requests are pending. Every message
// and every answer must arrive exactly once.
func TestNATSDrainWithMessagesQueued(t *testing.T) {
	f := newFleet(t, 3, false, "")
	f.connect().Close()
	eventually(t, "the first session is gone", func() bool {
		return f.nodes[0].ConnectionCount()+f.nodes[1].ConnectionCount()+f.nodes[2].ConnectionCount() == 0
	})
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	e := newTestConn(t, c)
	e.readLine()
	e.send("CONNECT {\"headers\":true}\r\nSUB stream.1 1\r\nSUB in.* 2\r\nPING\r\n")
	e.expectLine("PONG\r\n")
	draining := f.sessionNode()
	f.nodes[draining].SetHandler(func(b []byte) ([]byte, time.Duration) { return b, 300 * time.Millisecond })
	for i := range 5 {
		e.send(fmt.Sprintf("PUB svc.safe.%d in.%d 2\r\nr%d\r\n", i, i, i))
	}
	eventually(t, "requests are pending", func() bool { most, _, _ := f.cluster.AttemptStats(); return most == 1 })
	const n = 200
	padding := strings.Repeat("x", 20_000) // all messages together are larger than any buffer on the path
	for i := range n / 2 {
		f.nodes[0].Publish("stream.1", []byte(fmt.Sprintf("%d %s", i, padding)))
	}
	f.drain(draining, true)
	for i := n / 2; i < n; i++ {
		f.nodes[(draining+1)%3].Publish("stream.1", []byte(fmt.Sprintf("%d %s", i, padding)))
	}
	time.Sleep(50 * time.Millisecond) // the client starts to read only after this
	next, answers := 0, map[string]int{}
	for next < n || len(answers) < 5 {
		line := e.readLine()
		var sid, size int
		var subject string
		if _, err := fmt.Sscanf(line, "MSG %s %d %d", &subject, &sid, &size); err != nil {
			t.Fatalf("got the line %q, want MSG", line)
		}
		body := strings.TrimSuffix(e.readLine(), "\r\n")
		if sid == 2 {
			answers[subject+body]++
			continue
		}
		if want := fmt.Sprint(next, " "); !strings.HasPrefix(body, want) {
			t.Fatalf("want message %d, got %.10q", next, body)
		}
		next++
	}
	for i := range 5 {
		if got := answers[fmt.Sprintf("in.%dr%d", i, i)]; got != 1 {
			t.Errorf("request %d was answered %d times, want once", i, got)
		}
	}
}

// Guards against connections and subscriptions that stay at either node when a client disconnects during a migration.
func TestNATSClientDisconnectsDuringMigration(t *testing.T) {
	f := newFleet(t, 2, false, "")
	nc := f.connect()
	for i := range 50 {
		if _, err := nc.Subscribe(fmt.Sprint("s.", i), func(*nats.Msg) {}); err != nil {
			t.Fatal(err)
		}
	}
	flush(t, nc)
	draining := f.sessionNode()
	f.nodes[1-draining].IgnorePings() // the setup there is never confirmed
	f.drain(draining, true)
	eventually(t, "the next node has subscriptions", func() bool { return f.nodes[1-draining].SubscriptionCount() > 0 })
	nc.Close()
	eventually(t, "no node holds connections or subscriptions", func() bool {
		return f.nodes[0].ConnectionCount()+f.nodes[0].SubscriptionCount()+f.nodes[1].ConnectionCount()+f.nodes[1].SubscriptionCount() == 0
	})
}

// If no other node can take a session, its client must get an error and be closed.
func TestNATSNoNodeLeft(t *testing.T) {
	f := newFleet(t, 1, false, `(move-within "500ms")`)
	f.connect().Close()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	e := newTestConn(t, c)
	e.readLine()
	e.send("CONNECT {}\r\nPING\r\n")
	e.expectLine("PONG\r\n")
	f.nodes[0].Kill()
	e.expectLine("-ERR 'Stale Connection'\r\n")
	e.expectClosed()
}

// Guards against a session's handshake that reaches a node after its drain grace: the connection to the node is opened
// before the drain begins, and the node's INFO arrives after the grace.
func TestNATSHandshakeDoesNotReachANodePastItsDrainGrace(t *testing.T) {
	f := newFleet(t, 2, false, "")
	f.connect().Close()
	eventually(t, "the first session is gone", func() bool { return f.sessionCount() == 0 })
	f.forEachNode((*fakeserver.NATSNode).HoldInfo)
	f.sendConnect()
	draining := f.waitForConnAwaitingInfo()
	f.nodes[draining].DrainUnannounced()
	f.catalog.SetEndpoint(f.endpoint(draining, fakeserver.StateTerminating))
	eventually(t, "the gateway has the list", f.catalog.IsListKnown)
	time.Sleep(700 * time.Millisecond) // the drain grace is 500 ms
	f.forEachNode((*fakeserver.NATSNode).SendInfo)
	eventually(t, "the session is at the other node", func() bool { return f.nodes[1-draining].ConnectionCount() > 0 })
	if _, _, late := f.cluster.AttemptStats(); late > 0 {
		t.Errorf("%d subscriptions reached a node after its drain grace, want none", late)
	}
}

// waitForConnAwaitingInfo waits until a node has a connection that has received no INFO, and returns that node's index.
func (f *fleet) waitForConnAwaitingInfo() (node int) {
	f.t.Helper()
	eventually(f.t, "a connection awaits INFO", func() bool {
		for i, n := range f.nodes {
			if n.AwaitingInfoCount() > 0 {
				node = i
				return true
			}
		}
		return false
	})
	return node
}
