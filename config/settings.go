package config

import (
	"fmt"
	"reflect"
	"strconv"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/settings"
)

// readCachedList reads the endpoint list that the platform held last.
func (c *Config) readCachedList(f *file) error {
	if !isGiven(f.Known) {
		return nil
	}
	list, err := discovery.Parse(f.Known)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.CachedList = list
	return nil
}

// readSettings reads the platform's settings and the seed.
func (c *Config) readSettings(f *file) error {
	pairs := settings.Pairs{}
	if isGiven(f.Settings) {
		var err error
		if pairs, err = settings.Flatten(f.Settings); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	if err := c.readBalancerSettings(pairs, f.Seed); err != nil {
		return err
	}
	var err error
	if c.ListRefresh, err = pairs.ListRefresh(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	c.ListRefresh.Seed = c.Balancer.Seed
	if c.Gateway, err = pairs.Gateway(); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if c.Gateway.MaxClassTimeout <= 0 {
		c.Gateway.MaxClassTimeout = defaultClassTimeout
	}
	c.Balancer.CanPollLoad = c.Gateway.CanPollLoad
	return nil
}

// readBalancerSettings reads the balancer's settings, and has the balancer check them.
func (c *Config) readBalancerSettings(pairs settings.Pairs, seed string) error {
	set, err := pairs.Balancer()
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if seed != "" {
		if set.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return keyError("seed", "%q is not 64 bits of hex", seed)
		}
	}
	if _, err := balancer.New(*set); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Balancer = *set
	return nil
}

// ChangesNeedingRestart lists the keys whose values in a new configuration are others, though they are fixed for a
// gateway's life. What the program is given anew with each start, the seed and the endpoint list, is not among them.
func (c *Config) ChangesNeedingRestart(to *Config) (keys []string) {
	for _, fixed := range []struct {
		key       string
		unchanged bool
	}{
		{"name", c.Name == to.Name},
		{"listen", c.Listen == to.Listen},
		{"admin_addr", c.Admin == to.Admin},
		{"limits", c.Limits == to.Limits},
		{"settings", c.hasSettingsOf(to)},
	} {
		if !fixed.unchanged {
			keys = append(keys, fixed.key)
		}
	}
	return keys
}

// hasSettingsOf reports whether two configurations have the same settings but for their seeds.
func (c *Config) hasSettingsOf(other *Config) bool {
	balancerSettings, otherBalancer := c.Balancer, other.Balancer
	balancerSettings.Seed, otherBalancer.Seed = 0, 0
	listRefresh, otherRefresh := c.ListRefresh, other.ListRefresh
	listRefresh.Seed, otherRefresh.Seed = 0, 0
	return reflect.DeepEqual(balancerSettings, otherBalancer) && listRefresh == otherRefresh && c.Gateway == other.Gateway
}
