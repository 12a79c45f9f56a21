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
	// stateDirPollInterval is the time between reads of the snapshots that other processes write.
	stateDirPollInterval = 100 * time.Millisecond
	// snapshotInterval is the time between this process's snapshots while it serves.
	snapshotInterval = time.Second
	// drainingSnapshotInterval is the time between this process's snapshots during a shutdown. The successor must know the
	// connections that are open here before their packets reach it, which is 3.7 s after the start of the shutdown at the
	// earliest.
	drainingSnapshotInterval = 250 * time.Millisecond
)

// loadPredecessor reads the snapshot of the process that this one replaces, if the clients' listening socket is inherited.
// If the predecessor's endpoint list is not empty, it replaces a missing or older list of the configuration.
func (g *Gateway) loadPredecessor() {
	if g.config.InheritedSocket == 0 {
		g.stateDir = hotrestart.NewStateDir("", hotrestart.Process{}, g.logger)
		return
	}
	now := time.Now()
	process := hotrestart.Process{StartedAt: now.UnixNano(), PID: os.Getpid()}
	g.stateDir = hotrestart.NewStateDir(g.config.StateDir, process, g.logger)
	snapshot, ok := g.stateDir.ReadPredecessor(now)
	if !ok {
		return
	}
	g.predecessor = &snapshot
	g.maintenance.AddKnown(snapshot.KnownServers)
	state := &snapshot.State
	if cached := g.config.CachedList; len(state.Servers) > 0 && (cached == nil || state.Version > cached.Version) {
		g.config.CachedList = discovery.NewEndpointList(state.Version, state.Servers)
	}
	g.logger.Info("hot restart from predecessor", "pid", snapshot.Process.PID, "written_at", snapshot.WrittenAt,
		"version", state.Version, "connections", len(state.Flows))
}

// runHotRestart reads the predecessor's snapshots and writes this process's snapshots for a successor, until ctx is done.
// Once shutdown is closed and a successor serves, it closes listener, so that the successor accepts the connections in the
// shared accept queue.
func (g *Gateway) runHotRestart(ctx context.Context, shutdown <-chan struct{}, listener *frontend.Listener) {
	defer g.stateDir.RemoveSnapshot()
	ticker := time.NewTicker(stateDirPollInterval)
	defer ticker.Stop()
	var writtenAt time.Time
	wasReady, accepting := false, true
	for {
		now, interval := time.Now(), snapshotInterval
		if snapshot, ok := g.stateDir.ReadPredecessor(now); ok {
			g.engine.Post(engine.PredecessorState{State: snapshot.State})
		}
		if isClosed(shutdown) {
			interval = drainingSnapshotInterval
			if accepting && g.stateDir.HasSuccessor() {
				accepting = false
				listener.Close()
			}
		}
		if now.Sub(writtenAt) >= interval || g.Ready() != wasReady {
			wasReady, writtenAt = g.Ready(), now
			g.writeSnapshot(ctx, wasReady)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// writeSnapshot writes a snapshot of this process's current state. It writes nothing if ctx is done before the engine
// answers.
func (g *Gateway) writeSnapshot(ctx context.Context, ready bool) {
	delivered := make(chan engine.State, 1)
	g.engine.Post(engine.StateRequested{Deliver: func(s engine.State) { delivered <- s }})
	select {
	case state := <-delivered:
		g.weights.restoreListedWeights(state.Servers) // the successor applies its own plan
		g.stateDir.Write(hotrestart.Snapshot{
			WrittenAt: time.Now(), Ready: ready, KnownServers: g.maintenance.Known(), State: state,
		})
	case <-ctx.Done():
	}
}
