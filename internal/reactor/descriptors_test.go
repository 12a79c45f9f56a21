package reactor

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against closed connections that keep their descriptors until the loop has handled the event that accepted them: a
// burst that waits in the kernel's accept queue is accepted at one event, and each of its connections is closed at once.
func TestBurstStaysWithinTheDescriptorBudget(t *testing.T) {
	const budget, burst = 20, 200
	g := newGroup(t, 1)
	g.SetDescriptorBudget(budget)
	var highest atomic.Int64
	addr := listen(t, g, func() Handler {
		return &handlerFuncs{open: func(c *Conn, _ error) {
			held, _ := g.DescriptorCounts()
			highest.Store(max(highest.Load(), int64(held)))
			noError(t, c.Send([]byte("BUSY\r\n")))
			c.Close()
		}}
	})
	clients := dialWhileBusy(t, g, addr, burst)
	for i, client := range clients {
		if got, err := io.ReadAll(client); string(got) != "BUSY\r\n" || err != nil {
			t.Errorf("client %d got %q, %v, want BUSY and no error", i, got, err)
		}
	}
	if highest.Load() > budget {
		t.Errorf("%d descriptors were held at once, want %d at most", highest.Load(), budget)
	}
}

// Guards against dials that find no free descriptor: a dial evicts connections that are being closed, including those with
// pending bytes, and no others.
func TestDialMakesRoomInTheDescriptorBudget(t *testing.T) {
	const budget = 4
	g, _, _, accepted := fullGroup(t, budget)
	noError(t, accepted[0].Send(make([]byte, 8<<20))) // more than the kernel buffers
	accepted[0].Close()
	accepted[1].Close()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	t.Cleanup(func() { noError(t, server.Close()) })
	for i, closed := range [][]bool{{false, true, false, false}, {true, true, false, false}, {true, true, false, false}} {
		opened := make(chan error, 1)
		g.Dial(server.Addr().String(), testTimeout, &handlerFuncs{open: func(_ *Conn, err error) { opened <- err }}, nil)
		noError(t, await(t, opened))
		for j, conn := range accepted {
			if isClosed := conn.Peer() == ""; isClosed != closed[j] {
				t.Errorf("after dial %d connection %d is closed: %v, want %v", i+1, j, isClosed, closed[j])
			}
		}
	}
}

// Guards against accepting beyond the budget: while no connection is being closed, clients wait in the kernel's accept
// queue. They are accepted once a descriptor is free.
func TestFullBudgetLeavesClientsInTheAcceptQueue(t *testing.T) {
	const budget = 3
	g, addr, conns, accepted := fullGroup(t, budget)
	dial(t, addr)
	select {
	case <-conns:
		t.Fatal("accepted beyond the budget")
	case <-time.After(5 * acceptPause):
	}
	accepted[0].Abort(false)
	await(t, conns)
	if held, _ := g.DescriptorCounts(); held != budget {
		t.Errorf("%d descriptors are held, want %d", held, budget)
	}
}

// Guards against a shutdown that accepts all connections of the kernel's accept queue before it closes the first of them.
func TestDrainStaysWithinTheDescriptorBudget(t *testing.T) {
	const budget, waiting = 20, 200
	g := newGroup(t, 2)
	g.SetDescriptorBudget(budget)
	var highest atomic.Int64
	unfinished := make(chan *Conn, 2*waiting)
	var isDraining atomic.Bool
	listener, err := g.Listen("127.0.0.1:0", 1, func(func()) Handler {
		return &handlerFuncs{open: func(c *Conn, _ error) {
			if !isDraining.Load() {
				unfinished <- c
				return
			}
			held, _ := g.DescriptorCounts()
			highest.Store(max(highest.Load(), int64(held)))
			noError(t, c.Send([]byte("BUSY\r\n")))
			c.Close()
		}}
	})
	noError(t, err)
	var clients []net.Conn
	for range waiting {
		clients = append(clients, dial(t, listener.Addr()))
	}
	await(t, unfinished) // the first client; the others wait in the accept queue
	isDraining.Store(true)
	listener.Drain()
	rejected := 0
	for _, client := range clients[1:] {
		if got, err := io.ReadAll(client); string(got) == "BUSY\r\n" && err == nil {
			rejected++
		}
	}
	if rejected != waiting-1 {
		t.Errorf("%d clients were rejected, want %d", rejected, waiting-1)
	}
	if highest.Load() > budget {
		t.Errorf("%d descriptors were held at once, want %d at most", highest.Load(), budget)
	}
}

// Guards against descriptors that are released twice or never, for each way in which a connection ends.
func TestDescriptorsAreReleasedOnce(t *testing.T) {
	g := newGroup(t, 2)
	addr, conns := pausedListener(t, g, nil)
	for _, end := range []func(*Conn){
		func(c *Conn) { c.Close() },
		func(c *Conn) { c.Abort(false) },
		func(c *Conn) { c.Abort(true); c.Abort(true) },
		func(c *Conn) { c.Close(); c.Abort(false); c.Close() },
		func(c *Conn) { c.Close(); c.evict() },
	} {
		client := dial(t, addr)
		conn := await(t, conns)
		end(conn)
		noError(t, client.Close())
		waitFor(t, "the descriptor is released", func() bool { return g.heldDescriptors() == 0 })
	}
	for _, target := range []string{"no address", "127.0.0.1:1", addr} {
		c := g.Dial(target, testTimeout, &handlerFuncs{open: func(*Conn, error) {}}, nil)
		c.Abort(false)
		c.Abort(false)
	}
	g.Quiesce(testTimeout)
	waitFor(t, "the descriptors of the dials are released", func() bool {
		for len(conns) > 0 {
			(<-conns).Abort(false)
		}
		return g.heldDescriptors() == 0
	})
	g.ReserveDescriptor()
	g.ReleaseDescriptor()
	if held, closing := g.DescriptorCounts(); held != 0 || closing != 0 {
		t.Errorf("%d descriptors are counted and %d connections are being closed, want 0 and 0", held, closing)
	}
}

// fullGroup returns a group whose descriptor budget is used up by the connections accepted. Its listener sends further
// connections to conns.
func fullGroup(t *testing.T, budget int) (g *Group, addr string, conns chan *Conn, accepted []*Conn) {
	t.Helper()
	g = newGroup(t, 1)
	g.SetDescriptorBudget(budget)
	addr, conns = pausedListener(t, g, nil)
	for range budget {
		dial(t, addr)
		accepted = append(accepted, await(t, conns))
	}
	return g, addr, conns, accepted
}

// dialWhileBusy connects n clients while the loops are blocked, so that one event or a few accept them all.
func dialWhileBusy(t *testing.T, g *Group, addr string, n int) []net.Conn {
	t.Helper()
	release := make(chan struct{})
	for _, l := range g.loops {
		l.Post(func() { <-release })
	}
	clients := make([]net.Conn, n)
	for i := range clients {
		clients[i] = dial(t, addr)
	}
	close(release)
	return clients
}
