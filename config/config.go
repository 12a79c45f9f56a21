// Package config is the one place where a gateway's configuration is read, checked and given defaults.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/settings"
)

// The environment's keys.
const (
	EnvName            = "PROXY_NAME"
	EnvListen          = "PROXY_LISTEN"
	EnvDiscovery       = "PROXY_DISCOVERY"
	EnvFile            = "PROXY_CONFIG"
	EnvAdmin           = "PROXY_ADMIN_ADDR"
	EnvInheritedSocket = "PROXY_PASSED_SOCKET"
	EnvTempDir         = "TMPDIR"
)

// Defaults for what the configuration leaves out.
const (
	DefaultMemoryMB    = 192
	DefaultSockets     = 1024
	DefaultCores       = 1.0
	defaultLongestWait = 3 * time.Second
)

const (
	ownSockets   = 48                     // for the listener, discovery, epoll, logs and connections on their way in or out
	adminSockets = 20                     // for operators: their listener, those who call and files that are written for them
	leastSockets = 16                     // for clients and their servers
	drainMost    = 3 * time.Second        // a longer deadline is taken as this when the platform ends a program,
	answerMore   = 300 * time.Millisecond // and a client that comes late still has its answer,
	drainMore    = 500 * time.Millisecond // and half a line its end
	// Where packets pass through, another gateway takes up what is open when this one is gone. An end before the
	// platform ends the program would break these connections instead, so it is left to the platform for so long.
	drainPass = 15 * time.Second
)

// OnTheirWay is how many of the program's own descriptors connections may have that are closed and linger. As many again
// may be accepted and not counted yet.
const TransientSockets = 16

// Limits are what the program may use.
type Limits struct {
	Cores        float64
	MemoryMB     int
	Sockets      int
	AdminSockets int // of Sockets, those set aside for operators
}

// ClientSockets is how many descriptors clients and their servers may take.
func (l Limits) ClientSockets() int { return l.Sockets - ownSockets - l.AdminSockets }

// MaxIdleClients is how many of these clients may take that have asked for nothing. The rest is free for those that do.
func (l Limits) MaxIdleClients() int { return l.ClientSockets() / 4 }

// MaxConnections is how many clients may be served at once: each has a connection to its server too.
func (l Limits) MaxConnections() int { return l.ClientSockets() / 2 }

// Config is a checked configuration.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Admin           string // where operators call; empty: nowhere
	InheritedSocket int    // the descriptor of a listening socket that the platform holds; 0: there is none
	StateDir        string // a folder for what the next process should know; empty: there is none
	Limits          Limits
	CachedList      *discovery.EndpointList // the list as last held; nil: none
	Balancer        balancer.Settings
	ListRefresh     refresh.Settings
	Gateway         settings.Gateway
	AnswerTimeout   time.Duration // from a planned stop until all that waits has its answer
	DrainTimeout    time.Duration // from a planned stop to the end
}

// file is the form of the JSON.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"admin_addr"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration: the file that the environment names, over which the environment's own
// values go, but for discovery: its address may be replaced in the file while the program runs, and the
// environment could not follow. An error names the faulty key. A reload is another Load.
func Load(getenv func(string) string) (*Config, error) {
	var text []byte
	if path := getenv(EnvFile); path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return nil, fmt.Errorf("%s: %w", EnvFile, err)
		}
	}
	return Parse(text, getenv)
}

// Parse reads a configuration from JSON, which may be empty, and the environment.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var f file
	if len(text) > 0 {
		if err := json.Unmarshal(text, &f); err != nil {
			var wrong *json.UnmarshalTypeError
			if errors.As(err, &wrong) {
				return nil, fmt.Errorf("%s: %s is not %s", wrong.Field, wrong.Value, wrong.Type)
			}
			return nil, fmt.Errorf("%s: %w", EnvFile, err)
		}
	}
	c := &Config{
		Name: pick(getenv(EnvName), f.Name), Listen: pick(getenv(EnvListen), f.Listen),
		Discovery: pick(f.Discovery, getenv(EnvDiscovery)), Admin: pick(getenv(EnvAdmin), f.Admin),
	}
	if c.Name == "" {
		c.Name = "milletvane"
	}
	if err := address("listen ("+EnvListen+")", c.Listen); err != nil {
		return nil, err
	}
	if err := address("discovery ("+EnvDiscovery+")", c.Discovery); err != nil {
		return nil, err
	}
	if c.Admin != "" {
		if err := address("admin_addr ("+EnvAdmin+")", c.Admin); err != nil {
			return nil, err
		}
	}
	if v := getenv(EnvInheritedSocket); v != "" {
		fd, err := strconv.ParseUint(v, 10, 16)
		if err != nil || fd < 3 {
			return nil, fmt.Errorf("%s: %q is not the number of a descriptor from 3 on", EnvInheritedSocket, v)
		}
		c.InheritedSocket = int(fd)
	}
	if dir := getenv(EnvTempDir); dir != "" {
		// Under the name and address, as a machine's folder for such files may serve several gateways.
		c.StateDir = filepath.Join(dir, "milletvane-"+plain(c.Name)+"-"+plain(c.Listen))
	}
	c.Limits = Limits{
		Cores: value(f.Limits.Cores, DefaultCores), MemoryMB: value(f.Limits.MemoryMB, DefaultMemoryMB),
		Sockets: value(f.Limits.Sockets, DefaultSockets),
	}
	if c.Admin != "" {
		c.Limits.AdminSockets = adminSockets
	}
	switch {
	case !(c.Limits.Cores > 0):
		return nil, fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB < 16:
		return nil, fmt.Errorf("limits.memory_mb: %d is under 16", c.Limits.MemoryMB)
	case c.Limits.ClientSockets() < leastSockets:
		return nil, fmt.Errorf("limits.sockets: %d is under %d", c.Limits.Sockets, c.Limits.Sockets-c.Limits.ClientSockets()+leastSockets)
	}
	if given(f.Known) {
		known, err := discovery.Parse(f.Known)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		c.CachedList = known
	}
	return c, c.settings(f)
}

func (c *Config) settings(f file) error {
	pairs := settings.Pairs{}
	if given(f.Settings) {
		var err error
		if pairs, err = settings.Flatten(f.Settings); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	set, err := pairs.Balancer()
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if f.Seed != "" {
		if set.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return fmt.Errorf("seed: %q is not 64 bits of hex", f.Seed)
		}
	}
	if _, err := balancer.New(*set); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Balancer = *set
	if c.ListRefresh, err = pairs.ListRefresh(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	c.ListRefresh.Seed = set.Seed
	if c.Gateway, err = pairs.Gateway(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if c.Gateway.MaxClassTimeout <= 0 {
		c.Gateway.MaxClassTimeout = defaultLongestWait
	}
	c.Balancer.CanPollLoad = c.Gateway.CanPollLoad
	c.AnswerTimeout = min(c.Gateway.MaxClassTimeout, drainMost) + answerMore
	c.DrainTimeout = min(c.Gateway.MaxClassTimeout, drainMost) + drainMore
	if c.Gateway.ConnectionsOutliveGateway {
		c.DrainTimeout = drainPass
	}
	return nil
}

// ChangesNeedingRestart lists the keys whose values in a new configuration are others, though they are fixed for a
// gateway's life. What the program is told anew with each start, the seed and the list, is not among them.
func (c *Config) ChangesNeedingRestart(to *Config) (keys []string) {
	a, b, la, lb := c.Balancer, to.Balancer, c.ListRefresh, to.ListRefresh
	a.Seed, b.Seed, la.Seed, lb.Seed = 0, 0, 0, 0
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == to.Name},
		{"listen", c.Listen == to.Listen},
		{"admin_addr", c.Admin == to.Admin},
		{"limits", c.Limits == to.Limits},
		{"settings", reflect.DeepEqual(a, b) && la == lb && c.Gateway == to.Gateway},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

func given(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// plain keeps of a text what may stand in a file's name.
func plain(s string) string {
	b := []byte(s)
	for i, x := range b {
		if !(x >= '0' && x <= '9' || x >= 'a' && x <= 'z' || x >= 'A' && x <= 'Z') {
			b[i] = '_'
		}
	}
	return string(b[:min(len(b), 64)])
}

func pick(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

func value[T any](p *T, otherwise T) T {
	if p != nil {
		return *p
	}
	return otherwise
}

func address(key, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: is missing", key)
	}
	_, port, err := net.SplitHostPort(addr)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return fmt.Errorf("%s: %q is not host:port", key, addr)
	}
	return nil
}
