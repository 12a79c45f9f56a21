// Package config reads a gateway's configuration from JSON and the environment, checks it and fills in the defaults. No other
// package reads it. Configurations are not changed after they are returned, so any goroutine may use them.
package config

import (
	"fmt"
	"os"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/settings"
)

// Environment variables that the package reads.
const (
	EnvName            = "PROXY_NAME"
	EnvListen          = "PROXY_LISTEN"
	EnvDiscovery       = "PROXY_DISCOVERY"
	EnvFile            = "PROXY_CONFIG"
	EnvAdmin           = "PROXY_ADMIN_ADDR"
	EnvInheritedSocket = "PROXY_PASSED_SOCKET"
	EnvTempDir         = "TMPDIR"
)

// Config is a configuration whose values have been checked.
type Config struct {
	Name            string
	ListenAddr      string // host:port that clients connect to
	DiscoveryAddr   string // host:port of the discovery service
	AdminAddr       string // host:port for operators' requests; empty means that there is no such listener
	InheritedSocket int    // the descriptor of a listening socket that the platform passes on; 0 means none
	StateDir        string // directory for state that the next process reads; empty means none
	Limits          Limits
	CachedList      *discovery.EndpointList // the last endpoint list that the platform knew; nil means none
	Balancer        balancer.Settings
	ListRefresh     refresh.Settings
	Gateway         settings.Gateway
	AnswerTimeout   time.Duration // time from the start of a graceful shutdown until all pending requests are answered
	DrainTimeout    time.Duration // time from the start of a graceful shutdown until the process ends
}

// KeyError says what is wrong with the value of a key in the JSON or the environment.
type KeyError struct {
	Key     string // for example limits.sockets, or listen (PROXY_LISTEN)
	Problem string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

func keyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// Load reads the configuration from the environment and from the file that EnvFile names, if it names one. Values in the
// environment take precedence over those in the file. Only the discovery address of the file takes precedence over that in the
// environment, because the file can be changed while the program runs and the environment can't. An error names the faulty
// key. A reload calls Load again.
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

// Parse reads a configuration from JSON, which may be empty, and the environment. The error for a faulty value is a
// *KeyError or wraps a *settings.ValueError.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	f, err := parseFile(text)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	for _, read := range []func() error{
		func() error { return c.readAddresses(f, getenv) },
		func() error { return c.readEnvironment(getenv) },
		func() error { return c.readLimits(f) },
		func() error { return c.readCachedList(f) },
		func() error { return c.readSettings(f) },
	} {
		if err := read(); err != nil {
			return nil, err
		}
	}
	c.setTimeouts()
	return c, nil
}
