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

// A node drains, and then the node moved to: the client stays connected and has each message once, in order.
//
//nolint:gocognit // one over the limit; the choice of the node to drain reads best where the stream calls it
func TestNATSDrainsMoveTheSession(t *testing.T) {
	for _, tell := range []bool{false, true} {
		t.Run(fmt.Sprint("told ", tell), func(t *testing.T) {
			f := newFleet(t, 4, false, "")
			nc := f.connect()
			drained := 0
			f.stream(nc, 3000, func(i int) {
				if i == 500 || i == 900 || i == 905 {
					for j, n := range f.nodes {
						if n.ConnectionCount() > 0 {
							drained |= 1 << j
							f.drain(j, tell)
							break
						}
					}
				}
			})
			eventually(t, "nothing is left at a drained node", func() bool {
				for j, n := range f.nodes {
					if drained&(1<<j) != 0 && n.ConnectionCount() > 0 {
						return false
					}
				}
				return true
			})
			if !nc.IsConnected() || nc.Reconnects > 0 {
				t.Error("the client was cut off")
			}
		})
	}
}

// Guards against a session that stays at a node which began to drain, or was removed, while the session was set up there:
// the drain comes between the handshake and the node's answer to it. Likewise for a session that migrates at that moment.
func TestNATSDrainDuringTheSetUpMovesTheSession(t *testing.T) {
	for _, state := range []string{fakeserver.StateTerminating, fakeserver.StateTerminated} {
		for _, announce := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, announced %v", state, announce), func(t *testing.T) {
				f := newFleet(t, 3, false, "")
				f.connect().Close()
				eventually(t, "the first session is gone", func() bool { return f.sessions() == 0 })
				f.eachNode((*fakeserver.NATSNode).IgnorePings)
				f.sendConnect()
				eventually(t, "a node has the handshake", func() bool { return f.sessions() == 1 })
				f.expectToLeave(f.drainHolders(state, announce))
			})
			t.Run(fmt.Sprintf("%s, announced %v, migrating", state, announce), func(t *testing.T) {
				f := newFleet(t, 3, false, "")
				f.connect()
				f.eachNode((*fakeserver.NATSNode).IgnorePings)
				f.drainHolders(state, announce)
				eventually(t, "the next node has the handshake", func() bool { return f.sessions() == 2 })
				f.expectToLeave(f.drainHolders(state, announce))
			})
		}
	}
}

// drainHolders has all nodes that hold a session drain, with an entry in the list that the gateway gets, and returns them.
func (f *fleet) drainHolders(state string, announce bool) (drained []*fakeserver.NATSNode) {
	f.t.Helper()
	for i, n := range f.nodes {
		if n.ConnectionCount() == 0 {
			continue
		}
		n.Drain(announce)
		f.catalog.SetEndpoint(f.entry(i, state))
		drained = append(drained, n)
	}
	eventually(f.t, "the gateway has the list", f.catalog.IsListKnown)
	return drained
}

// expectToLeave has the nodes answer what they have not, and waits until the only session has left those that drain.
func (f *fleet) expectToLeave(drained []*fakeserver.NATSNode) {
	f.t.Helper()
	f.eachNode((*fakeserver.NATSNode).AnswerPings)
	eventually(f.t, "the session is at a node that does not drain", func() bool {
		for _, n := range drained {
			if n.ConnectionCount() > 0 {
				return false
			}
		}
		return f.sessions() == 1
	})
}

// A node that is killed or hangs, or dies inside a message, costs what it had not handed over, and its clients nothing else.
func TestNATSFailuresMoveTheSession(t *testing.T) {
	for name, fail := range map[string]func(*fakeserver.NATSNode){
		"kill": (*fakeserver.NATSNode).Kill, "hang": (*fakeserver.NATSNode).Hang,
		"cut": func(n *fakeserver.NATSNode) { n.CutMidMessage(); time.Sleep(5 * time.Millisecond); n.Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, false, "")
			nc := f.connect()
			at := f.holder()
			f.stream(nc, 2000, func(i int) {
				if i == 500 {
					fail(f.nodes[at])
				}
				if i == 1000 {
					eventually(t, "it stands elsewhere", func() bool {
						for j, n := range f.nodes {
							if j != at && n.SubscriptionCount() > 0 {
								return true
							}
						}
						return false
					})
				}
			})
			if !nc.IsConnected() {
				t.Error("the client was cut off")
			}
		})
	}
}

// A node drains with messages queued for a client that does not read yet, and with requests out: all of it arrives, once.
func TestNATSDrainWithMessagesQueued(t *testing.T) {
	f := newFleet(t, 3, false, "")
	f.connect().Close()
	eventually(t, "the first is gone", func() bool {
		return f.nodes[0].ConnectionCount()+f.nodes[1].ConnectionCount()+f.nodes[2].ConnectionCount() == 0
	})
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	e := newTestConn(t, c)
	e.line()
	e.send("CONNECT {\"headers\":true}\r\nSUB stream.1 1\r\nSUB in.* 2\r\nPING\r\n")
	e.expect("PONG\r\n")
	at := f.holder()
	f.nodes[at].SetHandler(func(b []byte) ([]byte, time.Duration) { return b, 300 * time.Millisecond })
	for i := range 5 {
		e.send(fmt.Sprintf("PUB svc.safe.%d in.%d 2\r\nr%d\r\n", i, i, i))
	}
	eventually(t, "requests are out", func() bool { most, _, _ := f.cluster.AttemptStats(); return most == 1 })
	const n = 200
	big := strings.Repeat("x", 20_000) // in all, more than any buffer on the way
	for i := range n / 2 {
		f.nodes[0].Publish("stream.1", []byte(fmt.Sprintf("%d %s", i, big)))
	}
	f.drain(at, true)
	for i := n / 2; i < n; i++ {
		f.nodes[(at+1)%3].Publish("stream.1", []byte(fmt.Sprintf("%d %s", i, big)))
	}
	time.Sleep(50 * time.Millisecond) // it reads only now
	next, answers := 0, map[string]int{}
	for next < n || len(answers) < 5 {
		line := e.line()
		var sid, size int
		var subject string
		if _, err := fmt.Sscanf(line, "MSG %s %d %d", &subject, &sid, &size); err != nil {
			t.Fatalf("got %q", line)
		}
		body := strings.TrimSuffix(e.line(), "\r\n")
		if sid == 2 {
			answers[subject+body]++
			continue
		}
		if want := fmt.Sprint(next, " "); !strings.HasPrefix(body, want) {
			t.Fatalf("message %d came as %.10q", next, body)
		}
		next++
	}
	for i := range 5 {
		if got := answers[fmt.Sprintf("in.%dr%d", i, i)]; got != 1 {
			t.Errorf("request %d was answered %d times", i, got)
		}
	}
}

// A client that drops amid a move leaves nothing at either node.
func TestNATSClientDropsAmidAMove(t *testing.T) {
	f := newFleet(t, 2, false, "")
	nc := f.connect()
	for i := range 50 {
		if _, err := nc.Subscribe(fmt.Sprint("s.", i), func(*nats.Msg) {}); err != nil {
			t.Fatal(err)
		}
	}
	flush(t, nc)
	at := f.holder()
	f.nodes[1-at].IgnorePings() // the set-up there is never confirmed
	f.drain(at, true)
	eventually(t, "the set-up is half done", func() bool { return f.nodes[1-at].SubscriptionCount() > 0 })
	nc.Close()
	eventually(t, "no node holds anything", func() bool {
		return f.nodes[0].ConnectionCount()+f.nodes[0].SubscriptionCount()+f.nodes[1].ConnectionCount()+f.nodes[1].SubscriptionCount() == 0
	})
}

// Where no other node can take a session, its client is told and closed.
func TestNATSNoNodeLeft(t *testing.T) {
	f := newFleet(t, 1, false, `(move-within "500ms")`)
	f.connect().Close()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	e := newTestConn(t, c)
	e.line()
	e.send("CONNECT {}\r\nPING\r\n")
	e.expect("PONG\r\n")
	f.nodes[0].Kill()
	e.expect("-ERR 'Stale Connection'\r\n")
	e.expectClosed()
}

// Guards against a session's handshake that reaches a node which has drained for longer than the grace: the connection was
// begun before the drain, and the node's INFO comes after the grace.
func TestNATSHandshakeDoesNotReachANodePastItsDrainGrace(t *testing.T) {
	f := newFleet(t, 2, false, "")
	f.connect().Close()
	eventually(t, "the first session is gone", func() bool { return f.sessions() == 0 })
	f.eachNode((*fakeserver.NATSNode).HoldInfo)
	f.sendConnect()
	draining := f.awaitingInfo()
	f.nodes[draining].DrainUnannounced()
	f.catalog.SetEndpoint(f.entry(draining, fakeserver.StateTerminating))
	eventually(t, "the gateway has the list", f.catalog.IsListKnown)
	time.Sleep(700 * time.Millisecond) // the grace is 500 ms
	f.eachNode((*fakeserver.NATSNode).SendInfo)
	eventually(t, "the session is at the other node", func() bool { return f.nodes[1-draining].ConnectionCount() > 0 })
	if _, _, late := f.cluster.AttemptStats(); late > 0 {
		t.Errorf("%d subscriptions reached a node past its drain grace", late)
	}
}

// awaitingInfo waits for a connection that has had no INFO and returns its node.
func (f *fleet) awaitingInfo() (node int) {
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
