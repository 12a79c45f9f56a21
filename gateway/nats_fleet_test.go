package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/nats-io/nats.go"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
)

// fleet is a gateway in front of fake NATS nodes.
type fleet struct {
	t       *testing.T
	cluster *fakeserver.NATSCluster
	nodes   []*fakeserver.NATSNode
	catalog *fakeserver.Catalog
	addr    string
	stop    context.CancelFunc
	done    chan error
	gateway *gateway.Gateway
	config  config.Config
}

const natsOperator = `(nats (listen %q) (cluster true) (ping-every "200ms") %s
  (session (class "session"))
  (request (subject "svc.safe.*") (class "safe") (deadline "2s") (key (token 2)))
  (request (subject "svc.unsafe.*") (class "unsafe") (deadline "1s")))`

const natsSettings = `{"caps":{"max_attempts":5,"connect_timeout_ns":1000000000,"retry_after":true,"max_retry_after_ns":200000000},
 "rules":{"stop_sending_within_ns":500000000},"discovery":"ask","family_info":{"mode":"proxy"},
 "classes":[{"name":"session","effect":"idempotent","group":"all","give_up_ns":2000000000,"slo_ns":1000000000},
  {"name":"safe","effect":"idempotent","group":"all","give_up_ns":2000000000,"slo_ns":300000000},
  {"name":"unsafe","effect":"at_most_once","group":"all","give_up_ns":1000000000,"slo_ns":300000000}]}`

func newFleet(t *testing.T, nodes int, isolated bool, extraSettings string) *fleet {
	t.Helper()
	t.Parallel()
	f := &fleet{t: t, cluster: fakeserver.NewNATSCluster(fakeserver.NewDeliveryLog(), isolated), done: make(chan error, 1)}
	var list []fakeserver.Endpoint
	for i := range nodes {
		n, err := f.cluster.StartNode(fmt.Sprint("node", i+1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		f.nodes = append(f.nodes, n)
		list = append(list, f.endpoint(i, fakeserver.StateInService))
	}
	var err error
	if f.catalog, err = fakeserver.NewCatalog(list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.catalog.Close)
	f.addr = reserveAddr(t)
	c, err := config.Parse([]byte(fmt.Sprintf(`{"name":"g1","listen":%q,"discovery":%q,"settings":%s}`,
		reserveAddr(t), f.catalog.Addr(), natsSettings)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	op, err := operator.Parse("test", []byte(fmt.Sprintf(natsOperator, f.addr, extraSettings)), nil)
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.DiscardHandler)
	if os.Getenv("GATEWAY_LOG") != "" {
		logger = slog.Default()
	}
	g, err := gateway.New(*c, gateway.WithLogger(logger), gateway.WithOperator(op))
	if err != nil {
		t.Fatal(err)
	}
	f.gateway, f.config = g, *c
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-f.done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(testTimeout):
			t.Error("the gateway did not stop")
		}
	})
	return f
}

func reserveAddr(t *testing.T) string {
	t.Helper()
	addr, release, err := fakeserver.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

func (f *fleet) endpoint(i int, state string) fakeserver.Endpoint {
	return fakeserver.Endpoint{ID: fmt.Sprintf("s-%08x", i+1), Addr: f.nodes[i].Addr(), State: state, Weight: 1}
}

// drain marks a node as draining in the endpoint list. With announce, the node also notifies its clients.
func (f *fleet) drain(i int, announce bool) {
	f.nodes[i].Drain(announce)
	f.catalog.SetEndpoint(f.endpoint(i, fakeserver.StateTerminating))
}

// connect returns a connected client that does not reconnect by itself. It retries until the gateway accepts the client.
func (f *fleet) connect(o ...nats.Option) *nats.Conn {
	f.t.Helper()
	var err error
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		var nc *nats.Conn
		if nc, err = nats.Connect("nats://"+f.addr, append([]nats.Option{nats.NoReconnect(), nats.Timeout(testTimeout)}, o...)...); err == nil {
			f.t.Cleanup(nc.Close)
			return nc
		}
	}
	f.t.Fatal(err)
	return nil
}

// sessionNode returns the index of the node that holds the only session.
func (f *fleet) sessionNode() int {
	f.t.Helper()
	for i, n := range f.nodes {
		if n.ConnectionCount() > 0 {
			return i
		}
	}
	f.t.Fatal("no node holds a session")
	return 0
}

// sessionCount returns the number of sessions' connections at all nodes.
func (f *fleet) sessionCount() (count int) {
	for _, n := range f.nodes {
		count += n.ConnectionCount()
	}
	return count
}

func (f *fleet) forEachNode(do func(*fakeserver.NATSNode)) {
	for _, n := range f.nodes {
		do(n)
	}
}

// sendConnect connects a client that sends CONNECT, SUB and PING. It does not wait for an answer.
func (f *fleet) sendConnect() {
	f.t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	e := newTestConn(f.t, c)
	e.readLine() // INFO
	e.send("CONNECT {}\r\nSUB a 1\r\nPING\r\n")
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("timed out waiting for the condition: %s", what)
		}
	}
}

func flush(t *testing.T, nc *nats.Conn) {
	t.Helper()
	if err := nc.Flush(); err != nil {
		t.Fatal(err)
	}
}

func publish(t *testing.T, nc *nats.Conn, subject string, body []byte) {
	t.Helper()
	if err := nc.Publish(subject, body); err != nil {
		t.Fatal(err)
	}
}

func subscribeSync(t *testing.T, nc *nats.Conn, subject string) *nats.Subscription {
	t.Helper()
	sub, err := nc.SubscribeSync(subject)
	if err != nil {
		t.Fatal(err)
	}
	return sub
}

// checkStream publishes n numbered messages and calls during before each one. It checks that the client receives them once,
// in order and without loss, except for those whose loss a failed node excuses.
func (f *fleet) checkStream(nc *nats.Conn, n int, during func(i int)) {
	t := f.t
	t.Helper()
	var got []int
	var mu sync.Mutex
	if _, err := nc.Subscribe("stream.1", func(m *nats.Msg) {
		i, _ := strconv.Atoi(string(m.Data))
		mu.Lock()
		defer mu.Unlock()
		got = append(got, i)
	}); err != nil {
		t.Fatal(err)
	}
	flush(t, nc)
	for i := range n {
		during(i)
		f.cluster.PublishStream(1, i)
		if i%10 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	eventually(t, "the client has the last message", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(got) > 0 && got[len(got)-1] == n-1
	})
	seen := map[int]bool{}
	for i, x := range got {
		if i > 0 && x <= got[i-1] {
			t.Errorf("message %d came after message %d, want rising numbers", x, got[i-1])
		}
		seen[x] = true
	}
	lost := 0
	for i := range n {
		if !seen[i] && !f.cluster.LossExcused(1, i) {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d messages were lost, want none", lost)
	}
}
