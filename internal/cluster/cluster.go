// Package cluster has a gateway recover with others: it keeps the list on a disk, tells it to peers that ask, and after a
// start asks them and its disk what to go by until discovery tells. What it decides is in the packages below it.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/operr"
	"example.org/milletvane/internal/wal"
)

const (
	askEvery     = 150 * time.Millisecond // peers that have not answered are asked again
	storeEvery   = 200 * time.Millisecond // lists that come in a run are stored once
	compactEvery = 64                     // records
	skew         = 2 * time.Second        // clocks may differ by this
)

// Options are what a Cluster goes by.
type Options struct {
	Name             string
	Listen           string            // for peers
	Peers            map[string]string // the others' names, with their addresses
	Key              []byte
	Dir              string        // on a disk that lasts
	PeerTimeout      time.Duration // for peers, after a start
	Priorities       int           // of tiers; 0: nothing is shed
	MinAdmittedRatio float64       // part of the lowest tier that is let in whatever happens
	WarmupDuration   time.Duration // a server that started is cold for this long
	FS               wal.FS        // nil: the system's
	// Connect is the network to the others; nil: sockets, with Listen, Members and Key.
	Connect func(membership.Options) (membership.Transport, error)
	Clock   func() time.Duration
	Logger  *slog.Logger
}

// Cluster is one instance's part.
type Cluster struct {
	opts  Options
	lives *membership.Incarnations
	store wal.Log // nil: its files were damaged, or the disk is no good; the program goes on without
	peers membership.Transport

	mu       sync.Mutex
	began    time.Duration
	serving  time.Duration // since when; 0: it recovers
	version  int64
	told     time.Duration // when the list came
	servers  map[string]discovery.Endpoint
	stored   uint64 // records
	dirty    chan struct{}
	recovery *recovery.Recovery
	answers  map[string]*answer
	lists    map[string][]discovery.Endpoint // whole ones that peers told
	decided  chan recovery.Decision
	tiers    *loadshed.Shedder // nil: none are named
	digests  uint64            // that were told
}

// record is a list on the disk.
type record struct {
	AtMS int64 `json:"at"`
	discovery.EndpointList
}

// Start reads the disk, begins a life and joins the peers. A damaged store is put aside and named, and does not keep the
// gateway from starting; a life that can't be numbered does.
func Start(o Options) (*Cluster, error) {
	if o.FS == nil {
		o.FS = wal.OSFS{}
	}
	c := &Cluster{opts: o, began: o.Clock(), servers: map[string]discovery.Endpoint{}, dirty: make(chan struct{}, 1),
		answers: map[string]*answer{}, lists: map[string][]discovery.Endpoint{}, decided: make(chan recovery.Decision, 64)}
	if o.Priorities > 0 {
		c.tiers = loadshed.New(loadshed.Settings{Priorities: o.Priorities, MinAdmittedRatio: o.MinAdmittedRatio})
	}
	disk := c.load()
	var err error
	if c.lives, err = membership.OpenIncarnations(o.FS, o.Dir); err != nil {
		return nil, err
	}
	life, err := c.lives.Next(0, c.began)
	if err != nil {
		return nil, err
	}
	set := recovery.Settings{Name: o.Name, PeerTimeout: o.PeerTimeout, WarmupDuration: o.WarmupDuration, MaxClockSkew: skew}
	var join []string
	for name, addr := range o.Peers {
		set.Peers, join = append(set.Peers, name), append(join, addr)
	}
	slices.Sort(set.Peers)
	c.recovery = recovery.New(set)
	c.handle(recovery.Startup{Disk: disk})
	if o.Connect == nil {
		o.Connect = func(p membership.Options) (membership.Transport, error) {
			g, err := membership.Listen(membership.GossipOptions{Options: p, Bind: o.Listen, Join: join, Key: o.Key, Logger: o.Logger})
			if err != nil {
				return nil, err // not a Transport that holds a nil pointer
			}
			return g, nil
		}
	}
	g, err := o.Connect(membership.Options{Name: o.Name, Incarnation: life, OnMessage: c.receive, BumpIncarnation: func(above uint64) (uint64, error) {
		o.Logger.Warn("peers remember a later life than this disk does: it is older than they saw", "life", above)
		return c.lives.Next(above, o.Clock())
	}})
	if err != nil {
		return nil, errors.Join(err, c.closeStore())
	}
	c.mu.Lock()
	c.peers = g
	c.mu.Unlock()
	return c, nil
}

// load reads the list that the disk holds.
func (c *Cluster) load() (v recovery.PeerState) {
	j, held, err := wal.Open(c.opts.FS, filepath.Join(c.opts.Dir, "lists"), wal.Options{Logger: c.opts.Logger})
	if damage := new(wal.CorruptionError); errors.As(err, &damage) && damage.QuarantineDir != "" {
		operr.Log(c.opts.Logger, err)
		j, held, err = wal.Open(c.opts.FS, filepath.Join(c.opts.Dir, "lists"), wal.Options{Logger: c.opts.Logger})
	}
	if err != nil {
		operr.Log(c.opts.Logger, err)
		return v
	}
	c.store = j
	text := held.Snapshot
	if n := len(held.Records); n > 0 {
		text = held.Records[n-1].Data
	}
	var r record
	if len(text) == 0 || json.Unmarshal(text, &r) != nil {
		return v
	}
	c.version, c.told = r.Version, time.Duration(r.AtMS)*time.Millisecond
	for _, s := range r.Endpoints {
		c.servers[s.ID] = s
	}
	return c.voice(r.Endpoints, c.version, c.told)
}

func (c *Cluster) voice(servers []discovery.Endpoint, version int64, at time.Duration) recovery.PeerState {
	v := recovery.PeerState{Version: version, Hash: hashOf(servers), UpdatedAt: at}
	for _, s := range servers {
		v.Servers = append(v.Servers, recovery.Server{ID: s.ID, StartedAt: time.Duration(s.StartedMS) * time.Millisecond})
	}
	return v
}

// handle shows an event to the recovery. The lock is not held.
func (c *Cluster) handle(ev recovery.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.recovery.Handle(c.opts.Clock(), ev); ok {
		select {
		case c.decided <- d:
		default: // so many changes of mind wait already that one more would not help
		}
	}
}

// Recover asks peers and hands over the list to begin with, within Options.Wait: nil is none. Until discovery tells a list
// it goes on asking those that have not answered, and hands over another where their answers change the first. It returns
// when discovery has told, or when ctx is done.
func (c *Cluster) Recover(ctx context.Context, hint func(*discovery.EndpointList)) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		c.askAll()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.handle(recovery.Tick{})
		case d := <-c.decided:
			m := c.adopt(d)
			if d.Source == recovery.FromDiscovery {
				return
			}
			hint(m)
		}
	}
}

func (c *Cluster) askAll() {
	b, _ := json.Marshal(message{Kind: ask})
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.opts.Peers {
		if c.lists[name] == nil {
			c.peers.Send(name, b)
		}
	}
}

// adopt makes a decision the list that this instance holds.
func (c *Cluster) adopt(d recovery.Decision) *discovery.EndpointList {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	if c.serving == 0 {
		c.serving = now
	}
	c.log(d, now)
	if d.Source == recovery.FromDiscovery || d.Source == recovery.FromNowhere {
		return nil
	}
	// What peers told is gone by and not passed on as this instance's own: two would seem to hold what one has claimed.
	servers := c.lists[firstOf(d.Peers)]
	if d.Source == recovery.FromDisk {
		servers = nil
		for _, id := range c.ids() {
			servers = append(servers, c.servers[id])
		}
	}
	hint := &discovery.EndpointList{Version: d.Version, Complete: true}
	for _, s := range servers {
		if slices.Contains(d.Excluded, s.ID) {
			continue
		}
		s.StartedMS = max(s.StartedMS, d.StartTimes[s.ID].Milliseconds())
		if d.ColdStart {
			s.StartedMS = max(s.StartedMS, c.began.Milliseconds())
		}
		hint.Endpoints = append(hint.Endpoints, s)
	}
	return hint
}

// log prints a decision with its warnings.
func (c *Cluster) log(d recovery.Decision, now time.Duration) {
	c.opts.Logger.Info("recovery decided", "source", d.Source.String(), "version", d.Version, "peers", d.Peers,
		"excluded", d.Excluded, "cold_start", d.ColdStart, "isolated", d.Isolated, "elapsed", now-c.began)
	for _, w := range d.Warnings {
		switch w := w.(type) {
		case recovery.ClockBehindDisk:
			c.opts.Logger.Warn("clock is behind the stored endpoint list", "offset", w.Offset)
		case recovery.PeerClockSkew:
			c.opts.Logger.Warn("peer clock differs", "peer", w.Peer, "offset", w.Offset)
		case recovery.ConflictingLists:
			c.opts.Logger.Warn("endpoint lists of one version differ", "version", w.Version)
		}
	}
}

func firstOf(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

func (c *Cluster) ids() (ids []string) {
	for id := range c.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// UpdateEndpoints takes note of a list that discovery has told, before the engine hears of it.
func (c *Cluster) UpdateEndpoints(l engine.EndpointList) {
	if l.Mode != balancer.ListComplete && l.Mode != balancer.ListDelta {
		return
	}
	c.mu.Lock()
	if l.Mode == balancer.ListComplete {
		c.servers = map[string]discovery.Endpoint{}
	}
	for _, s := range l.Servers {
		if s.State == balancer.Removed {
			delete(c.servers, s.Name)
		} else {
			c.servers[s.Name] = discovery.NewEndpointList(0, []engine.Server{s}).Endpoints[0]
		}
	}
	changed := l.Mode == balancer.ListComplete || len(l.Servers) > 0
	if l.Version > 0 {
		c.version = l.Version
	}
	c.told = c.opts.Clock()
	c.mu.Unlock()
	c.handle(recovery.DiscoveryUpdate{})
	if changed {
		select {
		case c.dirty <- struct{}{}:
		default:
		}
	}
}

// Run stores lists until ctx is done.
func (c *Cluster) Run(ctx context.Context) {
	if c.store == nil {
		return
	}
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-c.dirty:
			if !c.save() {
				return
			}
			pause.Reset(storeEvery)
		}
	}
}

// save stores the list as it is, and reports whether the store is still of use. One that is full is tried again.
func (c *Cluster) save() bool {
	c.mu.Lock()
	r := record{AtMS: c.told.Milliseconds(), EndpointList: discovery.EndpointList{Version: c.version, Complete: true}}
	for _, id := range c.ids() {
		r.Endpoints = append(r.Endpoints, c.servers[id])
	}
	c.mu.Unlock()
	b, _ := json.Marshal(r)
	n, err := c.store.Append(b)
	if err == nil {
		if c.stored++; c.stored%compactEvery == 0 {
			err = c.store.Snapshot(n, b)
		}
	}
	if err == nil {
		return true
	}
	operr.Log(c.opts.Logger, err)
	x := operr.Of(err)
	return x != nil && x.Retryable()
}

// UpdateLoad takes this instance's counts since the last call, by rank, tells the others of them, and returns the level of what
// the fleet sheds. It is to be called every loadshed.ReportInterval.
func (c *Cluster) UpdateLoad(own loadshed.LocalCounts) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.tiers.Update(c.opts.Clock(), own)
	c.digests++
	b, _ := json.Marshal(message{Kind: tier, Number: c.digests, Share: d.Report.ShedRatio, Asked: d.Report.RequestRates})
	for name := range c.opts.Peers {
		c.peers.Send(name, b)
	}
	return d.Level
}

// receive takes a message of a peer.
func (c *Cluster) receive(from membership.Message) {
	var m message
	if json.Unmarshal(from.Payload, &m) != nil {
		return
	}
	switch m.Kind {
	case ask:
		c.tell(from.From)
	case part:
		c.gather(from.From, m)
	case tier:
		c.mu.Lock()
		defer c.mu.Unlock()
		if _, member := c.opts.Peers[from.From]; member && c.tiers != nil {
			c.tiers.Receive(c.opts.Clock(), loadshed.PeerReport{Peer: from.From, Incarnation: from.Incarnation, Sequence: m.Number,
				Report: loadshed.Report{ShedRatio: m.Share, RequestRates: m.Asked}})
		}
	}
}

// tell answers a peer: what this instance holds, of which only what discovery or the disk told is passed on.
func (c *Cluster) tell(to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		return
	}
	now := c.opts.Clock()
	m := message{Version: c.version, AtMS: c.told.Milliseconds(), NowMS: now.Milliseconds()}
	if c.serving > 0 {
		m.UpMS = (now - c.serving).Milliseconds()
	}
	var servers []discovery.Endpoint
	for _, id := range c.ids() {
		servers = append(servers, c.servers[id])
	}
	m.Hash = hashOf(servers)
	for _, b := range m.parts(servers) {
		c.peers.Send(to, b)
	}
}

func (c *Cluster) gather(from string, m message) {
	c.mu.Lock()
	a := c.answers[from]
	if a == nil {
		if _, member := c.opts.Peers[from]; !member {
			c.mu.Unlock()
			return
		}
		a = &answer{}
		c.answers[from] = a
	}
	whole := a.add(m)
	var t recovery.PeerReport
	if whole {
		servers := a.servers()
		if hashOf(servers) != m.Hash { // more than peers tell, or not what it says
			m.Version = 0
		}
		c.lists[from] = append([]discovery.Endpoint{}, servers...)
		t = recovery.PeerReport{Peer: from, Clock: time.Duration(m.NowMS) * time.Millisecond, State: c.voice(servers, m.Version, time.Duration(m.AtMS)*time.Millisecond)}
		t.State.Uptime = time.Duration(m.UpMS) * time.Millisecond
	}
	c.mu.Unlock()
	if whole {
		c.handle(t)
	}
}

// Close ends it.
func (c *Cluster) Close() error { return errors.Join(c.peers.Close(), c.closeStore()) }

func (c *Cluster) closeStore() error {
	if c.store == nil {
		return nil
	}
	return c.store.Close()
}
