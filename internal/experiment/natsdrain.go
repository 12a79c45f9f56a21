package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nats-io/nats.go"
	"github.com/urfave/cli/v3"
)

// drainResult sums up the ledgers of both ends.
type drainResult struct {
	Seed        uint64 `json:"seed"`
	Nodes       int    `json:"nodes"`
	Sessions    int    `json:"sessions"`
	Asked       int    `json:"asked"`
	Once        int    `json:"answered_once"`
	Twice       int    `json:"answered_twice"`
	Unanswered  int    `json:"unanswered"`
	ByNode      int    `json:"answered_by_node"`
	ByGateway   int    `json:"answered_by_gateway"` // refused, failed or timed out
	Most        int    `json:"attempts_most"`
	Overlapping int    `json:"attempts_overlapping"`
	Late        int    `json:"sends_late"`
	Sent        int    `json:"messages_sent"`
	Lost        int    `json:"messages_lost"`       // that a killed or hung node had not handed over
	LostElse    int    `json:"messages_lost_other"` // all other
	Doubled     int    `json:"messages_doubled"`
	Misordered  int    `json:"messages_misordered"`
	Cut         int    `json:"sessions_cut"`
	Reconnected int    `json:"sessions_reconnected"` // of those told to
	Seconds     int    `json:"seconds"`
}

// faults lists what must not be.
func (r *drainResult) faults() error {
	var errs []error
	check := func(ok bool, what string, n int) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s is %d", what, n))
		}
	}
	check(r.Once == r.Asked, "answered_once", r.Once)
	check(r.Twice == 0, "answered_twice", r.Twice)
	check(r.Unanswered == 0, "unanswered", r.Unanswered)
	check(r.Most <= 5, "attempts_most", r.Most)
	check(r.Overlapping == 0, "attempts_overlapping", r.Overlapping)
	check(r.Late == 0, "sends_late", r.Late)
	check(r.LostElse == 0, "messages_lost_other", r.LostElse)
	check(r.Doubled == 0, "messages_doubled", r.Doubled)
	check(r.Misordered == 0, "messages_misordered", r.Misordered)
	check(r.Cut == 0, "sessions_cut", r.Cut)
	return errors.Join(errs...)
}

// drainSession is a client's ledger.
type drainSession struct {
	nc      *nats.Conn
	mu      sync.Mutex
	answers []int // of each request
	gateway int   // of them, by the gateway
	got     []int // numbers of the stream, as they came
	meant   atomic.Bool
	cut     atomic.Bool
	window  chan struct{}
}

const (
	drainWindow = 8 // requests that a session has out at once
	drainSettle = 4 * time.Second
)

func natsDrain() *cli.Command {
	return &cli.Command{
		Name: "nats-drain", Usage: "drain, kill and hang NATS nodes under load, and account for every request and message",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the load and the order of events"},
			&cli.BoolFlag{Name: "json", Usage: "the ledgers as one JSON object"},
			&cli.IntFlag{Name: "nodes", Value: 6, Usage: "stand-in nodes, at least 4"},
			&cli.IntFlag{Name: "sessions", Value: 200, Usage: "clients, each a nats.go connection"},
			&cli.IntFlag{Name: "requests", Value: 50_000, Usage: "requests in all"},
			&cli.IntFlag{Name: "messages", Value: 200, Usage: "numbered messages a session"},
			&cli.DurationFlag{Name: "span", Value: 15 * time.Second, Usage: "time over which the load is spread"},
			&cli.StringFlag{Name: "plant", Usage: "plant a fault that the ledgers must see: double, lose, late or overlap"},
			&cli.BoolFlag{Name: "log", Usage: "show the gateway's log"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Int("nodes") < 4 {
				return errors.New("nodes: three of them fail, so at least 4 are wanted")
			}
			r, err := runDrain(ctx, c)
			if err != nil {
				return err
			}
			out := c.Root().Writer
			if c.Bool("json") {
				if err := json.NewEncoder(out).Encode(r); err != nil {
					return err
				}
			} else {
				text, _ := json.MarshalIndent(r, "", "  ")
				fmt.Fprintln(out, string(text))
			}
			return r.faults()
		},
	}
}

func runDrain(ctx context.Context, c *cli.Command) (*drainResult, error) {
	began := time.Now()
	r := &drainResult{Seed: c.Uint64("seed"), Nodes: c.Int("nodes"), Sessions: c.Int("sessions")}
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	fleet, err := startNodes(r.Nodes)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	for i, n := range fleet.list {
		n.SetHandler(worker(r.Seed, uint64(i)))
	}
	gate, err := startNATSGate(ctx, fleet.catalog.Addr(), "", 2, slogTo(c.Root().ErrWriter, c.Bool("log")))
	if err != nil {
		return nil, err
	}
	defer gate.close()
	between, err := startTamper(gate.addr)
	if err != nil {
		return nil, err
	}
	defer between.close()

	each := c.Int("requests") / r.Sessions
	sessions := make([]*drainSession, r.Sessions)
	for i := range sessions {
		if sessions[i], err = connectDrain(between.listener.Addr().String(), i, each+each/10+1); err != nil {
			return nil, fmt.Errorf("session %d: %w", i, err)
		}
		defer sessions[i].nc.Close()
	}

	// The node that each trouble falls on comes from the seed; the last ones stay well.
	order := rng.Perm(r.Nodes)
	span := c.Duration("span")
	troubles := []struct {
		at time.Duration
		do func()
	}{
		{span / 5, func() { fleet.drain(order[0]) }},
		{span * 2 / 5, func() { fleet.list[order[1]].Kill() }},
		{span * 3 / 5, func() { fleet.list[order[2]].Hang() }},
	}
	for _, t := range troubles {
		timer := time.AfterFunc(t.at, t.do)
		defer timer.Stop()
	}
	if p := c.String("plant"); p != "" {
		// Behind all that fails: a message lost at a node that fails later would be excused.
		at := span * 9 / 10
		if p == "late" || p == "overlap" {
			at = span / 3
		}
		timer := time.AfterFunc(at, func() { plant(p, between, fleet, order) })
		defer timer.Stop()
	}
	var wg sync.WaitGroup
	for i, s := range sessions {
		wg.Go(func() { s.ask(ctx, i, 0, each, span) })
		wg.Go(func() {
			n := c.Int("messages")
			for seq := range n {
				fleet.cluster.PublishStream(i, seq)
				time.Sleep(span / time.Duration(n))
			}
		})
	}
	wg.Wait()
	time.Sleep(drainSettle) // the longest deadline, and a move off the node that hangs
	r.asked(sessions, each)
	for i, s := range sessions {
		r.streamed(s, i, fleet)
	}

	// Each tenth session is told to come again, and then asks on.
	again := 0
	for i, s := range sessions {
		if i%10 == 0 {
			s.meant.Store(true)
			if s.nc.ForceReconnect() == nil {
				again++
			}
		}
	}
	until := time.Now().Add(drainSettle)
	for r.Reconnected < again && time.Now().Before(until) {
		r.Reconnected = 0
		for i, s := range sessions {
			if i%10 == 0 && s.nc.Stats().Reconnects > 0 && s.nc.IsConnected() {
				r.Reconnected++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	for i, s := range sessions {
		if i%10 == 0 {
			wg.Go(func() { s.ask(ctx, i, each, each/10, time.Second) })
		}
	}
	wg.Wait()
	for i, s := range sessions { // nats.go's own drain: what is under way ends first
		s.meant.Store(true)
		if i%2 == 0 {
			s.nc.Drain()
		}
	}
	time.Sleep(drainSettle)
	r.count(sessions, each)
	r.Most, r.Overlapping, r.Late = fleet.cluster.AttemptStats()
	r.Seconds = int(time.Since(began).Seconds())
	return r, nil
}

// worker answers requests after a short time that comes from the seed.
func worker(seed, node uint64) func([]byte) ([]byte, time.Duration) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 100+node))
	return func(body []byte) ([]byte, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(string(body), "planted") {
			return body, 300 * time.Millisecond
		}
		return body, time.Duration(rng.ExpFloat64() * float64(2*time.Millisecond))
	}
}

func connectDrain(addr string, i, most int) (*drainSession, error) {
	s := &drainSession{answers: make([]int, most), window: make(chan struct{}, drainWindow)}
	var err error
	s.nc, err = nats.Connect("nats://"+addr, nats.Name(fmt.Sprint("lab", i)), nats.Timeout(5*time.Second),
		nats.ReconnectWait(50*time.Millisecond), nats.MaxReconnects(100),
		nats.DisconnectErrHandler(func(*nats.Conn, error) {
			if !s.meant.Load() {
				s.cut.Store(true)
			}
		}))
	if err != nil {
		return nil, err
	}
	if _, err := s.nc.Subscribe(fmt.Sprintf("answers.%d.*", i), s.answered); err != nil {
		return nil, err
	}
	_, err = s.nc.Subscribe(fmt.Sprintf("stream.%d", i), func(m *nats.Msg) {
		seq, _ := strconv.Atoi(string(m.Data))
		s.mu.Lock()
		s.got = append(s.got, seq)
		s.mu.Unlock()
	})
	if err != nil {
		return nil, err
	}
	return s, s.nc.Flush()
}

func (s *drainSession) answered(m *nats.Msg) {
	n, err := strconv.Atoi(m.Subject[strings.LastIndexByte(m.Subject, '.')+1:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || n >= len(s.answers) {
		return
	}
	if s.answers[n]++; s.answers[n] == 1 {
		if m.Header.Get("Status") != "" {
			s.gateway++
		}
		<-s.window
	}
}

// ask sends requests, spread over the span, a few out at once.
func (s *drainSession) ask(ctx context.Context, i, from, n int, span time.Duration) {
	pause := time.NewTicker(max(span/time.Duration(max(n, 1)), time.Microsecond))
	defer pause.Stop()
	for k := from; k < from+n; k++ {
		select {
		case s.window <- struct{}{}:
		case <-time.After(2 * drainSettle): // what is unanswered is counted later
			return
		case <-ctx.Done():
			return
		}
		kind := "safe"
		if k%5 == 0 {
			kind = "unsafe"
		}
		s.nc.PublishRequest(fmt.Sprintf("svc.%s.%d", kind, k%97), fmt.Sprintf("answers.%d.%d", i, k), []byte(fmt.Sprintf("r%d-%d", i, k)))
		<-pause.C
	}
}

// plant makes a fault that is not the gateway's, to show that the ledgers see such.
func plant(fault string, between *tamper, fleet *nodes, order []int) {
	send := func(node int, id string) {
		nc, err := nats.Connect("nats://" + fleet.list[node].Addr())
		if err != nil {
			return
		}
		sub, _ := nc.SubscribeSync("planted")
		nc.PublishRequest("svc.safe.0", "planted", []byte(id))
		nc.Flush()
		time.AfterFunc(time.Second, func() { sub.Unsubscribe(); nc.Close() })
	}
	switch fault {
	case "late":
		time.AfterFunc(time.Second, func() { send(order[0], "planted-late") })
	case "overlap":
		send(order[3], "planted-twice")
		send(order[len(order)-1], "planted-twice")
	default:
		between.plant(fault)
	}
}

func (r *drainResult) asked(sessions []*drainSession, each int) { r.Asked = len(sessions) * each }

func (r *drainResult) count(sessions []*drainSession, each int) {
	for i, s := range sessions {
		s.mu.Lock()
		n := each
		if i%10 == 0 {
			n += each / 10
			r.Asked += each / 10
		}
		for _, times := range s.answers[:n] {
			switch times {
			case 0:
				r.Unanswered++
			case 1:
				r.Once++
			default:
				r.Twice++
			}
		}
		r.ByGateway += s.gateway
		if s.cut.Load() {
			r.Cut++
		}
		s.mu.Unlock()
	}
	r.ByNode = r.Once + r.Twice - r.ByGateway
}

func (r *drainResult) streamed(s *drainSession, i int, fleet *nodes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := fleet.cluster.StreamLength(i)
	r.Sent += sent
	times := make([]int, sent)
	last := -1
	for _, seq := range s.got {
		times[seq]++
		if times[seq] > 1 {
			r.Doubled++
		} else if seq < last {
			r.Misordered++
		}
		last = max(last, seq)
	}
	for seq, n := range times {
		switch {
		case n > 0:
		case fleet.cluster.LossExcused(i, seq):
			r.Lost++
		default:
			r.LostElse++
		}
	}
}
