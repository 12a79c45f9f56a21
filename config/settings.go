package config

import (
	"fmt"
	"reflect"
	"strconv"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/settings"
)

// readCachedList reads the last endpoint list that the platform knew, if the file holds one.
func (c *Config) readCachedList(f *configFile) error {
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

// readSettings reads the platform's settings. If the file has a seed of its own, outside the settings, that seed replaces the
// one in the settings.
func (c *Config) readSettings(f *configFile) error {
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

// readBalancerSettings reads the balancer's settings and lets the balancer check them.
func (c *Config) readBalancerSettings(pairs settings.Pairs, seed string) error {
	balancerSettings, err := pairs.Balancer()
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if seed != "" {
		if balancerSettings.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return keyError("seed", "%q is not 64 bits of hex", seed)
		}
	}
	if _, err := balancer.New(*balancerSettings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Balancer = *balancerSettings
	return nil
}

// ChangesNeedingRestart returns the keys that differ in updated and that take effect only at a restart. The seed and the
// endpoint list never count: the platform provides new ones with each start.
func (c *Config) ChangesNeedingRestart(updated *Config) (keys []string) {
	for _, field := range []struct {
		key       string
		unchanged bool
	}{
		{"name", c.Name == updated.Name},
		{"listen", c.ListenAddr == updated.ListenAddr},
		{"admin_addr", c.AdminAddr == updated.AdminAddr},
		{"limits", c.Limits == updated.Limits},
		{"settings", c.hasSameSettings(updated)},
	} {
		if !field.unchanged {
			keys = append(keys, field.key)
		}
	}
	return keys
}

// hasSameSettings reports whether two configurations have the same settings, apart from their seeds.
func (c *Config) hasSameSettings(other *Config) bool {
	balancerSettings, otherBalancer := c.Balancer, other.Balancer
	balancerSettings.Seed, otherBalancer.Seed = 0, 0
	listRefresh, otherRefresh := c.ListRefresh, other.ListRefresh
	listRefresh.Seed, otherRefresh.Seed = 0, 0
	return reflect.DeepEqual(balancerSettings, otherBalancer) && listRefresh == otherRefresh && c.Gateway == other.Gateway
}
