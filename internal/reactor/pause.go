package reactor

// Reasons for which a connection is paused. Each is set and withdrawn independently; the connection is read while none is
// set.
const (
	pausedByCaller  uint8 = 1 << iota // Pause was called
	pausedByBacklog                   // too many bytes are pending for the connection that it sends to
)

// Pause stops reading the connection once the handler's current call has returned.
func (c *Conn) Pause() { c.pause(pausedByCaller) }

// Resume continues reading the connection. Bytes that were not consumed are passed to the handler first.
func (c *Conn) Resume() { c.resume(pausedByCaller) }

func (c *Conn) pause(reason uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasPaused := c.pauseReasons != 0
	c.pauseReasons |= reason
	if c.state == established && !wasPaused {
		c.updateInterest()
	}
}

func (c *Conn) resume(reason uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state > established || c.pauseReasons&reason == 0 {
		return
	}
	c.pauseReasons &^= reason
	if c.pauseReasons == 0 {
		c.hungUp = false
		c.loop.Post(c.resumeReading)
	}
}

// resumeReading passes the bytes that were not consumed before a pause to the handler and waits for events again.
func (c *Conn) resumeReading() {
	if !c.isUnpaused() {
		return
	}
	if len(c.in) > 0 {
		c.deliver(c.in)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == established {
		c.updateInterest()
	}
}

// isUnpaused reports whether the connection is not paused and is either dialing or established.
func (c *Conn) isUnpaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauseReasons == 0 && c.state <= established
}
