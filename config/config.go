// Package config is the one place where a gateway's configuration is read, checked and given defaults. What it returns is
// not changed afterwards, so that any goroutine may use it.
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

// Config is a checked configuration.
type Config struct {
	Name            string
	Listen          string // host:port, where clients connect
	Discovery       string // host:port
	Admin           string // host:port, where operators call; empty: nowhere
	InheritedSocket int    // the descriptor of a listening socket that the platform holds; 0: there is none
	StateDir        string // for what the next process should know; empty: there is none
	Limits          Limits
	CachedList      *discovery.EndpointList // the endpoint list as last held; nil: none
	Balancer        balancer.Settings
	ListRefresh     refresh.Settings
	Gateway         settings.Gateway
	AnswerTimeout   time.Duration // from a planned stop until all that waits has its answer
	DrainTimeout    time.Duration // from a planned stop to the end
}

// KeyError says what is wrong with the value of a key, of the JSON or the environment.
type KeyError struct {
	Key     string // as limits.sockets, or listen (PROXY_LISTEN)
	Problem string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

func keyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// Load reads the configuration: the file that the environment names, over which the environment's own values take
// precedence, but for discovery: its address may be replaced in the file while the program runs, and the environment could
// not follow. An error names the faulty key. A reload is another Load.
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

// Parse reads a configuration from JSON, which may be empty, and the environment. What is wrong with a value is a
// *KeyError, or wraps a *settings.ValueError.
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
