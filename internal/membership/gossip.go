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

// NetworkTransport is the network that a Gossip uses. Tests wrap it to inject link failures.
type NetworkTransport = memberlist.NodeAwareTransport

// GossipOptions configures a Gossip.
type GossipOptions struct {
	Options
	Bind          string                                  // host:port to listen on with UDP and TCP
	Join          []string                                // addresses of members; may include the address of this instance
	Key           []byte                                  // AES key of 16, 24 or 32 bytes, shared by all; nil means no encryption
	ProbeInterval time.Duration                           // time between health checks of members; defaults to 1 s
	WrapTransport func(NetworkTransport) NetworkTransport // wraps the network; nil means no wrapping
	Logger        *slog.Logger                            // defaults to slog.Default()
}

const (
	defaultProbeInterval = time.Second

	// Times as fractions or multiples of the probe interval.
	probesPerPushPull   = 10 // probe intervals between full exchanges of state with another member
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

// Gossip is the Transport over sockets. It learns from memberlist which members are alive.
type Gossip struct {
	*Endpoint
	list      *memberlist.Memberlist
	addr      string
	ctx       context.Context // cancelled by Close
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	listReady chan struct{} // closed once list is set; memberlist reports members before that

	mu         sync.Mutex
	closed     bool
	sendQueues map[string]chan []byte // packets that wait to be sent, by peer
	members    map[string]gossipMember
}

// gossipMember is a member with its address. node is a copy, because memberlist may change its own node at any time.
type gossipMember struct {
	Member
	node memberlist.Node
}

// BindError reports that an instance could not listen for its peers.
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
	return "check whether another program uses the address, and that the key has 16, 24 or 32 bytes"
}

// ListenGossip starts a Gossip, which keeps trying to join unreachable members until Close. If ListenGossip fails, it returns
// a BindError.
func ListenGossip(o GossipOptions) (*Gossip, error) {
	o = o.withDefaults()
	host, portText, err := net.SplitHostPort(o.Bind)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil {
		return nil, &BindError{o.Bind, &net.AddrError{Err: "not host:port", Addr: o.Bind}}
	}
	discardLogger := log.New(io.Discard, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host}, BindPort: int(port), Logger: discardLogger,
	})
	if err != nil {
		return nil, &BindError{o.Bind, err}
	}
	g := &Gossip{
		Endpoint:   NewEndpoint(o.Options),
		addr:       net.JoinHostPort(host, strconv.Itoa(netTransport.GetAutoBindPort())),
		listReady:  make(chan struct{}),
		sendQueues: map[string]chan []byte{},
		members:    map[string]gossipMember{},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	config := g.memberlistConfig(o, host, netTransport.GetAutoBindPort(), discardLogger)
	config.Transport = netTransport
	if o.WrapTransport != nil {
		config.Transport = o.WrapTransport(netTransport)
	}
	if g.list, err = memberlist.Create(config); err != nil {
		g.cancel()
		_ = netTransport.Shutdown() // err is the error to report
		g.wg.Wait()
		return nil, &BindError{o.Bind, err}
	}
	close(g.listReady)
	g.wg.Go(func() { g.joinUnreachableMembers(o) })
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
	c.PushPullInterval = probesPerPushPull * o.ProbeInterval
	c.TCPTimeout = probesPerTCPTimeout * o.ProbeInterval
	c.DeadNodeReclaimTime = o.ProbeInterval // time after which a dead member may return at another address
	return c
}

// Addr returns the address, as host:port, at which peers reach this instance.
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

// Close implements Transport. It waits until all goroutines of the Gossip have ended.
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
