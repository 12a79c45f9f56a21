package frontend

import (
	"bytes"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/backend"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
)

// Conn implements backend.Client.
func (c *Conn) Conn() *reactor.Conn { return c.conn }

// Forward implements backend.Client: it returns parts with the pieces of the opening line appended, and sends nothing.
func (c *Conn) Forward(parts [][]byte, timeout time.Duration) [][]byte {
	return c.open.Forward(parts, timeout)
}

// Established implements backend.Client.
func (c *Conn) Established(firstLine []byte, server *backend.ServerConn) bool {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	if !c.setServer(server) {
		return false
	}
	c.send(firstLine)
	return true
}

// setServer makes the client's lines go to the server from then on. It returns false if the connection has ended.
func (c *Conn) setServer(server *backend.ServerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseWaiting {
		return false
	}
	c.phase, c.server = phaseRelaying, server
	return true
}

// Relay implements backend.Client.
func (c *Conn) Relay(from *reactor.Conn, b []byte) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	if c.movePending {
		if end := bytes.IndexByte(b, '\n'); end >= 0 {
			c.sendMove(b[:end+1])
			return
		}
	}
	c.midLine = b[len(b)-1] != '\n'
	_ = c.conn.SendFrom(from, b) // fails only if the connection has ended, which OnEnd handles
}

// ServerEnded implements backend.Client.
func (c *Conn) ServerEnded(reset bool) {
	if !c.markEnded() {
		return
	}
	if reset {
		c.conn.Abort(true)
	} else {
		c.conn.Close()
	}
}

// Migrate implements engine.Client. The connection's loop sends MOVE, because sendMove also posts an event to the engine, which
// may block. The loop may wait for the engine, but the engine's goroutine may not wait for itself.
func (c *Conn) Migrate() time.Duration {
	c.conn.Post(c.sendMoveAtLineEnd)
	return 0
}

// sendMoveAtLineEnd sends MOVE at once, or after the end of the line that is being relayed.
func (c *Conn) sendMoveAtLineEnd() {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	if c.midLine {
		c.movePending = true
		return
	}
	c.sendMove(nil)
}

// sendMove writes the rest of a line and MOVE, and closes the connections of the client and the server.
func (c *Conn) sendMove(rest []byte) {
	if !c.markEnded() {
		return
	}
	c.send(rest, []byte(codec.Move))
	c.conn.Close()
	c.endServer(false)
	c.listener.engine.Post(engine.ClientDisconnected{Client: c})
}
