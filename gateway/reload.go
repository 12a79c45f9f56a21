package gateway

import (
	"errors"
	"fmt"
	"reflect"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
)

// errNATSNeedsRestart is returned if the new operator file configures NATS and the running gateway does not, or vice versa.
var errNATSNeedsRestart = errors.New("nats: cannot be enabled or disabled by a reload; restart the gateway")

// Reload applies a new configuration while Run serves. The new discovery address is polled at once, and either all NATS and
// plan settings of the operator file take effect or none do. If Reload returns an error, nothing has changed. All other
// settings take effect only after a restart; the log lists those that differ. Reload may be called at any time and from any
// goroutine.
func (g *Gateway) Reload(c config.Config, op *operator.Settings) error {
	if op == nil {
		op = &operator.Settings{}
	}
	if err := g.reloadNATS(op.NATS); err != nil {
		return err
	}
	g.weights.setPlan(op.Plan)
	needsRestart := g.config.ChangesNeedingRestart(&c)
	if !reflect.DeepEqual(op.Cluster, g.clusterSettings) {
		needsRestart = append(needsRestart, "cluster")
	}
	g.logger.Info("config reloaded", "discovery", c.DiscoveryAddr, "needs_restart", needsRestart)
	g.watcher.SetAddr(c.DiscoveryAddr)
	return nil
}

// reloadNATS applies new NATS settings. It returns an error and applies none of them if a setting that needs a restart
// differs.
func (g *Gateway) reloadNATS(settings *operator.NATS) error {
	switch {
	case settings == nil && g.natsSettings == nil:
		return nil
	case settings == nil || g.natsSettings == nil:
		return errNATSNeedsRestart
	case settings.Listen != g.natsSettings.Listen:
		return fmt.Errorf("nats.listen: %q is not the address in use, %q; restart the gateway to change it",
			settings.Listen, g.natsSettings.Listen)
	}
	g.natsBackend.SetOptions(g.natsOptions(settings))
	if f := g.natsFrontend.Load(); f != nil {
		f.SetSettings(settings)
	}
	return nil
}
