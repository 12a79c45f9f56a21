package reactor

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against closed connections that keep their descriptors until the event at which others are accepted is over: a
// burst that waits in the kernel's queue is accepted at one event, and each of its connections closed at once.
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
	clients := burstOf(t, g, addr, burst)
	for i, client := range clients {
		if got, err := io.ReadAll(client); string(got) != "BUSY\r\n" || err != nil {
			t.Errorf("client %d got %q, %v", i, got, err)
		}
	}
	if highest.Load() > budget {
		t.Errorf("%d descriptors were held, the budget is %d", highest.Load(), budget)
	}
}

// Guards against a program that can't dial servers: connections that are closing make room for a dial, also those that have
// bytes to write, and those that are not closing do not.
func TestDialMakesRoomInTheDescriptorBudget(t *testing.T) {
	const budget = 4
	g, _, _, ins := fullGroup(t, budget)
	noError(t, ins[0].Send(make([]byte, 8<<20))) // more than the kernel takes
	ins[0].Close()
	ins[1].Close()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	t.Cleanup(func() { noError(t, server.Close()) })
	for i, closed := range [][]bool{{false, true, false, false}, {true, true, false, false}, {true, true, false, false}} {
		opened := make(chan error, 1)
		g.Dial(server.Addr().String(), testTimeout, &handlerFuncs{open: func(_ *Conn, err error) { opened <- err }}, nil)
		noError(t, await(t, opened))
		for j, in := range ins {
			if isClosed := in.Peer() == ""; isClosed != closed[j] {
				t.Errorf("after dial %d connection %d is closed: %v, want %v", i+1, j, isClosed, closed[j])
			}
		}
	}
}

// Guards against accepting beyond the budget: while no connection is closing, clients wait in the kernel's queue, and are
// accepted once there is room again.
func TestFullBudgetLeavesClientsInTheAcceptQueue(t *testing.T) {
	const budget = 3
	g, addr, conns, ins := fullGroup(t, budget)
	dial(t, addr)
	select {
	case <-conns:
		t.Fatal("accepted beyond the budget")
	case <-time.After(5 * acceptPause):
	}
	ins[0].Abort(false)
	await(t, conns)
	if held, _ := g.DescriptorCounts(); held != budget {
		t.Errorf("%d descriptors are held, want %d", held, budget)
	}
}

// Guards against a shutdown that accepts all that waits in the kernel's queue before it closes the first of it.
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
	await(t, unfinished) // the first; the others wait
	isDraining.Store(true)
	listener.Drain()
	rejected := 0
	for _, client := range clients[1:] {
		if got, err := io.ReadAll(client); string(got) == "BUSY\r\n" && err == nil {
			rejected++
		}
	}
	if rejected != waiting-1 {
		t.Errorf("%d of %d clients were rejected", rejected, waiting-1)
	}
	if highest.Load() > budget {
		t.Errorf("%d descriptors were held, the budget is %d", highest.Load(), budget)
	}
}

// Guards against descriptors that are counted once too often or too little, in every way in which a connection ends.
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
		in := await(t, conns)
		end(in)
		noError(t, client.Close())
		waitFor(t, "released", func() bool { return g.heldDescriptors() == 0 })
	}
	for _, target := range []string{"no address", "127.0.0.1:1", addr} {
		c := g.Dial(target, testTimeout, &handlerFuncs{open: func(*Conn, error) {}}, nil)
		c.Abort(false)
		c.Abort(false)
	}
	g.Quiesce(testTimeout)
	waitFor(t, "released after dials", func() bool {
		for len(conns) > 0 {
			(<-conns).Abort(false)
		}
		return g.heldDescriptors() == 0
	})
	g.ReserveDescriptor()
	g.ReleaseDescriptor()
	if held, leaving := g.DescriptorCounts(); held != 0 || leaving != 0 {
		t.Errorf("%d descriptors and %d connections that are leaving are left", held, leaving)
	}
}

// fullGroup returns a group whose descriptor budget is used up by connections, with a listener that has more come to conns.
func fullGroup(t *testing.T, budget int) (g *Group, addr string, conns chan *Conn, ins []*Conn) {
	t.Helper()
	g = newGroup(t, 1)
	g.SetDescriptorBudget(budget)
	addr, conns = pausedListener(t, g, nil)
	for range budget {
		dial(t, addr)
		ins = append(ins, await(t, conns))
	}
	return g, addr, conns, ins
}

// burstOf has clients connect while the loops are busy, so that all are accepted at one event or few.
func burstOf(t *testing.T, g *Group, addr string, n int) []net.Conn {
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
