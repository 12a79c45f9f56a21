package backend

import (
	"bytes"
	"strings"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// OnData implements reactor.Handler. Consecutive messages for the client are forwarded together and unchanged.
func (n *NodeConn) OnData(_ *reactor.Conn, b []byte) int {
	limits := n.backend.options().Limits
	f := &n.loop.currentFrame
	parsed, forwarded := 0, 0 // b[forwarded:parsed] are messages to forward
	for parsed < len(b) {
		var size int
		var err error
		if *f, size, err = codec.Parse(b[parsed:], limits); err != nil {
			n.forward(b[forwarded:parsed])
			n.fail(balancer.Errored)
			return len(b)
		}
		if size == 0 {
			break
		}
		if !n.isForClient(f) {
			n.forward(b[forwarded:parsed])
			forwarded = parsed + size
			n.handleFrame(f)
		}
		parsed += size
		if n.paused || n.Conn().Closed() {
			break
		}
	}
	n.forward(b[forwarded:parsed])
	return parsed
}

// forward passes frames to the client. It does nothing if there are no frames.
func (n *NodeConn) forward(frames []byte) {
	if len(frames) > 0 {
		n.client.Forward(n, frames)
	}
}

// isForClient reports whether a frame is a message that must be forwarded to the client.
func (n *NodeConn) isForClient(f *codec.Frame) bool {
	isMessage := f.Op == codec.Msg || f.Op == codec.HMsg
	return isMessage && !IsGatewaySID(f.SID) && n.client != nil && n.client.MessageReceived(n, f)
}

// handleFrame handles a frame that is not forwarded.
func (n *NodeConn) handleFrame(f *codec.Frame) {
	switch f.Op {
	case codec.Msg, codec.HMsg:
		if IsGatewaySID(f.SID) {
			n.handleReply(f)
		}
	case codec.Ping:
		n.send([]byte(codec.PongFrame))
	case codec.Pong:
		n.pongReceived()
	case codec.Info:
		info, err := codec.ParseInfo(f.Body)
		if err != nil {
			n.fail(balancer.Errored)
			return
		}
		n.handleInfo(info)
	case codec.OpErr:
		n.handleErr(f)
	}
}

// handleInfo handles an INFO frame. The first one is answered with the handshake. A later one in lame duck mode is reported to
// the engine: the node is draining.
func (n *NodeConn) handleInfo(info codec.ServerInfo) {
	isFirst := !n.infoReceived
	n.infoReceived = true
	if n.client != nil {
		n.client.InfoReceived(n, info)
	}
	switch {
	case isFirst && info.LameDuck: // the node would end the session as soon as it is set up
		n.failHandshake(balancer.Rejected)
	case isFirst && isPastConnectTimeout(&n.attempt, n.Age()):
		n.failHandshake(balancer.ConnectFailed)
	case isFirst:
		n.sendHandshake()
	case info.LameDuck && n.client != nil:
		n.backend.events.Post(engine.ServerDraining{
			RequestID: n.attempt.RequestID, Number: n.attempt.Number,
		})
	}
}

// sendHandshake sends the handshake and a PING in one write. The PONG confirms all frames that were sent before the PING.
func (n *NodeConn) sendHandshake() {
	if n.client == nil {
		n.send(n.shared.connectFrame, []byte(codec.PingFrame))
	} else {
		n.send(n.client.AppendHandshake(nil), []byte(codec.PingFrame))
		n.backend.countForwarded()
	}
	n.addPing(pendingPing{onPong: n.established})
}

// Prefixes of the texts of -ERR frames, in lower case, grouped by their meaning for the connection.
var (
	// The node keeps the connection open.
	nonFatalErrors = []string{"permissions violation", "invalid subject", "invalid publish subject"}
	// The node refused the credentials of the client.
	authorizationErrors = []string{
		"authorization", "authentication", "user authentication", "account authentication",
	}
	// The node currently accepts no connections.
	rejectionErrors = []string{"maximum connections", "server shutdown"}
)

func (n *NodeConn) handleErr(f *codec.Frame) {
	text := bytes.Trim(f.Body, "'")
	lower := strings.ToLower(string(text))
	switch {
	case hasAnyPrefix(lower, nonFatalErrors):
		if n.client != nil {
			n.client.ErrReceived(n, f.Raw)
		}
	case hasAnyPrefix(lower, authorizationErrors) && n.client != nil:
		n.client.AuthorizationFailed(n, text)
	case hasAnyPrefix(lower, rejectionErrors):
		n.fail(balancer.Rejected)
	default:
		n.fail(balancer.Errored)
	}
}

func hasAnyPrefix(text string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return false
}
