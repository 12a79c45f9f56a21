// Package cluster coordinates a gateway with the other instances of its fleet: it recovers an endpoint list after a start and
// sheds load together with the other instances.
//
// The package does the I/O: it stores the endpoint list on disk, sends it to peers that request it, requests theirs after a
// start, and exchanges load reports. Packages recovery and loadshed below it take the decisions.
//
// All methods of a [Cluster] may be called from any goroutine. Run and Recover block, and each may be called only once. The
// package starts no goroutines other than those of the transport, which Close ends.
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
	// maxClockSkew is the time by which the clocks of two instances may differ.
	maxClockSkew = 2 * time.Second
	// maxPendingDecisions is the largest number of decisions that wait for Recover. Each replaces the earlier ones.
	maxPendingDecisions = 64
)

// Options configures a Cluster.
type Options struct {
	Name             string            // name of this instance
	Listen           string            // host:port on which the peers reach this instance
	Peers            map[string]string // addresses of the other instances, by name
	Key              []byte            // secret shared by all instances
	Dir              string            // directory for the stored state, on a disk that survives a loss of power
	PeerTimeout      time.Duration     // how long a start waits for the peers' states
	Priorities       int               // number of priorities of load shedding; 0 means that nothing is shed
	MinAdmittedRatio float64           // as in loadshed.Settings
	WarmupDuration   time.Duration     // how long a server is warming up after its start
	FS               wal.FS            // defaults to the operating system's file system
	// Connect returns the transport to the peers. Defaults to gossip over sockets, with Listen, Peers and Key.
	Connect func(membership.Options) (membership.Transport, error)
	Clock   func() time.Duration // returns the Unix time
	Logger  *slog.Logger
}

// Cluster connects one instance with the other instances of its fleet.
type Cluster struct {
	opts         Options
	startedAt    time.Duration // Unix time
	incarnations *membership.Incarnations
	log          wal.Log       // nil if it could not be opened; nothing is stored then
	recordCount  int           // number of records in the log after its snapshot; used by Run alone after Start
	unsaved      chan struct{} // holds a value if the list has changed since Run last began to store it
	decisions    chan recovery.Decision

	mu            sync.Mutex
	transport     membership.Transport // nil until Start has connected
	recovery      *recovery.Recovery
	servingSince  time.Duration // Unix time; 0 means that the instance is recovering
	list          endpointList
	assemblies    map[string]*assembly            // by peer
	nextPartIndex map[string]int                  // by peer: the first part of the next answer with this instance's state
	peerLists     map[string][]discovery.Endpoint // by peer: the list of a peer whose whole state has arrived
	shedder       *loadshed.Shedder               // nil means that nothing is shed
	loadReports   uint64                          // number of load reports sent so far
}

// Start reads the disk, begins an incarnation and connects to the peers. Damaged files are moved aside and logged, and the
// instance starts without them. If the incarnation can't be stored, Start returns a membership.IncarnationError; other errors
// are those of Options.Connect.
func Start(o Options) (*Cluster, error) {
	if o.FS == nil {
		o.FS = wal.OSFS{}
	}
	if o.Connect == nil {
		o.Connect = o.listen
	}
	c := &Cluster{
		opts:          o,
		startedAt:     o.Clock(),
		unsaved:       make(chan struct{}, 1),
		decisions:     make(chan recovery.Decision, maxPendingDecisions),
		list:          endpointList{byID: map[string]discovery.Endpoint{}},
		assemblies:    map[string]*assembly{},
		nextPartIndex: map[string]int{},
		peerLists:     map[string][]discovery.Endpoint{},
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
	gossip, err := membership.ListenGossip(membership.GossipOptions{
		Options: p, Bind: o.Listen, Join: slices.Collect(maps.Values(o.Peers)), Key: o.Key, Logger: o.Logger,
	})
	if err != nil {
		return nil, err // returning gossip here would make a Transport that is not nil but holds a nil pointer
	}
	return gossip, nil
}

// bumpIncarnation begins, stores and returns an incarnation later than above, which peers have seen of this instance.
func (c *Cluster) bumpIncarnation(above uint64) (uint64, error) {
	c.opts.Logger.Warn("peers have seen a later incarnation than the disk holds", "incarnation", above)
	return c.incarnations.Next(above, c.opts.Clock())
}

// UpdateEndpoints applies an endpoint list from discovery, so that the list is stored and sent to peers, and ends the recovery.
// It ignores cached lists. The caller must call it before passing the list to the engine.
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
		default: // a save is pending already
		}
	}
}

// UpdateLoad processes the instance's counts since the last call, sends a load report to the peers, and returns the level of
// load shedding as in loadshed.Decision. The caller calls it every loadshed.ReportInterval, and only if Options.Priorities is
// above 0.
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

// Close closes the transport, without notifying the peers, and the log. The caller must wait for Run to return first, because
// Run can't store anything after Close.
func (c *Cluster) Close() error { return errors.Join(c.transport.Close(), c.closeLog()) }
