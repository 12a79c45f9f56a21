package membership

import (
	"bytes"
	"context"
	"encoding/binary"
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

// Wire is the network under a Gossip: a seam where tests put links that fail.
type Wire = memberlist.NodeAwareTransport

// GossipOptions are what a Gossip goes by.
type GossipOptions struct {
	Options
	Bind   string          // host:port for UDP and TCP; on it alone is listened
	Join   []string        // addresses of members, this one's among them or not; those that are away are called again
	Key    []byte          // of 16, 24 or 32 bytes; who has another is not heard. nil: messages go unsigned
	Probe  time.Duration   // between looks at whether a member is alive; 0: a second
	Wrap   func(Wire) Wire // nil: as it is
	Logger *slog.Logger    // nil: the standard one
}

const (
	probe       = time.Second
	rejoinEvery = 3 // probes: members that are away are called again, and
	rejoinFirst = 8 // times a probe after the start, less often each time
)

// Gossip is the Transport over sockets, with memberlist for who is there.
type Gossip struct {
	*Endpoint
	list   *memberlist.Memberlist
	addr   string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ready  chan struct{} // closed once list is there: members are told of before

	mu      sync.Mutex
	closed  bool
	links   map[string]chan []byte
	members map[string]known
}

// known is a member with where it is reached: a copy, as memberlist changes its own at any time.
type known struct {
	Member
	node memberlist.Node
}

// BindError says that an instance could not listen for its peers.
type BindError struct {
	Addr string
	Err  error
}

func (e *BindError) Error() string   { return e.Problem() + ": " + e.Err.Error() }
func (e *BindError) Unwrap() error   { return e.Err }
func (e *BindError) Problem() string { return "peers can't be listened for on " + e.Addr }
func (e *BindError) Retryable() bool { return true }
func (e *BindError) Remedy() string {
	return "see who uses the address, and that the key has 16, 24 or 32 bytes"
}

// Listen starts a Gossip. Members that can't be reached now are called again for as long as it runs.
func Listen(o GossipOptions) (*Gossip, error) {
	if o.Probe <= 0 {
		o.Probe = probe
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	host, portText, err := net.SplitHostPort(o.Bind)
	port, err2 := strconv.ParseUint(portText, 10, 16)
	if err != nil || err2 != nil {
		return nil, &BindError{o.Bind, &net.AddrError{Err: "not host:port", Addr: o.Bind}}
	}
	g := &Gossip{Endpoint: NewEndpoint(o.Options), links: map[string]chan []byte{}, members: map[string]known{}, ready: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	quiet := log.New(io.Discard, "", 0)
	wire, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: int(port), Logger: quiet})
	if err != nil {
		return nil, &BindError{o.Bind, err}
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort = o.Name, host, wire.GetAutoBindPort(), wire.GetAutoBindPort()
	c.SecretKey, c.Logger, c.Delegate, c.Events = o.Key, quiet, delegate{g}, delegate{g}
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = o.Probe, o.Probe/2, o.Probe/5
	c.PushPullInterval, c.TCPTimeout = 10*o.Probe, 2*o.Probe
	c.DeadNodeReclaimTime = o.Probe // one that is gone may come back at another address
	c.Transport = wire
	if o.Wrap != nil {
		c.Transport = o.Wrap(wire)
	}
	if g.list, err = memberlist.Create(c); err != nil {
		g.cancel()
		wire.Shutdown()
		g.wg.Wait()
		return nil, &BindError{o.Bind, err}
	}
	g.addr = net.JoinHostPort(host, strconv.Itoa(wire.GetAutoBindPort()))
	close(g.ready)
	g.wg.Go(func() { g.join(o) })
	return g, nil
}

// join calls the members that are not there, now and again: a partition that lasted long heals no other way.
func (g *Gossip) join(o GossipOptions) {
	// Members that start together with this one are not there at its first call, and it recovers within a second or two.
	pause := o.Probe / rejoinFirst
	for ; ; pause = min(2*pause, rejoinEvery*o.Probe) {
		here := map[string]bool{}
		here[g.Addr()] = true
		g.mu.Lock()
		for _, m := range g.members {
			here[m.node.Address()] = m.State != Gone
		}
		g.mu.Unlock()
		for _, addr := range o.Join {
			if !here[addr] && g.ctx.Err() == nil {
				if _, err := g.list.Join([]string{addr}); err != nil {
					o.Logger.Debug("peer away", "addr", addr, "err", err)
				}
			}
		}
		select {
		case <-g.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// Addr is where peers call.
func (g *Gossip) Addr() string { return g.addr }

// Send implements Transport.
func (g *Gossip) Send(to string, body []byte) {
	if len(body) > MaxBodyBytes {
		g.Dropped(to)
		return
	}
	g.post(to, g.Wrap(body))
}

func (g *Gossip) post(to string, packet []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.members[to]
	if g.closed || !known {
		g.Dropped(to)
		return
	}
	link := g.links[to]
	if link == nil {
		link = make(chan []byte, g.Options().QueueMost)
		g.links[to] = link
		g.wg.Go(func() { g.carry(to, link) })
	}
	select {
	case link <- packet:
	default:
		g.Dropped(to)
	}
}

// carry sends what waits for one peer, at the pace of its bound. A link that stalls holds up nobody else.
func (g *Gossip) carry(to string, link <-chan []byte) {
	select {
	case <-g.ready:
	case <-g.ctx.Done():
		return
	}
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-pause.C:
		}
		select {
		case <-g.ctx.Done():
			return
		case packet := <-link:
			g.mu.Lock()
			m := g.members[to]
			g.mu.Unlock()
			if m.State != Gone && g.list.SendBestEffort(&m.node, packet) == nil {
				g.Sent(to)
			} else {
				g.Dropped(to)
			}
			pause.Reset(g.Options().Pace(len(packet)))
		}
	}
}

// Members implements Transport.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.Options().Name
	list := []Member{{Name: own, Incarnation: g.Incarnation()}}
	for name, m := range g.members {
		m.Incarnation = max(m.Incarnation, g.Life(name))
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Close implements Transport.
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

// delegate is what memberlist tells.
type delegate struct{ g *Gossip }

func (d delegate) NodeMeta(int) []byte {
	return binary.BigEndian.AppendUint64(nil, d.g.Incarnation())
}

func (d delegate) NotifyMsg(packet []byte) {
	if to, reply := d.g.Take(bytes.Clone(packet)); reply != nil {
		d.g.post(to, reply)
	}
}

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}
func (d delegate) NotifyJoin(n *memberlist.Node)   { d.note(n, Alive) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.note(n, Alive) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.note(n, Gone) }

func (d delegate) note(n *memberlist.Node, state State) {
	if n.Name == d.g.Options().Name {
		return
	}
	m := known{Member{Name: n.Name, State: state}, *n}
	m.node.Addr, m.node.Meta = slices.Clone(n.Addr), nil
	if len(n.Meta) == 8 {
		m.Incarnation = binary.BigEndian.Uint64(n.Meta)
		d.g.Seen(n.Name, m.Incarnation)
	}
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.g.members[n.Name] = m
}
