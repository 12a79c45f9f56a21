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
	minDrainNodes = 4               // three of them fail
	drainSettle   = 4 * time.Second // the longest deadline, and a migration off the node that hangs
)

// Faults that are not the gateway's and that the results must show.
const (
	plantLate    = "late"
	plantOverlap = "overlap"
)

func natsDrainCommand() *cli.Command {
	return &cli.Command{
		Name: "nats-drain", Usage: "drain, kill and hang NATS nodes under load, and account for every request and message",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the load and the order of events"},
			&cli.BoolFlag{Name: "json", Usage: "the result as one JSON object"},
			&cli.IntFlag{Name: "nodes", Value: 6, Usage: "fake nodes, at least 4"},
			&cli.IntFlag{Name: "sessions", Value: 200, Usage: "clients, each a nats.go connection"},
			&cli.IntFlag{Name: "requests", Value: 50_000, Usage: "requests in all"},
			&cli.IntFlag{Name: "messages", Value: 200, Usage: "numbered messages a session"},
			&cli.DurationFlag{Name: "span", Value: 15 * time.Second, Usage: "time over which the load is spread"},
			&cli.StringFlag{Name: "plant", Usage: "plant a fault that the result must show: double, lose, late or overlap"},
			&cli.BoolFlag{Name: "log", Usage: "show the gateway's log"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Int("nodes") < minDrainNodes {
				return errors.New("nodes: three of them fail, so at least 4 are wanted")
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

// drainRun is a run of nats-drain.
type drainRun struct {
	fleet      *natsFleet
	proxy      *faultProxy
	sessions   []*drainSession
	failing    []int // indices of nodes, in the order in which they fail; the last ones stay healthy
	duration   time.Duration
	perSession int // requests of the main load
	messages   int // of each session's stream
	result     *drainResult
}

func runDrain(ctx context.Context, c *cli.Command) (*drainResult, error) {
	began := time.Now()
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
		fleet: fleet, proxy: proxy, duration: c.Duration("span"), messages: c.Int("messages"),
		failing:    rand.New(rand.NewPCG(result.Seed, 1)).Perm(result.Nodes),
		perSession: c.Int("requests") / result.Sessions, result: result,
	}
	defer run.disconnect()
	if err := run.connect(); err != nil {
		return nil, err
	}
	run.play(ctx, c.String("plant"))
	result.Seconds = int(time.Since(began).Seconds())
	return result, nil
}

// play puts load on the gateway while nodes fail, then makes some sessions reconnect, and counts.
func (d *drainRun) play(ctx context.Context, fault string) {
	stop := d.scheduleFaults(fault)
	defer stop()
	d.mainLoad(ctx)
	time.Sleep(drainSettle)
	d.result.Asked = len(d.sessions) * d.perSession
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
	maxRequests := d.perSession + d.perSession/10 + 1
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

// scheduleFaults makes one node drain, one crash and one hang during the main load, and plants a fault.
func (d *drainRun) scheduleFaults(plantedFault string) (stop func()) {
	timers := []*time.Timer{
		time.AfterFunc(d.duration/5, func() { d.fleet.drain(d.failing[0]) }),
		time.AfterFunc(d.duration*2/5, d.fleet.nodes[d.failing[1]].Kill),
		time.AfterFunc(d.duration*3/5, d.fleet.nodes[d.failing[2]].Hang),
	}
	if plantedFault != "" {
		// After all failures: a message lost at a node that fails later would be excused.
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

// plant causes a fault that is not the gateway's, to show that the result detects it.
func (d *drainRun) plant(fault string) {
	switch fault {
	case plantLate:
		time.AfterFunc(time.Second, func() { d.sendPlanted(d.failing[0], "planted-late") })
	case plantOverlap:
		d.sendPlanted(d.failing[3], "planted-twice")
		d.sendPlanted(d.failing[len(d.failing)-1], "planted-twice")
	default:
		d.proxy.plant(streamFault(fault))
	}
}

// sendPlanted sends a request to a node, past the gateway. If it fails the result shows no fault, which is the failure.
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

// mainLoad has all sessions send requests and receive numbered messages.
func (d *drainRun) mainLoad(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.sessions {
		wg.Go(func() { s.sendRequests(ctx, 0, d.perSession, d.duration) })
		wg.Go(func() {
			for number := range d.messages {
				d.fleet.cluster.PublishStream(s.index, number)
				time.Sleep(d.duration / time.Duration(d.messages))
			}
		})
	}
	wg.Wait()
}

// reconnects reports whether a session is one of those, a tenth, that are made to reconnect.
func (s *drainSession) reconnects() bool { return s.index%10 == 0 }

// requestsOf returns how many requests a session sends in all.
func (d *drainRun) requestsOf(s *drainSession) int {
	if s.reconnects() {
		return d.perSession + d.perSession/10
	}
	return d.perSession
}

// reconnectSome makes a tenth of the sessions reconnect and waits until they have.
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

// loadReconnected has the sessions that reconnected send further requests.
func (d *drainRun) loadReconnected(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range d.sessions {
		if s.reconnects() {
			d.result.Asked += d.perSession / 10
			wg.Go(func() { s.sendRequests(ctx, d.perSession, d.perSession/10, time.Second) })
		}
	}
	wg.Wait()
}

// drainClients starts nats.go's own drain in half of the sessions: what is in flight ends first.
func (d *drainRun) drainClients() {
	for _, s := range d.sessions {
		s.expectsDisconnect.Store(true)
		if s.index%2 == 0 {
			_ = s.conn.Drain() // fails only for a session that was cut off, which is counted
		}
	}
}

// delayedEcho answers requests after a short time that comes from the seed.
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
