package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/nats-io/nats.go"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/internal/fakeserver"
)

const (
	minDrainNodes = 4               // three nodes fail, one must stay healthy
	drainSettle   = 4 * time.Second // covers the longest deadline and a migration off the hung node
)

// Planted faults that the experiment causes itself; the result must show them.
const (
	plantLate    = "late"
	plantOverlap = "overlap"
)

func natsDrainCommand() *cli.Command {
	return &cli.Command{
		Name: "nats-drain", Usage: "drain, kill and hang NATS nodes under load, and check every request and message",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load and of the order of events"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as one line of JSON"},
			&cli.IntFlag{Name: "nodes", Value: 6, Usage: "number of fake nodes, at least 4"},
			&cli.IntFlag{Name: "sessions", Value: 200, Usage: "number of clients, each a nats.go connection"},
			&cli.IntFlag{Name: "requests", Value: 50_000, Usage: "total number of requests"},
			&cli.IntFlag{Name: "messages", Value: 200, Usage: "number of numbered messages for each session"},
			&cli.DurationFlag{Name: "span", Value: 15 * time.Second, Usage: "duration over which the load is spread"},
			&cli.StringFlag{Name: "plant", Usage: "plant a fault that the result must show: double, lose, late or overlap"},
			&cli.BoolFlag{Name: "log", Usage: "show the gateway's log"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Int("nodes") < minDrainNodes {
				return errors.New("nodes: at least 4 are required, because three of them fail")
			}
			result, err := runDrain(ctx, c)
			if err != nil {
				return err
			}
			if err := writeResult(c, result); err != nil {
				return err
			}
			return result.faults()
		},
	}
}

// drainRun holds the state of a run of nats-drain.
type drainRun struct {
	fleet    *natsFleet
	proxy    *faultProxy
	sessions []*drainSession
	// failingNodes holds the node indices in random order: the first node drains, the second crashes, the third hangs and
	// the others stay healthy.
	failingNodes       []int
	duration           time.Duration
	requestsPerSession int // number of requests of each session in the main load
	messagesPerSession int // number of messages of each session's stream
	result             *drainResult
}

func runDrain(ctx context.Context, c *cli.Command) (*drainResult, error) {
	startedAt := time.Now()
	result := &drainResult{Seed: c.Uint64("seed"), Nodes: c.Int("nodes"), Sessions: c.Int("sessions")}
	fleet, err := startNATSFleet(result.Nodes)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	for i, node := range fleet.nodes {
		node.SetHandler(delayedEcho(result.Seed, uint64(i)))
	}
	gateway, err := startNATSGateway(ctx, natsGatewayOptions{
		catalogAddr: fleet.catalog.Addr(), cores: 2, logger: newLogger(c.Root().ErrWriter, c.Bool("log")),
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = gateway.close() }()
	proxy, err := startFaultProxy(gateway.addr)
	if err != nil {
		return nil, err
	}
	defer proxy.close()
	run := &drainRun{
		fleet: fleet, proxy: proxy, duration: c.Duration("span"), messagesPerSession: c.Int("messages"),
		failingNodes:       rand.New(rand.NewPCG(result.Seed, 1)).Perm(result.Nodes),
		requestsPerSession: c.Int("requests") / result.Sessions, result: result,
	}
	defer run.disconnect()
	if err := run.connect(); err != nil {
		return nil, err
	}
	run.execute(ctx, c.String("plant"))
	result.Seconds = int(time.Since(startedAt).Seconds())
	return result, nil
}

// execute puts load on the gateway while nodes fail, then makes some sessions reconnect, and fills in the result.
func (d *drainRun) execute(ctx context.Context, fault string) {
	stop := d.scheduleFaults(fault)
	defer stop()
	d.mainLoad(ctx)
	time.Sleep(drainSettle)
	d.result.Asked = len(d.sessions) * d.requestsPerSession
	for _, s := range d.sessions {
		d.result.addStream(s, d.fleet.cluster)
	}
	d.reconnectSome()
	d.loadReconnected(ctx)
	d.drainClients()
	time.Sleep(drainSettle)
	for _, s := range d.sessions {
		d.result.addAnswers(s, d.requestsOf(s))
	}
	d.result.ByNode = d.result.Once + d.result.Twice - d.result.ByGateway
	d.result.MaxAttempts, d.result.Overlapping, d.result.Late = d.fleet.cluster.AttemptStats()
}

func (d *drainRun) connect() error {
	maxRequests := d.requestsPerSession + d.requestsPerSession/10 + 1
	for i := range d.result.Sessions {
		s, err := connectDrainSession(d.proxy.addr(), i, maxRequests)
		if err != nil {
			return fmt.Errorf("session %d: %w", i, err)
		}
		d.sessions = append(d.sessions, s)
	}
	return nil
}

func (d *drainRun) disconnect() {
	for _, s := range d.sessions {
		s.conn.Close()
	}
}

// scheduleFaults schedules one node to drain, one to crash and one to hang during the main load, and the planted fault if
// there is one. stop cancels what has not happened yet.
func (d *drainRun) scheduleFaults(plantedFault string) (stop func()) {
	timers := []*time.Timer{
		time.AfterFunc(d.duration/5, func() { d.fleet.drain(d.failingNodes[0]) }),
		time.AfterFunc(d.duration*2/5, d.fleet.nodes[d.failingNodes[1]].Kill),
		time.AfterFunc(d.duration*3/5, d.fleet.nodes[d.failingNodes[2]].Hang),
	}
	if plantedFault != "" {
		// The fault follows all node failures, because a message lost at a node that fails later would be excused.
		delay := d.duration * 9 / 10
		if plantedFault == plantLate || plantedFault == plantOverlap {
			delay = d.duration / 3
		}
		timers = append(timers, time.AfterFunc(delay, func() { d.plant(plantedFault) }))
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// plant causes a fault that the gateway is not responsible for, to show that the result detects it.
func (d *drainRun) plant(fault string) {
	switch fault {
	case plantLate:
		time.AfterFunc(time.Second, func() { d.sendPlanted(d.failingNodes[0], "planted-late") })
	case plantOverlap:
		d.sendPlanted(d.failingNodes[3], "planted-twice")
		d.sendPlanted(d.failingNodes[len(d.failingNodes)-1], "planted-twice")
	default:
		d.proxy.setFault(streamFault(fault))
	}
}

// sendPlanted sends a request directly to a node. It ignores errors: without the request, the result lacks the planted
// fault, and the missing fault is the failure.
func (d *drainRun) sendPlanted(node int, requestID string) {
	conn, err := nats.Connect("nats://" + d.fleet.nodes[node].Addr())
	if err != nil {
		return
	}
	time.AfterFunc(time.Second, conn.Close)
	if _, err := conn.SubscribeSync("planted"); err != nil {
		return
	}
	if conn.PublishRequest("svc.safe.0", "planted", []byte(requestID)) == nil {
		_ = conn.Flush()
	}
}

// mainLoad makes all sessions send requests and publishes numbered messages to them.
func (d *drainRun) mainLoad(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.sessions {
		wg.Go(func() { s.sendRequests(ctx, 0, d.requestsPerSession, d.duration) })
		wg.Go(func() {
			for number := range d.messagesPerSession {
				d.fleet.cluster.PublishStream(s.index, number)
				time.Sleep(d.duration / time.Duration(d.messagesPerSession))
			}
		})
	}
	wg.Wait()
}

// reconnects reports whether a session is made to reconnect, which is one session in ten.
func (s *drainSession) reconnects() bool { return s.index%10 == 0 }

// requestsOf returns the total number of requests that a session sends.
func (d *drainRun) requestsOf(s *drainSession) int {
	if s.reconnects() {
		return d.requestsPerSession + d.requestsPerSession/10
	}
	return d.requestsPerSession
}

// reconnectSome makes a tenth of the sessions reconnect, and waits at most drainSettle until they have.
func (d *drainRun) reconnectSome() {
	forced := 0
	for _, s := range d.sessions {
		if !s.reconnects() {
			continue
		}
		s.expectsDisconnect.Store(true)
		if s.conn.ForceReconnect() == nil {
			forced++
		}
	}
	deadline := time.Now().Add(drainSettle)
	for d.result.Reconnected < forced && time.Now().Before(deadline) {
		d.result.Reconnected = 0
		for _, s := range d.sessions {
			if s.reconnects() && s.conn.Stats().Reconnects > 0 && s.conn.IsConnected() {
				d.result.Reconnected++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// loadReconnected makes the sessions that reconnected send further requests.
func (d *drainRun) loadReconnected(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.sessions {
		if s.reconnects() {
			d.result.Asked += d.requestsPerSession / 10
			wg.Go(func() { s.sendRequests(ctx, d.requestsPerSession, d.requestsPerSession/10, time.Second) })
		}
	}
	wg.Wait()
}

// drainClients starts the drain of nats.go in half of the sessions, which completes the requests in flight first.
func (d *drainRun) drainClients() {
	for _, s := range d.sessions {
		s.expectsDisconnect.Store(true)
		if s.index%2 == 0 {
			_ = s.conn.Drain() // fails only for a session that was disconnected, which is counted
		}
	}
}

// delayedEcho returns a handler that answers requests with their payload, after random delays drawn from the seed.
func delayedEcho(seed, node uint64) fakeserver.RequestHandler {
	const meanDelay, plantedDelay = 2 * time.Millisecond, 300 * time.Millisecond
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 100+node))
	return func(payload []byte) ([]byte, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(string(payload), "planted") {
			return payload, plantedDelay
		}
		return payload, time.Duration(rng.ExpFloat64() * float64(meanDelay))
	}
}
