package config

// Defaults for limits that the configuration does not state.
const (
	DefaultMemoryMB = 192
	DefaultSockets  = 1024
	DefaultCores    = 1.0
)

const (
	minMemoryMB      = 16
	reservedSockets  = 48 // for the listener, discovery, epoll and logs, and for MaxTransientSockets
	adminSockets     = 20 // for the admin listener, its connections and the files that its requests write
	minClientSockets = 16 // for connections to clients and servers
)

// MaxTransientSockets is how many of the descriptors that are reserved for the gateway itself may be in use by connections that
// are accepted and not admitted yet, by load polls, and by connections that are closing.
const MaxTransientSockets = 28

// Limits holds the resources that the gateway may use.
type Limits struct {
	Cores        float64
	MemoryMB     int
	Sockets      int // descriptors, for all uses
	AdminSockets int // the part of Sockets that is reserved for operators
}

// ClientSockets returns how many descriptors connections to clients and servers may use.
func (l Limits) ClientSockets() int { return l.Sockets - reservedSockets - l.AdminSockets }

// MaxIdleClients returns how many of the ClientSockets may belong to clients without a request so far. The rest stays free
// for clients that send requests.
func (l Limits) MaxIdleClients() int { return l.ClientSockets() / 4 }

// MaxConnections returns how many clients may be served at once. Each of them uses two descriptors: its own connection and
// the one to its server.
func (l Limits) MaxConnections() int { return l.ClientSockets() / 2 }

// readLimits reads the limits. Their reserve for operators depends on c.AdminAddr, so readAddresses runs first. An error is a
// *KeyError.
func (c *Config) readLimits(f *configFile) error {
	limits := Limits{
		Cores:    valueOr(f.Limits.Cores, DefaultCores),
		MemoryMB: valueOr(f.Limits.MemoryMB, DefaultMemoryMB),
		Sockets:  valueOr(f.Limits.Sockets, DefaultSockets),
	}
	if c.AdminAddr != "" {
		limits.AdminSockets = adminSockets
	}
	if limits.Cores <= 0 {
		return keyError("limits.cores", "%v is not above 0", limits.Cores)
	}
	if limits.MemoryMB < minMemoryMB {
		return keyError("limits.memory_mb", "%d is under %d", limits.MemoryMB, minMemoryMB)
	}
	if limits.ClientSockets() < minClientSockets {
		return keyError("limits.sockets", "%d is under %d", limits.Sockets,
			limits.Sockets-limits.ClientSockets()+minClientSockets)
	}
	c.Limits = limits
	return nil
}
