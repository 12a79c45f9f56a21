package reactor

// Reasons to leave a connection unread. Each is withdrawn on its own.
const (
	pausedByCaller  uint8 = 1 << iota // by Pause
	pausedByBacklog                   // the connection that it sends to has too much to write
)

// Pause leaves the connection unread once the handler's current call has returned.
func (c *Conn) Pause() { c.pause(pausedByCaller) }

// Resume has the connection read again; what was not consumed is shown first.
func (c *Conn) Resume() { c.resume(pausedByCaller) }

func (c *Conn) pause(reason uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasPaused := c.pauseReasons != 0
	c.pauseReasons |= reason
	if c.state == established && !wasPaused {
		c.rewatch()
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
		c.loop.Post(c.continueReading)
	}
}

// continueReading shows what was not consumed before a pause, and has the connection watched again.
func (c *Conn) continueReading() {
	if !c.isUnpaused() {
		return
	}
	if len(c.in) > 0 {
		c.show(c.in)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == established {
		c.rewatch()
	}
}

// isUnpaused reports whether the connection is open, or being dialed, and not paused.
func (c *Conn) isUnpaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauseReasons == 0 && c.state <= established
}
