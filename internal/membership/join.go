package membership

import "time"

// Members that start together do not reach each other at first, and should meet within a second or two: the delay between
// attempts to join grows from the probe interval divided by initialJoinDivisor to maxJoinProbes probe intervals.
const (
	initialJoinDivisor = 8
	maxJoinProbes      = 3
)

// joinMembers keeps calling the members that are not alive, until Close: a long partition heals in no other way.
func (g *Gossip) joinMembers(o GossipOptions) {
	delay, maxDelay := o.ProbeInterval/initialJoinDivisor, maxJoinProbes*o.ProbeInterval
	for ; ; delay = min(2*delay, maxDelay) {
		connected := g.connectedAddrs()
		for _, addr := range o.Join {
			if connected[addr] || g.ctx.Err() != nil {
				continue
			}
			if _, err := g.list.Join([]string{addr}); err != nil {
				o.Logger.Debug("peer unreachable", "addr", addr, "err", err)
			}
		}
		select {
		case <-g.ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// connectedAddrs has the addresses of members that need not be called, this one's own among them.
func (g *Gossip) connectedAddrs() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	addrs := map[string]bool{g.addr: true}
	for _, m := range g.members {
		addrs[m.node.Address()] = m.State != Dead
	}
	return addrs
}
