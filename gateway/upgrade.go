package gateway

import (
	"context"
	"os"
	"time"

	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/hotrestart"
	"example.org/milletvane/internal/lineproto/frontend"
)

const (
	deskEvery = 100 * time.Millisecond // between looks at what other processes wrote
	// Between records of what this process knows: while it serves, and once it stops. The process that follows has what
	// is open here when packets reach it, 3.7 s after the stop at the earliest.
	recordEvery   = time.Second
	stoppingEvery = 250 * time.Millisecond
)

// takeUp reads what the process before has left, if the clients' socket is passed on. Its list goes over an older one of
// the configuration's.
func (g *Gateway) takeUp() {
	if g.config.InheritedSocket == 0 {
		g.desk = hotrestart.NewStateDir("", hotrestart.Process{}, g.logger)
		return
	}
	now := time.Now()
	g.desk = hotrestart.NewStateDir(g.config.StateDir, hotrestart.Process{StartedAt: now.UnixNano(), PID: os.Getpid()}, g.logger)
	r, ok := g.desk.ReadPredecessor(now)
	if !ok {
		return
	}
	g.before = &r
	g.bans.AddKnown(r.KnownServers)
	if known := g.config.CachedList; len(r.State.Servers) > 0 && (known == nil || r.State.Version > known.Version) {
		g.config.CachedList = discovery.NewEndpointList(r.State.Version, r.State.Servers)
	}
	g.logger.Info("follows", "pid", r.Process.PID, "written", r.WrittenAt, "list", r.State.Version, "open", len(r.State.Flows))
}

// handOver keeps up with the process before, and writes down what the one that follows must know, until watching is done.
// Once ctx is done and another process serves, what waits in the shared queue is left to that one.
func (g *Gateway) handOver(ctx, watching context.Context, f *frontend.Listener) {
	defer g.desk.Remove()
	t := time.NewTicker(deskEvery)
	defer t.Stop()
	var written time.Time
	ready, accepting := false, true
	for {
		now, every := time.Now(), recordEvery
		if r, ok := g.desk.ReadPredecessor(now); ok {
			g.engine.Post(engine.PredecessorState{State: r.State})
		}
		if ctx.Err() != nil {
			every = stoppingEvery
			if accepting && g.desk.HasSuccessor() {
				accepting = false
				f.Close()
			}
		}
		if was := ready; now.Sub(written) >= every || g.Ready() != was {
			ready, written = g.Ready(), now
			g.record(watching, ready)
		}
		select {
		case <-watching.Done():
			return
		case <-t.C:
		}
	}
}

// record writes down what this process knows now.
func (g *Gateway) record(watching context.Context, ready bool) {
	said := make(chan engine.State, 1)
	g.engine.Post(engine.StateRequested{Deliver: func(s engine.State) { said <- s }})
	select {
	case s := <-said:
		g.desk.Write(hotrestart.Snapshot{WrittenAt: time.Now(), Ready: ready, KnownServers: g.bans.Known(), State: s})
	case <-watching.Done():
	}
}
