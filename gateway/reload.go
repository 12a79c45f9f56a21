package gateway

import (
	"errors"
	"fmt"
	"reflect"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
)

// errNATSNeedsRestart says that the operator file has NATS where the running gateway has none, or the other way.
var errNATSNeedsRestart = errors.New("nats: cannot be switched on or off by a reload, restart the gateway")

// Reload changes to a new configuration while Run serves: the new discovery address is polled at once, and the operator
// settings take effect as one. With an error nothing has changed. All other settings are fixed until a restart: the log
// names those that differ. Reload may be called at any time and from any goroutine.
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
	g.logger.Info("config reloaded", "discovery", c.Discovery, "needs_restart", needsRestart)
	g.watcher.SetAddr(c.Discovery)
	return nil
}

// reloadNATS changes to new settings, or to none of them where one that needs a restart differs.
func (g *Gateway) reloadNATS(n *operator.NATS) error {
	switch {
	case n == nil && g.natsSettings == nil:
		return nil
	case n == nil || g.natsSettings == nil:
		return errNATSNeedsRestart
	case n.Listen != g.natsSettings.Listen:
		return fmt.Errorf("nats.listen: %q is not the address in use, %q; restart the gateway to change it",
			n.Listen, g.natsSettings.Listen)
	}
	g.natsBackend.SetOptions(g.natsOptions(n))
	if f := g.natsFrontend.Load(); f != nil {
		f.SetSettings(n)
	}
	return nil
}
