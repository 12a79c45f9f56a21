package config

// Defaults for limits that the configuration leaves out.
const (
	DefaultMemoryMB = 192
	DefaultSockets  = 1024
	DefaultCores    = 1.0
)

const (
	minMemoryMB      = 16
	ownSockets       = 48 // for the listener, discovery, epoll, logs, and TransientSockets
	adminSockets     = 20 // for operators: their listener, those who call and files that are written for them
	minClientSockets = 16 // for clients and their servers
)

// TransientSockets is how many of the program's own descriptors may have connections that are accepted and not admitted yet,
// load polls, and connections that are closing.
const TransientSockets = 28

// Limits are what the program may use.
type Limits struct {
	Cores        float64
	MemoryMB     int
	Sockets      int // descriptors, of every use
	AdminSockets int // of Sockets, those set aside for operators
}

// ClientSockets is how many descriptors clients and their servers may take.
func (l Limits) ClientSockets() int { return l.Sockets - ownSockets - l.AdminSockets }

// MaxIdleClients is how many of these clients may take that have requested nothing. The rest is free for those that do.
func (l Limits) MaxIdleClients() int { return l.ClientSockets() / 4 }

// MaxConnections is how many clients may be served at once: each has a connection to its server too.
func (l Limits) MaxConnections() int { return l.ClientSockets() / 2 }

// readLimits reads the limits. It is known by now whether operators have an address.
func (c *Config) readLimits(f *file) error {
	l := Limits{
		Cores:    valueOr(f.Limits.Cores, DefaultCores),
		MemoryMB: valueOr(f.Limits.MemoryMB, DefaultMemoryMB),
		Sockets:  valueOr(f.Limits.Sockets, DefaultSockets),
	}
	if c.Admin != "" {
		l.AdminSockets = adminSockets
	}
	if l.Cores <= 0 {
		return keyError("limits.cores", "%v is not above 0", l.Cores)
	}
	if l.MemoryMB < minMemoryMB {
		return keyError("limits.memory_mb", "%d is under %d", l.MemoryMB, minMemoryMB)
	}
	if l.ClientSockets() < minClientSockets {
		return keyError("limits.sockets", "%d is under %d", l.Sockets, l.Sockets-l.ClientSockets()+minClientSockets)
	}
	c.Limits = l
	return nil
}
