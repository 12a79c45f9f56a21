package simulation

import (
	"strconv"
	"time"

	"example.org/milletvane/balancer"
)

// balancerLoadPerCore is the load of one reference core in the balancer's unit of load.
const balancerLoadPerCore = 1e6

// client wants one connection for some time. It requests another one after a rejection, a failure or the loss of the
// connection.
type client struct {
	key          string
	load         float64       // load of the connection, in reference cores
	leavesAt     time.Duration // time after which the client wants no connection
	reconnecting bool          // whether an earlier request or connection of the client has ended
}

// scheduleArrival schedules the arrival of the next client. Each arrival schedules the following one.
func (f *Fleet) scheduleArrival() {
	gap := time.Duration(f.random.ExpFloat64() / f.settings.ArrivalRate * float64(time.Second))
	f.scheduler.After(gap, func() {
		c := &client{key: strconv.FormatUint(f.random.Uint64(), 10), load: f.loads.Rand()}
		c.leavesAt = f.scheduler.Now() + time.Duration(f.lifetimes.Rand()*float64(time.Second))
		f.activeClients++
		f.scheduler.At(c.leavesAt, func() { f.activeClients-- })
		f.connect(c)
		f.scheduleArrival()
	})
}

// connect requests a connection for a client from a random gateway, unless the client has left.
func (f *Fleet) connect(c *client) {
	now := f.scheduler.Now()
	if now >= c.leavesAt {
		return
	}
	g := f.gateways[f.random.IntN(len(f.gateways))]
	g.lastID++
	class := &f.settings.Balancer.Classes[0]
	r := &request{gateway: g, client: c, id: g.lastID, deadline: now + class.Timeout}
	g.requests[r.id] = r
	f.Requests++
	f.scheduler.At(r.deadline+f.settings.AnswerSlack, func() {
		if !r.answered {
			f.addViolation("request %d has no answer %v after its deadline", r.id, f.settings.AnswerSlack)
		}
	})
	g.handle(balancer.Request{
		ID: r.id, Class: class.Name, Key: c.key, Timeout: class.Timeout, Load: c.load * balancerLoadPerCore,
		Reconnecting: c.reconnecting,
	})
}

// reconnect requests a new connection for a client after a delay of at least ReconnectDelay.
func (f *Fleet) reconnect(c *client, delay time.Duration) {
	c.reconnecting = true
	f.scheduler.After(max(delay, f.settings.ReconnectDelay), func() { f.connect(c) })
}
