// Package balancer decides for a gateway which server each long-lived connection goes to. A Balancer takes
// events and returns the actions that its host has to carry out.
//
// Every gateway builds the same Maglev table from the endpoint list and places a connection by a hash of its
// group or key, so gateways agree without shared state. If the server found cannot or should not serve the
// connection, further lookups of the same key in the same table give alternates. Servers that fail are
// ejected for a limited time. Slow servers get a load limit, and some of their connections are migrated.
// Servers that have just started are sent connections within a warm-up budget. Requests that exceed the
// capacity of all servers are rejected by priority.
//
// A Balancer performs no I/O, reads no clock, starts no goroutine and keeps no global state, so the same
// events always give the same actions. Its host owns it, calls it from one goroutine at a time, passes the
// time with each event and carries out the actions.
package balancer

import (
	"log/slog"
	"time"
)

// sweepInterval is the time between two sweeps. A sweep does the work that depends on time instead of an
// event: it ends ejections, raises load limits and migrates connections.
const sweepInterval = 250 * time.Millisecond

// Values of SetTimer.Ref.
const (
	sweepTimer = 1 // the next sweep is due
	waitTimer  = 2 // the wait of a request is over
)

// Balancer makes the decisions of one gateway. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	classIndex       map[string]int // index into settings.Classes by name
	tenantIndex      map[string]int // index into settings.Tenants by name
	messageObjective time.Duration  // shortest MessageLatencyObjective of all classes; zero means none

	now         time.Duration
	started     bool
	startedAt   time.Duration // time of the first event
	actions     []Action      // actions for the current event
	randomState uint64

	// The endpoint list.
	servers        map[ServerID]*server
	sortedServers  []*server // the values of servers, sorted by ID
	hasList        bool      // a list has been received
	lastEvictionAt time.Duration

	// The lookup table.
	table        table
	tableIsStale bool // the list has changed since the table was built
	tableWeights []weightedServer
	tableServers []*server // the servers of tableWeights
	totalWeight  float64   // the sum of tableWeights, at least minTotalWeight
	pastTables   []pastTable

	// Requests.
	requests map[RequestID]*request
	waiting  []*request // requests that wait for the first list or a load report, in order of arrival

	// Connections and their loads. Attempts that are not established yet count as connections.
	connections        int
	groupConnections   map[string]int
	tenantConnections  []float64 // by index into settings.Tenants
	load               loadSum
	classMeanLoads     []ewma // mean of the known loads of connections, by class
	overallMeanLoad    ewma   // mean of the known loads of connections of all classes
	connectionCapacity ewma   // connections that a warm server of capacity 1 can hold, by load reports

	// Rates.
	requestWindow     slidingWindow   // requests, for the retry budget
	retryWindow       slidingWindow   // attempts after the first of a request, for the retry budget
	recentRequests    decayingCounter // requests
	recentEstablished decayingCounter // attempts that were established
	recentFailures    decayingCounter // attempts that timed out or ended in an error

	// Overload.
	fleetShedLevel    float64
	slowRatio         float64       // fraction of the connections that are at slow servers
	isShedding        bool          // this gateway sheds load, as last logged
	capacitySampledAt time.Duration // when a server was last polled to find capacity for migrations
}

// New returns a Balancer with the given settings. If a setting is out of range, New returns a *SettingError.
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

// Handle processes one event and returns the actions to carry out. The returned slice is valid until the next
// call. now is the time on the event clock. A time before that of an earlier event counts as the latest time
// that was passed.
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

// ensureStarted sets the timer of the first sweep when the first event is handled.
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

// sweep does the work that has become due since the last sweep, and sets the timer of the next one.
func (b *Balancer) sweep() {
	b.emit(SetTimer{After: sweepInterval, Ref: sweepTimer})
	slowConnections := 0
	for _, s := range b.sortedServers {
		if b.now < s.pausedUntil {
			slowConnections += len(s.inFlight)
		}
		b.endEjection(s)
		b.growLoadLimit(s)
		b.migrateFrom(s)
	}
	b.evictRemovedServers()
	b.slowRatio = float64(slowConnections) / float64(max(b.connections, 1))
	b.logShedding()
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(message string, attrs ...slog.Attr) { b.emit(Log{message, attrs}) }

// random returns the next pseudo-random number in [0, 1) of this gateway. It is used for jitter only.
func (b *Balancer) random() float64 {
	b.randomState = mix(b.randomState, keySeed)
	return fraction(b.randomState)
}
