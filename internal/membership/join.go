package membership

import "time"

// Members that start at the same time can't reach each other at first, but should join within a second or two. Therefore the
// delay between attempts to join grows from the probe interval divided by initialJoinDelayDivisor to maxJoinDelayProbes probe
// intervals.
const (
	initialJoinDelayDivisor = 8
	maxJoinDelayProbes      = 3
)

// joinUnreachableMembers keeps trying to join the members that are unknown or dead, until Close. Nothing else reconnects
// members after a long network partition.
func (g *Gossip) joinUnreachableMembers(o GossipOptions) {
	delay, maxDelay := o.ProbeInterval/initialJoinDelayDivisor, maxJoinDelayProbes*o.ProbeInterval
	for ; ; delay = min(2*delay, maxDelay) {
		skipped := g.addrsNotToJoin()
		for _, addr := range o.Join {
			if skipped[addr] || g.ctx.Err() != nil {
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

// addrsNotToJoin returns a map that is true for the address of this instance and of each member that is not dead.
func (g *Gossip) addrsNotToJoin() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	addrs := map[string]bool{g.addr: true}
	for _, m := range g.members {
		addrs[m.node.Address()] = m.State != Dead
	}
	return addrs
}
