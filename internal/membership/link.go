package membership

import "time"

// Send implements Transport.
func (g *Gossip) Send(to string, payload []byte) {
	if len(payload) > MaxBodyBytes {
		g.CountDropped(to)
		return
	}
	g.enqueue(to, g.EncodeMessage(payload))
}

// enqueue queues a packet for a peer, and drops it where the queue is full.
func (g *Gossip) enqueue(to string, packet []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.members[to]
	if g.closed || !known {
		g.CountDropped(to)
		return
	}
	link := g.links[to]
	if link == nil {
		link = make(chan []byte, g.Options().MaxQueuedMessages)
		g.links[to] = link
		g.wg.Go(func() { g.sendPackets(to, link) })
	}
	select {
	case link <- packet:
	default:
		g.CountDropped(to)
	}
}

// sendPackets sends the packets of one link, at its rate, until Close. A link that stalls delays no other.
func (g *Gossip) sendPackets(to string, link <-chan []byte) {
	select {
	case <-g.ready:
	case <-g.ctx.Done():
		return
	}
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-next.C:
		}
		select {
		case <-g.ctx.Done():
			return
		case packet := <-link:
			g.sendPacket(to, packet)
			next.Reset(g.Options().SendDuration(len(packet)))
		}
	}
}

func (g *Gossip) sendPacket(to string, packet []byte) {
	g.mu.Lock()
	m := g.members[to]
	g.mu.Unlock()
	if m.State == Dead || g.list.SendBestEffort(&m.node, packet) != nil {
		g.CountDropped(to)
		return
	}
	g.CountSent(to)
}
