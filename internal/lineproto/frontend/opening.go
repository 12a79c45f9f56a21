package frontend

import (
	"bytes"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/codec"
)

// readFirstLine handles a line once it is complete and returns the number of consumed bytes. The engine closes a connection
// whose line is late.
func (c *Conn) readFirstLine(b []byte) int {
	end := bytes.IndexByte(b[:min(len(b), codec.MaxLineLength)], '\n')
	if end < 0 && len(b) < codec.MaxLineLength {
		return 0
	}
	// A client has to wait for an answer after each line. Bytes after the line would belong to no request that a server has
	// accepted, and hundreds of commands received at once would cause as many answers.
	if end < 0 || len(b) > end+1 {
		c.failProtocol()
		return len(b)
	}
	switch codec.ParseRequestKind(b) {
	case codec.RequestPing:
		c.answerPing()
	case codec.RequestStats: // a balancer has no load report
		c.send([]byte(codec.No))
	case codec.RequestOpen:
		c.readOpen(b)
	default:
		c.failProtocol()
	}
	return len(b)
}

func (c *Conn) answerPing() {
	answer := codec.Err
	if c.listener.engine.Ready() {
		answer = codec.Pong
	}
	c.send([]byte(answer))
	c.listener.engine.Post(engine.ClientActive{Client: c})
}

// readOpen passes a request to the engine. It parses the line in place first, so that a malformed line is not copied.
// Attempts use the line later and need a copy, since the loop reuses its read buffer.
func (c *Conn) readOpen(line []byte) {
	if _, err := codec.ParseOpen(line); err != nil {
		c.failProtocol()
		return
	}
	open, err := codec.ParseOpen(bytes.Clone(line))
	if err != nil || !c.setOpen(open) {
		return
	}
	c.listener.engine.Post(engine.RequestReceived{Client: c, Request: engine.Request{
		ID: string(open.ID), Class: string(open.Class), Tenant: string(open.Tenant), Key: string(open.Key),
		Group: string(open.Group), Timeout: open.Timeout, Load: open.Load, Reconnecting: open.Reconnecting,
		MidFlow: open.MidFlow, Owner: string(open.Owner),
	}})
}

// setOpen stores the parsed opening line. It returns false if the connection has ended in the meantime.
func (c *Conn) setOpen(open codec.Open) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseOpening {
		return false
	}
	c.open, c.phase = open, phaseWaiting
	return true
}
