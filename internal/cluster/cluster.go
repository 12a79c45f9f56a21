// Package cluster has a gateway work with the other instances of its fleet: it recovers an endpoint list after a start, and
// sheds load together with them.
//
// The package does the I/O: it stores the endpoint list on disk, sends it to peers that request it, requests theirs after a
// start, and exchanges load reports. The decisions are those of the packages recovery and loadshed below it.
//
// All methods of a Cluster may be called from any goroutine; Run and Recover block and are to be called once each. The
// package starts no goroutine of its own beyond those of the transport, which Close ends.
package cluster

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/wal"
)

const (
	// maxClockSkew is how far the clocks of two instances may differ.
	maxClockSkew = 2 * time.Second
	// maxPendingDecisions bounds the decisions that wait for Recover. Each replaces those before it.
	maxPendingDecisions = 64
)

// Options configure a Cluster.
type Options struct {
	Name             string
	Listen           string            // host:port for the peers
	Peers            map[string]string // addresses of the other instances by name
	Key              []byte            // shared by all instances
	Dir              string            // on a disk that survives a loss of power
	PeerTimeout      time.Duration     // how long a start waits for the peers
	Priorities       int               // of load shedding; 0: nothing is shed
	MinAdmittedRatio float64           // of the lowest priority, admitted under any overload
	WarmupDuration   time.Duration     // how long a server is cold after its start
	FS               wal.FS            // nil: the operating system's
	// Connect returns the transport to the peers; nil: sockets, with Listen, Peers and Key.
	Connect func(membership.Options) (membership.Transport, error)
	Clock   func() time.Duration // Unix time
	Logger  *slog.Logger
}

// Cluster is the part of one instance in its fleet.
type Cluster struct {
	opts         Options
	startedAt    time.Duration
	incarnations *membership.Incarnations
	log          wal.Log // nil: it could not be opened, and nothing is stored
	recordCount  int     // in the log after its snapshot; Run's own
	unsaved      chan struct{}
	decisions    chan recovery.Decision

	mu           sync.Mutex
	transport    membership.Transport // nil until Start has connected
	recovery     *recovery.Recovery
	servingSince time.Duration // 0: it recovers
	list         endpointList
	assemblies   map[string]*assembly            // by peer
	nextPart     map[string]int                  // by peer: where the next answer with this instance's state begins
	peerLists    map[string][]discovery.Endpoint // of peers that have sent their whole state
	shedder      *loadshed.Shedder               // nil: nothing is shed
	loadReports  uint64                          // sent so far
}

// Start reads the disk, begins an incarnation and joins the peers. Damaged files are moved aside and logged, and do not
// keep the instance from starting. An incarnation that can't be stored does: the error is a membership.IncarnationError,
// and one of Options.Connect otherwise.
func Start(o Options) (*Cluster, error) {
	if o.FS == nil {
		o.FS = wal.OSFS{}
	}
	if o.Connect == nil {
		o.Connect = o.listen
	}
	c := &Cluster{
		opts:       o,
		startedAt:  o.Clock(),
		unsaved:    make(chan struct{}, 1),
		decisions:  make(chan recovery.Decision, maxPendingDecisions),
		list:       endpointList{byID: map[string]discovery.Endpoint{}},
		assemblies: map[string]*assembly{},
		nextPart:   map[string]int{},
		peerLists:  map[string][]discovery.Endpoint{},
	}
	if o.Priorities > 0 {
		c.shedder = loadshed.New(loadshed.Settings{Priorities: o.Priorities, MinAdmittedRatio: o.MinAdmittedRatio})
	}
	stored := c.openLog()
	if err := c.join(stored); err != nil {
		return nil, errors.Join(err, c.closeLog())
	}
	return c, nil
}

// join begins an incarnation and the recovery, and connects to the peers.
func (c *Cluster) join(stored recovery.PeerState) error {
	var err error
	if c.incarnations, err = membership.OpenIncarnations(c.opts.FS, c.opts.Dir); err != nil {
		return err
	}
	incarnation, err := c.incarnations.Next(0, c.startedAt)
	if err != nil {
		return err
	}
	c.recovery = recovery.New(recovery.Settings{
		Name:           c.opts.Name,
		Peers:          slices.Sorted(maps.Keys(c.opts.Peers)),
		PeerTimeout:    c.opts.PeerTimeout,
		WarmupDuration: c.opts.WarmupDuration,
		MaxClockSkew:   maxClockSkew,
	})
	c.handle(recovery.Startup{Disk: stored})
	transport, err := c.opts.Connect(membership.Options{
		Name:            c.opts.Name,
		Incarnation:     incarnation,
		OnMessage:       c.receive,
		BumpIncarnation: c.bumpIncarnation,
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transport = transport
	return nil
}

// listen is the default of Options.Connect.
func (o Options) listen(p membership.Options) (membership.Transport, error) {
	gossip, err := membership.Listen(membership.GossipOptions{
		Options: p, Bind: o.Listen, Join: slices.Collect(maps.Values(o.Peers)), Key: o.Key, Logger: o.Logger,
	})
	if err != nil {
		return nil, err // not a Transport that holds a nil pointer
	}
	return gossip, nil
}

// bumpIncarnation begins an incarnation above one that peers have seen.
func (c *Cluster) bumpIncarnation(above uint64) (uint64, error) {
	c.opts.Logger.Warn("peers have seen a later incarnation than the disk holds", "incarnation", above)
	return c.incarnations.Next(above, c.opts.Clock())
}

// UpdateEndpoints takes an endpoint list from discovery, to store it and to send it to peers. It ends the recovery. Cached
// lists are ignored. It is to be called before the engine takes the list.
func (c *Cluster) UpdateEndpoints(update engine.EndpointList) {
	if update.Mode != balancer.ListComplete && update.Mode != balancer.ListDelta {
		return
	}
	c.mu.Lock()
	changed := c.list.apply(c.opts.Clock(), update)
	c.mu.Unlock()
	c.handle(recovery.DiscoveryUpdate{})
	if changed {
		select {
		case c.unsaved <- struct{}{}:
		default: // it is due already
		}
	}
}

// UpdateLoad takes the instance's counts since the last call, reports its load to the peers, and returns the level of what
// the fleet sheds, as in loadshed.Decision. It is to be called every loadshed.ReportInterval, and only with
// Options.Priorities above 0.
func (c *Cluster) UpdateLoad(counts loadshed.LocalCounts) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision := c.shedder.Update(c.opts.Clock(), counts)
	c.loadReports++
	c.broadcast(message{Kind: kindLoadReport, loadReport: loadReport{
		Sequence:     c.loadReports,
		ShedRatio:    decision.Report.ShedRatio,
		RequestRates: decision.Report.RequestRates,
	}})
	return decision.Level
}

// Close closes the transport, without notice to the peers, and the log. Run is to be stopped before, as it can store
// nothing afterwards.
func (c *Cluster) Close() error { return errors.Join(c.transport.Close(), c.closeLog()) }
