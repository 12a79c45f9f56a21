package membership

import "time"

// Send implements Transport.
func (g *Gossip) Send(to string, payload []byte) {
	if len(payload) > MaxPayloadBytes {
		g.CountDropped(to)
		return
	}
	g.enqueue(to, g.EncodeMessage(payload))
}

// enqueue queues a packet for a peer. It drops the packet if the queue is full, the peer is unknown or g is closed.
func (g *Gossip) enqueue(to string, packet []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.members[to]
	if g.closed || !known {
		g.CountDropped(to)
		return
	}
	queue := g.sendQueues[to]
	if queue == nil {
		queue = make(chan []byte, g.Options().MaxQueuedMessages)
		g.sendQueues[to] = queue
		g.wg.Go(func() { g.sendPackets(to, queue) })
	}
	select {
	case queue <- packet:
	default:
		g.CountDropped(to)
	}
}

// sendPackets sends the queued packets for one peer, at the rate of the link, until Close. Each peer has its own goroutine,
// so that a stalled link does not delay another.
func (g *Gossip) sendPackets(to string, queue <-chan []byte) {
	select {
	case <-g.listReady:
	case <-g.ctx.Done():
		return
	}
	nextSend := time.NewTimer(0)
	defer nextSend.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-nextSend.C:
		}
		select {
		case <-g.ctx.Done():
			return
		case packet := <-queue:
			g.sendPacket(to, packet)
			nextSend.Reset(g.Options().SendDuration(len(packet)))
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
