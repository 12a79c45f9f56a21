package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"example.org/milletvane/balancer"
)

const (
	startTime     = time.Hour // simulated time at the start of a fleet, so that no result depends on times near 0
	maxViolations = 20        // violations that are reported; further ones are dropped
)

// Fleet simulates a site. It checks that each request has one answer in time and at most one attempt at a time, that the
// number of attempts is limited, that draining nodes get no requests after the drain grace, and that cold nodes are not
// overloaded.
type Fleet struct {
	Stats
	scheduler     *Scheduler
	settings      Settings
	gateways      []*gateway
	servers       []*server          // by node, from 0; the server ID is one more
	random        *rand.Rand         // draws arrivals, keys and gateways
	lifetimes     distuv.Exponential // of clients, in seconds
	loads         distuv.Exponential // of connections, in reference cores
	activeClients int                // clients that want a connection now
}

// server holds a node with its state in the endpoint list and its connections.
type server struct {
	*Node
	id          balancer.ServerID
	draining    bool
	stateSince  time.Duration     // time of the latest drain or restart
	established map[*request]bool // the open connections
}

// endpoint returns the server's entry in the endpoint list.
func (s *server) endpoint() balancer.Server {
	endpoint := balancer.Server{ID: s.id, Capacity: 1}
	if s.draining {
		endpoint.State = balancer.Draining
	}
	if !s.startedWarm {
		endpoint.Started = s.startedAt
	}
	return endpoint
}

// NewFleet returns a fleet whose nodes are warm and without connections. It returns the errors of NewNode and
// balancer.New.
func NewFleet(seed uint64, s Settings) (*Fleet, error) {
	f := &Fleet{scheduler: NewScheduler(seed), settings: s}
	f.scheduler.Run(startTime)
	f.random = f.scheduler.Stream("clients")
	f.lifetimes = distuv.Exponential{Rate: 1 / s.MeanLifetime.Seconds(), Src: f.scheduler.Stream("lives")}
	f.loads = distuv.Exponential{Rate: 1 / s.MeanLoad, Src: f.scheduler.Stream("loads")}
	if err := f.addServers(); err != nil {
		return nil, err
	}
	if err := f.addGateways(); err != nil {
		return nil, err
	}
	f.scheduleArrival()
	f.scheduleSample()
	return f, nil
}

func (f *Fleet) addServers() error {
	for i, s := range f.settings.Nodes {
		node, err := NewNode(fmt.Sprint("s-", i+1), s)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, &server{
			Node: node, id: balancer.ServerID(i + 1), established: map[*request]bool{},
		})
	}
	return nil
}

// addGateways adds the gateways and passes the complete endpoint list to each.
func (f *Fleet) addGateways() error {
	list := balancer.EndpointList{Mode: balancer.ListComplete}
	for _, s := range f.servers {
		list.Servers = append(list.Servers, s.endpoint())
	}
	for i := range max(f.settings.Balancer.Gateways, 1) {
		s := f.settings.Balancer
		s.Seed = uint64(i) + 1
		b, err := balancer.New(s)
		if err != nil {
			return err
		}
		g := &gateway{
			fleet: f, balancer: b, requests: map[balancer.RequestID]*request{},
			drainingSince: map[balancer.ServerID]time.Duration{},
		}
		f.gateways = append(f.gateways, g)
		g.handle(list)
	}
	return nil
}

// Run continues the simulation for a duration and returns the totals since its start. Later calls change the returned
// Stats.
func (f *Fleet) Run(d time.Duration) *Stats {
	f.scheduler.Run(f.scheduler.Now() + d)
	return &f.Stats
}

// addViolation records a broken rule, with the time since the start of the simulation, unless maxViolations are recorded
// already.
func (f *Fleet) addViolation(format string, args ...any) {
	if len(f.Violations) < maxViolations {
		at := f.scheduler.Now() - startTime
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

// scheduleSample adds, once per second, to WantedSeconds and ServedSeconds.
func (f *Fleet) scheduleSample() {
	f.scheduler.After(time.Second, func() {
		now := f.scheduler.Now()
		f.WantedSeconds += float64(f.activeClients)
		for _, s := range f.servers {
			f.ServedSeconds += float64(len(s.established)) / max(s.Utilization(now), 1)
		}
		f.scheduleSample()
	})
}
