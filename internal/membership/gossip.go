package membership

import (
	"context"
	"io"
	"log"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// NetworkTransport is the network under a Gossip; tests wrap it with links that fail.
type NetworkTransport = memberlist.NodeAwareTransport

// GossipOptions configure a Gossip.
type GossipOptions struct {
	Options
	Bind          string                                  // host:port to listen on, for UDP and TCP
	Join          []string                                // addresses of members, this one's among them or not
	Key           []byte                                  // 16, 24 or 32 bytes that all members share; nil: messages are not signed
	ProbeInterval time.Duration                           // between health checks of members; 0: a second
	WrapTransport func(NetworkTransport) NetworkTransport // nil: the network is used as it is
	Logger        *slog.Logger                            // nil: slog.Default
}

const (
	defaultProbeInterval = time.Second

	// Timing in parts or multiples of the probe interval.
	probesPerSync       = 10 // between full exchanges of state
	probesPerTCPTimeout = 2
	gossipsPerProbe     = 5
	timeoutsPerProbe    = 2
)

func (o GossipOptions) withDefaults() GossipOptions {
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = defaultProbeInterval
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

// Gossip is the Transport over sockets. memberlist reports who is alive.
type Gossip struct {
	*Endpoint
	list   *memberlist.Memberlist
	addr   string
	ctx    context.Context // done when Close is called
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ready  chan struct{} // closed once list is set: memberlist reports members before

	mu      sync.Mutex
	closed  bool
	links   map[string]chan []byte // packets that wait, by peer
	members map[string]gossipMember
}

// gossipMember is a member with its address. node is a copy, as memberlist changes its own at any time.
type gossipMember struct {
	Member
	node memberlist.Node
}

// BindError says that an instance could not listen for its peers.
type BindError struct {
	Addr string
	Err  error
}

func (e *BindError) Error() string { return e.Problem() + ": " + e.Err.Error() }
func (e *BindError) Unwrap() error { return e.Err }

// Problem implements operr.Error.
func (e *BindError) Problem() string { return "cannot listen for peers on " + e.Addr }

// Retryable implements operr.Error.
func (e *BindError) Retryable() bool { return true }

// Remedy implements operr.Error.
func (e *BindError) Remedy() string {
	return "check which program uses the address, and that the key has 16, 24 or 32 bytes"
}

// Listen starts a Gossip. It keeps calling members that can't be reached until Close. Errors are BindErrors.
func Listen(o GossipOptions) (*Gossip, error) {
	o = o.withDefaults()
	host, portText, err := net.SplitHostPort(o.Bind)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil {
		return nil, &BindError{o.Bind, &net.AddrError{Err: "not host:port", Addr: o.Bind}}
	}
	quiet := log.New(io.Discard, "", 0)
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: int(port), Logger: quiet})
	if err != nil {
		return nil, &BindError{o.Bind, err}
	}
	g := &Gossip{
		Endpoint: NewEndpoint(o.Options),
		addr:     net.JoinHostPort(host, strconv.Itoa(network.GetAutoBindPort())),
		ready:    make(chan struct{}),
		links:    map[string]chan []byte{},
		members:  map[string]gossipMember{},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	config := g.memberlistConfig(o, host, network.GetAutoBindPort(), quiet)
	config.Transport = network
	if o.WrapTransport != nil {
		config.Transport = o.WrapTransport(network)
	}
	if g.list, err = memberlist.Create(config); err != nil {
		g.cancel()
		_ = network.Shutdown() // the first error is the one to report
		g.wg.Wait()
		return nil, &BindError{o.Bind, err}
	}
	close(g.ready)
	g.wg.Go(func() { g.joinMembers(o) })
	return g, nil
}

func (g *Gossip) memberlistConfig(o GossipOptions, host string, port int, logger *log.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort = o.Name, host, port, port
	c.SecretKey, c.Logger = o.Key, logger
	c.Delegate, c.Events = delegate{g}, delegate{g}
	c.ProbeInterval = o.ProbeInterval
	c.ProbeTimeout = o.ProbeInterval / timeoutsPerProbe
	c.GossipInterval = o.ProbeInterval / gossipsPerProbe
	c.PushPullInterval = probesPerSync * o.ProbeInterval
	c.TCPTimeout = probesPerTCPTimeout * o.ProbeInterval
	c.DeadNodeReclaimTime = o.ProbeInterval // a dead member may come back at another address
	return c
}

// Addr is the address that peers use.
func (g *Gossip) Addr() string { return g.addr }

// Members implements Transport.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := []Member{{Name: g.Options().Name, Incarnation: g.Incarnation()}}
	for name, m := range g.members {
		m.Incarnation = max(m.Incarnation, g.PeerIncarnation(name))
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Close implements Transport. It waits for all goroutines of the Gossip.
func (g *Gossip) Close() error {
	g.mu.Lock()
	closed := g.closed
	g.closed = true
	g.mu.Unlock()
	if closed {
		return nil
	}
	g.cancel()
	err := g.list.Shutdown()
	g.wg.Wait()
	return err
}
