// Package balancer makes the decisions of a gateway that balances long-lived connections: events go in,
// actions come out.
//
// Every gateway builds the same Maglev table from the endpoint list and places a connection at the entry of
// its key's hash, so gateways agree without shared state. Where that server cannot or should not serve,
// further lookups of the same key in the same table give alternates. Servers that fail are ejected for a
// time, slow servers get a load limit and lose connections, servers that have just started are sent no more
// than a budget, and requests that exceed the capacity of all are rejected, by priority.
//
// A Balancer does no I/O, reads no clock, starts no goroutine and keeps no global state: the same events give
// the same actions. Its host owns it, calls it from one goroutine at a time, passes the time with each event
// and carries out the actions.
package balancer

import (
	"log/slog"
	"time"
)

// sweepInterval is the time between two sweeps, which do what is due at a time rather than by an event:
// ejections end, load limits grow, connections migrate.
const sweepInterval = 250 * time.Millisecond

// References of timers.
const (
	sweepTimer = 1 // the next sweep
	waitTimer  = 2 // a request has waited long enough
)

// Balancer makes the decisions of one gateway. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	classIndex       map[string]int // index into settings.Classes by name
	tenantIndex      map[string]int // index into settings.Tenants by name
	messageObjective time.Duration  // shortest MessageLatencyObjective of all classes; 0: none stated

	now         time.Duration
	started     bool
	startedAt   time.Duration // the first event
	actions     []Action      // answers to the present event
	randomState uint64

	// The endpoint list.
	servers        map[ServerID]*server
	sortedServers  []*server // every server of servers, by id
	hasList        bool      // a list has come
	lastEvictionAt time.Duration

	// The lookup table.
	table        table
	tableIsStale bool // the list has changed since the table was built
	tableWeights []weightedServer
	tableServers []*server // the servers of tableWeights
	totalWeight  float64   // the sum of their capacities
	pastTables   []pastTable

	// Requests.
	requests map[RequestID]*request
	waiting  []*request // for the first list or a load report, in order of arrival

	// Connections and their loads. Connections include attempts that are not established yet.
	connections        int
	groupConnections   map[string]int
	tenantConnections  []float64 // by index of the tenant
	load               loadSum
	classMeanLoads     []ewma // known loads of connections by class
	overallMeanLoad    ewma   // and of all classes together
	connectionCapacity ewma   // connections that a warm server of weight 1 can hold, by load reports

	// Rates.
	requestWindow     slidingWindow   // requests
	retryWindow       slidingWindow   // attempts after each request's first
	recentRequests    decayingCounter // requests
	recentEstablished decayingCounter // attempts that were established
	recentFailures    decayingCounter // attempts that timed out or ended in an error

	// Overload.
	fleetShedLevel    float64
	slowRatio         float64       // part of the connections that are on slow servers
	isShedding        bool          // as last logged
	capacitySampledAt time.Duration // when a server was last polled for capacity to migrate to
}

// New returns a Balancer, or a *SettingError that names the setting it cannot work with.
func New(settings Settings) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:          settings.withDefaults(),
		classIndex:        make(map[string]int, len(settings.Classes)),
		tenantIndex:       make(map[string]int, len(settings.Tenants)),
		randomState:       settings.Seed,
		servers:           map[ServerID]*server{},
		totalWeight:       minTotalWeight,
		requests:          map[RequestID]*request{},
		groupConnections:  map[string]int{},
		tenantConnections: make([]float64, len(settings.Tenants)),
	}
	for i, c := range settings.Classes {
		b.classIndex[c.Name] = i
		if o := c.MessageLatencyObjective; o > 0 && (b.messageObjective == 0 || o < b.messageObjective) {
			b.messageObjective = o
		}
	}
	for i, t := range settings.Tenants {
		b.tenantIndex[t.Name] = i
	}
	b.load = newLoadSum(len(b.settings.Classes))
	b.classMeanLoads = make([]ewma, len(b.settings.Classes))
	budget := b.retryBudget()
	b.requestWindow = slidingWindow{length: budget.window}
	b.retryWindow = slidingWindow{length: budget.window, inclusive: true}
	return b, nil
}

// Handle takes one event and returns the actions that answer it, valid until the next call. now is the time
// on the event clock; a time before that of the last event is taken as that time.
func (b *Balancer) Handle(now time.Duration, event Event) []Action {
	b.now = max(b.now, now)
	b.actions = b.actions[:0]
	b.ensureStarted()
	switch ev := event.(type) {
	case EndpointList:
		b.onEndpointList(ev)
	case Request:
		b.onRequest(ev)
	case AdoptedConnection:
		b.onAdoptedConnection(ev)
	case AttemptEstablished:
		b.onAttemptEstablished(ev)
	case LoadChanged:
		b.onLoadChanged(ev)
	case MessageDelay:
		b.onMessageDelay(ev)
	case LoadReport:
		b.onLoadReport(ev)
	case ServerReinstated:
		b.onServerReinstated(ev)
	case FleetShedLevel:
		b.fleetShedLevel = ev.Level
	case Shutdown:
		b.capDeadlines(ev.Deadline)
	case AttemptEnded:
		b.onAttemptEnded(ev)
	case ClientDisconnected:
		b.onClientDisconnected(ev)
	case TimerFired:
		b.onTimerFired(ev)
	}
	return b.actions
}

// ensureStarted sets the first timer of the sweeps with the first event.
func (b *Balancer) ensureStarted() {
	if b.started {
		return
	}
	b.started, b.startedAt = true, b.now
	b.emit(SetTimer{After: sweepInterval, Ref: sweepTimer})
}

func (b *Balancer) onTimerFired(ev TimerFired) {
	if ev.Ref == sweepTimer {
		b.sweep()
	}
	b.dispatchWaiting()
}

// sweep does what has become due since the last sweep.
func (b *Balancer) sweep() {
	b.emit(SetTimer{After: sweepInterval, Ref: sweepTimer})
	onSlowServers := 0
	for _, s := range b.sortedServers {
		if b.now < s.pausedUntil {
			onSlowServers += len(s.inFlight)
		}
		b.endEjection(s)
		b.growLoadLimit(s)
		b.migrateFrom(s)
	}
	b.evictRemovedServers()
	b.slowRatio = float64(onSlowServers) / float64(max(b.connections, 1))
	b.logShedding()
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(message string, attrs ...slog.Attr) { b.emit(Log{message, attrs}) }

// random returns this gateway's next random number in [0, 1), for jitter.
func (b *Balancer) random() float64 {
	b.randomState = mix(b.randomState, keySeed)
	return fraction(b.randomState)
}
