package gateway

import (
	"log/slog"
	"sync"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/eventloop"
	"example.org/milletvane/internal/planapply"
)

// planWeights posts endpoint lists to the engine with the weights of the placement plan. Its methods may be called from any
// goroutine; lists reach the engine in the order in which they were applied.
type planWeights struct {
	clock  func() time.Duration
	engine *eventloop.Loop
	logger *slog.Logger

	mu      sync.Mutex
	applier planapply.Applier
	timer   *time.Timer // expires when the next server has warmed up; nil: no timer was needed yet
	stopped bool
}

func newPlanWeights(warmup time.Duration, clock func() time.Duration, e *eventloop.Loop, l *slog.Logger) *planWeights {
	return &planWeights{clock: clock, engine: e, logger: l, applier: planapply.Applier{WarmupDuration: warmup}}
}

// setPlan replaces the placement plan and posts the weights that change. With nil, servers keep their listed weights.
func (w *planWeights) setPlan(p *operator.PlanSettings) {
	if p == nil {
		p = &operator.PlanSettings{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.postLocked(w.applier.SetPlan(w.clock(), p.Plan, p.Zone))
}

// apply posts an endpoint list with the weights of the plan.
func (w *planWeights) apply(l engine.EndpointList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.postLocked(w.applier.Apply(w.clock(), l))
}

// restoreListedWeights replaces the plan's weights of servers by their weights in the endpoint list.
func (w *planWeights) restoreListedWeights(servers []engine.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range servers {
		if weight, ok := w.applier.ListedWeight(servers[i].Name); ok {
			servers[i].Capacity = weight
		}
	}
}

// refresh posts the weights that have changed only because time has passed.
func (w *planWeights) refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.postLocked(w.applier.Refresh(w.clock()))
}

// stop ends the refreshes. Endpoint lists are still posted afterwards.
func (w *planWeights) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// postLocked posts a list, unless it changes nothing, and sets the timer for the next refresh. If source is not
// empty, it says where the weights come from now, and is logged. The caller holds mu.
func (w *planWeights) postLocked(l engine.EndpointList, source string) {
	if source != "" {
		w.logger.Info("endpoint weights changed", "source", source)
	}
	if l.Mode != balancer.ListDelta || len(l.Servers) > 0 {
		w.engine.Post(l)
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	at, ok := w.applier.NextWarmup()
	if !ok || w.stopped {
		return
	}
	w.timer = time.AfterFunc(max(at-w.clock(), 0), w.refresh)
}
